//! Decides which engines load new weights now.
//!
//! A [`Planner`] keeps a fraction of each pool serving and stays within the
//! load rate of the weight store. Engines that cannot serve are repaired first,
//! since that costs no capacity (see docs/design/weights.md).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    ids::{UpstreamId, WeightVersion},
    weights::order::{DesiredState, Engine, Need, Order},
};

/// The limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The fraction of each pool that keeps serving, from 0 to 1.
    pub capacity_floor_ratio: f64,
    /// The loads per second that the weight store can sustain for these
    /// engines.
    pub max_rate_loads_per_s: f64,
}

/// An engine under a lease.
#[derive(Clone, Debug)]
pub struct Member {
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// Its known state.
    pub engine: Engine,
}

/// An order that may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
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
    /// The loads that may start now, a token bucket that holds at most those of
    /// one second.
    available_load_count: f64,
    refilled_at: Timestamp,
}

/// A load that may be granted; the ordering is that in which loads are granted.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    costs_capacity: bool,
    version: Option<WeightVersion>,
    engine: UpstreamId,
    order: Order,
}

impl Planner {
    /// Creates a planner that may start the loads of one second at once.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            available_load_count: limits.max_rate_loads_per_s.max(1.0),
            refilled_at: Duration::ZERO,
        }
    }

    /// Sets the limits, for instance when the number of engines changes.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the orders to send at `now`.
    pub fn plan(
        &mut self,
        members: &BTreeMap<UpstreamId, Member>,
        desired: &BTreeMap<Arc<str>, DesiredState>,
        now: Timestamp,
    ) -> Vec<PlannedOrder> {
        self.refill(now);
        let mut planned = Vec::new();
        let mut candidates = Vec::new();
        for (id, member) in members {
            let Some(desired) = desired.get(&member.pool) else {
                continue;
            };
            let (order, costs_capacity) = match member.engine.need(desired, now) {
                None => continue,
                Some(Need::InPlace(order)) => {
                    planned.push(PlannedOrder {
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
        self.grant_loads(candidates, members, now, &mut planned);
        planned
    }

    fn grant_loads(
        &mut self,
        candidates: Vec<Candidate>,
        members: &BTreeMap<UpstreamId, Member>,
        now: Timestamp,
        planned: &mut Vec<PlannedOrder>,
    ) {
        let mut spare_count_by_pool = self.spare_capacity(members, now);
        for candidate in candidates {
            if self.available_load_count < 1.0 {
                return;
            }
            let pool = members.get(&candidate.engine).map(|member| &member.pool);
            let Some(spare_count) = pool.and_then(|pool| spare_count_by_pool.get_mut(pool)) else {
                continue;
            };
            if candidate.costs_capacity {
                if *spare_count == 0 {
                    continue;
                }
                *spare_count -= 1;
            }
            self.available_load_count -= 1.0;
            planned.push(PlannedOrder {
                engine: candidate.engine,
                order: candidate.order,
            });
        }
    }

    /// Returns how many more engines of each pool may stop serving.
    ///
    /// While all engines of a pool serve, one may always stop, since otherwise
    /// a pool of one engine could never load.
    fn spare_capacity(
        &self,
        members: &BTreeMap<UpstreamId, Member>,
        now: Timestamp,
    ) -> BTreeMap<Arc<str>, usize> {
        let mut counts: BTreeMap<Arc<str>, (usize, usize)> = BTreeMap::new();
        for member in members.values() {
            let (total_count, serving_count) = counts.entry(member.pool.clone()).or_default();
            *total_count += 1;
            *serving_count += usize::from(member.engine.is_serving(now));
        }
        let floor_ratio = self.limits.capacity_floor_ratio;
        counts
            .into_iter()
            .map(|(pool, (total_count, serving_count))| {
                let floor = (total_count as f64 * floor_ratio).ceil() as usize;
                let floor = floor.min(total_count.saturating_sub(1));
                (pool, serving_count.saturating_sub(floor))
            })
            .collect()
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let rate = self.limits.max_rate_loads_per_s;
        let available_load_count = self.available_load_count + elapsed.as_secs_f64() * rate;
        self.available_load_count = available_load_count.min(rate.max(1.0));
    }
}
