//! A simulated trainer and step owners, in virtual time.

#![expect(dead_code, reason = "each test file uses its own part")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mimosavane::{
    Blackboard, Controller as _, Row,
    clock::Timestamp,
    control::{
        blackboard::{EngineReport, Host, HostState, Hosts},
        controller::{Rng, Round},
        decision::Decision,
    },
    engine::evidence::{ProvedTokens, Segment},
    ids::WeightVersion,
    step::{
        Action, Controller, Dispatch, Event,
        attach::{HeldGroup, Pull, Reply},
        sample::{FinishReason, Sample, id},
        spec::{PromptGroup, StepSpec},
    },
};
use rand::SeedableRng;

pub const STEP: u64 = 3;

/// A host that owns steps.
pub struct Owner {
    pub controller: Controller,
    pub board: Blackboard,
    pub decisions: Vec<Decision>,
    /// Running attempts: started, and neither completed nor cancelled.
    pub running: BTreeMap<u64, Dispatch>,
    rng: Rng,
}

impl Owner {
    pub fn new(seed: u64, row: Row) -> Self {
        let mut owner = Self {
            controller: Controller::default(),
            board: Blackboard::default(),
            decisions: Vec::new(),
            running: BTreeMap::new(),
            rng: Rng::seed_from_u64(seed),
        };
        owner.set_row(row);
        owner.set_newest(40);
        owner
    }

    pub fn set_row(&mut self, row: Row) {
        let rows = Arc::make_mut(&mut self.board.rows);
        rows.rows.insert(Arc::clone(&row.id), Arc::new(row));
    }

    pub fn set_newest(&mut self, weight_version: WeightVersion) {
        let report = EngineReport {
            weight_version,
            ..EngineReport::default()
        };
        let engines = Arc::make_mut(&mut self.board.engines);
        engines.reports.insert("engine-0".into(), report);
    }

    pub fn run(&mut self, now: Timestamp, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let round = Round {
            board: &mut self.board,
            now,
            rng: &mut self.rng,
            decisions: &mut self.decisions,
        };
        let actions = self.controller.run(events, round);
        for dispatch in dispatches(&actions) {
            self.running.insert(dispatch.attempt, dispatch);
        }
        for attempt in cancels(&actions) {
            self.running.remove(&attempt);
        }
        actions
    }

    /// Completes all running attempts with samples of one version.
    pub fn finish_all(&mut self, now: Timestamp, version: u64) -> Vec<Action> {
        let dispatched = std::mem::take(&mut self.running);
        let events: Vec<_> = dispatched
            .values()
            .map(|dispatch| finished(dispatch, version))
            .collect();
        self.run(now, events)
    }

    /// Makes `names` the live hosts.
    pub fn set_hosts(&mut self, names: &[&str]) {
        let host = |name: &&str| Host {
            id: (*name).into(),
            incarnation: 1,
            state: HostState::Alive,
            failure_domain: "mx-a".into(),
            region: "mx".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            http_address: ([127, 0, 0, 1], 2).into(),
        };
        let members = names.iter().map(|name| ((*name).into(), host(name)));
        self.board.hosts = Arc::new(Hosts {
            members: members.collect(),
        });
    }

    pub fn submit(&mut self, now: Timestamp, spec: &StepSpec) -> Vec<Action> {
        let spec = Arc::new(spec.clone());
        self.run(now, [Event::Submitted { call: 1, spec }])
    }

    pub fn pull(&mut self, now: Timestamp, pull: Pull) -> Vec<Action> {
        let call = pull.attach;
        self.run(now, [Event::Pulled { call, pull }])
    }

    pub fn finish(&mut self, now: Timestamp, dispatch: &Dispatch, version: u64) -> Vec<Action> {
        self.run(now, [finished(dispatch, version)])
    }

    pub fn decision_count(&self, what: &str) -> usize {
        let found = self.decisions.iter().filter(|one| &*one.what == what);
        found.count()
    }
}

/// A trainer that accepts only the reply to its latest pull.
pub struct Trainer {
    pub held: BTreeMap<(u32, u32), Arc<str>>,
    pub attach: u64,
    pub version: WeightVersion,
    pub bound: WeightVersion,
}

impl Trainer {
    pub fn new() -> Self {
        Self {
            held: BTreeMap::new(),
            attach: 0,
            version: 40,
            bound: 2,
        }
    }

    pub fn pull(&mut self) -> Pull {
        self.attach += 1;
        let mut held: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        for &(group, index) in self.held.keys() {
            held.entry(group).or_default().push(index);
        }
        Pull {
            trainer: "guides".into(),
            step: STEP,
            attach: self.attach,
            weight_version: self.version,
            held: held
                .into_iter()
                .map(|(group, indexes)| HeldGroup { group, indexes })
                .collect(),
            max_samples: 64,
            wait: Duration::from_secs(10),
        }
    }

    /// Moves to the next version and gives up the pending pull.
    pub fn advance(&mut self) {
        self.version += 1;
        self.attach += 1;
    }

    /// Receives a reply, and fails the test if a slot is delivered twice or a
    /// sample is stale.
    pub fn receive(&mut self, actions: &[Action]) -> usize {
        let mut received_count = 0;
        for action in actions {
            let Action::Reply { call, reply } = action else {
                continue;
            };
            let Reply::Samples { samples, .. } = reply else {
                continue;
            };
            if *call != self.attach {
                continue;
            }
            for sample in samples {
                let oldest = sample.oldest_version();
                assert!(self.version.saturating_sub(oldest) <= self.bound, "stale");
                let slot = (sample.slot.group, sample.slot.index);
                let earlier = self.held.insert(slot, Arc::clone(&sample.id));
                assert_eq!(earlier, None, "a slot was delivered twice");
                received_count += 1;
            }
        }
        received_count
    }
}

pub fn spec(groups: u32, samples: u32) -> StepSpec {
    let prompt = |group| PromptGroup {
        group,
        prompt_tokens: [1, 2, 3].into(),
        sample_count: samples,
        max_tokens: 512,
    };
    StepSpec {
        trainer: "guides".into(),
        step: STEP,
        weight_version: 40,
        groups: (0..groups).map(prompt).collect(),
        seed: 7,
    }
}

pub fn at(seconds: f64) -> Timestamp {
    Duration::from_secs_f64(seconds)
}

pub fn dispatches(actions: &[Action]) -> Vec<Dispatch> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.as_ref().clone()),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

pub fn cancels(actions: &[Action]) -> Vec<u64> {
    let cancel = |action: &Action| match action {
        Action::Cancel { attempt } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

pub fn replies(actions: &[Action]) -> Vec<Reply> {
    let reply = |action: &Action| match action {
        Action::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

pub fn proved(tokens: u32, weight_version: WeightVersion) -> ProvedTokens {
    ProvedTokens {
        tokens: (0..tokens).collect(),
        segments: vec![segment(0, tokens, weight_version)],
    }
}

pub fn segment(first_token: u32, token_count: u32, weight_version: WeightVersion) -> Segment {
    Segment {
        weight_version,
        first_token,
        token_count,
        adapter: "".into(),
        adapter_version: 0,
    }
}

pub fn sample(dispatch: &Dispatch, version: WeightVersion) -> Sample {
    let proved = proved(100, version);
    Sample {
        slot: dispatch.slot.clone(),
        id: id(&dispatch.slot, dispatch.attempt),
        tokens: proved.tokens.into(),
        segments: proved.segments.into(),
        engine: "engine-0".into(),
        boot: 1,
        finish_reason: FinishReason::Stop,
    }
}

pub fn finished(dispatch: &Dispatch, version: WeightVersion) -> Event {
    Event::Finished {
        attempt: dispatch.attempt,
        sample: sample(dispatch, version),
    }
}

pub fn progressed(dispatch: &Dispatch, engine: &str, tokens: u32, version: u64) -> Event {
    Event::Progressed {
        attempt: dispatch.attempt,
        engine: engine.into(),
        proved: proved(tokens, version),
    }
}
