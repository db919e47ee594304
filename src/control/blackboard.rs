//! The state of a host that its controllers and traffic threads share, in
//! sections with one writer each.
//!
//! The control thread owns the [`Blackboard`]; after each round it publishes an
//! immutable copy that traffic threads read without blocking (see
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

/// All sections of the shared state.
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
    /// Tokens served across the fleet, written by the share ledger.
    pub served: Arc<Served>,
    /// Whether the platform's store answers, written by its client.
    pub store: StoreCondition,
    /// Whether this host knows enough to accept requests, written by the
    /// control thread.
    pub ready: bool,
    /// Whether this host is stopping, written by the drain controller.
    pub draining: bool,
    /// Whether this host no longer accepts new requests, written by the drain
    /// controller.
    pub refusing: bool,
}

/// The state of a host, as far as this host knows.
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
    /// It missed probes and may still refute the suspicion.
    Suspect,
    /// It is considered to have failed.
    Dead,
    /// It announced that it is stopping, and accepts no new work.
    Leaving,
    /// Its whole region is unreachable, so its own state is unknown.
    Unreachable,
    /// It answers again after flapping, and gets no work until it is stable.
    Damped,
}

/// A host of the service, as the other hosts see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub id: HostId,
    /// Its incarnation under that name.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: HostState,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
    /// The address at which it serves peers, over both TCP and UDP.
    pub peer_address: SocketAddr,
    /// The address at which it serves callers.
    pub http_address: SocketAddr,
}

/// The hosts by name.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// All known hosts, including this one.
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

/// The kind of an upstream.
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
    /// It accepts work.
    #[default]
    Live,
    /// It finishes its present work and gets no new work.
    Leaving,
    /// It failed too often, and gets no work until a probe succeeds.
    Ejected,
    /// The platform no longer lists it, or it refuses connections.
    Gone,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub id: UpstreamId,
    /// Its kind.
    pub kind: UpstreamKind,
    /// The pool by which calls address it; for engines, the model.
    pub pool: Arc<str>,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it may be given new work.
    pub state: UpstreamState,
    /// Whether it refuses orders with an outdated fencing number.
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
    /// The host has not received a table yet, and admits no work.
    #[default]
    Empty,
    /// The host has recently heard from the store or a peer.
    Current,
    /// The host has long heard from neither the store nor any peer, so it may
    /// have missed changes; it admits no new work.
    Isolated,
}

/// The table in force.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// How far the rows may be relied on.
    pub standing: TableStanding,
    /// The revision of the rows.
    pub revision: Revision,
    /// The rows by name.
    pub rows: BTreeMap<RowId, Arc<Row>>,
}

/// The last report of an engine, which lags behind its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Identifies the start of the engine process that reported.
    pub boot: BootId,
    /// The version of the base weights that it runs.
    pub weight_version: WeightVersion,
    /// The number of requests that it is generating for.
    pub running: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
    /// The maximum number of requests in its batch.
    pub slots: u32,
    /// When the report arrived.
    pub at: Timestamp,
    /// The recent generation time of one token of one request.
    pub token_time: Duration,
}

/// The engines' reports by name.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    /// The last report of each engine.
    pub reports: BTreeMap<UpstreamId, EngineReport>,
    /// The newest weight version that the fleet was ordered to run.
    pub target_version: WeightVersion,
}

/// One host's count of tokens served for one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// The incarnation of the counting host.
    pub incarnation: Incarnation,
    /// Tokens served in that incarnation.
    pub served_tokens: u64,
    /// Tokens that wait in that host's queues.
    pub backlog_tokens: u64,
}

/// Tokens served across the fleet, by row and by host.
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
    /// No request has been sent to it yet.
    #[default]
    Unknown,
    /// It answers in time.
    Up,
    /// It answers late.
    Slow,
    /// It does not answer.
    Down,
}

/// The published blackboard, which traffic threads read without blocking.
pub type Snapshot = ArcSwap<Blackboard>;
