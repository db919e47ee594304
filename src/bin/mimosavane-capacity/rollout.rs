//! Simulates a rollout of weights over fake engines in virtual time.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use mimosavane::{
    ids::UpstreamId,
    weights::{
        lease::{self, Terms, Versioned, WriteOutcome},
        order::{DesiredState, Order, OrderOutcome, Report, SwapState},
        shard::{Action, Event, Shard},
        wave::Limits,
    },
};

const TERMS: Terms = Terms {
    lease: Duration::from_secs(10),
    order_timeout: Duration::from_secs(2),
    watch_interval: Duration::from_secs(1),
    max_claim_jitter: Duration::from_millis(500),
};

/// The ratio of engines that must keep serving during the rollout.
const FLOOR_RATIO: f64 = 0.5;

const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const LOAD_TIME: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(5);
const MAX_TIME: Duration = Duration::from_secs(120);

/// The cost of one rollout.
pub struct Rollout {
    /// The processor time of the planner.
    pub processor_time: Duration,
    /// The virtual time until all engines ran the new version.
    pub time: Duration,
}

/// The simulated store and engines.
struct Simulation {
    now: Duration,
    store: Option<Versioned>,
    engines: BTreeMap<UpstreamId, (Report, Option<(u64, Duration)>)>,
    events: Vec<Event>,
}

/// Rolls out a version over `engine_count` engines of one shard.
pub fn run(engine_count: usize, max_rate_loads_per_s: f64) -> Rollout {
    let limits = Limits {
        capacity_floor_ratio: FLOOR_RATIO,
        max_rate_loads_per_s,
    };
    let report = Report {
        boot: 1,
        version: 1,
        swap: SwapState::Idle,
    };
    let engines: BTreeMap<UpstreamId, _> = (0..engine_count)
        .map(|number| (format!("engine-{number:04}").into(), (report, None)))
        .collect();
    let listed = engines.keys().map(|id| (id.clone(), Arc::from("base")));
    let mut simulation = Simulation {
        now: Duration::ZERO,
        store: None,
        events: vec![Event::Listed(listed.collect())],
        engines,
    };
    let mut shard = Shard::new("entry-0", 1, TERMS, limits);
    while simulation.now < WARM_UP {
        simulation.step(&mut shard);
    }
    let started_at = simulation.now;
    let desired = DesiredState {
        version: 2,
        ..DesiredState::default()
    };
    simulation
        .events
        .push(Event::Desired([(Arc::from("base"), desired)].into()));
    let mut processor_time = Duration::ZERO;
    while !simulation.is_done() && simulation.now < started_at + MAX_TIME {
        processor_time += simulation.step(&mut shard);
    }
    Rollout {
        processor_time,
        time: simulation.now - started_at,
    }
}

impl Simulation {
    fn is_done(&self) -> bool {
        self.engines
            .values()
            .all(|(report, _)| report.version == 2 && report.swap == SwapState::Idle)
    }

    fn step(&mut self, shard: &mut Shard) -> Duration {
        self.now += ROUND_INTERVAL;
        for (report, loading) in self.engines.values_mut() {
            if let Some((version, until)) = *loading
                && self.now >= until
            {
                *loading = None;
                report.version = version;
                report.swap = SwapState::Idle;
            }
        }
        let events = std::mem::take(&mut self.events);
        let start = Instant::now();
        let actions = shard.run(events, self.now);
        let elapsed = start.elapsed();
        for action in actions {
            self.apply(action);
        }
        elapsed
    }

    fn apply(&mut self, action: Action) {
        let event = match action {
            Action::Lease(lease::Action::Read) => {
                Event::Lease(lease::Event::Read(Some(self.store.clone())))
            }
            Action::Lease(lease::Action::Write { version, record }) => {
                self.store = Some(Versioned {
                    version: version + 1,
                    record,
                });
                Event::Lease(lease::Event::Wrote(WriteOutcome::Done))
            }
            Action::Poll { engine } => {
                let report = self.engines[&engine].0;
                Event::Reported { engine, report }
            }
            Action::Send { engine, order } => {
                if let Order::LoadWeights { version } = order
                    && let Some((report, loading)) = self.engines.get_mut(&engine)
                {
                    *loading = Some((version, self.now + LOAD_TIME));
                    report.swap = SwapState::Loading;
                }
                Event::Ended {
                    engine,
                    order,
                    outcome: OrderOutcome::Accepted,
                }
            }
        };
        self.events.push(event);
    }
}
