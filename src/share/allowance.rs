//! The part of each row's limits that a host owns.
//!
//! See docs/design/limits.md for why the parts are fixed.

use std::{collections::BTreeMap, time::Duration};

use crate::{engine::rendezvous, ids::RowId, table::row::Row};

/// The kinds of limits that a row can have.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitKind {
    /// Samples that run concurrently.
    RunningSamples,
    /// Generated tokens per second.
    TokenRate,
    /// Calls to plain services per second.
    CallRate,
}

impl LimitKind {
    /// Returns the fleet-wide limit of `row`, or `None` if it has none.
    pub fn limit(self, row: &Row) -> Option<u64> {
        let limit = match self {
            Self::RunningSamples => u64::from(row.max_running_samples),
            Self::TokenRate => row.max_rate_tokens_per_s,
            Self::CallRate => u64::from(row.max_rate_calls_per_s),
        };
        Some(limit).filter(|limit| *limit > 0)
    }
}

/// How each limit is divided among the hosts, before any lending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// This host's ordinal, unique among the running hosts.
    pub ordinal: u32,
    /// The maximum number of hosts that run at once; all ordinals are below it.
    pub host_count: u32,
    /// The maximum time that a started request runs on an engine.
    pub max_run: Duration,
}

impl Split {
    /// Returns the part of `limit` that this host owns.
    ///
    /// The parts of all ordinals add up to `limit`. Which ordinals get the
    /// remainder of the division depends on the row.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::share::quota::Split;
    ///
    /// let part = |ordinal| {
    ///     let max_run = std::time::Duration::from_secs(120);
    ///     Split { ordinal, host_count: 12, max_run }.part(&"guides".into(), 100)
    /// };
    /// assert_eq!((0..12).map(part).sum::<u64>(), 100);
    /// ```
    pub fn part(&self, row: &RowId, limit: u64) -> u64 {
        let count = u64::from(self.host_count.max(1));
        if u64::from(self.ordinal) >= count {
            return 0;
        }
        let offset = rendezvous::key([row.as_bytes()]) % count;
        let position = (u64::from(self.ordinal) + offset) % count;
        limit / count + u64::from(position < limit % count)
    }

    /// Returns how long a loan may still be in use after it expires, because work
    /// that started under it runs on.
    pub(crate) fn use_after_expiry(&self, kind: LimitKind) -> Duration {
        match kind {
            LimitKind::RunningSamples | LimitKind::TokenRate => self.max_run,
            LimitKind::CallRate => Duration::from_secs(1),
        }
    }
}

/// This host's part of one row's limits at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The maximum number of requests that run here; `None` means no limit.
    pub running_samples: Option<u64>,
    /// The maximum tokens generated here per second; `None` means no limit.
    pub rate_tokens_per_s: Option<u64>,
}

/// This host's part of all limits; a row without an entry has no limits.
pub type Allowances = BTreeMap<RowId, Allowance>;

impl Allowance {
    /// Returns whether one more request may start besides the `running_count`
    /// running ones.
    ///
    /// The token rate is bounded by what all running requests can generate
    /// together at one token per `token_time` each, so it holds at every moment.
    pub fn admits(&self, running_count: u32, token_time: Duration) -> bool {
        let next = running_count.saturating_add(1);
        let rate = f64::from(next) / token_time.as_secs_f64().max(f64::MIN_POSITIVE);
        self.running_samples
            .is_none_or(|max| u64::from(next) <= max)
            && self.rate_tokens_per_s.is_none_or(|max| rate <= max as f64)
    }
}
