//! The entry host: callers, trainers and peers.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, Result};
use clap::{Arg, Command, value_parser};
use mimosavane::{drain::Requester, entry::Running, settings::Settings, telemetry};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let matches = Command::new("mimosavane-entry")
        .about("Serves callers, trainers and peers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The settings of this host"),
        )
        .get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    match path.map(PathBuf::as_path).map(run).transpose() {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(path: &Path) -> Result<()> {
    let settings = Settings::load(path).context("reading the settings")?;
    telemetry::start_logs(&settings.telemetry).context("starting the log")?;
    let running = Running::start(settings).context("starting the host")?;
    running.wait(stop_signal());
    Ok(())
}

/// Waits for the platform to ask for a stop.
async fn stop_signal() -> Requester {
    match signal(SignalKind::terminate()) {
        Ok(mut terminated) => {
            terminated.recv().await;
        }
        Err(error) => {
            eprintln!("error: the stop signal cannot be watched: {error}");
            std::future::pending::<()>().await;
        }
    }
    Requester::Signal
}
