//! The cluster of a demo: stand-ins of the platform and hosts of the service.

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

/// The number of hosts of the service.
pub const HOST_COUNT: usize = 4;

/// The number of stewards, one of which holds the lease.
const STEWARD_COUNT: usize = 2;

/// The duration of the stewards' lease.
const LEASE_MS: u64 = 1_500;

/// The timeout of an order to an engine.
const ORDER_TIMEOUT_MS: u64 = 500;

/// The number of model engines.
pub const ENGINE_COUNT: usize = 6;

/// The number of plain services.
pub const SERVICE_COUNT: usize = 2;

/// The pool of the plain services.
pub const SERVICE_POOL: &str = "orders";

/// The key that authenticates operators.
pub const OPERATOR_TOKEN: &str = "operator-key-of-the-demo";

/// The secret shared by the hosts.
const FLEET_SECRET: &str = "fleet-secret-of-the-demo";

/// The grace period in which callers still arrive at a stopping host, because
/// the balancer is a client that picks hosts at random from its last readiness
/// check.
const GRACE_MS: u64 = 500;

/// The time without progress after which a connection counts as silent. A token
/// takes about a millisecond in the demo.
const SILENCE_TIMEOUT_MS: u64 = 1_000;

/// The maximum number of retries of a restart.
const MAX_RESTART_RETRIES: u32 = 40;

/// The delay before a restart is retried.
const RESTART_DELAY: Duration = Duration::from_millis(50);

/// The trainers' rows and their weights.
pub const ROWS: [(&str, f64); 3] = [("guides", 2.0), ("summaries", 1.0), ("menus", 1.0)];

/// The row of the callers to plain services.
pub const CALLER_ROW: &str = "coordinators";

/// The reason that a demo could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A stand-in could not be started.
    #[error("cannot start a stand-in: {0}")]
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
    /// The address of the table service is not valid.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The table could not be filled.
    #[error(transparent)]
    Edit(#[from] EditError),
}

/// The cluster of a demo.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-in for the table service.
    pub table: TableServiceStandin,
    /// The stand-in for the platform's host list.
    pub list: HostList,
    /// The stand-ins for the model engines.
    pub engines: Vec<Engine>,
    /// The stand-in for the platform's balancer in front of the hosts.
    pub balancer: Arc<Balancer>,
    /// The stand-ins for the plain services.
    pub services: Vec<Service>,
    /// The stewards, one of which holds the lease.
    pub stewards: Vec<Steward>,
    rapid_edits: AtomicBool,
    hosts: Mutex<Vec<Option<Running>>>,
    settings: Vec<Settings>,
}

impl Cluster {
    /// Starts the stand-ins, the hosts and the stewards.
    ///
    /// # Errors
    ///
    /// Fails if one of them cannot be started.
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
        let list = HostList::start(loopback(0), list_upstreams(&engines, &services)).await?;
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
            rapid_edits: AtomicBool::new(false),
            hosts: Mutex::new(hosts),
            settings,
        })
    }

    /// Switches the operators to rapid edits, for the rest of the demo.
    pub fn enable_rapid_edits(&self) {
        self.rapid_edits.store(true, Ordering::Relaxed);
    }

    /// Returns whether the operators make rapid edits.
    pub fn has_rapid_edits(&self) -> bool {
        self.rapid_edits.load(Ordering::Relaxed)
    }

    /// Returns the shared state of each running host.
    pub fn shared(&self) -> Vec<Shared> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts
            .iter()
            .flatten()
            .map(|host| host.shared().clone())
            .collect()
    }

    /// Returns the shared state of the host at `index`, or `None` if it does not
    /// run.
    pub fn host(&self, index: usize) -> Option<Shared> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[index].as_ref().map(|host| host.shared().clone())
    }

    /// Returns the URL of the table service.
    pub fn table_url(&self) -> &str {
        &self.settings[0].platform.table_service_url
    }

    /// Kills the host at `index`, as a crash would.
    pub async fn kill(&self, index: usize) {
        let host = self.take_host(index);
        // Dropping a host joins its threads, which must not block the other tasks.
        let _ = tokio::task::spawn_blocking(move || drop(host)).await;
    }

    /// Stops the host at `index` gracefully, and waits until it has ended.
    pub async fn stop(&self, index: usize) {
        let Some(running) = self.take_host(index) else {
            return;
        };
        let stopped = tokio::task::spawn_blocking(move || {
            running.wait(std::future::ready(Requester::Signal));
        });
        let _ = stopped.await;
    }

    fn take_host(&self, index: usize) -> Option<Running> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[index].take()
    }

    /// Restarts the host at `index` without any of its previous state.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot be started.
    pub async fn restart(&self, index: usize) -> Result<(), ClusterError> {
        let mut result = start_host(self.settings[index].clone()).await;
        for _ in 0..MAX_RESTART_RETRIES {
            if result.is_ok() {
                break;
            }
            // The threads of the previous incarnation may still hold its sockets.
            tokio::time::sleep(RESTART_DELAY).await;
            result = start_host(self.settings[index].clone()).await;
        }
        let host = result?;
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[index] = Some(host);
        Ok(())
    }
}

/// Starts a host on a blocking thread, because starting it spawns threads.
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

/// Returns list entries for all upstreams, each in the state live.
pub fn list_upstreams(engines: &[Engine], services: &[Service]) -> Vec<ListedUpstream> {
    let engines = engines.iter().enumerate().map(|(index, engine)| {
        list_entry(
            index,
            "engine",
            UpstreamKind::Engine,
            "base",
            engine.address(),
        )
    });
    let services = services.iter().enumerate().map(|(index, service)| {
        let kind = UpstreamKind::Service;
        list_entry(index, "service", kind, SERVICE_POOL, service.address())
    });
    engines.chain(services).collect()
}

fn list_entry(
    index: usize,
    name: &str,
    kind: UpstreamKind,
    pool: &str,
    address: SocketAddr,
) -> ListedUpstream {
    ListedUpstream {
        id: format!("{name}-{}", index + 1).into(),
        kind,
        pool: pool.into(),
        address,
        failure_domain: failure_domain(index).into(),
        state: UpstreamState::Live,
    }
}

/// Returns the failure domain of the host or upstream at `index`.
pub fn failure_domain(index: usize) -> String {
    format!("domain-{}", index % 3 + 1)
}

/// Returns the key of a row's trainers or callers.
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
    let mut all_settings = Vec::new();
    for index in 0..HOST_COUNT {
        let text = format!(
            "host:\n  id: entry-{}\n  region: demo\n  failure_domain: {}\n  \
             http_address: {}\n  peer_address: {}\nplatform:\n  \
             table_service_url: {}\n  host_list_url: http://{}/v1/hosts\n",
            index + 1,
            failure_domain(index),
            http[index],
            peers[index],
            table.url(),
            list.address(),
        );
        let mut settings = Settings::parse(&text)?;
        settings.seed_peers = peers.clone();
        settings.host.ordinal = u32::try_from(index).unwrap_or(0);
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
        all_settings.push(settings);
    }
    Ok(all_settings)
}

/// Returns addresses that are free now, one per host, because a host needs its
/// own address and those of its peers before it starts.
fn free_addresses() -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..HOST_COUNT)
        .map(|_| TcpListener::bind(loopback(0)))
        .collect::<Result<Vec<_>, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
