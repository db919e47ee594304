//! Enforces this host's part of each row's call rate limit.
//!
//! The parts of all hosts add up to the limit, so the hosts on the two sides of
//! a partition cannot exceed it together (docs/design/limits.md).

use std::{
    collections::BTreeMap,
    num::NonZeroU32,
    sync::{Mutex, PoisonError},
};

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};

use crate::{ids::RowId, share::allowance::Split, table::row::Row};

/// The call rate limiters of one host, by row.
#[derive(Debug)]
pub struct CallRates {
    split: Split,
    limiters: Mutex<BTreeMap<RowId, Limiter>>,
}

#[derive(Debug)]
struct Limiter {
    /// The row's limit that the limiter was created with.
    limit_per_s: u32,
    /// `None` if this host's part of the limit is zero.
    limiter: Option<DefaultDirectRateLimiter>,
}

impl CallRates {
    /// Creates the limiters of a host whose part of each limit `split`
    /// determines.
    pub const fn new(split: Split) -> Self {
        Self {
            split,
            limiters: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns whether a call of `row` is within this host's part of its limit,
    /// and counts the call if so.
    pub fn admits(&self, row: &Row) -> bool {
        if row.max_rate_calls_per_s == 0 {
            return true;
        }
        let mut limiters = self.limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = limiters.get(&row.id);
        if entry.is_none_or(|entry| entry.limit_per_s != row.max_rate_calls_per_s) {
            limiters.insert(row.id.clone(), self.new_limiter(row));
        }
        limiters
            .get(&row.id)
            .and_then(|entry| entry.limiter.as_ref())
            .is_some_and(|limiter| limiter.check().is_ok())
    }

    fn new_limiter(&self, row: &Row) -> Limiter {
        let limit_per_s = row.max_rate_calls_per_s;
        let part = self.split.part(&row.id, u64::from(limit_per_s));
        let part = u32::try_from(part).ok().and_then(NonZeroU32::new);
        Limiter {
            limit_per_s,
            limiter: part.map(|part| RateLimiter::direct(Quota::per_second(part))),
        }
    }
}
