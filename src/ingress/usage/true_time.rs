//! True time by a clock whose time of day may be stepped.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Timestamp;

/// How many differences between the clocks are kept. At two a second, a step of the time of
/// day that is taken back within 15 s shifts nothing.
const MAX_SAMPLE_COUNT: usize = 64;

/// Estimates true time from the host's steady clock and its time of day.
///
/// The time of day is close to true time but may be stepped; the steady clock is not. The
/// estimate is the steady clock plus the median of the differences seen.
#[derive(Clone, Debug, Default)]
pub struct TrueTime {
    differences: VecDeque<Duration>,
    median: Duration,
}

impl TrueTime {
    /// Records that the time of day was `unix_time` at `now`.
    pub fn observe(&mut self, now: Timestamp, unix_time: Duration) {
        if self.differences.len() >= MAX_SAMPLE_COUNT {
            self.differences.pop_front();
        }
        self.differences.push_back(unix_time.saturating_sub(now));
        let mut sorted: Vec<Duration> = self.differences.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }

    /// Returns the estimated time since the Unix epoch at `now`, or `None` before the first
    /// observation.
    pub fn unix_time(&self, now: Timestamp) -> Option<Duration> {
        (!self.differences.is_empty()).then(|| self.median + now)
    }
}
