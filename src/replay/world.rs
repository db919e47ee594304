//! The virtual time in which a trace runs: hosts, engines, trainers, the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures_util::FutureExt as _;
use rand::{Rng as _, SeedableRng as _};

use super::{
    engine::Engine,
    generation::Generation,
    table::Editor,
    tally::Tally,
    trainer::{Request, Trainer},
};
use crate::{
    call::claim_store::TableClaims,
    clock::Timestamp,
    control::{Control, Input, blackboard::UpstreamState, controller::Rng},
    engine::{routing::Policy, upstream_list},
    host::membership,
    ids::{CallNumber, HostId, RowId, StepNumber, UpstreamId, WeightVersion},
    observe::trace::{Event, HostPart, Trace},
    settings::Settings,
    share::fairness::{Ranking, Ticket},
    standin::table_service::MemoryTable,
    step,
    table::{
        change::{Change, RowEdit},
        edit,
    },
};

/// The step of virtual time.
pub const TICK: Duration = Duration::from_millis(10);

/// Ticks between two rounds of a host without inputs.
const IDLE_ROUND_TICKS: u64 = 10;

/// How long a host waits for a peer that does not answer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between two reads of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Chooses the policy of one host.
pub type MakePolicy<P> = fn(&HostId) -> P;

/// One host in its present or last life.
#[derive(Debug)]
pub struct Node<P, R> {
    /// Its settings.
    pub settings: Settings,
    /// Its controllers, while it lives.
    pub control: Option<Control<P, R>>,
    /// Numbers its lives.
    pub life: u64,
    /// When it was last started.
    pub started_at: Timestamp,
    /// Until when it stands still.
    pub paused_until: Timestamp,
    /// Inputs of its next round.
    pub inbox: Vec<Input>,
    /// How long after its planned end it is replaced.
    pub replace_after: Option<Duration>,
}

impl<P, R> Node<P, R> {
    /// Says whether it runs now.
    pub fn is_running(&self, now: Timestamp) -> bool {
        self.control.is_some() && now >= self.paused_until
    }
}

/// What a trainer's open call is about.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// The host that answers.
    pub host: HostId,
    /// The trainer, or `None` for a call beside the trainer's own.
    pub trainer: Option<RowId>,
    /// The step.
    pub step: StepNumber,
}

/// Something that happens later.
#[derive(Debug)]
pub enum Task {
    /// The outside does something.
    Event(Event),
    /// A host gets an input, if it still has that life.
    Input(HostId, u64, Input),
    /// A request of a trainer arrives at the owner.
    Request(HostId, Option<RowId>, Request),
    /// A trainer's request failed.
    Refused(RowId, StepNumber),
    /// A generation arrives at its dispatcher.
    Enqueue(Ticket),
    /// An answer arrives at a trainer.
    Accepted(RowId, StepNumber, bool),
    /// Samples arrive at a trainer.
    Reply(RowId, StepNumber, crate::step::attach::Reply),
    /// A host starts with nothing.
    Start(HostId),
    /// A fault ends.
    End(Fault),
    /// An edit is tried.
    Edit(Editor),
}

/// A fault that ends by itself.
#[derive(Debug)]
pub enum Fault {
    /// An engine falls back to this version.
    Swap(UpstreamId, WeightVersion),
    /// An engine is as fast as before.
    Slow(UpstreamId),
    /// An engine keeps the order of its chunks.
    Disorder(UpstreamId),
    /// Hosts reach each other.
    Partition,
    /// Datagrams are lost as before.
    Loss(f64),
    /// The table service answers.
    StoreDown,
    /// The table service answers in time.
    StoreSlow,
    /// The table service answers with what it holds.
    StoreOldReads,
}

/// Everything of one run.
#[derive(Debug)]
pub struct World<'a, P, R> {
    pub(super) trace: &'a Trace,
    pub(super) now: Timestamp,
    pub(super) rng: Rng,
    pub(super) nodes: BTreeMap<HostId, Node<P, R>>,
    pub(super) engines: BTreeMap<UpstreamId, Engine>,
    pub(super) trainers: BTreeMap<RowId, Trainer>,
    pub(super) generations: BTreeMap<Ticket, Generation>,
    pub(super) tickets: BTreeMap<(HostId, u64), Ticket>,
    pub(super) calls: BTreeMap<CallNumber, OpenCall>,
    pub(super) store: MemoryTable,
    pub(super) claims: TableClaims<MemoryTable>,
    pub(super) store_delay: Duration,
    pub(super) listed: BTreeMap<UpstreamId, UpstreamState>,
    pub(super) cut_off: BTreeSet<HostId>,
    pub(super) cut_from_store: bool,
    pub(super) loss_ratio: f64,
    pub(super) version: WeightVersion,
    pub(super) tally: Tally,
    make: MakePolicy<P>,
    tasks: BTreeMap<(Timestamp, u64), Task>,
    next_number: u64,
    next_list_at: Timestamp,
}

impl<'a, P: Policy, R: Ranking> World<'a, P, R> {
    /// Makes the world of `trace` with the policy that `make` gives each host.
    pub fn new(trace: &'a Trace, make: MakePolicy<P>) -> Self {
        let parts = &trace.header.settings;
        let store = MemoryTable::default();
        let mut world = Self {
            now: Timestamp::ZERO,
            rng: Rng::seed_from_u64(trace.header.seed),
            nodes: BTreeMap::new(),
            engines: parts
                .engines
                .iter()
                .map(|part| (part.id.clone(), Engine::new(part.clone())))
                .collect(),
            trainers: BTreeMap::new(),
            generations: BTreeMap::new(),
            tickets: BTreeMap::new(),
            calls: BTreeMap::new(),
            claims: TableClaims::new(store.clone()),
            store,
            store_delay: Duration::ZERO,
            listed: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            cut_from_store: false,
            loss_ratio: parts.loss_ratio,
            version: 1,
            tally: Tally::default(),
            make,
            tasks: BTreeMap::new(),
            next_number: 1,
            next_list_at: Timestamp::ZERO,
            trace,
        };
        world.fill_table();
        for (part, ordinal) in parts.hosts.iter().zip(0..) {
            world.add_host(part, ordinal);
        }
        for timed in &trace.events {
            world.schedule(timed.at, Task::Event(timed.event.clone()));
        }
        world
    }

    fn fill_table(&mut self) {
        let mut change = Change::new("trace-rows", "trace", 0);
        for row in &self.trace.header.settings.rows {
            let mut cells = match serde_json::to_value(row) {
                Ok(serde_json::Value::Object(cells)) => cells,
                _ => continue,
            };
            cells.remove("id");
            cells.remove("version");
            change = change.edit(RowEdit::set(row.id.clone(), 0, cells));
        }
        let filled = edit::attempt(&self.store, &change).now_or_never();
        if !matches!(filled, Some(Ok(edit::Attempt::Accepted(_)))) {
            tracing::error!(?filled, "the trace's rows do not fit the table");
        }
    }

    fn add_host(&mut self, part: &HostPart, ordinal: u32) {
        let hosts = &self.trace.header.settings.hosts;
        let settings = host_settings(part, ordinal, hosts.len());
        let node = Node {
            settings,
            control: None,
            life: 0,
            started_at: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
            inbox: Vec::new(),
            replace_after: None,
        };
        self.nodes.insert(part.id.clone(), node);
        self.start_host(&part.id);
    }

    /// Starts a new life of a host, with nothing kept.
    pub(super) fn start_host(&mut self, id: &HostId) {
        let (now, make) = (self.now, self.make);
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.life += 1;
        node.started_at = now;
        node.inbox.clear();
        let incarnation = u64::try_from(now.as_millis()).unwrap_or(0) + node.life;
        let seeded = Control::new(&node.settings, incarnation, make(id), now);
        node.control = Some(seeded);
        self.tally.host_started(id);
        self.push_list(&id.clone());
    }

    /// Draws a number that was not drawn before.
    pub(super) const fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Has `task` happen at `at`.
    pub(super) fn schedule(&mut self, at: Timestamp, task: Task) {
        let number = self.number();
        self.tasks.insert((at, number), task);
    }

    /// Has `task` happen after `delay`.
    pub(super) fn after(&mut self, delay: Duration, task: Task) {
        self.schedule(self.now + delay, task);
    }

    /// Returns the time of a message one way.
    pub(super) const fn delay(&self) -> Duration {
        Duration::from_millis(self.trace.header.settings.delay_ms)
    }

    /// Says whether a message gets from one host to the other.
    pub(super) fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        self.cut_off.contains(from) == self.cut_off.contains(to)
    }

    /// Says whether a host reaches the table service.
    pub(super) fn reaches_store(&self, host: &HostId) -> bool {
        !(self.cut_from_store && self.cut_off.contains(host))
    }

    /// Gives a host an input after `delay`, if it then still has this life.
    pub(super) fn send(&mut self, host: &HostId, delay: Duration, input: Input) {
        let Some(life) = self.nodes.get(host).map(|node| node.life) else {
            return;
        };
        self.after(delay, Task::Input(host.clone(), life, input));
    }

    /// Runs until the end of the trace.
    pub fn run(&mut self) {
        let end = Duration::from_millis(self.trace.header.duration_ms);
        let mut tick = 0;
        while self.now < end {
            self.now += TICK;
            tick += 1;
            self.run_tasks();
            self.run_engines();
            self.read_list();
            self.run_hosts(tick);
            self.run_trainers();
            self.watch_generations();
            self.observe();
        }
        for trainer in self.trainers.values_mut() {
            trainer.end(self.now);
        }
    }

    fn run_tasks(&mut self) {
        while let Some(entry) = self.tasks.first_entry()
            && entry.key().0 <= self.now
        {
            let task = entry.remove();
            self.run_task(task);
        }
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Event(event) => self.cause(event),
            Task::Input(host, life, input) => {
                if let Some(node) = self.nodes.get_mut(&host)
                    && node.life == life
                    && node.control.is_some()
                {
                    node.inbox.push(input);
                }
            }
            Task::Request(host, trainer, request) => self.take_request(&host, trainer, request),
            Task::Refused(trainer, step) => self.with_trainer(&trainer, |known, _, _| {
                known.refused(step, false);
            }),
            Task::Enqueue(ticket) => self.enqueue(ticket),
            Task::Accepted(trainer, step, is_accepted) => {
                self.with_trainer(&trainer, |known, _, _| known.accepted(step, is_accepted));
            }
            Task::Reply(trainer, step, reply) => self.take_reply(&trainer, step, reply),
            Task::Start(host) => self.start_host(&host),
            Task::End(fault) => self.end_fault(fault),
            Task::Edit(editor) => self.run_edit(editor),
        }
    }

    /// Lets a trainer act with the present version and time.
    pub(super) fn with_trainer(
        &mut self,
        trainer: &RowId,
        act: impl FnOnce(&mut Trainer, WeightVersion, Timestamp),
    ) {
        if let Some(known) = self.trainers.get_mut(trainer) {
            act(known, self.version, self.now);
        }
    }

    fn read_list(&mut self) {
        if self.now < self.next_list_at {
            return;
        }
        self.next_list_at = self.now + LIST_INTERVAL;
        for id in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.push_list(&id);
        }
    }

    /// Gives a host the platform's list.
    fn push_list(&mut self, host: &HostId) {
        let entries = self.engines.values().zip(1..).filter_map(|(engine, port)| {
            let part = engine.part();
            let state = self.listed.get(&part.id).copied().unwrap_or_default();
            (state != UpstreamState::Gone).then(|| upstream_list::Listed {
                id: part.id.clone(),
                kind: crate::control::blackboard::UpstreamKind::Engine,
                pool: crate::control::MODEL_POOL.into(),
                address: SocketAddr::from(([127, 1, 0, 1], port)),
                failure_domain: part.failure_domain.clone(),
                leaving: state == UpstreamState::Leaving,
                checks_fences: true,
            })
        });
        let list = upstream_list::Event::List(entries.collect());
        self.send(host, Duration::ZERO, Input::Upstreams(list));
    }

    fn run_hosts(&mut self, tick: u64) {
        for id in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let is_due = !node.inbox.is_empty() || tick.is_multiple_of(IDLE_ROUND_TICKS);
            if !is_due || !node.is_running(self.now) {
                continue;
            }
            let inputs = std::mem::take(&mut node.inbox);
            let age = self.now.saturating_sub(node.started_at);
            let open_count = self
                .generations
                .values()
                .filter(|generation| generation.dispatcher == id)
                .count();
            let Some(control) = &mut node.control else {
                continue;
            };
            inputs.into_iter().for_each(|input| control.enqueue(input));
            // A host's own clock starts with its life, as in the binaries.
            for effect in control.run(age, open_count) {
                self.act(&id, effect);
            }
        }
    }

    fn run_trainers(&mut self) {
        for row in self.trainers.keys().cloned().collect::<Vec<_>>() {
            let (version, now) = (self.version, self.now);
            let request = self
                .trainers
                .get_mut(&row)
                .and_then(|trainer| trainer.next(version, now));
            if let Some(request) = request {
                self.route(Some(row), request);
            }
        }
    }

    /// Passes a datagram between hosts, or loses it.
    pub(super) fn pass_datagram(
        &mut self,
        from: &HostId,
        to: SocketAddr,
        heartbeat: crate::host::gossip::Heartbeat,
    ) {
        let is_lost = self.rng.random_bool(self.loss_ratio.clamp(0.0, 1.0));
        let target = self
            .nodes
            .iter()
            .find(|(_, node)| node.settings.host.peer_address == to)
            .map(|(id, _)| id.clone());
        let source = self
            .nodes
            .get(from)
            .map(|node| node.settings.host.peer_address);
        let (Some(target), Some(source)) = (target, source) else {
            return;
        };
        if is_lost || !self.reaches(from, &target) {
            return;
        }
        let received = membership::Event::Received { heartbeat, source };
        self.send(&target, self.delay(), Input::Member(received));
    }
}

/// Makes the settings of a host in virtual time; its addresses are never used.
fn host_settings(part: &HostPart, ordinal: u32, host_count: usize) -> Settings {
    let address = |network: u8, ordinal: u32| {
        let [.., high, low] = (ordinal + 1).to_be_bytes();
        SocketAddr::from(([127, network, high, low], 9080))
    };
    let count = u32::try_from(host_count).unwrap_or(u32::MAX);
    let mut settings = Settings::for_host(crate::settings::HostSettings {
        id: part.id.clone(),
        region: part.region.clone(),
        failure_domain: part.failure_domain.clone(),
        ordinal,
        http_address: address(2, ordinal),
        peer_address: address(3, ordinal),
    });
    settings.seed_peers = (0..count).map(|other| address(3, other)).collect();
    settings.limits.max_hosts_count = count.max(1);
    settings.drain.grace_ms = 500;
    "http://127.0.0.1:1/".clone_into(&mut settings.platform.host_list_url);
    settings
}

/// The answers of this world to the outside: what was counted.
impl<P, R> World<'_, P, R> {
    /// Returns what was counted.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the trainers with what they counted.
    pub const fn trainers(&self) -> &BTreeMap<RowId, Trainer> {
        &self.trainers
    }

    /// Returns the work done and lost on samples by the hosts that live.
    pub fn counters(&self) -> step::Counters
    where
        P: Policy,
        R: Ranking,
    {
        let controls = self.nodes.values().filter_map(|node| node.control.as_ref());
        controls.fold(step::Counters::default(), |mut sum, control| {
            let counters = control.counters();
            sum.dispatched_count += counters.dispatched_count;
            sum.hedged_count += counters.hedged_count;
            sum
        })
    }

    /// Returns the tokens that all engines generated.
    pub fn generated_tokens(&self) -> u64 {
        self.engines
            .values()
            .map(|engine| engine.generated_tokens)
            .sum()
    }
}

/// Shares a row's weight with whoever needs it.
pub(super) fn weight_of(trace: &Trace, row: &RowId) -> f64 {
    let rows = &trace.header.settings.rows;
    rows.iter()
        .find(|known| known.id == *row)
        .map_or(1.0, |known| known.weight_ratio)
}

/// A spec that several attempts share.
pub(super) type SharedDispatch = Arc<step::Dispatch>;
