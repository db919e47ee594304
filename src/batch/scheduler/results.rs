//! Results that wait to be listed.

use std::collections::BTreeSet;

use super::{Action, Scheduler};
use crate::batch::job::{ItemId, ItemResult, JobId};

impl Scheduler {
    /// Returns results of `job` that are not listed yet.
    pub fn finished(&self, job: &JobId) -> &[ItemResult] {
        self.jobs.get(job).map_or(&[], |job| &job.finished)
    }

    /// Returns the jobs that have results to list.
    pub fn unlisted(&self) -> Vec<JobId> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.finished.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes in that the first `count` results of [`Scheduler::finished`] are
    /// listed, and says whether that was all of the job.
    pub fn listed(&mut self, job: &JobId, count: usize) -> bool {
        let Some(run) = self.jobs.get_mut(job) else {
            return false;
        };
        run.finished.drain(..count.min(run.finished.len()));
        run.finished.is_empty() && run.items.iter().all(|item| item.is_done)
    }

    /// Drops results that another coordinator has listed.
    pub fn listed_elsewhere(&mut self, job: &JobId, listed: &BTreeSet<ItemId>) -> Vec<Action> {
        let Some(run) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        run.finished.retain(|result| !listed.contains(&result.id));
        let mut cancelled = Vec::new();
        for (index, item) in run.job.items.iter().enumerate() {
            if listed.contains(&item.id) && !run.items[index].is_done {
                run.items[index].is_done = true;
                run.queue.retain(|queued| *queued != index);
                cancelled.extend(run.items[index].run);
            }
        }
        cancelled
            .into_iter()
            .map(|run| {
                self.release(run);
                Action::Cancel { run }
            })
            .collect()
    }
}
