//! Tests which item runs on which engine, under several load patterns.

mod rows_support;

use std::{collections::BTreeMap, time::Duration};

use mimosavane::{
    batch::scheduler::{Action, EngineSpec, OrderState, Rights, RunEnd, RunNumber, Scheduler},
    clock::Timestamp,
};
use rows_support::{engine, job};

const TICK: Duration = Duration::from_millis(20);
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};

/// Simulated engines that generate an event of each run at a fixed interval.
struct Fleet {
    scheduler: Scheduler,
    now: Timestamp,
    intervals: BTreeMap<String, Duration>,
    runs: BTreeMap<RunNumber, (String, u64, Timestamp)>,
    event_counts: BTreeMap<RunNumber, u64>,
    starts: Vec<(RunNumber, usize, String, u64)>,
    cancelled: Vec<RunNumber>,
    event_count: u64,
    /// The number of items at the start of a job that generate `event_count`
    /// events. The others generate ten.
    long_count: usize,
}

impl Fleet {
    fn new(engine_count: usize, slot_count: usize, event_count: u64) -> Self {
        let mut fleet = Self {
            scheduler: Scheduler::default(),
            now: Duration::from_secs(10),
            intervals: BTreeMap::new(),
            runs: BTreeMap::new(),
            event_counts: BTreeMap::new(),
            starts: Vec::new(),
            cancelled: Vec::new(),
            event_count,
            long_count: usize::MAX,
        };
        let engines = (0..engine_count).map(|index| engine(&format!("engine-{index}"), slot_count));
        fleet.scheduler.set_engines(engines.collect());
        for index in 0..engine_count {
            fleet
                .intervals
                .insert(format!("engine-{index}"), EVENT_INTERVAL);
        }
        fleet
    }

    /// Sets the slots and the memory of `engine-0`.
    fn set_memory(&mut self, slot_count: usize, memory_tokens: u64) {
        self.scheduler.set_engines(vec![EngineSpec {
            id: "engine-0".into(),
            started_at_ms: 1,
            service: "engines".into(),
            slot_count,
            memory_tokens,
            tokens_per_event: 61,
            is_draining: false,
            software_version: "v1".into(),
            versions: BTreeMap::from([("writer".into(), 1)]),
        }]);
    }

    fn open(&mut self, id: &str, item_count: usize) {
        let job = job(id, item_count, 10);
        self.scheduler
            .open(job, &Default::default(), Duration::ZERO, self.now);
    }

    fn step(&mut self) {
        for action in self.scheduler.poll(self.now, RIGHTS) {
            match action {
                Action::Start {
                    run,
                    item_index,
                    engine,
                    last_event,
                    ..
                } => {
                    self.scheduler.record_answer(run, 1, self.now);
                    self.starts
                        .push((run, item_index, engine.to_string(), last_event));
                    let event_count = if item_index < self.long_count {
                        self.event_count
                    } else {
                        10
                    };
                    self.event_counts.insert(run, event_count);
                    self.runs
                        .insert(run, (engine.to_string(), last_event, self.now));
                }
                Action::Cancel { run } => {
                    self.runs.remove(&run);
                    self.cancelled.push(run);
                }
                Action::Order(_) => {}
            }
        }
        self.now += TICK;
        let mut done = Vec::new();
        for (run, (engine, last_event, at)) in &mut self.runs {
            if self.now >= *at + self.intervals[engine] {
                *at = self.now;
                *last_event += 1;
                assert!(
                    self.scheduler
                        .record_event(*run, *last_event, "x", 1, self.now)
                );
                if *last_event == self.event_counts[run] {
                    done.push(*run);
                }
            }
        }
        for run in done {
            self.runs.remove(&run);
            self.scheduler
                .record_run_end(run, RunEnd::Completed, self.now);
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn running_on(&self, engine: &str) -> usize {
        self.runs.values().filter(|(on, ..)| on == engine).count()
    }
}

/// The items of a job are spread over all engines and finish without a move.
#[test]
fn calm_job() {
    let mut fleet = Fleet::new(4, 12, 25);
    fleet.open("job", 48);
    fleet.step();
    for index in 0..4 {
        assert_eq!(fleet.running_on(&format!("engine-{index}")), 12);
    }
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.scheduler.finished(&"job".into()).len(), 48);
    assert!(fleet.cancelled.is_empty());
}

/// Two steps arrive at once and have more items than there are slots: the long
/// items of both start before the short items of either.
#[test]
fn burst_of_steps() {
    let mut fleet = Fleet::new(1, 8, 25);
    for id in ["first", "second"] {
        let mut job = job(id, 12, 10);
        for (index, item) in job.items.iter_mut().enumerate() {
            item.length_hint_tokens = if index < 4 { 6_100 } else { 610 };
        }
        fleet
            .scheduler
            .open(job, &Default::default(), Duration::ZERO, fleet.now);
    }
    fleet.step();
    let started: Vec<usize> = fleet.starts.iter().map(|(_, item, ..)| *item).collect();
    assert_eq!(started.len(), 8);
    assert!(started.iter().all(|item| *item < 4), "{started:?}");
}

/// An engine becomes four times slower while it runs long items: they continue
/// on other engines after the last event received.
#[test]
fn slow_engine() {
    let mut fleet = Fleet::new(4, 12, 100);
    fleet.open("job", 12);
    fleet.run_for(Duration::from_millis(400));
    let on_slow = fleet.running_on("engine-1");
    assert!(on_slow > 0);
    fleet
        .intervals
        .insert("engine-1".into(), EVENT_INTERVAL * 4);
    fleet.run_for(Duration::from_millis(1_500));
    assert_eq!(fleet.running_on("engine-1"), 0);
    let resumed = fleet.starts.iter().filter(|(_, _, _, last)| *last > 0);
    assert_eq!(resumed.count(), on_slow);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.scheduler.finished(&"job".into()).len(), 12);
}

/// All engines become equally slow, as under full load: nothing moves.
#[test]
fn all_slow() {
    let mut fleet = Fleet::new(4, 12, 40);
    fleet.open("job", 12);
    fleet.run_for(Duration::from_millis(400));
    for interval in fleet.intervals.values_mut() {
        *interval = EVENT_INTERVAL * 4;
    }
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.cancelled.is_empty());
}

/// An engine falls silent: its items continue on other engines before the
/// individual runs would time out.
#[test]
fn dark_engine() {
    let mut fleet = Fleet::new(4, 12, 100);
    fleet.open("job", 12);
    fleet.run_for(Duration::from_millis(400));
    fleet
        .intervals
        .insert("engine-1".into(), Duration::from_secs(1_000));
    fleet.run_for(Duration::from_millis(900));
    assert_eq!(fleet.running_on("engine-1"), 0);
    let resumed = fleet.starts.iter().filter(|(_, _, _, last)| *last > 0);
    assert_eq!(resumed.count(), 3);
}

/// A trainer ends a job: its runs stop, and the items resume in the next job
/// that contains them.
#[test]
fn carried_items() {
    let mut fleet = Fleet::new(2, 12, 50);
    fleet.open("job-1", 8);
    fleet.run_for(Duration::from_millis(500));
    let ended = fleet.scheduler.end(&"job-1".into());
    assert_eq!(ended.len(), 8);
    fleet.runs.clear();
    fleet.starts.clear();
    fleet.open("job-2", 8);
    fleet.step();
    assert_eq!(fleet.starts.len(), 8);
    assert!(fleet.starts.iter().all(|(_, _, _, last)| *last >= 8));
}

/// Long items have started on engines whose events take 1.5 times as long: once
/// the short items are done, they move to the faster engines.
#[test]
fn tail_of_long_items() {
    let mut fleet = Fleet::new(4, 12, 140);
    fleet.long_count = 8;
    for engine in ["engine-0", "engine-1"] {
        fleet
            .intervals
            .insert(engine.to_owned(), EVENT_INTERVAL * 3 / 2);
    }
    fleet.open("job", 32);
    fleet.run_for(Duration::from_millis(1_500));
    let on_slow = fleet.running_on("engine-0") + fleet.running_on("engine-1");
    assert!(on_slow > 0);
    fleet.run_for(Duration::from_millis(1_500));
    assert_eq!(
        fleet.running_on("engine-0") + fleet.running_on("engine-1"),
        0
    );
    // Items that resume after more than ten events are long ones.
    let resumed = fleet.starts.iter().filter(|(_, _, _, last)| *last > 10);
    assert_eq!(resumed.count(), on_slow);
}

/// Short items of another job keep waiting for a weight version that no engine
/// holds: long items still leave their slow engines.
#[test]
fn tail_beside_waiting() {
    let mut fleet = Fleet::new(4, 12, 140);
    for engine in ["engine-0", "engine-1"] {
        fleet
            .intervals
            .insert(engine.to_owned(), EVENT_INTERVAL * 3 / 2);
    }
    fleet.long_count = 8;
    fleet.open("long", 8);
    let mut waiting = job("waiting", 24, 10);
    waiting.head.min_version = 9;
    fleet
        .scheduler
        .open(waiting, &Default::default(), Duration::ZERO, fleet.now);
    fleet.run_for(Duration::from_millis(3_000));
    assert_eq!(fleet.runs.len(), 8);
    assert_eq!(
        fleet.running_on("engine-0") + fleet.running_on("engine-1"),
        0
    );
}

/// The speeds of engines are remembered over a pause without events: the items
/// of the next job all go to the faster engine.
#[test]
fn slow_after_pause() {
    let mut fleet = Fleet::new(2, 12, 20);
    fleet
        .intervals
        .insert("engine-0".into(), EVENT_INTERVAL * 3 / 2);
    fleet.open("first", 24);
    fleet.run_for(Duration::from_secs(6));
    fleet.starts.clear();
    let mut next = job("next", 4, 10);
    for item in &mut next.items {
        item.length_hint_tokens = 6_100;
    }
    fleet
        .scheduler
        .open(next, &Default::default(), Duration::ZERO, fleet.now);
    fleet.step();
    assert_eq!(fleet.running_on("engine-1"), 4);
}

/// A load takes longer than usual: one item at a time probes whether it has
/// ended, and the others wait instead of being refused.
#[test]
fn long_load() {
    let mut scheduler = Scheduler::default();
    scheduler.set_engines(vec![engine("engine-0", 12)]);
    scheduler.name_version("writer".into(), 2);
    let mut next = job("job", 12, 10);
    next.head.min_version = 2;
    let mut now = Duration::from_secs(10);
    scheduler.open(next, &Default::default(), Duration::ZERO, now);
    let rights = Rights {
        may_start: true,
        may_order: true,
    };
    let mut refused_count = 0;
    let mut started_count = 0;
    let loaded_at = now + Duration::from_millis(1_800);
    while started_count < 12 && now < Duration::from_secs(14) {
        for action in scheduler.poll(now, rights) {
            match action {
                Action::Order(load) => {
                    scheduler.record_order_answer(&load, Some(OrderState::Loading), now);
                }
                Action::Start { run, .. } if now < loaded_at => {
                    scheduler.record_run_end(run, RunEnd::NotRun, now);
                    refused_count += 1;
                }
                Action::Start { run, .. } => {
                    assert!(scheduler.record_answer(run, 2, now));
                    started_count += 1;
                }
                Action::Cancel { .. } => {}
            }
        }
        now += TICK;
    }
    assert_eq!(started_count, 12);
    assert!(refused_count <= 9, "{refused_count} items were refused");
}

/// The long items of a step start first, and each may eventually fill a third
/// of the engine's memory. All slots are filled at once nevertheless, since the
/// memory suffices for the next seconds.
#[test]
fn burst_of_long_items() {
    let mut fleet = Fleet::new(1, 8, 140);
    fleet.set_memory(8, 27_000);
    let mut job = job("job", 16, 10);
    for item in &mut job.items {
        item.length_hint_tokens = 9_000;
    }
    fleet
        .scheduler
        .open(job, &Default::default(), Duration::ZERO, fleet.now);
    fleet.step();
    assert_eq!(fleet.starts.len(), 8);
}

/// Long items have filled an engine's memory: nothing else starts there,
/// although slots are free.
#[test]
fn full_memory() {
    let mut fleet = Fleet::new(1, 8, 140);
    fleet.set_memory(8, 27_000);
    fleet.long_count = 4;
    fleet.open("first", 8);
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.runs.len(), 4);
    fleet.starts.clear();
    fleet.open("second", 8);
    fleet.run_for(Duration::from_millis(500));
    assert!(fleet.starts.is_empty(), "{:?}", fleet.starts);
}

/// Guards against a job that waits behind one item: it is larger than the engine, on which
/// another job always has a run, and the items behind it are small.
#[test]
fn item_larger_than_an_engine() {
    let mut fleet = Fleet::new(1, 8, 100_000);
    fleet.set_memory(8, 27_000);
    fleet.long_count = 1;
    fleet.open("endless", 1);
    fleet.run_for(Duration::from_millis(100));
    let mut mixed = job("mixed", 8, 10);
    mixed.items[0].prompt_tokens = 40_000;
    // The longest item comes first.
    mixed.items[0].length_hint_tokens = 9_000;
    fleet
        .scheduler
        .open(mixed, &Default::default(), Duration::ZERO, fleet.now);
    fleet.run_for(Duration::from_secs(2));
    let started: Vec<usize> = fleet.starts.iter().map(|(_, item, ..)| *item).collect();
    assert_eq!(started.len(), 8, "{started:?}");
    assert_eq!(started[0], 0, "the run of the other job");
    assert!(!started[1..].contains(&0), "{started:?}");
}

/// No item needs the loaded weights for several seconds: this does not count as
/// a long load, and the limit on concurrent loads stays the same.
#[test]
fn quiet_load() {
    let mut fleet = Fleet::new(10, 12, 10);
    let rights = Rights {
        may_start: true,
        may_order: true,
    };
    for version in [2, 3] {
        fleet.scheduler.name_version("writer".into(), version);
        let actions = fleet.scheduler.poll(fleet.now, rights);
        let loads: Vec<_> = actions
            .into_iter()
            .filter_map(|action| match action {
                Action::Order(load) => Some(load),
                _ => None,
            })
            .collect();
        assert_eq!(loads.len(), 2, "version {version}");
        for load in &loads {
            fleet
                .scheduler
                .record_order_answer(load, Some(OrderState::Loading), fleet.now);
        }
        fleet.now += Duration::from_secs(4);
        let id = format!("job-{version}");
        let mut next = job(&id, 2, 10);
        next.head.min_version = version;
        fleet
            .scheduler
            .open(next, &Default::default(), Duration::ZERO, fleet.now);
        for action in fleet.scheduler.poll(fleet.now, RIGHTS) {
            if let Action::Start { run, .. } = action {
                assert!(fleet.scheduler.record_answer(run, version, fleet.now));
                fleet
                    .scheduler
                    .record_run_end(run, RunEnd::Completed, fleet.now + TICK);
            }
        }
        fleet.now += Duration::from_secs(1);
    }
}

/// The TTL of a job's items passes: they fail, and their runs stop.
#[test]
fn overdue_items() {
    let mut fleet = Fleet::new(2, 12, 100_000);
    fleet.open("job", 8);
    fleet.run_for(Duration::from_secs(39));
    assert!(fleet.scheduler.finished(&"job".into()).is_empty());
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.scheduler.finished(&"job".into()).len(), 8);
    assert!(fleet.runs.is_empty());
    assert_eq!(fleet.cancelled.len(), 8);
}

/// An engine becomes slow while the others have one free slot: one of its runs
/// moves there, and the others go on instead of waiting for a slot.
#[test]
fn slow_engine_and_one_free_slot() {
    let mut fleet = Fleet::new(3, 8, 100);
    fleet.open("job", 23);
    fleet.run_for(Duration::from_millis(400));
    let free: Vec<String> = (0..3)
        .map(|index| format!("engine-{index}"))
        .filter(|engine| fleet.running_on(engine) < 8)
        .collect();
    assert_eq!(free.len(), 1);
    let slow = if free[0] == "engine-0" {
        "engine-1"
    } else {
        "engine-0"
    };
    fleet.intervals.insert(slow.to_owned(), EVENT_INTERVAL * 4);
    let started = fleet.starts.len();
    fleet.run_for(Duration::from_millis(1_500));
    assert_eq!(fleet.cancelled.len(), 1, "{:?}", fleet.cancelled);
    assert_eq!(fleet.starts.len(), started + 1);
    assert_eq!(fleet.running_on(slow), 7);
}

/// Few items arrive again and again before many engines: they share the engines to
/// which connections are open, instead of opening one to each engine in turn.
#[test]
fn trickle_of_items() {
    let mut fleet = Fleet::new(12, 8, 10);
    // Engines slower than those that were never used are expected to be.
    for interval in fleet.intervals.values_mut() {
        *interval = EVENT_INTERVAL * 2;
    }
    for number in 0..10 {
        fleet.open(&format!("job-{number}"), 2);
        fleet.run_for(Duration::from_millis(1_000));
    }
    let used: std::collections::BTreeSet<&str> = fleet
        .starts
        .iter()
        .map(|(_, _, on, _)| on.as_str())
        .collect();
    assert_eq!(fleet.starts.len(), 20);
    assert_eq!(used.len(), 2, "{used:?}");
}

/// A connection that had no run for seconds is probably closed: the choice of an
/// engine no longer depends on it, and a burst still spreads over all engines.
#[test]
fn burst_after_a_pause() {
    let mut fleet = Fleet::new(4, 12, 10);
    fleet.open("first", 2);
    fleet.run_for(Duration::from_secs(6));
    fleet.open("second", 24);
    fleet.step();
    for index in 0..4 {
        assert_eq!(fleet.running_on(&format!("engine-{index}")), 6);
    }
}

/// Plays a load whose probe `cancel` cancels: another item must probe it then.
fn play_cancelled_probe(cancel: impl FnOnce(&mut Scheduler, Timestamp) -> Vec<Action>) {
    let mut scheduler = Scheduler::default();
    scheduler.set_engines(vec![engine("engine-0", 12)]);
    scheduler.name_version("writer".into(), 2);
    let mut now = Duration::from_secs(10);
    let rights = Rights {
        may_start: true,
        may_order: true,
    };
    for action in scheduler.poll(now, rights) {
        if let Action::Order(load) = action {
            scheduler.record_order_answer(&load, Some(OrderState::Loading), now);
        }
    }
    let mut kept = job("kept", 8, 10);
    kept.head.item_ttl = Duration::from_secs(600);
    scheduler.open(kept, &Default::default(), Duration::ZERO, now);
    let mut urgent = job("urgent", 4, 10);
    for item in &mut urgent.items {
        item.length_hint_tokens = 9_000;
    }
    let age = Duration::from_secs(39);
    scheduler.open(urgent, &Default::default(), age, now);
    now += Duration::from_secs(1);
    let started = scheduler.poll(now, rights);
    assert!(
        matches!(&*started, [Action::Start { job, .. }] if **job == *"urgent"),
        "one item probes the load: {started:?}"
    );
    let mut actions = cancel(&mut scheduler, now);
    assert!(
        matches!(&actions[0], Action::Cancel { .. }),
        "the probe is cancelled: {actions:?}"
    );
    actions.extend(scheduler.poll(now + Duration::from_secs(1), RIGHTS));
    let kept_count = actions
        .iter()
        .filter(|action| matches!(action, Action::Start { job, .. } if **job == *"kept"))
        .count();
    assert_eq!(kept_count, 1, "another item probes the load: {actions:?}");
}

/// Guards against engines that take no items of a model any more, since the run that probed
/// the end of their load was cancelled with its job.
#[test]
fn probe_of_ended_job() {
    play_cancelled_probe(|scheduler, _| scheduler.end(&"urgent".into()));
}

/// The same, where another coordinator has listed the items of the job.
#[test]
fn probe_listed_elsewhere() {
    play_cancelled_probe(|scheduler, _| {
        let ids = (0..4).map(|index| format!("item-{index}").as_str().into());
        scheduler.drop_listed(&"urgent".into(), &ids.collect())
    });
}

/// The same, where the time of the items is up.
#[test]
fn probe_of_overdue_item() {
    play_cancelled_probe(|scheduler, now| scheduler.poll(now + Duration::from_millis(600), RIGHTS));
}

/// Sets the time left of `engine-0`, which is leaving, and of how many engines there are.
fn announce_departure(fleet: &mut Fleet, engine_count: usize, left: Duration) {
    let engines = (0..engine_count).map(|index| EngineSpec {
        is_draining: index == 0,
        ..engine(&format!("engine-{index}"), 12)
    });
    fleet.scheduler.set_engines(engines.collect());
    let times_left = BTreeMap::from([("engine-0".into(), left)]);
    fleet.scheduler.set_departures(&times_left, fleet.now);
}

/// Runs that outlast their engine move while another one has room, and those that end in time
/// stay. Guards against items that wait until the silence of an engine that is gone is noticed.
#[test]
fn leaving_engine() {
    let mut fleet = Fleet::new(3, 12, 100);
    fleet.long_count = 4;
    fleet.open("job", 12);
    fleet.run_for(Duration::from_millis(100));
    assert_eq!(fleet.running_on("engine-0"), 4);
    announce_departure(&mut fleet, 3, Duration::from_millis(2_500));
    // An item is expected to generate as much again once it exceeds its hint.
    fleet.run_for(Duration::from_millis(1_600));
    assert_eq!(fleet.running_on("engine-0"), 0);
    let moved: Vec<_> = fleet.starts.iter().filter(|(.., last)| *last > 0).collect();
    assert!(!moved.is_empty() && moved.iter().all(|(_, index, ..)| *index < 4));
    assert_eq!(moved.len(), fleet.cancelled.len());
    fleet.run_for(Duration::from_millis(900));
    fleet
        .intervals
        .insert("engine-0".into(), Duration::from_secs(1_000));
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.scheduler.finished(&"job".into()).len(), 12);
}

/// Without room elsewhere, runs stay as long as their engine and resume where they were.
#[test]
fn leaving_without_room() {
    let mut fleet = Fleet::new(2, 12, 100);
    fleet.open("job", 24);
    fleet.run_for(Duration::from_millis(100));
    announce_departure(&mut fleet, 2, Duration::from_millis(1_500));
    fleet.run_for(Duration::from_millis(1_200));
    assert_eq!(fleet.running_on("engine-0"), 12);
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(fleet.running_on("engine-0"), 0);
    fleet.run_for(Duration::from_secs(8));
    let resumed = fleet.starts.iter().filter(|(.., last)| *last >= 30);
    assert_eq!(resumed.count(), 12);
    assert_eq!(fleet.scheduler.finished(&"job".into()).len(), 24);
}
