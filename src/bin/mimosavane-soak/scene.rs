//! Runs one seed: starts the processes and the stand-ins, injects the faults, and
//! checks the result.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fs,
    io::Write as _,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use mimosavane::platform::standin::{
    self, Client, Cloud, CloudFault, Engine, EngineRole, Keyring, MODELS, REVOKE_TIME, Record,
    Store, StoreFault,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::{
    net::TcpListener,
    task::{JoinError, LocalSet, spawn_local},
    time::sleep,
};

use crate::{
    accounts::{self, Accounts},
    caller, fault,
    fleet::Host,
    proxy::{LinkFault, Proxy},
    stream, trainer,
};

/// The seed of the random generator that draws the faults.
pub type Seed = u64;

/// The program under test, in the same folder as this one.
const PROGRAM: &str = "mimosavane-entry";

/// The numbers of engines and of services that answer calls.
const ENGINE_COUNT: usize = 4;
const SERVICE_COUNT: usize = 2;

/// The versions of the engines' software.
const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];

/// The deadline for hosts to start and to recover: `recovery_s` of the deployment
/// specification.
pub const RECOVERY: Duration = Duration::from_secs(12);

/// How long traffic continues after the last fault: enough to recover and to run
/// a whole step.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// The deadline for the final audit of all jobs.
const AUDIT_TIME: Duration = Duration::from_secs(10);

/// How long an instance stays unreachable before its replacement starts.
const REPLACE_TIME: Duration = Duration::from_millis(300);

/// The maximum number of violations printed for one seed.
const MAX_PRINTED_COUNT: usize = 20;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of hosts.
    pub host_count: usize,
    /// How long faults are injected.
    pub duration: Duration,
    /// The folder that keeps the files of failed seeds.
    pub logs: PathBuf,
}

/// The state shared by the tasks of one seed.
pub struct Harness {
    /// The hosts.
    pub hosts: Vec<Rc<Host>>,
    /// The store.
    pub store: Store,
    /// What a deployment with accounts has.
    pub accounts: Option<Accounts>,
    /// The current upstreams, engines first.
    pub engines: RefCell<Vec<Rc<Engine>>>,
    /// The proxies in front of the upstreams, in the same order.
    pub engine_links: Vec<Rc<Proxy>>,
    /// The observations so far and the violations found in them.
    pub record: Rc<RefCell<Record>>,
    /// Whether callers and trainers must stop.
    pub is_stopping: Cell<bool>,
    started: Instant,
    last_disturbance_at: Cell<Option<Instant>>,
    /// When a fault or planned work last began or ended.
    last_activity_at: Cell<Option<Instant>>,
    configuration: Cell<u64>,
    engine_number: Cell<u64>,
    fault_log: RefCell<fs::File>,
}

/// Runs `seed`, prints its verdict, and returns whether all promises were kept.
///
/// # Errors
///
/// Returns an error if the processes cannot be run at all.
pub fn run_seed(plan: &Plan, seed: Seed) -> Result<bool> {
    let folder = plan.logs.join(format!("seed-{seed}"));
    if folder.exists() {
        fs::remove_dir_all(&folder).context("removing the old log folder")?;
    }
    fs::create_dir_all(&folder).context("creating the log folder")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let record = runtime.block_on(LocalSet::new().run_until(run_harness(plan, seed, &folder)))?;
    let counts = record
        .counts()
        .iter()
        .fold(String::new(), |text, (what, count)| {
            format!("{text}, {count} {what}")
        });
    let violations = record.close();
    if violations.is_empty() {
        println!("seed {seed}: kept{counts}");
        fs::remove_dir_all(&folder).context("removing the log folder")?;
        return Ok(true);
    }
    println!(
        "seed {seed}: {} violations{counts}; logs in {}",
        violations.len(),
        folder.display()
    );
    for violation in violations.iter().take(MAX_PRINTED_COUNT) {
        println!("seed {seed}: {}: {}", violation.promise, violation.seen);
    }
    Ok(false)
}

async fn run_harness(plan: &Plan, seed: Seed, folder: &std::path::Path) -> Result<Record> {
    let harness = Rc::new(Harness::start(plan, seed, folder).await?);
    harness.wait_until_ready().await;
    let mut tasks = Vec::new();
    for (number, host) in harness.hosts.iter().enumerate() {
        tasks.push(spawn_local(caller::call(
            harness.clone(),
            host.clone(),
            number,
        )));
        tasks.push(spawn_local(accounts::probe(harness.clone(), host.clone())));
    }
    for (model, path) in MODELS {
        tasks.push(spawn_local(trainer::train(harness.clone(), model, path)));
    }
    for number in 0..harness.hosts.len() {
        tasks.push(spawn_local(stream::stream(harness.clone(), number)));
    }
    let (model, path) = MODELS[0];
    let single_jobs = trainer::submit_singly(harness.clone(), model, path);
    tasks.push(spawn_local(single_jobs));
    let (model, path) = MODELS[1];
    let early_jobs = trainer::end_early(harness.clone(), model, path);
    tasks.push(spawn_local(early_jobs));
    let random = ChaCha8Rng::seed_from_u64(seed);
    fault::run_all_series(&harness, random, seed, plan.duration).await;
    harness.clear_faults();
    harness.log_event("healed");
    harness.wait_until_ready().await;
    if harness.accounts.is_some() {
        sleep(accounts::UNCALM_TIME).await;
        harness.record.borrow_mut().begin_calm();
        sleep(accounts::CALM_TIME).await;
        harness.record.borrow_mut().end_calm();
    } else {
        sleep(SETTLE_TIME).await;
    }
    harness.is_stopping.set(true);
    for task in tasks {
        harness.check_task("a caller or trainer", task.await);
    }
    fault::check_cut_off_host(&harness, seed).await;
    harness.audit_jobs().await;
    harness.check_configuration().await;
    for host in &harness.hosts {
        host.kill();
    }
    Ok(std::mem::take(&mut *harness.record.borrow_mut()))
}

impl Harness {
    async fn start(plan: &Plan, seed: Seed, folder: &std::path::Path) -> Result<Self> {
        let program = std::env::current_exe()
            .context("finding this program")?
            .with_file_name(PROGRAM);
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .context("binding a port for the store")?;
        let store_address = listener
            .local_addr()
            .context("reading the address of the store")?;
        let store = Store::start(listener);
        standin::configure(&store, 1);
        let record: Rc<RefCell<Record>> = Rc::default();
        let (mut accounts, mut cloud_address) = (None, None);
        if accounts::has_accounts(seed) {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .context("binding a port for duties")?;
            let address = listener.local_addr();
            cloud_address = Some(address.context("reading the address for duties")?);
            let keyring = Keyring::new(REVOKE_TIME);
            keyring.configure(&store, 1);
            accounts = Some(Accounts {
                keyring: RefCell::new(keyring),
                cloud: Cloud::start(listener, record.clone()),
            });
        }
        let mut hosts = Vec::new();
        for number in 0..plan.host_count {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .context("binding a port for the store")?;
            let address = listener
                .local_addr()
                .context("reading the address of the store")?;
            let own_store = store.serve_apart(listener);
            let link = Proxy::start(address).await?;
            let name = format!("host-{number}");
            let host = Host::new(name, &program, folder, link, own_store, cloud_address)?;
            host.start()?;
            hosts.push(Rc::new(host));
        }
        let harness = Self {
            hosts,
            store,
            accounts,
            engines: RefCell::default(),
            engine_links: Vec::new(),
            record,
            is_stopping: Cell::new(false),
            started: Instant::now(),
            last_disturbance_at: Cell::new(None),
            last_activity_at: Cell::new(None),
            configuration: Cell::new(1),
            engine_number: Cell::new(0),
            fault_log: RefCell::new(
                fs::File::create(folder.join("faults.log"))
                    .context("creating the log of faults")?,
            ),
        };
        let mut links = Vec::new();
        for slot in 0..ENGINE_COUNT + SERVICE_COUNT {
            // `new_engine` sets the real target before anyone learns the address.
            let link = Proxy::start(store_address).await?;
            let engine = harness
                .new_engine(role(slot), &link, Engine::first_versions())
                .await?;
            harness.engines.borrow_mut().push(engine);
            links.push(link);
        }
        Ok(Self {
            engine_links: links,
            ..harness
        })
    }

    async fn new_engine(
        &self,
        role: EngineRole,
        link: &Proxy,
        versions: BTreeMap<String, u64>,
    ) -> Result<Rc<Engine>> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .context("binding a port for an engine")?;
        link.set_target(
            listener
                .local_addr()
                .context("reading the address of an engine")?,
        );
        let number = self.engine_number.get() + 1;
        self.engine_number.set(number);
        let engine = Engine::start(
            format!("i-{number:04}"),
            role,
            listener,
            link.address,
            versions,
            self.store.clone(),
            self.record.clone(),
        );
        // Engines that take the place of others bring the other version.
        engine.set_software_version(SOFTWARE_VERSIONS[number as usize % SOFTWARE_VERSIONS.len()]);
        Ok(engine)
    }

    /// Stops an upstream and starts a replacement at the same address.
    pub async fn replace_engine(&self, slot: usize) {
        let engine = self.engines.borrow()[slot].clone();
        engine.stop();
        sleep(REPLACE_TIME).await;
        let link = &self.engine_links[slot];
        match self.new_engine(role(slot), link, engine.versions()).await {
            Ok(next) => self.engines.borrow_mut()[slot] = next,
            Err(error) => self.record_error(&error),
        }
    }

    /// Kills a host's process and starts a new one.
    pub async fn restart(&self, host: &Host) {
        let _guard = host.restart_lock.lock().await;
        if !host.has_ended() {
            host.mark_disturbance();
        }
        host.kill();
        sleep(REPLACE_TIME).await;
        if let Err(error) = host.start() {
            self.record_error(&error);
        }
    }

    /// Publishes the next version of the configuration.
    pub fn configure(&self) {
        let version = self.configuration.get() + 1;
        self.configuration.set(version);
        match &self.accounts {
            Some(accounts) => accounts.keyring.borrow().configure(&self.store, version),
            None => standin::configure(&self.store, version),
        }
    }

    /// Records that an unplanned fault disturbed the whole fleet.
    pub fn mark_disturbance(&self) {
        self.last_disturbance_at.set(Some(Instant::now()));
        self.record.borrow_mut().mark_disturbance();
    }

    /// Returns whether no unplanned fault has occurred for `time`.
    pub fn is_undisturbed_for(&self, time: Duration) -> bool {
        self.last_disturbance_at
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Records that a fault or planned work began or ended.
    pub fn mark_activity(&self) {
        self.last_activity_at.set(Some(Instant::now()));
    }

    /// Returns whether neither a fault nor planned work began or ended for `time`.
    pub fn is_quiet_for(&self, time: Duration) -> bool {
        self.last_activity_at
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Returns the host that sent the most recent order.
    pub fn holder(&self) -> Option<&Rc<Host>> {
        let record = self.record.borrow();
        let name = record.last_holder()?;
        self.hosts.iter().find(|host| host.name == name)
    }

    /// Returns a random host.
    pub fn random_host(&self) -> Rc<Host> {
        self.hosts[rand::rng().random_range(0..self.hosts.len())].clone()
    }

    /// Appends a line to the log of faults.
    pub fn log_event(&self, text: &str) {
        let line = format!("{:.3} {text}\n", self.started.elapsed().as_secs_f64());
        // The log only helps to read the hosts' logs; the verdict does not depend on
        // it.
        let _ = self.fault_log.borrow_mut().write_all(line.as_bytes());
    }

    /// Records that a task of the soak ended by a panic, which is already printed on
    /// standard error.
    pub fn check_task(&self, what: &'static str, ended: Result<(), JoinError>) {
        if let Err(error) = ended.context(what) {
            self.record_error(&error);
        }
    }

    fn record_error(&self, error: &anyhow::Error) {
        self.record
            .borrow_mut()
            .add_violation("soak-runs", format!("{error:#}"));
    }

    fn clear_faults(&self) {
        self.store.set_fault(StoreFault::None);
        if let Some(accounts) = &self.accounts {
            accounts.cloud.set_fault(CloudFault::None);
        }
        for host in &self.hosts {
            host.link.set_fault(LinkFault::None);
            host.store.cut_upstreams(None);
        }
        for link in &self.engine_links {
            link.set_fault(LinkFault::None);
        }
    }

    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + RECOVERY;
        for host in &self.hosts {
            loop {
                let answer =
                    Client::send_once(host.addresses.ready, async |client| client.ready().await)
                        .await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() >= deadline {
                    let mut record = self.record.borrow_mut();
                    record.add_violation("recovers", format!("{} is not ready", host.name));
                    break;
                }
                sleep(REPLACE_TIME / 3).await;
            }
        }
    }

    /// Reads all accepted jobs from their start, each page at a random host.
    async fn audit_jobs(&self) {
        let deadline = Instant::now() + AUDIT_TIME;
        let jobs = self.record.borrow().accepted_jobs();
        for job in jobs {
            let read_count = self.record.borrow().read_count(&job);
            let mut from = 0;
            while from < read_count {
                if trainer::read_from(self, &job, from, Duration::ZERO).await {
                    // One page contains all results of such a small job.
                    from = read_count;
                } else if Instant::now() >= deadline {
                    let mut record = self.record.borrow_mut();
                    record.add_violation("accepted-never-lost", format!("{job} cannot be read"));
                    return;
                }
            }
        }
    }

    /// Checks that each host serves the route added by the last configuration.
    async fn check_configuration(&self) {
        let version = self.configuration.get();
        if version == 1 {
            return;
        }
        for host in &self.hosts {
            let attempt = format!("added-{}-{version}", host.name);
            let requests = [attempt.clone()];
            let answer = self
                .send_as(
                    host.addresses.clients,
                    accounts::account(0),
                    requests,
                    async |client| client.call(&standin::added_path(version), &attempt).await,
                )
                .await;
            let status = answer.as_ref().map(|answer| answer.status.as_u16());
            if status != Ok(200) {
                let seen = format!("{}: version {version}: {status:?}", host.name);
                self.record
                    .borrow_mut()
                    .add_violation("configuration-in-force", seen);
            }
        }
    }
}

const fn role(slot: usize) -> EngineRole {
    if slot < ENGINE_COUNT {
        EngineRole::Generates
    } else {
        EngineRole::Answers
    }
}
