//! Handles the events of runs and the answers to orders.

use super::{
    OrderState, RunEnd, RunNumber, Scheduler,
    engine::{DEFAULT_EVENT_INTERVAL, LOAD_DURATION, PROBE_INTERVAL},
    reading,
};
use crate::{
    batch::{
        job::{EventNumber, ItemState},
        weights::{Load, max_loading_count},
    },
    clock::Timestamp,
    ids::WeightVersion,
};

/// The multiple of the usual duration above which a load counts as long and the
/// limit on concurrent loads is lowered.
const LONG_LOAD_RATIO: f64 = 1.35;

/// The smoothing factor of the event interval of all engines: it averages over
/// about a thousand events.
const TYPICAL_SMOOTHING_RATIO: f64 = 0.002;

impl Scheduler {
    /// Records that an engine answered `run` under `version`, and returns
    /// whether the job accepts its output.
    pub fn record_answer(
        &mut self,
        run: RunNumber,
        version: WeightVersion,
        now: Timestamp,
    ) -> bool {
        let Some(state) = self.runs.get_mut(&run) else {
            return false;
        };
        state.last_event_at = now;
        let Some(job) = self.jobs.get(&state.job) else {
            return false;
        };
        let max_count = max_loading_count(self.engines.len());
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            engine.set_version(&job.job.head.model, version);
            if let Some(took) = engine.confirm_load(&job.job.head.model, now) {
                let is_long = took > LOAD_DURATION.mul_f64(LONG_LOAD_RATIO);
                self.load_reduction_count = if is_long {
                    (self.load_reduction_count + 1).min(max_count / 2)
                } else {
                    self.load_reduction_count.saturating_sub(1)
                };
            }
        }
        job.items[state.item_index].output.can_continue(
            &job.job.head,
            version,
            &state.software_version,
        )
    }

    /// Records an event of `run`, and returns whether it was accepted: whether
    /// it was the next one due and the job accepts its version.
    pub fn record_event(
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
        let software_version = &state.software_version;
        if !item
            .output
            .can_continue(&job.job.head, version, software_version)
            || !item.output.push(number, data, version, software_version)
        {
            return false;
        }
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            let was_paused = engine.loading.is_some() || engine.load_ended_at > state.last_event_at;
            if state.event_count > 0 && !was_paused {
                let interval = now.saturating_sub(state.last_event_at);
                engine.observe_interval(interval);
                let typical = self.typical_interval.unwrap_or(interval);
                self.typical_interval = Some(
                    typical.mul_f64(1.0 - TYPICAL_SMOOTHING_RATIO)
                        + interval.mul_f64(TYPICAL_SMOOTHING_RATIO),
                );
            }
            if state.event_count == 0 {
                let event_interval = self.typical_interval.unwrap_or(DEFAULT_EVENT_INTERVAL);
                reading::record_first_event(
                    engine,
                    &mut self.reading,
                    &state.prompt,
                    event_interval,
                    now,
                );
            }
            engine.record_event(now);
        }
        state.event_count += 1;
        state.last_event_at = now;
        true
    }

    /// Records how `run` ended: its item finishes, or waits for another engine.
    pub fn record_run_end(&mut self, run: RunNumber, end: RunEnd, now: Timestamp) {
        let Some((state, was_probe)) = self.release(run) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            if was_probe && let Some(load) = &mut engine.unconfirmed {
                load.is_late |= end == RunEnd::NotRun;
                load.next_probe_at = now + PROBE_INTERVAL;
            }
            if !(was_probe && end == RunEnd::NotRun) {
                engine.update_backoff(end, now);
            }
        }
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        let max_attempts = job.job.head.max_attempts.max(1);
        let item = &mut job.items[state.item_index];
        if state.event_count == 0
            && let Some(engine) = self.engines.get_mut(&state.engine)
        {
            let version = engine.version(&job.job.head.model);
            engine.prompts.forget(&item.parts, version);
        }
        match end {
            RunEnd::Completed => job.complete(state.item_index, now),
            RunEnd::Impossible => job.finish(state.item_index, ItemState::Failed, None),
            RunEnd::Failed => {
                item.failed_count += 1;
                if item.failed_count >= max_attempts {
                    job.finish(state.item_index, ItemState::Failed, None);
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

    /// Records an engine's answer to the order of `load`; `None` if the engine
    /// refused it or its outcome is unknown.
    pub fn record_order_answer(&mut self, load: &Load, answer: Option<OrderState>, now: Timestamp) {
        let loading_count = self
            .engines
            .values()
            .filter(|e| e.loading.is_some())
            .count();
        let allowed_count = max_loading_count(self.engines.len());
        // More concurrent loads than allowed slow each other down.
        let slowdown_ratio = (loading_count as f64 / allowed_count as f64).max(1.0);
        let Some(engine) = self.engines.get_mut(&load.engine) else {
            return;
        };
        match answer {
            Some(OrderState::Loading) => {
                if let Some(loading) = &mut engine.loading {
                    loading.done_at = Some(now + LOAD_DURATION.mul_f64(slowdown_ratio));
                }
            }
            Some(OrderState::Holds) => {
                engine.end_load(now);
                engine.set_version(&load.model, load.version);
            }
            None => {
                engine.loading = None;
                engine.record_order_failure(now);
            }
        }
    }
}
