//! How long a host that reaches no engine leaves a free lease to others.

use std::time::Duration;

use crate::clock::Timestamp;

/// How long such a host leaves a free lease to others. After that, most probably the
/// engines are down for all.
const MAX_TIME: Duration = Duration::from_millis(4_000);

/// The longest pause between two looks at a lease that stays free. After a longer one, it
/// was held in between.
const MAX_GAP: Duration = Duration::from_millis(1_000);

/// Since when a host leaves a free lease to others, and when it did so last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deference {
    period: Option<(Timestamp, Timestamp)>,
}

impl Deference {
    /// Records that the host could claim the lease and reaches no engine, and returns
    /// whether it must leave the lease to others.
    pub fn must_wait(&mut self, now: Timestamp) -> bool {
        let since = self
            .period
            .filter(|(_, last_at)| now.saturating_sub(*last_at) <= MAX_GAP)
            .map_or(now, |(since, _)| since);
        self.period = Some((since, now));
        let is_waiting = now.saturating_sub(since) < MAX_TIME;
        if !is_waiting {
            self.period = None;
        }
        is_waiting
    }

    /// Records that the host reaches the engines.
    pub const fn end(&mut self) {
        self.period = None;
    }
}
