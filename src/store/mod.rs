//! The interface to the platform's transactional table service.
//!
//! The trait is small so that tests can implement it with an in-process fake.
//! The implementation over the network is
//! [`crate::store::client::HttpTableService`]. The interface is described in
//! docs/design/table.md.
//!
//! Suggested reading order: this file and `client` for the table service, `rows`
//! for the store of the users' platform, `condition` and `follower` for the
//! behaviour while the table service is unavailable.

pub mod client;
pub mod condition;
pub mod follower;
pub mod rows;

use std::{future::Future, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::Revision;

/// The number of the last write of a record, starting at 1.
pub type RecordVersion = u64;

/// The full name of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The table that contains the record.
    pub table: Arc<str>,
    /// The key of the record in that table.
    pub key: Arc<str>,
}

impl RecordKey {
    /// Returns the name of the record `key` of `table`.
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

/// A record as stored by the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the record.
    #[serde(flatten)]
    pub name: RecordKey,
    /// The version, which each write increments.
    pub version: RecordVersion,
    /// The service-wide revision of the commit that last wrote the record.
    pub revision: Revision,
    /// The value.
    pub value: Value,
}

/// A precondition of a transaction on the version of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The record.
    #[serde(flatten)]
    pub name: RecordKey,
    /// The version that the record must have, where 0 means absent.
    pub version: RecordVersion,
}

/// A write of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The record to write.
    #[serde(flatten)]
    pub name: RecordKey,
    /// The new value.
    pub value: Value,
}

/// Writes that are applied atomically.
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
    /// The preconditions, all of which must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// The records to write.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// The records to remove.
    #[serde(default)]
    pub deletes: Vec<RecordKey>,
}

impl Transaction {
    /// Requires that the record is absent.
    #[must_use]
    pub fn absent(self, name: RecordKey) -> Self {
        self.at_version(name, 0)
    }

    /// Requires that the record has `version`, where 0 means absent.
    #[must_use]
    pub fn at_version(mut self, name: RecordKey, version: RecordVersion) -> Self {
        self.conditions.push(Condition { name, version });
        self
    }

    /// Adds a write of `value` to the record.
    #[must_use]
    pub fn put(mut self, name: RecordKey, value: Value) -> Self {
        self.puts.push(Put { name, value });
        self
    }

    /// Adds a removal of the record.
    #[must_use]
    pub fn delete(mut self, name: RecordKey) -> Self {
        self.deletes.push(name);
        self
    }
}

/// The result of a transaction that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The service-wide revision of the commit.
    pub revision: Revision,
}

/// Records of one table that were all read at the same revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scan {
    /// The service-wide revision at which the records were read.
    pub revision: Revision,
    /// The records, ordered by key.
    pub records: Vec<Record>,
}

/// Why a request was certainly not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotSentReason {
    /// This host has used up its share of the service's request rate.
    Budget,
    /// The service counts as down, and the backoff has not elapsed yet.
    Backoff,
    /// No connection could be opened.
    Connect,
    /// The request could not be encoded as an HTTP request.
    Encode,
}

/// An error of a request to the table service.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// A condition did not hold, so the transaction was not applied.
    #[error("{} is not at version {}", condition.name, condition.version)]
    Refused {
        /// The first condition that did not hold.
        condition: Condition,
        /// The current record, if it exists.
        present: Option<Box<Record>>,
    },
    /// The request was certainly not sent.
    #[error("not sent to the table service: {reason}")]
    NotSent {
        /// Why the request was not sent.
        reason: NotSentReason,
        /// The time to wait before the request is repeated.
        retry_after: Duration,
    },
    /// The service answered that it is unavailable and applied nothing.
    #[error("the table service is unavailable (status {status})")]
    Unavailable {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The request was sent but no complete answer arrived. A write may have been
    /// applied.
    #[error("the answer of the table service was lost")]
    Unknown,
    /// The service rejected the request as malformed and applied nothing.
    #[error("the table service rejected the request (status {status})")]
    Rejected {
        /// The HTTP status of the answer.
        status: u16,
    },
}

impl StoreError {
    /// Returns whether a write may have been applied despite this error.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::Unknown)
    }
}

/// A transactional table service.
///
/// Clones share their connections and rate limits.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Applies `transaction` atomically if all its conditions hold.
    ///
    /// # Errors
    ///
    /// With [`StoreError::Unknown`] the transaction may have been applied. The
    /// caller reads back a record that it wrote to find out. All other errors
    /// mean that the transaction was not applied.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Committed, StoreError>> + Send;

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer in time.
    fn get(
        &self,
        name: RecordKey,
    ) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Reads the records of `table` that were written above `above_revision`. An
    /// `above_revision` of 0 reads the whole table at one revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer in time.
    fn scan(
        &self,
        table: &str,
        above_revision: Revision,
    ) -> impl Future<Output = Result<Scan, StoreError>> + Send;

    /// Reads the records of `table` with the highest keys, highest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer in time.
    fn latest(
        &self,
        table: &str,
        max_records: usize,
    ) -> impl Future<Output = Result<Scan, StoreError>> + Send;
}
