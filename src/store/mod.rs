//! What the service needs of the platform's transactional table service.
//!
//! The trait is small so that tests put an in-process fake behind it; over the
//! network it is [`crate::store::client::HttpTableService`]. The interface is
//! described in docs/design/table.md.
//!
//! Read in this order: this file and `client` for the table service, `rows` for the users'
//! platform, `condition` and `follower` for what is believed while it is away.

pub mod client;
pub mod condition;
pub mod follower;
pub mod rows;

use std::{future::Future, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::Revision;

/// Numbers the writes of one record; the first is 1.
pub type RecordVersion = u64;

/// Names one record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The table that holds it.
    pub table: Arc<str>,
    /// Its name in that table.
    pub key: Arc<str>,
}

impl RecordKey {
    /// Names the record `key` of `table`.
    pub fn new(table: impl Into<Arc<str>>, key: impl Into<Arc<str>>) -> Self {
        Self {
            table: table.into(),
            key: key.into(),
        }
    }
}

impl std::fmt::Display for RecordKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.table, self.key)
    }
}

/// One record as the service holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    #[serde(flatten)]
    pub name: RecordKey,
    /// Its version, which each write raises.
    pub version: RecordVersion,
    /// The service-wide revision of the commit that last wrote it.
    pub revision: Revision,
    /// What it holds.
    pub value: Value,
}

/// What must hold of one record for a transaction to be applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The record.
    #[serde(flatten)]
    pub name: RecordKey,
    /// The version that it must have; 0 asks that it be absent.
    pub version: RecordVersion,
}

/// One write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The record to write.
    #[serde(flatten)]
    pub name: RecordKey,
    /// What it shall hold.
    pub value: Value,
}

/// Writes that are applied together, or not at all.
///
/// # Examples
///
/// ```
/// use mimosavane::store::{RecordKey, Transaction};
///
/// let transaction = Transaction::default()
///     .absent(RecordKey::new("claims", "order-7"))
///     .put(RecordKey::new("claims", "order-7"), serde_json::json!({"attempt": "1f"}));
/// assert_eq!(transaction.conditions[0].version, 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// What is written.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// What is removed.
    #[serde(default)]
    pub deletes: Vec<RecordKey>,
}

impl Transaction {
    /// Asks that the record be absent.
    #[must_use]
    pub fn absent(self, name: RecordKey) -> Self {
        self.at_version(name, 0)
    }

    /// Asks that the record have `version`, where 0 means absent.
    #[must_use]
    pub fn at_version(mut self, name: RecordKey, version: RecordVersion) -> Self {
        self.conditions.push(Condition { name, version });
        self
    }

    /// Writes `value` to the record.
    #[must_use]
    pub fn put(mut self, name: RecordKey, value: Value) -> Self {
        self.puts.push(Put { name, value });
        self
    }

    /// Removes the record.
    #[must_use]
    pub fn delete(mut self, name: RecordKey) -> Self {
        self.deletes.push(name);
        self
    }
}

/// That a transaction was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The service-wide revision that the commit raised.
    pub revision: Revision,
}

/// Records of one table, all read at the same revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scan {
    /// The service-wide revision at which the records were read.
    pub revision: Revision,
    /// The records in the order of their keys.
    pub records: Vec<Record>,
}

/// Why a request surely never left this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotSentReason {
    /// This host's part of the service's rate is used up.
    Budget,
    /// The service is held for down, and it is not yet time to try again.
    Backoff,
    /// No connection could be made.
    Connect,
    /// The request could not be written as an HTTP request.
    Encode,
}

/// Why the table service did not do what was asked.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// A condition did not hold, so that nothing was applied.
    #[error("{} is not at version {}", condition.name, condition.version)]
    Refused {
        /// The first condition that did not hold.
        condition: Condition,
        /// The record as it is, where it exists.
        present: Option<Box<Record>>,
    },
    /// The request surely did not leave this host.
    #[error("not sent to the table service: {reason}")]
    NotSent {
        /// What kept it back.
        reason: NotSentReason,
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// The service said that it applied nothing.
    #[error("the table service is unavailable (status {status})")]
    Unavailable {
        /// The HTTP status of its answer.
        status: u16,
    },
    /// The request left and no whole answer came; a write may have been applied.
    #[error("the answer of the table service was lost")]
    Unknown,
    /// The service called the request malformed, and applied nothing.
    #[error("the table service rejected the request (status {status})")]
    Rejected {
        /// The HTTP status of its answer.
        status: u16,
    },
}

impl StoreError {
    /// Says whether a write may have been applied in spite of this error.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::Unknown)
    }
}

/// A transactional table service.
///
/// Clones share their connections and budget.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Applies all of `transaction` if all its conditions hold.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] leaves open whether it was applied; the caller
    /// reads back a record of its own to find out. All other errors say that it
    /// was not.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Committed, StoreError>> + Send;

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// Fails where the service does not answer in time.
    fn get(
        &self,
        name: RecordKey,
    ) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Reads the records of `table` that were written above `above_revision`;
    /// above 0 is the whole table at one revision.
    ///
    /// # Errors
    ///
    /// Fails where the service does not answer in time.
    fn scan(
        &self,
        table: &str,
        above_revision: Revision,
    ) -> impl Future<Output = Result<Scan, StoreError>> + Send;

    /// Reads the records of `table` with the highest keys, highest first.
    ///
    /// # Errors
    ///
    /// Fails where the service does not answer in time.
    fn latest(
        &self,
        table: &str,
        max_records: usize,
    ) -> impl Future<Output = Result<Scan, StoreError>> + Send;
}
