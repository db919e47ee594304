//! Detection of connections that went silent while the upstream is well.
//!
//! A [`Watch`] asks for a fresh connection when a connection made no progress
//! for a while. The fresh connection decides whether the connection or the
//! upstream is at fault (see docs/design/silent-connections.md).

use std::time::Duration;

use crate::{call::attempt::Reason, clock::Timestamp};

/// What a fresh connection showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It opened, so that the upstream is reachable.
    Reachable,
    /// It did not open in time.
    Unreachable,
}

/// What to do about a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Look again at this moment.
    Wait(Timestamp),
    /// Open a fresh connection to the same upstream.
    CheckFresh,
    /// Give the connection up for this reason.
    Retire(Reason),
}

/// Watches the progress of one call on one connection.
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
/// watch.checked(Check::Reachable);
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
    /// Starts a watch at `now` that takes `timeout` without progress for silence.
    pub const fn new(timeout: Duration, now: Timestamp) -> Self {
        Self {
            timeout,
            last_progress: now,
            check: None,
        }
    }

    /// Notes that bytes arrived; a check made before no longer counts.
    pub const fn progress(&mut self, now: Timestamp) {
        self.last_progress = now;
        self.check = None;
    }

    /// Notes what a fresh connection showed.
    pub const fn checked(&mut self, check: Check) {
        self.check = Some(check);
    }

    /// Returns what to do at `now`.
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

/// Says whether a failure for `reason` counts against the upstream.
///
/// A connection that something in between lost track of says nothing about the
/// upstream, and neither does a caller that left.
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
