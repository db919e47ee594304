//! Summarises the load of each model, for logs and metrics.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{Scheduler, engine::DEFAULT_EVENT_INTERVAL};
use crate::{batch::job::ModelId, clock::Timestamp, ids::WeightVersion};

/// The load of one model: its jobs, its items and the engines for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelId,
    /// The number of open jobs.
    pub job_count: usize,
    /// The number of items that wait for an engine.
    pub waiting_count: usize,
    /// The number of items that run.
    pub running_count: usize,
    /// The number of engines that all open jobs can use: neither loading the
    /// model nor in backoff, and with new enough weights.
    pub usable_count: usize,
    /// The number of engines that hold the newest named version.
    pub fresh_count: usize,
    /// The number of engines that load weights of the model.
    pub loading_count: usize,
    /// The number of engines that hold items of the model back until a run has confirmed
    /// that their load has ended.
    pub unconfirmed_count: usize,
    /// The number of engines in backoff, whatever their models.
    pub avoided_count: usize,
    /// The newest version that a trainer named.
    pub named_version: WeightVersion,
    /// The oldest version that all open jobs accept.
    pub min_version: WeightVersion,
}

/// The work of the open jobs of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The number of items that run.
    pub running_count: usize,
    /// The number of items that wait for an engine.
    pub waiting_count: usize,
    /// The open jobs with such items.
    pub jobs: Vec<JobLoad>,
}

/// The remaining work of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLoad {
    /// The time until the job is due.
    pub due_in: Duration,
    /// The expected time for which its items will run, all together.
    pub work: Duration,
}

impl Scheduler {
    /// Returns the load of each service that has open jobs.
    pub fn service_loads(&self, now: Timestamp) -> BTreeMap<Arc<str>, ServiceLoad> {
        let typical_interval = self.typical_interval.unwrap_or(DEFAULT_EVENT_INTERVAL);
        let mut loads: BTreeMap<Arc<str>, ServiceLoad> = BTreeMap::new();
        for job in self.jobs.values() {
            let head = &job.job.head;
            let running = (0..job.items.len()).filter(|index| job.items[*index].run.is_some());
            let open: Vec<usize> = running.chain(job.queue.iter().copied()).collect();
            if open.is_empty() {
                continue;
            }
            let tokens_per_event = self.tokens_per_event(job);
            let event_count: u64 = open
                .iter()
                .map(|index| job.remaining_event_count(*index, tokens_per_event))
                .sum();
            let load = loads.entry(head.service.clone()).or_default();
            load.waiting_count += job.queue.len();
            load.running_count += open.len() - job.queue.len();
            load.jobs.push(JobLoad {
                due_in: (job.opened_at + head.due).saturating_sub(job.age + now),
                work: typical_interval.mul_f64(event_count as f64),
            });
        }
        loads
    }

    /// Returns the services with items that run, or that wait for engines which all
    /// failed lately.
    pub fn services_in_use(&self) -> BTreeSet<Arc<str>> {
        let running = self.runs.values().filter_map(|run| self.jobs.get(&run.job));
        let waiting = self.jobs.values().filter(|job| !job.queue.is_empty());
        let have_all_failed = |service: &str| {
            self.engines
                .values()
                .filter(|engine| engine.serves(service))
                .all(|engine| engine.failure_count > 0)
        };
        running
            .map(|job| &job.job.head.service)
            .chain(
                waiting
                    .map(|job| &job.job.head.service)
                    .filter(|service| have_all_failed(service)),
            )
            .cloned()
            .collect()
    }

    /// Returns the load of each model at `now`.
    pub fn model_loads(&self, now: Timestamp) -> Vec<ModelLoad> {
        let needs = self.needs();
        needs
            .into_iter()
            .map(|(model, need)| {
                let engines = || self.engines.values().filter(|engine| !engine.is_gone);
                let running = self.runs.values().filter(|run| {
                    self.jobs
                        .get(&run.job)
                        .is_some_and(|job| job.job.head.model == model)
                });
                ModelLoad {
                    waiting_count: need.waiting_count,
                    running_count: running.count(),
                    job_count: self
                        .jobs
                        .values()
                        .filter(|job| job.job.head.model == model)
                        .count(),
                    usable_count: engines()
                        .filter(|engine| !engine.is_loading(&model) && engine.backoff_until <= now)
                        .filter(|engine| engine.version(&model) >= need.min_version.max(1))
                        .count(),
                    fresh_count: engines()
                        .filter(|engine| engine.version(&model) >= need.named)
                        .count(),
                    loading_count: engines().filter(|engine| engine.is_loading(&model)).count(),
                    unconfirmed_count: engines()
                        .filter(|engine| engine.is_awaiting_probe(&model, now))
                        .count(),
                    avoided_count: engines()
                        .filter(|engine| engine.backoff_until > now)
                        .count(),
                    named_version: need.named,
                    min_version: need.min_version,
                    model,
                }
            })
            .collect()
    }
}
