//! The command `check-config` of `mimosavane-entry`: checks an operator's configuration
//! before it is sent (see docs/operators/check-config.md).

use std::{
    fs::File,
    io::{self, Read as _},
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::{
    command::cli,
    ingress::{
        configuration_check::{self, Context, Format, InForce, Report, Severity, Undecodable},
        stored,
        wire::Wire,
    },
    store::rows::{RowError, RowRange, RowStore},
};

/// The name of the command.
pub const NAME: &str = "check-config";

/// The largest file that is read. A row of the store holds far less.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// The number of rows read per call. The range has one.
const PAGE_ROW_COUNT: usize = 10;

/// The result of a check, whose number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// There are no findings, or only notes.
    Passed = 0,
    /// There are errors.
    Errors = 1,
    /// There are warnings and no errors.
    Warnings = 2,
    /// The configuration could not be checked.
    Unchecked = 3,
}

/// Why a configuration could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is too large for a configuration.
    #[error("{path}: the file has more than {MAX_FILE_BYTES} bytes")]
    TooLarge {
        /// The path of the file.
        path: PathBuf,
    },
    /// The store gives no readable answer.
    #[error("the store at {address}: {source}")]
    Store {
        /// The address of the store.
        address: SocketAddr,
        /// The error of the call.
        source: RowError,
    },
    /// The configuration in force cannot be decoded.
    #[error("{origin}: the configuration in force cannot be decoded: {source}")]
    InForce {
        /// The file or the store.
        origin: String,
        /// The error of the decoder.
        source: Undecodable,
    },
}

/// What the command prints for machines.
#[derive(Serialize)]
struct Page<'a> {
    file: &'a str,
    verdict: Verdict,
    failure: Option<String>,
    report: Option<&'a Report>,
}

/// What the command prints, and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The text for standard output.
    pub text: String,
    /// The text for standard error.
    pub failure: Option<String>,
    /// The verdict.
    pub verdict: Verdict,
}

/// Builds the command line of the command.
pub fn command() -> Command {
    let file = |name: &'static str| {
        Arg::new(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
    };
    Command::new(NAME)
        .about("Checks an operator's configuration before it is sent")
        .after_help(
            "Exit codes: 0 no findings or only notes, 1 errors, 2 warnings only, 3 not checked",
        )
        .arg(
            file("file")
                .required(true)
                .help("The configuration, as JSON"),
        )
        .arg(
            file("in-force")
                .long("in-force")
                .conflicts_with("store")
                .help("The configuration in force, with which FILE is compared"),
        )
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("The address of the store that has the configuration in force"),
        )
        .arg(
            Arg::new("memory-mb")
                .long("memory-mb")
                .value_name("MB")
                .value_parser(value_parser!(u64).range(1..))
                .help("The memory of the smallest host, in megabytes"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_name("FORMAT")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("The output format"),
        )
}

/// Runs the command. `open` returns a client of the store at an address.
pub async fn run<W: Wire + Format, S: RowStore>(
    matches: &ArgMatches,
    open: impl FnOnce(SocketAddr) -> S,
) -> Outcome {
    let result = check::<W, S>(matches, open).await;
    let verdict = result.as_ref().map_or(Verdict::Unchecked, verdict);
    let failure = result.as_ref().err().map(ToString::to_string);
    let report = result.ok();
    let text = match cli::format_of(matches) {
        cli::Format::Json => {
            let page = Page {
                file: &file(matches, "file").map_or_else(String::new, |path| path_text(path)),
                verdict,
                failure: failure.clone(),
                report: report.as_ref(),
            };
            // Strings and numbers can always be encoded as JSON.
            let mut text = serde_json::to_string_pretty(&page).unwrap_or_default();
            text.push('\n');
            text
        }
        _ => report.map_or_else(String::new, |report| report.to_string()),
    };
    Outcome {
        text,
        failure,
        verdict,
    }
}

fn verdict(report: &Report) -> Verdict {
    match report.severity() {
        Some(Severity::Error) => Verdict::Errors,
        Some(Severity::Warning) => Verdict::Warnings,
        Some(Severity::Note) | None => Verdict::Passed,
    }
}

async fn check<W: Wire + Format, S: RowStore>(
    matches: &ArgMatches,
    open: impl FnOnce(SocketAddr) -> S,
) -> Result<Report, CheckError> {
    let text = read(file(matches, "file").map_or(Path::new(""), PathBuf::as_path))?;
    let in_force = if let Some(path) = file(matches, "in-force") {
        decode::<W>(&read(path)?, || path_text(path))?
    } else if let Some(address) = matches.get_one::<SocketAddr>("store") {
        let stored =
            read_stored::<W>(&open(*address))
                .await
                .map_err(|source| CheckError::Store {
                    address: *address,
                    source,
                })?;
        match stored {
            Some(text) => decode::<W>(&text, || format!("the store at {address}"))?,
            None => InForce::Nothing,
        }
    } else {
        InForce::Unknown
    };
    let context = Context {
        in_force,
        memory_mb: matches.get_one("memory-mb").copied(),
    };
    Ok(configuration_check::check::<W>(&text, &context))
}

fn file<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a PathBuf> {
    matches.get_one(name)
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}

fn read(path: &Path) -> Result<Vec<u8>, CheckError> {
    let mut text = Vec::new();
    // One byte more than allowed shows that the file is too large.
    File::open(path)
        .and_then(|file| file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text))
        .map_err(|source| CheckError::Read {
            path: path.to_owned(),
            source,
        })?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(CheckError::TooLarge {
            path: path.to_owned(),
        });
    }
    Ok(text)
}

fn decode<W: Format>(text: &[u8], origin: impl FnOnce() -> String) -> Result<InForce, CheckError> {
    let draft = W::draft(text).map_err(|source| CheckError::InForce {
        origin: origin(),
        source,
    })?;
    Ok(InForce::Known(draft.into()))
}

/// Reads the row with the configuration in force, if the store has it.
async fn read_stored<W: Wire>(store: &impl RowStore) -> Result<Option<Vec<u8>>, RowError> {
    let range = RowRange {
        table: W::OPERATOR_TABLE,
        partition: String::new(),
        from: W::CONFIGURATION_KEY.to_owned(),
        to: format!("{}{}", W::CONFIGURATION_KEY, stored::KEY_SUCCESSOR),
        limit_count: PAGE_ROW_COUNT,
    };
    let rows = stored::read_all(store, range).await?;
    Ok(rows
        .into_iter()
        .find(|row| row.key == W::CONFIGURATION_KEY && !row.is_removed)
        .map(|row| row.value.to_vec()))
}
