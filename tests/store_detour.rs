//! Tests that a store that refuses some hosts is reached through others.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use mimosavane::{
    ingress::detour::FallbackStore,
    store::rows::{
        Applied, NotAppliedReason, RelayedStore, RowError, RowName, RowPage, RowRange, RowStamp,
        RowStore, RowTransaction,
    },
};
use rows_support::Rows;
use tokio::time::{Instant, sleep, timeout};

/// How the store responds to one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreBehaviour {
    #[default]
    Served,
    Refused,
    /// Writes are applied and their answers lost.
    AnswerLost,
    /// No call is answered.
    Silent,
    /// Calls are answered after [`SLOW_ANSWER_TIME`].
    Slow,
}

/// How long a slow store takes for an answer.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(540);

/// One host's connection to the store; relayed calls are always served.
#[derive(Clone, Debug, Default)]
struct StoreConnection {
    rows: Rows,
    behaviour: Rc<Cell<StoreBehaviour>>,
    relayed_count: Rc<Cell<usize>>,
    forwarded_count: Rc<Cell<usize>>,
    is_relayed: bool,
}

impl StoreConnection {
    async fn respond<T>(&self, is_write: bool, answer: Result<T, RowError>) -> Result<T, RowError> {
        if self.is_relayed {
            self.relayed_count.set(self.relayed_count.get() + 1);
            return answer;
        }
        match self.behaviour.get() {
            StoreBehaviour::AnswerLost if is_write => Err(RowError::Unknown),
            StoreBehaviour::Silent => std::future::pending().await,
            StoreBehaviour::Slow => {
                sleep(SLOW_ANSWER_TIME).await;
                answer
            }
            _ => answer,
        }
    }

    fn is_refused(&self) -> bool {
        !self.is_relayed && self.behaviour.get() == StoreBehaviour::Refused
    }
}

const REFUSED: RowError = RowError::NotApplied {
    reason: NotAppliedReason::Unavailable,
};

impl RowStore for StoreConnection {
    async fn commit(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        if self.is_refused() {
            return Err(REFUSED);
        }
        let answer = self.rows.commit(transaction).await;
        self.respond(true, answer).await
    }

    async fn read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        if self.is_refused() {
            return Err(REFUSED);
        }
        let answer = self.rows.read(range).await;
        self.respond(false, answer).await
    }

    async fn partitions(&self, table: &str, after: &str) -> Result<Vec<String>, RowError> {
        self.rows.partitions(table, after).await
    }

    async fn changes(&self, t: &str, a: RowStamp, w: Duration) -> Result<RowPage, RowError> {
        let answer = self.rows.changes(t, a, w).await;
        self.respond(false, answer).await
    }
}

impl RelayedStore for StoreConnection {
    fn through(&self, _: SocketAddr) -> Self {
        Self {
            is_relayed: true,
            ..self.clone()
        }
    }

    async fn forward(
        &self,
        _: Method,
        _: &str,
        body: Bytes,
    ) -> Result<Option<(StatusCode, Bytes)>, RowError> {
        self.forwarded_count.set(self.forwarded_count.get() + 1);
        Ok(Some((StatusCode::OK, body)))
    }
}

/// Returns a host that has one peer.
async fn host(store: &StoreConnection) -> FallbackStore<StoreConnection> {
    let other = FallbackStore::new(store.clone(), "host-2".into(), address());
    other.publish_relay_address().await.unwrap();
    let host = FallbackStore::new(store.clone(), "host-1".into(), address());
    host.publish_relay_address().await.unwrap();
    host.refresh_peers().await.unwrap();
    host
}

fn address() -> Option<SocketAddr> {
    Some("127.0.0.1:9".parse().unwrap())
}

fn write(key: &str) -> RowTransaction {
    let name = RowName::new("jobs", "part", key);
    RowTransaction::default()
        .expect(name.clone(), 0)
        .put(name, b"value".as_slice())
}

/// The range of the rows that [`write`] writes.
fn part_range() -> RowRange {
    RowRange {
        table: "jobs",
        partition: "part".to_owned(),
        from: String::new(),
        to: String::new(),
        limit_count: 1,
    }
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(test);
}

/// The store refuses this host: its calls go through a peer immediately, and
/// the store is not called directly first each time.
#[test]
fn turned_away() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        store.behaviour.set(StoreBehaviour::Refused);
        host.commit(&write("a")).await.unwrap();
        host.commit(&write("b")).await.unwrap();
        assert_eq!(store.rows.keys("jobs", "part"), ["a", "b"]);
        assert_eq!(store.relayed_count.get(), 2);
        assert!(host.is_store_unavailable());
    });
}

/// The store serves the host again: calls go to it directly.
#[test]
fn taken_again() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        store.behaviour.set(StoreBehaviour::Refused);
        host.commit(&write("a")).await.unwrap();
        host.probe_store().await;
        assert!(host.is_store_unavailable());
        store.behaviour.set(StoreBehaviour::Served);
        host.probe_store().await;
        assert!(!host.is_store_unavailable());
        host.commit(&write("b")).await.unwrap();
        assert_eq!(store.relayed_count.get(), 1);
    });
}

/// The answer to a write is lost: only the caller may repeat the write.
#[test]
fn lost_answer() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        store.behaviour.set(StoreBehaviour::AnswerLost);
        let answer = host.commit(&write("a")).await;
        assert_eq!(answer, Err(RowError::Unknown));
        assert_eq!(store.relayed_count.get(), 0);
        // The caller's repetition, through the peer, determines the outcome.
        let again = host.commit(&write("a")).await;
        assert!(matches!(again, Err(RowError::Conflict { .. })));
        assert_eq!(store.relayed_count.get(), 1);
    });
}

/// The store stops answering: after one caller gave up, the next call goes
/// through a peer.
#[test]
fn silent_store() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        store.behaviour.set(StoreBehaviour::Silent);
        let limit = Duration::from_millis(450);
        let first = timeout(limit, host.commit(&write("a"))).await;
        assert!(first.is_err());
        let second = timeout(limit, host.commit(&write("b"))).await;
        assert!(second.unwrap().is_ok());
    });
}

/// The store stops answering while calls are in flight: once one caller gave up,
/// a feed moves to a peer at once, a read when it has waited as long, and a write
/// is left to its caller.
#[test]
fn calls_in_flight() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        store.behaviour.set(StoreBehaviour::Silent);
        let started_at = Instant::now();
        let range = part_range();
        let give_up = async {
            let first = timeout(Duration::from_millis(400), host.read(&range)).await;
            assert!(first.is_err());
        };
        let feed = async {
            let answer = host.changes("jobs", 0, Duration::from_millis(1_500)).await;
            assert_eq!(answer, Err(RowError::HistoryGone));
            started_at.elapsed()
        };
        let late_read = async {
            sleep(Duration::from_millis(200)).await;
            host.read(&range).await.unwrap();
            started_at.elapsed()
        };
        let first_write = write("a");
        let commit = async {
            let answer = host.commit(&first_write).await;
            assert_eq!(answer, Err(RowError::Unknown));
            started_at.elapsed()
        };
        let ((), feed, late_read, commit) = tokio::join!(give_up, feed, late_read, commit);
        assert!(feed < Duration::from_millis(450), "{feed:?}");
        assert!(late_read < Duration::from_millis(600), "{late_read:?}");
        assert!(commit < Duration::from_millis(750), "{commit:?}");
    });
}

/// A slow store is not given up while it answers.
#[test]
fn slow_store() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        store.behaviour.set(StoreBehaviour::Slow);
        let limit = Duration::from_millis(450);
        let first_write = write("lease");
        let renewal = timeout(limit, host.commit(&first_write));
        let second_write = write("a");
        let commit = async {
            sleep(Duration::from_millis(300)).await;
            host.commit(&second_write).await
        };
        let (renewal, commit) = tokio::join!(renewal, commit);
        assert!(renewal.is_err());
        assert!(commit.is_ok());
    });
}

/// A host that the store refuses relays no calls, so that calls do not
/// circulate among hosts during an outage.
#[test]
fn lost_peer() {
    run(async {
        let store = StoreConnection::default();
        let host = host(&store).await;
        let forwarded = host
            .forward(Method::GET, "/", Bytes::from_static(b"x"))
            .await;
        assert_eq!(
            forwarded,
            Ok(Some((StatusCode::OK, Bytes::from_static(b"x"))))
        );
        store.behaviour.set(StoreBehaviour::Refused);
        host.commit(&write("a")).await.unwrap();
        let forwarded = host.forward(Method::GET, "/", Bytes::new()).await;
        assert_eq!(forwarded, Err(REFUSED));
        assert_eq!(store.forwarded_count.get(), 1);
    });
}

/// All hosts of a fleet start at once: the writes of their addresses are spread
/// over partitions, and none waits in front of the coordinator's lease.
#[test]
fn mass_start() {
    run(async {
        let store = StoreConnection::default();
        let mut hosts = Vec::new();
        for index in 0..300 {
            let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
            let name = format!("edge-{index}");
            let host = FallbackStore::new(store.clone(), name.as_str().into(), Some(address));
            host.publish_relay_address().await.unwrap();
            hosts.push(host);
        }
        let partitions = store.partitions("hosts", "").await.unwrap();
        assert_eq!(partitions.len(), 8);
        assert!(!partitions.contains(&"fleet".to_owned()), "the lease's");
        for partition in partitions {
            let count = store.rows.keys("hosts", &partition).len();
            assert!(count < 60, "{count} writes to {partition}");
        }
        // Each knows others through which it can call.
        store.behaviour.set(StoreBehaviour::Served);
        for host in &hosts {
            host.refresh_peers().await.unwrap();
        }
        store.behaviour.set(StoreBehaviour::Refused);
        for (index, host) in hosts.iter().enumerate() {
            host.commit(&write(&format!("{index}"))).await.unwrap();
        }
    });
}

/// A host without peers returns the store's error.
#[test]
fn no_peer() {
    run(async {
        let store = StoreConnection::default();
        let host = FallbackStore::new(store.clone(), "host-1".into(), None);
        store.behaviour.set(StoreBehaviour::Refused);
        assert_eq!(host.commit(&write("a")).await, Err(REFUSED));
    });
}

/// All hosts lose the store for some seconds, and calls of that time get no answer.
/// Once a probe is answered, reads and feeds in flight are repeated at once, and
/// writes are left to their callers, which find their outcome by repeating them.
#[test]
fn outage_over() {
    run(async {
        let store = StoreConnection::default();
        let host = FallbackStore::new(store.clone(), "host-1".into(), None);
        store.behaviour.set(StoreBehaviour::Silent);
        let range = part_range();
        let give_up = timeout(Duration::from_millis(400), host.read(&range));
        assert!(give_up.await.is_err());
        assert!(host.is_store_unavailable());
        let outage = async {
            sleep(Duration::from_secs(6)).await;
            store.behaviour.set(StoreBehaviour::Served);
            host.probe_store().await;
            assert!(!host.is_store_unavailable());
            Instant::now()
        };
        let read = async {
            assert!(host.read(&range).await.is_ok());
            Instant::now()
        };
        let feed = async {
            let answer = host.changes("jobs", 0, Duration::from_millis(1_500)).await;
            assert_eq!(answer, Err(RowError::HistoryGone));
            Instant::now()
        };
        let commit = async {
            let first = host.commit(&write("a")).await;
            assert_eq!(first, Err(RowError::Unknown));
            let again = host.commit(&write("a")).await;
            assert!(matches!(again, Err(RowError::Conflict { .. })));
            Instant::now()
        };
        let (over_at, read_at, feed_at, commit_at) = tokio::join!(outage, read, feed, commit);
        for at in [read_at, feed_at, commit_at] {
            assert!(at.saturating_duration_since(over_at) < Duration::from_millis(50));
        }
        assert!(!host.is_store_unavailable(), "a call that was given up");
    });
}
