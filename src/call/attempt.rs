//! The states of one attempt at a call, from not sent to its outcome.
//!
//! An [`Attempt`] tracks which outcome may be reported to the caller after each
//! event. Once a byte of the request may have been sent, only a complete
//! response or an explicit refusal by the upstream prevents
//! [`Outcome::Unknown`] (see docs/design/calls.md).

use serde::{Deserialize, Serialize};

/// The reason why a call did not run, or why it is unknown whether it ran.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No upstream of the pool can accept calls.
    NoUpstream,
    /// The queue is full, or the call is not expected to finish before its
    /// deadline.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// This host is draining.
    Draining,
    /// The request is invalid.
    Invalid,
    /// No connection to the upstream could be opened.
    ConnectFailed,
    /// The connection closed before the request was written to it.
    ClosedBeforeSend,
    /// The upstream refused the request explicitly.
    Refused,
    /// The claim could not be stored, so the call must not be sent.
    ClaimStoreDown,
    /// The key was already used for a different request.
    KeyReused,
    /// Another attempt with the same key holds the claim.
    Claimed,
    /// The connection was lost after some of the request may have been sent.
    ConnectionLost,
    /// The response ended before it was complete.
    AnswerCut,
    /// The response has neither a length nor an end marker, so a truncated one
    /// cannot be detected.
    AnswerUndelimited,
    /// The response exceeds the size that may be buffered.
    AnswerTooLarge,
    /// The response names a different attempt.
    AnswerMismatched,
    /// The connection made no progress, but a new one could be opened.
    ConnectionSilent,
    /// The connection made no progress, and a new one could not be opened.
    UpstreamSilent,
    /// The caller disconnected before the response was complete.
    CallerGone,
}

/// The outcome of a finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The complete response of the upstream arrived.
    Answered,
    /// It is certain that the upstream did not run the call.
    NotRun(Reason),
    /// The upstream may have run the call.
    Unknown(Reason),
}

impl Outcome {
    /// Returns the value of the outcome header: `answered`, `not-run` or
    /// `unknown`.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns why the call ended without a response, if it did.
    pub const fn reason(self) -> Option<Reason> {
        match self {
            Self::Answered => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }
}

/// An event that affects the state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was passed to a connection, which may start to send it.
    SendStarted,
    /// The connection returned the request without having written any of it.
    HandedBack,
    /// The request is known to be completely written.
    RequestWritten,
    /// The head of the response arrived.
    ResponseHead,
    /// The end of the response arrived.
    ResponseEnd,
    /// The upstream reported that it did not and will not run the request.
    Refusal,
    /// The attempt failed or was abandoned for this reason.
    Failure(Reason),
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// No byte of the request can have been sent.
    #[default]
    NotSent,
    /// Some or all bytes of the request may have been sent.
    Sending,
    /// The request was sent completely.
    Sent,
    /// Part of the response arrived.
    Answering,
    /// The attempt has ended.
    Ended(Outcome),
}

/// One attempt at a call.
///
/// # Examples
///
/// ```
/// use mimosavane::call::attempt::{Attempt, Event, Outcome, Reason};
///
/// let mut attempt = Attempt::default();
/// attempt.apply(Event::SendStarted);
/// attempt.apply(Event::Failure(Reason::ConnectionLost));
/// assert_eq!(attempt.outcome(), Some(Outcome::Unknown(Reason::ConnectionLost)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempt {
    state: State,
}

impl Attempt {
    /// Returns the current state.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the outcome once the attempt has ended.
    pub const fn outcome(&self) -> Option<Outcome> {
        match self.state {
            State::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Applies `event` and returns the new state.
    ///
    /// Events after the end are ignored, because the outcome may already have
    /// been reported to the caller.
    pub fn apply(&mut self, event: Event) -> State {
        self.state = self.next_state(event);
        self.state
    }

    fn next_state(self, event: Event) -> State {
        use State::{Answering, Ended, NotSent, Sending, Sent};

        match (self.state, event) {
            (Ended(outcome), _) => Ended(outcome),
            (NotSent, Event::SendStarted) => Sending,
            (NotSent, Event::Failure(reason)) => Ended(Outcome::NotRun(reason)),
            (Sending, Event::HandedBack) => NotSent,
            (Sending, Event::RequestWritten) => Sent,
            // A response may start before the request is completely written.
            (Sending | Sent, Event::ResponseHead) => Answering,
            (Sending | Sent | Answering, Event::Refusal) => Ended(Outcome::NotRun(Reason::Refused)),
            (Answering, Event::ResponseEnd) => Ended(Outcome::Answered),
            (Sending | Sent | Answering, Event::Failure(reason)) => Ended(Outcome::Unknown(reason)),
            (state, _) => state,
        }
    }
}
