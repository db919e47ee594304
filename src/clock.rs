//! The time that controllers see.
//!
//! Controllers read no clock; they are handed a [`Timestamp`], so that tests and
//! replays run them in virtual time (see docs/ARCHITECTURE.md).

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the start of the process, or of the recorded trace.
pub type Timestamp = Duration;

/// Reads the time for the code that does I/O.
///
/// It goes on while the machine is suspended, unlike the monotonic clock, so that
/// a host that wakes up knows how old its beliefs are.
///
/// # Examples
///
/// ```
/// let clock = mimosavane::clock::Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock whose origin is this moment.
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// Returns the monotonic time since the origin.
    pub fn now(&self) -> Timestamp {
        boot_time().saturating_sub(self.origin)
    }
}

/// Returns the time since the machine was booted, suspensions included.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        // Linux has had this clock since 2.6.39, and reading it cannot fail.
        .map_or(Duration::ZERO, Duration::from)
}

/// Returns `duration` in whole milliseconds, for messages and records.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
