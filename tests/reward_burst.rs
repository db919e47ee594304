//! Steps end and ask for hundreds of scores at once, at the upstreams that also answer
//! people who open a page: the people must not notice.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use mimosavane::ingress::directory::{Directory, Upstream};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const UPSTREAM_COUNT: usize = 13;
const SLOT_COUNT: usize = 6;
const HOST_COUNT: usize = 10;
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const DURATION: Duration = Duration::from_secs(120);
/// The interval between two page views of the whole fleet.
const VIEW_INTERVAL: Duration = Duration::from_millis(20);
const VIEW_TIME: Duration = Duration::from_millis(25);
const REWARD_TIME: Duration = Duration::from_millis(200);
/// A burst of scores comes with each step.
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const BURST_COUNT: usize = 200;

/// How reward calls choose their upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rewards {
    None,
    Limited,
    /// As clients' calls do, all at once.
    Unlimited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    arrived_at: Duration,
    host: usize,
    work: Duration,
    is_reward: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    View,
    Step,
    Done { upstream: usize, call: Call },
}

struct Simulation {
    rewards: Rewards,
    /// Each host knows its own calls only. The first one coordinates.
    directories: Vec<Directory>,
    running_counts: [usize; UPSTREAM_COUNT],
    queues: Vec<VecDeque<Call>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    waiting_reward_count: usize,
    scored_count: usize,
    latencies: Vec<Duration>,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(rewards: Rewards) -> Self {
        let mut directory = Directory::default();
        for index in 0..UPSTREAM_COUNT {
            directory.put(Upstream {
                id: format!("{index}").into(),
                started_at_ms: 1,
                service: "pages".into(),
                address: "127.0.0.1:80".parse().unwrap(),
                failure_domain: DOMAINS[index % DOMAINS.len()].into(),
                slot_count: SLOT_COUNT,
                is_draining: false,
                software_version: "v1".into(),
                versions: BTreeMap::new(),
                is_spot: false,
                leaves_in: None,
            });
        }
        Self {
            rewards,
            directories: vec![directory; HOST_COUNT],
            running_counts: [0; UPSTREAM_COUNT],
            queues: vec![VecDeque::new(); UPSTREAM_COUNT],
            events: BinaryHeap::new(),
            event_count: 0,
            waiting_reward_count: 0,
            scored_count: 0,
            latencies: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(41),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn run(mut self) -> Self {
        self.schedule(Duration::ZERO, Event::View);
        if self.rewards != Rewards::None {
            self.schedule(STEP_INTERVAL, Event::Step);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= DURATION {
                break;
            }
            match event {
                Event::View => {
                    let host = self.random.random_range(0..HOST_COUNT);
                    let work = VIEW_TIME.mul_f64(self.random.random_range(0.5..2.0));
                    self.send(host, work, false, now);
                    let pause = VIEW_INTERVAL.mul_f64(self.random.random_range(0.2..1.8));
                    self.schedule(now + pause, Event::View);
                }
                Event::Step => {
                    self.waiting_reward_count += BURST_COUNT;
                    self.start_rewards(now);
                    self.schedule(now + STEP_INTERVAL, Event::Step);
                }
                Event::Done { upstream, call } => self.finish(upstream, call, now),
            }
        }
        self
    }

    fn start_rewards(&mut self, now: Duration) {
        while self.waiting_reward_count > 0 {
            let work = REWARD_TIME.mul_f64(self.random.random_range(0.5..2.0));
            if !self.send(0, work, true, now) {
                return;
            }
            self.waiting_reward_count -= 1;
        }
    }

    /// Sends a call, and returns whether an upstream may have it.
    fn send(&mut self, host: usize, work: Duration, is_reward: bool, now: Duration) -> bool {
        let domain = DOMAINS[host % DOMAINS.len()];
        let directory = &mut self.directories[host];
        let chosen = if is_reward && self.rewards == Rewards::Limited {
            directory.choose_for_reward("pages", domain, &[], now)
        } else {
            directory.choose("pages", domain, &[], now)
        };
        let Some(upstream) = chosen else {
            return false;
        };
        directory.record_call_start(&upstream.id);
        let index: usize = upstream.id.parse().unwrap();
        let call = Call {
            arrived_at: now,
            host,
            work,
            is_reward,
        };
        self.queues[index].push_back(call);
        self.start_next(index, now);
        true
    }

    fn start_next(&mut self, upstream: usize, now: Duration) {
        if self.running_counts[upstream] < SLOT_COUNT
            && let Some(call) = self.queues[upstream].pop_front()
        {
            self.running_counts[upstream] += 1;
            self.schedule(now + call.work, Event::Done { upstream, call });
        }
    }

    fn finish(&mut self, upstream: usize, call: Call, now: Duration) {
        self.running_counts[upstream] -= 1;
        self.start_next(upstream, now);
        let id = format!("{upstream}").into();
        let directory = &mut self.directories[call.host];
        directory.record_call_end(&id, Some(false), now);
        if call.is_reward {
            directory.record_reward_answer(&id);
            self.scored_count += 1;
            self.start_rewards(now);
        } else {
            self.latencies.push(now - call.arrived_at);
        }
    }

    fn p99(&self) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted[sorted.len() * 99 / 100]
    }
}

#[test]
fn burst_beside_page_views() {
    let alone = Simulation::new(Rewards::None).run();
    let limited = Simulation::new(Rewards::Limited).run();
    let unlimited = Simulation::new(Rewards::Unlimited).run();
    println!(
        "p99 of page views: {:?} alone, {:?} beside bursts, {:?} beside bursts without limit",
        alone.p99(),
        limited.p99(),
        unlimited.p99()
    );
    // The target: a tenth more at most.
    assert!(limited.p99() <= alone.p99().mul_f64(1.1));
    // The same load without the limit exceeds it.
    assert!(unlimited.p99() > alone.p99().mul_f64(1.1));
    // Each burst is scored before the next one.
    let burst_count = (DURATION.as_secs() / STEP_INTERVAL.as_secs() - 1) as usize;
    assert!(limited.scored_count >= (burst_count - 1) * BURST_COUNT);
}
