//! Measures the cost of membership per host, for docs/design/membership.md.
//!
//! `cargo run --release --example membership_cost -- 100 300 1000` simulates
//! fleets of these sizes in virtual time.

use std::{sync::Arc, time::Duration};

use anyhow::{Context, Result};
use mimosavane::control::blackboard::{HostState, Served, ServedCount};

#[path = "../tests/support/fleet.rs"]
#[expect(dead_code, reason = "the membership tests use the rest")]
mod fleet;

use fleet::Fleet;

/// The number of trainers whose served tokens each host counts.
const ROW_COUNT: usize = 11;
/// The number of regions in the fleet.
const REGION_COUNT: usize = 7;

/// The resources used by all hosts up to a moment.
struct Snapshot {
    cpu_ns: u64,
    sent_bytes: u64,
    sent_count: u64,
    at: Duration,
}

impl Snapshot {
    fn take(fleet: &Fleet) -> Result<Self> {
        let schedstat =
            std::fs::read_to_string("/proc/self/schedstat").context("reading processor time")?;
        let cpu_ns = schedstat.split(' ').next().unwrap_or_default().parse()?;
        Ok(Self {
            cpu_ns,
            sent_bytes: fleet.nodes.iter().map(|node| node.sent_bytes).sum(),
            sent_count: fleet.nodes.iter().map(|node| node.sent_count).sum(),
            at: fleet.now,
        })
    }

    /// Prints the usage per host and second since this snapshot, up to `end`.
    fn print(&self, end: &Self, count: usize, phase: &str) {
        let host_seconds = (end.at - self.at).as_secs_f64() * count as f64;
        let per_host = |spent: u64| spent as f64 / host_seconds;
        println!(
            "| {count} | {phase} | {:.0} | {:.1} | {:.4} |",
            per_host(end.sent_bytes - self.sent_bytes),
            per_host(end.sent_count - self.sent_count),
            per_host(end.cpu_ns - self.cpu_ns) / 1e9 * 100.0,
        );
    }
}

fn resident_bytes() -> Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").context("reading memory")?;
    let pages: u64 = statm.split(' ').nth(1).unwrap_or_default().parse()?;
    Ok(pages * 4096)
}

fn main() -> Result<()> {
    println!("| hosts | phase | sent B/s a host | datagrams/s a host | core % a host |");
    println!("|---|---|---|---|---|");
    for argument in std::env::args().skip(1) {
        measure(argument.parse().context("parsing a number of hosts")?)?;
    }
    Ok(())
}

fn measure(count: usize) -> Result<()> {
    let before_bytes = resident_bytes()?;
    let mut fleet = Fleet::start(count, REGION_COUNT, 1);
    for node in &mut fleet.nodes {
        node.board.served = Arc::new(served(&node.own.id));
    }
    let start = Snapshot::take(&fleet)?;
    let end = Duration::from_secs(120);
    let joined = fleet.run_until(end, |fleet| fleet.all_see(HostState::Alive, 0..count));
    let join_time = fleet.now;
    start.print(&Snapshot::take(&fleet)?, count, "all join at once");
    fleet.run_for(Duration::from_secs(30));

    let start = Snapshot::take(&fleet)?;
    fleet.run_for(Duration::from_secs(20));
    start.print(&Snapshot::take(&fleet)?, count, "calm");
    let memory_bytes = (resident_bytes()? - before_bytes) / count as u64;

    let start = Snapshot::take(&fleet)?;
    fleet.nodes[5].running = false;
    let killed_at = fleet.now;
    let end = fleet.now + Duration::from_secs(30);
    let detected = fleet.run_until(end, |fleet| fleet.all_see(HostState::Dead, [5]));
    let detect_time = fleet.now - killed_at;
    start.print(&Snapshot::take(&fleet)?, count, "one host crashes");

    let start = Snapshot::take(&fleet)?;
    fleet.cut = |a, b| (&*a.region == "region-1") != (&*b.region == "region-1");
    fleet.run_for(Duration::from_secs(20));
    start.print(&Snapshot::take(&fleet)?, count, "a region is cut off, 20 s");
    fleet.cut = |_, _| false;
    let wrong_count = fleet.count("dead", |id| id != "entry-0005");
    let largest_bytes = fleet.nodes.iter().map(|node| node.largest_bytes).max();

    println!(
        "\n{count} hosts: joined {joined} after {join_time:?}; crash known everywhere {detected} \
         after {detect_time:?}; wrongly dead {wrong_count}; largest datagram {} B; resident {} KiB a host\n",
        largest_bytes.unwrap_or_default(),
        memory_bytes / 1024,
    );
    Ok(())
}

/// Returns the counts of the tokens that a host has served itself.
fn served(host: &Arc<str>) -> Served {
    let mut served = Served::default();
    for row in 0..ROW_COUNT {
        let count = ServedCount {
            incarnation: 1_000,
            served_tokens: 1_000_000_000,
            backlog_tokens: 100_000,
        };
        let row: Arc<str> = format!("trainer-{row}").into();
        served
            .counts
            .entry(row)
            .or_default()
            .insert(host.clone(), count);
    }
    served
}
