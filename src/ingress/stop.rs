//! The schedule of a planned stop (see docs/design/planned-stops.md).

use std::time::Duration;

use crate::clock::Timestamp;

/// The fraction of the stop grace during which new connections are accepted.
const ACCEPTING_RATIO: f64 = 0.45;

/// The fraction of the stop grace after which the process exits even if connections are open.
const EXIT_RATIO: f64 = 0.9;

/// The moments of a planned stop, on the clock of the host that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// When the listener and the idle connections close.
    pub close_at: Timestamp,
    /// When the process exits even if connections are open.
    pub exit_at: Timestamp,
}

impl StopSchedule {
    /// Returns the schedule of a stop that was asked for at `asked_at`, and whose process the
    /// platform kills after `grace`.
    pub fn new(asked_at: Timestamp, grace: Duration) -> Self {
        let after = |ratio: f64| asked_at + grace.mul_f64(ratio);
        Self {
            close_at: after(ACCEPTING_RATIO),
            exit_at: after(EXIT_RATIO),
        }
    }
}
