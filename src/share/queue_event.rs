//! The events that the dispatcher receives and the actions that it returns.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    ids::{RowId, UpstreamId},
    share::charge::{Class, Ticket},
};

/// A request for one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request in later events.
    pub ticket: Ticket,
    /// The engine to run it on.
    pub engine: UpstreamId,
    /// The row that is charged.
    pub row: RowId,
    /// Whether a person waits for the answer.
    pub class: Class,
    /// The priority within the row; higher goes first.
    pub priority: u32,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The predicted length of the answer.
    pub predicted_tokens: u32,
    /// When the answer is no longer of use.
    pub deadline: Timestamp,
}

/// An event since the last round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    Enqueue(Request),
    /// A running request has generated more tokens.
    Progress {
        /// The request.
        ticket: Ticket,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// A running request ended, completely or not.
    Finished {
        /// The request.
        ticket: Ticket,
        /// Tokens generated.
        tokens: u32,
    },
    /// The caller abandoned the request.
    Cancelled {
        /// The request.
        ticket: Ticket,
        /// Tokens generated until then; 0 if it was still waiting.
        tokens: u32,
    },
}

/// Why a request was not started.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    thiserror::Error,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The row has the maximum number of requests waiting for the engine.
    QueueFull,
    /// The request would not be complete by its deadline.
    DeadlineUnreachable,
    /// The engine finishes its running requests and gets no new ones.
    EngineLeaving,
    /// The engine is unknown, ejected or gone.
    EngineGone,
    /// The table does not list the row, or the row is disabled.
    RowDisabled,
    /// This host is stopping.
    Draining,
}

/// An action for the traffic side.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to its engine.
    ///
    /// A process that was paused in between must not send the request after
    /// `not_after`; it reports [`Event::Cancelled`] and answers that the request
    /// was not run.
    Start {
        /// The request.
        ticket: Ticket,
        /// The latest time to send it.
        not_after: Timestamp,
    },
    /// Answer that the request was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: Refusal,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
    /// Stop the running request; its tokens so far can be used to resume it.
    ///
    /// The traffic side reports [`Event::Finished`] when the request has stopped.
    Preempt {
        /// The request.
        ticket: Ticket,
    },
}
