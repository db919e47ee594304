//! Chooses an engine for each request by prefix locality and load.
//!
//! Only a few candidates are compared: engines that have the prompt's prefix
//! cached for certain, engines that the prompt's hash selects, and a few random
//! ones, so that hosts with the same lagging reports do not all choose the same
//! idle engine (see docs/design/routing.md).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::Rng as _;

use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, Hosts},
        controller::Rng,
    },
    engine::{
        cache_index::{BlockHash, Index, MAX_ENGINES},
        rendezvous,
        targets::{Target, Targets},
    },
    ids::{HostId, Region, RowId, UpstreamId, WeightVersion},
    share::fairness::{Class, PROMPT_COST_RATIO},
};

/// The number of random candidates.
const RANDOM_CANDIDATE_COUNT: usize = 4;

/// The maximum number of candidates that have the prefix cached.
const MAX_HOLDER_CANDIDATE_COUNT: usize = 4;

/// The number of candidates that the hash of the prompt selects.
const STICKY_CANDIDATE_COUNT: usize = 2;

/// The maximum number of candidates per request.
const MAX_CANDIDATE_COUNT: usize =
    RANDOM_CANDIDATE_COUNT + MAX_HOLDER_CANDIDATE_COUNT + STICKY_CANDIDATE_COUNT;

/// The maximum number of engines of a pool that one host sends interactive
/// requests to.
pub const SUBSET_ENGINE_COUNT: usize = 256;

/// The number of tokens in a hashed block of a prompt.
pub const BLOCK_TOKENS: u32 = 16;

/// The ratio of a prompt that an engine selected by its hash is expected to have
/// cached.
const STICKY_MATCH_RATIO: f32 = 0.5;

/// The slowdown of generation in a full batch, relative to an empty one.
const BATCH_SLOWDOWN_RATIO: f32 = 0.3;

/// A request and its requirements of an engine.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The row that the request is charged to.
    pub row: &'a RowId,
    /// The pool of engines, named after the model.
    pub pool: &'a str,
    /// The class of the request: interactive if a user waits for the answer.
    pub class: Class,
    /// The hashes of the prompt's blocks, each including all blocks before it.
    pub prefix: &'a [BlockHash],
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The predicted length of the answer in tokens.
    pub predicted_tokens: u32,
    /// The minimum version of the weights; 0 accepts any.
    pub min_version: WeightVersion,
    /// Engines that must not be chosen because other attempts run there.
    pub exclude: &'a [UpstreamId],
}

impl Request<'_> {
    /// Returns whether the request may be sent to `target`.
    pub fn can_run_on(&self, target: &Target) -> bool {
        target.has_version(self.min_version) && !self.exclude.contains(&target.id)
    }
}

/// A policy for the choice of an engine, implemented by the router and by the
/// baselines that it is compared with.
pub trait Policy {
    /// The name of the policy in comparisons.
    const NAME: &'static str;

    /// Returns the engine for `request`, or `None` if no engine is eligible.
    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<UpstreamId>;

    /// Applies the changes of the blackboard; needed once per round.
    fn refresh(&mut self, _board: &Blackboard) {}

    /// Records that a request was sent to `engine`.
    fn on_sent(&mut self, engine: &UpstreamId);

    /// Records that a request to `engine` ended, was refused or was abandoned.
    fn on_done(&mut self, engine: &UpstreamId);
}

/// The production policy: weighs prefix locality against load.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     Blackboard,
///     control::controller::Rng,
///     engine::routing::{Policy as _, Request, Router},
///     share::fairness::Class,
/// };
/// use rand::SeedableRng;
/// use std::time::Duration;
///
/// let request = Request {
///     row: &"guides".into(),
///     pool: "base",
///     class: Class::Rollout,
///     prefix: &[],
///     prompt_tokens: 100,
///     predicted_tokens: 400,
///     min_version: 0,
///     exclude: &[],
/// };
/// let mut router = Router::new("entry-1");
/// let mut rng = Rng::seed_from_u64(1);
/// let chosen = router.choose(&Blackboard::default(), &request, Duration::ZERO, &mut rng);
/// assert_eq!(chosen, None);
/// ```
#[derive(Debug)]
pub struct Router {
    host: HostId,
    targets: Targets,
    caches: Index,
    /// The engines for interactive requests by pool, as indexes in the pool.
    subsets: BTreeMap<Arc<str>, Vec<u32>>,
    /// The generation of `targets` that `subsets` was computed from.
    generation: u64,
}

/// The candidates for one request, in a fixed array to avoid allocations.
#[derive(Debug, Default)]
struct Candidates {
    /// The index of each candidate in its pool, with the ratio of the prompt
    /// that it has cached.
    entries: [(u32, f32); MAX_CANDIDATE_COUNT],
    len: usize,
}

impl Candidates {
    /// Adds the engine at index `index`, which has `matched_ratio` of the prompt
    /// cached.
    fn push(&mut self, index: usize, matched_ratio: f32) {
        if self.len < MAX_CANDIDATE_COUNT {
            self.entries[self.len] = (u32::try_from(index).unwrap_or(u32::MAX), matched_ratio);
            self.len += 1;
        }
    }

    fn iter(&self) -> impl Iterator<Item = (usize, f32)> {
        self.entries[..self.len]
            .iter()
            .map(|(index, matched)| (*index as usize, *matched))
    }
}

impl Router {
    /// Creates the router of `host`.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: host.into(),
            targets: Targets::default(),
            caches: Index::default(),
            subsets: BTreeMap::new(),
            generation: 0,
        }
    }

    /// Applies the changes of the blackboard; needed once per round.
    pub fn refresh(&mut self, board: &Blackboard) {
        self.targets.refresh(board);
        if self.generation != self.targets.generation() {
            self.generation = self.targets.generation();
            self.update_subsets(board);
        }
    }

    /// Returns the index of the engines' caches, to apply cache events to it.
    pub fn caches_mut(&mut self) -> &mut Index {
        &mut self.caches
    }

    /// Returns the engines with their estimated load.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Selects the engines for interactive requests in each pool: those in the
    /// host's region first, then by rendezvous score.
    fn update_subsets(&mut self, board: &Blackboard) {
        self.subsets.clear();
        let own_region = region_of_host(&board.hosts, &self.host);
        let pools: BTreeSet<&Arc<str>> = board
            .upstreams
            .members
            .values()
            .map(|upstream| &upstream.pool)
            .collect();
        let regions = regions_by_failure_domain(&board.hosts);
        let key = rendezvous::key([self.host.as_bytes()]);
        for pool in pools {
            let mut ranked: Vec<(bool, u64, u32)> = self
                .targets
                .pool(pool)
                .iter()
                .zip(0..)
                .map(|(target, index)| {
                    let region = board
                        .upstreams
                        .members
                        .get(&target.id)
                        .and_then(|upstream| regions.get(&*upstream.failure_domain));
                    let is_remote = region.copied() != own_region;
                    (is_remote, rendezvous::score(key, &target.id), index)
                })
                .collect();
            ranked.sort_unstable();
            ranked.truncate(SUBSET_ENGINE_COUNT);
            let indexes = ranked.into_iter().map(|(.., index)| index).collect();
            self.subsets.insert(pool.clone(), indexes);
        }
    }

    /// Returns the candidates for `request`.
    fn candidates(&self, request: &Request<'_>, pool: &[Target], rng: &mut Rng) -> Candidates {
        let mut candidates = Candidates::default();
        let subset = self
            .subsets
            .get(request.pool)
            .filter(|_| request.class == Class::Interactive);
        let count = subset.map_or(pool.len(), Vec::len);
        let pool_index = |at: usize| subset.map_or(at, |subset| subset[at] as usize);
        let start = rng.random_range(0..MAX_ENGINES);
        let holders = self.caches.holders(request.prefix, start);
        for (engine, matched) in holders.take(MAX_HOLDER_CANDIDATE_COUNT) {
            if let Some(index) = self.targets.index(engine) {
                candidates.push(index, matched as f32 / request.prefix.len() as f32);
            }
        }
        if let Some(&last) = request.prefix.last() {
            for salt in 0..STICKY_CANDIDATE_COUNT as u64 {
                let hash = rendezvous::key([&last.to_le_bytes()[..], &salt.to_le_bytes()]);
                let at = (hash % count as u64) as usize;
                candidates.push(pool_index(at), STICKY_MATCH_RATIO);
            }
        }
        for _ in 0..RANDOM_CANDIDATE_COUNT {
            candidates.push(pool_index(rng.random_range(0..count)), 0.0);
        }
        candidates
    }
}

impl Policy for Router {
    const NAME: &'static str = "locality-and-load";

    fn refresh(&mut self, board: &Blackboard) {
        Self::refresh(self, board);
    }

    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        _now: Timestamp,
        rng: &mut Rng,
    ) -> Option<UpstreamId> {
        self.refresh(board);
        let pool = self.targets.pool(request.pool);
        if pool.is_empty() {
            return None;
        }
        let candidates = self.candidates(request, pool, rng);
        let best = candidates
            .iter()
            .filter_map(|(index, matched)| pool.get(index).map(|target| (target, matched)))
            .filter(|(target, _)| request.can_run_on(target))
            .min_by(|a, b| expected_cost(request, a).total_cmp(&expected_cost(request, b)))
            .map(|(target, _)| target);
        best.or_else(|| least_loaded(pool, request, rng))
            .map(|target| target.id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}

/// Returns the expected duration of the request, as a multiple of the time per
/// token.
fn expected_cost(request: &Request<'_>, (target, matched_ratio): &(&Target, f32)) -> f32 {
    let load = target.load_ratio();
    let answer_tokens = request.predicted_tokens as f32;
    let next_load = load + 1.0 / target.slots as f32;
    let wait = (next_load - 1.0).max(0.0) * answer_tokens;
    let slowdown = load.min(1.0) * BATCH_SLOWDOWN_RATIO * answer_tokens;
    let uncached_tokens = request.prompt_tokens as f32 * (1.0 - matched_ratio);
    wait + slowdown + uncached_tokens * PROMPT_COST_RATIO as f32
}

/// Returns the eligible engine with the least load of the whole pool, for
/// requests without an eligible candidate.
fn least_loaded<'a>(
    pool: &'a [Target],
    request: &Request<'_>,
    rng: &mut Rng,
) -> Option<&'a Target> {
    let start = rng.random_range(0..pool.len());
    pool[start..]
        .iter()
        .chain(&pool[..start])
        .filter(|target| request.can_run_on(target))
        .min_by(|a, b| a.load_ratio().total_cmp(&b.load_ratio()))
}

/// Returns the region of `host`.
fn region_of_host<'a>(hosts: &'a Hosts, host: &HostId) -> Option<&'a Region> {
    hosts.members.get(host).map(|host| &host.region)
}

/// Returns the region of each failure domain that has a host.
fn regions_by_failure_domain(hosts: &Hosts) -> BTreeMap<&str, &Region> {
    hosts
        .members
        .values()
        .map(|host| (&*host.failure_domain, &host.region))
        .collect()
}
