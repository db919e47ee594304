//! The state of one row in the fair queue.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::share::charge::{Class, Entry, Ranking};

/// A row's rank: an `f64` with a total order, for use in sorted sets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank(pub(crate) f64);

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The position within a row and class: priority, highest first, then sequence
/// number.
pub(crate) type Position = (Reverse<u32>, u64);

/// The waiting entries of one row and class.
pub(crate) type ClassQueue<T> = BTreeMap<Position, Entry<T>>;

/// The share, charges and waiting entries of one row.
#[derive(Debug)]
pub(crate) struct RowState<T> {
    pub(crate) share: f64,
    /// The virtual time without requests in flight: settled tokens divided by the
    /// share, raised to the floor when the row resumes.
    pub(crate) settled_virtual_time: f64,
    /// Tokens charged and not yet settled.
    pub(crate) in_flight_tokens: f64,
    pub(crate) running_count: u32,
    pub(crate) is_blocked: bool,
    pub(crate) backlog_tokens: f64,
    /// Tokens charged since the start, without refunds and exempt tokens.
    pub(crate) counted_tokens: f64,
    /// Tokens that will be charged without being added to `counted_tokens`. They
    /// cover the requests that fill the row's part of the slots when it returns.
    pub(crate) exempt_tokens: f64,
    pub(crate) interactive: ClassQueue<T>,
    pub(crate) rollouts: ClassQueue<T>,
}

impl<T> RowState<T> {
    pub(crate) fn new(share: f64) -> Self {
        Self {
            share,
            settled_virtual_time: 0.0,
            in_flight_tokens: 0.0,
            running_count: 0,
            is_blocked: false,
            backlog_tokens: 0.0,
            counted_tokens: 0.0,
            exempt_tokens: 0.0,
            interactive: ClassQueue::new(),
            rollouts: ClassQueue::new(),
        }
    }

    pub(crate) fn virtual_time(&self) -> f64 {
        self.settled_virtual_time + self.in_flight_tokens / self.share
    }

    pub(crate) fn class_queue(&self, class: Class) -> &ClassQueue<T> {
        match class {
            Class::Interactive => &self.interactive,
            Class::Rollout => &self.rollouts,
        }
    }

    pub(crate) fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue<T> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Rollout => &mut self.rollouts,
        }
    }

    pub(crate) fn charge(&mut self, tokens: f64) {
        let exempt = tokens.min(self.exempt_tokens);
        self.exempt_tokens -= exempt;
        self.in_flight_tokens += tokens;
        self.counted_tokens += tokens - exempt;
    }

    /// Raises the settled virtual time of a row that had nothing waiting to
    /// `floor`, and exempts the tokens by which the row is still behind
    /// `virtual_time`.
    pub(crate) fn resume(&mut self, floor: f64, virtual_time: f64) {
        self.settled_virtual_time = self.settled_virtual_time.max(floor);
        self.exempt_tokens = ((virtual_time - self.virtual_time()) * self.share).max(0.0);
    }

    pub(crate) fn rank<R: Ranking>(&self, class: Class) -> Option<Rank> {
        let ((_, sequence), _) = self.class_queue(class).first_key_value()?;
        Some(Rank(R::rank(self.virtual_time(), *sequence)))
    }

    pub(crate) fn is_backlogged(&self) -> bool {
        let is_empty = self.interactive.is_empty() && self.rollouts.is_empty();
        !self.is_blocked && !is_empty
    }
}

/// Sums over the backlogged rows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BacklogSums {
    pub(crate) row_count: usize,
    pub(crate) share: f64,
    pub(crate) in_flight_tokens: f64,
    /// The sum of the virtual times, weighted by share.
    pub(crate) weighted_virtual_time: f64,
}

impl BacklogSums {
    pub(crate) fn add<T>(&mut self, state: &RowState<T>) {
        self.row_count += 1;
        self.share += state.share;
        self.in_flight_tokens += state.in_flight_tokens;
        self.weighted_virtual_time += state.share * state.virtual_time();
    }

    /// Removes a row; without rows all sums are reset, so that rounding errors do
    /// not accumulate.
    pub(crate) fn subtract<T>(&mut self, state: &RowState<T>) {
        self.row_count -= 1;
        if self.row_count == 0 {
            *self = Self::default();
            return;
        }
        self.share -= state.share;
        self.in_flight_tokens -= state.in_flight_tokens;
        self.weighted_virtual_time -= state.share * state.virtual_time();
    }
}
