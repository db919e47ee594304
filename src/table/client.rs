//! The client of the table server, for the command line.

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

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How often a change is sent under its name until its fate is known.
const MAX_TRIES: u32 = 4;

/// The pause before a change is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The media type of CSV.
const CSV_TYPE: &str = "text/csv";
/// The media type of JSON.
const JSON_TYPE: &str = "application/json";

/// Why a command on the table failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The address or the key cannot be used in a request.
    #[error("the address or the key of the table server cannot be used: {0}")]
    Request(#[from] http::Error),
    /// The server could not be reached, or broke off.
    #[error("the table server does not answer: {0}")]
    Exchange(#[from] hyper_util::client::legacy::Error),
    /// The server took too long.
    #[error("the table server did not answer within {0:?}")]
    Timeout(Duration),
    /// The answer broke off or is too long.
    #[error("the answer of the table server is not whole")]
    Truncated,
    /// The answer or the request is not the expected document.
    #[error("the document cannot be read or written: {0}")]
    Document(#[from] serde_json::Error),
    /// The server refused.
    #[error("{}", .0.detail)]
    Refused(Box<Problem>),
    /// A cell on the command line cannot be used.
    #[error(transparent)]
    Cell(#[from] CellError),
    /// A cell on the command line has no equals sign.
    #[error("{0} is not of the form COLUMN=VALUE")]
    NotACell(String),
}

impl ClientError {
    /// Says whether the fault lies in what the operator gave, so that the
    /// command exits with 2 instead of 1.
    pub fn is_usage(&self) -> bool {
        match self {
            Self::Cell(_) | Self::NotACell(_) | Self::Request(_) => true,
            Self::Refused(problem) => matches!(
                problem.kind,
                ProblemKind::Invalid | ProblemKind::Malformed | ProblemKind::NotFound
            ),
            _ => false,
        }
    }

    /// Says whether the same change may be sent again under its name to learn
    /// what became of it.
    fn is_in_doubt(&self) -> bool {
        match self {
            Self::Exchange(_) | Self::Timeout(_) | Self::Truncated => true,
            Self::Refused(problem) => problem.kind == ProblemKind::Unresolved,
            _ => false,
        }
    }
}

/// Talks to a table server.
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

/// A request of the command line.
struct Ask<'a> {
    method: Method,
    path: &'a str,
    body: Bytes,
    media_type: &'static str,
    change: Option<&'a str>,
}

impl<'a> Ask<'a> {
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
    /// Makes a client of the server at `url` with an operator's `token`.
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
    /// Fails where the server refuses or does not answer.
    pub async fn get(&self) -> Result<TableBody, ClientError> {
        self.read(Ask::get(TABLE_PATH)).await
    }

    /// Sets cells of a row, given as `COLUMN=VALUE`, on the version that the
    /// table shows now. With `dry_run` nothing is changed.
    ///
    /// # Errors
    ///
    /// Fails where a cell is refused, another operator is first, or the server
    /// does not answer.
    pub async fn set(
        &self,
        row: &str,
        cells: &[impl AsRef<str>],
        dry_run: bool,
    ) -> Result<Accepted, ClientError> {
        let row: RowId = row.into();
        let cells = parse_cells(&row, cells)?;
        let base_version = self.version_of(&row).await?;
        self.change(vec![RowEdit::set(row, base_version, cells)], dry_run)
            .await
    }

    /// Removes a row at the version that the table shows now.
    ///
    /// # Errors
    ///
    /// Fails where another operator is first, or the server does not answer.
    pub async fn remove(&self, row: &str, dry_run: bool) -> Result<Accepted, ClientError> {
        let row: RowId = row.into();
        let base_version = self.version_of(&row).await?;
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
    /// Fails where the server refuses or does not answer.
    pub async fn history(&self, max_changes: usize) -> Result<HistoryBody, ClientError> {
        let path = format!("{HISTORY_PATH}?limit={max_changes}");
        self.read(Ask::get(&path)).await
    }

    /// Reads which hosts have which revision in force.
    ///
    /// # Errors
    ///
    /// Fails where the server refuses or does not answer.
    pub async fn status(&self) -> Result<StatusBody, ClientError> {
        self.read(Ask::get(STATUS_PATH)).await
    }

    /// Reads the table as CSV.
    ///
    /// # Errors
    ///
    /// Fails where the server refuses or does not answer.
    pub async fn export(&self) -> Result<String, ClientError> {
        let bytes = self.exchange(&Ask::get(CSV_PATH)).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Takes the table from CSV. With `dry_run` nothing is changed.
    ///
    /// # Errors
    ///
    /// Fails where cells are refused, another operator is first, or the server
    /// does not answer.
    pub async fn import(&self, text: &str, dry_run: bool) -> Result<Accepted, ClientError> {
        if dry_run {
            return self.read(Ask::csv(Method::POST, DRY_RUN_PATH, text)).await;
        }
        self.settle(Ask::csv(Method::PUT, CSV_PATH, text)).await
    }

    async fn version_of(&self, row: &RowId) -> Result<u64, ClientError> {
        let table = self.get().await?;
        let present = table.rows.iter().find(|present| present.id == *row);
        Ok(present.map_or(0, |present| present.version))
    }

    async fn change(&self, edits: Vec<RowEdit>, dry_run: bool) -> Result<Accepted, ClientError> {
        let body = ChangeBody { edits };
        if dry_run {
            return self.read(Ask::json(DRY_RUN_PATH, &body)?).await;
        }
        self.settle(Ask::json(CHANGES_PATH, &body)?).await
    }

    /// Sends a change under one name until its fate is known.
    async fn settle(&self, ask: Ask<'_>) -> Result<Accepted, ClientError> {
        let change = format!("{:032x}", rand::rng().random::<u128>());
        let ask = Ask {
            change: Some(&change),
            ..ask
        };
        let mut tries_count = 1;
        loop {
            match self.exchange(&ask).await {
                Ok(bytes) => return Ok(serde_json::from_slice(&bytes)?),
                Err(error) if error.is_in_doubt() && tries_count < MAX_TRIES => {}
                Err(error) => return Err(error),
            }
            tries_count += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn read<T: DeserializeOwned>(&self, ask: Ask<'_>) -> Result<T, ClientError> {
        let bytes = self.exchange(&ask).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn exchange(&self, ask: &Ask<'_>) -> Result<Bytes, ClientError> {
        let request = self.request(ask)?;
        let exchange = async {
            let answer = self.client.request(request).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
            let body = body.await.map_err(|_| ClientError::Truncated)?;
            Ok::<(StatusCode, Bytes), ClientError>((status, body.to_bytes()))
        };
        let answer = tokio::time::timeout(self.timeout, exchange).await;
        let (status, body) = answer.map_err(|_| ClientError::Timeout(self.timeout))??;
        if status.is_success() {
            return Ok(body);
        }
        Err(ClientError::Refused(Box::new(serde_json::from_slice(
            &body,
        )?)))
    }

    fn request(&self, ask: &Ask<'_>) -> Result<Request<Full<Bytes>>, ClientError> {
        let mut request = Request::builder()
            .method(ask.method.clone())
            .uri(format!("{}{}", self.base, ask.path))
            .header(header::AUTHORIZATION, self.authorization()?)
            .header(header::CONTENT_TYPE, ask.media_type);
        if let Some(change) = ask.change {
            request = request.header(CHANGE_HEADER, change);
        }
        Ok(request.body(Full::new(ask.body.clone()))?)
    }

    fn authorization(&self) -> Result<HeaderValue, http::Error> {
        let mut value = HeaderValue::try_from(format!("Bearer {}", self.token))?;
        value.set_sensitive(true);
        Ok(value)
    }
}

/// Reads cells given as `COLUMN=VALUE`.
///
/// # Errors
///
/// Fails on a cell without an equals sign, an unknown column, and a value that
/// the column does not take.
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
