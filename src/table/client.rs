//! The HTTP client of the table server, used by the command line.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::Rng as _;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    ids::RowId,
    table::{
        api::{
            CHANGE_HEADER, CHANGES_PATH, CSV_PATH, ChangeBody, DRY_RUN_PATH, HISTORY_PATH,
            HistoryBody, Problem, ProblemKind, STATUS_PATH, StatusBody, TABLE_PATH, TableBody,
        },
        change::{Accepted, RowEdit},
        column::{CellError, CellFault, Cells, Column},
    },
};

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// The maximum number of times that a change is sent under the same id until its
/// outcome is known.
const MAX_ATTEMPTS: u32 = 4;

/// The delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The media type of CSV.
const CSV_TYPE: &str = "text/csv";
/// The media type of JSON.
const JSON_TYPE: &str = "application/json";

/// Why a command on the table failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The address or the key is not valid in a request.
    #[error("invalid address or key of the table server: {0}")]
    Request(#[from] http::Error),
    /// The server could not be reached or closed the connection early.
    #[error("the table server does not answer: {0}")]
    Transport(#[from] hyper_util::client::legacy::Error),
    /// The server did not answer in time.
    #[error("the table server did not answer within {0:?}")]
    Timeout(Duration),
    /// The response is incomplete or too large.
    #[error("the response of the table server is incomplete or too large")]
    Truncated,
    /// The request or the response could not be encoded or decoded as JSON.
    #[error("failed to encode or decode a JSON document: {0}")]
    Document(#[from] serde_json::Error),
    /// The server refused the request.
    #[error("{}", .0.detail)]
    Refused(Box<Problem>),
    /// The server, or a proxy before it, refused the request without a reason that
    /// can be read.
    #[error("the table server refused the request with status {status}")]
    Unexplained {
        /// The status.
        status: StatusCode,
    },
    /// A cell on the command line is invalid.
    #[error(transparent)]
    Cell(#[from] CellError),
    /// A cell on the command line has no equals sign.
    #[error("{0} is not of the form COLUMN=VALUE")]
    NotACell(String),
}

impl ClientError {
    /// Returns whether the operator's input caused the error, in which case the
    /// command exits with 2 instead of 1.
    pub fn is_usage_error(&self) -> bool {
        match self {
            Self::Cell(_) | Self::NotACell(_) | Self::Request(_) => true,
            Self::Refused(problem) => matches!(
                problem.kind,
                ProblemKind::Invalid | ProblemKind::Malformed | ProblemKind::NotFound
            ),
            _ => false,
        }
    }

    /// Returns whether the outcome of the change is unknown and can be resolved by
    /// sending it again under the same id.
    fn is_in_doubt(&self) -> bool {
        match self {
            Self::Transport(_) | Self::Timeout(_) | Self::Truncated => true,
            Self::Refused(problem) => problem.kind == ProblemKind::Unresolved,
            // A proxy may answer so after the server got the request.
            Self::Unexplained { status } => status.is_server_error(),
            _ => false,
        }
    }
}

/// A client of a table server.
///
/// # Examples
///
/// ```
/// use mimosavane::table::client::TableClient;
/// use std::time::Duration;
///
/// let client = TableClient::new("http://127.0.0.1:8090", "s3cret", Duration::from_secs(10));
/// assert!(!format!("{client:?}").contains("s3cret"));
/// ```
#[derive(Clone)]
pub struct TableClient {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    token: String,
    timeout: Duration,
}

impl std::fmt::Debug for TableClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TableClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

/// A request to the table server.
struct ApiRequest<'a> {
    method: Method,
    path: &'a str,
    body: Bytes,
    media_type: &'static str,
    change: Option<&'a str>,
}

impl<'a> ApiRequest<'a> {
    fn get(path: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            media_type: JSON_TYPE,
            change: None,
        }
    }

    fn json(path: &'a str, body: &impl Serialize) -> Result<Self, ClientError> {
        Ok(Self {
            method: Method::POST,
            body: serde_json::to_vec(body)?.into(),
            ..Self::get(path)
        })
    }

    fn csv(method: Method, path: &'a str, text: &str) -> Self {
        Self {
            method,
            body: Bytes::copy_from_slice(text.as_bytes()),
            media_type: CSV_TYPE,
            ..Self::get(path)
        }
    }
}

impl TableClient {
    /// Creates a client of the server at `url` with an operator's `token`.
    pub fn new(url: impl Into<String>, token: impl Into<String>, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            base: url.into().trim_end_matches('/').to_owned(),
            token: token.into(),
            timeout,
        }
    }

    /// Reads the whole table.
    ///
    /// # Errors
    ///
    /// Fails if the server refuses the request or does not answer.
    pub async fn get(&self) -> Result<TableBody, ClientError> {
        self.fetch(ApiRequest::get(TABLE_PATH)).await
    }

    /// Sets cells of a row, given as `COLUMN=VALUE`, based on the row's current
    /// version. With `dry_run` nothing is changed.
    ///
    /// # Errors
    ///
    /// Fails if a cell is invalid, another operator changes the row first, or the
    /// server does not answer.
    pub async fn set(
        &self,
        row: &str,
        cells: &[impl AsRef<str>],
        dry_run: bool,
    ) -> Result<Accepted, ClientError> {
        let row: RowId = row.into();
        let cells = parse_cells(&row, cells)?;
        let base_version = self.row_version(&row).await?;
        self.change(vec![RowEdit::set(row, base_version, cells)], dry_run)
            .await
    }

    /// Removes a row, based on its current version. With `dry_run` nothing is
    /// changed.
    ///
    /// # Errors
    ///
    /// Fails if the row does not exist, another operator changes it first, or the
    /// server does not answer.
    pub async fn remove(&self, row: &str, dry_run: bool) -> Result<Accepted, ClientError> {
        let row: RowId = row.into();
        let base_version = self.row_version(&row).await?;
        if base_version == 0 {
            return Err(CellError::new(&row, "id", CellFault::UnknownRow).into());
        }
        self.change(vec![RowEdit::remove(row, base_version)], dry_run)
            .await
    }

    /// Reads the latest accepted changes, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the server refuses the request or does not answer.
    pub async fn history(&self, max_changes: usize) -> Result<HistoryBody, ClientError> {
        let path = format!("{HISTORY_PATH}?limit={max_changes}");
        self.fetch(ApiRequest::get(&path)).await
    }

    /// Reads the revision in force on each host.
    ///
    /// # Errors
    ///
    /// Fails if the server refuses the request or does not answer.
    pub async fn status(&self) -> Result<StatusBody, ClientError> {
        self.fetch(ApiRequest::get(STATUS_PATH)).await
    }

    /// Reads the table as CSV.
    ///
    /// # Errors
    ///
    /// Fails if the server refuses the request or does not answer.
    pub async fn export(&self) -> Result<String, ClientError> {
        let bytes = self.send(&ApiRequest::get(CSV_PATH)).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Imports edits from CSV. With `dry_run` nothing is changed.
    ///
    /// # Errors
    ///
    /// Fails if cells are invalid, another operator changes a row first, or the
    /// server does not answer.
    pub async fn import(&self, text: &str, dry_run: bool) -> Result<Accepted, ClientError> {
        if dry_run {
            return self
                .fetch(ApiRequest::csv(Method::POST, DRY_RUN_PATH, text))
                .await;
        }
        self.send_until_resolved(ApiRequest::csv(Method::PUT, CSV_PATH, text))
            .await
    }

    async fn row_version(&self, row: &RowId) -> Result<u64, ClientError> {
        let table = self.get().await?;
        let present = table.rows.iter().find(|present| present.id == *row);
        Ok(present.map_or(0, |present| present.version))
    }

    async fn change(&self, edits: Vec<RowEdit>, dry_run: bool) -> Result<Accepted, ClientError> {
        let body = ChangeBody { edits };
        if dry_run {
            return self.fetch(ApiRequest::json(DRY_RUN_PATH, &body)?).await;
        }
        self.send_until_resolved(ApiRequest::json(CHANGES_PATH, &body)?)
            .await
    }

    /// Sends a change under one id until its outcome is known.
    async fn send_until_resolved(
        &self,
        api_request: ApiRequest<'_>,
    ) -> Result<Accepted, ClientError> {
        let change = format!("{:032x}", rand::rng().random::<u128>());
        let api_request = ApiRequest {
            change: Some(&change),
            ..api_request
        };
        let mut attempt_count = 1;
        loop {
            match self.send(&api_request).await {
                Ok(bytes) => return Ok(serde_json::from_slice(&bytes)?),
                Err(error) if error.is_in_doubt() && attempt_count < MAX_ATTEMPTS => {}
                Err(error) => return Err(error),
            }
            attempt_count += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        api_request: ApiRequest<'_>,
    ) -> Result<T, ClientError> {
        let bytes = self.send(&api_request).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn send(&self, api_request: &ApiRequest<'_>) -> Result<Bytes, ClientError> {
        let request = self.build_request(api_request)?;
        let response = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
            let body = body.await.map_err(|_| ClientError::Truncated)?;
            Ok::<(StatusCode, Bytes), ClientError>((status, body.to_bytes()))
        };
        let response = tokio::time::timeout(self.timeout, response).await;
        let (status, body) = response.map_err(|_| ClientError::Timeout(self.timeout))??;
        if status.is_success() {
            return Ok(body);
        }
        Err(match serde_json::from_slice(&body) {
            Ok(problem) => ClientError::Refused(Box::new(problem)),
            Err(_) => ClientError::Unexplained { status },
        })
    }

    fn build_request(
        &self,
        api_request: &ApiRequest<'_>,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let mut request = Request::builder()
            .method(api_request.method.clone())
            .uri(format!("{}{}", self.base, api_request.path))
            .header(header::AUTHORIZATION, self.authorization_header()?)
            .header(header::CONTENT_TYPE, api_request.media_type);
        if let Some(change) = api_request.change {
            request = request.header(CHANGE_HEADER, change);
        }
        Ok(request.body(Full::new(api_request.body.clone()))?)
    }

    fn authorization_header(&self) -> Result<HeaderValue, http::Error> {
        let mut value = HeaderValue::try_from(format!("Bearer {}", self.token))?;
        value.set_sensitive(true);
        Ok(value)
    }
}

/// Parses cells given as `COLUMN=VALUE`.
///
/// # Errors
///
/// Fails if a cell has no equals sign, names an unknown column, or has a value
/// that is invalid for the column.
pub fn parse_cells(row: &RowId, cells: &[impl AsRef<str>]) -> Result<Cells, ClientError> {
    let mut parsed = Cells::new();
    for cell in cells {
        let cell = cell.as_ref();
        let split = cell.split_once('=');
        let (name, text) = split.ok_or_else(|| ClientError::NotACell(cell.to_owned()))?;
        let name = name.trim();
        let column = Column::find(name).ok_or(CellFault::UnknownColumn);
        let value = column.and_then(|column| column.parse(text));
        let value = value.map_err(|fault| CellError::new(row, name, fault))?;
        parsed.insert(name.to_owned(), value);
    }
    Ok(parsed)
}
