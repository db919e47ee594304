//! Pulls of a trainer; only the pull with the highest attach number is
//! answered.
//!
//! docs/design/steps.md explains why the trainer's list of held slots is
//! authoritative.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    ids::{AttachNumber, CallNumber, GroupNumber, RowId, SampleIndex, StepNumber, WeightVersion},
    step::sample::Sample,
};

/// The slots of one group that the trainer holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldGroup {
    /// The group.
    pub group: GroupNumber,
    /// The indexes of the samples that the trainer holds.
    pub indexes: Vec<SampleIndex>,
}

/// A trainer's request for samples of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// The row of the trainer.
    pub trainer: RowId,
    /// The step.
    pub step: StepNumber,
    /// The attach number, which the trainer raises with each pull that may
    /// overtake an earlier one.
    pub attach: AttachNumber,
    /// The weight version that the trainer has now.
    pub weight_version: WeightVersion,
    /// The slots whose samples the trainer already holds.
    pub held: Vec<HeldGroup>,
    /// Maximum number of samples in the reply; 0 requests none.
    pub max_samples: u32,
    /// How long the trainer waits for the reply.
    pub wait: Duration,
}

/// The reply to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The available samples.
    Samples {
        /// At most one sample per slot, and none for a slot that the trainer
        /// holds.
        samples: Vec<Arc<Sample>>,
        /// Number of slots that are neither held by the trainer nor in this
        /// reply.
        open_slots: u32,
    },
    /// This host does not have the step; the trainer has to submit it again.
    StepUnknown,
    /// A pull with a higher attach number replaced this one.
    Superseded {
        /// The highest attach number, whose pull is answered.
        highest_attach: AttachNumber,
    },
    /// This host is shutting down; another host answers the next pull.
    Draining,
}

/// A pull that is waiting for its reply.
#[derive(Clone, Copy, Debug)]
pub struct PendingPull {
    /// The call to reply to.
    pub call: CallNumber,
    /// Maximum number of samples in the reply.
    pub max_samples: u32,
    /// When the reply is sent even if no sample is available.
    pub deadline: Timestamp,
}

/// The state of a trainer's pulls of one step.
#[derive(Debug, Default)]
pub struct Attachment {
    /// The highest attach number so far.
    pub highest_attach: AttachNumber,
    /// The last weight version that the trainer stated.
    pub weight_version: WeightVersion,
    /// When the trainer last pulled; `None` before its first pull.
    pub pulled_at: Option<Timestamp>,
    /// The pull that is waiting for its reply.
    pub pending_pull: Option<PendingPull>,
}

impl Attachment {
    /// Returns whether `pull` has the highest attach number so far.
    pub fn is_current(&self, pull: &Pull) -> bool {
        pull.attach >= self.highest_attach
    }

    /// Raises the weight version to one that the trainer stated outside a pull.
    pub fn raise_weight_version(&mut self, version: WeightVersion) {
        self.weight_version = self.weight_version.max(version);
    }

    /// Makes `pull` the pending pull and returns the call of the pull that it
    /// replaced.
    pub fn admit(&mut self, call: CallNumber, pull: &Pull, now: Timestamp) -> Option<CallNumber> {
        self.highest_attach = pull.attach;
        self.weight_version = pull.weight_version;
        self.pulled_at = Some(now);
        let pending_pull = PendingPull {
            call,
            max_samples: pull.max_samples,
            deadline: now.saturating_add(pull.wait),
        };
        self.pending_pull
            .replace(pending_pull)
            .map(|displaced| displaced.call)
    }
}
