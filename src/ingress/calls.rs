//! Forwards client requests to upstreams and returns their answers.

mod call;
mod log_lines;
mod sending;
mod stream;

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, header, response};
use http_body_util::{BodyExt as _, Either, Full, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

pub use self::call::{Call, Fingerprint, split_point};
pub use self::sending::{Answer, record_leaving, send, send_to_start, send_while};
pub use self::stream::{EndMark, StreamEnd, forward_body, is_delimited};
use self::stream::{Stream, stream_reply};
use crate::{
    call::terms,
    clock::{Timestamp, millis},
    connection::{CONNECT_FAILURES, Connection, EXPIRED, SendFailure},
    ids::UpstreamId,
    ingress::{
        crashes::{
            self,
            ledger::{UpstreamStart, Verdict},
        },
        directory::Upstream,
        handover,
        host::Host,
        intake::{self, BodyError},
        origins,
        permits::{self, Permit},
        reach,
        replies::{Reply, refusal, reply},
        routes::{Route, RouteKind},
        starts::{self, OTHER_START},
        usage_reports,
        wire::{Addressee, AnswerHead, FULL, Wire},
    },
    observe::telemetry::{CALL_TIME, CALLS_ANSWERED, CALLS_NOT_RUN, CALLS_UNKNOWN},
    store::rows::RowStore,
};

/// How many times the route's target latency an idempotent call waits for one
/// upstream before it is sent to another.
const STALL_TIMEOUT_RATIO: f64 = 2.0;

/// The lower bound of that wait.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The `Retry-After` of a call that found all upstreams full or gone: about the
/// service time of one call in the deployment specification.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// The shortest `Retry-After` of a call that no upstream may take yet.
const MIN_LIMIT_RETRY: Duration = Duration::from_millis(20);

/// The `Retry-After` of a stream that cannot go on now: its origin may be saved, or its
/// version be back, shortly.
const ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The largest answer body that is accepted from an upstream. A dozen of them at a time
/// fit the smallest machine.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The largest body that is read of an answer which is not forwarded, so that its
/// connection can be used again.
pub const MAX_DRAINED_BYTES: usize = 64 << 10;

/// Why a call got no answer where its upstream may have crashed.
const LOST_REASONS: [&str; 2] = ["connection-lost", "answer-torn"];

/// The reason where this host had no memory for an answer, which says nothing of its upstream.
const ANSWER_NO_MEMORY: &str = "answer-no-memory";

/// The outcome of sending a call to one upstream.
#[derive(Debug)]
enum AttemptOutcome {
    /// The upstream answered.
    Answered(Reply),
    /// The upstream certainly did not run the call.
    NotRun(&'static str),
    /// The upstream may have run the call.
    Unknown(&'static str),
}

/// Forwards `call` to upstreams until one answers, and returns the reply. A call to
/// upstreams that this host does not reach goes over another host.
pub async fn forward<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, call: &Call) -> Reply {
    let service = call.route.service(call.split_point()).cloned();
    if let Some(service) = service.filter(|service| host.reach.borrow().is_lost(service)) {
        let attempts_left = call.route.max_attempts;
        let handed_over = match call.taken {
            Some(_) => None,
            None => handover::hand_over(host, call, &service, attempts_left, false).await,
        };
        return handed_over.unwrap_or_else(|| handover::unserved_reply(host, call));
    }
    forward_directly(host, call).await
}

/// Forwards `call` to upstreams that this host may reach, and over another host if it
/// turns out that it reaches none.
async fn forward_directly<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, call: &Call) -> Reply {
    let deadline = call.deadline();
    let mut tried: Vec<UpstreamId> = Vec::new();
    // The upstreams that may not get the call, with those that did.
    let mut excluded: Vec<UpstreamId> = Vec::new();
    let mut next_permit_at: Option<Timestamp> = None;
    let mut may_have_run = false;
    // How many upstreams may have got the call, and whether one could not be connected to.
    let mut sent_count = 0;
    let mut is_unreached = false;
    let mut reason = "no-upstream";
    let fingerprint = call.fingerprint;
    let max_attempts = match crashes::check(host, fingerprint).await {
        Verdict::Free => call.route.max_attempts,
        Verdict::Trial(lost) => {
            let directory = &host.view.borrow().directory;
            let is_listed = |(id, started_at_ms): &UpstreamStart| {
                directory
                    .get(id)
                    .is_some_and(|upstream| upstream.started_at_ms == *started_at_ms)
            };
            excluded.extend(lost.into_iter().filter(is_listed).map(|(id, _)| id));
            1
        }
        Verdict::Blocked(wait) => {
            crashes::log_blocked(host, call.id(), fingerprint, wait);
            return unanswered_reply(host, call, false, "crashes-upstreams", 0, wait);
        }
    };
    let Some(service) = call.route.service(call.split_point()) else {
        return unanswered_reply(host, call, false, reason, 0, RETRY_AFTER);
    };
    let versions = match origins::choose(host, &call.route, service, &call.head).await {
        Ok(versions) => versions,
        Err(error) => {
            let reason = error.into();
            return unanswered_reply(host, call, false, reason, 0, ORIGIN_RETRY_AFTER);
        }
    };
    while (tried.len() as u32) < max_attempts {
        // The call may have waited, and the host begun to stop meanwhile.
        if !may_have_run && !host.admits(deadline) {
            return stopping_reply(host, call);
        }
        let now = host.now();
        let chosen = host.view.borrow_mut().directory.choose_if(
            service,
            &host.settings.failure_domain,
            &excluded,
            now,
            |upstream| versions.allows(host, upstream),
        );
        let Some(upstream) = chosen else { break };
        if now >= deadline {
            reason = "deadline";
            break;
        }
        excluded.push(upstream.id.clone());
        let permit = match permits::acquire(host, &upstream).await {
            Ok(permit) => permit,
            Err(denied) => {
                log_lines::denied(host, call, &upstream, denied);
                if tried.is_empty() {
                    reason = denied.reason;
                }
                let first = next_permit_at.unwrap_or(denied.until);
                next_permit_at = Some(first.min(denied.until));
                continue;
            }
        };
        tried.push(upstream.id.clone());
        let is_last = tried.len() as u32 >= max_attempts;
        let result = attempt(host, call, &upstream, permit, is_last).await;
        match result {
            AttemptOutcome::Answered(response) => {
                log_lines::attempt(
                    host,
                    call,
                    &upstream,
                    "answered",
                    response.status(),
                    tried.len(),
                );
                host.metrics.count(CALLS_ANSWERED, 1);
                let mut response = response;
                if call.taken.is_some() {
                    handover::name_upstream(&mut response, &upstream.id);
                }
                if !is_stream(call, &response) {
                    crashes::record_answer(host, fingerprint);
                } else if !call.head.is_resuming() {
                    let attempt = call.head.attempt_id.as_ref();
                    origins::record_begin(host, &call.route, attempt, &upstream);
                }
                host.metrics
                    .time(CALL_TIME, host.now().saturating_sub(call.arrived_at));
                return response;
            }
            AttemptOutcome::NotRun(failure) => {
                reason = failure;
                is_unreached |= CONNECT_FAILURES.contains(&failure);
                sent_count += u32::from(failure == FULL);
                log_lines::attempt(
                    host,
                    call,
                    &upstream,
                    failure,
                    StatusCode::SERVICE_UNAVAILABLE,
                    tried.len(),
                );
            }
            AttemptOutcome::Unknown(failure) => {
                reason = failure;
                may_have_run = true;
                sent_count += 1;
                log_lines::attempt(
                    host,
                    call,
                    &upstream,
                    failure,
                    StatusCode::BAD_GATEWAY,
                    tried.len(),
                );
                // A host without its links loses connections to sound upstreams.
                let is_lost =
                    LOST_REASONS.contains(&failure) && !host.reach.borrow().is_lost(service);
                let is_blocked = is_lost
                    && crashes::record_loss(host, fingerprint, &upstream).await != Verdict::Free;
                if is_blocked || !call.is_idempotent() {
                    break;
                }
            }
        }
    }
    let attempts_left = max_attempts.saturating_sub(sent_count);
    let may_hand_over = is_unreached && call.taken.is_none() && attempts_left > 0;
    if may_hand_over && (call.is_idempotent() || !may_have_run) {
        let handed_over =
            handover::hand_over(host, call, service, attempts_left, may_have_run).await;
        if let Some(reply) = handed_over {
            return reply;
        }
    }
    let retry_after = match next_permit_at {
        Some(at) if tried.is_empty() => at.saturating_sub(host.now()).max(MIN_LIMIT_RETRY),
        _ => RETRY_AFTER,
    };
    unanswered_reply(host, call, may_have_run, reason, tried.len(), retry_after)
}

/// Returns whether the reply to a call goes on after its head.
fn is_stream(call: &Call, reply: &Reply) -> bool {
    call.route.kind == RouteKind::Streaming && reply.status().is_success()
}

/// Returns the refusal of a call that may outlast this host, which is stopping. Another host
/// can serve it to its end.
pub fn stopping_reply<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, call: &Call) -> Reply {
    unanswered_reply(host, call, false, "stopping", 0, Duration::ZERO)
}

/// Returns the reply to a call that no upstream answered.
pub fn unanswered_reply<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    may_have_run: bool,
    reason: &str,
    tried_count: usize,
    retry_after: Duration,
) -> Reply {
    let is_late = host.now() >= call.deadline();
    let status = match (may_have_run, is_late) {
        (false, _) => StatusCode::SERVICE_UNAVAILABLE,
        (true, true) => StatusCode::GATEWAY_TIMEOUT,
        (true, false) => StatusCode::BAD_GATEWAY,
    };
    tracing::info!(
        event = "call.failed",
        id = call.id(),
        route = &*call.route.name,
        fingerprint = format_args!("{:016x}", call.fingerprint),
        reason,
        status = status.as_u16(),
        tried_count,
        may_have_run,
        held_ms = millis(host.now().saturating_sub(call.arrived_at)),
        timeout_ms = millis(call.route.timeout),
        patience_ms = call.head.client_timeout.map(millis),
    );
    if may_have_run {
        host.metrics.count(CALLS_UNKNOWN, 1);
        reply(status, Bytes::new())
    } else {
        host.metrics.count(CALLS_NOT_RUN, 1);
        refusal(retry_after)
    }
}

/// Returns how long an idempotent call of `route` waits for one upstream.
pub fn stall_timeout(route: &Route) -> Duration {
    route
        .target_latency
        .mul_f64(STALL_TIMEOUT_RATIO)
        .max(MIN_STALL_TIMEOUT)
}

/// Counts a call as in flight at its upstream until dropped.
pub struct OpenCall<'a, S: RowStore, W: Wire> {
    host: &'a Rc<Host<S, W>>,
    upstream: &'a UpstreamId,
    /// Whether the upstream failed; `None` if the call did not show either.
    pub failed: Option<bool>,
}

impl<'a, S: RowStore, W: Wire> OpenCall<'a, S, W> {
    /// Counts one more call in flight at `upstream`.
    pub fn start(host: &'a Rc<Host<S, W>>, upstream: &'a UpstreamId) -> Self {
        host.view.borrow_mut().directory.record_call_start(upstream);
        Self {
            host,
            upstream,
            failed: None,
        }
    }
}

impl<S: RowStore, W: Wire> Drop for OpenCall<'_, S, W> {
    fn drop(&mut self) {
        let now = self.host.now();
        self.host
            .view
            .borrow_mut()
            .directory
            .record_call_end(self.upstream, self.failed, now);
    }
}

async fn attempt<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    upstream: &Upstream,
    permit: Permit,
    is_last: bool,
) -> AttemptOutcome {
    let mut open = OpenCall::start(host, &upstream.id);
    let remaining = call.deadline().saturating_sub(host.now());
    let check_time = match origins::goes_on(&call.route, &call.head) {
        true => starts::READ_TIMEOUT,
        false => Duration::ZERO,
    };
    let limit = if call.is_idempotent() && !is_last {
        (stall_timeout(&call.route) + check_time).min(remaining)
    } else {
        remaining
    };
    let sent_at = Cell::new(None);
    let result = match timeout(limit, exchange(host, call, upstream, permit, &sent_at)).await {
        Ok(result) => result,
        Err(_) => {
            reach::record_failure(host, &upstream.service);
            AttemptOutcome::Unknown("silent")
        }
    };
    let may_have_begun = !matches!(result, AttemptOutcome::NotRun(_));
    // Streams are counted with their first data.
    let is_counted = call.route.kind != RouteKind::Streaming && may_have_begun;
    if let Some(sent_at) = sent_at.get().filter(|_| is_counted) {
        usage_reports::record(host, call.caller.account(), sent_at);
    }
    open.failed = match &result {
        AttemptOutcome::Answered(_) => Some(false),
        // A full upstream is not counted as failed, nor one that got no request.
        AttemptOutcome::NotRun(FULL | EXPIRED | OTHER_START) => None,
        AttemptOutcome::Unknown(ANSWER_NO_MEMORY) => None,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => Some(true),
    };
    result
}

async fn exchange<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    upstream: &Upstream,
    permit: Permit,
    sent_at: &Cell<Option<Timestamp>>,
) -> AttemptOutcome {
    let is_allowed = || {
        let now = host.now();
        let is_allowed = permit.is_valid(now) && now < call.deadline();
        sent_at.set(is_allowed.then_some(now));
        is_allowed
    };
    let to = Addressee {
        id: &upstream.id,
        address: upstream.address,
    };
    let client_timeout = call.head.client_timeout.unwrap_or(call.route.timeout);
    let elapsed = host.now().saturating_sub(call.arrived_at);
    let request = W::call_request(
        &call.parts,
        call.body.clone(),
        &call.caller,
        to,
        client_timeout.saturating_sub(elapsed),
    );
    let sent = match origins::goes_on(&call.route, &call.head) {
        true => send_to_start(host, upstream, request, is_allowed).await,
        false => send_while(host, upstream, request, is_allowed).await,
    };
    let Answer {
        connection,
        parts,
        head,
        body,
    } = match sent {
        Ok(answer) => answer,
        Err(SendFailure::NotRun(reason)) => return AttemptOutcome::NotRun(reason),
        Err(SendFailure::Unknown(reason)) => return AttemptOutcome::Unknown(reason),
    };
    if let Some(outcome) = check_answer(call, &parts, &head) {
        if matches!(outcome, AttemptOutcome::NotRun(_)) && body.size_hint().exact().is_some() {
            drain_body(connection, body).await;
        }
        return outcome;
    }
    if call.route.kind == RouteKind::Streaming && parts.status.is_success() {
        let stream = Stream {
            host: host.clone(),
            fingerprint: call.fingerprint,
            upstream: upstream.clone(),
            is_resuming: call.head.is_resuming(),
            deadline: call.deadline(),
            account: call.caller.account().cloned(),
            holder: call.holder(),
            _taken: call.taken.clone(),
        };
        return AttemptOutcome::Answered(stream_reply(stream, parts, body, connection));
    }
    match intake::collect_answer(call.holder(), body, MAX_ANSWER_BYTES).await {
        Ok(body) => {
            connection.release();
            let mut response = Response::new(Either::Left(Full::new(body)));
            *response.status_mut() = parts.status;
            *response.headers_mut() = terms::end_to_end(&parts.headers);
            AttemptOutcome::Answered(response)
        }
        Err(BodyError::Denied(_)) => AttemptOutcome::Unknown(ANSWER_NO_MEMORY),
        Err(_) => AttemptOutcome::Unknown("answer-torn"),
    }
}

/// Reads the rest of an answer that is not forwarded, so that its connection
/// can be reused.
async fn drain_body(connection: Connection, body: Incoming) {
    if Limited::new(body, MAX_DRAINED_BYTES)
        .collect()
        .await
        .is_ok()
    {
        connection.release();
    }
}

/// Returns the outcome of the attempt if the answer must not be forwarded.
fn check_answer(call: &Call, parts: &response::Parts, head: &AnswerHead) -> Option<AttemptOutcome> {
    if call.id().is_some_and(|id| !head.may_answer(id)) {
        return Some(AttemptOutcome::Unknown("answer-mismatched"));
    }
    if let Some(reason) = head.not_run_reason() {
        return Some(AttemptOutcome::NotRun(reason));
    }
    if parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Some(AttemptOutcome::Unknown("answer-encoded"));
    }
    if parts.status.is_success() && head.signature.is_none() {
        return Some(AttemptOutcome::Unknown("answer-unsigned"));
    }
    // An idempotent call that failed at one upstream may succeed at another.
    if parts.status.is_server_error() && call.is_idempotent() {
        return Some(AttemptOutcome::Unknown("upstream-failed"));
    }
    None
}
