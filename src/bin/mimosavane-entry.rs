//! The entry host: callers, trainers and peers.

use std::{
    io::stdout,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, Result};
use clap::{Arg, Command, value_parser};
use mimosavane::{
    entry::Running,
    host::drain::Requester,
    ingress::{
        detour::FallbackStore,
        host::{Host, HostSettings},
        log,
        metrics::Exposition,
    },
    observe::telemetry::{self, Metrics},
    platform::{PlatformWire, boot, store::PlatformStore},
    settings::Settings,
};
use tokio::signal::unix::{SignalKind, signal};

/// What is logged where the environment does not say.
const DEFAULT_LOG_FILTER: &str = "info";

fn main() -> ExitCode {
    let matches = Command::new("mimosavane-entry")
        .about("Serves callers, trainers and peers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The settings of this host; on the users' platform it finds its own"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .exclusive(true)
                .help("Only check the platform's settings in FILE"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .conflicts_with("settings")
                .help("Serve metrics as text on this port, on the users' platform"),
        )
        .get_matches();
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

/// Says all that is wrong with the platform's settings in a file.
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
            "give --settings FILE, or the platform's file in {}",
            boot::PATH_VARIABLE
        )
    })?;
    let mut settings = boot::load(&path).context("reading the settings")?;
    let own = settings.client_address.ip();
    settings.metrics_address = metrics_port.map(|port| SocketAddr::new(own, port));
    let log = log::start(DEFAULT_LOG_FILTER, stdout()).context("starting the log")?;
    // A machine has one core, so that a second thread would only add wake-ups.
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

/// Reads the settings anew whenever the platform says that they changed.
///
/// Addresses and bounds hold for a whole life of the process, so that a change is
/// checked and logged here and takes effect at the next start.
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
