//! Simple policies to compare the real ones with, in the same run.

use rand::Rng as _;

use crate::{
    blackboard::Blackboard,
    clock::Timestamp,
    controller::Rng,
    ids::UpstreamId,
    routing::{Policy, Request},
    targets::{Target, Targets},
};

/// Returns the engines that may take `request`.
fn admitted<'a>(pool: &'a [Target], request: &Request<'_>) -> Vec<&'a Target> {
    pool.iter()
        .filter(|target| target.runs(request.min_version) && !request.exclude.contains(&target.id))
        .collect()
}

/// Draws an engine at random.
#[derive(Debug, Default)]
pub struct Random {
    targets: Targets,
}

impl Policy for Random {
    const NAME: &'static str = "random";

    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        _now: Timestamp,
        rng: &mut Rng,
    ) -> Option<UpstreamId> {
        self.targets.refresh(board);
        let admitted = admitted(self.targets.pool(request.pool), request);
        if admitted.is_empty() {
            return None;
        }
        Some(admitted[rng.random_range(0..admitted.len())].id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}

/// Takes the engines in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    targets: Targets,
    next: usize,
}

impl Policy for RoundRobin {
    const NAME: &'static str = "round-robin";

    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        _now: Timestamp,
        _rng: &mut Rng,
    ) -> Option<UpstreamId> {
        self.targets.refresh(board);
        let admitted = admitted(self.targets.pool(request.pool), request);
        if admitted.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(admitted[self.next % admitted.len()].id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}

/// Takes the engine with the fewest requests by its lagging report and the
/// host's own count.
#[derive(Debug, Default)]
pub struct LeastRequests {
    targets: Targets,
}

impl Policy for LeastRequests {
    const NAME: &'static str = "least-requests";

    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        _now: Timestamp,
        _rng: &mut Rng,
    ) -> Option<UpstreamId> {
        self.targets.refresh(board);
        admitted(self.targets.pool(request.pool), request)
            .into_iter()
            .min_by_key(|target| target.request_count())
            .map(|target| target.id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}

/// Draws two engines and takes the one with fewer requests.
#[derive(Debug, Default)]
pub struct PowerOfTwo {
    targets: Targets,
}

impl Policy for PowerOfTwo {
    const NAME: &'static str = "power-of-two";

    fn choose(
        &mut self,
        board: &Blackboard,
        request: &Request<'_>,
        _now: Timestamp,
        rng: &mut Rng,
    ) -> Option<UpstreamId> {
        self.targets.refresh(board);
        let admitted = admitted(self.targets.pool(request.pool), request);
        if admitted.is_empty() {
            return None;
        }
        let mut draw = || admitted[rng.random_range(0..admitted.len())];
        let (first, second) = (draw(), draw());
        let chosen = if second.request_count() < first.request_count() {
            second
        } else {
            first
        };
        Some(chosen.id.clone())
    }

    fn on_sent(&mut self, engine: &UpstreamId) {
        self.targets.on_sent(engine);
    }

    fn on_done(&mut self, engine: &UpstreamId) {
        self.targets.on_done(engine);
    }
}
