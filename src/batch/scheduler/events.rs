//! What runs and orders bring.

use super::{
    OrderState, RunEnd, RunNumber, Scheduler,
    engine::{LOAD_DURATION, PROBE_PAUSE},
};
use crate::{
    batch::{
        job::{EventNumber, ItemState},
        weights::{Load, max_loading_count},
    },
    clock::Timestamp,
    ids::WeightVersion,
};

/// How many times its usual time a load may take before fewer load at once.
const LONG_LOAD_RATIO: f64 = 1.35;

impl Scheduler {
    /// Takes in that an engine answered `run` under `version`, and says whether
    /// its output is usable.
    pub fn answered(&mut self, run: RunNumber, version: WeightVersion, now: Timestamp) -> bool {
        let Some(state) = self.runs.get_mut(&run) else {
            return false;
        };
        state.last_event_at = now;
        let Some(job) = self.jobs.get(&state.job) else {
            return false;
        };
        let max_count = max_loading_count(self.engines.len());
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            engine.holds(&job.job.head.model, version);
            if let Some(took) = engine.prove(&job.job.head.model, now) {
                let is_long = took > LOAD_DURATION.mul_f64(LONG_LOAD_RATIO);
                self.fewer_loads_count = if is_long {
                    (self.fewer_loads_count + 1).min(max_count / 2)
                } else {
                    self.fewer_loads_count.saturating_sub(1)
                };
            }
        }
        job.items[state.item_index]
            .output
            .admits(&job.job.head, version)
    }

    /// Takes in an event of `run`, and says whether it was the next one and its
    /// version serves the job.
    pub fn event(
        &mut self,
        run: RunNumber,
        number: EventNumber,
        data: &str,
        version: WeightVersion,
        now: Timestamp,
    ) -> bool {
        let Some(state) = self.runs.get_mut(&run) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return false;
        };
        let item = &mut job.items[state.item_index];
        if !item.output.admits(&job.job.head, version) || !item.output.push(number, data, version) {
            return false;
        }
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            let is_paused = engine.loading.is_some() || engine.loaded_at > state.last_event_at;
            if state.event_count > 0 && !is_paused {
                engine.observe_interval(now.saturating_sub(state.last_event_at));
            }
            engine.event_at = now;
            engine.failure_count = 0;
        }
        state.event_count += 1;
        state.last_event_at = now;
        true
    }

    /// Takes in how `run` ended.
    pub fn ended(&mut self, run: RunNumber, end: RunEnd, now: Timestamp) {
        let Some(state) = self.release(run) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            let was_probe = engine.unproven.as_mut().is_some_and(|unproven| {
                let was_probe = unproven.probe == Some(run);
                if was_probe {
                    unproven.is_late |= end == RunEnd::NotRun;
                    unproven.probe = None;
                    unproven.probe_from = now + PROBE_PAUSE;
                }
                was_probe
            });
            if !(was_probe && end == RunEnd::NotRun) {
                engine.judge(end, now);
            }
        }
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        let max_attempts = job.job.head.max_attempts.max(1);
        let item = &mut job.items[state.item_index];
        match end {
            RunEnd::Completed => job.finish(state.item_index, ItemState::Completed),
            RunEnd::Impossible => job.finish(state.item_index, ItemState::Failed),
            RunEnd::Failed => {
                item.failed_count += 1;
                if item.failed_count >= max_attempts {
                    job.finish(state.item_index, ItemState::Failed);
                } else {
                    job.queue.push_front(state.item_index);
                }
            }
            RunEnd::NotRun
            | RunEnd::WrongVersion
            | RunEnd::WrongEngine
            | RunEnd::Broken
            | RunEnd::Moved => {
                job.queue.push_front(state.item_index);
            }
        }
    }

    /// Takes in that the order to load `load` was accepted at `now`; none where
    /// it was refused or nothing is known of it.
    pub fn ordered(&mut self, load: &Load, accepted: Option<OrderState>, now: Timestamp) {
        let loading_count = self
            .engines
            .values()
            .filter(|e| e.loading.is_some())
            .count();
        let allowed_count = max_loading_count(self.engines.len());
        let stretch = (loading_count as f64 / allowed_count as f64).max(1.0);
        let Some(engine) = self.engines.get_mut(&load.engine) else {
            return;
        };
        match accepted {
            Some(OrderState::Loading) => {
                if let Some(loading) = &mut engine.loading {
                    loading.done_at = Some(now + LOAD_DURATION.mul_f64(stretch));
                }
            }
            Some(OrderState::Holds) => {
                engine.end_load(now);
                engine.holds(&load.model, load.version);
            }
            None => {
                engine.loading = None;
                engine.avoid_orders(now);
            }
        }
    }
}
