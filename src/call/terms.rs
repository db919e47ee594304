//! What a caller's request says about its deadline, its key and repetition.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, header};

use crate::{clock::Timestamp, retry::Deadline, settings::PoolSettings};

/// The header with the caller's own key of a request.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The header with the time that the sender still waits, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// The header that names one attempt; an upstream may give it back.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-mimosavane-attempt");

/// The longest key.
const MAX_KEY_BYTES: usize = 255;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 12] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Why a request cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The deadline is not a number of milliseconds.
    #[error("the deadline is not a whole number of milliseconds")]
    Deadline,
    /// The key is empty, too long or not plain text, or stands there twice.
    #[error("the key is not one text of 1 to {MAX_KEY_BYTES} bytes")]
    Key,
}

/// What a request says about how it may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// When the caller stops waiting.
    pub deadline: Deadline,
    /// The caller's key.
    pub key: Option<String>,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

impl Terms {
    /// Reads the terms of `request`.
    ///
    /// # Errors
    ///
    /// Fails on a header that cannot be understood, since ignoring one could
    /// run a call twice.
    pub fn read(
        request: &Request<Bytes>,
        pool: &PoolSettings,
        default_timeout: Duration,
        now: Timestamp,
    ) -> Result<Self, Invalid> {
        let timeout = read_timeout(request.headers())?.unwrap_or(default_timeout);
        Ok(Self {
            deadline: Deadline::after(now, timeout),
            key: read_key(request.headers())?,
            idempotent: is_idempotent(request.method(), pool),
        })
    }
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Invalid> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Invalid::Deadline)?;
    let timeout_ms = text.trim().parse().map_err(|_| Invalid::Deadline)?;
    Ok(Some(Duration::from_millis(timeout_ms)))
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Invalid> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| Invalid::Key)?.trim();
    let is_usable = (1..=MAX_KEY_BYTES).contains(&key.len()) && values.next().is_none();
    if is_usable {
        Ok(Some(key.to_owned()))
    } else {
        Err(Invalid::Key)
    }
}

/// Says whether calls with `method` may be repeated in this pool.
pub fn is_idempotent(method: &Method, pool: &PoolSettings) -> bool {
    let is_named = |methods: &[String]| methods.iter().any(|name| name == method.as_str());
    if is_named(&pool.unrepeatable_methods) {
        return false;
    }
    method.is_idempotent() || is_named(&pool.idempotent_methods)
}

/// Returns the headers that go on to the next hop, without the caller's key to
/// this service.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(headers);
    headers.remove(header::AUTHORIZATION);
    headers
}

/// Returns the headers that do not concern one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers
}
