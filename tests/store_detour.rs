//! A store that turns some hosts away is reached through the others.

#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

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

/// How the store treats one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Treatment {
    #[default]
    Served,
    Refused,
    /// Writes are carried out and their answers lost.
    AnswerLost,
    /// No call is answered.
    Silent,
}

/// The store as one host reaches it; through another host it always serves.
#[derive(Clone, Debug, Default)]
struct Reached {
    rows: Rows,
    treatment: Rc<Cell<Treatment>>,
    relayed_count: Rc<Cell<usize>>,
    forwarded_count: Rc<Cell<usize>>,
    is_relayed: bool,
}

impl Reached {
    async fn pass<T>(&self, is_write: bool, answer: Result<T, RowError>) -> Result<T, RowError> {
        if self.is_relayed {
            self.relayed_count.set(self.relayed_count.get() + 1);
            return answer;
        }
        match self.treatment.get() {
            Treatment::AnswerLost if is_write => Err(RowError::Unknown),
            Treatment::Silent => std::future::pending().await,
            _ => answer,
        }
    }

    fn is_refused(&self) -> bool {
        !self.is_relayed && self.treatment.get() == Treatment::Refused
    }
}

const REFUSED: RowError = RowError::NotApplied {
    reason: NotAppliedReason::Unavailable,
};

impl RowStore for Reached {
    async fn commit(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        if self.is_refused() {
            return Err(REFUSED);
        }
        let answer = self.rows.commit(transaction).await;
        self.pass(true, answer).await
    }

    async fn read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        if self.is_refused() {
            return Err(REFUSED);
        }
        let answer = self.rows.read(range).await;
        self.pass(false, answer).await
    }

    async fn partitions(&self, table: &str, after: &str) -> Result<Vec<String>, RowError> {
        self.rows.partitions(table, after).await
    }

    async fn changes(&self, t: &str, a: RowStamp, w: Duration) -> Result<RowPage, RowError> {
        self.rows.changes(t, a, w).await
    }
}

impl RelayedStore for Reached {
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

/// Returns a host that knows another one.
async fn host(reached: &Reached) -> FallbackStore<Reached> {
    let other = FallbackStore::new(reached.clone(), "host-2".into(), address());
    other.announce().await.unwrap();
    let host = FallbackStore::new(reached.clone(), "host-1".into(), address());
    host.announce().await.unwrap();
    host.learn().await.unwrap();
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

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(test);
}

/// The store refuses this host: its calls go through another one, at once and
/// without asking the store again each time.
#[test]
fn turned_away() {
    run(async {
        let reached = Reached::default();
        let host = host(&reached).await;
        reached.treatment.set(Treatment::Refused);
        host.commit(&write("a")).await.unwrap();
        host.commit(&write("b")).await.unwrap();
        assert_eq!(reached.rows.keys("jobs", "part"), ["a", "b"]);
        assert_eq!(reached.relayed_count.get(), 2);
        assert!(host.is_lost());
    });
}

/// The store takes the host again: calls go there directly.
#[test]
fn taken_again() {
    run(async {
        let reached = Reached::default();
        let host = host(&reached).await;
        reached.treatment.set(Treatment::Refused);
        host.commit(&write("a")).await.unwrap();
        host.try_direct().await;
        assert!(host.is_lost());
        reached.treatment.set(Treatment::Served);
        host.try_direct().await;
        assert!(!host.is_lost());
        host.commit(&write("b")).await.unwrap();
        assert_eq!(reached.relayed_count.get(), 1);
    });
}

/// An answer is lost: the write is not made again behind the caller's back.
#[test]
fn lost_answer() {
    run(async {
        let reached = Reached::default();
        let host = host(&reached).await;
        reached.treatment.set(Treatment::AnswerLost);
        let answer = host.commit(&write("a")).await;
        assert_eq!(answer, Err(RowError::Unknown));
        assert_eq!(reached.relayed_count.get(), 0);
        // The caller's own repetition finds out, through the other host.
        let again = host.commit(&write("a")).await;
        assert!(matches!(again, Err(RowError::Conflict { .. })));
        assert_eq!(reached.relayed_count.get(), 1);
    });
}

/// The store falls silent: a caller that gives up leaves the next one the way
/// through another host.
#[test]
fn silent_store() {
    run(async {
        let reached = Reached::default();
        let host = host(&reached).await;
        reached.treatment.set(Treatment::Silent);
        let limit = Duration::from_millis(450);
        let first = tokio::time::timeout(limit, host.commit(&write("a"))).await;
        assert!(first.is_err());
        let second = tokio::time::timeout(limit, host.commit(&write("b"))).await;
        assert!(second.unwrap().is_ok());
    });
}

/// A host that the store turned away passes on nothing, so that an outage does not
/// send calls around.
#[test]
fn lost_peer() {
    run(async {
        let reached = Reached::default();
        let host = host(&reached).await;
        let passed = host
            .forward(Method::GET, "/", Bytes::from_static(b"x"))
            .await;
        assert_eq!(passed, Ok(Some((StatusCode::OK, Bytes::from_static(b"x")))));
        reached.treatment.set(Treatment::Refused);
        host.commit(&write("a")).await.unwrap();
        let passed = host.forward(Method::GET, "/", Bytes::new()).await;
        assert_eq!(passed, Err(REFUSED));
        assert_eq!(reached.forwarded_count.get(), 1);
    });
}

/// A host that knows no other one says what the store said.
#[test]
fn no_peer() {
    run(async {
        let reached = Reached::default();
        let host = FallbackStore::new(reached.clone(), "host-1".into(), None);
        reached.treatment.set(Treatment::Refused);
        assert_eq!(host.commit(&write("a")).await, Err(REFUSED));
    });
}
