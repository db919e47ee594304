//! The faults of one seed: which come, when, and for how long.

use std::{rc::Rc, time::Duration};

use mimosavane::platform::standin::{EngineFault, StoreFault};
use nix::sys::signal::Signal;
use rand::{Rng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use tokio::{task::spawn_local, time::sleep};

use crate::{proxy::LinkFault, scene::Scene};

/// How long a fault lasts.
const FAULT_TIME: std::ops::Range<u64> = 300..3_000;

/// The pause between two faults of one series; series overlap.
const PAUSE: std::ops::Range<u64> = 50..900;

/// How long a host stays down.
const DOWN_TIME: Duration = Duration::from_millis(600);

/// How long an engine that leaves goes on serving.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// How many series of faults run at once.
const SERIES_COUNT: usize = 4;

/// Each third seed has planned work only, so that what planned work must not cut
/// is checked.
const PLANNED_PERIOD: u64 = 3;

/// One kind of fault.
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

/// The kinds that are planned work.
const PLANNED: [Kind; 4] = [
    Kind::HostStop,
    Kind::HostReload,
    Kind::Configuration,
    Kind::EngineLeaves,
];

/// One fault, at a pause behind the one before.
#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    pause: Duration,
    time: Duration,
    /// Chooses the host or the engine, and the variant.
    choice: usize,
}

/// Plays the series of faults of `seed` for `duration`.
pub async fn play(scene: &Rc<Scene>, mut random: ChaCha8Rng, seed: u64, duration: Duration) {
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
                    pause: Duration::from_millis(random.random_range(PAUSE)),
                    time: Duration::from_millis(random.random_range(FAULT_TIME)),
                    choice: random.random_range(0..1_000),
                };
                length += fault.pause + fault.time;
                faults.push(fault);
            }
            let scene = scene.clone();
            spawn_local(async move {
                for fault in faults {
                    sleep(fault.pause).await;
                    scene.note(&format!("{fault:?}"));
                    carry_out(&scene, fault).await;
                }
            })
        })
        .collect();
    for one in series {
        // A series that panicked has failed the scene already.
        let _ = one.await;
    }
}

async fn carry_out(scene: &Scene, fault: Fault) {
    let drawn = &scene.hosts[fault.choice % scene.hosts.len()];
    // Every second time the host that gives the orders, which is hardest to lose.
    let is_aimed = fault.choice.is_multiple_of(2);
    let host = scene.holder().filter(|_| is_aimed).unwrap_or(drawn).clone();
    let slot = fault.choice % scene.engines.borrow().len();
    scene.touch();
    if !PLANNED.contains(&fault.kind) {
        scene.disturb();
    }
    match fault.kind {
        Kind::HostStop => {
            host.signal(Signal::SIGTERM);
            let mut left = crate::fleet::GRACE;
            while !host.has_ended() && !left.is_zero() {
                sleep(DOWN_TIME / 10).await;
                left = left.saturating_sub(DOWN_TIME / 10);
            }
            scene.restart(&host).await;
        }
        Kind::HostReload => host.signal(Signal::SIGHUP),
        Kind::Configuration => scene.configure(),
        Kind::EngineLeaves => {
            let engine = scene.engines.borrow()[slot].clone();
            engine.drain();
            sleep(DRAIN_TIME).await;
            scene.replace_engine(slot).await;
        }
        Kind::HostKill => scene.restart(&host).await,
        Kind::HostFreeze => {
            host.signal(Signal::SIGSTOP);
            sleep(fault.time).await;
            host.signal(Signal::SIGCONT);
        }
        Kind::KillAll => {
            for host in &scene.hosts {
                host.kill();
                host.disturb();
            }
            for host in &scene.hosts {
                scene.restart(host).await;
            }
        }
        Kind::StoreDown => store(scene, StoreFault::Down, fault.time).await,
        Kind::StoreSlow => store(scene, StoreFault::Slow, fault.time).await,
        Kind::StoreLosesAnswers => store(scene, StoreFault::LosesAnswers, fault.time).await,
        Kind::StoreLate => store(scene, StoreFault::Late, fault.time / 2).await,
        Kind::StoreForgets => scene.store.forget_history(),
        Kind::StoreLink => {
            host.disturb();
            host.link.set_fault(link_fault(fault.choice));
            sleep(fault.time).await;
            host.link.set_fault(LinkFault::None);
            host.disturb();
        }
        Kind::EngineLink => {
            let link = scene.engine_links[slot].clone();
            link.set_fault(link_fault(fault.choice));
            sleep(fault.time).await;
            link.set_fault(LinkFault::None);
        }
        Kind::EngineCrash => scene.replace_engine(slot).await,
        Kind::EngineFaulty => {
            let engine = scene.engines.borrow()[slot].clone();
            engine.set_fault(match fault.choice % 3 {
                0 => EngineFault::Slow,
                1 => EngineFault::Grey,
                _ => EngineFault::LateOrders,
            });
            sleep(fault.time).await;
            engine.set_fault(EngineFault::None);
        }
    }
    scene.touch();
    if !PLANNED.contains(&fault.kind) {
        scene.disturb();
    }
}

async fn store(scene: &Scene, fault: StoreFault, time: Duration) {
    scene.store.set_fault(fault);
    sleep(time).await;
    scene.store.set_fault(StoreFault::None);
}

const fn link_fault(choice: usize) -> LinkFault {
    match choice / 7 % 4 {
        0 => LinkFault::Delay,
        1 => LinkFault::Silence,
        2 => LinkFault::OneWay,
        _ => LinkFault::Cut,
    }
}
