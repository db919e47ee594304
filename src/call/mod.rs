//! Proxying of callers' requests to plain services.
//!
//! [`serve`] claims a keyed call, waits for an upstream, sends the request and
//! reports one of three outcomes to the caller (see docs/design/calls.md).
//!
//! Suggested reading order: `attempt` and `problem` for the outcomes,
//! `admission` and `gate` for admission control, `exchange` and `relay` for
//! sending, `claim` for keyed calls. `admission`, `concurrency`, `ejection` and
//! `progress` contain decision logic only and do no I/O.

pub mod admission;
pub mod attempt;
pub mod claim;
pub mod claim_store;
pub mod concurrency;
pub mod ejection;
pub mod exchange;
pub mod gate;
pub mod payload;
pub mod problem;
pub mod progress;
pub mod relay;
pub mod terms;

use std::{
    pin::pin,
    sync::Arc,
    task::{Context as TaskContext, Poll},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Body as _;
use tokio::time::timeout;

pub use crate::call::payload::Payload;
use crate::{
    call::{
        attempt::{Outcome, Reason},
        claim::{Claim, ClaimStore, Key, MAX_RECORDED_BODY_BYTES, Record, RecordedResponse, Step},
        exchange::SendParams,
        gate::{CallSpec, Gate, Rejection},
        problem::OUTCOME_HEADER,
        terms::Terms,
    },
    connection::Pool,
    control::decision::{Decision, Kind},
    ids::{HostId, RowId, UpstreamId},
    retry,
    settings::{PoolSettings, Settings},
};

/// The maximum delay of the response to a keyed call for writing its record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// The retry delay for a caller whose call is claimed by another attempt.
const CLAIMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The retry delay for a caller while the claim store is down.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The retry delay for a caller that was refused for another reason.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The authenticated sender of a request and its target pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The row whose key the caller presented.
    pub row: RowId,
    /// The pool that the request is for.
    pub pool: Arc<str>,
}

/// The shared dependencies of the call path; clones share their state.
#[derive(Clone, Debug)]
pub struct Context<S> {
    /// The settings of this host.
    pub settings: Arc<Settings>,
    /// The gate where calls wait for an upstream.
    pub gate: Gate,
    /// The connections to upstreams.
    pub connections: Pool,
    /// The store of keyed calls' claims.
    pub claims: S,
}

/// The end of a call without a response from the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failure {
    outcome: Outcome,
    retry_after: Option<Duration>,
}

impl Failure {
    fn new(outcome: Outcome) -> Self {
        let retry_after = match outcome {
            Outcome::Answered
            | Outcome::NotRun(Reason::Invalid | Reason::KeyReused | Reason::DeadlinePassed) => None,
            Outcome::NotRun(Reason::ClaimStoreDown) => Some(STORE_RETRY_AFTER),
            Outcome::NotRun(_) => Some(RETRY_AFTER),
            Outcome::Unknown(Reason::Claimed) => Some(CLAIMED_RETRY_AFTER),
            // A repeat could run the call twice; the caller must decide.
            Outcome::Unknown(_) => None,
        };
        Self {
            outcome,
            retry_after,
        }
    }
}

impl From<Rejection> for Failure {
    fn from(rejection: Rejection) -> Self {
        Self {
            outcome: Outcome::NotRun(rejection.reason),
            retry_after: Some(rejection.retry_after),
        }
    }
}

/// Serves one request.
///
/// The response carries the outcome in a header. Its body may still fail, in
/// which case the server must abort the caller's connection.
pub async fn serve<S: ClaimStore + Clone + 'static>(
    context: &Context<S>,
    request: Request<Bytes>,
    caller: &Caller,
) -> Response<Payload> {
    let pool = context.pool(&caller.pool);
    match try_serve(context, request, caller, &pool).await {
        Ok(response) => response,
        Err(failure) => {
            context.record(caller, failure.outcome);
            problem::response(failure.outcome, failure.retry_after)
                .map(|body| Payload::Whole(Full::new(body)))
        }
    }
}

async fn try_serve<S: ClaimStore + Clone + 'static>(
    context: &Context<S>,
    request: Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
) -> Result<Response<Payload>, Failure> {
    if context.gate.is_draining() {
        return Err(Failure::new(Outcome::NotRun(Reason::Draining)));
    }
    let default_timeout = Duration::from_millis(context.settings.limits.default_deadline_ms);
    let terms = Terms::parse(&request, pool, default_timeout, context.gate.now())
        .map_err(|_| Failure::new(Outcome::NotRun(Reason::Invalid)))?;
    match &terms.key {
        Some(key) if !terms.idempotent && !pool.deduplicates_keys => {
            let key = Key {
                row: caller.row.clone(),
                pool: caller.pool.to_string(),
                key: key.clone(),
            };
            let context = context.clone();
            let caller = caller.clone();
            let pool = pool.clone();
            // The call runs in its own task, so that it completes and is recorded
            // even if the caller disconnects. Otherwise the claim would stay
            // open; this way a repeat gets the response.
            let task = tokio::spawn(async move {
                serve_claimed(&context, request, &caller, &pool, &terms, key).await
            });
            task.await
                .unwrap_or(Err(Failure::new(Outcome::Unknown(Reason::ConnectionLost))))
        }
        _ => send_with_retries(context, &request, caller, pool, &terms, false).await,
    }
}

/// Claims the call, sends it and records its result.
async fn serve_claimed<S: ClaimStore>(
    context: &Context<S>,
    request: Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
    terms: &Terms,
    key: Key,
) -> Result<Response<Payload>, Failure> {
    // Check first, so that a call that would be refused anyway costs no write.
    context.gate.check(context.call_spec(caller, terms, &[]))?;
    let claim = claim::Claim {
        key,
        attempt: rand::random(),
        host: HostId::clone(&context.settings.host.id),
        request_digest: request_digest(&request),
        created_at_ms: unix_ms(),
        record: Record::Open,
    };
    let remaining = terms.deadline.remaining(context.gate.now());
    let step = timeout(remaining, claim::acquire(&context.claims, &claim))
        .await
        .unwrap_or(Step::NotRun(Reason::ClaimStoreDown));
    match step {
        Step::Send => send_and_record(context, &request, caller, pool, terms, &claim).await,
        Step::Replay(recorded) => replay(recorded),
        Step::Unknown(reason) => Err(Failure::new(Outcome::Unknown(reason))),
        Step::NotRun(reason) => Err(Failure::new(Outcome::NotRun(reason))),
        // `acquire` returns only final decisions.
        Step::Put(_) | Step::Read => Err(Failure::new(Outcome::NotRun(Reason::ClaimStoreDown))),
    }
}

async fn send_and_record<S: ClaimStore>(
    context: &Context<S>,
    request: &Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
    terms: &Terms,
    claim: &Claim,
) -> Result<Response<Payload>, Failure> {
    let result = send_with_retries(context, request, caller, pool, terms, true).await;
    let record = match &result {
        Ok(response) => Record::Answered(recorded(response)),
        Err(failure) => match failure.outcome {
            Outcome::NotRun(_) => Record::NotRun,
            Outcome::Answered | Outcome::Unknown(_) => Record::Unknown,
        },
    };
    // If the record is not written, the claim stays open, and a repeated request
    // gets an unknown outcome.
    let written = timeout(
        RECORD_TIMEOUT,
        context.claims.complete(&claim.key, claim.attempt, &record),
    )
    .await;
    if !matches!(written, Ok(Ok(()))) {
        context.gate.record(
            Decision::new(Kind::Claim, context.gate.now(), "record-not-written")
                .about(claim.key.key.as_str())
                .about(caller.row.clone()),
        );
    }
    result
}

/// Sends the call, with retries, until it is answered or may not be retried.
async fn send_with_retries<S: ClaimStore>(
    context: &Context<S>,
    request: &Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
    terms: &Terms,
    buffer_response: bool,
) -> Result<Response<Payload>, Failure> {
    let mut tried = Vec::new();
    let mut may_have_run = None;
    let mut backoff = retry::backoff(rand::random());
    let mut permit = context
        .gate
        .enter(context.call_spec(caller, terms, &tried))
        .await?;
    loop {
        tried.extend(permit.upstream().cloned());
        let params = SendParams {
            request,
            terms,
            protocol: pool.protocol,
            connections: &context.connections,
            silence_timeout: Duration::from_millis(context.settings.limits.silence_timeout_ms),
            max_body_bytes: context.settings.limits.max_body_bytes,
            buffer_response,
        };
        let outcome = match exchange::send(params, permit).await {
            Ok(response) => return Ok(response),
            Err(outcome) => outcome,
        };
        if let Outcome::Unknown(_) = outcome {
            may_have_run = Some(outcome);
        }
        let failure = Failure::new(may_have_run.unwrap_or(outcome));
        if !can_retry(outcome, terms) {
            return Err(failure);
        }
        gate::sleep_before_retry(
            &context.gate,
            backoff.next().unwrap_or_default(),
            terms.deadline,
        )
        .await;
        permit = match context.gate.retry(context.call_spec(caller, terms, &tried)) {
            Some(permit) => permit,
            None => return Err(failure),
        };
    }
}

/// Returns whether a call with this outcome may be retried.
///
/// A call that is not idempotent is retried only if no byte of it was sent.
fn can_retry(outcome: Outcome, terms: &Terms) -> bool {
    match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(Reason::ConnectFailed | Reason::ClosedBeforeSend) => true,
        Outcome::NotRun(Reason::Refused) | Outcome::Unknown(_) => terms.idempotent,
        Outcome::NotRun(_) => false,
    }
}

/// Builds the response to a repeated request from the recorded one.
fn replay(recorded: RecordedResponse) -> Result<Response<Payload>, Failure> {
    // The call was answered, but the body was too large to store.
    let body = recorded
        .body
        .ok_or_else(|| Failure::new(Outcome::Unknown(Reason::AnswerTooLarge)))?;
    let mut response = Response::new(Payload::Whole(Full::new(Bytes::from(body))));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&recorded.content_type)
        && !content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert(
        OUTCOME_HEADER,
        HeaderValue::from_static(Outcome::Answered.name()),
    );
    Ok(response)
}

/// Returns the part of a buffered response that is recorded.
fn recorded(response: &Response<Payload>) -> RecordedResponse {
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let body = match response.body() {
        Payload::Whole(body) => buffered_bytes(body),
        Payload::Streamed(_) => None,
    };
    RecordedResponse {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
        body_bytes: response.body().size_hint().lower(),
        body: body
            .filter(|body| body.len() <= MAX_RECORDED_BODY_BYTES)
            .map(Vec::from),
    }
}

/// Returns the bytes of an in-memory body without copying them.
fn buffered_bytes(body: &Full<Bytes>) -> Option<Bytes> {
    let mut copy = body.clone();
    let mut cx = TaskContext::from_waker(std::task::Waker::noop());
    match pin!(&mut copy).poll_frame(&mut cx) {
        Poll::Ready(Some(Ok(frame))) => frame.into_data().ok(),
        Poll::Ready(None) => Some(Bytes::new()),
        _ => None,
    }
}

/// Returns the digest that distinguishes different requests with the same key.
fn request_digest(request: &Request<Bytes>) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method().as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(
        request
            .uri()
            .path_and_query()
            .map_or("", |path| path.as_str())
            .as_bytes(),
    );
    hasher.update(b"\0");
    hasher.update(request.body());
    hasher.finalize().to_hex().to_string()
}

/// Returns the wall-clock time; only the age of claims depends on it.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

impl<S> Context<S> {
    fn pool(&self, name: &str) -> PoolSettings {
        self.settings.pools.get(name).cloned().unwrap_or_default()
    }

    fn call_spec<'a>(
        &self,
        caller: &'a Caller,
        terms: &Terms,
        tried: &'a [UpstreamId],
    ) -> CallSpec<'a> {
        CallSpec {
            pool: &caller.pool,
            deadline: terms.deadline,
            idempotent: terms.idempotent,
            tried,
        }
    }

    fn record(&self, caller: &Caller, outcome: Outcome) {
        let reason = outcome.reason().map_or("", Into::into);
        self.gate.record(
            Decision::new(Kind::Call, self.gate.now(), outcome.name())
                .about(caller.pool.clone())
                .about(caller.row.clone())
                .about(reason),
        );
    }
}

/// Removes one batch of claims older than [`claim::RETENTION`].
///
/// # Errors
///
/// Fails if the store does; the next run continues.
pub async fn remove_expired(store: &impl ClaimStore) -> Result<usize, claim::StoreError> {
    let retention_ms = u64::try_from(claim::RETENTION.as_millis()).unwrap_or(u64::MAX);
    let created_before_ms = unix_ms().saturating_sub(retention_ms);
    store
        .remove_expired(created_before_ms, claim::CLEANUP_BATCH_COUNT)
        .await
}
