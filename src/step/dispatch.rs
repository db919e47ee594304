//! Attempts of one step: when they start, how they end, which get a second.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    engine::evidence::Proved,
    ids::{RowId, UpstreamId, WeightVersion},
    step::{
        key::StepKey,
        message::{Action, Dispatch},
        registry::{Model, Registry, Target, Turn},
        slot::{Attempt, Phase, Race},
        staleness::{
            Forecast, Gate, Verdict, is_deliverable, judge, max_late_ratio,
            max_late_ratio_in_spread,
        },
        state::{Place, Step},
        straggler::{DEFAULT_STARTUP, DEFAULT_TOKEN_TIME, Norm, priority},
    },
};

/// The most slots that one step looks at in one round without starting them.
const MAX_REFUSALS_PER_ROUND: usize = 64;

/// How many versions below the newest an engine may run to be of use.
const MAX_OLDER_VERSIONS: usize = 4;

/// How long after its last pull a trainer still counts as waiting.
const PULL_PATIENCE: Duration = Duration::from_secs(60);

/// What is expected of an attempt that is about to start.
pub(crate) struct Plan {
    pub(crate) resume: Proved,
    pub(crate) expected_tokens: u32,
    pub(crate) forecast: Forecast,
}

impl Step {
    /// Returns the version that the trainer last stated for this step.
    pub(crate) fn stated_version(&self) -> WeightVersion {
        match self.attachment.pulled_at {
            Some(_) => self.attachment.weight_version,
            None => self.spec.weight_version.max(self.attachment.weight_version),
        }
    }

    /// Starts attempts for open slots, within `running` and the row's limit.
    pub(crate) fn dispatch(
        &mut self,
        key: &StepKey,
        running: &mut u32,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        if self.is_dormant || !self.row.enabled || !self.is_wanted(turn.now) {
            return;
        }
        let slot_count = self.slots().len();
        let mut refused = 0;
        for offset in 0..slot_count {
            let is_limited = is_limited(self.row.max_running_samples, *running);
            if self.counts().open == 0 || is_limited {
                break;
            }
            if turn.dispatches_left == 0 || refused == MAX_REFUSALS_PER_ROUND {
                self.cursor = (self.cursor + offset) % slot_count;
                break;
            }
            let place = (self.cursor + offset) % slot_count;
            if !self.is_due(place, turn.now) {
                continue;
            }
            let plan = self.plan(place, &key.trainer, registry, turn);
            match self.judge(&plan, registry, turn) {
                Verdict::Dispatch { min_version } => {
                    self.start(place, plan, min_version, registry, turn);
                    *running += 1;
                    turn.dispatches_left -= 1;
                }
                Verdict::AwaitWeights | Verdict::AwaitChange => refused += 1,
            }
        }
    }

    /// Says whether a trainer may still want what is dispatched now.
    fn is_wanted(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.saturating_sub(at) < PULL_PATIENCE;
        self.attachment.waiting.is_some() || self.attachment.pulled_at.is_none_or(is_recent)
    }

    fn is_due(&self, place: Place, now: Timestamp) -> bool {
        let slot = &self.slots()[place];
        matches!(slot.phase, Phase::Open(_)) && slot.not_before <= now
    }

    /// Works out what an attempt at an open slot would be.
    fn plan(
        &self,
        place: Place,
        trainer: &RowId,
        registry: &mut Registry,
        turn: &Turn<'_>,
    ) -> Plan {
        let gate = registry.policy.gate;
        let model = registry.model(trainer);
        let resume = match &self.slots()[place].phase {
            Phase::Open(Some(proved)) => proved.as_ref().clone(),
            _ => Proved::default(),
        };
        let plan = self.plan_from(place, resume, gate, model, turn);
        if self.can_resume(&plan) {
            return plan;
        }
        self.plan_from(place, Proved::default(), gate, model, turn)
    }

    pub(crate) fn plan_from(
        &self,
        place: Place,
        resume: Proved,
        gate: Gate,
        model: &Model,
        turn: &Turn<'_>,
    ) -> Plan {
        let norm = norm(model);
        let expected_tokens = self.remaining_tokens(place, &resume, model);
        let duration = norm.startup + norm.token_time * expected_tokens;
        let whole_at = turn.now.saturating_add(duration);
        let generated = u32::try_from(resume.tokens.len()).unwrap_or(u32::MAX);
        let newest = turn.newest.unwrap_or(WeightVersion::MAX);
        let oldest = resume.oldest_version().unwrap_or(newest).min(newest);
        let forecast = Forecast {
            stated: self.stated_version(),
            expected: self.expected_version(whole_at, model, turn),
            newest: turn.newest,
            min_version: self.min_version(generated, model, turn),
            bound_versions: self.row.staleness_bound_versions,
            late_ratio: self.late_ratio(oldest, generated, model, turn),
            max_late_ratio: self.max_late_ratio(newest, model, turn),
        };
        Plan {
            resume,
            expected_tokens,
            forecast: gate.adjust(forecast),
        }
    }

    /// Predicts the trainer's version when a sample is whole, or when the step
    /// is first pulled.
    fn expected_version(
        &self,
        whole_at: Timestamp,
        model: &Model,
        turn: &Turn<'_>,
    ) -> WeightVersion {
        let stated = self.stated_version();
        let gained = stated + model.cadence.gain_by(whole_at, turn.now);
        match self.attachment.pulled_at {
            Some(_) => gained,
            None => model.cadence.version_at(self.spec.step, stated).max(gained),
        }
    }

    /// Returns the oldest version whose samples are expected to be taken.
    ///
    /// While weights spread, work keeps away from engines that lack them where
    /// the time saved would be lost again.
    fn min_version(&self, generated: u32, model: &Model, turn: &Turn<'_>) -> WeightVersion {
        let bound = self.row.staleness_bound_versions;
        let least = self.stated_version().saturating_sub(bound);
        let mut version = turn.newest.unwrap_or(least);
        for _ in 0..MAX_OLDER_VERSIONS {
            if version <= least {
                break;
            }
            let late = self.late_ratio(version - 1, generated, model, turn);
            if late > self.max_late_ratio(version - 1, model, turn) {
                break;
            }
            version -= 1;
        }
        version
    }

    /// Returns the part of late samples that is too much on engines of `version`.
    fn max_late_ratio(&self, version: WeightVersion, model: &Model, turn: &Turn<'_>) -> f64 {
        let is_behind = version < self.stated_version();
        if is_behind && model.cadence.is_spreading(turn.now) {
            max_late_ratio_in_spread(&self.row, self.counts().unfinished())
        } else {
            max_late_ratio(&self.row)
        }
    }

    /// Predicts which part of samples come too late that start now, or resume
    /// with `generated` tokens, and whose oldest version is `oldest`.
    fn late_ratio(
        &self,
        oldest: WeightVersion,
        generated: u32,
        model: &Model,
        turn: &Turn<'_>,
    ) -> f64 {
        let last_taken = oldest.saturating_add(self.row.staleness_bound_versions);
        let at_pull = match self.attachment.pulled_at {
            Some(_) => self.stated_version(),
            None => self.expected_version(turn.now, model, turn),
        };
        let Some(slack) = last_taken.checked_sub(at_pull) else {
            return 1.0;
        };
        let further = slack.saturating_add(1);
        let Some(change_at) = model.cadence.change_at(further, turn.now) else {
            return 0.0;
        };
        let norm = norm(model);
        let span = change_at
            .saturating_sub(turn.now)
            .saturating_sub(norm.startup);
        let fitting = span.as_secs_f64() / norm.token_time.as_secs_f64();
        model
            .lengths
            .exceeding_ratio(generated, generated.saturating_add(fitting as u32))
    }

    /// Says whether the tokens that an attempt would resume from may stay.
    pub(crate) fn can_resume(&self, plan: &Plan) -> bool {
        let Some(oldest) = plan.resume.oldest_version() else {
            return true;
        };
        let forecast = &plan.forecast;
        let is_fresh = is_deliverable(forecast.stated, oldest, forecast.bound_versions);
        let is_late = forecast.late_ratio > forecast.max_late_ratio;
        let is_one_version = forecast.newest.is_none_or(|newest| newest == oldest);
        is_fresh && !is_late && (self.row.mixed_versions || is_one_version)
    }

    /// Asks the gate, and records when its answer changes.
    fn judge(&mut self, plan: &Plan, registry: &mut Registry, turn: &mut Turn<'_>) -> Verdict {
        let verdict = judge(plan.forecast);
        if matches!(verdict, Verdict::Dispatch { .. }) {
            self.verdict = Some(verdict);
            return verdict;
        }
        registry.counters.refused_count += 1;
        if self.verdict != Some(verdict) {
            self.verdict = Some(verdict);
            registry.counters.deferred_count += 1;
            let newest = plan.forecast.newest.unwrap_or_default();
            turn.decisions.push(
                Decision::new(Kind::Step, turn.now, format!("held back: {verdict}"))
                    .about(format!("{}/{}", self.spec.trainer, self.spec.step))
                    .figure("stated_version_count", plan.forecast.stated as f64)
                    .figure("expected_version_count", plan.forecast.expected as f64)
                    .figure("newest_version_count", newest as f64)
                    .figure("late_ratio", plan.forecast.late_ratio)
                    .figure("max_late_ratio", plan.forecast.max_late_ratio)
                    .figure("bound_versions", plan.forecast.bound_versions as f64),
            );
        }
        verdict
    }

    /// Starts the only attempt of an open slot.
    fn start(
        &mut self,
        place: Place,
        plan: Plan,
        min_version: WeightVersion,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let avoid = self.slot_mut(place).avoid.take();
        let attempt = self.send(place, plan, min_version, avoid, registry, turn);
        let race = Race {
            first: attempt,
            second: None,
        };
        self.set_phase(place, Phase::Running(Box::new(race)));
    }

    /// Asks for an attempt.
    pub(crate) fn send(
        &self,
        place: Place,
        plan: Plan,
        min_version: WeightVersion,
        avoid: Option<UpstreamId>,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) -> Attempt {
        let number = registry.next_attempt();
        let slot = self.slot_id(place);
        let prompt = &self.group_of(place).prompt;
        let priority = self.priority(place, &plan, registry);
        registry.counters.dispatched_count += 1;
        registry.counters.resumed_tokens += plan.resume.tokens.len() as u64;
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "dispatched")
                .about(format!("{slot}/{number:x}"))
                .figure("min_version_count", min_version as f64)
                .figure("expected_version_count", plan.forecast.expected as f64)
                .figure("expected_tokens", f64::from(plan.expected_tokens))
                .figure("resumed_tokens", plan.resume.tokens.len() as f64)
                .figure("priority_ratio", f64::from(priority)),
        );
        let mut engines = turn.slow_engines.clone();
        engines.extend(avoid.filter(|engine| !turn.slow_engines.contains(engine)));
        let attempt = Attempt::new(number, plan.resume.clone(), turn.now);
        let seed = self.spec.sample_seed(slot.group, slot.index);
        turn.actions.push(Action::Dispatch(Box::new(Dispatch {
            attempt: number,
            slot,
            prompt_tokens: Arc::clone(&prompt.prompt_tokens),
            max_tokens: prompt.max_tokens,
            priority,
            resume: plan.resume,
            min_version,
            mixed_versions: self.row.mixed_versions,
            seed,
            expected_tokens: plan.expected_tokens,
            avoid: engines,
        })));
        let key = StepKey::of(&self.spec);
        registry.attempts.insert(number, Target { key, place });
        attempt
    }

    fn priority(&self, place: Place, plan: &Plan, registry: &Registry) -> u32 {
        if !registry.policy.raises_last_slots {
            return priority::PULLED;
        }
        let resumed = match plan.resume.tokens.is_empty() {
            true => 0,
            false => priority::RESUMED,
        };
        self.standing(place).priority() + resumed
    }

    pub(crate) fn remaining_tokens(&self, place: Place, proved: &Proved, model: &Model) -> u32 {
        let group = self.group_of(place);
        let generated = u32::try_from(proved.tokens.len()).unwrap_or(u32::MAX);
        model
            .lengths
            .remaining_in_group(group.lengths, generated, group.prompt.max_tokens)
    }
}

/// Returns what attempts of a row usually take.
pub(crate) fn norm(model: &Model) -> Norm {
    let first = model.first_token_time.mean_or(DEFAULT_TOKEN_TIME);
    Norm {
        token_time: model.token_time.mean_or(first),
        startup: model.startup.mean_or(DEFAULT_STARTUP),
    }
}

fn is_limited(max_running_samples: u32, running: u32) -> bool {
    max_running_samples > 0 && running >= max_running_samples
}
