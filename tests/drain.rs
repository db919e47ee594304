//! A planned stop passes through its phases and ends when no work is open.

use std::{collections::BTreeSet, time::Duration};

use mimosavane::{
    Blackboard, Controller as _,
    control::controller::{Rng, Round},
    host::drain::{Action, Config, Controller, Event, OpenWork, Outcome, OwnedStep, Requester},
};
use rand::SeedableRng;

struct Host {
    controller: Controller,
    board: Blackboard,
    rng: Rng,
}

impl Host {
    fn start() -> Self {
        Self {
            controller: Controller::new(Config {
                own: "entry-1".into(),
                grace: Duration::from_secs(3),
                bound: Duration::from_secs(60),
            }),
            board: Blackboard::default(),
            rng: Rng::seed_from_u64(1),
        }
    }

    fn at(&mut self, now_ms: u64, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let round = Round {
            board: &mut self.board,
            now: Duration::from_millis(now_ms),
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        self.controller.run(events, round)
    }
}

fn open(request_count: usize, accepting: bool) -> Event {
    Event::Open(OpenWork {
        accepting,
        request_count,
        ..OpenWork::default()
    })
}

fn stop() -> Event {
    Event::Requested(Requester::Signal)
}

#[test]
fn phases_in_order() {
    let mut host = Host::start();
    assert_eq!(host.at(0, [open(3, true)]), []);
    assert!(!host.board.draining);
    let actions = host.at(100, [stop()]);
    assert_eq!(actions, [Action::StopReadiness, Action::AnnounceLeaving]);
    assert!(host.board.draining);
    assert_eq!(host.at(2_000, [open(0, true)]), [], "callers still arrive");
    assert_eq!(host.at(3_100, []), [Action::StopAccepting]);
    assert_eq!(host.at(3_200, [open(1, false)]), []);
    let exit = Action::Exit {
        outcome: Outcome::Finished,
        open_count: 0,
    };
    assert_eq!(host.at(3_300, [open(0, false)]), [exit]);
    assert_eq!(
        host.at(3_400, [open(0, false)]),
        [],
        "the exit is requested only once"
    );
}

#[test]
fn stale_count() {
    let mut host = Host::start();
    host.at(0, [stop()]);
    host.at(3_000, []);
    let actions = host.at(3_050, [open(0, true)]);
    assert_eq!(
        actions,
        [],
        "while the server accepts work, the count may miss new requests"
    );
}

#[test]
fn asked_twice() {
    let mut host = Host::start();
    host.at(0, [stop()]);
    let again = Event::Requested(Requester::Operator("ana".into()));
    assert_eq!(host.at(100, [again]), []);
}

#[test]
fn bound_passes() {
    let mut host = Host::start();
    host.at(0, [stop()]);
    host.at(3_000, []);
    assert_eq!(host.at(59_000, [open(2, false)]), []);
    let exit = Action::Exit {
        outcome: Outcome::BoundPassed,
        open_count: 2,
    };
    assert_eq!(host.at(60_000, [open(2, false)]), [exit]);
}

#[test]
fn steps_handed_over() {
    let step = OwnedStep {
        trainer: "guides".into(),
        step: 3,
    };
    let open = || {
        Event::Open(OpenWork {
            steps: BTreeSet::from([step.clone()]),
            ..OpenWork::default()
        })
    };
    let mut host = Host::start();
    host.at(0, [stop()]);
    let offer = [Action::HandOver(step.clone())];
    assert_eq!(host.at(100, [open()]), offer);
    assert_eq!(host.at(200, [open()]), []);
    assert_eq!(
        host.at(1_200, [open()]),
        offer,
        "an unconfirmed hand-over is retried"
    );
    host.at(3_000, [Event::HandedOver(step.clone())]);
    let actions = host.at(3_100, [Event::Open(OpenWork::default())]);
    assert!(matches!(actions[..], [Action::Exit { .. }]), "{actions:?}");
}
