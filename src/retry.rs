//! Retry budgets, backoff with jitter, and the deadline that a call carries on.
//!
//! A [`Budget`] bounds the retries to a part of the calls, so that an outage
//! cannot multiply the load (see docs/design/overload.md).

use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};

use crate::clock::Timestamp;

/// The retries that may be saved up for a burst.
const MAX_SAVED_RETRY_COUNT: f64 = 20.0;

/// The shortest pause before a retry.
const MIN_BACKOFF: Duration = Duration::from_millis(5);

/// The longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// A token bucket that first attempts fill and retries empty.
///
/// # Examples
///
/// ```
/// let mut budget = mimosavane::retry::Budget::new(0.5);
/// assert!(!budget.try_spend());
/// budget.earn();
/// budget.earn();
/// assert!(budget.try_spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    saved_retry_count: f64,
}

impl Budget {
    /// Makes an empty budget of `ratio` retries a first attempt.
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            saved_retry_count: 0.0,
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved_retry_count = (self.saved_retry_count + self.ratio).min(MAX_SAVED_RETRY_COUNT);
    }

    /// Takes one retry out of the budget, and says whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.saved_retry_count >= 1.0;
        if affordable {
            self.saved_retry_count -= 1.0;
        }
        affordable
    }
}

/// Returns the pauses before the retries of one call, with jitter from `seed`.
pub fn backoff(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(MIN_BACKOFF)
        .with_max_delay(MAX_BACKOFF)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}

/// The moment until which the caller waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// Makes the deadline that is `timeout` after `now`.
    pub fn after(now: Timestamp, timeout: Duration) -> Self {
        Self(now.saturating_add(timeout))
    }

    /// Returns the moment itself.
    pub const fn at(self) -> Timestamp {
        self.0
    }

    /// Returns the time left at `now`, which is what the upstream is told.
    pub fn remaining(self, now: Timestamp) -> Duration {
        self.0.saturating_sub(now)
    }

    /// Says whether the deadline has passed at `now`.
    pub fn is_past(self, now: Timestamp) -> bool {
        now >= self.0
    }
}

/// Returns a pause that doubles with each failure in a row, from `min` up to `max`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::retry::doubled;
///
/// let (min, max) = (Duration::from_millis(100), Duration::from_millis(800));
/// assert_eq!(doubled(min, max, 0), min);
/// assert_eq!(doubled(min, max, 2), Duration::from_millis(400));
/// assert_eq!(doubled(min, max, 60), max);
/// ```
pub fn doubled(min: Duration, max: Duration, failure_count: u32) -> Duration {
    let factor = 1_u32.checked_shl(failure_count).unwrap_or(u32::MAX);
    min.saturating_mul(factor).min(max)
}
