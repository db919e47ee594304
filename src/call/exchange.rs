//! One exchange with an upstream: the request once, and the answer or why not.

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
        gate::Pass,
        payload::Payload,
        problem::OUTCOME_HEADER,
        relay::{Exchange, Relay},
        terms::{self, ATTEMPT_HEADER, DEADLINE_HEADER, Terms},
    },
    connection::{Connection, Pool, Protocol, SendError, Target, UpstreamRequest},
    ids::AttemptId,
};

/// The longest answer that is read whole before the caller sees its head, so
/// that a cut one can still be told as such.
const MAX_COLLECTED_BYTES: u64 = 64 * 1024;

/// The value of the outcome header with which an upstream refuses.
const NOT_RUN: &str = "not-run";

/// What is sent and how.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// The caller's request.
    pub request: &'a Request<Bytes>,
    /// What it says about how it may be served.
    pub terms: &'a Terms,
    /// The version of HTTP that the upstream speaks.
    pub protocol: Protocol,
    /// The connections to upstreams.
    pub connections: &'a Pool,
    /// How long the exchange may make no progress.
    pub silence_timeout: Duration,
    /// The longest answer that is read whole when it must be.
    pub max_body_bytes: usize,
    /// Whether the answer must be read whole before the caller sees any of it.
    pub whole: bool,
}

/// Sends the request once with the right that `pass` gives.
///
/// # Errors
///
/// Fails with the outcome where there is no answer to show.
pub async fn send(sending: Sending<'_>, pass: Pass) -> Result<Response<Payload>, Outcome> {
    let target = Target {
        address: pass.address(),
        protocol: sending.protocol,
    };
    let mut exchange = Exchange::new(
        pass,
        sending.connections.clone(),
        target,
        sending.terms.deadline,
        sending.silence_timeout,
    );
    let attempt: AttemptId = rand::random();
    let head = match head(sending, &mut exchange, attempt).await {
        Ok(head) => head,
        Err(event) => return Err(failed(&mut exchange, event)),
    };
    exchange.progress();
    exchange.attempt.apply(Event::Head);
    if let Some(event) = objection(&head, attempt) {
        return Err(failed(&mut exchange, event));
    }
    deliver(sending, head, exchange).await
}

/// Opens or reuses a connection and returns the head of the answer.
async fn head(
    sending: Sending<'_>,
    exchange: &mut Exchange,
    attempt: AttemptId,
) -> Result<Response<Incoming>, Event> {
    let mut connection = checkout(exchange, false).await?;
    loop {
        let was_reused = connection.is_reused();
        let request = request(sending, exchange, attempt);
        exchange.attempt.apply(Event::Handed);
        let sent = until_expired(exchange, connection.send(request)).await;
        match sent {
            Ok(Ok(head)) => {
                exchange.connection = Some(connection);
                return Ok(head);
            }
            // A kept connection that was closed meanwhile is no fault of the
            // upstream, and nothing was written to it.
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

/// Waits for `work`, or for the reason to give the exchange up.
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

/// Makes the request for the upstream, with the time that is left.
fn request(sending: Sending<'_>, exchange: &Exchange, attempt: AttemptId) -> UpstreamRequest {
    let address = exchange.target.address;
    let path = sending
        .request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri = match sending.protocol {
        Protocol::Http1 => path.to_owned(),
        Protocol::Http2 => format!("http://{address}{path}"),
    };
    let mut request = Request::new(Full::new(sending.request.body().clone()));
    *request.method_mut() = sending.request.method().clone();
    if let Ok(uri) = uri.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    *headers = terms::forwarded(sending.request.headers());
    let remaining = exchange.remaining();
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
    if let Ok(value) = HeaderValue::from_str(&format!("{attempt:032x}")) {
        headers.insert(ATTEMPT_HEADER, value);
    }
    if sending.protocol == Protocol::Http1
        && let Ok(value) = HeaderValue::from_str(&address.to_string())
    {
        headers.insert(header::HOST, value);
    }
    request
}

/// Says why an answer must not be shown, if so.
fn objection(head: &Response<Incoming>, attempt: AttemptId) -> Option<Event> {
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

/// Says whether the upstream's answer means that it did not run the request.
fn is_refusal(head: &Response<Incoming>) -> bool {
    head.status() == StatusCode::SERVICE_UNAVAILABLE
        && head
            .headers()
            .get(OUTCOME_HEADER)
            .is_some_and(|value| value == NOT_RUN)
}

/// Says whether the end of the answer can be told from a lost connection.
fn is_delimited(head: &Response<Incoming>) -> bool {
    head.version() >= Version::HTTP_2
        || head.body().size_hint().exact().is_some()
        || head.headers().contains_key(header::TRANSFER_ENCODING)
}

async fn deliver(
    sending: Sending<'_>,
    head: Response<Incoming>,
    exchange: Exchange,
) -> Result<Response<Payload>, Outcome> {
    let (mut parts, body) = head.into_parts();
    let length = body.size_hint().exact();
    parts.headers = terms::forwarded(&parts.headers);
    parts.headers.remove(ATTEMPT_HEADER);
    parts.headers.insert(
        OUTCOME_HEADER,
        HeaderValue::from_static(Outcome::Answered.name()),
    );
    parts.version = Version::HTTP_11;
    let relay = Relay::new(body, exchange);
    let is_short = length.is_some_and(|bytes| bytes <= MAX_COLLECTED_BYTES);
    if !sending.whole && !is_short {
        return Ok(Response::from_parts(
            parts,
            Payload::Streamed(Box::new(relay)),
        ));
    }
    let max_bytes = sending.max_body_bytes.max(MAX_COLLECTED_BYTES as usize);
    let body = relay
        .collect_whole(max_bytes)
        .await
        .map_err(|cut| Outcome::Unknown(cut.reason))?;
    Ok(Response::from_parts(parts, Payload::Whole(Full::new(body))))
}

fn failed(exchange: &mut Exchange, event: Event) -> Outcome {
    exchange
        .fail(event)
        .unwrap_or(Outcome::Unknown(Reason::ConnectionLost))
}
