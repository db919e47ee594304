//! Membership: joining, and distinguishing dead hosts from slow and unreachable
//! ones.

mod support {
    pub mod fleet;
}

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use mimosavane::{
    control::blackboard::HostState,
    host::{
        datagram::Refusal,
        flap,
        membership::{Action, Event, Listing},
    },
    ids::{HostId, Incarnation},
};
use support::fleet::Fleet;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);

/// Starts a fleet and runs it until every host sees all others alive.
fn joined_fleet(count: usize, region_count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(count, region_count, seed);
    let end = fleet.now + MINUTE;
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..count)));
    fleet
}

#[test]
fn fleet_joins() {
    for (count, bound) in [(12, 3), (100, 10), (300, 20)] {
        let fleet = joined_fleet(count, 3, 1);
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
        let mut fleet = joined_fleet(count, 3, 2);
        fleet.nodes[5].running = false;
        let end = fleet.now + Duration::from_secs(bound);
        assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Dead, [5])));
        assert_eq!(fleet.count("dead", |id| id != "entry-0005"), 0);
    }
}

#[test]
fn lossy_network() {
    for (count, seed, loss_ratio) in [(12, 3, 0.1), (12, 26, 0.2), (100, 4, 0.1)] {
        let mut fleet = joined_fleet(count, 3, seed);
        fleet.loss_ratio = loss_ratio;
        fleet.delay_ms = 1..80;
        fleet.run_for(2 * MINUTE);
        assert_eq!(fleet.count("dead", |_| true), 0, "{count}: {loss_ratio}");
        assert_eq!(
            fleet.count("unreachable", |_| true),
            0,
            "{count}: {loss_ratio}"
        );
    }
}

#[test]
fn short_pause() {
    let mut fleet = joined_fleet(12, 3, 5);
    for index in 0..12 {
        fleet.nodes[index].paused_until = fleet.now + Duration::from_millis(1_500);
        fleet.run_for(Duration::from_secs(10));
    }
    assert_eq!(fleet.count("dead", |_| true), 0);
}

#[test]
fn long_pause() {
    let mut fleet = joined_fleet(12, 3, 6);
    fleet.nodes[4].paused_until = fleet.now + MINUTE;
    fleet.run_for(MINUTE);
    assert!(fleet.all_see(HostState::Dead, [4]) || fleet.view(0, 4) == Some(HostState::Dead));
    let before = fleet.count("dead", |_| true);
    let end = fleet.now + Duration::from_secs(10);
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..12)));
    assert_eq!(
        fleet.count("dead", |_| true),
        before,
        "no host is declared dead after the pause"
    );
}

#[test]
fn deaf_pause() {
    let mut fleet = joined_fleet(12, 3, 21);
    let others = || (0..12).filter(|index| *index != 4);
    for step in 0..20 {
        fleet.run_for(Duration::from_millis(2_000 + 50 * step));
        fleet.severed = others().map(|other| (other, 4)).collect();
        fleet.nodes[4].paused_until = fleet.now + Duration::from_millis(1_500);
        fleet.run_for(Duration::from_millis(1_500));
        fleet.severed.clear();
    }
    fleet.run_for(Duration::from_secs(2));
    let accused = |id: &str| id != "entry-0004";
    assert_eq!(
        fleet.count("suspect", accused),
        0,
        "a host that receives nothing must not suspect others"
    );
}

#[test]
fn lossy_partition() {
    for seed in 22..25 {
        let mut fleet = joined_fleet(60, 4, seed);
        fleet.loss_ratio = 0.3;
        fleet.cut = |a, b| (&*a.region == "region-1") != (&*b.region == "region-1");
        fleet.run_for(Duration::from_secs(25));
        for viewer in (0..60).filter(|index| index % 4 != 1) {
            for index in (1..60).step_by(4) {
                assert_eq!(fleet.view(viewer, index), Some(HostState::Unreachable));
            }
        }
    }
}

#[test]
fn region_partition() {
    for (count, seed, time) in [(12, 7, HOUR), (100, 8, MINUTE)] {
        let mut fleet = joined_fleet(count, 4, seed);
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
        let mut fleet = joined_fleet(count, 3, seed);
        fleet.push_event(3, Event::Leave);
        let end = fleet.now + Duration::from_secs(3);
        assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Leaving, [3])));
    }
}

#[test]
fn mass_restart() {
    let mut fleet = joined_fleet(100, 3, 12);
    for index in 0..75 {
        fleet.restart(index);
    }
    let end = fleet.now + MINUTE;
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..100)));
    assert_eq!(fleet.count("dead", |_| true), 0);
}

#[test]
fn refused_datagrams() {
    let mut fleet = joined_fleet(12, 3, 13);
    let source = fleet.nodes[1].own.peer_address;
    for _ in 0..100 {
        let refusal = Refusal::ForgedDatagram;
        fleet.push_event(0, Event::Refused { refusal, source });
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
    let mut fleet = joined_fleet(12, 3, 14);
    let rows = mimosavane::control::blackboard::Rows {
        revision: 7,
        ..Default::default()
    };
    fleet.nodes[2].board.rows = rows.into();
    fleet.run_for(Duration::from_secs(10));
    let notified = fleet.nodes.iter().filter(|node| {
        node.actions
            .iter()
            .any(|action| matches!(action, Action::PeerRevision { revision: 7, .. }))
    });
    assert_eq!(notified.count(), 11);
}

#[test]
fn flapping_host() {
    let mut fleet = joined_fleet(12, 3, 15);
    for _ in 0..6 {
        fleet.nodes[7].running = false;
        fleet.run_for(Duration::from_secs(8));
        fleet.restart(7);
        fleet.run_for(Duration::from_secs(4));
    }
    assert!(fleet.count("damped", |id| id == "entry-0007") > 0);
    assert_eq!(fleet.count("damped", |id| id != "entry-0007"), 0);
    let live = fleet.nodes[0].board.hosts.live();
    assert!(live.into_iter().all(|host| &*host.id != "entry-0007"));
    let end = fleet.now + flap::MAX_DAMPED_TIME + Duration::from_secs(5);
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..12)));
}

#[test]
fn one_way_link() {
    let mut fleet = joined_fleet(12, 3, 16);
    fleet.severed.insert((1, 2));
    fleet.severed.insert((4, 2));
    fleet.run_for(2 * MINUTE);
    assert_eq!(
        fleet.count("dead", |_| true),
        0,
        "indirect probes reach the host"
    );
}

#[test]
fn domain_lost() {
    let mut fleet = joined_fleet(36, 2, 17);
    let lost: Vec<usize> = (0..36)
        .filter(|index| &*fleet.nodes[*index].own.failure_domain == "region-1-2")
        .collect();
    for index in &lost {
        fleet.nodes[*index].running = false;
    }
    let end = fleet.now + Duration::from_secs(30);
    assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Dead, lost.clone())));
}

#[test]
fn list_settles_doubt() {
    let mut fleet = joined_fleet(12, 4, 18);
    fleet.cut = |a, b| (&*a.region == "region-1") != (&*b.region == "region-1");
    fleet.run_for(MINUTE);
    assert_eq!(fleet.view(0, 1), Some(HostState::Unreachable));
    for (index, listing) in [(1, Listing::Absent), (2, Listing::Absent)] {
        let own = &fleet.nodes[index].own;
        let event = Event::HostListed {
            host: own.id.clone(),
            peer_address: own.peer_address,
            listing,
        };
        fleet.push_event(0, event);
    }
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(fleet.view(0, 1), Some(HostState::Dead));
    assert_eq!(
        fleet.view(0, 2),
        Some(HostState::Alive),
        "the host answers probes"
    );
}

#[test]
fn name_taken_over() {
    let mut fleet = joined_fleet(12, 3, 19);
    let mut own = fleet.nodes[11].own.clone();
    own.incarnation += 50_000;
    own.id = fleet.nodes[10].own.id.clone();
    let update = mimosavane::host::gossip::Update::of(&own);
    let heartbeat = mimosavane::host::gossip::Heartbeat {
        from: own.id.clone(),
        incarnation: own.incarnation,
        body: mimosavane::host::gossip::Body::Gossip,
        updates: vec![update],
        table_revision: 0,
        served: Vec::new(),
        notices: Vec::new(),
    };
    let source = own.peer_address;
    fleet.push_event(10, Event::Received { heartbeat, source });
    fleet.run_for(Duration::from_secs(1));
    let is_superseded = |action: &Action| matches!(action, Action::Superseded { .. });
    assert!(fleet.nodes[10].actions.iter().any(is_superseded));
}

/// A random event in a fleet of eight hosts in two regions.
#[derive(Clone, Debug, TypeGenerator)]
enum Fault {
    Crash(u8),
    Restart(u8),
    Pause(u8, u16),
    Sever(u8, u8),
    Heal,
    Lossy(bool),
    Wait(u8),
}

const HOST_COUNT: usize = 8;
/// The maximum time after the end of all faults for which a running host may
/// still count as dead.
const HEAL_BOUND: Duration = Duration::from_secs(15);

fn inject(fleet: &mut Fleet, fault: &Fault) {
    let index = |number: &u8| usize::from(*number) % HOST_COUNT;
    match fault {
        Fault::Crash(number) => fleet.nodes[index(number)].running = false,
        Fault::Restart(number) => fleet.restart(index(number)),
        Fault::Pause(number, time_ms) => {
            let until = fleet.now + Duration::from_millis(u64::from(*time_ms % 20_000));
            fleet.nodes[index(number)].paused_until = until;
        }
        Fault::Sever(from, to) => {
            fleet.severed.insert((index(from), index(to)));
        }
        Fault::Heal => fleet.severed.clear(),
        Fault::Lossy(lossy) => fleet.loss_ratio = if *lossy { 0.2 } else { 0.0 },
        Fault::Wait(seconds) => fleet.run_for(Duration::from_secs(u64::from(seconds % 8))),
    }
}

/// Checks that the incarnation of a host never decreases in the view of another
/// host.
fn check_incarnations(
    fleet: &Fleet,
    seen: &mut BTreeMap<(usize, Incarnation, HostId), Incarnation>,
) {
    for (viewer, node) in fleet.nodes.iter().enumerate() {
        for host in node.board.hosts.members.values() {
            let key = (viewer, node.own.incarnation, host.id.clone());
            let newest = seen.entry(key).or_default();
            assert!(
                host.incarnation >= *newest,
                "the incarnation of {} decreased in the view of {viewer}",
                host.id
            );
            *newest = host.incarnation;
        }
    }
}

#[test]
fn random_faults() {
    bolero::check!()
        .with_type::<Vec<Fault>>()
        .with_iterations(60)
        .for_each(|faults| {
            let mut fleet = Fleet::start(HOST_COUNT, 2, 20);
            fleet.run_for(Duration::from_secs(5));
            let mut seen = BTreeMap::new();
            for fault in faults.iter().take(24) {
                inject(&mut fleet, fault);
                fleet.run_for(Duration::from_secs(1));
                check_incarnations(&fleet, &mut seen);
            }
            fleet.severed.clear();
            fleet.loss_ratio = 0.0;
            for index in 0..HOST_COUNT {
                fleet.nodes[index].paused_until = Duration::ZERO;
                if !fleet.nodes[index].running {
                    fleet.restart(index);
                }
            }
            fleet.run_for(HEAL_BOUND);
            for viewer in 0..HOST_COUNT {
                for index in 0..HOST_COUNT {
                    let state = fleet.view(viewer, index);
                    let is_alive = matches!(state, Some(HostState::Alive | HostState::Damped));
                    assert!(is_alive, "{viewer} sees {index} as {state:?}");
                }
            }
            let end = fleet.now + flap::MAX_DAMPED_TIME;
            assert!(fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..HOST_COUNT)));
            check_incarnations(&fleet, &mut seen);
        });
}
