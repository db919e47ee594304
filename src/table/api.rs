//! The paths and JSON documents of the table's HTTP interface, shared by its
//! server and its client (see docs/TABLE.md).

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    control::blackboard::{HostState, StoreCondition, TableStanding},
    ids::{ChangeId, HostId, Revision},
    store::{NotSentReason, StoreError},
    table::{
        ChangeRecord, ReadError,
        change::{Conflict, PlanError, RowEdit},
        column::CellErrorBody,
        edit::EditError,
        row::Row,
    },
};

/// The path of the HTML page.
pub const PAGE_PATH: &str = "/";
/// The path of the whole table.
pub const TABLE_PATH: &str = "/v1/table";
/// The path of the column descriptions.
pub const COLUMNS_PATH: &str = "/v1/table/columns";
/// The path of a row, followed by the row's name.
pub const ROWS_PATH: &str = "/v1/table/rows";
/// The path to which changes are posted; followed by an id, the path of one
/// accepted change.
pub const CHANGES_PATH: &str = "/v1/table/changes";
/// The path of the dry run of a change.
pub const DRY_RUN_PATH: &str = "/v1/table/dry-run";
/// The path of the history of accepted changes.
pub const HISTORY_PATH: &str = "/v1/table/history";
/// The path of the table as CSV.
pub const CSV_PATH: &str = "/v1/table.csv";
/// The path that reports the revision in force on each host.
pub const STATUS_PATH: &str = "/v1/table/status";
/// The path of the liveness check.
pub const LIVE_PATH: &str = "/healthz";

/// The header with the id that the client gives its change, so that it can
/// safely retry.
pub const CHANGE_HEADER: &str = "idempotency-key";

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableBody {
    /// The revision of the table.
    pub revision: Revision,
    /// The rows, ordered by name.
    pub rows: Vec<Row>,
}

/// Edits to accept atomically.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// The edits, at most one per row.
    pub edits: Vec<RowEdit>,
}

/// Accepted changes, newest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryBody {
    /// The changes.
    pub changes: Vec<ChangeRecord>,
}

/// The revision in force on each host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The revision in the store; `None` if the store does not answer.
    pub accepted_revision: Option<Revision>,
    /// The condition of the store.
    pub store: StoreCondition,
    /// The revision that hosts are compared with: the accepted revision, or the
    /// highest revision of any host while the store does not answer.
    pub revision: Revision,
    /// The number of hosts on which `revision` is in force.
    pub in_force_hosts_count: usize,
    /// The hosts, ordered by name.
    pub hosts: Vec<HostStatus>,
}

/// The table status of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// The host's state as reported by the host that was queried first; `None` for
    /// that host itself.
    pub state: Option<HostState>,
    /// The revision in force on the host; `None` if it does not answer.
    pub revision: Option<Revision>,
    /// Whether the host relies on its table; `None` if it does not answer.
    pub standing: Option<TableStanding>,
}

/// The kind of a problem.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ProblemKind {
    /// The request has no valid key.
    Unauthorized,
    /// The key is not an operator's.
    Forbidden,
    /// Nothing exists at this path or under this name.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The request does not state which version of the row it changes.
    VersionRequired,
    /// The body is not in the format that the path expects.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// Some cells are invalid.
    Invalid,
    /// Another operator changed the row first.
    Conflict,
    /// Concurrent changes won on every attempt.
    Contended,
    /// This host has used up its share of the store's request rate.
    Busy,
    /// The store does not answer; nothing was changed.
    StoreUnavailable,
    /// The store holds a record that this version of the program cannot decode.
    StoreMalformed,
    /// It is not known whether the change was accepted.
    Unresolved,
}

impl ProblemKind {
    /// Returns the HTTP status for this kind.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::VersionRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Conflict => StatusCode::PRECONDITION_FAILED,
            Self::Contended | Self::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Busy => StatusCode::TOO_MANY_REQUESTS,
            Self::StoreMalformed => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Unresolved => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An error response as RFC 9457 problem details.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// The kind as a URN.
    #[serde(rename = "type")]
    pub urn: String,
    /// The kind.
    pub kind: ProblemKind,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong with this request.
    pub detail: String,
    /// The invalid cells, with the reasons.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cells: Vec<CellErrorBody>,
    /// The cells that another operator changed first, with both values.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
    /// The change whose outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
    /// The delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The default delay before a retry, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

impl Problem {
    /// Creates a problem of `kind`.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            urn: format!("urn:mimosavane:table:{kind}"),
            kind,
            status: kind.status().as_u16(),
            detail: detail.into(),
            cells: Vec::new(),
            conflicts: Vec::new(),
            change: None,
            retry_after_ms: None,
        }
    }

    fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl From<&ReadError> for Problem {
    fn from(error: &ReadError) -> Self {
        let store = match error {
            ReadError::Malformed { .. } => {
                return Self::new(ProblemKind::StoreMalformed, error.to_string());
            }
            ReadError::Store(store) => store,
        };
        let retry_after_ms = match store {
            StoreError::NotSent { retry_after, .. } => {
                u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX)
            }
            _ => DEFAULT_RETRY_AFTER_MS,
        };
        let kind = match store {
            StoreError::NotSent { reason, .. } if *reason == NotSentReason::Budget => {
                ProblemKind::Busy
            }
            _ => ProblemKind::StoreUnavailable,
        };
        let detail = format!("{store}; nothing was changed");
        Self::new(kind, detail).with_retry_after(retry_after_ms)
    }
}

impl From<&EditError> for Problem {
    fn from(error: &EditError) -> Self {
        let detail = error.to_string();
        match error {
            EditError::Plan(PlanError::Invalid(errors)) => Self {
                cells: errors.iter().map(CellErrorBody::from).collect(),
                ..Self::new(ProblemKind::Invalid, detail)
            },
            EditError::Plan(PlanError::Conflict(conflicts)) => Self {
                conflicts: conflicts.clone(),
                ..Self::new(ProblemKind::Conflict, detail)
            },
            EditError::Contended => {
                Self::new(ProblemKind::Contended, detail).with_retry_after(DEFAULT_RETRY_AFTER_MS)
            }
            EditError::Read(error) => Self::from(error),
            EditError::Unresolved { change } => Self {
                change: Some(change.clone()),
                ..Self::new(ProblemKind::Unresolved, detail)
                    .with_retry_after(DEFAULT_RETRY_AFTER_MS)
            },
        }
    }
}
