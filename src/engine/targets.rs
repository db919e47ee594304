//! The engines that requests may be sent to, with their estimated load.
//!
//! Reports lag, so the estimate adds the requests that this host sent, and
//! subtracts those that ended, since the report (see docs/design/routing.md).

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{
    clock::Timestamp,
    control::blackboard::{
        Blackboard, EngineReport, Engines, UpstreamKind, UpstreamState, Upstreams,
    },
    ids::{UpstreamId, WeightVersion},
};

/// The batch size that is assumed until an engine has reported.
const DEFAULT_SLOTS: u32 = 4;

/// An engine with its estimated load.
#[derive(Clone, Debug)]
pub struct Target {
    /// The engine's identifier.
    pub id: UpstreamId,
    /// The maximum number of requests in a batch.
    pub slots: u32,
    /// The reported version of the weights; `None` before the first report.
    pub weight_version: Option<WeightVersion>,
    /// The number of this host's requests that are in flight.
    pub in_flight: u32,
    /// The running and waiting requests of the last report.
    reported_count: u32,
    reported_at: Timestamp,
    /// The requests that were sent since the last report, and between it and
    /// the previous one. A lagging report may not include the latter.
    sent_counts: [u32; 2],
    /// The requests that ended in the same two intervals.
    done_counts: [u32; 2],
}

impl Target {
    fn new(id: UpstreamId) -> Self {
        Self {
            id,
            slots: DEFAULT_SLOTS,
            weight_version: None,
            in_flight: 0,
            reported_count: 0,
            reported_at: Timestamp::ZERO,
            sent_counts: [0; 2],
            done_counts: [0; 2],
        }
    }

    fn apply_report(&mut self, report: &EngineReport) {
        self.slots = report.slots.max(1);
        self.weight_version = Some(report.weight_version);
        if report.at == self.reported_at {
            return;
        }
        self.reported_at = report.at;
        self.reported_count = report.running + report.waiting;
        self.sent_counts = [0, self.sent_counts[0]];
        self.done_counts = [0, self.done_counts[0]];
    }

    /// Returns the estimated number of requests per slot; above 1, some wait.
    pub fn load_ratio(&self) -> f32 {
        f32::from(u16::try_from(self.request_count()).unwrap_or(u16::MAX)) / self.slots as f32
    }

    /// Returns the estimated number of running and waiting requests.
    pub fn request_count(&self) -> u32 {
        let sent = self.sent_counts[0] + self.sent_counts[1];
        let done = self.done_counts[0] + self.done_counts[1];
        (self.reported_count + sent)
            .saturating_sub(done)
            .max(self.in_flight)
    }

    /// Returns whether the engine is known to run `min_version` or newer.
    pub fn has_version(&self, min_version: WeightVersion) -> bool {
        min_version == 0
            || self
                .weight_version
                .is_some_and(|version| version >= min_version)
    }
}

/// The live engines, by pool.
///
/// # Examples
///
/// ```
/// use mimosavane::{Blackboard, engine::targets::Targets};
///
/// let mut targets = Targets::default();
/// targets.refresh(&Blackboard::default());
/// assert!(targets.pool("base").is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Targets {
    pools: BTreeMap<Arc<str>, Vec<Target>>,
    /// The pool of each engine, and its index there.
    locations: HashMap<UpstreamId, (Arc<str>, usize)>,
    upstreams: Option<Arc<Upstreams>>,
    engines: Option<Arc<Engines>>,
    /// Incremented when the lists of engines change, but not their loads.
    generation: u64,
}

impl Targets {
    /// Applies the changes of the blackboard since the last call.
    pub fn refresh(&mut self, board: &Blackboard) {
        if !is_same(self.upstreams.as_ref(), &board.upstreams) {
            self.rebuild(board);
            self.upstreams = Some(board.upstreams.clone());
            self.engines = None;
        }
        if !is_same(self.engines.as_ref(), &board.engines) {
            for pool in self.pools.values_mut() {
                apply_reports(pool, &board.engines);
            }
            self.engines = Some(board.engines.clone());
        }
    }

    /// Returns the engines of a pool, sorted by identifier.
    pub fn pool(&self, pool: &str) -> &[Target] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns a number that changes when an engine is added or removed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the index of `engine` in its pool.
    pub fn index(&self, engine: &UpstreamId) -> Option<usize> {
        self.locations.get(engine).map(|(_, index)| *index)
    }

    /// Records that a request was sent to `engine`.
    pub fn on_sent(&mut self, engine: &UpstreamId) {
        if let Some(target) = self.target_mut(engine) {
            target.in_flight += 1;
            target.sent_counts[0] += 1;
        }
    }

    /// Records that a request to `engine` ended or was refused.
    pub fn on_done(&mut self, engine: &UpstreamId) {
        if let Some(target) = self.target_mut(engine) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.done_counts[0] += 1;
        }
    }

    fn target_mut(&mut self, engine: &UpstreamId) -> Option<&mut Target> {
        let (pool, index) = self.locations.get(engine)?;
        self.pools.get_mut(pool)?.get_mut(*index)
    }

    fn rebuild(&mut self, board: &Blackboard) {
        let mut known: HashMap<UpstreamId, Target> = std::mem::take(&mut self.pools)
            .into_values()
            .flatten()
            .map(|target| (target.id.clone(), target))
            .collect();
        self.locations.clear();
        let live = board.upstreams.members.values().filter(|upstream| {
            upstream.kind == UpstreamKind::Engine && upstream.state == UpstreamState::Live
        });
        for upstream in live {
            let target = known
                .remove(&upstream.id)
                .unwrap_or_else(|| Target::new(upstream.id.clone()));
            let pool = self.pools.entry(upstream.pool.clone()).or_default();
            let location = (upstream.pool.clone(), pool.len());
            self.locations.insert(upstream.id.clone(), location);
            pool.push(target);
        }
        self.generation += 1;
    }
}

fn is_same<T>(known: Option<&Arc<T>>, current: &Arc<T>) -> bool {
    known.is_some_and(|known| Arc::ptr_eq(known, current))
}

/// Applies the reports to a pool in one merge pass, as both are sorted by
/// identifier.
fn apply_reports(pool: &mut [Target], engines: &Engines) {
    let mut reports = engines.reports.iter().peekable();
    for target in pool {
        while reports.next_if(|(id, _)| **id < target.id).is_some() {}
        if let Some((_, report)) = reports.next_if(|(id, _)| **id == target.id) {
            target.apply_report(report);
        }
    }
}
