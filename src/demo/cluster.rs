//! The parts of a demo: stand-ins of the platform, and hosts of the service.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _};

use crate::{
    blackboard::{UpstreamKind, UpstreamState},
    change::{Change, RowEdit},
    controller::Rng,
    edit::{self, EditError},
    entry::{Running, StartError},
    ids::RowId,
    platform_api::Listed,
    settings::{Settings, SettingsError},
    standin::{
        engine::{self, Engine},
        host_list::HostList,
        service::Service,
        table_service::{MemoryTable, TableServiceStandin},
    },
};

/// Hosts of the service.
pub const HOST_COUNT: usize = 4;

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
    /// The plain services.
    pub services: Vec<Service>,
    /// The hosts; one that was killed is `None`.
    pub hosts: Vec<Option<Running>>,
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
        Ok(Self {
            table,
            list,
            engines,
            services,
            hosts,
            settings,
        })
    }

    /// Returns where the hosts answer callers, as the balancer knows them.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.settings
            .iter()
            .map(|settings| settings.host.http_address)
            .collect()
    }

    /// Starts the host at `place` anew, with nothing kept.
    ///
    /// # Errors
    ///
    /// Fails where the host cannot be started.
    pub async fn restart(&mut self, place: usize) -> Result<(), ClusterError> {
        let settings = self.settings[place].clone();
        self.hosts[place] = Some(start_host(settings).await?);
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
pub fn listing(engines: &[Engine], services: &[Service]) -> Vec<Listed> {
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

fn listed(place: usize, name: &str, kind: UpstreamKind, pool: &str, address: SocketAddr) -> Listed {
    Listed {
        id: format!("{name}-{}", place + 1).into(),
        kind,
        pool: pool.into(),
        address,
        failure_domain: domain(place).into(),
        state: UpstreamState::Live,
    }
}

fn domain(place: usize) -> String {
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
