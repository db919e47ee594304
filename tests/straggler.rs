//! The tail of a step does not wait for slow or silent engines.

mod step_support;

use mimosavane::{
    Row,
    experiment::{Scenario, run},
    step::{
        Action, Dispatch, Event, Policy,
        length::{Estimator, GroupLengths},
        straggler::{SlotContext, hedge_budget_count},
    },
};
use step_support::{Owner, Trainer, at, cancels, dispatches, finished, progressed, proved, spec};

const SAMPLES: u32 = 20;

/// Runs a pulled step of 20 samples until only the last one is unfinished, with
/// `tokens` generated on `engine-0` at twenty milliseconds per token.
fn run_to_tail(tokens: u32) -> (Owner, Trainer, Dispatch) {
    let mut owner = Owner::new(1, Row::new("guides"));
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, SAMPLES)));
    owner.pull(at(0.0), trainer.pull());
    for second in 0..=2 {
        let made = second * 50;
        let events = dispatched
            .iter()
            .map(|dispatch| progressed(dispatch, "engine-0", made, 40));
        let events: Vec<_> = events.collect();
        owner.run(at(f64::from(second)), events);
    }
    let events: Vec<_> = dispatched[1..]
        .iter()
        .map(|dispatch| finished(dispatch, 40))
        .collect();
    owner.run(at(2.0), events);
    let actions = owner.run(
        at(2.3),
        [progressed(&dispatched[0], "engine-0", tokens, 40)],
    );
    assert_eq!(trainer.receive(&actions), dispatched.len() - 1);
    (owner, trainer, dispatched[0].clone())
}

/// Lets the last sample progress at ten tokens per second for eight seconds.
fn progress_slowly(owner: &mut Owner, last: &Dispatch, start: f64, from: u32) -> Vec<Action> {
    let mut actions = Vec::new();
    for second in 1..=8 {
        let event = progressed(last, "engine-0", from + 10 * second, 40);
        actions.extend(owner.run(at(start + f64::from(second)), [event]));
    }
    actions
}

#[test]
fn hedged_tail() {
    let (mut owner, mut trainer, last) = run_to_tail(105);
    let actions = progress_slowly(&mut owner, &last, 2.3, 105);
    let hedges = dispatches(&actions);
    assert_eq!(hedges.len(), 1);
    let hedge = &hedges[0];
    assert_eq!(hedge.slot, last.slot);
    assert_eq!(
        hedge.seed, last.seed,
        "an equal seed does not favour short samples"
    );
    assert_eq!(hedge.avoid, ["engine-0".into()]);
    assert!(
        hedge.resume.tokens.len() > 100,
        "the hedge resumes from the proved tokens"
    );
    assert!(cancels(&actions).is_empty(), "both attempts keep running");

    let pull = trainer.pull();
    owner.pull(at(11.0), pull);
    owner.run(at(11.2), [progressed(hedge, "engine-1", 150, 40)]);
    let mut finished_hedge = finished(hedge, 40);
    if let Event::Finished { sample, .. } = &mut finished_hedge {
        sample.tokens = proved(200, 40).tokens.into();
        sample.segments = proved(200, 40).segments.into();
    }
    let actions = owner.run(at(12.0), [finished_hedge]);
    assert_eq!(
        cancels(&actions),
        [last.attempt],
        "the losing attempt is cancelled"
    );
    assert_eq!(trainer.receive(&actions), 1);
    assert!(owner.controller.counters().lost_tokens > 0);
}

#[test]
fn late_loser() {
    let (mut owner, mut trainer, last) = run_to_tail(105);
    let hedges = dispatches(&progress_slowly(&mut owner, &last, 2.3, 105));
    let pull = trainer.pull();
    owner.pull(at(11.0), pull);
    let both = [finished(&last, 40), finished(&hedges[0], 40)];
    let actions = owner.run(at(12.0), both);
    assert_eq!(trainer.receive(&actions), 1);
    assert_eq!(owner.controller.counters().unexpected_count, 1);
}

#[test]
fn steady_tail() {
    let (mut owner, _, last) = run_to_tail(105);
    for second in 1..=8 {
        let event = progressed(&last, "engine-0", 105 + 50 * second, 40);
        let actions = owner.run(at(2.3 + f64::from(second)), [event]);
        assert!(
            dispatches(&actions).is_empty(),
            "the sample is long, not slow"
        );
    }
}

#[test]
fn silent_engine() {
    let mut owner = Owner::new(1, Row::new("guides"));
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, SAMPLES)));
    owner.pull(at(0.0), trainer.pull());
    let mut actions = Vec::new();
    for second in 0..=25 {
        let silent = usize::from(second > 4);
        let events = dispatched[silent..]
            .iter()
            .map(|dispatch| progressed(dispatch, "engine-0", 10 * second, 40));
        let events: Vec<_> = events.collect();
        actions.extend(owner.run(at(f64::from(second)), events));
    }
    assert_eq!(cancels(&actions), [dispatched[0].attempt]);
    let again = dispatches(&actions);
    assert_eq!(again[0].slot, dispatched[0].slot);
    assert_eq!(
        again[0].resume.tokens.len(),
        40,
        "it resumes from the last progress"
    );
}

#[test]
fn waiting_attempt() {
    let mut owner = Owner::new(1, Row::new("guides"));
    let mut trainer = Trainer::new();
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 1)));
    owner.pull(at(0.0), trainer.pull());
    let second = dispatches(&owner.run(at(11.0), []));
    assert_eq!(
        second.len(),
        1,
        "the attempt is hedged because its engine does not start it"
    );
    let actions = owner.run(at(12.0), [progressed(&second[0], "engine-1", 0, 40)]);
    assert_eq!(
        cancels(&actions),
        [dispatched[0].attempt],
        "the first attempt to start is kept"
    );
}

#[test]
fn slow_engine() {
    let mut row = Row::new("guides");
    row.max_running_samples = 3;
    let mut owner = Owner::new(1, row);
    let dispatched = dispatches(&owner.submit(at(0.0), &spec(1, 4)));
    for second in 0..=5 {
        let events = [
            progressed(&dispatched[0], "engine-0", 50 * second, 40),
            progressed(&dispatched[1], "engine-1", 50 * second, 40),
            progressed(&dispatched[2], "engine-2", 10 * second, 40),
        ];
        owner.run(at(f64::from(second)), events);
    }
    let next = dispatches(&owner.finish(at(5.1), &dispatched[0], 40));
    assert_eq!(next[0].avoid, ["engine-2".into()]);
    let later = dispatches(&owner.finish(at(50.0), &dispatched[1], 40));
    assert!(
        later.iter().all(|dispatch| dispatch.avoid.is_empty()),
        "the engine is used again"
    );
}

#[test]
fn hedge_budget() {
    let mut row = Row::new("guides");
    assert_eq!(hedge_budget_count(&row, 256), 13);
    row.idle_preference_ratio = 0.0;
    assert_eq!(hedge_budget_count(&row, 256), 7);
    row.idle_preference_ratio = 1.0;
    assert_eq!(hedge_budget_count(&row, 256), 20);
    assert_eq!(hedge_budget_count(&row, 4), 1);
}

#[test]
fn spent_budget() {
    let (mut owner, _, last) = run_to_tail(105);
    let hedges = dispatches(&progress_slowly(&mut owner, &last, 2.3, 105));
    let attempt = hedges[0].attempt;
    let failure = mimosavane::step::Failure::default();
    let mut later = owner.run(at(11.0), [Event::Failed { attempt, failure }]);
    later.extend(progress_slowly(&mut owner, &last, 11.0, 205));
    assert!(dispatches(&later).is_empty());
}

#[test]
fn last_slots_first() {
    let early = SlotContext {
        is_pulled: true,
        can_hedge_ahead: true,
        group_unfinished_count: 8,
        step_unfinished_count: 64,
        step_slot_count: 64,
    };
    let last_of_group = SlotContext {
        group_unfinished_count: 1,
        ..early
    };
    let tail = SlotContext {
        step_unfinished_count: 6,
        ..early
    };
    let ahead = SlotContext {
        is_pulled: false,
        ..last_of_group
    };
    assert!(tail.priority() > last_of_group.priority());
    assert!(last_of_group.priority() > early.priority());
    assert!(early.priority() > ahead.priority());
}

#[test]
fn length_prediction() {
    let mut lengths = Estimator::default();
    for _ in 0..90 {
        lengths.observe(100);
    }
    for _ in 0..10 {
        lengths.observe(1000);
    }
    assert!((90..=110).contains(&lengths.quantile_tokens(0.5).unwrap()));
    assert!((900..=1100).contains(&lengths.quantile_tokens(0.95).unwrap()));
    let fresh = lengths.remaining_tokens(0, 4096);
    assert!((150..=230).contains(&fresh), "{fresh}");
    let long = lengths.remaining_tokens(200, 4096);
    assert!((700..=900).contains(&long), "{long}");
    assert_eq!(lengths.remaining_tokens(200, 250), 50);
    let mut group = GroupLengths::default();
    (0..6).for_each(|_| group.observe(1000));
    let blended = lengths.remaining_in_group(group, 0, 4096);
    assert!(
        blended > 2 * fresh,
        "the group's completed samples were long: {blended}"
    );
    assert!((0.05..0.15).contains(&lengths.exceeding_ratio(0, 200)));
}

#[test]
fn policies_compared() {
    let scenario = Scenario {
        steps_count: 4,
        groups_count: 16,
        steps_ahead_count: 1,
        routes_by_speed: false,
        ..Scenario::default()
    };
    let off = Policy {
        mitigates_slow_attempts: false,
        raises_last_slots: false,
        ..Policy::default()
    };
    let baseline = run(&scenario, off);
    let outcome = run(&scenario, Policy::default());
    assert!(outcome.idle < baseline.idle);
    assert!(outcome.waste_ratio() < 0.05);
    assert_eq!(run(&scenario, Policy::default()), outcome, "deterministic");
}
