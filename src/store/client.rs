//! An HTTP and JSON client of the table service.
//!
//! The client never retries a request by itself: a caller that gets
//! [`StoreError::Unknown`] reads back what it wrote. The client limits this host
//! to its share of the service's request rate (see
//! docs/design/store-outages.md).

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

/// The path for committing a transaction.
pub const COMMIT_PATH: &str = "/v1/commit";
/// The path for reading one record.
pub const GET_PATH: &str = "/v1/get";
/// The path for reading the records of a table above a revision.
pub const SCAN_PATH: &str = "/v1/scan";
/// The path for reading the records of a table with the highest keys.
pub const LATEST_PATH: &str = "/v1/latest";

/// The maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The idle timeout of pooled connections. It is below the usual server timeout
/// of 5 s, so that few requests are sent on a connection that the server is
/// closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The body of a scan request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// The table to read.
    pub table: String,
    /// The revision above which records are returned.
    pub above_revision: Revision,
}

/// The body of a request for the records with the highest keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LatestRequest {
    /// The table to read.
    pub table: String,
    /// The maximum number of records to return.
    pub max_records: usize,
}

/// The body of the answer to a transaction that was not applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The first condition that did not hold.
    pub condition: Condition,
    /// The current record, if it exists.
    pub present: Option<Record>,
}

/// The request rates that the whole fleet may use on the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The maximum number of reads per second.
    pub max_reads_per_s: u32,
    /// The maximum number of writes per second.
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

/// The kind of a request, by which its rate is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Read,
    Write,
}

/// An invalid address of the table service.
#[derive(Debug, thiserror::Error)]
#[error("table service address {url}: {source}")]
pub struct AddressError {
    url: String,
    source: http::uri::InvalidUri,
}

/// A [`TableService`] over the network.
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
    health: Mutex<Health>,
}

struct Health {
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
            reads: host_limiter(budget.max_reads_per_s, hosts_count),
            writes: host_limiter(budget.max_writes_per_s, hosts_count),
        }
    }

    fn for_kind(&self, kind: RequestKind) -> &DefaultDirectRateLimiter {
        match kind {
            RequestKind::Read => &self.reads,
            RequestKind::Write => &self.writes,
        }
    }
}

/// Returns a limiter for one host's equal share of the fleet's rate, with a
/// burst of 1 s.
fn host_limiter(max_rate_per_s: u32, hosts_count: u32) -> DefaultDirectRateLimiter {
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
    /// Returns a client of the service at `url` that waits at most `timeout` for
    /// an answer. `seed` seeds the jitter of the backoff after failures.
    ///
    /// # Errors
    ///
    /// Returns an error if `url` is not a valid address.
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
                health: Mutex::new(Health {
                    tracker: Tracker::default(),
                    rng: Rng::seed_from_u64(seed),
                }),
            }),
        })
    }

    /// Sets the number of live hosts that share the service's rates equally.
    pub fn set_live_hosts(&self, hosts_count: u32) {
        if self.shared.limiters.load().hosts_count != hosts_count.max(1) {
            let limiters = Limiters::new(self.shared.budget, hosts_count);
            self.shared.limiters.store(Arc::new(limiters));
        }
    }

    /// Returns the current assessment of the service.
    pub fn condition(&self) -> StoreCondition {
        self.with_health(|health, _| health.tracker.condition())
    }

    fn with_health<T>(&self, act: impl FnOnce(&mut Health, Duration) -> T) -> T {
        let now = self.shared.clock.now();
        let mut health = self
            .shared
            .health
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        act(&mut health, now)
    }

    /// Waits until this host's rate limit permits the request, for at most the
    /// client's timeout.
    async fn acquire_rate(&self, kind: RequestKind) -> Result<(), StoreError> {
        let deadline = self.shared.clock.now() + self.shared.timeout;
        loop {
            let checked = self.shared.limiters.load().for_kind(kind).check();
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

    async fn send<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        kind: RequestKind,
    ) -> Result<Option<A>, StoreError> {
        self.with_health(|health, now| health.tracker.admit(now))
            .map_err(|retry_after| StoreError::NotSent {
                reason: NotSentReason::Backoff,
                retry_after,
            })?;
        if let Err(error) = self.acquire_rate(kind).await {
            self.with_health(|health, now| health.tracker.cancel_attempt(now));
            return Err(error);
        }
        let request = self.encode(path, body)?;
        let started_at = self.shared.clock.now();
        let answer = tokio::time::timeout(self.shared.timeout, self.exchange(request))
            .await
            .unwrap_or(Err(StoreError::Unknown));
        self.with_health(|health, now| match &answer {
            Ok(_) => health.tracker.record_answer(now.saturating_sub(started_at)),
            Err(_) => health.tracker.record_failure(now, &mut health.rng),
        });
        let (status, bytes) = answer?;
        decode_answer(status, &bytes)
    }

    fn encode(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        let encode_error = StoreError::NotSent {
            reason: NotSentReason::Encode,
            retry_after: Duration::ZERO,
        };
        let Ok(body) = serde_json::to_vec(body) else {
            return Err(encode_error);
        };
        Request::builder()
            .method(Method::POST)
            .uri(format!("{}{path}", self.shared.base))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| encode_error)
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

/// Decodes an answer. An absent record is `None`.
fn decode_answer<A: DeserializeOwned>(
    status: StatusCode,
    bytes: &[u8],
) -> Result<Option<A>, StoreError> {
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
        let committed = self
            .send(COMMIT_PATH, &transaction, RequestKind::Write)
            .await?;
        committed.ok_or(StoreError::Unknown)
    }

    async fn get(&self, name: RecordKey) -> Result<Option<Record>, StoreError> {
        self.send(GET_PATH, &name, RequestKind::Read).await
    }

    async fn scan(&self, table: &str, above_revision: Revision) -> Result<Scan, StoreError> {
        let request = ScanRequest {
            table: table.to_owned(),
            above_revision,
        };
        let scan = self.send(SCAN_PATH, &request, RequestKind::Read).await?;
        Ok(scan.unwrap_or_default())
    }

    async fn latest(&self, table: &str, max_records: usize) -> Result<Scan, StoreError> {
        let request = LatestRequest {
            table: table.to_owned(),
            max_records,
        };
        let scan = self.send(LATEST_PATH, &request, RequestKind::Read).await?;
        Ok(scan.unwrap_or_default())
    }
}
