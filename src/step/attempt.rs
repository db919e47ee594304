//! How the attempts of one step go on and end.

use std::sync::Arc;

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    engine::evidence::Proved,
    ids::{AttemptNumber, UpstreamId},
    step::{
        message::{Action, Failure},
        registry::{Registry, Turn, backoff},
        sample::Sample,
        slot::Phase,
        state::{Place, Step},
    },
};

impl Step {
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
        attempt.engine = Some(Arc::clone(&engine));
        let token_time = attempt.progress(proved, turn.now);
        // Of two that waited for their engines, the first to start runs on.
        let waiting: Vec<_> = race
            .attempts()
            .filter(|other| is_first && other.number != number && other.started_at.is_none())
            .map(|other| other.number)
            .collect();
        let model = registry.model(&self.spec.trainer);
        if is_first {
            model
                .startup
                .observe(turn.now.saturating_sub(dispatched_at));
        }
        if let Some(token_time) = token_time {
            model.first_token_time.observe(token_time);
            registry.paces.observe(&engine, token_time, turn.now);
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
    pub(crate) fn drop_attempt(
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
        let Phase::Running(race) = &self.slots()[place].phase else {
            return;
        };
        let attempt = race.attempts().find(|attempt| attempt.number == number);
        if let Some(token_time) = attempt.and_then(|attempt| attempt.mean_token_time(tokens, now)) {
            model.token_time.observe(token_time);
        }
    }
}
