//! A host on an in-memory store.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{rc::Rc, time::Duration};

use mimosavane::{
    ingress::{
        host::{Host, HostSettings},
        metrics::Exposition,
    },
    observe::telemetry::Metrics,
    platform::PlatformWire,
};

use super::Rows;

/// A host whose store is an in-memory one.
pub type TestHost = Rc<Host<Rows, PlatformWire>>;

/// Returns settings whose addresses nobody listens on.
pub fn settings() -> HostSettings {
    HostSettings {
        host: "entry-1".into(),
        failure_domain: "mx-a".into(),
        client_address: "127.0.0.1:1".parse().unwrap(),
        ready_address: "127.0.0.1:2".parse().unwrap(),
        metrics_address: None,
        relay_address: None,
        store_address: "127.0.0.1:3".parse().unwrap(),
        stop_grace: Duration::from_secs(8),
        order_quiet: Duration::from_secs(3),
        result_ttl: Duration::from_secs(120),
        memory_limit_mb: 340,
        cpu_share_ratio: 0.5,
        max_fd_count: 4_096,
        revocation_bound: None,
        duties: None,
    }
}

/// Creates a host with an empty view.
pub fn host(rows: &Rows) -> TestHost {
    let host = host_with(settings(), rows);
    host.observe_store_time(Duration::from_secs(7));
    host
}

/// Creates a host with `settings`, which knows no time of the store yet.
pub fn host_with(settings: HostSettings, rows: &Rows) -> TestHost {
    let exposition = Exposition::default();
    let metrics = Metrics::with_sink(exposition.clone());
    Host::with_store(settings, metrics, exposition, |_| rows.clone())
}
