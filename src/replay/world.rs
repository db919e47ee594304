//! The simulated fleet that a trace runs on: hosts, engines, trainers and the
//! store, all in virtual time.

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
    table::PendingEdit,
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
    observe::trace::{Event, InitialHost, Trace},
    settings::Settings,
    share::fairness::{Ranking, Ticket},
    standin::table_service::MemoryTable,
    step,
    table::{
        change::{Change, RowEdit},
        edit,
    },
};

/// The step by which virtual time advances.
pub const TICK: Duration = Duration::from_millis(10);

/// The number of ticks between rounds of a host that has no inputs.
const IDLE_ROUND_TICKS: u64 = 10;

/// How long a host waits for an answer from a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which hosts read the platform's list of upstreams.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the policy of a host.
pub type MakePolicy<P> = fn(&HostId) -> P;

/// A simulated host, running or stopped.
#[derive(Debug)]
pub struct Node<P, R> {
    /// The settings of the host.
    pub settings: Settings,
    /// The controllers of the host, or `None` while it is stopped.
    pub control: Option<Control<P, R>>,
    /// How many times the host was started. An input that was sent before a
    /// restart is dropped.
    pub start_count: u64,
    /// When the host was last started.
    pub started_at: Timestamp,
    /// The time until which the host is paused.
    pub paused_until: Timestamp,
    /// The inputs of the host's next round.
    pub inbox: Vec<Input>,
    /// How long after a planned stop the host is replaced, if it is.
    pub replace_after: Option<Duration>,
}

impl<P, R> Node<P, R> {
    /// Returns whether the host is started and not paused.
    pub fn is_running(&self, now: Timestamp) -> bool {
        self.control.is_some() && now >= self.paused_until
    }
}

/// A trainer's request that is not answered yet.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// The host that received the request.
    pub host: HostId,
    /// The trainer, or `None` for a pull that the trace makes in addition to the
    /// trainer's own.
    pub trainer: Option<RowId>,
    /// The step.
    pub step: StepNumber,
}

/// A scheduled event.
#[derive(Debug)]
pub enum Task {
    /// An event of the trace occurs.
    Event(Event),
    /// A host receives an input, if it still has this start count.
    Input(HostId, u64, Input),
    /// A trainer's request arrives at a host.
    Request(HostId, Option<RowId>, Request),
    /// A trainer's request fails.
    RequestFailed(RowId, StepNumber),
    /// A generation arrives at its dispatcher.
    Enqueue(Ticket),
    /// The answer to a submission arrives at a trainer; it says whether the step
    /// was accepted.
    SubmitResult(RowId, StepNumber, bool),
    /// The answer to a pull arrives at a trainer.
    Reply(RowId, StepNumber, crate::step::attach::Reply),
    /// A host starts without any state.
    StartHost(HostId),
    /// A temporary fault ends.
    EndFault(Fault),
    /// An edit is attempted.
    Edit(PendingEdit),
}

/// A temporary fault, with what is restored at its end.
#[derive(Debug)]
pub enum Fault {
    /// An engine runs another weight version; this one is restored.
    Swap(UpstreamId, WeightVersion),
    /// An engine is slow.
    Slow(UpstreamId),
    /// An engine duplicates or reorders chunks.
    Disorder(UpstreamId),
    /// Some hosts cannot reach the others.
    Partition,
    /// Datagrams are lost at another ratio; this one is restored.
    Loss(f64),
    /// The table service does not answer.
    StoreDown,
    /// The table service answers late.
    StoreSlow,
    /// The table service answers reads with old data.
    StoreOldReads,
}

/// The state of one replay.
#[derive(Debug)]
pub struct World<'a, P, R> {
    pub(super) trace: &'a Trace,
    pub(super) now: Timestamp,
    pub(super) rng: Rng,
    pub(super) nodes: BTreeMap<HostId, Node<P, R>>,
    pub(super) engines: BTreeMap<UpstreamId, Engine>,
    pub(super) trainers: BTreeMap<RowId, Trainer>,
    pub(super) generations: BTreeMap<Ticket, Generation>,
    /// The tickets of the generations, by owner and attempt.
    pub(super) tickets: BTreeMap<(HostId, u64), Ticket>,
    pub(super) calls: BTreeMap<CallNumber, OpenCall>,
    pub(super) store: MemoryTable,
    pub(super) claims: TableClaims<MemoryTable>,
    pub(super) store_delay: Duration,
    /// The states in the platform's list, of upstreams that the trace changed.
    pub(super) upstream_states: BTreeMap<UpstreamId, UpstreamState>,
    /// The hosts on one side of the current partition.
    pub(super) partitioned_hosts: BTreeSet<HostId>,
    /// Whether `partitioned_hosts` cannot reach the table service.
    pub(super) is_store_partitioned: bool,
    pub(super) loss_ratio: f64,
    pub(super) newest_version: WeightVersion,
    pub(super) tally: Tally,
    make_policy: MakePolicy<P>,
    tasks: BTreeMap<(Timestamp, u64), Task>,
    next_number: u64,
    next_list_at: Timestamp,
}

impl<'a, P: Policy, R: Ranking> World<'a, P, R> {
    /// Creates the fleet of `trace`, with a policy from `make_policy` for each host.
    pub fn new(trace: &'a Trace, make_policy: MakePolicy<P>) -> Self {
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
            upstream_states: BTreeMap::new(),
            partitioned_hosts: BTreeSet::new(),
            is_store_partitioned: false,
            loss_ratio: parts.loss_ratio,
            newest_version: 1,
            tally: Tally::default(),
            make_policy,
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
            tracing::error!(?filled, "cannot write the rows of the trace to the table");
        }
    }

    fn add_host(&mut self, part: &InitialHost, ordinal: u32) {
        let hosts = &self.trace.header.settings.hosts;
        let settings = host_settings(part, ordinal, hosts.len());
        let node = Node {
            settings,
            control: None,
            start_count: 0,
            started_at: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
            inbox: Vec::new(),
            replace_after: None,
        };
        self.nodes.insert(part.id.clone(), node);
        self.start_host(&part.id);
    }

    /// Starts or restarts a host without any earlier state.
    pub(super) fn start_host(&mut self, id: &HostId) {
        let (now, make_policy) = (self.now, self.make_policy);
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.start_count += 1;
        node.started_at = now;
        node.inbox.clear();
        let incarnation = u64::try_from(now.as_millis()).unwrap_or(0) + node.start_count;
        let control = Control::new(&node.settings, incarnation, make_policy(id), now);
        node.control = Some(control);
        self.tally.record_start(id);
        self.send_upstream_list(&id.clone());
    }

    /// Returns a number that is unique within the replay.
    pub(super) const fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Schedules `task` at `at`.
    pub(super) fn schedule(&mut self, at: Timestamp, task: Task) {
        let number = self.next_number();
        self.tasks.insert((at, number), task);
    }

    /// Schedules `task` after `delay`.
    pub(super) fn schedule_after(&mut self, delay: Duration, task: Task) {
        self.schedule(self.now + delay, task);
    }

    /// Returns the one-way latency of a message.
    pub(super) const fn message_delay(&self) -> Duration {
        Duration::from_millis(self.trace.header.settings.delay_ms)
    }

    /// Returns whether messages from `from` reach `to`.
    pub(super) fn can_reach(&self, from: &HostId, to: &HostId) -> bool {
        self.partitioned_hosts.contains(from) == self.partitioned_hosts.contains(to)
    }

    /// Returns whether a host can reach the table service.
    pub(super) fn can_reach_store(&self, host: &HostId) -> bool {
        !(self.is_store_partitioned && self.partitioned_hosts.contains(host))
    }

    /// Sends a host an input that arrives after `delay`, unless the host restarts
    /// before.
    pub(super) fn send_input(&mut self, host: &HostId, delay: Duration, input: Input) {
        let Some(start_count) = self.nodes.get(host).map(|node| node.start_count) else {
            return;
        };
        self.schedule_after(delay, Task::Input(host.clone(), start_count, input));
    }

    /// Runs the replay to the end of the trace.
    pub fn run(&mut self) {
        let end = Duration::from_millis(self.trace.header.duration_ms);
        let mut tick = 0;
        while self.now < end {
            self.now += TICK;
            tick += 1;
            self.run_tasks();
            self.run_engines();
            self.refresh_upstream_lists();
            self.run_hosts(tick);
            self.run_trainers();
            self.check_generations();
            self.observe();
        }
        for trainer in self.trainers.values_mut() {
            trainer.finish(self.now);
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
            Task::Event(event) => self.apply_event(event),
            Task::Input(host, start_count, input) => {
                if let Some(node) = self.nodes.get_mut(&host)
                    && node.start_count == start_count
                    && node.control.is_some()
                {
                    node.inbox.push(input);
                }
            }
            Task::Request(host, trainer, request) => self.deliver_request(&host, trainer, request),
            Task::RequestFailed(trainer, step) => self.with_trainer(&trainer, |trainer, _, _| {
                trainer.record_failure(step, false);
            }),
            Task::Enqueue(ticket) => self.enqueue(ticket),
            Task::SubmitResult(trainer, step, is_accepted) => {
                self.with_trainer(&trainer, |trainer, _, _| {
                    trainer.record_submit_result(step, is_accepted);
                });
            }
            Task::Reply(trainer, step, reply) => self.deliver_reply(&trainer, step, reply),
            Task::StartHost(host) => self.start_host(&host),
            Task::EndFault(fault) => self.end_fault(fault),
            Task::Edit(edit) => self.run_edit(edit),
        }
    }

    /// Calls `act` with a trainer, the newest weight version and the current time.
    pub(super) fn with_trainer(
        &mut self,
        trainer: &RowId,
        act: impl FnOnce(&mut Trainer, WeightVersion, Timestamp),
    ) {
        if let Some(trainer) = self.trainers.get_mut(trainer) {
            act(trainer, self.newest_version, self.now);
        }
    }

    fn refresh_upstream_lists(&mut self) {
        if self.now < self.next_list_at {
            return;
        }
        self.next_list_at = self.now + LIST_INTERVAL;
        for id in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.send_upstream_list(&id);
        }
    }

    /// Sends a host the platform's list of upstreams.
    fn send_upstream_list(&mut self, host: &HostId) {
        let entries = self.engines.values().zip(1..).filter_map(|(engine, port)| {
            let part = engine.part();
            let state = self
                .upstream_states
                .get(&part.id)
                .copied()
                .unwrap_or_default();
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
        self.send_input(host, Duration::ZERO, Input::Upstreams(list));
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
            // The clock of a host starts at zero with its process, as in the binaries.
            for effect in control.run(age, open_count) {
                self.apply_effect(&id, effect);
            }
        }
    }

    fn run_trainers(&mut self) {
        for row in self.trainers.keys().cloned().collect::<Vec<_>>() {
            let (version, now) = (self.newest_version, self.now);
            let request = self
                .trainers
                .get_mut(&row)
                .and_then(|trainer| trainer.next_request(version, now));
            if let Some(request) = request {
                self.route(Some(row), request);
            }
        }
    }

    /// Delivers a datagram to another host, or drops it at the loss ratio.
    pub(super) fn send_datagram(
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
        if is_lost || !self.can_reach(from, &target) {
            return;
        }
        let received = membership::Event::Received { heartbeat, source };
        self.send_input(&target, self.message_delay(), Input::Member(received));
    }
}

/// Returns the settings of a simulated host. Its addresses only identify it;
/// nothing connects to them.
fn host_settings(part: &InitialHost, ordinal: u32, host_count: usize) -> Settings {
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

/// What the figures of a replay are collected from.
impl<P, R> World<'_, P, R> {
    /// Returns the counts and delays across all parts.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the trainers, which have counts of their own.
    pub const fn trainers(&self) -> &BTreeMap<RowId, Trainer> {
        &self.trainers
    }

    /// Returns the sums of the dispatched and hedged attempts of all running hosts.
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

    /// Returns the number of tokens that all engines generated.
    pub fn generated_tokens(&self) -> u64 {
        self.engines
            .values()
            .map(|engine| engine.generated_tokens)
            .sum()
    }
}

/// Returns the weight of a row, or 1 if the trace does not define the row.
pub(super) fn weight_of(trace: &Trace, row: &RowId) -> f64 {
    let rows = &trace.header.settings.rows;
    rows.iter()
        .find(|candidate| candidate.id == *row)
        .map_or(1.0, |row| row.weight_ratio)
}

/// A dispatch that is shared without copying it.
pub(super) type SharedDispatch = Arc<step::Dispatch>;
