//! How many requests of each account began to run, by windows of true time
//! (see docs/design/usage.md).

mod tally;
mod true_time;

use std::{collections::BTreeMap, time::Duration};

pub use self::{
    tally::{Batch, Tally},
    true_time::TrueTime,
};
use crate::ids::AccountId;

/// The number of a window since the Unix epoch.
pub type WindowNumber = u64;

/// The number of requests of each account.
pub type Counts = BTreeMap<AccountId, u64>;

/// How long after its end a window is reported. A call that began at its end may be answered
/// 2 s later, and hosts save their counts every 2 s at most.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);

/// For how many windows counts and reports are kept.
pub const KEPT_WINDOW_COUNT: u64 = 24;

/// The windows in which requests are counted.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::ingress::usage::Windows;
///
/// let windows = Windows::new(Duration::from_secs(5));
/// assert_eq!(windows.number(Duration::from_secs(12)), 2);
/// assert_eq!(windows.last_settled(Duration::from_secs(18)), Some(1));
/// assert_eq!(windows.last_settled(Duration::from_secs(19)), Some(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Returns windows of `length`, at least a millisecond.
    pub fn new(length: Duration) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
        }
    }

    /// Returns the window that contains `unix_time`.
    pub fn number(&self, unix_time: Duration) -> WindowNumber {
        let number = unix_time.as_nanos() / self.length.as_nanos();
        WindowNumber::try_from(number).unwrap_or(WindowNumber::MAX)
    }

    /// Returns the last window whose counts are all saved at `unix_time`, or `None` if
    /// there is none.
    pub fn last_settled(&self, unix_time: Duration) -> Option<WindowNumber> {
        self.number(unix_time.checked_sub(SETTLE_TIME)?)
            .checked_sub(1)
    }
}

/// Adds `counts` to `sum`.
pub fn add_counts(sum: &mut Counts, counts: &Counts) {
    for (account, count) in counts {
        *sum.entry(account.clone()).or_default() += count;
    }
}

/// Returns how many requests `counts` has in all.
pub fn total(counts: &Counts) -> u64 {
    counts.values().sum()
}
