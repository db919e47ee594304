//! Summarises the load of each model, for logs and metrics.

use std::{collections::BTreeSet, sync::Arc};

use super::Scheduler;
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

impl Scheduler {
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
