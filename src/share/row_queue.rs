//! What the fair queue keeps of one row.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::share::charge::{Class, Entry, Ranking};

/// An f64 with the total order, for sorted sets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tag(pub(crate) f64);

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The order within one row and class.
pub(crate) type Position = (Reverse<u32>, u64);

/// One row's entries of one class.
pub(crate) type Line<T> = BTreeMap<Position, Entry<T>>;

#[derive(Debug)]
pub(crate) struct RowState<T> {
    pub(crate) share: f64,
    /// Settled tokens over the share.
    pub(crate) settled: f64,
    /// Charged and not yet settled.
    pub(crate) in_flight_tokens: f64,
    pub(crate) running_count: u32,
    pub(crate) blocked: bool,
    pub(crate) backlog_tokens: f64,
    /// Charged since the start, net of refunds and of `excused_tokens`.
    pub(crate) counted_tokens: f64,
    /// What the row may be charged before it counts as served: the requests that
    /// fill its part of the slots when it returns.
    pub(crate) excused_tokens: f64,
    pub(crate) interactive: Line<T>,
    pub(crate) rollouts: Line<T>,
}

impl<T> RowState<T> {
    pub(crate) fn new(share: f64) -> Self {
        Self {
            share,
            settled: 0.0,
            in_flight_tokens: 0.0,
            running_count: 0,
            blocked: false,
            backlog_tokens: 0.0,
            counted_tokens: 0.0,
            excused_tokens: 0.0,
            interactive: Line::new(),
            rollouts: Line::new(),
        }
    }

    pub(crate) fn virtual_time(&self) -> f64 {
        self.settled + self.in_flight_tokens / self.share
    }

    pub(crate) fn line(&self, class: Class) -> &Line<T> {
        match class {
            Class::Interactive => &self.interactive,
            Class::Rollout => &self.rollouts,
        }
    }

    pub(crate) fn line_mut(&mut self, class: Class) -> &mut Line<T> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Rollout => &mut self.rollouts,
        }
    }

    pub(crate) fn charge(&mut self, tokens: f64) {
        let excused = tokens.min(self.excused_tokens);
        self.excused_tokens -= excused;
        self.in_flight_tokens += tokens;
        self.counted_tokens += tokens - excused;
    }

    /// Lets a row that had nothing waiting start at `floor`, not further back.
    pub(crate) fn resume(&mut self, floor: f64, virtual_time: f64) {
        self.settled = self.settled.max(floor);
        self.excused_tokens = ((virtual_time - self.virtual_time()) * self.share).max(0.0);
    }

    pub(crate) fn rank<R: Ranking>(&self, class: Class) -> Option<Tag> {
        let ((_, sequence), _) = self.line(class).first_key_value()?;
        Some(Tag(R::rank(self.virtual_time(), *sequence)))
    }

    pub(crate) fn is_backlogged(&self) -> bool {
        let is_empty = self.interactive.is_empty() && self.rollouts.is_empty();
        !self.blocked && !is_empty
    }
}

/// Sums over the backlogged rows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums {
    pub(crate) row_count: usize,
    pub(crate) share: f64,
    pub(crate) in_flight_tokens: f64,
    /// Virtual times weighted by share.
    pub(crate) weighted_time: f64,
}

impl Sums {
    pub(crate) fn add<T>(&mut self, state: &RowState<T>) {
        self.row_count += 1;
        self.share += state.share;
        self.in_flight_tokens += state.in_flight_tokens;
        self.weighted_time += state.share * state.virtual_time();
    }

    /// Takes a row out; without rows the rounding errors go too.
    pub(crate) fn subtract<T>(&mut self, state: &RowState<T>) {
        self.row_count -= 1;
        if self.row_count == 0 {
            *self = Self::default();
            return;
        }
        self.share -= state.share;
        self.in_flight_tokens -= state.in_flight_tokens;
        self.weighted_time -= state.share * state.virtual_time();
    }
}
