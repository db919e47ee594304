//! Baseline policies that the production policies are compared with in a run.

use rand::Rng as _;

use crate::{
    clock::Timestamp,
    control::{blackboard::Blackboard, controller::Rng},
    engine::{
        routing::{Policy, Request},
        targets::{Target, Targets},
    },
    ids::UpstreamId,
    share::fairness::Ranking,
};

/// Serves requests in order of arrival, regardless of their row.
#[derive(Debug)]
pub struct FirstCome;

impl Ranking for FirstCome {
    const ENFORCES_SHARES: bool = false;

    fn rank(_virtual_time: f64, next_sequence: u64) -> f64 {
        next_sequence as f64
    }
}

/// A rule by which a baseline picks one of the eligible engines.
pub trait Pick {
    /// The name of the baseline in comparisons.
    const NAME: &'static str;

    /// Returns one of `eligible`, which must not be empty.
    fn pick<'a>(&mut self, eligible: &[&'a Target], rng: &mut Rng) -> &'a Target;
}

/// Picks an engine uniformly at random.
#[derive(Debug, Default)]
pub struct Random;

impl Pick for Random {
    const NAME: &'static str = "random";

    fn pick<'a>(&mut self, eligible: &[&'a Target], rng: &mut Rng) -> &'a Target {
        eligible[rng.random_range(0..eligible.len())]
    }
}

/// Picks the engines in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Pick for RoundRobin {
    const NAME: &'static str = "round-robin";

    fn pick<'a>(&mut self, eligible: &[&'a Target], _rng: &mut Rng) -> &'a Target {
        self.next = self.next.wrapping_add(1);
        eligible[self.next % eligible.len()]
    }
}

/// Picks the engine with the fewest requests, estimated from its lagging report
/// and the host's own count.
#[derive(Debug, Default)]
pub struct LeastRequests;

impl Pick for LeastRequests {
    const NAME: &'static str = "least-requests";

    fn pick<'a>(&mut self, eligible: &[&'a Target], _rng: &mut Rng) -> &'a Target {
        eligible
            .iter()
            .skip(1)
            .fold(eligible[0], with_fewer_requests)
    }
}

/// Picks the one with fewer requests of two random engines.
#[derive(Debug, Default)]
pub struct PowerOfTwo;

impl Pick for PowerOfTwo {
    const NAME: &'static str = "power-of-two";

    fn pick<'a>(&mut self, eligible: &[&'a Target], rng: &mut Rng) -> &'a Target {
        let first = eligible[rng.random_range(0..eligible.len())];
        let second = eligible[rng.random_range(0..eligible.len())];
        with_fewer_requests(first, &second)
    }
}

fn with_fewer_requests<'a>(first: &'a Target, second: &&'a Target) -> &'a Target {
    if second.request_count() < first.request_count() {
        second
    } else {
        first
    }
}

/// A baseline policy for the choice of an engine.
///
/// # Examples
///
/// ```
/// use mimosavane::engine::{baseline::{Baseline, Random}, routing::Policy};
///
/// assert_eq!(Baseline::<Random>::NAME, "random");
/// ```
#[derive(Debug, Default)]
pub struct Baseline<P> {
    targets: Targets,
    pick: P,
}

impl<P: Pick> Policy for Baseline<P> {
    const NAME: &'static str = P::NAME;

    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        _now: Timestamp,
        rng: &mut Rng,
    ) -> Option<UpstreamId> {
        self.targets.refresh(board);
        let eligible: Vec<&Target> = self
            .targets
            .pool(request.pool)
            .iter()
            .filter(|target| request.can_run_on(target))
            .collect();
        if eligible.is_empty() {
            return None;
        }
        Some(self.pick.pick(&eligible, rng).id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}
