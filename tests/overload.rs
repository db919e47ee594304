//! Admission control under overload and outages, in virtual time.
//!
//! Several hosts with the real controllers send calls to simulated upstreams,
//! which queue the calls that exceed their slots.
//! `cargo test --test overload -- --nocapture` prints the figures of
//! docs/design/overload.md.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use mimosavane::{
    call::admission::{AdmissionRequest, CallEnd, Grant, Pool, Ticket, Verdict},
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
    /// The request reaches the upstream.
    RequestReceived(usize),
    /// The upstream finishes a run.
    RunFinished(usize),
    /// The response, or the connection failure, reaches the host.
    ResponseReceived(usize, bool),
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

/// The failure mode of an unavailable upstream.
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
    /// The shed calls that were rejected on arrival.
    shed_at_once: u64,
    retries: u64,
    /// The calls answered in time, by bucket of virtual time.
    answered_by_bucket: BTreeMap<u32, u64>,
}

struct Simulation {
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

impl Simulation {
    fn new(load_ratio: f64, seed: u64) -> Self {
        let mut pool = Pool::new(1024, 0.1);
        pool.set_members((0..UPSTREAM_COUNT).map(name));
        let mut simulation = Self {
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
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(Duration::ZERO, Event::Tick);
        simulation
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
            Event::Arrival => self.handle_arrival(),
            Event::RequestReceived(call) => self.handle_request(call),
            Event::RunFinished(call) => self.handle_run_end(call),
            Event::ResponseReceived(call, is_answered) => self.handle_response(call, is_answered),
            Event::Retry(call) => self.handle_retry(call),
            Event::Tick => {
                for host in 0..HOST_COUNT {
                    let verdicts = self.hosts[host].poll(self.now, &mut self.rng);
                    self.apply(verdicts);
                }
                self.schedule(Duration::from_millis(100), Event::Tick);
            }
        }
    }

    fn handle_arrival(&mut self) {
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
        let request = AdmissionRequest {
            ticket: call as Ticket,
            deadline: self.calls[call].deadline,
            idempotent: true,
            tried: &[],
        };
        let verdict = self.hosts[host].admit(request, self.now, &mut self.rng);
        self.apply(vec![(call as Ticket, verdict)]);
    }

    fn apply(&mut self, verdicts: Vec<(Ticket, Verdict)>) {
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
        self.schedule(NETWORK_DELAY / 2, Event::RequestReceived(call));
    }

    fn target(&self, call: usize) -> usize {
        index(&self.calls[call].grant.as_ref().unwrap().upstream)
    }

    fn handle_request(&mut self, call: usize) {
        let target = self.target(call);
        match self.upstreams[target].outage {
            Some(Outage::Refuses) => {
                self.schedule(NETWORK_DELAY / 2, Event::ResponseReceived(call, false));
                return;
            }
            Some(Outage::Hangs) => {
                let left = self.calls[call].deadline.remaining(self.now);
                self.schedule(left, Event::ResponseReceived(call, true));
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
            self.schedule(service, Event::RunFinished(call));
        }
    }

    fn handle_run_end(&mut self, call: usize) {
        let target = self.target(call);
        self.upstreams[target].running -= 1;
        let is_answered = self.upstreams[target].outage.is_none();
        self.schedule(
            NETWORK_DELAY / 2,
            Event::ResponseReceived(call, is_answered),
        );
        self.start_runs(target);
    }

    fn handle_response(&mut self, call: usize, is_answered: bool) {
        let grant = self.calls[call].grant.clone().unwrap();
        let latency = self.now - self.calls[call].sent;
        let is_late = self.calls[call].deadline.is_past(self.now);
        let end = match (is_answered, is_late) {
            (true, false) => CallEnd::Answered(latency),
            (true, true) => CallEnd::PushedBack,
            (false, _) => CallEnd::Failed,
        };
        if end == CallEnd::Failed {
            self.schedule(RETRY_PAUSE, Event::Retry(call));
        } else if !is_late {
            self.figures.answered += 1;
            *self
                .figures
                .answered_by_bucket
                .entry(self.bucket())
                .or_default() += 1;
        }
        let host = self.calls[call].host;
        let (_, verdicts) = self.hosts[host].finish(&grant, end, self.now, &mut self.rng);
        self.apply(verdicts);
    }

    fn handle_retry(&mut self, call: usize) {
        let Call {
            host,
            deadline,
            ref tried,
            ..
        } = self.calls[call];
        let request = AdmissionRequest {
            ticket: call as Ticket,
            deadline,
            idempotent: true,
            tried,
        };
        if let Some(grant) = self.hosts[host].admit_retry(request, self.now, &mut self.rng) {
            self.figures.retries += 1;
            self.send(call, grant);
        }
    }

    fn bucket(&self) -> u32 {
        u32::try_from(self.now.as_millis() / BUCKET.as_millis()).unwrap()
    }

    /// Returns the figures so far and resets them.
    fn take_figures(&mut self) -> Figures {
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
    let mut simulation = Simulation::new(load_ratio, 11);
    simulation.run_until(Duration::from_secs(3));
    simulation.take_figures();
    simulation.run_until(Duration::from_secs(13));
    let figures = simulation.take_figures();
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
    let mut simulation = Simulation::new(load_ratio, 11);
    simulation.run_until(Duration::from_secs(5));
    simulation.take_figures();
    simulation.set_outage(0..UPSTREAM_COUNT / 2, Some(kind));
    simulation.run_until(Duration::from_secs(15));
    let outage = simulation.take_figures();
    simulation.set_outage(0..UPSTREAM_COUNT / 2, None);
    simulation.run_until(Duration::from_secs(25));
    let after = simulation.take_figures();

    let remaining_per_s = capacity_per_s() / 2.0;
    let goodput = outage.goodput_per_s(Duration::from_secs(10)) / remaining_per_s;
    let min_normal = load_ratio * capacity_per_s() * BUCKET.as_secs_f64() * 0.9;
    let last_bad = after
        .answered_by_bucket
        .iter()
        .filter(|(bucket, _)| **bucket < 99)
        .filter(|(_, answered)| (**answered as f64) < min_normal)
        .map(|(bucket, _)| *bucket)
        .max();
    let recovered_bucket = last_bad.map_or(0, |bucket| bucket + 1);
    let recovery = (BUCKET * recovered_bucket).saturating_sub(Duration::from_secs(15));
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

/// The latency under a long overload must not become the baseline.
#[test]
fn long_overload() {
    let mut simulation = Simulation::new(2.0, 12);
    simulation.run_until(Duration::from_secs(100));
    simulation.take_figures();
    simulation.run_until(Duration::from_secs(110));
    let figures = simulation.take_figures();
    let goodput = figures.goodput_per_s(Duration::from_secs(10)) / capacity_per_s();
    let running = simulation.hosts.iter().map(Pool::limit_calls).sum::<f64>();
    let limit_ratio = running / (UPSTREAM_COUNT * SLOT_COUNT) as f64;
    println!("long overload: goodput_ratio={goodput:.3} limit_ratio={limit_ratio:.2}");
    assert!(goodput >= 0.9, "{goodput}");
    assert!(limit_ratio < 4.0, "{limit_ratio}");
}

/// Upstreams that become permanently slower under full load remain fully used.
#[test]
fn slower_upstreams() {
    let mut simulation = Simulation::new(2.0, 14);
    simulation.run_until(Duration::from_secs(5));
    simulation.service_time = SERVICE_TIME * 3;
    simulation.run_until(Duration::from_secs(10));
    simulation.take_figures();
    simulation.run_until(Duration::from_secs(20));
    let figures = simulation.take_figures();
    let goodput = figures.goodput_per_s(Duration::from_secs(10)) * 3.0 / capacity_per_s();
    println!("slower upstreams: goodput_ratio={goodput:.3}");
    assert!(goodput >= 0.9, "{goodput}");
}

/// A period in which no call can meet its deadline must not make the hosts
/// reject calls permanently.
#[test]
fn bad_spell() {
    let mut simulation = Simulation::new(0.3, 13);
    simulation.run_until(Duration::from_secs(3));
    simulation.set_outage(0..UPSTREAM_COUNT, Some(Outage::Hangs));
    simulation.run_until(Duration::from_secs(13));
    simulation.set_outage(0..UPSTREAM_COUNT, None);
    simulation.run_until(Duration::from_secs(18));
    simulation.take_figures();
    simulation.run_until(Duration::from_secs(23));
    let figures = simulation.take_figures();
    let answered_ratio = figures.answered as f64 / figures.offered as f64;
    println!("after a bad spell: answered_ratio={answered_ratio:.3}");
    assert!(answered_ratio > 0.99, "{answered_ratio}");
}

#[test]
fn normal_load() {
    let mut simulation = Simulation::new(0.7, 11);
    simulation.run_until(Duration::from_secs(10));
    let figures = simulation.take_figures();
    println!(
        "load_ratio=0.7 shed={} offered={}",
        figures.shed, figures.offered
    );
    assert!((figures.shed as f64) < figures.offered as f64 * 0.001);
}
