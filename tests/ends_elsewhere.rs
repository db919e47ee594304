//! Jobs that clients end and another coordinator closes: a coordinator that has them open
//! must stop their items, whatever its feed shows of the end
//! (docs/design/store-reads.md, "Ends").

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::time::Duration;

use mimosavane::{
    batch::{job::JobId, layout},
    ingress::coordinator::Coordinator,
    store::rows::RowStore as _,
};
use rows_support::{
    Feed, Rows,
    host::TestHost,
    leader::{host_with_engine, open_item_count, open_job_count, wait_until},
    member::accept,
    page::run,
};
use tokio::{task::spawn_local, time::sleep};

/// The partition of the lease.
const LEASE_PARTITION: &str = "fleet";

/// Longer than a lease that is not renewed.
const LEASE_TIME: Duration = Duration::from_millis(1_500);

/// Ends and closes `job`, as a client and the coordinator of another term do. No feed shows
/// the state in between.
async fn end_and_close(rows: &Rows, job: &JobId, feed: Feed) {
    rows.set_feed(Feed::Silent);
    rows.commit(&layout::ending(job)).await.unwrap();
    rows.commit(&layout::closing(job)).await.unwrap();
    rows.set_feed(feed);
}

/// Starts a coordinator that has opened the jobs of `rows`.
async fn coordinate(rows: &Rows, job_count: u64) -> TestHost {
    rows.set_feed(Feed::Newest);
    let host = host_with_engine(rows);
    spawn_local(Coordinator::new(host.clone()).run());
    wait_until("the jobs are never opened", || {
        open_job_count(&host) == Some(job_count)
    })
    .await;
    host
}

/// Guards against items of an ended job that go on running after a takeover: the job is
/// closed elsewhere, and the feed shows its rows as removed only.
#[test]
fn closed_while_open() {
    run(async {
        let rows = Rows::default();
        let job = accept(&rows, "ended", 4).await;
        let host = coordinate(&rows, 1).await;
        end_and_close(&rows, &job, Feed::Newest).await;
        wait_until("the job stays open", || open_job_count(&host) == Some(0)).await;
    });
}

/// The same as [`closed_while_open`] while the job is read: the read shows it without its end.
#[test]
fn closed_during_read() {
    run(async {
        let rows = Rows::default();
        let host = coordinate(&rows, 0).await;
        rows.hold_reads_of(Some(layout::ITEMS));
        let job = accept(&rows, "ended", 4).await;
        wait_until("the job is never read", || rows.held_read_count() > 0).await;
        end_and_close(&rows, &job, Feed::Newest).await;
        accept(&rows, "kept", 8).await;
        wait_until("the changes are never seen", || rows.held_read_count() > 1).await;
        rows.hold_reads_of(None);
        for number in 0..rows.held_read_count() {
            rows.release_read(number);
        }
        wait_until("not just the items of the other job are open", || {
            open_item_count(&host) == 8 && open_job_count(&host) == Some(1)
        })
        .await;
    });
}

/// Guards against items of an ended job that go on running because the job is closed between
/// two reads of the table of open jobs: its rows show no end any more.
#[test]
fn closed_after_listing() {
    run(async {
        let rows = Rows::default();
        let job = accept(&rows, "ended", 4).await;
        let host = coordinate(&rows, 1).await;
        rows.hold_reads_of(Some(layout::ITEMS));
        // The table is listed, and the check of each job waits for the read of the new one.
        rows.set_feed(Feed::Gone);
        accept(&rows, "slow", 8).await;
        wait_until("the new job is never read", || rows.held_read_count() > 0).await;
        end_and_close(&rows, &job, Feed::Silent).await;
        rows.hold_reads_of(None);
        rows.release_read(0);
        wait_until("the ended job stays open", || {
            open_item_count(&host) == 8 && open_job_count(&host) == Some(1)
        })
        .await;
    });
}

/// Guards against items of an ended job that go on running because no feed shows that the job
/// was closed.
#[test]
fn closed_in_a_silent_feed() {
    run(async {
        let rows = Rows::default();
        let job = accept(&rows, "ended", 4).await;
        let host = coordinate(&rows, 1).await;
        end_and_close(&rows, &job, Feed::Silent).await;
        wait_until("the job stays open", || open_job_count(&host) == Some(0)).await;
    });
}

/// Guards against items of an ended job that go on running after a takeover: the end waits
/// until all other jobs are read.
#[test]
fn end_behind_a_takeover() {
    run(async {
        let rows = Rows::default();
        let job = accept(&rows, "ended", 4).await;
        accept(&rows, "slow", 8).await;
        rows.set_feed(Feed::Newest);
        rows.hold_reads_of(Some(layout::ITEMS));
        let host = host_with_engine(&rows);
        spawn_local(Coordinator::new(host.clone()).run());
        wait_until("the jobs are never read", || rows.held_read_count() > 1).await;
        // The reads are sent in the order of the ids.
        rows.release_read(0);
        wait_until("the job is never opened", || open_item_count(&host) == 4).await;
        rows.commit(&layout::ending(&job)).await.unwrap();
        wait_until("the job stays open", || open_job_count(&host) == Some(0)).await;
    });
}

/// Guards against ends that the next coordinator never sees: one whose lease has lapsed, and
/// which may have been replaced, does not close jobs.
#[test]
fn end_without_lease() {
    run(async {
        let rows = Rows::default();
        let job = accept(&rows, "ended", 4).await;
        let host = coordinate(&rows, 1).await;
        rows.hold_answers();
        rows.fail_reads(Some(LEASE_PARTITION));
        sleep(LEASE_TIME).await;
        let (held, ended) = (rows.clone(), job.clone());
        spawn_local(async move { held.commit(&layout::ending(&ended)).await });
        wait_until("the job stays open", || open_job_count(&host) == Some(0)).await;
        assert_eq!(
            rows.keys(layout::OPEN, &job),
            [layout::END_KEY, layout::JOB_KEY],
            "the job is closed without the lease"
        );
        rows.release_answers();
        rows.fail_reads(None);
        wait_until("the job is never closed", || {
            rows.keys(layout::OPEN, &job).is_empty()
        })
        .await;
    });
}
