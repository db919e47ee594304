//! Claims that let a keyed call run at most once over all hosts.
//!
//! A [`Machine`] decides from the store's answers whether this host may send the
//! call. It may only after the store said that the claim with its own attempt
//! id is in force (see docs/design/calls.md).

use std::{future::Future, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    call::attempt::Reason,
    ids::{AttemptId, HostId, RowId},
};

/// The largest answer that is kept whole for a repeated request.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// How long a claim is kept, which bounds how late a caller may repeat a request.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// How many expired claims one write removes.
pub const CLEANUP_BATCH_COUNT: usize = 500;

/// How often the store is asked about one claim before the call is refused.
const MAX_STORE_ATTEMPTS: u32 = 4;

/// Names the call that a claim is for; each row has keys of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The row of the caller.
    pub row: RowId,
    /// The pool that the call is for.
    pub pool: String,
    /// The caller's own key.
    pub key: String,
}

/// What is kept of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty where there was none.
    pub content_type: String,
    /// The length of the answer.
    pub body_bytes: u64,
    /// The whole body, or none where it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What became of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// It is being sent, or its claimer died.
    Open,
    /// It was answered.
    Answered(Answer),
    /// It certainly did not run, so that another attempt may claim it.
    NotRun,
    /// It may have run; nobody sends it again.
    Unknown,
}

/// One claim as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call that it is for.
    pub key: Key,
    /// The attempt that holds it.
    #[serde(with = "crate::ids::attempt_text")]
    pub attempt: AttemptId,
    /// The host of that attempt.
    pub host: HostId,
    /// The digest of the request, so that a key cannot be used for another one.
    pub request_digest: String,
    /// When it was made, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// What became of the call.
    pub record: Record,
}

/// What must be in the store for a claim to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No claim with the key.
    Absent,
    /// The claim of this attempt, with [`Record::NotRun`], or none any more.
    NotRun(AttemptId),
}

/// What the store answered to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The claim is in force.
    Done,
    /// Another one is in the way.
    Present(Claim),
}

/// Why the store gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The write may or may not have taken effect.
    #[error("the answer of the claim store was lost")]
    AnswerLost,
    /// The store refused or could not be reached; nothing took effect.
    #[error("the claim store is not available")]
    Unavailable,
}

/// Keeps claims; the table service in production, a fake in tests.
///
/// Each method is one request to the store, with its own timeout.
pub trait ClaimStore: Send + Sync {
    /// Writes `claim` in one transaction if the store holds what is `expected`.
    fn put(
        &self,
        claim: &Claim,
        expected: Expected,
    ) -> impl Future<Output = Result<Written, StoreError>> + Send;

    /// Reads the claim with `key`, never from an old copy.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Claim>, StoreError>> + Send;

    /// Sets the record of the claim that `attempt` holds; does nothing if
    /// another attempt holds it.
    fn complete(
        &self,
        key: &Key,
        attempt: AttemptId,
        record: &Record,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Removes at most `max_count` claims made before `created_before_ms`, and
    /// returns how many there were.
    fn remove_expired(
        &self,
        created_before_ms: u64,
        max_count: usize,
    ) -> impl Future<Output = Result<usize, StoreError>> + Send;
}

/// What to ask of the store next, or what was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the claim under this condition.
    Put(Expected),
    /// Read the claim back.
    Read,
    /// The claim is held: send the call, once.
    Send,
    /// The call was answered before: give that answer again.
    Replay(Answer),
    /// It is certain that this request sent nothing and the call did not run.
    NotRun(Reason),
    /// Another attempt may have run the call.
    Unknown(Reason),
}

/// What came back from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The end of a write.
    Put(Result<Written, StoreError>),
    /// The end of a read.
    Read(Result<Option<Claim>, StoreError>),
}

/// Decides whether one attempt may send its call.
///
/// # Examples
///
/// ```
/// use mimosavane::call::claim::{Event, Expected, Machine, Step, Written};
///
/// let mut machine = Machine::new(7, "digest");
/// assert_eq!(machine.step(), Step::Put(Expected::Absent));
/// machine.apply(Event::Put(Ok(Written::Done)));
/// assert_eq!(machine.step(), Step::Send);
/// ```
#[derive(Clone, Debug)]
pub struct Machine {
    attempt: AttemptId,
    request_digest: String,
    store_attempts: u32,
    may_be_written: bool,
    step: Step,
}

impl Machine {
    /// Starts the claim of `attempt` for the request with this digest.
    pub fn new(attempt: AttemptId, request_digest: impl Into<String>) -> Self {
        Self {
            attempt,
            request_digest: request_digest.into(),
            store_attempts: 0,
            may_be_written: false,
            step: Step::Put(Expected::Absent),
        }
    }

    /// Returns what to do now.
    pub fn step(&self) -> Step {
        self.step.clone()
    }

    /// Says whether a write of this attempt may be in force without being known.
    pub const fn may_be_written(&self) -> bool {
        self.may_be_written
    }

    /// Takes in an answer of the store, or its lack.
    pub fn apply(&mut self, event: Event) {
        self.store_attempts += 1;
        self.step = match (event, &self.step) {
            (Event::Put(Ok(Written::Done)), Step::Put(_)) => Step::Send,
            (Event::Put(Ok(Written::Present(claim))), Step::Put(_)) => self.judge(claim),
            (Event::Put(Err(StoreError::AnswerLost)), Step::Put(_)) => {
                self.may_be_written = true;
                self.unless_exhausted(Step::Read)
            }
            (Event::Put(Err(StoreError::Unavailable)), Step::Put(expected)) => {
                self.unless_exhausted(Step::Put(*expected))
            }
            (Event::Read(Ok(Some(claim))), Step::Read) => self.judge(claim),
            // The lost write may still take effect, but a second one with the
            // same attempt id finds it.
            (Event::Read(Ok(None)), Step::Read) => {
                self.unless_exhausted(Step::Put(Expected::Absent))
            }
            (Event::Read(Err(_)), Step::Read) => self.unless_exhausted(Step::Read),
            (_, step) => step.clone(),
        };
    }

    /// Decides on a claim that is in the store.
    fn judge(&self, claim: Claim) -> Step {
        if claim.request_digest != self.request_digest {
            return Step::NotRun(Reason::KeyReused);
        }
        match claim.record {
            Record::Open if claim.attempt == self.attempt => Step::Send,
            Record::Open => Step::Unknown(Reason::Claimed),
            Record::Answered(answer) => Step::Replay(answer),
            Record::Unknown => Step::Unknown(Reason::ConnectionLost),
            Record::NotRun => self.unless_exhausted(Step::Put(Expected::NotRun(claim.attempt))),
        }
    }

    fn unless_exhausted(&self, step: Step) -> Step {
        if self.store_attempts < MAX_STORE_ATTEMPTS {
            step
        } else {
            Step::NotRun(Reason::ClaimStoreDown)
        }
    }
}

/// Drives a [`Machine`] against `store` until it has decided.
///
/// The result is one of [`Step::Send`], [`Step::Replay`], [`Step::NotRun`] and
/// [`Step::Unknown`].
pub async fn acquire(store: &impl ClaimStore, claim: &Claim) -> Step {
    let mut machine = Machine::new(claim.attempt, claim.request_digest.as_str());
    loop {
        let event = match machine.step() {
            Step::Put(expected) => Event::Put(store.put(claim, expected).await),
            Step::Read => Event::Read(store.read(&claim.key).await),
            decided => return decided,
        };
        machine.apply(event);
    }
}
