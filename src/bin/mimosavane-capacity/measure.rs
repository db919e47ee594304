//! Measures the figures of each role.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use futures_util::FutureExt as _;
use mimosavane::{
    call::{
        claim::{Claim, ClaimStore as _, Expected, Key, Record},
        claim_store::TableClaims,
    },
    engine::routing::Policy as _,
    observe::capacity::{
        ENGINE_COUNT, Figure, HOST_COUNT, MAX_MEMORY_BYTES, MAX_PROCESSOR_RATIO, MAX_READS_PER_S,
        MAX_TRAFFIC_BYTES_PER_S, MAX_WRITES_PER_S, Role,
    },
    standin::table_service::MemoryTable,
    store::TableService as _,
};

use super::{
    allocation,
    fixture::{self, Node},
    fleet::{Fleet, ResourceUsage},
    rollout,
};

const WARM_UP: Duration = Duration::from_secs(12);
const STEADY_TIME: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_secs(20);
const RECOVERY: Duration = Duration::from_secs(10);

/// The numbers of rounds and of engine choices that one measurement averages over.
const ROUND_COUNT: u32 = 20;
const CHOICE_COUNT: u32 = 1_000;

/// The rate of rounds of a control thread without traffic.
const ROUNDS_PER_S: f64 = 10.0;

/// The rate of keyed calls that the store's budget is calculated for: a tenth of
/// all requests.
const KEYED_CALLS_PER_S: f64 = 2_000.0;

const SLOT_COUNT: f64 = 4_096.0;

/// The numbers of engines for the measurements that need no fleet.
const ENGINE_COUNTS: [usize; 3] = [60, 600, 6_000];

/// The rate of loads that the weight store sustains in a measured rollout.
const LOADS_PER_S: f64 = 1_000.0;

/// The rates of the weight store at which a whole rollout is timed.
const LOAD_RATES: [f64; 4] = [300.0, 400.0, 600.0, LOADS_PER_S];

/// The fleet size from which counts are aggregated over a tree and hosts share
/// the polls.
const LARGE_FLEET_HOSTS: f64 = 50.0;

/// The figure of reads when all hosts restart: each reads the whole table at once,
/// so they grow with the fleet.
const RESTART_READS: &str = "reads, restart";

/// The deadline for all engines to run new weights.
const MAX_ROLLOUT_S: f64 = 21.0;

/// The measurements of one fleet.
struct FleetMeasurement {
    host_seconds: f64,
    usage: ResourceUsage,
    state_bytes: f64,
    restart_reads: f64,
    recovery_reads: f64,
    joined_ratio: f64,
}

/// Returns the usage between two moments.
fn difference(end: &ResourceUsage, start: &ResourceUsage) -> ResourceUsage {
    ResourceUsage {
        processor_time: end.processor_time - start.processor_time,
        datagrams_count: end.datagrams_count - start.datagrams_count,
        datagram_bytes: end.datagram_bytes - start.datagram_bytes,
        exchanges_count: end.exchanges_count - start.exchanges_count,
        exchange_bytes: end.exchange_bytes - start.exchange_bytes,
        polls_count: end.polls_count - start.polls_count,
        reads_count: end.reads_count - start.reads_count,
    }
}

/// Runs a fleet through a start, a steady phase and an outage of the store.
fn measure_fleet(host_count: usize) -> FleetMeasurement {
    let mut fleet = Fleet::new(host_count);
    let restart_reads = fleet.run_for(WARM_UP) as f64;
    let joined_ratio = fleet.joined_count() as f64 / host_count as f64;
    let start = fleet.usage.clone();
    fleet.run_for(STEADY_TIME);
    let usage = difference(&fleet.usage, &start);
    fleet.is_store_up = false;
    fleet.run_for(OUTAGE);
    fleet.is_store_up = true;
    let recovery_reads = fleet.run_for(RECOVERY) as f64;
    FleetMeasurement {
        host_seconds: host_count as f64 * STEADY_TIME.as_secs_f64(),
        usage,
        restart_reads,
        recovery_reads,
        joined_ratio,
        state_bytes: fleet.state_bytes(),
    }
}

/// Measures all figures, with fleets of `sizes` hosts.
pub fn all(sizes: &[usize]) -> Vec<Figure> {
    let fleets: Vec<(f64, FleetMeasurement)> = sizes
        .iter()
        .map(|size| (*size as f64, measure_fleet(*size)))
        .collect();
    let mut figures = fleet_figures(&fleets);
    figures.extend(step_figures());
    figures.extend(engine_figures());
    figures.extend(rollout_figures());
    figures.push(Figure {
        role: Role::TableServer,
        name: "all",
        unit: "-",
        points: Vec::new(),
        size: HOST_COUNT,
        max: None,
        is_flat: false,
    });
    figures.push(claim_figure());
    figures.extend(fleets.iter().map(|(size, fleet)| Figure {
        role: Role::Membership,
        name: "hosts that know all after 12 s",
        unit: "ratio",
        points: vec![(*size, fleet.joined_ratio)],
        size: *size,
        max: None,
        is_flat: false,
    }));
    figures
}

fn fleet_figures(fleets: &[(f64, FleetMeasurement)]) -> Vec<Figure> {
    let figure = |role, name, unit, max, value: fn(&FleetMeasurement) -> f64| Figure {
        role,
        name,
        unit,
        points: fleets
            .iter()
            .map(|(size, fleet)| (*size, value(fleet)))
            .collect(),
        size: HOST_COUNT,
        max,
        is_flat: false,
    };
    let large = |role, name, unit, max, value| {
        let mut large = figure(role, name, unit, max, value);
        large.is_flat = name != RESTART_READS;
        large.points.retain(|point| point.0 >= LARGE_FLEET_HOSTS);
        large
    };
    use Role::{EntryControl, Follower, LedgerQuota, Membership};
    vec![
        figure(
            EntryControl,
            "state",
            "B",
            Some(MAX_MEMORY_BYTES),
            |fleet| fleet.state_bytes,
        ),
        figure(
            EntryControl,
            "processor, no traffic",
            "core",
            Some(MAX_PROCESSOR_RATIO),
            |fleet| fleet.usage.processor_time.as_secs_f64() / fleet.host_seconds,
        ),
        figure(EntryControl, "engine polls", "1/s", None, |fleet| {
            fleet.usage.polls_count as f64 / fleet.host_seconds
        }),
        figure(Membership, "datagrams", "1/s", None, |fleet| {
            fleet.usage.datagrams_count as f64 / fleet.host_seconds
        }),
        figure(
            Membership,
            "sent",
            "B/s",
            Some(MAX_TRAFFIC_BYTES_PER_S),
            |fleet| fleet.usage.datagram_bytes as f64 / fleet.host_seconds,
        ),
        large(LedgerQuota, "messages", "1/s", None, |fleet| {
            fleet.usage.exchanges_count as f64 / fleet.host_seconds
        }),
        large(
            LedgerQuota,
            "sent",
            "B/s",
            Some(MAX_TRAFFIC_BYTES_PER_S),
            |fleet| fleet.usage.exchange_bytes as f64 / fleet.host_seconds,
        ),
        large(
            Follower,
            "reads, calm",
            "1/s, fleet",
            Some(MAX_READS_PER_S),
            |fleet| fleet.usage.reads_count as f64 / STEADY_TIME.as_secs_f64(),
        ),
        large(
            Follower,
            RESTART_READS,
            "1/s, fleet",
            Some(MAX_READS_PER_S),
            |fleet| fleet.restart_reads,
        ),
        large(
            Follower,
            "reads, after outage",
            "1/s, fleet",
            Some(MAX_READS_PER_S),
            |fleet| fleet.recovery_reads,
        ),
    ]
}

fn step_figures() -> Vec<Figure> {
    let (mut states, mut times) = (Vec::new(), Vec::new());
    for count in [256, 1_024, 4_096] {
        let before = allocation::live_bytes();
        let mut step = fixture::CompletedStep::with_samples(count);
        let state_bytes = allocation::live_bytes() - before;
        let start = Instant::now();
        for _ in 0..ROUND_COUNT {
            black_box(step.pull());
        }
        let elapsed = start.elapsed() / ROUND_COUNT;
        states.push((f64::from(count), state_bytes as f64));
        times.push((f64::from(count), elapsed.as_secs_f64() * 1e6));
    }
    let figure = |name, unit, points, max| Figure {
        role: Role::StepOwner,
        name,
        unit,
        points,
        size: SLOT_COUNT,
        max,
        is_flat: false,
    };
    vec![
        figure("state of a step", "B", states, Some(MAX_MEMORY_BYTES)),
        figure("pull of all slots", "us", times, None),
    ]
}

fn engine_figures() -> Vec<Figure> {
    let (mut rounds, mut choices, mut states) = (Vec::new(), Vec::new(), Vec::new());
    for count in ENGINE_COUNTS {
        let before = allocation::live_bytes();
        let mut node = Node::new(count);
        states.push((count as f64, (allocation::live_bytes() - before) as f64));
        let start = Instant::now();
        for _ in 0..ROUND_COUNT {
            node.round();
        }
        let round = start.elapsed().as_secs_f64() / f64::from(ROUND_COUNT);
        rounds.push((count as f64, round * ROUNDS_PER_S));
        let row = fixture::row(0);
        let prefix: Vec<u64> = (0..31).collect();
        let start = Instant::now();
        for _ in 0..CHOICE_COUNT {
            let request = fixture::request(&row, &prefix);
            black_box(
                node.router
                    .choose(&node.board, &request, node.now, &mut node.rng),
            );
        }
        let choice = start.elapsed().as_secs_f64() / f64::from(CHOICE_COUNT);
        choices.push((count as f64, choice * 1e6));
    }
    let figure = |role, name, unit, points, max| Figure {
        role,
        name,
        unit,
        points,
        size: ENGINE_COUNT,
        max,
        is_flat: false,
    };
    vec![
        figure(
            Role::Dispatcher,
            "processor, full queues",
            "core",
            rounds,
            Some(MAX_PROCESSOR_RATIO),
        ),
        figure(
            Role::Router,
            "state with queues and caches",
            "B",
            states,
            Some(MAX_MEMORY_BYTES),
        ),
        figure(Role::Router, "choice of an engine", "us", choices, None),
    ]
}

fn rollout_figures() -> Vec<Figure> {
    let (mut times, mut processor_ratios) = (Vec::new(), Vec::new());
    for count in ENGINE_COUNTS {
        let rollout = rollout::run(count, LOADS_PER_S);
        times.push((count as f64, rollout.time.as_secs_f64()));
        let ratio = rollout.processor_time.as_secs_f64() / rollout.time.as_secs_f64();
        processor_ratios.push((count as f64, ratio));
    }
    let figure = |name, unit, points, max| Figure {
        role: Role::Steward,
        name,
        unit,
        points,
        size: ENGINE_COUNT,
        max,
        is_flat: false,
    };
    let by_rate = LOAD_RATES.map(|rate| {
        let rollout = rollout::run(ENGINE_COUNT as usize, rate);
        (rate, rollout.time.as_secs_f64())
    });
    let rates = Figure {
        size: LOADS_PER_S,
        ..figure("rollout by loads/s", "s", by_rate.to_vec(), None)
    };
    vec![
        rates,
        figure("rollout, 1,000 loads/s", "s", times, Some(MAX_ROLLOUT_S)),
        figure(
            "planner, one shard",
            "core",
            processor_ratios,
            Some(MAX_PROCESSOR_RATIO),
        ),
    ]
}

/// Measures the store commits of calls that are claimed and completed.
fn claim_figure() -> Figure {
    let points = [10_u32, 100, 1_000].map(|count| {
        let table = MemoryTable::default();
        let claims = TableClaims::new(table.clone());
        for number in 0..count {
            let claim = claim(number);
            let _ = claims.put(&claim, Expected::Absent).now_or_never();
            let done = claims.complete(&claim.key, claim.attempt, &Record::Unknown);
            let _ = done.now_or_never();
        }
        let scan = table.scan("claims", 0).now_or_never();
        let commits = scan.and_then(Result::ok).map_or(0, |scan| scan.revision);
        (f64::from(count), commits as f64)
    });
    Figure {
        role: Role::Claims,
        name: "writes at 2,000 keyed calls/s",
        unit: "1/s, fleet",
        points: points.to_vec(),
        size: KEYED_CALLS_PER_S,
        max: Some(MAX_WRITES_PER_S),
        is_flat: false,
    }
}

fn claim(number: u32) -> Claim {
    Claim {
        key: Key {
            row: "row-00".into(),
            pool: "base".to_owned(),
            key: format!("order-{number}"),
        },
        attempt: u128::from(number) as _,
        host: "entry-0000".into(),
        request_digest: "digest".to_owned(),
        created_at_ms: 1,
        record: Record::Open,
    }
}
