//! The operators' command line.

use std::{process::ExitCode, time::Duration};

use anyhow::{Context, Result};
use clap::ArgMatches;
use mimosavane::{
    cli::{self, Format},
    demo::{self, Options, fault::Fault},
    settings::TelemetrySettings,
    telemetry,
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
