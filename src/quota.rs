//! Hard limits of a row, split over hosts so that no partition exceeds them.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::RowId;

/// This host's part of one row's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The most requests that run here; `None` is no limit.
    pub running_samples: Option<u32>,
    /// The most tokens a second that run here; `None` is no limit.
    pub rate_tokens_per_s: Option<f64>,
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
        self.running_samples.is_none_or(|most| next <= most)
            && self.rate_tokens_per_s.is_none_or(|most| rate <= most)
    }
}
