//! Permits of the coordinator in virtual time, without network: fleets of 9, 62 and
//! 295 hosts whose clients send far more than an upstream's limit.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use mimosavane::{
    batch::scheduler::{Action, Rights, Scheduler},
    clock::Timestamp,
    ids::{HostId, UpstreamId},
    ingress::{
        directory::Upstream,
        limits::{
            Issuer, LimitBook, Permission,
            ledger::{Ask, PermitLedger, Statement},
        },
        wire::StatedLimit,
    },
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rows_support::{engine, job, page::upstream};

/// The window, tolerance and extra requests of the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE_RATIO: f64 = 1.5;
const EXTRA_COUNT: f64 = 5.0;

/// The share of what the limits allow that is to be used.
const USED_RATIO: f64 = 0.95;

/// One way between two hosts.
const DELAY: Duration = Duration::from_millis(2);

const STEP: Duration = Duration::from_millis(1);

/// What the simulation plays.
#[derive(Clone, Copy, Debug)]
struct Load {
    host_count: usize,
    /// The calls of all clients per second.
    call_rate_per_s: f64,
    /// Whether a tenth of the hosts gets nine tenths of the calls.
    is_uneven: bool,
    seed: u64,
    duration: Duration,
}

/// When the coordinator is away, and whether another one follows it.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Timestamp,
    to: Timestamp,
    has_successor: bool,
}

fn limited() -> Upstream {
    upstream("i-1", 1, "127.0.0.1:80".parse().unwrap())
}

/// When requests reached the upstream, and when clients called.
#[derive(Clone, Debug, Default)]
struct Played {
    arrivals: Vec<Timestamp>,
    /// Those of hosts that an answer had told the limit half a second before, which
    /// are the ones that the platform's rule counts.
    told_arrivals: Vec<Timestamp>,
    calls: Vec<Timestamp>,
}

/// How long after it got the first answer with a limit a host's requests count.
const TELL_TIME: Duration = Duration::from_millis(500);

/// Plays `load`.
fn play(
    load: Load,
    rate_per_s: impl Fn(Timestamp) -> Option<f64>,
    outage: Option<Outage>,
) -> Played {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let upstream = limited();
    let mut ledger = PermitLedger::default();
    let share_ratio = 1.0 / load.host_count as f64;
    ledger.set_share(share_ratio);
    let names: Vec<HostId> = (0..load.host_count)
        .map(|number| format!("entry-{number}").into())
        .collect();
    let mut books: Vec<LimitBook> = vec![LimitBook::default(); load.host_count];
    let mut fence = 1;
    let address = "127.0.0.1:7660".parse().ok();
    for book in &mut books {
        book.record_notice(Issuer { fence, address }, share_ratio, []);
    }
    let mut played = Played::default();
    let mut told_at: Vec<Option<Timestamp>> = vec![None; load.host_count];
    // The answers on their way: when they arrive, to which host, and what they say.
    let mut answers: BinaryHeap<(std::cmp::Reverse<Timestamp>, usize, Option<u64>)> =
        BinaryHeap::new();
    let mut now = Duration::ZERO;
    while now < load.duration {
        now += STEP;
        while let Some((std::cmp::Reverse(at), host, rate_bits)) = answers.peek().copied()
            && at <= now
        {
            answers.pop();
            let stated = match rate_bits {
                Some(bits) => StatedLimit::PerSecond(f64::from_bits(bits)),
                None => StatedLimit::None,
            };
            if rate_bits.is_some() {
                told_at[host].get_or_insert(now);
            }
            let change = books[host].record_answer(&upstream, stated, now);
            let is_away = outage.is_some_and(|o| now >= o.from && now < o.to);
            if let Some(change) = change
                && !is_away
            {
                let report = Ask {
                    statement: Some(Statement {
                        rate_per_s: change.rate_per_s,
                        age: Duration::ZERO,
                    }),
                    ..books[host].ask(&names[host], &upstream, 0, now)
                };
                ledger.answer(&report, now);
            }
        }
        if let Some(outage) = outage
            && outage.has_successor
            && now >= outage.to
            && fence == 1
        {
            fence = 2;
            ledger.clear();
        }
        // Hosts read the notice some time after it is published.
        if now.as_millis().is_multiple_of(500) && outage.is_none_or(|o| now < o.from || now >= o.to)
        {
            let limits: Vec<_> = ledger
                .limits()
                .map(|(id, started_at_ms, rate)| (id.clone(), started_at_ms, rate))
                .collect();
            for book in &mut books {
                book.record_notice(Issuer { fence, address }, share_ratio, limits.clone());
            }
        }
        if !random.random_bool((load.call_rate_per_s * STEP.as_secs_f64()).min(1.0)) {
            continue;
        }
        let busy_count = (load.host_count / 10).max(1);
        let host = match load.is_uneven && random.random_bool(0.9) {
            true => random.random_range(0..busy_count),
            false => random.random_range(0..load.host_count),
        };
        played.calls.push(now);
        let is_away = outage.is_some_and(|o| now >= o.from && now < o.to);
        let is_allowed = match books[host].permission(&names[host], &upstream, now) {
            Permission::Free => true,
            Permission::Closed(_) => false,
            Permission::Ask(ask) if !is_away => {
                let grant = ledger.answer(&ask, now + DELAY);
                books[host].record_grant(&upstream, grant, now + DELAY * 2)
            }
            Permission::Ask(_) | Permission::OwnPart => {
                books[host].record_silence(now);
                let first_count = random.random::<f64>();
                books[host].take_own(&upstream, first_count, now)
            }
        };
        if is_allowed {
            played.arrivals.push(now + DELAY * 3);
            if told_at[host].is_some_and(|at| at + TELL_TIME <= now) {
                played.told_arrivals.push(now + DELAY * 3);
            }
            let bits = rate_per_s(now + DELAY * 3).map(f64::to_bits);
            answers.push((std::cmp::Reverse(now + DELAY * 6), host, bits));
        }
    }
    played
}

/// Returns the most requests in one window that ends after `from`.
fn busiest_window(arrivals: &[Timestamp], from: Timestamp) -> usize {
    arrivals
        .iter()
        .enumerate()
        .filter(|(_, at)| **at >= from)
        .map(|(index, at)| {
            let start = at.saturating_sub(WINDOW);
            arrivals[..=index].iter().filter(|a| **a > start).count()
        })
        .max()
        .unwrap_or(0)
}

/// Asserts that no window breaks the limit: by the platform's rule from 3 s after the
/// first answer on, and 2 s later also by the requests of all hosts.
fn assert_kept(played: &Played, from: Timestamp, rate_per_s: f64, what: &str) {
    let allowed = TOLERANCE_RATIO * rate_per_s * WINDOW.as_secs_f64() + EXTRA_COUNT;
    for (arrivals, from) in [
        (&played.told_arrivals, from),
        (&played.arrivals, from + 2 * SECOND),
    ] {
        let busiest = busiest_window(arrivals, from);
        assert!(busiest as f64 <= allowed, "{what}: {busiest} of {allowed}");
    }
}

fn count_between(times: &[Timestamp], from: Timestamp, to: Timestamp) -> f64 {
    times.iter().filter(|at| **at >= from && **at < to).count() as f64
}

fn assert_used(played: &Played, from: Timestamp, to: Timestamp, rate_per_s: f64, what: &str) {
    let count = count_between(&played.arrivals, from, to);
    let allowed = rate_per_s * (to - from).as_secs_f64();
    assert!(
        count >= USED_RATIO * allowed,
        "{what}: {count} of {allowed}"
    );
}

const SECOND: Duration = Duration::from_secs(1);

/// The limits and fleets that all tests play: hosts, limit, calls per second.
const SIZES: [(usize, f64, f64); 6] = [
    (9, 1.5, 4.0),
    (9, 12.0, 60.0),
    (62, 7.0, 20.0),
    (62, 10.0, 200.0),
    (295, 5.0, 40.0),
    (295, 25.0, 150.0),
];

fn loads() -> impl Iterator<Item = (Load, f64)> {
    SIZES.into_iter().flat_map(|(host_count, rate, calls)| {
        (1..=4).map(move |seed| {
            let load = Load {
                host_count,
                call_rate_per_s: calls,
                is_uneven: seed % 2 == 0,
                seed,
                duration: 60 * SECOND,
            };
            (load, rate)
        })
    })
}

/// Clients send far more than the limit, evenly or to a few hosts.
#[test]
fn steady_overload() {
    for (load, rate) in loads() {
        let played = play(load, |_| Some(rate), None);
        assert_kept(&played, 3 * SECOND, rate, &format!("{load:?}"));
        assert_used(
            &played,
            8 * SECOND,
            load.duration,
            rate,
            &format!("{load:?}"),
        );
    }
}

/// The limit rises, falls and jitters from answer to answer: windows keep the largest
/// that was named in them.
#[test]
fn changing_limit() {
    for (load, rate) in loads() {
        let named = |at: Timestamp| {
            let jitter = 0.9 + 0.2 * ((at.as_millis() * 7 % 11) as f64 / 11.0);
            let factor = if at < 20 * SECOND { 1.0 } else { 0.5 };
            Some(rate * factor * jitter)
        };
        let played = play(load, named, None);
        assert_kept(&played, 3 * SECOND, rate * 1.1, &format!("{load:?}"));
        assert_kept(&played, 25 * SECOND, rate * 0.55, &format!("{load:?}"));
    }
}

/// The upstream ceases to name a limit: all calls go there again within 2 s.
#[test]
fn limit_ends() {
    for (load, rate) in loads() {
        let named = |at: Timestamp| (at < 20 * SECOND).then_some(rate);
        let played = play(load, named, None);
        let what = format!("{load:?}");
        let to = 40 * SECOND;
        let served = count_between(&played.arrivals, 22 * SECOND, to);
        let called = count_between(&played.calls, 22 * SECOND, to);
        assert!(
            served >= USED_RATIO * called,
            "{what}: {served} of {called}"
        );
    }
}

/// The coordinator is killed, and the next one issues permits 2 s later.
#[test]
fn coordinator_replaced() {
    for (load, rate) in loads() {
        let outage = Outage {
            from: 15 * SECOND,
            to: 17 * SECOND,
            has_successor: true,
        };
        let played = play(load, |_| Some(rate), Some(outage));
        assert_kept(&played, 3 * SECOND, rate, &format!("{load:?}"));
        assert_used(
            &played,
            18 * SECOND,
            load.duration,
            rate,
            &format!("{load:?}"),
        );
    }
}

/// The coordinator is away for long and the store elects no other: each host keeps to
/// its own part, and together they use some of the limit.
#[test]
fn nobody_coordinates() {
    for (load, rate) in loads() {
        let outage = Outage {
            from: 15 * SECOND,
            to: 45 * SECOND,
            has_successor: false,
        };
        let played = play(load, |_| Some(rate), Some(outage));
        assert_kept(&played, 3 * SECOND, rate, &format!("{load:?}"));
        let count = count_between(&played.arrivals, outage.from, outage.to);
        let floor = if load.is_uneven { 0.05 } else { 0.25 };
        assert!(
            count >= floor * rate * (outage.to - outage.from).as_secs_f64(),
            "{load:?}: {count}"
        );
    }
}

/// A late report of what the upstream said before does not undo what it says now, and
/// the start of another process under the same id begins anew.
#[test]
fn old_statements() {
    let mut ledger = PermitLedger::default();
    let upstream = limited();
    let book = LimitBook::default();
    let report = |rate_per_s: Option<f64>, age_ms: u64, started_at_ms: u64| Ask {
        statement: Some(Statement {
            rate_per_s,
            age: Duration::from_millis(age_ms),
        }),
        started_at_ms,
        ..book.ask(&"entry-1".into(), &upstream, 0, Duration::ZERO)
    };
    ledger.answer(&report(Some(5.0), 0, 1), 10 * SECOND);
    ledger.answer(&report(None, 300, 1), 10 * SECOND);
    assert_eq!(ledger.limits().count(), 1);
    ledger.answer(&report(None, 100, 1), 11 * SECOND);
    assert_eq!(ledger.limits().count(), 0);
    ledger.answer(&report(Some(5.0), 900, 1), 11 * SECOND);
    assert_eq!(ledger.limits().count(), 0);
    ledger.answer(&report(Some(7.0), 0, 2), 12 * SECOND);
    ledger.answer(&report(None, 0, 1), 13 * SECOND);
    assert_eq!(
        ledger.limits().map(|(.., rate)| rate).collect::<Vec<_>>(),
        [7.0]
    );
}

/// Guards against a burst at an upstream that starts again under its id: a host that lists
/// another start of it than the one that named the limit asks for permits, and gets those
/// that are there.
#[test]
fn other_starts() {
    let ask = |started_at_ms: u64, statement: Option<Option<f64>>, permit_count: u32| Ask {
        host: "entry-1".into(),
        upstream: "i-1".into(),
        started_at_ms,
        statement: statement.map(|rate_per_s| Statement {
            rate_per_s,
            age: Duration::ZERO,
        }),
        permit_count,
    };
    let mut ledger = PermitLedger::default();
    ledger.answer(&ask(2, Some(Some(5.0)), 0), 10 * SECOND);
    for started_at_ms in [1, 2, 3] {
        let granted_count = (0..50)
            .filter(|_| {
                ledger
                    .answer(&ask(started_at_ms, None, 1), 11 * SECOND)
                    .is_granted
            })
            .count();
        let left_count = if started_at_ms == 1 { 5 } else { 0 };
        assert_eq!(granted_count, left_count, "start {started_at_ms}");
    }
    assert!(ledger.has_earlier_limit(&"i-1".into(), 3));
    assert!(!ledger.has_earlier_limit(&"i-1".into(), 2));
    // The newest start names no limit, and a late report of an older one changes nothing.
    ledger.answer(&ask(3, Some(None), 0), 11 * SECOND);
    ledger.answer(&ask(2, Some(Some(5.0)), 0), 11 * SECOND);
    for started_at_ms in [1, 2, 3] {
        assert!(
            ledger
                .answer(&ask(started_at_ms, None, 50), 11 * SECOND)
                .is_granted,
            "start {started_at_ms}"
        );
    }
}

/// Guards against the same burst at the host that asks: the limit of one start holds for the
/// upstream until a newer start answers, whichever of them is listed.
#[test]
fn limit_over_a_restart() {
    let start = |started_at_ms| upstream("i-1", started_at_ms, "127.0.0.1:80".parse().unwrap());
    let mut book = LimitBook::default();
    let address = "127.0.0.1:7660".parse().ok();
    book.record_notice(Issuer { fence: 1, address }, 0.1, []);
    book.record_answer(&start(2), StatedLimit::PerSecond(5.0), SECOND);
    for listed in [start(1), start(2), start(3)] {
        let permission = book.permission(&"entry-1".into(), &listed, SECOND);
        assert!(
            matches!(&permission, Permission::Ask(ask) if ask.started_at_ms == 2
                && ask.statement.is_some_and(|statement| statement.rate_per_s == Some(5.0))),
            "start {}: {permission:?}",
            listed.started_at_ms
        );
    }
    let change = book.record_answer(&start(3), StatedLimit::None, 2 * SECOND);
    assert_eq!(change.unwrap().rate_per_s, None);
    let permission = book.permission(&"entry-1".into(), &start(3), 2 * SECOND);
    assert_eq!(permission, Permission::Free);
}

/// Items start on an engine that names a limit as far as permits are left, and on the
/// others as far as slots are free.
#[test]
fn limited_engine() {
    let mut scheduler = Scheduler::default();
    scheduler.set_engines(vec![engine("engine-1", 64), engine("engine-2", 2)]);
    scheduler.open(job("j-1", 20, 16), &BTreeSet::new(), Duration::ZERO, SECOND);
    let rights = Rights {
        may_start: true,
        may_order: false,
    };
    let starts = |scheduler: &mut Scheduler, now| {
        let mut counts: BTreeMap<UpstreamId, usize> = BTreeMap::new();
        for action in scheduler.poll(now, rights) {
            if let Action::Start { engine, .. } = action {
                *counts.entry(engine).or_default() += 1;
            }
        }
        counts
    };
    scheduler.set_permits(&[("engine-1".into(), 3)].into());
    let first = starts(&mut scheduler, SECOND);
    assert_eq!(
        first,
        [("engine-1".into(), 3), ("engine-2".into(), 2)].into()
    );
    scheduler.set_permits(&[("engine-1".into(), 0)].into());
    assert!(starts(&mut scheduler, SECOND + SECOND / 5).is_empty());
    scheduler.set_permits(&BTreeMap::new());
    let last = starts(&mut scheduler, SECOND + SECOND / 2);
    assert_eq!(last, [("engine-1".into(), 15)].into());
}

/// Requests that use a host's own part keep coming while the coordinator is silent: the
/// host asks it again all the same.
#[test]
fn asks_after_silence() {
    let upstream = limited();
    let host: HostId = "entry-1".into();
    let address = "127.0.0.1:7660".parse().ok();
    let mut book = LimitBook::default();
    book.record_notice(Issuer { fence: 1, address }, 1.0, []);
    book.record_answer(&upstream, StatedLimit::PerSecond(100.0), Duration::ZERO);
    let mut asked_count = 0;
    for tick in 1..=100 {
        let now = SECOND + SECOND / 20 * tick;
        match book.permission(&host, &upstream, now) {
            Permission::Ask(_) => asked_count += 1,
            Permission::OwnPart => {}
            other => panic!("{other:?}"),
        }
        book.record_silence(now);
        assert!(book.take_own(&upstream, 1.0, now));
    }
    assert!(asked_count >= 10, "{asked_count}");
}
