//! Runs the real programs as processes on loopback, injects faults from outside,
//! and checks what callers and upstreams are promised (see docs/SOAK.md).

mod caller;
mod fault;
mod fleet;
mod proxy;
mod scene;
mod trainer;

use std::{
    path::PathBuf,
    process::{Command as Process, ExitCode, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::scene::{Plan, Seed};

/// Seeds that failed once, each with its cause; they are played again by
/// `--regressions`.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// The seeds that are played where the command line does not say.
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
        .about("Plays random faults on real processes and checks what they promise")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(number("seeds", "How many seeds to play [default: 5]"))
        .arg(number("from", "The first seed [default: drawn now]"))
        .arg(number("seed", "Play this seed only, in this process").conflicts_with("seeds"))
        .arg(number("hosts", "How many hosts [default: 4]"))
        .arg(number(
            "duration-s",
            "How long faults come, in seconds [default: 10]",
        ))
        .arg(number(
            "jobs",
            "How many seeds to play at once [default: 3]",
        ))
        .arg(
            Arg::new("regressions")
                .long("regressions")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["seeds", "seed", "from"])
                .help("Play the seeds that failed once"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/soak")
                .help("Where the logs of seeds go that fail"),
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
        return scene::play(&plan, *seed);
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
    play_all(
        &plan,
        &seeds,
        usize::try_from(number("jobs", 3)).context("--jobs")?,
    )
}

/// Returns the seeds in the list of those that failed once.
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

/// Plays each seed in a process of its own, `job_count` at once.
fn play_all(plan: &Plan, seeds: &[Seed], job_count: usize) -> Result<bool> {
    if seeds.is_empty() {
        bail!("no seed to play");
    }
    let program = std::env::current_exe().context("finding this program")?;
    let started = Instant::now();
    let mut waiting = seeds.iter();
    let mut playing = Vec::new();
    let mut failed = Vec::new();
    loop {
        while playing.len() < job_count.max(1)
            && let Some(seed) = waiting.next()
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
            playing.push((*seed, child));
        }
        if playing.is_empty() {
            break;
        }
        let mut still = Vec::new();
        for (seed, mut child) in playing {
            match child.try_wait().context("waiting for a seed")? {
                None => still.push((seed, child)),
                Some(status) if status.success() => {}
                Some(_) => failed.push(seed),
            }
        }
        playing = still;
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
