//! The parts of a demo: stand-ins of the platform, and hosts of the service.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _};

use super::steward::{Steward, StewardError};
use crate::{
    api::platform::ListedUpstream,
    control::{
        blackboard::{UpstreamKind, UpstreamState},
        controller::Rng,
    },
    entry::{Running, Shared, StartError},
    host::drain::Requester,
    ids::RowId,
    settings::{Settings, SettingsError},
    standin::{
        balancer::Balancer,
        engine::{self, Engine},
        host_list::HostList,
        service::Service,
        table_service::{MemoryTable, TableServiceStandin},
    },
    store::client::AddressError,
    table::{
        change::{Change, RowEdit},
        edit::{self, EditError},
    },
};

/// Hosts of the service.
pub const HOST_COUNT: usize = 4;

/// Stewards, of which one holds the lease.
const STEWARD_COUNT: usize = 2;

/// How long the lease holds.
const LEASE_MS: u64 = 1_500;

/// How long an order may be under way.
const ORDER_TIMEOUT_MS: u64 = 500;

/// Model engines.
pub const ENGINE_COUNT: usize = 6;

/// Plain services.
pub const SERVICE_COUNT: usize = 2;

/// The pool of the plain services.
pub const SERVICE_POOL: &str = "orders";

/// The key that operators show.
pub const OPERATOR_TOKEN: &str = "operator-key-of-the-demo";

/// The secret that the hosts share.
const FLEET_SECRET: &str = "fleet-secret-of-the-demo";

/// How long callers still arrive at a host that stops, here where the balancer
/// is a client that draws hosts at random.
const GRACE_MS: u64 = 500;

/// How long a connection may make no progress, where a token takes a millisecond.
const SILENCE_TIMEOUT_MS: u64 = 1_000;

/// How often a restart is tried.
const MAX_RESTART_TRIES: u32 = 40;

/// The time between two such tries.
const RESTART_DELAY: Duration = Duration::from_millis(50);

/// The rows of the demo with their weights.
pub const ROWS: [(&str, f64); 3] = [("guides", 2.0), ("summaries", 1.0), ("menus", 1.0)];

/// The row of the callers to plain services.
pub const CALLER_ROW: &str = "coordinators";

/// Why a demo could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A stand-in could not be started.
    #[error("starting a stand-in: {0}")]
    Standin(#[from] io::Error),
    /// A host could not be started.
    #[error(transparent)]
    Host(#[from] StartError),
    /// The settings of a host are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A steward could not be started.
    #[error(transparent)]
    Steward(#[from] StewardError),
    /// The table service's address is not valid.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The table could not be filled.
    #[error(transparent)]
    Edit(#[from] EditError),
}

/// All parts of a demo.
#[derive(Debug)]
pub struct Cluster {
    /// The table service.
    pub table: TableServiceStandin,
    /// The platform's list.
    pub list: HostList,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The platform's balancer before the hosts.
    pub balancer: Arc<Balancer>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The stewards, one of which holds the lease.
    pub stewards: Vec<Steward>,
    editors_hastened: AtomicBool,
    hosts: Mutex<Vec<Option<Running>>>,
    settings: Vec<Settings>,
}

impl Cluster {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// Fails where a part cannot be started.
    pub async fn start(seed: u64) -> Result<Self, ClusterError> {
        let mut rng = Rng::seed_from_u64(seed);
        let table = TableServiceStandin::start(MemoryTable::default()).await?;
        fill_table(table.table(), &mut rng).await?;
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            let config = engine::Config {
                token_time: Duration::from_micros(rng.random_range(800..1600)),
                ..engine::Config::default()
            };
            engines.push(Engine::start(config).await?);
        }
        let mut services = Vec::new();
        for _ in 0..SERVICE_COUNT {
            services.push(Service::start(loopback(0)).await?);
        }
        let list = HostList::start(loopback(0), listing(&engines, &services)).await?;
        let settings = host_settings(&table, &list)?;
        let mut hosts = Vec::new();
        for settings in &settings {
            hosts.push(Some(start_host(settings.clone()).await?));
        }
        let mut stewards = Vec::new();
        for (settings, number) in settings.iter().zip(0..).take(STEWARD_COUNT) {
            stewards.push(Steward::start(settings.clone(), seed ^ number)?);
        }
        let addresses = settings.iter().map(|settings| settings.host.http_address);
        Ok(Self {
            balancer: Balancer::start(addresses.collect()),
            table,
            list,
            engines,
            services,
            stewards,
            editors_hastened: AtomicBool::new(false),
            hosts: Mutex::new(hosts),
            settings,
        })
    }

    /// Has the operators edit without a pause from now on.
    pub fn hasten_edits(&self) {
        self.editors_hastened.store(true, Ordering::Relaxed);
    }

    /// Says whether the operators edit without a pause.
    pub fn are_edits_hastened(&self) -> bool {
        self.editors_hastened.load(Ordering::Relaxed)
    }

    /// Returns what the running hosts share with their threads.
    pub fn shared(&self) -> Vec<Shared> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts
            .iter()
            .flatten()
            .map(|host| host.shared().clone())
            .collect()
    }

    /// Returns what the host at `place` shares with its threads, while it runs.
    pub fn host(&self, place: usize) -> Option<Shared> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[place].as_ref().map(|host| host.shared().clone())
    }

    /// Returns the address of the table service's stand-in.
    pub fn table_url(&self) -> &str {
        &self.settings[0].platform.table_service_url
    }

    /// Kills the host at `place`, as a crash would.
    pub async fn kill(&self, place: usize) {
        let killed = self.take(place);
        // A host ends threads of its own, which must not hold up the others.
        let _ = tokio::task::spawn_blocking(move || drop(killed)).await;
    }

    /// Stops the host at `place` as planned, and waits until it has ended.
    pub async fn stop(&self, place: usize) {
        let Some(running) = self.take(place) else {
            return;
        };
        let stopped = tokio::task::spawn_blocking(move || {
            running.wait(std::future::ready(Requester::Signal));
        });
        let _ = stopped.await;
    }

    fn take(&self, place: usize) -> Option<Running> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[place].take()
    }

    /// Starts the host at `place` anew, with nothing kept.
    ///
    /// # Errors
    ///
    /// Fails where the host cannot be started.
    pub async fn restart(&self, place: usize) -> Result<(), ClusterError> {
        let mut started = start_host(self.settings[place].clone()).await;
        for _ in 0..MAX_RESTART_TRIES {
            if started.is_ok() {
                break;
            }
            // The threads of the earlier life still close its sockets.
            tokio::time::sleep(RESTART_DELAY).await;
            started = start_host(self.settings[place].clone()).await;
        }
        let started = started?;
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[place] = Some(started);
        Ok(())
    }
}

/// Starts a host off the async threads, since it starts threads of its own.
async fn start_host(settings: Settings) -> Result<Running, ClusterError> {
    let started = tokio::task::spawn_blocking(move || Running::start(settings)).await;
    Ok(started.map_err(io::Error::other)??)
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

async fn fill_table(table: &MemoryTable, rng: &mut Rng) -> Result<(), ClusterError> {
    let mut change = Change::new("demo-rows", "demo", 0);
    for (row, weight_ratio) in ROWS {
        let cells = [("weight_ratio".to_owned(), weight_ratio.into())];
        change = change.edit(RowEdit::set(row, 0, cells.into_iter().collect()));
    }
    change = change.edit(RowEdit::set(CALLER_ROW, 0, serde_json::Map::new()));
    edit::apply(table, &change, rng).await?;
    Ok(())
}

/// Lists all upstreams as live.
pub fn listing(engines: &[Engine], services: &[Service]) -> Vec<ListedUpstream> {
    let engines = engines.iter().enumerate().map(|(place, engine)| {
        listed(
            place,
            "engine",
            UpstreamKind::Engine,
            "base",
            engine.address(),
        )
    });
    let services = services.iter().enumerate().map(|(place, service)| {
        let kind = UpstreamKind::Service;
        listed(place, "service", kind, SERVICE_POOL, service.address())
    });
    engines.chain(services).collect()
}

fn listed(
    place: usize,
    name: &str,
    kind: UpstreamKind,
    pool: &str,
    address: SocketAddr,
) -> ListedUpstream {
    ListedUpstream {
        id: format!("{name}-{}", place + 1).into(),
        kind,
        pool: pool.into(),
        address,
        failure_domain: domain(place).into(),
        state: UpstreamState::Live,
    }
}

/// Returns the failure domain of the part at `place`.
pub fn domain(place: usize) -> String {
    format!("domain-{}", place % 3 + 1)
}

/// Returns the key of a row's trainer or member.
pub fn row_token(row: &str) -> String {
    format!("{row}-key-of-the-demo")
}

fn host_settings(
    table: &TableServiceStandin,
    list: &HostList,
) -> Result<Vec<Settings>, ClusterError> {
    let http = free_addresses()?;
    let peers = free_addresses()?;
    let rows = ROWS.iter().map(|(row, _)| *row).chain([CALLER_ROW]);
    let row_keys = rows
        .map(|row| (RowId::from(row), row_token(row)))
        .collect::<BTreeMap<_, _>>();
    let mut all = Vec::new();
    for place in 0..HOST_COUNT {
        let text = format!(
            "host:\n  id: entry-{}\n  region: demo\n  failure_domain: {}\n  \
             http_address: {}\n  peer_address: {}\nplatform:\n  \
             table_service_url: {}\n  host_list_url: http://{}/v1/hosts\n",
            place + 1,
            domain(place),
            http[place],
            peers[place],
            table.url(),
            list.address(),
        );
        let mut settings = Settings::parse(&text)?;
        settings.seed_peers = peers.clone();
        settings.host.ordinal = u32::try_from(place).unwrap_or(0);
        settings.limits.max_hosts_count = HOST_COUNT as u32;
        settings.steward.lease_ms = LEASE_MS;
        settings.steward.order_timeout_ms = ORDER_TIMEOUT_MS;
        settings.steward.capacity_floor_ratio = 0.5;
        settings.steward.max_rate_loads_per_s = 100.0;
        settings.drain.grace_ms = GRACE_MS;
        settings.limits.silence_timeout_ms = SILENCE_TIMEOUT_MS;
        settings.keys.fleet = FLEET_SECRET.to_owned();
        settings.keys.rows = row_keys.clone();
        settings
            .keys
            .operators
            .insert("demo".to_owned(), OPERATOR_TOKEN.to_owned());
        all.push(settings);
    }
    Ok(all)
}

/// Finds addresses that are free now, since a host needs to know its own and
/// its peers' before it starts.
fn free_addresses() -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..HOST_COUNT)
        .map(|_| TcpListener::bind(loopback(0)))
        .collect::<Result<Vec<_>, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
