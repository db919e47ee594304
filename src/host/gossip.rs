//! The heartbeat messages between hosts, as the types that controllers use.
//!
//! A generated message is validated and converted to a [`Heartbeat`], or
//! refused, before any controller sees it (see docs/design/membership.md).

use std::net::SocketAddr;

use crate::{
    control::blackboard::{Host, HostState, ServedCount},
    host::broadcast::Broadcast,
    ids::{FailureDomain, HostId, Incarnation, Region, Revision, RowId, UpstreamId},
    proto::peer::{self, heartbeat, member_update},
};

/// Identifies a probe among those of one host.
pub type ProbeId = u64;

/// The request or reply in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Requests an [`Body::Ack`] from the receiver.
    Probe {
        /// The id that the answer repeats.
        probe: ProbeId,
    },
    /// Answers a probe.
    Ack {
        /// The id of the answered probe.
        probe: ProbeId,
        /// The host that answered, if another one relays its answer.
        target: Option<HostId>,
    },
    /// Requests that the receiver probe `target` and relay its answer.
    ProbeRequest {
        /// The id that the answer repeats.
        probe: ProbeId,
        /// The host to probe.
        target: HostId,
    },
    /// Carries piggybacked data and needs no answer.
    Gossip,
    /// Requests the members whose ids follow `after`.
    Sync {
        /// The last id of the previous page; empty for the first page.
        after: HostId,
    },
    /// Answers [`Body::Sync`] with a page of members.
    SyncReply {
        /// The id after which the next page starts; empty at the end of the list.
        next: HostId,
    },
}

/// The location and addresses of a host, which a receiver needs only once per
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The failure domain of the host.
    pub failure_domain: FailureDomain,
    /// The region of the host.
    pub region: Region,
    /// The host's address for peers.
    pub peer_address: SocketAddr,
    /// The host's address for callers.
    pub http_address: SocketAddr,
}

/// A claim about the state of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The member.
    pub host: HostId,
    /// The incarnation that the claim applies to.
    pub incarnation: Incarnation,
    /// The claimed state.
    pub state: HostState,
    /// The location of the member; `None` if the receiver is expected to know it.
    pub location: Option<Location>,
}

impl Update {
    /// Creates an update with the state and location of `host`.
    pub fn of(host: &Host) -> Self {
        Self {
            host: host.id.clone(),
            incarnation: host.incarnation,
            state: host.state,
            location: Some(Location {
                failure_domain: host.failure_domain.clone(),
                region: host.region.clone(),
                peer_address: host.peer_address,
                http_address: host.http_address,
            }),
        }
    }
}

impl Broadcast for Update {
    fn subject(&self) -> &HostId {
        &self.host
    }

    fn encoded_bytes(&self) -> usize {
        field_bytes(&peer::MemberUpdate::from(self))
    }
}

/// A served-token count as sent between hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedReport {
    /// The row whose tokens were counted.
    pub row: RowId,
    /// The host that counted them.
    pub host: HostId,
    /// The count.
    pub count: ServedCount,
}

impl ServedReport {
    /// Returns the size of the report in a datagram, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        field_bytes(&peer::ServedTokens::from(self))
    }
}

/// The version of a notice about one upstream; higher is newer.
pub type NoticeVersion = u64;

/// The state of an upstream as one host learned it, for the other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The version, by which older notices are discarded.
    pub version: NoticeVersion,
    /// Whether the upstream is leaving and accepts no new work.
    pub leaving: bool,
}

impl Broadcast for UpstreamNotice {
    fn subject(&self) -> &UpstreamId {
        &self.upstream
    }

    fn encoded_bytes(&self) -> usize {
        field_bytes(&peer::UpstreamNotice::from(self))
    }
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The request or reply.
    pub body: Body,
    /// Claims about members.
    pub updates: Vec<Update>,
    /// The table revision in force at the sender.
    pub table_revision: Revision,
    /// Served-token counts known to the sender.
    pub served: Vec<ServedReport>,
    /// Notices about upstreams.
    pub notices: Vec<UpstreamNotice>,
}

/// Why a message with a valid signature is no valid heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The kind of the message is unknown.
    #[error("unknown message kind {kind}")]
    Kind {
        /// The received number.
        kind: i32,
    },
    /// The state of a member is unknown.
    #[error("unknown state {state} of host {host}")]
    State {
        /// The member.
        host: HostId,
        /// The received number.
        state: i32,
    },
    /// An address is invalid.
    #[error("invalid address {address:?} of host {host}")]
    Address {
        /// The member.
        host: HostId,
        /// The received text.
        address: String,
    },
    /// A required host id is empty.
    #[error("empty host id")]
    Name,
}

impl TryFrom<peer::Heartbeat> for Heartbeat {
    type Error = HeartbeatError;

    fn try_from(message: peer::Heartbeat) -> Result<Self, HeartbeatError> {
        let body = parse_body(&message)?;
        Ok(Self {
            from: parse_host_id(message.from)?,
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
    type Error = HeartbeatError;

    fn try_from(message: peer::MemberUpdate) -> Result<Self, HeartbeatError> {
        let host = parse_host_id(message.host.clone())?;
        let state = match message.state() {
            member_update::State::Alive => HostState::Alive,
            member_update::State::Suspect => HostState::Suspect,
            member_update::State::Dead => HostState::Dead,
            member_update::State::Leaving => HostState::Leaving,
            member_update::State::Unspecified => {
                return Err(HeartbeatError::State {
                    host,
                    state: message.state,
                });
            }
        };
        let location = if message.address.is_empty() {
            None
        } else {
            Some(Location {
                failure_domain: message.failure_domain.into(),
                region: message.region.into(),
                peer_address: parse_address(&host, message.address)?,
                http_address: parse_address(&host, message.http_address)?,
            })
        };
        Ok(Self {
            host,
            incarnation: message.incarnation,
            state,
            location,
        })
    }
}

impl From<&Update> for peer::MemberUpdate {
    fn from(update: &Update) -> Self {
        let state = match update.state {
            // `Unreachable` and `Damped` are local views that are not spread.
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
        if let Some(location) = &update.location {
            message.failure_domain = location.failure_domain.to_string();
            message.region = location.region.to_string();
            message.address = location.peer_address.to_string();
            message.http_address = location.http_address.to_string();
        }
        message
    }
}

impl TryFrom<peer::ServedTokens> for ServedReport {
    type Error = HeartbeatError;

    fn try_from(message: peer::ServedTokens) -> Result<Self, HeartbeatError> {
        Ok(Self {
            row: message.row.into(),
            host: parse_host_id(message.host)?,
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

/// Returns the encoded size in bytes of a message as an element of a repeated
/// field.
fn field_bytes(message: &impl prost::Message) -> usize {
    let length = message.encoded_len();
    length + prost::length_delimiter_len(length) + 1
}

/// Parses the request or reply in a message.
fn parse_body(message: &peer::Heartbeat) -> Result<Body, HeartbeatError> {
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
            target: parse_host_id(message.target.clone())?,
        },
        heartbeat::Kind::Gossip => Body::Gossip,
        heartbeat::Kind::Sync => Body::Sync { after: target },
        heartbeat::Kind::SyncReply => Body::SyncReply { next: target },
        heartbeat::Kind::Unspecified => {
            return Err(HeartbeatError::Kind { kind: message.kind });
        }
    })
}

/// Parses a host id, which must not be empty.
fn parse_host_id(text: String) -> Result<HostId, HeartbeatError> {
    if text.is_empty() {
        return Err(HeartbeatError::Name);
    }
    Ok(text.into())
}

/// Parses an address of `host`.
fn parse_address(host: &HostId, text: String) -> Result<SocketAddr, HeartbeatError> {
    text.parse().map_err(|_| HeartbeatError::Address {
        host: host.clone(),
        address: text,
    })
}
