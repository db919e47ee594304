//! Serves the operators' table over HTTP.

use std::{net::TcpListener, path::PathBuf, process::ExitCode};

use anyhow::{Context as _, Result};
use clap::{Arg, Command, value_parser};
use mimosavane::{
    observe::{build, telemetry},
    settings::Settings,
    table::server::{Server, State},
};
use tokio::signal::unix::{SignalKind, signal};

/// The number of threads that handle requests.
const WORKER_THREADS_COUNT: usize = 2;

fn main() -> ExitCode {
    let matches = Command::new("mimosavane-table")
        .about("Serves the operators' table: a JSON and CSV interface and a web page")
        .version(build::NAME)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings file of this host"),
        )
        .get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    match path.map(|path| Settings::load(path)).transpose() {
        Ok(Some(settings)) => serve(&settings),
        Ok(None) => ExitCode::from(2),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(2)
        }
    }
}

fn serve(settings: &Settings) -> ExitCode {
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(settings: &Settings) -> Result<()> {
    telemetry::start_logs(&settings.telemetry).context("starting the log")?;
    let address = settings.table.http_address;
    let listener = TcpListener::bind(address).with_context(|| format!("listening on {address}"))?;
    let state = State::new(settings, rand::random()).context("reading the settings")?;
    let server =
        Server::start(state, listener, WORKER_THREADS_COUNT).context("starting the server")?;
    tracing::info!(%address, "serving the table");
    let mut terminated = signal(SignalKind::terminate()).context("waiting for signals")?;
    tokio::select! {
        _ = terminated.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    server.stop().context("stopping the server")
}
