//! Table followers of many hosts in virtual time, with heartbeats that announce
//! the table revision to peers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use mimosavane::{
    Blackboard, Controller as _, Row,
    control::{
        blackboard::{Host, HostState, Hosts},
        controller::{Rng, Round},
    },
    ids::{HostId, Revision},
    store::follower::{Action, Controller, Event},
};
use rand::{Rng as _, SeedableRng as _};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const PEER_LATENCY: Duration = Duration::from_millis(3);
const STORE_LATENCY: Duration = Duration::from_millis(5);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// A host and its table follower.
pub struct Member {
    pub id: HostId,
    pub follower: Controller,
    pub board: Blackboard,
    is_cut_off: bool,
    tick: Duration,
}

/// A scheduled event.
#[derive(Debug)]
enum Task {
    Tick(usize),
    Heartbeat(usize),
    Deliver(usize, Event),
}

/// The fleet, its store and the scheduled events.
pub struct Fleet {
    pub now: Duration,
    pub members: Vec<Member>,
    pub revision: Revision,
    pub store_is_up: bool,
    pub reads_at: Vec<Duration>,
    announces_revisions: bool,
    hosts: Arc<Hosts>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    tasks: BTreeMap<u64, Task>,
    sequence: u64,
    rng: Rng,
}

pub fn rows_at(revision: Revision) -> Vec<Row> {
    let mut row = Row::new("guides");
    row.version = revision;
    vec![row]
}

pub fn hosts(count: usize, state: HostState) -> Arc<Hosts> {
    let members = (0..count).map(|number| {
        let id: HostId = format!("host-{number:04}").into();
        let host = Host {
            id: id.clone(),
            incarnation: 1,
            state,
            failure_domain: "mx-a".into(),
            region: "mx-centro".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            http_address: ([127, 0, 0, 1], 1).into(),
        };
        (id, host)
    });
    Arc::new(Hosts {
        members: members.collect(),
    })
}

impl Fleet {
    pub fn new(hosts_count: usize, tick: Duration, seed: u64) -> Self {
        let hosts = hosts(hosts_count, HostState::Alive);
        let mut fleet = Self {
            now: Duration::ZERO,
            members: Vec::new(),
            revision: 1,
            store_is_up: true,
            reads_at: Vec::new(),
            announces_revisions: true,
            hosts,
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            sequence: 0,
            rng: Rng::seed_from_u64(seed),
        };
        for id in fleet.hosts.members.keys() {
            fleet.members.push(Member {
                id: id.clone(),
                follower: Controller::new(id.clone()),
                board: Blackboard::default(),
                is_cut_off: false,
                tick,
            });
        }
        for number in 0..hosts_count {
            fleet.start(number);
            let first_tick = tick.mul_f64(fleet.rng.random());
            fleet.schedule(first_tick, Task::Tick(number));
            let first_heartbeat = HEARTBEAT_INTERVAL.mul_f64(fleet.rng.random());
            fleet.schedule(first_heartbeat, Task::Heartbeat(number));
        }
        fleet
    }

    /// Disables the announcement of revisions by heartbeats.
    pub fn without_heartbeats(mut self) -> Self {
        self.announces_revisions = false;
        self
    }

    /// Starts or restarts the host without a table.
    pub fn start(&mut self, number: usize) {
        let member = &mut self.members[number];
        member.follower = Controller::new(member.id.clone());
        member.board = Blackboard {
            hosts: self.hosts.clone(),
            ..Blackboard::default()
        };
    }

    /// Disconnects the host from the store and from all other hosts, or reconnects
    /// it.
    pub fn cut_off(&mut self, number: usize, is_cut_off: bool) {
        let unreachable_hosts = hosts(self.members.len(), HostState::Unreachable);
        let member = &mut self.members[number];
        member.is_cut_off = is_cut_off;
        member.board.hosts = if is_cut_off {
            unreachable_hosts
        } else {
            self.hosts.clone()
        };
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time, |_| false);
    }

    /// Runs until `done` returns true, at most until `end`, and returns whether it
    /// did.
    pub fn run_until(&mut self, end: Duration, mut done: impl FnMut(&Self) -> bool) -> bool {
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, sequence))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            if let Some(task) = self.tasks.remove(&sequence) {
                self.run_task(task);
            }
            if done(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    pub fn in_force_count(&self, revision: Revision) -> usize {
        let in_force = |member: &&Member| member.board.rows.revision >= revision;
        self.members.iter().filter(in_force).count()
    }

    /// Returns the maximum number of store reads in any one second from `since` on.
    pub fn max_reads_per_s(&self, since: Duration) -> usize {
        let reads: Vec<_> = self.reads_at.iter().filter(|at| **at >= since).collect();
        let window = |first: usize| {
            let end = *reads[first] + Duration::from_secs(1);
            reads[first..].partition_point(|at| **at < end)
        };
        (0..reads.len()).map(window).max().unwrap_or(0)
    }

    fn schedule(&mut self, delay: Duration, task: Task) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.tasks.insert(self.sequence, task);
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick(number) => {
                self.run_follower(number, None);
                self.schedule(self.members[number].tick, Task::Tick(number));
            }
            Task::Heartbeat(number) => self.send_heartbeat(number),
            Task::Deliver(number, event) => self.run_follower(number, Some(event)),
        }
    }

    /// Sends a heartbeat to a random host. The probe and its answer both carry the
    /// sender's revision.
    fn send_heartbeat(&mut self, number: usize) {
        self.schedule(HEARTBEAT_INTERVAL, Task::Heartbeat(number));
        let target = self.rng.random_range(0..self.members.len());
        let is_cut_off = self.members[number].is_cut_off || self.members[target].is_cut_off;
        if target == number || is_cut_off || !self.announces_revisions {
            return;
        }
        for (from, to) in [(number, target), (target, number)] {
            let event = Event::PeerAnnounced {
                host: self.members[from].id.clone(),
                revision: self.members[from].board.rows.revision,
            };
            self.schedule(PEER_LATENCY, Task::Deliver(to, event));
        }
    }

    fn run_follower(&mut self, number: usize, event: Option<Event>) {
        let member = &mut self.members[number];
        let mut decisions = Vec::new();
        let round = Round {
            board: &mut member.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut decisions,
        };
        for action in member.follower.run(event, round) {
            match action {
                Action::PollStore { above_revision } => self.poll_store(number, above_revision),
                Action::FetchFromPeer { host, .. } => self.fetch_from_peer(number, &host),
            }
        }
    }

    fn poll_store(&mut self, number: usize, above_revision: Revision) {
        self.reads_at.push(self.now);
        if !self.store_is_up || self.members[number].is_cut_off {
            self.schedule(STORE_TIMEOUT, Task::Deliver(number, Event::StoreFailed));
            return;
        }
        let is_newer = self.revision > above_revision;
        if is_newer && above_revision > 0 {
            self.reads_at.push(self.now);
        }
        let event = Event::StoreAnswered {
            revision: self.revision,
            rows: is_newer.then(|| rows_at(self.revision)),
        };
        self.schedule(STORE_LATENCY, Task::Deliver(number, event));
    }

    fn fetch_from_peer(&mut self, number: usize, host: &HostId) {
        let Some(peer) = self.members.iter().find(|member| member.id == *host) else {
            return;
        };
        let event = if peer.is_cut_off || self.members[number].is_cut_off {
            Event::PeerFailed { host: host.clone() }
        } else {
            let rows = &peer.board.rows;
            Event::PeerAnswered {
                host: host.clone(),
                revision: rows.revision,
                rows: rows.rows.values().map(|row| Row::clone(row)).collect(),
            }
        };
        self.schedule(2 * PEER_LATENCY, Task::Deliver(number, event));
    }
}
