//! Events and actions of the step controller.

use std::{sync::Arc, time::Duration};

use crate::{
    engine::evidence::ProvedTokens,
    ids::{AttemptNumber, CallNumber, RowId, Slot, StepNumber, TokenId, UpstreamId, WeightVersion},
    step::{
        attach::{Pull, Reply},
        handover::Handover,
        sample::Sample,
        spec::{SpecError, StepSpec},
    },
};

/// Why a submission was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The step is invalid.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The table has no row for the trainer.
    #[error("no row {trainer}")]
    UnknownRow {
        /// The trainer.
        trainer: RowId,
    },
    /// The row of the trainer is disabled.
    #[error("row {trainer} is not enabled")]
    Disabled {
        /// The trainer.
        trainer: RowId,
    },
    /// The step was already submitted with other content.
    #[error("step {step} of {trainer} was submitted with another content")]
    Conflict {
        /// The trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
    },
    /// This host is shutting down; another host accepts the step.
    #[error("this host is stopping")]
    Draining,
}

/// Why an attempt ended without a sample.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failure {
    /// Whether the engine certainly never started the attempt.
    pub not_run: bool,
    /// Minimum delay before the next attempt.
    pub retry_after: Duration,
    /// The tokens that remain proved, if known; replaces the progress reported
    /// earlier.
    pub proved: Option<ProvedTokens>,
}

/// An input of the step controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer submitted a step.
    Submitted {
        /// The call that [`Action::Accept`] answers.
        call: CallNumber,
        /// The content of the step.
        spec: Arc<StepSpec>,
    },
    /// A trainer pulled samples.
    Pulled {
        /// The call that [`Action::Reply`] answers.
        call: CallNumber,
        /// The content of the pull.
        pull: Pull,
    },
    /// An engine started an attempt or generated more tokens for it.
    Progressed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The engine.
        engine: UpstreamId,
        /// All tokens proved so far, including resumed ones.
        proved: ProvedTokens,
    },
    /// An engine completed an attempt.
    Finished {
        /// The attempt.
        attempt: AttemptNumber,
        /// The complete sample.
        sample: Sample,
    },
    /// An attempt ended without a sample.
    Failed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The cause, and the tokens that remain usable.
        failure: Failure,
    },
    /// Another host now owns a step.
    OwnerChanged {
        /// The trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
    },
    /// The previous owner hands a step over to this host.
    HandedOver(Box<Handover>),
}

/// An output of the step controller, which the I/O code carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a submission.
    Accept {
        /// The call.
        call: CallNumber,
        /// Whether the step was accepted; a repeated submission succeeds.
        result: Result<(), SubmitError>,
    },
    /// Choose an engine and start an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancel an attempt; output that still arrives is dropped.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Reply to a pull.
    Reply {
        /// The call.
        call: CallNumber,
        /// The reply.
        reply: Reply,
    },
    /// Send a step to the host that owns it now.
    HandOver(Box<Handover>),
}

/// A request to start one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt number, unique across owners.
    pub attempt: AttemptNumber,
    /// The slot that it fills.
    pub slot: Slot,
    /// The prompt.
    pub prompt_tokens: Arc<[TokenId]>,
    /// Maximum number of tokens in the sample, including resumed ones.
    pub max_tokens: u32,
    /// Priority within the row; higher values are served first.
    pub priority: u32,
    /// Proved tokens that the engine continues from.
    pub resume: ProvedTokens,
    /// The oldest weight version that the engine may run.
    pub min_version: WeightVersion,
    /// Whether the sample may contain tokens of several weight versions.
    pub mixed_versions: bool,
    /// The random seed of the sample, the same for all attempts at a slot.
    pub seed: u64,
    /// Number of tokens that the attempt is expected to generate.
    pub expected_tokens: u32,
    /// Engines to avoid if another one is available.
    pub avoid: Vec<UpstreamId>,
}
