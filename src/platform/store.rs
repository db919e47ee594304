//! An HTTP client of the platform's store.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use percent_encoding::{AsciiSet, CONTROLS, PercentEncode, utf8_percent_encode};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    connection::{Pool, Protocol, SendFailure, Target},
    platform::documents::{
        ChangeDocument, ExpectedDocument, NameDocument, PartitionsDocument, PutDocument,
        RowDocument, RowsDocument,
    },
    store::rows::{
        Applied, NotAppliedReason, RelayedStore, RowError, RowPage, RowRange, RowStamp, RowStore,
        RowTransaction, StoredRow,
    },
};

/// The timeout of a call. In the deployment specification the store answers in
/// 4 ms, and up to 60 times slower when it is impaired.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The margin after the requested wait before the connection of a feed counts as
/// silent.
const FEED_MARGIN: Duration = Duration::from_millis(1_000);

/// The timeout of a call that is forwarded for another host. It covers the wait
/// of a feed and its margin, so that the other host's own timeout expires first.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// What is escaped in a query: what ends a value, or no URI may contain.
const ESCAPED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'&')
    .add(b'+')
    .add(b'<')
    .add(b'=')
    .add(b'>')
    .add(b'?');

/// The prefix of the paths of calls about rows.
const ROWS_PATH: &str = "/-/rows-";

/// The maximum size of an answer: 1 MB of rows, encoded in base64 and JSON.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A [`RowStore`] over HTTP.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    pool: Pool,
    target: Target,
}

impl PlatformStore {
    /// Returns a client of the store at `address`.
    pub const fn new(pool: Pool, address: SocketAddr) -> Self {
        Self {
            pool,
            target: Target {
                address,
                protocol: Protocol::Http1,
            },
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), RowError> {
        match timeout(limit, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => {
                // Other pooled connections to the store are probably silent as well.
                self.pool.remove_pooled(self.target);
                Err(RowError::Unknown)
            }
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), RowError> {
        let unreachable = RowError::NotApplied {
            reason: NotAppliedReason::Unreachable,
        };
        let request = self.build_request(method, path, body)?;
        let (connection, answer) = match self.pool.send(self.target, request).await {
            Ok(sent) => sent,
            Err(SendFailure::NotRun(_)) => return Err(unreachable),
            Err(SendFailure::Unknown(_)) => return Err(RowError::Unknown),
        };
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| RowError::Unknown)?
            .to_bytes();
        connection.release();
        Ok((status, body))
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, RowError> {
        let host = self.target.address.to_string();
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, host)
            .header(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            )
            .body(Full::new(body))
            .map_err(|error| RowError::Unreadable {
                reason: error.to_string(),
            })
    }

    async fn read_rows(&self, path: &str, limit: Duration) -> Result<RowPage, RowError> {
        let (status, body) = self.call(Method::GET, path, Bytes::new(), limit).await?;
        check_status(status)?;
        decode_page(&body)
    }
}

impl RowStore for PlatformStore {
    async fn commit(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        let body = encode_transaction(transaction);
        let (status, body) = self
            .call(Method::POST, "/-/rows-tx", body, CALL_TIMEOUT)
            .await?;
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(RowError::Conflict {
                current: decode_page(&body)?.rows,
            });
        }
        check_status(status)?;
        let document: RowsDocument = parse(&body)?;
        Ok(Applied {
            stamp: document.ver,
            store_time: decode_store_time(document.now_ms),
        })
    }

    async fn read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        let mut path = format!(
            "/-/rows-get?table={}&part={}&limit={}",
            range.table,
            encode(&range.partition),
            range.limit_count
        );
        for (name, key) in [("from", &range.from), ("to", &range.to)] {
            if !key.is_empty() {
                path.push_str(&format!("&{name}={}", encode(key)));
            }
        }
        self.read_rows(&path, CALL_TIMEOUT).await
    }

    async fn partitions(&self, table: &str, after: &str) -> Result<Vec<String>, RowError> {
        let mut path = format!("/-/rows-parts?table={table}");
        if !after.is_empty() {
            path.push_str(&format!("&after={}", encode(after)));
        }
        let (status, body) = self
            .call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        check_status(status)?;
        let document: PartitionsDocument = parse(&body)?;
        Ok(document.parts)
    }

    async fn changes(
        &self,
        table: &str,
        after: RowStamp,
        wait: Duration,
    ) -> Result<RowPage, RowError> {
        let wait_ms = wait.as_millis();
        let path = format!("/-/rows-feed?table={table}&after={after}&wait_ms={wait_ms}");
        self.read_rows(&path, wait + FEED_MARGIN).await
    }
}

impl RelayedStore for PlatformStore {
    fn through(&self, peer: SocketAddr) -> Self {
        Self::new(self.pool.clone(), peer)
    }

    async fn forward(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Option<(StatusCode, Bytes)>, RowError> {
        if !path.starts_with(ROWS_PATH) {
            return Ok(None);
        }
        self.call(method, path, body, FORWARD_TIMEOUT)
            .await
            .map(Some)
    }
}

/// Encodes a name for a query. Names of other writers and of clients may have any letters.
fn encode(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, ESCAPED)
}

fn encode_transaction(transaction: &RowTransaction) -> Bytes {
    let document = ChangeDocument {
        expected: transaction
            .expected
            .iter()
            .map(|(name, stamp)| ExpectedDocument {
                table: name.table,
                part: &name.partition,
                key: &name.key,
                ver: *stamp,
            })
            .collect(),
        put: transaction
            .puts
            .iter()
            .map(|(name, value)| PutDocument {
                table: name.table,
                part: &name.partition,
                key: &name.key,
                value: STANDARD.encode(value),
            })
            .collect(),
        remove: transaction
            .removals
            .iter()
            .map(|name| NameDocument {
                table: name.table,
                part: &name.partition,
                key: &name.key,
            })
            .collect(),
    };
    // Strings and numbers can always be encoded as JSON.
    serde_json::to_vec(&document).unwrap_or_default().into()
}

/// Returns the error for the status of an answer without a result.
fn check_status(status: StatusCode) -> Result<(), RowError> {
    let reason = match status {
        StatusCode::OK => return Ok(()),
        StatusCode::GONE => return Err(RowError::HistoryGone),
        StatusCode::TOO_MANY_REQUESTS => NotAppliedReason::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => NotAppliedReason::Unavailable,
        StatusCode::INSUFFICIENT_STORAGE => NotAppliedReason::Full,
        status if status.is_client_error() => NotAppliedReason::Rejected,
        _ => return Err(RowError::Unknown),
    };
    Err(RowError::NotApplied { reason })
}

fn decode_page(body: &[u8]) -> Result<RowPage, RowError> {
    let document: RowsDocument = parse(body)?;
    Ok(RowPage {
        rows: document
            .rows
            .into_iter()
            .map(decode_row)
            .collect::<Result<_, _>>()?,
        has_more: document.has_more,
        stamp: document.ver,
        store_time: decode_store_time(document.now_ms),
    })
}

fn decode_row(document: RowDocument) -> Result<StoredRow, RowError> {
    // Rows of other writers may have arbitrary values. A value that is not base64
    // counts as empty, which the code that decodes the row rejects.
    let value = document
        .value
        .and_then(|text| STANDARD.decode(text).ok())
        .unwrap_or_default();
    Ok(StoredRow {
        partition: document.part,
        key: document.key,
        value: value.into(),
        stamp: document.ver,
        is_removed: document.deleted,
    })
}

fn decode_store_time(now_ms: f64) -> Duration {
    Duration::try_from_secs_f64(now_ms / 1_000.0).unwrap_or_default()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, RowError> {
    serde_json::from_slice(body).map_err(|error| RowError::Unreadable {
        reason: error.to_string(),
    })
}
