//! The clock of a host, and the timestamps that controllers work with.
//!
//! Controllers never read a clock; a [`Timestamp`] is passed to them, so that
//! tests and replays can run them in virtual time (see docs/ARCHITECTURE.md).

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the start of the process, or of the recorded trace.
pub type Timestamp = Duration;

/// A monotonic clock for the code that does I/O.
///
/// Unlike `CLOCK_MONOTONIC`, it advances while the machine is suspended, so that
/// a host that resumes can tell how old its state is.
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
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Timestamp {
        boot_time().saturating_sub(self.origin)
    }
}

/// Returns the time since the machine booted, including time in suspension.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        // Linux has this clock since 2.6.39, and reading it cannot fail.
        .map_or(Duration::ZERO, Duration::from)
}

/// Returns `duration` in whole milliseconds, for messages and records.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
