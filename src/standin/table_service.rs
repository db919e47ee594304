//! A stand-in for the platform's transactional table service.
//!
//! [`MemoryTable`] runs in process, for tests in virtual time, and
//! [`TableServiceStandin`] serves a [`MemoryTable`] over HTTP on loopback. Both
//! have the same faults, which can be switched at run time.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    ids::Revision,
    store::{
        Committed, Condition, Record, RecordKey, Scan, StoreError, TableService, Transaction,
        client::{
            COMMIT_PATH, GET_PATH, LATEST_PATH, LatestRequest, Refusal, SCAN_PATH, ScanRequest,
        },
    },
};

/// The number of commits whose answer is lost after the commit is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoseAnswers {
    /// No answer is lost.
    #[default]
    Never,
    /// The answers to this many of the next commits are lost.
    Next(u32),
    /// All answers are lost.
    Always,
}

/// The numbers of requests that the service received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The number of reads received, answered or not.
    pub reads_count: u64,
    /// The number of transactions received, applied or not.
    pub writes_count: u64,
}

#[derive(Clone, Debug, Default)]
struct Tables {
    revision: Revision,
    records: BTreeMap<RecordKey, Record>,
}

#[derive(Debug, Default)]
struct State {
    tables: Tables,
    down: bool,
    delay: Duration,
    lose_answers: LoseAnswers,
    stale_tables: Option<Tables>,
    counts: Counts,
}

/// An in-memory table service with faults that can be switched at run time.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     standin::table_service::MemoryTable,
///     store::{RecordKey, TableService, Transaction},
/// };
///
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// let table = MemoryTable::default();
/// let name = RecordKey::new("claims", "order-7");
/// let claim = Transaction::default().absent(name.clone()).put(name, 1.into());
/// assert!(table.commit(claim.clone()).await.is_ok());
/// assert!(table.commit(claim).await.is_err());
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<State>>,
}

impl MemoryTable {
    /// Sets whether the service is down; while it is, it applies and answers
    /// nothing.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Sets the delay before a request is processed.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Sets how many answers to applied commits are lost.
    pub fn lose_answers(&self, lose_answers: LoseAnswers) {
        self.lock().lose_answers = lose_answers;
    }

    /// Sets whether reads are answered from a stale snapshot, which is taken when
    /// `old` becomes true and does not include later writes.
    pub fn set_old_reads(&self, old: bool) {
        let mut state = self.lock();
        let previous = state.stale_tables.take();
        state.stale_tables = old.then(|| previous.unwrap_or_else(|| state.tables.clone()));
    }

    /// Returns the numbers of requests received so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn inject_faults(&self) -> Result<(), StoreError> {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.lock().down {
            return Err(StoreError::Unknown);
        }
        Ok(())
    }

    fn apply(&self, transaction: Transaction) -> Result<Committed, StoreError> {
        let mut state = self.lock();
        let committed = state.tables.apply(transaction)?;
        let lost = match state.lose_answers {
            LoseAnswers::Never | LoseAnswers::Next(0) => false,
            LoseAnswers::Next(left) => {
                state.lose_answers = LoseAnswers::Next(left - 1);
                true
            }
            LoseAnswers::Always => true,
        };
        if lost {
            Err(StoreError::Unknown)
        } else {
            Ok(committed)
        }
    }

    async fn read<T>(&self, read: impl FnOnce(&Tables) -> T) -> Result<T, StoreError> {
        self.lock().counts.reads_count += 1;
        self.inject_faults().await?;
        let state = self.lock();
        Ok(read(state.stale_tables.as_ref().unwrap_or(&state.tables)))
    }
}

impl Tables {
    fn apply(&mut self, transaction: Transaction) -> Result<Committed, StoreError> {
        for condition in transaction.conditions {
            self.check(condition)?;
        }
        self.revision += 1;
        for put in transaction.puts {
            let version = self.version_of(&put.name) + 1;
            let record = Record {
                name: put.name.clone(),
                version,
                revision: self.revision,
                value: put.value,
            };
            self.records.insert(put.name, record);
        }
        for name in transaction.deletes {
            self.records.remove(&name);
        }
        Ok(Committed {
            revision: self.revision,
        })
    }

    fn check(&self, condition: Condition) -> Result<(), StoreError> {
        if self.version_of(&condition.name) == condition.version {
            return Ok(());
        }
        let present = self.records.get(&condition.name).cloned().map(Box::new);
        Err(StoreError::Refused { condition, present })
    }

    fn version_of(&self, name: &RecordKey) -> u64 {
        self.records.get(name).map_or(0, |record| record.version)
    }

    fn records_of<'a>(&'a self, table: &'a str) -> impl DoubleEndedIterator<Item = &'a Record> {
        self.records
            .values()
            .filter(move |record| &*record.name.table == table)
    }

    fn scan(&self, table: &str, above_revision: Revision) -> Scan {
        let records = self.records_of(table);
        Scan {
            revision: self.revision,
            records: records
                .filter(|record| record.revision > above_revision)
                .cloned()
                .collect(),
        }
    }

    fn latest(&self, table: &str, max_records: usize) -> Scan {
        Scan {
            revision: self.revision,
            records: self
                .records_of(table)
                .rev()
                .take(max_records)
                .cloned()
                .collect(),
        }
    }
}

impl TableService for MemoryTable {
    async fn commit(&self, transaction: Transaction) -> Result<Committed, StoreError> {
        self.lock().counts.writes_count += 1;
        self.inject_faults().await?;
        self.apply(transaction)
    }

    async fn get(&self, name: RecordKey) -> Result<Option<Record>, StoreError> {
        self.read(|tables| tables.records.get(&name).cloned()).await
    }

    async fn scan(&self, table: &str, above_revision: Revision) -> Result<Scan, StoreError> {
        self.read(|tables| tables.scan(table, above_revision)).await
    }

    async fn latest(&self, table: &str, max_records: usize) -> Result<Scan, StoreError> {
        self.read(|tables| tables.latest(table, max_records)).await
    }
}

/// A table service over HTTP on an ephemeral loopback port.
///
/// It stops when it is dropped.
#[derive(Debug)]
pub struct TableServiceStandin {
    address: SocketAddr,
    table: MemoryTable,
    accept_task: JoinHandle<()>,
}

/// The error that closes the connection without an answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer is lost")]
struct AnswerLost;

impl TableServiceStandin {
    /// Starts a service that serves `table`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(table: MemoryTable) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let accept_task = tokio::spawn(accept(listener, table.clone()));
        Ok(Self {
            address,
            table,
            accept_task,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its base URL, as the settings expect it.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the served table, whose faults can be switched.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }
}

impl Drop for TableServiceStandin {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener, table: MemoryTable) {
    while let Ok((stream, _)) = listener.accept().await {
        if table.lock().down {
            continue;
        }
        let table = table.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| handle(table.clone(), request));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(%error, "table service connection ended");
            }
        });
    }
}

/// Answers a request in a separate task, so that a commit is applied even if the
/// caller has disconnected.
async fn handle(
    table: MemoryTable,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, AnswerLost> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map_err(|_| AnswerLost)?.to_bytes();
    let answer = tokio::spawn(async move { answer(&table, &path, &body).await });
    answer.await.map_err(|_| AnswerLost)?
}

async fn answer(
    table: &MemoryTable,
    path: &str,
    body: &[u8],
) -> Result<Response<Full<Bytes>>, AnswerLost> {
    match path {
        COMMIT_PATH => match serde_json::from_slice::<Transaction>(body) {
            Ok(transaction) => respond(table.commit(transaction).await),
            Err(_) => malformed(),
        },
        GET_PATH => match serde_json::from_slice::<RecordKey>(body) {
            Ok(name) => match table.get(name).await {
                Ok(None) => json(StatusCode::NOT_FOUND, &()),
                found => respond(found),
            },
            Err(_) => malformed(),
        },
        SCAN_PATH => match serde_json::from_slice::<ScanRequest>(body) {
            Ok(scan) => respond(table.scan(&scan.table, scan.above_revision).await),
            Err(_) => malformed(),
        },
        LATEST_PATH => match serde_json::from_slice::<LatestRequest>(body) {
            Ok(latest) => respond(table.latest(&latest.table, latest.max_records).await),
            Err(_) => malformed(),
        },
        _ => json(StatusCode::NOT_FOUND, &()),
    }
}

fn respond(
    outcome: Result<impl Serialize, StoreError>,
) -> Result<Response<Full<Bytes>>, AnswerLost> {
    match outcome {
        Ok(value) => json(StatusCode::OK, &value),
        Err(StoreError::Refused { condition, present }) => {
            let refusal = Refusal {
                condition,
                present: present.map(|record| *record),
            };
            json(StatusCode::PRECONDITION_FAILED, &refusal)
        }
        Err(StoreError::Unavailable { .. }) => json(StatusCode::SERVICE_UNAVAILABLE, &()),
        Err(_) => Err(AnswerLost),
    }
}

fn malformed() -> Result<Response<Full<Bytes>>, AnswerLost> {
    json(StatusCode::BAD_REQUEST, &())
}

fn json(status: StatusCode, body: &impl Serialize) -> Result<Response<Full<Bytes>>, AnswerLost> {
    let body = serde_json::to_vec(body).map_err(|_| AnswerLost)?;
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    Ok(response)
}
