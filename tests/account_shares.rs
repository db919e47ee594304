//! Tests how accounts and priorities share the engines' slots while room is short.

mod rows_support;

use std::{collections::BTreeMap, time::Duration};

use mimosavane::{
    batch::{
        job::JobId,
        scheduler::{Action, Rights, RunEnd, RunNumber, Scheduler},
    },
    clock::Timestamp,
};
use rows_support::{engine, job};

const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};
const TICK: Duration = Duration::from_millis(50);

/// Eight engines of six slots, whose runs end one after another, the oldest first.
struct Fleet {
    scheduler: Scheduler,
    now: Timestamp,
    runs: BTreeMap<RunNumber, JobId>,
    order: Vec<JobId>,
}

impl Fleet {
    fn new() -> Self {
        let mut scheduler = Scheduler::default();
        scheduler.set_engines((0..8).map(|i| engine(&format!("engine-{i}"), 6)).collect());
        Self {
            scheduler,
            now: Duration::from_secs(10),
            runs: BTreeMap::new(),
            order: Vec::new(),
        }
    }

    /// Opens a job whose items must start the earlier the more they generate.
    fn open(
        &mut self,
        id: &str,
        account: Option<&str>,
        priority: u32,
        item_count: usize,
        hint: u64,
    ) {
        let mut job = job(id, item_count, 10);
        job.head.account = account.map(Into::into);
        job.head.priority = priority;
        job.head.item_ttl = Duration::from_secs(600);
        for item in &mut job.items {
            item.length_hint_tokens = hint;
        }
        self.scheduler
            .open(job, &Default::default(), Duration::ZERO, self.now);
    }

    fn poll(&mut self) {
        for action in self.scheduler.poll(self.now, RIGHTS) {
            if let Action::Start { run, job, .. } = action {
                self.order.push(job.clone());
                self.runs.insert(run, job);
            }
        }
        for run in self.runs.keys() {
            assert!(self.scheduler.record_answer(*run, 1, self.now));
        }
    }

    /// Ends `count` runs and starts others, `step_count` times.
    fn run(&mut self, step_count: usize, count: usize) {
        for _ in 0..step_count {
            for _ in 0..count {
                if let Some((run, _)) = self.runs.pop_first() {
                    self.scheduler
                        .record_run_end(run, RunEnd::Completed, self.now);
                }
            }
            self.now += TICK;
            self.poll();
        }
    }

    fn running(&self, job: &str) -> usize {
        self.runs.values().filter(|id| ***id == *job).count()
    }

    fn started(&self, job: &str) -> usize {
        self.order.iter().filter(|id| ***id == *job).count()
    }
}

/// Guards against a large account that takes the slots of small ones: it submits ten times
/// as much, and its items must start earlier.
#[test]
fn large_beside_small() {
    for large_count in [400, 2_000] {
        let mut fleet = Fleet::new();
        fleet.open("large", Some("large"), 0, large_count, 3_000);
        fleet.open("small-1", Some("small-1"), 0, 60, 1_000);
        fleet.open("small-2", Some("small-2"), 0, 60, 1_000);
        fleet.poll();
        assert_eq!(fleet.runs.len(), 48);
        // A third, and a quarter of it.
        assert_eq!(fleet.running("large"), 20);
        fleet.run(10, 6);
        for small in ["small-1", "small-2"] {
            assert!(fleet.running(small) >= 12, "{}", fleet.running(small));
        }
        assert!(fleet.scheduler.share_put_off_count() > 0);
    }
}

/// Guards against a division that leaves what small accounts do not need unused, or to one
/// large account only.
#[test]
fn rest_of_small() {
    let mut fleet = Fleet::new();
    fleet.open("a", Some("a"), 0, 400, 3_000);
    fleet.open("b", Some("b"), 0, 400, 1_000);
    for small in ["c", "d", "e", "f"] {
        fleet.open(small, Some(small), 0, 2, 1_000);
    }
    fleet.poll();
    for small in ["c", "d", "e", "f"] {
        assert_eq!(fleet.running(small), 2);
    }
    // Half of 40, and a quarter of it.
    assert_eq!((fleet.running("a"), fleet.running("b")), (25, 15));
}

/// Guards against slots that stay empty for accounts without work.
#[test]
fn one_alone() {
    let mut fleet = Fleet::new();
    fleet.open("only", Some("only"), 0, 100, 1_000);
    fleet.poll();
    assert_eq!(fleet.running("only"), 48);
    fleet.run(4, 12);
    assert_eq!(fleet.running("only"), 48);
    assert_eq!(fleet.scheduler.share_put_off_count(), 0);
}

/// Guards against an order by due time that precedes the priority.
#[test]
fn priorities() {
    let mut fleet = Fleet::new();
    fleet.open("low", Some("a"), 2, 400, 3_000);
    fleet.open("high", Some("b"), 0, 400, 1_000);
    fleet.poll();
    // A tenth as many.
    assert_eq!(fleet.running("low"), 4);
    assert_eq!(fleet.running("high"), 44);
}

/// Guards against a low priority, or a large account, that never starts anything beside
/// work without end.
#[test]
fn no_starvation() {
    let mut fleet = Fleet::new();
    fleet.open("high", Some("a"), 0, 2_000, 3_000);
    fleet.open("large", Some("b"), 1, 1_000, 3_000);
    fleet.open("low", Some("c"), 1, 1_000, 1_000);
    fleet.poll();
    fleet.run(100, 6);
    let all = fleet.order.len();
    let (large, low) = (fleet.started("large"), fleet.started("low"));
    // The lower level starts a tenth as many, which its accounts divide.
    assert!((large + low) * 12 >= all, "{large} and {low} of {all}");
    assert!((large + low) * 9 <= all, "{large} and {low} of {all}");
    assert!(low * 4 >= large + low, "{low} and {large}");
}

/// Guards against a division by slots that do not exist: the weights or the memory leave
/// the engines fewer runs, and a large account holds all of them.
#[test]
fn fewer_runs_than_slots() {
    let mut fleet = Fleet::new();
    let engines = (0..8).map(|i| mimosavane::batch::scheduler::EngineSpec {
        memory_tokens: 8_500,
        ..engine(&format!("engine-{i}"), 24)
    });
    fleet.scheduler.set_engines(engines.collect());
    fleet.open("large", Some("large"), 0, 2_000, 3_000);
    // The same memory is planned for both, so that small items fill no gaps.
    fleet.open("small", Some("small"), 0, 500, 2_900);
    fleet.poll();
    let all = fleet.runs.len();
    assert!(all < 50, "{all} runs");
    fleet.run(20, 6);
    let small = fleet.running("small");
    assert!(small * 3 >= fleet.runs.len(), "{small} of {all}");
}

/// Guards against a change of the order while there is nothing to divide: without accounts,
/// or with a single one, items start by due time whatever the priorities are.
#[test]
fn same_order_as_before() {
    let play = |account: Option<&str>, priority| {
        let mut fleet = Fleet::new();
        fleet.open("late", account, 0, 60, 1_000);
        fleet.open("early", account, priority, 60, 3_000);
        fleet.poll();
        fleet.run(15, 6);
        let order: Vec<String> = fleet.order.iter().map(ToString::to_string).collect();
        order
    };
    let expected: Vec<&str> = [["early"; 60], ["late"; 60]].concat();
    assert_eq!(play(None, 0), expected);
    assert_eq!(play(None, 3), expected);
    assert_eq!(play(Some("a"), 3), expected);
}
