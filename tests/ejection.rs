//! Ejection of failing upstreams and their readmission, in virtual time.

use std::time::Duration;

use mimosavane::{
    call::ejection::{Availability, Change, Pool},
    control::controller::Rng,
    ids::UpstreamId,
};
use rand::SeedableRng;

fn pool(member_count: usize) -> (Pool, Rng) {
    let mut pool = Pool::default();
    pool.set_members((0..member_count).map(name));
    (pool, Rng::seed_from_u64(3))
}

fn name(index: usize) -> UpstreamId {
    format!("roll-{index}").into()
}

fn fail(pool: &mut Pool, id: &str, now: Timestamp, rng: &mut Rng) -> Vec<Change> {
    (0..5)
        .filter_map(|_| pool.record_failure(id, now, rng))
        .collect()
}

type Timestamp = Duration;

#[test]
fn failures_in_a_row() {
    let (mut pool, mut rng) = pool(4);
    for _ in 0..20 {
        assert_eq!(
            pool.record_failure("roll-0", Duration::ZERO, &mut rng),
            None
        );
        assert_eq!(
            pool.record_failure("roll-0", Duration::ZERO, &mut rng),
            None
        );
        pool.record_success("roll-0", Duration::ZERO);
    }
    let changes = fail(&mut pool, "roll-0", Duration::ZERO, &mut rng);
    assert_eq!(changes, [Change::Ejected]);
    assert_eq!(
        pool.availability("roll-0", Duration::ZERO),
        Availability::Ejected
    );
}

#[test]
fn ejection_floor() {
    let (mut pool, mut rng) = pool(5);
    for index in 0..5 {
        fail(&mut pool, &name(index), Duration::ZERO, &mut rng);
    }
    assert_eq!(pool.ejected_count(), 2);
    let (mut single, mut rng) = self::pool(1);
    fail(&mut single, "roll-0", Duration::ZERO, &mut rng);
    assert_eq!(single.ejected_count(), 0);
}

#[test]
fn one_probe() {
    let (mut pool, mut rng) = pool(4);
    fail(&mut pool, "roll-0", Duration::ZERO, &mut rng);
    let later = Duration::from_secs(1);
    assert!(matches!(
        pool.availability("roll-0", later),
        Availability::Probe(_)
    ));
    pool.start_probe("roll-0");
    assert_eq!(pool.availability("roll-0", later), Availability::Ejected);
    let change = pool.record_failure("roll-0", later, &mut rng);
    assert_eq!(change, Some(Change::ProbeFailed));
    assert_eq!(pool.availability("roll-0", later), Availability::Ejected);
}

#[test]
fn slow_start() {
    let (mut pool, mut rng) = pool(4);
    fail(&mut pool, "roll-0", Duration::ZERO, &mut rng);
    let restored_at = Duration::from_secs(1);
    pool.start_probe("roll-0");
    assert_eq!(
        pool.record_success("roll-0", restored_at),
        Some(Change::Restored)
    );
    let mut last = 0.0;
    for tenth in 0..=20 {
        let now = restored_at + Duration::from_millis(100) * tenth;
        let Availability::Open(ratio) = pool.availability("roll-0", now) else {
            panic!("the upstream receives no calls");
        };
        assert!(ratio > last);
        last = ratio;
    }
    assert_eq!(last, 1.0);
}

#[test]
fn late_success() {
    let (mut pool, mut rng) = pool(4);
    fail(&mut pool, "roll-0", Duration::ZERO, &mut rng);
    // The response to a call sent before the ejection does not end the cooldown.
    assert_eq!(
        pool.record_success("roll-0", Duration::from_millis(1)),
        None
    );
    assert_eq!(pool.ejected_count(), 1);
}

#[test]
fn forgotten_member() {
    let (mut pool, mut rng) = pool(4);
    fail(&mut pool, "roll-0", Duration::ZERO, &mut rng);
    pool.set_members((1..4).map(name));
    assert_eq!(pool.ejected_count(), 0);
    assert_eq!(
        pool.availability("roll-0", Duration::ZERO),
        Availability::Ejected
    );
}
