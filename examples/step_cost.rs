//! Measures the cost of steps to the host that owns them: memory, rounds and
//! deliveries.
//!
//! `cargo run --release --example step_cost` prints the figures of
//! docs/design/steps.md.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use mimosavane::{
    Blackboard, Controller as _, Row,
    control::{
        blackboard::EngineReport,
        controller::{Rng, Round},
    },
    engine::evidence::Segment,
    step::{
        Action, Controller, Dispatch, Event,
        attach::Pull,
        sample::{FinishReason, Sample, id},
        slot::SlotState,
        spec::{PromptGroup, StepSpec},
    },
};
use rand::SeedableRng;

/// The number of steps that one host owns at a time.
const STEP_COUNT: u64 = 11;

/// The number of groups in a step.
const GROUP_COUNT: u32 = 512;

/// The number of samples in a group.
const SAMPLES_PER_GROUP: u32 = 8;

/// The number of tokens in a sample and in a prompt.
const TOKEN_COUNT: usize = 435;

/// The size of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// A host and the steps that it owns.
struct Host {
    controller: Controller,
    board: Blackboard,
    rng: Rng,
    now: Duration,
    rounds: Vec<Duration>,
}

fn main() -> anyhow::Result<()> {
    let mut host = Host::new();
    let before = resident_bytes()?;
    let mut dispatches = Vec::new();
    for step in 1..=STEP_COUNT {
        let spec = Arc::new(spec(step));
        dispatches.extend(host.run([Event::Submitted { call: 0, spec }]));
    }
    while dispatches.len() < (STEP_COUNT * u64::from(GROUP_COUNT * SAMPLES_PER_GROUP)) as usize {
        dispatches.extend(host.run([]));
    }
    println!("slot state: {} bytes", size_of::<SlotState>());
    println!(
        "running: {} MB resident",
        (resident_bytes()? - before) / 1_000_000
    );
    host.print_rounds("while dispatching");
    for _ in 0..100 {
        host.run([]);
    }
    host.print_rounds("without events, all running");
    for chunk in dispatches.chunks(64) {
        let events: Vec<_> = chunk.iter().map(finished).collect();
        host.run(events);
    }
    drop(dispatches);
    println!(
        "buffered: {} MB resident",
        (resident_bytes()? - before) / 1_000_000
    );
    host.print_rounds("with 64 samples each");
    let started = Instant::now();
    for step in 1..=STEP_COUNT {
        let pull = pull(step);
        host.run([Event::Pulled { call: 1, pull }]);
    }
    let delivered = host.controller.counters().delivered_count;
    let each = started.elapsed() / u32::try_from(delivered)?;
    println!("delivery with its record: {each:?} a sample, {delivered} samples");
    Ok(())
}

impl Host {
    fn new() -> Self {
        let mut board = Blackboard::default();
        let row = Row::new("guides");
        Arc::make_mut(&mut board.rows)
            .rows
            .insert(Arc::clone(&row.id), Arc::new(row));
        let report = EngineReport {
            weight_version: 40,
            ..EngineReport::default()
        };
        Arc::make_mut(&mut board.engines)
            .reports
            .insert("engine-0".into(), report);
        Self {
            controller: Controller::default(),
            board,
            rng: Rng::seed_from_u64(1),
            now: Duration::ZERO,
            rounds: Vec::new(),
        }
    }

    fn run(&mut self, events: impl IntoIterator<Item = Event>) -> Vec<Dispatch> {
        self.now += Duration::from_millis(10);
        let mut decisions = Vec::new();
        let round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut decisions,
        };
        let started = Instant::now();
        let actions = self.controller.run(events, round);
        self.rounds.push(started.elapsed());
        let dispatch = |action| match action {
            Action::Dispatch(dispatch) => Some(*dispatch),
            _ => None,
        };
        actions.into_iter().filter_map(dispatch).collect()
    }
}

impl Host {
    /// Prints the durations of the rounds since the previous call. The longest one
    /// mostly reflects other load on the machine.
    fn print_rounds(&mut self, name: &str) {
        let mut rounds = std::mem::take(&mut self.rounds);
        rounds.sort_unstable();
        let quantile = |ratio: f64| rounds[((rounds.len() - 1) as f64 * ratio) as usize];
        println!(
            "rounds {name}: median {:?}, p99 {:?}, longest {:?}",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
}

fn spec(step: u64) -> StepSpec {
    let group = |group| PromptGroup {
        group,
        prompt_tokens: vec![1; TOKEN_COUNT].into(),
        sample_count: SAMPLES_PER_GROUP,
        max_tokens: 4096,
    };
    StepSpec {
        trainer: "guides".into(),
        step,
        weight_version: 40,
        groups: (0..GROUP_COUNT).map(group).collect(),
        seed: step,
    }
}

fn finished(dispatch: &Dispatch) -> Event {
    let segment = Segment {
        weight_version: 40,
        first_token: 0,
        token_count: TOKEN_COUNT as u32,
        adapter: "".into(),
        adapter_version: 0,
    };
    let sample = Sample {
        slot: dispatch.slot.clone(),
        id: id(&dispatch.slot, dispatch.attempt),
        tokens: vec![1; TOKEN_COUNT].into(),
        segments: [segment].into(),
        engine: "engine-0".into(),
        boot: 1,
        finish_reason: FinishReason::Stop,
    };
    Event::Finished {
        attempt: dispatch.attempt,
        sample,
    }
}

fn pull(step: u64) -> Pull {
    Pull {
        trainer: "guides".into(),
        step,
        attach: 1,
        weight_version: 40,
        held: Vec::new(),
        max_samples: GROUP_COUNT * SAMPLES_PER_GROUP,
        wait: Duration::ZERO,
    }
}

/// Returns the resident memory of the process.
fn resident_bytes() -> anyhow::Result<u64> {
    let text =
        std::fs::read_to_string("/proc/self/statm").context("reading the memory of the process")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("reading the number of resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
