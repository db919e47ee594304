//! The settings of every binary, read from one YAML file.
//!
//! A field with a unit has it as a suffix, and defaults are documented; see
//! docs/SETTINGS.md. Unknown fields are rejected.
//!
//! `field` defines the accepted values and defaults of the fields; `check` reports
//! all mistakes of a file at once.

pub mod check;
pub mod field;
pub mod mistake;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

use serde::{Deserialize, Serialize};

use crate::{
    connection::Protocol,
    ids::{FailureDomain, HostId, Region, RowId},
    settings::mistake::Mistake,
};

/// All settings of one host.
///
/// # Examples
///
/// ```
/// use mimosavane::settings::Settings;
///
/// let text = "
/// host:
///   id: entry-1
///   region: mx-centro
///   failure_domain: mx-a
///   http_address: 127.0.0.1:8080
///   peer_address: 127.0.0.1:9080
/// platform:
///   table_service_url: http://127.0.0.1:7000
/// ";
/// let settings = Settings::parse(text)?;
/// assert_eq!(&*settings.host.id, "entry-1");
/// # Ok::<(), mimosavane::settings::SettingsError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host.
    pub host: HostSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Addresses of some peers, through which a new host discovers the others.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// The secrets of hosts, operators and rows.
    #[serde(default)]
    pub keys: KeySettings,
    /// The table server.
    #[serde(default)]
    pub table: TableSettings,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The properties of plain services, by pool.
    #[serde(default)]
    pub pools: BTreeMap<String, PoolSettings>,
    /// Failure detection between hosts.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// The planned stop of this host.
    #[serde(default)]
    pub drain: DrainSettings,
    /// The orders to engines.
    #[serde(default)]
    pub steward: StewardSettings,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// The service-level objectives that the burn report checks.
    #[serde(default)]
    pub objectives: ObjectiveSettings,
}

/// The identity, location and addresses of this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// The name, unique in the fleet.
    pub id: HostId,
    /// The region of this host.
    pub region: Region,
    /// The failure domain of this host.
    pub failure_domain: FailureDomain,
    /// The number of this host, unique among running hosts; it determines which
    /// part of each row's limits the host may use.
    #[serde(default)]
    pub ordinal: u32,
    /// The address on which callers and trainers reach this host.
    pub http_address: SocketAddr,
    /// The address on which peers reach this host, over TCP and UDP.
    pub peer_address: SocketAddr,
}

/// The platform's services and the limits on their use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The URL of the transactional table service.
    pub table_service_url: String,
    /// The URL of the list of live and leaving hosts; empty if there is none.
    #[serde(default)]
    pub host_list_url: String,
    /// The URL of the weight store; empty if there is none.
    #[serde(default)]
    pub weight_store_url: String,
    /// The timeout of one request to the platform.
    #[serde(default = "defaults::platform_timeout_ms")]
    pub timeout_ms: u64,
    /// The maximum rate of table service reads over the whole fleet.
    #[serde(default = "defaults::table_service_max_reads_per_s")]
    pub table_service_max_reads_per_s: u32,
    /// The maximum rate of table service writes over the whole fleet.
    #[serde(default = "defaults::table_service_max_writes_per_s")]
    pub table_service_max_writes_per_s: u32,
    /// Engines that refuse an order with an outdated fencing number.
    #[serde(default)]
    pub fence_checking_engines: Vec<String>,
}

/// The secrets by role; if a role has none, nobody is granted that role.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The secret that hosts of the fleet share.
    #[serde(default)]
    pub fleet: String,
    /// Bearer tokens of operators, by the name shown in the history.
    #[serde(default)]
    pub operators: BTreeMap<String, String>,
    /// Bearer tokens of trainers and members, by row.
    #[serde(default)]
    pub rows: BTreeMap<RowId, String>,
}

impl std::fmt::Debug for KeySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeySettings")
            .field("operators", &self.operators.keys())
            .field("rows", &self.rows.keys())
            .finish_non_exhaustive()
    }
}

/// The table server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TableSettings {
    /// The address on which this host's table server answers operators.
    pub http_address: SocketAddr,
}

/// Limits on requests and connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request.
    pub request_read_timeout_ms: u64,
    /// The deadline of a call that sets none.
    pub default_deadline_ms: u64,
    /// The maximum number of calls queued for one pool.
    pub max_queued_calls: usize,
    /// How long a connection may make no progress before it is closed.
    pub silence_timeout_ms: u64,
    /// The fraction of calls that may be retries.
    pub retry_budget_ratio: f64,
    /// The maximum number of hosts running at once; limits are divided by it.
    pub max_hosts_count: u32,
    /// The maximum time that one sample may run on an engine.
    pub max_sample_ms: u64,
}

/// The properties of the plain services in one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolSettings {
    /// The HTTP version of the pool's upstreams.
    pub protocol: Protocol,
    /// Methods that may be repeated in addition to GET, HEAD, OPTIONS, PUT and
    /// DELETE.
    pub idempotent_methods: Vec<String>,
    /// Methods that must not be repeated although HTTP defines them as idempotent.
    pub unrepeatable_methods: Vec<String>,
    /// Whether the upstreams together run a request with a given key only once, so
    /// that no claim is needed.
    pub deduplicates_keys: bool,
}

/// Failure detection between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// The interval between probes that a host sends.
    pub probe_interval_ms: u64,
    /// How long a probe may stay unanswered before other hosts are asked to probe.
    pub probe_timeout_ms: u64,
    /// How long a suspected host may refute the suspicion before it is declared
    /// dead, in a fleet of ten hosts.
    pub suspicion_timeout_ms: u64,
}

/// The planned stop of this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long callers may still arrive after the host reports itself as not
    /// ready.
    pub grace_ms: u64,
    /// The maximum total time of a planned stop.
    pub bound_ms: u64,
}

/// The orders to engines; must be the same on all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StewardSettings {
    /// The number of groups into which the engines are divided, each under one
    /// lease.
    pub shard_count: u32,
    /// How long a lease is valid without renewal.
    pub lease_ms: u64,
    /// The timeout of an order.
    pub order_timeout_ms: u64,
    /// The fraction of each pool that keeps serving while weights are loaded.
    pub capacity_floor_ratio: f64,
    /// The maximum rate of loads from the weight store over the whole fleet.
    pub max_rate_loads_per_s: f64,
}

/// The output of logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// The format of a log line.
    pub log_format: LogFormat,
    /// The log filter, in the syntax of `tracing`.
    pub log_filter: String,
    /// The destination of StatsD datagrams; empty sends none.
    pub statsd_address: String,
}

/// The format of a log line.
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
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Service-level objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveSettings {
    /// The fraction of time that a trainer may wait for promised samples.
    pub max_idle_ratio: f64,
    /// The fraction of samples that may come near the staleness bound.
    pub max_stale_ratio: f64,
    /// The fraction by which a row's served tokens may deviate from its share.
    pub max_share_error_ratio: f64,
    /// The fraction of calls that must get a complete answer.
    pub min_call_success_ratio: f64,
    /// The time within which an accepted change must be in force on all hosts.
    pub change_in_force_ms: u64,
    /// The scale of the 5 min, 1 h and 6 h windows of the burn report.
    pub window_scale_ratio: f64,
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            http_address: (Ipv4Addr::LOCALHOST, 8090).into(),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 * 1024 * 1024,
            request_read_timeout_ms: 10_000,
            default_deadline_ms: 30_000,
            max_queued_calls: 1024,
            silence_timeout_ms: 5_000,
            retry_budget_ratio: 0.1,
            max_hosts_count: 1,
            max_sample_ms: 600_000,
        }
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 200,
            suspicion_timeout_ms: 2_000,
        }
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            grace_ms: 3_000,
            bound_ms: 120_000,
        }
    }
}

impl Default for StewardSettings {
    fn default() -> Self {
        Self {
            shard_count: 1,
            lease_ms: 10_000,
            order_timeout_ms: 2_000,
            capacity_floor_ratio: 0.75,
            max_rate_loads_per_s: 10.0,
        }
    }
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            log_format: LogFormat::Text,
            log_filter: "info".to_owned(),
            statsd_address: String::new(),
        }
    }
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self {
            max_idle_ratio: 0.05,
            max_stale_ratio: 0.05,
            max_share_error_ratio: 0.05,
            min_call_success_ratio: 0.999,
            change_in_force_ms: 2_000,
            window_scale_ratio: 1.0,
        }
    }
}

/// The defaults of single fields, as functions for serde.
mod defaults {
    pub(crate) const fn platform_timeout_ms() -> u64 {
        1_000
    }

    pub(crate) const fn table_service_max_reads_per_s() -> u32 {
        2_000
    }

    pub(crate) const fn table_service_max_writes_per_s() -> u32 {
        300
    }
}

/// An error while reading settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The settings contain mistakes.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<Mistake>),
    /// The text cannot be deserialised.
    #[error(transparent)]
    Parse(#[from] serde_norway::Error),
}

/// Formats the mistakes, one per line.
fn join_lines(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// The file name in mistakes of settings that were not read from a file.
const UNNAMED_FILE: &str = "settings";

impl Settings {
    /// Creates settings for `host` with default values and no platform services.
    pub fn for_host(host: HostSettings) -> Self {
        Self {
            host,
            platform: PlatformSettings {
                table_service_url: String::new(),
                host_list_url: String::new(),
                weight_store_url: String::new(),
                timeout_ms: defaults::platform_timeout_ms(),
                table_service_max_reads_per_s: defaults::table_service_max_reads_per_s(),
                table_service_max_writes_per_s: defaults::table_service_max_writes_per_s(),
                fence_checking_engines: Vec::new(),
            },
            seed_peers: Vec::new(),
            keys: KeySettings::default(),
            table: TableSettings::default(),
            limits: LimitSettings::default(),
            pools: BTreeMap::new(),
            membership: MembershipSettings::default(),
            drain: DrainSettings::default(),
            steward: StewardSettings::default(),
            telemetry: TelemetrySettings::default(),
            objectives: ObjectiveSettings::default(),
        }
    }

    /// Parses settings from YAML text.
    ///
    /// # Errors
    ///
    /// Returns all mistakes that [`check::check`] finds.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Self::parse_named(UNNAMED_FILE, text)
    }

    /// Loads settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails as [`Settings::parse`] does, or if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse_named(&name, &text),
            Err(source) => Err(SettingsError::Read { path: name, source }),
        }
    }

    fn parse_named(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mistakes = check::check(file, text);
        if mistakes.is_empty() {
            Ok(serde_norway::from_str(text)?)
        } else {
            Err(SettingsError::Invalid(mistakes))
        }
    }
}
