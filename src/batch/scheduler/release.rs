//! Removes runs that ended, were cancelled or whose items' time is up.

use std::time::Duration;

use super::{Action, Run, RunNumber, Scheduler};
use crate::{
    batch::job::{ItemState, JobId},
    clock::Timestamp,
};

/// The margin after its TTL before an item is failed, to allow for clock skew.
const TTL_MARGIN: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Fails the unfinished items of jobs whose TTL has passed, and stops their
    /// runs.
    pub(super) fn fail_overdue(&mut self, now: Timestamp) -> Vec<Action> {
        let overdue: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let age = job.age + now.saturating_sub(job.opened_at);
                age >= job.job.head.item_ttl + TTL_MARGIN
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut stopped = Vec::new();
        for id in overdue {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for index in 0..job.items.len() {
                stopped.extend(job.items[index].run.take());
                stopped.extend(job.stop_scoring(index));
                job.finish(index, ItemState::Failed, None);
            }
            job.queue.clear();
        }
        self.cancel(stopped)
    }

    /// Removes runs and reward calls, and returns the actions that cancel them.
    pub(super) fn cancel(&mut self, numbers: impl IntoIterator<Item = RunNumber>) -> Vec<Action> {
        numbers
            .into_iter()
            .map(|run| {
                self.rewards.remove(&run);
                self.release(run);
                Action::Cancel { run }
            })
            .collect()
    }

    /// Removes `run` from its engine and its item, and returns it with whether it probed a
    /// load.
    pub(super) fn release(&mut self, run: RunNumber) -> Option<(Run, bool)> {
        let state = self.runs.remove(&run)?;
        self.shares.end_run(&state.share);
        let was_probe = self.engines.get_mut(&state.engine).is_some_and(|engine| {
            if state.event_count == 0 {
                engine.prompts.end_reading(&state.prompt);
            }
            engine.end_run(run, state.tokens)
        });
        if let Some(job) = self.jobs.get_mut(&state.job)
            && let Some(item) = job.items.get_mut(state.item_index)
            && item.run == Some(run)
        {
            item.run = None;
        }
        Some((state, was_probe))
    }
}
