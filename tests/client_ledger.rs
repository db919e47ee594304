//! What a host gives up when memory or connections are short.

use std::time::Duration;

use mimosavane::ingress::memory::{
    Activity, Budget, ClaimId, Decision, Denial, Ledger, SMALL_BYTES, Side, job_bytes,
};

const MIB: usize = 1 << 20;

/// A budget of 20 MiB, of which 2 MiB are for small holders and 2 MiB for other hosts.
const BUDGET: Budget = Budget {
    total_bytes: 20 * MIB,
    small_reserve_bytes: 2 * MIB,
    peer_reserve_bytes: 2 * MIB,
    max_peer_bytes: 10 * MIB,
    max_client_count: 8,
    max_peer_count: 2,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Adds a holder with a body of `bytes`, whose last progress is at `progress_at`.
fn receiving(ledger: &mut Ledger, bytes: usize, progress_at: Duration) -> ClaimId {
    let id = ledger.register(Side::Client, progress_at);
    ledger.set_activity(id, Activity::Receiving, progress_at);
    assert_eq!(ledger.claim(id, bytes, progress_at), Decision::Granted);
    id
}

/// Returns the holders that are given up for `bytes` of a new client.
fn given_up(ledger: &mut Ledger, bytes: usize, now: Duration) -> Result<Vec<ClaimId>, Denial> {
    let id = ledger.register(Side::Client, now);
    match ledger.claim(id, bytes, now) {
        Decision::Granted => Ok(Vec::new()),
        Decision::Wait(evictions) => Ok(evictions.iter().map(|eviction| eviction.id).collect()),
        Decision::Denied(denial) => Err(denial),
    }
}

/// A crowd that holds all would keep out what ordinary clients send.
#[test]
fn small_beside_crowd() {
    let mut ledger = Ledger::new(BUDGET);
    loop {
        let id = ledger.register(Side::Client, at(0));
        ledger.set_activity(id, Activity::Working, at(0));
        if ledger.claim(id, MIB, at(0)) != Decision::Granted {
            break;
        }
    }
    assert_eq!(given_up(&mut ledger, SMALL_BYTES, at(1)), Ok(vec![]));
}

/// The one that holds as much for longer goes, though the other one asked first.
#[test]
fn older_progress_goes() {
    let mut ledger = Ledger::new(BUDGET);
    let moving = receiving(&mut ledger, 8 * MIB, at(0));
    let stalled = receiving(&mut ledger, 8 * MIB, at(0));
    ledger.record_moved(moving, MIB, at(2_000));
    assert_eq!(given_up(&mut ledger, MIB, at(2_500)), Ok(vec![stalled]));
}

/// A client that sends single bytes would count as one that makes progress.
#[test]
fn single_bytes_stall() {
    let mut ledger = Ledger::new(BUDGET);
    let moving = receiving(&mut ledger, 8 * MIB, at(0));
    let trickling = receiving(&mut ledger, 8 * MIB, at(0));
    for second in 1..10 {
        ledger.record_moved(trickling, 1, at(second * 1_000));
        ledger.record_moved(moving, MIB, at(second * 1_000));
    }
    assert_eq!(given_up(&mut ledger, MIB, at(9_500)), Ok(vec![trickling]));
}

/// A request that may run at an upstream must not be refused as one that has not run.
#[test]
fn working_stays() {
    let mut ledger = Ledger::new(BUDGET);
    for _ in 0..2 {
        let id = receiving(&mut ledger, 8 * MIB, at(0));
        ledger.set_activity(id, Activity::Working, at(0));
    }
    assert_eq!(given_up(&mut ledger, MIB, at(60_000)), Err(Denial::NoRoom));
}

/// A newcomer would displace bodies that make progress and are no larger than its own.
#[test]
fn equal_claims_wait() {
    let mut ledger = Ledger::new(BUDGET);
    let first = receiving(&mut ledger, 8 * MIB, at(0));
    receiving(&mut ledger, 8 * MIB, at(100));
    assert_eq!(given_up(&mut ledger, 8 * MIB, at(200)), Err(Denial::NoRoom));
    assert_eq!(given_up(&mut ledger, 8 * MIB, at(1_050)), Ok(vec![first]));
}

/// What waits for a release would give up more than it needs.
#[test]
fn one_eviction_suffices() {
    let mut ledger = Ledger::new(BUDGET);
    let first = receiving(&mut ledger, 8 * MIB, at(0));
    receiving(&mut ledger, 8 * MIB, at(1));
    assert_eq!(given_up(&mut ledger, MIB, at(2_000)), Ok(vec![first]));
    assert_eq!(given_up(&mut ledger, MIB, at(2_000)), Ok(vec![]));
    ledger.release(first, 8 * MIB);
    ledger.close(first);
    assert_eq!(ledger.held_bytes(), 8 * MIB);
}

/// Clients would starve other hosts, or the other way round.
#[test]
fn shares_of_hosts() {
    let mut ledger = Ledger::new(BUDGET);
    for _ in 0..2 {
        let id = receiving(&mut ledger, 8 * MIB, at(0));
        ledger.set_activity(id, Activity::Working, at(0));
    }
    let peer = ledger.register(Side::Peer, at(0));
    assert_eq!(ledger.claim(peer, 2 * MIB, at(0)), Decision::Granted);
    assert_eq!(
        ledger.claim(peer, 9 * MIB, at(0)),
        Decision::Denied(Denial::TooLarge)
    );
}

/// Idle connections go before those with a part of a head, and these before new ones are
/// refused; a request that is handled never goes.
#[test]
fn connections_in_order() {
    let mut ledger = Ledger::new(BUDGET);
    let ids: Vec<ClaimId> = (0..8)
        .map(|index| ledger.register(Side::Client, at(index)))
        .collect();
    for id in &ids[..6] {
        ledger.set_activity(*id, Activity::Working, at(100));
    }
    ledger.set_activity(ids[6], Activity::Receiving, at(100));
    for expected in [ids[7], ids[6]] {
        match ledger.check_connection(Side::Client, at(1_000)) {
            Decision::Wait(evictions) => assert_eq!(evictions[0].id, expected),
            other => panic!("{other:?}"),
        }
        ledger.close(expected);
        let next = ledger.register(Side::Client, at(1_000));
        ledger.set_activity(next, Activity::Working, at(1_000));
    }
    assert_eq!(
        ledger.check_connection(Side::Client, at(2_000)),
        Decision::Denied(Denial::TooManyConnections)
    );
    assert_eq!(
        ledger.check_connection(Side::Peer, at(2_000)),
        Decision::Granted
    );
}

/// The smallest host of the deployments must hold the largest call and the largest job.
#[test]
fn largest_on_smallest() {
    let body_bytes = 32 * MIB;
    for bytes in [
        body_bytes + body_bytes / 2,
        body_bytes + job_bytes(body_bytes, 100_000),
    ] {
        let mut ledger = Ledger::new(Budget::of(120, 3_075));
        assert_eq!(given_up(&mut ledger, bytes, at(0)), Ok(vec![]));
    }
}
