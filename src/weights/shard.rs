//! The engines under one lease, and what their holder does next.
//!
//! A [`Shard`] joins the lease, the engines' reports and the planner. It is one
//! of several, so that no single host orders all engines (see
//! docs/design/weights.md).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Timestamp,
    ids::{FenceNumber, HostId, UpstreamId},
    weights::{
        lease,
        order::{End, Engine, Order, Report, Wanted},
        wave::{Limits, Member, Planner},
    },
};

/// The time between two reports of an engine that loads or is behind.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two reports of an engine that runs what is wanted.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// What happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The store answered about the lease, or did not.
    Lease(lease::Event),
    /// These engines belong to the shard now, each with its pool.
    Listed(BTreeMap<UpstreamId, Arc<str>>),
    /// What the engines of each pool shall run.
    Wanted(BTreeMap<Arc<str>, Wanted>),
    /// An engine reported.
    Reported {
        /// The engine.
        engine: UpstreamId,
        /// What it said.
        report: Report,
    },
    /// An order ended.
    Ended {
        /// The engine.
        engine: UpstreamId,
        /// The order.
        order: Order,
        /// How it ended.
        end: End,
    },
}

/// What the code that does I/O shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the store about the lease.
    Lease(lease::Action),
    /// Ask an engine for its report.
    Ask {
        /// The engine.
        engine: UpstreamId,
    },
    /// Send an order, if [`Shard::fence`] still gives a number just before.
    Send {
        /// The engine.
        engine: UpstreamId,
        /// The order.
        order: Order,
    },
}

/// The engines under one lease; soft state besides the lease itself.
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
///     spread: Duration::ZERO,
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
    wanted: BTreeMap<Arc<str>, Wanted>,
    ask_at: BTreeMap<UpstreamId, Timestamp>,
    was_held: bool,
}

impl Shard {
    /// Starts without the lease and without engines.
    pub fn new(host: impl Into<HostId>, life: u64, terms: lease::Terms, limits: Limits) -> Self {
        Self {
            lease: lease::Machine::new(host, life, terms),
            planner: Planner::new(limits),
            members: BTreeMap::new(),
            wanted: BTreeMap::new(),
            ask_at: BTreeMap::new(),
            was_held: false,
        }
    }

    /// Returns the fencing number for an order that is sent at `now`.
    pub fn fence(&self, now: Timestamp) -> Option<FenceNumber> {
        self.lease.fence(now)
    }

    /// Returns the engines with what is known of them.
    pub const fn members(&self) -> &BTreeMap<UpstreamId, Member> {
        &self.members
    }

    /// Changes the bounds of rollouts.
    pub fn set_limits(&mut self, limits: Limits) {
        self.planner.set_limits(limits);
    }

    /// Returns the write that gives the lease up, if it is held.
    pub fn release(&mut self, now: Timestamp) -> Option<lease::Action> {
        self.lease.release(now)
    }

    /// Takes in what happened, and returns what to do at `now`.
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
            self.forget();
        }
        self.was_held = is_held;
        if is_held {
            self.ask(now, &mut actions);
        }
        if self.lease.fence(now).is_some() {
            self.send(now, &mut actions);
        }
        actions
    }

    fn apply(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Lease(event) => self.lease.apply(event, now),
            Event::Listed(engines) => self.set_members(engines),
            Event::Wanted(wanted) => self.raise(wanted),
            Event::Reported { engine, report } => {
                if let Some(member) = self.members.get_mut(&engine) {
                    member.engine.reported(report, now);
                }
            }
            Event::Ended { engine, order, end } => {
                if end == End::Stale {
                    self.lease.lost();
                }
                if let Some(member) = self.members.get_mut(&engine) {
                    member.engine.ended(order, end, now);
                }
            }
        }
    }

    fn set_members(&mut self, engines: BTreeMap<UpstreamId, Arc<str>>) {
        self.members.retain(|id, _| engines.contains_key(id));
        self.ask_at.retain(|id, _| engines.contains_key(id));
        for (id, pool) in engines {
            let member = self.members.entry(id).or_insert_with(|| Member {
                pool: pool.clone(),
                engine: Engine::default(),
            });
            member.pool = pool;
        }
    }

    /// Takes on what is wanted, but never a lower version, as from an old read.
    fn raise(&mut self, wanted: BTreeMap<Arc<str>, Wanted>) {
        for (pool, wanted) in wanted {
            let known = self.wanted.entry(pool).or_default();
            if wanted.version >= known.version {
                *known = wanted;
            }
        }
    }

    /// Starts from the engines' reports alone, since another host may have given
    /// orders meanwhile.
    fn forget(&mut self) {
        for member in self.members.values_mut() {
            member.engine = Engine::default();
        }
        self.ask_at.clear();
    }

    fn ask(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for (id, member) in &self.members {
            let due = self.ask_at.entry(id.clone()).or_default();
            if now < *due {
                continue;
            }
            let wanted_version = self
                .wanted
                .get(&member.pool)
                .map_or(0, |wanted| wanted.version);
            let is_settled =
                member.engine.is_serving(now) && member.engine.version() >= Some(wanted_version);
            *due = now
                + if is_settled {
                    IDLE_INTERVAL
                } else {
                    ACTIVE_INTERVAL
                };
            actions.push(Action::Ask { engine: id.clone() });
        }
    }

    fn send(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for planned in self.planner.plan(&self.members, &self.wanted, now) {
            if let Some(member) = self.members.get_mut(&planned.engine) {
                member.engine.sending(&planned.order, now);
            }
            actions.push(Action::Send {
                engine: planned.engine,
                order: planned.order,
            });
        }
    }
}

/// Returns the shard that an engine belongs to, of `shard_count`.
///
/// All hosts must use the same count, since fencing numbers of two leases cannot
/// be compared.
pub fn shard_of(engine: &str, shard_count: u32) -> u32 {
    let shard = xxh3_64(engine.as_bytes()) % u64::from(shard_count.max(1));
    u32::try_from(shard).unwrap_or_default()
}
