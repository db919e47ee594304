//! Claims that make a keyed call run at most once across all hosts.
//!
//! An [`Acquisition`] decides from the store's responses whether this host may
//! send the call. It may do so only after the store confirmed the claim with
//! its own attempt id (see docs/design/calls.md).

use std::{future::Future, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    call::attempt::Reason,
    ids::{AttemptId, HostId, RowId},
};

/// The largest response body that is stored for replay to a repeated request.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// How long a claim is kept, and thus how long a caller may repeat a request.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The maximum number of expired claims that one write removes.
pub const CLEANUP_BATCH_COUNT: usize = 500;

/// The number of store requests for one claim after which the call is refused.
const MAX_STORE_ATTEMPTS: u32 = 4;

/// Identifies the call that a claim is for; each row has its own key space.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The row of the caller.
    pub row: RowId,
    /// The pool that the call is for.
    pub pool: String,
    /// The idempotency key from the caller.
    pub key: String,
}

/// The stored part of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type, or an empty string if there was none.
    pub content_type: String,
    /// The length of the response body.
    pub body_bytes: u64,
    /// The body, or `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// The recorded result of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// The call is in flight, or its claimer died.
    Open,
    /// The call was answered.
    Answered(RecordedResponse),
    /// The call certainly did not run, so another attempt may claim it.
    NotRun,
    /// The call may have run, so it is never sent again.
    Unknown,
}

/// A claim as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call that the claim is for.
    pub key: Key,
    /// The attempt that holds the claim.
    #[serde(with = "crate::ids::attempt_text")]
    pub attempt: AttemptId,
    /// The host of that attempt.
    pub host: HostId,
    /// The digest of the request, which detects a key reused for another request.
    pub request_digest: String,
    /// The creation time in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// The result of the call.
    pub record: Record,
}

/// The precondition on the stored claim for a write to succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// There is no claim with the key.
    Absent,
    /// The claim is held by this attempt and has [`Record::NotRun`], or it no
    /// longer exists.
    NotRun(AttemptId),
}

/// The result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The claim was stored.
    Stored,
    /// This stored claim does not meet the precondition.
    Conflict(Claim),
}

/// The reason why a store request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The write may or may not have taken effect.
    #[error("the claim store's response was lost")]
    AnswerLost,
    /// The store refused the request or was unreachable; nothing took effect.
    #[error("the claim store is unavailable")]
    Unavailable,
}

/// A store of claims: the table service in production, a fake in tests.
///
/// Each method is one request to the store, with its own timeout.
pub trait ClaimStore: Send + Sync {
    /// Writes `claim` in one transaction if the `expected` precondition holds.
    fn put(
        &self,
        claim: &Claim,
        expected: Expected,
    ) -> impl Future<Output = Result<PutOutcome, StoreError>> + Send;

    /// Reads the claim with `key`, never from a stale replica.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Claim>, StoreError>> + Send;

    /// Sets the record of the claim if `attempt` holds it; does nothing if
    /// another attempt does.
    fn complete(
        &self,
        key: &Key,
        attempt: AttemptId,
        record: &Record,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Removes up to `max_count` claims created before `created_before_ms` and
    /// returns the number removed.
    fn remove_expired(
        &self,
        created_before_ms: u64,
        max_count: usize,
    ) -> impl Future<Output = Result<usize, StoreError>> + Send;
}

/// The next store request, or the final decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the claim under this precondition.
    Put(Expected),
    /// Read the claim back.
    Read,
    /// The claim is acquired: send the call once.
    Send,
    /// The call was answered before: replay the stored response.
    Replay(RecordedResponse),
    /// This request sent nothing, and the call certainly did not run.
    NotRun(Reason),
    /// Another attempt may have run the call.
    Unknown(Reason),
}

/// The completion of a store request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A write completed.
    Put(Result<PutOutcome, StoreError>),
    /// A read completed.
    Read(Result<Option<Claim>, StoreError>),
}

/// The state machine by which one attempt acquires its claim.
///
/// # Examples
///
/// ```
/// use mimosavane::call::claim::{Acquisition, Event, Expected, PutOutcome, Step};
///
/// let mut acquisition = Acquisition::new(7, "digest");
/// assert_eq!(acquisition.step(), Step::Put(Expected::Absent));
/// acquisition.apply(Event::Put(Ok(PutOutcome::Stored)));
/// assert_eq!(acquisition.step(), Step::Send);
/// ```
#[derive(Clone, Debug)]
pub struct Acquisition {
    attempt: AttemptId,
    request_digest: String,
    store_attempts: u32,
    may_be_written: bool,
    step: Step,
}

impl Acquisition {
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

    /// Returns the next store request, or the final decision.
    pub fn step(&self) -> Step {
        self.step.clone()
    }

    /// Returns whether a write whose response was lost may have taken effect.
    pub const fn may_be_written(&self) -> bool {
        self.may_be_written
    }

    /// Applies the completion of a store request.
    pub fn apply(&mut self, event: Event) {
        self.store_attempts += 1;
        self.step = match (event, &self.step) {
            (Event::Put(Ok(PutOutcome::Stored)), Step::Put(_)) => Step::Send,
            (Event::Put(Ok(PutOutcome::Conflict(claim))), Step::Put(_)) => {
                self.resolve_existing(claim)
            }
            (Event::Put(Err(StoreError::AnswerLost)), Step::Put(_)) => {
                self.may_be_written = true;
                self.unless_exhausted(Step::Read)
            }
            (Event::Put(Err(StoreError::Unavailable)), Step::Put(expected)) => {
                self.unless_exhausted(Step::Put(*expected))
            }
            (Event::Read(Ok(Some(claim))), Step::Read) => self.resolve_existing(claim),
            // The lost write may still take effect; a second one then finds the
            // claim with its own attempt id.
            (Event::Read(Ok(None)), Step::Read) => {
                self.unless_exhausted(Step::Put(Expected::Absent))
            }
            (Event::Read(Err(_)), Step::Read) => self.unless_exhausted(Step::Read),
            (_, step) => step.clone(),
        };
    }

    /// Returns the step that follows from a claim found in the store.
    fn resolve_existing(&self, claim: Claim) -> Step {
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

/// Runs an [`Acquisition`] against `store` until it has decided.
///
/// The result is one of [`Step::Send`], [`Step::Replay`], [`Step::NotRun`] and
/// [`Step::Unknown`].
pub async fn acquire(store: &impl ClaimStore, claim: &Claim) -> Step {
    let mut acquisition = Acquisition::new(claim.attempt, claim.request_digest.as_str());
    loop {
        let event = match acquisition.step() {
            Step::Put(expected) => Event::Put(store.put(claim, expected).await),
            Step::Read => Event::Read(store.read(&claim.key).await),
            decided => return decided,
        };
        acquisition.apply(event);
    }
}
