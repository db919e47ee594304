//! The outcome of an attempt after any sequence of events.

use mimosavane::call::attempt::{Attempt, Event, Outcome, Reason, State};

const EVENTS: [Event; 8] = [
    Event::SendStarted,
    Event::HandedBack,
    Event::RequestWritten,
    Event::ResponseHead,
    Event::ResponseEnd,
    Event::Refusal,
    Event::Failure(Reason::ConnectionLost),
    Event::Failure(Reason::DeadlinePassed),
];

fn after(events: &[Event]) -> Attempt {
    let mut attempt = Attempt::default();
    for event in events {
        attempt.apply(*event);
    }
    attempt
}

#[test]
fn not_run_true() {
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let mut attempt = Attempt::default();
            let mut may_have_been_sent = false;
            let mut has_head = false;
            for byte in bytes {
                let event = EVENTS[usize::from(*byte) % EVENTS.len()];
                let before = attempt;
                attempt.apply(event);
                if before.outcome().is_some() {
                    assert_eq!(attempt, before, "an outcome never changes");
                    continue;
                }
                match (before.state(), event) {
                    (State::NotSent, Event::SendStarted) => may_have_been_sent = true,
                    (State::Sending, Event::HandedBack) => may_have_been_sent = false,
                    (State::Sending | State::Sent, Event::ResponseHead) => has_head = true,
                    _ => {}
                }
                match attempt.outcome() {
                    Some(Outcome::NotRun(_)) => {
                        assert!(!may_have_been_sent || event == Event::Refusal);
                    }
                    Some(Outcome::Unknown(_)) => assert!(may_have_been_sent),
                    Some(Outcome::Answered) => assert!(has_head && event == Event::ResponseEnd),
                    None => {}
                }
            }
        });
}

#[test]
fn half_written() {
    let attempt = after(&[Event::SendStarted, Event::Failure(Reason::ConnectionLost)]);
    let expected = Outcome::Unknown(Reason::ConnectionLost);
    assert_eq!(attempt.outcome(), Some(expected));
}

#[test]
fn handed_back() {
    let attempt = after(&[
        Event::SendStarted,
        Event::HandedBack,
        Event::Failure(Reason::ClosedBeforeSend),
    ]);
    let expected = Outcome::NotRun(Reason::ClosedBeforeSend);
    assert_eq!(attempt.outcome(), Some(expected));
}

#[test]
fn early_answer() {
    let attempt = after(&[Event::SendStarted, Event::ResponseHead, Event::ResponseEnd]);
    assert_eq!(attempt.outcome(), Some(Outcome::Answered));
}

#[test]
fn end_without_head() {
    let attempt = after(&[
        Event::SendStarted,
        Event::RequestWritten,
        Event::ResponseEnd,
    ]);
    assert_eq!(attempt.state(), State::Sent);
}
