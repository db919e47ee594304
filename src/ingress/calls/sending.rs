//! Sends requests of all kinds to upstreams, and records what their answers say of the
//! upstreams themselves.

use std::rc::Rc;

use http::{Response, response};
use hyper::body::Incoming;

use crate::{
    connection::{
        CONNECT_FAILURES, Connection, EXPIRED, Protocol, SendFailure, Target, UpstreamRequest,
    },
    ingress::{
        directory::Upstream,
        host::Host,
        permits, reach, starts,
        wire::{AnswerHead, StatedLimit, Wire},
    },
    observe::telemetry::UPSTREAMS_LIMITED,
    store::rows::RowStore,
};

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
    let sent = host.pool.send_while(target(upstream), request, is_allowed);
    record_sent(host, upstream, sent.await)
}

/// Sends `request` like [`send_while`] to the listed start of `upstream`, and to no other one.
///
/// # Errors
///
/// Fails like [`send_while`], and as not run where another start is registered.
pub async fn send_to_start<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    request: UpstreamRequest,
    is_allowed: impl Fn() -> bool,
) -> Result<Answer, SendFailure> {
    let check = async || {
        starts::check(host, upstream).await?;
        is_allowed().then_some(()).ok_or(EXPIRED)
    };
    let sent = host.pool.send_checked(target(upstream), request, check);
    record_sent(host, upstream, sent.await)
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
    } else if stated == StatedLimit::None && permits::issues_by_earlier_start(host, upstream) {
        permits::report(host, upstream, None);
    }
}
