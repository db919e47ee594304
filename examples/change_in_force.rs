//! Measures the time until an accepted change is in force on running entry hosts:
//! `cargo run --release --example change_in_force [HOSTS]`.

use std::time::Duration;

use anyhow::Context as _;

use support::RealFleet;

#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../tests/support/real_fleet.rs"]
mod support;

const HOSTS_COUNT: usize = 12;
const CHANGES_COUNT: usize = 30;
const TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> anyhow::Result<()> {
    let hosts_count = match std::env::args().nth(1) {
        Some(text) => text.parse().context("HOSTS")?,
        None => HOSTS_COUNT,
    };
    let mut fleet = RealFleet::start(hosts_count);
    fleet.wait_for(1, TIMEOUT).context("starting the fleet")?;
    let mut delays = Vec::new();
    let before = fleet.store.counts();
    let started_at = std::time::Instant::now();
    for number in 0..CHANGES_COUNT {
        // Varying pauses spread the changes over the interval between two polls.
        std::thread::sleep(Duration::from_millis(500 + 37 * number as u64 % 500));
        let revision = fleet.change();
        let waited = fleet.wait_for(revision, TIMEOUT);
        delays.push(waited.context("a change is not in force")?);
    }
    let reads_count = fleet.store.counts().reads_count - before.reads_count;
    let reads_per_s = reads_count as f64 / started_at.elapsed().as_secs_f64();
    delays.sort();
    println!(
        "{hosts_count} hosts, {CHANGES_COUNT} changes: in force after {} ms in the median, {} ms at \
         most; {reads_per_s:.1} reads/s",
        delays[CHANGES_COUNT / 2].as_millis(),
        delays[CHANGES_COUNT - 1].as_millis(),
    );
    Ok(())
}
