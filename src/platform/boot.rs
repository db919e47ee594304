//! The settings file that the platform lays down at each start.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Deserialize;

use crate::ingress::host::HostSettings;

/// The variable that holds the path of the file.
pub const PATH_VARIABLE: &str = "MIMOSAVANE_BOOT";

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum BootError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not what it should be.
    #[error("{path}: {field}: {source}")]
    Format {
        /// The file.
        path: PathBuf,
        /// The path of the field.
        field: String,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// Fields have values that cannot be used.
    #[error("{path}: {}", .faults.join("; "))]
    Values {
        /// The file.
        path: PathBuf,
        /// One line a field.
        faults: Vec<String>,
    },
}

/// The file; fields that are not used here are left out.
#[derive(Debug, Deserialize)]
struct BootFile {
    /// The machine's name.
    node: String,
    zone: String,
    listen: Listen,
    limits: Limits,
    bounds: Bounds,
    provider: Provider,
    /// How often upstreams renew their entries.
    heartbeat_ms: u64,
    /// The first and the last port that hosts may use among themselves.
    #[serde(default)]
    internal_ports: Vec<u16>,
}

#[derive(Debug, Deserialize)]
struct Listen {
    /// Where clients come in.
    front: SocketAddr,
    /// Where the platform asks whether the host is ready.
    ready: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Limits {
    memory_mb: u64,
    cpu_share: f64,
}

#[derive(Debug, Deserialize)]
struct Bounds {
    /// How long after SIGTERM the process is killed.
    grace_s: f64,
    /// Two machines must not give orders to one engine within this time.
    lease_ms: u64,
    /// How long after its submission a job's results must stay readable.
    status_ttl_s: f64,
}

#[derive(Debug, Deserialize)]
struct Provider {
    /// Where the store answers.
    address: SocketAddr,
}

/// Returns the path of the file.
pub fn path() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(PathBuf::from)
}

/// Reads the file.
///
/// # Errors
///
/// Says all that is wrong with the values at once.
pub fn load(path: &Path) -> Result<HostSettings, BootError> {
    let text = std::fs::read(path).map_err(|source| BootError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Reads the file from `text`.
///
/// # Errors
///
/// Says all that is wrong with the values at once.
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
