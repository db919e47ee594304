//! Steps of trainers: slots, attempts, and delivery to the trainer exactly once.
//!
//! The ways that were weighed, and what each piece of state is, stand in
//! docs/design/steps.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng as _, RngCore as _};

use crate::{
    attach::{Pull, Reply},
    blackboard::Blackboard,
    clock::Timestamp,
    controller::{self, Rng, Round},
    decision::{Decision, Kind},
    evidence::Proved,
    handover::Handover,
    ids::{AttemptNumber, CallNumber, RowId, Slot, StepNumber, TokenId, UpstreamId, WeightVersion},
    length::{Average, Estimator},
    row::Row,
    sample::Sample,
    slot::Phase,
    spec::{SpecError, StepSpec},
    staleness::Cadence,
    step_state::{Place, Step},
};

/// How long a step without a pull is kept.
pub const ABANDONED_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a step is kept after an answer that left no slot open, so that a
/// lost answer can be pulled again.
pub const COMPLETED_LINGER: Duration = Duration::from_secs(60);

/// How many finished steps of a trainer are remembered, so that a late copy of
/// their submission starts no work.
const FINISHED_STEP_COUNT: usize = 32;

/// The first delay before a failed slot is dispatched again.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest such delay.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Why a step was not taken on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The step itself is at fault.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The table has no row for the trainer.
    #[error("no row {trainer}")]
    UnknownRow {
        /// The trainer.
        trainer: RowId,
    },
    /// The row of the trainer is switched off.
    #[error("row {trainer} is not enabled")]
    Disabled {
        /// The trainer.
        trainer: RowId,
    },
    /// The step is known with another content.
    #[error("step {step} of {trainer} was submitted with another content")]
    Conflict {
        /// The trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
    },
    /// This host is stopping; another one takes the step.
    #[error("this host is stopping")]
    Draining,
}

/// Why an attempt ended without a sample.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failure {
    /// Whether the engine never took it up.
    pub not_run: bool,
    /// How long to wait before the next attempt.
    pub retry_after: Duration,
    /// What stays proved, where that is known; it replaces earlier progress.
    pub proved: Option<Proved>,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer submitted a step.
    Submitted {
        /// The call that [`Action::Accept`] answers.
        call: CallNumber,
        /// The step.
        spec: Arc<StepSpec>,
    },
    /// A trainer pulled samples.
    Pulled {
        /// The call that [`Action::Reply`] answers.
        call: CallNumber,
        /// What it asked.
        pull: Pull,
    },
    /// An engine took an attempt up, or went on with it.
    Progressed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: UpstreamId,
        /// All that is proved so far, resumed tokens included.
        proved: Proved,
    },
    /// An engine ended an attempt.
    Finished {
        /// The attempt.
        attempt: AttemptNumber,
        /// Its sample.
        sample: Sample,
    },
    /// An attempt ended without a sample.
    Failed {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why and with what left.
        failure: Failure,
    },
    /// Another host owns a step from now on.
    OwnerChanged {
        /// The trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
    },
    /// An earlier owner hands a step over.
    HandedOver(Box<Handover>),
}

/// What the code that does I/O shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a submission.
    Accept {
        /// The call.
        call: CallNumber,
        /// Whether the step was taken on, or was known already.
        result: Result<(), SubmitError>,
    },
    /// Choose an engine and start an attempt.
    Dispatch(Box<Dispatch>),
    /// Stop an attempt; what still comes of it is dropped.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Answer a pull.
    Reply {
        /// The call.
        call: CallNumber,
        /// The answer.
        reply: Reply,
    },
    /// Give a step to the host that owns it now.
    HandOver(Box<Handover>),
}

/// One attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Its number, unique over owners.
    pub attempt: AttemptNumber,
    /// The slot that it fills.
    pub slot: Slot,
    /// The prompt.
    pub prompt_tokens: Arc<[TokenId]>,
    /// The most tokens of the sample, resumed ones included.
    pub max_tokens: u32,
    /// How urgent it is within its row; higher goes first.
    pub priority: u32,
    /// Proved tokens to resume from.
    pub resume: Proved,
    /// The oldest weights that the engine may run.
    pub min_version: WeightVersion,
    /// Whether the sample may hold several versions.
    pub mixed_versions: bool,
    /// The seed of the sample, equal for all attempts at a slot.
    pub seed: u64,
    /// Tokens that it is expected to make.
    pub expected_tokens: u32,
    /// An engine to keep away from where another one will do.
    pub avoid: Option<UpstreamId>,
}

/// Work done and work lost, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Attempts that were started.
    pub dispatched_count: u64,
    /// Samples put into answers; one that is pulled again counts again.
    pub delivered_count: u64,
    /// Whole samples that the gate at delivery refused.
    pub stale_count: u64,
    /// Their tokens.
    pub stale_tokens: u64,
    /// Times that the gate at dispatch held a step back.
    pub deferred_count: u64,
    /// Second attempts that were started.
    pub hedged_count: u64,
    /// Tokens of attempts that lost or came after the trainer held the slot.
    pub lost_tokens: u64,
    /// Samples that came twice or for an attempt that was given up.
    pub unexpected_count: u64,
    /// Samples that were at odds with what was asked for.
    pub invalid_count: u64,
    /// Tokens that attempts resumed from in place of making them again.
    pub resumed_tokens: u64,
}

/// Names a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The trainer.
    pub trainer: RowId,
    /// Its step.
    pub step: StepNumber,
}

/// What was learned of a row's samples and its trainer.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// How long its samples get.
    pub lengths: Estimator,
    /// When its trainer changes the version.
    pub cadence: Cadence,
    /// The time that one token takes.
    pub token_time: Average,
    /// The time from dispatch to the first token.
    pub startup: Average,
}

/// Which slot an attempt is for.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: StepKey,
    pub(crate) place: Place,
}

/// What all steps of the host share.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) models: BTreeMap<RowId, Model>,
    pub(crate) attempts: BTreeMap<AttemptNumber, Target>,
    pub(crate) counters: Counters,
    salt: Option<u32>,
    last_attempt: u32,
}

/// One round, as the parts of the controller see it.
pub(crate) struct Turn<'a> {
    pub(crate) board: &'a Blackboard,
    pub(crate) now: Timestamp,
    pub(crate) newest: Option<WeightVersion>,
    pub(crate) rng: &'a mut Rng,
    pub(crate) decisions: &'a mut Vec<Decision>,
    pub(crate) actions: Vec<Action>,
}

/// Owns steps: fills their slots, and answers the pulls of their trainers.
///
/// # Examples
///
/// ```
/// use mimosavane::step::Controller;
///
/// let controller = Controller::default();
/// assert_eq!(controller.keys().count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Controller {
    steps: BTreeMap<StepKey, Step>,
    finished: BTreeMap<RowId, BTreeSet<StepNumber>>,
    registry: Registry,
}

impl controller::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "step";

    fn run(&mut self, events: impl IntoIterator<Item = Event>, round: Round<'_>) -> Vec<Action> {
        let board = &*round.board;
        let mut turn = Turn {
            board,
            now: round.now,
            newest: newest_version(board),
            rng: round.rng,
            decisions: round.decisions,
            actions: Vec::new(),
        };
        self.registry.seed(turn.rng);
        for event in events {
            self.handle(event, &mut turn);
        }
        self.advance(&mut turn);
        turn.actions
    }
}

impl Controller {
    /// Returns the steps that this host owns.
    pub fn keys(&self) -> impl Iterator<Item = &StepKey> {
        self.steps.keys()
    }

    /// Returns a step that this host owns.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.steps.get(key)
    }

    /// Returns the work done and lost so far.
    pub fn counters(&self) -> Counters {
        self.registry.counters
    }

    /// Returns what was learned of a row.
    pub fn model(&self, row: &RowId) -> Option<&Model> {
        self.registry.models.get(row)
    }

    fn handle(&mut self, event: Event, turn: &mut Turn<'_>) {
        match event {
            Event::Submitted { call, spec } => {
                let result = self.submit(spec, turn);
                turn.actions.push(Action::Accept { call, result });
            }
            Event::Pulled { call, pull } => self.pull(call, pull, turn),
            Event::Progressed {
                attempt,
                engine,
                proved,
            } => self.progress(attempt, engine, proved, turn),
            Event::Finished { attempt, sample } => self.finish(attempt, sample, turn),
            Event::Failed { attempt, failure } => self.fail(attempt, failure, turn),
            Event::OwnerChanged { trainer, step } => {
                self.hand_over(&StepKey { trainer, step }, turn);
            }
            Event::HandedOver(handover) => self.receive(*handover, turn),
        }
    }

    fn submit(&mut self, spec: Arc<StepSpec>, turn: &mut Turn<'_>) -> Result<(), SubmitError> {
        spec.check()?;
        let key = key_of(&spec);
        if let Some(known) = self.steps.get(&key) {
            if known.spec == spec {
                return Ok(());
            }
            let StepKey { trainer, step } = key;
            return Err(SubmitError::Conflict { trainer, step });
        }
        if turn.board.draining {
            return Err(SubmitError::Draining);
        }
        let row = find_row(turn.board, &key.trainer)?;
        let mut step = Step::new(spec, row, turn.now);
        step.is_dormant = self
            .finished
            .get(&key.trainer)
            .is_some_and(|steps| steps.contains(&key.step));
        turn.decisions.push(
            Decision::new(Kind::Step, turn.now, "taken on")
                .about(key.to_string())
                .figure("slots_count", f64::from(step.slot_count()))
                .figure("weight_version_count", step.spec.weight_version as f64),
        );
        self.steps.insert(key, step);
        Ok(())
    }

    fn pull(&mut self, call: CallNumber, pull: Pull, turn: &mut Turn<'_>) {
        let key = StepKey {
            trainer: Arc::clone(&pull.trainer),
            step: pull.step,
        };
        let Some(step) = self.steps.get_mut(&key) else {
            let reply = match turn.board.draining {
                true => Reply::Draining,
                false => Reply::StepUnknown,
            };
            turn.actions.push(Action::Reply { call, reply });
            return;
        };
        step.pull(call, &pull, &mut self.registry, turn);
    }

    fn progress(
        &mut self,
        attempt: AttemptNumber,
        engine: UpstreamId,
        proved: Proved,
        turn: &mut Turn<'_>,
    ) {
        let Some((step, place)) = target(&mut self.steps, &self.registry, attempt) else {
            // The attempt is none of this owner's any more.
            turn.actions.push(Action::Cancel { attempt });
            return;
        };
        step.progress(place, attempt, engine, proved, &mut self.registry, turn);
    }

    fn finish(&mut self, attempt: AttemptNumber, sample: Sample, turn: &mut Turn<'_>) {
        let Some((step, place)) = target(&mut self.steps, &self.registry, attempt) else {
            self.registry.counters.unexpected_count += 1;
            self.registry.counters.lost_tokens += u64::from(sample.token_count());
            turn.decisions.push(
                Decision::new(Kind::Sample, turn.now, "dropped an unexpected sample")
                    .about(&*sample.id)
                    .figure("sample_tokens", f64::from(sample.token_count())),
            );
            return;
        };
        step.finish(place, attempt, sample, &mut self.registry, turn);
    }

    fn fail(&mut self, attempt: AttemptNumber, failure: Failure, turn: &mut Turn<'_>) {
        if let Some((step, place)) = target(&mut self.steps, &self.registry, attempt) {
            step.fail(place, attempt, failure, &mut self.registry, turn);
        }
    }

    fn receive(&mut self, handover: Handover, turn: &mut Turn<'_>) {
        let key = key_of(&handover.spec);
        if self.submit(Arc::clone(&handover.spec), turn).is_err() {
            return;
        }
        if let Some(step) = self.steps.get_mut(&key) {
            turn.decisions.push(
                Decision::new(Kind::Step, turn.now, "received from another owner")
                    .about(key.to_string())
                    .figure("samples_count", handover.samples.len() as f64)
                    .figure("partials_count", handover.partials.len() as f64),
            );
            step.unpack(handover);
            step.ready_since = (step.counts().ready > 0).then_some(turn.now);
        }
    }

    /// Gives a step up, with all that saves the next owner work.
    fn hand_over(&mut self, key: &StepKey, turn: &mut Turn<'_>) {
        let Some(mut step) = self.steps.remove(key) else {
            return;
        };
        turn.decisions.push(
            Decision::new(Kind::Step, turn.now, "handed over")
                .about(key.to_string())
                .figure("ready_count", f64::from(step.counts().ready))
                .figure("held_count", f64::from(step.counts().held)),
        );
        step.answer_last(&mut self.registry, turn);
        turn.actions.push(Action::HandOver(Box::new(step.pack())));
        self.cancel_all(&step, turn);
    }

    fn cancel_all(&mut self, step: &Step, turn: &mut Turn<'_>) {
        for attempt in step.attempts() {
            self.registry.attempts.remove(&attempt);
            turn.actions.push(Action::Cancel { attempt });
        }
    }

    /// Lets time pass for all steps.
    fn advance(&mut self, turn: &mut Turn<'_>) {
        if turn.board.draining {
            let keys: Vec<_> = self.steps.keys().cloned().collect();
            for key in keys {
                self.hand_over(&key, turn);
            }
            return;
        }
        self.expire(turn);
        let mut running = self.running_by_row();
        for key in self.keys_by_urgency() {
            let Some(step) = self.steps.get_mut(&key) else {
                continue;
            };
            if let Some(row) = turn.board.rows.rows.get(&key.trainer) {
                step.row = Arc::clone(row);
            }
            let running = running.entry(Arc::clone(&key.trainer)).or_default();
            step.watch(&key, &mut self.registry, turn);
            step.dispatch(&key, running, &mut self.registry, turn);
            step.answer(&mut self.registry, turn);
        }
    }

    /// Drops steps that are whole or that no trainer asks for.
    fn expire(&mut self, turn: &mut Turn<'_>) {
        let ended: Vec<_> = self
            .steps
            .iter()
            .filter_map(|(key, step)| Some((key.clone(), step.ending(turn.now)?)))
            .collect();
        for (key, ending) in ended {
            let Some(step) = self.steps.remove(&key) else {
                continue;
            };
            turn.decisions.push(
                Decision::new(Kind::Step, turn.now, <&str>::from(ending))
                    .about(key.to_string())
                    .figure("held_count", f64::from(step.counts().held))
                    .figure("hedged_count", f64::from(step.hedge_count)),
            );
            self.cancel_all(&step, turn);
            if ending == Ending::Whole {
                self.remember(key);
            }
        }
    }

    fn remember(&mut self, key: StepKey) {
        let steps = self.finished.entry(key.trainer).or_default();
        steps.insert(key.step);
        if steps.len() > FINISHED_STEP_COUNT {
            steps.pop_first();
        }
    }

    /// Returns all steps, those that a trainer waits for first.
    fn keys_by_urgency(&self) -> Vec<StepKey> {
        let mut keys: Vec<_> = self
            .steps
            .iter()
            .map(|(key, step)| (step.attachment.pulled_at.is_none(), key.step, key))
            .collect();
        keys.sort();
        keys.into_iter().map(|(_, _, key)| key.clone()).collect()
    }

    fn running_by_row(&self) -> BTreeMap<RowId, u32> {
        let mut running = BTreeMap::new();
        for (key, step) in &self.steps {
            *running.entry(Arc::clone(&key.trainer)).or_default() += step.counts().running;
        }
        running
    }
}

/// Why a step is kept no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Ending {
    /// The trainer holds all of it.
    Whole,
    /// No trainer pulled it for long.
    Abandoned,
}

impl Step {
    fn ending(&self, now: Timestamp) -> Option<Ending> {
        let is_held = self.counts().held == self.slot_count();
        let is_pulling = self.attachment.waiting.is_some();
        if is_pulling {
            return None;
        }
        let is_lingering = |since: Timestamp| now.saturating_sub(since) < COMPLETED_LINGER;
        if is_held || self.completed_at.is_some_and(|since| !is_lingering(since)) {
            return Some(Ending::Whole);
        }
        let seen_at = self.attachment.pulled_at.unwrap_or(self.taken_at);
        (now.saturating_sub(seen_at) >= ABANDONED_TIMEOUT).then_some(Ending::Abandoned)
    }
}

impl Registry {
    /// Draws the part of attempt numbers that tells owners apart.
    fn seed(&mut self, rng: &mut Rng) {
        self.salt.get_or_insert_with(|| rng.next_u32());
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptNumber {
        self.last_attempt = self.last_attempt.wrapping_add(1);
        let salt = u64::from(self.salt.unwrap_or_default());
        (salt << 32) | u64::from(self.last_attempt)
    }

    pub(crate) fn model(&mut self, row: &RowId) -> &mut Model {
        self.models.entry(Arc::clone(row)).or_default()
    }
}

/// Returns the delay before a slot is tried again, spread at random so that
/// slots which failed together do not return together.
pub(crate) fn backoff(failure_count: u8, retry_after: Duration, rng: &mut Rng) -> Duration {
    let exponent = u32::from(failure_count.min(10));
    let ceiling = MIN_BACKOFF.saturating_mul(1 << exponent).min(MAX_BACKOFF);
    retry_after + ceiling.mul_f64(rng.random_range(0.5..1.0))
}

impl std::fmt::Display for StepKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.trainer, self.step)
    }
}

fn key_of(spec: &StepSpec) -> StepKey {
    StepKey {
        trainer: Arc::clone(&spec.trainer),
        step: spec.step,
    }
}

fn find_row(board: &Blackboard, trainer: &RowId) -> Result<Arc<Row>, SubmitError> {
    let row = board.rows.rows.get(trainer);
    let row = row.ok_or_else(|| SubmitError::UnknownRow {
        trainer: Arc::clone(trainer),
    })?;
    if row.enabled {
        Ok(Arc::clone(row))
    } else {
        let trainer = Arc::clone(trainer);
        Err(SubmitError::Disabled { trainer })
    }
}

fn newest_version(board: &Blackboard) -> Option<WeightVersion> {
    let reports = board.engines.reports.values();
    reports.map(|report| report.weight_version).max()
}

/// Finds the slot of an attempt that runs.
fn target<'a>(
    steps: &'a mut BTreeMap<StepKey, Step>,
    registry: &Registry,
    attempt: AttemptNumber,
) -> Option<(&'a mut Step, Place)> {
    let target = registry.attempts.get(&attempt)?;
    let step = steps.get_mut(&target.key)?;
    let is_running = matches!(step.slots()[target.place].phase, Phase::Running(_));
    is_running.then_some((step, target.place))
}
