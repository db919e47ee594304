//! Retry budgets, backoff with jitter, and call deadlines.
//!
//! A [`Budget`] limits retries to a fraction of the calls, so that an outage
//! cannot multiply the load (see docs/design/overload.md).

use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};

use crate::clock::Timestamp;

/// The largest balance of a budget, which bounds a burst of retries.
const MAX_BALANCE_RETRIES: f64 = 20.0;

/// The shortest delay before a retry.
const MIN_BACKOFF: Duration = Duration::from_millis(5);

/// The longest delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// A token bucket that first attempts fill and retries drain.
///
/// # Examples
///
/// ```
/// let mut budget = mimosavane::retry::Budget::new(0.5);
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    balance: f64,
}

impl Budget {
    /// Creates an empty budget that gains `ratio` retries per first attempt.
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            balance: 0.0,
        }
    }

    /// Adds the share of a first attempt to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE_RETRIES);
    }

    /// Withdraws one retry, and returns whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }
}

/// Returns the delays between the retries of one call, with jitter from `seed`.
pub fn backoff(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(MIN_BACKOFF)
        .with_max_delay(MAX_BACKOFF)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}

/// The time until which the caller waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// Returns the deadline that is `timeout` after `now`.
    pub fn after(now: Timestamp, timeout: Duration) -> Self {
        Self(now.saturating_add(timeout))
    }

    /// Returns the time of the deadline.
    pub const fn at(self) -> Timestamp {
        self.0
    }

    /// Returns the time left at `now`, which is passed on to the upstream.
    pub fn remaining(self, now: Timestamp) -> Duration {
        self.0.saturating_sub(now)
    }

    /// Returns whether the deadline has passed at `now`.
    pub fn is_past(self, now: Timestamp) -> bool {
        now >= self.0
    }
}

/// Returns a delay that doubles with each consecutive failure, from `min` to
/// `max`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::retry::exponential_delay;
///
/// let (min, max) = (Duration::from_millis(100), Duration::from_millis(800));
/// assert_eq!(exponential_delay(min, max, 0), min);
/// assert_eq!(exponential_delay(min, max, 2), Duration::from_millis(400));
/// assert_eq!(exponential_delay(min, max, 60), max);
/// ```
pub fn exponential_delay(min: Duration, max: Duration, failure_count: u32) -> Duration {
    let factor = 1_u32.checked_shl(failure_count).unwrap_or(u32::MAX);
    min.saturating_mul(factor).min(max)
}
