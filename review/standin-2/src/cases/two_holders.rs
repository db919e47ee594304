//! Two machines are restarted in turn, while the store turns the first one away for some seconds
//! after its start.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use super::{Case, Verdict, models, seconds};
use crate::{fleet::Machine, server::Work};

/// `lease_ms` of the settings.
const LEASE: Duration = Duration::from_millis(3_000);

/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// The pause between two versions of any model.
const NAMING_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the machine is turned away at most, as `for_s` of `platform_down` in the site file.
const TURNED_AWAY: Duration = Duration::from_millis(9_000);

/// How long it is turned away at least before the other one is stopped.
const FIRST_TURNED_AWAY: Duration = Duration::from_millis(2_500);

/// How long after the stop of the other one it is served again.
const SERVED_AFTER: Duration = Duration::from_millis(40);

/// How long ago the machine has asked for both feeds at most, and the other one has given an
/// order, when that one is stopped.
const ASKED_BEFORE: Duration = Duration::from_millis(150);
const ORDERED_BEFORE: Duration = Duration::from_millis(600);

pub fn play(case: &Case) -> Verdict {
    let models = models(1);
    case.configure(&models, 40.0, 2);
    let work = Work::Events {
        count: 20,
        interval: Duration::from_millis(50),
    };
    let engines: Vec<_> = ["i-1", "i-2"]
        .iter()
        .map(|id| case.engine(id, "z-a", &models, work.clone()))
        .collect();
    let mut holder = case.machine("edge-z-a-1", "z-a");
    let mut other = case.machine("edge-z-b-1", "z-b");
    for machine in [&mut holder, &mut other] {
        machine.start();
        if !machine.wait_ready(Duration::from_secs(15)) {
            return Verdict::NotRun(format!("{} is not ready", machine.name));
        }
        // The first machine takes the lease.
        thread::sleep(Duration::from_secs(3));
    }
    let is_over = AtomicBool::new(false);
    let played = thread::scope(|scope| {
        scope.spawn(|| {
            for round in 0_u64.. {
                let model = &models[round as usize % models.len()];
                case.name_version(model, round / models.len() as u64 + 2);
                thread::sleep(NAMING_INTERVAL);
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        let played = restart_in_turn(case, &mut holder, &mut other);
        is_over.store(true, Ordering::SeqCst);
        played
    });
    drop(engines);
    for machine in [&holder, &other] {
        for line in machine.log_lines(&["lease.", "host.stopping", "store.regained"]) {
            case.record
                .line(&format!("log of {}: {line}", machine.name));
        }
    }
    match played {
        Ok(()) => judge(case),
        Err(reason) => Verdict::NotRun(reason.to_owned()),
    }
}

fn restart_in_turn(
    case: &Case,
    holder: &mut Machine,
    other: &mut Machine,
) -> Result<(), &'static str> {
    thread::sleep(Duration::from_secs(4));
    other.terminate();
    // It still runs for some seconds, and is turned away from its next start on.
    thread::sleep(Duration::from_secs(3));
    let end = Instant::now() + TURNED_AWAY;
    if case.is_troubled {
        case.store.turn_away(&other.name, true);
        case.record
            .line(&format!("the store turns {} away", other.name));
    }
    if !other.restart_when_ended(GRACE) {
        return Err("a machine did not stop");
    }
    thread::sleep(FIRST_TURNED_AWAY);
    let last_order = || {
        let seen = case.seen.lock().expect("not poisoned");
        seen.orders
            .last()
            .map(|order| (order.at, order.holder.clone()))
    };
    let has_just_ordered = || {
        last_order().is_some_and(|(at, _)| case.record.now().saturating_sub(at) <= ORDERED_BEFORE)
    };
    // A machine that is turned away asks for each feed again after up to 0.8 s.
    let has_just_asked = || {
        let ages = case.store.refusal_ages(&other.name);
        let is_recent = |table: &str| ages.get(table).is_some_and(|age| *age <= ASKED_BEFORE);
        !case.is_troubled || ["op", "servers"].into_iter().all(is_recent)
    };
    while !(has_just_ordered() && has_just_asked()) && Instant::now() + SERVED_AFTER < end {
        thread::sleep(Duration::from_millis(2));
    }
    if last_order().is_none_or(|(_, name)| name != holder.name) {
        return Err("the first machine does not give the orders");
    }
    holder.terminate();
    thread::sleep(SERVED_AFTER);
    if case.is_troubled {
        let ages = case.store.refusal_ages(&other.name);
        case.store.turn_away(&other.name, false);
        case.record.line(&format!(
            "the store serves {} again, whose last calls were {ages:?} ago",
            other.name
        ));
    }
    thread::sleep(Duration::from_secs(8));
    Ok(())
}

/// Looks for orders of two holders to one server within the time of the lease.
fn judge(case: &Case) -> Verdict {
    let seen = case.seen.lock().expect("not poisoned");
    let mut shortest: Option<(Duration, String)> = None;
    for (index, order) in seen.orders.iter().enumerate() {
        let earlier = seen.orders[..index].iter().rev();
        let before = earlier.clone().find(|before| before.server == order.server);
        let Some(before) = before.filter(|before| before.holder != order.holder) else {
            continue;
        };
        let gap = order.at.saturating_sub(before.at);
        let text = format!(
            "{} got an order of {} (fence {}) {} after one of {} (fence {})",
            order.server,
            order.holder,
            order.fence,
            seconds(gap),
            before.holder,
            before.fence
        );
        case.record.line(&text);
        if shortest.as_ref().is_none_or(|(known, _)| gap < *known) {
            shortest = Some((gap, text));
        }
    }
    match shortest {
        None => Verdict::NotRun("no server got orders of both machines".to_owned()),
        Some((gap, text)) if gap < LEASE => Verdict::Broken(text),
        Some((_, text)) => Verdict::Held(text),
    }
}
