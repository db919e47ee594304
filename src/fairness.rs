//! A weighted fair queue by token cost.
//!
//! Each row has a virtual time: tokens charged to it over its share. The
//! backlogged row with the lowest virtual time goes next. A start is charged
//! with the predicted cost and settled with what was really generated, so that
//! neither cancelling nor a low prediction pays (see docs/design/shares.md).

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    marker::PhantomData,
};

use xxhash_rust::xxh3::Xxh3Builder;

use crate::{ids::RowId, share::Shares};

/// What one prompt token costs against one generated token.
pub const PROMPT_COST_RATIO: f64 = 0.1;

/// What a request costs besides its tokens, so that splitting does not pay.
pub const REQUEST_COST_TOKENS: f64 = 8.0;

/// How far interactive work may put its row ahead of the rollouts of others.
pub const INTERACTIVE_LEAD_TOKENS: f64 = 2_048.0;

/// The most of an engine that interactive work takes while rollouts wait.
pub const MAX_INTERACTIVE_RATIO: f64 = 0.5;

/// The share of a row that the table does not name.
const UNKNOWN_SHARE_RATIO: f64 = 1e-3;

/// Names one queued or running request within a host.
pub type Ticket = u64;

/// Whether somebody waits for the answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// A person waits.
    Interactive,
    /// A trainer's sample.
    Rollout,
}

/// The work of one request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens to read.
    pub prompt_tokens: u32,
    /// Tokens to generate, predicted or real.
    pub generated_tokens: u32,
}

impl Cost {
    /// Returns what the request is charged, in generated tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::fairness::Cost;
    ///
    /// let long = Cost { prompt_tokens: 10_000, generated_tokens: 10 };
    /// let short = Cost { prompt_tokens: 10, generated_tokens: 10 };
    /// assert!(long.charge_tokens() > 10.0 * short.charge_tokens());
    /// ```
    pub fn charge_tokens(self) -> f64 {
        REQUEST_COST_TOKENS
            + f64::from(self.prompt_tokens) * PROMPT_COST_RATIO
            + f64::from(self.generated_tokens)
    }
}

/// One request to queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// The name that it is settled or cancelled by.
    pub ticket: Ticket,
    /// The row that is charged.
    pub row: RowId,
    /// Whether somebody waits.
    pub class: Class,
    /// Higher goes first within the row and class.
    pub priority: u32,
    /// The predicted work.
    pub cost: Cost,
    /// What the caller keeps with it.
    pub item: T,
}

/// An f64 with the total order, for sorted sets.
#[derive(Clone, Copy, Debug)]
struct Tag(f64);

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

/// How the queue ranks rows against each other; the lowest rank goes first.
pub trait Ranking: std::fmt::Debug {
    /// Ranks a row from its virtual time and the number of its next entry.
    fn rank(virtual_time: f64, next_sequence: u64) -> f64;

    /// Whether interactive work goes first, and running work is preempted for
    /// rows below their share.
    const KEEPS_SHARES: bool;
}

/// Ranks rows by virtual time, so that each gets its share.
#[derive(Debug)]
pub struct Weighted;

impl Ranking for Weighted {
    const KEEPS_SHARES: bool = true;

    fn rank(virtual_time: f64, _next_sequence: u64) -> f64 {
        virtual_time
    }
}

/// The order within one row and class.
type Position = (Reverse<u32>, u64);

/// One row's entries of one class.
type Line<T> = BTreeMap<Position, Entry<T>>;

#[derive(Debug)]
struct RowState<T> {
    share: f64,
    /// Settled tokens over the share.
    settled: f64,
    /// Charged and not yet settled.
    in_flight_tokens: f64,
    running_count: u32,
    blocked: bool,
    backlog_tokens: f64,
    /// Charged since the start, net of refunds.
    charged_tokens: f64,
    interactive: Line<T>,
    rollouts: Line<T>,
}

impl<T> RowState<T> {
    fn new(share: f64) -> Self {
        Self {
            share,
            settled: 0.0,
            in_flight_tokens: 0.0,
            running_count: 0,
            blocked: false,
            backlog_tokens: 0.0,
            charged_tokens: 0.0,
            interactive: Line::new(),
            rollouts: Line::new(),
        }
    }

    fn virtual_time(&self) -> f64 {
        self.settled + self.in_flight_tokens / self.share
    }

    fn line(&self, class: Class) -> &Line<T> {
        match class {
            Class::Interactive => &self.interactive,
            Class::Rollout => &self.rollouts,
        }
    }

    fn line_mut(&mut self, class: Class) -> &mut Line<T> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Rollout => &mut self.rollouts,
        }
    }

    fn rank<R: Ranking>(&self, class: Class) -> Option<Tag> {
        let ((_, sequence), _) = self.line(class).first_key_value()?;
        Some(Tag(R::rank(self.virtual_time(), *sequence)))
    }

    fn is_backlogged(&self) -> bool {
        let is_empty = self.interactive.is_empty() && self.rollouts.is_empty();
        !self.blocked && !is_empty
    }
}

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
}

/// The queue of one engine.
///
/// # Examples
///
/// ```
/// use mimosavane::fairness::{Class, Cost, Entry, Queue};
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
    /// Backlogged rows by settled work, where a returning row starts.
    settled: BTreeSet<(Tag, usize)>,
    floor: f64,
    interactive_lead_tokens: f64,
    places: HashMap<Ticket, Place, Xxh3Builder>,
    running: HashMap<Ticket, Running, Xxh3Builder>,
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
            settled: BTreeSet::new(),
            floor: 0.0,
            interactive_lead_tokens: 0.0,
            places: HashMap::default(),
            running: HashMap::default(),
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
        let floor = self.floor();
        self.update(row, |state| {
            state.blocked = blocked;
            if !blocked {
                state.settled = state.settled.max(floor);
            }
        });
    }

    /// Appends `entry` to its row.
    ///
    /// A row without waiting entries starts level with the backlogged row that
    /// was served least, so that idle time saves up no claim.
    pub fn push(&mut self, entry: Entry<T>) {
        let row = self.row_index(&entry.row);
        let floor = self.floor();
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
                state.settled = state.settled.max(floor);
            }
            state.backlog_tokens += entry.cost.charge_tokens();
            state.line_mut(class).insert(position, entry);
        });
    }

    /// Takes the next entry and charges its row with the predicted cost.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        let (class, row) = self.next_row()?;
        let mut popped = None;
        self.update(row, |state| {
            if let Some((_, entry)) = state.line_mut(class).pop_first() {
                let charge = entry.cost.charge_tokens();
                state.backlog_tokens -= charge;
                state.in_flight_tokens += charge;
                state.charged_tokens += charge;
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
        let row = running.row;
        self.update(row, |state| {
            state.in_flight_tokens += excess;
            state.charged_tokens += excess;
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
            state.in_flight_tokens = (state.in_flight_tokens - running.charged_tokens).max(0.0);
            state.running_count = state.running_count.saturating_sub(1);
            state.settled += real / state.share;
            state.charged_tokens += real - running.charged_tokens;
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

    /// Returns what `row` was charged since the start, net of refunds.
    pub fn charged_tokens_of(&self, row: &RowId) -> f64 {
        self.state(row).map_or(0.0, |state| state.charged_tokens)
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
                    && lead_tokens <= INTERACTIVE_LEAD_TOKENS
                    && self.interactive_lead_tokens <= INTERACTIVE_LEAD_TOKENS;
                if preferred || ahead < behind {
                    Some((Class::Interactive, row))
                } else {
                    Some((Class::Rollout, other))
                }
            }
        }
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

    /// Returns the settled work of the backlogged row that was served least.
    fn floor(&mut self) -> f64 {
        if let Some(&(Tag(settled), _)) = self.settled.first() {
            self.floor = self.floor.max(settled);
        }
        self.floor
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
        self.settled.remove(&(Tag(state.settled), row));
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
        self.settled.insert((Tag(state.settled), row));
    }
}
