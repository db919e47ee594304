//! Which upstreams a host uses while entries come and go.

#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

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

/// Entries lapse during an outage of the store, and one does not come back.
#[test]
fn lapse_in_outage() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.put(upstream("b", 1));
    directory.store_returned(at(10_000));
    directory.remove(&"a".into(), at(10_010));
    directory.remove(&"b".into(), at(10_010));
    assert!(directory.choose("roll", "mx-a", &[], at(11_900)).is_some());
    directory.put(upstream("b", 1));
    let chosen = directory.choose("roll", "mx-a", &[], at(12_000)).unwrap();
    assert_eq!(&*chosen.id, "b");
    assert_eq!(directory.upstreams().count(), 1);
}

/// An upstream leaves 2.2 s after the store's return: that is meant.
#[test]
fn removal_after_outage() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.store_returned(at(22_000));
    directory.remove(&"a".into(), at(24_200));
    assert!(directory.choose("roll", "mx-a", &[], at(24_201)).is_none());
}

/// A failing upstream is avoided while another one is there, and only then.
#[test]
fn failing_upstream() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.opened(&"a".into());
    directory.closed(&"a".into(), Some(true), at(0));
    assert!(directory.choose("roll", "mx-a", &[], at(1)).is_some());
    directory.put(upstream("b", 1));
    for _ in 0..8 {
        let chosen = directory.choose("roll", "mx-a", &[], at(1)).unwrap();
        assert_eq!(&*chosen.id, "b");
    }
}

/// A draining upstream and one that was tried get no call.
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
