//! The client of the table service over HTTP and JSON.
//!
//! It never sends a request twice by itself: a caller that gets
//! [`StoreError::Unknown`] reads back what it wrote. It holds this host to its
//! part of the service's rate (see docs/design/store-outages.md).

use std::{
    num::NonZeroU32,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use governor::{
    DefaultDirectRateLimiter, Quota, RateLimiter,
    clock::{Clock as _, DefaultClock},
};
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rand::SeedableRng as _;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    clock::Clock,
    control::{blackboard::StoreCondition, controller::Rng},
    ids::Revision,
    settings::PlatformSettings,
    store::{
        Committed, Condition, NotSentReason, Record, RecordKey, Scan, StoreError, TableService,
        Transaction, condition::Tracker,
    },
};

/// The path of a transaction.
pub const COMMIT_PATH: &str = "/v1/commit";
/// The path of a read of one record.
pub const GET_PATH: &str = "/v1/get";
/// The path of a read of a table above a revision.
pub const SCAN_PATH: &str = "/v1/scan";
/// The path of a read of the highest keys of a table.
pub const LATEST_PATH: &str = "/v1/latest";

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How long an unused connection is kept; below the usual 5 s of servers, so
/// that few requests meet a connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The body of a scan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// The table to read.
    pub table: String,
    /// Only records written above this revision.
    pub above_revision: Revision,
}

/// The body of a read of the highest keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LatestRequest {
    /// The table to read.
    pub table: String,
    /// The most records to return.
    pub max_records: usize,
}

/// The body of an answer that refuses a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The first condition that did not hold.
    pub condition: Condition,
    /// The record as it is, where it exists.
    pub present: Option<Record>,
}

/// The rates of the table service that the whole fleet may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Reads of the fleet a second.
    pub max_reads_per_s: u32,
    /// Writes of the fleet a second.
    pub max_writes_per_s: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            max_reads_per_s: 2_000,
            max_writes_per_s: 300,
        }
    }
}

impl From<&PlatformSettings> for Budget {
    fn from(settings: &PlatformSettings) -> Self {
        Self {
            max_reads_per_s: settings.table_service_max_reads_per_s,
            max_writes_per_s: settings.table_service_max_writes_per_s,
        }
    }
}

/// What a request costs the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cost {
    Read,
    Write,
}

/// Why the table service's address cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("table service address {url}: {source}")]
pub struct AddressError {
    url: String,
    source: http::uri::InvalidUri,
}

/// The table service over the network.
///
/// # Examples
///
/// ```
/// use mimosavane::store::client::{Budget, HttpTableService};
/// use std::time::Duration;
///
/// let store = HttpTableService::new(
///     "http://127.0.0.1:7000",
///     Duration::from_secs(1),
///     Budget::default(),
///     7,
/// )?;
/// store.set_live_hosts(12);
/// # Ok::<(), mimosavane::store::client::AddressError>(())
/// ```
#[derive(Clone)]
pub struct HttpTableService {
    shared: Arc<Shared>,
}

struct Shared {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
    budget: Budget,
    limiters: ArcSwap<Limiters>,
    clock: Clock,
    judged: Mutex<Judged>,
}

struct Judged {
    tracker: Tracker,
    rng: Rng,
}

struct Limiters {
    hosts_count: u32,
    reads: DefaultDirectRateLimiter,
    writes: DefaultDirectRateLimiter,
}

impl Limiters {
    fn new(budget: Budget, hosts_count: u32) -> Self {
        let hosts_count = hosts_count.max(1);
        Self {
            hosts_count,
            reads: limiter(budget.max_reads_per_s, hosts_count),
            writes: limiter(budget.max_writes_per_s, hosts_count),
        }
    }

    fn of(&self, cost: Cost) -> &DefaultDirectRateLimiter {
        match cost {
            Cost::Read => &self.reads,
            Cost::Write => &self.writes,
        }
    }
}

/// Gives one host an even part of a rate of the fleet, with a burst of 1 s.
fn limiter(max_rate_per_s: u32, hosts_count: u32) -> DefaultDirectRateLimiter {
    let period = Duration::from_secs(1) * hosts_count / max_rate_per_s.max(1);
    let burst = NonZeroU32::new(max_rate_per_s / hosts_count).unwrap_or(NonZeroU32::MIN);
    let quota = Quota::with_period(period).unwrap_or(Quota::per_second(burst));
    RateLimiter::direct(quota.allow_burst(burst))
}

impl std::fmt::Debug for HttpTableService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpTableService")
            .field("base", &self.shared.base)
            .finish_non_exhaustive()
    }
}

impl HttpTableService {
    /// Makes a client of the service at `url`, which waits at most `timeout` for
    /// an answer. Pauses after failures are drawn from `seed`.
    ///
    /// # Errors
    ///
    /// Fails where `url` is not an address.
    pub fn new(
        url: impl Into<String>,
        timeout: Duration,
        budget: Budget,
        seed: u64,
    ) -> Result<Self, AddressError> {
        let url = url.into();
        if let Err(source) = url.parse::<http::Uri>() {
            return Err(AddressError { url, source });
        }
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self {
            shared: Arc::new(Shared {
                client,
                base: url.trim_end_matches('/').to_owned(),
                timeout,
                budget,
                limiters: ArcSwap::from_pointee(Limiters::new(budget, 1)),
                clock: Clock::start(),
                judged: Mutex::new(Judged {
                    tracker: Tracker::default(),
                    rng: Rng::seed_from_u64(seed),
                }),
            }),
        })
    }

    /// Divides the service's rates over `hosts_count` live hosts.
    pub fn set_live_hosts(&self, hosts_count: u32) {
        if self.shared.limiters.load().hosts_count != hosts_count.max(1) {
            let limiters = Limiters::new(self.shared.budget, hosts_count);
            self.shared.limiters.store(Arc::new(limiters));
        }
    }

    /// Returns what is believed of the service.
    pub fn condition(&self) -> StoreCondition {
        self.with_judged(|judged, _| judged.tracker.condition())
    }

    fn with_judged<T>(&self, act: impl FnOnce(&mut Judged, Duration) -> T) -> T {
        let now = self.shared.clock.now();
        let mut judged = self
            .shared
            .judged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        act(&mut judged, now)
    }

    /// Waits for this host's part of the rate, at most as long as a timeout.
    async fn spend(&self, cost: Cost) -> Result<(), StoreError> {
        let deadline = self.shared.clock.now() + self.shared.timeout;
        loop {
            let checked = self.shared.limiters.load().of(cost).check();
            let Err(not_until) = checked else {
                return Ok(());
            };
            let wait = not_until.wait_time_from(DefaultClock::default().now());
            if self.shared.clock.now() + wait > deadline {
                return Err(StoreError::NotSent {
                    reason: NotSentReason::Budget,
                    retry_after: wait,
                });
            }
            tokio::time::sleep(wait).await;
        }
    }

    async fn ask<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        cost: Cost,
    ) -> Result<Option<A>, StoreError> {
        self.with_judged(|judged, now| judged.tracker.admit(now))
            .map_err(|retry_after| StoreError::NotSent {
                reason: NotSentReason::Backoff,
                retry_after,
            })?;
        self.spend(cost).await?;
        let request = self.encode(path, body)?;
        let started_at = self.shared.clock.now();
        let answer = tokio::time::timeout(self.shared.timeout, self.exchange(request))
            .await
            .unwrap_or(Err(StoreError::Unknown));
        self.with_judged(|judged, now| match &answer {
            Ok(_) => judged.tracker.answered(now.saturating_sub(started_at)),
            Err(_) => judged.tracker.failed(now, &mut judged.rng),
        });
        let (status, bytes) = answer?;
        read(status, &bytes)
    }

    fn encode(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        let unwritable = StoreError::NotSent {
            reason: NotSentReason::Encode,
            retry_after: Duration::ZERO,
        };
        let Ok(body) = serde_json::to_vec(body) else {
            return Err(unwritable);
        };
        Request::builder()
            .method(Method::POST)
            .uri(format!("{}{path}", self.shared.base))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| unwritable)
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let answer = self.shared.client.request(request).await;
        let answer = answer.map_err(|error| {
            if error.is_connect() {
                StoreError::NotSent {
                    reason: NotSentReason::Connect,
                    retry_after: self.shared.timeout,
                }
            } else {
                StoreError::Unknown
            }
        })?;
        let status = answer.status();
        if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(StoreError::Unknown);
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(StoreError::Unavailable {
                status: status.as_u16(),
            });
        }
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
        let body = body.await.map_err(|_| StoreError::Unknown)?;
        Ok((status, body.to_bytes()))
    }
}

/// Reads an answer; an absent record is `None`.
fn read<A: DeserializeOwned>(status: StatusCode, bytes: &[u8]) -> Result<Option<A>, StoreError> {
    match status {
        StatusCode::OK => serde_json::from_slice(bytes)
            .map(Some)
            .map_err(|_| StoreError::Unknown),
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::PRECONDITION_FAILED => {
            let refusal: Refusal =
                serde_json::from_slice(bytes).map_err(|_| StoreError::Unknown)?;
            Err(StoreError::Refused {
                condition: refusal.condition,
                present: refusal.present.map(Box::new),
            })
        }
        status => Err(StoreError::Rejected {
            status: status.as_u16(),
        }),
    }
}

impl TableService for HttpTableService {
    async fn commit(&self, transaction: Transaction) -> Result<Committed, StoreError> {
        let committed = self.ask(COMMIT_PATH, &transaction, Cost::Write).await?;
        committed.ok_or(StoreError::Unknown)
    }

    async fn get(&self, name: RecordKey) -> Result<Option<Record>, StoreError> {
        self.ask(GET_PATH, &name, Cost::Read).await
    }

    async fn scan(&self, table: &str, above_revision: Revision) -> Result<Scan, StoreError> {
        let request = ScanRequest {
            table: table.to_owned(),
            above_revision,
        };
        let scan = self.ask(SCAN_PATH, &request, Cost::Read).await?;
        Ok(scan.unwrap_or_default())
    }

    async fn latest(&self, table: &str, max_records: usize) -> Result<Scan, StoreError> {
        let request = LatestRequest {
            table: table.to_owned(),
            max_records,
        };
        let scan = self.ask(LATEST_PATH, &request, Cost::Read).await?;
        Ok(scan.unwrap_or_default())
    }
}
