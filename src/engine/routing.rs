//! Chooses an engine for each request: prefix locality against load.
//!
//! A few candidates are compared, not all engines: those that surely hold the
//! prompt's prefix, those that the prompt's hash points to, and a few drawn at
//! random, so that hosts with the same lagging reports do not all pick the same
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

/// How many engines are drawn at random.
const RANDOM_CANDIDATES: usize = 4;

/// How many engines that hold the prefix are compared.
const HOLDER_CANDIDATES: usize = 4;

/// How many engines the hash of the prompt points to.
const STICKY_CANDIDATES: usize = 2;

const MAX_CANDIDATES: usize = RANDOM_CANDIDATES + HOLDER_CANDIDATES + STICKY_CANDIDATES;

/// The engines of a pool that one host sends interactive requests to.
pub const SUBSET_ENGINE_COUNT: usize = 256;

/// Tokens in one hashed block of a prompt.
pub const BLOCK_TOKENS: u32 = 16;

/// The part of a prompt that the engine its hash points to is expected to hold.
const STICKY_MATCH_RATIO: f32 = 0.5;

/// How much slower a full batch generates than an empty one.
const BATCH_SLOWDOWN_RATIO: f32 = 0.3;

/// What a request asks of its engine.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The row that is charged.
    pub row: &'a RowId,
    /// The pool, which is the model.
    pub pool: &'a str,
    /// Whether somebody waits.
    pub class: Class,
    /// The hashes of the prompt's blocks, each with all before it.
    pub prefix: &'a [BlockHash],
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The predicted length of the answer.
    pub predicted_tokens: u32,
    /// The oldest weights that are good enough; 0 takes any.
    pub min_version: WeightVersion,
    /// Engines that must not be chosen, as other attempts run there.
    pub exclude: &'a [UpstreamId],
}

impl Request<'_> {
    /// Says whether `target` may take the request at all.
    pub fn admits(&self, target: &Target) -> bool {
        target.runs(self.min_version) && !self.exclude.contains(&target.id)
    }
}

/// A way to choose engines, so that baselines run beside the real one.
pub trait Policy {
    /// Names the policy in comparisons.
    const NAME: &'static str;

    /// Returns the engine for `request`, or `None` where none may take it.
    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<UpstreamId>;

    /// Takes in what changed on the blackboard; once a round is enough.
    fn refresh(&mut self, _board: &Blackboard) {}

    /// Counts a request that was sent.
    fn on_sent(&mut self, engine: &UpstreamId);

    /// Counts a request that ended, was refused, or was given up.
    fn on_done(&mut self, engine: &UpstreamId);
}

/// The real policy.
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
    /// The engines for interactive requests, by pool, as places in it.
    subsets: BTreeMap<Arc<str>, Vec<u32>>,
    generation: u64,
}

/// The candidates of one choice, without allocation.
#[derive(Debug, Default)]
struct Candidates {
    places: [(u32, f32); MAX_CANDIDATES],
    len: usize,
}

impl Candidates {
    /// Adds a place with the part of the prompt that it holds.
    fn push(&mut self, place: usize, matched_ratio: f32) {
        if self.len < MAX_CANDIDATES {
            self.places[self.len] = (u32::try_from(place).unwrap_or(u32::MAX), matched_ratio);
            self.len += 1;
        }
    }

    fn iter(&self) -> impl Iterator<Item = (usize, f32)> {
        self.places[..self.len]
            .iter()
            .map(|(place, matched)| (*place as usize, *matched))
    }
}

impl Router {
    /// Makes the router of `host`.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: host.into(),
            targets: Targets::default(),
            caches: Index::default(),
            subsets: BTreeMap::new(),
            generation: 0,
        }
    }

    /// Takes in what changed on the blackboard; once a round is enough.
    pub fn refresh(&mut self, board: &Blackboard) {
        self.targets.refresh(board);
        if self.generation != self.targets.generation() {
            self.generation = self.targets.generation();
            self.choose_subsets(board);
        }
    }

    /// Returns the index of the engines' caches, to feed it.
    pub fn caches_mut(&mut self) -> &mut Index {
        &mut self.caches
    }

    /// Returns the engines with their estimated loads.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    fn choose_subsets(&mut self, board: &Blackboard) {
        self.subsets.clear();
        let own = region_of_host(&board.hosts, &self.host);
        let pools: BTreeSet<&Arc<str>> = board
            .upstreams
            .members
            .values()
            .map(|upstream| &upstream.pool)
            .collect();
        let regions = regions(&board.hosts);
        let key = rendezvous::key([self.host.as_bytes()]);
        for pool in pools {
            let mut ranked: Vec<(bool, u64, u32)> = self
                .targets
                .pool(pool)
                .iter()
                .zip(0..)
                .map(|(target, place)| {
                    let region = board
                        .upstreams
                        .members
                        .get(&target.id)
                        .and_then(|upstream| regions.get(&*upstream.failure_domain));
                    let is_far = region.copied() != own;
                    (is_far, rendezvous::score(key, &target.id), place)
                })
                .collect();
            ranked.sort_unstable();
            ranked.truncate(SUBSET_ENGINE_COUNT);
            let places = ranked.into_iter().map(|(.., place)| place).collect();
            self.subsets.insert(pool.clone(), places);
        }
    }

    fn candidates(&self, request: &Request<'_>, pool: &[Target], rng: &mut Rng) -> Candidates {
        let mut candidates = Candidates::default();
        let subset = self
            .subsets
            .get(request.pool)
            .filter(|_| request.class == Class::Interactive);
        let count = subset.map_or(pool.len(), Vec::len);
        let place = |at: usize| subset.map_or(at, |subset| subset[at] as usize);
        let start = rng.random_range(0..MAX_ENGINES);
        let holders = self.caches.holders(request.prefix, start);
        for (engine, matched) in holders.take(HOLDER_CANDIDATES) {
            if let Some(place) = self.targets.place(engine) {
                candidates.push(place, matched as f32 / request.prefix.len() as f32);
            }
        }
        if let Some(&last) = request.prefix.last() {
            for salt in 0..STICKY_CANDIDATES as u64 {
                let hash = rendezvous::key([&last.to_le_bytes()[..], &salt.to_le_bytes()]);
                let at = (hash % count as u64) as usize;
                candidates.push(place(at), STICKY_MATCH_RATIO);
            }
        }
        for _ in 0..RANDOM_CANDIDATES {
            candidates.push(place(rng.random_range(0..count)), 0.0);
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
            .filter_map(|(place, matched)| pool.get(place).map(|target| (target, matched)))
            .filter(|(target, _)| request.admits(target))
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

/// Returns how long the answer is expected to take, in token times.
fn expected_cost(request: &Request<'_>, (target, matched_ratio): &(&Target, f32)) -> f32 {
    let load = target.load_ratio();
    let answer = request.predicted_tokens as f32;
    let next = load + 1.0 / target.slots as f32;
    let wait = (next - 1.0).max(0.0) * answer;
    let slowdown = load.min(1.0) * BATCH_SLOWDOWN_RATIO * answer;
    let unread = request.prompt_tokens as f32 * (1.0 - matched_ratio);
    wait + slowdown + unread * PROMPT_COST_RATIO as f32
}

/// Looks at all engines, for when none of the candidates may take the request.
fn least_loaded<'a>(
    pool: &'a [Target],
    request: &Request<'_>,
    rng: &mut Rng,
) -> Option<&'a Target> {
    let start = rng.random_range(0..pool.len());
    pool[start..]
        .iter()
        .chain(&pool[..start])
        .filter(|target| request.admits(target))
        .min_by(|a, b| a.load_ratio().total_cmp(&b.load_ratio()))
}

fn region_of_host<'a>(hosts: &'a Hosts, host: &HostId) -> Option<&'a Region> {
    hosts.members.get(host).map(|host| &host.region)
}

/// Returns the region of each failure domain that a host stands in.
fn regions(hosts: &Hosts) -> BTreeMap<&str, &Region> {
    hosts
        .members
        .values()
        .map(|host| (&*host.failure_domain, &host.region))
        .collect()
}
