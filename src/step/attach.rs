//! Pulls of a trainer, of which only the highest attachment is answered.
//!
//! See docs/design/steps.md for why the trainer's list of held slots decides.

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
    /// The samples that the trainer has.
    pub indexes: Vec<SampleIndex>,
}

/// A trainer's question for samples of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// The row of the trainer.
    pub trainer: RowId,
    /// The step.
    pub step: StepNumber,
    /// Rises with each pull that may overtake an earlier one.
    pub attach: AttachNumber,
    /// The version that the trainer has now.
    pub weight_version: WeightVersion,
    /// What the trainer has.
    pub held: Vec<HeldGroup>,
    /// The most samples that the answer may carry; 0 asks for none.
    pub max_samples: u32,
    /// How long the trainer waits for an answer.
    pub wait: Duration,
}

/// The answer to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// What is there.
    Samples {
        /// Samples, at most one a slot and none of a held slot.
        samples: Vec<Arc<Sample>>,
        /// Slots that neither the trainer nor this reply holds.
        open_slots: u32,
    },
    /// This host does not have the step; the trainer submits it again.
    StepUnknown,
    /// A later attachment took the place of this one.
    Superseded {
        /// The attachment that is answered.
        highest_attach: AttachNumber,
    },
    /// This host is stopping; another one answers the next pull.
    Draining,
}

/// A pull that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// The call that the answer goes to.
    pub call: CallNumber,
    /// The most samples that the answer may carry.
    pub max_samples: u32,
    /// When the answer is due with whatever is there.
    pub deadline: Timestamp,
}

/// What is known of a trainer's attachment to one step.
#[derive(Debug, Default)]
pub struct Attachment {
    /// The highest attachment so far.
    pub highest: AttachNumber,
    /// The version that the trainer stated with it.
    pub weight_version: WeightVersion,
    /// When the trainer last pulled; `None` before the first pull.
    pub pulled_at: Option<Timestamp>,
    /// The pull that waits.
    pub waiting: Option<Waiting>,
}

impl Attachment {
    /// Says whether `pull` may be answered.
    pub fn accepts(&self, pull: &Pull) -> bool {
        pull.attach >= self.highest
    }

    /// Takes note of the version that the trainer states outside of a pull.
    pub fn state_version(&mut self, version: WeightVersion) {
        self.weight_version = self.weight_version.max(version);
    }

    /// Takes `pull` as the one to answer, and returns the call that it displaced.
    pub fn admit(&mut self, call: CallNumber, pull: &Pull, now: Timestamp) -> Option<CallNumber> {
        self.highest = pull.attach;
        self.weight_version = pull.weight_version;
        self.pulled_at = Some(now);
        let waiting = Waiting {
            call,
            max_samples: pull.max_samples,
            deadline: now.saturating_add(pull.wait),
        };
        self.waiting
            .replace(waiting)
            .map(|displaced| displaced.call)
    }
}
