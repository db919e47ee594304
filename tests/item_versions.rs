//! Engines of two software versions run the items of one job: a text goes on only at the
//! version that began it.

mod rows_support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use mimosavane::{
    batch::{
        layout,
        output::Output,
        scheduler::{Action, EngineSpec, Rights, RunEnd, RunNumber, Scheduler},
    },
    store::rows::StoredRow,
};
use rows_support::{engine, job};

const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(1_000 + millis)
}

fn engine_of(id: &str, slot_count: usize, software_version: &str) -> EngineSpec {
    EngineSpec {
        software_version: software_version.into(),
        ..engine(id, slot_count)
    }
}

/// A start as the scheduler asks for it: the run, the item, the engine and the last event.
type Start = (RunNumber, usize, String, u64);

fn starts(scheduler: &mut Scheduler, now: Duration) -> Vec<Start> {
    scheduler
        .poll(now, RIGHTS)
        .into_iter()
        .filter_map(|action| match action {
            Action::Start {
                run,
                item_index,
                engine,
                last_event,
                ..
            } => Some((run, item_index, engine.to_string(), last_event)),
            _ => None,
        })
        .collect()
}

/// Opens a job whose first run, at `engine`, broke off after three events.
fn broken_run(engines: Vec<EngineSpec>, item_count: usize) -> (Scheduler, usize) {
    let mut scheduler = Scheduler::default();
    scheduler.set_engines(engines);
    let job = job("job", item_count, 10);
    scheduler.open(job, &BTreeSet::new(), Duration::ZERO, at(0));
    let (run, item, _, _) = starts(&mut scheduler, at(0))[0].clone();
    assert!(scheduler.record_answer(run, 1, at(1)));
    for number in 1..=3 {
        assert!(scheduler.record_event(run, number, "text", 1, at(number)));
    }
    scheduler.record_run_end(run, RunEnd::Broken, at(10));
    (scheduler, item)
}

/// The engine that ran the item fails for a while. Others of its version go on with it,
/// and faster ones of another version do not.
#[test]
fn goes_on_at_same_version() {
    let (mut scheduler, item) = broken_run(vec![engine_of("i-1", 1, "v1")], 1);
    scheduler.set_engines(vec![
        engine_of("i-1", 1, "v1"),
        engine_of("i-2", 8, "v2"),
        engine_of("i-3", 8, "v2"),
    ]);
    // The backoff of the engine that broke off lasts 250 ms.
    assert_eq!(starts(&mut scheduler, at(20)), []);
    scheduler.set_engines(vec![
        engine_of("i-1", 1, "v1"),
        engine_of("i-2", 8, "v2"),
        engine_of("i-4", 1, "v1"),
    ]);
    let started = starts(&mut scheduler, at(40));
    assert_eq!(started.len(), 1);
    let (_, started_item, engine, last_event) = &started[0];
    assert_eq!(
        (*started_item, engine.as_str(), *last_event),
        (item, "i-4", 3)
    );
}

/// The version that began the text leaves: the item starts anew.
#[test]
fn starts_anew_without_version() {
    let (mut scheduler, _) = broken_run(vec![engine_of("i-1", 1, "v1")], 1);
    let leaving = EngineSpec {
        is_draining: true,
        ..engine_of("i-1", 1, "v1")
    };
    scheduler.set_engines(vec![leaving, engine_of("i-2", 8, "v2")]);
    let (run, _, engine, last_event) = starts(&mut scheduler, at(20))[0].clone();
    assert_eq!((engine.as_str(), last_event), ("i-2", 0));
    assert!(scheduler.record_answer(run, 1, at(21)));
    assert!(scheduler.record_event(run, 1, "anew", 1, at(30)));
    scheduler.record_run_end(run, RunEnd::Completed, at(40));
    let results = scheduler.finished(&"job".into());
    assert_eq!(results[0].text, "anew");
}

/// Items that wait for a full version hold up no others of their job.
#[test]
fn others_do_not_wait() {
    let (mut scheduler, item) = broken_run(vec![engine_of("i-1", 1, "v1")], 3);
    scheduler.set_engines(vec![engine_of("i-1", 1, "v1"), engine_of("i-2", 8, "v2")]);
    let started = starts(&mut scheduler, at(20));
    assert_eq!(started.len(), 2);
    assert!(
        started
            .iter()
            .all(|(_, started_item, ..)| *started_item != item)
    );
}

/// A new coordinator finds a saved text, and later jobs find one that was kept: both go on
/// at the version that began them only.
#[test]
fn found_texts() {
    let mut saved = Output::default();
    assert!(saved.push(1, "first", 1, &"v1".into()));
    let mut scheduler = Scheduler::default();
    scheduler.set_engines(vec![engine_of("i-1", 1, "v1"), engine_of("i-2", 8, "v2")]);
    let first = job("job", 1, 10);
    scheduler.open(first, &BTreeSet::new(), Duration::ZERO, at(0));
    scheduler.restore(&"job".into(), [(0, saved)].into(), at(0));
    scheduler.end(&"job".into());
    scheduler.open(job("later", 1, 10), &BTreeSet::new(), Duration::ZERO, at(5));
    let started = starts(&mut scheduler, at(10));
    assert_eq!(started.len(), 1);
    let (_, _, engine, last_event) = &started[0];
    assert_eq!((engine.as_str(), *last_event), ("i-1", 1));
}

/// Adds `count` events with the data `data` to a run, which breaks off then.
fn break_after(scheduler: &mut Scheduler, start: &Start, count: u64, data: &str, now: Duration) {
    let (run, _, _, last_event) = *start;
    assert!(scheduler.record_answer(run, 1, now));
    for number in last_event + 1..=last_event + count {
        assert!(scheduler.record_event(run, number, data, 1, now));
    }
    scheduler.record_run_end(run, RunEnd::Broken, now);
}

/// Saves the outputs of the job as a coordinator with one lease does.
fn save(scheduler: &mut Scheduler, saved: &mut BTreeMap<String, Bytes>) {
    let job = "job".into();
    let parts = scheduler.unsaved(&job, 1, 10_000);
    let (transaction, _) = layout::saving(&job, 1, &parts).expect("encoded");
    let rows = transaction
        .puts
        .into_iter()
        .map(|(name, value)| (name.key, value));
    saved.extend(rows);
    for (item, part) in parts {
        scheduler.record_saved(&job, item, part.last_event());
    }
}

/// Guards against a text that is joined from two: upstreams are replaced by those of another
/// version and back, so that the item begins anew twice, and the next coordinator reads what
/// was saved under one lease.
#[test]
fn saved_texts_begun_anew() {
    let mut scheduler = Scheduler::default();
    let mut saved = BTreeMap::new();
    let items = job("job", 1, 10);
    scheduler.set_engines(vec![engine_of("i-1", 1, "v1")]);
    scheduler.open(items, &BTreeSet::new(), Duration::ZERO, at(0));
    for millis in [0, 1_000] {
        let start = starts(&mut scheduler, at(millis))[0].clone();
        break_after(&mut scheduler, &start, 3, "first", at(millis));
        save(&mut scheduler, &mut saved);
    }
    for (millis, version, data) in [(2_000, "v2", "second"), (3_000, "v1", "third")] {
        scheduler.set_engines(vec![engine_of(&format!("i-{data}"), 1, version)]);
        let start = starts(&mut scheduler, at(millis))[0].clone();
        assert_eq!(start.3, 0, "the item begins anew");
        break_after(&mut scheduler, &start, 3, data, at(millis));
        save(&mut scheduler, &mut saved);
    }
    let rows: Vec<StoredRow> = saved
        .into_iter()
        .map(|(key, value)| StoredRow {
            partition: "job".to_owned(),
            key,
            value,
            stamp: 1,
            is_removed: false,
        })
        .collect();
    let outputs = layout::decode_outputs(&rows).expect("decoded");
    let text = outputs[&0].clone().into_text();
    let mut texts: Vec<&str> = text.lines().collect();
    texts.dedup();
    assert_eq!(texts.len(), 1, "{text:?}");
}
