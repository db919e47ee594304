//! The states of one attempt at a call, from not sent to its outcome.
//!
//! An [`Attempt`] decides what may be said of a call after each thing that can
//! happen to it. Once a byte of the request may have left, only a whole answer
//! or an explicit refusal by the upstream leads out of [`Outcome::Unknown`]
//! (see docs/design/calls.md).

use serde::{Deserialize, Serialize};

/// Why a call did not run, or why it is not known whether it ran.
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
    /// No upstream of the pool may be given work.
    NoUpstream,
    /// The queue is full, or the deadline would pass while the call waits.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// This host is stopping.
    Draining,
    /// The request itself is not valid.
    Invalid,
    /// No connection to the upstream could be opened.
    ConnectFailed,
    /// The connection closed before the request was written to it.
    ClosedBeforeSend,
    /// The upstream refused the request explicitly.
    Refused,
    /// The claim could not be stored, so that the call must not be sent.
    ClaimStoreDown,
    /// The key was used before for another request.
    KeyReused,
    /// Another attempt with the same key holds the claim.
    Claimed,
    /// The connection was lost after the request may have left.
    ConnectionLost,
    /// The answer ended before it was whole.
    AnswerCut,
    /// The answer has no length and no end mark, so that it cannot be shown whole.
    AnswerUndelimited,
    /// The answer is longer than what may be collected.
    AnswerTooLarge,
    /// The answer names another attempt than the one it answers.
    AnswerMismatched,
    /// The connection made no progress while a fresh one did.
    ConnectionSilent,
    /// Neither the connection nor a fresh one made progress.
    UpstreamSilent,
    /// The caller went away before the answer was whole.
    CallerGone,
}

/// What may be said of a call that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's whole answer arrived.
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

    /// Returns why the call did not end in an answer.
    pub const fn reason(self) -> Option<Reason> {
        match self {
            Self::Answered => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }
}

/// Something that happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was handed to a connection, so that bytes may leave.
    Handed,
    /// The connection gave the request back without having written any of it.
    HandedBack,
    /// The request is known to be written whole.
    Written,
    /// The head of an answer arrived.
    Head,
    /// The end of the answer arrived.
    End,
    /// The upstream said that it did not and will not run the request.
    Refusal,
    /// The attempt failed or was given up, for this reason.
    Failure(Reason),
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// No byte of the request can have left.
    #[default]
    NotSent,
    /// Any number of bytes may have left.
    Sending,
    /// All bytes left.
    Sent,
    /// A part of the answer arrived.
    Answering,
    /// The attempt is over.
    Over(Outcome),
}

/// One attempt at a call.
///
/// # Examples
///
/// ```
/// use mimosavane::call::attempt::{Attempt, Event, Outcome, Reason};
///
/// let mut attempt = Attempt::default();
/// attempt.apply(Event::Handed);
/// attempt.apply(Event::Failure(Reason::ConnectionLost));
/// assert_eq!(attempt.outcome(), Some(Outcome::Unknown(Reason::ConnectionLost)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempt {
    state: State,
}

impl Attempt {
    /// Returns how far the attempt is.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the outcome once the attempt is over.
    pub const fn outcome(&self) -> Option<Outcome> {
        match self.state {
            State::Over(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Takes in `event` and returns the new state.
    ///
    /// Events after the end change nothing, because the caller may already have
    /// been told the outcome.
    pub fn apply(&mut self, event: Event) -> State {
        self.state = self.next(event);
        self.state
    }

    fn next(self, event: Event) -> State {
        use State::{Answering, NotSent, Over, Sending, Sent};

        match (self.state, event) {
            (Over(outcome), _) => Over(outcome),
            (NotSent, Event::Handed) => Sending,
            (NotSent, Event::Failure(reason)) => Over(Outcome::NotRun(reason)),
            (Sending, Event::HandedBack) => NotSent,
            (Sending, Event::Written) => Sent,
            // An answer may come before the request is written whole.
            (Sending | Sent, Event::Head) => Answering,
            (Sending | Sent | Answering, Event::Refusal) => Over(Outcome::NotRun(Reason::Refused)),
            (Answering, Event::End) => Over(Outcome::Answered),
            (Sending | Sent | Answering, Event::Failure(reason)) => Over(Outcome::Unknown(reason)),
            (state, _) => state,
        }
    }
}
