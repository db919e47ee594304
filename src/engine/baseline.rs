//! Simple policies to compare the real ones with, in the same run.

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

/// Serves requests in the order of their arrival, whatever their row.
#[derive(Debug)]
pub struct FirstCome;

impl Ranking for FirstCome {
    const ENFORCES_SHARES: bool = false;

    fn rank(_virtual_time: f64, next_sequence: u64) -> f64 {
        next_sequence as f64
    }
}

/// How a baseline picks one of the engines that may take a request.
pub trait Pick {
    /// Names the baseline in comparisons.
    const NAME: &'static str;

    /// Returns one of `admitted`, which holds at least one engine.
    fn pick<'a>(&mut self, admitted: &[&'a Target], rng: &mut Rng) -> &'a Target;
}

/// Draws an engine at random.
#[derive(Debug, Default)]
pub struct Random;

impl Pick for Random {
    const NAME: &'static str = "random";

    fn pick<'a>(&mut self, admitted: &[&'a Target], rng: &mut Rng) -> &'a Target {
        admitted[rng.random_range(0..admitted.len())]
    }
}

/// Takes the engines in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Pick for RoundRobin {
    const NAME: &'static str = "round-robin";

    fn pick<'a>(&mut self, admitted: &[&'a Target], _rng: &mut Rng) -> &'a Target {
        self.next = self.next.wrapping_add(1);
        admitted[self.next % admitted.len()]
    }
}

/// Takes the engine with the fewest requests by the lagging report and the
/// host's own count.
#[derive(Debug, Default)]
pub struct LeastRequests;

impl Pick for LeastRequests {
    const NAME: &'static str = "least-requests";

    fn pick<'a>(&mut self, admitted: &[&'a Target], _rng: &mut Rng) -> &'a Target {
        admitted.iter().skip(1).fold(admitted[0], fewer)
    }
}

/// Draws two engines and takes the one with fewer requests.
#[derive(Debug, Default)]
pub struct PowerOfTwo;

impl Pick for PowerOfTwo {
    const NAME: &'static str = "power-of-two";

    fn pick<'a>(&mut self, admitted: &[&'a Target], rng: &mut Rng) -> &'a Target {
        let first = admitted[rng.random_range(0..admitted.len())];
        let second = admitted[rng.random_range(0..admitted.len())];
        fewer(first, &second)
    }
}

fn fewer<'a>(first: &'a Target, second: &&'a Target) -> &'a Target {
    if second.request_count() < first.request_count() {
        second
    } else {
        first
    }
}

/// A baseline of engine choice.
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
        let admitted: Vec<&Target> = self
            .targets
            .pool(request.pool)
            .iter()
            .filter(|target| request.admits(target))
            .collect();
        if admitted.is_empty() {
            return None;
        }
        Some(self.pick.pick(&admitted, rng).id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}
