//! The documents of the table's HTTP interface, which its server and its client
//! share (see docs/TABLE.md).

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

/// The path of the page.
pub const PAGE_PATH: &str = "/";
/// The path of the whole table.
pub const TABLE_PATH: &str = "/v1/table";
/// The path of the columns.
pub const COLUMNS_PATH: &str = "/v1/table/columns";
/// The path of the rows, followed by a row's name.
pub const ROWS_PATH: &str = "/v1/table/rows";
/// The path of changes, followed by a change's id.
pub const CHANGES_PATH: &str = "/v1/table/changes";
/// The path of a change that is only checked.
pub const DRY_RUN_PATH: &str = "/v1/table/dry-run";
/// The path of the accepted changes.
pub const HISTORY_PATH: &str = "/v1/table/history";
/// The path of the table as CSV.
pub const CSV_PATH: &str = "/v1/table.csv";
/// The path that says which hosts have which revision.
pub const STATUS_PATH: &str = "/v1/table/status";
/// The path that says whether the program runs.
pub const LIVE_PATH: &str = "/healthz";

/// The header by which a client names its change, so that it can ask again.
pub const CHANGE_HEADER: &str = "idempotency-key";

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableBody {
    /// Its revision.
    pub revision: Revision,
    /// The rows in the order of their names.
    pub rows: Vec<Row>,
}

/// Edits that are to be accepted together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// The edits, at most one a row.
    pub edits: Vec<RowEdit>,
}

/// Accepted changes, newest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryBody {
    /// The changes.
    pub changes: Vec<ChangeRecord>,
}

/// Which hosts have which revision in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The revision that the store holds; none where it does not answer.
    pub accepted_revision: Option<Revision>,
    /// Whether the store answers.
    pub store: StoreCondition,
    /// The revision that the hosts are held against: what was accepted, or the
    /// highest that any host has while the store does not answer.
    pub revision: Revision,
    /// How many hosts have it in force.
    pub in_force_hosts_count: usize,
    /// The hosts in the order of their names.
    pub hosts: Vec<HostStatus>,
}

/// What one host has in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// What the others believe of it; none of the host that was asked first.
    pub state: Option<HostState>,
    /// The revision that it has in force; none where it does not answer.
    pub revision: Option<Revision>,
    /// Whether it relies on its table; none where it does not answer.
    pub standing: Option<TableStanding>,
}

/// The kinds of refusal.
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
    /// No valid key came with the request.
    Unauthorized,
    /// The key is not an operator's.
    Forbidden,
    /// Nothing stands under this path or name.
    NotFound,
    /// The path takes other methods.
    MethodNotAllowed,
    /// The request does not say which version of the row it changes.
    VersionRequired,
    /// The body is not what the path takes.
    Malformed,
    /// The body is over the bound.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// Cells are refused.
    Invalid,
    /// Another operator changed the row first.
    Conflict,
    /// The table kept changing meanwhile.
    Contended,
    /// This host has used its part of the store's rate.
    Busy,
    /// The store does not answer; nothing was changed.
    StoreUnavailable,
    /// The store holds a record that this version cannot read.
    StoreMalformed,
    /// It is not known whether the change was accepted.
    Unresolved,
}

impl ProblemKind {
    /// Returns the HTTP status of the kind.
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

/// A refusal as RFC 9457 problem details.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Names the kind as a URN.
    #[serde(rename = "type")]
    pub urn: String,
    /// The kind.
    pub kind: ProblemKind,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong with this request.
    pub detail: String,
    /// The cells that are refused, with the reasons.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cells: Vec<CellErrorBody>,
    /// The cells that another operator changed first, with both values.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
    /// The change whose fate is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
    /// When to ask again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// When to ask again where nothing tells it better, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl Problem {
    /// Describes a refusal of `kind`.
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

    fn retry_after(mut self, retry_after_ms: u64) -> Self {
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
            _ => RETRY_AFTER_MS,
        };
        let kind = match store {
            StoreError::NotSent { reason, .. } if *reason == NotSentReason::Budget => {
                ProblemKind::Busy
            }
            _ => ProblemKind::StoreUnavailable,
        };
        let detail = format!("{store}; nothing was changed");
        Self::new(kind, detail).retry_after(retry_after_ms)
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
                Self::new(ProblemKind::Contended, detail).retry_after(RETRY_AFTER_MS)
            }
            EditError::Read(error) => Self::from(error),
            EditError::Unresolved { change } => Self {
                change: Some(change.clone()),
                ..Self::new(ProblemKind::Unresolved, detail).retry_after(RETRY_AFTER_MS)
            },
        }
    }
}
