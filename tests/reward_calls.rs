//! Reward calls: when they start, in which order, and what their ends mean,
//! under the load patterns that steps produce.

mod rows_support;

use std::{collections::BTreeMap, time::Duration};

use mimosavane::{
    batch::{
        job::{ItemState, Job},
        output::Output,
        reward::{RewardEnd, RewardLimits},
        scheduler::{Action, DueReward, Rights, RunEnd, RunNumber, Scheduler},
    },
    clock::Timestamp,
};
use rows_support::{engine, scored_job};

const LIMITS: RewardLimits = RewardLimits {
    max_error_count: 4,
    hedge_after: Duration::from_millis(800),
};

/// The items of which no call may start.
const NONE: [usize; 0] = [];

/// A scheduler whose engine generates one event of an item on request.
struct Steps {
    scheduler: Scheduler,
    now: Timestamp,
    runs: BTreeMap<usize, RunNumber>,
    cancelled: Vec<RunNumber>,
}

impl Steps {
    fn new(job: Job) -> Self {
        let mut scheduler = Scheduler::default();
        scheduler.set_engines(vec![engine("engine-1", 64)]);
        let mut steps = Self {
            scheduler,
            now: Duration::from_secs(10),
            runs: BTreeMap::new(),
            cancelled: Vec::new(),
        };
        steps
            .scheduler
            .open(job, &Default::default(), Duration::ZERO, steps.now);
        steps.poll();
        steps
    }

    fn poll(&mut self) {
        let rights = Rights {
            may_start: true,
            may_order: false,
        };
        for action in self.scheduler.poll(self.now, rights) {
            match action {
                Action::Start {
                    run, item_index, ..
                } => {
                    self.runs.insert(item_index, run);
                }
                Action::Cancel { run } => self.cancelled.push(run),
                Action::Order(_) => {}
            }
        }
    }

    /// Completes the outputs of items, and saves them.
    fn complete(&mut self, items: impl IntoIterator<Item = usize>) {
        self.complete_unsaved(items);
        for (index, _) in self.scheduler.unsaved_whole(&"job".into(), 1_000) {
            self.scheduler.record_whole_saved(&"job".into(), index);
        }
    }

    fn complete_unsaved(&mut self, items: impl IntoIterator<Item = usize>) {
        for item in items {
            let run = self.runs[&item];
            assert!(self.scheduler.record_answer(run, 1, self.now));
            assert!(self.scheduler.record_event(run, 1, "text", 1, self.now));
            self.scheduler
                .record_run_end(run, RunEnd::Completed, self.now);
        }
    }

    fn due(&self) -> Vec<usize> {
        let due = self.scheduler.due_rewards(self.now);
        due.iter().map(|reward| reward.item_index).collect()
    }

    fn reward(&self, item: usize) -> Option<DueReward> {
        let due = self.scheduler.due_rewards(self.now);
        due.into_iter().find(|reward| reward.item_index == item)
    }

    fn start(&mut self, item: usize) -> Option<u64> {
        let reward = self.reward(item)?;
        self.scheduler
            .start_reward(&reward, "scorer-1".into(), LIMITS, self.now)
    }

    fn end(&mut self, call: u64, end: RewardEnd) -> Option<ItemState> {
        let outcome = self.scheduler.record_reward_end(call, end, self.now);
        self.cancelled
            .extend(outcome.cancelled.iter().map(|action| match action {
                Action::Cancel { run } => *run,
                other => panic!("{other:?}"),
            }));
        outcome.ended
    }

    fn result_count(&self) -> usize {
        self.scheduler.finished(&"job".into()).len()
    }
}

fn scored(score: &str) -> RewardEnd {
    RewardEnd::Scored(score.into())
}

/// No call starts before the last event, nor before the output is saved; a store
/// that is away holds it for a bounded time only.
#[test]
fn order_of_text_and_call() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    assert_eq!(steps.due(), NONE);
    let run = steps.runs[&0];
    steps.scheduler.record_answer(run, 1, steps.now);
    steps.scheduler.record_event(run, 1, "text", 1, steps.now);
    assert_eq!(steps.due(), NONE, "the output is not whole");
    steps
        .scheduler
        .record_run_end(run, RunEnd::Completed, steps.now);
    assert_eq!(steps.due(), NONE, "the output is not saved");
    assert_eq!(steps.result_count(), 0, "the item has no score");
    steps.now += Duration::from_millis(300);
    assert_eq!(steps.due(), [0]);
    let call = steps.start(0).unwrap();
    assert_eq!(steps.due(), NONE, "a call is in progress");
    assert_eq!(steps.end(call, scored("s")), Some(ItemState::Completed));
    let result = &steps.scheduler.finished(&"job".into())[0];
    assert_eq!(result.score.as_deref(), Some("s"));
    assert_eq!(result.text, "text");
}

/// A step's items end together: the groups that only wait for scores come first,
/// those with the fewest missing scores before the others.
#[test]
fn burst_at_steps_end() {
    let mut steps = Steps::new(scored_job("job", 12, 10));
    // Group 0 lacks one text, group 1 none, group 2 one score.
    steps.complete([0, 1, 2, 4, 5, 6, 7, 8, 9, 10, 11]);
    for item in [8, 9, 10] {
        let call = steps.start(item).unwrap();
        steps.end(call, scored("s"));
    }
    assert_eq!(steps.due(), [11, 4, 5, 6, 7, 0, 1, 2]);
}

/// A call that fails at each upstream ends its item after the route's number of
/// errors, in two rounds, and holds no other item.
#[test]
fn scorer_that_always_fails() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    steps.complete([0, 1]);
    let first = steps.start(0).unwrap();
    assert_eq!(steps.end(first, RewardEnd::Error), None);
    assert_eq!(steps.due(), [0, 1]);
    let calls: Vec<u64> = (0..3).map(|_| steps.start(0).unwrap()).collect();
    assert_eq!(steps.due(), [1], "no more calls than errors are left");
    assert_eq!(steps.end(calls[0], RewardEnd::Error), None);
    assert_eq!(steps.end(calls[1], RewardEnd::Error), None);
    assert_eq!(
        steps.end(calls[2], RewardEnd::Error),
        Some(ItemState::Failed)
    );
    let result = &steps.scheduler.finished(&"job".into())[0];
    assert_eq!((result.state, &result.score), (ItemState::Failed, &None));
    let call = steps.start(1).unwrap();
    assert_eq!(steps.end(call, scored("s")), Some(ItemState::Completed));
}

/// One error among answers that get lost does not fail an item: only errors
/// count, and each lost answer is followed by another call after a backoff.
#[test]
fn lost_answers() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    steps.complete([0]);
    let ends = [RewardEnd::Unknown, RewardEnd::NotRun, RewardEnd::Unknown];
    for (failure_count, end) in (0..).zip(ends) {
        // By which the next call may take longer.
        assert_eq!(steps.reward(0).unwrap().failure_count, failure_count);
        let call = steps.start(0).unwrap();
        assert_eq!(steps.end(call, end), None);
        assert_eq!(steps.due(), NONE, "the call is repeated after a backoff");
        steps.now += Duration::from_millis(1_000);
    }
    let call = steps.start(0).unwrap();
    assert_eq!(steps.end(call, RewardEnd::Error), None);
    let call = steps.start(0).unwrap();
    assert_eq!(steps.end(call, scored("s")), Some(ItemState::Completed));
}

/// A call without an answer gets one more call elsewhere, within the budget; the
/// first answer counts, and the other call is cancelled.
#[test]
fn silent_scorer() {
    let mut steps = Steps::new(scored_job("job", 32, 10));
    steps.complete(0..32);
    let calls: Vec<u64> = (0..32).map(|item| steps.start(item).unwrap()).collect();
    steps.now += Duration::from_millis(799);
    assert_eq!(steps.due(), NONE);
    steps.now += Duration::from_millis(1);
    assert_eq!(steps.due().len(), 32);
    let hedges: Vec<u64> = (0..32).filter_map(|item| steps.start(item)).collect();
    assert_eq!(hedges.len(), 3, "a tenth of the calls");
    assert_eq!(
        steps.end(hedges[0], scored("s")),
        Some(ItemState::Completed)
    );
    assert_eq!(steps.cancelled, [calls[0]]);
    assert_eq!(steps.end(calls[0], scored("late")), None);
    assert_eq!(steps.result_count(), 1);
}

/// A job that ends cancels its reward calls, and none starts after that.
#[test]
fn ended_job() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    steps.complete([0, 1]);
    let call = steps.start(0).unwrap();
    let actions = steps.scheduler.end(&"job".into());
    assert!(actions.contains(&Action::Cancel { run: call }));
    assert_eq!(steps.due(), NONE);
    assert_eq!(steps.end(call, scored("s")), None);
}

/// An item whose time is up while it waits for its score is failed, and its call
/// is cancelled.
#[test]
fn overdue_item() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    steps.complete(0..4);
    let call = steps.start(0).unwrap();
    steps.now += Duration::from_secs(41);
    steps.poll();
    assert_eq!(steps.cancelled, [call]);
    assert_eq!(steps.result_count(), 4);
    assert_eq!(steps.due(), NONE);
}

/// Another coordinator listed an item while its call was in progress.
#[test]
fn listed_elsewhere() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    steps.complete([0]);
    let call = steps.start(0).unwrap();
    let actions = steps
        .scheduler
        .drop_listed(&"job".into(), &["item-0".into()].into());
    assert_eq!(actions, [Action::Cancel { run: call }]);
    assert_eq!(steps.end(call, scored("s")), None);
    assert_eq!(steps.result_count(), 0);
}

/// A coordinator is lost between the last event and the score: the next one asks
/// for the score of the saved output and generates nothing.
#[test]
fn restored_output() {
    let mut output = Output::default();
    assert!(output.push(1, "text", 1, &"v1".into()));
    output.mark_whole();
    let mut scheduler = Scheduler::default();
    let now = Duration::from_secs(10);
    scheduler.open(
        scored_job("job", 4, 10),
        &Default::default(),
        Duration::ZERO,
        now,
    );
    scheduler.restore(&"job".into(), BTreeMap::from([(2, output)]), now);
    let due = scheduler.due_rewards(now);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].item_index, 2);
    let call = scheduler
        .start_reward(&due[0], "scorer-1".into(), LIMITS, now)
        .unwrap();
    scheduler.record_reward_end(call, scored("s"), now);
    assert_eq!(scheduler.finished(&"job".into())[0].text, "text");
}

/// A step ends while items wait for their scores, and the trainer submits them
/// again: their outputs are scored, not generated again.
#[test]
fn carried_over_items() {
    let mut steps = Steps::new(scored_job("job", 4, 10));
    steps.complete([0]);
    steps.scheduler.end(&"job".into());
    steps.scheduler.open(
        scored_job("next", 4, 10),
        &Default::default(),
        Duration::ZERO,
        steps.now,
    );
    steps.runs.clear();
    steps.poll();
    assert_eq!(steps.runs.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
    steps.now += Duration::from_millis(300);
    assert_eq!(steps.due(), [0]);
}

/// Items without a reward call finish with their text, as before.
#[test]
fn unscored_item() {
    let mut job = scored_job("job", 4, 10);
    job.items[0].reward = None;
    let mut steps = Steps::new(job);
    steps.complete_unsaved([0, 1]);
    assert_eq!(steps.result_count(), 1);
    assert_eq!(steps.scheduler.finished(&"job".into())[0].score, None);
}
