//! Builds a blackboard and controllers of a given size, for measurements.

use std::{sync::Arc, time::Duration};

use mimosavane::{
    Blackboard, Controller as _, Row,
    control::{
        blackboard::{
            EngineReport, Engines, Host, HostState, Hosts, Rows, Upstream, UpstreamKind,
            UpstreamState, Upstreams,
        },
        controller::{Rng, Round},
    },
    engine::{
        cache_index::{BlockHash, CacheEvent, MAX_ENGINES},
        rendezvous,
        routing::{Request, Router},
    },
    ids::{HostId, RowId, UpstreamId},
    share::{
        dispatch,
        fairness::{self, Class, Cost, Entry, Queue},
        ledger, quota,
    },
    step::{
        self,
        attach::Pull,
        sample::{FinishReason, Sample},
        spec::{PromptGroup, StepSpec},
    },
};
use rand::SeedableRng as _;

/// The number of rows on the blackboard.
pub const ROW_COUNT: usize = 11;

/// The number of samples in the measured step.
pub const SAMPLE_COUNT: u32 = 4_096;

/// The number of engines per host at full size.
const ENGINES_PER_HOST: usize = 6;

/// The number of requests of each row that wait at each engine.
const WAITING_PER_ROW: u64 = 16;

/// The pool of all engines.
pub const POOL: &str = "base";

/// The virtual time at which measurements start.
pub const START: Duration = Duration::from_secs(1_000);

/// The state of one host's control thread.
#[derive(Debug)]
pub struct Node {
    /// The blackboard of the host.
    pub board: Blackboard,
    /// The policy that chooses engines.
    pub router: Router,
    /// The controller of the request queues.
    pub dispatcher: dispatch::Controller,
    /// The host's part of the ledger of served tokens.
    pub ledger: ledger::Controller,
    /// The host's part of the rows' limits.
    pub quota: quota::Controller,
    /// The random number generator.
    pub rng: Rng,
    /// The virtual time of the last round.
    pub now: Duration,
    next_ticket: u64,
    engines: Vec<UpstreamId>,
}

/// Returns the id of a row.
pub fn row(number: usize) -> RowId {
    format!("row-{number:02}").into()
}

fn engine(number: usize) -> UpstreamId {
    format!("engine-{number:04}").into()
}

fn host(number: usize) -> HostId {
    format!("entry-{number:04}").into()
}

/// Returns the reports of all engines as of `at`.
pub fn reports(engine_count: usize, at: Duration) -> Arc<Engines> {
    let reports = (0..engine_count).map(|number| {
        let report = EngineReport {
            boot: 1,
            weight_version: 5,
            running: (number % 60) as u32,
            slots: 64,
            at,
            token_time: Duration::from_millis(25),
            ..EngineReport::default()
        };
        (engine(number), report)
    });
    Arc::new(Engines {
        reports: reports.collect(),
        ..Engines::default()
    })
}

fn rows() -> Rows {
    let mut rows = Rows::default();
    for number in 0..ROW_COUNT {
        let mut entry = Row::new(row(number));
        entry.max_running_samples = 100_000;
        rows.rows.insert(entry.id.clone(), entry.into());
    }
    rows
}

fn upstreams(engine_count: usize) -> Upstreams {
    let members = (0..engine_count).map(|number| {
        let upstream = Upstream {
            id: engine(number),
            kind: UpstreamKind::Engine,
            pool: POOL.into(),
            address: ([127, 0, 0, 1], 7_000).into(),
            failure_domain: format!("domain-{}", number % 19).into(),
            state: UpstreamState::Live,
            checks_fences: true,
        };
        (upstream.id.clone(), upstream)
    });
    Upstreams {
        members: members.collect(),
    }
}

fn hosts(host_count: usize) -> Hosts {
    let members = (0..host_count).map(|number| {
        let member = Host {
            id: host(number),
            incarnation: 1,
            state: HostState::Alive,
            failure_domain: format!("domain-{}", number % 19).into(),
            region: format!("region-{}", number % 7).into(),
            peer_address: ([127, 0, 0, 1], 9_000).into(),
            http_address: ([127, 0, 0, 1], 8_000).into(),
        };
        (member.id.clone(), member)
    });
    Hosts {
        members: members.collect(),
    }
}

impl Node {
    /// Creates a host in a fleet with `engine_count` engines and fills its queues.
    pub fn new(engine_count: usize) -> Self {
        let host_count = (engine_count / ENGINES_PER_HOST).max(1);
        let board = Blackboard {
            hosts: hosts(host_count).into(),
            upstreams: upstreams(engine_count).into(),
            rows: rows().into(),
            engines: reports(engine_count, START),
            ..Blackboard::default()
        };
        let split = quota::Split {
            ordinal: 0,
            host_count: host_count as u32,
            max_run: Duration::from_secs(120),
        };
        let ids: Vec<HostId> = board.hosts.members.keys().cloned().collect();
        let own = host(0);
        let engines = board
            .upstreams
            .members
            .keys()
            .filter(|engine| rendezvous::engine_dispatcher(engine, &ids) == Some(&own))
            .cloned()
            .collect();
        let mut node = Self {
            board,
            router: Router::new(own.clone()),
            dispatcher: dispatch::Controller::default(),
            ledger: ledger::Controller::new(own.clone(), 1),
            quota: quota::Controller::new(own, split, Duration::ZERO),
            rng: Rng::seed_from_u64(1),
            now: START,
            next_ticket: 0,
            engines,
        };
        node.router.refresh(&node.board);
        node.fill_caches();
        node.round();
        node
    }

    fn fill_caches(&mut self) {
        for number in 0..MAX_ENGINES {
            let event = CacheEvent {
                boot: 1,
                sequence: 1,
                stored: (0..4_096).collect(),
                evicted: Vec::new(),
            };
            self.router
                .caches_mut()
                .apply_event(&engine(number), event, self.now);
        }
    }

    /// Runs one round of the router, the ledger, the quota controller and the
    /// dispatcher.
    pub fn round(&mut self) {
        self.now += Duration::from_millis(50);
        self.router.refresh(&self.board);
        let loads = self.dispatcher.loads();
        let usage: Vec<quota::Event> = loads
            .iter()
            .map(|(row, load)| quota::Event::Usage {
                row: row.clone(),
                kind: quota::LimitKind::RunningSamples,
                used: u64::from(load.running_count),
                demand: u64::from(load.running_count),
            })
            .collect();
        let requests = self.refill_requests();
        let mut decisions = Vec::new();
        let mut round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut decisions,
        };
        self.ledger
            .run([ledger::Event::Loads(loads)], reborrow(&mut round));
        self.quota.run(usage, reborrow(&mut round));
        self.dispatcher.set_corrections(self.ledger.corrections());
        let allowances = self.quota.allowances(&round.board.rows, round.now);
        self.dispatcher.set_allowances(allowances);
        let actions = self.dispatcher.run(requests, reborrow(&mut round));
        let ended = actions.into_iter().filter_map(|action| match action {
            dispatch::Action::Start { ticket, .. } => Some(dispatch::Event::Finished {
                ticket,
                tokens: 400,
            }),
            _ => None,
        });
        self.dispatcher.run(ended, round);
    }

    /// Returns the requests that refill each row's queue at each engine.
    fn refill_requests(&mut self) -> Vec<dispatch::Event> {
        let mut events = Vec::new();
        for engine in &self.engines {
            let waiting = self.dispatcher.waiting_count(engine) as u64;
            for number in waiting..WAITING_PER_ROW * ROW_COUNT as u64 {
                self.next_ticket += 1;
                events.push(dispatch::Event::Enqueue(dispatch::Request {
                    ticket: self.next_ticket,
                    engine: engine.clone(),
                    row: row(number as usize % ROW_COUNT),
                    class: Class::Rollout,
                    priority: 0,
                    prompt_tokens: 500,
                    predicted_tokens: 400,
                    deadline: Duration::from_secs(1_000_000),
                }));
            }
        }
        events
    }
}

fn reborrow<'a>(round: &'a mut Round<'_>) -> Round<'a> {
    Round {
        board: round.board,
        now: round.now,
        rng: round.rng,
        decisions: round.decisions,
    }
}

/// Returns a request for an engine, with a partly cached prompt.
pub fn request<'a>(row: &'a RowId, prefix: &'a [BlockHash]) -> Request<'a> {
    Request {
        row,
        pool: POOL,
        class: Class::Rollout,
        prefix,
        prompt_tokens: 500,
        predicted_tokens: 400,
        min_version: 5,
        exclude: &[],
    }
}

/// Returns a fair queue with waiting requests of all rows.
pub fn queue() -> Queue<()> {
    let mut queue = Queue::new();
    let share = 1.0 / ROW_COUNT as f64;
    queue.set_shares(&(0..ROW_COUNT).map(|number| (row(number), share)).collect());
    for ticket in 0..1_024 {
        queue.push(entry(ticket));
    }
    queue
}

/// Returns an entry for the fair queue.
pub fn entry(ticket: fairness::Ticket) -> Entry<()> {
    Entry {
        ticket,
        row: row(ticket as usize % ROW_COUNT),
        class: Class::Rollout,
        priority: 0,
        cost: Cost {
            prompt_tokens: 500,
            generated_tokens: 400,
        },
        item: (),
    }
}

/// A step whose samples are all buffered, ready to be pulled.
#[derive(Debug)]
pub struct CompletedStep {
    controller: step::Controller,
    board: Blackboard,
    rng: Rng,
    attach: u64,
}

impl CompletedStep {
    /// Creates a step of [`SAMPLE_COUNT`] samples.
    pub fn new() -> Self {
        Self::with_samples(SAMPLE_COUNT)
    }

    /// Creates a step by submitting it and finishing all of its attempts.
    /// `sample_count` must be a multiple of 64.
    pub fn with_samples(sample_count: u32) -> Self {
        let mut step = Self {
            controller: step::Controller::default(),
            board: Blackboard {
                rows: rows().into(),
                engines: reports(60, START),
                upstreams: upstreams(60).into(),
                hosts: hosts(1).into(),
                ..Blackboard::default()
            },
            rng: Rng::seed_from_u64(1),
            attach: 0,
        };
        let groups = (0..sample_count / 64).map(|group| PromptGroup {
            group,
            prompt_tokens: [1, 2, 3].into(),
            sample_count: 64,
            max_tokens: 512,
        });
        let spec = StepSpec {
            trainer: row(0),
            step: 1,
            weight_version: 5,
            groups: groups.collect(),
            seed: 1,
        };
        let mut actions = step.run(vec![step::Event::Submitted {
            call: 1,
            spec: spec.into(),
        }]);
        while !actions.is_empty() {
            let finished = actions.into_iter().filter_map(|action| match action {
                step::Action::Dispatch(work) => Some(step::Event::Finished {
                    attempt: work.attempt,
                    sample: sample(&work),
                }),
                _ => None,
            });
            let finished: Vec<_> = finished.collect();
            actions = step.run(finished);
        }
        step
    }

    fn run(&mut self, events: Vec<step::Event>) -> Vec<step::Action> {
        let round = Round {
            board: &mut self.board,
            now: START,
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        self.controller.run(events, round)
    }

    /// Pulls all samples as a trainer that holds none, and returns the resulting
    /// actions.
    pub fn pull(&mut self) -> Vec<step::Action> {
        self.attach += 1;
        let pull = Pull {
            trainer: row(0),
            step: 1,
            attach: self.attach,
            weight_version: 5,
            held: Vec::new(),
            max_samples: SAMPLE_COUNT,
            wait: Duration::ZERO,
        };
        let call = self.attach + 1;
        self.run(vec![step::Event::Pulled { call, pull }])
    }
}

fn sample(work: &step::Dispatch) -> Sample {
    Sample {
        slot: work.slot.clone(),
        id: work.attempt.to_string().into(),
        tokens: vec![7; 8].into(),
        segments: vec![mimosavane::engine::evidence::Segment {
            weight_version: 5,
            first_token: 0,
            token_count: 8,
            adapter: "".into(),
            adapter_version: 0,
        }]
        .into(),
        engine: engine(0),
        boot: 1,
        finish_reason: FinishReason::Stop,
    }
}
