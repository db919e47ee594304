//! A row's calls stay within its rate limit even if hosts cannot communicate.

use std::time::{Duration, Instant};

use mimosavane::{Row, entry::call_rate::CallRates, share::allowance::Split};

fn rates(ordinal: u32, host_count: u32) -> CallRates {
    CallRates::new(Split {
        ordinal,
        host_count,
        max_run: Duration::ZERO,
    })
}

fn row(max_rate_calls_per_s: u32) -> Row {
    Row {
        max_rate_calls_per_s,
        ..Row::new("menus")
    }
}

#[test]
fn no_limit() {
    let rates = rates(0, 1);
    assert!((0..1000).all(|_| rates.admits(&row(0))));
}

#[test]
fn parts_add_up() {
    let start = Instant::now();
    // Simultaneous bursts on all hosts, which do not communicate.
    let admitted = (0..7).map(|ordinal| {
        let rates = rates(ordinal, 7);
        (0..100).filter(|_| rates.admits(&row(20))).count()
    });
    let admitted = admitted.sum::<usize>();
    // Tokens refilled during the bursts admit further calls within the rate.
    let refilled = (20.0 * start.elapsed().as_secs_f64()).ceil() as usize;
    assert!((20..=20 + refilled).contains(&admitted), "{admitted}");
}

#[test]
fn lowered_limit() {
    let rates = rates(0, 1);
    assert!(rates.admits(&row(1000)));
    let start = Instant::now();
    let admitted = (0..50).filter(|_| rates.admits(&row(1))).count();
    let refilled = start.elapsed().as_secs_f64().ceil() as usize;
    assert!((1..=1 + refilled).contains(&admitted), "{admitted}");
}
