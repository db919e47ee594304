//! A host that reaches no engine leaves a free lease to others for a while.

use std::time::Duration;

use mimosavane::ingress::coordinator::deference::Deference;

/// Looks at a free lease each 200 ms from `from_ms` to `to_ms`, and returns when the host
/// claimed it, if it did.
fn claimed_at_ms(deference: &mut Deference, from_ms: u64, to_ms: u64) -> Option<u64> {
    (from_ms..to_ms)
        .step_by(200)
        .find(|ms| !deference.must_wait(Duration::from_millis(*ms)))
}

/// Nobody claims the lease: the engines are down for all, and somebody must list results.
#[test]
fn free_for_long() {
    let mut deference = Deference::default();
    assert_eq!(claimed_at_ms(&mut deference, 1_000, 9_000), Some(5_000));
}

/// Hosts stop as planned, one after another, and the lease is free for a moment each time:
/// a host that reaches no engine does not claim it.
#[test]
fn free_again_and_again() {
    let mut deference = Deference::default();
    for stop in 0..10 {
        let from_ms = 1_000 + stop * 1_600;
        assert_eq!(claimed_at_ms(&mut deference, from_ms, from_ms + 400), None);
    }
}

/// The host reached the engines in between.
#[test]
fn reached_in_between() {
    let mut deference = Deference::default();
    assert_eq!(claimed_at_ms(&mut deference, 1_000, 4_000), None);
    deference.end();
    assert_eq!(claimed_at_ms(&mut deference, 4_000, 7_000), None);
}
