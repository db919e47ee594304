//! Pulls of one step and the replies to them.

use std::{sync::Arc, time::Duration};

use crate::{
    control::decision::{Decision, Kind},
    ids::CallNumber,
    step::{
        attach::{Pull, Reply},
        message::Action,
        registry::{Registry, RoundContext},
        sample::Sample,
        slot::Phase,
        staleness::{age_versions, is_deliverable},
        state::{SlotIndex, Step},
    },
};

/// How long the first complete sample waits for others, so that one reply
/// carries several.
const BATCH_LINGER: Duration = Duration::from_millis(200);

impl Step {
    /// Records a pull; the reply is sent once samples are available or the wait
    /// is over.
    pub(crate) fn pull(
        &mut self,
        call: CallNumber,
        pull: &Pull,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        if !self.attachment.is_current(pull) {
            self.reply_superseded(call, ctx);
            return;
        }
        if let Some(displaced) = self.attachment.admit(call, pull, ctx.now) {
            self.reply_superseded(displaced, ctx);
        }
        self.is_dormant = false;
        self.completed_at = None;
        for attempt in self.apply_held(&pull.held) {
            registry.attempts.remove(&attempt);
            ctx.actions.push(Action::Cancel { attempt });
        }
        self.ready_since = (self.counts().ready > 0).then_some(ctx.now);
        let cadence = &mut registry.model(&pull.trainer).cadence;
        cadence.observe(pull.step, pull.weight_version, ctx.now);
    }

    /// Replies to the pending pull if its deadline has passed or a batch of
    /// samples is available.
    pub(crate) fn answer(&mut self, registry: &mut Registry, ctx: &mut RoundContext<'_>) {
        let Some(pending) = self.attachment.pending_pull else {
            return;
        };
        let is_due = ctx.now >= pending.deadline;
        if !is_due && !self.has_batch(pending.max_samples, ctx) {
            return;
        }
        let samples = self.collect_ready(pending.max_samples, registry, ctx);
        if samples.is_empty() && self.counts().unfinished() > 0 && !is_due {
            return;
        }
        self.attachment.pending_pull = None;
        self.reply_samples(pending.call, samples, registry, ctx);
    }

    /// Replies to the pending pull before the step moves to another owner.
    pub(crate) fn answer_before_handover(
        &mut self,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let Some(pending) = self.attachment.pending_pull.take() else {
            return;
        };
        let samples = self.collect_ready(pending.max_samples, registry, ctx);
        let call = pending.call;
        if samples.is_empty() {
            let reply = Reply::Draining;
            ctx.actions.push(Action::Reply { call, reply });
        } else {
            self.reply_samples(call, samples, registry, ctx);
        }
    }

    /// Returns whether enough samples are available to reply before the
    /// deadline.
    fn has_batch(&self, max_samples: u32, ctx: &RoundContext<'_>) -> bool {
        let counts = self.counts();
        if counts.unfinished() == 0 {
            return true;
        }
        if counts.ready == 0 || max_samples == 0 {
            return false;
        }
        let since = self.ready_since.unwrap_or(ctx.now);
        counts.ready >= max_samples || ctx.now.saturating_sub(since) >= BATCH_LINGER
    }

    /// Collects complete samples that are fresh enough, and reopens the slots
    /// of stale ones.
    fn collect_ready(
        &mut self,
        max_samples: u32,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) -> Vec<Arc<Sample>> {
        let mut samples = Vec::new();
        for slot_index in self.ready_slots() {
            if samples.len() >= max_samples as usize {
                break;
            }
            let Phase::Ready(sample) = &self.slots()[slot_index].phase else {
                continue;
            };
            let sample = Arc::clone(sample);
            if self.can_deliver(&sample) {
                samples.push(sample);
            } else {
                self.refuse_stale(slot_index, &sample, registry, ctx);
            }
        }
        samples
    }

    /// Returns whether a sample is within the row's staleness bound for the
    /// version that the trainer stated; unlike the gate at dispatch, this check
    /// is exact.
    pub(crate) fn can_deliver(&self, sample: &Sample) -> bool {
        is_deliverable(
            self.stated_version(),
            sample.oldest_version(),
            self.row.staleness_bound_versions,
        )
    }

    /// Counts a stale sample as waste and reopens its slot.
    pub(crate) fn refuse_stale(
        &mut self,
        slot_index: SlotIndex,
        sample: &Sample,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        let stated = self.stated_version();
        let age = age_versions(stated, sample.oldest_version());
        registry.counters.stale_count += 1;
        registry.counters.stale_tokens += u64::from(sample.token_count());
        ctx.decisions.push(
            Decision::new(Kind::Sample, ctx.now, "refused as stale")
                .about(&*sample.id)
                .figure("age_versions", age as f64)
                .figure("bound_versions", self.row.staleness_bound_versions as f64)
                .figure("sample_tokens", f64::from(sample.token_count())),
        );
        self.set_phase(slot_index, Phase::Open(None));
    }

    fn reply_samples(
        &mut self,
        call: CallNumber,
        samples: Vec<Arc<Sample>>,
        registry: &mut Registry,
        ctx: &mut RoundContext<'_>,
    ) {
        registry.counters.delivered_count += samples.len() as u64;
        self.record_delivery(&samples, ctx);
        let carried = u32::try_from(samples.len()).unwrap_or(u32::MAX);
        let open_slots = self.slot_count() - self.counts().held - carried;
        if open_slots == 0 {
            self.completed_at = Some(ctx.now);
        }
        let reply = Reply::Samples {
            samples,
            open_slots,
        };
        ctx.actions.push(Action::Reply { call, reply });
    }

    /// Records one decision for the whole reply, so that a large reply does not
    /// evict all other decisions from the ring buffer.
    fn record_delivery(&self, samples: &[Arc<Sample>], ctx: &mut RoundContext<'_>) {
        let Some(oldest) = samples.iter().map(|sample| sample.oldest_version()).min() else {
            return;
        };
        let age = age_versions(self.stated_version(), oldest);
        let mut decision = Decision::new(Kind::Sample, ctx.now, "delivered")
            .figure("samples_count", samples.len() as f64)
            .figure("oldest_age_versions", age as f64)
            .figure("attach_count", self.attachment.highest_attach as f64);
        decision.subjects = samples
            .iter()
            .map(|sample| Arc::clone(&sample.id))
            .collect();
        ctx.decisions.push(decision);
    }

    fn reply_superseded(&self, call: CallNumber, ctx: &mut RoundContext<'_>) {
        let reply = Reply::Superseded {
            highest_attach: self.attachment.highest_attach,
        };
        ctx.actions.push(Action::Reply { call, reply });
    }
}
