//! The commands that need no running fleet: `demo`, `replay` and `check-config`.

use std::{
    collections::BTreeMap,
    io,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::ArgMatches;

use crate::{
    command::cli::{self, Format},
    demo::{self, Options, cluster::ClusterError, fault::Fault},
    observe::trace::{Trace, TraceError},
    replay,
    settings::check,
};

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The text to print.
    pub text: String,
    /// Whether all checks passed and the requested id is known.
    pub is_success: bool,
}

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// There is no fault with this name.
    #[error("--fault {name}: unknown fault; use --list-faults to list all faults")]
    Fault {
        /// The name given.
        name: String,
    },
    /// A trace is invalid.
    #[error("{path}: {source}")]
    Trace {
        /// The path of the file.
        path: String,
        /// The error in the trace.
        source: TraceError,
    },
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The demo could not be set up.
    #[error(transparent)]
    Demo(#[from] ClusterError),
    /// The result cannot be represented in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs the command `name`.
///
/// # Errors
///
/// Fails on invalid input, and if the demo cannot be set up.
pub async fn run(name: &str, matches: &ArgMatches) -> Result<Output, CommandError> {
    match name {
        "demo" if matches.get_flag("list-faults") => Ok(list_faults()),
        "demo" => run_demo(matches).await,
        "replay" => run_replay(matches),
        _ => check_config(matches),
    }
}

fn list_faults() -> Output {
    let lines = Fault::all().map(|fault| format!("{fault:20} {}\n", fault.describe()));
    Output {
        text: lines.collect(),
        is_success: true,
    }
}

async fn run_demo(matches: &ArgMatches) -> Result<Output, CommandError> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let options = Options {
        seed: number("seed"),
        duration: Duration::from_secs(number("duration-s")),
        faults: faults(matches)?,
    };
    let (report, recording) = demo::run(&options).await?;
    if let Some(path) = matches.get_one::<PathBuf>("record") {
        std::fs::write(path, recording.to_text()?).map_err(|source| file_error(path, source))?;
    }
    let text = match cli::format_of(matches) {
        Format::Json => serde_json::to_string_pretty(&report.document())? + "\n",
        Format::Text | Format::Html => report.to_text(),
    };
    Ok(Output {
        text,
        is_success: report.is_held(),
    })
}

fn faults(matches: &ArgMatches) -> Result<Vec<Fault>, CommandError> {
    let names = matches.get_many::<String>("fault").into_iter().flatten();
    names
        .map(|name| {
            let unknown = |_| CommandError::Fault { name: name.clone() };
            name.parse().map_err(unknown)
        })
        .collect()
}

/// Replays the traces one after another.
fn run_replay(matches: &ArgMatches) -> Result<Output, CommandError> {
    let mut reports = BTreeMap::new();
    for path in files(matches) {
        let trace = Trace::load(path).map_err(|source| CommandError::Trace {
            path: path.display().to_string(),
            source,
        })?;
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        reports.insert(name.into_owned(), replay::play(&trace, true));
    }
    let held_count = reports.values().filter(|report| report.is_held()).count();
    let text = match cli::format_of(matches) {
        Format::Json => serde_json::to_string_pretty(&reports)? + "\n",
        Format::Text | Format::Html => {
            let parts = reports
                .iter()
                .map(|(name, report)| format!("{name}\n{}\n", report.to_text()));
            parts.collect::<String>() + &format!("{held_count} of {} traces held\n", reports.len())
        }
    };
    Ok(Output {
        text,
        is_success: held_count == reports.len(),
    })
}

fn check_config(matches: &ArgMatches) -> Result<Output, CommandError> {
    let mut text = String::new();
    for path in files(matches) {
        let settings = std::fs::read_to_string(path).map_err(|source| file_error(path, source))?;
        for mistake in check::check(&path.display().to_string(), &settings) {
            text.push_str(&format!("{mistake}\n"));
        }
    }
    Ok(Output {
        is_success: text.is_empty(),
        text,
    })
}

fn files(matches: &ArgMatches) -> impl Iterator<Item = &PathBuf> {
    matches.get_many::<PathBuf>("file").into_iter().flatten()
}

fn file_error(path: &Path, source: io::Error) -> CommandError {
    CommandError::File {
        path: path.display().to_string(),
        source,
    }
}
