//! Holds each row to its part of its limit on calls.
//!
//! The parts of all hosts add up to the limit, so that no partition exceeds it
//! (docs/design/limits.md).

use std::{
    collections::BTreeMap,
    num::NonZeroU32,
    sync::{Mutex, PoisonError},
};

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};

use crate::{ids::RowId, share::allowance::Split, table::row::Row};

/// The limiters of one host.
#[derive(Debug)]
pub struct CallRates {
    split: Split,
    limiters: Mutex<BTreeMap<RowId, Limiter>>,
}

#[derive(Debug)]
struct Limiter {
    /// The limit of the row that the limiter was made for.
    limit_per_s: u32,
    /// None where this host's part is nothing.
    limiter: Option<DefaultDirectRateLimiter>,
}

impl CallRates {
    /// Makes the limiters of the host with that part.
    pub const fn new(split: Split) -> Self {
        Self {
            split,
            limiters: Mutex::new(BTreeMap::new()),
        }
    }

    /// Says whether a call of `row` is within this host's part of its limit.
    pub fn admits(&self, row: &Row) -> bool {
        if row.max_rate_calls_per_s == 0 {
            return true;
        }
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let known = limiters.get(&row.id);
        if known.is_none_or(|known| known.limit_per_s != row.max_rate_calls_per_s) {
            limiters.insert(row.id.clone(), self.limiter(row));
        }
        limiters
            .get(&row.id)
            .and_then(|known| known.limiter.as_ref())
            .is_some_and(|limiter| limiter.check().is_ok())
    }

    fn limiter(&self, row: &Row) -> Limiter {
        let limit_per_s = row.max_rate_calls_per_s;
        let part = self.split.part(&row.id, u64::from(limit_per_s));
        let part = u32::try_from(part).ok().and_then(NonZeroU32::new);
        Limiter {
            limit_per_s,
            limiter: part.map(|part| RateLimiter::direct(Quota::per_second(part))),
        }
    }
}
