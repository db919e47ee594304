//! Hosts find each other, and tell the dead from the slow and the cut off.

mod support {
    pub mod fleet;
}

use std::time::Duration;

use mimosavane::{
    blackboard::HostState,
    datagram::Refusal,
    membership::{Action, Event},
};
use support::fleet::Fleet;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);

/// Starts a fleet and lets it find itself.
fn settled(count: usize, region_count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(count, region_count, seed);
    let end = fleet.now + MINUTE;
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..count)));
    fleet
}

#[test]
fn fleet_joins() {
    for (count, bound) in [(12, 3), (100, 10), (300, 20)] {
        let fleet = settled(count, 3, 1);
        assert!(
            fleet.now < Duration::from_secs(bound),
            "{count}: {:?}",
            fleet.now
        );
    }
}

#[test]
fn crash_detection() {
    for (count, bound) in [(12, 8), (100, 12), (300, 15)] {
        let mut fleet = settled(count, 3, 2);
        fleet.nodes[5].running = false;
        let end = fleet.now + Duration::from_secs(bound);
        assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Dead, [5])));
        assert_eq!(fleet.count("dead", |id| id != "entry-0005"), 0);
    }
}

#[test]
fn lossy_network() {
    for (count, seed) in [(12, 3), (100, 4)] {
        let mut fleet = settled(count, 3, seed);
        fleet.loss_ratio = 0.1;
        fleet.delay_ms = 1..80;
        fleet.run_for(2 * MINUTE);
        assert_eq!(fleet.count("dead", |_| true), 0);
        assert_eq!(fleet.count("unreachable", |_| true), 0);
    }
}

#[test]
fn short_pause() {
    let mut fleet = settled(12, 3, 5);
    for index in 0..12 {
        fleet.nodes[index].paused_until = fleet.now + Duration::from_millis(1_500);
        fleet.run_for(Duration::from_secs(10));
    }
    assert_eq!(fleet.count("dead", |_| true), 0);
}

#[test]
fn long_pause() {
    let mut fleet = settled(12, 3, 6);
    fleet.nodes[4].paused_until = fleet.now + MINUTE;
    fleet.run_for(MINUTE);
    assert!(fleet.all_see(HostState::Dead, [4]) || fleet.view(0, 4) == Some(HostState::Dead));
    let before = fleet.count("dead", |_| true);
    let end = fleet.now + Duration::from_secs(10);
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..12)));
    assert_eq!(fleet.count("dead", |_| true), before, "it accused nobody");
}

#[test]
fn region_partition() {
    for (count, seed, time) in [(12, 7, HOUR), (100, 8, MINUTE)] {
        let mut fleet = settled(count, 4, seed);
        let far = |index: usize| index % 4 == 1;
        fleet.cut = |a, b| (&*a.region == "region-1") != (&*b.region == "region-1");
        fleet.run_for(time);
        assert_eq!(fleet.count("dead", |_| true), 0);
        for viewer in (0..count).filter(|index| !far(*index)) {
            for index in (0..count).filter(|index| far(*index)) {
                assert_eq!(fleet.view(viewer, index), Some(HostState::Unreachable));
            }
        }
        fleet.cut = |_, _| false;
        let end = fleet.now + Duration::from_secs(30);
        assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..count)));
    }
}

#[test]
fn leaving_spreads() {
    for (count, seed) in [(12, 9), (100, 10), (300, 11)] {
        let mut fleet = settled(count, 3, seed);
        fleet.tell(3, Event::Leave);
        let end = fleet.now + Duration::from_secs(3);
        assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Leaving, [3])));
    }
}

#[test]
fn mass_restart() {
    let mut fleet = settled(100, 3, 12);
    for index in 0..75 {
        fleet.restart(index);
    }
    let end = fleet.now + MINUTE;
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..100)));
    assert_eq!(fleet.count("dead", |_| true), 0);
}

#[test]
fn refused_datagrams() {
    let mut fleet = settled(12, 3, 13);
    let source = fleet.nodes[1].own.peer_address;
    for _ in 0..100 {
        let refusal = Refusal::ForgedDatagram;
        fleet.tell(0, Event::Refused { refusal, source });
    }
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(
        fleet.count("forged-datagram", |_| true),
        1,
        "one record a second"
    );
}

#[test]
fn table_revision() {
    let mut fleet = settled(12, 3, 14);
    let rows = mimosavane::blackboard::Rows {
        revision: 7,
        ..Default::default()
    };
    fleet.nodes[2].board.rows = rows.into();
    fleet.run_for(Duration::from_secs(10));
    let told = fleet.nodes.iter().filter(|node| {
        node.actions
            .iter()
            .any(|action| matches!(action, Action::PeerRevision { revision: 7, .. }))
    });
    assert_eq!(told.count(), 11);
}
