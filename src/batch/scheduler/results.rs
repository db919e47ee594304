//! Results of finished items that wait to be listed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Action, OpenJob, Scheduler};
use crate::{
    batch::job::{GroupId, ItemId, ItemResult, JobId},
    clock::Timestamp,
};

/// How long a result may wait for those that complete its step with it. Reward calls
/// take 200 ms on average in the deployment specification.
const MAX_GATHER_TIME: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Returns the results of `job` that are not listed yet.
    pub fn finished(&self, job: &JobId) -> &[ItemResult] {
        self.jobs.get(job).map_or(&[], |job| &job.finished)
    }

    /// Returns the jobs with results to list now.
    ///
    /// The last results of a step come within some hundred milliseconds of each
    /// other, and a trainer that was given one reads on only half a second later.
    /// They are therefore listed together.
    pub fn unlisted_jobs(&self, now: Timestamp) -> Vec<JobId> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.finished.is_empty() && !job.is_gathering(now))
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

/// What the slowest item of a group is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GroupState {
    /// Nothing.
    Done,
    /// Its score.
    Scoring,
    /// The end of its output.
    Generating,
}

impl OpenJob {
    /// Returns whether results wait for those that complete the step, which is
    /// complete once the reward calls in progress have ended.
    ///
    /// None waits beyond the time when the step is due.
    fn is_gathering(&self, now: Timestamp) -> bool {
        let gathered_until = self.unlisted_since + MAX_GATHER_TIME;
        if self.scorings.is_empty() || now >= gathered_until || gathered_until >= self.due_at() {
            return false;
        }
        let mut groups: BTreeMap<&GroupId, GroupState> = BTreeMap::new();
        for (index, item) in self.items.iter().enumerate() {
            let state = if item.is_done {
                GroupState::Done
            } else if self.scorings.contains_key(&index) {
                GroupState::Scoring
            } else {
                GroupState::Generating
            };
            let group = groups.entry(&self.job.items[index].group).or_insert(state);
            *group = state.max(*group);
        }
        let count = |limit| groups.values().filter(|state| **state <= limit).count();
        let wanted_count = match self.job.head.wanted_group_count {
            0 => groups.len(),
            count => count.min(groups.len()),
        };
        count(GroupState::Done) < wanted_count && count(GroupState::Scoring) >= wanted_count
    }
}
