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
        software_version: "v1".into(),
        versions: BTreeMap::new(),
        is_spot: false,
        leaves_in: None,
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

/// A burst of reward calls leaves slots of every upstream to clients' calls, and
/// fills the own failure domain to half before it uses others.
#[test]
fn burst_of_reward_calls() {
    let mut directory = Directory::default();
    for (id, domain) in [("a", "mx-a"), ("b", "mx-a"), ("c", "mx-b")] {
        directory.put(Upstream {
            failure_domain: domain.into(),
            ..upstream(id, 1)
        });
    }
    let mut chosen = Vec::new();
    while let Some(upstream) = directory.choose_for_reward("roll", "mx-a", &[], at(0)) {
        directory.record_call_start(&upstream.id);
        chosen.push(upstream.id.to_string());
    }
    assert!(chosen[..6].iter().all(|id| id != "c"), "{chosen:?}");
    for id in ["a", "b", "c"] {
        let count = chosen.iter().filter(|chosen| *chosen == id).count();
        assert_eq!(count, 4, "two of six slots are left to clients");
    }
    assert!(directory.choose("roll", "mx-a", &[], at(0)).is_some());
}

/// An upstream that refuses reward calls as full gets half as many, and more
/// again with each answer, up to the limit.
#[test]
fn full_reward_upstream() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    let count_room = |directory: &mut Directory| {
        let mut room = 0;
        while directory
            .choose_for_reward("roll", "mx-a", &[], at(0))
            .is_some()
        {
            directory.record_call_start(&"a".into());
            room += 1;
        }
        for _ in 0..room {
            directory.record_call_end(&"a".into(), None, at(0));
        }
        room
    };
    assert_eq!(count_room(&mut directory), 4);
    directory.record_reward_refusal(&"a".into(), at(0), at(0));
    assert_eq!(count_room(&mut directory), 2);
    for _ in 0..20 {
        directory.record_reward_refusal(&"a".into(), at(0), at(0));
    }
    assert_eq!(count_room(&mut directory), 1);
    for _ in 0..40 {
        directory.record_reward_answer(&"a".into());
    }
    assert_eq!(count_room(&mut directory), 4);
}

/// An upstream that refuses a reward call says when to come back: until then, and for
/// a second at most, reward calls go elsewhere, and clients' calls as before.
#[test]
fn pause_of_reward_upstream() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.put(upstream("b", 1));
    directory.record_reward_refusal(&"a".into(), at(400), at(1_000));
    for _ in 0..3 {
        let chosen = directory.choose_for_reward("roll", "mx-a", &[], at(1_399));
        assert_eq!(&*chosen.unwrap().id, "b");
    }
    assert!(
        directory
            .choose_for_reward("roll", "mx-a", &["b".into()], at(1_400))
            .is_some()
    );
    directory.record_reward_refusal(&"a".into(), at(60_000), at(2_000));
    let only_a = ["b".into()];
    assert!(
        directory
            .choose_for_reward("roll", "mx-a", &only_a, at(2_999))
            .is_none()
    );
    assert!(
        directory
            .choose("roll", "mx-a", &only_a, at(2_999))
            .is_some()
    );
    assert!(
        directory
            .choose_for_reward("roll", "mx-a", &only_a, at(3_000))
            .is_some()
    );
}

/// A reward call avoids a failing upstream as long as others are only full.
#[test]
fn failing_reward_upstream() {
    let mut directory = Directory::default();
    directory.put(upstream("a", 1));
    directory.put(upstream("b", 1));
    directory.record_call_start(&"a".into());
    directory.record_call_end(&"a".into(), Some(true), at(0));
    for _ in 0..4 {
        let chosen = directory.choose_for_reward("roll", "mx-a", &[], at(1));
        assert_eq!(&*chosen.unwrap().id, "b");
        directory.record_call_start(&"b".into());
    }
    assert!(
        directory
            .choose_for_reward("roll", "mx-a", &[], at(1))
            .is_none()
    );
}

/// Another upstream answers at the listed address: calls go there again after 2 s, or once
/// the upstream is listed elsewhere, but not for a listing of the same.
#[test]
fn misdirected_calls() {
    let mut directory = Directory::default();
    let listed = upstream("i-1", 1);
    directory.put(listed.clone());
    let may_choose = |directory: &mut Directory, millis| {
        let chosen = directory.choose(&listed.service, "zone-a", &[], at(millis));
        chosen.is_some()
    };
    assert!(directory.record_misdirected(&listed, at(1_000)));
    assert!(!directory.record_misdirected(&listed, at(1_100)));
    directory.put(listed.clone());
    assert!(!may_choose(&mut directory, 3_000));
    assert!(may_choose(&mut directory, 3_100));
    assert!(directory.record_misdirected(&listed, at(4_000)));
    let mut moved = listed.clone();
    moved.address = "127.0.0.1:81".parse().unwrap();
    directory.put(moved.clone());
    assert!(may_choose(&mut directory, 4_000));
    // A late answer says nothing of the new address.
    assert!(!directory.record_misdirected(&listed, at(4_100)));
    assert!(may_choose(&mut directory, 4_200));
}
