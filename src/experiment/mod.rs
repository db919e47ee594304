//! Experiments with the step controller in virtual time.
//!
//! One trainer runs against simulated engines, so that policies can be compared
//! with the same sample lengths, engine speeds and faults. The results are in
//! docs/design/stragglers.md and docs/design/staleness.md.
//!
//! `engine` simulates an engine; `load` measures real processes instead.

pub mod engine;
pub mod load;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng as _, SeedableRng};

use crate::{
    clock::Timestamp,
    control::{
        blackboard::Blackboard,
        controller::{Controller as _, Rng, Round},
    },
    experiment::engine::Engine,
    ids::{GroupNumber, RowId, SampleIndex, StepNumber, WeightVersion},
    step::{
        Action, Controller, Counters, Dispatch, Event, Policy,
        attach::{HeldGroup, Pull, Reply},
        spec::{PromptGroup, StepSpec},
        staleness::age_versions,
    },
    table::row::Row,
};

/// The step by which virtual time advances.
const TICK: Duration = Duration::from_millis(100);

/// The maximum time that one pull waits for samples.
const PULL_WAIT: Duration = Duration::from_secs(2);

/// The interval between reports of an engine's speed.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The virtual time after which an experiment ends, finished or not.
const MAX_DURATION: Duration = Duration::from_secs(20_000);

/// The workload and faults of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The seed of sample lengths and faults.
    pub seed: u64,
    /// The row of the trainer.
    pub row: Row,
    /// The number of engines.
    pub engines_count: usize,
    /// The number of requests that an engine runs concurrently.
    pub engine_slots_count: usize,
    /// The time that an engine takes per token.
    pub token_time: Duration,
    /// The probability that an engine is slow in a speed period.
    pub slow_engine_ratio: f64,
    /// The factor by which a slow engine takes longer per token.
    pub slowdown_ratio: f64,
    /// The interval at which the slow engines are drawn anew.
    pub speed_period: Duration,
    /// Whether routing takes into account the speed that engines report.
    pub routes_by_speed: bool,
    /// The probability that a request gets stuck and generates nothing.
    pub stuck_request_ratio: f64,
    /// The number of steps that the trainer runs.
    pub steps_count: StepNumber,
    /// The number of groups per step.
    pub groups_count: GroupNumber,
    /// The number of samples per group.
    pub group_samples_count: SampleIndex,
    /// The median length of a sample.
    pub median_tokens: f64,
    /// The standard deviation of the logarithm of sample lengths, both within and
    /// between groups.
    pub spread_ratio: f64,
    /// The maximum length of a sample.
    pub max_tokens: u32,
    /// How long the trainer trains on a whole step.
    pub train_time: Duration,
    /// How long new weights take to reach the last engine.
    pub swap_spread: Duration,
    /// The number of steps that the trainer submits ahead of the current one.
    pub steps_ahead_count: StepNumber,
    /// The interval between the weight versions of a trainer that changes its
    /// version within a step, for example because it also trains on other data.
    /// `None` for a trainer that changes its version after each step.
    pub version_interval: Option<Duration>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            row: Row::new("guides"),
            engines_count: 10,
            engine_slots_count: 32,
            token_time: Duration::from_millis(25),
            slow_engine_ratio: 0.1,
            slowdown_ratio: 5.0,
            speed_period: Duration::from_secs(60),
            routes_by_speed: true,
            stuck_request_ratio: 0.001,
            steps_count: 12,
            groups_count: 32,
            group_samples_count: 8,
            median_tokens: 400.0,
            spread_ratio: 0.5,
            max_tokens: 4096,
            train_time: Duration::from_secs(60),
            swap_spread: Duration::from_secs(20),
            steps_ahead_count: 0,
            version_interval: None,
        }
    }
}

/// The results of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// How long the trainer waited for samples.
    pub idle: Duration,
    /// The virtual time that the experiment took.
    pub duration: Duration,
    /// How long the trainer waited for each step.
    pub step_waits: Vec<Duration>,
    /// The number of samples by their age in versions when they were delivered.
    pub ages: BTreeMap<WeightVersion, u32>,
    /// The counters of the step controller.
    pub counters: Counters,
    /// The number of tokens that the engines generated.
    pub generated_tokens: u64,
}

impl Outcome {
    /// Returns the fraction of generated tokens that were not delivered.
    pub fn waste_ratio(&self) -> f64 {
        let wasted = self.counters.stale_tokens + self.counters.lost_tokens;
        wasted as f64 / (self.generated_tokens as f64).max(1.0)
    }

    /// Returns the quantile `ratio` of the waits for a step.
    pub fn step_wait(&self, ratio: f64) -> Duration {
        let mut waits = self.step_waits.clone();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1);
        let rank = (ratio * waits.len() as f64).ceil() as usize;
        let index = rank.saturating_sub(1).min(last);
        waits.get(index).copied().unwrap_or_default()
    }
}

/// The state of the trainer.
#[derive(Debug)]
struct Trainer {
    step: StepNumber,
    version: WeightVersion,
    next_version_at: Timestamp,
    held: BTreeSet<(GroupNumber, SampleIndex)>,
    attach: u64,
    is_pulling: bool,
    waiting_since: Timestamp,
    training_until: Option<Timestamp>,
    submitted_step: StepNumber,
}

/// A running experiment.
struct Run<'a> {
    scenario: &'a Scenario,
    controller: Controller,
    board: Blackboard,
    engines: Vec<Engine>,
    /// When which engine, by its index, changes to which weight version.
    swaps: Vec<(Timestamp, usize, WeightVersion)>,
    trainer: Trainer,
    rng: Rng,
    control_rng: Rng,
    now: Timestamp,
    outcome: Outcome,
}

/// Runs `scenario` under `policy`.
///
/// # Examples
///
/// ```
/// use mimosavane::{experiment::{Scenario, run}, step::Policy};
///
/// let scenario = Scenario { steps_count: 1, groups_count: 2, ..Scenario::default() };
/// let outcome = run(&scenario, Policy::default());
/// assert_eq!(outcome.ages.values().sum::<u32>(), 16);
/// ```
pub fn run(scenario: &Scenario, policy: Policy) -> Outcome {
    let mut run = Run::new(scenario, policy);
    while run.trainer.step <= scenario.steps_count && run.now < MAX_DURATION {
        run.advance();
    }
    run.outcome.duration = run.now;
    run.outcome.counters = run.controller.counters();
    run.outcome.generated_tokens = run
        .engines
        .iter()
        .map(|engine| engine.generated_tokens)
        .sum();
    run.outcome
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let engine = |index| {
            let id = format!("engine-{index:03}").into();
            Engine::new(id, scenario.engine_slots_count, scenario.token_time)
        };
        let mut board = Blackboard::default();
        let row = Arc::new(scenario.row.clone());
        Arc::make_mut(&mut board.rows)
            .rows
            .insert(Arc::clone(&row.id), row);
        Self {
            scenario,
            controller: Controller::new(policy),
            board,
            engines: (0..scenario.engines_count).map(engine).collect(),
            swaps: Vec::new(),
            trainer: Trainer::new(),
            rng: Rng::seed_from_u64(scenario.seed),
            control_rng: Rng::seed_from_u64(scenario.seed),
            now: Duration::ZERO,
            outcome: Outcome::default(),
        }
    }

    fn advance(&mut self) {
        self.set_speeds();
        self.now += TICK;
        let mut events = Vec::new();
        for engine in &mut self.engines {
            events.extend(engine.advance(TICK, self.now));
        }
        self.apply_due_swaps();
        events.extend(self.advance_trainer());
        self.update_reports();
        let mut decisions = Vec::new();
        let round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut self.control_rng,
            decisions: &mut decisions,
        };
        let actions = self.controller.run(events, round);
        for action in actions {
            self.apply_action(action);
        }
    }

    /// Draws the engines that are slow in the next period.
    fn set_speeds(&mut self) {
        let period = self.scenario.speed_period.as_millis();
        if !self.now.as_millis().is_multiple_of(period) {
            return;
        }
        for engine in &mut self.engines {
            let is_slow = self.rng.random_bool(self.scenario.slow_engine_ratio);
            engine.token_time = match is_slow {
                true => self
                    .scenario
                    .token_time
                    .mul_f64(self.scenario.slowdown_ratio),
                false => self.scenario.token_time,
            };
        }
    }

    fn apply_due_swaps(&mut self) {
        let now = self.now;
        for &(_, index, version) in self.swaps.iter().filter(|(at, ..)| *at <= now) {
            self.engines[index].weight_version = version;
        }
        self.swaps.retain(|(at, ..)| *at > now);
    }

    fn update_reports(&mut self) {
        let interval = REPORT_INTERVAL.as_millis();
        let is_due = self.now.as_millis().is_multiple_of(interval) || self.now == TICK;
        let reports = &mut Arc::make_mut(&mut self.board.engines).reports;
        for engine in &self.engines {
            let report = reports.entry(Arc::clone(&engine.id)).or_default();
            report.weight_version = engine.weight_version;
            if is_due {
                report.at = self.now;
                report.token_time = engine.token_time;
            }
        }
    }

    /// Submits due steps, ends the training, or pulls samples.
    fn advance_trainer(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        self.change_version();
        let ahead = self.trainer.step + self.scenario.steps_ahead_count;
        while self.trainer.submitted_step < ahead.min(self.scenario.steps_count) {
            self.trainer.submitted_step += 1;
            let spec = Arc::new(self.spec(self.trainer.submitted_step));
            events.push(Event::Submitted { call: 0, spec });
        }
        if self
            .trainer
            .training_until
            .is_some_and(|until| until <= self.now)
        {
            self.end_training();
        } else if self.trainer.training_until.is_none() {
            self.outcome.idle += TICK;
            events.extend(self.trainer.pull(&self.scenario.row.id));
        }
        events
    }

    fn end_training(&mut self) {
        self.trainer.training_until = None;
        self.trainer.step += 1;
        self.trainer.held.clear();
        self.trainer.waiting_since = self.now;
        if self.scenario.version_interval.is_none() {
            self.publish_version();
        }
    }

    fn change_version(&mut self) {
        let Some(interval) = self.scenario.version_interval else {
            return;
        };
        if self.trainer.next_version_at > self.now {
            return;
        }
        let jitter = self.rng.random_range(0.9..1.1);
        self.trainer.next_version_at = self.now + interval.mul_f64(jitter);
        self.trainer.is_pulling = false;
        self.publish_version();
    }

    /// Increments the trainer's weight version and schedules its arrival at each
    /// engine.
    fn publish_version(&mut self) {
        self.trainer.version += 1;
        let version = self.trainer.version;
        let spread = self.scenario.swap_spread;
        let count = self.engines.len() as f64;
        for index in 0..self.engines.len() {
            let delay = spread.mul_f64((index + 1) as f64 / count);
            self.swaps.push((self.now + delay, index, version));
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(*dispatch),
            Action::Cancel { attempt } => {
                for engine in &mut self.engines {
                    engine.cancel(attempt);
                }
            }
            Action::Reply { call, reply } => self.receive_reply(call, reply),
            Action::Accept { .. } | Action::HandOver(_) => {}
        }
    }

    /// Sends an attempt to the cheapest engine that has the minimum version, or to
    /// the first engine if none has it.
    fn dispatch(&mut self, dispatch: Dispatch) {
        let chosen = (0..self.engines.len())
            .filter(|&index| self.engines[index].weight_version >= dispatch.min_version)
            .min_by_key(|&index| self.cost(index, &dispatch));
        let chosen = chosen.unwrap_or_default();
        let length_tokens = self.scenario.sample_tokens(&dispatch);
        let is_stuck = self.rng.random_bool(self.scenario.stuck_request_ratio);
        self.engines[chosen].push(dispatch, length_tokens, is_stuck, self.now);
    }

    /// Returns the cost of an engine. The lowest is best: engines to avoid come
    /// last, the others are ordered by estimated time, then by load.
    fn cost(&self, index: usize, dispatch: &Dispatch) -> (bool, Duration, usize) {
        let engine = &self.engines[index];
        let is_avoided = dispatch.avoid.contains(&engine.id);
        let rounds = (engine.load() / engine.slots_count) as u32 + 1;
        let report = self.board.engines.reports.get(&engine.id);
        let reported_time = report.map_or(Duration::ZERO, |report| report.token_time);
        let token_time = match self.scenario.routes_by_speed {
            true => reported_time,
            false => self.scenario.token_time,
        };
        (is_avoided, token_time * rounds, engine.load())
    }

    fn receive_reply(&mut self, call: u64, reply: Reply) {
        if call != self.trainer.attach || !self.trainer.is_pulling {
            return;
        }
        self.trainer.is_pulling = false;
        let Reply::Samples {
            samples,
            open_slots,
        } = reply
        else {
            return;
        };
        for sample in samples {
            let age = age_versions(self.trainer.version, sample.oldest_version());
            *self.outcome.ages.entry(age).or_default() += 1;
            self.trainer
                .held
                .insert((sample.slot.group, sample.slot.index));
        }
        if open_slots == 0 {
            let wait = self.now.saturating_sub(self.trainer.waiting_since);
            self.outcome.step_waits.push(wait);
            self.trainer.training_until = Some(self.now + self.scenario.train_time);
        }
    }

    fn spec(&self, step: StepNumber) -> StepSpec {
        let scenario = self.scenario;
        let group = |group| PromptGroup {
            group,
            prompt_tokens: [1; 64].into(),
            sample_count: scenario.group_samples_count,
            max_tokens: scenario.max_tokens,
        };
        StepSpec {
            trainer: Arc::clone(&scenario.row.id),
            step,
            weight_version: self.trainer.version,
            groups: (0..scenario.groups_count).map(group).collect(),
            seed: scenario.seed.wrapping_add(step),
        }
    }
}

impl Scenario {
    /// Returns the length of the sample that `dispatch` generates. It depends only
    /// on the seed of the sample and on its group.
    fn sample_tokens(&self, dispatch: &Dispatch) -> u32 {
        let group_seed = u64::from(dispatch.slot.group) << 32 | dispatch.slot.step;
        let mut group_rng = Rng::seed_from_u64(self.seed ^ group_seed);
        let mut rng = Rng::seed_from_u64(dispatch.seed);
        let deviation = self.spread_ratio * (draw_normal(&mut group_rng) + draw_normal(&mut rng));
        let tokens = self.median_tokens * deviation.exp();
        (tokens as u32).clamp(1, self.max_tokens)
    }
}

impl Trainer {
    fn new() -> Self {
        Self {
            step: 1,
            version: 0,
            next_version_at: Duration::ZERO,
            held: BTreeSet::new(),
            attach: 0,
            is_pulling: false,
            waiting_since: Duration::ZERO,
            training_until: None,
            submitted_step: 0,
        }
    }

    fn pull(&mut self, trainer: &RowId) -> Option<Event> {
        if self.is_pulling {
            return None;
        }
        self.is_pulling = true;
        self.attach += 1;
        let mut held: BTreeMap<GroupNumber, Vec<SampleIndex>> = BTreeMap::new();
        for &(group, index) in &self.held {
            held.entry(group).or_default().push(index);
        }
        let pull = Pull {
            trainer: Arc::clone(trainer),
            step: self.step,
            attach: self.attach,
            weight_version: self.version,
            held: held
                .into_iter()
                .map(|(group, indexes)| HeldGroup { group, indexes })
                .collect(),
            max_samples: 256,
            wait: PULL_WAIT,
        };
        let call = self.attach;
        Some(Event::Pulled { call, pull })
    }
}

/// Draws from the standard normal distribution by the Box-Muller method.
fn draw_normal(rng: &mut Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
