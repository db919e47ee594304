//! Orders engines to load weights and adapters and to change roles.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::Context as _;
use clap::{Arg, Command, value_parser};
use mimosavane::{
    observe::{build, telemetry},
    settings::Settings,
    store::client::{Budget, HttpTableService},
    weights::steward,
};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for wrong usage or invalid input.
const EXIT_USAGE: u8 = 2;

fn command() -> Command {
    Command::new("mimosavane-steward")
        .about("Orders engines to load weights and adapters and to change roles")
        .version(build::NAME)
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the host, in YAML"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: Option<&PathBuf> = matches.get_one("settings");
    let settings = match path.map(|path| Settings::load(path)) {
        Some(Ok(settings)) => settings,
        Some(Err(error)) => {
            eprintln!("mimosavane-steward: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
        None => return ExitCode::from(EXIT_USAGE),
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosavane-steward: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn serve(settings: Settings) -> anyhow::Result<()> {
    telemetry::start_logs(&settings.telemetry).context("starting the log")?;
    let table = HttpTableService::new(
        settings.platform.table_service_url.clone(),
        Duration::from_millis(settings.platform.timeout_ms),
        Budget::from(&settings.platform),
        rand::random(),
    )
    .context("reading the address of the table service")?;
    let mut terminated = signal(SignalKind::terminate()).context("waiting for signals")?;
    println!("orders are given by {}", settings.host.id);
    steward::run(settings, table, async move {
        tokio::select! {
            _ = terminated.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    })
    .await;
    Ok(())
}
