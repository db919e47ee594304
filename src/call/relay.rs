//! The body of an answer on its way from an upstream to the caller.
//!
//! A [`Relay`] ends in an error unless the answer is whole, so that the server
//! breaks the caller's connection off and a cut answer never looks whole (see
//! docs/design/calls.md).

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
        admission::End,
        attempt::{Attempt, Event, Outcome, Reason},
        gate::Pass,
        progress::{self, Check, Step, Watch},
    },
    clock::Timestamp,
    connection::{Connection, Pool, Target},
    control::decision::{Decision, Kind},
    retry::Deadline,
};

/// Why the rest of an answer does not follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer ended early: {reason}")]
pub struct Cut {
    /// What happened.
    pub reason: Reason,
}

/// One exchange with an upstream, from the send to the end of the answer.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) attempt: Attempt,
    pub(crate) pass: Option<Pass>,
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
        pass: Pass,
        connections: Pool,
        target: Target,
        deadline: Deadline,
        silence_timeout: Duration,
    ) -> Self {
        let started = pass.gate().now();
        Self {
            attempt: Attempt::default(),
            pass: Some(pass),
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
        self.pass
            .as_ref()
            .map_or(self.started, |pass| pass.gate().now())
    }

    /// Returns the time that the caller still waits.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining(self.now())
    }

    /// Notes that bytes of the answer arrived.
    pub(crate) fn progress(&mut self) {
        let now = self.now();
        self.watch.progress(now);
    }

    /// Waits until the exchange must be given up, and returns why.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<Reason> {
        loop {
            if let Some(check) = &mut self.check {
                // The deadline holds while a fresh connection is tried.
                if let Poll::Ready(reachable) = Pin::new(check).poll(cx) {
                    self.check = None;
                    self.watch.checked(match reachable {
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

    /// Ends the exchange after a whole answer, and keeps the connection.
    pub(crate) fn complete(&mut self, latency: Duration) {
        self.attempt.apply(Event::End);
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        if let Some(pass) = self.pass.take() {
            pass.finish(End::Answered(latency));
        }
    }

    /// Ends the exchange without a whole answer, and closes the connection.
    pub(crate) fn fail(&mut self, event: Event) -> Option<Outcome> {
        self.attempt.apply(event);
        let outcome = self.attempt.outcome();
        // Dropping it closes an HTTP/1 connection, and resets the stream of an
        // HTTP/2 one, which other calls share.
        self.connection = None;
        let reason = outcome.and_then(Outcome::reason);
        if matches!(
            reason,
            Some(Reason::ConnectionSilent | Reason::UpstreamSilent)
        ) {
            self.connections.retire_kept(self.target);
            self.record_retired();
        }
        if let Some(pass) = self.pass.take() {
            pass.finish(reason.map_or(End::Neutral, end));
        }
        outcome
    }
}

impl Exchange {
    fn record_retired(&self) {
        let Some(pass) = &self.pass else {
            return;
        };
        let now = pass.gate().now();
        let mut decision = Decision::new(Kind::Connection, now, "retired-silent");
        if let Some(upstream) = pass.upstream() {
            decision = decision.about(upstream.clone());
        }
        pass.gate().record(decision);
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

/// Says what a failure tells about the upstream.
fn end(reason: Reason) -> End {
    match reason {
        Reason::Refused | Reason::DeadlinePassed => End::PushedBack,
        reason if progress::counts_against_upstream(reason) => End::Failed,
        _ => End::Neutral,
    }
}

/// An answer's body that is passed on as it arrives.
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

    /// Reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails where the answer is cut, late, or longer than `max_bytes`.
    pub async fn collect_whole(mut self, max_bytes: usize) -> Result<Bytes, Cut> {
        let mut whole = BytesMut::new();
        let mut this = pin!(&mut self);
        while let Some(frame) = this.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if whole.len() + data.len() > max_bytes {
                return Err(Cut {
                    reason: Reason::AnswerTooLarge,
                });
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    fn finish(&mut self) {
        if self.exchange.attempt.outcome().is_none() {
            self.exchange.complete(self.latency);
        }
    }

    fn cut(&mut self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.exchange.fail(Event::Failure(reason));
        Poll::Ready(Some(Err(Cut { reason })))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.exchange.progress();
                // Servers that know the length do not ask for the end.
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => self.cut(Reason::AnswerCut),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                let reason = ready!(self.exchange.poll_expired(cx));
                self.cut(reason)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // The end is reported by `poll_frame`, which keeps the connection.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
