//! What the host knows, in sections that each have one writer.
//!
//! The control thread owns the [`Blackboard`]; after each round it publishes an
//! immutable copy that traffic threads read without waiting (see
//! docs/ARCHITECTURE.md).

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    ids::{
        BootId, FailureDomain, HostId, Incarnation, Region, Revision, RowId, UpstreamId,
        WeightVersion,
    },
    table::row::Row,
};

/// All sections.
#[derive(Clone, Debug, Default)]
pub struct Blackboard {
    /// The hosts of the service, written by membership.
    pub hosts: Arc<Hosts>,
    /// The engines and plain services, written by upstream health.
    pub upstreams: Arc<Upstreams>,
    /// The table in force, written by the table follower.
    pub rows: Arc<Rows>,
    /// What engines report, written by the engine watcher.
    pub engines: Arc<Engines>,
    /// Tokens served over the fleet, written by the share ledger.
    pub served: Arc<Served>,
    /// Whether the platform's store answers, written by its client.
    pub store: StoreCondition,
    /// Whether this host knows enough to take requests, written by the control
    /// thread.
    pub ready: bool,
    /// Whether this host is stopping, written by the drain controller.
    pub draining: bool,
    /// Whether this host takes no new requests any more, written by the drain
    /// controller.
    pub refusing: bool,
}

/// What is believed of a host.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostState {
    /// It answers probes.
    Alive,
    /// It missed probes and may still refute that.
    Suspect,
    /// It is held for gone.
    Dead,
    /// It said that it is stopping and takes no new work.
    Leaving,
    /// Its whole region is out of reach, so that nothing is known of it.
    Unreachable,
    /// It answers again after it flapped, and gets no work until it is steady.
    Damped,
}

/// One host of the service as the others see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub id: HostId,
    /// Its life under that name.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub state: HostState,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
    /// Where it answers peers, over both TCP and UDP.
    pub peer_address: SocketAddr,
    /// Where it answers callers.
    pub http_address: SocketAddr,
}

/// The hosts by name.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// All known hosts, this one among them.
    pub members: BTreeMap<HostId, Host>,
}

impl Hosts {
    /// Returns the hosts that may be given new work.
    pub fn live(&self) -> impl Iterator<Item = &Host> {
        self.members
            .values()
            .filter(|host| matches!(host.state, HostState::Alive | HostState::Suspect))
    }
}

/// What an upstream is.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an upstream may be given new work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes work.
    #[default]
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
    /// It failed too often and rests until a probe succeeds.
    Ejected,
    /// The platform no longer lists it, or it refuses connections.
    Gone,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub id: UpstreamId,
    /// What it is.
    pub kind: UpstreamKind,
    /// The pool that calls name; for engines, the model.
    pub pool: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it may be given new work.
    pub state: UpstreamState,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
}

/// The upstreams by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    /// All known upstreams.
    pub members: BTreeMap<UpstreamId, Upstream>,
}

/// How far this host may rely on its copy of the table.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TableStanding {
    /// The host has learned no table yet, and admits nothing.
    #[default]
    Empty,
    /// The store or a peer was heard of late.
    Current,
    /// Neither the store nor any peer was heard for long, so that changes may
    /// have been missed; the host admits nothing new.
    Isolated,
}

/// The table in force.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// Whether the rows may be relied on.
    pub standing: TableStanding,
    /// The revision that the rows are of.
    pub revision: Revision,
    /// The rows by name.
    pub rows: BTreeMap<RowId, Arc<Row>>,
}

/// What an engine last reported, which lags.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// The start of the engine process that reported.
    pub boot: BootId,
    /// The base weights that it runs.
    pub weight_version: WeightVersion,
    /// Requests that it generates for.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// The most requests that it batches.
    pub slots: u32,
    /// When the report arrived.
    pub at: Timestamp,
    /// How long one token of one request took of late.
    pub token_time: Duration,
}

/// The engines' reports by name.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    /// The last report of each engine.
    pub reports: BTreeMap<UpstreamId, EngineReport>,
    /// The newest weights that the fleet was told to run.
    pub target_version: WeightVersion,
}

/// One host's count of tokens served for one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// The life of the host that counted.
    pub incarnation: Incarnation,
    /// Tokens served in that life.
    pub served_tokens: u64,
    /// Tokens that wait in that host's queues.
    pub backlog_tokens: u64,
}

/// Tokens served over the fleet, a row and a host.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// The counts by row and by counting host.
    pub counts: BTreeMap<RowId, BTreeMap<HostId, ServedCount>>,
    /// The counts of the whole fleet by row.
    pub fleet: BTreeMap<RowId, ServedCount>,
}

/// Whether the platform's table service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum StoreCondition {
    /// Nothing was asked of it yet.
    #[default]
    Unknown,
    /// It answers in time.
    Up,
    /// It answers late.
    Slow,
    /// It does not answer.
    Down,
}

/// The published blackboard, which traffic threads read without waiting.
pub type Snapshot = ArcSwap<Blackboard>;
