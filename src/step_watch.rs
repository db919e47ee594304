//! Attempts of one step that are slow or silent.

use crate::{
    clock::Timestamp,
    decision::{Decision, Kind},
    ids::AttemptNumber,
    slot::{Attempt, Phase, Race},
    staleness::{Verdict, judge},
    step_dispatch::norm,
    step_message::Action,
    step_registry::{Registry, StepKey, Turn},
    step_state::{Place, Step},
    straggler::{Advice, SILENCE_TIMEOUT, advise, hedge_budget_count},
};

impl Step {
    /// Cancels silent attempts, and hedges the slowest of the tail.
    pub(crate) fn watch(&mut self, key: &StepKey, registry: &mut Registry, turn: &mut Turn<'_>) {
        let is_tail = self.is_pulled_tail();
        for place in 0..self.slots().len() {
            let Phase::Running(race) = &self.slots()[place].phase else {
                continue;
            };
            match &race.second {
                Some(second) => {
                    if let Some(silent) = silent_of_two(&race.first, second, turn.now) {
                        self.drop_attempt(place, silent, registry, turn);
                    }
                }
                None if is_tail || is_silent(&race.first, turn.now) => {
                    self.watch_attempt(key, place, registry, turn);
                }
                None => {}
            }
        }
    }

    fn is_pulled_tail(&self) -> bool {
        let is_tail = !self.slots().is_empty() && self.standing(0).is_tail();
        is_tail && self.attachment.pulled_at.is_some()
    }

    /// Decides about the only attempt of a slot.
    fn watch_attempt(
        &mut self,
        key: &StepKey,
        place: Place,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let Phase::Running(race) = &self.slots()[place].phase else {
            return;
        };
        let model = registry.model(&key.trainer);
        let remaining_tokens = self.remaining_tokens(place, &race.first.proved, model);
        let runner = race.first.runner(remaining_tokens);
        match advise(runner, self.standing(place), norm(model), turn.now) {
            Advice::Keep => {}
            Advice::Hedge => self.hedge(key, place, registry, turn),
            Advice::Resume => self.resume_elsewhere(place, registry, turn),
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
        let plan = self.plan_from(place, resume, registry.model(&key.trainer), turn);
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

    /// Cancels what runs for a slot and opens it, with the tokens so far.
    fn resume_elsewhere(&mut self, place: Place, registry: &mut Registry, turn: &mut Turn<'_>) {
        let Phase::Running(race) = self.set_phase(place, Phase::Open(None)) else {
            return;
        };
        let Race { first, .. } = *race;
        registry.attempts.remove(&first.number);
        turn.actions.push(Action::Cancel {
            attempt: first.number,
        });
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
