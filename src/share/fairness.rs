//! A weighted fair queue by token cost.
//!
//! Each row has a virtual time: the tokens charged to it divided by its share.
//! The backlogged row with the lowest virtual time goes next. A request is
//! charged its predicted cost when it starts, and is settled with the tokens that
//! were actually generated, so that neither cancelling nor a low prediction gains
//! a row anything (see docs/design/shares.md).

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
        row_queue::{BacklogSums, Position, Rank, RowState},
    },
};

/// How far interactive work may exceed [`MAX_INTERACTIVE_RATIO`] while rollouts
/// wait.
pub const MAX_INTERACTIVE_LEAD_TOKENS: f64 = 2_048.0;

/// The maximum part of an engine that interactive work gets while rollouts wait.
pub const MAX_INTERACTIVE_RATIO: f64 = 0.5;

/// The share of a row that the table does not list.
const UNKNOWN_SHARE_RATIO: f64 = 1e-3;

/// Where a waiting entry is stored.
#[derive(Clone, Copy, Debug)]
struct Location {
    row: usize,
    class: Class,
    position: Position,
}

/// The charges of a running request.
#[derive(Clone, Copy, Debug)]
struct Running {
    row: usize,
    prompt_tokens: u32,
    charged_tokens: f64,
    /// The part of the charge beyond the prediction, which is already settled.
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
    row_indexes: BTreeMap<RowId, usize>,
    rows: Vec<RowState<T>>,
    /// Rows with waiting interactive entries, by rank.
    interactive_rows: BTreeSet<(Rank, usize)>,
    /// Rows with waiting rollouts, by rank.
    rollout_rows: BTreeSet<(Rank, usize)>,
    /// Sums over the backlogged rows, which set where a returning row starts.
    backlogged: BacklogSums,
    /// The highest mean virtual time of the backlogged rows so far.
    last_virtual_time: f64,
    /// By how much interactive work exceeds its part while rollouts wait.
    interactive_lead_tokens: f64,
    locations: IntegerMap<Ticket, Location>,
    running: IntegerMap<Ticket, Running>,
    next_sequence: u64,
    ranking: PhantomData<R>,
}

impl<T> Queue<T> {
    /// Creates an empty queue that gives each row its share.
    pub fn new() -> Self {
        Self::default()
    }
}

impl<T, R> Default for Queue<T, R> {
    fn default() -> Self {
        Self {
            row_indexes: BTreeMap::new(),
            rows: Vec::new(),
            interactive_rows: BTreeSet::new(),
            rollout_rows: BTreeSet::new(),
            backlogged: BacklogSums::default(),
            last_virtual_time: 0.0,
            interactive_lead_tokens: 0.0,
            locations: IntegerMap::default(),
            running: IntegerMap::default(),
            next_sequence: 0,
            ranking: PhantomData,
        }
    }
}

impl<T, R: Ranking> Queue<T, R> {
    /// Sets the rows' shares; only their ratios matter.
    pub fn set_shares(&mut self, shares: &Shares) {
        for (name, share) in shares {
            let row = self.row_index(name);
            self.update(row, |state| state.share = share.max(f64::MIN_POSITIVE));
        }
    }

    /// Blocks a row that reached a limit, or unblocks it.
    ///
    /// A blocked row accumulates no credit.
    pub fn set_blocked(&mut self, row: &RowId, blocked: bool) {
        let row = self.row_index(row);
        if self.rows[row].is_blocked == blocked {
            return;
        }
        let (floor, virtual_time) = self.resume_levels(self.rows[row].share);
        self.update(row, |state| {
            state.is_blocked = blocked;
            if !blocked {
                state.resume(floor, virtual_time);
            }
        });
    }

    /// Appends `entry` to its row.
    ///
    /// A row without waiting entries starts level with the backlogged rows, so
    /// that it accumulates no credit while it is idle.
    pub fn push(&mut self, entry: Entry<T>) {
        let row = self.row_index(&entry.row);
        let (floor, virtual_time) = self.resume_levels(self.rows[row].share);
        let position = (Reverse(entry.priority), self.next_sequence);
        self.next_sequence += 1;
        let class = entry.class;
        let location = Location {
            row,
            class,
            position,
        };
        self.locations.insert(entry.ticket, location);
        let was_backlogged = self.rows[row].is_backlogged();
        self.update(row, |state| {
            if !was_backlogged {
                state.resume(floor, virtual_time);
            }
            state.backlog_tokens += entry.cost.charge_tokens();
            state.class_queue_mut(class).insert(position, entry);
        });
    }

    /// Removes and returns the next entry, and charges its row the predicted cost.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        let (class, row) = self.next_row()?;
        self.pop_from(class, row)
    }

    /// Removes and returns the next rollout of one row, for a slot that is
    /// reserved for the row.
    pub fn pop_rollout_of(&mut self, row: &RowId) -> Option<Entry<T>> {
        let row = *self.row_indexes.get(row)?;
        if self.rows[row].is_blocked {
            return None;
        }
        self.pop_from(Class::Rollout, row)
    }

    fn pop_from(&mut self, class: Class, row: usize) -> Option<Entry<T>> {
        let mut popped = None;
        self.update(row, |state| {
            if let Some((_, entry)) = state.class_queue_mut(class).pop_first() {
                let charge = entry.cost.charge_tokens();
                state.backlog_tokens -= charge;
                state.charge(charge);
                state.running_count += 1;
                popped = Some(entry);
            }
        });
        let entry = popped?;
        let charge = entry.cost.charge_tokens();
        self.track_interactive_lead(class, charge);
        self.locations.remove(&entry.ticket);
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

    /// Charges a running request for the tokens beyond its prediction.
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
            state.settled_virtual_time += excess / state.share;
            state.counted_tokens += excess;
        });
    }

    /// Ends a running request and charges its actual cost.
    ///
    /// Returns whether the request was running.
    pub fn settle(&mut self, ticket: Ticket, generated_tokens: u32) -> bool {
        let Some(running) = self.running.remove(&ticket) else {
            return false;
        };
        let actual_tokens = Cost {
            prompt_tokens: running.prompt_tokens,
            generated_tokens,
        }
        .charge_tokens();
        self.update(running.row, |state| {
            let predicted_tokens = running.charged_tokens - running.settled_tokens;
            state.in_flight_tokens = (state.in_flight_tokens - predicted_tokens).max(0.0);
            state.running_count = state.running_count.saturating_sub(1);
            state.settled_virtual_time += (actual_tokens - running.settled_tokens) / state.share;
            state.counted_tokens += actual_tokens - running.charged_tokens;
        });
        true
    }

    /// Removes a waiting entry; its row is charged nothing.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let location = self.locations.remove(&ticket)?;
        let mut removed = None;
        self.update(location.row, |state| {
            removed = state
                .class_queue_mut(location.class)
                .remove(&location.position);
            if let Some(entry) = &removed {
                state.backlog_tokens -= entry.cost.charge_tokens();
            }
        });
        removed
    }

    /// Returns how many entries wait.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
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

    /// Returns the predicted cost of the waiting entries of `row`.
    pub fn backlog_tokens_of(&self, row: &RowId) -> f64 {
        self.state(row).map_or(0.0, |state| state.backlog_tokens)
    }

    /// Returns the tokens charged to `row` since the start, without refunds and
    /// without the requests that fill its part of the slots when it returns.
    pub fn counted_tokens_of(&self, row: &RowId) -> f64 {
        self.state(row).map_or(0.0, |state| state.counted_tokens)
    }

    /// Returns all rows that ever had an entry, a share or a block, in order.
    pub fn row_ids(&self) -> impl Iterator<Item = &RowId> {
        self.row_indexes.keys()
    }

    /// Returns the waiting entries, ordered by row, class and position.
    pub fn waiting(&self) -> impl Iterator<Item = &Entry<T>> {
        self.row_indexes.values().flat_map(|&row| {
            let state = &self.rows[row];
            state.interactive.values().chain(state.rollouts.values())
        })
    }

    /// Returns whether the request is running.
    pub fn is_running(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    fn state(&self, row: &RowId) -> Option<&RowState<T>> {
        self.row_indexes.get(row).map(|&row| &self.rows[row])
    }

    fn row_index(&mut self, name: &RowId) -> usize {
        if let Some(&row) = self.row_indexes.get(name) {
            return row;
        }
        let row = self.rows.len();
        self.row_indexes.insert(name.clone(), row);
        self.rows.push(RowState::new(UNKNOWN_SHARE_RATIO));
        row
    }

    /// Returns the class and row to serve next: interactive work, unless its row
    /// or its class is too far ahead.
    fn next_row(&self) -> Option<(Class, usize)> {
        let interactive = self.interactive_rows.first();
        let rollout = self.rollout_rows.first();
        match (interactive, rollout) {
            (None, None) => None,
            (Some(&(_, row)), None) => Some((Class::Interactive, row)),
            (None, Some(&(_, row))) => Some((Class::Rollout, row)),
            (Some(&(Rank(interactive_rank), row)), Some(&(Rank(rollout_rank), other))) => {
                let lead_tokens = (interactive_rank - rollout_rank) * self.rows[row].share;
                let preferred = R::ENFORCES_SHARES
                    && lead_tokens <= self.next_interactive_charge_tokens(row)
                    && self.interactive_lead_tokens <= MAX_INTERACTIVE_LEAD_TOKENS;
                if preferred || interactive_rank < rollout_rank {
                    Some((Class::Interactive, row))
                } else {
                    Some((Class::Rollout, other))
                }
            }
        }
    }

    /// Returns the cost of the row's next interactive request: how far the row may
    /// get ahead of the rollouts of other rows.
    fn next_interactive_charge_tokens(&self, row: usize) -> f64 {
        let next = self.rows[row].interactive.values().next();
        next.map_or(0.0, |entry| entry.cost.charge_tokens())
    }

    /// Updates the lead of interactive work after a start of `class`.
    fn track_interactive_lead(&mut self, class: Class, charge: f64) {
        match class {
            Class::Interactive if self.rollout_rows.is_empty() => {}
            Class::Interactive => self.interactive_lead_tokens += charge,
            Class::Rollout => {
                let allowed = charge * MAX_INTERACTIVE_RATIO / (1.0 - MAX_INTERACTIVE_RATIO);
                self.interactive_lead_tokens = (self.interactive_lead_tokens - allowed).max(0.0);
            }
        }
    }

    /// Returns the virtual time at which a row of `share` resumes that had nothing
    /// waiting, and the mean virtual time of the backlogged rows.
    ///
    /// The row resumes behind the others by what is in flight for them, so that it
    /// fills its part of the slots first.
    fn resume_levels(&mut self, share: f64) -> (f64, f64) {
        let sums = self.backlogged;
        if sums.row_count == 0 {
            return (self.last_virtual_time, self.last_virtual_time);
        }
        let virtual_time = sums.weighted_virtual_time / sums.share;
        self.last_virtual_time = self.last_virtual_time.max(virtual_time);
        let fill = sums.in_flight_tokens / (sums.share + share);
        (virtual_time - fill, virtual_time)
    }

    /// Changes a row and moves it to its new position in the sorted sets.
    fn update(&mut self, row: usize, change: impl FnOnce(&mut RowState<T>)) {
        self.remove_from_order(row);
        change(&mut self.rows[row]);
        self.insert_into_order(row);
    }

    fn remove_from_order(&mut self, row: usize) {
        let state = &self.rows[row];
        if !state.is_backlogged() {
            return;
        }
        if let Some(rank) = state.rank::<R>(Class::Interactive) {
            self.interactive_rows.remove(&(rank, row));
        }
        if let Some(rank) = state.rank::<R>(Class::Rollout) {
            self.rollout_rows.remove(&(rank, row));
        }
        self.backlogged.subtract(state);
    }

    fn insert_into_order(&mut self, row: usize) {
        let state = &self.rows[row];
        if !state.is_backlogged() {
            return;
        }
        if let Some(rank) = state.rank::<R>(Class::Interactive) {
            self.interactive_rows.insert((rank, row));
        }
        if let Some(rank) = state.rank::<R>(Class::Rollout) {
            self.rollout_rows.insert((rank, row));
        }
        self.backlogged.add(state);
    }
}
