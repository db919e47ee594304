//! Steps of trainers: slots, attempts, and delivery to the trainer exactly once.
//!
//! The ways that were weighed, and what each piece of state is, stand in
//! docs/design/steps.md.
//!
//! Read in this order: `spec` and `message` for the types, `registry` and `state` for what is
//! kept, `dispatch`, `attempt`, `delivery` and `watch` for what happens to a slot, `staleness` and
//! `straggler` for the policies. Everything here decides and does no I/O.

pub mod attach;
pub(crate) mod attempt;
pub(crate) mod delivery;
pub(crate) mod dispatch;
pub mod handover;
pub mod key;
pub mod length;
pub mod message;
pub mod registry;
pub mod sample;
pub mod slot;
pub mod spec;
pub mod staleness;
pub mod state;
pub mod straggler;
pub(crate) mod watch;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::Timestamp,
    control::{
        blackboard::Blackboard,
        controller::{self, Round},
        decision::{Decision, Kind},
    },
    engine::evidence::Proved,
    ids::{AttemptNumber, CallNumber, HostId, RowId, StepNumber, UpstreamId, WeightVersion},
    step::{
        attach::{Pull, Reply},
        handover::{Handover, Ownership},
        registry::{Registry, Turn},
        sample::Sample,
        slot::Phase,
        spec::StepSpec,
        state::{Place, Step},
    },
    table::row::Row,
};

pub use crate::step::{
    key::StepKey,
    message::{Action, Dispatch, Event, Failure, SubmitError},
    registry::{Counters, Model, Policy},
};

/// How long a step without a pull is kept.
pub const ABANDONED_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a step is kept after an answer that left no slot open, so that a
/// lost answer can be pulled again.
pub const COMPLETED_LINGER: Duration = Duration::from_secs(60);

/// The most attempts that are started in one round, which bounds its time.
const MAX_DISPATCHES_PER_ROUND: usize = 256;

/// The most steps that are searched for stragglers in one round.
const MAX_WATCHES_PER_ROUND: usize = 2;

/// The newest version is the one that one in so many engines runs or passed.
const NEWEST_ENGINE_DIVISOR: usize = 4;

/// How many finished steps of a trainer are remembered, so that a late copy of
/// their submission starts no work.
const FINISHED_STEP_COUNT: usize = 32;

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
    ownership: Ownership,
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
            slow_engines: self.registry.slow_engines(round.now),
            dispatches_left: MAX_DISPATCHES_PER_ROUND,
            watches_left: MAX_WATCHES_PER_ROUND,
            rng: round.rng,
            decisions: round.decisions,
            actions: Vec::new(),
        };
        self.registry.seed(turn.rng);
        self.refresh_rows(board);
        for event in events {
            self.handle(event, &mut turn);
        }
        self.advance(&mut turn);
        turn.actions
    }
}

impl Controller {
    /// Makes a controller that decides by `policy`.
    pub fn new(policy: Policy) -> Self {
        Self {
            registry: Registry::new(policy),
            ..Self::default()
        }
    }

    /// Lets the controller hand steps over by itself when the fleet changes so
    /// that another host than `host` owns them.
    #[must_use]
    pub fn of_host(mut self, host: impl Into<HostId>) -> Self {
        self.ownership = Ownership::new(host);
        self
    }

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
        let key = StepKey::of(&spec);
        if let Some(known) = self.steps.get_mut(&key) {
            if known.spec.is_same_work(&spec) {
                known.attachment.state_version(spec.weight_version);
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
        let key = StepKey::of(&handover.spec);
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

    /// Puts the table in force; a row that left it stays as it was last seen.
    fn refresh_rows(&mut self, board: &Blackboard) {
        for (key, step) in &mut self.steps {
            if let Some(row) = board.rows.rows.get(&key.trainer) {
                step.row = Arc::clone(row);
            }
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
        for key in self.ownership.lost(self.steps.keys(), &turn.board.hosts) {
            self.hand_over(&key, turn);
        }
        self.expire(turn);
        let mut running = self.running_by_row();
        for key in self.keys_by_urgency() {
            let Some(step) = self.steps.get_mut(&key) else {
                continue;
            };
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

/// Returns the newest version that enough engines run to take a step's work.
///
/// While a new version spreads, the first engine with it would get all work that
/// waited for it.
fn newest_version(board: &Blackboard) -> Option<WeightVersion> {
    let reports = board.engines.reports.values();
    let mut versions: Vec<_> = reports.map(|report| report.weight_version).collect();
    let last = versions.len().checked_sub(1)?;
    let place = last / NEWEST_ENGINE_DIVISOR;
    let (_, newest, _) = versions.select_nth_unstable_by(place, |a, b| b.cmp(a));
    Some(*newest)
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
