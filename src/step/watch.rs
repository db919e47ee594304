//! Attempts of one step that are slow or silent.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    ids::AttemptNumber,
    step::{
        dispatch::norm,
        key::StepKey,
        message::Action,
        registry::{Model, Registry, Turn},
        slot::{Attempt, Phase},
        staleness::{Verdict, judge},
        state::{Place, Step},
        straggler::{
            Advice, MAX_MOVE_COUNT, Norm, Runner, SILENCE_TIMEOUT, advise, hedge_budget_count,
        },
    },
};

/// The time between two searches of one step.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// A token time above this part of the usual one makes an attempt suspect.
const SLOW_RATIO: f64 = 1.5;

/// The part of the slowest attempt's remaining time below which hedging another
/// one would not end the step earlier.
const SLOWEST_RATIO: f64 = 0.5;

/// An attempt that a second one may save time for.
struct Candidate {
    place: Place,
    remaining: Duration,
}

impl Step {
    /// Moves silent and slow attempts, and hedges the slowest of the tail.
    pub(crate) fn watch(&mut self, key: &StepKey, registry: &mut Registry, turn: &mut Turn<'_>) {
        let is_due = turn.now.saturating_sub(self.watched_at) >= WATCH_INTERVAL;
        if !is_due || turn.watches_left == 0 {
            return;
        }
        turn.watches_left -= 1;
        self.watched_at = turn.now;
        let norm = norm(registry.model(&key.trainer));
        let is_tail = self.may_hedge();
        let mut candidates = Vec::new();
        for place in 0..self.slots().len() {
            let Phase::Running(race) = &self.slots()[place].phase else {
                continue;
            };
            if let Some(second) = &race.second {
                if let Some(silent) = silent_of_two(&race.first, second, turn.now) {
                    self.drop_attempt(place, silent, registry, turn);
                }
                continue;
            }
            if is_silent(&race.first, turn.now) {
                self.move_attempt(place, registry, turn);
                continue;
            }
            let is_mitigated = registry.policy.mitigates_slow_attempts;
            if !is_mitigated || !(is_tail || is_slow(&race.first, norm)) {
                continue;
            }
            let runner = self.runner(place, &race.first, registry.model(&key.trainer));
            match advise(runner, self.standing(place), norm, turn.now) {
                Advice::Keep => {}
                Advice::Hedge => candidates.push(Candidate {
                    place,
                    remaining: runner.remaining_time(turn.now, norm),
                }),
                Advice::Resume => self.move_slow(place, registry, turn),
            }
        }
        self.hedge_slowest(key, candidates, registry, turn);
    }

    fn may_hedge(&self) -> bool {
        !self.slots().is_empty() && self.standing(0).may_hedge()
    }

    fn runner(&self, place: Place, attempt: &Attempt, model: &Model) -> Runner {
        attempt.runner(self.remaining_tokens(place, &attempt.proved, model))
    }

    /// Hedges the candidates that the step is expected to wait for longest.
    fn hedge_slowest(
        &mut self,
        key: &StepKey,
        mut candidates: Vec<Candidate>,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.remaining));
        let Some(longest) = candidates.first().map(|candidate| candidate.remaining) else {
            return;
        };
        let least = longest.mul_f64(SLOWEST_RATIO);
        for candidate in candidates {
            if candidate.remaining >= least {
                self.hedge(key, candidate.place, registry, turn);
            }
        }
    }

    /// Starts a second attempt beside the one that runs.
    ///
    /// One beside an attempt that still waits for its engine is outside the
    /// budget, because only the first of the two to start runs on.
    fn hedge(&mut self, key: &StepKey, place: Place, registry: &mut Registry, turn: &mut Turn<'_>) {
        let Phase::Running(race) = &self.slots()[place].phase else {
            return;
        };
        let budget = hedge_budget_count(&self.row, self.slot_count());
        let is_started = race.first.started_at.is_some();
        if is_started && self.hedge_count >= budget {
            return;
        }
        let resume = race.first.proved.clone();
        let avoid = race.first.engine.clone();
        let gate = registry.policy.gate;
        let plan = self.plan_from(place, resume, gate, registry.model(&key.trainer), turn);
        if !self.can_resume(&plan) {
            return;
        }
        let Verdict::Dispatch { min_version } = judge(plan.forecast) else {
            return;
        };
        self.hedge_count += u32::from(is_started);
        registry.counters.hedged_count += 1;
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "hedged")
                .about(self.slot_id(place).to_string())
                .figure("hedges_count", f64::from(self.hedge_count))
                .figure("budget_count", f64::from(budget))
                .figure("expected_tokens", f64::from(plan.expected_tokens)),
        );
        let second = self.send(place, plan, min_version, avoid, registry, turn);
        if let Phase::Running(race) = &mut self.slot_mut(place).phase {
            race.second = Some(second);
        }
    }

    /// Moves a slow attempt, unless its slot was moved often already.
    fn move_slow(&mut self, place: Place, registry: &mut Registry, turn: &mut Turn<'_>) {
        let slot = self.slot_mut(place);
        if slot.move_count >= MAX_MOVE_COUNT {
            return;
        }
        slot.move_count += 1;
        self.move_attempt(place, registry, turn);
    }

    /// Cancels what runs for a slot and opens it, with the tokens so far.
    fn move_attempt(&mut self, place: Place, registry: &mut Registry, turn: &mut Turn<'_>) {
        let Phase::Running(race) = self.set_phase(place, Phase::Open(None)) else {
            return;
        };
        let first = race.first;
        let attempt = first.number;
        registry.attempts.remove(&attempt);
        registry.counters.moved_count += 1;
        turn.actions.push(Action::Cancel { attempt });
        let silence = turn.now.saturating_sub(first.progressed_at);
        let token_time = first.token_time.unwrap_or_default();
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "resumed elsewhere")
                .about(self.slot_id(place).to_string())
                .figure("silence_ms", silence.as_millis() as f64)
                .figure("token_time_us", token_time.as_micros() as f64)
                .figure("proved_tokens", first.proved.tokens.len() as f64),
        );
        self.set_phase(place, Phase::Open(Some(Box::new(first.proved))));
        self.slot_mut(place).avoid = first.engine;
    }
}

/// Returns the attempt to drop where one of two went silent.
fn silent_of_two(first: &Attempt, second: &Attempt, now: Timestamp) -> Option<AttemptNumber> {
    if is_silent(first, now) {
        return Some(first.number);
    }
    is_silent(second, now).then_some(second.number)
}

fn is_silent(attempt: &Attempt, now: Timestamp) -> bool {
    let silence = now.saturating_sub(attempt.progressed_at);
    attempt.started_at.is_some() && silence >= SILENCE_TIMEOUT
}

fn is_slow(attempt: &Attempt, norm: Norm) -> bool {
    let usual = norm.token_time.mul_f64(SLOW_RATIO);
    attempt.token_time.is_some_and(|time| time > usual)
}
