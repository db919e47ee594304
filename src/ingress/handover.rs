//! Hands calls over to other hosts while this one reaches no upstream, and takes those of
//! others.
//!
//! A call is handed over once: the host that takes it sends it to upstreams itself or
//! refuses it (see docs/design/stranded-hosts.md).

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, StatusCode, Uri, header, request, response,
};
use http_body_util::{BodyExt as _, Either, Full};
use tokio::time::timeout;

use crate::{
    call::terms,
    clock::millis,
    connection::{Protocol, SendFailure, Target, UpstreamRequest},
    ingress::{
        authentication::{self, Unauthenticated},
        calls::{self, Call, EndMark, MAX_ANSWER_BYTES, StreamEnd},
        host::Host,
        intake, reach,
        replies::{Reply, refusal, reply},
        routes::{Route, RouteKind, ServiceName},
        wire::Wire,
    },
    observe::telemetry::{CALLS_HANDED_OVER, CALLS_TAKEN},
    store::rows::RowStore,
};

/// The start of the paths of calls that are handed over, before the call's own path.
pub const CALL_PATH: &str = "/calls";

/// The path at which a host says whether it reaches upstreams of a service, which follows.
pub const REACH_PATH: &str = "/reach/";

/// How many upstreams the call may still be sent to.
const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("handover-attempts-left");

/// How long the client still waits, in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("handover-time-left-ms");

/// The version of the configuration under which the call was accepted.
const CONFIGURATION: HeaderName = HeaderName::from_static("handover-configuration");

/// The upstream that answered. In an answer without it, nothing has run.
const ANSWERED_BY: HeaderName = HeaderName::from_static("handover-answered-by");

/// Whether the other host took the call; its answer is final then.
const TAKEN: HeaderName = HeaderName::from_static("handover-taken");

/// The statuses by which a host promises that a call has not run.
const REFUSALS: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How many other hosts are asked to take one call.
const MAX_PEER_COUNT: usize = 4;

/// How many calls of others a host has open at most, so that the few hosts that reach
/// upstreams are not overrun.
const MAX_TAKEN_COUNT: usize = 256;

/// The least time that must be left for a call to be handed over.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// The `Retry-After` of a call that no host can serve: about the interval of the probes
/// that find a way again.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long another host may take to say whether it reaches a service.
const REACH_TIMEOUT: Duration = Duration::from_millis(450);

/// Counts a call of another host as open until dropped.
#[derive(Debug)]
pub struct TakenCall {
    count: Rc<Cell<usize>>,
}

impl TakenCall {
    /// Counts one more call in `count`, unless there are too many.
    fn new(count: &Rc<Cell<usize>>) -> Option<Rc<Self>> {
        if count.get() >= MAX_TAKEN_COUNT {
            return None;
        }
        count.set(count.get() + 1);
        Some(Rc::new(Self {
            count: count.clone(),
        }))
    }
}

impl Drop for TakenCall {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// Why a call of another host is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum NotTaken {
    #[error("the host is stopping")]
    Stopping,
    #[error("the host has no configuration")]
    NoConfiguration,
    #[error("the host has an older configuration than the one that asks")]
    OlderConfiguration,
    #[error("the message cannot be decoded")]
    Unreadable,
    #[error("no route leads to a service")]
    NoRoute,
    #[error("this host reaches no upstream either")]
    OutOfReach,
    #[error("too many calls of other hosts are open")]
    TooMany,
    #[error("the account of the call is not known here")]
    Unauthenticated,
}

impl From<Unauthenticated> for NotTaken {
    fn from(_: Unauthenticated) -> Self {
        Self::Unauthenticated
    }
}

/// How an attempt to hand a call over ended.
#[derive(Debug)]
enum Outcome {
    /// The other host took the call; this is its answer.
    Answered(Reply),
    /// The other host took the call and refuses it: it has not run there.
    Refused(Reply),
    /// The other host cannot take it, and nothing has run.
    NotTaken(&'static str),
    /// The other host may have sent the call to an upstream.
    Unknown(&'static str),
}

/// Hands `call` over to another host, which may send it to `attempts_left` upstreams, and
/// returns the reply; or `None` if no host takes it, and nothing has run at another one.
/// `may_have_run` says whether the call may have run before, so that no refusal is passed on.
pub async fn hand_over<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    service: &ServiceName,
    attempts_left: u32,
    may_have_run: bool,
) -> Option<Reply> {
    let mut may_run_elsewhere = false;
    for peer in candidates(host, call, service) {
        let time_left = call.deadline().saturating_sub(host.now());
        if time_left < MIN_TIME_LEFT {
            break;
        }
        // A host that does not know yet that it reaches no upstream either holds the call.
        let limit = match call.is_idempotent() {
            true => calls::stall_timeout(&call.route).min(time_left),
            false => time_left,
        };
        let outcome = match timeout(limit, exchange(host, call, peer, attempts_left)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown("peer-silent"),
        };
        let (name, status) = match &outcome {
            Outcome::Answered(reply) => ("answered", Some(reply.status().as_u16())),
            Outcome::Refused(reply) => ("refused", Some(reply.status().as_u16())),
            Outcome::NotTaken(reason) | Outcome::Unknown(reason) => (*reason, None),
        };
        tracing::info!(
            event = "call.handed_over",
            id = call.id(),
            route = &*call.route.name,
            service = &**service,
            %peer,
            outcome = name,
            status,
            attempts_left,
            held_ms = millis(host.now().saturating_sub(call.arrived_at)),
        );
        match outcome {
            Outcome::Answered(reply) => {
                host.metrics.count(CALLS_HANDED_OVER, 1);
                return Some(reply);
            }
            Outcome::Refused(refusal) => {
                host.metrics.count(CALLS_HANDED_OVER, 1);
                return Some(match may_have_run || may_run_elsewhere {
                    true => reply(StatusCode::BAD_GATEWAY, Bytes::new()),
                    false => refusal,
                });
            }
            Outcome::NotTaken(_) => {}
            Outcome::Unknown(_) => may_run_elsewhere = true,
        }
        let now = host.now();
        host.reach.borrow_mut().pause_peer(peer, service, now);
        if may_run_elsewhere && !call.is_idempotent() {
            break;
        }
    }
    // No refusal, which would say that nothing has run.
    may_run_elsewhere.then(|| reply(StatusCode::BAD_GATEWAY, Bytes::new()))
}

/// Returns the refusal of a call that neither this host nor another one can serve.
pub fn unserved_reply<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, call: &Call) -> Reply {
    calls::unanswered_reply(host, call, false, "out-of-reach", 0, RETRY_AFTER)
}

/// Returns the hosts to ask. Calls are spread over all that this host knows.
fn candidates<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    service: &ServiceName,
) -> Vec<SocketAddr> {
    let mut peers = host.store.peers();
    let now = host.now();
    peers.retain(|peer| host.reach.borrow().may_ask(*peer, service, now));
    let first = (call.split_point() * peers.len() as f64) as usize;
    if first < peers.len() {
        peers.rotate_left(first);
    }
    peers.truncate(MAX_PEER_COUNT);
    peers
}

async fn exchange<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    peer: SocketAddr,
    attempts_left: u32,
) -> Outcome {
    let Some(request) = encode(host, call, attempts_left) else {
        return Outcome::NotTaken("not-encoded");
    };
    let target = Target {
        address: peer,
        protocol: Protocol::Http1,
    };
    let is_allowed = || host.now() < call.deadline();
    let sent = host.pool.send_while(target, request, is_allowed).await;
    let (connection, answer) = match sent {
        Ok(answer) => answer,
        Err(SendFailure::NotRun(reason)) => return Outcome::NotTaken(reason),
        Err(SendFailure::Unknown(reason)) => return Outcome::Unknown(reason),
    };
    let (parts, body) = answer.into_parts();
    if !parts.headers.contains_key(&TAKEN) {
        if body.collect().await.is_ok() {
            connection.release();
        }
        return Outcome::NotTaken("peer-refused");
    }
    let mut headers = terms::end_to_end(&parts.headers);
    headers.remove(&TAKEN);
    let answered_by = headers.remove(&ANSWERED_BY);
    if let Some(upstream) = &answered_by {
        record_answer(host, upstream, &parts);
    }
    let body = if call.route.kind == RouteKind::Streaming && parts.status.is_success() {
        let time_left = call.deadline().saturating_sub(host.now());
        let end_mark = EndMark::of(&parts.headers, &body, call.head.is_resuming());
        calls::forward_body(
            body,
            end_mark,
            time_left,
            call.holder(),
            || (),
            async move |end| {
                if end == StreamEnd::Whole {
                    connection.release();
                }
            },
        )
    } else {
        match intake::collect_answer(call.holder(), body, MAX_ANSWER_BYTES).await {
            Ok(body) => {
                connection.release();
                Either::Left(Full::new(body))
            }
            Err(_) => return Outcome::Unknown("answer-torn"),
        }
    };
    let mut reply = Reply::new(body);
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = headers;
    match answered_by.is_none() && REFUSALS.contains(&parts.status) {
        true => Outcome::Refused(reply),
        false => Outcome::Answered(reply),
    }
}

/// Records what an upstream's answer says of itself, as if this host had got it directly.
fn record_answer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &HeaderValue,
    parts: &response::Parts,
) {
    let head = W::answer_head(parts);
    let known = upstream
        .to_str()
        .ok()
        .and_then(|id| host.view.borrow().directory.get(&id.into()).cloned());
    if let Some(upstream) = known.filter(|_| head.is_leaving) {
        calls::record_leaving(host, &upstream);
    }
}

fn encode<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    attempts_left: u32,
) -> Option<UpstreamRequest> {
    let path = call
        .parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = format!("{CALL_PATH}{path}").parse().ok()?;
    let headers = request.headers_mut();
    *headers = terms::end_to_end(&call.parts.headers);
    if let Some(authority) = call.parts.headers.get(header::HOST) {
        headers.insert(header::HOST, authority.clone());
    }
    let time_left = call.deadline().saturating_sub(host.now());
    let version = host.configuration()?.version;
    headers.insert(ATTEMPTS_LEFT, HeaderValue::from(attempts_left));
    headers.insert(TIME_LEFT, HeaderValue::from(millis(time_left)));
    headers.insert(CONFIGURATION, HeaderValue::from(version));
    Some(request)
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the call that another host hands over, or why it is not taken.
fn decode<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    parts: &request::Parts,
    body: Bytes,
) -> Result<Call, NotTaken> {
    if host.is_stopping() {
        return Err(NotTaken::Stopping);
    }
    let configuration = host.configuration().ok_or(NotTaken::NoConfiguration)?;
    let (Some(attempts_left), Some(time_left_ms), Some(version)) = (
        header_number(&parts.headers, &ATTEMPTS_LEFT),
        header_number(&parts.headers, &TIME_LEFT),
        header_number(&parts.headers, &CONFIGURATION),
    ) else {
        return Err(NotTaken::Unreadable);
    };
    // A call must not be handled by an older configuration than its first host had.
    if configuration.version < version {
        return Err(NotTaken::OlderConfiguration);
    }
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let mut parts = parts.clone();
    parts.uri = path
        .strip_prefix(CALL_PATH)
        .and_then(|path| path.parse::<Uri>().ok())
        .ok_or(NotTaken::Unreadable)?;
    for name in [&ATTEMPTS_LEFT, &TIME_LEFT, &CONFIGURATION] {
        parts.headers.remove(name);
    }
    let authority = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let route = configuration
        .route(authority, parts.uri.path())
        .filter(|route| route.kind != RouteKind::Batch)
        .ok_or(NotTaken::NoRoute)?;
    let caller =
        authentication::authenticate(host, &configuration, &parts.headers, route.is_public)?;
    let attempts_left = u32::try_from(attempts_left).unwrap_or(u32::MAX);
    let route = Route {
        max_attempts: route.max_attempts.min(attempts_left),
        ..Route::clone(route)
    };
    let mut head = W::client_head(&parts);
    head.client_timeout = Some(Duration::from_millis(time_left_ms));
    let mut call = Call::new(parts, body, Arc::new(route), head, host.now()).of(caller);
    let service = call
        .route
        .service(call.split_point())
        .ok_or(NotTaken::NoRoute)?;
    if host.reach.borrow().is_lost(service) {
        return Err(NotTaken::OutOfReach);
    }
    call.taken = Some(TakenCall::new(&host.taken_count).ok_or(NotTaken::TooMany)?);
    Ok(call)
}

/// Answers a call that another host hands over, or a question whether this host reaches a
/// service; or returns `None` if the request is neither.
pub async fn answer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    parts: &request::Parts,
    body: &Bytes,
) -> Option<Reply> {
    let path = parts.uri.path();
    if let Some(service) = path.strip_prefix(REACH_PATH) {
        let service: ServiceName = service.into();
        let is_reached = !host.is_stopping() && reach::is_reachable(host, &service).await;
        return Some(match is_reached {
            true => reply(StatusCode::OK, Bytes::new()),
            false => refusal(RETRY_AFTER),
        });
    }
    if !path.starts_with(CALL_PATH) {
        return None;
    }
    let call = match decode(host, parts, body.clone()) {
        Ok(call) => call,
        Err(error) => {
            let reason: &str = error.into();
            tracing::info!(event = "call.not_taken", reason, path);
            return Some(refusal(RETRY_AFTER));
        }
    };
    host.metrics.count(CALLS_TAKEN, 1);
    let answer = host.answer_in_time(calls::forward(host, &call)).await;
    let mut reply = answer.unwrap_or_else(|| {
        tracing::info!(event = "request.cut", id = call.id(), reason = "stopping");
        reply(StatusCode::GATEWAY_TIMEOUT, Bytes::new())
    });
    let is_unserved = reply.status() == StatusCode::SERVICE_UNAVAILABLE
        && !reply.headers().contains_key(&ANSWERED_BY);
    let service = call.route.service(call.split_point());
    // Another host may reach what this one turned out not to.
    if is_unserved && service.is_some_and(|service| host.reach.borrow().is_suspected(service)) {
        return Some(reply);
    }
    reply
        .headers_mut()
        .insert(TAKEN, HeaderValue::from_static("1"));
    Some(reply)
}

/// Names the upstream that answered a call that another host handed over.
pub fn name_upstream(reply: &mut Reply, upstream: &str) {
    if let Ok(upstream) = HeaderValue::from_str(upstream) {
        reply.headers_mut().insert(ANSWERED_BY, upstream);
    }
}

/// Asks the host at `peer` whether it reaches upstreams of `service`.
async fn is_reached_at<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    service: &ServiceName,
    peer: SocketAddr,
) -> Option<bool> {
    let request = Request::get(format!("{REACH_PATH}{service}"))
        .header(header::HOST, peer.to_string())
        .body(Full::default())
        .ok()?;
    let target = Target {
        address: peer,
        protocol: Protocol::Http1,
    };
    let (connection, answer) = host.pool.send(target, request).await.ok()?;
    let is_reached = answer.status().is_success();
    if answer.into_body().collect().await.is_ok() {
        connection.release();
    }
    Some(is_reached)
}

/// Asks the other hosts whether they reach `service`, and asks no calls of those that do
/// not. Returns whether one does.
pub async fn survey_peers<S: RowStore, W: Wire>(
    host: Rc<Host<S, W>>,
    service: ServiceName,
) -> bool {
    let (host, service) = (&host, &service);
    let asked = host.store.peers().into_iter().map(|peer| async move {
        let answer = timeout(REACH_TIMEOUT, is_reached_at(host, service, peer)).await;
        let is_reached = answer.is_ok_and(|answer| answer == Some(true));
        if !is_reached {
            let now = host.now();
            host.reach.borrow_mut().pause_peer(peer, service, now);
        }
        is_reached
    });
    let answers = join_all(asked).await;
    answers.contains(&true)
}
