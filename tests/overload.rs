//! Admission under overload and outages, in virtual time.
//!
//! Several hosts with the real controllers stand before upstreams that queue
//! what they cannot run at once. `cargo test --test overload -- --nocapture`
//! prints the figures of docs/design/overload.md.

#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use mimosavane::{
    call::admission::{Ask, End, Grant, Pool, Ticket, Verdict},
    clock::Timestamp,
    control::controller::Rng,
    ids::UpstreamId,
    retry::Deadline,
};
use rand::{Rng as _, SeedableRng};

const HOST_COUNT: usize = 3;
const UPSTREAM_COUNT: usize = 6;
const SLOT_COUNT: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const NETWORK_DELAY: Duration = Duration::from_millis(3);
const TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(5);
const BUCKET: Duration = Duration::from_millis(250);

fn capacity_per_s() -> f64 {
    (UPSTREAM_COUNT * SLOT_COUNT) as f64 / SERVICE_TIME.as_secs_f64()
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// The call reaches the upstream.
    Reach(usize),
    /// The upstream ends a run.
    Ran(usize),
    /// The answer, or the failure to connect, reaches the host.
    Back(usize, bool),
    Retry(usize),
    Tick,
}

struct Call {
    host: usize,
    arrival: Timestamp,
    deadline: Deadline,
    sent: Timestamp,
    grant: Option<Grant>,
    tried: Vec<UpstreamId>,
}

#[derive(Default)]
struct Upstream {
    running: usize,
    queue: VecDeque<usize>,
    outage: Option<Outage>,
}

/// How an upstream that is out behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    Refuses,
    Hangs,
}

#[derive(Default)]
struct Figures {
    offered: u64,
    answered: u64,
    shed: u64,
    /// Those of them that were refused on arrival.
    shed_at_once: u64,
    retries: u64,
    /// Whole answers in time, by bucket of virtual time.
    good: BTreeMap<u32, u64>,
}

struct World {
    now: Timestamp,
    sequence: u64,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    calls: Vec<Call>,
    hosts: Vec<Pool>,
    upstreams: Vec<Upstream>,
    rng: Rng,
    rate_per_s: f64,
    service_time: Duration,
    figures: Figures,
}

fn name(index: usize) -> UpstreamId {
    format!("roll-{index}").into()
}

fn index(id: &UpstreamId) -> usize {
    id.trim_start_matches("roll-").parse().unwrap()
}

impl World {
    fn new(load_ratio: f64, seed: u64) -> Self {
        let mut pool = Pool::new(1024, 0.1);
        pool.set_members((0..UPSTREAM_COUNT).map(name));
        let mut world = Self {
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            calls: Vec::new(),
            hosts: vec![pool; HOST_COUNT],
            upstreams: (0..UPSTREAM_COUNT).map(|_| Upstream::default()).collect(),
            rng: Rng::seed_from_u64(seed),
            rate_per_s: load_ratio * capacity_per_s(),
            service_time: SERVICE_TIME,
            figures: Figures::default(),
        };
        world.schedule(Duration::ZERO, Event::Arrival);
        world.schedule(Duration::ZERO, Event::Tick);
        world
    }

    fn schedule(&mut self, pause: Duration, event: Event) {
        self.sequence += 1;
        let entry = (self.now + pause, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Reach(call) => self.reach(call),
            Event::Ran(call) => self.ran(call),
            Event::Back(call, is_answered) => self.back(call, is_answered),
            Event::Retry(call) => self.retry(call),
            Event::Tick => {
                for host in 0..HOST_COUNT {
                    let verdicts = self.hosts[host].poll(self.now, &mut self.rng);
                    self.take(verdicts);
                }
                self.schedule(Duration::from_millis(100), Event::Tick);
            }
        }
    }

    fn arrive(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.rate_per_s;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        self.figures.offered += 1;
        let call = self.calls.len();
        let host = self.rng.random_range(0..HOST_COUNT);
        self.calls.push(Call {
            host,
            arrival: self.now,
            deadline: Deadline::after(self.now, TIMEOUT),
            sent: self.now,
            grant: None,
            tried: Vec::new(),
        });
        let ask = Ask {
            ticket: call as Ticket,
            deadline: self.calls[call].deadline,
            idempotent: true,
            tried: &[],
        };
        let verdict = self.hosts[host].admit(ask, self.now, &mut self.rng);
        self.take(vec![(call as Ticket, verdict)]);
    }

    fn take(&mut self, verdicts: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in verdicts {
            match verdict {
                Verdict::Granted(grant) => self.send(ticket as usize, grant),
                Verdict::Shed { .. } => {
                    let arrival = self.calls[ticket as usize].arrival;
                    self.figures.shed += 1;
                    self.figures.shed_at_once += u64::from(arrival == self.now);
                }
                Verdict::Queued => {}
            }
        }
    }

    fn send(&mut self, call: usize, grant: Grant) {
        self.calls[call].sent = self.now;
        self.calls[call].tried.push(grant.upstream.clone());
        self.calls[call].grant = Some(grant);
        self.schedule(NETWORK_DELAY / 2, Event::Reach(call));
    }

    fn target(&self, call: usize) -> usize {
        index(&self.calls[call].grant.as_ref().unwrap().upstream)
    }

    fn reach(&mut self, call: usize) {
        let target = self.target(call);
        match self.upstreams[target].outage {
            Some(Outage::Refuses) => {
                self.schedule(NETWORK_DELAY / 2, Event::Back(call, false));
                return;
            }
            Some(Outage::Hangs) => {
                let left = self.calls[call].deadline.remaining(self.now);
                self.schedule(left, Event::Back(call, true));
                return;
            }
            None => {}
        }
        self.upstreams[target].queue.push_back(call);
        self.start_runs(target);
    }

    fn start_runs(&mut self, target: usize) {
        while self.upstreams[target].running < SLOT_COUNT {
            let Some(call) = self.upstreams[target].queue.pop_front() else {
                return;
            };
            self.upstreams[target].running += 1;
            let service = self.service_time.mul_f64(self.rng.random_range(0.5..1.5));
            self.schedule(service, Event::Ran(call));
        }
    }

    fn ran(&mut self, call: usize) {
        let target = self.target(call);
        self.upstreams[target].running -= 1;
        let is_answered = self.upstreams[target].outage.is_none();
        self.schedule(NETWORK_DELAY / 2, Event::Back(call, is_answered));
        self.start_runs(target);
    }

    fn back(&mut self, call: usize, is_answered: bool) {
        let grant = self.calls[call].grant.clone().unwrap();
        let latency = self.now - self.calls[call].sent;
        let is_late = self.calls[call].deadline.is_past(self.now);
        let end = match (is_answered, is_late) {
            (true, false) => End::Answered(latency),
            (true, true) => End::PushedBack,
            (false, _) => End::Failed,
        };
        if end == End::Failed {
            self.schedule(RETRY_PAUSE, Event::Retry(call));
        } else if !is_late {
            self.figures.answered += 1;
            *self.figures.good.entry(self.bucket()).or_default() += 1;
        }
        let host = self.calls[call].host;
        let (_, verdicts) = self.hosts[host].finish(&grant, end, self.now, &mut self.rng);
        self.take(verdicts);
    }

    fn retry(&mut self, call: usize) {
        let Call {
            host,
            deadline,
            ref tried,
            ..
        } = self.calls[call];
        let ask = Ask {
            ticket: call as Ticket,
            deadline,
            idempotent: true,
            tried,
        };
        if let Some(grant) = self.hosts[host].admit_retry(ask, self.now, &mut self.rng) {
            self.figures.retries += 1;
            self.send(call, grant);
        }
    }

    fn bucket(&self) -> u32 {
        u32::try_from(self.now.as_millis() / BUCKET.as_millis()).unwrap()
    }

    /// Forgets the figures so far, and returns them.
    fn measure(&mut self) -> Figures {
        std::mem::take(&mut self.figures)
    }

    fn set_outage(&mut self, upstreams: std::ops::Range<usize>, outage: Option<Outage>) {
        for upstream in &mut self.upstreams[upstreams] {
            upstream.outage = outage;
        }
    }
}

impl Figures {
    fn retry_ratio(&self) -> f64 {
        self.retries as f64 / self.offered as f64
    }

    fn goodput_per_s(&self, elapsed: Duration) -> f64 {
        self.answered as f64 / elapsed.as_secs_f64()
    }
}

fn overload(load_ratio: f64) {
    let mut world = World::new(load_ratio, 11);
    world.run_until(Duration::from_secs(3));
    world.measure();
    world.run_until(Duration::from_secs(13));
    let figures = world.measure();
    let goodput = figures.goodput_per_s(Duration::from_secs(10)) / capacity_per_s();
    println!(
        "load_ratio={load_ratio} goodput_ratio={goodput:.3} shed={} offered={} retry_ratio={:.4}",
        figures.shed,
        figures.offered,
        figures.retry_ratio(),
    );
    let at_once = figures.shed_at_once as f64 / figures.shed as f64;
    println!("load_ratio={load_ratio} shed_at_once_ratio={at_once:.3}");
    assert!(goodput >= 0.9, "{goodput}");
    assert!(figures.retry_ratio() <= 0.1);
    assert!(at_once >= 0.9, "{at_once}");
}

#[test]
fn double_load() {
    overload(2.0);
}

#[test]
fn fivefold_load() {
    overload(5.0);
}

#[test]
fn half_refuses() {
    half_outage(Outage::Refuses);
}

#[test]
fn half_hangs() {
    half_outage(Outage::Hangs);
}

fn half_outage(kind: Outage) {
    let load_ratio = 0.8;
    let mut world = World::new(load_ratio, 11);
    world.run_until(Duration::from_secs(5));
    world.measure();
    world.set_outage(0..UPSTREAM_COUNT / 2, Some(kind));
    world.run_until(Duration::from_secs(15));
    let outage = world.measure();
    world.set_outage(0..UPSTREAM_COUNT / 2, None);
    world.run_until(Duration::from_secs(25));
    let after = world.measure();

    let remaining_per_s = capacity_per_s() / 2.0;
    let goodput = outage.goodput_per_s(Duration::from_secs(10)) / remaining_per_s;
    let wanted = load_ratio * capacity_per_s() * BUCKET.as_secs_f64() * 0.9;
    let last_bad = after
        .good
        .iter()
        .filter(|(bucket, _)| **bucket < 99)
        .filter(|(_, good)| (**good as f64) < wanted)
        .map(|(bucket, _)| *bucket)
        .max();
    let normal_at = last_bad.map_or(0, |bucket| bucket + 1);
    let recovery = (BUCKET * normal_at).saturating_sub(Duration::from_secs(15));
    println!(
        "half {kind:?}: goodput_ratio={goodput:.3} retry_ratio={:.4} recovery_ms={}",
        outage.retry_ratio(),
        recovery.as_millis(),
    );
    assert!(goodput >= 0.9, "{goodput}");
    assert!(outage.retry_ratio() <= 0.1);
    assert!(after.retry_ratio() <= 0.1);
    assert!(recovery < Duration::from_secs(5), "{recovery:?}");
}

/// The latency under a long overload must not become the normal one.
#[test]
fn long_overload() {
    let mut world = World::new(2.0, 12);
    world.run_until(Duration::from_secs(100));
    world.measure();
    world.run_until(Duration::from_secs(110));
    let figures = world.measure();
    let goodput = figures.goodput_per_s(Duration::from_secs(10)) / capacity_per_s();
    let running = world.hosts.iter().map(Pool::limit_calls).sum::<f64>();
    let limit_ratio = running / (UPSTREAM_COUNT * SLOT_COUNT) as f64;
    println!("long overload: goodput_ratio={goodput:.3} limit_ratio={limit_ratio:.2}");
    assert!(goodput >= 0.9, "{goodput}");
    assert!(limit_ratio < 4.0, "{limit_ratio}");
}

/// Upstreams that become slower for good under full load keep working.
#[test]
fn slower_upstreams() {
    let mut world = World::new(2.0, 14);
    world.run_until(Duration::from_secs(5));
    world.service_time = SERVICE_TIME * 3;
    world.run_until(Duration::from_secs(10));
    world.measure();
    world.run_until(Duration::from_secs(20));
    let figures = world.measure();
    let goodput = figures.goodput_per_s(Duration::from_secs(10)) * 3.0 / capacity_per_s();
    println!("slower upstreams: goodput_ratio={goodput:.3}");
    assert!(goodput >= 0.9, "{goodput}");
}

/// Deadlines that no call can meet for a while must not be refused for good.
#[test]
fn bad_spell() {
    let mut world = World::new(0.3, 13);
    world.run_until(Duration::from_secs(3));
    world.set_outage(0..UPSTREAM_COUNT, Some(Outage::Hangs));
    world.run_until(Duration::from_secs(13));
    world.set_outage(0..UPSTREAM_COUNT, None);
    world.run_until(Duration::from_secs(18));
    world.measure();
    world.run_until(Duration::from_secs(23));
    let figures = world.measure();
    let answered_ratio = figures.answered as f64 / figures.offered as f64;
    println!("after a bad spell: answered_ratio={answered_ratio:.3}");
    assert!(answered_ratio > 0.99, "{answered_ratio}");
}

#[test]
fn normal_load() {
    let mut world = World::new(0.7, 11);
    world.run_until(Duration::from_secs(10));
    let figures = world.measure();
    println!(
        "load_ratio=0.7 shed={} offered={}",
        figures.shed, figures.offered
    );
    assert!((figures.shed as f64) < figures.offered as f64 * 0.001);
}
