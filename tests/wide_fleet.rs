//! Starts of items before thousands of engines: many steps at once, and engines of
//! several speeds, versions and loads.

mod rows_support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use mimosavane::{
    batch::scheduler::{Action, EngineSpec, Rights, RunEnd, RunNumber, Scheduler},
    clock::Timestamp,
};
use rows_support::job;

const ENGINE_COUNT: usize = 3_000;
const SLOT_COUNT: usize = 6;
const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};

struct Fleet {
    scheduler: Scheduler,
    now: Timestamp,
    runs: BTreeMap<RunNumber, (String, String)>,
}

impl Fleet {
    /// A third of the engines holds version 2 of each model, the others version 1.
    fn new() -> Self {
        let mut scheduler = Scheduler::default();
        let engines = (0..ENGINE_COUNT).map(|index| EngineSpec {
            id: format!("engine-{index:04}").into(),
            started_at_ms: 1,
            service: "engines".into(),
            slot_count: SLOT_COUNT,
            memory_tokens: 1_000_000,
            tokens_per_event: 61,
            is_draining: false,
            software_version: "v1".into(),
            versions: MODELS
                .iter()
                .enumerate()
                .map(|(model, name)| {
                    let is_fresh = (index + model).is_multiple_of(3);
                    ((*name).into(), if is_fresh { 2 } else { 1 })
                })
                .collect(),
        });
        scheduler.set_engines(engines.collect());
        Self {
            scheduler,
            now: Duration::from_secs(10),
            runs: BTreeMap::new(),
        }
    }

    fn open(&mut self, id: &str, model: &str, item_count: usize) {
        let mut job = job(id, item_count, 10);
        job.head.model = model.into();
        job.head.min_version = 2;
        self.scheduler
            .open(job, &Default::default(), Duration::ZERO, self.now);
    }

    /// Polls once, and returns how many items started.
    fn poll(&mut self) -> usize {
        let mut count = 0;
        for action in self.scheduler.poll(self.now, RIGHTS) {
            if let Action::Start {
                run, job, engine, ..
            } = action
            {
                count += 1;
                self.runs.insert(run, (job.to_string(), engine.to_string()));
            }
        }
        count
    }

    fn load_counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for (_, engine) in self.runs.values() {
            *counts.entry(engine.as_str()).or_default() += 1;
        }
        counts
    }
}

/// Steps of all models arrive at once: one poll starts all their items, on engines
/// with new enough weights, evenly, and on none more than it has slots.
#[test]
fn burst_of_all_models() {
    let mut fleet = Fleet::new();
    for model in MODELS {
        fleet.open(model, model, 900);
    }
    assert_eq!(fleet.poll(), 5_400);
    let counts = fleet.load_counts();
    // Each engine holds version 2 of two models, so that all engines share the load.
    assert_eq!(counts.len(), ENGINE_COUNT);
    let most = counts.values().max();
    assert!(most <= Some(&3), "{most:?} items on one engine");
    for (job, engine) in fleet.runs.values() {
        let model = MODELS.iter().position(|model| model == job);
        let index: usize = engine["engine-".len()..].parse().unwrap_or(0);
        assert!((index + model.unwrap_or(0)).is_multiple_of(3), "{engine}");
    }
}

/// More items wait than there are slots: the slots that become free are filled, and
/// only they, although a search for engines is put off for some milliseconds.
#[test]
fn full_fleet() {
    let mut fleet = Fleet::new();
    fleet.open("a", "a", 7_000);
    assert_eq!(fleet.poll(), ENGINE_COUNT / 3 * SLOT_COUNT);
    fleet.now += Duration::from_millis(1);
    assert_eq!(fleet.poll(), 0);
    let ended: Vec<RunNumber> = fleet.runs.keys().copied().take(250).collect();
    let freed: BTreeSet<String> = ended
        .iter()
        .filter_map(|run| fleet.runs.remove(run))
        .map(|(_, engine)| engine)
        .collect();
    for run in ended {
        fleet
            .scheduler
            .record_run_end(run, RunEnd::Completed, fleet.now);
    }
    let before: BTreeSet<RunNumber> = fleet.runs.keys().copied().collect();
    assert_eq!(fleet.poll(), 0);
    assert!(fleet.scheduler.has_deferred_dispatch());
    fleet.now += fleet.scheduler.dispatch_interval();
    assert_eq!(fleet.poll(), 250);
    let started: BTreeSet<String> = fleet
        .runs
        .iter()
        .filter(|(run, _)| !before.contains(run))
        .map(|(_, (_, engine))| engine.clone())
        .collect();
    assert_eq!(started, freed);
}
