//! Servers of two versions of their software serve side by side. One of those with the older
//! version is upgraded in place: it ends, and starts again under its id with the newer one. A
//! stream that began at one version must not go on at the other.

use std::{
    cell::RefCell, collections::BTreeMap, collections::BTreeSet, net::SocketAddr,
    process::ExitCode, rc::Rc, time::Duration,
};

use anyhow::{Result, ensure};
use review_standin::{
    AUTHORITY, Network,
    client::{self, Failure},
    has_trouble,
    hosts::Hosts,
    jobs,
    record::Record,
    run_case,
    upstream::{Arrivals, Server, Setup},
};
use serde_json::json;
use tokio::{task::spawn_local, time::sleep};

const HOST_COUNT: u8 = 3;
const SERVER_COUNT: u8 = 6;

/// How many of them have the older version at first.
const OLDER_COUNT: u8 = 2;

const SLOT_COUNT: usize = 6;

/// How many streams are open at any time: all slots but two.
const STREAM_COUNT: usize = SERVER_COUNT as usize * SLOT_COUNT - 2;

/// The number of events of a stream.
const EVENT_COUNT: u64 = 100;

/// The time between two events.
const EVENT_MS: u64 = 60;

/// How long a server is down for its upgrade.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// How long streams run before the upgrade, and after it.
const SERVE_TIME: Duration = Duration::from_secs(14);

/// The time that a client gives a stream.
const STREAM_TIME: Duration = Duration::from_millis(12_000);

/// The pause before a client takes up a stream that broke off.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// How many streams may hold events of two versions.
const MAX_MIXED_COUNT: usize = 2;

type Mixed = Rc<RefCell<BTreeSet<String>>>;

fn main() -> ExitCode {
    run_case(run)
}

async fn run(record: Rc<Record>) -> Result<bool> {
    let network = Network::choose();
    let (store, store_address) = network.store().await?;
    let route = json!({"name": "r-talk", "host": AUTHORITY, "path_prefix": "/talk/",
        "kind": "streaming", "resumable": true, "timeout_ms": 10_000, "target_latency_ms": 400,
        "priority": 1, "service": "talk", "max_attempts": 3});
    let service = json!({"name": "talk", "health_path": "/health", "max_connections": 96,
        "protocol": "h1", "tls": false});
    store.write("op", "config", &jobs::configuration(&[route], &[service]));
    let arrivals = Arrivals::default();
    let setup = |number: u8, software: &str| Setup {
        id: format!("i-{number}"),
        number,
        service: "talk",
        slot_count: SLOT_COUNT,
        software: software.to_owned(),
        models: BTreeMap::new(),
    };
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let software = if number < OLDER_COUNT { "v1" } else { "v2" };
        servers.push(
            Server::start(network, setup(number, software), &store, &record, &arrivals).await?,
        );
        sleep(Duration::from_millis(200)).await;
    }
    let hosts = Hosts::start(network, HOST_COUNT, store_address, &record).await?;
    let addresses: Vec<SocketAddr> = hosts.all.iter().map(|host| host.clients).collect();
    sleep(Duration::from_secs(3)).await;
    let mixed = Mixed::default();
    for number in 0..STREAM_COUNT {
        let (record, addresses, mixed) = (record.clone(), addresses.clone(), mixed.clone());
        spawn_local(async move {
            for round in 0.. {
                let name = format!("s{number}x{round}");
                follow(&record, &addresses, number + round, &name, &mixed).await;
                sleep(RESUME_DELAY).await;
            }
        });
    }
    sleep(SERVE_TIME).await;
    if has_trouble() {
        record.add("trouble", format!("{} is upgraded", servers[0].setup.id));
        servers[0].crash();
        sleep(DOWN_TIME).await;
        servers[0] = Server::start(network, setup(0, "v2"), &store, &record, &arrivals).await?;
    }
    sleep(SERVE_TIME).await;
    let mixed = mixed.borrow();
    record.add("result", format!("{} streams of two versions", mixed.len()));
    ensure!(!arrivals.borrow().is_empty(), "no stream has run");
    Ok(mixed.len() <= MAX_MIXED_COUNT)
}

/// Opens a stream and takes it up whenever it breaks off.
async fn follow(
    record: &Record,
    addresses: &[SocketAddr],
    first: usize,
    name: &str,
    mixed: &Mixed,
) {
    let begun_at = record.now();
    let mut begun: Option<String> = None;
    let mut last_event = 0_u64;
    let mut versions: BTreeSet<String> = BTreeSet::new();
    for attempt in 0.. {
        let time_left = STREAM_TIME.saturating_sub(record.now().saturating_sub(begun_at));
        if last_event >= EVENT_COUNT || time_left < Duration::from_millis(100) {
            break;
        }
        let id = format!("{name}a{attempt}");
        let deadline = time_left.as_millis().to_string();
        let last = last_event.to_string();
        let mut headers = vec![("attempt-id", &*id), ("deadline-ms", &*deadline)];
        if let Some(begun) = &begun {
            headers.push(("last-event-id", &*last));
            headers.push(("resumes", &**begun));
        }
        let body = json!({"events": EVENT_COUNT, "event_ms": EVENT_MS, "first_ms": 20});
        let address = addresses[(first + attempt) % addresses.len()];
        let result = client::send(address, "POST", "/talk/a", &headers, body.to_string()).await;
        let body = match &result {
            Ok(answer) if answer.status == 200 => answer.body.clone(),
            Err(Failure::Cut(200, body)) => body.clone(),
            _ => Default::default(),
        };
        let before = last_event;
        // The last part is an event that broke off, or empty.
        let text = String::from_utf8_lossy(&body).into_owned();
        let (events, _) = text.rsplit_once("\n\n").unwrap_or_default();
        for event in events.split("\n\n").filter(|event| !event.is_empty()) {
            let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
                continue;
            };
            let mut words = data.split(' ').skip(1);
            last_event = words
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(last_event);
            versions.insert(words.next().unwrap_or_default().to_owned());
        }
        if begun.is_none() && last_event > 0 {
            begun = Some(id.clone());
        }
        let is_refused = matches!(&result, Ok(answer) if answer.status == 503);
        if !is_refused || last_event > 0 {
            record.add(
                "stream",
                format!(
                    "{id} at {address} after {before}: {}, to {last_event}, {versions:?}",
                    client::describe(&result)
                ),
            );
        }
        if versions.len() > 1 && mixed.borrow_mut().insert(name.to_owned()) {
            record.add("broken", format!("{name} holds events of {versions:?}"));
        }
        let retry_after = match &result {
            Ok(answer) if is_refused => answer.header("retry-after").parse().ok(),
            _ => None,
        };
        sleep(retry_after.map_or(RESUME_DELAY, Duration::from_secs_f64)).await;
    }
}
