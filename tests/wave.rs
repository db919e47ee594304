//! Tests of weight rollouts over fake engines, in virtual time.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use mimosavane::{
    clock::Timestamp,
    ids::UpstreamId,
    weights::{
        lease::{self, Terms, Versioned, WriteOutcome},
        order::{DesiredState, Order, OrderOutcome, Report, SwapState},
        shard::{Action, Event, Shard, shard_of},
        wave::Limits,
    },
};

const TERMS: Terms = Terms {
    lease: Duration::from_secs(10),
    order_timeout: Duration::from_secs(2),
    watch_interval: Duration::from_secs(1),
    max_claim_jitter: Duration::from_millis(500),
};
const STEP: Duration = Duration::from_millis(100);

/// An engine whose loads take a while and may fail halfway.
struct Fake {
    report: Report,
    loading: Option<(u64, Timestamp)>,
    fence: u64,
    role: String,
    checks_fences: bool,
    fail_count: u32,
    refused: u32,
    /// Whether it ever loaded a version below the one that it ran.
    was_downgraded: bool,
}

struct World {
    now: Timestamp,
    store: Option<Versioned>,
    shards: Vec<Shard>,
    events: Vec<Vec<Event>>,
    engines: BTreeMap<UpstreamId, Fake>,
    load_time: Duration,
    /// Orders that a paused host had checked against its lease and sends when
    /// it resumes.
    delayed_orders: Vec<(UpstreamId, Order, u64)>,
    paused: Vec<bool>,
    least_serving: usize,
    load_count: u64,
}

fn name(index: usize) -> UpstreamId {
    format!("engine-{index:04}").into()
}

fn desired(version: u64) -> Event {
    let desired = DesiredState {
        version,
        ..DesiredState::default()
    };
    Event::Desired([(Arc::from("guide"), desired)].into())
}

impl World {
    fn new(engine_count: usize, shard_count: usize, limits: Limits, checks: bool) -> Self {
        let engines: BTreeMap<UpstreamId, Fake> = (0..engine_count)
            .map(|index| {
                let fake = Fake {
                    report: Report {
                        boot: 1,
                        version: 1,
                        swap: SwapState::Idle,
                    },
                    loading: None,
                    fence: 0,
                    role: String::new(),
                    checks_fences: checks,
                    fail_count: 0,
                    refused: 0,
                    was_downgraded: false,
                };
                (name(index), fake)
            })
            .collect();
        let listed: BTreeMap<UpstreamId, Arc<str>> = engines
            .keys()
            .map(|id| (id.clone(), Arc::from("guide")))
            .collect();
        let shards = (0..shard_count)
            .map(|index| Shard::new(format!("entry-{index}"), 1, TERMS, limits))
            .collect();
        Self {
            now: Duration::ZERO,
            store: None,
            shards,
            events: vec![vec![Event::Listed(listed)]; shard_count],
            least_serving: engines.len(),
            engines,
            load_time: Duration::from_secs(5),
            delayed_orders: Vec::new(),
            paused: vec![false; shard_count],
            load_count: 0,
        }
    }

    fn want(&mut self, version: u64) {
        for events in &mut self.events {
            events.push(desired(version));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.finish_loads();
        for index in 0..self.shards.len() {
            if self.paused[index] {
                continue;
            }
            let events = std::mem::take(&mut self.events[index]);
            let actions = self.shards[index].run(events, self.now);
            for action in actions {
                self.act(index, action);
            }
        }
        let serving = self.engines.values().filter(|fake| fake.is_serving());
        self.least_serving = self.least_serving.min(serving.count());
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn finish_loads(&mut self) {
        for fake in self.engines.values_mut() {
            let Some((version, until)) = fake.loading else {
                continue;
            };
            if self.now < until {
                continue;
            }
            fake.loading = None;
            if fake.fail_count > 0 {
                fake.fail_count -= 1;
                fake.report.swap = SwapState::Failed;
                continue;
            }
            fake.was_downgraded |= version < fake.report.version;
            fake.report.version = version;
            fake.report.swap = SwapState::Idle;
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Lease(lease::Action::Read) => {
                let event = lease::Event::Read(Some(self.store.clone()));
                self.events[index].push(Event::Lease(event));
            }
            Action::Lease(lease::Action::Write { version, record }) => {
                let present = self.store.as_ref().map_or(0, |at| at.version);
                let wrote = if present == version {
                    self.store = Some(Versioned {
                        version: version + 1,
                        record,
                    });
                    WriteOutcome::Done
                } else {
                    WriteOutcome::Refused
                };
                self.events[index].push(Event::Lease(lease::Event::Wrote(wrote)));
            }
            Action::Poll { engine } => {
                let report = self.engines[&engine].report;
                self.events[index].push(Event::Reported { engine, report });
            }
            Action::Send { engine, order } => {
                let Some(fence) = self.shards[index].fence(self.now) else {
                    panic!("a shard must plan orders only under its lease");
                };
                let outcome = self.deliver(&engine, &order, fence);
                self.events[index].push(Event::Ended {
                    engine,
                    order,
                    outcome,
                });
            }
        }
    }

    fn deliver(&mut self, engine: &UpstreamId, order: &Order, fence: u64) -> OrderOutcome {
        let until = self.now + self.load_time;
        let fake = self.engines.get_mut(engine).unwrap();
        if fake.checks_fences && fence < fake.fence {
            fake.refused += 1;
            return OrderOutcome::Stale;
        }
        fake.fence = fake.fence.max(fence);
        match order {
            Order::LoadWeights { version } => {
                fake.loading = Some((*version, until));
                fake.report.swap = SwapState::Loading;
                self.load_count += 1;
            }
            Order::LoadAdapter { .. } => {}
            Order::SetRole { role } => fake.role.clone_from(role),
        }
        OrderOutcome::Accepted
    }

    /// Pauses the lease holder after it has checked its lease for one more
    /// order to each engine.
    fn pause_holder(&mut self, version: u64) {
        let holder = (0..self.shards.len())
            .find(|index| self.shards[*index].fence(self.now).is_some())
            .unwrap();
        let fence = self.shards[holder].fence(self.now).unwrap();
        let order = Order::LoadWeights { version };
        let engines: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for engine in engines {
            self.delayed_orders.push((engine, order.clone(), fence));
        }
        self.paused[holder] = true;
    }

    /// Resumes all hosts; the orders of the paused ones then arrive under their
    /// old fencing number.
    fn resume_all(&mut self) {
        for (engine, order, fence) in std::mem::take(&mut self.delayed_orders) {
            self.deliver(&engine, &order, fence);
        }
        self.paused.fill(false);
    }

    fn versions(&self) -> Vec<u64> {
        let mut versions: Vec<u64> = self
            .engines
            .values()
            .map(|fake| fake.report.version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    fn all_at(&self, version: u64) -> bool {
        self.versions() == [version] && self.engines.values().all(Fake::is_serving)
    }
}

impl Fake {
    fn is_serving(&self) -> bool {
        self.report.swap == SwapState::Idle
    }
}

fn limits(floor: f64, rate: f64) -> Limits {
    Limits {
        capacity_floor_ratio: floor,
        max_rate_loads_per_s: rate,
    }
}

#[test]
fn capacity_floor() {
    let mut world = World::new(10, 1, limits(0.7, 100.0), true);
    world.want(2);
    world.run_for(Duration::from_secs(40));
    assert!(world.all_at(2));
    assert_eq!(world.least_serving, 7);
    assert_eq!(world.load_count, 10);
}

#[test]
fn single_engine() {
    let mut world = World::new(1, 1, limits(0.9, 100.0), true);
    world.want(2);
    world.run_for(Duration::from_secs(10));
    assert!(world.all_at(2));
}

#[test]
fn store_rate() {
    let mut world = World::new(100, 1, limits(0.0, 2.0), true);
    world.want(2);
    world.run_for(Duration::from_secs(20));
    assert!(world.load_count <= 42, "{}", world.load_count);
    assert!(world.load_count >= 36, "{}", world.load_count);
}

#[test]
fn failed_swap() {
    let mut world = World::new(10, 1, limits(0.7, 100.0), true);
    for fake in world.engines.values_mut().take(4) {
        fake.fail_count = 2;
    }
    world.want(2);
    world.run_for(Duration::from_secs(90));
    assert!(world.all_at(2), "{:?}", world.versions());
    assert_eq!(world.load_count, 18);
}

#[test]
fn newer_engine() {
    let mut world = World::new(4, 1, limits(0.5, 100.0), true);
    world.engines.get_mut(&name(0)).unwrap().report.version = 9;
    world.want(2);
    world.run_for(Duration::from_secs(30));
    assert_eq!(world.versions(), [2, 9]);
    assert!(!world.engines[&name(0)].was_downgraded);
}

/// A holder is paused after its lease check, another host takes over, then the
/// first one resumes and its orders arrive; all of this twice.
#[test]
fn paused_holder() {
    for checks in [true, false] {
        let mut world = World::new(10, 3, limits(0.5, 100.0), checks);
        world.want(2);
        world.run_for(Duration::from_secs(30));
        assert!(world.all_at(2));
        for version in [4, 6] {
            world.pause_holder(version - 1);
            world.want(version);
            world.run_for(Duration::from_secs(60));
            assert!(world.all_at(version), "{checks} {:?}", world.versions());
            world.resume_all();
            world.run_for(Duration::from_secs(40));
            assert!(world.all_at(version), "{checks} {:?}", world.versions());
        }
        let refused = world.engines.values().map(|fake| fake.refused).sum::<u32>();
        assert_eq!(refused, if checks { 20 } else { 0 });
        let was_downgraded = world.engines.values().any(|fake| fake.was_downgraded);
        assert_eq!(
            was_downgraded, !checks,
            "only engines that ignore fencing numbers are downgraded for a while"
        );
    }
}

/// A stale read of the desired state during a rollout downgrades no engine.
#[test]
fn old_read() {
    let mut world = World::new(4, 1, limits(0.5, 100.0), true);
    world.want(3);
    world.run_for(Duration::from_secs(3));
    world.want(2);
    world.run_for(Duration::from_secs(30));
    assert!(world.all_at(3), "{:?}", world.versions());
    assert_eq!(world.load_count, 4);
}

/// Engines that have seen a higher fencing number refuse orders until the
/// number of the lease reaches it.
#[test]
fn higher_fence() {
    let mut world = World::new(4, 2, limits(0.5, 100.0), true);
    for fake in world.engines.values_mut() {
        fake.fence = 3;
    }
    world.want(2);
    world.run_for(Duration::from_secs(120));
    assert!(world.all_at(2), "{:?}", world.versions());
}

/// A host that claims the lease again must not rely on its own earlier orders,
/// since another host has given orders meanwhile.
#[test]
fn changed_holders() {
    let mut world = World::new(2, 2, limits(0.5, 100.0), true);
    let holders = [None, Some(0), Some(1), Some(0)];
    for (round, paused) in holders.into_iter().enumerate() {
        world.paused.fill(false);
        if let Some(paused) = paused {
            world.paused[paused] = true;
        }
        let role = if round % 2 == 0 { "prefill" } else { "decode" };
        let desired = DesiredState {
            version: 1,
            role: role.to_owned(),
            ..DesiredState::default()
        };
        for events in &mut world.events {
            let desired = [(Arc::from("guide"), desired.clone())].into();
            events.push(Event::Desired(desired));
        }
        world.run_for(Duration::from_secs(40));
        let roles: Vec<&str> = world.engines.values().map(|fake| &*fake.role).collect();
        assert_eq!(roles, [role; 2], "round {round}");
    }
}

#[test]
fn light_orders() {
    let mut world = World::new(2, 1, limits(0.5, 100.0), true);
    let desired = DesiredState {
        version: 1,
        adapters: [("guides-es".to_owned(), 4)].into(),
        role: "decode".to_owned(),
    };
    world.events[0].push(Event::Desired([(Arc::from("guide"), desired)].into()));
    world.run_for(Duration::from_secs(5));
    let shard = &world.shards[0];
    assert!(shard.members().values().all(|member| {
        member.engine.is_serving(world.now) && member.engine.version() == Some(1)
    }));
    assert_eq!(world.load_count, 0);
}

/// Rolls out to the whole fleet as planned for two years from now, in one
/// process and in virtual time.
#[test]
fn full_fleet() {
    const ENGINE_COUNT: usize = 6_000;
    const SHARD_COUNT: u32 = 60;

    let mut planned_by_shard = BTreeMap::new();
    for index in 0..ENGINE_COUNT {
        *planned_by_shard
            .entry(shard_of(&name(index), SHARD_COUNT))
            .or_insert(0) += 1;
    }
    assert_eq!(planned_by_shard.len(), SHARD_COUNT as usize);
    let largest = planned_by_shard.values().max().copied().unwrap();
    println!("largest of {SHARD_COUNT} shards: {largest} engines");

    // A single shard with all engines is the planner's worst case.
    let mut world = World::new(ENGINE_COUNT, 1, limits(0.5, 1_000.0), true);
    world.load_time = Duration::from_secs(6);
    world.run_for(Duration::from_secs(3));
    let begun = world.now;
    world.want(2);
    let clock = Instant::now();
    while !world.all_at(2) {
        world.step();
        assert!(world.now < begun + Duration::from_secs(60));
    }
    let rollout = world.now - begun;
    println!(
        "{ENGINE_COUNT} engines: rollout {:.1} s, least serving {}, {} ms of processor in all",
        rollout.as_secs_f64(),
        world.least_serving,
        clock.elapsed().as_millis(),
    );
    assert!(rollout <= Duration::from_secs(21), "{rollout:?}");
    assert!(world.least_serving >= ENGINE_COUNT / 2);
}
