//! The engines under one lease, and the next actions of the lease holder.
//!
//! A [`Shard`] combines the lease, the engines' reports and the planner.
//! Engines are divided among several shards, so that no single host gives
//! orders to all of them (see docs/design/weights.md).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Timestamp,
    ids::{FenceNumber, HostId, UpstreamId},
    weights::{
        lease,
        order::{DesiredState, Engine, Order, OrderOutcome, Report},
        wave::{Limits, Member, Planner},
    },
};

/// The time between two polls of an engine that is loading or out of date.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two polls of an engine that has reached its desired
/// version.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// An input from outside the shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request to the store about the lease ended.
    Lease(lease::Event),
    /// The engines that now belong to the shard, each with its pool.
    Listed(BTreeMap<UpstreamId, Arc<str>>),
    /// The desired state of each pool.
    Desired(BTreeMap<Arc<str>, DesiredState>),
    /// An engine reported.
    Reported {
        /// The engine.
        engine: UpstreamId,
        /// The report.
        report: Report,
    },
    /// An order ended.
    Ended {
        /// The engine.
        engine: UpstreamId,
        /// The order.
        order: Order,
        /// How it ended.
        outcome: OrderOutcome,
    },
}

/// An action for the code that does I/O.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a request about the lease to the store.
    Lease(lease::Action),
    /// Fetches the report of an engine.
    Poll {
        /// The engine.
        engine: UpstreamId,
    },
    /// Sends an order, unless [`Shard::fence`] returns no number just before
    /// the send.
    Send {
        /// The engine.
        engine: UpstreamId,
        /// The order.
        order: Order,
    },
}

/// The engines under one lease; all state but the lease itself is soft.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::weights::{lease::Terms, shard::Shard, wave::Limits};
///
/// let terms = Terms {
///     lease: Duration::from_secs(10),
///     order_timeout: Duration::from_secs(2),
///     watch_interval: Duration::from_secs(1),
///     max_claim_jitter: Duration::ZERO,
/// };
/// let limits = Limits { capacity_floor_ratio: 0.75, max_rate_loads_per_s: 10.0 };
/// let shard = Shard::new("entry-1", 7, terms, limits);
/// assert_eq!(shard.fence(Duration::ZERO), None);
/// ```
#[derive(Clone, Debug)]
pub struct Shard {
    lease: lease::Machine,
    planner: Planner,
    members: BTreeMap<UpstreamId, Member>,
    desired: BTreeMap<Arc<str>, DesiredState>,
    next_poll_at: BTreeMap<UpstreamId, Timestamp>,
    was_held: bool,
}

impl Shard {
    /// Creates a shard without the lease and without engines.
    pub fn new(host: impl Into<HostId>, life: u64, terms: lease::Terms, limits: Limits) -> Self {
        Self {
            lease: lease::Machine::new(host, life, terms),
            planner: Planner::new(limits),
            members: BTreeMap::new(),
            desired: BTreeMap::new(),
            next_poll_at: BTreeMap::new(),
            was_held: false,
        }
    }

    /// Returns the fencing number for an order that is sent at `now`.
    pub fn fence(&self, now: Timestamp) -> Option<FenceNumber> {
        self.lease.fence(now)
    }

    /// Returns the engines of the shard and their known state.
    pub const fn members(&self) -> &BTreeMap<UpstreamId, Member> {
        &self.members
    }

    /// Sets the limits of rollouts.
    pub fn set_limits(&mut self, limits: Limits) {
        self.planner.set_limits(limits);
    }

    /// Returns the write that releases the lease, if it is held.
    pub fn release(&mut self, now: Timestamp) -> Option<lease::Action> {
        self.lease.release(now)
    }

    /// Applies `events`, and returns the actions to take at `now`.
    pub fn run(&mut self, events: impl IntoIterator<Item = Event>, now: Timestamp) -> Vec<Action> {
        for event in events {
            self.apply(event, now);
        }
        if self.members.is_empty() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        actions.extend(self.lease.poll(now).map(Action::Lease));
        let is_held = self.lease.is_held(now);
        if is_held && !self.was_held {
            self.reset_engines();
        }
        self.was_held = is_held;
        if is_held {
            self.poll_engines(now, &mut actions);
        }
        if self.lease.fence(now).is_some() {
            self.send_orders(now, &mut actions);
        }
        actions
    }

    fn apply(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Lease(event) => self.lease.apply(event, now),
            Event::Listed(engines) => self.set_members(engines),
            Event::Desired(desired) => self.update_desired(desired),
            Event::Reported { engine, report } => {
                if let Some(member) = self.members.get_mut(&engine) {
                    member.engine.record_report(report, now);
                }
            }
            Event::Ended {
                engine,
                order,
                outcome,
            } => {
                if outcome == OrderOutcome::Stale {
                    self.lease.step_down();
                }
                if let Some(member) = self.members.get_mut(&engine) {
                    member.engine.finish_order(order, outcome, now);
                }
            }
        }
    }

    fn set_members(&mut self, engines: BTreeMap<UpstreamId, Arc<str>>) {
        self.members.retain(|id, _| engines.contains_key(id));
        self.next_poll_at.retain(|id, _| engines.contains_key(id));
        for (id, pool) in engines {
            let member = self.members.entry(id).or_insert_with(|| Member {
                pool: pool.clone(),
                engine: Engine::default(),
            });
            member.pool = pool;
        }
    }

    /// Updates the desired states, but never to a lower version, which an
    /// outdated read may return.
    fn update_desired(&mut self, desired: BTreeMap<Arc<str>, DesiredState>) {
        for (pool, desired) in desired {
            let known = self.desired.entry(pool).or_default();
            if desired.version >= known.version {
                *known = desired;
            }
        }
    }

    /// Discards what is known of the engines, since another host may have given
    /// them orders meanwhile; their next reports rebuild it.
    fn reset_engines(&mut self) {
        for member in self.members.values_mut() {
            member.engine = Engine::default();
        }
        self.next_poll_at.clear();
    }

    fn poll_engines(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for (id, member) in &self.members {
            let due = self.next_poll_at.entry(id.clone()).or_default();
            if now < *due {
                continue;
            }
            let desired_version = self
                .desired
                .get(&member.pool)
                .map_or(0, |desired| desired.version);
            let is_up_to_date =
                member.engine.is_serving(now) && member.engine.version() >= Some(desired_version);
            *due = now
                + if is_up_to_date {
                    IDLE_POLL_INTERVAL
                } else {
                    ACTIVE_POLL_INTERVAL
                };
            actions.push(Action::Poll { engine: id.clone() });
        }
    }

    fn send_orders(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for planned in self.planner.plan(&self.members, &self.desired, now) {
            if let Some(member) = self.members.get_mut(&planned.engine) {
                member.engine.begin_order(&planned.order, now);
            }
            actions.push(Action::Send {
                engine: planned.engine,
                order: planned.order,
            });
        }
    }
}

/// Returns which of `shard_count` shards an engine belongs to.
///
/// All hosts must use the same count, since fencing numbers of different leases
/// cannot be compared.
pub fn shard_of(engine: &str, shard_count: u32) -> u32 {
    let shard = xxh3_64(engine.as_bytes()) % u64::from(shard_count.max(1));
    u32::try_from(shard).unwrap_or_default()
}
