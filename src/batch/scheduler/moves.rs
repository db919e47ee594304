//! Which runs leave their engine before they end.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Action, RunEnd, RunNumber, Scheduler,
    engine::{Engine, near_tokens},
};
use crate::{clock::Timestamp, ids::UpstreamId};

/// How long a run may make no event before it goes on elsewhere. A load of
/// weights, which pauses all runs, takes 0.9 s on the deployment sheets.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_600);

/// How long an engine that runs several items may make no event at all before it
/// counts as silent; the sheets' engines make one each 40 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How many runs must be silent for their engine to count as silent.
const SILENT_RUN_COUNT: usize = 2;

/// How many times slower than the median an engine's events must come for its
/// runs to go on elsewhere; the sheets' speeds differ by a factor of 1.3.
const SLOW_RATIO: f64 = 1.9;

/// How many events a run must have made before it may be moved away.
const MIN_MOVED_EVENT_COUNT: u64 = 3;

/// How many times faster that engine must be. The sheets' speeds are 1.0 and 1.3.
const FASTER_RATIO: f64 = 1.2;

/// How much sooner an item must be expected to end for its run to move. A move
/// costs a connection, which the sheets price; an item of the sheets' mean length
/// gains 300 ms and does not decide when its step ends.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(600);

/// How many runs are moved at once, so that they do not crowd another engine.
const MAX_MOVED_COUNT: usize = 8;

impl Scheduler {
    pub(super) fn stop_stalled(&mut self, now: Timestamp) -> Vec<Action> {
        let silent: BTreeSet<UpstreamId> = self
            .engines
            .values()
            .filter(|engine| engine.run_count >= SILENT_RUN_COUNT && engine.loading.is_none())
            .map(|engine| engine.spec.id.clone())
            .collect();
        let mut quiet: BTreeMap<&UpstreamId, Duration> = BTreeMap::new();
        for run in self
            .runs
            .values()
            .filter(|run| silent.contains(&run.engine))
        {
            let loaded_at = self.engines[&run.engine].loaded_at;
            let since = now.saturating_sub(run.last_event_at.max(loaded_at));
            let least = quiet.entry(&run.engine).or_insert(since);
            *least = since.min(*least);
        }
        let stalled: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                now.saturating_sub(run.last_event_at) >= STALL_TIMEOUT
                    || quiet
                        .get(&run.engine)
                        .is_some_and(|since| *since >= SILENCE_TIMEOUT)
            })
            .map(|(number, _)| *number)
            .collect();
        self.stop(&stalled, RunEnd::Broken, now)
    }

    /// Ends runs that go on elsewhere.
    fn stop(&mut self, runs: &[RunNumber], end: RunEnd, now: Timestamp) -> Vec<Action> {
        runs.iter()
            .map(|run| {
                self.ended(*run, end, now);
                Action::Cancel { run: *run }
            })
            .collect()
    }

    /// Moves runs from engines that are far slower than the median to others that
    /// have room.
    pub(super) fn leave_slow(&mut self, now: Timestamp) -> Vec<Action> {
        let mut intervals: Vec<Duration> = self
            .engines
            .values()
            .filter_map(|engine| engine.interval(now))
            .collect();
        if intervals.len() < 3 {
            return Vec::new();
        }
        intervals.sort();
        let bound = intervals[intervals.len() / 2].mul_f64(SLOW_RATIO);
        let is_slow = |engine: &Engine| engine.interval(now).is_some_and(|i| i > bound);
        let moved: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| run.event_count >= MIN_MOVED_EVENT_COUNT)
            .filter(|(_, run)| self.engines.get(&run.engine).is_some_and(is_slow))
            .filter(|(_, run)| {
                let Some(job) = self.jobs.get(&run.job) else {
                    return false;
                };
                let output = &job.items[run.item_index].output;
                self.engines.values().any(|engine| {
                    !is_slow(engine)
                        && engine.is_usable(&job.job.head, run.tokens, now)
                        && output.admits(&job.job.head, engine.version(&job.job.head.model))
                })
            })
            .map(|(number, _)| *number)
            .take(MAX_MOVED_COUNT)
            .collect();
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Moves runs to faster engines that have room, where much of the item is left.
    ///
    /// Items that wait for such an engine and must start sooner go first; the
    /// others take the place that the run leaves.
    pub(super) fn speed_up_long(&mut self, now: Timestamp) -> Vec<Action> {
        let free: Vec<(Duration, &Engine)> = self
            .engines
            .values()
            .filter(|engine| engine.run_count < engine.spec.slot_count)
            .filter_map(|engine| Some((engine.known_interval(now)?, engine)))
            .collect();
        let Some(fastest) = free.iter().map(|(interval, _)| *interval).min() else {
            return Vec::new();
        };
        let mut room: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        let mut moved = Vec::new();
        for (number, run) in &self.runs {
            let (Some(job), Some(engine)) =
                (self.jobs.get(&run.job), self.engines.get(&run.engine))
            else {
                continue;
            };
            let Some(interval) = engine.interval(now) else {
                continue;
            };
            let left = job.left_count(run.item_index, engine.spec.tokens_per_event) as f64;
            let is_worth = |other: Duration| {
                other.mul_f64(FASTER_RATIO) < interval
                    && interval.saturating_sub(other).mul_f64(left) >= MIN_MOVE_GAIN
            };
            if run.event_count < MIN_MOVED_EVENT_COUNT || !is_worth(fastest) {
                continue;
            }
            let head = &job.job.head;
            let output = &job.items[run.item_index].output;
            let start_by = job.start_by(run.item_index, engine.spec.tokens_per_event);
            let faster = free
                .iter()
                .filter(|(interval, other)| {
                    let moved_count = room.get(&other.spec.id).unwrap_or(&0);
                    other.run_count + moved_count < other.spec.slot_count
                        && is_worth(*interval)
                        && other.is_usable(head, run.tokens, now)
                        && output.admits(head, other.version(&head.model))
                        && !self.is_awaited(other, start_by, now)
                })
                .min_by_key(|(interval, _)| *interval);
            if let Some((_, faster)) = faster {
                *room.entry(&faster.spec.id).or_default() += 1;
                moved.push(*number);
                if moved.len() >= MAX_MOVED_COUNT {
                    break;
                }
            }
        }
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Says whether an item that must start before `start_by` waits for a place
    /// on `engine`.
    fn is_awaited(&self, engine: &Engine, start_by: Timestamp, now: Timestamp) -> bool {
        self.jobs.values().any(|job| {
            let Some(&first) = job.queue.front() else {
                return false;
            };
            let head = &job.job.head;
            let tokens = near_tokens(
                &job.job.items[first],
                &job.items[first].output,
                engine.spec.tokens_per_event,
            );
            job.start_by(first, engine.spec.tokens_per_event) < start_by
                && engine.is_usable(head, tokens, now)
                && job.items[first]
                    .output
                    .admits(head, engine.version(&head.model))
        })
    }
}
