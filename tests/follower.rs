//! The revision in force on each host during faults of the store and of peers.

use std::time::Duration;

use mimosavane::{
    Blackboard, Controller as _,
    control::{
        blackboard::{HostState, TableStanding},
        controller::{Rng, Round},
    },
    ids::Revision,
    standin::table_service::MemoryTable,
    store::follower::{self, Action, Event, ISOLATION_TIMEOUT, Report},
};
use rand::SeedableRng as _;

use support::{Fleet, hosts, rows_at};

#[path = "support/virtual_fleet.rs"]
mod support;

const SEED: u64 = 7;
const TICK: Duration = Duration::from_millis(100);

/// A single follower whose events come from the test.
struct SingleHost {
    follower: follower::Controller,
    board: Blackboard,
    rng: Rng,
    now: Duration,
}

impl SingleHost {
    fn new() -> Self {
        Self {
            follower: follower::Controller::new("host-0000"),
            board: Blackboard {
                hosts: hosts(4, HostState::Suspect),
                ..Blackboard::default()
            },
            rng: Rng::seed_from_u64(SEED),
            now: Duration::ZERO,
        }
    }

    fn run(&mut self, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        self.follower.run(events, round)
    }

    fn wait(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.run([])
    }

    fn standing(&self) -> TableStanding {
        self.board.rows.standing
    }
}

fn store_answered(revision: Revision) -> Event {
    Event::StoreAnswered {
        revision,
        rows: Some(rows_at(revision)),
    }
}

fn announced(number: usize, revision: Revision) -> Event {
    Event::PeerAnnounced {
        host: format!("host-{number:04}").into(),
        revision,
    }
}

fn peer_answered(number: usize, revision: Revision) -> Event {
    Event::PeerAnswered {
        host: format!("host-{number:04}").into(),
        revision,
        rows: rows_at(revision),
    }
}

#[test]
fn old_read() {
    let mut host = SingleHost::new();
    host.run([store_answered(5)]);
    host.run([store_answered(4), peer_answered(1, 3)]);
    assert_eq!(host.board.rows.revision, 5);
    assert_eq!(host.board.rows.rows["guides"].version, 5);
}

#[test]
fn empty_table() {
    let mut host = SingleHost::new();
    host.run([peer_answered(1, 0)]);
    assert_eq!(host.standing(), TableStanding::Empty);
    host.run([store_answered(0)]);
    assert_eq!(host.standing(), TableStanding::Current);
}

#[test]
fn restart_in_outage() {
    let mut host = SingleHost::new();
    assert_eq!(host.run([]), [Action::PollStore { above_revision: 0 }]);
    host.run([Event::StoreFailed]);
    // A single peer may lag, so its revision alone is not adopted on a restart.
    assert_eq!(host.run([announced(1, 4)]), []);
    assert_eq!(host.standing(), TableStanding::Empty);
    let actions = host.run([announced(2, 6), announced(3, 6)]);
    let [Action::FetchFromPeer { host: source, .. }] = &actions[..] else {
        panic!("no peer was asked: {actions:?}");
    };
    assert_ne!(&**source, "host-0001");
    let answer = Event::PeerAnswered {
        host: source.clone(),
        revision: 6,
        rows: rows_at(6),
    };
    host.run([answer]);
    assert_eq!(host.standing(), TableStanding::Current);
    assert_eq!(host.board.rows.revision, 6);
}

#[test]
fn single_peer() {
    let mut host = SingleHost::new();
    host.run([Event::StoreFailed, announced(1, 4)]);
    let actions = host.wait(Duration::from_secs(2));
    let is_fetch = |action: &Action| matches!(action, Action::FetchFromPeer { .. });
    assert!(actions.iter().any(is_fetch));
}

#[test]
fn unanswered_fetch() {
    let mut host = SingleHost::new();
    host.run([store_answered(1)]);
    let first = host.run([announced(1, 2), announced(2, 2)]);
    assert_eq!(host.wait(Duration::from_millis(100)), []);
    let second = host.wait(Duration::from_secs(2));
    let fetches = first
        .iter()
        .chain(&second)
        .filter_map(|action| match action {
            Action::FetchFromPeer { host, .. } => Some(host),
            Action::PollStore { .. } => None,
        });
    let fetches: Vec<_> = fetches.collect();
    assert_eq!(fetches.len(), 2);
    assert_ne!(fetches[0], fetches[1]);
}

#[test]
fn exaggerated_revision() {
    let mut host = SingleHost::new();
    host.run([store_answered(3)]);
    host.run([announced(1, 900)]);
    host.run([peer_answered(1, 3)]);
    assert_eq!(host.run([]), []);
    assert_eq!(host.board.rows.revision, 3);
}

#[test]
fn isolated_host() {
    let mut host = SingleHost::new();
    host.run([store_answered(5)]);
    host.wait(ISOLATION_TIMEOUT - TICK);
    assert_eq!(host.standing(), TableStanding::Current);
    host.wait(TICK);
    assert_eq!(host.standing(), TableStanding::Isolated);
    assert_eq!(host.board.rows.revision, 5);
    host.run([announced(1, 5)]);
    assert_eq!(host.standing(), TableStanding::Current);
}

#[test]
fn outage_with_peers() {
    let mut host = SingleHost::new();
    host.run([store_answered(5)]);
    for _ in 0..60 {
        host.now += Duration::from_secs(1);
        host.run([Event::StoreFailed, announced(1, 5)]);
        assert_eq!(host.standing(), TableStanding::Current);
    }
}

#[test]
fn peer_at_same_revision() {
    let mut host = SingleHost::new();
    host.run([store_answered(5)]);
    host.board.hosts = hosts(4, HostState::Alive);
    host.wait(ISOLATION_TIMEOUT);
    assert_eq!(host.standing(), TableStanding::Current);
    host.board.hosts = hosts(4, HostState::Dead);
    host.wait(ISOLATION_TIMEOUT);
    assert_eq!(host.standing(), TableStanding::Isolated);
}

#[test]
fn no_other_host() {
    let mut host = SingleHost::new();
    host.board.hosts = hosts(1, HostState::Suspect);
    host.run([store_answered(5)]);
    host.wait(Duration::from_secs(3600));
    assert_eq!(host.standing(), TableStanding::Current);
}

#[tokio::test]
async fn poll_outcomes() {
    let store = MemoryTable::default();
    assert_eq!(follower::poll(&store, 0).await, {
        Event::StoreAnswered {
            revision: 0,
            rows: Some(Vec::new()),
        }
    });
    assert_eq!(store.counts().reads_count, 1);
    store.set_down(true);
    assert_eq!(follower::poll(&store, 1).await, Event::StoreFailed);
}

#[test]
fn report_names_peers() {
    let mut host = SingleHost::new();
    host.run([store_answered(5)]);
    let report = Report::of(&"host-0000".into(), &host.board);
    assert_eq!((report.revision, report.peers.len()), (5, 3));
}

/// Guards against a host that falls back to an older revision. With lost,
/// repeated, reordered and outdated answers the revision in force never
/// decreases before a restart, its rows belong to it, and it was committed.
#[test]
fn never_goes_back() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|schedule| random_schedule(schedule));
}

fn random_schedule(schedule: &[(u8, u8, u8)]) {
    let mut host = SingleHost::new();
    let mut committed: Revision = 0;
    let mut sent: Vec<Event> = Vec::new();
    for (kind, number, age) in schedule {
        let old = committed.saturating_sub(u64::from(age % 4));
        let number = 1 + usize::from(number % 3);
        let event = match kind % 9 {
            0 => {
                committed += 1;
                continue;
            }
            1 => store_answered(old),
            2 => Event::StoreFailed,
            3 => announced(number, old),
            4 => peer_answered(number, old),
            5 => Event::PeerFailed {
                host: format!("host-{number:04}").into(),
            },
            6 if !sent.is_empty() => sent[usize::from(*age) % sent.len()].clone(),
            7 => {
                let now = host.now;
                host = SingleHost::new();
                host.now = now;
                continue;
            }
            _ => {
                host.wait(Duration::from_millis(u64::from(*age) * 100));
                continue;
            }
        };
        sent.push(event.clone());
        let before = host.board.rows.revision;
        host.run([event]);
        let rows = &host.board.rows;
        assert!(rows.revision >= before);
        assert!(rows.revision <= committed);
        let versions_match = rows.rows.values().all(|row| row.version == rows.revision);
        assert!(versions_match);
        assert!(rows.revision == 0 || rows.standing != TableStanding::Empty);
    }
}

/// Commits a change, and returns the time until it is in force on all hosts and
/// the maximum number of store reads per second from the change on.
fn spread(mut fleet: Fleet) -> (Duration, usize) {
    let hosts_count = fleet.members.len();
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(fleet.in_force_count(1), hosts_count);
    let accepted_at = fleet.now;
    fleet.revision = 2;
    let end = accepted_at + Duration::from_secs(60);
    let is_done = fleet.run_until(end, |fleet| fleet.in_force_count(2) == hosts_count);
    assert!(is_done, "a change is not in force after 60 s");
    let elapsed = fleet.now - accepted_at;
    fleet.run_for(Duration::from_secs(5));
    (elapsed, fleet.max_reads_per_s(accepted_at))
}

#[test]
fn change_in_force() {
    println!("hosts  in_force_ms  max_reads_per_s");
    for hosts_count in [12, 50, 200, 1_000] {
        let (elapsed, max_reads_per_s) = spread(Fleet::new(hosts_count, TICK, SEED));
        println!(
            "{hosts_count:5}  {:11}  {max_reads_per_s:15}",
            elapsed.as_millis()
        );
        let bound = if hosts_count == 12 { 2 } else { 19 };
        assert!(elapsed < Duration::from_secs(bound));
        assert!(max_reads_per_s <= 2_000);
    }
}

/// Without heartbeats, polls alone take longer to put a change in force, but stay
/// within the bound.
#[test]
fn change_without_heartbeats() {
    let fleet = Fleet::new(1_000, 5 * TICK, SEED).without_heartbeats();
    let (elapsed, max_reads_per_s) = spread(fleet);
    println!(
        "without heartbeats: {} ms, {max_reads_per_s} reads/s",
        elapsed.as_millis()
    );
    assert!(elapsed < Duration::from_secs(19));
    assert!(max_reads_per_s <= 2_000);
}

#[test]
fn store_returns() {
    println!("hosts  max_reads_per_s in outage, on return, on a fresh start");
    for hosts_count in [12, 1_000] {
        let mut fleet = Fleet::new(hosts_count, 5 * TICK, SEED);
        fleet.run_for(Duration::from_secs(20));
        let on_start = fleet.max_reads_per_s(Duration::ZERO);
        fleet.store_is_up = false;
        let down_at = fleet.now;
        fleet.run_for(Duration::from_secs(120));
        let in_outage = fleet.max_reads_per_s(down_at);
        fleet.store_is_up = true;
        fleet.revision = 2;
        let up_at = fleet.now;
        fleet.run_for(Duration::from_secs(30));
        let on_return = fleet.max_reads_per_s(up_at);
        println!("{hosts_count:5}  {in_outage:5} {on_return:5} {on_start:5}");
        assert_eq!(fleet.in_force_count(2), hosts_count);
        assert!(in_outage.max(on_return).max(on_start) <= 2_000);
    }
}

#[test]
fn restarts_in_outage() {
    let mut fleet = Fleet::new(12, TICK, SEED);
    fleet.run_for(Duration::from_secs(5));
    fleet.store_is_up = false;
    for number in 0..6 {
        fleet.start(number);
    }
    assert_eq!(fleet.in_force_count(1), 6);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.in_force_count(1), 12);
}

#[test]
fn partitioned_host() {
    let mut fleet = Fleet::new(12, TICK, SEED);
    fleet.run_for(Duration::from_secs(5));
    fleet.cut_off(3, true);
    fleet.revision = 2;
    fleet.run_for(ISOLATION_TIMEOUT + Duration::from_secs(3));
    assert_eq!(fleet.in_force_count(2), 11);
    assert_eq!(
        fleet.members[3].board.rows.standing,
        TableStanding::Isolated
    );
    fleet.cut_off(3, false);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.in_force_count(2), 12);
    assert_eq!(fleet.members[3].board.rows.standing, TableStanding::Current);
}

/// Guards against a change that is lost during a store outage. One host has read
/// it; the others learn of it only through heartbeats.
#[test]
fn learned_from_peer() {
    let heartbeats = Fleet::new(12, TICK, SEED);
    let silence = Fleet::new(12, TICK, SEED).without_heartbeats();
    for (mut fleet, expected) in [(heartbeats, 12), (silence, 1)] {
        fleet.run_for(Duration::from_secs(5));
        fleet.store_is_up = false;
        let first = &mut fleet.members[0];
        let round = Round {
            board: &mut first.board,
            now: fleet.now,
            rng: &mut Rng::seed_from_u64(SEED),
            decisions: &mut Vec::new(),
        };
        first.follower.run([store_answered(2)], round);
        fleet.run_for(Duration::from_secs(5));
        assert_eq!(fleet.in_force_count(2), expected);
    }
}
