//! How old a host's knowledge of the newest configuration is.

use std::time::Duration;

use crate::clock::Timestamp;

/// The host does not know whether a key is still in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the configuration was last confirmed {} ms ago", .age.as_millis())]
pub struct StaleConfiguration {
    /// The time since the read was sent that last confirmed the configuration.
    pub age: Duration,
}

/// When the configuration in force was last confirmed to be the newest one.
///
/// Times are of a clock that advances while the machine is suspended. The age counts from
/// when the confirming read was sent: a change that is acknowledged while its answer is on
/// the way may not be in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// Records that a read sent at `sent_at` showed the newest configuration.
    pub fn confirm(&mut self, sent_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns the time since the configuration was confirmed, or since the origin of the
    /// clock if it never was.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Checks that a key which the configuration has may be accepted at `now`, if removed
    /// keys must not be accepted later than `bound` after the acknowledgement.
    ///
    /// # Errors
    ///
    /// Fails where a key may have been removed for longer than `bound`.
    pub fn check(&self, bound: Duration, now: Timestamp) -> Result<(), StaleConfiguration> {
        let age = self.age(now);
        if self.confirmed_at.is_some() && age < bound {
            return Ok(());
        }
        Err(StaleConfiguration { age })
    }
}
