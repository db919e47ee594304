//! The coordinator: the one host that runs all batch jobs and sends orders to
//! engines, under a lease.
//!
//! Every host competes for the lease. Only the orders to engines require that
//! there is a single coordinator, and the lease ensures that. Results are
//! listed by conditional writes to the store, so that two coordinators at once
//! waste work but still list each item once (see docs/design/platform.md,
//! "Coordinator").

pub mod deference;
mod jobs;
mod leadership;
mod loads;
mod rewards;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::{Notify, Semaphore},
    task::{AbortHandle, spawn_local},
    time::sleep,
};

use self::deference::Deference;
use crate::{
    batch::{
        job::JobId,
        scheduler::{Action, EngineSpec, Rights, RunEnd, RunNumber, Scheduler, ServiceLoad},
        weights::Load,
    },
    clock::{Timestamp, millis},
    ids::{FenceNumber, UpstreamId},
    ingress::{
        capacity_orders::LoadSource,
        directory::Upstream,
        host::Host,
        limits::ledger::ORDER_PERMIT_COUNT,
        listing::Lister,
        memory::Charge,
        orders::{self, FenceSource, OrderCounts},
        permits, reach,
        routes::ServiceName,
        runs::{self, Run},
        wire::Wire,
    },
    observe::telemetry::{ORDERS_SENT, RUNS_BROKEN, RUNS_STARTED},
    store::rows::RowStore,
    weights::lease::Machine,
};

/// How long a coordinator continues to start runs after its lease expired;
/// later, another host may run the same items.
const START_GRACE: Duration = Duration::from_millis(600);

/// How often the lease state machine is polled.
const LEASE_TICK: Duration = Duration::from_millis(50);

/// How often the scheduler runs if nothing wakes it earlier.
const SCHEDULER_TICK: Duration = Duration::from_millis(100);

/// The interval at which the scheduler runs at least while items wait for engines to read
/// other prompts, since first events do not wake it.
const PROMPT_TICK: Duration = Duration::from_millis(10);

/// How long the scheduler waits after it is woken, so that runs that end
/// together are handled in one round.
const ROUND_BATCH_DELAY: Duration = Duration::from_millis(4);

/// How often the load of each model is logged.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Runs batch jobs while it holds the lease.
#[derive(Debug)]
pub struct Coordinator<S, W> {
    host: Rc<Host<S, W>>,
    scheduler: Rc<RefCell<Scheduler>>,
    lease: RefCell<Machine>,
    /// Identifies this process in the lease record.
    life: u64,
    /// Whether this host is the coordinator.
    is_leading: Cell<bool>,
    /// When the other hosts may be asked next whether they reach the engines.
    next_survey_at: Cell<Timestamp>,
    /// Leaves a free lease to others while this host reaches no engine.
    deference: RefCell<Deference>,
    /// The last time at which this host held the lease.
    last_held_at: Cell<Timestamp>,
    /// The tasks of the runs and reward calls in progress.
    runs: RefCell<HashMap<RunNumber, AbortHandle>>,
    unrouted_logged_at: Cell<Timestamp>,
    order_counts: RefCell<OrderCounts>,
    lister: Lister<S>,
    follow_task: RefCell<Option<AbortHandle>>,
    last_reported_at: Cell<Timestamp>,
    /// How many starts prompts and shares had put off at the last report.
    put_off_counts: Cell<(u64, u64)>,
    /// The directory's revision and the configuration's version from which the
    /// scheduler's engines were last set.
    engines_revision: Cell<Option<(u64, Option<u64>)>>,
    /// The jobs that are being read, each with the number of its read. A read whose
    /// entry is gone was overtaken, and its result must not be used.
    reads: RefCell<BTreeMap<JobId, u64>>,
    /// The number of the last read of a job.
    last_read: Cell<u64>,
    /// Limits how many jobs are read at once.
    read_permits: Semaphore,
    /// What open jobs hold.
    held_jobs: RefCell<BTreeMap<JobId, Vec<Charge>>>,
    /// What jobs needed at least that found no room, which they must find before they are
    /// read again.
    job_needs: RefCell<BTreeMap<JobId, usize>>,
    /// The jobs that are being removed from the list of open jobs.
    closing_jobs: RefCell<BTreeSet<JobId>>,
    /// Increments whenever another coordinator takes over.
    epoch: Cell<u64>,
    wake: Notify,
    /// Wakes the task that saves whole outputs before their reward calls.
    output_whole: Notify,
}

impl<S: RowStore, W: Wire> FenceSource for Coordinator<S, W> {
    fn fence(&self) -> Option<FenceNumber> {
        let lease = self.lease.borrow();
        let is_quiet_over = self.host.store_time()? >= lease.quiet_until();
        lease
            .fence(self.host.now())
            .filter(|_| is_quiet_over && !self.host.is_stopping())
    }
}

impl<S: RowStore, W: Wire> LoadSource for Coordinator<S, W> {
    fn service_loads(&self, now: Timestamp) -> BTreeMap<ServiceName, ServiceLoad> {
        self.scheduler.borrow().service_loads(now)
    }
}

impl<S: RowStore, W: Wire> Coordinator<S, W> {
    /// Creates a coordinator that does not hold the lease yet.
    pub fn new(host: Rc<Host<S, W>>) -> Rc<Self> {
        let life = rand::random();
        let settings = &host.settings;
        let machine =
            leadership::lease_machine(settings.host.clone(), life, settings.cpu_share_ratio);
        let scheduler: Rc<RefCell<Scheduler>> = Rc::default();
        Rc::new(Self {
            lister: Lister::new(host.store.clone(), scheduler.clone()),
            host,
            scheduler,
            lease: RefCell::new(machine),
            life,
            is_leading: Cell::new(false),
            next_survey_at: Cell::new(Duration::ZERO),
            deference: RefCell::default(),
            last_held_at: Cell::new(Duration::ZERO),
            runs: RefCell::default(),
            unrouted_logged_at: Cell::new(Duration::ZERO),
            order_counts: RefCell::default(),
            follow_task: RefCell::default(),
            last_reported_at: Cell::new(Duration::ZERO),
            put_off_counts: Cell::default(),
            engines_revision: Cell::new(None),
            reads: RefCell::default(),
            last_read: Cell::new(0),
            read_permits: Semaphore::new(jobs::MAX_CONCURRENT_READS),
            held_jobs: RefCell::default(),
            job_needs: RefCell::default(),
            closing_jobs: RefCell::default(),
            epoch: Cell::new(0),
            wake: Notify::new(),
            output_whole: Notify::new(),
        })
    }

    /// Competes for the lease, and runs jobs while this host holds it.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().schedule());
        spawn_local(self.clone().save_outputs());
        spawn_local(self.clone().save_whole_outputs());
        loop {
            if !self.host.is_stopping() {
                self.keep_lease().await;
            }
            sleep(LEASE_TICK).await;
        }
    }

    /// Runs the scheduler after each change, and at least once per tick.
    async fn schedule(self: Rc<Self>) {
        loop {
            let changed = self.host.view_changed.notified();
            let woken = self.wake.notified();
            let tick = {
                let scheduler = self.scheduler.borrow();
                if scheduler.has_deferred_dispatch() {
                    scheduler.dispatch_interval().min(SCHEDULER_TICK)
                } else if scheduler.has_put_off_prompts() {
                    scheduler
                        .dispatch_interval()
                        .clamp(PROMPT_TICK, SCHEDULER_TICK)
                } else {
                    SCHEDULER_TICK
                }
            };
            tokio::select! {
                () = changed => {}
                () = woken => {}
                () = sleep(tick) => {}
            }
            if self.is_leading.get() {
                // Handles runs that end together in one round.
                sleep(ROUND_BATCH_DELAY).await;
                self.run_round();
            }
        }
    }

    fn run_round(self: &Rc<Self>) {
        let now = self.host.now();
        self.host.view.borrow_mut().directory.drop_lapsed(now);
        let may_order = self.fence().is_some();
        let may_start = self.may_start(now);
        let actions = {
            let mut scheduler = self.scheduler.borrow_mut();
            let revision = {
                let view = self.host.view.borrow();
                let version = view.configuration.as_ref().map(|c| c.version);
                (view.directory.revision(), version)
            };
            if self.engines_revision.replace(Some(revision)) != Some(revision) {
                scheduler.set_engines(self.engine_specs());
                scheduler.set_departures(&self.times_left(), now);
            }
            scheduler.set_permits(&self.run_permits(now));
            for (model, version) in &self.host.view.borrow().named_versions {
                scheduler.name_version(model.clone(), *version);
            }
            scheduler.poll(
                now,
                Rights {
                    may_start,
                    may_order,
                },
            )
        };
        self.cancel_runs(&actions);
        for action in actions {
            match action {
                Action::Start {
                    run,
                    job,
                    item_index,
                    engine,
                    last_event,
                } => self.start_run(run, &job, item_index, &engine, last_event),
                Action::Order(load) => {
                    spawn_local(self.clone().send_order(load));
                }
                Action::Cancel { .. } => {}
            }
        }
        self.start_due_rewards(now);
        for job in self.lister.claim() {
            spawn_local(self.clone().list_results(job));
        }
        if now.saturating_sub(self.last_reported_at.get()) >= LOAD_REPORT_INTERVAL {
            self.last_reported_at.set(now);
            self.log_loads(now);
            self.suspect_silent_services(now);
        }
    }

    /// Has services probed whose engines are all silent while items run or wait: runs that
    /// hang with their connections are stopped before these fail.
    fn suspect_silent_services(&self, now: Timestamp) {
        for service in self.scheduler.borrow().services_in_use() {
            if !self.host.reach.borrow().is_answered(&service, now) {
                reach::record_failure(&self.host, &service);
            }
        }
    }

    /// Returns how many runs may start on each engine that names a limit. Some permits
    /// are left to orders, which would otherwise wait behind all items.
    fn run_permits(&self, now: Timestamp) -> BTreeMap<UpstreamId, usize> {
        let mut permits = self.host.permits.borrow_mut();
        permits
            .permit_counts(now)
            .map(|(id, count)| (id.clone(), count.saturating_sub(ORDER_PERMIT_COUNT)))
            .collect()
    }

    /// Returns whether this host may start runs and reward calls.
    fn may_start(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.last_held_at.get()) < START_GRACE && !self.host.is_stopping()
    }

    fn engine_specs(&self) -> Vec<EngineSpec> {
        let view = self.host.view.borrow();
        let Some(configuration) = &view.configuration else {
            return Vec::new();
        };
        view.directory
            .upstreams()
            .filter_map(|upstream| {
                let service = configuration.services.get(&upstream.service)?;
                let slot_count = service.engine_slot_count?;
                Some(EngineSpec {
                    id: upstream.id.clone(),
                    started_at_ms: upstream.started_at_ms,
                    service: upstream.service.clone(),
                    slot_count,
                    memory_tokens: service.engine_memory_tokens,
                    tokens_per_event: service.tokens_per_event,
                    is_draining: upstream.is_draining,
                    software_version: upstream.software_version.clone(),
                    versions: upstream.versions.clone(),
                })
            })
            .collect()
    }

    /// Returns the time left of each upstream that is listed as leaving.
    fn times_left(&self) -> BTreeMap<UpstreamId, Duration> {
        let view = self.host.view.borrow();
        let upstreams = view.directory.upstreams();
        upstreams
            .filter_map(|upstream| Some((upstream.id.clone(), upstream.leaves_in?)))
            .collect()
    }

    fn cancel_runs(&self, actions: &[Action]) {
        let mut runs = self.runs.borrow_mut();
        for action in actions {
            if let Action::Cancel { run } = action
                && let Some(task) = runs.remove(run)
            {
                task.abort();
            }
        }
    }

    fn start_run(
        self: &Rc<Self>,
        number: RunNumber,
        job: &JobId,
        item_index: usize,
        engine: &str,
        last_event: u64,
    ) {
        let now = self.host.now();
        let upstream = self
            .host
            .view
            .borrow()
            .directory
            .get(&engine.into())
            .cloned();
        let job_and_item = self.scheduler.borrow().job(job).and_then(|job| {
            let item = job.items.get(item_index)?.clone();
            Some((job.head.authority.clone(), job.head.account.clone(), item))
        });
        let (Some(upstream), Some((authority, account, item))) = (upstream, job_and_item) else {
            self.scheduler
                .borrow_mut()
                .record_run_end(number, RunEnd::WrongEngine, now);
            return;
        };
        let Ok(permit) = permits::take_as_issuer(&self.host, &upstream, 1) else {
            self.scheduler
                .borrow_mut()
                .record_run_end(number, RunEnd::NotRun, now);
            return;
        };
        let run = Run {
            number,
            authority,
            account,
            item,
            upstream,
            permit,
            last_event,
        };
        let this = self.clone();
        let job = job.clone();
        let task = spawn_local(async move {
            let runs::RunOutcome { end, reason } =
                runs::run(&this.host, &this.scheduler, &run).await;
            let now = this.host.now();
            if end != RunEnd::Completed {
                this.host.metrics.count(RUNS_BROKEN, 1);
                tracing::info!(
                    event = "run.ended",
                    job = &*job,
                    item = &*run.item.id,
                    upstream = &*run.upstream.id,
                    software_version = &*run.upstream.software_version,
                    run = run.number,
                    outcome = %end,
                    reason,
                    last_event = run.last_event,
                );
            }
            this.runs.borrow_mut().remove(&run.number);
            this.scheduler
                .borrow_mut()
                .record_run_end(run.number, end, now);
            if end == RunEnd::Completed && run.item.reward.is_some() {
                this.output_whole.notify_one();
            }
            this.wake.notify_one();
        });
        self.host.metrics.count(RUNS_STARTED, 1);
        self.runs.borrow_mut().insert(number, task.abort_handle());
    }

    /// Takes the permits for an order and the report before it, if the engine names a
    /// limit.
    fn has_order_permits(&self, upstream: &Upstream) -> bool {
        let taken = permits::take_as_issuer(&self.host, upstream, ORDER_PERMIT_COUNT as u32);
        if let Err(denied) = taken {
            tracing::info!(
                event = "order.limited",
                upstream = &*upstream.id,
                reason = denied.reason,
                wait_ms = millis(denied.until.saturating_sub(self.host.now())),
            );
        }
        taken.is_ok()
    }

    async fn send_order(self: Rc<Self>, load: Load) {
        let upstream = self.host.view.borrow().directory.get(&load.engine).cloned();
        let state = match upstream {
            Some(upstream) if !self.has_order_permits(&upstream) => None,
            Some(upstream) => {
                self.host.metrics.count(ORDERS_SENT, 1);
                orders::order_load(&self.host, &*self, &upstream, &load, &self.order_counts).await
            }
            None => None,
        };
        let now = self.host.now();
        self.scheduler
            .borrow_mut()
            .record_order_answer(&load, state, now);
        self.wake.notify_one();
    }
}
