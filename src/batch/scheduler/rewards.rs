//! Reward calls for items whose output is whole (see docs/design/rewards.md).

use std::{collections::BTreeMap, sync::Arc};

use super::{Action, OpenJob, Scheduler};
use crate::{
    batch::{
        job::{GroupId, ItemId, ItemState, JobId, RewardRequest},
        output::OutputPart,
        reward::{CallNumber, RewardEnd, RewardLimits, Scoring, Verdict},
    },
    clock::Timestamp,
    ids::UpstreamId,
    retry::Budget,
};

/// The number of hedged calls per call that is not hedged, which limits the load that
/// upstreams without answers add to the others.
const HEDGE_RATIO: f64 = 0.1;

/// The share of calls that may be hedged.
#[derive(Clone, Debug)]
pub(super) struct HedgeBudget(Budget);

impl Default for HedgeBudget {
    fn default() -> Self {
        Self(Budget::new(HEDGE_RATIO))
    }
}

/// An item for which a reward call may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueReward {
    /// The job.
    pub job: JobId,
    /// The item.
    pub item: ItemId,
    /// The index of the item in its job.
    pub item_index: usize,
    /// The call to start.
    pub request: Arc<RewardRequest>,
    /// The number of calls of the item that ended without a usable answer.
    pub failure_count: u32,
    /// The upstreams of the item's calls in progress.
    pub upstreams_in_use: Vec<UpstreamId>,
    /// Whether another call of the item is in progress without an answer.
    pub is_hedge: bool,
}

/// A reward call in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RewardCall {
    job: JobId,
    item_index: usize,
}

/// The result of recording the end of a reward call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RewardOutcome {
    /// Cancellations of the item's other calls, if it needs none any more.
    pub cancelled: Vec<Action>,
    /// How the item ended, if it did.
    pub ended: Option<ItemState>,
}

impl Scheduler {
    /// Returns the items for which a reward call may start, in the order in which
    /// steps need them: first the items of groups that only wait for scores, the
    /// smallest number of missing scores first, then by the time when the job is
    /// due.
    pub fn due_rewards(&self, now: Timestamp) -> Vec<DueReward> {
        let mut due = Vec::new();
        for (id, job) in &self.jobs {
            let mut scorings = job
                .scorings
                .iter()
                .map(|(index, scoring)| (index, scoring, scoring.may_hedge(now)))
                .filter(|(_, scoring, is_hedge)| *is_hedge || scoring.may_call(now))
                .peekable();
            // Counting what is missing costs as much as the job has items.
            if scorings.peek().is_none() {
                continue;
            }
            let missing = job.missing_counts();
            let due_at = (job.opened_at + job.job.head.due).saturating_sub(job.age);
            for (index, scoring, is_hedge) in scorings {
                let item = &job.job.items[*index];
                let Some(request) = &item.reward else {
                    continue;
                };
                let missing = missing.get(&item.group).copied().unwrap_or_default();
                due.push((
                    (missing, due_at, *index),
                    DueReward {
                        job: id.clone(),
                        item: item.id.clone(),
                        item_index: *index,
                        request: request.clone(),
                        failure_count: scoring.failure_count(),
                        upstreams_in_use: scoring.upstreams().cloned().collect(),
                        is_hedge,
                    },
                ));
            }
        }
        due.sort_by_key(|(order, _)| *order);
        due.into_iter().map(|(_, reward)| reward).collect()
    }

    /// Starts a reward call to `upstream`, and returns its number, or `None` if it is a hedge
    /// for which the budget has no room, or the item is not scored any more.
    pub fn start_reward(
        &mut self,
        reward: &DueReward,
        upstream: UpstreamId,
        limits: RewardLimits,
        now: Timestamp,
    ) -> Option<CallNumber> {
        let job = self.jobs.get_mut(&reward.job)?;
        let scoring = job.scorings.get_mut(&reward.item_index)?;
        if reward.is_hedge {
            if !self.hedges.0.try_withdraw() {
                return None;
            }
        } else {
            self.hedges.0.deposit();
        }
        // Runs and reward calls share one sequence of numbers, so that one action
        // cancels either.
        self.last_run += 1;
        let number = self.last_run;
        let limits = RewardLimits {
            max_error_count: limits.max_error_count.max(job.job.head.max_attempts),
            ..limits
        };
        scoring.record_start(number, upstream, limits, now);
        self.rewards.insert(
            number,
            RewardCall {
                job: reward.job.clone(),
                item_index: reward.item_index,
            },
        );
        Some(number)
    }

    /// Records how a reward call ended: its item finishes, or needs another call.
    pub fn record_reward_end(
        &mut self,
        call: CallNumber,
        end: RewardEnd,
        now: Timestamp,
    ) -> RewardOutcome {
        let Some(RewardCall { job, item_index }) = self.rewards.remove(&call) else {
            return RewardOutcome::default();
        };
        let Some(open_job) = self.jobs.get_mut(&job) else {
            return RewardOutcome::default();
        };
        let Some(scoring) = open_job.scorings.get_mut(&item_index) else {
            return RewardOutcome::default();
        };
        let (state, score) = match scoring.record_end(call, end, now) {
            Verdict::Pending => return RewardOutcome::default(),
            Verdict::Scored(score) => (ItemState::Completed, Some(score)),
            Verdict::Failed => (ItemState::Failed, None),
        };
        let others = open_job.stop_scoring(item_index);
        open_job.finish(item_index, state, score);
        RewardOutcome {
            cancelled: self.cancel(others),
            ended: Some(state),
        }
    }

    /// Returns the jobs with a whole output that is not saved yet.
    pub fn jobs_with_unsaved_outputs(&self) -> Vec<JobId> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.scorings.values().any(|scoring| !scoring.is_saved()))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the whole outputs of `job` that are not saved yet, in parts of at
    /// most `max_bytes` each.
    pub fn unsaved_whole(&self, job: &JobId, max_bytes: usize) -> Vec<(usize, OutputPart)> {
        let Some(open_job) = self.jobs.get(job) else {
            return Vec::new();
        };
        open_job
            .scorings
            .iter()
            .filter(|(_, scoring)| !scoring.is_saved())
            .flat_map(|(index, _)| {
                let parts = open_job.items[*index].output.final_parts(max_bytes);
                parts.into_iter().map(|part| (*index, part))
            })
            .collect()
    }

    /// Records that a whole output is saved, so that its reward call may start.
    pub fn record_whole_saved(&mut self, job: &JobId, item_index: usize) {
        if let Some(open_job) = self.jobs.get_mut(job)
            && let Some(scoring) = open_job.scorings.get_mut(&item_index)
        {
            scoring.record_saved();
        }
    }

    /// Returns the number of items that have a whole output and no score.
    pub fn unscored_count(&self) -> usize {
        self.jobs.values().map(|job| job.scorings.len()).sum()
    }
}

/// What a group lacks until it is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Missing {
    /// The number of items without a whole output.
    output_count: usize,
    /// The number of items without a result.
    result_count: usize,
}

impl OpenJob {
    /// Starts to score an item whose output is whole, or finishes it if it asks
    /// for no score.
    pub(super) fn complete(&mut self, item_index: usize, now: Timestamp) {
        if self.job.items[item_index].reward.is_none() {
            self.finish(item_index, ItemState::Completed, None);
            return;
        }
        let item = &mut self.items[item_index];
        if item.is_done {
            return;
        }
        item.output.mark_whole();
        item.run = None;
        self.queue.retain(|queued| *queued != item_index);
        self.scorings
            .entry(item_index)
            .or_insert_with(|| Scoring::new(now));
    }

    /// Ends the scoring of an item, and returns its calls in progress.
    pub(super) fn stop_scoring(&mut self, item_index: usize) -> Vec<CallNumber> {
        self.scorings
            .remove(&item_index)
            .map_or_else(Vec::new, |scoring| scoring.calls().collect())
    }

    /// Returns what each group with an unfinished item lacks.
    fn missing_counts(&self) -> BTreeMap<GroupId, Missing> {
        let mut groups: BTreeMap<GroupId, Missing> = BTreeMap::new();
        for (index, item) in self.items.iter().enumerate() {
            if item.is_done {
                continue;
            }
            let group = groups
                .entry(self.job.items[index].group.clone())
                .or_default();
            group.result_count += 1;
            if !self.scorings.contains_key(&index) {
                group.output_count += 1;
            }
        }
        groups
    }
}
