//! Interprets the answer of an engine to a run, event by event.

use crate::{
    batch::{job::EventNumber, scheduler::RunEnd},
    ids::WeightVersion,
};

/// Tracks how far an answer has been read, and under which weight version.
///
/// # Examples
///
/// ```
/// use mimosavane::batch::{reading::Reading, scheduler::RunEnd};
///
/// let mut reading = Reading::new(0, Some(7));
/// assert_eq!(reading.record_event(1, None), Some(7));
/// assert_eq!(reading.run_end(true), RunEnd::Completed);
/// assert_eq!(reading.run_end(false), RunEnd::Broken);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    last_event: EventNumber,
    version: Option<WeightVersion>,
}

impl Reading {
    /// Starts after `last_event`, under the version in the head of the answer.
    ///
    /// A resumed run that has nothing left to generate states no version.
    pub const fn new(last_event: EventNumber, version: Option<WeightVersion>) -> Self {
        Self {
            last_event,
            version,
        }
    }

    /// Records an event, which may change the version, and returns the version
    /// that generated it, or `None` if no version has been stated yet.
    pub fn record_event(
        &mut self,
        number: EventNumber,
        version: Option<WeightVersion>,
    ) -> Option<WeightVersion> {
        self.version = version.or(self.version);
        self.last_event = number;
        self.version
    }

    /// Returns how the run ended, once the answer has ended. `is_whole` is
    /// whether the answer's framing shows that nothing is missing.
    pub const fn run_end(&self, is_whole: bool) -> RunEnd {
        if is_whole && self.last_event > 0 {
            RunEnd::Completed
        } else {
            RunEnd::Broken
        }
    }
}
