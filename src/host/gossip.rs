//! The heartbeats between hosts in the types that controllers use.
//!
//! The generated message stays at the border: [`Heartbeat`] is made from it, or
//! refused, before any controller sees it (see docs/design/membership.md).

use std::net::SocketAddr;

use crate::{
    control::blackboard::{Host, HostState, ServedCount},
    host::broadcast::News,
    ids::{FailureDomain, HostId, Incarnation, Region, Revision, RowId, UpstreamId},
    proto::peer::{self, heartbeat, member_update},
};

/// Numbers the probes of one host.
pub type ProbeId = u64;

/// What a heartbeat asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks the receiver for an [`Body::Ack`].
    Probe {
        /// Comes back in the answer.
        probe: ProbeId,
    },
    /// Answers a probe.
    Ack {
        /// The probe that is answered.
        probe: ProbeId,
        /// The host that answered, where another one relays for it.
        target: Option<HostId>,
    },
    /// Asks the receiver to probe `target` and to relay its answer.
    ProbeRequest {
        /// Comes back in the answer.
        probe: ProbeId,
        /// The host to probe.
        target: HostId,
    },
    /// Carries news and asks nothing.
    Gossip,
    /// Asks for the members whose names follow `after`.
    Sync {
        /// The last name of the page before; empty for the first page.
        after: HostId,
    },
    /// Lists members.
    SyncReply {
        /// The name to go on after; empty at the end of the list.
        next: HostId,
    },
}

/// Where a host stands, which a receiver learns once a life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Where it answers peers.
    pub peer_address: SocketAddr,
    /// Where it answers callers.
    pub http_address: SocketAddr,
}

/// One claim about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The member.
    pub host: HostId,
    /// The life that the claim is about.
    pub incarnation: Incarnation,
    /// What is claimed.
    pub state: HostState,
    /// Where it stands; absent where the receiver is expected to know.
    pub place: Option<Place>,
}

impl Update {
    /// Says what is believed of `host`, with its place.
    pub fn of(host: &Host) -> Self {
        Self {
            host: host.id.clone(),
            incarnation: host.incarnation,
            state: host.state,
            place: Some(Place {
                failure_domain: host.failure_domain.clone(),
                region: host.region.clone(),
                peer_address: host.peer_address,
                http_address: host.http_address,
            }),
        }
    }
}

impl News for Update {
    fn subject(&self) -> &HostId {
        &self.host
    }

    fn encoded_bytes(&self) -> usize {
        field_bytes(&peer::MemberUpdate::from(self))
    }
}

/// A served-token count as it travels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedReport {
    /// The row that was served.
    pub row: RowId,
    /// The host that counted.
    pub host: HostId,
    /// What it counted.
    pub count: ServedCount,
}

impl ServedReport {
    /// Returns the bytes that the count takes in a datagram.
    pub fn encoded_bytes(&self) -> usize {
        field_bytes(&peer::ServedTokens::from(self))
    }
}

/// Numbers what is found out of one upstream; higher is newer.
pub type NoticeVersion = u64;

/// What one host found out about an upstream, for the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Which of two notices is newer.
    pub version: NoticeVersion,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl News for UpstreamNotice {
    fn subject(&self) -> &UpstreamId {
        &self.upstream
    }

    fn encoded_bytes(&self) -> usize {
        field_bytes(&peer::UpstreamNotice::from(self))
    }
}

/// One message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: HostId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// What it asks or answers.
    pub body: Body,
    /// What it says of members.
    pub updates: Vec<Update>,
    /// The table revision in force at the sender.
    pub table_revision: Revision,
    /// Served-token counts that the sender knows.
    pub served: Vec<ServedReport>,
    /// What is news of upstreams.
    pub notices: Vec<UpstreamNotice>,
}

/// Why a message that was rightly signed makes no heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The kind of message is not known.
    #[error("kind {kind} is not known")]
    Kind {
        /// The number found.
        kind: i32,
    },
    /// The state of a member is not known.
    #[error("state {state} of host {host} is not known")]
    State {
        /// The member.
        host: HostId,
        /// The number found.
        state: i32,
    },
    /// An address does not parse.
    #[error("address {address:?} of host {host} does not parse")]
    Address {
        /// The member.
        host: HostId,
        /// The text found.
        address: String,
    },
    /// A name is empty where one is needed.
    #[error("a host has no name")]
    Name,
}

impl TryFrom<peer::Heartbeat> for Heartbeat {
    type Error = Malformed;

    fn try_from(message: peer::Heartbeat) -> Result<Self, Malformed> {
        let body = body(&message)?;
        Ok(Self {
            from: name(message.from)?,
            incarnation: message.incarnation,
            body,
            updates: message
                .updates
                .into_iter()
                .map(Update::try_from)
                .collect::<Result<_, _>>()?,
            table_revision: message.table_revision,
            served: message
                .served
                .into_iter()
                .map(ServedReport::try_from)
                .collect::<Result<_, _>>()?,
            notices: message.notices.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&Heartbeat> for peer::Heartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        let (kind, target, probe) = match &heartbeat.body {
            Body::Probe { probe } => (heartbeat::Kind::Probe, None, *probe),
            Body::Ack { probe, target } => (heartbeat::Kind::Ack, target.as_ref(), *probe),
            Body::ProbeRequest { probe, target } => {
                (heartbeat::Kind::ProbeRequest, Some(target), *probe)
            }
            Body::Gossip => (heartbeat::Kind::Gossip, None, 0),
            Body::Sync { after } => (heartbeat::Kind::Sync, Some(after), 0),
            Body::SyncReply { next } => (heartbeat::Kind::SyncReply, Some(next), 0),
        };
        Self {
            from: heartbeat.from.to_string(),
            incarnation: heartbeat.incarnation,
            sequence: 0,
            kind: kind.into(),
            target: target.map(ToString::to_string).unwrap_or_default(),
            probe,
            updates: heartbeat.updates.iter().map(Into::into).collect(),
            table_revision: heartbeat.table_revision,
            served: heartbeat.served.iter().map(Into::into).collect(),
            notices: heartbeat.notices.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<peer::MemberUpdate> for Update {
    type Error = Malformed;

    fn try_from(message: peer::MemberUpdate) -> Result<Self, Malformed> {
        let host = name(message.host.clone())?;
        let state = match message.state() {
            member_update::State::Alive => HostState::Alive,
            member_update::State::Suspect => HostState::Suspect,
            member_update::State::Dead => HostState::Dead,
            member_update::State::Leaving => HostState::Leaving,
            member_update::State::Unspecified => {
                return Err(Malformed::State {
                    host,
                    state: message.state,
                });
            }
        };
        let place = if message.address.is_empty() {
            None
        } else {
            Some(Place {
                failure_domain: message.failure_domain.into(),
                region: message.region.into(),
                peer_address: address(&host, message.address)?,
                http_address: address(&host, message.http_address)?,
            })
        };
        Ok(Self {
            host,
            incarnation: message.incarnation,
            state,
            place,
        })
    }
}

impl From<&Update> for peer::MemberUpdate {
    fn from(update: &Update) -> Self {
        let state = match update.state {
            // Whether a host is out of reach or damped is each host's own view.
            HostState::Alive | HostState::Unreachable | HostState::Damped => {
                member_update::State::Alive
            }
            HostState::Suspect => member_update::State::Suspect,
            HostState::Dead => member_update::State::Dead,
            HostState::Leaving => member_update::State::Leaving,
        };
        let mut message = Self {
            host: update.host.to_string(),
            incarnation: update.incarnation,
            state: state.into(),
            ..Self::default()
        };
        if let Some(place) = &update.place {
            message.failure_domain = place.failure_domain.to_string();
            message.region = place.region.to_string();
            message.address = place.peer_address.to_string();
            message.http_address = place.http_address.to_string();
        }
        message
    }
}

impl TryFrom<peer::ServedTokens> for ServedReport {
    type Error = Malformed;

    fn try_from(message: peer::ServedTokens) -> Result<Self, Malformed> {
        Ok(Self {
            row: message.row.into(),
            host: name(message.host)?,
            count: ServedCount {
                incarnation: message.incarnation,
                served_tokens: message.tokens,
                backlog_tokens: message.backlog_tokens,
            },
        })
    }
}

impl From<&ServedReport> for peer::ServedTokens {
    fn from(report: &ServedReport) -> Self {
        Self {
            row: report.row.to_string(),
            host: report.host.to_string(),
            incarnation: report.count.incarnation,
            tokens: report.count.served_tokens,
            backlog_tokens: report.count.backlog_tokens,
        }
    }
}

impl From<peer::UpstreamNotice> for UpstreamNotice {
    fn from(message: peer::UpstreamNotice) -> Self {
        Self {
            upstream: message.upstream.into(),
            version: message.version,
            leaving: message.leaving,
        }
    }
}

impl From<&UpstreamNotice> for peer::UpstreamNotice {
    fn from(notice: &UpstreamNotice) -> Self {
        Self {
            upstream: notice.upstream.to_string(),
            version: notice.version,
            leaving: notice.leaving,
        }
    }
}

/// Returns the bytes that a message takes as a repeated field of another.
fn field_bytes(message: &impl prost::Message) -> usize {
    let length = message.encoded_len();
    length + prost::length_delimiter_len(length) + 1
}

/// Reads what a message asks or answers.
fn body(message: &peer::Heartbeat) -> Result<Body, Malformed> {
    let probe = message.probe;
    let target: HostId = message.target.as_str().into();
    Ok(match message.kind() {
        heartbeat::Kind::Probe => Body::Probe { probe },
        heartbeat::Kind::Ack => Body::Ack {
            probe,
            target: (!target.is_empty()).then_some(target),
        },
        heartbeat::Kind::ProbeRequest => Body::ProbeRequest {
            probe,
            target: name(message.target.clone())?,
        },
        heartbeat::Kind::Gossip => Body::Gossip,
        heartbeat::Kind::Sync => Body::Sync { after: target },
        heartbeat::Kind::SyncReply => Body::SyncReply { next: target },
        heartbeat::Kind::Unspecified => {
            return Err(Malformed::Kind { kind: message.kind });
        }
    })
}

/// Refuses an empty name.
fn name(text: String) -> Result<HostId, Malformed> {
    if text.is_empty() {
        return Err(Malformed::Name);
    }
    Ok(text.into())
}

/// Reads an address of `host`.
fn address(host: &HostId, text: String) -> Result<SocketAddr, Malformed> {
    text.parse().map_err(|_| Malformed::Address {
        host: host.clone(),
        address: text,
    })
}
