//! Results of finished items that wait to be listed.

use std::collections::BTreeSet;

use super::{Action, Scheduler};
use crate::batch::job::{ItemId, ItemResult, JobId};

impl Scheduler {
    /// Returns the results of `job` that are not listed yet.
    pub fn finished(&self, job: &JobId) -> &[ItemResult] {
        self.jobs.get(job).map_or(&[], |job| &job.finished)
    }

    /// Returns the jobs with results that are not listed yet.
    pub fn unlisted_jobs(&self) -> Vec<JobId> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.finished.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Records that the first `count` results of [`Scheduler::finished`] are
    /// listed, and returns whether all items of the job are now done and
    /// listed.
    pub fn record_listed(&mut self, job: &JobId, count: usize) -> bool {
        let Some(open_job) = self.jobs.get_mut(job) else {
            return false;
        };
        open_job
            .finished
            .drain(..count.min(open_job.finished.len()));
        open_job.finished.is_empty() && open_job.items.iter().all(|item| item.is_done)
    }

    /// Drops the results and stops the runs of items that another coordinator
    /// has listed.
    pub fn drop_listed(&mut self, job: &JobId, listed: &BTreeSet<ItemId>) -> Vec<Action> {
        let Some(open_job) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        open_job
            .finished
            .retain(|result| !listed.contains(&result.id));
        let mut cancelled = Vec::new();
        for index in 0..open_job.items.len() {
            if listed.contains(&open_job.job.items[index].id) && !open_job.items[index].is_done {
                open_job.items[index].is_done = true;
                open_job.queue.retain(|queued| *queued != index);
                cancelled.extend(open_job.items[index].run);
                cancelled.extend(open_job.stop_scoring(index));
            }
        }
        self.cancel(cancelled)
    }
}
