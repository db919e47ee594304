//! Serves the operators' table.

use std::{net::TcpListener, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::{Arg, Command, value_parser};
use mimosavane::{
    settings::Settings,
    table_server::{Server, State},
};
use tokio::signal::unix::{SignalKind, signal};

/// The threads that answer requests.
const WORKER_THREADS_COUNT: usize = 2;

/// The exit code for wrong usage or input.
const USAGE_CODE: u8 = 2;

fn command() -> Command {
    Command::new("mimosavane-table")
        .about("Serves the operators' table: an interface in JSON and CSV, and a page")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings of the host, in YAML"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: Option<&PathBuf> = matches.get_one("settings");
    let settings = match path.map(|path| Settings::load(path)) {
        Some(Ok(settings)) => settings,
        Some(Err(error)) => {
            eprintln!("mimosavane-table: {error}");
            return ExitCode::from(USAGE_CODE);
        }
        None => return ExitCode::from(USAGE_CODE),
    };
    match serve(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosavane-table: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn serve(settings: &Settings) -> anyhow::Result<()> {
    let address = settings.table.http_address;
    let listener = TcpListener::bind(address).with_context(|| format!("listening on {address}"))?;
    let seed = rand::random();
    let state = State::new(settings, seed).context("reading the settings")?;
    let server = Server::start(state, listener, WORKER_THREADS_COUNT).context("starting")?;
    println!("the table is served on http://{address}/");
    let mut terminated = signal(SignalKind::terminate()).context("waiting for signals")?;
    tokio::select! {
        _ = terminated.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    server.stop().context("stopping")
}
