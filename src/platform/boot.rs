//! The settings file that the platform writes before each start of a host.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Deserialize;

use crate::ingress::host::{DutySettings, HostSettings};

/// The limit on open file descriptors where the file names none.
const DEFAULT_MAX_FD_COUNT: usize = 4_096;

/// The window of usage reports where the file names none.
const DEFAULT_USAGE_WINDOW_S: f64 = 5.0;

/// The time until a usage report is due where the file names none.
const DEFAULT_USAGE_DUE_S: f64 = 10.0;

/// The rate of duty calls where the file names none.
const DEFAULT_DUTY_RATE_PER_S: f64 = 10.0;

/// The name of the duty to report usage.
const USAGE_DUTY: &str = "usage_report";

/// The name of the duty to order upstreams.
const SCALE_DUTY: &str = "autoscale";

/// The environment variable with the path of the file.
pub const PATH_VARIABLE: &str = "MIMOSAVANE_BOOT";

/// An error in the settings file.
#[derive(Debug, thiserror::Error)]
pub enum BootError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file does not have the expected format.
    #[error("{path}: {field}: {source}")]
    Format {
        /// The file.
        path: PathBuf,
        /// The path of the invalid field.
        field: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// Fields have invalid values.
    #[error("{path}: {}", .faults.join("; "))]
    Values {
        /// The file.
        path: PathBuf,
        /// One message per invalid field.
        faults: Vec<String>,
    },
}

/// The contents of the file, without fields that are not used here.
#[derive(Debug, Deserialize)]
struct BootFile {
    /// The name of the machine.
    node: String,
    zone: String,
    listen: Listen,
    limits: Limits,
    bounds: Bounds,
    provider: Provider,
    /// The interval at which upstreams renew their entries.
    heartbeat_ms: u64,
    /// Where the platform takes calls that one host makes for all.
    #[serde(default)]
    cloud: Option<Cloud>,
    /// The first and the last port that hosts may use to reach each other.
    #[serde(default)]
    internal_ports: Vec<u16>,
}

#[derive(Debug, Deserialize)]
struct Listen {
    /// The address that serves clients.
    front: SocketAddr,
    /// The address that serves the platform's readiness probe.
    ready: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Limits {
    memory_mb: u64,
    cpu_share: f64,
    #[serde(default)]
    max_fds: Option<usize>,
}

#[derive(Debug, Deserialize)]
struct Bounds {
    /// The time from SIGTERM until the process is killed.
    grace_s: f64,
    /// The time within which two machines must not send orders to the same
    /// engine.
    lease_ms: u64,
    /// The time for which a job's results must stay readable after its
    /// submission.
    status_ttl_s: f64,
    /// Whether `revoke_ms` binds every machine.
    #[serde(default)]
    strict_revoke: bool,
    /// The time after which no request with a removed key may run.
    #[serde(default)]
    revoke_ms: Option<u64>,
    /// The length of the windows of usage reports.
    #[serde(default)]
    report_window_s: Option<f64>,
    /// How long after its end the report of a window is due.
    #[serde(default)]
    usage_late_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Cloud {
    address: SocketAddr,
    #[serde(default)]
    duties: Vec<String>,
    #[serde(default)]
    duty_per_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Provider {
    /// The address of the store.
    address: SocketAddr,
}

/// Returns the path of the file from the environment.
pub fn path() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(PathBuf::from)
}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Returns an error if the file is unreadable or malformed, or one that lists all
/// invalid values.
pub fn load(path: &Path) -> Result<HostSettings, BootError> {
    let text = std::fs::read(path).map_err(|source| BootError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Parses the contents `text` of the settings file at `path`.
///
/// # Errors
///
/// Returns an error if the file is unreadable or malformed, or one that lists all
/// invalid values.
pub fn parse(path: &Path, text: &[u8]) -> Result<HostSettings, BootError> {
    let mut parser = serde_json::Deserializer::from_slice(text);
    let file: BootFile =
        serde_path_to_error::deserialize(&mut parser).map_err(|error| BootError::Format {
            path: path.to_owned(),
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    let faults = file.faults();
    if !faults.is_empty() {
        return Err(BootError::Values {
            path: path.to_owned(),
            faults,
        });
    }
    Ok(file.into_settings())
}

impl BootFile {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.node.is_empty() {
            faults.push("node: must not be empty".to_owned());
        }
        let duty_rate_per_s = self.cloud.as_ref().and_then(|cloud| cloud.duty_per_s);
        for (field, value) in [
            ("bounds.grace_s", Some(self.bounds.grace_s)),
            ("bounds.status_ttl_s", Some(self.bounds.status_ttl_s)),
            ("limits.cpu_share", Some(self.limits.cpu_share)),
            ("bounds.report_window_s", self.bounds.report_window_s),
            ("bounds.usage_late_s", self.bounds.usage_late_s),
            ("cloud.duty_per_s", duty_rate_per_s),
        ] {
            if value.is_some_and(|value| !(value.is_finite() && value > 0.0)) {
                faults.push(format!("{field}: must be above 0"));
            }
        }
        if self.bounds.strict_revoke && self.bounds.revoke_ms.is_none_or(|ms| ms == 0) {
            faults.push("bounds.revoke_ms: must be above 0 with strict_revoke".to_owned());
        }
        if self.heartbeat_ms == 0 {
            faults.push("heartbeat_ms: must be above 0".to_owned());
        }
        faults
    }

    fn duties(&self) -> Option<DutySettings> {
        let cloud = self.cloud.as_ref()?;
        let has_duty = |name: &str| cloud.duties.iter().any(|duty| duty == name);
        let seconds =
            |value: Option<f64>, default| Duration::from_secs_f64(value.unwrap_or(default));
        Some(DutySettings {
            address: cloud.address,
            max_rate_per_s: cloud.duty_per_s.unwrap_or(DEFAULT_DUTY_RATE_PER_S),
            reports_usage: has_duty(USAGE_DUTY),
            orders_upstreams: has_duty(SCALE_DUTY),
            usage_window: seconds(self.bounds.report_window_s, DEFAULT_USAGE_WINDOW_S),
            usage_due: seconds(self.bounds.usage_late_s, DEFAULT_USAGE_DUE_S),
        })
    }

    fn into_settings(self) -> HostSettings {
        HostSettings {
            duties: self.duties(),
            max_fd_count: self.limits.max_fds.unwrap_or(DEFAULT_MAX_FD_COUNT),
            revocation_bound: self
                .bounds
                .revoke_ms
                .filter(|_| self.bounds.strict_revoke)
                .map(Duration::from_millis),
            host: self.node.into(),
            failure_domain: self.zone.into(),
            client_address: self.listen.front,
            ready_address: self.listen.ready,
            metrics_address: None,
            relay_address: self
                .internal_ports
                .first()
                .map(|port| SocketAddr::new(self.listen.front.ip(), *port)),
            store_address: self.provider.address,
            stop_grace: Duration::from_secs_f64(self.bounds.grace_s),
            order_quiet: Duration::from_millis(self.bounds.lease_ms),
            result_ttl: Duration::from_secs_f64(self.bounds.status_ttl_s),
            memory_limit_mb: self.limits.memory_mb,
            cpu_share_ratio: self.limits.cpu_share,
        }
    }
}
