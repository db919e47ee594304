//! A weighted fair queue by token cost.
//!
//! Each row has a virtual time: tokens charged to it over its share. The
//! backlogged row with the lowest virtual time goes next. A start is charged
//! with the predicted cost and settled with what was really generated, so that
//! neither cancelling nor a low prediction pays (see docs/design/shares.md).

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
};

pub use crate::share::charge::{
    Class, Cost, Entry, PROMPT_COST_RATIO, REQUEST_COST_TOKENS, Ranking, Ticket, Weighted,
};
use crate::{
    engine::integer_hash::IntegerMap,
    ids::RowId,
    share::{
        Shares,
        row_queue::{Position, RowState, Sums, Tag},
    },
};

/// How far interactive work may get above its part while rollouts wait.
pub const INTERACTIVE_LEAD_TOKENS: f64 = 2_048.0;

/// The most of an engine that interactive work takes while rollouts wait.
pub const MAX_INTERACTIVE_RATIO: f64 = 0.5;

/// The share of a row that the table does not name.
const UNKNOWN_SHARE_RATIO: f64 = 1e-3;

#[derive(Clone, Copy, Debug)]
struct Place {
    row: usize,
    class: Class,
    position: Position,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    row: usize,
    prompt_tokens: u32,
    charged_tokens: f64,
    /// The part of the charge that outgrew the prediction, settled already.
    settled_tokens: f64,
}

/// The queue of one engine.
///
/// # Examples
///
/// ```
/// use mimosavane::share::fairness::{Class, Cost, Entry, Queue};
///
/// let mut queue = Queue::new();
/// queue.set_shares(&[("guides".into(), 0.75), ("menus".into(), 0.25)].into());
/// for ticket in 0..8 {
///     let row = if ticket < 4 { "guides" } else { "menus" };
///     queue.push(Entry {
///         ticket,
///         row: row.into(),
///         class: Class::Rollout,
///         priority: 0,
///         cost: Cost { prompt_tokens: 0, generated_tokens: 100 },
///         item: (),
///     });
/// }
/// let first: Vec<_> = (0..4).filter_map(|_| queue.pop()).collect();
/// assert_eq!(first.iter().filter(|entry| &*entry.row == "guides").count(), 3);
/// ```
#[derive(Debug)]
pub struct Queue<T, R = Weighted> {
    names: BTreeMap<RowId, usize>,
    rows: Vec<RowState<T>>,
    /// Rows with waiting interactive entries by virtual time.
    interactive: BTreeSet<(Tag, usize)>,
    /// Rows with waiting rollouts by virtual time.
    rollouts: BTreeSet<(Tag, usize)>,
    /// Sums over the backlogged rows, from which a returning row starts.
    backlogged: Sums,
    last_virtual_time: f64,
    interactive_lead_tokens: f64,
    places: IntegerMap<Ticket, Place>,
    running: IntegerMap<Ticket, Running>,
    next_sequence: u64,
    ranking: PhantomData<R>,
}

impl<T> Queue<T> {
    /// Makes an empty queue that gives each row its share.
    pub fn new() -> Self {
        Self::default()
    }
}

impl<T, R> Default for Queue<T, R> {
    fn default() -> Self {
        Self {
            names: BTreeMap::new(),
            rows: Vec::new(),
            interactive: BTreeSet::new(),
            rollouts: BTreeSet::new(),
            backlogged: Sums::default(),
            last_virtual_time: 0.0,
            interactive_lead_tokens: 0.0,
            places: IntegerMap::default(),
            running: IntegerMap::default(),
            next_sequence: 0,
            ranking: PhantomData,
        }
    }
}

impl<T, R: Ranking> Queue<T, R> {
    /// Puts `shares` in force; only their ratios matter.
    pub fn set_shares(&mut self, shares: &Shares) {
        for (name, share) in shares {
            let row = self.row_index(name);
            self.update(row, |state| state.share = share.max(f64::MIN_POSITIVE));
        }
    }

    /// Holds back a row that reached a limit, or lets it go on.
    ///
    /// A row that is held back saves up no claim.
    pub fn set_blocked(&mut self, row: &RowId, blocked: bool) {
        let row = self.row_index(row);
        if self.rows[row].blocked == blocked {
            return;
        }
        let (floor, virtual_time) = self.levels(self.rows[row].share);
        self.update(row, |state| {
            state.blocked = blocked;
            if !blocked {
                state.resume(floor, virtual_time);
            }
        });
    }

    /// Appends `entry` to its row.
    ///
    /// A row without waiting entries starts level with the backlogged rows, so
    /// that idle time saves up no claim.
    pub fn push(&mut self, entry: Entry<T>) {
        let row = self.row_index(&entry.row);
        let (floor, virtual_time) = self.levels(self.rows[row].share);
        let position = (Reverse(entry.priority), self.next_sequence);
        self.next_sequence += 1;
        let class = entry.class;
        let place = Place {
            row,
            class,
            position,
        };
        self.places.insert(entry.ticket, place);
        let was_backlogged = self.rows[row].is_backlogged();
        self.update(row, |state| {
            if !was_backlogged {
                state.resume(floor, virtual_time);
            }
            state.backlog_tokens += entry.cost.charge_tokens();
            state.line_mut(class).insert(position, entry);
        });
    }

    /// Takes the next entry and charges its row with the predicted cost.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        let (class, row) = self.next_row()?;
        self.take(class, row)
    }

    /// Takes the next rollout of one row, for a slot that was cleared for it.
    pub fn pop_rollout_of(&mut self, row: &RowId) -> Option<Entry<T>> {
        let row = *self.names.get(row)?;
        if self.rows[row].blocked {
            return None;
        }
        self.take(Class::Rollout, row)
    }

    fn take(&mut self, class: Class, row: usize) -> Option<Entry<T>> {
        let mut popped = None;
        self.update(row, |state| {
            if let Some((_, entry)) = state.line_mut(class).pop_first() {
                let charge = entry.cost.charge_tokens();
                state.backlog_tokens -= charge;
                state.charge(charge);
                state.running_count += 1;
                popped = Some(entry);
            }
        });
        let entry = popped?;
        let charge = entry.cost.charge_tokens();
        self.count_class(class, charge);
        self.places.remove(&entry.ticket);
        self.running.insert(
            entry.ticket,
            Running {
                row,
                prompt_tokens: entry.cost.prompt_tokens,
                charged_tokens: charge,
                settled_tokens: 0.0,
            },
        );
        Some(entry)
    }

    /// Charges a running request that outgrew its prediction.
    pub fn progress(&mut self, ticket: Ticket, generated_tokens: u32) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let cost = Cost {
            prompt_tokens: running.prompt_tokens,
            generated_tokens,
        };
        let excess = cost.charge_tokens() - running.charged_tokens;
        if excess <= 0.0 {
            return;
        }
        running.charged_tokens += excess;
        running.settled_tokens += excess;
        let row = running.row;
        self.update(row, |state| {
            state.settled += excess / state.share;
            state.counted_tokens += excess;
        });
    }

    /// Ends a running request and charges what it really cost.
    ///
    /// Returns whether it ran.
    pub fn settle(&mut self, ticket: Ticket, generated_tokens: u32) -> bool {
        let Some(running) = self.running.remove(&ticket) else {
            return false;
        };
        let real = Cost {
            prompt_tokens: running.prompt_tokens,
            generated_tokens,
        }
        .charge_tokens();
        self.update(running.row, |state| {
            let predicted_tokens = running.charged_tokens - running.settled_tokens;
            state.in_flight_tokens = (state.in_flight_tokens - predicted_tokens).max(0.0);
            state.running_count = state.running_count.saturating_sub(1);
            state.settled += (real - running.settled_tokens) / state.share;
            state.counted_tokens += real - running.charged_tokens;
        });
        true
    }

    /// Takes a waiting entry out, which costs its row nothing.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let place = self.places.remove(&ticket)?;
        let mut removed = None;
        self.update(place.row, |state| {
            removed = state.line_mut(place.class).remove(&place.position);
            if let Some(entry) = &removed {
                state.backlog_tokens -= entry.cost.charge_tokens();
            }
        });
        removed
    }

    /// Returns how many entries wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns how many requests run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests of `row` run.
    pub fn running_of(&self, row: &RowId) -> u32 {
        self.state(row).map_or(0, |state| state.running_count)
    }

    /// Returns how many entries of `row` wait.
    pub fn waiting_of(&self, row: &RowId) -> usize {
        self.state(row)
            .map_or(0, |state| state.interactive.len() + state.rollouts.len())
    }

    /// Returns the predicted cost of what waits for `row`.
    pub fn backlog_tokens_of(&self, row: &RowId) -> f64 {
        self.state(row).map_or(0.0, |state| state.backlog_tokens)
    }

    /// Returns what `row` was charged since the start, net of refunds and of
    /// what fills its part of the slots when it returns.
    pub fn counted_tokens_of(&self, row: &RowId) -> f64 {
        self.state(row).map_or(0.0, |state| state.counted_tokens)
    }

    /// Returns the rows that were ever queued or named, in order.
    pub fn row_ids(&self) -> impl Iterator<Item = &RowId> {
        self.names.keys()
    }

    /// Returns the waiting entries by row, class and order.
    pub fn waiting(&self) -> impl Iterator<Item = &Entry<T>> {
        self.names.values().flat_map(|&row| {
            let state = &self.rows[row];
            state.interactive.values().chain(state.rollouts.values())
        })
    }

    /// Says whether the request runs.
    pub fn is_running(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    fn state(&self, row: &RowId) -> Option<&RowState<T>> {
        self.names.get(row).map(|&row| &self.rows[row])
    }

    fn row_index(&mut self, name: &RowId) -> usize {
        if let Some(&row) = self.names.get(name) {
            return row;
        }
        let row = self.rows.len();
        self.names.insert(name.clone(), row);
        self.rows.push(RowState::new(UNKNOWN_SHARE_RATIO));
        row
    }

    /// Picks interactive work unless its row or its class is too far ahead.
    fn next_row(&self) -> Option<(Class, usize)> {
        let interactive = self.interactive.first();
        let rollout = self.rollouts.first();
        match (interactive, rollout) {
            (None, None) => None,
            (Some(&(_, row)), None) => Some((Class::Interactive, row)),
            (None, Some(&(_, row))) => Some((Class::Rollout, row)),
            (Some(&(Tag(ahead), row)), Some(&(Tag(behind), other))) => {
                let lead_tokens = (ahead - behind) * self.rows[row].share;
                let preferred = R::KEEPS_SHARES
                    && lead_tokens <= self.next_charge_tokens(row)
                    && self.interactive_lead_tokens <= INTERACTIVE_LEAD_TOKENS;
                if preferred || ahead < behind {
                    Some((Class::Interactive, row))
                } else {
                    Some((Class::Rollout, other))
                }
            }
        }
    }

    /// Returns the cost of the row's next interactive request, by which its row
    /// may get ahead of the rollouts of others.
    fn next_charge_tokens(&self, row: usize) -> f64 {
        let next = self.rows[row].interactive.values().next();
        next.map_or(0.0, |entry| entry.cost.charge_tokens())
    }

    /// Keeps how far interactive work is above its part while rollouts wait.
    fn count_class(&mut self, class: Class, charge: f64) {
        match class {
            Class::Interactive if self.rollouts.is_empty() => {}
            Class::Interactive => self.interactive_lead_tokens += charge,
            Class::Rollout => {
                let allowed = charge * MAX_INTERACTIVE_RATIO / (1.0 - MAX_INTERACTIVE_RATIO);
                self.interactive_lead_tokens = (self.interactive_lead_tokens - allowed).max(0.0);
            }
        }
    }

    /// Returns where a row of `share` starts that had nothing waiting: behind
    /// the others by what runs for them, so that it fills its part of the slots
    /// first; and the virtual time of the others.
    fn levels(&mut self, share: f64) -> (f64, f64) {
        let sums = self.backlogged;
        if sums.row_count == 0 {
            return (self.last_virtual_time, self.last_virtual_time);
        }
        let virtual_time = sums.weighted_time / sums.share;
        self.last_virtual_time = self.last_virtual_time.max(virtual_time);
        let fill = sums.in_flight_tokens / (sums.share + share);
        (virtual_time - fill, virtual_time)
    }

    /// Changes a row and puts it at its new place in the sorted sets.
    fn update(&mut self, row: usize, change: impl FnOnce(&mut RowState<T>)) {
        self.unlist(row);
        change(&mut self.rows[row]);
        self.list(row);
    }

    fn unlist(&mut self, row: usize) {
        let state = &self.rows[row];
        if !state.is_backlogged() {
            return;
        }
        if let Some(tag) = state.rank::<R>(Class::Interactive) {
            self.interactive.remove(&(tag, row));
        }
        if let Some(tag) = state.rank::<R>(Class::Rollout) {
            self.rollouts.remove(&(tag, row));
        }
        self.backlogged.subtract(state);
    }

    fn list(&mut self, row: usize) {
        let state = &self.rows[row];
        if !state.is_backlogged() {
            return;
        }
        if let Some(tag) = state.rank::<R>(Class::Interactive) {
            self.interactive.insert((tag, row));
        }
        if let Some(tag) = state.rank::<R>(Class::Rollout) {
            self.rollouts.insert((tag, row));
        }
        self.backlogged.add(state);
    }
}
