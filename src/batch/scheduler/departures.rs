//! Moves runs from engines that leave before the runs end.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Action, OpenJob, Run, RunEnd, RunNumber, Scheduler,
    engine::{DEFAULT_EVENT_INTERVAL, Engine},
};
use crate::{clock::Timestamp, ids::UpstreamId};

/// How much earlier than an engine leaves its runs must end: a review takes place every 50 ms,
/// and the listing of the time left lags by some hundred milliseconds.
const DEPARTURE_MARGIN: Duration = Duration::from_millis(300);

/// How long before an engine leaves its last runs are stopped. The silence of an engine that
/// is gone would hold their items up for 0.7 to 1.6 s.
const LAST_MOMENT: Duration = Duration::from_millis(100);

/// The maximum number of runs to move at once, so that they do not overload the others.
const MAX_MOVED_COUNT: usize = 16;

/// When an engine leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// The time left as it was listed.
    listed: Duration,
    at: Timestamp,
}

impl Scheduler {
    /// Sets the time left of each engine that is listed as leaving, as of `now`.
    pub fn set_departures(&mut self, times_left: &BTreeMap<UpstreamId, Duration>, now: Timestamp) {
        for (id, engine) in &mut self.engines {
            engine.departure = match (times_left.get(id), engine.departure) {
                // The time was listed when it was first seen.
                (Some(left), Some(known)) if known.listed == *left => Some(known),
                (Some(left), _) => Some(Departure {
                    listed: *left,
                    at: now + *left,
                }),
                // The entry of an engine that is gone says nothing any more.
                (None, known) => known.filter(|_| engine.is_gone),
            };
        }
    }

    /// Stops runs that would outlast their engine, if another one has room, and all runs of
    /// engines that are about to leave.
    pub(super) fn move_from_leaving(&mut self, now: Timestamp) -> Vec<Action> {
        let leaving: BTreeMap<&UpstreamId, Timestamp> = self
            .engines
            .iter()
            .filter_map(|(id, engine)| Some((id, engine.departure?.at)))
            .collect();
        if leaving.is_empty() {
            return Vec::new();
        }
        // Runs that are moved in one round share the free slots of the others.
        let mut moved_counts: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        let mut moved: Vec<RunNumber> = Vec::new();
        let mut room_moved_count = 0;
        for (number, run) in &self.runs {
            let (Some(leaves_at), Some(job)) = (leaving.get(&run.engine), self.jobs.get(&run.job))
            else {
                continue;
            };
            if now + LAST_MOMENT >= *leaves_at {
                moved.push(*number);
                continue;
            }
            let ends_at = now + self.expected_remaining(run, job, now) + DEPARTURE_MARGIN;
            if ends_at < *leaves_at || room_moved_count >= MAX_MOVED_COUNT {
                continue;
            }
            let head = &job.job.head;
            let output = &job.items[run.item_index].output;
            let start_by = job.start_by(run.item_index, self.tokens_per_event(job));
            let target = self.engines.values().find(|engine| {
                let moved_count = moved_counts.get(&engine.spec.id).unwrap_or(&0);
                engine.departure.is_none()
                    && engine.run_count + moved_count < engine.spec.slot_count
                    && engine.is_usable(head, run.tokens, now)
                    && engine.can_continue(head, output)
                    && !self.has_earlier_waiter(engine, start_by, now)
            });
            if let Some(target) = target {
                *moved_counts.entry(&target.spec.id).or_default() += 1;
                room_moved_count += 1;
                moved.push(*number);
            }
        }
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Returns how long the rest of a run is expected to take on its engine.
    fn expected_remaining(&self, run: &Run, job: &OpenJob, now: Timestamp) -> Duration {
        let engine = self.engines.get(&run.engine);
        let interval = engine
            .and_then(|engine: &Engine| engine.expected_interval(now))
            .or(self.typical_interval)
            .unwrap_or(DEFAULT_EVENT_INTERVAL);
        let tokens_per_event = engine.map_or(1, |engine| engine.spec.tokens_per_event);
        interval.mul_f64(job.remaining_event_count(run.item_index, tokens_per_event) as f64)
    }
}
