//! Decides whether a coordinator may start runs and reward calls.

use std::time::Duration;

use crate::clock::Timestamp;

/// How long a coordinator continues to start runs after its lease expired; later,
/// another host may run the same items.
const START_GRACE: Duration = Duration::from_millis(600);

/// The same while no host reaches the store, so that none can take over. Longer
/// outages are rare, and the permit must end at some time.
const OUTAGE_START_GRACE: Duration = Duration::from_secs(10);

/// How old the last sign of an outage may be. A host that was suspended must see the
/// outage again before it starts anything.
const OUTAGE_SIGN_TTL: Duration = Duration::from_millis(1_500);

/// What is known of the right to start runs, which needs no lease in itself: two
/// coordinators that run the same item waste work, and list it once.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartPermit {
    held_at: Timestamp,
    outage_seen_at: Option<Timestamp>,
}

impl StartPermit {
    /// Records that the lease was held at `now`.
    pub const fn record_held(&mut self, now: Timestamp) {
        self.held_at = now;
        self.outage_seen_at = None;
    }

    /// Records the result of a call about the lease: whether the store answered and,
    /// if it did not, whether another host confirmed that it is out of reach there too.
    pub const fn record_call(&mut self, is_answered: bool, is_outage: bool, now: Timestamp) {
        if is_answered {
            self.outage_seen_at = None;
        } else if is_outage {
            self.outage_seen_at = Some(now);
        }
    }

    /// Returns whether runs may start at `now`.
    pub fn allows(&self, now: Timestamp) -> bool {
        let is_outage = self
            .outage_seen_at
            .is_some_and(|seen_at| now.saturating_sub(seen_at) < OUTAGE_SIGN_TTL);
        let grace = match is_outage {
            true => OUTAGE_START_GRACE,
            false => START_GRACE,
        };
        now.saturating_sub(self.held_at) < grace
    }
}
