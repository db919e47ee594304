//! Attempts of one step: when they start, how they end, which get a second.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    decision::{Decision, Kind},
    evidence::Proved,
    ids::{AttemptNumber, UpstreamId, WeightVersion},
    sample::Sample,
    slot::{Attempt, Phase, Race},
    staleness::{Forecast, Margin, Verdict, judge},
    step::{Action, Dispatch, Failure, Model, Registry, StepKey, Target, Turn, backoff},
    step_state::{Place, Step},
    straggler::{
        Advice, DEFAULT_STARTUP, DEFAULT_TOKEN_TIME, Norm, SILENCE_TIMEOUT, advise,
        hedge_budget_count,
    },
};

/// The most attempts that one step starts in one round.
const MAX_DISPATCHES_PER_ROUND: usize = 256;

/// The most slots that one step looks at in one round without starting them.
const MAX_REFUSALS_PER_ROUND: usize = 64;

/// How long after its last pull a trainer still counts as waiting.
const PULL_PATIENCE: Duration = Duration::from_secs(60);

/// What is expected of an attempt that is about to start.
struct Plan {
    resume: Proved,
    expected_tokens: u32,
    forecast: Forecast,
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
        let mut started = 0;
        let mut refused = 0;
        for offset in 0..slot_count {
            let is_limited = is_limited(self.row.max_running_samples, *running);
            if self.counts().open == 0 || is_limited {
                break;
            }
            if started == MAX_DISPATCHES_PER_ROUND || refused == MAX_REFUSALS_PER_ROUND {
                self.cursor = (self.cursor + offset) % slot_count;
                break;
            }
            let place = (self.cursor + offset) % slot_count;
            if !self.is_due(place, turn.now) {
                continue;
            }
            let plan = self.plan(place, registry.model(&key.trainer), turn);
            match self.judge(&plan, registry, turn) {
                Verdict::Dispatch { min_version } => {
                    self.start(key, place, plan, min_version, registry, turn);
                    *running += 1;
                    started += 1;
                }
                Verdict::AwaitWeights | Verdict::AwaitChange => refused += 1,
            }
        }
    }

    /// Cancels silent attempts, and hedges the slowest of the tail.
    pub(crate) fn watch(&mut self, key: &StepKey, registry: &mut Registry, turn: &mut Turn<'_>) {
        for place in 0..self.slots().len() {
            let Phase::Running(race) = &self.slots()[place].phase else {
                continue;
            };
            let silence = turn.now.saturating_sub(race.first.progressed_at);
            let standing = self.standing(place);
            if silence < SILENCE_TIMEOUT && !(standing.is_pulled && standing.is_tail()) {
                continue;
            }
            let model = registry.model(&key.trainer);
            let norm = norm(model);
            let remaining = self.remaining_tokens(place, &race.first.proved, model);
            let advice = advise(race.first.runner(remaining), standing, norm, turn.now);
            match advice {
                Advice::Keep => {}
                Advice::Hedge => self.hedge(key, place, registry, turn),
                Advice::Resume => self.resume_elsewhere(place, registry, turn),
            }
        }
    }

    /// Takes in how far an attempt has come.
    pub(crate) fn progress(
        &mut self,
        place: Place,
        number: AttemptNumber,
        engine: UpstreamId,
        proved: Proved,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let Phase::Running(race) = &mut self.slot_mut(place).phase else {
            return;
        };
        let Some(attempt) = race.attempt_mut(number) else {
            return;
        };
        let is_first = attempt.started_at.is_none();
        let dispatched_at = attempt.dispatched_at;
        attempt.engine = Some(engine);
        attempt.started_at.get_or_insert(turn.now);
        attempt.progressed_at = turn.now;
        if proved.tokens.len() > attempt.proved.tokens.len() {
            attempt.proved = proved;
        }
        let waiting: Vec<_> = race
            .attempts()
            .filter(|other| other.number != number && other.started_at.is_none())
            .map(|other| other.number)
            .collect();
        if is_first {
            let startup = turn.now.saturating_sub(dispatched_at);
            registry.model(&self.spec.trainer).startup.observe(startup);
        }
        for other in waiting {
            self.drop_attempt(place, other, registry, turn);
        }
    }

    /// Takes in a whole sample, unless it is at odds with what was asked for.
    pub(crate) fn finish(
        &mut self,
        place: Place,
        number: AttemptNumber,
        sample: Sample,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let slot = self.slot_id(place);
        let max_tokens = self.group_of(place).prompt.max_tokens;
        if let Err(error) = sample.check(&slot, max_tokens, self.row.mixed_versions) {
            registry.counters.invalid_count += 1;
            turn.decisions.push(
                Decision::new(
                    Kind::Sample,
                    turn.now,
                    format!("refused as invalid: {error}"),
                )
                .about(slot.to_string()),
            );
            let failure = Failure {
                proved: Some(Proved::default()),
                ..Failure::default()
            };
            self.fail(place, number, failure, registry, turn);
            return;
        }
        self.learn(place, number, &sample, registry, turn.now);
        self.end_race(place, number, registry, turn);
        if !self.passes(&sample) {
            self.refuse_stale(place, &sample, registry, turn);
            return;
        }
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "buffered")
                .about(&*sample.id)
                .figure("sample_tokens", f64::from(sample.token_count()))
                .figure("segments_count", sample.segments.len() as f64),
        );
        self.ready_since.get_or_insert(turn.now);
        self.slot_mut(place).failure_count = 0;
        self.set_phase(place, Phase::Ready(Arc::new(sample)));
    }

    /// Takes in that an attempt ended without a sample.
    pub(crate) fn fail(
        &mut self,
        place: Place,
        number: AttemptNumber,
        failure: Failure,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        registry.attempts.remove(&number);
        let Phase::Running(race) = self.set_phase(place, Phase::Open(None)) else {
            return;
        };
        let Some(failed) = race.attempts().find(|attempt| attempt.number == number) else {
            self.set_phase(place, Phase::Running(race));
            return;
        };
        let engine = failed.engine.clone();
        let proved = failure.proved.unwrap_or_else(|| failed.proved.clone());
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "attempt failed")
                .about(self.slot_id(place).to_string())
                .figure("not_run_count", f64::from(u8::from(failure.not_run)))
                .figure("proved_tokens", proved.tokens.len() as f64)
                .figure("retry_after_ms", failure.retry_after.as_millis() as f64),
        );
        if let Some(rest) = race.without(number) {
            self.set_phase(place, Phase::Running(Box::new(rest)));
            return;
        }
        self.set_phase(place, Phase::Open(Some(Box::new(proved))));
        let slot = self.slot_mut(place);
        let delay = backoff(slot.failure_count, failure.retry_after, turn.rng);
        slot.not_before = turn.now.saturating_add(delay);
        slot.failure_count = slot.failure_count.saturating_add(1);
        slot.avoid = engine;
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
    fn plan(&self, place: Place, model: &Model, turn: &Turn<'_>) -> Plan {
        let resume = match &self.slots()[place].phase {
            Phase::Open(Some(proved)) => proved.as_ref().clone(),
            _ => Proved::default(),
        };
        let plan = self.plan_from(place, resume, model, turn);
        if self.can_resume(&plan) {
            return plan;
        }
        self.plan_from(place, Proved::default(), model, turn)
    }

    fn plan_from(&self, place: Place, resume: Proved, model: &Model, turn: &Turn<'_>) -> Plan {
        let norm = norm(model);
        let expected_tokens = self.remaining_tokens(place, &resume, model);
        let duration = norm.startup + norm.token_time * expected_tokens;
        Plan {
            resume,
            expected_tokens,
            forecast: self.forecast(duration, model, turn),
        }
    }

    /// Predicts the trainer's version for a sample that takes `duration`.
    fn forecast(&self, duration: Duration, model: &Model, turn: &Turn<'_>) -> Forecast {
        let whole_at = turn.now.saturating_add(duration);
        let cadence = &model.cadence;
        let gain = cadence.gain_by(whole_at, turn.now, Margin::of(&self.row));
        let stated = self.stated_version();
        let expected = match self.attachment.pulled_at {
            Some(_) => stated + gain,
            None => stated.max(cadence.version()) + gain.max(cadence.versions_per_step()),
        };
        Forecast {
            stated,
            expected,
            newest: turn.newest,
            bound_versions: self.row.staleness_bound_versions,
        }
    }

    /// Says whether the tokens that an attempt would resume from may stay.
    fn can_resume(&self, plan: &Plan) -> bool {
        let Some(oldest) = plan.resume.oldest_version() else {
            return true;
        };
        let forecast = &plan.forecast;
        let least = forecast.expected.saturating_sub(forecast.bound_versions);
        let is_one_version = forecast.newest.is_none_or(|newest| newest == oldest);
        oldest >= least && (self.row.mixed_versions || is_one_version)
    }

    /// Asks the gate, and records when its answer changes.
    fn judge(&mut self, plan: &Plan, registry: &mut Registry, turn: &mut Turn<'_>) -> Verdict {
        let verdict = judge(plan.forecast);
        if matches!(verdict, Verdict::Dispatch { .. }) {
            self.verdict = Some(verdict);
            return verdict;
        }
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
                    .figure("bound_versions", plan.forecast.bound_versions as f64),
            );
        }
        verdict
    }

    /// Starts the only attempt of an open slot.
    fn start(
        &mut self,
        key: &StepKey,
        place: Place,
        plan: Plan,
        min_version: WeightVersion,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let avoid = self.slot_mut(place).avoid.take();
        let attempt = self.send(key, place, plan, min_version, avoid, registry, turn);
        let race = Race {
            first: attempt,
            second: None,
        };
        self.set_phase(place, Phase::Running(Box::new(race)));
    }

    /// Starts a second attempt beside the one that runs, within the budget.
    fn hedge(&mut self, key: &StepKey, place: Place, registry: &mut Registry, turn: &mut Turn<'_>) {
        let budget = hedge_budget_count(&self.row, self.slot_count());
        let Phase::Running(race) = &self.slots()[place].phase else {
            return;
        };
        if race.second.is_some() || self.hedge_count >= budget {
            return;
        }
        let resume = race.first.proved.clone();
        let avoid = race.first.engine.clone();
        let model = registry.model(&key.trainer);
        let mut plan = self.plan_from(place, resume, model, turn);
        if !self.can_resume(&plan) {
            plan = self.plan_from(place, Proved::default(), model, turn);
        }
        let Verdict::Dispatch { min_version } = judge(plan.forecast) else {
            return;
        };
        self.hedge_count += 1;
        registry.counters.hedged_count += 1;
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "hedged")
                .about(self.slot_id(place).to_string())
                .figure("hedges_count", f64::from(self.hedge_count))
                .figure("budget_count", f64::from(budget))
                .figure("expected_tokens", f64::from(plan.expected_tokens)),
        );
        let attempt = self.send(key, place, plan, min_version, avoid, registry, turn);
        if let Phase::Running(race) = &mut self.slot_mut(place).phase {
            race.second = Some(attempt);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "an attempt is named by its slot and made from its plan"
    )]
    fn send(
        &self,
        key: &StepKey,
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
        let priority = self.standing(place).priority();
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
            avoid,
        })));
        let key = key.clone();
        registry.attempts.insert(number, Target { key, place });
        attempt
    }

    /// Cancels what runs for a slot and opens it, with the tokens so far.
    fn resume_elsewhere(&mut self, place: Place, registry: &mut Registry, turn: &mut Turn<'_>) {
        let Phase::Running(race) = self.set_phase(place, Phase::Open(None)) else {
            return;
        };
        for attempt in race.attempts() {
            registry.attempts.remove(&attempt.number);
            let attempt = attempt.number;
            turn.actions.push(Action::Cancel { attempt });
        }
        let first = race.first;
        let silence = turn.now.saturating_sub(first.progressed_at);
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "resumed elsewhere")
                .about(self.slot_id(place).to_string())
                .figure("silence_ms", silence.as_millis() as f64)
                .figure("proved_tokens", first.proved.tokens.len() as f64),
        );
        self.set_phase(place, Phase::Open(Some(Box::new(first.proved))));
        self.slot_mut(place).avoid = first.engine;
    }

    /// Stops the attempts that lost to `winner`.
    fn end_race(
        &mut self,
        place: Place,
        winner: AttemptNumber,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        registry.attempts.remove(&winner);
        let Phase::Running(race) = &self.slots()[place].phase else {
            return;
        };
        let losers: Vec<_> = race
            .attempts()
            .filter(|attempt| attempt.number != winner)
            .map(|attempt| attempt.number)
            .collect();
        for loser in losers {
            self.drop_attempt(place, loser, registry, turn);
        }
    }

    /// Cancels one of two attempts and counts its tokens as lost.
    fn drop_attempt(
        &mut self,
        place: Place,
        number: AttemptNumber,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let Phase::Running(race) = &mut self.slot_mut(place).phase else {
            return;
        };
        if let Some(attempt) = race.attempt_mut(number) {
            registry.counters.lost_tokens += u64::from(attempt.generated_tokens());
        }
        if let Some(rest) = race.as_ref().clone().without(number) {
            **race = rest;
        }
        registry.attempts.remove(&number);
        let attempt = number;
        turn.actions.push(Action::Cancel { attempt });
    }

    /// Learns the row's lengths and speed from a whole sample.
    fn learn(
        &mut self,
        place: Place,
        number: AttemptNumber,
        sample: &Sample,
        registry: &mut Registry,
        now: Timestamp,
    ) {
        let tokens = sample.token_count();
        self.observe_length(place, tokens);
        let model = registry.model(&self.spec.trainer);
        model.lengths.observe(tokens);
        let Phase::Running(race) = &mut self.slot_mut(place).phase else {
            return;
        };
        let Some(attempt) = race.attempt_mut(number) else {
            return;
        };
        let own_tokens = tokens.saturating_sub(attempt.resumed_tokens);
        if let (Some(started_at), 1..) = (attempt.started_at, own_tokens) {
            let time = now.saturating_sub(started_at);
            model.token_time.observe(time / own_tokens);
        }
    }

    fn remaining_tokens(&self, place: Place, proved: &Proved, model: &Model) -> u32 {
        let group = self.group_of(place);
        let generated = u32::try_from(proved.tokens.len()).unwrap_or(u32::MAX);
        model
            .lengths
            .remaining_in_group(group.lengths, generated, group.prompt.max_tokens)
    }
}

/// Returns what attempts of a row usually take.
fn norm(model: &Model) -> Norm {
    Norm {
        token_time: model.token_time.mean_or(DEFAULT_TOKEN_TIME),
        startup: model.startup.mean_or(DEFAULT_STARTUP),
    }
}

fn is_limited(max_running_samples: u32, running: u32) -> bool {
    max_running_samples > 0 && running >= max_running_samples
}
