//! Each result of a batch job is listed once, whatever faults the store has and
//! however many coordinators believe that they lead.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{collections::BTreeSet, time::Duration};

use mimosavane::{
    batch::{
        job::{ItemResult, ItemState},
        layout,
    },
    ingress::stored,
    store::rows::{RowName, RowRange, RowStore, RowTransaction},
};
use rows_support::{
    Fault, Rows, item_rows, job,
    member::{Member, SLOT_COUNT, accept, listed},
    scored_job,
};
use tokio::{
    runtime,
    time::{self, timeout},
};

fn assert_once(results: &[ItemResult]) {
    let ids: BTreeSet<_> = results.iter().map(|result| &result.id).collect();
    assert_eq!(ids.len(), results.len(), "an item is listed twice");
}

fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// A coordinator is partitioned and finishes a job. Its successor lists all
/// results, and the trainer ends the job. After the partition heals, the old
/// coordinator must not list anything.
#[test]
fn ended_while_cut_off() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 12).await;
        let (old, new) = (Member::new(&rows), Member::new(&rows));
        old.open_job(&rows, &id).await;
        new.open_job(&rows, &id).await;
        old.finish(12);
        new.finish(12);
        new.lister.list(&id).await;
        rows.commit(&layout::ending(&id)).await.unwrap();
        let done = old.lister.list(&id).await;
        assert!(done.is_job_closed);
        let results = listed(&rows, &id).await;
        assert_once(&results);
        assert_eq!(results.len(), 12);
    });
}

/// Guards against items of an ended job that go on running for as long as its coordinator
/// does not learn of the end: the first result that it lists shows the end.
#[test]
fn end_found_by_listing() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 12).await;
        let member = Member::new(&rows);
        member.open_job(&rows, &id).await;
        member.finish(4);
        rows.commit(&layout::ending(&id)).await.unwrap();
        rows.commit(&layout::closing(&id)).await.unwrap();
        let outcome = member.lister.list(&id).await;
        assert!(outcome.is_job_closed, "the job stays open");
        assert_eq!(outcome.listed_count, 0);
        assert!(listed(&rows, &id).await.is_empty());
    });
}

/// Two coordinators concurrently list parts of the same job.
#[test]
fn two_coordinators() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 20).await;
        let (old, new) = (Member::new(&rows), Member::new(&rows));
        old.open_job(&rows, &id).await;
        new.open_job(&rows, &id).await;
        for (old_count, new_count) in [(3, 8), (8, 2), (20, 20)] {
            old.finish(old_count);
            new.finish(new_count);
            let (a, b) = tokio::join!(old.lister.list(&id), new.lister.list(&id));
            assert!(!a.is_job_closed && !b.is_job_closed);
        }
        let results = listed(&rows, &id).await;
        assert_once(&results);
        assert_eq!(results.len(), 20);
    });
}

/// Answers to listings are lost, and some listings are applied after later
/// calls.
#[test]
fn lost_and_late_answers() {
    for seed in 0..64_usize {
        run(async move {
            let rows = Rows::default();
            let id = accept(&rows, "job", 24).await;
            let member = Member::new(&rows);
            member.open_job(&rows, &id).await;
            for round in 0..4 {
                rows.fail_next(match (seed >> round) % 4 {
                    0 => Fault::AnswerLost,
                    1 => Fault::Late(1 + seed % 3),
                    2 => Fault::Refused,
                    _ => Fault::Late(2),
                });
                member.finish(6);
                member.lister.list(&id).await;
            }
            member.finish(24);
            member.lister.list(&id).await;
            let results = listed(&rows, &id).await;
            assert_once(&results);
            assert_eq!(results.len(), 24, "seed {seed}");
        });
    }
}

/// A coordinator loses its lease while a listing is in flight, opens the job
/// again, and finishes other items before the answer arrives.
#[test]
fn lease_lost_and_regained() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 8).await;
        let member = Member::new(&rows);
        member.open_job(&rows, &id).await;
        member.finish(4);
        let reopen = async {
            // The listing is sent once its results have been batched.
            while rows.commit_count() < 2 {
                time::sleep(Duration::from_millis(1)).await;
            }
            member.scheduler.borrow_mut().reset();
            member.lister.forget_all();
            member.started.borrow_mut().clear();
            member.open_job(&rows, &id).await;
            member.set_engines();
            member.finish(4);
            rows.release_answers();
        };
        rows.hold_answers();
        tokio::join!(member.lister.list(&id), reopen);
        member.lister.list(&id).await;
        member.finish(8);
        member.lister.list(&id).await;
        let results = listed(&rows, &id).await;
        assert_once(&results);
        assert_eq!(results.len(), 8);
    });
}

/// A job whose items need many rows is read back unchanged.
#[test]
fn large_job() {
    run(async {
        let rows = Rows::default();
        let expected = job("job", 300, 9_000);
        for transaction in layout::acceptance(&expected).unwrap() {
            let size_bytes: usize = transaction.puts.iter().map(|(_, v)| v.len()).sum();
            assert!(size_bytes <= layout::MAX_TRANSACTION_BYTES);
            assert!(transaction.puts.len() <= layout::MAX_ENTRY_COUNT);
            rows.commit(&transaction).await.unwrap();
        }
        let loaded = stored::load(&rows, &expected.id).await.unwrap().unwrap();
        assert_eq!(loaded.job, expected);
        let range = layout::item_range(&expected.id, &expected.items[77].id);
        let page = rows.read(&range).await.unwrap();
        let found = layout::decode_items(&page.rows).unwrap();
        assert!(found.contains(&expected.items[77]));
    });
}

/// A table has more rows than fit into an answer: each row is read exactly
/// once.
#[test]
fn many_pages() {
    run(async {
        let rows = Rows::default();
        let names: Vec<String> = (0..1_203).map(|index| format!("i-{index:x}")).collect();
        for chunk in names.chunks(100) {
            let transaction = chunk.iter().fold(RowTransaction::default(), |all, name| {
                all.put(
                    RowName::new("upstreams", "", name),
                    name.clone().into_bytes(),
                )
            });
            rows.commit(&transaction).await.unwrap();
        }
        let range = RowRange {
            table: "upstreams",
            partition: String::new(),
            from: String::new(),
            to: String::new(),
            limit_count: 500,
        };
        let found = stored::read_all(&rows, range).await.unwrap();
        let keys: BTreeSet<&str> = found.iter().map(|row| &*row.key).collect();
        assert_eq!((found.len(), keys.len()), (1_203, 1_203));
        // The platform's store receives the key in the query of a request.
        let is_plain = |byte: u8| byte.is_ascii_graphic();
        assert!(
            rows.read_starts()
                .iter()
                .all(|from| from.bytes().all(is_plain))
        );
    });
}

/// Hosts of a version without reward calls read what this one writes, and the
/// reverse: the added fields follow the old ones.
#[test]
fn rows_of_other_versions() {
    let scored = scored_job("job", 8, 100);
    let new_rows = item_rows(&scored);
    assert_eq!(layout::decode_items(&new_rows).unwrap(), scored.items);
    let plain = job("job", 8, 100);
    let old_rows = item_rows(&plain);
    assert_eq!(layout::decode_items(&old_rows).unwrap(), plain.items);
    for (old, new) in old_rows.iter().zip(&new_rows) {
        assert!(new.value.len() > old.value.len());
        assert!(new.value.starts_with(&old.value), "{}", new.key);
    }
}

/// The score of a listed result is read back, and results without one stay as
/// they were.
#[test]
fn listed_score() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 4).await;
        let result = |index: u32, score: Option<&str>| ItemResult {
            id: format!("item-{index}").into(),
            state: ItemState::Completed,
            text: "x".repeat(60_000),
            versions: [1].into(),
            score: score.map(Into::into),
        };
        let results = [result(0, Some("3e1b.07")), result(1, None)];
        let listing = layout::listing(&id, &Default::default(), 0, &results, 9).unwrap();
        rows.commit(&listing.transaction).await.unwrap();
        assert_eq!(listed(&rows, &id).await, results);
    });
}

/// The next coordinator learns from the tally what is listed, and from the results
/// if a host of an earlier version wrote the tally.
#[test]
fn listed_items_in_tally() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 8).await;
        let member = Member::new(&rows);
        member.open_job(&rows, &id).await;
        for _ in 0..2 {
            member.finish(3);
            member.lister.list(&id).await;
        }
        let loaded = stored::load(&rows, &id).await.unwrap().unwrap();
        let results = listed(&rows, &id).await;
        assert_eq!(results.len(), 6);
        let ids: Vec<_> = results.into_iter().map(|result| result.id).collect();
        assert_eq!(loaded.tally.listed, ids);
        let name = RowName::new(layout::JOBS, "job", layout::TALLY_KEY);
        let earlier = layout::encode(&loaded.tally).unwrap();
        let transaction = RowTransaction::default().put(name, earlier);
        rows.commit(&transaction).await.unwrap();
        let reloaded = stored::load(&rows, &id).await.unwrap().unwrap();
        assert_eq!(reloaded.listed, loaded.listed);
        assert_eq!(reloaded.tally, loaded.tally);
        // The listing goes on from there.
        let next = Member::new(&rows);
        next.open_job(&rows, &id).await;
        next.finish(8);
        next.lister.list(&id).await;
        assert_once(&listed(&rows, &id).await);
        assert_eq!(listed(&rows, &id).await.len(), 8);
    });
}

/// How long a coordinator may take to list thousands of results.
const LISTING_TIME: Duration = Duration::from_secs(60);

/// Guards against a job of which no result is listed from some number on: the ids of its listed
/// items exceed what one row can hold. The next coordinator finds them all the same.
#[test]
fn tally_beyond_a_row() {
    run(async {
        for item_count in [4_096, 20_000] {
            let rows = Rows::default();
            let id = accept(&rows, "job", item_count).await;
            let half_count = item_count / 2;
            for count in [half_count, item_count - half_count] {
                let member = Member::new(&rows);
                member.open_job(&rows, &id).await;
                for _ in 0..count / SLOT_COUNT {
                    member.finish(SLOT_COUNT);
                }
                member.finish(count % SLOT_COUNT);
                let listed = timeout(LISTING_TIME, member.lister.list(&id)).await;
                assert_eq!(listed.unwrap().listed_count, count, "{item_count}");
            }
            let results = listed(&rows, &id).await;
            assert_once(&results);
            assert_eq!(results.len(), item_count);
        }
    });
}
