//! The way of a caller's request to a plain service and back.
//!
//! [`serve`] claims a keyed call, waits for an upstream, sends the request and
//! tells the caller one of three outcomes (see docs/design/calls.md).
//!
//! Read in this order: `attempt` and `problem` for the outcomes, `admission` and `gate` for who
//! may go when, `exchange` and `relay` for the sending, `claim` for keyed calls. `admission`,
//! `concurrency`, `ejection` and `progress` decide and do no I/O.

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
        claim::{Answer, Claim, ClaimStore, Key, MAX_RECORDED_BODY_BYTES, Record, Step},
        exchange::Sending,
        gate::{Entry, Gate, Refused},
        problem::OUTCOME_HEADER,
        terms::Terms,
    },
    connection::Pool,
    control::decision::{Decision, Kind},
    ids::{HostId, RowId, UpstreamId},
    retry,
    settings::{PoolSettings, Settings},
};

/// How long the answer to a keyed call waits for its record to be written.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// When the caller of a call that another attempt holds may ask again.
const CLAIMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When a caller that found the claim store down may ask again.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// When a caller that was refused otherwise may ask again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whoever sent a request, as the server has checked it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The row whose key the caller showed.
    pub row: RowId,
    /// The pool that the request is for.
    pub pool: Arc<str>,
}

/// What the call path works with; clones share all of it.
#[derive(Clone, Debug)]
pub struct Context<S> {
    /// The settings of this host.
    pub settings: Arc<Settings>,
    /// Where calls wait for an upstream.
    pub gate: Gate,
    /// The connections to upstreams.
    pub connections: Pool,
    /// Where keyed calls are claimed.
    pub claims: S,
}

/// How a call ended without an answer.
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
            // Whether to ask again is for the caller to decide.
            Outcome::Unknown(_) => None,
        };
        Self {
            outcome,
            retry_after,
        }
    }
}

impl From<Refused> for Failure {
    fn from(refused: Refused) -> Self {
        Self {
            outcome: Outcome::NotRun(refused.reason),
            retry_after: Some(refused.retry_after),
        }
    }
}

/// Serves one request from start to end.
///
/// The response carries the outcome in its header. Its body may still fail: the
/// server must then break off the caller's connection.
pub async fn serve<S: ClaimStore + Clone + 'static>(
    context: &Context<S>,
    request: Request<Bytes>,
    caller: &Caller,
) -> Response<Payload> {
    let pool = context.pool(&caller.pool);
    match serve_in(context, request, caller, &pool).await {
        Ok(response) => response,
        Err(failure) => {
            context.record(caller, failure.outcome);
            problem::response(failure.outcome, failure.retry_after)
                .map(|body| Payload::Whole(Full::new(body)))
        }
    }
}

async fn serve_in<S: ClaimStore + Clone + 'static>(
    context: &Context<S>,
    request: Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
) -> Result<Response<Payload>, Failure> {
    if context.gate.is_draining() {
        return Err(Failure::new(Outcome::NotRun(Reason::Draining)));
    }
    let default_timeout = Duration::from_millis(context.settings.limits.default_deadline_ms);
    let terms = Terms::read(&request, pool, default_timeout, context.gate.now())
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
            // A caller that goes away must not leave its claim open: the call is
            // ended and recorded all the same, and a repeat gets its answer.
            let task = tokio::spawn(async move {
                serve_claimed(&context, request, &caller, &pool, &terms, key).await
            });
            task.await
                .unwrap_or(Err(Failure::new(Outcome::Unknown(Reason::ConnectionLost))))
        }
        _ => run(context, &request, caller, pool, &terms, false).await,
    }
}

/// Claims the call, runs it and records what became of it.
async fn serve_claimed<S: ClaimStore>(
    context: &Context<S>,
    request: Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
    terms: &Terms,
    key: Key,
) -> Result<Response<Payload>, Failure> {
    // A call that will be refused anyway must not cost a write.
    context.gate.check(context.entry(caller, terms, &[]))?;
    let claim = claim::Claim {
        key,
        attempt: rand::random(),
        host: HostId::clone(&context.settings.host.id),
        request_digest: digest(&request),
        created_at_ms: unix_ms(),
        record: Record::Open,
    };
    let remaining = terms.deadline.remaining(context.gate.now());
    let step = timeout(remaining, claim::acquire(&context.claims, &claim))
        .await
        .unwrap_or(Step::NotRun(Reason::ClaimStoreDown));
    match step {
        Step::Send => run_claimed(context, &request, caller, pool, terms, &claim).await,
        Step::Replay(answer) => replay(answer),
        Step::Unknown(reason) => Err(Failure::new(Outcome::Unknown(reason))),
        Step::NotRun(reason) => Err(Failure::new(Outcome::NotRun(reason))),
        // `acquire` returns decisions only.
        Step::Put(_) | Step::Read => Err(Failure::new(Outcome::NotRun(Reason::ClaimStoreDown))),
    }
}

async fn run_claimed<S: ClaimStore>(
    context: &Context<S>,
    request: &Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
    terms: &Terms,
    claim: &Claim,
) -> Result<Response<Payload>, Failure> {
    let result = run(context, request, caller, pool, terms, true).await;
    let record = match &result {
        Ok(response) => Record::Answered(answer(response)),
        Err(failure) => match failure.outcome {
            Outcome::NotRun(_) => Record::NotRun,
            Outcome::Answered | Outcome::Unknown(_) => Record::Unknown,
        },
    };
    // A record that is not written leaves the claim open, and a repeated request
    // is then told that the outcome is unknown.
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

/// Sends the call until it is answered or may not be sent again.
async fn run<S: ClaimStore>(
    context: &Context<S>,
    request: &Request<Bytes>,
    caller: &Caller,
    pool: &PoolSettings,
    terms: &Terms,
    whole: bool,
) -> Result<Response<Payload>, Failure> {
    let mut tried = Vec::new();
    let mut may_have_run = None;
    let mut pauses = retry::backoff(rand::random());
    let mut pass = context
        .gate
        .enter(context.entry(caller, terms, &tried))
        .await?;
    loop {
        tried.extend(pass.upstream().cloned());
        let sending = Sending {
            request,
            terms,
            protocol: pool.protocol,
            connections: &context.connections,
            silence_timeout: Duration::from_millis(context.settings.limits.silence_timeout_ms),
            max_body_bytes: context.settings.limits.max_body_bytes,
            whole,
        };
        let outcome = match exchange::send(sending, pass).await {
            Ok(response) => return Ok(response),
            Err(outcome) => outcome,
        };
        if let Outcome::Unknown(_) = outcome {
            may_have_run = Some(outcome);
        }
        let failure = Failure::new(may_have_run.unwrap_or(outcome));
        if !may_repeat(outcome, terms) {
            return Err(failure);
        }
        gate::pause(
            &context.gate,
            pauses.next().unwrap_or_default(),
            terms.deadline,
        )
        .await;
        pass = match context.gate.retry(context.entry(caller, terms, &tried)) {
            Some(pass) => pass,
            None => return Err(failure),
        };
    }
}

/// Says whether a call that ended like this may be sent once more.
///
/// A call that is not idempotent goes on only where not a byte of it was sent.
fn may_repeat(outcome: Outcome, terms: &Terms) -> bool {
    match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(Reason::ConnectFailed | Reason::ClosedBeforeSend) => true,
        Outcome::NotRun(Reason::Refused) | Outcome::Unknown(_) => terms.idempotent,
        Outcome::NotRun(_) => false,
    }
}

/// Gives the recorded answer again.
fn replay(answer: Answer) -> Result<Response<Payload>, Failure> {
    // An answer that was too long to keep is known, but cannot be shown whole.
    let body = answer
        .body
        .ok_or_else(|| Failure::new(Outcome::Unknown(Reason::AnswerTooLarge)))?;
    let mut response = Response::new(Payload::Whole(Full::new(Bytes::from(body))));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
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

/// Returns what is kept of a response that was read whole.
fn answer(response: &Response<Payload>) -> Answer {
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let body = match response.body() {
        Payload::Whole(body) => peek(body),
        Payload::Streamed(_) => None,
    };
    Answer {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
        body_bytes: response.body().size_hint().lower(),
        body: body
            .filter(|body| body.len() <= MAX_RECORDED_BODY_BYTES)
            .map(Vec::from),
    }
}

/// Returns the bytes of a body that is held in memory, which copies nothing.
fn peek(body: &Full<Bytes>) -> Option<Bytes> {
    let mut copy = body.clone();
    let mut cx = TaskContext::from_waker(std::task::Waker::noop());
    match pin!(&mut copy).poll_frame(&mut cx) {
        Poll::Ready(Some(Ok(frame))) => frame.into_data().ok(),
        Poll::Ready(None) => Some(Bytes::new()),
        _ => None,
    }
}

/// Returns the digest that tells two requests with one key apart.
fn digest(request: &Request<Bytes>) -> String {
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

/// Returns the wall clock, which only the age of claims depends on.
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

    fn entry<'a>(&self, caller: &'a Caller, terms: &Terms, tried: &'a [UpstreamId]) -> Entry<'a> {
        Entry {
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

/// Removes claims that are too old to be repeated, a batch at a time.
///
/// # Errors
///
/// Fails where the store does; the next run goes on.
pub async fn remove_expired(store: &impl ClaimStore) -> Result<usize, claim::StoreError> {
    let retention_ms = u64::try_from(claim::RETENTION.as_millis()).unwrap_or(u64::MAX);
    let created_before_ms = unix_ms().saturating_sub(retention_ms);
    store
        .remove_expired(created_before_ms, claim::CLEANUP_BATCH_COUNT)
        .await
}
