//! Progress, completion and failure of the attempts of one step.

use std::sync::Arc;

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    engine::evidence::ProvedTokens,
    ids::{AttemptNumber, UpstreamId},
    step::{
        message::{Action, Failure},
        registry::{Registry, RoundContext, backoff},
        sample::Sample,
        slot::Phase,
        state::{SlotIndex, Step},
    },
};

impl Step {
    /// Records the progress of an attempt.
    pub(crate) fn progress(
        &mut self,
        slot_index: SlotIndex,
        number: AttemptNumber,
        engine: UpstreamId,
        proved: ProvedTokens,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let Phase::Running(running) = &mut self.slot_mut(slot_index).phase else {
            return;
        };
        let Some(attempt) = running.attempt_mut(number) else {
            return;
        };
        let is_first = attempt.started_at.is_none();
        let dispatched_at = attempt.dispatched_at;
        attempt.engine = Some(Arc::clone(&engine));
        let token_time = attempt.record_progress(proved, ctx.now);
        // If two attempts were queued at their engines, the first to start is
        // kept and the other cancelled.
        let queued: Vec<_> = running
            .attempts()
            .filter(|other| is_first && other.number != number && other.started_at.is_none())
            .map(|other| other.number)
            .collect();
        let model = registry.model(&self.spec.trainer);
        if is_first {
            model.startup.observe(ctx.now.saturating_sub(dispatched_at));
        }
        if let Some(token_time) = token_time {
            model.progress_token_time.observe(token_time);
            registry.engine_speeds.observe(&engine, token_time, ctx.now);
        }
        for other in queued {
            self.drop_attempt(slot_index, other, registry, ctx);
        }
    }

    /// Accepts a complete sample, or fails the attempt if the sample does not
    /// match the request.
    pub(crate) fn finish(
        &mut self,
        slot_index: SlotIndex,
        number: AttemptNumber,
        sample: Sample,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let slot = self.slot_id(slot_index);
        let max_tokens = self.group_of(slot_index).prompt.max_tokens;
        if let Err(error) = sample.check(&slot, max_tokens, self.row.mixed_versions) {
            registry.counters.invalid_count += 1;
            ctx.decisions.push(
                Decision::new(
                    Kind::Sample,
                    ctx.now,
                    format!("refused as invalid: {error}"),
                )
                .about(slot.to_string()),
            );
            let failure = Failure {
                proved: Some(ProvedTokens::default()),
                ..Failure::default()
            };
            self.fail(slot_index, number, failure, registry, ctx);
            return;
        }
        self.update_model(slot_index, number, &sample, registry, ctx.now);
        self.cancel_losers(slot_index, number, registry, ctx);
        if !self.can_deliver(&sample) {
            self.refuse_stale(slot_index, &sample, registry, ctx);
            return;
        }
        ctx.decisions.push(
            Decision::new(Kind::Sample, ctx.now, "buffered")
                .about(&*sample.id)
                .figure("sample_tokens", f64::from(sample.token_count()))
                .figure("segments_count", sample.segments.len() as f64),
        );
        self.ready_since.get_or_insert(ctx.now);
        self.slot_mut(slot_index).failure_count = 0;
        self.set_phase(slot_index, Phase::Ready(Arc::new(sample)));
    }

    /// Records that an attempt ended without a sample, and schedules a retry
    /// unless another attempt at the slot is running.
    pub(crate) fn fail(
        &mut self,
        slot_index: SlotIndex,
        number: AttemptNumber,
        failure: Failure,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        registry.attempts.remove(&number);
        let Phase::Running(running) = self.set_phase(slot_index, Phase::Open(None)) else {
            return;
        };
        let Some(failed) = running.attempts().find(|attempt| attempt.number == number) else {
            self.set_phase(slot_index, Phase::Running(running));
            return;
        };
        let engine = failed.engine.clone();
        let proved = failure.proved.unwrap_or_else(|| failed.proved.clone());
        ctx.decisions.push(
            Decision::new(Kind::Sample, ctx.now, "attempt failed")
                .about(self.slot_id(slot_index).to_string())
                .figure("not_run_count", f64::from(u8::from(failure.not_run)))
                .figure("proved_tokens", proved.tokens.len() as f64)
                .figure("retry_after_ms", failure.retry_after.as_millis() as f64),
        );
        if let Some(rest) = running.without(number) {
            self.set_phase(slot_index, Phase::Running(Box::new(rest)));
            return;
        }
        self.set_phase(slot_index, Phase::Open(Some(Box::new(proved))));
        let slot = self.slot_mut(slot_index);
        let delay = backoff(slot.failure_count, failure.retry_after, ctx.rng);
        slot.not_before = ctx.now.saturating_add(delay);
        slot.failure_count = slot.failure_count.saturating_add(1);
        slot.avoid = engine;
    }

    /// Removes `winner` from the registry and cancels the other attempts at its
    /// slot.
    fn cancel_losers(
        &mut self,
        slot_index: SlotIndex,
        winner: AttemptNumber,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        registry.attempts.remove(&winner);
        let Phase::Running(running) = &self.slots()[slot_index].phase else {
            return;
        };
        let losers: Vec<_> = running
            .attempts()
            .filter(|attempt| attempt.number != winner)
            .map(|attempt| attempt.number)
            .collect();
        for loser in losers {
            self.drop_attempt(slot_index, loser, registry, ctx);
        }
    }

    /// Cancels one of two attempts and counts the tokens that it generated as
    /// lost.
    pub(crate) fn drop_attempt(
        &mut self,
        slot_index: SlotIndex,
        number: AttemptNumber,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let Phase::Running(running) = &mut self.slot_mut(slot_index).phase else {
            return;
        };
        if let Some(attempt) = running.attempt_mut(number) {
            registry.counters.lost_tokens += u64::from(attempt.generated_tokens());
        }
        if let Some(rest) = running.as_ref().clone().without(number) {
            **running = rest;
        }
        registry.attempts.remove(&number);
        let attempt = number;
        ctx.actions.push(Action::Cancel { attempt });
    }

    /// Updates the row's statistics of length and token time from a complete
    /// sample.
    fn update_model(
        &mut self,
        slot_index: SlotIndex,
        number: AttemptNumber,
        sample: &Sample,
        registry: &mut Registry,
        now: Timestamp,
    ) {
        let tokens = sample.token_count();
        self.record_length(slot_index, tokens);
        let model = registry.model(&self.spec.trainer);
        model.lengths.observe(tokens);
        let Phase::Running(running) = &self.slots()[slot_index].phase else {
            return;
        };
        let attempt = running.attempts().find(|attempt| attempt.number == number);
        if let Some(token_time) = attempt.and_then(|attempt| attempt.mean_token_time(tokens, now)) {
            model.token_time.observe(token_time);
        }
    }
}
