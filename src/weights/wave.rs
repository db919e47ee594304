//! Which engines load new weights now.
//!
//! A [`Planner`] keeps a part of each pool serving and stays within the weight
//! store's rate. Engines that serve nothing are repaired first, since that costs
//! no capacity (see docs/design/weights.md).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    ids::{UpstreamId, WeightVersion},
    weights::order::{Engine, Need, Order, Wanted},
};

/// The bounds of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The part of each pool that keeps serving, from 0 to 1.
    pub capacity_floor_ratio: f64,
    /// The loads a second that the weight store bears for these engines.
    pub max_rate_loads_per_s: f64,
}

/// One engine under a lease.
#[derive(Clone, Debug)]
pub struct Member {
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// What is known of it.
    pub engine: Engine,
}

/// An order that may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The engine.
    pub engine: UpstreamId,
    /// The order.
    pub order: Order,
}

/// Plans the loads of the engines under one lease.
///
/// # Examples
///
/// ```
/// use std::{collections::BTreeMap, time::Duration};
///
/// use mimosavane::weights::wave::{Limits, Planner};
///
/// let limits = Limits { capacity_floor_ratio: 0.75, max_rate_loads_per_s: 10.0 };
/// let mut planner = Planner::new(limits);
/// assert!(planner.plan(&BTreeMap::new(), &BTreeMap::new(), Duration::ZERO).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Planner {
    limits: Limits,
    /// Loads that may start now; at most those of one second.
    saved_loads: f64,
    refilled_at: Timestamp,
}

/// A load that waits for room, in the order in which loads are granted.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    costs_capacity: bool,
    version: Option<WeightVersion>,
    engine: UpstreamId,
    order: Order,
}

impl Planner {
    /// Starts with one second's loads at hand.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            saved_loads: limits.max_rate_loads_per_s.max(1.0),
            refilled_at: Duration::ZERO,
        }
    }

    /// Changes the bounds, as when the number of engines changes.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the orders to send at `now`.
    pub fn plan(
        &mut self,
        members: &BTreeMap<UpstreamId, Member>,
        wanted: &BTreeMap<Arc<str>, Wanted>,
        now: Timestamp,
    ) -> Vec<Planned> {
        self.refill(now);
        let mut planned = Vec::new();
        let mut candidates = Vec::new();
        for (id, member) in members {
            let Some(wanted) = wanted.get(&member.pool) else {
                continue;
            };
            let (order, costs_capacity) = match member.engine.need(wanted, now) {
                None => continue,
                Some(Need::Light(order)) => {
                    planned.push(Planned {
                        engine: id.clone(),
                        order,
                    });
                    continue;
                }
                Some(Need::Repair(order)) => (order, false),
                Some(Need::Load(order)) => (order, true),
            };
            candidates.push(Candidate {
                costs_capacity,
                version: member.engine.version(),
                engine: id.clone(),
                order,
            });
        }
        candidates.sort_unstable();
        self.grant(candidates, members, now, &mut planned);
        planned
    }

    fn grant(
        &mut self,
        candidates: Vec<Candidate>,
        members: &BTreeMap<UpstreamId, Member>,
        now: Timestamp,
        planned: &mut Vec<Planned>,
    ) {
        let mut room = self.room(members, now);
        for candidate in candidates {
            if self.saved_loads < 1.0 {
                return;
            }
            let pool = members.get(&candidate.engine).map(|member| &member.pool);
            let Some(room) = pool.and_then(|pool| room.get_mut(pool)) else {
                continue;
            };
            if candidate.costs_capacity {
                if *room == 0 {
                    continue;
                }
                *room -= 1;
            }
            self.saved_loads -= 1.0;
            planned.push(Planned {
                engine: candidate.engine,
                order: candidate.order,
            });
        }
    }

    /// Returns how many serving engines of each pool may stop serving.
    ///
    /// One may always go while all serve, since a pool of one could never load.
    fn room(
        &self,
        members: &BTreeMap<UpstreamId, Member>,
        now: Timestamp,
    ) -> BTreeMap<Arc<str>, usize> {
        let mut counts: BTreeMap<Arc<str>, (usize, usize)> = BTreeMap::new();
        for member in members.values() {
            let (all, serving) = counts.entry(member.pool.clone()).or_default();
            *all += 1;
            *serving += usize::from(member.engine.is_serving(now));
        }
        let floor_ratio = self.limits.capacity_floor_ratio;
        counts
            .into_iter()
            .map(|(pool, (all, serving))| {
                let floor = (all as f64 * floor_ratio).ceil() as usize;
                let floor = floor.min(all.saturating_sub(1));
                (pool, serving.saturating_sub(floor))
            })
            .collect()
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let rate = self.limits.max_rate_loads_per_s;
        let saved_loads = self.saved_loads + elapsed.as_secs_f64() * rate;
        self.saved_loads = saved_loads.min(rate.max(1.0));
    }
}
