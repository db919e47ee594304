//! The reward calls of one item: from the end of its output to its score.
//!
//! The table of states is in docs/design/rewards.md. This module decides when a
//! call may start and what its end means; it knows nothing of jobs, upstreams
//! or connections.

use std::time::Duration;

use crate::{batch::job::Score, clock::Timestamp, ids::UpstreamId, retry};

/// The number of a reward call, unique within one coordinator.
pub type CallNumber = u64;

/// How long a reward call waits for its item's output to be saved. The output is
/// saved first so that a new coordinator does not generate it again, but while
/// the store is unavailable nothing is gained by waiting for it.
const SAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// The backoff after the first call that got no usable answer; doubles with each
/// further one.
const MIN_BACKOFF: Duration = Duration::from_millis(40);

/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// The limits on the reward calls of an item, from the route of the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RewardLimits {
    /// The number of errors of upstreams after which the item fails.
    pub max_error_count: u32,
    /// The time without an answer after which a second call may start.
    pub hedge_after: Duration,
}

/// How a reward call ended.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RewardEnd {
    /// The upstream answered and signed.
    Scored(Score),
    /// The upstream ran the call and answered with an error.
    Error,
    /// The upstream certainly did not run the call.
    NotRun,
    /// It is unknown whether the upstream ran the call.
    Unknown,
}

/// What follows from the end of a reward call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The item has no score yet.
    Pending,
    /// The item has a score.
    Scored(Score),
    /// Too many calls ended with an error.
    Failed,
}

/// A reward call in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenCall {
    number: CallNumber,
    upstream: UpstreamId,
    started_at: Timestamp,
}

/// The reward calls of an item whose output is whole.
#[derive(Clone, Debug)]
pub struct Scoring {
    whole_at: Timestamp,
    is_saved: bool,
    calls: Vec<OpenCall>,
    error_count: u32,
    /// The number of calls without a usable answer.
    failure_count: u32,
    retry_at: Timestamp,
    /// The limits at the start of the last call.
    limits: Option<RewardLimits>,
}

impl Scoring {
    /// Starts to score an output that became whole at `whole_at`.
    pub const fn new(whole_at: Timestamp) -> Self {
        Self {
            whole_at,
            is_saved: false,
            calls: Vec::new(),
            error_count: 0,
            failure_count: 0,
            retry_at: Duration::ZERO,
            limits: None,
        }
    }

    /// Records that the output is saved.
    pub const fn record_saved(&mut self) {
        self.is_saved = true;
    }

    /// Returns whether the output is saved.
    pub const fn is_saved(&self) -> bool {
        self.is_saved
    }

    /// Returns the number of calls that ended without a usable answer.
    pub const fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Returns the numbers of the calls in progress.
    pub fn calls(&self) -> impl Iterator<Item = CallNumber> + '_ {
        self.calls.iter().map(|call| call.number)
    }

    /// Returns the upstreams of the calls in progress.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.calls.iter().map(|call| &call.upstream)
    }

    /// Returns whether a call may start at `now` without a hedge.
    ///
    /// After the first error, all calls that remain until the item fails run at
    /// once: a call that fails at every upstream would otherwise hold the item's
    /// group for as many calls in a row.
    pub fn may_call(&self, now: Timestamp) -> bool {
        let is_saved = self.is_saved || now.saturating_sub(self.whole_at) >= SAVE_TIMEOUT;
        is_saved && now >= self.retry_at && self.calls.len() < self.max_call_count()
    }

    fn max_call_count(&self) -> usize {
        let max_error_count = self.limits.map_or(1, |limits| limits.max_error_count);
        match self.error_count {
            0 => 1,
            errors => max_error_count.saturating_sub(errors).max(1) as usize,
        }
    }

    /// Returns whether the only call in progress has been without an answer for
    /// so long that a second one may start.
    pub fn may_hedge(&self, now: Timestamp) -> bool {
        let Some(limits) = &self.limits else {
            return false;
        };
        match self.calls.as_slice() {
            [call] => now.saturating_sub(call.started_at) >= limits.hedge_after,
            _ => false,
        }
    }

    /// Records that the call `number` to `upstream` starts.
    pub fn record_start(
        &mut self,
        number: CallNumber,
        upstream: UpstreamId,
        limits: RewardLimits,
        now: Timestamp,
    ) {
        self.limits = Some(limits);
        self.calls.push(OpenCall {
            number,
            upstream,
            started_at: now,
        });
    }

    /// Records how the call `number` ended, and returns what follows. A call that
    /// is not in progress changes nothing.
    pub fn record_end(&mut self, number: CallNumber, end: RewardEnd, now: Timestamp) -> Verdict {
        let Some(position) = self.calls.iter().position(|call| call.number == number) else {
            return Verdict::Pending;
        };
        self.calls.swap_remove(position);
        match end {
            RewardEnd::Scored(score) => return Verdict::Scored(score),
            RewardEnd::Error => {
                self.error_count += 1;
                let max_error_count = self.limits.map_or(1, |limits| limits.max_error_count);
                if self.error_count >= max_error_count {
                    return Verdict::Failed;
                }
            }
            RewardEnd::NotRun | RewardEnd::Unknown => {
                let backoff =
                    retry::exponential_delay(MIN_BACKOFF, MAX_BACKOFF, self.failure_count);
                self.failure_count += 1;
                self.retry_at = now + backoff;
            }
        }
        Verdict::Pending
    }
}
