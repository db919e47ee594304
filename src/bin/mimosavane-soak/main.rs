//! Runs the real programs as processes on loopback, injects faults from outside,
//! and checks the promises to callers and upstreams (see docs/SOAK.md).

mod accounts;
mod caller;
mod fault;
mod fleet;
mod proxy;
mod scene;
mod stream;
mod trainer;

use std::{
    path::PathBuf,
    process::{Command as Process, ExitCode, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use mimosavane::observe::build;

use crate::scene::{Plan, Seed};

/// Seeds that failed before, each with its cause; `--regressions` runs them again.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// The default number of seeds to run.
const DEFAULT_SEED_COUNT: u64 = 5;

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("mimosavane-soak")
        .about("Injects random faults into real processes and checks their promises")
        .version(build::NAME)
        .arg(number("seeds", "Number of seeds to run [default: 5]"))
        .arg(number("from", "First seed [default: random]"))
        .arg(number("seed", "Run only this seed, in this process").conflicts_with("seeds"))
        .arg(number("hosts", "Number of hosts [default: 4]"))
        .arg(number(
            "duration-s",
            "How long to inject faults, in seconds [default: 10]",
        ))
        .arg(number(
            "jobs",
            "Number of seeds to run in parallel [default: 3]",
        ))
        .arg(
            Arg::new("regressions")
                .long("regressions")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["seeds", "seed", "from"])
                .help("Run the seeds that failed before"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/soak")
                .help("Folder for the logs of failed seeds"),
        )
}

fn run(matches: &ArgMatches) -> Result<bool> {
    let number =
        |name: &str, default: u64| matches.get_one::<u64>(name).copied().unwrap_or(default);
    let plan = Plan {
        host_count: usize::try_from(number("hosts", 4)).context("--hosts")?,
        duration: Duration::from_secs(number("duration-s", 10)),
        logs: matches
            .get_one::<PathBuf>("logs")
            .cloned()
            .unwrap_or_default(),
    };
    if let Some(seed) = matches.get_one::<u64>("seed") {
        return scene::run_seed(&plan, *seed);
    }
    let seeds: Vec<Seed> = if matches.get_flag("regressions") {
        regressions()?
    } else {
        let first = matches
            .get_one::<u64>("from")
            .copied()
            .unwrap_or_else(|| rand::random::<u32>().into());
        (first..first + number("seeds", DEFAULT_SEED_COUNT)).collect()
    };
    run_seeds(
        &plan,
        &seeds,
        usize::try_from(number("jobs", 3)).context("--jobs")?,
    )
}

/// Returns the seeds that failed before.
fn regressions() -> Result<Vec<Seed>> {
    REGRESSIONS
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| {
            let seed = line.split_whitespace().next().unwrap_or_default();
            seed.parse()
                .with_context(|| format!("regressions.txt: {line}"))
        })
        .collect()
}

/// Runs each seed in a process of its own, up to `job_count` in parallel, and
/// returns whether all of them passed.
fn run_seeds(plan: &Plan, seeds: &[Seed], job_count: usize) -> Result<bool> {
    if seeds.is_empty() {
        bail!("no seeds to run");
    }
    let program = std::env::current_exe().context("finding this program")?;
    let started = Instant::now();
    let mut queued = seeds.iter();
    let mut running = Vec::new();
    let mut failed = Vec::new();
    loop {
        while running.len() < job_count.max(1)
            && let Some(seed) = queued.next()
        {
            let child = Process::new(&program)
                .args(["--seed", &seed.to_string()])
                .args(["--hosts", &plan.host_count.to_string()])
                .args(["--duration-s", &plan.duration.as_secs().to_string()])
                .arg("--logs")
                .arg(&plan.logs)
                .stdin(Stdio::null())
                .spawn()
                .context("starting a seed")?;
            running.push((*seed, child));
        }
        if running.is_empty() {
            break;
        }
        let mut still_running = Vec::new();
        for (seed, mut child) in running {
            match child.try_wait().context("waiting for a seed")? {
                None => still_running.push((seed, child)),
                Some(status) if status.success() => {}
                Some(_) => failed.push(seed),
            }
        }
        running = still_running;
        std::thread::sleep(Duration::from_millis(50));
    }
    println!(
        "{} seeds in {} s, {} failed{}",
        seeds.len(),
        started.elapsed().as_secs(),
        failed.len(),
        failed
            .iter()
            .fold(String::new(), |text, seed| format!("{text} {seed}")),
    );
    Ok(failed.is_empty())
}
