//! Tests of stewards that give orders to stand-in engines over sockets.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mimosavane::{
    api::platform::ListedUpstream,
    control::blackboard::{UpstreamKind, UpstreamState},
    settings::Settings,
    standin::{
        engine::{Config, Engine},
        host_list::HostList,
        table_service::MemoryTable,
    },
    store::{RecordKey, TableService, Transaction},
    weights::steward,
};
use tokio::{sync::oneshot, task::JoinHandle, time::sleep};

/// Far longer than a rollout takes, so that a busy machine does not fail the
/// tests.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(60);

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

struct Running {
    stop: oneshot::Sender<()>,
    done: JoinHandle<()>,
}

fn start(name: &str, list: &HostList, table: &MemoryTable) -> Running {
    let text = format!(
        "
host: {{id: {name}, region: hu, failure_domain: hu-a,
       http_address: 127.0.0.1:1, peer_address: 127.0.0.1:2}}
platform:
  table_service_url: http://127.0.0.1:3
  host_list_url: http://{}/
steward: {{lease_ms: 3000, order_timeout_ms: 500, capacity_floor_ratio: 0.5}}
",
        list.address()
    );
    let settings = Settings::parse(&text).unwrap();
    let (stop, stopped) = oneshot::channel();
    let done = tokio::spawn(steward::run(settings, table.clone(), async {
        let _ = stopped.await;
    }));
    Running { stop, done }
}

async fn engine(checks_fences: bool) -> Engine {
    let config = Config {
        checks_fences,
        ..Config::default()
    };
    Engine::start(config).await.unwrap()
}

fn listed(engines: &[Engine]) -> Vec<ListedUpstream> {
    let entries = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| ListedUpstream {
            id: format!("engine-{index}").into(),
            kind: UpstreamKind::Engine,
            pool: "guide".into(),
            address: engine.address(),
            failure_domain: "hu-a".into(),
            state: UpstreamState::Live,
        });
    entries.collect()
}

async fn want(table: &MemoryTable, version: u64) {
    let name = RecordKey::new("weights", "guide");
    let value = serde_json::json!({"version": version});
    let transaction = Transaction::default().put(name, value);
    table.commit(transaction).await.unwrap();
}

async fn wait_for(engines: &[Engine], version: u64) {
    let begun = Instant::now();
    while engines
        .iter()
        .any(|engine| engine.weight_version() != version)
    {
        assert!(
            begun.elapsed() < ROLLOUT_TIMEOUT,
            "some engine does not run version {version}"
        );
        sleep(Duration::from_millis(20)).await;
    }
    println!("version {version} after {:?}", begun.elapsed());
}

#[tokio::test]
async fn rollout_and_hand_over() {
    let engines = [engine(true).await, engine(false).await, engine(true).await];
    let list = HostList::start(ANY_PORT, listed(&engines)).await.unwrap();
    let table = MemoryTable::default();
    let first = start("entry-1", &list, &table);
    want(&table, 2).await;
    wait_for(&engines, 2).await;

    // A load that fails halfway is detected and ordered again.
    let second = start("entry-2", &list, &table);
    engines[0].fail_next_load();
    want(&table, 3).await;
    wait_for(&engines, 3).await;

    // A steward that stops releases its leases, and the other one continues.
    first.stop.send(()).unwrap();
    first.done.await.unwrap();
    want(&table, 4).await;
    wait_for(&engines, 4).await;

    // After a steward dies, the next one waits until its leases expire.
    second.done.abort();
    let third = start("entry-3", &list, &table);
    want(&table, 5).await;
    wait_for(&engines, 5).await;
    third.stop.send(()).unwrap();
    third.done.await.unwrap();
}

#[tokio::test]
async fn store_outage() {
    let engines = [engine(true).await, engine(true).await];
    let list = HostList::start(ANY_PORT, listed(&engines)).await.unwrap();
    let table = MemoryTable::default();
    let running = start("entry-1", &list, &table);
    want(&table, 2).await;
    wait_for(&engines, 2).await;
    table.set_down(true);
    sleep(Duration::from_secs(4)).await;
    table.set_down(false);
    want(&table, 3).await;
    wait_for(&engines, 3).await;
    running.stop.send(()).unwrap();
    running.done.await.unwrap();
}
