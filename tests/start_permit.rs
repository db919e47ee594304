//! A coordinator whose lease ran out starts nothing more, unless no host can reach the
//! store and so none can take over.

use std::time::Duration;

use mimosavane::ingress::coordinator::StartPermit;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the permit of a coordinator that held its lease until 20 s.
fn held() -> StartPermit {
    let mut permit = StartPermit::default();
    permit.record_held(at(20_000));
    permit
}

/// This host alone is cut off, and another one takes over.
#[test]
fn cut_off() {
    let mut permit = held();
    for millis in (20_000..21_000).step_by(50) {
        permit.record_call(false, false, at(millis));
    }
    assert!(permit.allows(at(20_599)));
    assert!(!permit.allows(at(20_600)));
}

/// The store is silent for all hosts for 7 s: items that wait or break are started.
/// Once it answers, the lease decides again.
#[test]
fn silent_store() {
    let mut permit = held();
    for millis in (20_000..27_000).step_by(450) {
        permit.record_call(false, true, at(millis));
        assert!(permit.allows(at(millis + 449)));
    }
    permit.record_call(true, true, at(27_000));
    assert!(!permit.allows(at(27_000)));
    permit.record_held(at(27_010));
    assert!(permit.allows(at(27_010)));
}

/// The outage has no end.
#[test]
fn long_outage() {
    let mut permit = held();
    for millis in (20_000..40_000).step_by(450) {
        permit.record_call(false, true, at(millis));
    }
    assert!(!permit.allows(at(30_000)));
}

/// The host was suspended for 1 to 10 s during an outage, which may be over: it starts
/// nothing before the store or a peer has told it something new.
#[test]
fn suspended_in_outage() {
    for suspended_millis in (1_500..=10_000).step_by(500) {
        let mut permit = held();
        permit.record_call(false, true, at(20_500));
        let now = at(20_500 + suspended_millis);
        assert!(!permit.allows(now), "{suspended_millis} ms");
        permit.record_call(false, false, now);
        assert!(!permit.allows(now), "{suspended_millis} ms");
    }
}
