//! A pool of HTTP connections to upstreams that never sends a request twice.
//!
//! The connection pools of HTTP libraries resend a request if a pooled connection
//! turns out to be closed, which is not allowed for a call that is not idempotent
//! (see docs/design/calls.md).

use std::{
    collections::BTreeMap,
    error::Error as _,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1, http2},
    ext::on_informational,
    service::Service,
};
use hyper_util::{
    client::legacy::connect::HttpConnector,
    rt::{TokioExecutor, TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, select, sync::Notify, time::timeout};

/// The maximum number of idle HTTP/1 connections to one upstream.
const MAX_IDLE_COUNT: usize = 64;

/// The interval of TCP and HTTP/2 keepalive probes on a connection that receives
/// nothing.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered TCP keepalive probes that closes a connection.
const KEEPALIVE_RETRY_COUNT: u32 = 3;

/// The maximum size of the heads of interim answers (1xx) to one HTTP/1 request. A
/// correct upstream sends a few of some 30 bytes; a broken one may never stop.
const MAX_INTERIM_BYTES: usize = 64 << 10;

/// What an interim answer counts besides its headers, which is about its status line.
const INTERIM_BASE_BYTES: usize = 27;

/// A request to an upstream.
pub type UpstreamRequest = Request<Full<Bytes>>;

/// The HTTP version that is used with an upstream.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// One request at a time on a connection.
    #[default]
    #[serde(rename = "http1")]
    #[strum(serialize = "http1")]
    Http1,
    /// Concurrent requests on a connection, without protocol negotiation.
    #[serde(rename = "http2")]
    #[strum(serialize = "http2")]
    Http2,
}

/// The address and protocol of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The address.
    pub address: SocketAddr,
    /// The HTTP version.
    pub protocol: Protocol,
}

/// An error while opening a connection; no request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address cannot be represented as a URI.
    #[error("invalid upstream address {0}")]
    Address(SocketAddr),
    /// The TCP connection could not be opened.
    #[error("failed to connect to {0}")]
    Refused(SocketAddr),
    /// The connection was not opened in time.
    #[error("timed out connecting to {0}")]
    TimedOut(SocketAddr),
    /// The HTTP handshake failed.
    #[error("the HTTP handshake failed")]
    Handshake(#[from] hyper::Error),
}

/// An error while sending a request on a connection.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection returned the request without having written any of it.
    #[error("the connection closed before the request was written")]
    HandedBack(Box<UpstreamRequest>),
    /// The upstream signalled through the protocol that it did not run the request.
    #[error("the upstream refused the request")]
    Refused(#[source] hyper::Error),
    /// The connection was lost after some bytes may have been sent.
    #[error("the connection was lost")]
    Lost(#[source] hyper::Error),
    /// The upstream received the request and sends interim answers without end.
    #[error("the upstream sent more than {MAX_INTERIM_BYTES} bytes of interim answers")]
    Flooded,
}

/// The largest buffer for what an HTTP/1 connection received and nobody has read. The
/// library's default of 400 kB, times the connections of a host, exceeds small machines.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// The reason where a request was not sent, because its lease, permit or deadline had ended.
pub const EXPIRED: &str = "expired";

/// The reasons where no connection could be opened: in time, or at all.
pub const CONNECT_FAILURES: [&str; 2] = ["connect-timed-out", "connect-failed"];

/// Why a request received no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing of the request was sent.
    NotRun(&'static str),
    /// The upstream may have run the request.
    Unknown(&'static str),
}

impl SendFailure {
    /// Returns the reason, for the log.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::NotRun(reason) | Self::Unknown(reason) => reason,
        }
    }
}

impl From<ConnectError> for SendFailure {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::TimedOut(_) => Self::NotRun(CONNECT_FAILURES[0]),
            _ => Self::NotRun(CONNECT_FAILURES[1]),
        }
    }
}

/// The timeouts of connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The timeout of opening a connection.
    pub connect_timeout: Duration,
    /// How long written bytes or protocol pings may stay unacknowledged.
    pub silence_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(5),
        }
    }
}

/// A pool of connections, which is soft state of this host.
///
/// # Examples
///
/// ```
/// use mimosavane::connection::{Limits, Pool};
///
/// let pool = Pool::new(Limits::default());
/// assert_eq!(pool.idle_count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: Limits,
    connector: TowerToHyperService<HttpConnector>,
    pooled: Mutex<BTreeMap<Target, Vec<PooledConnection>>>,
    next_id: AtomicU64,
}

/// A connection in the pool: idle if HTTP/1, shared by requests if HTTP/2.
#[derive(Debug)]
struct PooledConnection {
    id: u64,
    sender: Sender,
}

#[derive(Debug)]
enum Sender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl Sender {
    fn is_closed(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_closed(),
            Self::Http2(sender) => sender.is_closed(),
        }
    }

    fn is_ready(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_ready(),
            Self::Http2(sender) => sender.is_ready(),
        }
    }
}

/// A connection that is checked out for one request.
///
/// Dropping it closes an HTTP/1 connection, so that a late answer is discarded.
#[derive(Debug)]
pub struct Connection {
    id: u64,
    target: Target,
    sender: Sender,
    pool: Pool,
    reused: bool,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(limits: Limits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_timeout));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRY_COUNT));
        connector.set_tcp_user_timeout(Some(limits.silence_timeout));
        Self {
            shared: Arc::new(Shared {
                limits,
                connector: TowerToHyperService::new(connector),
                pooled: Mutex::default(),
                next_id: AtomicU64::new(0),
            }),
        }
    }

    /// Returns a pooled connection to `target`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the pool has none and none can be opened.
    pub async fn checkout(&self, target: Target) -> Result<Connection, ConnectError> {
        match self.take_pooled(target) {
            Some(connection) => Ok(connection),
            None => self.open(target).await,
        }
    }

    /// Opens a new connection to `target`, without using a pooled one.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be connected to in time.
    pub async fn open(&self, target: Target) -> Result<Connection, ConnectError> {
        let sender = timeout(self.shared.limits.connect_timeout, self.handshake(target))
            .await
            .map_err(|_| ConnectError::TimedOut(target.address))??;
        let connection = Connection {
            id: self.shared.next_id.fetch_add(1, Ordering::Relaxed),
            target,
            sender,
            pool: self.clone(),
            reused: false,
        };
        // An HTTP/2 connection is shared by requests, so it is pooled immediately.
        connection.pool_if_shared();
        Ok(connection)
    }

    /// Sends `request` to `target` once, and returns the connection and the answer,
    /// whose body is not read yet. A pooled connection that turns out to be closed is
    /// replaced by a new one, as long as nothing was written.
    ///
    /// # Errors
    ///
    /// Fails where no answer arrives; the error states whether the request may have
    /// run.
    pub async fn send(
        &self,
        target: Target,
        request: UpstreamRequest,
    ) -> Result<(Connection, Response<Incoming>), SendFailure> {
        self.send_while(target, request, || true).await
    }

    /// Sends `request` like [`Pool::send`], unless `is_allowed` returns false once the
    /// connection is there.
    ///
    /// A lease, permit or deadline that was checked before may have ended by then: the
    /// process can be paused while it waits for the connection.
    ///
    /// # Errors
    ///
    /// Fails like [`Pool::send`], and as not run with [`EXPIRED`] where the request is
    /// not allowed any more.
    pub async fn send_while(
        &self,
        target: Target,
        request: UpstreamRequest,
        is_allowed: impl Fn() -> bool,
    ) -> Result<(Connection, Response<Incoming>), SendFailure> {
        let check = async || is_allowed().then_some(()).ok_or(EXPIRED);
        self.send_checked(target, request, check).await
    }

    /// Sends `request` like [`Pool::send`], unless `check` fails once the connection is there.
    /// It runs for each connection that is opened.
    ///
    /// # Errors
    ///
    /// Fails like [`Pool::send`], and as not run with the reason that `check` returns.
    pub async fn send_checked(
        &self,
        target: Target,
        request: UpstreamRequest,
        check: impl AsyncFn() -> Result<(), &'static str>,
    ) -> Result<(Connection, Response<Incoming>), SendFailure> {
        let mut connection = self.checkout(target).await?;
        let mut request = request;
        loop {
            if let Err(reason) = check().await {
                connection.release();
                return Err(SendFailure::NotRun(reason));
            }
            let was_reused = connection.is_reused();
            match connection.send(request).await {
                Ok(answer) => return Ok((connection, answer)),
                Err(SendError::HandedBack(back)) if was_reused => {
                    request = *back;
                    connection = self.open(target).await?;
                }
                Err(SendError::HandedBack(_)) => {
                    return Err(SendFailure::NotRun("closed-before-send"));
                }
                Err(SendError::Refused(_)) => return Err(SendFailure::NotRun("refused")),
                Err(SendError::Lost(_)) => return Err(SendFailure::Unknown("connection-lost")),
                Err(SendError::Flooded) => return Err(SendFailure::Unknown("interim-answers")),
            }
        }
    }

    /// Returns whether a new connection to `target` can be opened.
    pub async fn is_reachable(&self, target: Target) -> bool {
        timeout(self.shared.limits.connect_timeout, self.dial(target))
            .await
            .is_ok_and(|opened| opened.is_ok())
    }

    /// Removes all pooled connections to `target`.
    ///
    /// A fault that broke one connection to an upstream has probably broken all.
    pub fn remove_pooled(&self, target: Target) {
        self.pooled().remove(&target);
    }

    /// Returns the number of pooled connections.
    pub fn idle_count(&self) -> usize {
        self.pooled().values().map(Vec::len).sum()
    }

    fn pooled(&self) -> MutexGuard<'_, BTreeMap<Target, Vec<PooledConnection>>> {
        self.shared
            .pooled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn take_pooled(&self, target: Target) -> Option<Connection> {
        let mut pooled = self.pooled();
        let connections = pooled.get_mut(&target)?;
        connections.retain(|pooled| !pooled.sender.is_closed());
        let ready = connections
            .iter()
            .rposition(|pooled| pooled.sender.is_ready())?;
        let (id, sender) = match &connections[ready].sender {
            Sender::Http2(sender) => (connections[ready].id, Sender::Http2(sender.clone())),
            Sender::Http1(_) => {
                let pooled = connections.swap_remove(ready);
                (pooled.id, pooled.sender)
            }
        };
        Some(Connection {
            id,
            target,
            sender,
            pool: self.clone(),
            reused: true,
        })
    }

    async fn dial(&self, target: Target) -> Result<TokioIo<TcpStream>, ConnectError> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(target.address.to_string())
            .path_and_query("/")
            .build()
            .map_err(|_| ConnectError::Address(target.address))?;
        self.shared
            .connector
            .call(uri)
            .await
            .map_err(|_| ConnectError::Refused(target.address))
    }

    async fn handshake(&self, target: Target) -> Result<Sender, ConnectError> {
        let io = self.dial(target).await?;
        match target.protocol {
            Protocol::Http1 => {
                let (sender, connection) = http1::Builder::new()
                    .max_buf_size(MAX_BUFFER_BYTES)
                    .handshake(io)
                    .await?;
                tokio::spawn(connection);
                Ok(Sender::Http1(sender))
            }
            Protocol::Http2 => {
                let (sender, connection) = http2::Builder::new(TokioExecutor::new())
                    .timer(TokioTimer::new())
                    .keep_alive_interval(KEEPALIVE_INTERVAL)
                    .keep_alive_timeout(self.shared.limits.silence_timeout)
                    .handshake(io)
                    .await?;
                tokio::spawn(connection);
                Ok(Sender::Http2(sender))
            }
        }
    }
}

impl Connection {
    /// Returns the number of the connection, unique within its pool.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Returns whether the connection was taken from the pool.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends `request` once and returns the head of its response.
    ///
    /// # Errors
    ///
    /// The [`SendError`] shows whether the upstream can have received the request.
    pub async fn send(
        &mut self,
        request: UpstreamRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let answer = match &mut self.sender {
            Sender::Http1(sender) => {
                let mut request = request;
                let flood = watch_interim(&mut request);
                select! {
                    biased;
                    answer = sender.try_send_request(request) => answer,
                    () = flood.notified() => return Err(SendError::Flooded),
                }
            }
            Sender::Http2(sender) => sender.try_send_request(request).await,
        };
        answer.map_err(classify)
    }

    /// Returns the connection to the pool for the next request.
    ///
    /// Only a connection whose response was read to the end may be released, since
    /// the rest would otherwise be read as the response to the next request.
    pub fn release(self) {
        let Self {
            id,
            target,
            sender,
            pool,
            ..
        } = self;
        if matches!(sender, Sender::Http2(_)) || sender.is_closed() {
            return;
        }
        let mut pooled = pool.pooled();
        let connections = pooled.entry(target).or_default();
        if connections.len() < MAX_IDLE_COUNT {
            connections.push(PooledConnection { id, sender });
        }
    }

    fn pool_if_shared(&self) {
        if let Sender::Http2(sender) = &self.sender {
            self.pool
                .pooled()
                .entry(self.target)
                .or_default()
                .push(PooledConnection {
                    id: self.id,
                    sender: Sender::Http2(sender.clone()),
                });
        }
    }
}

/// Counts the interim answers to `request`, and notifies once they exceed
/// [`MAX_INTERIM_BYTES`].
fn watch_interim(request: &mut UpstreamRequest) -> Arc<Notify> {
    let flood = Arc::new(Notify::new());
    let notified = flood.clone();
    let received_bytes = AtomicUsize::new(0);
    on_informational(request, move |interim| {
        let header_bytes: usize = interim
            .headers()
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let bytes = INTERIM_BASE_BYTES + header_bytes;
        if received_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_INTERIM_BYTES {
            notified.notify_one();
        }
    });
    flood
}

/// The message of the HTTP/2 library for a stream that the peer refused.
const REFUSED_STREAM: &str = "stream error received: refused stream";

/// The start of the HTTP/2 library's message for a GOAWAY frame from the peer.
const GO_AWAY: &str = "connection error received: ";

/// Classifies an error by what it implies for the request.
fn classify(error: TrySendError<UpstreamRequest>) -> SendError {
    let mut error = error;
    if let Some(request) = error.take_message() {
        return SendError::HandedBack(Box::new(request));
    }
    let error = error.into_error();
    if is_refusal(&error) {
        SendError::Refused(error)
    } else {
        SendError::Lost(error)
    }
}

/// Returns whether `error` shows that the peer did not run the request.
///
/// The HTTP/2 library reports the GOAWAY error for streams above the last one
/// that the peer lists, and an I/O error for the others. This crate does not
/// depend on its error type, so the message is matched; an unknown message counts
/// as a lost connection.
fn is_refusal(error: &hyper::Error) -> bool {
    error.source().is_some_and(|source| {
        let message = source.to_string();
        message.starts_with(REFUSED_STREAM) || message.starts_with(GO_AWAY)
    })
}
