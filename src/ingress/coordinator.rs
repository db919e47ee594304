//! The one host that runs all batch jobs and orders engines, under a lease.
//!
//! Every host tries to become it. Nothing depends on there being only one but
//! the orders to engines, which the lease keeps apart: results are listed under
//! conditions of the store, so that two coordinators waste work and list each
//! item once (see docs/design/platform.md, "Coordinator").

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    task::{AbortHandle, spawn_local},
    time::{sleep, timeout},
};

use crate::{
    batch::{
        job::JobId,
        layout,
        output::Output,
        scheduler::{Action, EngineSpec, ModelLoad, Rights, RunEnd, RunNumber, Scheduler},
        weights::Load,
    },
    clock::{Timestamp, millis},
    ids::FenceNumber,
    ingress::{
        host::Host,
        listing::Lister,
        orders::{self, ORDER_TIMEOUT, OrderCounts, OrderRight},
        retention,
        runs::{self, Run},
        stored,
        wire::Wire,
    },
    lease::{self, Machine, Terms, Versioned, Wrote},
    rows::{RowError, RowName, RowPage, RowRange, RowStamp, RowStore, RowTransaction},
    telemetry::{
        ITEMS_WAITING, JOBS_LED, LEASES_TAKEN, ORDERS_SENT, RESULT_AGE, RESULTS_LISTED,
        RUNS_BROKEN, RUNS_OPEN, RUNS_STARTED,
    },
};

/// The table, partition and key of the lease.
const LEASES: &str = "leases";
const LEASE_PARTITION: &str = "fleet";
const LEASE_KEY: &str = "coordinator";

/// The lease's times. A holder that is killed is followed after lease, order
/// timeout and spread; renewals come three times in a lease, so that one slow
/// answer of the store, 240 ms on the sheets, does not lose it.
const LEASE_TERMS: Terms = Terms {
    lease: Duration::from_millis(1_000),
    order_timeout: ORDER_TIMEOUT,
    watch_interval: Duration::from_millis(250),
    spread: Duration::from_millis(150),
};

/// How long a call about the lease may take; a later answer would come too late
/// to renew.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(450);

/// How much longer than the platform asks a new holder waits before its first
/// order, as an order of the last holder may be on its way.
const ORDER_QUIET_MARGIN: Duration = Duration::from_millis(200);

/// How long after its lease lapsed a coordinator still starts runs; by then
/// another host may run the same items.
const START_GRACE: Duration = Duration::from_millis(600);

/// How often the lease is looked at.
const LEASE_TICK: Duration = Duration::from_millis(50);

/// How often the scheduler runs where nothing wakes it.
const SCHEDULER_TICK: Duration = Duration::from_millis(100);

/// The pause after the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(150);

/// How often outputs are saved for a coordinator that takes over.
const SAVE_INTERVAL: Duration = Duration::from_millis(400);

/// How many events an item makes between two savings at least: a quarter of a
/// second of work at the sheets' rates, which a new run makes again as fast.
const SAVE_EVENT_COUNT: u64 = 6;

/// How often the state of the work is logged.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long the feed of open jobs waits for a change.
const FEED_WAIT: Duration = Duration::from_millis(1_500);

/// How long a planned stop waits for the lease to be given up.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Runs batch jobs while it holds the lease.
#[derive(Debug)]
pub struct Coordinator<S, W> {
    host: Rc<Host<S, W>>,
    scheduler: Rc<RefCell<Scheduler>>,
    lease: RefCell<Machine>,
    life: u64,
    /// Whether this host runs the jobs.
    is_leading: Cell<bool>,
    /// When the lease was last held.
    held_at: Cell<Timestamp>,
    runs: RefCell<HashMap<RunNumber, AbortHandle>>,
    counts: RefCell<OrderCounts>,
    lister: Lister<S>,
    following: RefCell<Option<AbortHandle>>,
    reported_at: Cell<Timestamp>,
    wake: Notify,
}

impl<S: RowStore, W: Wire> OrderRight for Coordinator<S, W> {
    fn fence(&self) -> Option<FenceNumber> {
        let lease = self.lease.borrow();
        let is_quiet_over = self.host.store_time()? >= lease.quiet_until();
        lease
            .fence(self.host.now())
            .filter(|_| is_quiet_over && !self.host.is_stopping.get())
    }
}

impl<S: RowStore, W: Wire> Coordinator<S, W> {
    /// Makes a coordinator that does not lead yet.
    pub fn new(host: Rc<Host<S, W>>) -> Rc<Self> {
        let life = rand::random();
        let machine =
            Machine::new(host.settings.host.clone(), life, LEASE_TERMS).succeeding_itself();
        let scheduler: Rc<RefCell<Scheduler>> = Rc::default();
        Rc::new(Self {
            lister: Lister::new(host.store.clone(), scheduler.clone()),
            host,
            scheduler,
            lease: RefCell::new(machine),
            life,
            is_leading: Cell::new(false),
            held_at: Cell::new(Duration::ZERO),
            runs: RefCell::default(),
            counts: RefCell::default(),
            following: RefCell::default(),
            reported_at: Cell::new(Duration::ZERO),
            wake: Notify::new(),
        })
    }

    /// Competes for the lease, and runs jobs while it is held.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().schedule());
        spawn_local(self.clone().save_outputs());
        loop {
            if !self.host.is_stopping.get() {
                self.keep_lease().await;
            }
            sleep(LEASE_TICK).await;
        }
    }

    /// Gives the lease up, so that another host goes on at once.
    ///
    /// Runs that are under way go on, and are listed if they end before the new
    /// coordinator's.
    pub async fn hand_over(&self) {
        let action = self.lease.borrow_mut().release(self.host.now());
        if let Some(action) = action {
            let released = timeout(RELEASE_TIMEOUT, self.ask(action)).await.is_ok();
            tracing::info!(event = "lease.released", released);
        }
        if let Some(task) = self.following.borrow_mut().take() {
            task.abort();
        }
    }

    async fn keep_lease(self: &Rc<Self>) {
        let quiet = self.host.settings.order_quiet + ORDER_QUIET_MARGIN;
        let action = {
            let mut lease = self.lease.borrow_mut();
            lease.foresee_quiet(self.host.store_time().unwrap_or_default() + quiet);
            lease.poll(self.host.now())
        };
        if let Some(action) = action {
            self.carry_out(action).await;
        }
        let now = self.host.now();
        if self.lease.borrow().is_held(now) {
            self.held_at.set(now);
        }
    }

    async fn carry_out(self: &Rc<Self>, action: lease::Action) {
        let is_write = matches!(action, lease::Action::Write { .. });
        let asked = timeout(LEASE_CALL_TIMEOUT, self.ask(action)).await;
        let (event, found) = asked.unwrap_or(if is_write {
            (lease::Event::Wrote(Wrote::Unknown), None)
        } else {
            (lease::Event::Read(None), None)
        });
        let now = self.host.now();
        self.lease.borrow_mut().apply(event, now);
        let is_held = self.lease.borrow().is_held(now);
        if is_held && !self.is_leading.get() {
            self.lead(now);
        }
        let is_other = found.is_some_and(|record| {
            record.holder != self.host.settings.host || record.life != self.life
        });
        if is_other && self.is_leading.get() && !is_held {
            self.follow_other();
        }
    }

    /// Carries out what the lease asks of the store.
    async fn ask(&self, action: lease::Action) -> (lease::Event, Option<lease::Record>) {
        let name = RowName::new(LEASES, LEASE_PARTITION, LEASE_KEY);
        match action {
            lease::Action::Read => {
                let range = RowRange {
                    table: LEASES,
                    partition: LEASE_PARTITION.to_owned(),
                    from: String::new(),
                    to: String::new(),
                    limit_count: 1,
                };
                let found = self.host.store.read(&range).await.and_then(lease_row);
                match found {
                    Ok(found) => {
                        let record = found.as_ref().map(|found| found.record.clone());
                        (lease::Event::Read(Some(found)), record)
                    }
                    Err(error) => {
                        tracing::debug!(event = "lease.not_read", %error);
                        (lease::Event::Read(None), None)
                    }
                }
            }
            lease::Action::Write { version, record } => {
                let value = match layout::encode(&record) {
                    Ok(value) => value,
                    Err(error) => {
                        tracing::error!(event = "lease.not_encoded", %error);
                        return (lease::Event::Wrote(Wrote::NotApplied), None);
                    }
                };
                let transaction = RowTransaction::default()
                    .expect(name.clone(), version)
                    .put(name, value);
                let wrote = match self.host.store.commit(&transaction).await {
                    Ok(applied) => Wrote::DoneAt(applied.stamp),
                    Err(RowError::Conflict { .. }) => Wrote::Refused,
                    Err(RowError::NotApplied { .. }) => Wrote::NotApplied,
                    Err(_) => Wrote::Unknown,
                };
                (lease::Event::Wrote(wrote), None)
            }
        }
    }

    fn lead(self: &Rc<Self>, now: Timestamp) {
        let (fence, quiet_until) = {
            let lease = self.lease.borrow();
            (lease.fence(now), lease.quiet_until())
        };
        let quiet = quiet_until.saturating_sub(self.host.store_time().unwrap_or_default());
        self.is_leading.set(true);
        self.host.metrics.count(LEASES_TAKEN, 1);
        tracing::info!(event = "lease.taken", fence, quiet_ms = millis(quiet));
        let this = self.clone();
        let following = spawn_local(async move {
            tokio::join!(
                this.clone().follow_jobs(),
                retention::sweep_on(this.host.clone())
            );
        });
        *self.following.borrow_mut() = Some(following.abort_handle());
        self.wake.notify_one();
    }

    /// Drops everything, since another host runs the jobs now.
    fn follow_other(&self) {
        tracing::info!(event = "lease.lost");
        self.is_leading.set(false);
        if let Some(task) = self.following.borrow_mut().take() {
            task.abort();
        }
        let actions = self.scheduler.borrow_mut().reset();
        self.cancel(&actions);
        self.counts.borrow_mut().clear();
        self.lister.forget_all();
    }

    /// Runs the scheduler whenever something changed.
    async fn schedule(self: Rc<Self>) {
        loop {
            let changed = self.host.changed.notified();
            let woken = self.wake.notified();
            tokio::select! {
                () = changed => {}
                () = woken => {}
                () = sleep(SCHEDULER_TICK) => {}
            }
            if self.is_leading.get() {
                self.round();
            }
        }
    }

    fn round(self: &Rc<Self>) {
        let now = self.host.now();
        self.host.beliefs.borrow_mut().directory.drop_lapsed(now);
        let may_order = self.fence().is_some();
        let may_start =
            now.saturating_sub(self.held_at.get()) < START_GRACE && !self.host.is_stopping.get();
        let actions = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.set_engines(self.engines());
            for (model, version) in &self.host.beliefs.borrow().named {
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
        self.cancel(&actions);
        for action in actions {
            match action {
                Action::Start {
                    run,
                    job,
                    item_index,
                    engine,
                    last_event,
                } => self.start(run, &job, item_index, &engine, last_event),
                Action::Order(load) => {
                    spawn_local(self.clone().order(load));
                }
                Action::Cancel { .. } => {}
            }
        }
        for job in self.lister.claim() {
            spawn_local(self.clone().list(job));
        }
        if now.saturating_sub(self.reported_at.get()) >= LOAD_REPORT_INTERVAL {
            self.reported_at.set(now);
            self.report(now);
        }
    }

    /// Logs how the work of each model stands.
    fn report(&self, now: Timestamp) {
        let loads = self.scheduler.borrow().loads(now);
        let sum = |count: fn(&ModelLoad) -> usize| loads.iter().map(count).sum::<usize>() as u64;
        let metrics = &self.host.metrics;
        metrics.gauge(JOBS_LED, sum(|load| load.job_count));
        metrics.gauge(ITEMS_WAITING, sum(|load| load.waiting_count));
        metrics.gauge(RUNS_OPEN, sum(|load| load.running_count));
        for load in loads {
            tracing::info!(
                event = "model.load",
                model = &*load.model,
                job_count = load.job_count,
                waiting_count = load.waiting_count,
                running_count = load.running_count,
                usable_count = load.usable_count,
                fresh_count = load.fresh_count,
                loading_count = load.loading_count,
                avoided_count = load.avoided_count,
                named_version = load.named_version,
                min_version = load.min_version,
            );
        }
    }

    fn engines(&self) -> Vec<EngineSpec> {
        let beliefs = self.host.beliefs.borrow();
        let Some(configuration) = &beliefs.configuration else {
            return Vec::new();
        };
        beliefs
            .directory
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
                    versions: upstream.versions.clone(),
                })
            })
            .collect()
    }

    fn cancel(&self, actions: &[Action]) {
        let mut runs = self.runs.borrow_mut();
        for action in actions {
            if let Action::Cancel { run } = action
                && let Some(task) = runs.remove(run)
            {
                task.abort();
            }
        }
    }

    fn start(
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
            .beliefs
            .borrow()
            .directory
            .get(&engine.into())
            .cloned();
        let found = self.scheduler.borrow().job(job).and_then(|job| {
            let item = job.items.get(item_index)?.clone();
            Some((job.head.authority.clone(), item))
        });
        let (Some(upstream), Some((authority, item))) = (upstream, found) else {
            self.scheduler
                .borrow_mut()
                .ended(number, RunEnd::WrongEngine, now);
            return;
        };
        let run = Run {
            number,
            authority,
            item,
            upstream,
            last_event,
        };
        let this = self.clone();
        let job = job.clone();
        let task = spawn_local(async move {
            let runs::Ended { end, reason } = runs::run(&this.host, &this.scheduler, &run).await;
            let now = this.host.now();
            if end != RunEnd::Completed {
                this.host.metrics.count(RUNS_BROKEN, 1);
                tracing::info!(
                    event = "run.ended",
                    job = &*job,
                    item = &*run.item.id,
                    upstream = &*run.upstream.id,
                    run = run.number,
                    outcome = %end,
                    reason,
                    last_event = run.last_event,
                );
            }
            this.runs.borrow_mut().remove(&run.number);
            this.scheduler.borrow_mut().ended(run.number, end, now);
            this.wake.notify_one();
        });
        self.host.metrics.count(RUNS_STARTED, 1);
        self.runs.borrow_mut().insert(number, task.abort_handle());
    }

    async fn order(self: Rc<Self>, load: Load) {
        let upstream = self
            .host
            .beliefs
            .borrow()
            .directory
            .get(&load.engine)
            .cloned();
        let state = match upstream {
            Some(upstream) => {
                self.host.metrics.count(ORDERS_SENT, 1);
                orders::give(&self.host, &*self, &upstream, &load, &self.counts).await
            }
            None => None,
        };
        let now = self.host.now();
        self.scheduler.borrow_mut().ordered(&load, state, now);
        self.wake.notify_one();
    }

    /// Lists what a job has finished, until nothing is left.
    async fn list(self: Rc<Self>, job: JobId) {
        let done = self.lister.list(&job).await;
        self.host
            .metrics
            .count(RESULTS_LISTED, done.listed_count as u64);
        if let Some(age) = self.job_age(&job) {
            self.host.metrics.time(RESULT_AGE, age);
        }
        self.cancel(&done.cancelled);
        if done.is_over {
            self.drop_job(&job);
        }
        self.wake.notify_one();
    }

    /// Returns how long ago `job` was accepted, if it is open here.
    fn job_age(&self, job: &JobId) -> Option<Duration> {
        let store_time = self.host.store_time()?;
        let scheduler = self.scheduler.borrow();
        Some(layout::age(&scheduler.job(job)?.head, store_time))
    }

    fn drop_job(&self, job: &JobId) {
        let actions = self.scheduler.borrow_mut().end(job);
        self.cancel(&actions);
        self.lister.forget(job);
    }

    /// Saves what runs have made, so that a new coordinator goes on from there.
    async fn save_outputs(self: Rc<Self>) {
        loop {
            sleep(SAVE_INTERVAL).await;
            let fence = self.lease.borrow().fence(self.host.now());
            let Some(fence) = fence.filter(|_| self.is_leading.get()) else {
                continue;
            };
            let jobs = self.scheduler.borrow().open_jobs();
            for job in jobs {
                self.save_job(&job, fence).await;
            }
        }
    }

    async fn save_job(&self, job: &JobId, fence: FenceNumber) {
        let parts =
            self.scheduler
                .borrow()
                .unsaved(job, SAVE_EVENT_COUNT, layout::MAX_VALUE_BYTES / 2);
        if parts.is_empty() {
            return;
        }
        let (transaction, taken_count) = match layout::saving(job, fence, &parts) {
            Ok(saving) => saving,
            Err(error) => {
                tracing::error!(event = "output.not_encoded", job = &**job, %error);
                return;
            }
        };
        if let Err(error) = self.host.store.commit(&transaction).await {
            // The same events are saved again with those that follow.
            tracing::debug!(event = "output.not_saved", job = &**job, %error);
            return;
        }
        let mut scheduler = self.scheduler.borrow_mut();
        for (item_index, part) in &parts[..taken_count] {
            scheduler.saved(job, *item_index, part.last_event());
        }
    }

    /// Takes up all open jobs, and then those that come.
    async fn follow_jobs(self: Rc<Self>) {
        let mut stamp = None;
        loop {
            let result = match stamp {
                None => self.take_all().await,
                Some(after) => self.take_changes(after).await,
            };
            match result {
                Ok(next) => stamp = Some(next),
                Err(RowError::HistoryGone) => stamp = None,
                Err(error) => {
                    tracing::debug!(event = "jobs.not_followed", %error);
                    sleep(STORE_PAUSE).await;
                }
            }
        }
    }

    async fn take_all(self: &Rc<Self>) -> Result<RowStamp, RowError> {
        // Changes from here on come by the feed.
        let start = self
            .host
            .store
            .read(&RowRange {
                table: LEASES,
                partition: LEASE_PARTITION.to_owned(),
                from: String::new(),
                to: String::new(),
                limit_count: 1,
            })
            .await?;
        let mut after = String::new();
        loop {
            let jobs = self.host.store.partitions(layout::OPEN, &after).await?;
            let Some(last) = jobs.last() else {
                break;
            };
            after.clone_from(last);
            for job in &jobs {
                let job = job.as_str().into();
                let outputs = stored::outputs(&self.host.store, &job).await?;
                self.take_up(&job).await?;
                // No run has started yet, as nothing waited since.
                self.restore(&job, outputs);
            }
        }
        Ok(start.stamp)
    }

    async fn take_changes(self: &Rc<Self>, after: RowStamp) -> Result<RowStamp, RowError> {
        let page = self
            .host
            .store
            .changes(layout::OPEN, after, FEED_WAIT)
            .await?;
        for row in page.rows.iter().filter(|row| !row.is_removed) {
            let job = row.partition.as_str().into();
            if row.key == layout::END_KEY {
                self.end(&job);
            } else {
                self.take_up(&job).await?;
            }
        }
        Ok(page.stamp)
    }

    async fn take_up(self: &Rc<Self>, job: &JobId) -> Result<(), RowError> {
        if self.scheduler.borrow().is_open(job) {
            return Ok(());
        }
        let Some(loaded) = stored::load(&self.host.store, job).await? else {
            return Ok(());
        };
        if loaded.is_ended {
            self.end(job);
            return Ok(());
        }
        let now = self.host.now();
        let store_time = self.host.store_time().unwrap_or_default();
        let age = layout::age(&loaded.job.head, store_time);
        tracing::info!(
            event = "job.taken_up",
            job = &**job,
            model = &*loaded.job.head.model,
            step = loaded.job.head.step,
            item_count = loaded.job.items.len(),
            listed_count = loaded.tally.listed_count,
            age_ms = millis(age),
        );
        self.lister.learn(job, loaded.tally, loaded.stamp);
        self.scheduler
            .borrow_mut()
            .open(loaded.job, &loaded.listed, age, now);
        self.wake.notify_one();
        Ok(())
    }

    /// Takes in what the last coordinator saved of a job.
    fn restore(&self, job: &JobId, outputs: BTreeMap<usize, Output>) {
        let event_count: u64 = outputs.values().map(Output::last_event).sum();
        tracing::info!(
            event = "job.restored",
            job = &**job,
            item_count = outputs.len(),
            event_count,
        );
        self.scheduler.borrow_mut().restore(job, outputs);
    }

    /// Stops the runs of an ended job and takes it off the list of open ones.
    fn end(self: &Rc<Self>, job: &JobId) {
        tracing::info!(event = "job.ended", job = &**job);
        self.drop_job(job);
        let this = self.clone();
        let job = job.clone();
        spawn_local(async move {
            // A new coordinator finds the end again where this fails.
            if let Err(error) = this.host.store.commit(&layout::closing(&job)).await {
                tracing::debug!(event = "job.not_closed", job = &*job, %error);
            }
        });
        self.wake.notify_one();
    }
}

fn lease_row(page: RowPage) -> Result<Option<Versioned>, RowError> {
    let Some(row) = page.rows.first() else {
        return Ok(None);
    };
    Ok(Some(Versioned {
        version: row.stamp,
        record: layout::decode(&row.key, &row.value).map_err(stored::unreadable)?,
    }))
}
