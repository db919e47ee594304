//! One seed: the processes, the stand-ins, the faults and the verdict.

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
    self, Client, Engine, EngineRole, MODELS, Record, Store, StoreFault,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::sleep,
};

use crate::{
    caller, fault,
    fleet::Host,
    proxy::{LinkFault, Proxy},
    trainer,
};

/// Chooses the faults.
pub type Seed = u64;

/// The program that is soaked, beside this one.
const PROGRAM: &str = "mimosavane-entry";

/// How many engines there are, and services that answer calls.
const ENGINE_COUNT: usize = 4;
const SERVICE_COUNT: usize = 2;

/// How long the hosts have to start, and to recover: the sheets' `recovery_s`.
pub const RECOVERY: Duration = Duration::from_secs(12);

/// How long the traffic goes on behind the last fault: time to recover, and for a
/// whole step.
const CALM_TIME: Duration = Duration::from_secs(15);

/// How long the final look at all jobs may take.
const AUDIT_TIME: Duration = Duration::from_secs(10);

/// How long an instance that ended stays unreachable.
const REPLACE_TIME: Duration = Duration::from_millis(300);

/// How many violations of one seed are printed.
const MAX_PRINTED_COUNT: usize = 20;

/// How a seed is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many hosts there are.
    pub host_count: usize,
    /// How long faults come.
    pub duration: Duration,
    /// Where the files of seeds go that fail.
    pub logs: PathBuf,
}

/// What the tasks of one seed share.
pub struct Scene {
    /// The hosts.
    pub hosts: Vec<Rc<Host>>,
    /// The store.
    pub store: Store,
    /// The upstreams as they are now, engines first.
    pub engines: RefCell<Vec<Rc<Engine>>>,
    /// The proxies before them.
    pub engine_links: Vec<Rc<Proxy>>,
    /// What was seen.
    pub record: Rc<RefCell<Record>>,
    /// Whether callers and trainers stop.
    pub is_over: Cell<bool>,
    started: Instant,
    disturbed_at: Cell<Option<Instant>>,
    /// When a fault or planned work last began or ended.
    touched_at: Cell<Option<Instant>>,
    configuration: Cell<u64>,
    engine_number: Cell<u64>,
    notes: RefCell<fs::File>,
}

/// Plays `seed`, prints its verdict, and says whether all promises were kept.
///
/// # Errors
///
/// Fails where the processes cannot be run at all.
pub fn play(plan: &Plan, seed: Seed) -> Result<bool> {
    let folder = plan.logs.join(format!("seed-{seed}"));
    if folder.exists() {
        fs::remove_dir_all(&folder).context("emptying the folder")?;
    }
    fs::create_dir_all(&folder).context("making the folder")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let record = runtime.block_on(LocalSet::new().run_until(run(plan, seed, &folder)))?;
    let counts = record
        .counts()
        .iter()
        .fold(String::new(), |text, (what, count)| {
            format!("{text}, {count} {what}")
        });
    let violations = record.close();
    if violations.is_empty() {
        println!("seed {seed}: kept{counts}");
        fs::remove_dir_all(&folder).context("removing the folder")?;
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

async fn run(plan: &Plan, seed: Seed, folder: &std::path::Path) -> Result<Record> {
    let scene = Rc::new(Scene::start(plan, folder).await?);
    scene.wait_until_ready().await;
    let mut tasks = Vec::new();
    for (number, host) in scene.hosts.iter().enumerate() {
        tasks.push(spawn_local(caller::call(
            scene.clone(),
            host.clone(),
            number,
        )));
    }
    for (model, path) in MODELS {
        tasks.push(spawn_local(trainer::train(scene.clone(), model, path)));
    }
    let random = ChaCha8Rng::seed_from_u64(seed);
    fault::play(&scene, random, seed, plan.duration).await;
    scene.heal();
    scene.note("healed");
    scene.wait_until_ready().await;
    sleep(CALM_TIME).await;
    scene.is_over.set(true);
    for task in tasks {
        // A task that panicked shows on standard error.
        let _ = task.await;
    }
    scene.audit().await;
    scene.check_configuration().await;
    for host in &scene.hosts {
        host.kill();
    }
    Ok(std::mem::take(&mut *scene.record.borrow_mut()))
}

impl Scene {
    async fn start(plan: &Plan, folder: &std::path::Path) -> Result<Self> {
        let program = std::env::current_exe()
            .context("finding this program")?
            .with_file_name(PROGRAM);
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .context("the store")?;
        let store_address = listener.local_addr().context("the store")?;
        let store = Store::start(listener);
        standin::configure(&store, 1);
        let mut hosts = Vec::new();
        for number in 0..plan.host_count {
            let link = Proxy::start(store_address).await?;
            let host = Host::new(format!("host-{number}"), &program, folder, link)?;
            host.start()?;
            hosts.push(Rc::new(host));
        }
        let scene = Self {
            hosts,
            store,
            engines: RefCell::default(),
            engine_links: Vec::new(),
            record: Rc::default(),
            is_over: Cell::new(false),
            started: Instant::now(),
            disturbed_at: Cell::new(None),
            touched_at: Cell::new(None),
            configuration: Cell::new(1),
            engine_number: Cell::new(0),
            notes: RefCell::new(
                fs::File::create(folder.join("faults.log")).context("the list of faults")?,
            ),
        };
        let mut links = Vec::new();
        for slot in 0..ENGINE_COUNT + SERVICE_COUNT {
            // The target is set before the address is told to anyone.
            let link = Proxy::start(store_address).await?;
            let engine = scene
                .new_engine(role(slot), &link, Engine::first_versions())
                .await?;
            scene.engines.borrow_mut().push(engine);
            links.push(link);
        }
        Ok(Self {
            engine_links: links,
            ..scene
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
            .context("an engine")?;
        link.set_target(listener.local_addr().context("an engine")?);
        let number = self.engine_number.get() + 1;
        self.engine_number.set(number);
        Ok(Engine::start(
            format!("i-{number:04}"),
            role,
            listener,
            link.address,
            versions,
            self.store.clone(),
            self.record.clone(),
        ))
    }

    /// Ends an upstream and starts another one at its address.
    pub async fn replace_engine(&self, slot: usize) {
        let engine = self.engines.borrow()[slot].clone();
        engine.stop();
        sleep(REPLACE_TIME).await;
        let link = &self.engine_links[slot];
        match self.new_engine(role(slot), link, engine.versions()).await {
            Ok(next) => self.engines.borrow_mut()[slot] = next,
            Err(error) => self.fail(&error),
        }
    }

    /// Ends a host's process at once and starts the next.
    pub async fn restart(&self, host: &Host) {
        let _replacing = host.replacing.lock().await;
        if !host.has_ended() {
            host.disturb();
        }
        host.kill();
        sleep(REPLACE_TIME).await;
        if let Err(error) = host.start() {
            self.fail(&error);
        }
    }

    /// Puts the next configuration in force.
    pub fn configure(&self) {
        let version = self.configuration.get() + 1;
        self.configuration.set(version);
        standin::configure(&self.store, version);
    }

    /// Notes that something unplanned happened to all.
    pub fn disturb(&self) {
        self.disturbed_at.set(Some(Instant::now()));
    }

    /// Says whether nothing unplanned happened for `time`.
    pub fn is_calm_for(&self, time: Duration) -> bool {
        self.disturbed_at
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Notes that a fault or planned work began or ended.
    pub fn touch(&self) {
        self.touched_at.set(Some(Instant::now()));
    }

    /// Says whether there was neither a fault nor planned work for `time`.
    pub fn is_quiet_for(&self, time: Duration) -> bool {
        self.touched_at.get().is_none_or(|at| at.elapsed() >= time)
    }

    /// Returns the host that gave the last order.
    pub fn holder(&self) -> Option<&Rc<Host>> {
        let record = self.record.borrow();
        let name = record.last_holder()?;
        self.hosts.iter().find(|host| host.name == name)
    }

    /// Returns a host, drawn at random.
    pub fn any_host(&self) -> Rc<Host> {
        self.hosts[rand::rng().random_range(0..self.hosts.len())].clone()
    }

    /// Writes a line to the list of faults.
    pub fn note(&self, text: &str) {
        let line = format!("{:.3} {text}\n", self.started.elapsed().as_secs_f64());
        // The list helps to read the logs; the verdict does not rest on it.
        let _ = self.notes.borrow_mut().write_all(line.as_bytes());
    }

    fn fail(&self, error: &anyhow::Error) {
        self.record
            .borrow_mut()
            .add_violation("soak-runs", format!("{error:#}"));
    }

    fn heal(&self) {
        self.store.set_fault(StoreFault::None);
        for host in &self.hosts {
            host.link.set_fault(LinkFault::None);
        }
        for link in &self.engine_links {
            link.set_fault(LinkFault::None);
        }
    }

    async fn wait_until_ready(&self) {
        let end = Instant::now() + RECOVERY;
        for host in &self.hosts {
            loop {
                let answer =
                    Client::send_once(host.addresses.ready, async |client| client.ready().await)
                        .await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() >= end {
                    let mut record = self.record.borrow_mut();
                    record.add_violation("recovers", format!("{} is not ready", host.name));
                    break;
                }
                sleep(REPLACE_TIME / 3).await;
            }
        }
    }

    /// Reads all jobs from their start at any host.
    async fn audit(&self) {
        let end = Instant::now() + AUDIT_TIME;
        let jobs = self.record.borrow().accepted_jobs();
        for job in jobs {
            let known_count = self.record.borrow().read_count(&job);
            let mut from = 0;
            while from < known_count {
                if trainer::read_from(self, &job, from, Duration::ZERO).await {
                    // A page holds all of a small job.
                    from = known_count;
                } else if Instant::now() >= end {
                    let mut record = self.record.borrow_mut();
                    record.add_violation("accepted-never-lost", format!("{job} cannot be read"));
                    return;
                }
            }
        }
    }

    /// Checks that each host serves the route that came last.
    async fn check_configuration(&self) {
        let version = self.configuration.get();
        if version == 1 {
            return;
        }
        for host in &self.hosts {
            let attempt = format!("added-{}-{version}", host.name);
            let answer = Client::send_once(host.addresses.clients, async |client| {
                client.call(&standin::added_path(version), &attempt).await
            })
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
