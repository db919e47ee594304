//! What one owner of a step passes to the next.
//!
//! It saves work only: a new owner without it asks the trainer for the step
//! and generates what the trainer lacks (see docs/design/steps.md).

use std::sync::Arc;

use crate::{
    evidence::Proved,
    ids::{AttachNumber, GroupNumber, SampleIndex, WeightVersion},
    sample::Sample,
    spec::StepSpec,
};

/// Tokens that an unfinished slot may resume from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partial {
    /// The group of the slot.
    pub group: GroupNumber,
    /// Its place in the group.
    pub index: SampleIndex,
    /// What is proved.
    pub proved: Proved,
}

/// A step on its way to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// What the trainer asked for.
    pub spec: Arc<StepSpec>,
    /// The highest attachment that the old owner saw.
    pub attach: AttachNumber,
    /// The version that the trainer stated with it.
    pub weight_version: WeightVersion,
    /// Whole samples that the trainer did not show to hold.
    pub samples: Vec<Arc<Sample>>,
    /// Tokens of unfinished slots.
    pub partials: Vec<Partial>,
}
