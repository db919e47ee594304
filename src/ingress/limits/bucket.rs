//! A token bucket.

use crate::clock::Timestamp;

/// Permits that come in at a rate and of which some can be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    permit_count: f64,
    refilled_at: Timestamp,
}

impl Bucket {
    /// Returns a bucket without permits.
    pub const fn empty(now: Timestamp) -> Self {
        Self::holding(0.0, now)
    }

    /// Returns a bucket with `permit_count` permits.
    pub const fn holding(permit_count: f64, now: Timestamp) -> Self {
        Self {
            permit_count,
            refilled_at: now,
        }
    }

    /// Adds the permits that came in since the last call, up to `max_count` in all.
    pub fn refill(&mut self, rate_per_s: f64, max_count: f64, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.permit_count = (self.permit_count + elapsed_s * rate_per_s).min(max_count);
        self.refilled_at = now;
    }

    /// Takes `count` permits, or none if fewer are left.
    pub fn take(&mut self, count: f64) -> bool {
        let has_enough = self.permit_count >= count;
        if has_enough {
            self.permit_count -= count;
        }
        has_enough
    }

    /// Returns how many permits are missing for `count`.
    pub const fn missing(&self, count: f64) -> f64 {
        (count - self.permit_count).max(0.0)
    }

    /// Returns the number of whole permits.
    pub const fn whole_count(&self) -> usize {
        self.permit_count as usize
    }
}
