//! What hosts tell each other about served tokens.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{HostId, Incarnation, RowId},
    share::dispatch::RowLoad,
};

/// Numbers the levels of the tree; hosts report at level 0.
pub type Level = u32;

/// One row's tokens in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Tokens served since the counter started.
    pub served_tokens: u64,
    /// Tokens that wait right now.
    pub backlog_tokens: u64,
}

/// Counts by row.
pub type Counts = BTreeMap<RowId, Count>;

/// What hosts tell each other about served tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Sent up: what the sender counted of the groups below `level`.
    Report {
        /// 0 for a host's own counts.
        level: Level,
        /// The life of the sender; counters restart with it.
        incarnation: Incarnation,
        /// Rises with each report.
        sequence: u64,
        /// The counters.
        counts: Counts,
    },
    /// Sent down: the counts of the whole fleet.
    Totals {
        /// The host that summed them up.
        root: HostId,
        /// Its life; counters restart with it.
        incarnation: Incarnation,
        /// Rises with each total.
        sequence: u64,
        /// The counters.
        counts: Counts,
    },
}

/// What happened since the last round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer sent counts; they may be lost, repeated or late.
    Received {
        /// The peer.
        from: HostId,
        /// What it sent.
        message: Message,
    },
    /// What this host has served and holds, from its dispatcher.
    Loads(BTreeMap<RowId, RowLoad>),
}

/// What the traffic side shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `message` in a datagram.
    Send {
        /// The peer.
        to: HostId,
        /// The counts.
        message: Arc<Message>,
    },
}
