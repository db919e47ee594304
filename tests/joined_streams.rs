//! Streams that break off are taken up at other hosts while two software versions serve:
//! they go on at the version that began them, or not at all.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod fleet_support;
mod pause_support;

use std::{collections::BTreeMap, time::Duration};

use fleet_support::{Fleet, FleetHost, run};
use futures_util::future::join_all;
use http::StatusCode;
use mimosavane::platform::standin::{Client, Engine, RequestError, STREAM_PATH, StreamStart};
use tokio::time::sleep;

/// Streams that are begun in each test, enough for both versions to begin some.
const STREAM_COUNT: usize = 12;

/// How many events a client reads before it loses its stream.
const FIRST_EVENT_COUNT: usize = 5;

/// How long hosts take to learn what the upstreams list.
const LISTING_TIME: Duration = Duration::from_millis(1_500);

/// The poll before which a host is paused, a second or two after it is ready.
const PAUSED_POLL: usize = 600;

/// How long that may take to come.
const PAUSE_PATIENCE: Duration = Duration::from_secs(20);

/// How long after its first event the origin of a stream is saved at the latest.
const SAVING_TIME: Duration = Duration::from_millis(300);

/// A fleet with two engines of each of two software versions.
async fn two_versions(host_count: usize) -> Fleet {
    let fleet = Fleet::start_paused(vec![BTreeMap::new(); host_count], 0, 4).await;
    for engine in &fleet.upstreams[2..] {
        engine.set_software_version("v2");
    }
    sleep(LISTING_TIME).await;
    fleet
}

async fn stream(
    host: &FleetHost,
    attempt: &str,
    resumed: Option<(&str, u64)>,
) -> Result<StreamStart, RequestError> {
    let mut client = Client::connect(host.clients).await?;
    client
        .stream(STREAM_PATH, attempt, resumed, FIRST_EVENT_COUNT)
        .await
}

/// Begins streams at `host` all at once, so that both versions begin some, and leaves them
/// after some events. Returns the attempts and the number of the last event of each.
async fn begin_streams(host: &FleetHost) -> Vec<(String, u64)> {
    let attempts = (0..STREAM_COUNT).map(|number| async move {
        let attempt = format!("begin-{number}");
        let first = stream(host, &attempt, None).await.unwrap();
        assert_eq!(first.status, StatusCode::OK);
        (attempt, first.last_event)
    });
    let begun = join_all(attempts).await;
    sleep(SAVING_TIME).await;
    begun
}

/// Takes all streams up at `host` at once and returns how many go on.
async fn take_up(host: &FleetHost, begun: &[(String, u64)]) -> usize {
    // In the order of their beginnings, each could meet its own version by turns.
    let others_first = begun.iter().cycle().skip(2).take(begun.len());
    let answers = others_first.map(|(attempt, last_event)| async move {
        let again = format!("again-{attempt}");
        let answer = stream(host, &again, Some((attempt, *last_event)))
            .await
            .unwrap();
        match answer.status {
            StatusCode::OK => assert!(answer.last_event > *last_event),
            status => assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE),
        }
        usize::from(answer.status == StatusCode::OK)
    });
    join_all(answers).await.into_iter().sum()
}

fn assert_none_joined(fleet: &Fleet) {
    let violations = std::mem::take(&mut *fleet.record.borrow_mut()).close();
    assert_eq!(violations, []);
}

/// A host that has never heard of a stream takes it up.
#[test]
fn at_another_host() {
    run(async {
        let fleet = two_versions(2).await;
        let begun = begin_streams(&fleet.hosts[0]).await;
        assert_eq!(take_up(&fleet.hosts[1], &begun).await, STREAM_COUNT);
        assert_none_joined(&fleet);
    });
}

/// All hosts end, and what they knew with them.
#[test]
fn after_all_hosts_ended() {
    run(async {
        let mut fleet = two_versions(2).await;
        let begun = begin_streams(&fleet.hosts[0]).await;
        fleet.restart_hosts().await;
        assert_eq!(take_up(&fleet.hosts[1], &begun).await, STREAM_COUNT);
        assert_none_joined(&fleet);
    });
}

/// The upstreams of the version that began the streams are gone: the streams end, each
/// with an answer that says that nothing ran.
#[test]
fn version_gone() {
    run(async {
        let fleet = two_versions(2).await;
        let is_first = |engine: &&std::rc::Rc<Engine>| engine.software_version() == "v1";
        let begun = begin_streams(&fleet.hosts[0]).await;
        for engine in fleet.upstreams.iter().filter(is_first) {
            engine.stop();
        }
        sleep(LISTING_TIME).await;
        let resumed_count = take_up(&fleet.hosts[1], &begun).await;
        assert!(resumed_count < STREAM_COUNT);
        assert_none_joined(&fleet);
    });
}

/// The store cannot be asked while a stream is taken up at a host that does not know it.
#[test]
fn store_away() {
    run(async {
        let fleet = two_versions(2).await;
        let begun = begin_streams(&fleet.hosts[0]).await;
        fleet
            .store
            .set_fault(mimosavane::platform::standin::StoreFault::Down);
        assert_eq!(take_up(&fleet.hosts[1], &begun[..2]).await, 0);
        assert_eq!(take_up(&fleet.hosts[0], &begun[..2]).await, 2);
        assert_none_joined(&fleet);
    });
}

/// A host stands still while upstreams of a second version join, and streams begin there over
/// another host. As it wakes it has not heard of the version, and takes the streams up.
#[test]
fn host_out_of_step() {
    run(async {
        let pauses = vec![
            BTreeMap::new(),
            BTreeMap::from([(PAUSED_POLL, Duration::from_secs(4))]),
        ];
        let mut fleet = Fleet::start_paused(pauses, 0, 2).await;
        fleet.hosts[1].wait_until_paused(PAUSE_PATIENCE).await;
        for _ in 0..2 {
            fleet.add_engine("v2").await;
        }
        sleep(LISTING_TIME).await;
        let begun = begin_streams(&fleet.hosts[0]).await;
        assert_eq!(take_up(&fleet.hosts[1], &begun).await, STREAM_COUNT);
        assert_none_joined(&fleet);
    });
}

/// Streams began before a second version came. Hosts save them once it is there.
#[test]
fn second_version_comes() {
    run(async {
        let fleet = Fleet::start_paused(vec![BTreeMap::new(); 2], 0, 4).await;
        sleep(LISTING_TIME).await;
        let begun = begin_streams(&fleet.hosts[0]).await;
        assert_eq!(take_up(&fleet.hosts[1], &begun[..4]).await, 4);
        for engine in &fleet.upstreams[2..] {
            engine.set_software_version("v2");
        }
        sleep(LISTING_TIME).await;
        assert_eq!(take_up(&fleet.hosts[1], &begun).await, STREAM_COUNT);
        assert_none_joined(&fleet);
    });
}
