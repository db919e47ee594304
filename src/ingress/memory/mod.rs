//! Decides how many bytes and connections are held for clients and for other hosts
//! (see docs/design/client-memory.md).
//!
//! [`Ledger`] decides and knows no time of its own. [`Memory`] shares it between the tasks of
//! a host, and [`Charge`] gives back on drop what it counts.

mod charge;
mod ledger;

pub use self::{
    charge::{Charge, Connection, Counts, Holder, Memory},
    ledger::{Activity, ClaimId, Decision, Denial, Eviction, Ledger},
};

/// What the process needs for itself before it holds anything for clients: 9 MiB were
/// measured, and the rest is for its view of the fleet.
const PROCESS_BYTES: usize = 16_000_000;

/// The fraction of the rest that is held for clients. The remainder covers the fragmentation
/// of the heap and what is not charged.
const HELD_RATIO: f64 = 0.7;

/// The lower bound of what is held, as a fraction of the memory limit, on machines that are
/// smaller than any in the deployment specification.
const MIN_HELD_RATIO: f64 = 0.25;

/// The fraction that only small holders use, and that only calls of other hosts use.
const RESERVE_RATIO: f64 = 1.0 / 16.0;

/// The least reserve for other hosts: one call of the largest size, and its connection.
const MIN_PEER_RESERVE_BYTES: usize = (2 << 20) + (256 << 10);

/// The largest fraction that calls of other hosts use, so that clients are served as well.
const MAX_PEER_RATIO: f64 = 0.5;

/// The most that a holder has that may use the reserve for small ones: a connection and a body
/// of 64 KiB in a buffer that grows.
pub const SMALL_BYTES: usize = CLIENT_CONNECTION_BYTES + (192 << 10);

/// The descriptors that the platform reserves for files.
const FILE_FD_COUNT: usize = 200;

/// The fractions of the other descriptors that connections of clients and of other hosts use.
/// The rest is for connections to upstreams, the store and other hosts.
const CLIENT_FD_RATIO: f64 = 3.0 / 8.0;
const PEER_FD_RATIO: f64 = 2.0 / 8.0;

/// What a client's connection costs: a head and its buffers here, and those of the connection
/// to the upstream that its request uses.
pub const CLIENT_CONNECTION_BYTES: usize = 48 << 10;

/// What the connection of another host costs.
pub const PEER_CONNECTION_BYTES: usize = 24 << 10;

/// What reading one page of rows from the store costs: rows of 1 MB, as they arrive, parsed
/// and decoded.
const READ_BYTES: usize = 5 << 20;

/// What reading one row costs, which has 65,536 bytes at most.
const ROW_READ_BYTES: usize = 180 << 10;

/// What saving a job costs beside the job: one transaction of 650 kB in base64 and JSON.
const TRANSACTION_BYTES: usize = 3 << 20;

/// For whom something is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Side {
    /// A client.
    Client,
    /// Another host.
    Peer,
    /// An open job, which this host coordinates. It counts among what clients hold.
    Job,
}

impl Side {
    /// Returns what a connection costs.
    const fn connection_bytes(self) -> usize {
        match self {
            Self::Client | Self::Job => CLIENT_CONNECTION_BYTES,
            Self::Peer => PEER_CONNECTION_BYTES,
        }
    }
}

/// How much may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The bound on all bytes.
    pub total_bytes: usize,
    /// What only small holders use.
    pub small_reserve_bytes: usize,
    /// What only other hosts use.
    pub peer_reserve_bytes: usize,
    /// The bound on what other hosts use.
    pub max_peer_bytes: usize,
    /// The bound on connections of clients.
    pub max_client_count: usize,
    /// The bound on connections of other hosts.
    pub max_peer_count: usize,
}

impl Budget {
    /// Returns the budget of a process that may use `memory_limit_mb` and have `max_fd_count`
    /// descriptors open.
    pub fn of(memory_limit_mb: u64, max_fd_count: usize) -> Self {
        let limit_bytes = usize::try_from(memory_limit_mb)
            .unwrap_or(usize::MAX)
            .saturating_mul(1_000_000);
        let total_bytes = part(limit_bytes.saturating_sub(PROCESS_BYTES), HELD_RATIO)
            .max(part(limit_bytes, MIN_HELD_RATIO));
        let fd_count = max_fd_count.saturating_sub(FILE_FD_COUNT);
        Self {
            total_bytes,
            small_reserve_bytes: part(total_bytes, RESERVE_RATIO),
            peer_reserve_bytes: part(total_bytes, RESERVE_RATIO).max(MIN_PEER_RESERVE_BYTES),
            max_peer_bytes: part(total_bytes, MAX_PEER_RATIO),
            max_client_count: part(fd_count, CLIENT_FD_RATIO).max(1),
            max_peer_count: part(fd_count, PEER_FD_RATIO).max(1),
        }
    }
}

fn part(whole: usize, ratio: f64) -> usize {
    (whole as f64 * ratio) as usize
}

/// Returns what reading a page of at most `row_count` rows from the store costs.
pub fn read_bytes(row_count: usize) -> usize {
    row_count.saturating_mul(ROW_READ_BYTES).min(READ_BYTES)
}

/// Returns what a job costs at its peak beside its raw body of `body_bytes`, which is counted
/// until the job is saved: its decoded bodies, and then its encoded rows in the place of the
/// raw body. `overhead_bytes` is the cost of its structure.
pub const fn job_bytes(body_bytes: usize, overhead_bytes: usize) -> usize {
    body_bytes / 4 * 3 + overhead_bytes + TRANSACTION_BYTES
}
