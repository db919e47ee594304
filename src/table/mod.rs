//! The operators' table as the store keeps it.
//!
//! One record holds the revision, one record holds each row, and each accepted
//! change stands under its id and under its revision (see docs/design/table.md).
//!
//! Read in this order: `row` and `column` for what it holds, `change` and `edit` for how it
//! changes, `server` and `client` for the interface, `view` and `csv` for how it is shown.

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

/// The table of the service that holds rows and their revision.
const TABLE: &str = "table";
/// The record that holds the revision.
const REVISION_KEY: &str = "revision";
/// What stands before a row's name in its record's key.
const ROW_PREFIX: &str = "row/";
/// The table that holds accepted changes by their id.
const CHANGES: &str = "changes";
/// The table that holds accepted changes by the revision that they made.
const HISTORY: &str = "history";

/// How many changes are kept for reading back and for the history.
pub const MAX_HISTORY_CHANGES: u64 = 100_000;

/// One cell before and after a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellChange {
    /// The row.
    pub row: RowId,
    /// The column.
    pub column: String,
    /// The value before; none where the row is new.
    pub old: Option<Value>,
    /// The value after; none where the row was removed.
    pub new: Option<Value>,
}

/// An accepted change, as the history keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Its name.
    pub change: ChangeId,
    /// The revision that it made.
    pub revision: Revision,
    /// The operator.
    pub who: String,
    /// When it was asked for, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The cells that it changed.
    pub cells: Vec<CellChange>,
}

/// Why the table could not be read.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// The table service did not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record is not of the expected form.
    #[error("record {record} cannot be read")]
    Malformed {
        /// The record.
        record: RecordKey,
    },
}

/// The table as the store holds it, read at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Its revision.
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
    RecordKey::new(CHANGES, change.clone())
}

/// Keys of the history sort as their revisions do.
pub(crate) fn history_key(revision: Revision) -> RecordKey {
    RecordKey::new(HISTORY, format!("{revision:020}"))
}

pub(crate) fn decode<T: for<'de> Deserialize<'de>>(record: &Record) -> Result<T, ReadError> {
    T::deserialize(&record.value).map_err(|_| ReadError::Malformed {
        record: record.name.clone(),
    })
}

/// Reads only the table's revision, which costs the store one small record.
///
/// # Errors
///
/// Fails where the store does not answer, or its record cannot be read.
pub async fn read_revision(store: &impl TableService) -> Result<Revision, ReadError> {
    match store.get(revision_key()).await? {
        Some(record) => Ok(decode::<RevisionRecord>(&record)?.revision),
        None => Ok(0),
    }
}

/// Reads the whole table at one moment.
///
/// # Errors
///
/// Fails where the store does not answer, or a record cannot be read.
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
/// Fails where the store does not answer, or a record cannot be read.
pub async fn read_history(
    store: &impl TableService,
    max_changes: usize,
) -> Result<Vec<ChangeRecord>, ReadError> {
    let scan = store.latest(HISTORY, max_changes).await?;
    scan.records.iter().map(decode).collect()
}

/// Reads one accepted change by its id.
///
/// # Errors
///
/// Fails where the store does not answer, or the record cannot be read.
pub async fn read_change(
    store: &impl TableService,
    change: &ChangeId,
) -> Result<Option<ChangeRecord>, ReadError> {
    let record = store.get(change_key(change)).await?;
    record.as_ref().map(decode).transpose()
}

impl Table {
    /// Returns the version of a record as it was read; 0 where it was absent.
    pub(crate) fn record_version(&self, name: &RecordKey) -> RecordVersion {
        self.record_versions.get(name).copied().unwrap_or(0)
    }
}

/// Returns the change that falls out of the history at `revision`.
pub(crate) async fn read_expired(
    store: &impl TableService,
    revision: Revision,
) -> Result<Option<ChangeRecord>, ReadError> {
    let Some(oldest) = revision.checked_sub(MAX_HISTORY_CHANGES) else {
        return Ok(None);
    };
    let record = store.get(history_key(oldest)).await?;
    record.as_ref().map(decode).transpose()
}
