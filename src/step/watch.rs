//! Detection and mitigation of slow or silent attempts of one step.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    ids::AttemptNumber,
    step::{
        dispatch::typical_times,
        key::StepKey,
        message::Action,
        registry::{Model, Registry, RoundContext},
        slot::{Attempt, Phase},
        staleness::{Verdict, decide_dispatch},
        state::{SlotIndex, Step},
        straggler::{
            AttemptSnapshot, MAX_MOVE_COUNT, Mitigation, SILENCE_TIMEOUT, TypicalTimes,
            choose_mitigation, hedge_budget_count,
        },
    },
};

/// The time between two straggler checks of one step.
const STRAGGLER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// An attempt is checked as a possible straggler if its token time exceeds the
/// typical one by this factor.
const SLOW_RATIO: f64 = 1.5;

/// The fraction of the slowest attempt's remaining time below which hedging
/// another attempt would not make the step complete earlier.
const SLOWEST_RATIO: f64 = 0.5;

/// An attempt for which a hedge may save time.
struct Candidate {
    slot_index: SlotIndex,
    remaining: Duration,
}

impl Step {
    /// Moves silent and slow attempts, and hedges the slowest attempts of the
    /// tail.
    pub(crate) fn mitigate_stragglers(
        &mut self,
        key: &StepKey,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let is_due = ctx.now.saturating_sub(self.checked_at) >= STRAGGLER_CHECK_INTERVAL;
        if !is_due || ctx.straggler_checks_left == 0 {
            return;
        }
        ctx.straggler_checks_left -= 1;
        self.checked_at = ctx.now;
        let typical = typical_times(registry.model(&key.trainer));
        let is_tail = self.can_hedge();
        let mut candidates = Vec::new();
        for slot_index in 0..self.slots().len() {
            let Phase::Running(running) = &self.slots()[slot_index].phase else {
                continue;
            };
            if let Some(hedge) = &running.hedge {
                if let Some(silent) = silent_of_two(&running.primary, hedge, ctx.now) {
                    self.drop_attempt(slot_index, silent, registry, ctx);
                }
                continue;
            }
            if is_silent(&running.primary, ctx.now) {
                self.move_attempt(slot_index, registry, ctx);
                continue;
            }
            let is_mitigated = registry.policy.mitigates_slow_attempts;
            if !is_mitigated || !(is_tail || is_slow(&running.primary, typical)) {
                continue;
            }
            let snapshot =
                self.snapshot(slot_index, &running.primary, registry.model(&key.trainer));
            match choose_mitigation(snapshot, self.slot_context(slot_index), typical, ctx.now) {
                Mitigation::Keep => {}
                Mitigation::Hedge => candidates.push(Candidate {
                    slot_index,
                    remaining: snapshot.remaining_time(ctx.now, typical),
                }),
                Mitigation::Resume => self.move_slow(slot_index, registry, ctx),
            }
        }
        self.hedge_slowest(key, candidates, registry, ctx);
    }

    fn can_hedge(&self) -> bool {
        !self.slots().is_empty() && self.slot_context(0).can_hedge()
    }

    fn snapshot(&self, slot_index: SlotIndex, attempt: &Attempt, model: &Model) -> AttemptSnapshot {
        attempt.snapshot(self.remaining_tokens(slot_index, &attempt.proved, model))
    }

    /// Hedges the candidates with the longest remaining time.
    fn hedge_slowest(
        &mut self,
        key: &StepKey,
        mut candidates: Vec<Candidate>,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.remaining));
        let Some(longest) = candidates.first().map(|candidate| candidate.remaining) else {
            return;
        };
        let min_remaining = longest.mul_f64(SLOWEST_RATIO);
        for candidate in candidates {
            if candidate.remaining >= min_remaining {
                self.hedge(key, candidate.slot_index, registry, ctx);
            }
        }
    }

    /// Starts a hedge for the running attempt.
    ///
    /// A hedge for an attempt that is still queued at its engine does not count
    /// against the budget, because only the first of the two to start is kept.
    fn hedge(
        &mut self,
        key: &StepKey,
        slot_index: SlotIndex,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let Phase::Running(running) = &self.slots()[slot_index].phase else {
            return;
        };
        let budget = hedge_budget_count(&self.row, self.slot_count());
        let is_started = running.primary.started_at.is_some();
        if is_started && self.hedge_count >= budget {
            return;
        }
        let resume = running.primary.proved.clone();
        let avoid = running.primary.engine.clone();
        let gate = registry.policy.gate;
        let plan = self.plan_from(slot_index, resume, gate, registry.model(&key.trainer), ctx);
        if !self.can_resume(&plan) {
            return;
        }
        let Verdict::Dispatch { min_version } = decide_dispatch(plan.forecast) else {
            return;
        };
        self.hedge_count += u32::from(is_started);
        registry.counters.hedged_count += 1;
        ctx.decisions.push(
            Decision::new(Kind::Sample, ctx.now, "hedged")
                .about(self.slot_id(slot_index).to_string())
                .figure("hedges_count", f64::from(self.hedge_count))
                .figure("budget_count", f64::from(budget))
                .figure("expected_tokens", f64::from(plan.expected_tokens)),
        );
        let hedge = self.request_attempt(slot_index, plan, min_version, avoid, registry, ctx);
        if let Phase::Running(running) = &mut self.slot_mut(slot_index).phase {
            running.hedge = Some(hedge);
        }
    }

    /// Moves a slow attempt, unless its slot was moved [`MAX_MOVE_COUNT`]
    /// times.
    fn move_slow(
        &mut self,
        slot_index: SlotIndex,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let slot = self.slot_mut(slot_index);
        if slot.move_count >= MAX_MOVE_COUNT {
            return;
        }
        slot.move_count += 1;
        self.move_attempt(slot_index, registry, ctx);
    }

    /// Cancels the attempt at a slot and reopens the slot with the proved
    /// tokens.
    fn move_attempt(
        &mut self,
        slot_index: SlotIndex,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let Phase::Running(running) = self.set_phase(slot_index, Phase::Open(None)) else {
            return;
        };
        let primary = running.primary;
        let attempt = primary.number;
        registry.attempts.remove(&attempt);
        registry.counters.moved_count += 1;
        ctx.actions.push(Action::Cancel { attempt });
        let silence = ctx.now.saturating_sub(primary.progressed_at);
        let token_time = primary.token_time.unwrap_or_default();
        ctx.decisions.push(
            Decision::new(Kind::Sample, ctx.now, "resumed elsewhere")
                .about(self.slot_id(slot_index).to_string())
                .figure("silence_ms", silence.as_millis() as f64)
                .figure("token_time_us", token_time.as_micros() as f64)
                .figure("proved_tokens", primary.proved.tokens.len() as f64),
        );
        self.set_phase(slot_index, Phase::Open(Some(Box::new(primary.proved))));
        self.slot_mut(slot_index).avoid = primary.engine;
    }
}

/// Returns the attempt to cancel if one of two is silent.
fn silent_of_two(primary: &Attempt, hedge: &Attempt, now: Timestamp) -> Option<AttemptNumber> {
    if is_silent(primary, now) {
        return Some(primary.number);
    }
    is_silent(hedge, now).then_some(hedge.number)
}

fn is_silent(attempt: &Attempt, now: Timestamp) -> bool {
    let silence = now.saturating_sub(attempt.progressed_at);
    attempt.started_at.is_some() && silence >= SILENCE_TIMEOUT
}

fn is_slow(attempt: &Attempt, typical: TypicalTimes) -> bool {
    let threshold = typical.token_time.mul_f64(SLOW_RATIO);
    attempt.token_time.is_some_and(|time| time > threshold)
}
