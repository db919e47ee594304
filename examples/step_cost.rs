//! Measures what a step costs its owner: memory, rounds and deliveries.
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

/// Steps that one host owns at a time.
const STEPS: u64 = 11;

/// Groups of a step, of eight samples each.
const GROUPS: u32 = 512;

/// Samples of a group.
const GROUP_SAMPLES: u32 = 8;

/// Tokens of a sample and of a prompt.
const TOKENS: usize = 435;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// One host with its steps.
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
    let mut works = Vec::new();
    for step in 1..=STEPS {
        let spec = Arc::new(spec(step));
        works.extend(host.run([Event::Submitted { call: 0, spec }]));
    }
    while works.len() < (STEPS * u64::from(GROUPS * GROUP_SAMPLES)) as usize {
        works.extend(host.run([]));
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
    for part in works.chunks(64) {
        let events: Vec<_> = part.iter().map(finished).collect();
        host.run(events);
    }
    drop(works);
    println!(
        "buffered: {} MB resident",
        (resident_bytes()? - before) / 1_000_000
    );
    host.print_rounds("with 64 samples each");
    let started = Instant::now();
    for step in 1..=STEPS {
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
    /// Prints the rounds since the last time; the longest one shows what else
    /// the machine does.
    fn print_rounds(&mut self, name: &str) {
        let mut rounds = std::mem::take(&mut self.rounds);
        rounds.sort_unstable();
        let part = |ratio: f64| rounds[((rounds.len() - 1) as f64 * ratio) as usize];
        println!(
            "rounds {name}: median {:?}, p99 {:?}, longest {:?}",
            part(0.5),
            part(0.99),
            part(1.0)
        );
    }
}

fn spec(step: u64) -> StepSpec {
    let group = |group| PromptGroup {
        group,
        prompt_tokens: vec![1; TOKENS].into(),
        sample_count: GROUP_SAMPLES,
        max_tokens: 4096,
    };
    StepSpec {
        trainer: "guides".into(),
        step,
        weight_version: 40,
        groups: (0..GROUPS).map(group).collect(),
        seed: step,
    }
}

fn finished(work: &Dispatch) -> Event {
    let segment = Segment {
        weight_version: 40,
        first_token: 0,
        token_count: TOKENS as u32,
        adapter: "".into(),
        adapter_version: 0,
    };
    let sample = Sample {
        slot: work.slot.clone(),
        id: id(&work.slot, work.attempt),
        tokens: vec![1; TOKENS].into(),
        segments: [segment].into(),
        engine: "engine-0".into(),
        boot: 1,
        finish_reason: FinishReason::Stop,
    };
    Event::Finished {
        attempt: work.attempt,
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
        max_samples: GROUPS * GROUP_SAMPLES,
        wait: Duration::ZERO,
    }
}

/// Returns the memory that the process occupies.
fn resident_bytes() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").context("memory of the process")?;
    let pages = text.split(' ').nth(1).context("resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
