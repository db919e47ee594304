//! Which runs leave their engine before they end.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Action, RunEnd, RunNumber, Scheduler, engine::Engine};
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

/// How many events show that an item is long, so that it gains by going on at a
/// faster engine: the sheets' mean is 20 to 26.
const LONG_EVENT_COUNT: u64 = 30;

/// How many times faster that engine must be. The sheets' speeds are 1.0 and 1.3.
const FASTER_RATIO: f64 = 1.2;

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

    /// Moves long runs to engines that are faster, once nothing waits for these.
    pub(super) fn speed_up_long(&mut self, now: Timestamp) -> Vec<Action> {
        if self.jobs.values().any(|job| !job.queue.is_empty()) {
            return Vec::new();
        }
        let mut room: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        let mut moved = Vec::new();
        for (number, run) in &self.runs {
            if run.event_count < LONG_EVENT_COUNT {
                continue;
            }
            let (Some(job), Some(engine)) =
                (self.jobs.get(&run.job), self.engines.get(&run.engine))
            else {
                continue;
            };
            let Some(interval) = engine.interval(now) else {
                continue;
            };
            let head = &job.job.head;
            let output = &job.items[run.item_index].output;
            let faster = self.engines.values().find(|other| {
                // Half of the places stay free for the next job.
                let taken_count = other.run_count + room.get(&other.spec.id).unwrap_or(&0);
                taken_count < other.spec.slot_count.div_ceil(2)
                    && other.is_usable(head, run.tokens, now)
                    && output.admits(head, other.version(&head.model))
                    && other
                        .interval(now)
                        .is_some_and(|i| i.mul_f64(FASTER_RATIO) < interval)
            });
            if let Some(faster) = faster {
                *room.entry(&faster.spec.id).or_default() += 1;
                moved.push(*number);
            }
        }
        moved.truncate(MAX_MOVED_COUNT);
        self.stop(&moved, RunEnd::Moved, now)
    }
}
