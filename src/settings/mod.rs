//! The settings of every binary, read from one YAML file.
//!
//! Each field carries its unit as a suffix and has a documented default; see
//! docs/SETTINGS.md. Unknown fields are refused.
//!
//! `field` holds the ranges and sources of the fields, `check` finds all mistakes at once.

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
    /// Where the platform answers.
    pub platform: PlatformSettings,
    /// Addresses of some peers, over which a fresh host finds the others.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Who may ask for what.
    #[serde(default)]
    pub keys: KeySettings,
    /// Where operators reach the table.
    #[serde(default)]
    pub table: TableSettings,
    /// Bounds on what callers may ask.
    #[serde(default)]
    pub limits: LimitSettings,
    /// What is known of the plain services, by pool.
    #[serde(default)]
    pub pools: BTreeMap<String, PoolSettings>,
    /// How hosts watch each other.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// How this host stops.
    #[serde(default)]
    pub drain: DrainSettings,
    /// How engines are given their orders.
    #[serde(default)]
    pub steward: StewardSettings,
    /// Where logs and metrics go.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Service-level objectives that the burn report holds figures against.
    #[serde(default)]
    pub objectives: ObjectiveSettings,
}

/// This host's own name and place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// The name, unique in the fleet.
    pub id: HostId,
    /// The region that it stands in.
    pub region: Region,
    /// The failure domain that it stands in.
    pub failure_domain: FailureDomain,
    /// The number of this host, which no other running host has; it decides
    /// which part of each row's limits the host may use.
    #[serde(default)]
    pub ordinal: u32,
    /// Where callers and trainers reach it.
    pub http_address: SocketAddr,
    /// Where peers reach it, over TCP and UDP.
    pub peer_address: SocketAddr,
}

/// Where the platform answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The transactional table service.
    pub table_service_url: String,
    /// The list of live and leaving hosts; empty where there is none.
    #[serde(default)]
    pub host_list_url: String,
    /// The weight store; empty where there is none.
    #[serde(default)]
    pub weight_store_url: String,
    /// How long one request to the platform may take.
    #[serde(default = "defaults::platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Reads of the table service a second that the whole fleet may use.
    #[serde(default = "defaults::table_service_max_reads_per_s")]
    pub table_service_max_reads_per_s: u32,
    /// Writes to the table service a second that the whole fleet may use.
    #[serde(default = "defaults::table_service_max_writes_per_s")]
    pub table_service_max_writes_per_s: u32,
    /// Engines that refuse an order with an old fencing number.
    #[serde(default)]
    pub fence_checking_engines: Vec<String>,
}

/// The keys by role; an empty list refuses the role to everybody.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The secret that hosts of the fleet share.
    #[serde(default)]
    pub fleet: String,
    /// Bearer tokens of operators, by the name that history shows.
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

/// Where operators reach the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TableSettings {
    /// Where the table server of this host answers operators.
    pub http_address: SocketAddr,
}

/// Bounds on what callers may ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The largest request body.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request.
    pub request_read_timeout_ms: u64,
    /// The deadline of a call that names none.
    pub default_deadline_ms: u64,
    /// The most calls that wait for one pool.
    pub max_queued_calls: usize,
    /// How long a connection may make no progress before it is retired.
    pub silence_timeout_ms: u64,
    /// The part of calls that may be retries.
    pub retry_budget_ratio: f64,
    /// The most hosts that ever run at once; limits are divided by it.
    pub max_hosts_count: u32,
    /// The longest that one sample runs on an engine.
    pub max_sample_ms: u64,
}

/// What is known of the plain services of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolSettings {
    /// The version of HTTP that its upstreams speak.
    pub protocol: Protocol,
    /// Methods that may be repeated besides GET, HEAD, OPTIONS, PUT and DELETE.
    pub idempotent_methods: Vec<String>,
    /// Methods that may not be repeated although HTTP says that they may.
    pub unrepeatable_methods: Vec<String>,
    /// Whether its upstreams run a request with a known key only once over all
    /// of them, so that no claim is needed.
    pub deduplicates_keys: bool,
}

/// How hosts watch each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// The time between two probes that a host sends.
    pub probe_interval_ms: u64,
    /// How long a probe may stay unanswered.
    pub probe_timeout_ms: u64,
    /// How long a suspect may refute before it is held for dead.
    pub suspicion_timeout_ms: u64,
}

/// How this host stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long callers may still arrive after readiness is off.
    pub grace_ms: u64,
    /// How long a planned stop may take in all.
    pub bound_ms: u64,
}

/// How engines are given their orders; the same on all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StewardSettings {
    /// Into how many groups the engines are divided, each under one lease.
    pub shard_count: u32,
    /// How long a lease holds without being renewed.
    pub lease_ms: u64,
    /// How long an order may be under way.
    pub order_timeout_ms: u64,
    /// The part of each pool that keeps serving while weights are loaded.
    pub capacity_floor_ratio: f64,
    /// The loads that the weight store bears over the whole fleet.
    pub max_rate_loads_per_s: f64,
}

/// Where logs and metrics go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// `text` or `json`.
    pub log_format: LogFormat,
    /// The filter of log lines, as `tracing` reads it.
    pub log_filter: String,
    /// Where StatsD datagrams go; empty sends none.
    pub statsd_address: String,
}

/// The shapes of a log line.
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
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Service-level objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveSettings {
    /// The part of time that a trainer may wait on promised samples.
    pub max_idle_ratio: f64,
    /// The part of samples that may come near the staleness bound.
    pub max_stale_ratio: f64,
    /// The part by which a row's served tokens may miss its share.
    pub max_share_error_ratio: f64,
    /// The part of calls that must get a whole answer.
    pub min_call_success_ratio: f64,
    /// How soon an accepted change must be in force on all hosts.
    pub change_in_force_ms: u64,
    /// The length of the windows against those of the report's page.
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

/// Defaults of single fields, which serde takes as functions.
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

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text has mistakes.
    #[error("{}", lines(.0))]
    Invalid(Vec<Mistake>),
    /// The text cannot be read into settings.
    #[error(transparent)]
    Parse(#[from] serde_norway::Error),
}

/// Writes one mistake a line.
fn lines(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Names text in mistakes that came from no file.
const UNNAMED_FILE: &str = "settings";

impl Settings {
    /// Makes the settings of `host` with all defaults and no platform.
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

    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// Fails with all mistakes that [`check::check`] finds.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Self::parse_named(UNNAMED_FILE, text)
    }

    /// Reads settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails as [`Settings::parse`] does, and where the file cannot be read.
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
