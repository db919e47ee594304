//! Removed keys are refused in time: a host accepts a key only while it knows that its
//! configuration is the newest one (docs/design/shared-fleet.md, "Accounts").

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod fleet_support;
mod pause_support;
mod rows_support;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use fleet_support::{Deployment, Fleet, run};
use http::{HeaderMap, StatusCode};
use mimosavane::{
    ingress::{
        accounts::Freshness,
        authentication::{self, Unauthenticated},
        feeds,
        host::HostSettings,
        wire::Caller,
    },
    platform::standin::{
        ACCOUNTS, AUTHORITY, Client, Keyring, ONCE_PATH, REPEATABLE_PATH, Sender, StoreFault,
    },
    store::rows::{RowName, RowStore as _, RowTransaction},
};
use rows_support::{
    Feed, Rows,
    host::{TestHost, host_with, settings},
    leader::wait_until,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

/// The bound in these tests.
const BOUND: Duration = Duration::from_millis(1_000);

/// The table and key of the configuration, which the platform names.
const CONFIGURATION: (&str, &str) = ("op", "config");

/// The poll before which a host is paused, a second or two after it is ready.
const PAUSED_POLL: usize = 600;

const PAUSE_TIME: Duration = Duration::from_secs(4);

const PAUSE_PATIENCE: Duration = Duration::from_secs(20);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Guards against an age that counts from the arrival of a read, whose answer may have been
/// on its way while a key was removed.
#[test]
fn age_counts_from_send() {
    let mut freshness = Freshness::default();
    assert!(freshness.check(BOUND, ms(10)).is_err());
    freshness.confirm(ms(500));
    assert!(freshness.check(BOUND, ms(1_499)).is_ok());
    assert_eq!(freshness.check(BOUND, ms(1_500)).unwrap_err().age, BOUND);
    // A read that was sent earlier and answered later makes nothing older.
    freshness.confirm(ms(400));
    assert!(freshness.check(BOUND, ms(1_499)).is_ok());
}

/// A host that follows the operator's table of `rows`, and the configuration's keys.
fn follow(rows: &Rows) -> TestHost {
    let settings = HostSettings {
        revocation_bound: Some(BOUND),
        ..settings()
    };
    let host = host_with(settings, rows);
    spawn_local(feeds::follow_operator(host.clone()));
    host
}

async fn write_configuration(rows: &Rows, body: impl Into<Bytes>) {
    let (table, key) = CONFIGURATION;
    let transaction = RowTransaction::default().put(RowName::new(table, "", key), body.into());
    rows.commit(&transaction).await.unwrap();
}

fn authenticate(host: &TestHost, key: &str) -> Result<Caller, Unauthenticated> {
    let mut headers = HeaderMap::new();
    headers.insert("x-api-key", key.parse().unwrap());
    let configuration = host.configuration().unwrap();
    authentication::authenticate(host, &configuration, &headers, false)
}

fn is_stale(host: &TestHost, key: &str) -> bool {
    matches!(authenticate(host, key), Err(Unauthenticated::Stale(_)))
}

/// Guards against a host that accepts keys of a configuration which it cannot confirm, and
/// against one that does not serve again once it can. A key that it does not know may have
/// been added meanwhile.
#[test]
fn silent_feed() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Live);
        let keyring = Keyring::new(BOUND);
        write_configuration(&rows, keyring.configuration(1).to_string()).await;
        let host = follow(&rows);
        let key = keyring.settled_keys(ACCOUNTS[0])[0].to_owned();
        wait_until("never ready", || host.is_ready()).await;
        assert!(authenticate(&host, &key).is_ok());
        assert_eq!(authenticate(&host, "k"), Err(Unauthenticated::UnknownKey));
        rows.set_feed(Feed::Silent);
        wait_until("never stale", || is_stale(&host, &key)).await;
        assert!(is_stale(&host, "k") && !host.is_ready());
        rows.set_feed(Feed::Live);
        wait_until("stale for ever", || host.is_ready()).await;
        assert!(authenticate(&host, &key).is_ok());
    });
}

/// Guards against a configuration that cannot be read and counts as one without removals.
#[test]
fn unreadable_configuration() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Live);
        let mut keyring = Keyring::new(BOUND);
        write_configuration(&rows, keyring.configuration(1).to_string()).await;
        let host = follow(&rows);
        let key = keyring.settled_keys(ACCOUNTS[0])[0].to_owned();
        wait_until("never ready", || host.is_ready()).await;
        write_configuration(&rows, r#"{"version": 2, "tenants": 7}"#).await;
        wait_until("never stale", || is_stale(&host, &key)).await;
        // A host that reads the whole table again has not read it either.
        rows.compact();
        sleep(BOUND).await;
        assert!(is_stale(&host, &key) && !host.is_ready());
        keyring.remove(&key);
        write_configuration(&rows, keyring.configuration(3).to_string()).await;
        wait_until("stale for ever", || host.is_ready()).await;
        assert_eq!(authenticate(&host, &key), Err(Unauthenticated::UnknownKey));
    });
}

/// Guards against a read that is answered long after it was sent and counts as fresh.
#[test]
fn late_answer() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Silent);
        rows.hold_reads(true);
        let keyring = Keyring::new(BOUND);
        write_configuration(&rows, keyring.configuration(1).to_string()).await;
        let host = follow(&rows);
        wait_until("never read", || rows.held_read_count() == 1).await;
        sleep(BOUND + ms(100)).await;
        rows.release_read(0);
        wait_until("never applied", || host.configuration().is_some()).await;
        assert!(is_stale(&host, keyring.settled_keys(ACCOUNTS[0])[0]));
    });
}

/// A fleet that must refuse removed keys after [`BOUND`].
async fn strict_fleet(pauses: Vec<BTreeMap<usize, Duration>>) -> (Fleet, Keyring) {
    let keyring = Keyring::new(BOUND);
    let deployment = Deployment {
        keyring: Some(keyring.clone()),
        revocation_bound: Some(BOUND),
        duties: None,
    };
    (Fleet::start_as(pauses, 1, 0, deployment).await, keyring)
}

async fn status(fleet: &Fleet, host: usize, key: &str, attempt: &str) -> StatusCode {
    let address = fleet.hosts[host].clients;
    let answer = Client::send_once(address, async |client| {
        client.present_keys(&[key]);
        client.call(REPEATABLE_PATH, attempt).await
    });
    answer.await.unwrap().status
}

async fn readiness(fleet: &Fleet, host: usize) -> StatusCode {
    let address = fleet.hosts[host].ready;
    let answer = Client::send_once(address, async |client| client.ready().await);
    answer.await.unwrap().status
}

/// Guards against hosts that serve on keys while no store can tell whether they are removed,
/// and that stay unready after its outage.
#[test]
fn store_away() {
    run(async {
        let (fleet, keyring) = strict_fleet(vec![BTreeMap::new()]).await;
        let key = keyring.settled_keys(ACCOUNTS[0])[0].to_owned();
        assert_eq!(status(&fleet, 0, &key, "before").await, StatusCode::OK);
        fleet.store.set_fault(StoreFault::Down);
        sleep(BOUND * 2).await;
        let refused = status(&fleet, 0, &key, "during").await;
        assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(readiness(&fleet, 0).await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.record.borrow().run_count("during"), 0);
        fleet.store.set_fault(StoreFault::None);
        fleet.hosts[0].wait_until_ready().await;
        assert_eq!(status(&fleet, 0, &key, "after").await, StatusCode::OK);
    });
}

/// Guards against a host that was frozen and, as it wakes, serves a request by what it knew
/// before: the key was removed longer than the bound before the request was sent.
#[test]
fn frozen_host() {
    run(async {
        let pauses = vec![BTreeMap::from([(PAUSED_POLL, PAUSE_TIME)])];
        let (fleet, mut keyring) = strict_fleet(pauses).await;
        let key = keyring.settled_keys(ACCOUNTS[0])[0].to_owned();
        fleet.hosts[0].wait_until_paused(PAUSE_PATIENCE).await;
        keyring.remove(&key);
        keyring.configure(&fleet.store, 2);
        sleep(BOUND + ms(100)).await;
        let sender = keyring.sender(&key);
        assert_eq!(sender, Sender::Revoked);
        fleet.record.borrow_mut().add_sent("frozen", sender);
        let refused = status(&fleet, 0, &key, "frozen").await;
        assert!(matches!(refused.as_u16(), 401 | 503), "{refused}");
        let violations = std::mem::take(&mut *fleet.record.borrow_mut()).close();
        assert_eq!(violations, []);
    });
}

/// Guards against a check of the head alone: the key is removed while the body is under way.
#[test]
fn late_body() {
    run(async {
        let (fleet, mut keyring) = strict_fleet(vec![BTreeMap::new()]).await;
        let key = keyring.settled_keys(ACCOUNTS[0])[0].to_owned();
        let mut stream = TcpStream::connect(fleet.hosts[0].clients).await.unwrap();
        let head = format!(
            "POST {ONCE_PATH}1 HTTP/1.1\r\nhost: {AUTHORITY}\r\nattempt-id: late\r\n\
             x-api-key: {key}\r\ncontent-length: 4\r\n\r\nbo"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        sleep(ms(200)).await;
        keyring.remove(&key);
        keyring.configure(&fleet.store, 2);
        let mut number = 0;
        while status(&fleet, 0, &key, &format!("poll-{number}")).await != StatusCode::UNAUTHORIZED {
            number += 1;
            sleep(ms(20)).await;
        }
        stream.write_all(b"dy").await.unwrap();
        let mut answer = [0; 12];
        let read = stream.read_exact(&mut answer);
        timeout(Duration::from_secs(5), read)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(&answer, b"HTTP/1.1 401");
        assert_eq!(fleet.record.borrow().run_count("late"), 0);
    });
}

/// Guards against hosts without accounts that refuse requests or are not ready, since they
/// could not check keys.
#[test]
fn without_accounts() {
    run(async {
        let rows = Rows::default();
        rows.set_feed(Feed::Live);
        let plain = mimosavane::platform::standin::configuration(1);
        write_configuration(&rows, plain.to_string()).await;
        let host: Rc<_> = follow(&rows);
        wait_until("never ready", || host.is_ready()).await;
        rows.set_feed(Feed::Silent);
        sleep(BOUND + ms(100)).await;
        assert!(host.is_ready());
        assert_eq!(authenticate(&host, "k"), Ok(Caller::Unknown));
    });
}
