//! A step ends: its last outputs are whole at about the same time, and their scores
//! arrive one after another. A trainer that read one of them reads on only half a second
//! later, so they are listed together.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{collections::BTreeSet, time::Duration};

use mimosavane::batch::{
    job::{Job, JobId},
    layout,
    reward::{RewardEnd, RewardLimits},
    scheduler::{Action, Rights, RunEnd, RunNumber, Scheduler},
};
use rows_support::{engine, scored_job};

const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};
const LIMITS: RewardLimits = RewardLimits {
    max_error_count: 3,
    hedge_after: Duration::from_secs(5),
};
/// Three groups of four.
const ITEM_COUNT: usize = 12;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Step {
    scheduler: Scheduler,
    /// The runs by the index of their item.
    runs: Vec<Option<RunNumber>>,
}

impl Step {
    /// Starts all items of a step of which the trainer waits for `wanted_group_count`
    /// groups.
    fn start(wanted_group_count: usize) -> Self {
        let mut job: Job = scored_job("job", ITEM_COUNT, 8);
        job.head.wanted_group_count = wanted_group_count;
        let mut scheduler = Scheduler::default();
        scheduler.set_engines(vec![engine("engine-1", 64)]);
        scheduler.open(job, &BTreeSet::new(), Duration::ZERO, at(0));
        let mut runs = vec![None; ITEM_COUNT];
        for action in scheduler.poll(at(0), RIGHTS) {
            if let Action::Start {
                run, item_index, ..
            } = action
            {
                runs[item_index] = Some(run);
            }
        }
        Self { scheduler, runs }
    }

    /// Completes the output of an item.
    fn complete(&mut self, item_index: usize, now: Duration) {
        let run = self.runs[item_index].unwrap();
        assert!(self.scheduler.record_answer(run, 1, now));
        assert!(self.scheduler.record_event(run, 1, "text", 1, now));
        self.scheduler.record_run_end(run, RunEnd::Completed, now);
        self.scheduler.record_whole_saved(&Self::id(), item_index);
    }

    /// Scores an item whose output is whole.
    fn score(&mut self, item_index: usize, now: Duration) {
        let due = self.scheduler.due_rewards(now);
        let reward = due.iter().find(|due| due.item_index == item_index).unwrap();
        let call = self
            .scheduler
            .start_reward(reward, "scorer-1".into(), LIMITS, now)
            .unwrap();
        self.scheduler
            .record_reward_end(call, RewardEnd::Scored("s".into()), now);
    }

    /// Lists what may be listed, and returns the number of results.
    fn list(&mut self, now: Duration) -> usize {
        let id = Self::id();
        if !self.scheduler.unlisted_jobs(now).contains(&id) {
            return 0;
        }
        let count = self.scheduler.finished(&id).len();
        self.scheduler.record_listed(&id, count);
        count
    }

    fn id() -> JobId {
        "job".into()
    }
}

/// The last outputs are whole: the first score waits for the others, which arrive
/// within 300 ms, and all are listed at once.
#[test]
fn scores_one_after_another() {
    let mut step = Step::start(3);
    for index in 0..ITEM_COUNT {
        step.complete(index, at(6_000));
    }
    for index in 0..ITEM_COUNT - 1 {
        step.score(index, at(6_100));
        assert_eq!(step.list(at(6_100)), 0);
    }
    assert_eq!(step.list(at(6_290)), 0);
    step.score(ITEM_COUNT - 1, at(6_300));
    assert_eq!(step.list(at(6_300)), ITEM_COUNT);
}

/// A score that does not arrive holds the others back for 300 ms only.
#[test]
fn missing_score() {
    let mut step = Step::start(3);
    for index in 0..ITEM_COUNT {
        step.complete(index, at(6_000));
    }
    step.score(0, at(6_100));
    assert_eq!(step.list(at(6_399)), 0);
    assert_eq!(step.list(at(6_400)), 1);
}

/// Another output of the step is still being generated, for an unknown time: results
/// are listed as they come.
#[test]
fn output_in_progress() {
    let mut step = Step::start(3);
    for index in 0..ITEM_COUNT - 1 {
        step.complete(index, at(3_000));
    }
    step.score(0, at(3_100));
    assert_eq!(step.list(at(3_100)), 1);
}

/// The trainer waits for two of three groups: once they are whole, nothing waits for
/// the third.
#[test]
fn enough_groups() {
    let mut step = Step::start(2);
    for index in 0..ITEM_COUNT {
        step.complete(index, at(6_000));
    }
    for index in 0..7 {
        step.score(index, at(6_100));
        assert_eq!(step.list(at(6_100)), 0);
    }
    step.score(7, at(6_100));
    assert_eq!(step.list(at(6_100)), 8);
    step.score(8, at(6_150));
    assert_eq!(step.list(at(6_150)), 1);
}

/// The step is due within the next 300 ms: its results are listed as they come.
#[test]
fn step_due_soon() {
    let mut step = Step::start(3);
    for index in 0..ITEM_COUNT {
        step.complete(index, at(7_300));
    }
    step.score(0, at(7_300));
    assert_eq!(step.list(at(7_300)), 1);
}

/// The number of groups is stored behind the head, where hosts of earlier versions do
/// not look, and heads of earlier versions are read without it.
#[test]
fn stored_head() {
    let mut job = scored_job("job", ITEM_COUNT, 8);
    let stored = |job: &Job| {
        let transactions = layout::acceptance(job).unwrap();
        let puts = &transactions.last().unwrap().puts;
        let head = puts.iter().find(|(name, _)| name.key == layout::HEAD_KEY);
        head.unwrap().1.clone()
    };
    let earlier = stored(&job);
    assert_eq!(layout::decode_head(&earlier).unwrap(), job.head);
    job.head.wanted_group_count = 2;
    let extended = stored(&job);
    assert_eq!(layout::decode_head(&extended).unwrap(), job.head);
    assert!(extended.starts_with(&earlier));
}
