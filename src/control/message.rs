//! What goes into and comes out of a host's controllers.

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

/// A message between the controllers of two hosts beside heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub enum Exchange {
    /// Between ledgers.
    Ledger(ledger::Message),
    /// Between quotas.
    Quota(quota::Message),
}

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// Something for the step controller.
    Step(step::Event),
    /// Something for the dispatcher.
    Dispatch(dispatch::Event),
    /// An engine reported or failed to.
    Engine(watch::Event),
    /// The store or a peer answered about the table.
    Table(follower::Event),
    /// A heartbeat arrived, or the platform listed a host.
    Member(membership::Event),
    /// Something showed the state of an upstream.
    Upstreams(upstream_list::Event),
    /// A peer's controller said something.
    Exchange {
        /// The peer.
        from: HostId,
        /// What it said.
        message: Exchange,
    },
    /// A traffic thread decided something.
    Decided(Decision),
    /// Stop gracefully.
    Drain(drain::Requester),
}

/// What the code around the controllers shall do.
#[derive(Debug)]
pub enum Effect {
    /// Send a heartbeat.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// Send a message to a peer's controller.
    Tell {
        /// The peer.
        to: HostId,
        /// What to say.
        message: Exchange,
    },
    /// Read the table.
    Follow(follower::Action),
    /// Ask an engine for its report.
    PollEngine {
        /// The engine.
        engine: UpstreamId,
        /// Where it answers, where that is known.
        address: Option<SocketAddr>,
    },
    /// Ask an upstream whether it is leaving.
    AskUpstream {
        /// The upstream.
        upstream: UpstreamId,
        /// What it is.
        kind: UpstreamKind,
        /// Where it answers.
        address: SocketAddr,
    },
    /// Answer a submission.
    Accept {
        /// The call.
        call: CallNumber,
        /// Whether the step was taken on.
        result: Result<(), step::SubmitError>,
    },
    /// Answer a pull.
    Reply {
        /// The call.
        call: CallNumber,
        /// The answer.
        reply: Reply,
    },
    /// Start an attempt at the dispatcher of its engine.
    StartAttempt {
        /// What to generate.
        dispatch: Box<step::Dispatch>,
        /// The engine.
        engine: UpstreamId,
        /// The host that queues for the engine, where there is one.
        dispatcher: Option<HostId>,
    },
    /// Stop an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Give a step to its next owner.
    HandOver(Box<Handover>),
    /// Do what the dispatcher says about a queued or running request.
    Dispatch(dispatch::Action),
    /// End the process.
    End {
        /// How the planned stop ended, or `None` where another process runs
        /// under this host's name.
        outcome: Option<drain::Outcome>,
    },
}
