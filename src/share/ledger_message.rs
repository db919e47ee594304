//! The ledger's messages, events and actions.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{HostId, Incarnation, RowId},
    share::dispatch::RowLoad,
};

/// A level of the tree of hosts; hosts report their own counts at level 0.
pub type Level = u32;

/// One row's token counts in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Tokens served since the counter started.
    pub served_tokens: u64,
    /// The predicted cost of the requests that wait now.
    pub backlog_tokens: u64,
}

/// Token counts by row.
pub type Counts = BTreeMap<RowId, Count>;

/// A message between hosts about served tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Sent up the tree: the sender's counts, aggregated up to `level`.
    Report {
        /// 0 for a host's own counts.
        level: Level,
        /// The incarnation of the sender; counters restart with it.
        incarnation: Incarnation,
        /// Increases with each report.
        sequence: u64,
        /// The counters.
        counts: Counts,
    },
    /// Sent down the tree: the counts of the whole fleet.
    Totals {
        /// The host that summed them up.
        root: HostId,
        /// The incarnation of the root; counters restart with it.
        incarnation: Incarnation,
        /// Increases with each message of the root.
        sequence: u64,
        /// The counters.
        counts: Counts,
    },
}

/// An event since the last round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer sent a message; messages may be lost, repeated or late.
    Received {
        /// The peer.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// What this host has served and has queued or running, from its dispatcher.
    Loads(BTreeMap<RowId, RowLoad>),
}

/// An action for the traffic side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `message` in a datagram.
    Send {
        /// The peer.
        to: HostId,
        /// The message.
        message: Arc<Message>,
    },
}
