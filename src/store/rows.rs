//! Rows in partitions, as the platform's store keeps them.
//!
//! The store is the only place where state outlives a process. Each write names
//! the versions that it expects, so that a write which is carried out late, or
//! twice, does no harm (see docs/design/platform.md).

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};

/// The version of a row, drawn from one counter of the whole store; 0 stands
/// for a row that is absent.
pub type RowStamp = u64;

/// Names one row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowName {
    /// The table.
    pub table: &'static str,
    /// The partition, inside which transactions are atomic.
    pub partition: String,
    /// The key, unique in its partition.
    pub key: String,
}

impl RowName {
    /// Names the row `key` in `partition` of `table`.
    pub fn new(table: &'static str, partition: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            table,
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// One row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The partition.
    pub partition: String,
    /// The key.
    pub key: String,
    /// What it holds; empty where it was removed.
    pub value: Bytes,
    /// The version of the write that made it so.
    pub stamp: RowStamp,
    /// Whether the row was removed; only a feed tells of removals.
    pub is_removed: bool,
}

/// Writes that take effect together, or not at all.
///
/// # Examples
///
/// ```
/// use mimosavane::store::rows::{RowName, RowTransaction};
///
/// let name = RowName::new("jobs", "7c41e0", "head");
/// let transaction = RowTransaction::default()
///     .expect(name.clone(), 0)
///     .put(name, b"value".as_slice());
/// assert_eq!(transaction.expected.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// The rows that must have these versions.
    pub expected: Vec<(RowName, RowStamp)>,
    /// The rows to write.
    pub puts: Vec<(RowName, Bytes)>,
    /// The rows to remove.
    pub removals: Vec<RowName>,
}

impl RowTransaction {
    /// Asks that `name` has the version `stamp`, where 0 means absent.
    #[must_use]
    pub fn expect(mut self, name: RowName, stamp: RowStamp) -> Self {
        self.expected.push((name, stamp));
        self
    }

    /// Writes `value` to `name`.
    #[must_use]
    pub fn put(mut self, name: RowName, value: impl Into<Bytes>) -> Self {
        self.puts.push((name, value.into()));
        self
    }

    /// Removes `name`.
    #[must_use]
    pub fn remove(mut self, name: RowName) -> Self {
        self.removals.push(name);
        self
    }
}

/// Which rows of one partition to read, in ascending order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// The table.
    pub table: &'static str,
    /// The partition.
    pub partition: String,
    /// The first key; empty for the start.
    pub from: String,
    /// The key before which the range ends; empty for the end.
    pub to: String,
    /// The most rows to return.
    pub limit_count: usize,
}

/// Rows that were read as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, in ascending order of their keys, or of their changes.
    pub rows: Vec<StoredRow>,
    /// Whether the range holds more.
    pub has_more: bool,
    /// The newest version of the store at that moment.
    pub stamp: RowStamp,
    /// The store's clock at that moment.
    pub store_time: Duration,
}

/// That a transaction took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The version of all rows that it wrote.
    pub stamp: RowStamp,
    /// The store's clock.
    pub store_time: Duration,
}

/// Why the store gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// Nothing was done, and nothing will be.
    #[error("the store did nothing: {reason}")]
    NotApplied {
        /// What the store or the connection said.
        reason: NotAppliedReason,
    },
    /// A row had another version than expected.
    #[error("a row has another version than expected")]
    Conflict {
        /// The expected rows as they are now; absent ones are left out.
        current: Vec<StoredRow>,
    },
    /// The call may have been carried out, or may be yet.
    #[error("the store's answer was lost")]
    Unknown,
    /// The history that a feed was to go on from is gone.
    #[error("the store no longer has the history asked for")]
    HistoryGone,
    /// The answer does not follow the protocol.
    #[error("the store's answer cannot be read: {reason}")]
    Unreadable {
        /// What was wrong with it.
        reason: String,
    },
}

/// Why a call to the store certainly did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotAppliedReason {
    /// No connection could be opened.
    Unreachable,
    /// The store refused because of its rate.
    RateLimited,
    /// The store refuses for now.
    Unavailable,
    /// The store calls the request wrong.
    Rejected,
    /// The store is full.
    Full,
}

/// The platform's store of rows.
pub trait RowStore: Clone + 'static {
    /// Applies all of `transaction`, or nothing.
    ///
    /// # Errors
    ///
    /// [`RowError::Unknown`] means that it may take effect even later; repeating
    /// it unchanged is safe, as its conditions hold only once.
    fn commit(
        &self,
        transaction: &RowTransaction,
    ) -> impl Future<Output = Result<Applied, RowError>>;

    /// Reads rows of one partition.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no readable answer.
    fn read(&self, range: &RowRange) -> impl Future<Output = Result<RowPage, RowError>>;

    /// Returns the names of up to a page of partitions of `table` behind `after`.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no readable answer.
    fn partitions(
        &self,
        table: &str,
        after: &str,
    ) -> impl Future<Output = Result<Vec<String>, RowError>>;

    /// Waits up to `wait` for rows of `table` that changed behind `after`.
    ///
    /// # Errors
    ///
    /// [`RowError::HistoryGone`] means that the table must be read anew.
    fn changes(
        &self,
        table: &str,
        after: RowStamp,
        wait: Duration,
    ) -> impl Future<Output = Result<RowPage, RowError>>;

    /// Does what the client needs done beside its calls, for as long as it runs.
    fn attend(&self) -> impl Future<Output = ()> {
        std::future::ready(())
    }
}

/// A store that can be reached by way of other hosts.
pub trait RelayedStore: RowStore {
    /// Returns a client that reaches the store through the host at `peer`.
    fn through(&self, peer: SocketAddr) -> Self;

    /// Carries out a call of another host as it came; none where it is no call to
    /// the store.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer, as [`RowStore::commit`] does.
    fn forward(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<Option<(StatusCode, Bytes)>, RowError>>;
}
