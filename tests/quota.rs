//! Tests that limits hold over hosts that pause and restart, with messages lost,
//! repeated and delayed.

use std::{collections::BTreeMap, time::Duration};

use mimosavane::{
    Blackboard, Row,
    control::{
        blackboard::{Host, HostState, Hosts, Rows},
        controller::{Controller as _, Rng, Round},
    },
    ids::{HostId, RowId},
    share::quota::{Action, Controller, Event, LOAN_DURATION, LimitKind, Message, Split},
};
use rand::{Rng as _, SeedableRng};

const MAX_RUN: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(250);
const LIMIT: u64 = 13;

/// A host that starts as many samples as it wants and its allowance admits.
struct Member {
    quota: Controller,
    /// The end of each running sample.
    running: Vec<Duration>,
    demand: u64,
    paused_until: Duration,
    inbox: Vec<Event>,
}

struct Fleet {
    board: Blackboard,
    row: RowId,
    members: Vec<Member>,
    /// The ends of samples that engines still run for processes that have ended.
    orphans: Vec<Duration>,
    messages: Vec<(Duration, usize, Event)>,
    now: Duration,
    rng: Rng,
    loss_ratio: f64,
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").into()
}

fn split(number: usize, count: usize) -> Split {
    Split {
        ordinal: number as u32,
        host_count: count as u32,
        max_run: MAX_RUN,
    }
}

fn board(count: usize, limit: u64) -> Blackboard {
    let mut hosts = Hosts::default();
    for number in 0..count {
        let member = Host {
            id: host(number),
            incarnation: 1,
            state: HostState::Alive,
            failure_domain: "mx-a".into(),
            region: "mx".into(),
            peer_address: ([127, 0, 0, 1], 9000).into(),
            http_address: ([127, 0, 0, 1], 8000).into(),
        };
        hosts.members.insert(member.id.clone(), member);
    }
    let mut row = Row::new("guides");
    row.max_running_samples = limit as u32;
    let mut rows = Rows::default();
    rows.rows.insert(row.id.clone(), row.into());
    Blackboard {
        hosts: hosts.into(),
        rows: rows.into(),
        ..Blackboard::default()
    }
}

impl Fleet {
    fn new(count: usize, seed: u64, loss_ratio: f64) -> Self {
        let members = (0..count)
            .map(|number| Member {
                quota: Controller::new(host(number), split(number, count), Duration::ZERO),
                running: Vec::new(),
                demand: 0,
                paused_until: Duration::ZERO,
                inbox: Vec::new(),
            })
            .collect();
        Self {
            board: board(count, LIMIT),
            row: "guides".into(),
            members,
            orphans: Vec::new(),
            messages: Vec::new(),
            now: Duration::ZERO,
            rng: Rng::seed_from_u64(seed),
            loss_ratio,
        }
    }

    fn running_count(&self) -> usize {
        let own: usize = self.members.iter().map(|member| member.running.len()).sum();
        own + self.orphans.len()
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        self.orphans.retain(|end| *end > now);
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, to, event) in due {
            self.members[to].inbox.push(event);
        }
        for number in 0..self.members.len() {
            self.members[number].running.retain(|end| *end > now);
            if self.members[number].paused_until <= now {
                self.run(number);
            }
        }
    }

    fn run(&mut self, number: usize) {
        let member = &mut self.members[number];
        let used = member.running.len() as u64;
        let mut events = std::mem::take(&mut member.inbox);
        events.push(Event::Usage {
            row: self.row.clone(),
            kind: LimitKind::RunningSamples,
            used,
            demand: member.demand,
        });
        let round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        let actions = member.quota.run(events, round);
        let allowed = self.allowed(number);
        let member = &mut self.members[number];
        while (member.running.len() as u64) < allowed.min(member.demand) {
            let run = self.rng.random_range(1..=MAX_RUN.as_millis() as u64);
            member.running.push(self.now + Duration::from_millis(run));
        }
        for Action::Send { to, message } in actions {
            self.send(number, &to, message);
        }
    }

    fn allowed(&self, number: usize) -> u64 {
        let quota = &self.members[number].quota;
        quota
            .allowed(
                &self.board.rows,
                &self.row,
                LimitKind::RunningSamples,
                self.now,
            )
            .expect("the row has a limit")
    }

    /// Sends a message, which may be lost, repeated, or delayed for longer than a
    /// loan lasts.
    fn send(&mut self, from: usize, to: &HostId, message: Message) {
        let to = (0..self.members.len())
            .find(|number| host(*number) == *to)
            .expect("the host is in the fleet");
        let copies = usize::from(!self.rng.random_bool(self.loss_ratio))
            + usize::from(self.rng.random_bool(self.loss_ratio / 2.0));
        for _ in 0..copies {
            let max_delay_ms = if self.rng.random_bool(self.loss_ratio / 2.0) {
                12_000
            } else {
                300
            };
            let delay = Duration::from_millis(self.rng.random_range(1..max_delay_ms));
            let event = Event::Received {
                from: host(from),
                message: message.clone(),
            };
            self.messages.push((self.now + delay, to, event));
        }
    }

    fn restart(&mut self, number: usize) {
        let count = self.members.len();
        let member = &mut self.members[number];
        self.orphans.append(&mut member.running);
        member.quota = Controller::new(host(number), split(number, count), self.now);
        member.inbox.clear();
    }
}

#[test]
fn parts_add_up() {
    for limit in [0, 1, 5, 12, 13, 4_096] {
        for count in [1, 9, 12, 1_000] {
            let parts = (0..count).map(|number| split(number, count).part(&"guides".into(), limit));
            assert_eq!(parts.sum::<u64>(), limit);
        }
    }
    assert_eq!(split(12, 12).part(&"guides".into(), 100), 0);
}

#[test]
fn lossy_messages() {
    bolero::check!()
        .with_iterations(60)
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .for_each(|(seed, faults)| {
            let mut fleet = Fleet::new(5, *seed, 0.3);
            for step in 0..800 {
                if step % 40 == 0 {
                    let member = fleet.rng.random_range(0..5);
                    fleet.members[member].demand = fleet.rng.random_range(0..=LIMIT);
                }
                if let Some((kind, pick)) = faults.get(step / 8).filter(|_| step % 8 == 0) {
                    let member = usize::from(*pick) % 5;
                    match kind % 4 {
                        0 => fleet.restart(member),
                        1 => fleet.members[member].paused_until = fleet.now + LOAN_DURATION * 2,
                        _ => {}
                    }
                }
                fleet.tick();
                assert!(fleet.running_count() as u64 <= LIMIT);
            }
        });
}

#[test]
fn partition_holds() {
    let mut fleet = Fleet::new(5, 7, 0.0);
    for member in &mut fleet.members {
        member.demand = LIMIT;
    }
    fleet.loss_ratio = 0.0;
    for _ in 0..160 {
        fleet.tick();
    }
    assert_eq!(fleet.running_count() as u64, LIMIT);
    fleet.members[0].demand = 0;
    for step in 0..400 {
        if step >= 120 {
            fleet.messages.clear();
        }
        fleet.tick();
        assert!(fleet.running_count() as u64 <= LIMIT);
    }
    let allowed: u64 = (0..5).map(|number| fleet.allowed(number)).sum();
    assert!(allowed <= LIMIT);
    assert!(allowed >= LIMIT - 3);
}

#[test]
fn unused_part_lent() {
    let mut fleet = Fleet::new(5, 3, 0.0);
    fleet.members[2].demand = LIMIT;
    for _ in 0..240 {
        fleet.tick();
    }
    let borrowed = fleet.allowed(2);
    println!("one host of five wants all {LIMIT}: it may run {borrowed}");
    assert!(borrowed >= LIMIT - 4);
    assert!(fleet.running_count() as u64 <= LIMIT);
}

#[test]
fn lent_part_returned() {
    let mut fleet = Fleet::new(5, 3, 0.0);
    fleet.members[2].demand = LIMIT;
    for _ in 0..240 {
        fleet.tick();
    }
    fleet.members[2].demand = 0;
    fleet.members[4].demand = 2;
    let start = fleet.now;
    while fleet.members[4].running.len() < 2 {
        fleet.tick();
        assert!(fleet.now - start < LOAN_DURATION + MAX_RUN + Duration::from_secs(2));
    }
    println!(
        "lender runs its own part again after {:?}",
        fleet.now - start
    );
}

#[test]
fn repeated_grant() {
    let mut board = board(2, 10);
    let mut rng = Rng::seed_from_u64(1);
    let mut borrower = Controller::new(host(0), split(0, 2), Duration::ZERO);
    let now = Duration::from_secs(100);
    let wants = Event::Usage {
        row: "guides".into(),
        kind: LimitKind::RunningSamples,
        used: 5,
        demand: 8,
    };
    let mut round = |now: Duration, events: Vec<Event>, borrower: &mut Controller| {
        let round = Round {
            board: &mut board,
            now,
            rng: &mut rng,
            decisions: &mut Vec::new(),
        };
        borrower.run(events, round)
    };
    let actions = round(now, vec![wants], &mut borrower);
    let Some(Action::Send {
        message: Message::Ask { nonce, .. },
        ..
    }) = actions.first()
    else {
        panic!("no ask");
    };
    let grant = |loan| Event::Received {
        from: host(1),
        message: Message::Grant {
            nonce: *nonce,
            loan,
            amount: 2,
        },
    };
    round(now, vec![grant(1), grant(1), grant(2)], &mut borrower);
    let rows = board_rows();
    let allowed = |now| {
        borrower
            .allowed(&rows, &"guides".into(), LimitKind::RunningSamples, now)
            .unwrap()
    };
    assert_eq!(allowed(now), 7);
    assert_eq!(allowed(now + LOAN_DURATION), 5);
}

#[test]
fn ask_before_usage() {
    let mut board = board(2, 10);
    let mut lender = Controller::new(host(0), split(0, 2), Duration::ZERO);
    let ask = Event::Received {
        from: host(1),
        message: Message::Ask {
            nonce: 1,
            row: "guides".into(),
            kind: LimitKind::RunningSamples,
            amount: 5,
            renews: None,
        },
    };
    let usage = Event::Usage {
        row: "guides".into(),
        kind: LimitKind::RunningSamples,
        used: 5,
        demand: 5,
    };
    let round = Round {
        board: &mut board,
        now: Duration::from_secs(100),
        rng: &mut Rng::seed_from_u64(1),
        decisions: &mut Vec::new(),
    };
    assert!(lender.run([ask, usage], round).is_empty());
}

fn board_rows() -> Rows {
    Rows::clone(&board(2, 10).rows)
}

#[test]
fn lowered_limit() {
    let mut by_limit = BTreeMap::new();
    for limit in [10, 4] {
        let rows = board(2, limit).rows;
        let quota = Controller::new(host(0), split(0, 2), Duration::ZERO);
        let now = Duration::from_secs(100);
        let allowed = quota.allowed(&rows, &"guides".into(), LimitKind::RunningSamples, now);
        by_limit.insert(limit, allowed.unwrap());
    }
    assert_eq!(by_limit, [(4, 2), (10, 5)].into());
}
