//! The command `mimosavane table` (see docs/operators/table.md).

use std::{
    io,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::ArgMatches;
use serde::Serialize;

use crate::{
    command::cli::{self, Format},
    table::{
        api::TableBody,
        client::{ClientError, TableClient},
        column::{CellError, CellFault},
        view,
    },
};

/// The environment variable with the operator's key, used without `--key-file`.
const KEY_VARIABLE: &str = "MIMOSAVANE_KEY";

/// The timeout of a request to the table server.
const TIMEOUT: Duration = Duration::from_secs(15);

/// The number of changes that `history` prints.
const HISTORY_CHANGES_COUNT: usize = 100;

/// Why the command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// No key was given.
    #[error("no key: pass --key-file or set {KEY_VARIABLE}")]
    NoKey,
    /// The table cannot be printed in this format.
    #[error("the table can be printed as text or json, not as {0}")]
    Format(Format),
    /// The result could not be encoded as JSON.
    #[error("failed to encode the result as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The subcommand is missing or unknown.
    #[error("unknown command")]
    Unknown,
    /// The table server refused the request or did not answer.
    #[error("{}", describe_error(.0))]
    Client(#[from] ClientError),
}

impl CommandError {
    /// Returns the exit code: 2 for invalid usage or input, 1 for other errors.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Client(error) if !error.is_usage_error() => 1,
            Self::Json(_) => 1,
            _ => 2,
        }
    }
}

fn describe_error(error: &ClientError) -> String {
    match error {
        ClientError::Refused(problem) => view::problem(problem).trim_end().to_owned(),
        other => other.to_string(),
    }
}

/// Runs the command and returns the output to print.
///
/// # Errors
///
/// Fails on invalid input, and if the table server refuses the request or does
/// not answer.
pub async fn run(matches: &ArgMatches) -> Result<String, CommandError> {
    let (name, matches) = matches.subcommand().ok_or(CommandError::Unknown)?;
    let format = cli::format_of(matches);
    if format == Format::Html {
        return Err(CommandError::Format(format));
    }
    let client = client(matches)?;
    let dry_run = has_flag(matches, "dry-run");
    match name {
        "get" => {
            let row = argument(matches, "row");
            let table = select_row(client.get().await?, row)?;
            let text = row.map_or(view::table as fn(&TableBody) -> String, |_| view::rows);
            render(format, &table, text)
        }
        "set" => {
            let cells = matches.get_many::<String>("cell").into_iter().flatten();
            let cells: Vec<_> = cells.collect();
            let row = argument(matches, "row").unwrap_or_default();
            let accepted = client.set(row, &cells, dry_run).await?;
            render(format, &accepted, |accepted| {
                view::accepted(accepted, dry_run)
            })
        }
        "remove" => {
            let row = argument(matches, "row").unwrap_or_default();
            let accepted = client.remove(row, dry_run).await?;
            render(format, &accepted, |accepted| {
                view::accepted(accepted, dry_run)
            })
        }
        "history" => {
            let history = client.history(HISTORY_CHANGES_COUNT).await?;
            render(format, &history, view::history)
        }
        "status" => render(format, &client.status().await?, view::status),
        "export" => Ok(client.export().await?),
        "import" => {
            let path = matches.get_one::<PathBuf>("file");
            let text = read_file(path.ok_or(CommandError::Unknown)?)?;
            let accepted = client.import(&text, dry_run).await?;
            render(format, &accepted, |accepted| {
                view::accepted(accepted, dry_run)
            })
        }
        _ => Err(CommandError::Unknown),
    }
}

fn render<T: Serialize>(
    format: Format,
    result: &T,
    text: impl Fn(&T) -> String,
) -> Result<String, CommandError> {
    match format {
        Format::Json => Ok(serde_json::to_string_pretty(result)? + "\n"),
        Format::Text | Format::Html => Ok(text(result)),
    }
}

/// Returns the table with only the requested row, if one is given.
fn select_row(mut table: TableBody, row: Option<&str>) -> Result<TableBody, CommandError> {
    let Some(row) = row else {
        return Ok(table);
    };
    table.rows.retain(|present| &*present.id == row);
    if table.rows.is_empty() {
        let unknown = CellError::new(&row.into(), "id", CellFault::UnknownRow);
        return Err(ClientError::from(unknown).into());
    }
    Ok(table)
}

fn client(matches: &ArgMatches) -> Result<TableClient, CommandError> {
    let address = argument(matches, "table").unwrap_or_default();
    let url = if address.contains("://") {
        address.to_owned()
    } else {
        format!("http://{address}")
    };
    Ok(TableClient::new(url, read_key(matches)?, TIMEOUT))
}

fn read_key(matches: &ArgMatches) -> Result<String, CommandError> {
    match matches.get_one::<PathBuf>("key-file") {
        Some(path) => Ok(read_file(path)?.trim().to_owned()),
        None => std::env::var(KEY_VARIABLE).map_err(|_| CommandError::NoKey),
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::Read {
        path: path.to_owned(),
        source,
    })
}

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    let value = matches.try_get_one::<String>(name).ok().flatten();
    value.map(String::as_str)
}

fn has_flag(matches: &ArgMatches, name: &str) -> bool {
    let value = matches.try_get_one::<bool>(name).ok().flatten();
    value.copied().unwrap_or(false)
}
