//! The interface to the platform's store, which keeps rows in partitions.
//!
//! The store is the only place where state outlives a process. Each write states
//! the row versions that it expects, so that a write which is applied late or
//! repeated does no harm (see docs/design/platform.md).

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, request};

use crate::ingress::{memory::Memory, replies::Reply};

/// The version of a row, taken from a store-wide counter. 0 denotes an absent
/// row.
pub type RowStamp = u64;

/// The full name of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowName {
    /// The table.
    pub table: &'static str,
    /// The partition. Transactions are atomic within one partition.
    pub partition: String,
    /// The key, unique in its partition.
    pub key: String,
}

impl RowName {
    /// Returns the name of the row `key` in `partition` of `table`.
    pub fn new(table: &'static str, partition: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            table,
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The partition.
    pub partition: String,
    /// The key.
    pub key: String,
    /// The value, which is empty if the row was removed.
    pub value: Bytes,
    /// The version of the last write of the row.
    pub stamp: RowStamp,
    /// Whether the row was removed. Only a feed returns removed rows.
    pub is_removed: bool,
}

/// Writes that are applied atomically.
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
    /// The rows and the versions that they must have.
    pub expected: Vec<(RowName, RowStamp)>,
    /// The rows to write and their values.
    pub puts: Vec<(RowName, Bytes)>,
    /// The rows to remove.
    pub removals: Vec<RowName>,
}

impl RowTransaction {
    /// Requires that `name` has the version `stamp`, where 0 means absent.
    #[must_use]
    pub fn expect(mut self, name: RowName, stamp: RowStamp) -> Self {
        self.expected.push((name, stamp));
        self
    }

    /// Adds a write of `value` to `name`.
    #[must_use]
    pub fn put(mut self, name: RowName, value: impl Into<Bytes>) -> Self {
        self.puts.push((name, value.into()));
        self
    }

    /// Adds a removal of `name`.
    #[must_use]
    pub fn remove(mut self, name: RowName) -> Self {
        self.removals.push(name);
        self
    }
}

/// A range of rows of one partition, in ascending order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// The table.
    pub table: &'static str,
    /// The partition.
    pub partition: String,
    /// The first key, or empty for the start of the partition.
    pub from: String,
    /// The key before which the range ends, or empty for the end of the
    /// partition.
    pub to: String,
    /// The maximum number of rows to return.
    pub limit_count: usize,
}

/// Rows that were read at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, in ascending order of their keys or, from a feed, of their
    /// changes.
    pub rows: Vec<StoredRow>,
    /// Whether the range has more rows.
    pub has_more: bool,
    /// The newest version in the store at that time.
    pub stamp: RowStamp,
    /// The store's clock at that time.
    pub store_time: Duration,
}

/// The result of a transaction that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The version of all rows that the transaction wrote.
    pub stamp: RowStamp,
    /// The store's clock when it answered.
    pub store_time: Duration,
}

/// An error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// The call was not applied, and will not be.
    #[error("the store did not apply the call: {reason}")]
    NotApplied {
        /// Why the call was not applied.
        reason: NotAppliedReason,
    },
    /// A row did not have the expected version.
    #[error("a row does not have the expected version")]
    Conflict {
        /// The current state of the expected rows, without absent ones.
        current: Vec<StoredRow>,
    },
    /// The call may have been applied, or may still be applied later.
    #[error("the store's answer was lost")]
    Unknown,
    /// The store no longer keeps the history from which a feed was to continue.
    #[error("the store no longer has the requested history")]
    HistoryGone,
    /// The answer does not follow the protocol.
    #[error("the store's answer cannot be read: {reason}")]
    Unreadable {
        /// Why the answer cannot be read.
        reason: String,
    },
}

/// Why a call to the store was certainly not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotAppliedReason {
    /// No connection to the store could be opened.
    Unreachable,
    /// The store refused the call because of its rate limit.
    RateLimited,
    /// The store is temporarily unavailable.
    Unavailable,
    /// The store rejected the request as invalid.
    Rejected,
    /// The store is full.
    Full,
}

/// The platform's store of rows.
pub trait RowStore: Clone + 'static {
    /// Applies `transaction` atomically.
    ///
    /// # Errors
    ///
    /// Returns [`RowError::Unknown`] if the transaction may have been applied or
    /// may still be applied later. Repeating it unchanged is safe, as its
    /// expected versions match only once.
    fn commit(
        &self,
        transaction: &RowTransaction,
    ) -> impl Future<Output = Result<Applied, RowError>>;

    /// Reads rows of one partition.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no readable answer.
    fn read(&self, range: &RowRange) -> impl Future<Output = Result<RowPage, RowError>>;

    /// Returns the names of at most one page of partitions of `table` that sort
    /// after `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no readable answer.
    fn partitions(
        &self,
        table: &str,
        after: &str,
    ) -> impl Future<Output = Result<Vec<String>, RowError>>;

    /// Waits up to `wait` for rows of `table` that changed after the version
    /// `after`.
    ///
    /// # Errors
    ///
    /// Returns [`RowError::HistoryGone`] if the table must be read again in full.
    fn changes(
        &self,
        table: &str,
        after: RowStamp,
        wait: Duration,
    ) -> impl Future<Output = Result<RowPage, RowError>>;

    /// Runs the background work of the client. The future may never complete.
    /// `peers` answers calls of other hosts that are not calls to the store.
    fn run_background(&self, peers: impl PeerCalls) -> impl Future<Output = ()> {
        drop(peers);
        std::future::ready(())
    }

    /// Returns the addresses at which other hosts answer calls, as far as they are known.
    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
}

/// Answers calls of other hosts.
pub trait PeerCalls: Clone + 'static {
    /// Returns the answer to a call to `path`, or `None` if there is none.
    fn answer(&self, path: &str, body: &[u8]) -> Option<Bytes>;

    /// Returns the memory of the host, in which the calls are held.
    fn memory(&self) -> &Memory;

    /// Returns the answer to a call that takes time, or `None` if there is none.
    fn answer_later(
        &self,
        parts: &request::Parts,
        body: &Bytes,
    ) -> impl Future<Output = Option<Reply>>;
}

/// A store that can be reached through other hosts.
pub trait RelayedStore: RowStore {
    /// Returns a client that reaches the store through the host at `peer`.
    fn through(&self, peer: SocketAddr) -> Self;

    /// Forwards a call of another host to the store unchanged, or returns `None`
    /// if it is not a call to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer, as [`RowStore::commit`]
    /// does.
    fn forward(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<Option<(StatusCode, Bytes)>, RowError>>;
}
