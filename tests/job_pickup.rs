//! A coordinator learns of new and ended jobs although the store's feed does not
//! report them.

mod rows_support;

use mimosavane::{
    batch::{job::JobId, layout},
    ingress::{coordinator::Coordinator, wire::Wire as _},
    platform::PlatformWire,
    store::rows::{RowName, RowStore as _, RowTransaction},
};
use rows_support::{
    Feed, Rows,
    leader::{host_with_engine, open_item_count, open_job_count, wait_until},
    member::accept,
    page::run,
};
use tokio::task::spawn_local;

/// The store discards its history while a job ends: the coordinator must find the
/// end when it lists the jobs again, or the job's items would go on running.
#[test]
fn end_in_a_gap() {
    run(async {
        let rows = Rows::default();
        let id = accept(&rows, "job", 4).await;
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        wait_until("the job is never opened", || {
            open_job_count(&host) == Some(1)
        })
        .await;
        rows.commit(&layout::ending(&id)).await.unwrap();
        wait_until("the end is never seen", || {
            rows.keys(layout::OPEN, &id).is_empty()
        })
        .await;
        wait_until("the job stays open", || open_job_count(&host) == Some(0)).await;
    });
}

/// The feeds are silent while a trainer names a version: the coordinator finds it
/// by itself, since engines must load it.
#[test]
fn version_in_a_silent_feed() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Silent);
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        let name = RowName::new(PlatformWire::OPERATOR_TABLE, "", "version/writer");
        let value = br#"{"model":"writer","version":5}"#.as_slice();
        let transaction = RowTransaction::default().put(name, value);
        rows.commit(&transaction).await.unwrap();
        wait_until("the version is never seen", || {
            host.view.borrow().named_versions.get("writer") == Some(&5)
        })
        .await;
    });
}

/// The feed is silent while a job is accepted: the coordinator finds it by itself.
#[test]
fn job_in_a_silent_feed() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Silent);
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        wait_until("nobody coordinates", || open_job_count(&host) == Some(0)).await;
        accept(&rows, "job", 4).await;
        wait_until("the job is never opened", || {
            open_job_count(&host) == Some(1)
        })
        .await;
    });
}

/// One job cannot be read while the coordinator opens several at once: the others are
/// opened all the same, and that one as soon as it can be read.
#[test]
fn unreadable_job() {
    run(async {
        let rows = Rows::default();
        for id in ["a", "b", "c", "d", "e"] {
            accept(&rows, id, 40).await;
        }
        rows.fail_reads(Some("a"));
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        wait_until("the other jobs are never opened", || {
            open_job_count(&host) == Some(4)
        })
        .await;
        rows.fail_reads(None);
        wait_until("the job is never opened", || {
            open_job_count(&host) == Some(5)
        })
        .await;
    });
}

/// A job ends while the coordinator reads it: the answers to its first reads, without the end,
/// come once the end is known. `end` ends the job while feeds are silent.
fn play_end_during_read(end: impl AsyncFn(&Rows, &JobId)) {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Silent);
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        wait_until("nobody coordinates", || open_job_count(&host) == Some(0)).await;
        rows.hold_reads_of(Some(layout::ITEMS));
        let ended = accept(&rows, "ended", 4).await;
        wait_until("the job is never read", || rows.held_read_count() > 0).await;
        end(&rows, &ended).await;
        rows.set_feed(Feed::Live);
        wait_until("the end is never seen", || {
            rows.keys(layout::OPEN, &ended).is_empty()
        })
        .await;
        rows.hold_reads_of(None);
        for number in 0..rows.held_read_count() {
            rows.release_read(number);
        }
        accept(&rows, "kept", 8).await;
        wait_until("the other job is never opened", || {
            open_item_count(&host) >= 8
        })
        .await;
        assert_eq!(open_job_count(&host), Some(1), "the ended job is open");
    });
}

/// Guards against items of an ended job that go on running: the feed delivers the end while
/// the job is read.
#[test]
fn end_during_read() {
    play_end_during_read(async |rows, job| {
        rows.commit(&layout::ending(job)).await.unwrap();
    });
}

/// The same, where the store drops its history, so that the feed never delivers the end.
#[test]
fn end_in_a_gap_during_read() {
    play_end_during_read(async |rows, job| {
        rows.commit(&layout::ending(job)).await.unwrap();
        rows.compact();
    });
}

/// Guards against items that go on running because the end of their job waits until other
/// jobs are read: the store is slow with one that came before it.
#[test]
fn end_behind_a_read() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Live);
        let ended = accept(&rows, "ended", 4).await;
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        wait_until("the job is never opened", || {
            open_job_count(&host) == Some(1)
        })
        .await;
        rows.hold_reads_of(Some(layout::ITEMS));
        accept(&rows, "slow", 8).await;
        wait_until("the other job is never read", || rows.held_read_count() > 0).await;
        rows.commit(&layout::ending(&ended)).await.unwrap();
        wait_until("the end is never seen", || open_job_count(&host) == Some(0)).await;
        rows.hold_reads_of(None);
        for number in 0..rows.held_read_count() {
            rows.release_read(number);
        }
        wait_until("the other job is never opened", || {
            open_item_count(&host) == 8
        })
        .await;
    });
}
