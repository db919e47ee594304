//! Judges from answers and failures whether the table service is up.
//!
//! While it is down, a host tries again at intervals that grow to a cap and are
//! drawn at random, so that its return meets no stampede (see
//! docs/design/store-outages.md).

use std::time::Duration;

use rand::Rng as _;

use crate::{
    clock::Timestamp,
    control::{blackboard::StoreCondition, controller::Rng},
    retry,
};

/// The failures in a row after which the service is held for down.
const DOWN_AFTER_FAILURES: u32 = 3;

/// The smoothed time of an answer from which the service is held for slow.
const SLOW_LATENCY: Duration = Duration::from_millis(250);

/// The part of the smoothed latency that each new answer replaces.
const LATENCY_GAIN_RATIO: f64 = 0.2;

/// The first pause once the service is down.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// The longest pause between two tries.
pub const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Follows the outcomes of requests to the table service.
///
/// # Examples
///
/// ```
/// use mimosavane::{control::blackboard::StoreCondition, store::condition::Tracker};
/// use std::time::Duration;
///
/// let mut tracker = Tracker::default();
/// tracker.answered(Duration::from_millis(3));
/// assert_eq!(tracker.condition(), StoreCondition::Up);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    condition: StoreCondition,
    failures_count: u32,
    latency: Duration,
    next_try_at: Timestamp,
}

impl Tracker {
    /// Returns what is believed of the service.
    pub fn condition(&self) -> StoreCondition {
        self.condition
    }

    /// Takes note of an answer that came after `latency`.
    pub fn answered(&mut self, latency: Duration) {
        let was_known = matches!(self.condition, StoreCondition::Up | StoreCondition::Slow);
        self.latency = if was_known {
            let kept = self.latency.mul_f64(1.0 - LATENCY_GAIN_RATIO);
            kept + latency.mul_f64(LATENCY_GAIN_RATIO)
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

    /// Takes note of a request that failed or stayed unanswered.
    pub fn failed(&mut self, now: Timestamp, rng: &mut Rng) {
        self.failures_count = self.failures_count.saturating_add(1);
        if self.failures_count < DOWN_AFTER_FAILURES {
            return;
        }
        self.condition = StoreCondition::Down;
        self.next_try_at = now + backoff(self.failures_count - DOWN_AFTER_FAILURES, rng);
    }

    /// Says whether a request may be sent now, or how long to wait.
    ///
    /// While the service is down, one request is let through for each pause.
    ///
    /// # Errors
    ///
    /// Returns the time that is left of the pause.
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        if self.condition != StoreCondition::Down {
            return Ok(());
        }
        let left = self.next_try_at.saturating_sub(now);
        if !left.is_zero() {
            return Err(left);
        }
        self.next_try_at = now + MIN_BACKOFF;
        Ok(())
    }
}

/// Draws the pause after `tries_count` failed tries, between half of the
/// exponential bound and the bound itself.
pub fn backoff(tries_count: u32, rng: &mut Rng) -> Duration {
    let bound = retry::doubled(MIN_BACKOFF, MAX_BACKOFF, tries_count);
    bound.mul_f64(rng.random_range(0.5..=1.0))
}
