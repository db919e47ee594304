//! Sends requests of all kinds to upstreams, and records what their answers say of the
//! upstreams themselves.

use std::rc::Rc;

use http::{Response, response};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;

use crate::{
    connection::{
        CONNECT_FAILURES, Connection, EXPIRED, Protocol, SendFailure, Target, UpstreamRequest,
    },
    ingress::{
        directory::Upstream,
        host::Host,
        orders::MAX_REPORT_BYTES,
        permits, reach,
        wire::{Addressee, AnswerHead, StatedLimit, Wire},
    },
    observe::telemetry::UPSTREAMS_LIMITED,
    store::rows::RowStore,
};

/// The reason where a request was not sent, because another start of the upstream than the
/// listed one answered.
pub const OTHER_START: &str = "other-start";

/// An answer whose body is not read yet.
#[derive(Debug)]
pub struct Answer {
    /// The connection, to be released once the body is read.
    pub connection: Connection,
    /// The head.
    pub parts: response::Parts,
    /// The fields of the head that the platform defines.
    pub head: AnswerHead,
    /// The body.
    pub body: Incoming,
}

/// Sends `request` to `upstream` once, and returns the answer.
///
/// # Errors
///
/// Fails where no answer arrives; the error states whether the request may have
/// run.
pub async fn send<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    request: UpstreamRequest,
) -> Result<Answer, SendFailure> {
    send_while(host, upstream, request, || true).await
}

/// Sends `request` like [`send`], unless `is_allowed` returns false right before.
///
/// # Errors
///
/// Fails like [`send`], and as not run where the request is not allowed any more.
pub async fn send_while<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    request: UpstreamRequest,
    is_allowed: impl Fn() -> bool,
) -> Result<Answer, SendFailure> {
    let sent = host
        .pool
        .send_while(target(upstream), request, is_allowed)
        .await;
    record_sent(host, upstream, sent)
}

/// Sends `request` like [`send_while`] to the start of `upstream` that is listed, and to no
/// other one.
///
/// An upstream that starts again under its id may have another software version, and is listed
/// some tenths of a second later. It is asked for its start on the connection that the request
/// then uses, once for each connection (see docs/design/software-versions.md).
///
/// # Errors
///
/// Fails like [`send_while`], and as not run where another start answers.
pub async fn send_to_start<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    request: UpstreamRequest,
    is_allowed: impl Fn() -> bool,
) -> Result<Answer, SendFailure> {
    let sent = async {
        let mut connection = confirmed_connection(host, upstream).await?;
        if !is_allowed() {
            connection.release();
            return Err(SendFailure::NotRun(EXPIRED));
        }
        let answer = connection.send(request).await?;
        Ok((connection, answer))
    };
    let sent = sent.await;
    record_sent(host, upstream, sent)
}

/// Returns a connection behind which the listed start of `upstream` runs.
async fn confirmed_connection<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
) -> Result<Connection, SendFailure> {
    let mut connection = host.pool.checkout(target(upstream)).await?;
    loop {
        let was_reused = connection.is_reused();
        if let Some(started_at_ms) = connection.peer_started_at_ms() {
            return match started_at_ms == upstream.started_at_ms {
                true => Ok(connection),
                false => Err(SendFailure::NotRun(OTHER_START)),
            };
        }
        match ask_start(host, upstream, connection).await {
            Ok(asked) => connection = asked,
            Err(StartUnknown::Closed) if was_reused => {
                connection = host.pool.open(target(upstream)).await?;
            }
            Err(StartUnknown::Closed) => return Err(SendFailure::NotRun("closed-before-send")),
            Err(StartUnknown::Denied(reason)) => return Err(SendFailure::NotRun(reason)),
        }
    }
}

/// Why the start of an upstream could not be asked for.
enum StartUnknown {
    /// The connection ended.
    Closed,
    /// No permit is left.
    Denied(&'static str),
}

/// Asks the upstream behind `connection` for its start, and returns the connection with it. One
/// that does not say is taken for the listed one.
async fn ask_start<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    mut connection: Connection,
) -> Result<Connection, StartUnknown> {
    let is_limited = host.view.borrow().limits.get(upstream).is_some();
    if is_limited {
        permits::acquire(host, upstream)
            .await
            .map_err(|denied| StartUnknown::Denied(denied.reason))?;
    }
    let to = Addressee {
        id: &upstream.id,
        address: upstream.address,
    };
    let answer = connection
        .send(W::report_request(to))
        .await
        .map_err(|_| StartUnknown::Closed)?;
    let is_readable = answer.status().is_success();
    let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES);
    let body = body.collect().await.map_err(|_| StartUnknown::Closed)?;
    let report = match is_readable {
        true => W::report(&body.to_bytes()).ok(),
        false => None,
    };
    let stated = report.and_then(|report| report.started_at_ms);
    if stated != Some(upstream.started_at_ms) {
        tracing::info!(
            event = "upstream.start_asked",
            upstream = &*upstream.id,
            started_at_ms = upstream.started_at_ms,
            stated_at_ms = stated,
        );
    }
    connection.set_peer_started_at_ms(stated.unwrap_or(upstream.started_at_ms));
    Ok(connection)
}

const fn target(upstream: &Upstream) -> Target {
    Target {
        address: upstream.address,
        protocol: Protocol::Http1,
    }
}

/// Records what became of a request to `upstream`, and what its answer says of it.
fn record_sent<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    sent: Result<(Connection, Response<Incoming>), SendFailure>,
) -> Result<Answer, SendFailure> {
    match &sent {
        Ok(_) => {
            let now = host.now();
            let mut book = host.reach.borrow_mut();
            book.record_answer(&upstream.service, now);
        }
        Err(failure) if CONNECT_FAILURES.contains(&failure.reason()) => {
            reach::record_failure(host, &upstream.service);
        }
        Err(_) => {}
    }
    let (connection, answer) = sent?;
    let (parts, body) = answer.into_parts();
    let head = W::answer_head(&parts);
    if head.is_misdirected {
        record_misdirected(host, upstream);
    } else {
        if head.is_leaving {
            record_leaving(host, upstream);
        }
        record_limit(host, upstream, head.stated_limit);
    }
    Ok(Answer {
        connection,
        parts,
        head,
        body,
    })
}

/// Records that another upstream answered at the address of `upstream`.
fn record_misdirected<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, upstream: &Upstream) {
    let now = host.now();
    let directory = &mut host.view.borrow_mut().directory;
    if directory.record_misdirected(upstream, now) {
        tracing::info!(
            event = "upstream.misdirected",
            upstream = &*upstream.id,
            service = &*upstream.service,
            address = %upstream.address,
            started_at_ms = upstream.started_at_ms,
        );
    }
}

/// Records that an answer of `upstream` states that it is leaving.
pub fn record_leaving<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, upstream: &Upstream) {
    if host.view.borrow_mut().directory.record_leaving(upstream) {
        tracing::info!(
            event = "upstream.leaving",
            upstream = &*upstream.id,
            service = &*upstream.service,
            address = %upstream.address,
            started_at_ms = upstream.started_at_ms,
            origin = "answer",
        );
        host.view_changed.notify_waiters();
    }
}

/// Records what an answer of `upstream` says of the requests that it takes.
fn record_limit<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    stated: StatedLimit,
) {
    if stated == StatedLimit::Unreadable {
        tracing::warn!(
            event = "upstream.limit_unreadable",
            upstream = &*upstream.id
        );
    }
    let (change, limited_count) = {
        let limits = &mut host.view.borrow_mut().limits;
        (
            limits.record_answer(upstream, stated, host.now()),
            limits.len(),
        )
    };
    if let Some(change) = change {
        host.metrics.gauge(UPSTREAMS_LIMITED, limited_count as u64);
        tracing::info!(
            event = "upstream.limit",
            upstream = &*upstream.id,
            service = &*upstream.service,
            started_at_ms = upstream.started_at_ms,
            limit_per_s = change.rate_per_s,
            previous_per_s = change.previous_per_s,
            origin = "answer",
        );
        permits::report(host, upstream, change.rate_per_s);
    } else if stated == StatedLimit::None && permits::issues_by_report(host, upstream) {
        permits::report(host, upstream, None);
    }
}
