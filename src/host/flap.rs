//! Damping of hosts that come and go too often.
//!
//! Each flap adds to a penalty that decays by half-lives, as route flap damping
//! does (RFC 2439); see docs/design/membership.md.

use std::time::Duration;

use crate::clock::Timestamp;

/// The penalty of a return from the dead.
pub const RETURN_PENALTY: f64 = 1.0;
/// The penalty of a raised incarnation of a host that was not held for dead.
pub const REFUTE_PENALTY: f64 = 0.25;
/// The penalty from which a host is damped.
const SUPPRESS_PENALTY: f64 = 3.0;
/// The penalty below which it is trusted again.
const REUSE_PENALTY: f64 = 1.5;
/// The most that is remembered, which bounds the time of damping.
const MAX_PENALTY: f64 = 6.0;
/// The time in which a penalty decays by half.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The longest time that a steady host stays damped.
pub const MAX_DAMPED_TIME: Duration = Duration::from_secs(60);

/// The penalty of one host.
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
    at: Timestamp,
    suppressed: bool,
}

impl Damper {
    /// Adds `penalty` at `now`.
    pub fn add(&mut self, penalty: f64, now: Timestamp) {
        self.penalty = (self.decayed(now) + penalty).min(MAX_PENALTY);
        self.at = now;
        self.suppressed |= self.penalty >= SUPPRESS_PENALTY;
    }

    /// Says whether the host is damped.
    pub fn is_suppressed(&self) -> bool {
        self.suppressed
    }

    /// Returns when the host is trusted again if it stays steady.
    pub fn release_at(&self) -> Timestamp {
        let half_lives = (self.penalty / REUSE_PENALTY).log2().max(0.0);
        self.at + HALF_LIFE.mul_f64(half_lives)
    }

    /// Ends the damping where the penalty has decayed.
    pub fn release(&mut self, now: Timestamp) -> bool {
        if self.suppressed && now >= self.release_at() {
            self.suppressed = false;
        }
        !self.suppressed
    }

    /// Returns the penalty at `now`.
    pub fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.at);
        self.penalty * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
