//! A host that coordinates over an in-memory store, as its metrics show it.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]
#![allow(dead_code, reason = "each test uses a part")]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use mimosavane::ingress::{
    directory::Upstream,
    routes::{ClientLimits, Configuration, Service},
};
use tokio::time::sleep;

use super::{
    Rows,
    host::{TestHost, host},
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(20);

/// Creates a host that knows one engine.
pub fn host_with_engine(rows: &Rows) -> TestHost {
    let host = host(rows);
    let mut view = host.view.borrow_mut();
    view.configuration = Some(Arc::new(Configuration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(
            "engines".into(),
            Service {
                name: "engines".into(),
                engine_slot_count: Some(4),
                engine_memory_tokens: 1_000_000,
                tokens_per_event: 61,
                scaling: None,
            },
        )]),
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(10),
        },
        accounts: None,
    }));
    view.directory.put(Upstream {
        id: "engine-1".into(),
        started_at_ms: 1,
        service: "engines".into(),
        // Nothing listens there, so that no item of a job ends.
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "mx-a".into(),
        slot_count: 4,
        is_draining: false,
        software_version: "v1".into(),
        versions: BTreeMap::from([("writer".into(), 1)]),
        is_spot: false,
        leaves_in: None,
    });
    drop(view);
    host
}

/// Waits until `is_reached`, and fails with `what` after [`DEADLINE`].
pub async fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_reached() {
        assert!(started.elapsed() < DEADLINE, "{what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the last value of the gauge `name`.
pub fn gauge(host: &TestHost, name: &str) -> Option<u64> {
    let page = host.exposition.page();
    let line = page.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().last()?.parse().ok()
}

/// Returns the number of jobs that the coordinator last reported as open.
pub fn open_job_count(host: &TestHost) -> Option<u64> {
    gauge(host, "mimosavane_jobs_open_count")
}

/// Returns the number of items that the coordinator last reported as waiting or running.
pub fn open_item_count(host: &TestHost) -> u64 {
    let waiting_count = gauge(host, "mimosavane_items_waiting_count").unwrap_or_default();
    waiting_count + gauge(host, "mimosavane_runs_open_count").unwrap_or_default()
}
