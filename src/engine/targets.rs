//! The engines that work may be sent to, with their estimated load.
//!
//! Reports lag, so what this host sent and finished since is counted on top of
//! them (see docs/design/routing.md).

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

/// Batch size of an engine that has not reported yet.
const DEFAULT_SLOTS: u32 = 4;

/// One engine with what is known of its load.
#[derive(Clone, Debug)]
pub struct Target {
    /// The engine.
    pub id: UpstreamId,
    /// The most requests that it batches.
    pub slots: u32,
    /// The weights that it reported; `None` before its first report.
    pub weight_version: Option<WeightVersion>,
    /// Requests that this host has on it.
    pub in_flight: u32,
    reported: u32,
    report_at: Timestamp,
    /// Sent and done since the last report, and between it and the one before,
    /// which a lagging report may not include.
    sent: [u32; 2],
    done: [u32; 2],
}

impl Target {
    fn new(id: UpstreamId) -> Self {
        Self {
            id,
            slots: DEFAULT_SLOTS,
            weight_version: None,
            in_flight: 0,
            reported: 0,
            report_at: Timestamp::ZERO,
            sent: [0; 2],
            done: [0; 2],
        }
    }

    fn observe(&mut self, report: &EngineReport) {
        self.slots = report.slots.max(1);
        self.weight_version = Some(report.weight_version);
        if report.at == self.report_at {
            return;
        }
        self.report_at = report.at;
        self.reported = report.running + report.waiting;
        self.sent = [0, self.sent[0]];
        self.done = [0, self.done[0]];
    }

    /// Returns the estimated requests per slot; above 1 they wait.
    pub fn load_ratio(&self) -> f32 {
        f32::from(u16::try_from(self.request_count()).unwrap_or(u16::MAX)) / self.slots as f32
    }

    /// Returns the estimated requests that run or wait on the engine.
    pub fn request_count(&self) -> u32 {
        let sent = self.sent[0] + self.sent[1];
        let done = self.done[0] + self.done[1];
        (self.reported + sent)
            .saturating_sub(done)
            .max(self.in_flight)
    }

    /// Says whether the engine is known to run `min_version` or newer.
    pub fn runs(&self, min_version: WeightVersion) -> bool {
        min_version == 0
            || self
                .weight_version
                .is_some_and(|version| version >= min_version)
    }
}

/// The live engines by pool.
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
    places: HashMap<UpstreamId, (Arc<str>, usize)>,
    upstreams: Option<Arc<Upstreams>>,
    engines: Option<Arc<Engines>>,
    /// Raised whenever the lists change, not the loads.
    generation: u64,
}

impl Targets {
    /// Takes in what changed on the blackboard since the last call.
    pub fn refresh(&mut self, board: &Blackboard) {
        if !is_same(self.upstreams.as_ref(), &board.upstreams) {
            self.rebuild(board);
            self.upstreams = Some(board.upstreams.clone());
            self.engines = None;
        }
        if !is_same(self.engines.as_ref(), &board.engines) {
            for pool in self.pools.values_mut() {
                observe(pool, &board.engines);
            }
            self.engines = Some(board.engines.clone());
        }
    }

    /// Returns the engines of a pool by name.
    pub fn pool(&self, pool: &str) -> &[Target] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns a number that changes whenever engines come or go.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns where `engine` stands in its pool.
    pub fn place(&self, engine: &UpstreamId) -> Option<usize> {
        self.places.get(engine).map(|(_, place)| *place)
    }

    /// Counts a request that was sent to `engine`.
    pub fn on_sent(&mut self, engine: &UpstreamId) {
        if let Some(target) = self.target_mut(engine) {
            target.in_flight += 1;
            target.sent[0] += 1;
        }
    }

    /// Counts a request that ended on `engine`, or that it refused.
    pub fn on_done(&mut self, engine: &UpstreamId) {
        if let Some(target) = self.target_mut(engine) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.done[0] += 1;
        }
    }

    fn target_mut(&mut self, engine: &UpstreamId) -> Option<&mut Target> {
        let (pool, place) = self.places.get(engine)?;
        self.pools.get_mut(pool)?.get_mut(*place)
    }

    fn rebuild(&mut self, board: &Blackboard) {
        let mut known: HashMap<UpstreamId, Target> = std::mem::take(&mut self.pools)
            .into_values()
            .flatten()
            .map(|target| (target.id.clone(), target))
            .collect();
        self.places.clear();
        let live = board.upstreams.members.values().filter(|upstream| {
            upstream.kind == UpstreamKind::Engine && upstream.state == UpstreamState::Live
        });
        for upstream in live {
            let target = known
                .remove(&upstream.id)
                .unwrap_or_else(|| Target::new(upstream.id.clone()));
            let pool = self.pools.entry(upstream.pool.clone()).or_default();
            let place = (upstream.pool.clone(), pool.len());
            self.places.insert(upstream.id.clone(), place);
            pool.push(target);
        }
        self.generation += 1;
    }
}

fn is_same<T>(seen: Option<&Arc<T>>, current: &Arc<T>) -> bool {
    seen.is_some_and(|seen| Arc::ptr_eq(seen, current))
}

/// Walks pool and reports together, as both are sorted by name.
fn observe(pool: &mut [Target], engines: &Engines) {
    let mut reports = engines.reports.iter().peekable();
    for target in pool {
        while reports.next_if(|(id, _)| **id < target.id).is_some() {}
        if let Some((_, report)) = reports.next_if(|(id, _)| **id == target.id) {
            target.observe(report);
        }
    }
}
