//! The deadline, idempotency key and idempotency of a caller's request.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, header};

use crate::{clock::Timestamp, retry::Deadline, settings::PoolSettings};

/// The header with the caller's idempotency key.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The header with the time until the sender's deadline, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// The header with the attempt id, which an upstream may echo.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-mimosavane-attempt");

/// The maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// The hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 12] = [
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

/// The reason why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHeader {
    /// The deadline is not a whole number of milliseconds.
    #[error("the deadline is not a whole number of milliseconds")]
    Deadline,
    /// The key is empty, too long, not plain text, or given more than once.
    #[error("the key must be given once, as text of 1 to {MAX_KEY_BYTES} bytes")]
    Key,
}

/// The conditions under which a request may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The caller's deadline.
    pub deadline: Deadline,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

impl Terms {
    /// Parses the terms of `request`.
    ///
    /// # Errors
    ///
    /// Fails on an invalid header, because ignoring one could run a call twice.
    pub fn parse(
        request: &Request<Bytes>,
        pool: &PoolSettings,
        default_timeout: Duration,
        now: Timestamp,
    ) -> Result<Self, InvalidHeader> {
        let timeout = parse_timeout(request.headers())?.unwrap_or(default_timeout);
        Ok(Self {
            deadline: Deadline::after(now, timeout),
            key: parse_key(request.headers())?,
            idempotent: is_idempotent(request.method(), pool),
        })
    }
}

fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, InvalidHeader> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidHeader::Deadline)?;
    let timeout_ms = text.trim().parse().map_err(|_| InvalidHeader::Deadline)?;
    Ok(Some(Duration::from_millis(timeout_ms)))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, InvalidHeader> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| InvalidHeader::Key)?.trim();
    let is_usable = (1..=MAX_KEY_BYTES).contains(&key.len()) && values.next().is_none();
    if is_usable {
        Ok(Some(key.to_owned()))
    } else {
        Err(InvalidHeader::Key)
    }
}

/// Returns whether calls with `method` may be repeated in this pool.
pub fn is_idempotent(method: &Method, pool: &PoolSettings) -> bool {
    let is_named = |methods: &[String]| methods.iter().any(|name| name == method.as_str());
    if is_named(&pool.unrepeatable_methods) {
        return false;
    }
    method.is_idempotent() || is_named(&pool.idempotent_methods)
}

/// Returns the headers to forward to the next hop, without the caller's
/// authorization for this service.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(headers);
    headers.remove(header::AUTHORIZATION);
    headers
}

/// Returns the end-to-end headers, which are those that are not hop-by-hop.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers
}
