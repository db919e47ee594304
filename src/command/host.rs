//! The commands that ask an entry host: `status`, `explain`, `drain`, `report`.

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
        explain::{Account, RecordingError},
        log_story::Story,
    },
    settings::ObjectiveSettings,
    standin::client::{CallError, Client},
};

/// The variable that holds the operator's key where no file is named.
const KEY_VARIABLE: &str = "MIMOSAVANE_KEY";

/// How long one answer of a host may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The host's address is not one.
    #[error("--host {text}: not an address with a port")]
    Address {
        /// What was given.
        text: String,
    },
    /// No key was given.
    #[error("no key: name a file by --key-file or set {KEY_VARIABLE}")]
    NoKey,
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A recording could not be read.
    #[error(transparent)]
    Recording(#[from] RecordingError),
    /// The host did not answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The host refused.
    #[error("the host refused with status {status}: {detail}")]
    Refused {
        /// The status.
        status: StatusCode,
        /// What it said.
        detail: String,
    },
    /// The answer has another form than expected, or no JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A log cannot be read.
    #[error("{path}: {source}")]
    Log {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The page could not be drawn.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// Runs the command `name`.
///
/// # Errors
///
/// Fails on wrong input, and where the host refuses or does not answer.
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
    let status: Value = ask(matches, Method::GET, "/v1/status").await?;
    Ok(held(serde_json::to_string_pretty(&status)? + "\n"))
}

async fn drain(matches: &ArgMatches) -> Result<Output, CommandError> {
    let body = send(matches, Method::POST, "/v1/drain").await?;
    Ok(held(String::from_utf8_lossy(&body).into_owned()))
}

async fn explain(matches: &ArgMatches) -> Result<Output, CommandError> {
    let id = argument(matches, "id");
    if let Some(paths) = matches.get_many::<PathBuf>("logs") {
        return story(id, paths);
    }
    let account = match recording(matches)? {
        Some(file) => Account::read(id, file)?,
        None => ask(matches, Method::GET, &format!("/v1/explain/{id}")).await?,
    };
    let text = match cli::format_of(matches) {
        Format::Json => serde_json::to_string_pretty(&account)? + "\n",
        Format::Text | Format::Html => account.to_text(),
    };
    Ok(Output {
        text,
        is_held: account.is_known(),
    })
}

/// Puts the story of `id` together from log files.
fn story<'a>(
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
    let story = Story::read(id, logs.iter().map(String::as_str));
    Ok(Output {
        text: story.to_text(),
        is_held: story.is_known(),
    })
}

async fn burn(matches: &ArgMatches) -> Result<Output, CommandError> {
    let objectives = ObjectiveSettings::default();
    let report = match recording(matches)? {
        Some(file) => Report::read(&objectives, file)?,
        None => {
            let windows: Windows = ask(matches, Method::GET, "/v1/burn").await?;
            Report::merge(&objectives, windows.hosts, windows.missing)
        }
    };
    let text = match cli::format_of(matches) {
        Format::Json => serde_json::to_string_pretty(&report)? + "\n",
        Format::Text => report.to_text(),
        Format::Html => burn_page::page(&report, &objectives)?,
    };
    let is_held = report.is_held();
    let Some(path) = matches.get_one::<PathBuf>("output") else {
        return Ok(Output { text, is_held });
    };
    std::fs::write(path, text).map_err(|source| file_error(path, source))?;
    let text = String::new();
    Ok(Output { text, is_held })
}

const fn held(text: String) -> Output {
    Output {
        text,
        is_held: true,
    }
}

/// Opens the recording that was named, where one was.
fn recording(matches: &ArgMatches) -> Result<Option<BufReader<File>>, CommandError> {
    let Some(path) = matches.get_one::<PathBuf>("from") else {
        return Ok(None);
    };
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    Ok(Some(BufReader::new(file)))
}

async fn ask<T: DeserializeOwned>(
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
    let unknown = |_| CommandError::Address {
        text: text.to_owned(),
    };
    let address = text.parse::<SocketAddr>().map_err(unknown)?;
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
