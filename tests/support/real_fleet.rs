//! Real entry hosts on the loopback interface that read the table from a stand-in
//! of the table service.

use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use mimosavane::{
    control::{blackboard::TableStanding, controller::Rng},
    entry::Running,
    ids::Revision,
    settings::Settings,
    standin::table_service::{MemoryTable, TableServiceStandin},
    table::{
        change::{Change, RowEdit},
        edit,
    },
};
use rand::SeedableRng as _;

/// The key of the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test";

/// The interval at which the hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Hosts and their store, on a separate runtime.
pub struct RealFleet {
    pub store: MemoryTable,
    pub hosts: Vec<Option<Running>>,
    settings: Vec<Settings>,
    runtime: tokio::runtime::Runtime,
    _standin: TableServiceStandin,
    change_count: u64,
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
        .collect();
    let address =
        |listener: &TcpListener| listener.local_addr().expect("the listener has an address");
    listeners.iter().map(address).collect()
}

impl RealFleet {
    pub fn start(hosts_count: usize) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        let store = MemoryTable::default();
        let standin = runtime
            .block_on(TableServiceStandin::start(store.clone()))
            .expect("the stand-in starts");
        let (http, peers) = (free_addresses(hosts_count), free_addresses(hosts_count));
        let settings = (0..hosts_count).map(|number| {
            let text = format!(
                "{{host: {{id: entry-{number}, region: r, failure_domain: f, \
                 http_address: '{}', peer_address: '{}'}}, \
                 platform: {{table_service_url: '{}'}}, \
                 keys: {{fleet: fleet-secret-of-the-test, \
                 operators: {{ana: {OPERATOR_KEY}}}}}}}",
                http[number],
                peers[number],
                standin.url()
            );
            let mut settings = Settings::parse(&text).expect("the settings are valid");
            settings.seed_peers.clone_from(&peers);
            settings
        });
        let settings: Vec<_> = settings.collect();
        let mut fleet = Self {
            store,
            hosts: (0..hosts_count).map(|_| None).collect(),
            settings,
            runtime,
            _standin: standin,
            change_count: 0,
        };
        fleet.change();
        (0..hosts_count).for_each(|number| fleet.start_host(number));
        fleet
    }

    pub fn start_host(&mut self, number: usize) {
        let deadline = Instant::now() + Duration::from_secs(10);
        let started = loop {
            match Running::start(self.settings[number].clone()) {
                Err(_) if Instant::now() < deadline => std::thread::sleep(POLL_INTERVAL * 25),
                started => break started.expect("the host starts"),
            }
        };
        self.hosts[number] = Some(started);
    }

    pub fn kill_host(&mut self, number: usize) {
        self.hosts[number] = None;
    }

    /// Returns the settings of a host.
    pub fn settings(&self, number: usize) -> &Settings {
        &self.settings[number]
    }

    /// Applies a change to the table, and returns its revision.
    pub fn change(&mut self) -> Revision {
        self.change_count += 1;
        let base_version = self.change_count - 1;
        let weight_ratio = 1.0 + self.change_count as f64;
        let cells = [("weight_ratio".to_owned(), weight_ratio.into())];
        let edit = RowEdit::set("guides", base_version, cells.into_iter().collect());
        let change = Change::new(format!("c-{}", self.change_count), "ana", 0).edit(edit);
        let mut rng = Rng::seed_from_u64(self.change_count);
        let accepted = edit::apply(&self.store, &change, &mut rng);
        let accepted = self.runtime.block_on(accepted);
        accepted.expect("the change is accepted").revision
    }

    /// Waits until all running hosts have `revision` in force, and returns how
    /// long that took, or `None` after `timeout`.
    pub fn wait_for(&self, revision: Revision, timeout: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let is_in_force = |host: &Running| {
                let board = host.shared().snapshot.load();
                let is_current = board.rows.standing == TableStanding::Current;
                is_current && board.rows.revision >= revision
            };
            if self.hosts.iter().flatten().all(is_in_force) {
                return Some(started_at.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }
}
