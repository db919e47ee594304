//! State shared by all steps of one host.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng as _, RngCore as _};

use crate::{
    clock::Timestamp,
    control::{blackboard::Blackboard, controller::Rng, decision::Decision},
    ids::{AttemptNumber, RowId, UpstreamId, WeightVersion},
    step::{
        key::StepKey,
        length::{Estimator, MovingAverage},
        message::Action,
        staleness::{Cadence, Gate},
        state::SlotIndex,
        straggler::EngineSpeeds,
    },
};

/// The backoff after the first failure of a slot.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Counters of work done and wasted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Attempts started.
    pub dispatched_count: u64,
    /// Samples put into replies; a sample that is pulled again counts again.
    pub delivered_count: u64,
    /// Complete samples rejected as stale at delivery.
    pub stale_count: u64,
    /// Tokens of those samples.
    pub stale_tokens: u64,
    /// Times the dispatch gate began to hold a step back or changed its reason.
    pub deferred_count: u64,
    /// Slots rejected by the dispatch gate, counted once per slot and round.
    pub refused_count: u64,
    /// Second (hedge) attempts started.
    pub hedged_count: u64,
    /// Attempts cancelled in order to resume them on another engine.
    pub moved_count: u64,
    /// Tokens of attempts that lost to another attempt or arrived after the
    /// trainer held the slot.
    pub lost_tokens: u64,
    /// Samples that arrived twice or for a cancelled attempt.
    pub unexpected_count: u64,
    /// Samples that did not match the request.
    pub invalid_count: u64,
    /// Tokens that attempts resumed from instead of generating them again.
    pub resumed_tokens: u64,
}

/// Policy of a controller. Production uses the defaults; the other values are
/// baselines for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The gate that is applied before dispatch.
    pub gate: Gate,
    /// Whether slow attempts are moved to other engines, and hedged in the tail
    /// of a step.
    pub mitigates_slow_attempts: bool,
    /// Whether the last slots of a group or a step get a higher priority.
    pub raises_last_slots: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            gate: Gate::Predicted,
            mitigates_slow_attempts: true,
            raises_last_slots: true,
        }
    }
}

/// Statistics of a row's samples and its trainer.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The distribution of its sample lengths.
    pub lengths: Estimator,
    /// When its trainer changes the weight version.
    pub cadence: Cadence,
    /// The time per token of complete samples. Attempts in progress are left
    /// out: in the tail of a step only stragglers make progress, and their
    /// speed must not count as typical.
    pub token_time: MovingAverage,
    /// The time per token from progress reports, used before the first sample
    /// is complete.
    pub progress_token_time: MovingAverage,
    /// The time from dispatch to start on the engine.
    pub startup: MovingAverage,
}

/// The slot that an attempt belongs to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: StepKey,
    pub(crate) slot_index: SlotIndex,
}

/// State shared by all steps of the host.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) models: BTreeMap<RowId, Model>,
    pub(crate) attempts: BTreeMap<AttemptNumber, Target>,
    pub(crate) counters: Counters,
    pub(crate) policy: Policy,
    pub(crate) engine_speeds: EngineSpeeds,
    salt: Option<u32>,
    last_attempt: u32,
}

/// The state of one controller round, shared by the parts of the controller.
pub(crate) struct RoundContext<'a> {
    pub(crate) board: &'a Blackboard,
    pub(crate) now: Timestamp,
    pub(crate) newest_version: Option<WeightVersion>,
    /// Engines that are currently slow.
    pub(crate) slow_engines: Vec<UpstreamId>,
    /// Attempts that this round may still start.
    pub(crate) dispatches_left: usize,
    /// Steps that this round may still check for stragglers.
    pub(crate) straggler_checks_left: usize,
    pub(crate) rng: &'a mut Rng,
    pub(crate) decisions: &'a mut Vec<Decision>,
    pub(crate) actions: Vec<Action>,
}

impl Registry {
    pub(crate) fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Draws the random upper half of attempt numbers, which distinguishes the
    /// attempts of different owners.
    pub(crate) fn draw_salt(&mut self, rng: &mut Rng) {
        self.salt.get_or_insert_with(|| rng.next_u32());
    }

    /// Returns the engines that new attempts should avoid.
    pub(crate) fn slow_engines(&mut self, now: Timestamp) -> Vec<UpstreamId> {
        match self.policy.mitigates_slow_attempts {
            true => self.engine_speeds.slow_engines(now),
            false => Vec::new(),
        }
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptNumber {
        self.last_attempt = self.last_attempt.wrapping_add(1);
        let salt = u64::from(self.salt.unwrap_or_default());
        (salt << 32) | u64::from(self.last_attempt)
    }

    pub(crate) fn model(&mut self, row: &RowId) -> &mut Model {
        self.models.entry(Arc::clone(row)).or_default()
    }
}

/// Returns the delay before a slot is retried, with jitter so that slots that
/// failed together are not retried together.
pub(crate) fn backoff(failure_count: u8, retry_after: Duration, rng: &mut Rng) -> Duration {
    let exponent = u32::from(failure_count.min(10));
    let ceiling = MIN_BACKOFF.saturating_mul(1 << exponent).min(MAX_BACKOFF);
    retry_after + ceiling.mul_f64(rng.random_range(0.5..1.0))
}
