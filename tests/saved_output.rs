//! Partial outputs are saved, and read back by the next coordinator.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use mimosavane::{
    batch::{layout, output::Output},
    ingress::stored,
    store::rows::RowStore as _,
};
use rows_support::Rows;

fn output(event_count: u64, version_of: impl Fn(u64) -> u64) -> Output {
    output_of("v1", event_count, version_of)
}

fn output_of(software: &str, event_count: u64, version_of: impl Fn(u64) -> u64) -> Output {
    let mut output = Output::default();
    for number in 1..=event_count {
        // Events of various lengths, some of them empty.
        let data = "x".repeat((number as usize * 7) % 11);
        assert!(output.push(number, &data, version_of(number), &software.into()));
    }
    output
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(test);
}

async fn save(rows: &Rows, fence: u64, item: usize, output: &Output, from: u64, max_bytes: usize) {
    let mut after = from;
    while let Some(part) = output.part(after, max_bytes) {
        after = part.last_event();
        let (transaction, _) = layout::saving(&"job".into(), fence, &[(item, part)]).unwrap();
        rows.commit(&transaction).await.unwrap();
    }
}

/// An output that is saved in parts of any size is read back with its versions.
#[test]
fn parts_of_any_size() {
    for max_bytes in [1, 5, 17, 1_000] {
        run(async move {
            let rows = Rows::default();
            let whole = output(40, |number| 3 + number / 25);
            save(&rows, 7, 2, &whole, 0, max_bytes).await;
            let found = stored::outputs(&rows, &"job".into()).await.unwrap();
            assert_eq!(found[&2], whole);
            assert_eq!(found[&2].versions(), [3, 4].into());
        });
    }
}

/// Two coordinators have saved outputs of the same item: the longer one is
/// used, and their parts are never combined.
#[test]
fn two_coordinators() {
    run(async {
        let rows = Rows::default();
        let old = output(30, |_| 1);
        let new = output(20, |_| 2);
        save(&rows, 1, 0, &old, 0, 50).await;
        save(&rows, 2, 0, &new, 0, 50).await;
        let found = stored::outputs(&rows, &"job".into()).await.unwrap();
        assert_eq!(found[&0], old);
    });
}

/// A part is missing: the parts after it are not used.
#[test]
fn missing_part() {
    run(async {
        let rows = Rows::default();
        let whole = output(30, |_| 1);
        save(&rows, 1, 0, &whole, 12, 50).await;
        let found = stored::outputs(&rows, &"job".into()).await.unwrap();
        assert_eq!(found[&0], Output::default());
    });
}

/// A whole output is read back as whole, whichever older part of it is written
/// late, so that it is not generated again.
#[test]
fn whole_output() {
    run(async {
        let rows = Rows::default();
        let mut whole = output(40, |number| 3 + number / 25);
        save(&rows, 7, 2, &whole, 0, 50).await;
        whole.mark_whole();
        let parts: Vec<_> = whole
            .final_parts(60)
            .into_iter()
            .map(|part| (2, part))
            .collect();
        assert!(parts.len() > 1);
        let (transaction, count) = layout::saving(&"job".into(), 7, &parts).unwrap();
        assert_eq!(count, parts.len());
        rows.commit(&transaction).await.unwrap();
        let late = output(6, |_| 3);
        save(&rows, 7, 2, &late, 0, 1_000).await;
        let found = stored::outputs(&rows, &"job".into()).await.unwrap();
        assert_eq!(found[&2], whole);
        assert!(found[&2].is_whole());
    });
}

/// The last part of a whole output is missing: the output counts as incomplete.
#[test]
fn missing_last_part() {
    run(async {
        let rows = Rows::default();
        let mut whole = output(40, |_| 3);
        whole.mark_whole();
        let mut parts: Vec<_> = whole
            .final_parts(60)
            .into_iter()
            .map(|part| (0, part))
            .collect();
        parts.pop();
        let (transaction, _) = layout::saving(&"job".into(), 7, &parts).unwrap();
        rows.commit(&transaction).await.unwrap();
        let found = stored::outputs(&rows, &"job".into()).await.unwrap();
        assert!(!found[&0].is_whole());
        assert!(found[&0].last_event() < 40);
    });
}

/// An item started anew at another software version, and some parts of its first output
/// were not overwritten: the parts of both are never combined.
#[test]
fn parts_of_two_software_versions() {
    run(async {
        let rows = Rows::default();
        let first = output_of("v1", 40, |_| 1);
        let second = output_of("v2", 12, |_| 1);
        save(&rows, 1, 0, &first, 0, 1).await;
        save(&rows, 1, 0, &second, 0, 1).await;
        let found = stored::outputs(&rows, &"job".into()).await.unwrap();
        assert_eq!(found[&0], second);
    });
}

/// A part that was saved by an earlier release names no software version: nothing goes on
/// with it.
#[test]
fn part_without_software_version() {
    run(async {
        let rows = Rows::default();
        let saved = output(10, |_| 1);
        let mut part = saved.part(0, 1_000).unwrap();
        part.software_version = None;
        let (transaction, _) = layout::saving(&"job".into(), 1, &[(0, part)]).unwrap();
        rows.commit(&transaction).await.unwrap();
        let found = stored::outputs(&rows, &"job".into()).await.unwrap();
        assert_eq!(found[&0].last_event(), 10);
        assert!(!found[&0].fits(&"v1".into()));
    });
}
