//! The cases.

mod begun_versions;
mod failing_item;
mod joined_versions;
mod large_jobs;
mod two_holders;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::{
    fleet::Machine,
    record::Record,
    server::{Seen, Server, ServerSettings, Work},
    store::Store,
};

/// The value of the `Host` header of all requests.
pub const HOST: &str = "ficu95.example";

/// The service of the model servers.
pub const ENGINES: &str = "huvo11a";

/// A plain service.
pub const DESK: &str = "wuno96b";

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

pub type Play = fn(&Case) -> Verdict;

/// Returns the case `name`.
pub fn find(name: &str) -> Option<Play> {
    Some(match name {
        "failing-item" => failing_item::play,
        "large-jobs" => large_jobs::play,
        "joined-versions" => joined_versions::play,
        "begun-versions" => begun_versions::play,
        "two-holders" => two_holders::play,
        _ => return None,
    })
}

/// What cases share: the store, the record and what servers have seen.
pub struct Case {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub seen: Arc<Mutex<Seen>>,
    pub is_troubled: bool,
    folder: PathBuf,
}

impl Case {
    pub fn new(record: Arc<Record>, folder: PathBuf, is_troubled: bool) -> Self {
        Self {
            record,
            store: Store::new(),
            seen: Arc::default(),
            is_troubled,
            folder,
        }
    }

    /// Prepares a machine.
    pub fn machine(&self, name: &str, zone: &str) -> Machine {
        let address = self.store.serve(name);
        Machine::new(name, zone, address, &self.folder, &self.record)
    }

    /// Starts a model server.
    pub fn engine(&self, id: &str, zone: &str, models: &[String], work: Work) -> Arc<Server> {
        let settings = ServerSettings {
            id: id.to_owned(),
            service: ENGINES.to_owned(),
            zone: zone.to_owned(),
            slot_count: 12,
            models: models.to_vec(),
            work,
            slowness: 1.0,
        };
        Server::start(settings, &self.store, &self.record, &self.seen)
    }

    /// Writes the configuration, with one batch route and one route to the plain service.
    pub fn configure(&self, models: &[String], item_ttl_s: f64, max_attempts: u32) {
        let routes = json!([
            {"name": "r-i9n73hh", "host": HOST, "path_prefix": "/pufi791/", "kind": "rollout",
                "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
                "service": ENGINES, "max_attempts": 3, "item_ttl_s": item_ttl_s,
                "result_due_ms": 7500, "single_version": false, "sticky": true,
                "resumable": true},
            {"name": "r-x73d3zj", "host": HOST, "path_prefix": "/lohu930/",
                "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 150,
                "priority": 2, "service": DESK, "max_attempts": max_attempts},
            {"name": "r-s41talk", "host": HOST, "path_prefix": "/talk52/", "kind": "streaming",
                "resumable": true, "timeout_ms": 10000, "target_latency_ms": 400,
                "priority": 1, "service": ENGINES, "max_attempts": 3},
        ]);
        let models: Vec<Value> = models.iter().map(|name| json!({"name": name})).collect();
        let body = json!({"version": 7, "routes": routes, "services": [
            {"name": ENGINES, "health_path": "/health", "max_connections": 170,
                "protocol": "h1", "tls": false, "engine": {"slots": 12,
                "kv_capacity_tokens": 35918, "stride": 59, "models": models}},
            {"name": DESK, "health_path": "/health", "max_connections": 110,
                "protocol": "h1", "tls": false}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000}});
        self.store.write("op", "config", &body);
    }

    /// Names a version of a model, as its trainer does.
    pub fn name_version(&self, model: &str, version: u64) {
        self.record
            .line(&format!("a trainer names version {version} of {model}"));
        let body = json!({"model": model, "version": version});
        self.store.write("op", &format!("version/{model}"), &body);
    }
}

/// Returns the names of `count` models.
pub fn models(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("daka5{number}")).collect()
}

/// Returns the body of a batch job of one item for `model`, whose output has `events` events
/// at most.
pub fn job_body(model: &str, item: &str, tokens: u64) -> Vec<u8> {
    let headers = json!({"Model": model, "Token-Usage": format!("271,{tokens}"),
        "Prompt-Prefix": format!("9c2e41:255,{item}:16")});
    let body = json!({"step": 0, "model": model, "min_version": 1, "desired_count": 1,
        "items": [{"id": item, "path": "/pufi791/3/91c4", "headers": headers,
            "body": STANDARD.encode("prompt"), "tokens": 271 + tokens, "group": "g1"}]});
    body.to_string().into_bytes()
}

/// Returns `duration` in seconds, for texts.
pub fn seconds(duration: Duration) -> String {
    format!("{:.2} s", duration.as_secs_f64())
}
