//! What all steps of one host share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng as _, RngCore as _};

use crate::{
    clock::Timestamp,
    control::{blackboard::Blackboard, controller::Rng, decision::Decision},
    ids::{AttemptNumber, RowId, UpstreamId, WeightVersion},
    step::{
        key::StepKey,
        length::{Average, Estimator},
        message::Action,
        staleness::{Cadence, Gate},
        state::Place,
        straggler::Paces,
    },
};

/// The first delay before a failed slot is dispatched again.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest such delay.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Work done and work lost, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Attempts that were started.
    pub dispatched_count: u64,
    /// Samples put into answers; one that is pulled again counts again.
    pub delivered_count: u64,
    /// Whole samples that the gate at delivery refused.
    pub stale_count: u64,
    /// Their tokens.
    pub stale_tokens: u64,
    /// Times that the gate at dispatch held a step back.
    pub deferred_count: u64,
    /// Times that the gate at dispatch refused a slot, once a slot and round.
    pub refused_count: u64,
    /// Second attempts that were started.
    pub hedged_count: u64,
    /// Attempts that were cancelled to be resumed elsewhere.
    pub moved_count: u64,
    /// Tokens of attempts that lost or came after the trainer held the slot.
    pub lost_tokens: u64,
    /// Samples that came twice or for an attempt that was given up.
    pub unexpected_count: u64,
    /// Samples that were at odds with what was asked for.
    pub invalid_count: u64,
    /// Tokens that attempts resumed from in place of making them again.
    pub resumed_tokens: u64,
}

/// Which decisions a controller takes; the defaults are in service, the others
/// are baselines to measure them against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The gate before dispatch.
    pub gate: Gate,
    /// Whether slow attempts are moved, and hedged in the tail of a step.
    pub mitigates_slow_attempts: bool,
    /// Whether the last slots of a group and a step go first.
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

/// What was learned of a row's samples and its trainer.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// How long its samples get.
    pub lengths: Estimator,
    /// When its trainer changes the version.
    pub cadence: Cadence,
    /// The time that one token of a whole sample took. In the tail of a step only
    /// stragglers make progress, so that their pace must not count as usual.
    pub token_time: Average,
    /// The time that one token took before any sample was whole.
    pub first_token_time: Average,
    /// The time from dispatch to the first token.
    pub startup: Average,
}

/// Which slot an attempt is for.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: StepKey,
    pub(crate) place: Place,
}

/// What all steps of the host share.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) models: BTreeMap<RowId, Model>,
    pub(crate) attempts: BTreeMap<AttemptNumber, Target>,
    pub(crate) counters: Counters,
    pub(crate) policy: Policy,
    pub(crate) paces: Paces,
    salt: Option<u32>,
    last_attempt: u32,
}

/// One round, as the parts of the controller see it.
pub(crate) struct Turn<'a> {
    pub(crate) board: &'a Blackboard,
    pub(crate) now: Timestamp,
    pub(crate) newest: Option<WeightVersion>,
    /// Engines that are slow at the moment.
    pub(crate) slow_engines: Vec<UpstreamId>,
    /// Attempts that this round may start still.
    pub(crate) dispatches_left: usize,
    /// Steps that this round may search for stragglers still.
    pub(crate) watches_left: usize,
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

    /// Draws the part of attempt numbers that tells owners apart.
    pub(crate) fn seed(&mut self, rng: &mut Rng) {
        self.salt.get_or_insert_with(|| rng.next_u32());
    }

    /// Returns the engines that attempts keep away from.
    pub(crate) fn slow_engines(&mut self, now: Timestamp) -> Vec<UpstreamId> {
        match self.policy.mitigates_slow_attempts {
            true => self.paces.slow(now),
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

/// Returns the delay before a slot is tried again, spread at random so that
/// slots which failed together do not return together.
pub(crate) fn backoff(failure_count: u8, retry_after: Duration, rng: &mut Rng) -> Duration {
    let exponent = u32::from(failure_count.min(10));
    let ceiling = MIN_BACKOFF.saturating_mul(1 << exponent).min(MAX_BACKOFF);
    retry_after + ceiling.mul_f64(rng.random_range(0.5..1.0))
}
