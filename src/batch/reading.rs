//! What a run's answer means, event by event.

use crate::{
    batch::{job::EventNumber, scheduler::RunEnd},
    ids::WeightVersion,
};

/// How far an answer has been read.
///
/// # Examples
///
/// ```
/// use mimosavane::batch::{reading::Reading, scheduler::RunEnd};
///
/// let mut reading = Reading::new(0, Some(7));
/// assert_eq!(reading.event(1, None), Some(7));
/// assert_eq!(reading.end(true), RunEnd::Completed);
/// assert_eq!(reading.end(false), RunEnd::Broken);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    last_event: EventNumber,
    version: Option<WeightVersion>,
}

impl Reading {
    /// Starts behind `last_event`, under the version that the head names.
    ///
    /// A resumed run that has nothing left to make names none.
    pub const fn new(last_event: EventNumber, version: Option<WeightVersion>) -> Self {
        Self {
            last_event,
            version,
        }
    }

    /// Takes in an event that may change the version, and returns the version
    /// that made it; none where nothing says which one did.
    pub fn event(
        &mut self,
        number: EventNumber,
        version: Option<WeightVersion>,
    ) -> Option<WeightVersion> {
        self.version = version.or(self.version);
        self.last_event = number;
        self.version
    }

    /// Returns how the run ended once the answer did; `is_whole` says whether its
    /// framing shows that nothing is missing.
    pub const fn end(&self, is_whole: bool) -> RunEnd {
        if is_whole && self.last_event > 0 {
            RunEnd::Completed
        } else {
            RunEnd::Broken
        }
    }
}
