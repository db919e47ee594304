//! Production membership controllers on a simulated network in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use mimosavane::{
    Blackboard, Controller as _,
    clock::Timestamp,
    control::{
        blackboard::{Host, HostState},
        controller::{Rng, Round},
        decision::Decision,
    },
    host::{
        datagram::{Key, Signer, Verifier},
        membership::{Action, Config, Controller, Event},
    },
};
use rand::{Rng as _, SeedableRng};

/// The interval between rounds of a host.
const TICK: Duration = Duration::from_millis(50);
/// The size of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// A host with its network state.
pub struct Node {
    pub own: Host,
    pub controller: Controller,
    pub board: Blackboard,
    pub decisions: Vec<Decision>,
    pub actions: Vec<Action>,
    pub running: bool,
    pub paused_until: Timestamp,
    pub sent_bytes: u64,
    pub sent_count: u64,
    pub largest_bytes: usize,
    signer: Signer,
    verifier: Verifier,
    inbox: Vec<Event>,
    rng: Rng,
}

/// A datagram in flight.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Flight {
    at: Timestamp,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A fleet of hosts and the network between them.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: Timestamp,
    pub loss_ratio: f64,
    pub delay_ms: std::ops::Range<u64>,
    /// Returns whether the network between two hosts is cut.
    pub cut: fn(&Host, &Host) -> bool,
    /// Pairs of hosts of which the first cannot reach the second.
    pub severed: BTreeSet<(usize, usize)>,
    pub config: fn(&mut Config),
    flights: BinaryHeap<Reverse<Flight>>,
    addresses: BTreeMap<SocketAddr, usize>,
    flight_count: u64,
    last_incarnation: u64,
    rng: Rng,
}

fn address(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + u32::try_from(index).expect("index fits in u32") + 1);
    SocketAddr::new(IpAddr::V4(ip), 9080)
}

pub fn host(index: usize, region_count: usize, incarnation: u64) -> Host {
    let region = index % region_count;
    let domain = index / region_count % 3;
    Host {
        id: format!("entry-{index:04}").into(),
        incarnation,
        state: HostState::Alive,
        failure_domain: format!("region-{region}-{domain}").into(),
        region: format!("region-{region}").into(),
        peer_address: address(index),
        http_address: SocketAddr::new(address(index).ip(), 8080),
    }
}

impl Fleet {
    /// Starts `count` hosts that have the first three as seed peers.
    pub fn start(count: usize, region_count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Timestamp::ZERO,
            loss_ratio: 0.0,
            delay_ms: 1..4,
            cut: |_, _| false,
            severed: BTreeSet::new(),
            config: |_| {},
            flights: BinaryHeap::new(),
            addresses: BTreeMap::new(),
            flight_count: 0,
            last_incarnation: 1_000,
            rng: Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            fleet.addresses.insert(address(index), index);
            let node = fleet.node(host(index, region_count, 1_000));
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&mut self, own: Host) -> Node {
        let key = Key::derive("test");
        let mut config = Config {
            own: own.clone(),
            seeds: (0..3).map(address).collect(),
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_secs(2),
        };
        (self.config)(&mut config);
        Node {
            controller: Controller::new(config),
            board: Blackboard::default(),
            decisions: Vec::new(),
            actions: Vec::new(),
            running: true,
            paused_until: Timestamp::ZERO,
            sent_bytes: 0,
            sent_count: 0,
            largest_bytes: 0,
            signer: Signer::new(key.clone()),
            verifier: Verifier::new(key, own.peer_address),
            inbox: Vec::new(),
            rng: Rng::seed_from_u64(self.rng.random()),
            own,
        }
    }

    /// Restarts a host under its id, without any earlier state.
    pub fn restart(&mut self, index: usize) {
        self.last_incarnation += 1_000;
        let mut own = self.nodes[index].own.clone();
        own.incarnation = self.last_incarnation;
        self.nodes[index] = self.node(own);
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` returns true, at most until `end`, and returns whether it
    /// did.
    pub fn run_until(&mut self, end: Timestamp, done: impl Fn(&Self) -> bool) -> bool {
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                self.step(index);
            }
            if done(self) {
                return true;
            }
        }
        false
    }

    /// Adds an event to the next round of a host.
    pub fn push_event(&mut self, index: usize, event: Event) {
        self.nodes[index].inbox.push(event);
    }

    fn deliver(&mut self) {
        while self
            .flights
            .peek()
            .is_some_and(|flight| flight.0.at <= self.now)
        {
            let flight = self.flights.pop().expect("the queue is not empty").0;
            let (from, to) = (&self.nodes[flight.from].own, &self.nodes[flight.to].own);
            let severed = self.severed.contains(&(flight.from, flight.to));
            let cut = severed || (self.cut)(from, to);
            let source = from.peer_address;
            let node = &mut self.nodes[flight.to];
            if cut || !node.running {
                continue;
            }
            let event = match node.verifier.verify(&flight.bytes) {
                Ok(heartbeat) => Event::Received { heartbeat, source },
                Err(refusal) => Event::Refused { refusal, source },
            };
            node.inbox.push(event);
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.running || now < node.paused_until {
            return;
        }
        let round = Round {
            board: &mut node.board,
            now,
            rng: &mut node.rng,
            decisions: &mut node.decisions,
        };
        let actions = node.controller.run(std::mem::take(&mut node.inbox), round);
        for action in actions {
            match action {
                Action::Send { to, heartbeat } => {
                    let bytes = node
                        .signer
                        .sign(&heartbeat, to)
                        .expect("the heartbeat fits into a datagram");
                    node.sent_bytes += bytes.len() as u64 + HEADER_BYTES;
                    node.sent_count += 1;
                    node.largest_bytes = node.largest_bytes.max(bytes.len());
                    let lost = self.rng.random_bool(self.loss_ratio);
                    let delay = self.rng.random_range(self.delay_ms.clone());
                    let Some(&to) = self.addresses.get(&to) else {
                        continue;
                    };
                    if !lost {
                        self.flight_count += 1;
                        self.flights.push(Reverse(Flight {
                            at: now + Duration::from_millis(delay),
                            number: self.flight_count,
                            from: index,
                            to,
                            bytes,
                        }));
                    }
                }
                other => node.actions.push(other),
            }
        }
    }

    /// Returns the state of the host `index` in the view of `viewer`.
    pub fn view(&self, viewer: usize, index: usize) -> Option<HostState> {
        let id = &self.nodes[index].own.id;
        let members = &self.nodes[viewer].board.hosts.members;
        members.get(id).map(|host| host.state)
    }

    /// Returns whether every running host sees every host in `of`, except itself,
    /// in `state`.
    pub fn all_see(&self, state: HostState, of: impl IntoIterator<Item = usize> + Clone) -> bool {
        (0..self.nodes.len())
            .filter(|viewer| self.nodes[*viewer].running)
            .all(|viewer| {
                of.clone()
                    .into_iter()
                    .all(|index| viewer == index || self.view(viewer, index) == Some(state))
            })
    }

    /// Returns the number of decisions `what` about a host whose id matches `about`.
    pub fn count(&self, what: &str, about: impl Fn(&str) -> bool) -> usize {
        self.nodes
            .iter()
            .flat_map(|node| &node.decisions)
            .filter(|decision| {
                &*decision.what == what && decision.subjects.iter().any(|id| about(id))
            })
            .count()
    }
}
