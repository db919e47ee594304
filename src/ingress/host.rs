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

use tokio::sync::Notify;

use crate::{
    batch::job::{JobId, ModelId},
    clock::{Clock, Timestamp},
    connection::{Limits, Pool},
    ids::{FailureDomain, HostId, WeightVersion},
    ingress::{directory::Directory, metrics::Exposition, routes::Configuration, wire::Wire},
    observe::telemetry::Metrics,
    store::rows::RowStore,
};

/// How long an upstream may leave written bytes unacknowledged.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long opening a connection to an upstream may take; links are 3 ms long,
/// and a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
    /// Where it passes on calls to the store for hosts that the store turns away.
    pub relay_address: Option<SocketAddr>,
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
}
