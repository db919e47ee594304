//! Draws and injects the faults of one seed.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use mimosavane::platform::standin::{
    EngineFault, EngineRole, HangingAddress, ONCE_PATH, REPEATABLE_PATH, ReservedAddress,
    StoreFault,
};
use nix::sys::signal::Signal;
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use tokio::{task::spawn_local, time::sleep};

use crate::{accounts, proxy::LinkFault, scene::Harness};

/// The range of a fault's duration, in milliseconds.
const FAULT_TIME_MS: std::ops::Range<u64> = 300..3_000;

/// The range of the pause between two faults of one series, in milliseconds. Faults
/// of different series overlap.
const PAUSE_MS: std::ops::Range<u64> = 50..900;

/// Ten times the interval at which a stopping host is checked for its exit.
const DOWN_TIME: Duration = Duration::from_millis(600);

/// How long a leaving engine continues to serve.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);

/// The number of concurrent series of faults.
const SERIES_COUNT: usize = 4;

/// Every third seed has planned work only, to check that planned work cuts no
/// requests.
const PLANNED_PERIOD: u64 = 3;

/// The range of the time for which upstreams name a limit, in milliseconds. Hosts have
/// 3 s to hold it.
const LIMIT_TIME_MS: std::ops::Range<u64> = 4_500..8_000;

/// The range of such a limit, in requests per second. A caller sends 20 a second.
const LIMIT_PER_S: std::ops::Range<f64> = 3.0..12.0;

/// How often the figure of a limit changes.
const LIMIT_CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// The ratio of upstreams that name a limit at a time.
const LIMITED_RATIO: f64 = 0.5;

/// The range of the pause between two cuts of hosts from all upstreams, in milliseconds.
const CUT_PAUSE_MS: std::ops::Range<u64> = 500..3_000;

/// The ratio of hosts that are cut off at a time.
const CUT_RATIO: f64 = 0.4;

/// How long after a cut its host must serve: `stable_ms` of the deployment specification.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

/// How many calls check that a host that is cut off serves.
const CUT_CALL_COUNT: usize = 30;

/// A kind of fault or of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Kind {
    HostStop,
    HostReload,
    Configuration,
    EngineLeaves,
    HostKill,
    HostFreeze,
    KillAll,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreLate,
    StoreForgets,
    StoreLink,
    EngineLink,
    EngineCrash,
    EngineFaulty,
}

/// The kinds that are planned work rather than faults.
const PLANNED: [Kind; 4] = [
    Kind::HostStop,
    Kind::HostReload,
    Kind::Configuration,
    Kind::EngineLeaves,
];

/// A fault that begins `pause` after the previous one of its series ended.
#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    pause: Duration,
    time: Duration,
    /// A random number that selects the host or engine and the variant.
    choice: usize,
}

/// Injects the series of faults of `seed` for `duration`.
pub async fn run_all_series(
    harness: &Rc<Harness>,
    mut random: ChaCha8Rng,
    seed: u64,
    duration: Duration,
) {
    use strum::IntoEnumIterator as _;
    let all: Vec<Kind> = Kind::iter().collect();
    let kinds = if seed.is_multiple_of(PLANNED_PERIOD) {
        &PLANNED[..]
    } else {
        &all[..]
    };
    let series: Vec<_> = (0..SERIES_COUNT)
        .map(|_| {
            let mut faults = Vec::new();
            let mut length = Duration::ZERO;
            while length < duration {
                let fault = Fault {
                    kind: *kinds.choose(&mut random).unwrap_or(&Kind::HostReload),
                    pause: Duration::from_millis(random.random_range(PAUSE_MS)),
                    time: Duration::from_millis(random.random_range(FAULT_TIME_MS)),
                    choice: random.random_range(0..1_000),
                };
                length += fault.pause + fault.time;
                faults.push(fault);
            }
            let harness = harness.clone();
            spawn_local(async move {
                for fault in faults {
                    sleep(fault.pause).await;
                    harness.log_event(&format!("{fault:?}"));
                    inject(&harness, fault).await;
                }
            })
        })
        .collect();
    // Limits have random numbers of their own, so that the other series of a seed stay
    // what they were.
    let limits = spawn_local(name_limits(
        harness.clone(),
        ChaCha8Rng::seed_from_u64(!seed),
        duration,
    ));
    let cuts = spawn_local(cut_hosts_off(
        harness.clone(),
        ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
        if seed.is_multiple_of(PLANNED_PERIOD) {
            Duration::ZERO
        } else {
            duration
        },
    ));
    let planned_only = seed.is_multiple_of(PLANNED_PERIOD);
    let own_random = |turn: u32| ChaCha8Rng::seed_from_u64((!seed).rotate_left(turn));
    let keys = spawn_local(accounts::change_keys(
        harness.clone(),
        own_random(8),
        duration,
    ));
    let cloud = spawn_local(accounts::fail_cloud(
        harness.clone(),
        own_random(16),
        duration,
    ));
    let isolations = spawn_local(accounts::isolate_hosts(
        harness.clone(),
        own_random(24),
        if planned_only {
            Duration::ZERO
        } else {
            duration
        },
    ));
    let others = [limits, cuts, keys, cloud, isolations];
    for task in series.into_iter().chain(others) {
        // The faults after a panic are missing, so that the seed proves nothing.
        harness.check_task("a series of faults", task.await);
    }
}

/// Cuts hosts off from all upstreams, some at a time, until `duration` has passed.
async fn cut_hosts_off(harness: Rc<Harness>, mut random: ChaCha8Rng, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(CUT_PAUSE_MS))).await;
        let cut: Vec<_> = harness
            .hosts
            .iter()
            .filter(|_| random.random_bool(CUT_RATIO))
            .collect();
        let is_hanging = random.random_bool(0.5);
        let names: Vec<&str> = cut.iter().map(|host| &*host.name).collect();
        harness.log_event(&format!("cut off {names:?}, hanging: {is_hanging}"));
        harness.mark_disturbance();
        let Some(address) = Dead::new(is_hanging) else {
            continue;
        };
        for host in &cut {
            host.store.cut_upstreams(Some(address.address()));
        }
        sleep(Duration::from_millis(random.random_range(FAULT_TIME_MS))).await;
        for host in &cut {
            host.store.cut_upstreams(None);
        }
        harness.mark_disturbance();
    }
}

/// An address behind which nobody is.
enum Dead {
    Hanging(HangingAddress),
    Refusing(ReservedAddress),
}

impl Dead {
    fn new(is_hanging: bool) -> Option<Self> {
        match is_hanging {
            true => HangingAddress::new().ok().map(Self::Hanging),
            false => ReservedAddress::new().map(Self::Refusing),
        }
    }

    const fn address(&self) -> SocketAddr {
        match self {
            Self::Hanging(address) => address.address,
            Self::Refusing(address) => address.address,
        }
    }
}

/// Cuts one host off while nothing else is wrong, and checks that its callers are served.
pub async fn check_cut_off_host(harness: &Harness, seed: u64) {
    let host = &harness.hosts[seed as usize % harness.hosts.len()];
    let Some(address) = Dead::new(seed.is_multiple_of(2)) else {
        return;
    };
    host.store.cut_upstreams(Some(address.address()));
    sleep(STABLE_TIME).await;
    let mut served_count = 0;
    for number in 0..CUT_CALL_COUNT {
        let attempt = format!("cut-off-{number}");
        let path = [REPEATABLE_PATH, ONCE_PATH][number % 2];
        let answer = harness.send_as(
            host.addresses.clients,
            accounts::account(number),
            [attempt.clone()],
            async |client| client.call(path, &attempt).await,
        );
        served_count += usize::from(answer.await.is_ok_and(|answer| answer.status.is_success()));
    }
    host.store.cut_upstreams(None);
    let mut record = harness.record.borrow_mut();
    record.count("hosts cut off");
    if served_count * 3 < CUT_CALL_COUNT * 2 {
        let seen = format!("{}: {served_count} of {CUT_CALL_COUNT} served", host.name);
        record.add_violation("cut-off-hosts-serve", seen);
    }
}

/// Lets some upstreams at a time name limits that change, until `duration` has passed.
async fn name_limits(harness: Rc<Harness>, mut random: ChaCha8Rng, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let time = Duration::from_millis(random.random_range(LIMIT_TIME_MS));
        let until = (Instant::now() + time).min(end);
        let limits: Vec<Option<f64>> = (0..harness.engines.borrow().len())
            .map(|_| {
                let is_limited = random.random_bool(LIMITED_RATIO);
                let limit_per_s = random.random_range(LIMIT_PER_S);
                is_limited.then_some(limit_per_s)
            })
            .collect();
        harness.log_event(&format!("limits {limits:?}"));
        while Instant::now() < until {
            let factor = random.random_range(0.8..1.2);
            for (engine, limit) in harness.engines.borrow().iter().zip(&limits) {
                engine.set_limit(limit.map(|limit| limit * factor));
            }
            sleep(LIMIT_CHANGE_INTERVAL).await;
        }
        for engine in harness.engines.borrow().iter() {
            engine.set_limit(None);
        }
        harness.log_event("limits end");
    }
}

async fn inject(harness: &Harness, fault: Fault) {
    let random_host = &harness.hosts[fault.choice % harness.hosts.len()];
    // Half of the faults hit the host that sends the orders, whose loss is the hardest
    // to recover from.
    let targets_holder = fault.choice.is_multiple_of(2);
    let host = harness
        .holder()
        .filter(|_| targets_holder)
        .unwrap_or(random_host)
        .clone();
    let slot = fault.choice % harness.engines.borrow().len();
    harness.mark_activity();
    if !PLANNED.contains(&fault.kind) {
        harness.mark_disturbance();
    }
    match fault.kind {
        Kind::HostStop => {
            host.signal(Signal::SIGTERM);
            let mut remaining = crate::fleet::GRACE;
            while !host.has_ended() && !remaining.is_zero() {
                sleep(DOWN_TIME / 10).await;
                remaining = remaining.saturating_sub(DOWN_TIME / 10);
            }
            harness.restart(&host).await;
        }
        Kind::HostReload => host.signal(Signal::SIGHUP),
        Kind::Configuration => harness.configure(),
        Kind::EngineLeaves => {
            let engine = harness.engines.borrow()[slot].clone();
            // An upstream that is not listed as leaving only states it in its answers.
            let is_listed = fault.choice.is_multiple_of(2);
            engine.drain(is_listed);
            sleep(DRAIN_TIME).await;
            harness.replace_engine(slot).await;
        }
        Kind::HostKill => harness.restart(&host).await,
        Kind::HostFreeze => {
            host.signal(Signal::SIGSTOP);
            sleep(fault.time).await;
            host.signal(Signal::SIGCONT);
        }
        Kind::KillAll => {
            for host in &harness.hosts {
                host.kill();
                host.mark_disturbance();
            }
            for host in &harness.hosts {
                harness.restart(host).await;
            }
        }
        Kind::StoreDown => fail_store(harness, StoreFault::Down, fault.time).await,
        Kind::StoreSlow => fail_store(harness, StoreFault::Slow, fault.time).await,
        Kind::StoreLosesAnswers => fail_store(harness, StoreFault::LosesAnswers, fault.time).await,
        Kind::StoreLate => fail_store(harness, StoreFault::Late, fault.time / 2).await,
        Kind::StoreForgets => harness.store.forget_history(),
        Kind::StoreLink => {
            host.mark_disturbance();
            host.link.set_fault(link_fault(fault.choice));
            sleep(fault.time).await;
            host.link.set_fault(LinkFault::None);
            host.mark_disturbance();
        }
        Kind::EngineLink => {
            let link = harness.engine_links[slot].clone();
            link.set_fault(link_fault(fault.choice));
            sleep(fault.time).await;
            link.set_fault(LinkFault::None);
        }
        Kind::EngineCrash => harness.replace_engine(slot).await,
        Kind::EngineFaulty => {
            let engine = harness.engines.borrow()[slot].clone();
            engine.set_fault(match (fault.choice % 3, engine.role) {
                (0, _) => EngineFault::Slow,
                (1, _) => EngineFault::Grey,
                (_, EngineRole::Generates) => EngineFault::LateOrders,
                (_, EngineRole::Answers) => EngineFault::Mismatched,
            });
            sleep(fault.time).await;
            engine.set_fault(EngineFault::None);
        }
    }
    harness.mark_activity();
    if !PLANNED.contains(&fault.kind) {
        harness.mark_disturbance();
    }
}

/// Makes the store fail with `fault` for `time`.
async fn fail_store(harness: &Harness, fault: StoreFault, time: Duration) {
    harness.store.set_fault(fault);
    sleep(time).await;
    harness.store.set_fault(StoreFault::None);
}

const fn link_fault(choice: usize) -> LinkFault {
    match choice / 7 % 4 {
        0 => LinkFault::Delay,
        1 => LinkFault::Silence,
        2 => LinkFault::OneWay,
        _ => LinkFault::Cut,
    }
}
