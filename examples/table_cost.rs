//! Measures the cost to one host of following the table:
//! `cargo run --release --example table_cost`.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use mimosavane::{
    Blackboard, Controller as _, Row,
    control::{
        blackboard::{Host, HostState, Hosts},
        controller::{Rng, Round},
    },
    ids::HostId,
    store::follower::{Controller, Event},
};
use rand::SeedableRng as _;

const ROUNDS_COUNT: u32 = 100_000;
const ROWS_COUNT: usize = 11;

/// The rate of announcements that a host receives: two answers to its own probes
/// and two probes of others.
const ANNOUNCEMENTS_PER_S: f64 = 4.0;

/// The rate of rounds of the control thread.
const ROUNDS_PER_S: f64 = 100.0;

fn hosts(count: usize) -> Arc<Hosts> {
    let host = |number: usize| Host {
        id: format!("host-{number:04}").into(),
        incarnation: 1,
        state: HostState::Alive,
        failure_domain: "a".into(),
        region: "r".into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        http_address: ([127, 0, 0, 1], 1).into(),
    };
    let members: BTreeMap<HostId, Host> = (0..count)
        .map(host)
        .map(|host| (host.id.clone(), host))
        .collect();
    Arc::new(Hosts { members })
}

fn rows() -> Vec<Row> {
    (0..ROWS_COUNT)
        .map(|number| Row::new(format!("row-{number}")))
        .collect()
}

/// Returns the mean durations of a round without events and of a round with one
/// announcement.
fn measure(hosts_count: usize) -> (Duration, Duration) {
    let mut follower = Controller::new("host-0000");
    let mut board = Blackboard {
        hosts: hosts(hosts_count),
        ..Blackboard::default()
    };
    let mut rng = Rng::seed_from_u64(7);
    let mut decisions = Vec::new();
    let mut now = Duration::ZERO;
    let mut run = |events: Vec<Event>| {
        now += Duration::from_millis(10);
        let round = Round {
            board: &mut board,
            now,
            rng: &mut rng,
            decisions: &mut decisions,
        };
        std::hint::black_box(follower.run(events, round));
    };
    let answered = || Event::StoreAnswered {
        revision: 9,
        rows: Some(rows()),
    };
    run(vec![answered()]);
    let announced = |number: usize| Event::PeerAnnounced {
        host: format!("host-{:04}", number % hosts_count).into(),
        revision: 9,
    };
    (0..hosts_count).for_each(|number| run(vec![announced(number)]));
    let started_at = Instant::now();
    (0..ROUNDS_COUNT).for_each(|_| run(Vec::new()));
    let idle = started_at.elapsed() / ROUNDS_COUNT;
    let started_at = Instant::now();
    (0..ROUNDS_COUNT as usize).for_each(|number| run(vec![announced(number)]));
    (idle, started_at.elapsed() / ROUNDS_COUNT)
}

fn main() {
    println!("hosts  idle_round_ns  announcement_round_ns  core_ratio");
    for hosts_count in [12, 100, 1_000] {
        let (idle, announced) = measure(hosts_count);
        let per_s =
            idle.as_secs_f64() * ROUNDS_PER_S + announced.as_secs_f64() * ANNOUNCEMENTS_PER_S;
        println!(
            "{hosts_count:5}  {:13}  {:21}  {per_s:.7}",
            idle.as_nanos(),
            announced.as_nanos()
        );
    }
    let json: usize = rows()
        .iter()
        .filter_map(|row| serde_json::to_vec(row).ok())
        .map(|row| row.len())
        .sum();
    println!("{ROWS_COUNT} rows take {json} bytes as JSON");
}
