//! Tests changes to the table while the table service has faults.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{sync::Arc, time::Duration};

use mimosavane::{
    control::controller::Rng,
    standin::table_service::{LoseAnswers, MemoryTable},
    store::{RecordKey, StoreError, TableService, Transaction},
    table::{
        ReadError,
        change::{Accepted, Change, PlanError, RowEdit},
        column::{CellFault, Cells},
        edit::{self, EditError},
        read_change, read_history, read_table,
    },
};
use rand::SeedableRng as _;
use serde_json::json;

const SEED: u64 = 7;

fn cells(column: &str, value: impl Into<serde_json::Value>) -> Cells {
    Cells::from_iter([(column.to_owned(), value.into())])
}

fn weight(id: &str, who: &str, base_version: u64, weight_ratio: f64) -> Change {
    let edit = RowEdit::set("guides", base_version, cells("weight_ratio", weight_ratio));
    Change::new(id, who, 1_000).edit(edit)
}

async fn apply(store: &impl TableService, change: &Change) -> Result<Accepted, EditError> {
    edit::apply(store, change, &mut Rng::seed_from_u64(SEED)).await
}

async fn read_weight(store: &MemoryTable) -> f64 {
    read_table(store).await.unwrap().rows["guides"].weight_ratio
}

#[tokio::test]
async fn one_transaction() {
    let store = MemoryTable::default();
    let accepted = apply(&store, &weight("c-1", "ana", 0, 2.0)).await.unwrap();
    assert_eq!(accepted.revision, 1);
    let table = read_table(&store).await.unwrap();
    assert_eq!(table.revision, 1);
    assert_eq!(table.rows["guides"].weight_ratio, 2.0);
    let record = read_change(&store, &"c-1".into()).await.unwrap().unwrap();
    assert_eq!((&*record.who, record.revision), ("ana", 1));
    assert_eq!(read_history(&store, 10).await.unwrap(), [record]);
    assert_eq!(store.counts().writes_count, 1);
}

#[tokio::test]
async fn two_operators() {
    let store = MemoryTable::default();
    apply(&store, &weight("c-1", "ana", 0, 1.5)).await.unwrap();
    let (first, second) = (weight("c-2", "ana", 1, 2.0), weight("c-3", "bela", 1, 3.0));
    let (first, second) = tokio::join!(apply(&store, &first), apply(&store, &second));
    first.unwrap();
    let Err(EditError::Plan(PlanError::Conflict(conflicts))) = second else {
        panic!("the second operator saw no conflict");
    };
    assert_eq!(conflicts.len(), 1);
    assert_eq!(conflicts[0].yours, Some(json!(3.0)));
    assert_eq!(conflicts[0].theirs, Some(json!(2.0)));
    assert_eq!(conflicts[0].present_version, 2);
    assert_eq!(read_weight(&store).await, 2.0);
}

#[tokio::test(start_paused = true)]
async fn different_rows() {
    let store = MemoryTable::default();
    store.set_delay(Duration::from_millis(5));
    let tasks: Vec<_> = (0..5)
        .map(|row| {
            let edit = RowEdit::set(format!("row-{row}"), 0, cells("weight_ratio", 2.0));
            let change = Change::new(format!("c-{row}"), "ana", 0).edit(edit);
            let store = store.clone();
            tokio::spawn(
                async move { edit::apply(&store, &change, &mut Rng::seed_from_u64(row)).await },
            )
        })
        .collect();
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    assert_eq!(read_table(&store).await.unwrap().revision, 5);
}

#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let store = MemoryTable::default();
    store.lose_answers(LoseAnswers::Next(1));
    let accepted = apply(&store, &weight("c-1", "ana", 0, 2.0)).await.unwrap();
    assert_eq!(accepted.revision, 1);
    assert_eq!(read_history(&store, 10).await.unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_and_old_reads() {
    let store = MemoryTable::default();
    apply(&store, &weight("c-1", "ana", 0, 1.5)).await.unwrap();
    store.set_old_reads(true);
    store.lose_answers(LoseAnswers::Next(1));
    let accepted = apply(&store, &weight("c-2", "ana", 1, 2.0)).await.unwrap();
    assert_eq!(accepted.revision, 2);
    store.set_old_reads(false);
    assert_eq!(read_table(&store).await.unwrap().revision, 2);
}

/// Another operator changes the same row again before the first operator learns
/// that the change with the lost response was accepted.
#[tokio::test(start_paused = true)]
async fn overtaken_after_lost_answer() {
    let store = MemoryTable::default();
    apply(&store, &weight("c-1", "ana", 0, 1.5)).await.unwrap();
    store.lose_answers(LoseAnswers::Next(1));
    let lost = weight("c-2", "ana", 1, 2.0);
    let next = weight("c-3", "bela", 2, 3.0);
    let (lost, next) = tokio::join!(apply(&store, &lost), apply(&store, &next));
    assert_eq!(lost.unwrap().revision, 2);
    assert_eq!(next.unwrap().revision, 3);
    assert_eq!(read_weight(&store).await, 3.0);
}

/// All responses are lost, but the retry is refused because the change's record
/// exists, which proves that the first attempt was accepted.
#[tokio::test(start_paused = true)]
async fn all_answers_lost() {
    let store = MemoryTable::default();
    store.lose_answers(LoseAnswers::Always);
    let change = weight("c-1", "ana", 0, 2.0);
    let accepted = apply(&store, &change).await.unwrap();
    assert_eq!(accepted.revision, 1);
    assert_eq!(apply(&store, &change).await.unwrap(), accepted);
}

#[tokio::test(start_paused = true)]
async fn outage_after_commit() {
    let store = MemoryTable::default();
    store.lose_answers(LoseAnswers::Always);
    store.set_delay(Duration::from_millis(10));
    let change = weight("c-1", "ana", 0, 2.0);
    let outage = async {
        tokio::time::sleep(Duration::from_millis(25)).await;
        store.set_down(true);
    };
    let (outcome, ()) = tokio::join!(apply(&store, &change), outage);
    let unresolved = EditError::Unresolved {
        change: "c-1".into(),
    };
    assert_eq!(outcome, Err(unresolved));
    store.set_down(false);
    assert_eq!(apply(&store, &change).await.unwrap().revision, 1);
    assert_eq!(read_history(&store, 10).await.unwrap().len(), 1);
}

#[tokio::test]
async fn nothing_sent() {
    let store = MemoryTable::default();
    store.set_down(true);
    let outcome = apply(&store, &weight("c-1", "ana", 0, 2.0)).await;
    assert_eq!(outcome, Err(ReadError::Store(StoreError::Unknown).into()));
    assert_eq!(store.counts().writes_count, 0);
}

/// A writer that stalls between its read and its write must not overwrite a change
/// that was accepted in the meantime.
#[tokio::test(start_paused = true)]
async fn paused_proposer() {
    let store = MemoryTable::default();
    apply(&store, &weight("c-1", "ana", 0, 1.5)).await.unwrap();
    store.set_delay(Duration::from_secs(10));
    let late = weight("c-2", "ana", 1, 9.0);
    let others = async {
        tokio::time::sleep(Duration::from_secs(15)).await;
        store.set_delay(Duration::ZERO);
        apply(&store, &weight("c-3", "bela", 1, 2.0)).await
    };
    let (paused, others) = tokio::join!(apply(&store, &late), others);
    others.unwrap();
    assert!(matches!(
        paused,
        Err(EditError::Plan(PlanError::Conflict(_)))
    ));
    assert_eq!(read_weight(&store).await, 2.0);
}

#[tokio::test]
async fn same_value() {
    let store = MemoryTable::default();
    apply(&store, &weight("c-1", "ana", 0, 2.0)).await.unwrap();
    let accepted = apply(&store, &weight("c-2", "bela", 0, 2.0)).await.unwrap();
    assert_eq!((accepted.revision, accepted.cells.len()), (1, 0));
}

/// A row that is removed and added again must not reuse an earlier version, or an
/// edit based on the old row would be accepted.
#[tokio::test]
async fn added_again() {
    let store = MemoryTable::default();
    apply(&store, &weight("c-1", "ana", 0, 2.0)).await.unwrap();
    let remove = Change::new("c-2", "ana", 0).edit(RowEdit::remove("guides", 1));
    apply(&store, &remove).await.unwrap();
    apply(&store, &weight("c-3", "ana", 0, 3.0)).await.unwrap();
    let stale = apply(&store, &weight("c-4", "bela", 1, 4.0)).await;
    assert!(matches!(
        stale,
        Err(EditError::Plan(PlanError::Conflict(_)))
    ));
}

#[tokio::test]
async fn dry_run() {
    let store = MemoryTable::default();
    let change = weight("c-1", "ana", 0, 2.0);
    let planned = edit::dry_run(&store, &change).await.unwrap();
    assert_eq!(planned.revision, 1);
    assert_eq!(store.counts().writes_count, 0);
}

#[tokio::test]
async fn shares_above_one() {
    let store = MemoryTable::default();
    let share = |id: &str, row: &str, share_ratio: f64| {
        let edit = RowEdit::set(row, 0, cells("engine_share_ratio", share_ratio));
        Change::new(id, "ana", 0).edit(edit)
    };
    apply(&store, &share("c-1", "guides", 0.7)).await.unwrap();
    let outcome = apply(&store, &share("c-2", "menus", 0.4)).await;
    let Err(EditError::Plan(PlanError::Invalid(errors))) = outcome else {
        panic!("the sum of shares was not checked");
    };
    let cell = (&*errors[0].row, &*errors[0].column);
    assert_eq!(cell, ("menus", "engine_share_ratio"));
    assert!(matches!(errors[0].fault, CellFault::SharesExceedOne { .. }));
}

/// Each line of the data file has a cell and the expected result of setting it.
#[tokio::test]
async fn refused_cells() {
    let mut reader = csv::Reader::from_path("tests/data/cells.csv").unwrap();
    for line in reader.records() {
        let line = line.unwrap();
        let (row, column, text, expected) = (&line[0], &line[1], &line[2], &line[3]);
        let value: serde_json::Value = serde_json::from_str(text).unwrap();
        let edit = RowEdit::set(row, 0, cells(column, value));
        let change = Change::new("c-1", "ana", 0).edit(edit);
        let outcome = match apply(&MemoryTable::default(), &change).await {
            Ok(_) => "accepted".to_owned(),
            Err(EditError::Plan(PlanError::Invalid(errors))) => errors[0].to_string(),
            Err(error) => error.to_string(),
        };
        assert_eq!(outcome, expected, "{row} {column} {text}");
    }
}

#[tokio::test]
async fn unreadable_record() {
    let store = MemoryTable::default();
    let name = RecordKey::new("table", "row/guides");
    let foreign = Transaction::default().put(name.clone(), json!({"id": 3}));
    store.commit(foreign).await.unwrap();
    let error = read_table(&store).await.unwrap_err();
    assert_eq!(error, ReadError::Malformed { record: name });
}

/// With any combination of lost responses, stale reads and outages, each change is
/// applied at most once, and the reported outcomes agree with the history.
#[test]
fn random_faults() {
    bolero::check!()
        .with_iterations(200)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|schedule| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            let length = schedule.len().min(12);
            runtime.block_on(random_schedule(&schedule[..length]));
        });
}

async fn random_schedule(schedule: &[(u8, u8)]) {
    let store = MemoryTable::default();
    let mut accepted: Vec<Arc<str>> = Vec::new();
    let mut refused: Vec<Arc<str>> = Vec::new();
    for (number, (fault, base)) in schedule.iter().enumerate() {
        store.set_old_reads(fault & 1 != 0);
        store.lose_answers(LoseAnswers::Next(u32::from(fault >> 1 & 7)));
        store.set_down(fault >> 4 == 15);
        let id = format!("c-{number}");
        let base_version = u64::from(base % 12);
        let change = weight(&id, "ana", base_version, f64::from(*base) + 1.0);
        match apply(&store, &change).await {
            Ok(outcome) if !outcome.cells.is_empty() => accepted.push(id.into()),
            Ok(_) | Err(EditError::Unresolved { .. }) => {}
            Err(_) => refused.push(id.into()),
        }
    }
    store.set_down(false);
    store.set_old_reads(false);
    let history = read_history(&store, 100).await.unwrap();
    let newest_first = history.iter().map(|record| record.revision);
    assert!(newest_first.eq((1..=history.len() as u64).rev()));
    let count_of = |id: &Arc<str>| history.iter().filter(|record| record.change == *id).count();
    assert!(accepted.iter().all(|id| count_of(id) == 1));
    assert!(refused.iter().all(|id| count_of(id) == 0));
}
