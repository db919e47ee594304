//! The HTTP connections to upstreams, which never send a request twice.
//!
//! The pool is the project's own because pools of HTTP libraries send a request
//! again when a kept connection turns out to be closed, and a call that is not
//! idempotent must not be (see docs/design/calls.md).

use std::{
    collections::BTreeMap,
    error::Error as _,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1, http2},
    service::Service,
};
use hyper_util::{
    client::legacy::connect::HttpConnector,
    rt::{TokioExecutor, TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, time::timeout};

/// The most idle HTTP/1 connections that are kept to one upstream.
const MAX_IDLE_COUNT: usize = 64;

/// How often the system probes a connection on which nothing arrives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How many unanswered probes close a connection.
const KEEPALIVE_RETRY_COUNT: u32 = 3;

/// The request that a connection takes.
pub type UpstreamRequest = Request<Full<Bytes>>;

/// The version of HTTP that an upstream is spoken to in.
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
    /// Many requests at once on a connection, without negotiation.
    #[serde(rename = "http2")]
    #[strum(serialize = "http2")]
    Http2,
}

/// Where an upstream answers and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// The version of HTTP.
    pub protocol: Protocol,
}

/// Why no connection could be opened; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address could not be written as a URI.
    #[error("the address {0} is not usable")]
    Address(SocketAddr),
    /// The system refused the connection.
    #[error("connecting to {0} failed")]
    Refused(SocketAddr),
    /// The connection did not open in time.
    #[error("connecting to {0} took too long")]
    TimedOut(SocketAddr),
    /// The HTTP handshake failed.
    #[error("the handshake failed")]
    Handshake(#[from] hyper::Error),
}

/// Why a request got no answer on a connection.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection gave the request back without having written any of it.
    #[error("the connection closed before the request was written")]
    HandedBack(Box<UpstreamRequest>),
    /// The upstream said on the protocol that it did not run the request.
    #[error("the upstream refused the request")]
    Refused(#[source] hyper::Error),
    /// The connection was lost after bytes may have left.
    #[error("the connection was lost")]
    Lost(#[source] hyper::Error),
}

/// The bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long opening a connection may take.
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

/// The kept connections, which are soft state of this host.
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
    kept: Mutex<BTreeMap<Target, Vec<Kept>>>,
    next_id: AtomicU64,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Kept {
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

/// A connection that was taken out for one request.
///
/// Dropping it closes an HTTP/1 connection, so that a late answer finds nobody.
#[derive(Debug)]
pub struct Connection {
    id: u64,
    target: Target,
    sender: Sender,
    pool: Pool,
    reused: bool,
}

impl Pool {
    /// Makes an empty pool.
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
                kept: Mutex::default(),
                next_id: AtomicU64::new(0),
            }),
        }
    }

    /// Returns a kept connection to `target`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails where none is kept and none can be opened.
    pub async fn checkout(&self, target: Target) -> Result<Connection, ConnectError> {
        match self.take_kept(target) {
            Some(connection) => Ok(connection),
            None => self.open(target).await,
        }
    }

    /// Opens a connection to `target` whatever is kept.
    ///
    /// # Errors
    ///
    /// Fails where the upstream is not reachable in time.
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
        // Requests share an HTTP/2 connection, so that it is kept from the start.
        connection.keep_shared();
        Ok(connection)
    }

    /// Says whether a fresh connection to `target` opens.
    pub async fn is_reachable(&self, target: Target) -> bool {
        timeout(self.shared.limits.connect_timeout, self.dial(target))
            .await
            .is_ok_and(|opened| opened.is_ok())
    }

    /// Closes all connections that wait for a request to `target`.
    ///
    /// Whatever lost track of one connection probably lost track of all.
    pub fn retire_kept(&self, target: Target) {
        self.kept().remove(&target);
    }

    /// Returns how many connections wait for a request.
    pub fn idle_count(&self) -> usize {
        self.kept().values().map(Vec::len).sum()
    }

    fn kept(&self) -> MutexGuard<'_, BTreeMap<Target, Vec<Kept>>> {
        self.shared
            .kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn take_kept(&self, target: Target) -> Option<Connection> {
        let mut kept = self.kept();
        let connections = kept.get_mut(&target)?;
        connections.retain(|kept| !kept.sender.is_closed());
        let ready = connections
            .iter()
            .rposition(|kept| kept.sender.is_ready())?;
        let (id, sender) = match &connections[ready].sender {
            Sender::Http2(sender) => (connections[ready].id, Sender::Http2(sender.clone())),
            Sender::Http1(_) => {
                let kept = connections.swap_remove(ready);
                (kept.id, kept.sender)
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
                let (sender, connection) = http1::handshake(io).await?;
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
    /// Returns the number of the connection on this host.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Says whether the connection carried a request before.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends `request` once and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// The error says what is certain about the request; see [`SendError`].
    pub async fn send(
        &mut self,
        request: UpstreamRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let answer = match &mut self.sender {
            Sender::Http1(sender) => sender.try_send_request(request).await,
            Sender::Http2(sender) => sender.try_send_request(request).await,
        };
        answer.map_err(classify)
    }

    /// Keeps the connection for the next request.
    ///
    /// Only a connection whose answer was read to its end may be kept, since
    /// otherwise the rest would be taken for the answer to the next request.
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
        let mut kept = pool.kept();
        let connections = kept.entry(target).or_default();
        if connections.len() < MAX_IDLE_COUNT {
            connections.push(Kept { id, sender });
        }
    }

    fn keep_shared(&self) {
        if let Sender::Http2(sender) = &self.sender {
            self.pool.kept().entry(self.target).or_default().push(Kept {
                id: self.id,
                sender: Sender::Http2(sender.clone()),
            });
        }
    }
}

/// How the HTTP/2 library words a stream that the peer refused.
const REFUSED_STREAM: &str = "stream error received: refused stream";

/// How the HTTP/2 library words a GOAWAY frame of the peer.
const GO_AWAY: &str = "connection error received: ";

/// Says what an error proves about the request.
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

/// Says whether `error` is the peer's own word that it did not run the request.
///
/// The HTTP/2 library gives the GOAWAY error to streams above the last one that
/// the peer names, and an I/O error to the others. Its error type is not a
/// dependency of this crate; an unknown wording is taken for a lost connection.
fn is_refusal(error: &hyper::Error) -> bool {
    error.source().is_some_and(|source| {
        let wording = source.to_string();
        wording.starts_with(REFUSED_STREAM) || wording.starts_with(GO_AWAY)
    })
}
