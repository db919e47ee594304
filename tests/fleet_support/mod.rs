//! Whole hosts of the platform's fleet, each on a thread of its own, with stand-ins of
//! the store and the upstreams.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]
#![allow(dead_code, reason = "each test uses a part")]

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, thread::JoinHandle,
    time::Duration,
};

use mimosavane::{
    ingress::{
        detour::FallbackStore,
        host::{DutySettings, Host, HostSettings},
        metrics::Exposition,
    },
    observe::telemetry::Metrics,
    platform::{
        PlatformWire,
        standin::{self, Client, Engine, EngineRole, Keyring, Record, ReservedAddress, Store},
        store::PlatformStore,
    },
};
use tokio::{
    runtime,
    sync::oneshot,
    task::LocalSet,
    time::{sleep, timeout},
};

use crate::pause_support::{PlayDeadline, run_paused};

/// How long hosts may take to become ready, besides the time for which they are paused.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The time without an answer after which a host counts as paused.
const PAUSE_SIGN: Duration = Duration::from_millis(300);

/// What a deployment with accounts has.
#[derive(Clone, Default)]
pub struct Deployment {
    pub keyring: Option<Keyring>,
    pub revocation_bound: Option<Duration>,
    pub duties: Option<DutySettings>,
}

/// One host.
pub struct FleetHost {
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    _reserved: [ReservedAddress; 3],
    /// For how long the thread is paused in all.
    pause_time: Duration,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Hosts, their store and their upstreams.
pub struct Fleet {
    pub hosts: Vec<FleetHost>,
    pub store: Store,
    /// The store as each host sees it.
    pub host_stores: Vec<Store>,
    store_addresses: Vec<SocketAddr>,
    pub upstreams: Vec<Rc<Engine>>,
    pub record: Rc<RefCell<Record>>,
    deployment: Deployment,
}

impl FleetHost {
    /// Starts a host that reaches the store at `store`. Its thread is paused for the
    /// given times before the polls with these numbers.
    pub fn start(
        name: String,
        store: SocketAddr,
        pauses: BTreeMap<usize, Duration>,
        deployment: &Deployment,
    ) -> Self {
        let reserved = std::array::from_fn(|_| ReservedAddress::new().unwrap());
        let [clients, ready, relay] = reserved.each_ref().map(|reserved| reserved.address);
        let settings = HostSettings {
            host: name.into(),
            failure_domain: "zone-a".into(),
            client_address: clients,
            ready_address: ready,
            metrics_address: None,
            relay_address: Some(relay),
            store_address: store,
            stop_grace: Duration::from_secs(2),
            order_quiet: Duration::from_secs(3),
            result_ttl: Duration::from_secs(120),
            memory_limit_mb: 340,
            cpu_share_ratio: 0.5,
            max_fd_count: 4_096,
            revocation_bound: deployment.revocation_bound,
            duties: deployment.duties.clone(),
        };
        let pause_time = pauses.values().sum();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            let exposition = Exposition::default();
            let metrics = Metrics::with_sink(exposition.clone());
            let name = settings.host.clone();
            let host = Host::<_, PlatformWire>::with_store(settings, metrics, exposition, |pool| {
                FallbackStore::new(PlatformStore::new(pool, store), name, Some(relay))
            });
            // The test ends a host by a message, or by dropping the sender.
            let process = host.run(async { drop(stopped.await) });
            runtime.block_on(run_paused(process, pauses)).unwrap();
        });
        Self {
            clients,
            ready,
            _reserved: reserved,
            pause_time,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Asks the host to stop as planned.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until the host does not answer, since its thread is paused.
    pub async fn wait_until_paused(&self, patience: Duration) {
        let is_paused = async {
            loop {
                let asked = Client::send_once(self.ready, async |client| client.ready().await);
                if timeout(PAUSE_SIGN, asked).await.is_err() {
                    return;
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(patience, is_paused).await.unwrap();
    }

    pub async fn wait_until_ready(&self) {
        let deadline = PlayDeadline::after(self.pause_time + READY_TIMEOUT);
        loop {
            let answer = Client::send_once(self.ready, async |client| client.ready().await).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            assert!(!deadline.has_passed(), "the host is not ready in time");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.stop();
        }
        for host in &mut self.hosts {
            if let Some(thread) = host.thread.take() {
                // A host that panicked has failed the test by its silence.
                drop(thread.join());
            }
        }
    }
}

impl Fleet {
    /// Starts `host_count` hosts and `upstream_count` upstreams that answer calls, and
    /// waits until the hosts are ready.
    pub async fn start(host_count: usize, upstream_count: usize) -> Self {
        let pauses = vec![BTreeMap::new(); host_count];
        Self::start_paused(pauses, upstream_count, 0).await
    }

    /// Starts a host for each entry of `pauses`, upstreams that answer calls and engines,
    /// and waits until the hosts are ready.
    pub async fn start_paused(
        pauses: Vec<BTreeMap<usize, Duration>>,
        upstream_count: usize,
        engine_count: usize,
    ) -> Self {
        Self::start_as(pauses, upstream_count, engine_count, Deployment::default()).await
    }

    /// Starts a fleet like [`Fleet::start_paused`] in `deployment`.
    pub async fn start_as(
        pauses: Vec<BTreeMap<usize, Duration>>,
        upstream_count: usize,
        engine_count: usize,
        deployment: Deployment,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Store::start(listener);
        let mut host_stores = Vec::new();
        let mut store_addresses = Vec::new();
        for _ in &pauses {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            store_addresses.push(listener.local_addr().unwrap());
            host_stores.push(store.serve_apart(listener));
        }
        match &deployment.keyring {
            Some(keyring) => keyring.configure(&store, 1),
            None => standin::configure(&store, 1),
        }
        let record: Rc<RefCell<Record>> = Rc::default();
        let mut upstreams = Vec::new();
        for number in 0..upstream_count + engine_count {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (role, versions) = match number < upstream_count {
                true => (EngineRole::Answers, BTreeMap::new()),
                false => (EngineRole::Generates, Engine::first_versions()),
            };
            upstreams.push(Engine::start(
                format!("i-{number}"),
                role,
                listener,
                address,
                versions,
                store.clone(),
                record.clone(),
            ));
        }
        let hosts: Vec<FleetHost> = pauses
            .into_iter()
            .enumerate()
            .map(|(number, pauses)| {
                let name = format!("entry-{number}");
                FleetHost::start(name, store_addresses[number], pauses, &deployment)
            })
            .collect();
        for host in &hosts {
            host.wait_until_ready().await;
        }
        Self {
            hosts,
            store,
            host_stores,
            store_addresses,
            upstreams,
            record,
            deployment,
        }
    }

    /// Adds an engine of `software_version`.
    pub async fn add_engine(&mut self, software_version: &str) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let engine = Engine::start(
            format!("i-{}", self.upstreams.len()),
            EngineRole::Generates,
            listener,
            address,
            Engine::first_versions(),
            self.store.clone(),
            self.record.clone(),
        );
        engine.set_software_version(software_version);
        self.upstreams.push(engine);
    }

    /// Ends all hosts and starts as many new ones under the same names.
    pub async fn restart_hosts(&mut self) {
        let host_count = self.hosts.len();
        for host in &mut self.hosts {
            host.stop();
        }
        for host in self.hosts.drain(..) {
            host.thread.unwrap().join().unwrap();
        }
        let addresses = &self.store_addresses;
        self.hosts = (0..host_count)
            .map(|number| {
                FleetHost::start(
                    format!("entry-{number}"),
                    addresses[number],
                    BTreeMap::new(),
                    &self.deployment,
                )
            })
            .collect();
        for host in &self.hosts {
            host.wait_until_ready().await;
        }
    }

    /// Returns how many of the counted things the record has seen.
    pub fn count(&self, what: &str) -> u64 {
        self.record
            .borrow()
            .counts()
            .get(what)
            .copied()
            .unwrap_or(0)
    }
}

/// Runs `test` on one thread. The hosts' log lines are printed if it fails.
pub fn run(test: impl Future<Output = ()>) {
    // Tests of one file share the subscriber.
    drop(
        tracing_subscriber::fmt()
            .json()
            .with_test_writer()
            .try_init(),
    );
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}
