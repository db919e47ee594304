//! The settings file that the platform writes before each start of a host.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Deserialize;

use crate::ingress::host::HostSettings;

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
        for (field, value) in [
            ("bounds.grace_s", self.bounds.grace_s),
            ("bounds.status_ttl_s", self.bounds.status_ttl_s),
            ("limits.cpu_share", self.limits.cpu_share),
        ] {
            if !(value.is_finite() && value > 0.0) {
                faults.push(format!("{field}: must be above 0"));
            }
        }
        if self.heartbeat_ms == 0 {
            faults.push("heartbeat_ms: must be above 0".to_owned());
        }
        faults
    }

    fn into_settings(self) -> HostSettings {
        HostSettings {
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
