//! A planned stop of a host with open connections of clients. A request that the host reads
//! and passes on must get its whole answer, also if it was sent later than 3 s after SIGTERM.

use std::{cell::RefCell, collections::BTreeMap, process::ExitCode, rc::Rc, time::Duration};

use anyhow::{Result, ensure};
use nix::sys::signal::Signal;
use review_standin::{
    AUTHORITY, Network,
    client::{self, Answer, Connection, Failure},
    has_trouble,
    hosts::Hosts,
    jobs,
    record::Record,
    run_case,
    upstream::{Arrivals, Server, Setup},
};
use serde_json::json;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

const HOST_COUNT: u8 = 3;
const SERVER_COUNT: u8 = 2;

/// When clients send their requests, after SIGTERM.
const SEND_TIMES_MS: [u64; 4] = [3_050, 3_150, 3_250, 3_350];

/// How long the server works on each request: all of them could end within the grace.
const WORK_MS: u64 = 4_300;

/// The time until which the host must have ended, `grace_s`.
const GRACE: Duration = Duration::from_secs(8);

fn main() -> ExitCode {
    run_case(run)
}

async fn run(record: Rc<Record>) -> Result<bool> {
    let network = Network::choose();
    let (store, store_address) = network.store().await?;
    let route = |name: &str, path: &str, kind: &str| {
        json!({"name": name, "host": AUTHORITY, "path_prefix": path, "kind": kind,
            "timeout_ms": 10_000, "target_latency_ms": 400, "priority": 1, "service": "app",
            "max_attempts": 2})
    };
    let routes = [
        route("r-sign", "/sign/", "non_idempotent"),
        route("r-talk", "/talk/", "streaming"),
    ];
    let service = json!({"name": "app", "health_path": "/health", "max_connections": 96,
        "protocol": "h1", "tls": false});
    store.write("op", "config", &jobs::configuration(&routes, &[service]));
    let arrivals = Arrivals::default();
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let setup = Setup {
            id: format!("i-{number}"),
            number,
            service: "app",
            slot_count: 6,
            software: "v1".to_owned(),
            models: BTreeMap::new(),
        };
        servers.push(Server::start(network, setup, &store, &record, &arrivals).await?);
    }
    let hosts = Hosts::start(network, HOST_COUNT, store_address, &record).await?;
    let host = hosts.all[0].clone();
    sleep(Duration::from_secs(2)).await;
    // Each client has used its connection once before.
    let mut connections = Vec::new();
    for number in 0..SEND_TIMES_MS.len() {
        let mut connection = Connection::open(host.clients)
            .await
            .map_err(|failure| anyhow::anyhow!("connecting: {failure}"))?;
        let id = format!("first-{number}");
        let headers = [("attempt-id", &*id), ("deadline-ms", "2000")];
        let answer = connection
            .send("POST", "/sign/a", &headers, r#"{"work_ms":20}"#)
            .await;
        let text = format!("{id} to {}: {}", host.name, client::describe(&answer));
        record.add("answer", text);
        ensure!(answer.is_ok_and(|answer| answer.status == 200), "no answer");
        connections.push(connection);
    }
    sleep(Duration::from_millis(500)).await;
    let stopped_at = Instant::now();
    if has_trouble() {
        record.add("trouble", format!("SIGTERM to {}", host.name));
        host.signal(Signal::SIGTERM)?;
    }
    let results: Rc<RefCell<Vec<(String, Result<Answer, Failure>)>>> = Rc::default();
    for (number, (mut connection, send_ms)) in
        connections.into_iter().zip(SEND_TIMES_MS).enumerate()
    {
        let (record, results) = (record.clone(), results.clone());
        spawn_local(async move {
            sleep_until(stopped_at + Duration::from_millis(send_ms)).await;
            let id = format!("long-{number}");
            let headers = [("attempt-id", &*id), ("deadline-ms", "12000")];
            record.add("send", format!("{id}, {send_ms} ms after SIGTERM"));
            let (path, work) = match number % 2 {
                0 => ("/sign/a", json!({"work_ms": WORK_MS})),
                _ => (
                    "/talk/a",
                    json!({"events": 100, "event_ms": WORK_MS / 100, "first_ms": 20}),
                ),
            };
            let result = connection
                .send("POST", path, &headers, work.to_string())
                .await;
            record.add("answer", format!("{id}: {}", client::describe(&result)));
            results.borrow_mut().push((id, result));
        });
    }
    sleep_until(stopped_at + GRACE).await;
    record.add(
        "host",
        format!("{} has ended: {}", host.name, host.has_ended()),
    );
    sleep(Duration::from_secs(2)).await;
    ensure!(
        results.borrow().len() == SEND_TIMES_MS.len(),
        "a request has no result"
    );
    let mut is_kept = true;
    for (id, result) in results.borrow().iter() {
        let has_run = arrivals
            .borrow()
            .iter()
            .any(|arrival| arrival.id == *id && arrival.has_run.get());
        let is_cut = matches!(result, Err(Failure::NoAnswer | Failure::Cut(..)));
        if has_run && is_cut {
            is_kept = false;
            record.add("broken", format!("{id} was passed on, and then cut"));
        }
    }
    Ok(is_kept)
}
