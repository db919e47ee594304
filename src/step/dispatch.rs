//! Starting attempts for the open slots of one step.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    engine::evidence::ProvedTokens,
    ids::{RowId, UpstreamId, WeightVersion},
    step::{
        key::StepKey,
        message::{Action, Dispatch},
        registry::{Model, Registry, RoundContext, Target},
        slot::{Attempt, Phase, RunningAttempts},
        staleness::{
            Forecast, Gate, Verdict, decide_dispatch, is_deliverable, max_late_ratio,
            max_late_ratio_while_spreading,
        },
        state::{SlotIndex, Step},
        straggler::{DEFAULT_STARTUP, DEFAULT_TOKEN_TIME, TypicalTimes, priority},
    },
};

/// Maximum number of slots that one step may check without dispatching in one
/// round.
const MAX_REFUSALS_PER_ROUND: usize = 64;

/// How many versions below the newest an engine may run and still be used.
const MAX_OLDER_VERSIONS: usize = 4;

/// How long after its last pull a trainer still counts as waiting.
const PULL_TIMEOUT: Duration = Duration::from_secs(60);

/// The forecast for an attempt that is about to start.
pub(crate) struct Plan {
    pub(crate) resume: ProvedTokens,
    pub(crate) expected_tokens: u32,
    pub(crate) forecast: Forecast,
}

impl Step {
    /// Returns the weight version that the trainer last stated for this step.
    pub(crate) fn stated_version(&self) -> WeightVersion {
        match self.attachment.pulled_at {
            Some(_) => self.attachment.weight_version,
            None => self.spec.weight_version.max(self.attachment.weight_version),
        }
    }

    /// Starts attempts for open slots, up to the row's limit of running
    /// samples. `running` is the row's current number.
    pub(crate) fn dispatch(
        &mut self,
        key: &StepKey,
        running: &mut u32,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        if self.is_dormant || !self.row.enabled || !self.is_wanted(ctx.now) {
            return;
        }
        let slot_count = self.slots().len();
        let mut refused = 0;
        for offset in 0..slot_count {
            let is_at_limit = is_at_limit(self.row.max_running_samples, *running);
            if self.counts().open == 0 || is_at_limit {
                break;
            }
            if ctx.dispatches_left == 0 || refused == MAX_REFUSALS_PER_ROUND {
                self.cursor = (self.cursor + offset) % slot_count;
                break;
            }
            let slot_index = (self.cursor + offset) % slot_count;
            if !self.is_due(slot_index, ctx.now) {
                continue;
            }
            let plan = self.plan_attempt(slot_index, &key.trainer, registry, ctx);
            match self.check_gate(&plan, registry, ctx) {
                Verdict::Dispatch { min_version } => {
                    self.start_attempt(slot_index, plan, min_version, registry, ctx);
                    *running += 1;
                    ctx.dispatches_left -= 1;
                }
                Verdict::AwaitWeights | Verdict::AwaitChange => refused += 1,
            }
        }
    }

    /// Returns whether the trainer is expected to pull what is dispatched now.
    fn is_wanted(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.saturating_sub(at) < PULL_TIMEOUT;
        self.attachment.pending_pull.is_some() || self.attachment.pulled_at.is_none_or(is_recent)
    }

    fn is_due(&self, slot_index: SlotIndex, now: Timestamp) -> bool {
        let slot = &self.slots()[slot_index];
        matches!(slot.phase, Phase::Open(_)) && slot.not_before <= now
    }

    /// Plans an attempt at an open slot; it resumes from the slot's proved
    /// tokens if they can still be delivered.
    fn plan_attempt(
        &self,
        slot_index: SlotIndex,
        trainer: &RowId,
        registry: &mut Registry,
        ctx: &RoundContext<'_>,
    ) -> Plan {
        let gate = registry.policy.gate;
        let model = registry.model(trainer);
        let resume = match &self.slots()[slot_index].phase {
            Phase::Open(Some(proved)) => proved.as_ref().clone(),
            _ => ProvedTokens::default(),
        };
        let plan = self.plan_from(slot_index, resume, gate, model, ctx);
        if self.can_resume(&plan) {
            return plan;
        }
        self.plan_from(slot_index, ProvedTokens::default(), gate, model, ctx)
    }

    pub(crate) fn plan_from(
        &self,
        slot_index: SlotIndex,
        resume: ProvedTokens,
        gate: Gate,
        model: &Model,
        ctx: &RoundContext<'_>,
    ) -> Plan {
        let typical = typical_times(model);
        let expected_tokens = self.remaining_tokens(slot_index, &resume, model);
        let duration = typical.startup + typical.token_time * expected_tokens;
        let completes_at = ctx.now.saturating_add(duration);
        let generated = u32::try_from(resume.tokens.len()).unwrap_or(u32::MAX);
        let newest = ctx.newest_version.unwrap_or(WeightVersion::MAX);
        let oldest = resume.oldest_version().unwrap_or(newest).min(newest);
        let forecast = Forecast {
            stated_version: self.stated_version(),
            expected_version: self.expected_version(completes_at, model, ctx),
            newest_version: ctx.newest_version,
            min_version: self.min_version(generated, model, ctx),
            bound_versions: self.row.staleness_bound_versions,
            late_ratio: self.late_ratio(oldest, generated, model, ctx),
            late_ratio_after_change: self.late_ratio_after_change(model),
            max_late_ratio: self.max_late_ratio(newest, model, ctx),
        };
        Plan {
            resume,
            expected_tokens,
            forecast: gate.adjust(forecast),
        }
    }

    /// Predicts the trainer's weight version when a sample completes or, before
    /// the first pull of the step, when the trainer pulls it.
    fn expected_version(
        &self,
        completes_at: Timestamp,
        model: &Model,
        ctx: &RoundContext<'_>,
    ) -> WeightVersion {
        let stated = self.stated_version();
        let gained = stated + model.cadence.versions_gained_by(completes_at, ctx.now);
        match self.attachment.pulled_at {
            Some(_) => gained,
            None => model.cadence.version_at(self.spec.step, stated).max(gained),
        }
    }

    /// Returns the oldest weight version whose samples are expected to be
    /// deliverable.
    ///
    /// While new weights spread, engines without them are avoided if a sample
    /// from them is likely to be rejected, which would cost more time than it
    /// saves.
    fn min_version(&self, generated: u32, model: &Model, ctx: &RoundContext<'_>) -> WeightVersion {
        let bound = self.row.staleness_bound_versions;
        let min_accepted_version = self.stated_version().saturating_sub(bound);
        let mut version = ctx.newest_version.unwrap_or(min_accepted_version);
        for _ in 0..MAX_OLDER_VERSIONS {
            if version <= min_accepted_version {
                break;
            }
            let late = self.late_ratio(version - 1, generated, model, ctx);
            if late > self.max_late_ratio(version - 1, model, ctx) {
                break;
            }
            version -= 1;
        }
        version
    }

    /// Returns the maximum acceptable fraction of late samples on engines that
    /// run `version`.
    fn max_late_ratio(&self, version: WeightVersion, model: &Model, ctx: &RoundContext<'_>) -> f64 {
        let is_behind = version < self.stated_version();
        if is_behind && model.cadence.is_spreading(ctx.now) {
            max_late_ratio_while_spreading(&self.row, self.counts().unfinished())
        } else {
            max_late_ratio(&self.row)
        }
    }

    /// Predicts the fraction of samples that become stale before they complete,
    /// if they start now or resume with `generated` tokens and their oldest
    /// version is `oldest`.
    fn late_ratio(
        &self,
        oldest: WeightVersion,
        generated: u32,
        model: &Model,
        ctx: &RoundContext<'_>,
    ) -> f64 {
        let last_accepting_version = oldest.saturating_add(self.row.staleness_bound_versions);
        let at_pull = match self.attachment.pulled_at {
            Some(_) => self.stated_version(),
            None => self.expected_version(ctx.now, model, ctx),
        };
        let Some(slack_versions) = last_accepting_version.checked_sub(at_pull) else {
            return 1.0;
        };
        let versions_until_stale = slack_versions.saturating_add(1);
        let Some(change_at) = model.cadence.change_at(versions_until_stale, ctx.now) else {
            return 0.0;
        };
        exceeding_ratio(model, generated, change_at.saturating_sub(ctx.now))
    }

    /// Predicts the fraction of new samples that become stale before they complete, if
    /// they start just after a change.
    fn late_ratio_after_change(&self, model: &Model) -> f64 {
        let versions_until_stale = self.row.staleness_bound_versions.saturating_add(1);
        match model.cadence.span_of(versions_until_stale) {
            Some(span) => exceeding_ratio(model, 0, span),
            None => 0.0,
        }
    }

    /// Returns whether an attempt may resume from the tokens of its plan.
    pub(crate) fn can_resume(&self, plan: &Plan) -> bool {
        let Some(oldest) = plan.resume.oldest_version() else {
            return true;
        };
        let forecast = &plan.forecast;
        let is_fresh = is_deliverable(forecast.stated_version, oldest, forecast.bound_versions);
        let is_late = forecast.late_ratio > forecast.max_late_ratio;
        let is_one_version = forecast
            .newest_version
            .is_none_or(|newest| newest == oldest);
        is_fresh && !is_late && (self.row.mixed_versions || is_one_version)
    }

    /// Applies the dispatch gate, and records a decision when the verdict
    /// changes.
    fn check_gate(
        &mut self,
        plan: &Plan,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) -> Verdict {
        let verdict = decide_dispatch(plan.forecast);
        if matches!(verdict, Verdict::Dispatch { .. }) {
            self.verdict = Some(verdict);
            return verdict;
        }
        registry.counters.refused_count += 1;
        if self.verdict != Some(verdict) {
            self.verdict = Some(verdict);
            registry.counters.deferred_count += 1;
            let newest = plan.forecast.newest_version.unwrap_or_default();
            ctx.decisions.push(
                Decision::new(Kind::Step, ctx.now, format!("held back: {verdict}"))
                    .about(format!("{}/{}", self.spec.trainer, self.spec.step))
                    .figure("stated_version_count", plan.forecast.stated_version as f64)
                    .figure(
                        "expected_version_count",
                        plan.forecast.expected_version as f64,
                    )
                    .figure("newest_version_count", newest as f64)
                    .figure("late_ratio", plan.forecast.late_ratio)
                    .figure("max_late_ratio", plan.forecast.max_late_ratio)
                    .figure("bound_versions", plan.forecast.bound_versions as f64),
            );
        }
        verdict
    }

    /// Starts the first attempt at an open slot.
    fn start_attempt(
        &mut self,
        slot_index: SlotIndex,
        plan: Plan,
        min_version: WeightVersion,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let avoid = self.slot_mut(slot_index).avoid.take();
        let attempt = self.request_attempt(slot_index, plan, min_version, avoid, registry, ctx);
        let running = RunningAttempts {
            primary: attempt,
            hedge: None,
        };
        self.set_phase(slot_index, Phase::Running(Box::new(running)));
    }

    /// Registers a new attempt and emits the action that dispatches it.
    pub(crate) fn request_attempt(
        &self,
        slot_index: SlotIndex,
        plan: Plan,
        min_version: WeightVersion,
        avoid: Option<UpstreamId>,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) -> Attempt {
        let number = registry.next_attempt();
        let slot = self.slot_id(slot_index);
        let prompt = &self.group_of(slot_index).prompt;
        let priority = self.priority(slot_index, &plan, registry);
        registry.counters.dispatched_count += 1;
        registry.counters.resumed_tokens += plan.resume.tokens.len() as u64;
        ctx.decisions.push(
            Decision::new(Kind::Sample, ctx.now, "dispatched")
                .about(format!("{slot}/{number:x}"))
                .figure("min_version_count", min_version as f64)
                .figure(
                    "expected_version_count",
                    plan.forecast.expected_version as f64,
                )
                .figure("expected_tokens", f64::from(plan.expected_tokens))
                .figure("resumed_tokens", plan.resume.tokens.len() as f64)
                .figure("priority_ratio", f64::from(priority)),
        );
        let mut avoided_engines = ctx.slow_engines.clone();
        avoided_engines.extend(avoid.filter(|engine| !ctx.slow_engines.contains(engine)));
        let attempt = Attempt::new(number, plan.resume.clone(), ctx.now);
        let seed = self.spec.sample_seed(slot.group, slot.index);
        ctx.actions.push(Action::Dispatch(Box::new(Dispatch {
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
            avoid: avoided_engines,
        })));
        let key = StepKey::of(&self.spec);
        registry.attempts.insert(number, Target { key, slot_index });
        attempt
    }

    fn priority(&self, slot_index: SlotIndex, plan: &Plan, registry: &Registry) -> u32 {
        if !registry.policy.raises_last_slots {
            return priority::PULLED;
        }
        let resumed = match plan.resume.tokens.is_empty() {
            true => 0,
            false => priority::RESUMED,
        };
        self.slot_context(slot_index).priority() + resumed
    }

    pub(crate) fn remaining_tokens(
        &self,
        slot_index: SlotIndex,
        proved: &ProvedTokens,
        model: &Model,
    ) -> u32 {
        let group = self.group_of(slot_index);
        let generated = u32::try_from(proved.tokens.len()).unwrap_or(u32::MAX);
        model
            .lengths
            .remaining_in_group(group.lengths, generated, group.prompt.max_tokens)
    }
}

/// Returns the fraction of samples with `generated` tokens that an attempt does not
/// complete within `span` of its dispatch.
fn exceeding_ratio(model: &Model, generated: u32, span: Duration) -> f64 {
    let typical = typical_times(model);
    let running = span.saturating_sub(typical.startup);
    let fitting_tokens = running.as_secs_f64() / typical.token_time.as_secs_f64();
    model
        .lengths
        .exceeding_ratio(generated, generated.saturating_add(fitting_tokens as u32))
}

/// Returns the typical durations for attempts of a row.
pub(crate) fn typical_times(model: &Model) -> TypicalTimes {
    let default_token_time = model.progress_token_time.mean_or(DEFAULT_TOKEN_TIME);
    TypicalTimes {
        token_time: model.token_time.mean_or(default_token_time),
        startup: model.startup.mean_or(DEFAULT_STARTUP),
    }
}

fn is_at_limit(max_running_samples: u32, running: u32) -> bool {
    max_running_samples > 0 && running >= max_running_samples
}
