//! Finds out which services' upstreams this host can reach, apart from upstreams that are
//! down by themselves.
//!
//! A host may lose its links to all upstreams while clients, the store and other hosts
//! still reach it (see docs/design/stranded-hosts.md).

pub mod book;

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use rand::{Rng as _, seq::IteratorRandom as _};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    clock::{Timestamp, millis},
    connection::{Protocol, Target},
    ingress::{handover, host::Host, routes::ServiceName, wire::Wire},
    observe::telemetry::{REACH_LOST, SERVICES_UNREACHED},
    store::rows::RowStore,
};

/// How many upstreams are probed at once: some of them may be down by themselves.
const PROBE_COUNT: usize = 4;

/// The timeout of a probe, which opens a connection; links have a latency of some
/// milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The shortest interval between probes of a service that is out of reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How often the other hosts are asked whether they reach a service that is out of reach.
const SURVEY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Records that a request to an upstream of `service` failed in a way that the host's own
/// links may cause, and probes the service if that is new.
pub fn record_failure<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, service: &ServiceName) {
    if !host.reach.borrow_mut().begin_probing(service) {
        return;
    }
    let (host, service) = (host.clone(), service.clone());
    spawn_local(async move {
        watch(&host, &service).await;
        host.reach.borrow_mut().end_probing(&service);
    });
}

/// Probes `service` until an upstream of it can be connected to.
async fn watch<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, service: &ServiceName) {
    let mut surveyed_at: Option<Timestamp> = None;
    loop {
        let is_reached = is_reachable(host, service).await;
        let now = host.now();
        let change = host
            .reach
            .borrow_mut()
            .record_probe(service, is_reached, now);
        if let Some(change) = change {
            let unreached_count = host.reach.borrow().unreached_count();
            host.metrics
                .gauge(SERVICES_UNREACHED, unreached_count as u64);
            if !is_reached {
                host.metrics.count(REACH_LOST, 1);
            }
            tracing::warn!(
                event = if is_reached {
                    "reach.regained"
                } else {
                    "reach.lost"
                },
                service = &**service,
                probe_count = PROBE_COUNT,
                lasted_ms = millis(change.lasted),
            );
            host.view_changed.notify_waiters();
        }
        if is_reached {
            return;
        }
        if surveyed_at.is_none_or(|at| now.saturating_sub(at) >= SURVEY_INTERVAL) {
            surveyed_at = Some(now);
            spawn_local(handover::survey_peers(host.clone(), service.clone()));
        }
        let jitter_factor = rand::rng().random_range(1.0..1.5);
        sleep(PROBE_INTERVAL.mul_f64(jitter_factor)).await;
    }
}

/// Returns whether this host reaches `service`: by what it knows, or else by a probe.
pub async fn check<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, service: &ServiceName) -> bool {
    let now = host.now();
    let (is_lost, is_answered) = {
        let book = host.reach.borrow();
        (book.is_lost(service), book.is_answered(service, now))
    };
    if is_lost || is_answered {
        return !is_lost;
    }
    let is_reached = is_reachable(host, service).await;
    if !is_reached {
        record_failure(host, service);
    }
    is_reached
}

/// Returns whether an upstream of `service` can be connected to, or none is listed.
pub async fn is_reachable<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    service: &ServiceName,
) -> bool {
    let targets: Vec<Target> = host
        .view
        .borrow()
        .directory
        .upstreams()
        .filter(|upstream| upstream.service == *service && !upstream.is_draining)
        .map(|upstream| Target {
            address: upstream.address,
            protocol: Protocol::Http1,
        })
        .choose_multiple(&mut rand::rng(), PROBE_COUNT);
    if targets.is_empty() {
        return true;
    }
    let mut probes: FuturesUnordered<_> = targets
        .iter()
        .map(|target| timeout(PROBE_TIMEOUT, host.pool.is_reachable(*target)))
        .collect();
    while let Some(result) = probes.next().await {
        if result.is_ok_and(|is_reachable| is_reachable) {
            return true;
        }
    }
    false
}

/// Returns the services whose upstreams generate.
pub fn engine_services<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>) -> BTreeSet<ServiceName> {
    let view = host.view.borrow();
    let Some(configuration) = &view.configuration else {
        return BTreeSet::new();
    };
    configuration
        .services
        .values()
        .filter(|service| service.engine_slot_count.is_some())
        .map(|service| service.name.clone())
        .collect()
}
