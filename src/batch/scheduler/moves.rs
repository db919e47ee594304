//! Stops runs before they end, so that their items continue on other engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Action, RunEnd, RunNumber, Scheduler,
    engine::{Engine, planned_tokens},
};
use crate::{clock::Timestamp, ids::UpstreamId};

/// The time without an event after which a run is stopped. It exceeds a load of
/// weights, which pauses all runs of the engine and takes 0.9 s according to
/// the deployment specification.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The time without an event of any run after which an engine with several runs
/// counts as silent. In the deployment specification a run generates an event
/// every 40 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// The minimum number of runs for an engine to count as silent.
const MIN_SILENT_RUN_COUNT: usize = 2;

/// The multiple of the median event interval above which an engine counts as
/// slow. Engine speeds in the deployment specification differ by a factor of
/// 1.3.
const SLOW_RATIO: f64 = 1.9;

/// The number of events that a run must have generated before it may be moved.
const MIN_MOVED_EVENT_COUNT: u64 = 3;

/// The minimum ratio of the speeds of two engines for a run to move to the
/// faster one. The speeds in the deployment specification are 1.0 and 1.3.
const MIN_SPEEDUP_RATIO: f64 = 1.2;

/// The minimum reduction of an item's expected remaining time for its run to
/// move. A move costs a connection, which has a price in the deployment
/// specification. An item of the mean length specified there would gain 300 ms,
/// and does not determine when its step ends.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(600);

/// The maximum number of runs to move at once, so that they do not overload
/// another engine.
const MAX_MOVED_COUNT: usize = 8;

impl Scheduler {
    /// Stops runs that stalled and all runs of engines that fell silent.
    pub(super) fn stop_stalled(&mut self, now: Timestamp) -> Vec<Action> {
        let candidates: BTreeSet<UpstreamId> = self
            .engines
            .values()
            .filter(|engine| engine.run_count >= MIN_SILENT_RUN_COUNT && engine.loading.is_none())
            .map(|engine| engine.spec.id.clone())
            .collect();
        let mut silences: BTreeMap<&UpstreamId, Duration> = BTreeMap::new();
        for run in self
            .runs
            .values()
            .filter(|run| candidates.contains(&run.engine))
        {
            let load_ended_at = self.engines[&run.engine].load_ended_at;
            let silence = now.saturating_sub(run.last_event_at.max(load_ended_at));
            let shortest = silences.entry(&run.engine).or_insert(silence);
            *shortest = silence.min(*shortest);
        }
        let stalled: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                now.saturating_sub(run.last_event_at) >= STALL_TIMEOUT
                    || silences
                        .get(&run.engine)
                        .is_some_and(|silence| *silence >= SILENCE_TIMEOUT)
            })
            .map(|(number, _)| *number)
            .collect();
        self.stop(&stalled, RunEnd::Broken, now)
    }

    /// Stops `runs`, so that their items continue on other engines.
    pub(super) fn stop(&mut self, runs: &[RunNumber], end: RunEnd, now: Timestamp) -> Vec<Action> {
        runs.iter()
            .map(|run| {
                self.record_run_end(*run, end, now);
                Action::Cancel { run: *run }
            })
            .collect()
    }

    /// Moves runs from engines that are much slower than the median to others
    /// with free capacity.
    pub(super) fn move_from_slow(&mut self, now: Timestamp) -> Vec<Action> {
        let mut intervals: Vec<Duration> = self
            .engines
            .values()
            .filter_map(|engine| engine.recent_interval(now))
            .collect();
        if intervals.len() < 3 {
            return Vec::new();
        }
        intervals.sort();
        let max_interval = intervals[intervals.len() / 2].mul_f64(SLOW_RATIO);
        let is_slow = |engine: &Engine| {
            engine
                .recent_interval(now)
                .is_some_and(|i| i > max_interval)
        };
        // Runs that are moved in one round share the free slots of the others.
        let mut moved_counts: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        let mut moved: Vec<RunNumber> = Vec::new();
        for (number, run) in &self.runs {
            let is_on_slow = self.engines.get(&run.engine).is_some_and(is_slow);
            let Some(job) = self.jobs.get(&run.job) else {
                continue;
            };
            if run.event_count < MIN_MOVED_EVENT_COUNT || !is_on_slow {
                continue;
            }
            let head = &job.job.head;
            let output = &job.items[run.item_index].output;
            let target = self.engines.values().find(|engine| {
                let moved_count = moved_counts.get(&engine.spec.id).unwrap_or(&0);
                engine.run_count + moved_count < engine.spec.slot_count
                    && !is_slow(engine)
                    && engine.is_usable(head, run.tokens, now)
                    && engine.can_continue(head, output)
            });
            if let Some(target) = target {
                *moved_counts.entry(&target.spec.id).or_default() += 1;
                moved.push(*number);
                if moved.len() >= MAX_MOVED_COUNT {
                    break;
                }
            }
        }
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Moves runs to faster engines with free capacity, if much of their item
    /// remains.
    ///
    /// Waiting items that must start earlier and could use such an engine have
    /// precedence; other waiting items can use the slot that the run frees.
    pub(super) fn move_to_faster(&mut self, now: Timestamp) -> Vec<Action> {
        let free: Vec<(Duration, &Engine)> = self
            .engines
            .values()
            .filter(|engine| engine.run_count < engine.spec.slot_count)
            .filter_map(|engine| Some((engine.expected_interval(now)?, engine)))
            .collect();
        let Some(fastest) = free.iter().map(|(interval, _)| *interval).min() else {
            return Vec::new();
        };
        let mut moved_counts: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        let mut moved = Vec::new();
        for (number, run) in &self.runs {
            let (Some(job), Some(engine)) =
                (self.jobs.get(&run.job), self.engines.get(&run.engine))
            else {
                continue;
            };
            let Some(interval) = engine.recent_interval(now) else {
                continue;
            };
            let remaining_count =
                job.remaining_event_count(run.item_index, engine.spec.tokens_per_event) as f64;
            let is_worthwhile = |other: Duration| {
                other.mul_f64(MIN_SPEEDUP_RATIO) < interval
                    && interval.saturating_sub(other).mul_f64(remaining_count) >= MIN_MOVE_GAIN
            };
            if run.event_count < MIN_MOVED_EVENT_COUNT || !is_worthwhile(fastest) {
                continue;
            }
            let head = &job.job.head;
            let output = &job.items[run.item_index].output;
            let start_by = job.start_by(run.item_index, engine.spec.tokens_per_event);
            let faster = free
                .iter()
                .filter(|(interval, other)| {
                    let moved_count = moved_counts.get(&other.spec.id).unwrap_or(&0);
                    other.run_count + moved_count < other.spec.slot_count
                        && is_worthwhile(*interval)
                        && other.is_usable(head, run.tokens, now)
                        && other.can_continue(head, output)
                        && !self.has_earlier_waiter(other, start_by, now)
                })
                .min_by_key(|(interval, _)| *interval);
            if let Some((_, faster)) = faster {
                *moved_counts.entry(&faster.spec.id).or_default() += 1;
                moved.push(*number);
                if moved.len() >= MAX_MOVED_COUNT {
                    break;
                }
            }
        }
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Returns whether an item that must start before `start_by` is waiting and
    /// could start on `engine`.
    pub(super) fn has_earlier_waiter(
        &self,
        engine: &Engine,
        start_by: Timestamp,
        now: Timestamp,
    ) -> bool {
        self.jobs.values().any(|job| {
            let Some(&first) = job.queue.front() else {
                return false;
            };
            let head = &job.job.head;
            let tokens = planned_tokens(
                &job.job.items[first],
                &job.items[first].output,
                engine.spec.tokens_per_event,
            );
            job.start_by(first, engine.spec.tokens_per_event) < start_by
                && engine.is_usable(head, tokens, now)
                && engine.can_continue(head, &job.items[first].output)
        })
    }
}
