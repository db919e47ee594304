//! Leaving upstreams get no new work although the platform's list lags.

mod support {
    #[expect(dead_code, reason = "the membership tests use the rest")]
    pub mod fleet;
}

use std::{collections::BTreeMap, time::Duration};

use mimosavane::{
    Blackboard, Controller as _,
    clock::Timestamp,
    control::{
        blackboard::{UpstreamKind, UpstreamState},
        controller::{Rng, Round},
    },
    engine::upstream_list::{Action, Controller, Event, Listed},
    host::membership,
};
use rand::SeedableRng;
use support::fleet::Fleet;

fn listed(name: &str, leaving: bool) -> Listed {
    Listed {
        id: name.into(),
        kind: UpstreamKind::Service,
        pool: "orders".into(),
        address: ([127, 0, 0, 1], 7100).into(),
        failure_domain: "region-0-0".into(),
        leaving,
        checks_fences: false,
    }
}

struct Host {
    controller: Controller,
    board: Blackboard,
    rng: Rng,
}

impl Host {
    fn start() -> Self {
        let mut host = Self {
            controller: Controller::new("entry-1".into()),
            board: Blackboard::default(),
            rng: Rng::seed_from_u64(1),
        };
        host.run_at(
            0,
            [Event::List(vec![listed("a", false), listed("b", false)])],
        );
        host
    }

    fn run_at(&mut self, now_ms: u64, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let round = Round {
            board: &mut self.board,
            now: Duration::from_millis(now_ms),
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        self.controller.run(events, round)
    }

    fn state(&self) -> UpstreamState {
        self.board.upstreams.members["a"].state
    }
}

fn leaving_reported(leaving: bool, sent_ms: u64) -> Event {
    Event::LeavingReported {
        upstream: "a".into(),
        leaving,
        sent_at: Duration::from_millis(sent_ms),
    }
}

fn list(leaving: bool) -> Event {
    Event::List(vec![listed("a", leaving), listed("b", false)])
}

fn refused() -> Event {
    Event::ConnectionRefused {
        upstream: "a".into(),
    }
}

#[test]
fn own_word_counts() {
    let mut host = Host::start();
    assert_eq!(host.state(), UpstreamState::Live);
    host.run_at(100, [leaving_reported(true, 50)]);
    assert_eq!(host.state(), UpstreamState::Leaving);
    host.run_at(200, [list(false)]);
    assert_eq!(host.state(), UpstreamState::Leaving, "the list lags");
    host.run_at(300, [leaving_reported(false, 90)]);
    assert_eq!(
        host.state(),
        UpstreamState::Leaving,
        "the request was sent before the leaving report"
    );
    host.run_at(400, [leaving_reported(false, 350)]);
    assert_eq!(
        host.state(),
        UpstreamState::Live,
        "the upstream was restarted"
    );
}

#[test]
fn list_goes_back() {
    let mut host = Host::start();
    host.run_at(100, [list(true)]);
    assert_eq!(host.state(), UpstreamState::Leaving);
    host.run_at(200, [leaving_reported(true, 150)]);
    host.run_at(300, [list(false)]);
    assert_eq!(host.state(), UpstreamState::Leaving);
    host.run_at(400, [Event::List(vec![listed("b", false)])]);
    assert_eq!(
        host.state(),
        UpstreamState::Leaving,
        "one list without the upstream does not suffice"
    );
    host.run_at(500, [Event::List(vec![listed("b", false)])]);
    assert_eq!(host.state(), UpstreamState::Gone);
}

#[test]
fn refused_connections() {
    let mut host = Host::start();
    host.run_at(100, [refused()]);
    assert_eq!(host.state(), UpstreamState::Live);
    host.run_at(200, [refused()]);
    assert_eq!(host.state(), UpstreamState::Gone);
    host.run_at(300, [leaving_reported(false, 250)]);
    assert_eq!(host.state(), UpstreamState::Live);
    host.run_at(10_000, [refused()]);
    assert_eq!(
        host.state(),
        UpstreamState::Live,
        "the refusals are too far apart"
    );
}

#[test]
fn ejected_stays() {
    let mut host = Host::start();
    let mut upstreams = (*host.board.upstreams).clone();
    upstreams.members.get_mut("a").unwrap().state = UpstreamState::Ejected;
    host.board.upstreams = upstreams.into();
    host.run_at(100, [list(false)]);
    assert_eq!(host.state(), UpstreamState::Ejected);
    host.run_at(200, [leaving_reported(true, 150)]);
    assert_eq!(host.state(), UpstreamState::Leaving);
}

/// All hosts run with their membership, and learn that an upstream is leaving
/// although the platform's list never changes.
#[test]
fn leaving_within_bound() {
    for (count, seed) in [(12, 1), (100, 2)] {
        let mut fleet = Fleet::start(count, 3, seed);
        fleet.run_for(Duration::from_secs(30));
        let mut lists: Vec<Controller> = fleet
            .nodes
            .iter()
            .map(|node| Controller::new(node.own.id.clone()))
            .collect();
        let mut inbox: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
        for index in 0..count {
            inbox.insert(index, vec![list(false)]);
        }
        let leaves_at = fleet.now + Duration::from_secs(2);
        let end = leaves_at + Duration::from_secs(3);
        let mut asked_count = 0;
        while fleet.now < end {
            fleet.run_for(Duration::from_millis(50));
            for index in 0..count {
                asked_count += run_list(&mut fleet, &mut lists, &mut inbox, index, leaves_at);
            }
        }
        for node in &fleet.nodes {
            let state = node.board.upstreams.members["a"].state;
            assert_eq!(
                state,
                UpstreamState::Leaving,
                "{count} hosts, {}",
                node.own.id
            );
        }
        assert!(
            asked_count <= 12,
            "only one host asks each upstream: {asked_count}"
        );
    }
}

/// Runs the upstream list of one host, and returns how often it asked an
/// upstream.
fn run_list(
    fleet: &mut Fleet,
    lists: &mut [Controller],
    inbox: &mut BTreeMap<usize, Vec<Event>>,
    index: usize,
    leaves_at: Timestamp,
) -> usize {
    let now = fleet.now;
    let node = &mut fleet.nodes[index];
    let mut events = inbox.remove(&index).unwrap_or_default();
    for action in std::mem::take(&mut node.actions) {
        if let membership::Action::PeerNotice(notice) = action {
            events.push(Event::PeerNotice(notice));
        }
    }
    let round = Round {
        board: &mut node.board,
        now,
        rng: &mut Rng::seed_from_u64(0),
        decisions: &mut node.decisions,
    };
    let mut asked_count = 0;
    for action in lists[index].run(events, round) {
        match action {
            Action::Ask { upstream, .. } => {
                asked_count += 1;
                let leaving = &*upstream == "a" && now >= leaves_at;
                inbox
                    .entry(index)
                    .or_default()
                    .push(Event::LeavingReported {
                        upstream,
                        leaving,
                        sent_at: now,
                    });
            }
            Action::Notify(notice) => fleet.push_event(index, membership::Event::Noticed(notice)),
        }
    }
    asked_count
}
