//! The schedule of a planned stop (see docs/design/planned-stops.md).

use std::time::Duration;

use crate::clock::Timestamp;

/// How long the balancer may still send new connections: it asks once a second whether the
/// host is ready, takes it out after two misses, and the last connection is on its way then.
const BALANCER_TIME: Duration = Duration::from_millis(2_400);

/// The largest fraction of a short stop grace that counts as that time, so that the host can
/// end what it took.
const MAX_BALANCER_RATIO: f64 = 0.6;

/// The fraction of the stop grace during which new connections are accepted, if that is longer.
const ACCEPTING_RATIO: f64 = 0.45;

/// The fraction of the stop grace after which the process exits even if connections are open.
const EXIT_RATIO: f64 = 0.95;

/// The time before the exit at which answers must be ready, so that clients get them whole.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The moments of a planned stop, on the clock of the host that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// The end of the time in which calls are passed on whatever their deadline.
    full_service_until: Timestamp,
    /// When the listener and the idle connections close.
    pub close_at: Timestamp,
    /// When the process exits even if connections are open.
    pub exit_at: Timestamp,
}

impl StopSchedule {
    /// Returns the schedule of a stop that was asked for at `asked_at`, and whose process the
    /// platform kills after `grace`.
    pub fn new(asked_at: Timestamp, grace: Duration) -> Self {
        let balancer_time = BALANCER_TIME.min(grace.mul_f64(MAX_BALANCER_RATIO));
        let accepting_time = grace.mul_f64(ACCEPTING_RATIO).max(balancer_time);
        Self {
            full_service_until: asked_at + balancer_time,
            close_at: asked_at + accepting_time,
            exit_at: asked_at + grace.mul_f64(EXIT_RATIO),
        }
    }

    /// Returns the time by which all requests must be answered.
    pub fn answer_by(&self) -> Timestamp {
        self.exit_at.saturating_sub(ANSWER_MARGIN)
    }

    /// Returns whether a call that arrives at `now` and ends at `deadline` at the latest may be
    /// passed on.
    ///
    /// After the balancer has taken the host out, calls come on open connections only. One
    /// that could outlast the host is refused, since another host can serve it to its end.
    pub fn admits(&self, now: Timestamp, deadline: Timestamp) -> bool {
        now < self.full_service_until || deadline <= self.answer_by()
    }
}
