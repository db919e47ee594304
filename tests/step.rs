//! Exactly-once delivery of samples to the trainer under failures of owners,
//! trainers and engines.

mod step_support;

use mimosavane::{
    Row,
    control::blackboard::StoreCondition,
    engine::rendezvous::step_owner,
    ids::HostId,
    step::{Action, Controller, Event, Failure, StepKey, SubmitError, attach::Reply},
};
use step_support::{
    Owner, STEP, Trainer, at, cancels, dispatches, finished, progressed, proved, replies, sample,
    spec,
};

fn owner(seed: u64) -> Owner {
    Owner::new(seed, Row::new("guides"))
}

fn key() -> StepKey {
    StepKey {
        trainer: "guides".into(),
        step: STEP,
    }
}

/// Completes all attempts of `owner` until the trainer holds `count` samples.
fn fill(owner: &mut Owner, trainer: &mut Trainer, from: f64, count: usize) {
    let mut now = from;
    while trainer.held.len() < count {
        assert!(now < from + 100.0, "no progress");
        let actions = owner.pull(at(now), trainer.pull());
        trainer.receive(&actions);
        trainer.receive(&owner.finish_all(at(now + 1.0), 40));
        trainer.receive(&owner.run(at(now + 2.0), []));
        now += 3.0;
    }
}

#[test]
fn whole_step() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(4, 8));
    fill(&mut owner, &mut trainer, 1.0, 32);
    assert_eq!(trainer.held.len(), 32);
    assert_eq!(owner.controller.counters().dispatched_count, 32);
    owner.pull(at(200.0), trainer.pull());
    owner.run(at(201.0), []);
    assert_eq!(owner.controller.keys().count(), 0);
}

#[test]
fn owner_killed() {
    let mut first = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&first.submit(at(0.0), &spec(2, 4)));
    first.pull(at(1.0), trainer.pull());
    let events: Vec<_> = dispatched[..3]
        .iter()
        .map(|dispatch| finished(dispatch, 40))
        .collect();
    first.run(at(2.0), events);
    trainer.receive(&first.run(at(3.0), []));
    assert_eq!(trainer.held.len(), 3);
    drop(first);

    let mut second = owner(2);
    let actions = second.pull(at(10.0), trainer.pull());
    assert_eq!(replies(&actions), [Reply::StepUnknown]);
    second.submit(at(11.0), &spec(2, 4));
    fill(&mut second, &mut trainer, 12.0, 8);
    assert_eq!(trainer.held.len(), 8);
}

#[test]
fn two_owners() {
    let mut owners = [owner(1), owner(2)];
    let mut trainer = Trainer::new();
    for owner in &mut owners {
        let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 4)));
        let events: Vec<_> = dispatched
            .iter()
            .map(|dispatch| finished(dispatch, 40))
            .collect();
        owner.run(at(1.0), events);
    }
    let mut pull = trainer.pull();
    pull.max_samples = 2;
    let first = owners[0].pull(at(2.0), pull);
    assert_eq!(trainer.receive(&first), 2);
    let second = owners[1].pull(at(3.0), trainer.pull());
    assert_eq!(trainer.receive(&second), 2);
    assert_eq!(trainer.held.len(), 4);
}

#[test]
fn paused_owner() {
    let mut paused = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&paused.submit(at(0.0), &spec(1, 4)));
    paused.pull(at(1.0), trainer.pull());

    let mut next = owner(2);
    next.submit(at(20.0), &spec(1, 4));
    fill(&mut next, &mut trainer, 21.0, 4);

    // The paused owner resumes with its old pull pending and replies with the
    // samples that its engines completed.
    let events: Vec<_> = dispatched
        .iter()
        .map(|dispatch| finished(dispatch, 40))
        .collect();
    let actions = paused.run(at(90.0), events);
    assert_eq!(
        trainer.receive(&actions),
        0,
        "the old pull is not the latest"
    );
    assert!(dispatches(&paused.run(at(91.0), [])).is_empty());
    assert_eq!(trainer.held.len(), 4);
}

#[test]
fn paused_dispatch() {
    let mut paused = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&paused.submit(at(0.0), &spec(1, 4)));
    paused.pull(at(1.0), trainer.pull());
    let events = dispatched.iter().map(|dispatch| Event::Failed {
        attempt: dispatch.attempt,
        failure: Failure::default(),
    });
    paused.run(at(90.0), events);
    let actions = paused.run(at(100.0), []);
    assert!(
        dispatches(&actions).is_empty(),
        "the trainer no longer waits"
    );
}

#[test]
fn lost_answer() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 4)));
    owner.pull(at(1.0), trainer.pull());
    let events: Vec<_> = dispatched
        .iter()
        .map(|dispatch| finished(dispatch, 40))
        .collect();
    let lost = owner.run(at(2.0), events);
    assert_eq!(replies(&lost).len(), 1);
    let again = owner.pull(at(12.0), trainer.pull());
    assert_eq!(trainer.receive(&again), 4);
    assert_eq!(trainer.receive(&lost), 0, "the lost reply arrives late");
    assert_eq!(owner.controller.counters().dispatched_count, 4);
}

#[test]
fn trainer_restart() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(1, 4));
    let mut pull = trainer.pull();
    pull.max_samples = 2;
    owner.pull(at(1.0), pull);
    trainer.receive(&owner.finish_all(at(2.0), 40));
    owner.pull(at(30.0), trainer.pull());
    assert_eq!(owner.controller.step(&key()).unwrap().counts().held, 2);

    // The trainer restarts from a checkpoint without the two samples.
    trainer.held.clear();
    let dispatched = dispatches(&owner.pull(at(40.0), trainer.pull()));
    assert_eq!(dispatched.len(), 2);
    assert_eq!(owner.controller.step(&key()).unwrap().counts().held, 0);
}

#[test]
fn superseded_pull() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(1, 4));
    let old = trainer.pull();
    let new = trainer.pull();
    owner.pull(at(1.0), new);
    let actions = owner.pull(at(2.0), old);
    let expected = Reply::Superseded { highest_attach: 2 };
    assert_eq!(replies(&actions), [expected]);
}

#[test]
fn displaced_pull() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(1, 4));
    owner.pull(at(1.0), trainer.pull());
    let actions = owner.pull(at(2.0), trainer.pull());
    let displaced = actions.iter().any(|action| {
        matches!(
            action,
            Action::Reply {
                call: 1,
                reply: Reply::Superseded { .. }
            }
        )
    });
    assert!(displaced);
}

#[test]
fn duplicate_answer() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 2)));
    owner.pull(at(1.0), trainer.pull());
    let twice = [finished(&dispatched[0], 40), finished(&dispatched[0], 40)];
    owner.run(at(2.0), twice);
    let rest = owner.finish(at(3.0), &dispatched[1], 40);
    assert_eq!(trainer.receive(&rest), 2);
    owner.finish(at(4.0), &dispatched[0], 40);
    assert_eq!(owner.controller.counters().unexpected_count, 2);
}

#[test]
fn reordered_answers() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 2)));
    owner.pull(at(1.0), trainer.pull());
    // Progress arrives after the sample, and a failure after both.
    let events = [
        finished(&dispatched[1], 40),
        progressed(&dispatched[1], "engine-0", 50, 40),
        Event::Failed {
            attempt: dispatched[1].attempt,
            failure: Failure::default(),
        },
        progressed(&dispatched[0], "engine-0", 50, 40),
        progressed(&dispatched[0], "engine-0", 20, 40),
        finished(&dispatched[0], 40),
    ];
    let actions = owner.run(at(2.0), events);
    assert_eq!(trainer.receive(&actions), 2);
    assert!(dispatches(&actions).is_empty());
}

#[test]
fn wrong_slot() {
    let mut owner = owner(1);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 2)));
    let event = Event::Finished {
        attempt: dispatched[0].attempt,
        sample: sample(&dispatched[1], 40),
    };
    owner.run(at(1.0), [event]);
    assert_eq!(owner.controller.counters().invalid_count, 1);
    let again = dispatches(&owner.run(at(10.0), []));
    assert_eq!(again[0].slot, dispatched[0].slot);
}

#[test]
fn mixed_sample() {
    let mut row = Row::new("guides");
    row.mixed_versions = false;
    let mut owner = Owner::new(1, row);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 1)));
    let mut mixed = sample(&dispatched[0], 40);
    mixed.segments = [
        step_support::segment(0, 60, 40),
        step_support::segment(60, 40, 41),
    ]
    .into();
    owner.run(
        at(1.0),
        [Event::Finished {
            attempt: dispatched[0].attempt,
            sample: mixed,
        }],
    );
    assert_eq!(owner.controller.counters().invalid_count, 1);
}

#[test]
fn store_down() {
    let mut owner = owner(1);
    owner.board.store = StoreCondition::Down;
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(4, 8));
    fill(&mut owner, &mut trainer, 1.0, 32);
    assert_eq!(trainer.held.len(), 32);
}

#[test]
fn repeated_submit() {
    let mut owner = owner(1);
    owner.submit(at(0.0), &spec(1, 4));
    let actions = owner.submit(at(1.0), &spec(1, 4));
    assert!(dispatches(&actions).is_empty());
    let other = owner.submit(at(2.0), &spec(1, 5));
    let refused = Err(SubmitError::Conflict {
        trainer: "guides".into(),
        step: STEP,
    });
    assert!(other.contains(&Action::Accept {
        call: 1,
        result: refused
    }));
}

#[test]
fn late_submit() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(1, 4));
    fill(&mut owner, &mut trainer, 1.0, 4);
    owner.pull(at(30.0), trainer.pull());
    owner.run(at(31.0), []);
    let actions = owner.submit(at(32.0), &spec(1, 4));
    assert!(
        dispatches(&actions).is_empty(),
        "a duplicate submission starts no work"
    );

    // A trainer that lost the step and pulls again is served.
    trainer.held.clear();
    fill(&mut owner, &mut trainer, 40.0, 4);
    assert_eq!(trainer.held.len(), 4);
}

#[test]
fn planned_stop() {
    let mut first = owner(1);
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&first.submit(at(0.0), &spec(1, 4)));
    first.pull(at(1.0), trainer.pull());
    let events = [
        finished(&dispatched[0], 40),
        progressed(&dispatched[1], "engine-0", 50, 40),
    ];
    first.run(at(2.0), events);
    first.board.draining = true;
    let actions = first.run(at(2.1), []);
    assert_eq!(
        trainer.receive(&actions),
        1,
        "the ready sample is delivered"
    );
    assert_eq!(cancels(&actions).len(), 3);
    let refused = first.pull(at(3.0), trainer.pull());
    assert_eq!(replies(&refused), [Reply::Draining]);

    let mut second = owner(2);
    let handover = actions.into_iter().find_map(|action| match action {
        Action::HandOver(handover) => Some(handover),
        _ => None,
    });
    let received = second.run(at(3.0), [Event::HandedOver(handover.unwrap())]);
    let resumed = dispatches(&received);
    assert_eq!(resumed.len(), 3, "the ready sample was handed over");
    assert_eq!(resumed[0].resume, proved(50, 40));
    let pulled = second.pull(at(4.0), trainer.pull());
    let events: Vec<_> = resumed
        .iter()
        .map(|dispatch| finished(dispatch, 40))
        .collect();
    assert_eq!(trainer.receive(&pulled), 0);
    assert_eq!(trainer.receive(&second.run(at(5.0), events)), 3);
}

#[test]
fn owner_changed() {
    let mut first = owner(1);
    let mut trainer = Trainer::new();
    first.submit(at(0.0), &spec(1, 4));
    first.pull(at(1.0), trainer.pull());
    let event = Event::OwnerChanged {
        trainer: "guides".into(),
        step: STEP,
    };
    let actions = first.run(at(2.0), [event]);
    assert_eq!(replies(&actions), [Reply::Draining]);
    assert_eq!(cancels(&actions).len(), 4);
    assert_eq!(first.controller.keys().count(), 0);
}

#[test]
fn fleet_grows() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let ids: Vec<HostId> = names.map(HostId::from).to_vec();
    let next = step_owner(&"guides".into(), STEP, &ids).unwrap();
    let own = names.iter().find(|name| **name != &**next).unwrap();
    let mut owner = owner(1);
    owner.controller = Controller::default().with_host(*own);
    owner.set_hosts(&[own]);
    owner.submit(at(0.0), &spec(1, 4));
    owner.set_hosts(&[]);
    owner.run(at(1.0), []);
    owner.set_hosts(&[own]);
    owner.run(at(2.0), []);
    assert_eq!(
        owner.controller.keys().count(),
        1,
        "no other host owns the step"
    );
    owner.set_hosts(&names);
    let actions = owner.run(at(3.0), []);
    let is_handed = |action: &Action| matches!(action, Action::HandOver(_));
    assert!(actions.iter().any(is_handed));
    assert_eq!(owner.controller.keys().count(), 0);
}

#[test]
fn taken_back() {
    let mut owner = owner(1);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 1)));
    let failed = Event::Failed {
        attempt: dispatched[0].attempt,
        failure: Failure::default(),
    };
    let events = [
        progressed(&dispatched[0], "engine-0", 50, 41),
        progressed(&dispatched[0], "engine-0", 0, 41),
        failed,
    ];
    owner.run(at(1.0), events);
    let again = dispatches(&owner.run(at(2.0), []));
    assert!(
        again[0].resume.tokens.is_empty(),
        "the weight swap failed and its tokens are not proved"
    );
}

#[test]
fn foreign_progress() {
    let mut first = owner(1);
    let dispatched = dispatches(&first.submit(at(0.0), &spec(1, 1)));
    let mut second = owner(2);
    let actions = second.run(at(1.0), [progressed(&dispatched[0], "engine-0", 5, 40)]);
    assert_eq!(cancels(&actions), [dispatched[0].attempt]);
}

#[test]
fn not_run() {
    let mut owner = owner(1);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 1)));
    let failure = Failure {
        not_run: true,
        retry_after: at(2.0),
        proved: None,
    };
    let event = Event::Failed {
        attempt: dispatched[0].attempt,
        failure,
    };
    assert!(dispatches(&owner.run(at(1.0), [event])).is_empty());
    assert!(dispatches(&owner.run(at(2.9), [])).is_empty());
    let again = dispatches(&owner.run(at(3.2), []));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].attempt, dispatched[0].attempt);
    assert_eq!(again[0].seed, dispatched[0].seed);
}

#[test]
fn broken_stream() {
    let mut owner = owner(1);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 1)));
    let failure = Failure {
        proved: Some(proved(30, 40)),
        ..Failure::default()
    };
    let events = [
        progressed(&dispatched[0], "engine-0", 50, 40),
        Event::Failed {
            attempt: dispatched[0].attempt,
            failure,
        },
    ];
    owner.run(at(1.0), events);
    let again = dispatches(&owner.run(at(2.0), []));
    assert_eq!(
        again[0].resume,
        proved(30, 40),
        "only the tokens that the failure reports as proved are kept"
    );
    assert_eq!(again[0].avoid, ["engine-0".into()]);
}

#[test]
fn running_limit() {
    let mut row = Row::new("guides");
    row.max_running_samples = 3;
    let mut owner = Owner::new(1, row);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 8)));
    assert_eq!(dispatched.len(), 3);
    let next = owner.finish(at(1.0), &dispatched[0], 40);
    assert_eq!(dispatches(&next).len(), 1);
}

#[test]
fn abandoned_step() {
    let mut owner = owner(1);
    owner.submit(at(0.0), &spec(1, 4));
    let actions = owner.run(at(700.0), []);
    assert_eq!(cancels(&actions).len(), 4);
    assert_eq!(owner.controller.keys().count(), 0);
}

#[test]
fn empty_wait() {
    let mut owner = owner(1);
    let mut trainer = Trainer::new();
    owner.submit(at(0.0), &spec(1, 4));
    owner.pull(at(1.0), trainer.pull());
    assert!(replies(&owner.run(at(10.9), [])).is_empty());
    let expected = Reply::Samples {
        samples: Vec::new(),
        open_slots: 4,
    };
    assert_eq!(replies(&owner.run(at(11.0), [])), [expected]);
}
