//! The operators' table and its records in the store.
//!
//! One record holds the revision and one record holds each row. Each accepted
//! change is stored twice, by its id and by its revision (see
//! docs/design/table.md).
//!
//! Suggested reading order: `row` and `column` for the data, `change` and `edit`
//! for changes to it, `server` and `client` for the HTTP interface, `view` and
//! `csv` for output.

pub mod api;
pub mod auth;
pub mod change;
pub mod client;
pub mod column;
pub mod command;
pub mod csv;
pub mod edit;
pub mod row;
pub mod server;
pub mod view;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ids::{ChangeId, Revision, RowId},
    store::{Record, RecordKey, RecordVersion, StoreError, TableService},
    table::row::Row,
};

/// The table of the table service that holds the rows and their revision.
const TABLE: &str = "table";
/// The key of the record that holds the revision.
const REVISION_KEY: &str = "revision";
/// The prefix of a row's name in its record key.
const ROW_PREFIX: &str = "row/";
/// The table that holds the accepted changes by id.
const CHANGES_TABLE: &str = "changes";
/// The table that holds the accepted changes by the revision they created.
const HISTORY_TABLE: &str = "history";

/// The number of accepted changes that are kept, both for lookup by id and for
/// the history.
pub const RETAINED_CHANGES_COUNT: u64 = 100_000;

/// The value of one cell before and after a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellChange {
    /// The row.
    pub row: RowId,
    /// The column.
    pub column: String,
    /// The value before the change; `None` if the row is new.
    pub old: Option<Value>,
    /// The value after the change; `None` if the row was removed.
    pub new: Option<Value>,
}

/// An accepted change, as stored in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The id of the change.
    pub change: ChangeId,
    /// The revision that the change created.
    pub revision: Revision,
    /// The operator who made the change.
    pub who: String,
    /// When the change was requested, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The cells that the change modified.
    pub cells: Vec<CellChange>,
}

/// Why the table could not be read.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// The table service did not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record does not have the expected format.
    #[error("record {record} cannot be read")]
    Malformed {
        /// The record.
        record: RecordKey,
    },
}

/// A consistent snapshot of the table in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The revision of the table.
    pub revision: Revision,
    /// The rows by name.
    pub rows: BTreeMap<RowId, Row>,
    record_versions: BTreeMap<RecordKey, RecordVersion>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct RevisionRecord {
    pub(crate) revision: Revision,
}

pub(crate) fn revision_key() -> RecordKey {
    RecordKey::new(TABLE, REVISION_KEY)
}

pub(crate) fn row_key(row: &str) -> RecordKey {
    RecordKey::new(TABLE, format!("{ROW_PREFIX}{row}"))
}

pub(crate) fn change_key(change: &ChangeId) -> RecordKey {
    RecordKey::new(CHANGES_TABLE, change.clone())
}

/// Returns the history key of `revision`, zero-padded so that keys sort by
/// revision.
pub(crate) fn history_key(revision: Revision) -> RecordKey {
    RecordKey::new(HISTORY_TABLE, format!("{revision:020}"))
}

pub(crate) fn decode<T: for<'de> Deserialize<'de>>(record: &Record) -> Result<T, ReadError> {
    T::deserialize(&record.value).map_err(|_| ReadError::Malformed {
        record: record.name.clone(),
    })
}

/// Reads only the table's revision, which is a single small record.
///
/// # Errors
///
/// Fails if the store does not answer or the record cannot be decoded.
pub async fn read_revision(store: &impl TableService) -> Result<Revision, ReadError> {
    match store.get(revision_key()).await? {
        Some(record) => Ok(decode::<RevisionRecord>(&record)?.revision),
        None => Ok(0),
    }
}

/// Reads a consistent snapshot of the whole table.
///
/// # Errors
///
/// Fails if the store does not answer or a record cannot be decoded.
pub async fn read_table(store: &impl TableService) -> Result<Table, ReadError> {
    let scan = store.scan(TABLE, 0).await?;
    let mut table = Table::default();
    for record in scan.records {
        if &*record.name.key == REVISION_KEY {
            table.revision = decode::<RevisionRecord>(&record)?.revision;
        } else {
            let row: Row = decode(&record)?;
            table.rows.insert(row.id.clone(), row);
        }
        table.record_versions.insert(record.name, record.version);
    }
    Ok(table)
}

/// Reads the latest `max_changes` accepted changes, newest first.
///
/// # Errors
///
/// Fails if the store does not answer or a record cannot be decoded.
pub async fn read_history(
    store: &impl TableService,
    max_changes: usize,
) -> Result<Vec<ChangeRecord>, ReadError> {
    let scan = store.latest(HISTORY_TABLE, max_changes).await?;
    scan.records.iter().map(decode).collect()
}

/// Reads one accepted change by its id.
///
/// # Errors
///
/// Fails if the store does not answer or the record cannot be decoded.
pub async fn read_change(
    store: &impl TableService,
    change: &ChangeId,
) -> Result<Option<ChangeRecord>, ReadError> {
    let record = store.get(change_key(change)).await?;
    record.as_ref().map(decode).transpose()
}

impl Table {
    /// Returns the version at which a record was read; 0 if it was absent.
    pub(crate) fn record_version(&self, name: &RecordKey) -> RecordVersion {
        self.record_versions.get(name).copied().unwrap_or(0)
    }
}

/// Reads the change that expires from the history when `revision` is created.
pub(crate) async fn read_expired(
    store: &impl TableService,
    revision: Revision,
) -> Result<Option<ChangeRecord>, ReadError> {
    let Some(oldest) = revision.checked_sub(RETAINED_CHANGES_COUNT) else {
        return Ok(None);
    };
    let record = store.get(history_key(oldest)).await?;
    record.as_ref().map(decode).transpose()
}
