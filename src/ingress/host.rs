//! What one host holds, and how it starts and stops.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    task::{LocalSet, spawn_local},
    time::sleep,
};

use crate::{
    batch::job::{JobId, ModelId},
    clock::{Clock, Timestamp},
    connection::{Limits, Pool},
    ids::{FailureDomain, HostId, WeightVersion},
    ingress::{
        coordinator::Coordinator, directory::Directory, feeds, metrics::Exposition,
        routes::Configuration, server, wire::Wire,
    },
    rows::RowStore,
    telemetry::Metrics,
};

/// How long an upstream may leave written bytes unacknowledged.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long opening a connection to an upstream may take; links are 3 ms long,
/// and a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The part of the stop's grace during which new connections still come, since
/// the platform finds out only after two missed questions, a second apart.
const ACCEPTING_RATIO: f64 = 0.45;

/// The part of the stop's grace after which the process ends whatever is open.
const STOP_RATIO: f64 = 0.9;

/// How often a stopping host looks whether anything is open.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where it serves clients.
    pub client_address: SocketAddr,
    /// Where it says whether it is ready.
    pub ready_address: SocketAddr,
    /// Where it serves its metrics, if it does.
    pub metrics_address: Option<SocketAddr>,
    /// Where the platform's store answers.
    pub store_address: SocketAddr,
    /// How long a planned stop may take before the platform kills the process.
    pub stop_grace: Duration,
    /// How long after another host's order to an engine this one may not order.
    pub order_quiet: Duration,
    /// How long results stay readable after a job's submission.
    pub result_ttl: Duration,
    /// The memory at which the platform kills the process.
    pub memory_limit_mb: u64,
    /// The part of a core that the machine gives.
    pub cpu_share_ratio: f64,
}

/// What a host believes.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// The upstreams.
    pub directory: Directory,
    /// The newest version that each trainer named.
    pub named: BTreeMap<ModelId, WeightVersion>,
    /// The store's clock, and this host's clock when it said so.
    pub store_clock: Option<(Duration, Timestamp)>,
    /// How many items each job has that this host has seen; jobs never change.
    pub item_counts: HashMap<JobId, usize>,
}

/// Everything that the tasks of one host share.
#[derive(Debug)]
pub struct Host<S, W> {
    /// Its settings.
    pub settings: HostSettings,
    /// The platform's store.
    pub store: S,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The host's clock.
    pub clock: Clock,
    /// What it believes.
    pub beliefs: RefCell<Beliefs>,
    /// Wakes the coordinator when a belief changed.
    pub changed: Notify,
    /// Counts what happens.
    pub metrics: Metrics,
    /// The page of metrics.
    pub exposition: Exposition,
    /// Whether the host is stopping.
    pub is_stopping: Cell<bool>,
    /// Wakes connections that wait for a request when the host stops.
    pub stopping: Notify,
    /// Requests that have no whole answer yet.
    pub open_count: Cell<usize>,
    wire: PhantomData<W>,
}

/// Counts a request as open for as long as it lives.
#[derive(Debug)]
pub struct OpenRequest<S, W> {
    host: Rc<Host<S, W>>,
}

impl<S, W> OpenRequest<S, W> {
    /// Counts one more request of `host`.
    pub fn new(host: Rc<Host<S, W>>) -> Self {
        host.open_count.set(host.open_count.get() + 1);
        Self { host }
    }
}

impl<S, W> Drop for OpenRequest<S, W> {
    fn drop(&mut self) {
        self.host.open_count.set(self.host.open_count.get() - 1);
    }
}

impl<S: RowStore, W: Wire> Host<S, W> {
    /// Makes a host that knows nothing yet, with the store that `connect` makes.
    pub fn with_store(
        settings: HostSettings,
        metrics: Metrics,
        exposition: Exposition,
        connect: impl FnOnce(Pool) -> S,
    ) -> Rc<Self> {
        let pool = Pool::new(Limits {
            connect_timeout: CONNECT_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
        });
        Rc::new(Self {
            store: connect(pool.clone()),
            pool,
            settings,
            clock: Clock::start(),
            beliefs: RefCell::default(),
            changed: Notify::new(),
            metrics,
            exposition,
            is_stopping: Cell::new(false),
            stopping: Notify::new(),
            open_count: Cell::new(0),
            wire: PhantomData,
        })
    }

    /// Returns the time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.beliefs.borrow().configuration.clone()
    }

    /// Takes in what the store said its clock is.
    pub fn observe_store_time(&self, store_time: Duration) {
        self.beliefs.borrow_mut().store_clock = Some((store_time, self.now()));
    }

    /// Returns the store's clock as this host believes it.
    pub fn store_time(&self) -> Option<Duration> {
        let (store_time, seen_at) = self.beliefs.borrow().store_clock?;
        Some(store_time + self.now().saturating_sub(seen_at))
    }

    /// Says whether the host can take requests.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.beliefs.borrow().configuration.is_some()
    }

    /// Runs the host until `stop` ends, and then stops it without cutting off a
    /// request.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be listened on.
    pub async fn run(self: Rc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let local = LocalSet::new();
        local.run_until(self.run_local(stop)).await
    }

    async fn run_local(self: Rc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        tracing::info!(
            event = "host.start",
            host = &*self.settings.host,
            failure_domain = &*self.settings.failure_domain,
            store = %self.settings.store_address,
            memory_limit_mb = self.settings.memory_limit_mb,
        );
        let clients = server::bind(self.settings.client_address)?;
        let ready = server::bind(self.settings.ready_address)?;
        if let Some(address) = self.settings.metrics_address {
            let listener = server::bind(address)?;
            spawn_local(server::serve_ready(self.clone(), listener));
        }
        let coordinator = Coordinator::new(self.clone());
        spawn_local(feeds::follow_operator(self.clone()));
        spawn_local(feeds::follow_upstreams(self.clone()));
        spawn_local(server::serve_ready(self.clone(), ready));
        let accepting = spawn_local(server::serve_clients(self.clone(), clients));
        spawn_local(coordinator.clone().run());
        stop.await;
        tracing::info!(
            event = "host.stopping",
            host = &*self.settings.host,
            open_count = self.open_count.get(),
        );
        self.is_stopping.set(true);
        coordinator.hand_over().await;
        sleep(self.settings.stop_grace.mul_f64(ACCEPTING_RATIO)).await;
        accepting.abort();
        self.stopping.notify_waiters();
        let limit = self
            .settings
            .stop_grace
            .mul_f64(STOP_RATIO - ACCEPTING_RATIO);
        let stop_at = self.now() + limit;
        while self.open_count.get() > 0 && self.now() < stop_at {
            sleep(STOP_POLL_INTERVAL).await;
        }
        tracing::info!(
            event = "host.stop",
            host = &*self.settings.host,
            open_count = self.open_count.get(),
        );
        Ok(())
    }
}
