//! Tests that the dispatcher of one host starts, refuses and preempts requests.

use std::{sync::Arc, time::Duration};

use mimosavane::{
    Blackboard, Row,
    control::{
        blackboard::{
            EngineReport, Engines, Rows, Upstream, UpstreamKind, UpstreamState, Upstreams,
        },
        controller::{Controller as _, Rng, Round},
        decision::Decision,
    },
    share::{
        dispatch::{Action, Controller, Event, MAX_WAITING_PER_ROW, Refusal, Request},
        fairness::{Class, Ticket},
        quota::Allowance,
    },
};
use rand::SeedableRng;

struct Host {
    board: Blackboard,
    dispatcher: Controller,
    decisions: Vec<Decision>,
    now: Duration,
}

impl Host {
    fn new(slots: u32) -> Self {
        let mut rows = Rows::default();
        for name in ["guides", "menus"] {
            rows.rows.insert(name.into(), Row::new(name).into());
        }
        let mut host = Self {
            board: Blackboard {
                rows: rows.into(),
                ..Blackboard::default()
            },
            dispatcher: Controller::default(),
            decisions: Vec::new(),
            now: Duration::from_secs(10),
        };
        host.set_state(UpstreamState::Live);
        host.report(slots, 0);
        host
    }

    fn set_state(&mut self, state: UpstreamState) {
        let mut upstreams = Upstreams::default();
        let upstream = Upstream {
            id: "engine-1".into(),
            kind: UpstreamKind::Engine,
            pool: "base".into(),
            address: ([127, 0, 0, 1], 7000).into(),
            failure_domain: "mx-a".into(),
            state,
            checks_fences: true,
        };
        upstreams.members.insert(upstream.id.clone(), upstream);
        self.board.upstreams = upstreams.into();
    }

    fn report(&mut self, slots: u32, running: u32) {
        let report = EngineReport {
            slots,
            running,
            at: self.now,
            token_time: Duration::from_millis(20),
            ..EngineReport::default()
        };
        let mut engines = Engines::default();
        engines.reports.insert("engine-1".into(), report);
        self.board.engines = Arc::new(engines);
    }

    fn run(&mut self, events: Vec<Event>) -> Vec<Action> {
        let round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut Rng::seed_from_u64(1),
            decisions: &mut self.decisions,
        };
        self.dispatcher.run(events, round)
    }
}

fn request(ticket: Ticket, row: &str) -> Request {
    Request {
        ticket,
        engine: "engine-1".into(),
        row: row.into(),
        class: Class::Rollout,
        priority: 0,
        prompt_tokens: 10,
        predicted_tokens: 100,
        deadline: Duration::from_secs(100_000),
    }
}

fn enqueue(tickets: std::ops::Range<Ticket>, row: &str) -> Vec<Event> {
    tickets
        .map(|ticket| Event::Enqueue(request(ticket, row)))
        .collect()
}

fn started(actions: &[Action]) -> Vec<Ticket> {
    let start = |action: &Action| match action {
        Action::Start { ticket, .. } => Some(*ticket),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn refused(actions: &[Action]) -> Vec<(Ticket, Refusal, Duration)> {
    let refuse = |action: &Action| match action {
        Action::Refuse {
            ticket,
            reason,
            retry_after,
        } => Some((*ticket, *reason, *retry_after)),
        _ => None,
    };
    actions.iter().filter_map(refuse).collect()
}

#[test]
fn slots_filled() {
    let mut host = Host::new(3);
    assert_eq!(started(&host.run(enqueue(0..5, "guides"))), [0, 1, 2]);
    assert!(started(&host.run(vec![])).is_empty());
    let ended = Event::Finished {
        ticket: 1,
        tokens: 90,
    };
    assert_eq!(started(&host.run(vec![ended])), [3]);
}

#[test]
fn lagging_report() {
    let mut host = Host::new(3);
    host.run(enqueue(0..3, "guides"));
    // The report does not count the started requests yet.
    host.now += Duration::from_secs(1);
    host.report(3, 0);
    assert!(started(&host.run(enqueue(3..5, "guides"))).is_empty());
}

#[test]
fn foreign_requests() {
    let mut host = Host::new(8);
    host.now += Duration::from_secs(1);
    host.report(8, 6);
    assert_eq!(started(&host.run(enqueue(0..8, "guides"))).len(), 2);
}

#[test]
fn early_refusal() {
    let mut host = Host::new(1);
    host.run(enqueue(0..20, "guides"));
    let mut late = request(50, "guides");
    late.deadline = host.now + Duration::from_secs(5);
    let refusals = refused(&host.run(vec![Event::Enqueue(late)]));
    let (ticket, reason, retry_after) = refusals[0];
    assert_eq!((ticket, reason), (50, Refusal::DeadlineUnreachable));
    // 19 waiting requests of 109 tokens at 20 ms a token.
    assert!((25..=30).contains(&retry_after.as_secs()));
    assert!(!host.decisions.is_empty());
}

#[test]
fn late_while_waiting() {
    let mut host = Host::new(1);
    let mut short = request(2, "menus");
    short.deadline = host.now + Duration::from_secs(6);
    let mut events = enqueue(0..1, "guides");
    events.push(Event::Enqueue(short));
    assert!(refused(&host.run(events)).is_empty());
    host.now += Duration::from_secs(7);
    let refusals = refused(&host.run(vec![]));
    assert_eq!(refusals[0].1, Refusal::DeadlineUnreachable);
}

#[test]
fn full_queue() {
    let mut host = Host::new(1);
    let max_waiting = MAX_WAITING_PER_ROW as Ticket;
    assert!(refused(&host.run(enqueue(0..max_waiting, "guides"))).is_empty());
    host.run(enqueue(max_waiting..max_waiting + 1, "guides"));
    let refusals = refused(&host.run(enqueue(5_000..5_002, "guides")));
    assert!(
        refusals
            .iter()
            .all(|(_, reason, _)| *reason == Refusal::QueueFull)
    );
    assert_eq!(refusals.len(), 2);
    // A flooding row does not fill up another row's queue.
    assert!(refused(&host.run(enqueue(6_000..6_010, "menus"))).is_empty());
}

#[test]
fn leaving_engine() {
    for (state, expected) in [
        (UpstreamState::Leaving, Refusal::EngineLeaving),
        (UpstreamState::Ejected, Refusal::EngineGone),
        (UpstreamState::Gone, Refusal::EngineGone),
    ] {
        let mut host = Host::new(1);
        host.run(enqueue(0..3, "guides"));
        host.set_state(state);
        let actions = host.run(enqueue(3..4, "guides"));
        let reasons: Vec<_> = refused(&actions)
            .into_iter()
            .map(|(ticket, reason, _)| (ticket, reason))
            .collect();
        assert_eq!(reasons, [(3, expected), (1, expected), (2, expected)]);
        assert!(started(&actions).is_empty());
        // Running requests are not preempted.
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::Preempt { .. }))
        );
    }
}

#[test]
fn disabled_row() {
    let mut host = Host::new(1);
    host.run(enqueue(0..3, "guides"));
    let mut rows = Rows::clone(&host.board.rows);
    let mut row = Row::new("guides");
    row.enabled = false;
    rows.rows.insert("guides".into(), row.into());
    host.board.rows = rows.into();
    let refusals = refused(&host.run(enqueue(3..4, "guides")));
    assert_eq!(refusals.len(), 3);
    assert!(
        refusals
            .iter()
            .all(|(_, reason, _)| *reason == Refusal::RowDisabled)
    );
}

#[test]
fn draining_host() {
    let mut host = Host::new(1);
    host.run(enqueue(0..2, "guides"));
    host.board.draining = true;
    let refusals = refused(&host.run(enqueue(2..3, "guides")));
    assert_eq!(refusals[0].1, Refusal::Draining);
}

#[test]
fn cancelled_request() {
    let mut host = Host::new(1);
    host.run(enqueue(0..2, "guides"));
    let cancel = |ticket| Event::Cancelled { ticket, tokens: 0 };
    assert!(started(&host.run(vec![cancel(1)])).is_empty());
    assert!(started(&host.run(vec![cancel(0)])).is_empty());
    assert_eq!(started(&host.run(enqueue(5..6, "guides"))), [5]);
    // Events of unknown requests are ignored.
    assert!(host.run(vec![cancel(77)]).is_empty());
}

#[test]
fn limited_row() {
    let mut host = Host::new(8);
    let allowance = Allowance {
        running_samples: Some(2),
        rate_tokens_per_s: None,
    };
    host.dispatcher
        .set_allowances([("guides".into(), allowance)].into());
    let mut events = enqueue(0..8, "guides");
    events.extend(enqueue(10..12, "menus"));
    let mut tickets = started(&host.run(events));
    tickets.sort_unstable();
    assert_eq!(tickets, [0, 1, 10, 11]);
}

#[test]
fn limited_rate() {
    let mut host = Host::new(8);
    let allowance = Allowance {
        running_samples: None,
        rate_tokens_per_s: Some(160),
    };
    host.dispatcher
        .set_allowances([("guides".into(), allowance)].into());
    // One request generates 50 tokens a second.
    assert_eq!(started(&host.run(enqueue(0..8, "guides"))).len(), 3);
}

#[test]
fn preempted_request() {
    let mut host = Host::new(8);
    host.run(enqueue(0..30, "guides"));
    host.now += Duration::from_secs(1);
    let actions = host.run(enqueue(100..110, "menus"));
    let preempted: Vec<Ticket> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Preempt { ticket } => Some(*ticket),
            _ => None,
        })
        .collect();
    assert_eq!(preempted.len(), 4);
    let ends = preempted
        .iter()
        .map(|&ticket| Event::Finished { ticket, tokens: 5 });
    let next = started(&host.run(ends.collect()));
    assert_eq!(next, [100, 101, 102, 103]);
}

#[test]
fn row_load() {
    let mut host = Host::new(1);
    host.run(enqueue(0..3, "guides"));
    let load = host.dispatcher.loads()[&mimosavane::ids::RowId::from("guides")];
    assert_eq!(load.running_count, 1);
    assert_eq!(load.waiting_count, 2);
    assert!(load.backlog_tokens > 200.0);
    assert!(load.counted_tokens >= 0.0);
}
