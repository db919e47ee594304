//! The operators' command line.

use std::{collections::BTreeMap, path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, Result};
use clap::ArgMatches;
use mimosavane::{
    cli::{self, Format},
    demo::{self, Options, fault::Fault},
    replay,
    settings::TelemetrySettings,
    settings_check, telemetry,
    trace::Trace,
};

fn main() -> ExitCode {
    let matches = cli::build().get_matches();
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the command, and says whether what was asked held.
fn run(matches: &ArgMatches) -> Result<bool> {
    match matches.subcommand() {
        Some(("demo", matches)) => run_demo(matches),
        Some(("replay", matches)) => run_replay(matches),
        Some(("check-config", matches)) => check_config(matches),
        _ => Ok(false),
    }
}

fn faults(matches: &ArgMatches) -> Result<Vec<Fault>> {
    let names = matches.get_many::<String>("fault").into_iter().flatten();
    names
        .map(|name| {
            name.parse::<Fault>()
                .with_context(|| format!("--fault {name} (see --list-faults)"))
        })
        .collect()
}

/// Plays the traces one after the other, and says whether all outcomes held.
fn run_replay(matches: &ArgMatches) -> Result<bool> {
    let mut reports = BTreeMap::new();
    for path in files(matches) {
        let trace = Trace::load(path).with_context(|| path.display().to_string())?;
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        reports.insert(name.into_owned(), replay::play(&trace, true));
    }
    if cli::format_of(matches) == Format::Json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    } else {
        for (name, report) in &reports {
            println!("{name}\n{}", report.to_text());
        }
    }
    let held = reports.values().filter(|report| report.is_held()).count();
    eprintln!("{held} of {} traces held", reports.len());
    Ok(held == reports.len())
}

/// Prints all mistakes of the settings files, and says whether there are none.
fn check_config(matches: &ArgMatches) -> Result<bool> {
    let mut is_valid = true;
    for path in files(matches) {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        for mistake in settings_check::check(&path.display().to_string(), &text) {
            is_valid = false;
            println!("{mistake}");
        }
    }
    Ok(is_valid)
}

fn files(matches: &ArgMatches) -> impl Iterator<Item = &PathBuf> {
    matches.get_many::<PathBuf>("file").into_iter().flatten()
}

fn run_demo(matches: &ArgMatches) -> Result<bool> {
    if matches.get_flag("list-faults") {
        for fault in Fault::all() {
            println!("{fault:20} {}", fault.describe());
        }
        return Ok(true);
    }
    let options = Options {
        faults: faults(matches)?,
        seed: matches.get_one("seed").copied().unwrap_or_default(),
        duration: Duration::from_secs(matches.get_one("duration-s").copied().unwrap_or_default()),
    };
    let telemetry = TelemetrySettings {
        log_filter: std::env::var("RUST_LOG").unwrap_or_else(|_| "warn".to_owned()),
        ..TelemetrySettings::default()
    };
    telemetry::start_logs(&telemetry).context("starting the log")?;
    let runtime = tokio::runtime::Runtime::new().context("starting the demo's threads")?;
    let report = runtime
        .block_on(demo::run(&options))
        .context("running the demo")?;
    match cli::format_of(matches) {
        Format::Json => println!("{}", serde_json::to_string_pretty(&report)?),
        _ => print!("{}", report.to_text()),
    }
    Ok(report.is_held())
}
