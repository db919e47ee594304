//! Simulates the control threads of a fleet in virtual time and counts their
//! messages.

use std::{
    collections::BTreeMap,
    mem,
    net::SocketAddr,
    time::{Duration, Instant},
};

use mimosavane::{
    Row,
    control::{
        Control, Effect, Input, MODEL_POOL, TICK,
        blackboard::{EngineReport, UpstreamKind},
    },
    engine::{routing::Router, upstream_list, watch},
    entry::messages,
    host::{gossip::Heartbeat, membership},
    ids::HostId,
    proto::peer,
    settings::{HostSettings, Settings},
    share::charge::Weighted,
    store::follower,
};
use prost::Message as _;

use super::allocation;

/// The step of virtual time, which is also the delay of a message.
const STEP: Duration = Duration::from_millis(50);

/// The number of steps between two rounds of a host that has no inputs.
const STEPS_PER_TICK: u64 = TICK.as_millis() as u64 / STEP.as_millis() as u64;

/// The approximate size of an entry in the platform's list of upstreams.
const LIST_ENTRY_BYTES: usize = 100;

/// The bandwidth that a host spends on reading that list.
const LIST_RATE_BYTES_PER_S: u64 = 4_096;

/// The number of rows in the table.
const ROW_COUNT: usize = 11;

/// The number of engines per host.
pub const ENGINES_PER_HOST: usize = 6;

/// The maximum size that the authentication tag and the sequence number add to a
/// datagram.
const SEAL_BYTES: usize = 48;

/// The processor time and messages that all hosts have used so far.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    pub processor_time: Duration,
    pub datagrams_count: usize,
    pub datagram_bytes: usize,
    pub exchanges_count: usize,
    pub exchange_bytes: usize,
    pub polls_count: usize,
    pub reads_count: usize,
}

struct Node {
    control: Control<Router, Weighted>,
    inbox: Vec<Input>,
    started_at: Duration,
}

/// The hosts and the messages in flight between them.
pub struct Fleet {
    pub now: Duration,
    pub usage: ResourceUsage,
    pub is_store_up: bool,
    nodes: Vec<Node>,
    settings: Vec<Settings>,
    numbers_by_id: BTreeMap<HostId, usize>,
    numbers_by_address: BTreeMap<SocketAddr, usize>,
    rows: Vec<Row>,
    step_count: u64,
}

fn address(network: u8, number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, network, high, low], 9_080))
}

fn settings(number: usize, host_count: usize) -> Settings {
    let mut settings = Settings::for_host(HostSettings {
        id: format!("entry-{number:04}").into(),
        region: format!("region-{}", number % 7).into(),
        failure_domain: format!("domain-{}", number % 19).into(),
        ordinal: number as u32,
        http_address: address(2, number),
        peer_address: address(3, number),
    });
    settings.seed_peers = (0..host_count.min(12))
        .map(|seed| address(3, seed))
        .collect();
    settings.limits.max_hosts_count = host_count as u32;
    settings
}

fn listed(number: usize) -> upstream_list::Listed {
    upstream_list::Listed {
        id: format!("engine-{number:04}").into(),
        kind: UpstreamKind::Engine,
        pool: MODEL_POOL.into(),
        address: address(1, number),
        failure_domain: format!("domain-{}", number % 19).into(),
        leaving: false,
        checks_fences: true,
    }
}

impl Fleet {
    /// Creates a fleet whose hosts have all just started.
    pub fn new(host_count: usize) -> Self {
        let settings: Vec<_> = (0..host_count)
            .map(|number| settings(number, host_count))
            .collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            step_count: 0,
            usage: ResourceUsage::default(),
            is_store_up: true,
            nodes: Vec::new(),
            numbers_by_id: settings
                .iter()
                .map(|host| host.host.id.clone())
                .zip(0..)
                .collect(),
            numbers_by_address: (0..host_count)
                .map(|number| (address(3, number), number))
                .collect(),
            rows: (0..ROW_COUNT)
                .map(|number| Row::new(format!("row-{number:02}")))
                .collect(),
            settings,
        };
        fleet.restart();
        fleet
    }

    /// Restarts all hosts at the same moment, each with a new incarnation.
    pub fn restart(&mut self) {
        let incarnation = self.now.as_millis() as u64 + 1;
        self.nodes = self
            .settings
            .iter()
            .map(|settings| Node {
                control: Control::new(
                    settings,
                    incarnation,
                    Router::new(settings.host.id.clone()),
                    Duration::ZERO,
                ),
                inbox: Vec::new(),
                started_at: self.now,
            })
            .collect();
    }

    /// Returns the number of hosts that see all hosts of the fleet alive.
    pub fn joined_count(&self) -> usize {
        let all = self.nodes.len();
        let is_joined = |node: &&Node| node.control.board().hosts.live().count() == all;
        self.nodes.iter().filter(is_joined).count()
    }

    /// Runs the fleet for `time` and returns the highest number of store reads in one
    /// second.
    pub fn run_for(&mut self, time: Duration) -> usize {
        let end = self.now + time;
        let mut max_reads = 0;
        while self.now < end {
            let before = self.usage.reads_count;
            self.run_second();
            max_reads = max_reads.max(self.usage.reads_count - before);
        }
        max_reads
    }

    fn run_second(&mut self) {
        let end = self.now + Duration::from_secs(1);
        let engine_count = self.nodes.len() * ENGINES_PER_HOST;
        let list_bytes = (engine_count * LIST_ENTRY_BYTES) as u64;
        let seconds = self.now.as_secs();
        let is_list_due = seconds.is_multiple_of((list_bytes / LIST_RATE_BYTES_PER_S).max(1));
        for node in self.nodes.iter_mut().filter(|_| is_list_due) {
            // Each host gets its own copy of the identifiers, as in separate processes,
            // so that its state is measured in full.
            let list = upstream_list::Event::List((0..engine_count).map(listed).collect());
            node.inbox.push(Input::Upstreams(list));
        }
        while self.now < end {
            self.now += STEP;
            self.step_count += 1;
            let effects = self.run_hosts();
            for (from, effect) in effects {
                self.apply(from, effect);
            }
        }
    }

    fn run_hosts(&mut self) -> Vec<(usize, Effect)> {
        let mut effects = Vec::new();
        let is_tick = self.step_count.is_multiple_of(STEPS_PER_TICK);
        for (number, node) in self.nodes.iter_mut().enumerate() {
            // Engine reports alone do not start a round before the next tick, as in the
            // entry host.
            let can_wait = |input: &Input| matches!(input, Input::Engine(_));
            if !is_tick && node.inbox.iter().all(can_wait) {
                continue;
            }
            let age = self.now - node.started_at;
            let inputs = mem::take(&mut node.inbox);
            let start = Instant::now();
            for input in inputs {
                node.control.enqueue(input);
            }
            let node_effects = node.control.run(age, 0);
            self.usage.processor_time += start.elapsed();
            effects.extend(node_effects.into_iter().map(|effect| (number, effect)));
        }
        effects
    }

    fn apply(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::SendHeartbeat { to, heartbeat } => self.send_heartbeat(from, to, heartbeat),
            Effect::SendMessage { to, message } => {
                let from = self.settings[from].host.id.clone();
                let request = messages::write_exchange(&from, message.clone());
                self.usage.exchanges_count += 1;
                self.usage.exchange_bytes += request.encoded_len();
                if let Some(target) = self.numbers_by_id.get(&to) {
                    let input = Input::Exchange { from, message };
                    self.nodes[*target].inbox.push(input);
                }
            }
            Effect::ReadTable(action) => self.read_table(from, action),
            Effect::PollEngine { engine, .. } => {
                self.usage.polls_count += 1;
                let report = EngineReport {
                    boot: 1,
                    weight_version: 5,
                    running: 30,
                    slots: 64,
                    token_time: Duration::from_millis(25),
                    ..EngineReport::default()
                };
                let reported = watch::Event::Reported { engine, report };
                self.nodes[from].inbox.push(Input::Engine(reported));
            }
            _ => {}
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: SocketAddr, heartbeat: Heartbeat) {
        self.usage.datagrams_count += 1;
        let length = peer::Heartbeat::from(&heartbeat).encoded_len();
        self.usage.datagram_bytes += length + SEAL_BYTES;
        if let Some(target) = self.numbers_by_address.get(&to) {
            let source = address(3, from);
            let received = membership::Event::Received { heartbeat, source };
            self.nodes[*target].inbox.push(Input::Member(received));
        }
    }

    fn read_table(&mut self, from: usize, action: follower::Action) {
        let event = match action {
            follower::Action::PollStore { above_revision } => {
                self.usage.reads_count += 1;
                if self.is_store_up {
                    follower::Event::StoreAnswered {
                        revision: 1,
                        rows: (above_revision < 1).then(|| self.rows.clone()),
                    }
                } else {
                    follower::Event::StoreFailed
                }
            }
            follower::Action::FetchFromPeer { host, .. } => {
                let target = self
                    .numbers_by_id
                    .get(&host)
                    .map(|target| &self.nodes[*target]);
                let rows = target.map(|node| node.control.board().rows.clone());
                rows.map_or(follower::Event::PeerFailed { host: host.clone() }, |rows| {
                    follower::Event::PeerAnswered {
                        host,
                        revision: rows.revision,
                        rows: rows.rows.values().map(|row| Row::clone(row)).collect(),
                    }
                })
            }
        };
        self.nodes[from].inbox.push(Input::Table(event));
    }

    /// Returns the mean state of a host in bytes, without that of the simulation.
    pub fn state_bytes(mut self) -> f64 {
        let count = self.nodes.len() as f64;
        let before = allocation::live_bytes();
        let nodes = mem::take(&mut self.nodes);
        drop(nodes);
        (before - allocation::live_bytes()) as f64 / count
    }
}
