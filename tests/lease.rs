//! Tests of leases under process pauses, lost answers, delayed writes and stale
//! reads.

use std::time::Duration;

use mimosavane::{
    clock::Timestamp,
    control::controller::Rng,
    ids::FenceNumber,
    weights::lease::{Action, Event, Machine, Record, Terms, Versioned, WriteOutcome},
};
use rand::{Rng as _, SeedableRng};

const TERMS: Terms = Terms {
    lease: Duration::from_secs(5),
    order_timeout: Duration::from_secs(1),
    watch_interval: Duration::from_millis(500),
    max_claim_jitter: Duration::from_millis(500),
};
const STEP: Duration = Duration::from_millis(100);

/// The stored record, with the previous one for stale reads.
#[derive(Default)]
struct Store {
    current: Option<Versioned>,
    previous: Option<Versioned>,
}

impl Store {
    fn write(&mut self, version: u64, record: &Record) -> bool {
        let present = self.current.as_ref().map_or(0, |current| current.version);
        if present != version {
            return false;
        }
        self.previous = self.current.take();
        self.current = Some(Versioned {
            version: version + 1,
            record: record.clone(),
        });
        true
    }
}

struct Host {
    machine: Machine,
    paused_until: Timestamp,
    /// The answer that the store will give, and when it arrives.
    answer: Option<(Timestamp, Event)>,
}

struct World {
    now: Timestamp,
    store: Store,
    hosts: Vec<Host>,
    delayed_writes: Vec<(Timestamp, Action)>,
    rng: Rng,
    /// Orders that reached an engine, each with its fencing number and its
    /// holder.
    orders: Vec<(FenceNumber, usize)>,
}

impl World {
    fn new(seed: u64) -> Self {
        let hosts = (0..3).map(|index| Host {
            machine: Machine::new(format!("entry-{index}"), 1, TERMS),
            paused_until: Duration::ZERO,
            answer: None,
        });
        Self {
            now: Duration::ZERO,
            store: Store::default(),
            hosts: hosts.collect(),
            delayed_writes: Vec::new(),
            rng: Rng::seed_from_u64(seed),
            orders: Vec::new(),
        }
    }

    fn step(&mut self, fault_ratio: f64) {
        self.now += STEP;
        self.deliver_delayed_writes();
        for index in 0..self.hosts.len() {
            self.run(index, fault_ratio);
        }
        let hosts = self.hosts.iter().enumerate();
        let holders: Vec<(FenceNumber, usize)> = hosts
            .filter_map(|(index, host)| Some((host.machine.fence(self.now)?, index)))
            .collect();
        assert!(
            holders.len() <= 1,
            "several hosts may give orders: {holders:?}"
        );
        for order in holders {
            let last = self.orders.last().copied().unwrap_or_default();
            assert!(order.0 >= last.0, "the fencing number decreased");
            assert!(order.0 > last.0 || order.1 == last.1 || last.0 == 0);
            self.orders.push(order);
        }
    }

    fn deliver_delayed_writes(&mut self) {
        let now = self.now;
        let (due, delayed) = self
            .delayed_writes
            .drain(..)
            .partition(|(at, _)| *at <= now);
        self.delayed_writes = delayed;
        let due: Vec<(Timestamp, Action)> = due;
        for (_, action) in due {
            if let Action::Write { version, record } = action {
                self.store.write(version, &record);
            }
        }
    }

    fn run(&mut self, index: usize, fault_ratio: f64) {
        let now = self.now;
        if now < self.hosts[index].paused_until {
            return;
        }
        if self.rng.random_bool(fault_ratio / 20.0) {
            let pause = STEP * self.rng.random_range(1..150);
            self.hosts[index].paused_until = now + pause;
            return;
        }
        let host = &mut self.hosts[index];
        if host.answer.as_ref().is_some_and(|(at, _)| *at <= now)
            && let Some((_, event)) = host.answer.take()
        {
            host.machine.apply(event, now);
        }
        if host.answer.is_some() {
            return;
        }
        if let Some(action) = host.machine.poll(now) {
            let event = self.ask(action, fault_ratio);
            let delay = STEP * self.rng.random_range(0..4);
            self.hosts[index].answer = Some((now + delay, event));
        }
    }

    fn ask(&mut self, action: Action, fault_ratio: f64) -> Event {
        let fault = if self.rng.random_bool(fault_ratio) {
            self.rng.random_range(0..4)
        } else {
            4
        };
        match (action, fault) {
            (Action::Read, 0..=1) => Event::Read(None),
            (Action::Read, 2..=3) => Event::Read(Some(self.store.previous.clone())),
            (Action::Read, _) => Event::Read(Some(self.store.current.clone())),
            (Action::Write { .. }, 0) => Event::Wrote(WriteOutcome::NotApplied),
            (write @ Action::Write { .. }, 1) => {
                let at = self.now + STEP * self.rng.random_range(1..200);
                self.delayed_writes.push((at, write));
                Event::Wrote(WriteOutcome::Unknown)
            }
            (Action::Write { version, record }, fault) => {
                let is_done = self.store.write(version, &record);
                match (is_done, fault) {
                    (_, 2..=3) => Event::Wrote(WriteOutcome::Unknown),
                    (true, _) => Event::Wrote(WriteOutcome::Done),
                    (false, _) => Event::Wrote(WriteOutcome::Refused),
                }
            }
        }
    }
}

#[test]
fn seeded_schedules() {
    let mut holder_count = 0;
    for seed in 0..200 {
        let mut world = World::new(seed);
        for _ in 0..2_000 {
            world.step(0.2);
        }
        holder_count += world.orders.last().map_or(0, |order| order.0);
    }
    // The schedules must make the lease change hands often, or they would test
    // nothing.
    assert!(holder_count > 400, "{holder_count}");
}

#[test]
fn calm_holder() {
    let mut world = World::new(1);
    for _ in 0..1_000 {
        world.step(0.0);
    }
    assert_eq!(world.orders.last().map(|order| order.0), Some(1));
    assert!(world.orders.len() > 900, "{}", world.orders.len());
}

#[test]
fn dead_holder() {
    let mut world = World::new(1);
    for _ in 0..50 {
        world.step(0.0);
    }
    let (fence, index) = world.orders.last().copied().unwrap();
    world.hosts[index].paused_until = Duration::MAX;
    let died_at = world.now;
    while world.orders.last().map(|order| order.0) == Some(fence) {
        world.step(0.0);
        assert!(world.now < died_at + Duration::from_secs(20));
    }
    let waited = world.now - died_at;
    println!("taken over after {waited:?}");
    // No host takes over before the lease period and one order timeout have
    // passed since the last renewal.
    assert!(waited > Duration::from_secs(3), "{waited:?}");
    assert!(waited < Duration::from_secs(9), "{waited:?}");
}

#[test]
fn store_down() {
    let terms = Terms {
        max_claim_jitter: Duration::ZERO,
        ..TERMS
    };
    let mut machine = Machine::new("entry-1", 1, terms);
    machine.poll(Duration::ZERO);
    machine.apply(Event::Read(Some(None)), Duration::ZERO);
    machine.poll(Duration::ZERO);
    machine.apply(Event::Wrote(WriteOutcome::Done), Duration::ZERO);
    for second in 0..20 {
        let now = Duration::from_secs(second);
        if machine.poll(now).is_some() {
            machine.apply(Event::Wrote(WriteOutcome::NotApplied), now);
        }
        // Orders stop one order timeout before the lease ends.
        assert_eq!(machine.fence(now).is_some(), second <= 4, "{second}");
    }
}

#[test]
fn released_lease() {
    let mut world = World::new(1);
    for _ in 0..50 {
        world.step(0.0);
    }
    let (_, index) = world.orders.last().copied().unwrap();
    let now = world.now;
    let host = &mut world.hosts[index];
    host.paused_until = Duration::MAX;
    if let Some((_, event)) = host.answer.take() {
        host.machine.apply(event, now);
    }
    let Some(Action::Write { version, record }) = host.machine.release(now) else {
        panic!("the host should hold the lease");
    };
    assert!(world.store.write(version, &record));
    // Far less than the lease period and the order timeout, which together are
    // 60 steps.
    for _ in 0..30 {
        world.step(0.0);
    }
    assert_eq!(world.orders.last().map(|order| order.0), Some(2));
}

/// A claim whose answer was lost is valid from when the claim was sent.
#[test]
fn lost_write_answer() {
    let terms = Terms {
        max_claim_jitter: Duration::ZERO,
        ..TERMS
    };
    let mut machine = Machine::new("entry-1", 1, terms);
    machine.poll(Duration::ZERO);
    machine.apply(Event::Read(Some(None)), Duration::ZERO);
    let Some(Action::Write { version, record }) = machine.poll(Duration::ZERO) else {
        panic!("the lease should be free");
    };
    let later = Duration::from_secs(3);
    machine.apply(Event::Wrote(WriteOutcome::Unknown), later);
    assert_eq!(machine.fence(later), None);
    assert_eq!(machine.poll(later), Some(Action::Read));
    let found = Versioned {
        version: version + 1,
        record,
    };
    machine.apply(Event::Read(Some(Some(found))), later);
    assert_eq!(machine.fence(later), Some(1));
    assert_eq!(machine.fence(Duration::from_millis(4_500)), None);
}

fn read(machine: &mut Machine, found: &Versioned, now: Timestamp) {
    assert_eq!(machine.poll(now), Some(Action::Read));
    machine.apply(Event::Read(Some(Some(found.clone()))), now);
}

fn held_by(holder: &str, quiet_until: Duration) -> Versioned {
    Versioned {
        version: 7,
        record: Record {
            holder: holder.into(),
            life: 1,
            fence: 4,
            sequence: 9,
            released: false,
            quiet_until,
        },
    }
}

/// After all hosts have lost power at once, the restarted holder reclaims its
/// lease without waiting, and withholds orders for as long as its earlier
/// process would have.
#[test]
fn own_restart() {
    let quiet_until = Duration::from_secs(90);
    let mut machine = Machine::new("entry-1", 2, TERMS).reclaiming_own_lease();
    machine.set_takeover_quiet_until(Duration::from_secs(300));
    read(&mut machine, &held_by("entry-1", quiet_until), STEP);
    let taken = machine.poll(STEP);
    let Some(Action::Write { version: 7, record }) = taken else {
        panic!("expected a claim, got {taken:?}");
    };
    assert_eq!((record.fence, record.quiet_until), (5, quiet_until));
    machine.apply(Event::Wrote(WriteOutcome::DoneAt(40)), STEP);
    assert_eq!(machine.fence(STEP), Some(5));
    assert_eq!(machine.quiet_until(), quiet_until);
}

/// A restarted host does not claim another host's lease before it expires.
#[test]
fn restart_beside_holder() {
    let mut machine = Machine::new("entry-1", 2, TERMS).reclaiming_own_lease();
    read(&mut machine, &held_by("entry-2", Duration::ZERO), STEP);
    assert_eq!(machine.poll(STEP), None);
}

/// After a store outage that outlasts the lease, the holder has time to renew
/// before another host may take over.
#[test]
fn store_outage() {
    let found = held_by("entry-2", Duration::ZERO);
    let mut machine = Machine::new("entry-1", 1, TERMS);
    read(&mut machine, &found, STEP);
    let returned = Duration::from_secs(60);
    read(&mut machine, &found, returned);
    let mut now = returned;
    let lapse = TERMS.lease + TERMS.order_timeout;
    while now < returned + lapse {
        match machine.poll(now) {
            None => {}
            Some(Action::Read) => machine.apply(Event::Read(Some(Some(found.clone()))), now),
            Some(Action::Write { .. }) => {
                panic!(
                    "claimed the lease {:?} after the store returned",
                    now - returned
                )
            }
        }
        now += STEP;
    }
}

/// When large and small hosts start together, a large one gets the free lease.
#[test]
fn small_host_waits() {
    let handicap = Duration::from_secs(2);
    let mut small = Machine::new("entry-1", 1, TERMS).with_extra_claim_delay(handicap);
    let mut large = Machine::new("entry-2", 1, TERMS);
    for machine in [&mut small, &mut large] {
        assert_eq!(machine.poll(Duration::ZERO), Some(Action::Read));
        machine.apply(Event::Read(Some(None)), Duration::ZERO);
    }
    let mut now = Duration::ZERO;
    loop {
        now += STEP;
        assert!(now < handicap, "the large host did not take the lease");
        if let Some(Action::Read) = small.poll(now) {
            small.apply(Event::Read(Some(None)), now);
        }
        match large.poll(now) {
            Some(Action::Write { .. }) => break,
            Some(Action::Read) => large.apply(Event::Read(Some(None)), now),
            None => {}
        }
    }
}
