//! Steps of trainers: slots, attempts and exactly-once delivery to the trainer.
//!
//! docs/design/steps.md describes each piece of state and the alternatives that
//! were considered.
//!
//! Suggested reading order: `spec` and `message` for the types, `registry` and
//! `state` for the stored state, `dispatch`, `attempt`, `delivery` and `watch`
//! for the life cycle of a slot, `staleness` and `straggler` for the policies.
//! This module only makes decisions; it does no I/O.

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
    engine::evidence::ProvedTokens,
    ids::{AttemptNumber, CallNumber, HostId, RowId, StepNumber, UpstreamId, WeightVersion},
    step::{
        attach::{Pull, Reply},
        handover::{Handover, Ownership},
        registry::{Registry, RoundContext},
        sample::Sample,
        slot::Phase,
        spec::StepSpec,
        state::{SlotIndex, Step},
    },
    table::row::Row,
};

pub use crate::step::{
    key::StepKey,
    message::{Action, Dispatch, Event, Failure, SubmitError},
    registry::{Counters, Model, Policy},
};

/// How long a step is kept without a pull.
pub const ABANDONED_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a step is kept after a reply that left no slot open, so that the
/// trainer can pull again if that reply was lost.
pub const COMPLETED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of attempts started in one round; bounds the duration of the
/// round.
const MAX_DISPATCHES_PER_ROUND: usize = 256;

/// Maximum number of steps checked for stragglers in one round.
const MAX_STRAGGLER_CHECKS_PER_ROUND: usize = 2;

/// A version counts as the newest once one in this many engines runs it or a
/// newer one.
const NEWEST_ENGINE_DIVISOR: usize = 4;

/// How many finished steps are remembered per trainer, so that a late duplicate
/// of their submission starts no work.
const FINISHED_STEP_COUNT: usize = 32;

/// Controller of the steps that this host owns: fills their slots and answers
/// the pulls of their trainers.
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
        let mut ctx = RoundContext {
            board,
            now: round.now,
            newest_version: newest_version(board),
            slow_engines: self.registry.slow_engines(round.now),
            dispatches_left: MAX_DISPATCHES_PER_ROUND,
            straggler_checks_left: MAX_STRAGGLER_CHECKS_PER_ROUND,
            rng: round.rng,
            decisions: round.decisions,
            actions: Vec::new(),
        };
        self.registry.draw_salt(ctx.rng);
        self.refresh_rows(board);
        for event in events {
            self.handle(event, &mut ctx);
        }
        self.advance(&mut ctx);
        ctx.actions
    }
}

impl Controller {
    /// Creates a controller that uses `policy`.
    pub fn new(policy: Policy) -> Self {
        Self {
            registry: Registry::new(policy),
            ..Self::default()
        }
    }

    /// Sets the host that the controller runs on. With it the controller hands
    /// a step over by itself when a fleet change moves the step to another
    /// owner.
    #[must_use]
    pub fn with_host(mut self, host: impl Into<HostId>) -> Self {
        self.ownership = Ownership::new(host);
        self
    }

    /// Returns the steps that this host owns.
    pub fn keys(&self) -> impl Iterator<Item = &StepKey> {
        self.steps.keys()
    }

    /// Returns the step with this key if this host owns it.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.steps.get(key)
    }

    /// Returns the counters of completed and wasted work.
    pub fn counters(&self) -> Counters {
        self.registry.counters
    }

    /// Returns the statistics learned for a row.
    pub fn model(&self, row: &RowId) -> Option<&Model> {
        self.registry.models.get(row)
    }

    fn handle(&mut self, event: Event, ctx: &mut RoundContext<'_>) {
        match event {
            Event::Submitted { call, spec } => {
                let result = self.submit(spec, ctx);
                ctx.actions.push(Action::Accept { call, result });
            }
            Event::Pulled { call, pull } => self.pull(call, pull, ctx),
            Event::Progressed {
                attempt,
                engine,
                proved,
            } => self.progress(attempt, engine, proved, ctx),
            Event::Finished { attempt, sample } => self.finish(attempt, sample, ctx),
            Event::Failed { attempt, failure } => self.fail(attempt, failure, ctx),
            Event::OwnerChanged { trainer, step } => {
                self.hand_over(&StepKey { trainer, step }, ctx);
            }
            Event::HandedOver(handover) => self.receive(*handover, ctx),
        }
    }

    fn submit(
        &mut self,
        spec: Arc<StepSpec>,
        ctx: &mut RoundContext<'_>,
    ) -> Result<(), SubmitError> {
        spec.check()?;
        let key = StepKey::of(&spec);
        if let Some(known) = self.steps.get_mut(&key) {
            if known.spec.is_same_work(&spec) {
                known.attachment.raise_weight_version(spec.weight_version);
                return Ok(());
            }
            let StepKey { trainer, step } = key;
            return Err(SubmitError::Conflict { trainer, step });
        }
        if ctx.board.draining {
            return Err(SubmitError::Draining);
        }
        let row = find_row(ctx.board, &key.trainer)?;
        let mut step = Step::new(spec, row, ctx.now);
        step.is_dormant = self
            .finished
            .get(&key.trainer)
            .is_some_and(|steps| steps.contains(&key.step));
        ctx.decisions.push(
            Decision::new(Kind::Step, ctx.now, "taken on")
                .about(key.to_string())
                .figure("slots_count", f64::from(step.slot_count()))
                .figure("weight_version_count", step.spec.weight_version as f64),
        );
        self.steps.insert(key, step);
        Ok(())
    }

    fn pull(&mut self, call: CallNumber, pull: Pull, ctx: &mut RoundContext<'_>) {
        let key = StepKey {
            trainer: Arc::clone(&pull.trainer),
            step: pull.step,
        };
        let Some(step) = self.steps.get_mut(&key) else {
            let reply = match ctx.board.draining {
                true => Reply::Draining,
                false => Reply::StepUnknown,
            };
            ctx.actions.push(Action::Reply { call, reply });
            return;
        };
        step.pull(call, &pull, &mut self.registry, ctx);
    }

    fn progress(
        &mut self,
        attempt: AttemptNumber,
        engine: UpstreamId,
        proved: ProvedTokens,
        ctx: &mut RoundContext<'_>,
    ) {
        let Some((step, slot_index)) = find_running(&mut self.steps, &self.registry, attempt)
        else {
            // This owner no longer tracks the attempt.
            ctx.actions.push(Action::Cancel { attempt });
            return;
        };
        step.progress(slot_index, attempt, engine, proved, &mut self.registry, ctx);
    }

    fn finish(&mut self, attempt: AttemptNumber, sample: Sample, ctx: &mut RoundContext<'_>) {
        let Some((step, slot_index)) = find_running(&mut self.steps, &self.registry, attempt)
        else {
            self.registry.counters.unexpected_count += 1;
            self.registry.counters.lost_tokens += u64::from(sample.token_count());
            ctx.decisions.push(
                Decision::new(Kind::Sample, ctx.now, "dropped an unexpected sample")
                    .about(&*sample.id)
                    .figure("sample_tokens", f64::from(sample.token_count())),
            );
            return;
        };
        step.finish(slot_index, attempt, sample, &mut self.registry, ctx);
    }

    fn fail(&mut self, attempt: AttemptNumber, failure: Failure, ctx: &mut RoundContext<'_>) {
        if let Some((step, slot_index)) = find_running(&mut self.steps, &self.registry, attempt) {
            step.fail(slot_index, attempt, failure, &mut self.registry, ctx);
        }
    }

    fn receive(&mut self, handover: Handover, ctx: &mut RoundContext<'_>) {
        let key = StepKey::of(&handover.spec);
        if self.submit(Arc::clone(&handover.spec), ctx).is_err() {
            return;
        }
        if let Some(step) = self.steps.get_mut(&key) {
            ctx.decisions.push(
                Decision::new(Kind::Step, ctx.now, "received from another owner")
                    .about(key.to_string())
                    .figure("samples_count", handover.samples.len() as f64)
                    .figure("partials_count", handover.partials.len() as f64),
            );
            step.apply_handover(handover);
            step.ready_since = (step.counts().ready > 0).then_some(ctx.now);
        }
    }

    /// Removes a step from this host and sends the next owner all state that
    /// saves it work.
    fn hand_over(&mut self, key: &StepKey, ctx: &mut RoundContext<'_>) {
        let Some(mut step) = self.steps.remove(key) else {
            return;
        };
        ctx.decisions.push(
            Decision::new(Kind::Step, ctx.now, "handed over")
                .about(key.to_string())
                .figure("ready_count", f64::from(step.counts().ready))
                .figure("held_count", f64::from(step.counts().held)),
        );
        step.answer_before_handover(&mut self.registry, ctx);
        ctx.actions
            .push(Action::HandOver(Box::new(step.to_handover())));
        self.cancel_attempts(&step, ctx);
    }

    fn cancel_attempts(&mut self, step: &Step, ctx: &mut RoundContext<'_>) {
        for attempt in step.attempts() {
            self.registry.attempts.remove(&attempt);
            ctx.actions.push(Action::Cancel { attempt });
        }
    }

    /// Updates the row of each step from the table; a step whose row was
    /// removed keeps the last version of the row.
    fn refresh_rows(&mut self, board: &Blackboard) {
        for (key, step) in &mut self.steps {
            if let Some(row) = board.rows.rows.get(&key.trainer) {
                step.row = Arc::clone(row);
            }
        }
    }

    /// Hands over, expires, dispatches and answers steps as of the current
    /// time.
    fn advance(&mut self, ctx: &mut RoundContext<'_>) {
        if ctx.board.draining {
            let keys: Vec<_> = self.steps.keys().cloned().collect();
            for key in keys {
                self.hand_over(&key, ctx);
            }
            return;
        }
        for key in self
            .ownership
            .lost_keys(self.steps.keys(), &ctx.board.hosts)
        {
            self.hand_over(&key, ctx);
        }
        self.expire(ctx);
        let mut running = self.running_by_row();
        for key in self.keys_by_urgency() {
            let Some(step) = self.steps.get_mut(&key) else {
                continue;
            };
            let running = running.entry(Arc::clone(&key.trainer)).or_default();
            step.mitigate_stragglers(&key, &mut self.registry, ctx);
            step.dispatch(&key, running, &mut self.registry, ctx);
            step.answer(&mut self.registry, ctx);
        }
    }

    /// Removes completed steps and steps that no trainer pulls.
    fn expire(&mut self, ctx: &mut RoundContext<'_>) {
        let ended: Vec<_> = self
            .steps
            .iter()
            .filter_map(|(key, step)| Some((key.clone(), step.end_reason(ctx.now)?)))
            .collect();
        for (key, end_reason) in ended {
            let Some(step) = self.steps.remove(&key) else {
                continue;
            };
            ctx.decisions.push(
                Decision::new(Kind::Step, ctx.now, <&str>::from(end_reason))
                    .about(key.to_string())
                    .figure("held_count", f64::from(step.counts().held))
                    .figure("hedged_count", f64::from(step.hedge_count)),
            );
            self.cancel_attempts(&step, ctx);
            if end_reason == EndReason::Whole {
                self.remember_finished(key);
            }
        }
    }

    fn remember_finished(&mut self, key: StepKey) {
        let steps = self.finished.entry(key.trainer).or_default();
        steps.insert(key.step);
        if steps.len() > FINISHED_STEP_COUNT {
            steps.pop_first();
        }
    }

    /// Returns the keys of all steps, those with a pulling trainer first.
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

/// Why a step is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum EndReason {
    /// The trainer holds every sample, or the retention time after the last
    /// reply has passed.
    Whole,
    /// No trainer pulled the step within [`ABANDONED_TIMEOUT`].
    Abandoned,
}

impl Step {
    fn end_reason(&self, now: Timestamp) -> Option<EndReason> {
        let is_held = self.counts().held == self.slot_count();
        let is_pulling = self.attachment.pending_pull.is_some();
        if is_pulling {
            return None;
        }
        let is_retained = |since: Timestamp| now.saturating_sub(since) < COMPLETED_RETENTION;
        if is_held || self.completed_at.is_some_and(|since| !is_retained(since)) {
            return Some(EndReason::Whole);
        }
        let seen_at = self.attachment.pulled_at.unwrap_or(self.accepted_at);
        (now.saturating_sub(seen_at) >= ABANDONED_TIMEOUT).then_some(EndReason::Abandoned)
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

/// Returns the newest version that enough engines run to carry a step's work.
///
/// Taking the highest version instead would send all work that waited for it to
/// the first engine that loads it.
fn newest_version(board: &Blackboard) -> Option<WeightVersion> {
    let reports = board.engines.reports.values();
    let mut versions: Vec<_> = reports.map(|report| report.weight_version).collect();
    let last = versions.len().checked_sub(1)?;
    let index = last / NEWEST_ENGINE_DIVISOR;
    let (_, newest, _) = versions.select_nth_unstable_by(index, |a, b| b.cmp(a));
    Some(*newest)
}

/// Finds the step and slot of a running attempt.
fn find_running<'a>(
    steps: &'a mut BTreeMap<StepKey, Step>,
    registry: &Registry,
    attempt: AttemptNumber,
) -> Option<(&'a mut Step, SlotIndex)> {
    let target = registry.attempts.get(&attempt)?;
    let step = steps.get_mut(&target.key)?;
    let is_running = matches!(step.slots()[target.slot_index].phase, Phase::Running(_));
    is_running.then_some((step, target.slot_index))
}
