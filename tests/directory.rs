//! Tests which upstreams a host uses while their entries appear and disappear.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{collections::BTreeMap, time::Duration};

use mimosavane::ingress::directory::{Directory, Upstream};

fn upstream(id: &str, started_at_ms: u64) -> Upstream {
    Upstream {
        id: id.into(),
        started_at_ms,
        service: "roll".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        failure_domain: "mx-a".into(),
        slot_count: 6,
        is_draining: false,
        versions: BTreeMap::new(),
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Entries lapse during a store outage: an upstream stays in use while its
/// entry may reappear, and is dropped once the grace period ends without it.
#[test]
fn lapse_in_outage() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.put(upstream("b", 1));
    directory.record_store_recovery(at(10_000));
    directory.remove(&"a".into(), at(10_010));
    directory.remove(&"b".into(), at(10_010));
    assert!(directory.choose("roll", "mx-a", &[], at(11_900)).is_some());
    directory.put(upstream("b", 1));
    let chosen = directory.choose("roll", "mx-a", &[], at(12_000)).unwrap();
    assert_eq!(&*chosen.id, "b");
    assert_eq!(directory.upstreams().count(), 1);
}

/// An entry that is removed 2.2 s after the store recovered is dropped at once,
/// since such a removal is intended.
#[test]
fn removal_after_outage() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.record_store_recovery(at(22_000));
    directory.remove(&"a".into(), at(24_200));
    assert!(directory.choose("roll", "mx-a", &[], at(24_201)).is_none());
}

/// A failing upstream is avoided only while another one is available.
#[test]
fn failing_upstream() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.record_call_start(&"a".into());
    directory.record_call_end(&"a".into(), Some(true), at(0));
    assert!(directory.choose("roll", "mx-a", &[], at(1)).is_some());
    directory.put(upstream("b", 1));
    for _ in 0..8 {
        let chosen = directory.choose("roll", "mx-a", &[], at(1)).unwrap();
        assert_eq!(&*chosen.id, "b");
    }
}

/// A draining upstream and one that was already tried get no call.
#[test]
fn leaving_upstream() {
    let mut directory = Directory::default();
    directory.put(Upstream {
        is_draining: true,
        ..upstream("a", 1)
    });
    directory.put(upstream("b", 1));
    assert!(
        directory
            .choose("roll", "mx-a", &["b".into()], at(1))
            .is_none()
    );
}
