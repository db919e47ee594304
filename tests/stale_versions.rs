//! A host that was out of step reads the software versions of a service late: what it has read
//! since then stays, so that no stream is joined from two versions.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use mimosavane::{
    ids::SoftwareVersion,
    ingress::{
        origins::{
            self, UnknownOrigin, VersionChoice,
            rows::{SavedVersions, registration},
        },
        routes::{Route, RouteKind},
        wire::ClientHead,
    },
    store::rows::{RowStamp, RowStore as _},
};
use rows_support::{
    Rows,
    host::{TestHost, host},
    page::{SERVICE, configuration, page_route, run, upstream},
};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

/// How long anything that the test waits for may take.
const PATIENCE: Duration = Duration::from_secs(3);

fn route() -> Route {
    Route {
        is_resumable: true,
        ..page_route(RouteKind::Streaming)
    }
}

fn versions(names: &[&str]) -> BTreeSet<SoftwareVersion> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Registers `names`, as another host does, and returns the stamp.
async fn register(rows: &Rows, known: RowStamp, names: &[&str]) -> RowStamp {
    let known = SavedVersions {
        stamp: known,
        ..SavedVersions::default()
    };
    let transaction = registration(SERVICE, &known, &versions(names)).unwrap();
    rows.commit(&transaction).await.unwrap().stamp
}

/// Starts a host that lists an upstream of v1.
fn listing_host(rows: &Rows) -> TestHost {
    let host = host(rows);
    let mut configuration = configuration(RouteKind::Streaming);
    configuration.routes = vec![Arc::new(route())];
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    {
        let mut view = host.view.borrow_mut();
        view.configuration = Some(configuration.into());
        view.directory.put(upstream("i-1", 1, address));
    }
    host
}

type Choice = Result<VersionChoice, UnknownOrigin>;

/// Starts to take up a stream that began at another host.
fn take_up(host: &TestHost, attempt: &str) -> JoinHandle<Choice> {
    let host = host.clone();
    let head = ClientHead {
        attempt_id: Some(format!("again-{attempt}").as_str().into()),
        resumed_attempt: Some(attempt.into()),
        last_event: Some(5),
        ..ClientHead::default()
    };
    spawn_local(async move { origins::choose(&host, &route(), &SERVICE.into(), &head).await })
}

async fn wait_for_reads(rows: &Rows, count: usize) {
    let read = timeout(PATIENCE, async {
        while rows.held_read_count() < count {
            sleep(Duration::from_millis(1)).await;
        }
    });
    read.await.unwrap();
}

/// Guards against streams that go on at another version: the answer to an older read of the
/// versions comes late, after the one that a stream to be taken up has waited for.
#[test]
fn late_answer() {
    run(async {
        let rows = Rows::default();
        let first = register(&rows, 0, &["v1"]).await;
        let host = listing_host(&rows);
        rows.hold_reads(true);
        // The host reads the versions as its first upstream is listed. Its link fails, and
        // the answer is on its way.
        spawn_local(origins::follow_versions(host.clone()));
        wait_for_reads(&rows, 1).await;
        // Upstreams of v2 join, and streams begin there over other hosts.
        register(&rows, first, &["v1", "v2"]).await;
        let choices = [take_up(&host, "begun-1"), take_up(&host, "begun-2")];
        wait_for_reads(&rows, 2).await;
        rows.hold_reads(false);
        // The link is back, and brings both answers at once.
        rows.release_read(1);
        rows.release_read(0);
        for choice in choices {
            let choice = timeout(PATIENCE, choice).await.unwrap().unwrap();
            assert_eq!(choice, Err(UnknownOrigin::OriginUnknown));
        }
        let saved = host.origins.borrow().versions(SERVICE).cloned();
        assert_eq!(saved, Some(versions(&["v1", "v2"])));
    });
}

/// The same, without a late answer: streams of the only version go on there.
#[test]
fn only_version() {
    run(async {
        let rows = Rows::default();
        register(&rows, 0, &["v1"]).await;
        let host = listing_host(&rows);
        let choice = take_up(&host, "begun-1").await.unwrap();
        assert_eq!(choice, Ok(VersionChoice::Only("v1".into())));
        let saved = host.origins.borrow().versions(SERVICE).cloned();
        assert_eq!(saved, Some(versions(&["v1"])));
    });
}
