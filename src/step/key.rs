//! The name of a step.

use std::sync::Arc;

use crate::{
    ids::{RowId, StepNumber},
    step::spec::StepSpec,
};

/// Names a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The trainer.
    pub trainer: RowId,
    /// Its step.
    pub step: StepNumber,
}

impl StepKey {
    /// Returns the name of the step that `spec` asks for.
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
