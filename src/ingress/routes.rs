//! Which route a request takes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Names a service that routes lead to.
pub type ServiceName = Arc<str>;

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They run at most once.
    NonIdempotent,
    /// Their answers are streams of events.
    Streaming,
    /// They submit batch jobs.
    Batch,
}

/// One route as the operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The value of the header `Host` that it takes.
    pub authority: String,
    /// The start of the paths that it takes.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that it leads to, each with its share.
    pub splits: Vec<(ServiceName, f64)>,
    /// The most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// How long after its submission an item may be given up.
    pub item_ttl: Duration,
    /// How long after its submission the results of a job are due.
    pub result_due: Duration,
    /// Whether one version of the weights must make all of an item.
    pub single_version: bool,
    /// Whether a stream may go on at another upstream.
    pub is_resumable: bool,
}

/// One service as the operator configured it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// How many requests one of its engines runs at once; none for plain services.
    pub engine_slot_count: Option<usize>,
    /// How many tokens the memory of one of its engines holds.
    pub engine_memory_tokens: u64,
    /// How many tokens an event of its streams holds.
    pub tokens_per_event: u64,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest head of a request.
    pub max_header_bytes: usize,
    /// The longest body of a request.
    pub max_body_bytes: usize,
    /// How long a head may take to arrive. The library counts the time between two
    /// requests as part of it, so that the idle timeout is used for both.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The operator's number of it.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// What clients may send.
    pub limits: ClientLimits,
}

impl Configuration {
    /// Returns the route for a request to `path` of `authority`: the one with the
    /// longest prefix.
    pub fn route(&self, authority: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| route.authority.eq_ignore_ascii_case(authority))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}

impl Route {
    /// Returns the service for a request whose id hashes to `point`, from 0 up
    /// to but without 1.
    pub fn service(&self, point: f64) -> Option<&ServiceName> {
        let total: f64 = self.splits.iter().map(|(_, weight)| weight.max(0.0)).sum();
        let mut left = point * total;
        for (service, weight) in self.splits.iter().filter(|(_, weight)| *weight > 0.0) {
            left -= weight;
            if left < 0.0 {
                return Some(service);
            }
        }
        self.splits
            .iter()
            .rfind(|(_, weight)| *weight > 0.0)
            .map(|(service, _)| service)
    }
}
