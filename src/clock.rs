//! The time that controllers see.
//!
//! Controllers read no clock; they are handed a [`Timestamp`], so that tests and
//! replays run them in virtual time (see docs/ARCHITECTURE.md).

use std::time::{Duration, Instant};

/// Time since the start of the process, or of the recorded trace.
pub type Timestamp = Duration;

/// Reads the time for the code that does I/O.
///
/// # Examples
///
/// ```
/// let clock = mimosavane::clock::Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose origin is this moment.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the monotonic time since the origin.
    pub fn now(&self) -> Timestamp {
        self.origin.elapsed()
    }
}

/// Returns `duration` in whole milliseconds, for messages and records.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
