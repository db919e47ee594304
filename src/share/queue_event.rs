//! What the dispatcher is told, and what it tells the traffic side.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    ids::{RowId, UpstreamId},
    share::charge::{Class, Ticket},
};

/// A request for one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The name that later events use.
    pub ticket: Ticket,
    /// The engine that shall run it.
    pub engine: UpstreamId,
    /// The row that is charged.
    pub row: RowId,
    /// Whether somebody waits.
    pub class: Class,
    /// Higher goes first within the row.
    pub priority: u32,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The predicted length of the answer.
    pub predicted_tokens: u32,
    /// When the answer is worth nothing any more.
    pub deadline: Timestamp,
}

/// What happened since the last round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    Enqueue(Request),
    /// A running request has generated this much so far.
    Progress {
        /// The request.
        ticket: Ticket,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// A running request ended, whole or not.
    Finished {
        /// The request.
        ticket: Ticket,
        /// Tokens generated.
        tokens: u32,
    },
    /// The caller gave the request up.
    Cancelled {
        /// The request.
        ticket: Ticket,
        /// Tokens generated until then; 0 if it waited.
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
    /// The row has as many requests waiting for the engine as it may.
    QueueFull,
    /// The request would not be whole by its deadline.
    DeadlineUnreachable,
    /// The engine finishes what it has and gets nothing new.
    EngineLeaving,
    /// The engine is not known, ejected or gone.
    EngineGone,
    /// The table does not name the row, or the row is disabled.
    RowDisabled,
    /// This host is stopping.
    Draining,
}

/// What the traffic side shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to its engine.
    ///
    /// A process that was paused in between must not send it after `not_after`;
    /// it reports [`Event::Cancelled`] and refuses it as not run instead.
    Start {
        /// The request.
        ticket: Ticket,
        /// The last moment for sending it.
        not_after: Timestamp,
    },
    /// Answer that the request was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Refusal,
        /// When asking again makes sense.
        retry_after: Duration,
    },
    /// Stop the running request; its tokens so far stay good for resuming.
    ///
    /// The traffic side reports it as [`Event::Finished`] when it has stopped.
    Preempt {
        /// The request.
        ticket: Ticket,
    },
}
