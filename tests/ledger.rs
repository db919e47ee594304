//! Tests that the ledger counts served tokens over the fleet, also when hosts and
//! messages are lost.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use mimosavane::{
    Blackboard, Row,
    control::{
        blackboard::{Host, HostState, Hosts, Rows},
        controller::{Controller as _, Rng, Round},
    },
    ids::HostId,
    share::{
        dispatch::RowLoad,
        ledger::{Action, Controller, Event, Message, depth},
    },
};
use rand::{Rng as _, SeedableRng};

const TICK: Duration = Duration::from_millis(250);
const DELAY: Duration = Duration::from_millis(50);

/// The bytes of a datagram besides the counts: addresses, sender, keyed hash.
const OVERHEAD_BYTES: usize = 100;

struct Fleet {
    ids: Vec<HostId>,
    board: Blackboard,
    ledgers: Vec<Controller>,
    served: Vec<f64>,
    live: Vec<bool>,
    messages: VecDeque<(Duration, HostId, HostId, Arc<Message>)>,
    bytes: Vec<usize>,
    rng: Rng,
    now: Duration,
    loss_ratio: f64,
}

impl Fleet {
    fn new(count: usize, row_count: usize) -> Self {
        let ids: Vec<HostId> = (0..count).map(|n| format!("entry-{n}").into()).collect();
        let mut rows = Rows::default();
        for number in 0..row_count {
            let row = Row::new(format!("row-{number:02}"));
            rows.rows.insert(row.id.clone(), row.into());
        }
        let mut fleet = Self {
            board: Blackboard {
                rows: rows.into(),
                ..Blackboard::default()
            },
            ledgers: ids
                .iter()
                .map(|id| Controller::new(id.clone(), 1))
                .collect(),
            served: vec![0.0; count],
            live: vec![true; count],
            messages: VecDeque::new(),
            bytes: vec![0; count],
            rng: Rng::seed_from_u64(1),
            now: Duration::from_secs(1),
            loss_ratio: 0.0,
            ids,
        };
        fleet.list_hosts();
        fleet
    }

    fn list_hosts(&mut self) {
        let mut hosts = Hosts::default();
        for (id, _) in self.ids.iter().zip(&self.live).filter(|(_, live)| **live) {
            let host = Host {
                id: id.clone(),
                incarnation: 1,
                state: HostState::Alive,
                failure_domain: "mx-a".into(),
                region: "mx".into(),
                peer_address: ([127, 0, 0, 1], 9000).into(),
                http_address: ([127, 0, 0, 1], 8000).into(),
            };
            hosts.members.insert(id.clone(), host);
        }
        self.board.hosts = hosts.into();
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += TICK;
            while let Some((at, ..)) = self.messages.front() {
                if *at > self.now {
                    break;
                }
                let (_, from, to, message) = self.messages.pop_front().expect("a message is due");
                let to = self
                    .ids
                    .iter()
                    .position(|id| *id == to)
                    .expect("the host is in the fleet");
                let message = (*message).clone();
                self.round(to, Event::Received { from, message });
            }
            for number in 0..self.ids.len() {
                if self.live[number] {
                    self.served[number] += 25.0;
                }
                let load = |index: usize| RowLoad {
                    counted_tokens: self.served[number] * (index + 1) as f64,
                    backlog_tokens: 100.0,
                    running_count: 1,
                    waiting_count: 1,
                };
                let rows = self.board.rows.rows.keys().enumerate();
                let loads = rows
                    .map(|(index, row)| (row.clone(), load(index)))
                    .collect();
                self.round(number, Event::Loads(loads));
            }
        }
    }

    fn round(&mut self, number: usize, event: Event) {
        if !self.live[number] {
            return;
        }
        let round = Round {
            board: &mut self.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        for Action::Send { to, message } in self.ledgers[number].run([event], round) {
            let size = bytes(&message) + OVERHEAD_BYTES;
            self.bytes[number] += size;
            let receiver = self
                .ids
                .iter()
                .position(|id| *id == to)
                .expect("the host is in the fleet");
            self.bytes[receiver] += size;
            if !self.rng.random_bool(self.loss_ratio) {
                let from = self.ids[number].clone();
                self.messages
                    .push_back((self.now + DELAY, from, to, message));
            }
        }
    }

    /// Returns the served tokens of the first row in the published totals.
    fn total(&self) -> f64 {
        let served = &self.board.served.fleet;
        served
            .values()
            .next()
            .map_or(0.0, |count| count.served_tokens as f64)
    }
}

/// Returns the size of the message in protobuf: per row, a name and two numbers
/// of up to 6 bytes.
fn bytes(message: &Message) -> usize {
    let (Message::Report { counts, .. } | Message::Totals { counts, .. }) = message;
    let row_bytes: usize = counts.keys().map(|row| row.len() + 2 + 7 + 7 + 2).sum();
    row_bytes + 40
}

/// Runs the fleet for `seconds` and returns how much the totals rose relative to
/// the tokens served.
fn counted_ratio(fleet: &mut Fleet, seconds: u64) -> f64 {
    let before = (fleet.total(), fleet.served.iter().sum::<f64>());
    fleet.run(seconds);
    let served = fleet.served.iter().sum::<f64>() - before.1;
    (fleet.total() - before.0) / served
}

#[test]
fn whole_fleet_counted() {
    for count in [1, 3, 12, 40, 200] {
        let mut fleet = Fleet::new(count, 2);
        fleet.run(10);
        let ratio = counted_ratio(&mut fleet, 20);
        println!(
            "{count} hosts in {} levels: counted {ratio:.3} of what was served",
            depth(count)
        );
        assert!((0.9..=1.1).contains(&ratio), "{count}: {ratio}");
    }
}

#[test]
fn lost_messages() {
    let mut fleet = Fleet::new(40, 2);
    fleet.loss_ratio = 0.2;
    fleet.run(10);
    let ratio = counted_ratio(&mut fleet, 40);
    assert!((0.85..=1.1).contains(&ratio), "{ratio}");
}

#[test]
fn lost_coordinators() {
    let mut fleet = Fleet::new(40, 2);
    fleet.run(10);
    for number in 0..15 {
        fleet.live[number] = false;
    }
    fleet.list_hosts();
    fleet.run(10);
    let ratio = counted_ratio(&mut fleet, 20);
    assert!((0.9..=1.1).contains(&ratio), "{ratio}");
}

#[test]
fn restarted_host() {
    let mut fleet = Fleet::new(12, 2);
    fleet.run(10);
    fleet.ledgers[3] = Controller::new(fleet.ids[3].clone(), 2);
    fleet.served[3] = 0.0;
    fleet.run(10);
    let ratio = counted_ratio(&mut fleet, 20);
    assert!((0.9..=1.1).contains(&ratio), "{ratio}");
}

#[test]
fn repeated_report() {
    let mut fleet = Fleet::new(2, 1);
    fleet.live[1] = false;
    fleet.list_hosts();
    fleet.run(5);
    let report = |sequence, tokens| Event::Received {
        from: "entry-1".into(),
        message: Message::Report {
            level: 0,
            incarnation: 1,
            sequence,
            counts: [(
                "row-00".into(),
                mimosavane::share::ledger::Count {
                    served_tokens: tokens,
                    backlog_tokens: 0,
                },
            )]
            .into(),
        },
    };
    let before = fleet.total();
    for (sequence, tokens) in [(1, 1_000), (2, 1_500), (2, 1_500), (1, 1_000), (2, 1_500)] {
        fleet.round(0, report(sequence, tokens));
    }
    let own = fleet.served[0];
    fleet.run(1);
    let gained = fleet.total() - before - (fleet.served[0] - own);
    assert!((gained - 500.0).abs() <= 50.0, "{gained}");
}

/// Hosts that receive no totals drop their corrections.
#[test]
fn silence_fades() {
    let mut fleet = Fleet::new(3, 2);
    fleet.run(10);
    let corrected = |fleet: &Fleet| {
        let ledgers = fleet.ledgers.iter();
        ledgers
            .filter(|ledger| ledger.corrections().values().any(|factor| *factor > 1.1))
            .count()
    };
    assert_eq!(corrected(&fleet), 3);
    fleet.loss_ratio = 1.0;
    fleet.run(10);
    // Only the root still has totals: its own.
    assert_eq!(corrected(&fleet), 1);
}

#[test]
fn traffic_of_thousand() {
    let mut fleet = Fleet::new(1_000, 11);
    fleet.run(6);
    let seconds = 6.0;
    let mut rates: Vec<f64> = fleet
        .bytes
        .iter()
        .map(|bytes| *bytes as f64 / seconds)
        .collect();
    rates.sort_by(f64::total_cmp);
    let summary: BTreeMap<&str, f64> = [("median", rates[500]), ("most", rates[999])].into();
    println!("1,000 hosts, 11 rows, bytes a second a host, in and out: {summary:.0?}");
    assert!(rates[999] <= 28_000.0);
}
