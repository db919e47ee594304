//! A host loses its links to all upstreams, while clients, the store and other hosts still
//! reach it: its callers are served over other hosts, and its duties move.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod fleet_support;
mod pause_support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fleet_support::{Fleet, run};
use http::StatusCode;
use mimosavane::platform::standin::{
    Client, HangingAddress, MODELS, ONCE_PATH, REPEATABLE_PATH, ReservedAddress, ResultPage,
    STREAM_PATH, TrainerJob, name_version,
};
use tokio::time::{Instant, sleep};

/// How long hosts take to learn a cut, the upstreams and each other.
const LEARNING_TIME: Duration = Duration::from_millis(1_200);

/// The time within which a host must know that it is cut off: `stable_ms` of the deployment
/// specification.
const DETECTION_TIME: Duration = Duration::from_millis(3_000);

/// How many events a client reads of a stream.
const EVENT_COUNT: usize = 5;

/// A fleet whose hosts know each other.
async fn fleet(host_count: usize) -> Fleet {
    let fleet = Fleet::start_paused(vec![BTreeMap::new(); host_count], 2, 2).await;
    sleep(LEARNING_TIME).await;
    fleet
}

/// Returns an address that refuses connections.
fn refusing() -> (SocketAddr, ReservedAddress) {
    let reserved = ReservedAddress::new().unwrap();
    (reserved.address, reserved)
}

async fn call(fleet: &Fleet, host: usize, path: &str, attempt: &str) -> StatusCode {
    let address = fleet.hosts[host].clients;
    let answer = Client::send_once(address, async |client| client.call(path, attempt).await);
    answer.await.unwrap().status
}

/// Makes calls at `host` until it has noticed that it is cut off.
async fn detect(fleet: &Fleet, host: usize) {
    let deadline = Instant::now() + DETECTION_TIME;
    let mut number = 0;
    while Instant::now() < deadline {
        call(
            fleet,
            host,
            REPEATABLE_PATH,
            &format!("detect-{host}-{number}"),
        )
        .await;
        number += 1;
        sleep(Duration::from_millis(100)).await;
    }
}

/// Calls of each kind are served over other hosts, each once, whether connections to
/// upstreams hang or are refused.
#[test]
fn served_over_others() {
    run(async {
        let (refusing, _reserved) = refusing();
        let hanging = HangingAddress::new().unwrap();
        for address in [refusing, hanging.address] {
            let fleet = fleet(3).await;
            fleet.host_stores[0].cut_upstreams(Some(address));
            sleep(LEARNING_TIME).await;
            detect(&fleet, 0).await;
            for number in 0..20 {
                let started_at = Instant::now();
                let attempt = format!("again-{number}");
                let status = call(&fleet, 0, REPEATABLE_PATH, &attempt).await;
                assert_eq!(status, StatusCode::OK);
                assert!(started_at.elapsed() < Duration::from_millis(500));
                let attempt = format!("once-{number}");
                assert_eq!(call(&fleet, 0, ONCE_PATH, &attempt).await, StatusCode::OK);
                assert_eq!(fleet.record.borrow().run_count(&attempt), 1);
            }
            let mut client = Client::connect(fleet.hosts[0].clients).await.unwrap();
            let stream = client.stream(STREAM_PATH, "stream", None, EVENT_COUNT);
            let stream = stream.await.unwrap();
            assert_eq!(stream.status, StatusCode::OK);
            assert!(stream.last_event >= EVENT_COUNT as u64);
        }
    });
}

/// The first calls after the cut find it out, and are served all the same.
#[test]
fn first_call_after_cut() {
    run(async {
        let (refusing, _reserved) = refusing();
        let fleet = fleet(3).await;
        fleet.host_stores[0].cut_upstreams(Some(refusing));
        sleep(LEARNING_TIME).await;
        for number in 0..3 {
            let attempt = format!("first-{number}");
            assert_eq!(
                call(&fleet, 0, REPEATABLE_PATH, &attempt).await,
                StatusCode::OK
            );
        }
    });
}

/// All hosts are cut off: nobody helps, and calls are refused at once. None runs. Once the
/// links are back, calls are served again.
#[test]
fn all_cut_off() {
    run(async {
        let hanging = HangingAddress::new().unwrap();
        let fleet = fleet(3).await;
        for store in &fleet.host_stores {
            store.cut_upstreams(Some(hanging.address));
        }
        sleep(LEARNING_TIME).await;
        for host in 0..3 {
            detect(&fleet, host).await;
        }
        for number in 0..5 {
            let started_at = Instant::now();
            let attempt = format!("refused-{number}");
            let status = call(&fleet, 0, ONCE_PATH, &attempt).await;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(started_at.elapsed() < Duration::from_millis(300));
            assert_eq!(fleet.record.borrow().run_count(&attempt), 0);
        }
        for store in &fleet.host_stores {
            store.cut_upstreams(None);
        }
        sleep(LEARNING_TIME).await;
        for host in 0..3 {
            let attempt = format!("healed-{host}");
            assert_eq!(
                call(&fleet, host, ONCE_PATH, &attempt).await,
                StatusCode::OK
            );
        }
    });
}

/// The host that helps stops as planned while it serves a stream for the one that is cut
/// off: the stream goes on, and later calls go over the third one.
#[test]
fn helper_stops() {
    run(async {
        let (refusing, _reserved) = refusing();
        let mut fleet = fleet(3).await;
        fleet.host_stores[0].cut_upstreams(Some(refusing));
        sleep(LEARNING_TIME).await;
        detect(&fleet, 0).await;
        let mut client = Client::connect(fleet.hosts[0].clients).await.unwrap();
        let stream = client.stream(STREAM_PATH, "stream", None, 50);
        fleet.hosts[1].stop();
        let stream = stream.await.unwrap();
        assert_eq!(
            (stream.status, stream.last_event >= 50),
            (StatusCode::OK, true)
        );
        for number in 0..20 {
            let attempt = format!("once-{number}");
            assert_eq!(call(&fleet, 0, ONCE_PATH, &attempt).await, StatusCode::OK);
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// The coordinator is cut off: another host takes its lease and runs the jobs.
#[test]
fn coordinator_cut_off() {
    run(async {
        let (refusing, _reserved) = refusing();
        let fleet = fleet(3).await;
        let (model, path) = MODELS[1];
        name_version(&fleet.store, model, 2);
        let deadline = Instant::now() + Duration::from_secs(8);
        let holder = loop {
            let holder = fleet.record.borrow().last_holder().map(str::to_owned);
            if let Some(holder) = holder {
                break holder;
            }
            assert!(Instant::now() < deadline, "no order was sent");
            sleep(Duration::from_millis(50)).await;
        };
        let number: usize = holder.trim_start_matches("entry-").parse().unwrap();
        fleet.host_stores[number].cut_upstreams(Some(refusing));
        sleep(LEARNING_TIME).await;
        let job = TrainerJob {
            id: "job-1".to_owned(),
            model: model.to_owned(),
            step: 1,
            min_version: 1,
            event_counts: (0..8).map(|item| (format!("item-{item}"), 20)).collect(),
        };
        let address = fleet.hosts[number].clients;
        let accepted = Client::send_once(address, async |client| client.submit(path, &job).await);
        assert_eq!(accepted.await.unwrap().status, StatusCode::ACCEPTED);
        let deadline = Instant::now() + Duration::from_secs(8);
        loop {
            let read = Client::send_once(address, async |client| {
                client.read(&job.id, 0, Duration::from_secs(1)).await
            });
            let page = ResultPage::parse(&read.await.unwrap().body);
            if page.is_some_and(|page| page.results.len() == 8) {
                return;
            }
            assert!(Instant::now() < deadline, "the job is not run");
        }
    });
}
