//! The inputs and effects of a host's controllers.

use std::net::SocketAddr;

use crate::{
    control::{blackboard::UpstreamKind, decision::Decision},
    engine::{upstream_list, watch},
    host::{drain, gossip::Heartbeat, membership},
    ids::{AttemptNumber, CallNumber, HostId, UpstreamId},
    share::{dispatch, ledger, quota},
    step::{self, attach::Reply, handover::Handover},
    store::follower,
};

/// A message between the controllers of two hosts, other than a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum Exchange {
    /// Between ledgers.
    Ledger(ledger::Message),
    /// Between quotas.
    Quota(quota::Message),
}

/// An input to the controllers.
#[derive(Debug)]
pub enum Input {
    /// An event for the step controller.
    Step(step::Event),
    /// An event for the dispatcher.
    Dispatch(dispatch::Event),
    /// An engine reported, or failed to report.
    Engine(watch::Event),
    /// The store or a peer answered about the table.
    Table(follower::Event),
    /// A heartbeat arrived, or the platform listed a host.
    Member(membership::Event),
    /// Evidence of the state of an upstream.
    Upstreams(upstream_list::Event),
    /// A message from a peer's controller.
    Exchange {
        /// The peer.
        from: HostId,
        /// The message.
        message: Exchange,
    },
    /// A decision of a traffic thread, to be recorded.
    Decided(Decision),
    /// A request for a graceful stop.
    Drain(drain::Requester),
}

/// An effect that the code around the controllers carries out.
#[derive(Debug)]
pub enum Effect {
    /// Sends a heartbeat.
    SendHeartbeat {
        /// The destination.
        to: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Sends a message to a peer's controller.
    SendMessage {
        /// The peer.
        to: HostId,
        /// The message.
        message: Exchange,
    },
    /// Reads the table.
    ReadTable(follower::Action),
    /// Fetches the report of an engine.
    PollEngine {
        /// The engine.
        engine: UpstreamId,
        /// Its address, if known.
        address: Option<SocketAddr>,
    },
    /// Asks an upstream whether it is leaving.
    AskUpstream {
        /// The upstream.
        upstream: UpstreamId,
        /// Its kind.
        kind: UpstreamKind,
        /// Its address.
        address: SocketAddr,
    },
    /// Answers a submission.
    Accept {
        /// The call.
        call: CallNumber,
        /// Whether the step was accepted.
        result: Result<(), step::SubmitError>,
    },
    /// Answers a pull.
    Reply {
        /// The call.
        call: CallNumber,
        /// The answer.
        reply: Reply,
    },
    /// Starts an attempt at the dispatcher of its engine.
    StartAttempt {
        /// What to generate.
        dispatch: Box<step::Dispatch>,
        /// The engine.
        engine: UpstreamId,
        /// The host that queues for the engine, if there is one.
        dispatcher: Option<HostId>,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Hands a step over to its next owner.
    HandOver(Box<Handover>),
    /// Carries out an action of the dispatcher on a queued or running request.
    Dispatch(dispatch::Action),
    /// Ends the process.
    Exit {
        /// How the planned stop ended, or `None` if another process runs under
        /// this host's name.
        outcome: Option<drain::Outcome>,
    },
}
