//! Identity of a step.

use std::sync::Arc;

use crate::{
    ids::{RowId, StepNumber},
    step::spec::StepSpec,
};

/// Identifies a step by its trainer and number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The trainer.
    pub trainer: RowId,
    /// The number of the step.
    pub step: StepNumber,
}

impl StepKey {
    /// Returns the key of the step that `spec` describes.
    pub fn of(spec: &StepSpec) -> Self {
        Self {
            trainer: Arc::clone(&spec.trainer),
            step: spec.step,
        }
    }
}

impl std::fmt::Display for StepKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.trainer, self.step)
    }
}
