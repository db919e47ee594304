//! The commands that query an entry host: `status`, `explain`, `drain`, `report`.

use std::{
    fs::{self, File},
    io::{self, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::ArgMatches;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    command::{
        cli::{self, Format},
        trial::Output,
    },
    entry::collect::Windows,
    observe::{
        burn_page::{self, PageError},
        burn_report::Report,
        explain::{Explanation, RecordingError},
        log_story::Timeline,
    },
    settings::ObjectiveSettings,
    standin::client::{CallError, Client},
};

/// The variable with the operator's key, used if no file is given.
const KEY_VARIABLE: &str = "MIMOSAVANE_KEY";

/// The timeout of a request to a host.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The host's address is invalid.
    #[error("--host {text}: not an IP address with a port")]
    Address {
        /// The text given.
        text: String,
    },
    /// Neither a key file nor the key variable is set.
    #[error("no key: pass --key-file or set {KEY_VARIABLE}")]
    NoKey,
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A recording could not be read.
    #[error(transparent)]
    Recording(#[from] RecordingError),
    /// The request to the host failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The host refused the request.
    #[error("the host refused the request with status {status}: {detail}")]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The body of the response.
        detail: String,
    },
    /// The response or the result could not be converted from or to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A log file could not be read.
    #[error("{path}: {source}")]
    Log {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The page could not be rendered.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// Runs the command `name`.
///
/// # Errors
///
/// Fails on invalid input, and if the host refuses or does not answer.
pub async fn run(name: &str, matches: &ArgMatches) -> Result<Output, CommandError> {
    match name {
        "status" => status(matches).await,
        "explain" => explain(matches).await,
        "drain" => drain(matches).await,
        _ => match matches.subcommand() {
            Some((_, matches)) => burn(matches).await,
            None => burn(matches).await,
        },
    }
}

async fn status(matches: &ArgMatches) -> Result<Output, CommandError> {
    let status: Value = fetch_json(matches, Method::GET, "/v1/status").await?;
    Ok(success(serde_json::to_string_pretty(&status)? + "\n"))
}

async fn drain(matches: &ArgMatches) -> Result<Output, CommandError> {
    let body = send(matches, Method::POST, "/v1/drain").await?;
    Ok(success(String::from_utf8_lossy(&body).into_owned()))
}

async fn explain(matches: &ArgMatches) -> Result<Output, CommandError> {
    let id = argument(matches, "id");
    if let Some(paths) = matches.get_many::<PathBuf>("logs") {
        return timeline(id, paths);
    }
    let explanation = match recording(matches)? {
        Some(file) => Explanation::read(id, file)?,
        None => fetch_json(matches, Method::GET, &format!("/v1/explain/{id}")).await?,
    };
    let text = match cli::format_of(matches) {
        Format::Json => serde_json::to_string_pretty(&explanation)? + "\n",
        Format::Text | Format::Html => explanation.to_text(),
    };
    Ok(Output {
        text,
        is_success: explanation.is_known(),
    })
}

/// Shows the log lines about `id` from log files.
fn timeline<'a>(
    id: &str,
    paths: impl IntoIterator<Item = &'a PathBuf>,
) -> Result<Output, CommandError> {
    let mut logs = Vec::new();
    for path in paths {
        let text = fs::read_to_string(path).map_err(|source| CommandError::Log {
            path: path.clone(),
            source,
        })?;
        logs.push(text);
    }
    let timeline = Timeline::read(id, logs.iter().map(String::as_str));
    Ok(Output {
        text: timeline.to_text(),
        is_success: timeline.is_known(),
    })
}

async fn burn(matches: &ArgMatches) -> Result<Output, CommandError> {
    let (report, objectives) = match recording(matches)? {
        Some(file) => {
            // A recording is made by the demo, which runs with the default ones.
            let objectives = ObjectiveSettings::default();
            (Report::read(&objectives, file)?, objectives)
        }
        None => {
            let windows: Windows = fetch_json(matches, Method::GET, "/v1/burn").await?;
            let objectives = windows.objectives.clone();
            (windows.report(), objectives)
        }
    };
    let text = match cli::format_of(matches) {
        Format::Json => serde_json::to_string_pretty(&report)? + "\n",
        Format::Text => report.to_text(),
        Format::Html => burn_page::page(&report, &objectives)?,
    };
    let is_success = report.is_met();
    let Some(path) = matches.get_one::<PathBuf>("output") else {
        return Ok(Output { text, is_success });
    };
    std::fs::write(path, text).map_err(|source| file_error(path, source))?;
    let text = String::new();
    Ok(Output { text, is_success })
}

const fn success(text: String) -> Output {
    Output {
        text,
        is_success: true,
    }
}

/// Opens the recording given by `--from`, if any.
fn recording(matches: &ArgMatches) -> Result<Option<BufReader<File>>, CommandError> {
    let Some(path) = matches.get_one::<PathBuf>("from") else {
        return Ok(None);
    };
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    Ok(Some(BufReader::new(file)))
}

async fn fetch_json<T: DeserializeOwned>(
    matches: &ArgMatches,
    method: Method,
    path: &str,
) -> Result<T, CommandError> {
    let body = send(matches, method, path).await?;
    Ok(serde_json::from_slice(&body)?)
}

async fn send(
    matches: &ArgMatches,
    method: Method,
    path: &str,
) -> Result<bytes::Bytes, CommandError> {
    let text = argument(matches, "host");
    let invalid = |_| CommandError::Address {
        text: text.to_owned(),
    };
    let address = text.parse::<SocketAddr>().map_err(invalid)?;
    let bearer = format!("Bearer {}", key(matches)?);
    let headers = [("authorization", bearer.as_str())];
    let client = Client::new(TIMEOUT);
    let answer = client.send(method, address, path, &headers, "").await?;
    if answer.status.is_success() {
        return Ok(answer.body);
    }
    Err(CommandError::Refused {
        status: answer.status,
        detail: String::from_utf8_lossy(&answer.body).into_owned(),
    })
}

fn key(matches: &ArgMatches) -> Result<String, CommandError> {
    let key = match matches.get_one::<PathBuf>("key-file") {
        Some(path) => std::fs::read_to_string(path).map_err(|source| file_error(path, source))?,
        None => std::env::var(KEY_VARIABLE).map_err(|_| CommandError::NoKey)?,
    };
    Ok(key.trim().to_owned())
}

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches
        .get_one::<String>(name)
        .map(String::as_str)
        .unwrap_or_default()
}

fn file_error(path: &Path, source: io::Error) -> CommandError {
    CommandError::File {
        path: path.display().to_string(),
        source,
    }
}
