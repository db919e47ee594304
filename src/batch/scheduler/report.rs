//! How the work of each model stands, for logs and metrics.

use super::Scheduler;
use crate::{batch::job::ModelId, clock::Timestamp, ids::WeightVersion};

/// How one model's work stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelId,
    /// Open jobs.
    pub job_count: usize,
    /// Items that wait for an engine.
    pub waiting_count: usize,
    /// Items that run.
    pub running_count: usize,
    /// Engines whose weights serve all open jobs and that can be given work.
    pub usable_count: usize,
    /// Engines that have the newest weights.
    pub fresh_count: usize,
    /// Engines that load weights of it.
    pub loading_count: usize,
    /// Engines of any model that get no work for now.
    pub avoided_count: usize,
    /// The newest version that was named.
    pub named_version: WeightVersion,
    /// The oldest version that serves all open jobs.
    pub min_version: WeightVersion,
}

impl Scheduler {
    /// Returns how each model's work stands at `now`.
    pub fn loads(&self, now: Timestamp) -> Vec<ModelLoad> {
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
                        .filter(|engine| !engine.is_loading(&model) && engine.avoid_until <= now)
                        .filter(|engine| engine.version(&model) >= need.min_version.max(1))
                        .count(),
                    fresh_count: engines()
                        .filter(|engine| engine.version(&model) >= need.named)
                        .count(),
                    loading_count: engines().filter(|engine| engine.is_loading(&model)).count(),
                    avoided_count: engines().filter(|engine| engine.avoid_until > now).count(),
                    named_version: need.named,
                    min_version: need.min_version,
                    model,
                }
            })
            .collect()
    }
}
