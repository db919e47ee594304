//! What a coordinator knows of the upstreams at one place.

use std::time::Duration;

use super::{LossReason, Presence};
use crate::{clock::Timestamp, retry};

/// How long after its boot time an ordered upstream may be listed.
const BOOT_MARGIN: Duration = Duration::from_secs(2);

/// How long upstreams that left without a notice are waited for: a process that restarts is
/// listed again within this time.
const VANISH_GRACE: Duration = Duration::from_secs(2);

/// How long after a lowering order the upstreams above it may still be listed.
const LOWERING_TIME: Duration = Duration::from_secs(10);

/// How long no upstreams are ordered where some were reclaimed. None are available there for
/// 8 to 11 s.
const RECLAIM_BACKOFF: Duration = Duration::from_secs(8);

/// The back-off after the first refusal at a place; it doubles with each.
const MIN_REFUSAL_BACKOFF: Duration = Duration::from_secs(3);

/// The longest back-off after a refusal.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(30);

/// The state of one place.
#[derive(Clone, Debug, Default)]
pub(super) struct Cell {
    /// The upstreams that were there when the coordinator began.
    pub(super) home_count: usize,
    /// The upstreams that are there or were ordered, less those that were lost.
    pub(super) wanted_count: usize,
    /// The upstreams that take work now.
    pub(super) serving_count: usize,
    /// The most upstreams that took work since the last order.
    seen_count: usize,
    /// The time until which ordered upstreams may still come.
    booting_until: Timestamp,
    /// Since when upstreams are missing that gave no notice.
    short_since: Option<Timestamp>,
    /// The number of the last order that was taken.
    ordered_count: usize,
    lowering_until: Timestamp,
    pub(super) blocked_until: Timestamp,
    refusal_count: u32,
}

impl Cell {
    /// Records the upstreams that are listed before orders may be given.
    pub(super) fn settle(&mut self, presence: Presence) {
        self.serving_count = presence.serving_count;
        let present_count = presence.serving_count + presence.draining_count;
        self.home_count = present_count.max(self.home_count);
        self.wanted_count = presence.serving_count;
        self.seen_count = presence.serving_count;
    }

    /// Ends the time before orders: what left in it is missing.
    pub(super) fn end_settling(&mut self, now: Timestamp) -> usize {
        let lost_count = self.home_count - self.wanted_count;
        if lost_count > 0 {
            self.blocked_until = now + RECLAIM_BACKOFF;
        }
        lost_count
    }

    /// Records the upstreams that are listed, and returns how many are missing and why.
    /// `outstanding_count` is the number of an order whose outcome is not known.
    pub(super) fn observe(
        &mut self,
        presence: Presence,
        outstanding_count: Option<usize>,
        now: Timestamp,
    ) -> Option<(usize, LossReason)> {
        self.serving_count = presence.serving_count;
        self.seen_count = presence.serving_count.max(self.seen_count);
        let is_booting = now < self.booting_until;
        let expected_count = match is_booting {
            true => self.seen_count.min(self.wanted_count),
            false => self.wanted_count,
        }
        .min(outstanding_count.unwrap_or(usize::MAX));
        let missing_count = expected_count.saturating_sub(presence.serving_count);
        if missing_count == 0 {
            self.short_since = None;
            return None;
        }
        let short_since = *self.short_since.get_or_insert(now);
        let was_seen = self.seen_count >= expected_count;
        let noticed_count = missing_count.min(presence.draining_count);
        let (lost_count, reason) = if !was_seen {
            (missing_count, LossReason::NotDelivered)
        } else if noticed_count > 0 {
            (noticed_count, LossReason::Draining)
        } else if now.saturating_sub(short_since) >= VANISH_GRACE {
            (missing_count, LossReason::Vanished)
        } else {
            return None;
        };
        self.wanted_count = self.wanted_count.saturating_sub(lost_count);
        self.seen_count = self
            .seen_count
            .saturating_sub(lost_count)
            .max(self.serving_count);
        self.short_since = None;
        Some((lost_count, reason))
    }

    /// Takes over upstreams that came without an order, and returns how many of them are
    /// more than there ever were.
    pub(super) fn adopt(&mut self, now: Timestamp) -> usize {
        if self.serving_count <= self.wanted_count || now < self.lowering_until {
            return 0;
        }
        self.wanted_count = self.serving_count;
        self.seen_count = self.serving_count;
        // Orders that were thought lost may be filled late.
        let known_count = self.home_count.max(self.ordered_count);
        let new_count = self.serving_count.saturating_sub(known_count);
        if new_count > 0 {
            self.home_count = self.serving_count;
        }
        new_count
    }

    /// Returns whether ordered upstreams have not come yet.
    pub(super) fn is_booting(&self, now: Timestamp) -> bool {
        now < self.booting_until && self.seen_count < self.wanted_count
    }

    /// Records that the platform took an order.
    pub(super) fn record_done(&mut self, count: usize, boot_time: Duration, now: Timestamp) {
        match count > self.wanted_count {
            true => self.booting_until = now + boot_time + BOOT_MARGIN,
            false => self.lowering_until = now + LOWERING_TIME,
        }
        self.seen_count = self.serving_count.min(count);
        self.wanted_count = count;
        self.ordered_count = count;
        self.refusal_count = 0;
    }

    /// Records that no upstreams are available, and returns whether that is new.
    pub(super) fn record_refused(&mut self, is_final: bool, now: Timestamp) -> bool {
        let backoff = match is_final {
            true => MAX_REFUSAL_BACKOFF,
            false => retry::exponential_delay(
                MIN_REFUSAL_BACKOFF,
                MAX_REFUSAL_BACKOFF,
                self.refusal_count,
            ),
        };
        self.blocked_until = self.blocked_until.max(now + backoff);
        self.refusal_count = self.refusal_count.saturating_add(1);
        self.refusal_count == 1
    }

    /// Records that upstreams of the failure domain were lost.
    pub(super) fn record_loss(&mut self, now: Timestamp) {
        self.blocked_until = self.blocked_until.max(now + RECLAIM_BACKOFF);
    }
}
