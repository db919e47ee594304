//! What the step controller is told, and what it asks for.

use std::{sync::Arc, time::Duration};

use crate::{
    engine::evidence::Proved,
    ids::{AttemptNumber, CallNumber, RowId, Slot, StepNumber, TokenId, UpstreamId, WeightVersion},
    step::{
        attach::{Pull, Reply},
        handover::Handover,
        sample::Sample,
        spec::{SpecError, StepSpec},
    },
};

/// Why a step was not taken on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The step itself is at fault.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The table has no row for the trainer.
    #[error("no row {trainer}")]
    UnknownRow {
        /// The trainer.
        trainer: RowId,
    },
    /// The row of the trainer is switched off.
    #[error("row {trainer} is not enabled")]
    Disabled {
        /// The trainer.
        trainer: RowId,
    },
    /// The step is known with another content.
    #[error("step {step} of {trainer} was submitted with another content")]
    Conflict {
        /// The trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
    },
    /// This host is stopping; another one takes the step.
    #[error("this host is stopping")]
    Draining,
}

/// Why an attempt ended without a sample.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failure {
    /// Whether the engine never took it up.
    pub not_run: bool,
    /// How long to wait before the next attempt.
    pub retry_after: Duration,
    /// What stays proved, where that is known; it replaces earlier progress.
    pub proved: Option<Proved>,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer submitted a step.
    Submitted {
        /// The call that [`Action::Accept`] answers.
        call: CallNumber,
        /// The step.
        spec: Arc<StepSpec>,
    },
    /// A trainer pulled samples.
    Pulled {
        /// The call that [`Action::Reply`] answers.
        call: CallNumber,
        /// What it asked.
        pull: Pull,
    },
    /// An engine took an attempt up, or went on with it.
    Progressed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: UpstreamId,
        /// All that is proved so far, resumed tokens included.
        proved: Proved,
    },
    /// An engine ended an attempt.
    Finished {
        /// The attempt.
        attempt: AttemptNumber,
        /// Its sample.
        sample: Sample,
    },
    /// An attempt ended without a sample.
    Failed {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why and with what left.
        failure: Failure,
    },
    /// Another host owns a step from now on.
    OwnerChanged {
        /// The trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
    },
    /// An earlier owner hands a step over.
    HandedOver(Box<Handover>),
}

/// What the code that does I/O shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a submission.
    Accept {
        /// The call.
        call: CallNumber,
        /// Whether the step was taken on, or was known already.
        result: Result<(), SubmitError>,
    },
    /// Choose an engine and start an attempt.
    Dispatch(Box<Dispatch>),
    /// Stop an attempt; what still comes of it is dropped.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Answer a pull.
    Reply {
        /// The call.
        call: CallNumber,
        /// The answer.
        reply: Reply,
    },
    /// Give a step to the host that owns it now.
    HandOver(Box<Handover>),
}

/// One attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Its number, unique over owners.
    pub attempt: AttemptNumber,
    /// The slot that it fills.
    pub slot: Slot,
    /// The prompt.
    pub prompt_tokens: Arc<[TokenId]>,
    /// The most tokens of the sample, resumed ones included.
    pub max_tokens: u32,
    /// How urgent it is within its row; higher goes first.
    pub priority: u32,
    /// Proved tokens to resume from.
    pub resume: Proved,
    /// The oldest weights that the engine may run.
    pub min_version: WeightVersion,
    /// Whether the sample may hold several versions.
    pub mixed_versions: bool,
    /// The seed of the sample, equal for all attempts at a slot.
    pub seed: u64,
    /// Tokens that it is expected to make.
    pub expected_tokens: u32,
    /// Engines to keep away from where another one will do.
    pub avoid: Vec<UpstreamId>,
}
