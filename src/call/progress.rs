//! Detection of silent connections to healthy upstreams.
//!
//! When a connection makes no progress for a while, a [`Watch`] requests a check
//! with a new connection. Its result decides whether the connection or the
//! upstream is at fault (see docs/design/silent-connections.md).

use std::time::Duration;

use crate::{call::attempt::Reason, clock::Timestamp};

/// The result of a check with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// The connection opened, so the upstream is reachable.
    Reachable,
    /// The connection did not open in time.
    Unreachable,
}

/// The next action for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Poll again at this time.
    Wait(Timestamp),
    /// Open a new connection to the same upstream.
    CheckFresh,
    /// Retire the connection for this reason.
    Retire(Reason),
}

/// Tracks the progress of one call on one connection.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::call::{attempt::Reason, progress::{Check, Step, Watch}};
///
/// let mut watch = Watch::new(Duration::from_secs(5), Duration::ZERO);
/// assert_eq!(watch.poll(Duration::from_secs(5)), Step::CheckFresh);
/// watch.record_check(Check::Reachable);
/// assert_eq!(
///     watch.poll(Duration::from_secs(5)),
///     Step::Retire(Reason::ConnectionSilent),
/// );
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    timeout: Duration,
    last_progress: Timestamp,
    check: Option<Check>,
}

impl Watch {
    /// Starts a watch at `now`; `timeout` without progress counts as silence.
    pub const fn new(timeout: Duration, now: Timestamp) -> Self {
        Self {
            timeout,
            last_progress: now,
            check: None,
        }
    }

    /// Records that bytes arrived, which invalidates any earlier check.
    pub const fn record_progress(&mut self, now: Timestamp) {
        self.last_progress = now;
        self.check = None;
    }

    /// Records the result of a check.
    pub const fn record_check(&mut self, check: Check) {
        self.check = Some(check);
    }

    /// Returns the next action at `now`.
    pub fn poll(&self, now: Timestamp) -> Step {
        let due = self.last_progress.saturating_add(self.timeout);
        match self.check {
            _ if now < due => Step::Wait(due),
            None => Step::CheckFresh,
            Some(Check::Reachable) => Step::Retire(Reason::ConnectionSilent),
            Some(Check::Unreachable) => Step::Retire(Reason::UpstreamSilent),
        }
    }
}

/// Returns whether a failure for `reason` counts against the upstream.
///
/// A silent connection does not, since a device on the path may have dropped its
/// state. Neither does a caller that disconnected.
pub const fn counts_against_upstream(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::ConnectFailed
            | Reason::ConnectionLost
            | Reason::AnswerCut
            | Reason::AnswerUndelimited
            | Reason::AnswerMismatched
            | Reason::UpstreamSilent
    )
}
