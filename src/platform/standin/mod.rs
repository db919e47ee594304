//! Stand-ins for the platform in soaks and tests: its store, engines, services,
//! clients and trainers, as specified by the protocol.
//!
//! The stand-ins run on one thread and communicate by HTTP over loopback. They
//! record the observations of callers and upstreams in a [`Record`], against
//! which the promises are checked.

mod accounts;
mod client;
mod cloud;
mod engine;
mod record;
mod reserved;
mod store;

pub use self::{
    accounts::{ACCOUNTS, Keyring, PUBLIC_PATH, REVOKE_TIME, Sender, USAGE_DUE, USAGE_WINDOW},
    client::{Client, ReceivedAnswer, RequestError, ResultPage, StreamStart, TrainerJob},
    cloud::{Cloud, CloudFault},
    engine::{Engine, EngineFault, EngineRole},
    record::{ArrivedReport, Record, SeenResult, Violation},
    reserved::{HangingAddress, ReservedAddress},
    store::{Store, StoreFault},
};

use std::{fmt, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    task::{AbortHandle, spawn_local},
};

use crate::{
    ingress::replies::{Reply, ReplyBody},
    platform::names,
};

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The error by which a handler closes the connection without an answer.
#[derive(Debug)]
pub struct NoAnswer;

impl fmt::Display for NoAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for NoAnswer {}

/// Serves HTTP on `listener` until the returned handle aborts the task.
fn serve<F, R>(listener: TcpListener, answer: F) -> AbortHandle
where
    F: Fn(Request<Bytes>) -> R + 'static,
    R: Future<Output = Result<Reply, NoAnswer>> + 'static,
{
    let answer = Rc::new(answer);
    let task = spawn_local(async move {
        // The connections are closed together with the listener, as when a process
        // ends.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let answer = answer.clone();
            connections.spawn_local(async move {
                let service = service_fn(move |request: Request<Incoming>| {
                    let answer = answer.clone();
                    async move {
                        let (parts, body) = request.into_parts();
                        let body = Limited::new(body, MAX_BODY_BYTES)
                            .collect()
                            .await
                            .map_err(|_| NoAnswer)?;
                        answer(Request::from_parts(parts, body.to_bytes())).await
                    }
                });
                // A client may disconnect at any time.
                let _ = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    task.abort_handle()
}

/// Returns a JSON answer.
fn json_reply(status: u16, body: &Value) -> Reply {
    let mut reply = Response::new(ReplyBody::Left(body.to_string().into_bytes().into()));
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    reply
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The addresses of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// The address that serves clients.
    pub clients: SocketAddr,
    /// The address that serves the platform's readiness probe.
    pub ready: SocketAddr,
    /// The address that forwards calls of other hosts to the store.
    pub relay: SocketAddr,
    /// The address at which the host reaches the store.
    pub store: SocketAddr,
}

/// Returns the settings file that the platform would write for a host. A deployment with
/// accounts has an address for duties at `cloud`.
pub fn boot_file(
    name: &str,
    zone: &str,
    addresses: HostAddresses,
    grace: Duration,
    cloud: Option<SocketAddr>,
) -> String {
    let mut file = json!({
        "node": name, "role": "entry", "zone": zone,
        "listen": {
            "front": addresses.clients.to_string(),
            "ready": addresses.ready.to_string(),
        },
        "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 340},
        "heartbeat_ms": 1_000,
        "internal_ports": [addresses.relay.port(), addresses.relay.port()],
        "bounds": {"grace_s": grace.as_secs_f64(), "lease_ms": 3_000, "status_ttl_s": 120},
        "provider": {"address": addresses.store.to_string()},
    });
    if let Some(cloud) = cloud {
        let bounds = &mut file["bounds"];
        bounds["strict_revoke"] = json!(true);
        bounds["revoke_ms"] = json!(REVOKE_TIME.as_millis() as u64);
        bounds["report_window_s"] = json!(USAGE_WINDOW.as_secs_f64());
        bounds["usage_late_s"] = json!(USAGE_DUE.as_secs_f64());
        bounds["require_fence"] = json!(false);
        file["cloud"] = json!({
            "address": cloud.to_string(), "duty_per_s": 50,
            "duties": ["usage_report", "autoscale"],
        });
    }
    file.to_string()
}

/// Returns the environment variable with the path of a host's settings file.
pub const fn boot_variable() -> &'static str {
    super::boot::PATH_VARIABLE
}

/// The value of the `Host` header of all requests.
pub const AUTHORITY: &str = "soak.example";

/// The name of the service whose engines generate.
pub const ENGINES: &str = "engines";

/// The name of the service that answers calls.
pub const CALLS: &str = "calls";

/// The trained models, each with the path prefix of its batch jobs.
pub const MODELS: [(&str, &str); 2] = [("writer", "/writer/"), ("reader", "/reader/")];

/// The path prefix of idempotent calls.
pub const REPEATABLE_PATH: &str = "/look/";

/// The path prefix of reward calls.
pub const SCORE_PATH: &str = "/score/";

/// The model whose items ask for a score.
pub const SCORED_MODEL: &str = "writer";

/// The start of the ids of reward calls, before the id of the item.
const REWARD_PREFIX: &str = "score-";

/// Returns the id of the reward call of an item.
pub fn reward_id(item: &str) -> String {
    format!("{REWARD_PREFIX}{item}")
}

/// Returns the item whose reward call has the id `reward`.
fn rewarded_item(reward: &str) -> &str {
    reward.strip_prefix(REWARD_PREFIX).unwrap_or(reward)
}

/// The path prefix of idempotent calls that crash each upstream that runs them.
pub const CRASH_PATH: &str = "/look/crash/";

/// The path prefix of streams of clients, which may be resumed.
pub const STREAM_PATH: &str = "/talk/";

/// The path prefix of calls that may run at most once.
pub const ONCE_PATH: &str = "/sign/";

/// Returns the operator's configuration at `version`. Each version after the
/// first adds one route.
pub fn configuration(version: u64) -> Value {
    let mut routes = vec![
        json!({"name": "look", "host": AUTHORITY, "path_prefix": REPEATABLE_PATH,
            "kind": "idempotent", "service": CALLS, "max_attempts": 3,
            "timeout_ms": 3_000, "target_latency_ms": 150}),
        json!({"name": "score", "host": AUTHORITY, "path_prefix": SCORE_PATH,
            "kind": "idempotent", "service": CALLS, "max_attempts": 3,
            "timeout_ms": 3_000, "target_latency_ms": 500}),
        json!({"name": "sign", "host": AUTHORITY, "path_prefix": ONCE_PATH,
            "kind": "non_idempotent", "service": CALLS, "max_attempts": 2,
            "timeout_ms": 3_000, "target_latency_ms": 150}),
    ];
    routes.push(
        json!({"name": "talk", "host": AUTHORITY, "path_prefix": STREAM_PATH,
        "kind": "streaming", "resumable": true, "service": ENGINES, "max_attempts": 3,
        "timeout_ms": 10_000, "target_latency_ms": 400}),
    );
    for (model, path) in MODELS {
        routes.push(
            json!({"name": model, "host": AUTHORITY, "path_prefix": path,
            "kind": "rollout", "service": ENGINES, "max_attempts": 3, "resumable": true,
            "timeout_ms": 10_000, "target_latency_ms": 400,
            "result_due_ms": 7_500, "item_ttl_s": 40}),
        );
    }
    for added in 2..=version {
        routes.push(json!({"name": format!("added-{added}"), "host": AUTHORITY,
            "path_prefix": added_path(added), "kind": "idempotent", "service": CALLS,
            "max_attempts": 3, "timeout_ms": 3_000, "target_latency_ms": 150}));
    }
    json!({
        "version": version, "routes": routes,
        "services": [
            {"name": CALLS},
            {"name": ENGINES, "engine": {"slots": 8, "kv_capacity_tokens": 40_000, "stride": 1}},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1 << 20,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 10_000},
    })
}

/// Returns the path prefix of the route that `version` adds.
pub fn added_path(version: u64) -> String {
    format!("/added-{version}/")
}

/// Writes the operator's configuration at `version` to the store.
pub fn configure(store: &Store, version: u64) {
    let body = configuration(version);
    store.write(names::OPERATOR_TABLE, names::CONFIGURATION_KEY, &body);
}

/// Writes to the store that a trainer named `version` of `model`.
pub fn name_version(store: &Store, model: &str, version: u64) {
    let key = format!("{}{model}", names::VERSION_PREFIX);
    let body = json!({"model": model, "version": version});
    store.write(names::OPERATOR_TABLE, &key, &body);
}
