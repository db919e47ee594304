//! A host's own part of the limits of a row.
//!
//! See docs/design/limits.md for why the parts are fixed.

use std::{collections::BTreeMap, time::Duration};

use crate::{engine::rendezvous, ids::RowId, table::row::Row};

/// A limit of a row.
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
pub enum Kind {
    /// Samples that run at once.
    RunningSamples,
    /// Generated tokens a second.
    TokenRate,
    /// Calls to plain services a second.
    CallRate,
}

impl Kind {
    /// Returns the limit over the fleet, or `None` where the row has none.
    pub fn limit(self, row: &Row) -> Option<u64> {
        let limit = match self {
            Self::RunningSamples => u64::from(row.max_running_samples),
            Self::TokenRate => row.max_rate_tokens_per_s,
            Self::CallRate => u64::from(row.max_rate_calls_per_s),
        };
        Some(limit).filter(|limit| *limit > 0)
    }
}

/// How the limits are divided before lending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// This host's number, which no other running host has.
    pub ordinal: u32,
    /// The most hosts that ever run at once; ordinals are below it.
    pub host_count: u32,
    /// The longest that one started request runs on an engine.
    pub max_run: Duration,
}

impl Split {
    /// Returns the part of `limit` that this host owns.
    ///
    /// The parts of all ordinals add up to `limit`; what does not divide goes to
    /// other ordinals for other rows.
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
        let turn = rendezvous::key([row.as_bytes()]) % count;
        let place = (u64::from(self.ordinal) + turn) % count;
        limit / count + u64::from(place < limit % count)
    }

    /// Returns how long after its end a loan may still be in use.
    pub(crate) fn tail(&self, kind: Kind) -> Duration {
        match kind {
            Kind::RunningSamples | Kind::TokenRate => self.max_run,
            Kind::CallRate => Duration::from_secs(1),
        }
    }
}

/// This host's part of one row's limits at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The most requests that run here; `None` is no limit.
    pub running_samples: Option<u64>,
    /// The most tokens a second that are generated here; `None` is no limit.
    pub rate_tokens_per_s: Option<u64>,
}

/// This host's part of all limits; a row without an entry has none.
pub type Allowances = BTreeMap<RowId, Allowance>;

impl Allowance {
    /// Says whether one more request may start beside `running_count`.
    ///
    /// The rate is bounded by what all running requests generate together at
    /// one token each `token_time`, so it holds at every moment.
    pub fn admits(&self, running_count: u32, token_time: Duration) -> bool {
        let next = running_count.saturating_add(1);
        let rate = f64::from(next) / token_time.as_secs_f64().max(f64::MIN_POSITIVE);
        self.running_samples
            .is_none_or(|most| u64::from(next) <= most)
            && self
                .rate_tokens_per_s
                .is_none_or(|most| rate <= most as f64)
    }
}
