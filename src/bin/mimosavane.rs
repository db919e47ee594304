//! The operators' command line.

use std::{process::ExitCode, time::Duration};

use anyhow::{Context as _, Result};
use clap::ArgMatches;
use mimosavane::{
    command::{cli, host, trial},
    observe::telemetry,
    table::command,
};

/// The exit code if the checked condition does not hold.
const EXIT_FAILURE: u8 = 1;

/// The exit code for wrong usage or invalid input.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::build().get_matches();
    match run(&matches) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Runs the command and returns its exit code.
fn run(matches: &ArgMatches) -> Result<u8> {
    telemetry::start_logs(&cli::telemetry()).context("starting the log")?;
    let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
    let code = match matches.subcommand() {
        Some(("table", matches)) => run_table(&runtime, matches),
        Some((name @ ("demo" | "replay" | "check-config"), matches)) => {
            let output = runtime.block_on(trial::run(name, matches))?;
            print!("{}", output.text);
            if output.is_success { 0 } else { EXIT_FAILURE }
        }
        Some((name, matches)) => {
            let output = runtime.block_on(host::run(name, matches))?;
            print!("{}", output.text);
            if output.is_success { 0 } else { EXIT_FAILURE }
        }
        None => EXIT_USAGE,
    };
    runtime.shutdown_timeout(Duration::ZERO);
    Ok(code)
}

fn run_table(runtime: &tokio::runtime::Runtime, matches: &ArgMatches) -> u8 {
    match runtime.block_on(command::run(matches)) {
        Ok(text) => {
            print!("{text}");
            0
        }
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
