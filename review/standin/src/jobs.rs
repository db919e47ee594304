//! Batch jobs of trainers.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    AUTHORITY,
    client::{self, Answer, Failure},
    record::Record,
};

/// The path prefix of the route of batch jobs.
pub const PATH: &str = "/lm/";

/// The model that is trained.
pub const MODEL: &str = "m";

/// The service whose engines run the items.
pub const SERVICE: &str = "lm";

/// A batch job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id.
    pub id: String,
    /// The oldest version of the weights that may generate.
    pub min_version: u64,
    /// The number of items.
    pub item_count: usize,
    /// How an item runs (see [`crate::upstream::Server`]).
    pub work: Value,
}

impl Job {
    /// Returns the id of an item.
    pub fn item(&self, index: usize) -> String {
        format!("{}-{index:03}", self.id)
    }

    fn body(&self) -> String {
        let items: Vec<Value> = (0..self.item_count)
            .map(|index| {
                let events = self.work["events"].as_u64().unwrap_or(1);
                json!({
                    "id": self.item(index), "path": format!("{PATH}generate"),
                    "headers": {"Model": MODEL, "Token-Usage": format!("271,{events}"),
                        "Prompt-Prefix": format!("aa01:255,{index:x}:16")},
                    "body": STANDARD.encode(self.work.to_string()),
                    "tokens": 271 + events, "group": format!("g{}", index / 4),
                })
            })
            .collect();
        json!({"step": 0, "model": MODEL, "min_version": self.min_version,
            "desired_count": self.item_count / 4, "items": items})
        .to_string()
    }

    /// Submits the job until a host accepts it, each time at another host.
    pub async fn submit(&self, record: &Record, hosts: &[SocketAddr], first: usize) -> bool {
        for attempt in 0..10 {
            let address = hosts[(first + attempt) % hosts.len()];
            let headers = [
                ("attempt-id", &*self.id),
                ("deadline-ms", "12000"),
                ("content-type", "application/json"),
            ];
            let path = format!("{PATH}{}", self.id);
            let result = client::send(address, "POST", &path, &headers, self.body()).await;
            let text = format!("{} at {address}: {}", self.id, client::describe(&result));
            record.add("submit", text);
            if result.is_ok_and(|answer| answer.status == 202) {
                return true;
            }
            sleep(Duration::from_millis(300)).await;
        }
        false
    }

    /// Ends the job until a host acknowledges it, each time at another host.
    pub async fn end(&self, record: &Record, hosts: &[SocketAddr], first: usize) -> bool {
        for attempt in 0..10 {
            let address = hosts[(first + attempt) % hosts.len()];
            let path = format!("/-/lots/{}", self.id);
            let result = client::send(address, "DELETE", &path, &[], "").await;
            let text = format!("{} at {address}: {}", self.id, client::describe(&result));
            record.add("end", text);
            if result.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Reads the results from a position on.
    pub async fn read(&self, address: SocketAddr, from: usize) -> Result<Answer, Failure> {
        let path = format!("/-/lots/{}?after={from}", self.id);
        client::send(address, "GET", &path, &[], "").await
    }
}

/// Returns a route for batch jobs.
pub fn route() -> Value {
    json!({"name": "r-lm", "host": AUTHORITY, "path_prefix": PATH, "kind": "rollout",
        "timeout_ms": 10_000, "target_latency_ms": 400, "priority": 1, "service": SERVICE,
        "max_attempts": 3, "item_ttl_s": 40.0, "result_due_ms": 7_500, "single_version": false,
        "sticky": true, "resumable": true})
}

/// Returns the service of the engines.
pub fn service(slot_count: usize) -> Value {
    json!({"name": SERVICE, "health_path": "/health", "max_connections": 150, "protocol": "h1",
        "tls": false, "engine": {"slots": slot_count, "kv_capacity_tokens": 44_572, "stride": 1,
            "models": [{"name": MODEL}]}})
}

/// Returns a configuration.
pub fn configuration(routes: &[Value], services: &[Value]) -> Value {
    json!({"version": 1, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 33_554_432,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}
