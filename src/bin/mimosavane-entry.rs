//! The entry host, which serves callers, trainers and peers.

use std::{
    io::{Write as _, stdout},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use mimosavane::{
    command::configuration::{self, Verdict},
    connection::{Limits, Pool},
    entry::Running,
    host::drain::Requester,
    ingress::{
        detour::FallbackStore,
        host::{Host, HostSettings},
        log,
        metrics::Exposition,
    },
    observe::{
        build,
        telemetry::{self, Metrics},
    },
    platform::{PlatformWire, boot, store::PlatformStore},
    settings::Settings,
};
use tokio::signal::unix::{SignalKind, signal};

/// The log filter used if the environment sets none.
const DEFAULT_LOG_FILTER: &str = "info";

fn main() -> ExitCode {
    let matches = match command_line().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => return explain(&error),
    };
    if let Some((configuration::NAME, matches)) = matches.subcommand() {
        return check_configuration(matches);
    }
    let metrics_port = matches.get_one::<u16>("metrics-port").copied();
    if let Some(path) = matches.get_one::<PathBuf>("check") {
        return check(path);
    }
    let result = match matches.get_one::<PathBuf>("settings") {
        Some(path) => run(path),
        None => run_on_platform(metrics_port),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn command_line() -> Command {
    Command::new("mimosavane-entry")
        .about("Serves callers, trainers and peers")
        .version(build::NAME)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help(
                    "Settings file of this host; without it, the boot file of the platform is used",
                ),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .exclusive(true)
                .help("Check the platform's settings in FILE and exit"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .conflicts_with("settings")
                .help("Port that serves metrics as text; only on the platform"),
        )
        .args_conflicts_with_subcommands(true)
        .subcommand(configuration::command())
}

/// Prints an error of the command line, or the help. The exit code of wrong usage is that of
/// warnings of a check, for which another one is returned therefore.
fn explain(error: &clap::Error) -> ExitCode {
    // Without an open output there is nobody to tell.
    drop(error.print());
    let is_check = std::env::args_os().any(|argument| argument == configuration::NAME);
    match error.exit_code() {
        0 => ExitCode::SUCCESS,
        _ if is_check => ExitCode::from(Verdict::Unchecked as u8),
        _ => ExitCode::from(2),
    }
}

/// Checks an operator's configuration.
fn check_configuration(matches: &ArgMatches) -> ExitCode {
    let open = |address| PlatformStore::new(Pool::new(Limits::default()), address);
    let result = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| {
            let outcome = runtime.block_on(configuration::run::<PlatformWire, _>(matches, open));
            stdout().write_all(outcome.text.as_bytes())?;
            Ok(outcome)
        });
    match result {
        Ok(outcome) => {
            if let Some(failure) = outcome.failure {
                eprintln!("error: {failure}");
            }
            ExitCode::from(outcome.verdict as u8)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(Verdict::Unchecked as u8)
        }
    }
}

/// Checks the platform's settings in a file and prints every error in them.
fn check(path: &Path) -> ExitCode {
    match boot::load(path) {
        Ok(settings) => {
            println!("{}: settings of {}", path.display(), settings.host);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
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

fn run_on_platform(metrics_port: Option<u16>) -> Result<()> {
    let path = boot::path().with_context(|| {
        format!(
            "pass --settings FILE, or set {} to the platform's settings file",
            boot::PATH_VARIABLE
        )
    })?;
    let mut settings = boot::load(&path).context("reading the settings")?;
    let own = settings.client_address.ip();
    settings.metrics_address = metrics_port.map(|port| SocketAddr::new(own, port));
    let log = log::start(DEFAULT_LOG_FILTER, stdout()).context("starting the log")?;
    // The machines have one core each, where a second thread would only add wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(serve(settings, log, path))
}

async fn serve(settings: HostSettings, log: log::Log, path: PathBuf) -> Result<()> {
    let exposition = Exposition::default();
    let metrics = Metrics::with_sink(exposition.clone());
    let store_address = settings.store_address;
    let (name, relay_address) = (settings.host.clone(), settings.relay_address);
    let host = Host::<_, PlatformWire>::with_store(settings, metrics, exposition, |pool| {
        FallbackStore::new(PlatformStore::new(pool, store_address), name, relay_address)
    });
    tokio::select! {
        result = host.run(async { drop(stop_signal().await) }) => result.context("listening"),
        () = log.report_drops() => Ok(()),
        () = reload_on_signal(&path) => Ok(()),
    }
}

/// Re-reads the settings whenever the platform signals that they changed.
///
/// Addresses and bounds are fixed while the process runs, so a change is only
/// checked and logged here. It takes effect at the next start.
async fn reload_on_signal(path: &Path) {
    let mut hung_up = match signal(SignalKind::hangup()) {
        Ok(hung_up) => hung_up,
        Err(error) => {
            tracing::error!(event = "settings.unwatched", %error);
            return std::future::pending().await;
        }
    };
    while hung_up.recv().await.is_some() {
        match boot::load(path) {
            Ok(settings) => tracing::info!(event = "settings.reloaded", host = &*settings.host),
            Err(error) => tracing::error!(event = "settings.refused", %error),
        }
    }
}

/// Waits for the platform's request to stop.
async fn stop_signal() -> Requester {
    match signal(SignalKind::terminate()) {
        Ok(mut terminated) => {
            terminated.recv().await;
        }
        Err(error) => {
            eprintln!("error: cannot listen for the stop signal: {error}");
            std::future::pending::<()>().await;
        }
    }
    Requester::Signal
}
