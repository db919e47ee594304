//! Damping of hosts that flap.
//!
//! Each flap adds to a penalty that decays exponentially, as in route flap
//! damping (RFC 2439); see docs/design/membership.md.

use std::time::Duration;

use crate::clock::Timestamp;

/// The penalty for the return of a host that was considered dead.
pub const RETURN_PENALTY: f64 = 1.0;
/// The penalty for a raised incarnation of a host that was not considered dead.
pub const REFUTE_PENALTY: f64 = 0.25;
/// The penalty at or above which a host is damped.
const SUPPRESS_PENALTY: f64 = 3.0;
/// The penalty at which the damping of a host ends.
const REUSE_PENALTY: f64 = 1.5;
/// The maximum penalty, which bounds the duration of the damping.
const MAX_PENALTY: f64 = 6.0;
/// The half-life of a penalty.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The maximum time for which a host that no longer flaps stays damped: the two
/// half-lives in which the penalty decays from its maximum.
pub const MAX_DAMPED_TIME: Duration = Duration::from_secs(60);

/// The flap penalty of one host.
///
/// # Examples
///
/// ```
/// use mimosavane::host::flap::{Damper, RETURN_PENALTY};
/// use std::time::Duration;
///
/// let mut damper = Damper::default();
/// damper.add(RETURN_PENALTY, Duration::ZERO);
/// assert!(!damper.is_suppressed());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Damper {
    penalty: f64,
    updated_at: Timestamp,
    suppressed: bool,
}

impl Damper {
    /// Adds `penalty` at `now`, and starts damping at the threshold.
    pub fn add(&mut self, penalty: f64, now: Timestamp) {
        self.penalty = (self.penalty_at(now) + penalty).min(MAX_PENALTY);
        self.updated_at = now;
        self.suppressed |= self.penalty >= SUPPRESS_PENALTY;
    }

    /// Returns whether the host is damped.
    pub fn is_suppressed(&self) -> bool {
        self.suppressed
    }

    /// Returns the time at which the damping ends if no penalty is added.
    pub fn release_at(&self) -> Timestamp {
        let half_lives = (self.penalty / REUSE_PENALTY).log2().max(0.0);
        self.updated_at + HALF_LIFE.mul_f64(half_lives)
    }

    /// Ends the damping if the penalty has decayed, and returns whether the host
    /// is not damped.
    pub fn release(&mut self, now: Timestamp) -> bool {
        if self.suppressed && now >= self.release_at() {
            self.suppressed = false;
        }
        !self.suppressed
    }

    /// Returns the decayed penalty at `now`.
    pub fn penalty_at(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.penalty * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
