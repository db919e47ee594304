//! The state of one host, shared by its tasks.

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
    sync::{Mutex, Notify, watch},
    time::sleep,
};

use crate::{
    batch::job::{JobId, ModelId},
    clock::{Clock, Timestamp},
    connection::{Limits, Pool},
    ids::{AccountId, FailureDomain, HostId, WeightVersion},
    ingress::{
        accounts::{Freshness, StaleConfiguration},
        crashes::CrashBook,
        directory::Directory,
        limits::{LimitBook, ledger::PermitLedger},
        memory::{Budget, Memory},
        metrics::Exposition,
        origins::book::OriginBook,
        reach::book::ReachBook,
        routes::Configuration,
        stop::StopSchedule,
        usage_reports::UsageBook,
        wire::Wire,
    },
    observe::telemetry::Metrics,
    store::rows::RowStore,
};

/// How long bytes written to an upstream may stay unacknowledged.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeout for opening a connection to an upstream; links have a latency of
/// 3 ms, and a lost SYN packet is resent after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The host's name.
    pub host: HostId,
    /// The failure domain of the host.
    pub failure_domain: FailureDomain,
    /// The address at which it serves clients.
    pub client_address: SocketAddr,
    /// The address at which it answers readiness probes.
    pub ready_address: SocketAddr,
    /// The address at which it serves its metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// The address at which it relays calls to the store for hosts that the
    /// store refuses, if any.
    pub relay_address: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// How long a planned stop may take before the platform kills the process.
    pub stop_grace: Duration,
    /// How long after another host's order this host must not send orders to
    /// engines.
    pub order_quiet: Duration,
    /// How long results stay readable after the job was submitted.
    pub result_ttl: Duration,
    /// The memory limit, above which the platform kills the process.
    pub memory_limit_mb: u64,
    /// The share of a core that the machine provides.
    pub cpu_share_ratio: f64,
    /// The limit on open file descriptors of the process.
    pub max_fd_count: usize,
    /// How long after its removal was acknowledged a key may still be accepted;
    /// `None` if there is no bound that holds for every host.
    pub revocation_bound: Option<Duration>,
    /// The duties towards the platform, if it asks for any.
    pub duties: Option<DutySettings>,
}

/// The settings of the calls to the platform that one host makes for all.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// The address at which the platform takes the calls.
    pub address: SocketAddr,
    /// How many calls per second the platform takes from all hosts.
    pub max_rate_per_s: f64,
    /// Whether the requests of accounts are reported.
    pub reports_usage: bool,
    /// Whether upstreams are ordered.
    pub orders_upstreams: bool,
    /// The length of the windows of usage reports.
    pub usage_window: Duration,
    /// How long after its end the report of a window is due.
    pub usage_due: Duration,
}

/// A host's view of the fleet, as it last read it from the store.
#[derive(Debug, Default)]
pub struct FleetView {
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// When the configuration was last confirmed to be the newest one.
    pub freshness: Freshness,
    /// The upstreams that the platform lists.
    pub directory: Directory,
    /// The limits that upstreams name in their answers.
    pub limits: LimitBook,
    /// The newest weight version that the trainer of each model published.
    pub named_versions: BTreeMap<ModelId, WeightVersion>,
    /// The last reading of the store's clock, and this host's clock at that
    /// moment.
    pub store_clock: Option<(Duration, Timestamp)>,
    /// How many hosts the fleet has, as the coordinator counted them; 0 if that is not
    /// known yet.
    pub host_count: u32,
    /// What this host has seen of jobs that never changes.
    pub jobs: HashMap<JobId, KnownJob>,
}

/// What never changes of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownJob {
    /// The number of its items.
    pub item_count: usize,
    /// The account that submitted it, if it has one.
    pub account: Option<AccountId>,
}

/// The state that the tasks of one host share.
#[derive(Debug)]
pub struct Host<S, W> {
    /// The settings of the host.
    pub settings: HostSettings,
    /// The platform's store.
    pub store: S,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The host's clock.
    pub clock: Clock,
    /// The host's view of the fleet.
    pub view: RefCell<FleetView>,
    /// The permits that this host issues while it is the coordinator.
    pub permits: RefCell<PermitLedger>,
    /// The calls under which upstreams crash.
    pub crashes: RefCell<CrashBook>,
    /// The software versions that began streams.
    pub origins: RefCell<OriginBook>,
    /// Wakes the task that saves them.
    pub origin_unsaved: Notify,
    /// When the last successful read of the versions was sent.
    pub versions_read_at: Mutex<Timestamp>,
    /// The requests of accounts that this host counts, if the platform wants reports.
    pub usage: Option<UsageBook>,
    /// What this host knows of its links to upstreams.
    pub reach: RefCell<ReachBook>,
    /// The number of calls of other hosts that are open here.
    pub taken_count: Rc<Cell<usize>>,
    /// Whether this host issues permits.
    pub is_issuing: Cell<bool>,
    /// Wakes the coordinator when the view changes.
    pub view_changed: Notify,
    /// Records metrics.
    pub metrics: Metrics,
    /// The metrics that are served as text.
    pub exposition: Exposition,
    /// The schedule of the planned stop, once the host is stopping.
    pub stop: watch::Sender<Option<StopSchedule>>,
    /// Whether the host has stopped accepting connections and closes idle ones.
    pub closing: watch::Sender<bool>,
    /// What this host holds for clients and other hosts.
    pub memory: Memory,
    /// The number of client connections that have not ended.
    pub open_count: Cell<usize>,
    wire: PhantomData<W>,
}

/// Counts a client connection as open until dropped.
///
/// Requests are not counted, since one that is read in part or whose answer is still
/// written is in no handler.
#[derive(Debug)]
pub struct OpenConnection<S, W> {
    host: Rc<Host<S, W>>,
}

impl<S, W> OpenConnection<S, W> {
    /// Counts one more connection of `host`.
    pub fn new(host: Rc<Host<S, W>>) -> Self {
        host.open_count.set(host.open_count.get() + 1);
        Self { host }
    }
}

impl<S, W> Drop for OpenConnection<S, W> {
    fn drop(&mut self) {
        self.host.open_count.set(self.host.open_count.get() - 1);
    }
}

impl<S: RowStore, W: Wire> Host<S, W> {
    /// Creates a host with an empty view and with the store that `connect`
    /// returns.
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
        let clock = Clock::start();
        let duties = settings.duties.as_ref();
        Rc::new(Self {
            usage: duties
                .filter(|duties| duties.reports_usage)
                .map(|duties| UsageBook::new(duties, clock.now())),
            memory: Memory::new(
                Budget::of(settings.memory_limit_mb, settings.max_fd_count),
                clock,
            ),
            store: connect(pool.clone()),
            pool,
            settings,
            clock,
            view: RefCell::default(),
            permits: RefCell::default(),
            crashes: RefCell::default(),
            origins: RefCell::default(),
            reach: RefCell::default(),
            taken_count: Rc::default(),
            origin_unsaved: Notify::new(),
            versions_read_at: Mutex::default(),
            is_issuing: Cell::new(false),
            view_changed: Notify::new(),
            metrics,
            exposition,
            stop: watch::Sender::new(None),
            closing: watch::Sender::new(false),
            open_count: Cell::new(0),
            wire: PhantomData,
        })
    }

    /// Returns the time on the host's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.borrow().configuration.clone()
    }

    /// Records a reading of the store's clock.
    pub fn observe_store_time(&self, store_time: Duration) {
        self.view.borrow_mut().store_clock = Some((store_time, self.now()));
    }

    /// Returns the estimated time on the store's clock, or `None` before the
    /// first reading.
    pub fn store_time(&self) -> Option<Duration> {
        let (store_time, seen_at) = self.view.borrow().store_clock?;
        Some(store_time + self.now().saturating_sub(seen_at))
    }

    /// Returns whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Returns whether a call that ends at `deadline` at the latest may be passed on. Those
    /// that may outlast a stopping host are refused.
    pub fn admits(&self, deadline: Timestamp) -> bool {
        self.stop
            .borrow()
            .is_none_or(|schedule| schedule.admits(self.now(), deadline))
    }

    /// Waits for the answer to a request, or returns `None` at the time at which a stopping
    /// host must answer what is still open.
    pub async fn answer_in_time<T>(&self, handled: impl Future<Output = T>) -> Option<T> {
        let answers_due = async {
            let mut stop = self.stop.subscribe();
            // The sender lives as long as the host.
            let found = stop.wait_for(Option::is_some).await;
            let schedule = found.ok().and_then(|schedule| *schedule);
            if let Some(schedule) = schedule {
                sleep(schedule.answer_by().saturating_sub(self.now())).await;
            }
        };
        tokio::select! {
            biased;
            answer = handled => Some(answer),
            () = answers_due => None,
        }
    }

    /// Returns whether requests carry keys of accounts.
    pub fn has_accounts(&self) -> bool {
        let view = self.view.borrow();
        view.configuration
            .as_ref()
            .is_some_and(|configuration| configuration.accounts.is_some())
    }

    /// Checks that the keys of the configuration in force may be accepted now.
    ///
    /// # Errors
    ///
    /// Fails where a key may have been removed for longer than the bound, if there is one.
    pub fn check_freshness(&self) -> Result<(), StaleConfiguration> {
        match self.settings.revocation_bound {
            Some(bound) => self.view.borrow().freshness.check(bound, self.now()),
            None => Ok(()),
        }
    }

    /// Returns whether the host can serve requests.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.view.borrow().configuration.is_some();
        let is_stale = self.has_accounts() && self.check_freshness().is_err();
        !self.is_stopping() && is_configured && !is_stale
    }
}
