//! Tracks from answers and failures whether the table service is up.
//!
//! While the service is down, a host retries with capped exponential backoff and
//! jitter, so that the hosts do not all retry at once when the service returns
//! (see docs/design/store-outages.md).

use std::time::Duration;

use rand::Rng as _;

use crate::{
    clock::Timestamp,
    control::{blackboard::StoreCondition, controller::Rng},
    retry,
};

/// The number of consecutive failures after which the service counts as down.
const DOWN_AFTER_FAILURES: u32 = 3;

/// The smoothed latency from which the service counts as slow.
const SLOW_LATENCY: Duration = Duration::from_millis(250);

/// The smoothing factor of the exponential moving average of the latency.
const LATENCY_SMOOTHING_RATIO: f64 = 0.2;

/// The upper bound of the first backoff once the service is down.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// The longest backoff between two attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Tracks the condition of the table service from the outcomes of requests.
///
/// # Examples
///
/// ```
/// use mimosavane::{control::blackboard::StoreCondition, store::condition::Tracker};
/// use std::time::Duration;
///
/// let mut tracker = Tracker::default();
/// tracker.record_answer(Duration::from_millis(3));
/// assert_eq!(tracker.condition(), StoreCondition::Up);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    condition: StoreCondition,
    failures_count: u32,
    latency: Duration,
    next_attempt_at: Timestamp,
}

impl Tracker {
    /// Returns the current assessment of the service.
    pub fn condition(&self) -> StoreCondition {
        self.condition
    }

    /// Records an answer that arrived after `latency`.
    pub fn record_answer(&mut self, latency: Duration) {
        let was_known = matches!(self.condition, StoreCondition::Up | StoreCondition::Slow);
        self.latency = if was_known {
            let previous = self.latency.mul_f64(1.0 - LATENCY_SMOOTHING_RATIO);
            previous + latency.mul_f64(LATENCY_SMOOTHING_RATIO)
        } else {
            latency
        };
        self.failures_count = 0;
        self.condition = if self.latency >= SLOW_LATENCY {
            StoreCondition::Slow
        } else {
            StoreCondition::Up
        };
    }

    /// Records a request that failed or was not answered.
    pub fn record_failure(&mut self, now: Timestamp, rng: &mut Rng) {
        self.failures_count = self.failures_count.saturating_add(1);
        if self.failures_count < DOWN_AFTER_FAILURES {
            return;
        }
        self.condition = StoreCondition::Down;
        self.next_attempt_at = now + backoff(self.failures_count - DOWN_AFTER_FAILURES, rng);
    }

    /// Admits a request if it may be sent now.
    ///
    /// While the service is down, one request is admitted per backoff interval.
    ///
    /// # Errors
    ///
    /// Returns the remaining backoff if the request may not be sent yet.
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        if self.condition != StoreCondition::Down {
            return Ok(());
        }
        let remaining = self.next_attempt_at.saturating_sub(now);
        if !remaining.is_zero() {
            return Err(remaining);
        }
        self.next_attempt_at = now + MIN_BACKOFF;
        Ok(())
    }

    /// Withdraws an admitted request that was not sent, so that the next one is
    /// admitted in its place.
    pub const fn cancel_attempt(&mut self, now: Timestamp) {
        self.next_attempt_at = now;
    }
}

/// Returns the backoff after `attempt_count` failed attempts, drawn at random
/// between half of the exponential bound and the bound itself.
pub fn backoff(attempt_count: u32, rng: &mut Rng) -> Duration {
    let bound = retry::exponential_delay(MIN_BACKOFF, MAX_BACKOFF, attempt_count);
    bound.mul_f64(rng.random_range(0.5..=1.0))
}
