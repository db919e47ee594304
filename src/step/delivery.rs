//! Pulls and answers of one step.

use std::{sync::Arc, time::Duration};

use crate::{
    control::decision::{Decision, Kind},
    ids::CallNumber,
    step::{
        attach::{Pull, Reply},
        message::Action,
        registry::{Registry, Turn},
        sample::Sample,
        slot::Phase,
        staleness::{age_versions, is_deliverable},
        state::{Place, Step},
    },
};

/// How long the first whole sample waits for others, so that one answer
/// carries several.
const BATCH_LINGER: Duration = Duration::from_millis(200);

impl Step {
    /// Takes in a pull; the answer follows when there is something to answer.
    pub(crate) fn pull(
        &mut self,
        call: CallNumber,
        pull: &Pull,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        if !self.attachment.accepts(pull) {
            self.reply_superseded(call, turn);
            return;
        }
        if let Some(displaced) = self.attachment.admit(call, pull, turn.now) {
            self.reply_superseded(displaced, turn);
        }
        self.is_dormant = false;
        self.completed_at = None;
        for attempt in self.apply_held(&pull.held) {
            registry.attempts.remove(&attempt);
            turn.actions.push(Action::Cancel { attempt });
        }
        self.ready_since = (self.counts().ready > 0).then_some(turn.now);
        let cadence = &mut registry.model(&pull.trainer).cadence;
        cadence.observe(pull.step, pull.weight_version, turn.now);
    }

    /// Answers the waiting pull where it is time to.
    pub(crate) fn answer(&mut self, registry: &mut Registry, turn: &mut Turn<'_>) {
        let Some(waiting) = self.attachment.waiting else {
            return;
        };
        let is_due = turn.now >= waiting.deadline;
        if !is_due && !self.has_batch(waiting.max_samples, turn) {
            return;
        }
        let samples = self.take_ready(waiting.max_samples, registry, turn);
        if samples.is_empty() && self.counts().unfinished() > 0 && !is_due {
            return;
        }
        self.attachment.waiting = None;
        self.reply_samples(waiting.call, samples, registry, turn);
    }

    /// Answers the waiting pull before the step goes to another owner.
    pub(crate) fn answer_last(&mut self, registry: &mut Registry, turn: &mut Turn<'_>) {
        let Some(waiting) = self.attachment.waiting.take() else {
            return;
        };
        let samples = self.take_ready(waiting.max_samples, registry, turn);
        let call = waiting.call;
        if samples.is_empty() {
            let reply = Reply::Draining;
            turn.actions.push(Action::Reply { call, reply });
        } else {
            self.reply_samples(call, samples, registry, turn);
        }
    }

    /// Says whether enough samples are there for an answer.
    fn has_batch(&self, max_samples: u32, turn: &Turn<'_>) -> bool {
        let counts = self.counts();
        if counts.unfinished() == 0 {
            return true;
        }
        if counts.ready == 0 || max_samples == 0 {
            return false;
        }
        let since = self.ready_since.unwrap_or(turn.now);
        counts.ready >= max_samples || turn.now.saturating_sub(since) >= BATCH_LINGER
    }

    /// Collects whole samples that pass the gate, and opens the slots of others.
    fn take_ready(
        &mut self,
        max_samples: u32,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) -> Vec<Arc<Sample>> {
        let mut samples = Vec::new();
        for place in self.ready_places() {
            if samples.len() >= max_samples as usize {
                break;
            }
            let Phase::Ready(sample) = &self.slots()[place].phase else {
                continue;
            };
            let sample = Arc::clone(sample);
            if self.passes(&sample) {
                samples.push(sample);
            } else {
                self.refuse_stale(place, &sample, registry, turn);
            }
        }
        samples
    }

    /// Decides exactly whether the trainer may have a sample.
    pub(crate) fn passes(&self, sample: &Sample) -> bool {
        is_deliverable(
            self.stated_version(),
            sample.oldest_version(),
            self.row.staleness_bound_versions,
        )
    }

    /// Counts a sample as waste and opens its slot for another one.
    pub(crate) fn refuse_stale(
        &mut self,
        place: Place,
        sample: &Sample,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        let stated = self.stated_version();
        let age = age_versions(stated, sample.oldest_version());
        registry.counters.stale_count += 1;
        registry.counters.stale_tokens += u64::from(sample.token_count());
        turn.decisions.push(
            Decision::new(Kind::Sample, turn.now, "refused as stale")
                .about(&*sample.id)
                .figure("age_versions", age as f64)
                .figure("bound_versions", self.row.staleness_bound_versions as f64)
                .figure("sample_tokens", f64::from(sample.token_count())),
        );
        self.set_phase(place, Phase::Open(None));
    }

    fn reply_samples(
        &mut self,
        call: CallNumber,
        samples: Vec<Arc<Sample>>,
        registry: &mut Registry,
        turn: &mut Turn<'_>,
    ) {
        registry.counters.delivered_count += samples.len() as u64;
        self.record_delivery(&samples, turn);
        let carried = u32::try_from(samples.len()).unwrap_or(u32::MAX);
        let open_slots = self.slot_count() - self.counts().held - carried;
        if open_slots == 0 {
            self.completed_at = Some(turn.now);
        }
        let reply = Reply::Samples {
            samples,
            open_slots,
        };
        turn.actions.push(Action::Reply { call, reply });
    }

    /// Records one answer, so that a large one does not push everything else out
    /// of the ring.
    fn record_delivery(&self, samples: &[Arc<Sample>], turn: &mut Turn<'_>) {
        let Some(oldest) = samples.iter().map(|sample| sample.oldest_version()).min() else {
            return;
        };
        let age = age_versions(self.stated_version(), oldest);
        let mut decision = Decision::new(Kind::Sample, turn.now, "delivered")
            .figure("samples_count", samples.len() as f64)
            .figure("oldest_age_versions", age as f64)
            .figure("attach_count", self.attachment.highest as f64);
        decision.subjects = samples
            .iter()
            .map(|sample| Arc::clone(&sample.id))
            .collect();
        turn.decisions.push(decision);
    }

    fn reply_superseded(&self, call: CallNumber, turn: &mut Turn<'_>) {
        let reply = Reply::Superseded {
            highest_attach: self.attachment.highest,
        };
        turn.actions.push(Action::Reply { call, reply });
    }
}
