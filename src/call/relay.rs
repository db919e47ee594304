//! Forwarding of a response body from an upstream to the caller.
//!
//! A [`Relay`] ends with an error unless the response is complete. The server
//! then aborts the caller's connection, so that a truncated response never looks
//! complete (see docs/design/calls.md).

use std::{
    future::Future,
    pin::{Pin, pin},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    task::JoinHandle,
    time::{Instant, Sleep, sleep},
};

use crate::{
    call::{
        admission::CallEnd,
        attempt::{Attempt, Event, Outcome, Reason},
        gate::Permit,
        progress::{self, Check, Step, Watch},
    },
    clock::Timestamp,
    connection::{Connection, Pool, Target},
    control::decision::{Decision, Kind},
    retry::Deadline,
};

/// The error of a response that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response ended early: {reason}")]
pub struct IncompleteResponse {
    /// The reason.
    pub reason: Reason,
}

/// One exchange with an upstream, from sending the request to the end of the
/// response.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) attempt: Attempt,
    pub(crate) permit: Option<Permit>,
    pub(crate) connection: Option<Connection>,
    pub(crate) connections: Pool,
    pub(crate) target: Target,
    pub(crate) started: Timestamp,
    pub(crate) deadline: Deadline,
    pub(crate) watch: Watch,
    timer: Pin<Box<Sleep>>,
    check: Option<JoinHandle<bool>>,
}

impl Exchange {
    pub(crate) fn new(
        permit: Permit,
        connections: Pool,
        target: Target,
        deadline: Deadline,
        silence_timeout: Duration,
    ) -> Self {
        let started = permit.gate().now();
        Self {
            attempt: Attempt::default(),
            permit: Some(permit),
            connection: None,
            connections,
            target,
            started,
            deadline,
            watch: Watch::new(silence_timeout, started),
            timer: Box::pin(sleep(silence_timeout.min(deadline.remaining(started)))),
            check: None,
        }
    }

    fn now(&self) -> Timestamp {
        self.permit
            .as_ref()
            .map_or(self.started, |permit| permit.gate().now())
    }

    /// Returns the time left until the caller's deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining(self.now())
    }

    /// Records that bytes of the response arrived.
    pub(crate) fn record_progress(&mut self) {
        let now = self.now();
        self.watch.record_progress(now);
    }

    /// Waits until the exchange must be abandoned and returns the reason.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<Reason> {
        loop {
            if let Some(check) = &mut self.check {
                // The deadline still applies while the check is in flight.
                if let Poll::Ready(reachable) = Pin::new(check).poll(cx) {
                    self.check = None;
                    self.watch.record_check(match reachable {
                        Ok(true) => Check::Reachable,
                        Ok(false) | Err(_) => Check::Unreachable,
                    });
                    self.timer.as_mut().reset(Instant::now());
                }
            }
            ready!(self.timer.as_mut().poll(cx));
            let now = self.now();
            if self.deadline.is_past(now) {
                return Poll::Ready(Reason::DeadlinePassed);
            }
            let wake = match self.watch.poll(now) {
                Step::Retire(reason) => return Poll::Ready(reason),
                Step::Wait(at) => at.min(self.deadline.at()),
                Step::CheckFresh => {
                    self.start_check();
                    self.deadline.at()
                }
            };
            let pause = wake.saturating_sub(now) + Duration::from_millis(1);
            self.timer.as_mut().reset(Instant::now() + pause);
        }
    }

    fn start_check(&mut self) {
        if self.check.is_some() {
            return;
        }
        let connections = self.connections.clone();
        let target = self.target;
        self.check = Some(tokio::spawn(async move {
            connections.is_reachable(target).await
        }));
    }

    /// Ends the exchange after a complete response and keeps the connection.
    pub(crate) fn complete(&mut self, latency: Duration) {
        self.attempt.apply(Event::ResponseEnd);
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        if let Some(permit) = self.permit.take() {
            permit.finish(CallEnd::Answered(latency));
        }
    }

    /// Ends the exchange without a complete response and closes the connection.
    pub(crate) fn fail(&mut self, event: Event) -> Option<Outcome> {
        self.attempt.apply(event);
        let outcome = self.attempt.outcome();
        // Dropping it closes an HTTP/1 connection. An HTTP/2 connection is shared
        // with other calls, so only the stream is reset.
        self.connection = None;
        let reason = outcome.and_then(Outcome::reason);
        if matches!(
            reason,
            Some(Reason::ConnectionSilent | Reason::UpstreamSilent)
        ) {
            self.connections.remove_pooled(self.target);
            self.record_retired();
        }
        if let Some(permit) = self.permit.take() {
            permit.finish(reason.map_or(CallEnd::Neutral, call_end));
        }
        outcome
    }
}

impl Exchange {
    fn record_retired(&self) {
        let Some(permit) = &self.permit else {
            return;
        };
        let now = permit.gate().now();
        let mut decision = Decision::new(Kind::Connection, now, "retired-silent");
        if let Some(upstream) = permit.upstream() {
            decision = decision.about(upstream.clone());
        }
        permit.gate().record(decision);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(check) = &self.check {
            check.abort();
        }
        if self.attempt.outcome().is_none() {
            self.fail(Event::Failure(Reason::CallerGone));
        }
    }
}

/// Returns how a failure is reported to admission control.
fn call_end(reason: Reason) -> CallEnd {
    match reason {
        Reason::Refused | Reason::DeadlinePassed => CallEnd::PushedBack,
        reason if progress::counts_against_upstream(reason) => CallEnd::Failed,
        _ => CallEnd::Neutral,
    }
}

/// A response body that is forwarded as it arrives.
#[derive(Debug)]
pub struct Relay {
    body: Incoming,
    exchange: Exchange,
    latency: Duration,
}

impl Relay {
    pub(crate) fn new(body: Incoming, exchange: Exchange) -> Self {
        let latency = exchange.now().saturating_sub(exchange.started);
        Self {
            body,
            exchange,
            latency,
        }
    }

    /// Buffers the whole response.
    ///
    /// # Errors
    ///
    /// Fails if the response is truncated, late, or longer than `max_bytes`.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, IncompleteResponse> {
        let mut buffer = BytesMut::new();
        let mut this = pin!(&mut self);
        while let Some(frame) = this.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > max_bytes {
                return Err(IncompleteResponse {
                    reason: Reason::AnswerTooLarge,
                });
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }

    fn finish(&mut self) {
        if self.exchange.attempt.outcome().is_none() {
            self.exchange.complete(self.latency);
        }
    }

    fn fail(&mut self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        self.exchange.fail(Event::Failure(reason));
        Poll::Ready(Some(Err(IncompleteResponse { reason })))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.exchange.record_progress();
                // A server that knows the length does not poll again after the
                // last frame.
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => self.fail(Reason::AnswerCut),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                let reason = ready!(self.exchange.poll_expired(cx));
                self.fail(reason)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // `poll_frame` reports the end, as it must then return the connection
        // to its pool.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
