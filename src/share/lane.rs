//! One engine's queue and running requests.
//!
//! See docs/design/shares.md for when running work is preempted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    clock::Timestamp,
    control::blackboard::EngineReport,
    ids::RowId,
    share::{
        Shares,
        fairness::{Entry, Queue, Ranking, Ticket},
    },
};

/// The time per token of an engine that has not reported yet.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(30);

/// The batch size of an engine that has not reported yet.
const DEFAULT_SLOTS: u32 = 4;

/// How long a report may still count requests that have already ended here. The
/// foreign requests of a report older than 5 times this are ignored.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// How soon a row that begins to wait again should have its share of the slots.
const RETURN_TARGET: Duration = Duration::from_secs(1);

/// How long running work is preempted for a row after it began to wait again.
const RETURN_WINDOW: Duration = Duration::from_secs(5);

/// The time constant of the moving average of the rate at which requests end.
const END_RATE_TIME_CONSTANT_S: f64 = 5.0;

/// The minimum time between two preemptions on one engine.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(200);

/// The dispatcher's data for a waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub(crate) deadline: Timestamp,
}

/// The dispatcher's data for a running request.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) row: RowId,
    pub(crate) generated_tokens: u32,
    /// The row that gets the slot, if the request is being preempted.
    pub(crate) preempted_for: Option<RowId>,
}

/// One engine's queue, running requests and capacity.
#[derive(Debug)]
pub(crate) struct Lane<R> {
    pub(crate) queue: Queue<Pending, R>,
    pub(crate) running: BTreeMap<Ticket, Running>,
    pub(crate) deadlines: BTreeSet<(Timestamp, Ticket)>,
    /// The rows that free slots are reserved for, one entry for each preempted
    /// request that has ended.
    pub(crate) reserved_for: Vec<RowId>,
    slots: u32,
    pub(crate) token_time: Duration,
    /// Requests on the engine that other hosts started.
    foreign_count: u32,
    /// The time of the last report.
    report_at: Timestamp,
    /// The maximum number of requests that ran here at once since the last report,
    /// all of which the next report may still count.
    recent_running_count: u32,
    last_preempt_at: Timestamp,
    /// When each row that held at most half of its slots began to wait again.
    returned_at: BTreeMap<RowId, Timestamp>,
    /// The moving average of the requests that end on the engine per second.
    ends_per_s: f64,
    /// Requests that ended since `observed_at`.
    pub(crate) ended_count: u32,
    observed_at: Timestamp,
}

impl<R> Default for Lane<R> {
    fn default() -> Self {
        Self {
            queue: Queue::default(),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            reserved_for: Vec::new(),
            slots: DEFAULT_SLOTS,
            token_time: DEFAULT_TOKEN_TIME,
            foreign_count: 0,
            report_at: Timestamp::ZERO,
            recent_running_count: 0,
            last_preempt_at: Timestamp::ZERO,
            returned_at: BTreeMap::new(),
            ends_per_s: 0.0,
            ended_count: 0,
            observed_at: Timestamp::ZERO,
        }
    }
}

impl<R: Ranking> Lane<R> {
    /// Updates the capacity from the engine's last report, and the end rate.
    pub(crate) fn observe(&mut self, report: Option<&EngineReport>, now: Timestamp) {
        self.slots = report.map_or(DEFAULT_SLOTS, |report| report.slots.max(1));
        self.token_time = report
            .map(|report| report.token_time)
            .filter(|time| !time.is_zero())
            .unwrap_or(DEFAULT_TOKEN_TIME);
        self.update_end_rate(now);
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.recent_running_count = self.recent_running_count.max(own);
        let Some(report) = report else {
            return;
        };
        if report.at != self.report_at {
            self.report_at = report.at;
            self.foreign_count =
                (report.running + report.waiting).saturating_sub(self.recent_running_count);
            self.recent_running_count = own;
        }
        if now.saturating_sub(report.at) > REPORT_LAG * 5 {
            self.foreign_count = 0;
        }
    }

    fn update_end_rate(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.observed_at).as_secs_f64();
        self.observed_at = now;
        let decay = (-elapsed_s / END_RATE_TIME_CONSTANT_S).exp();
        let ended = f64::from(std::mem::take(&mut self.ended_count));
        self.ends_per_s = self.ends_per_s * decay + ended / END_RATE_TIME_CONSTANT_S;
    }

    /// Returns how many running requests are being preempted for `row`.
    fn preempting_count(&self, row: &RowId) -> usize {
        let is_for_row = |running: &&Running| running.preempted_for.as_ref() == Some(row);
        self.running.values().filter(is_for_row).count()
    }

    pub(crate) fn free_slots(&self) -> usize {
        (self.slots as usize)
            .saturating_sub(self.foreign_count as usize)
            .saturating_sub(self.running.len())
    }

    /// Returns how many tokens per second the engine generates with all slots busy.
    fn rate_tokens_per_s(&self) -> f64 {
        f64::from(self.slots) / self.token_time.as_secs_f64()
    }

    /// Estimates how long it takes to serve `tokens` of `row`.
    pub(crate) fn estimate_wait(&self, row: &RowId, tokens: f64, shares: &Shares) -> Duration {
        let active: f64 = shares
            .iter()
            .filter(|(name, _)| *name == row || self.queue.waiting_of(name) > 0)
            .map(|(_, share)| share)
            .sum();
        let share_of_active =
            shares.get(row).copied().unwrap_or(0.0) / active.max(f64::MIN_POSITIVE);
        let seconds = tokens / (self.rate_tokens_per_s() * share_of_active.max(1e-6));
        Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
    }

    /// Removes and returns the next request to start: reserved slots go to the rows
    /// that they are reserved for, the others by rank.
    pub(crate) fn pop_next(&mut self) -> Option<Entry<Pending>> {
        while let Some(row) = self.reserved_for.pop() {
            if let Some(entry) = self.queue.pop_rollout_of(&row) {
                return Some(entry);
            }
        }
        self.queue.pop()
    }

    /// Removes a waiting request from the queue.
    pub(crate) fn cancel_waiting(&mut self, ticket: Ticket) -> Option<Entry<Pending>> {
        let entry = self.queue.cancel(ticket)?;
        self.deadlines.remove(&(entry.item.deadline, ticket));
        Some(entry)
    }

    /// Picks requests to preempt for the returning row that lacks the most slots,
    /// unless enough slots become free within [`RETURN_TARGET`].
    ///
    /// Takes the requests with the fewest generated tokens, and only of rows that
    /// hold more than their fair slots.
    pub(crate) fn preempt(&mut self, shares: &Shares, now: Timestamp) -> Vec<Ticket> {
        if now.saturating_sub(self.last_preempt_at) < PREEMPT_INTERVAL {
            return Vec::new();
        }
        self.returned_at
            .retain(|_, at| now.saturating_sub(*at) < RETURN_WINDOW);
        let held = self.held_slots();
        let fair = self.fair_slots(shares, &held);
        let fair_slots_of = |row: &RowId| fair.get(row).copied().unwrap_or(0.0);
        let missing_slots_of = |row: &RowId| {
            let held = held.get(row).copied().unwrap_or(0) + self.preempting_count(row);
            let missing = (fair_slots_of(row).round() as usize).saturating_sub(held);
            missing.min(self.queue.waiting_of(row))
        };
        let next = self
            .returned_at
            .keys()
            .max_by_key(|row| missing_slots_of(row));
        let Some(next) = next.cloned() else {
            return Vec::new();
        };
        let missing = missing_slots_of(&next);
        if missing as f64 <= self.ends_per_s * RETURN_TARGET.as_secs_f64() {
            return Vec::new();
        }
        let mut excess_slots: BTreeMap<&RowId, usize> = held
            .iter()
            .map(|(row, count)| {
                (
                    row,
                    count.saturating_sub(fair_slots_of(row).round().max(1.0) as usize),
                )
            })
            .collect();
        let mut youngest: Vec<(u32, Ticket)> = self
            .running
            .iter()
            .filter(|(_, running)| running.preempted_for.is_none())
            .map(|(ticket, running)| (running.generated_tokens, *ticket))
            .collect();
        youngest.sort_unstable();
        let mut tickets = Vec::new();
        for (_, ticket) in youngest {
            if tickets.len() >= missing {
                break;
            }
            let Some(running) = self.running.get_mut(&ticket) else {
                continue;
            };
            let Some(left) = excess_slots.get_mut(&running.row).filter(|left| **left > 0) else {
                continue;
            };
            *left -= 1;
            running.preempted_for = Some(next.clone());
            tickets.push(ticket);
        }
        if !tickets.is_empty() {
            self.last_preempt_at = now;
        }
        tickets
    }

    /// Records the time when a row begins to wait while it holds at most half of
    /// its fair slots.
    pub(crate) fn record_return(&mut self, row: &RowId, shares: &Shares, now: Timestamp) {
        if self.queue.waiting_of(row) > 0 {
            return;
        }
        let mut held = self.held_slots();
        let count = *held.entry(row.clone()).or_default();
        let fair = self.fair_slots(shares, &held);
        if 2.0 * count as f64 <= fair.get(row).copied().unwrap_or(0.0) {
            self.returned_at.insert(row.clone(), now);
        }
    }

    /// Divides the slots by share among the rows that hold or wait for slots.
    fn fair_slots(&self, shares: &Shares, held: &BTreeMap<RowId, usize>) -> BTreeMap<RowId, f64> {
        let active: Vec<(&RowId, f64)> = shares
            .iter()
            .filter(|(row, _)| held.contains_key(*row) || self.queue.waiting_of(row) > 0)
            .map(|(row, share)| (row, *share))
            .collect();
        let sum: f64 = active.iter().map(|(_, share)| share).sum();
        active
            .into_iter()
            .map(|(row, share)| (row.clone(), share / sum * f64::from(self.slots)))
            .collect()
    }

    /// Counts the slots by row, without those of requests being preempted.
    fn held_slots(&self) -> BTreeMap<RowId, usize> {
        let mut held = BTreeMap::new();
        for running in self
            .running
            .values()
            .filter(|running| running.preempted_for.is_none())
        {
            *held.entry(running.row.clone()).or_default() += 1;
        }
        held
    }
}
