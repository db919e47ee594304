//! One exchange with an upstream: sends the request once and receives the
//! response or the reason for its absence.

use std::{
    future::{Future, poll_fn},
    pin::pin,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};

use crate::{
    call::{
        attempt::{Event, Outcome, Reason},
        gate::Permit,
        payload::Payload,
        problem::OUTCOME_HEADER,
        relay::{Exchange, Relay},
        terms::{self, ATTEMPT_HEADER, DEADLINE_HEADER, Terms},
    },
    connection::{Connection, Pool, Protocol, SendError, Target, UpstreamRequest},
    ids::AttemptId,
};

/// The largest response with a known length that is buffered before its head is
/// sent to the caller, so that a truncated one can still be reported.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// The value of the outcome header by which an upstream refuses a request.
const NOT_RUN: &str = "not-run";

/// The parameters of [`send`].
#[derive(Clone, Copy, Debug)]
pub struct SendParams<'a> {
    /// The caller's request.
    pub request: &'a Request<Bytes>,
    /// The request's deadline, key and idempotency.
    pub terms: &'a Terms,
    /// The HTTP version of the upstream.
    pub protocol: Protocol,
    /// The connections to upstreams.
    pub connections: &'a Pool,
    /// How long the exchange may go without progress.
    pub silence_timeout: Duration,
    /// The largest response that may be buffered.
    pub max_body_bytes: usize,
    /// Whether the whole response must be buffered before any of it is sent to
    /// the caller.
    pub buffer_response: bool,
}

/// Sends the request once to the upstream of `permit`.
///
/// # Errors
///
/// Fails with the outcome if there is no valid response.
pub async fn send(params: SendParams<'_>, permit: Permit) -> Result<Response<Payload>, Outcome> {
    let target = Target {
        address: permit.address(),
        protocol: params.protocol,
    };
    let mut exchange = Exchange::new(
        permit,
        params.connections.clone(),
        target,
        params.terms.deadline,
        params.silence_timeout,
    );
    let attempt: AttemptId = rand::random();
    let head = match receive_head(params, &mut exchange, attempt).await {
        Ok(head) => head,
        Err(event) => return Err(fail_exchange(&mut exchange, event)),
    };
    exchange.record_progress();
    exchange.attempt.apply(Event::ResponseHead);
    if let Some(event) = check_head(&head, attempt) {
        return Err(fail_exchange(&mut exchange, event));
    }
    deliver_response(params, head, exchange).await
}

/// Sends the request on a kept or new connection and returns the head of the
/// response.
async fn receive_head(
    params: SendParams<'_>,
    exchange: &mut Exchange,
    attempt: AttemptId,
) -> Result<Response<Incoming>, Event> {
    let mut connection = checkout(exchange, false).await?;
    loop {
        let was_reused = connection.is_reused();
        // The process may have been paused while the connection was opened.
        if exchange.remaining().is_zero() {
            return Err(Event::Failure(Reason::DeadlinePassed));
        }
        let request = upstream_request(params, exchange, attempt);
        exchange.attempt.apply(Event::SendStarted);
        let sent = until_expired(exchange, connection.send(request)).await;
        match sent {
            Ok(Ok(head)) => {
                exchange.connection = Some(connection);
                return Ok(head);
            }
            // An idle connection that was closed in the meantime is not a failure
            // of the upstream. Nothing was written to it, so a new one is tried.
            Ok(Err(SendError::HandedBack(_))) if was_reused => {
                exchange.attempt.apply(Event::HandedBack);
                connection = checkout(exchange, true).await?;
            }
            Ok(Err(SendError::HandedBack(_))) => {
                exchange.attempt.apply(Event::HandedBack);
                return Err(Event::Failure(Reason::ClosedBeforeSend));
            }
            Ok(Err(SendError::Refused(_))) => return Err(Event::Refusal),
            Ok(Err(SendError::Lost(_))) => return Err(Event::Failure(Reason::ConnectionLost)),
            Ok(Err(SendError::Flooded)) => return Err(Event::Failure(Reason::AnswerTooLarge)),
            Err(reason) => return Err(Event::Failure(reason)),
        }
    }
}

async fn checkout(exchange: &mut Exchange, fresh: bool) -> Result<Connection, Event> {
    let connections = exchange.connections.clone();
    let target = exchange.target;
    let opening = async move {
        if fresh {
            connections.open(target).await
        } else {
            connections.checkout(target).await
        }
    };
    match until_expired(exchange, opening).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) => Err(Event::Failure(Reason::ConnectFailed)),
        Err(reason) => Err(Event::Failure(reason)),
    }
}

/// Waits for `work`, or returns the reason to abandon the exchange.
async fn until_expired<T>(
    exchange: &mut Exchange,
    work: impl Future<Output = T>,
) -> Result<T, Reason> {
    let mut work = pin!(work);
    poll_fn(|cx| match work.as_mut().poll(cx) {
        Poll::Ready(done) => Poll::Ready(Ok(done)),
        Poll::Pending => exchange.poll_expired(cx).map(Err),
    })
    .await
}

/// Builds the request to the upstream, with the remaining time as its deadline.
fn upstream_request(
    params: SendParams<'_>,
    exchange: &Exchange,
    attempt: AttemptId,
) -> UpstreamRequest {
    let address = exchange.target.address;
    let path = params
        .request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri = match params.protocol {
        Protocol::Http1 => path.to_owned(),
        Protocol::Http2 => format!("http://{address}{path}"),
    };
    let mut request = Request::new(Full::new(params.request.body().clone()));
    *request.method_mut() = params.request.method().clone();
    if let Ok(uri) = uri.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    *headers = terms::forwarded_headers(params.request.headers());
    let remaining = exchange.remaining();
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
    if let Ok(value) = HeaderValue::from_str(&format!("{attempt:032x}")) {
        headers.insert(ATTEMPT_HEADER, value);
    }
    if params.protocol == Protocol::Http1
        && let Ok(value) = HeaderValue::from_str(&address.to_string())
    {
        headers.insert(header::HOST, value);
    }
    request
}

/// Returns the event that a refusal or an invalid response head leads to.
fn check_head(head: &Response<Incoming>, attempt: AttemptId) -> Option<Event> {
    if let Some(named) = head.headers().get(ATTEMPT_HEADER)
        && named.as_bytes() != format!("{attempt:032x}").as_bytes()
    {
        return Some(Event::Failure(Reason::AnswerMismatched));
    }
    if is_refusal(head) {
        return Some(Event::Refusal);
    }
    if !is_delimited(head) {
        return Some(Event::Failure(Reason::AnswerUndelimited));
    }
    None
}

/// Returns whether the response states that the upstream did not run the request.
fn is_refusal(head: &Response<Incoming>) -> bool {
    head.status() == StatusCode::SERVICE_UNAVAILABLE
        && head
            .headers()
            .get(OUTCOME_HEADER)
            .is_some_and(|value| value == NOT_RUN)
}

/// Returns whether the end of the response can be distinguished from a lost
/// connection.
fn is_delimited(head: &Response<Incoming>) -> bool {
    head.version() >= Version::HTTP_2
        || head.body().size_hint().exact().is_some()
        || head.headers().contains_key(header::TRANSFER_ENCODING)
}

async fn deliver_response(
    params: SendParams<'_>,
    head: Response<Incoming>,
    exchange: Exchange,
) -> Result<Response<Payload>, Outcome> {
    let (mut parts, body) = head.into_parts();
    let length = body.size_hint().exact();
    parts.headers = terms::forwarded_headers(&parts.headers);
    parts.headers.remove(ATTEMPT_HEADER);
    parts.headers.insert(
        OUTCOME_HEADER,
        HeaderValue::from_static(Outcome::Answered.name()),
    );
    parts.version = Version::HTTP_11;
    let relay = Relay::new(body, exchange);
    let is_short = length.is_some_and(|bytes| bytes <= MAX_BUFFERED_BYTES);
    if !params.buffer_response && !is_short {
        return Ok(Response::from_parts(
            parts,
            Payload::Streamed(Box::new(relay)),
        ));
    }
    let max_bytes = params.max_body_bytes.max(MAX_BUFFERED_BYTES as usize);
    let body = relay
        .collect(max_bytes)
        .await
        .map_err(|error| Outcome::Unknown(error.reason))?;
    Ok(Response::from_parts(parts, Payload::Whole(Full::new(body))))
}

fn fail_exchange(exchange: &mut Exchange, event: Event) -> Outcome {
    exchange
        .fail(event)
        .unwrap_or(Outcome::Unknown(Reason::ConnectionLost))
}
