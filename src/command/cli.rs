//! The command line of the operators' program.
//!
//! Each command exits with 0 on success, with 1 if a check fails, an id is unknown
//! or the table server refuses a change, and with 2 on wrong usage or input.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{observe::build, settings::TelemetrySettings};

/// The output format of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON for other programs.
    Json,
    /// A web page.
    Html,
}

/// Builds the command line.
///
/// # Examples
///
/// ```
/// let matches = mimosavane::command::cli::build()
///     .try_get_matches_from(["mimosavane", "demo", "--seed", "7"])?;
/// assert_eq!(matches.subcommand_name(), Some("demo"));
/// # Ok::<(), clap::Error>(())
/// ```
pub fn build() -> Command {
    Command::new("mimosavane")
        .about("Operates a fleet of rollout hosts")
        .version(build::NAME)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo())
        .subcommand(replay())
        .subcommand(check_config())
        .subcommand(table())
        .subcommand(host_command(
            "status",
            "Shows hosts, upstreams, rows and what is wrong",
        ))
        .subcommand(explain())
        .subcommand(host_command("drain", "Stops the host gracefully"))
        .subcommand(report())
}

fn demo() -> Command {
    Command::new("demo")
        .about(
            "Runs a whole fleet in one process against simulated services, and checks its guarantees",
        )
        .arg(number("seed", "The seed of all random choices", "1"))
        .arg(number(
            "duration-s",
            "The duration of the load in seconds",
            "10",
        ))
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .action(ArgAction::Append)
                .help("Injects a fault; may be repeated"),
        )
        .arg(
            Arg::new("list-faults")
                .long("list-faults")
                .action(ArgAction::SetTrue)
                .help("Lists the faults and exits"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes a trace for the replay command"),
        )
        .arg(format())
}

fn replay() -> Command {
    Command::new("replay")
        .about(
            "Replays recorded traces through the real controllers and checks the expected outcomes",
        )
        .arg(files())
        .arg(format())
}

fn check_config() -> Command {
    Command::new("check-config")
        .about("Reports all mistakes in settings files")
        .arg(files())
}

fn table() -> Command {
    Command::new("table")
        .about("Reads and edits the operators' table")
        .subcommand_required(true)
        .subcommand(table_command("get", "Shows the table, or one row").arg(row().required(false)))
        .subcommand(
            table_command("set", "Changes cells of a row")
                .arg(row())
                .arg(
                    Arg::new("cell")
                        .value_name("COLUMN=VALUE")
                        .action(ArgAction::Append)
                        .required(true)
                        .help("The cells to change"),
                )
                .arg(dry_run()),
        )
        .subcommand(
            table_command("remove", "Removes a row")
                .arg(row())
                .arg(dry_run()),
        )
        .subcommand(table_command("history", "Shows who changed what and when"))
        .subcommand(table_command(
            "status",
            "Shows which hosts have which revision in force",
        ))
        .subcommand(table_command("export", "Writes the table as CSV"))
        .subcommand(
            table_command("import", "Reads the table from CSV")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .required(true)
                        .help("The CSV file"),
                )
                .arg(dry_run()),
        )
}

fn explain() -> Command {
    let id = Arg::new("id")
        .value_name("ID")
        .required(true)
        .help("A request, sample, step, change, upstream or host");
    host_command(
        "explain",
        "Shows the decisions about an id, with the deciding hosts and the figures used",
    )
    .arg(id)
    .arg(recording())
    .arg(
        Arg::new("logs")
            .long("logs")
            .value_name("FILE")
            .num_args(1..)
            .value_parser(value_parser!(PathBuf))
            .conflicts_with("from")
            .help("Reads log files of hosts instead of querying a host"),
    )
}

fn report() -> Command {
    Command::new("report")
        .about("Reports on the service")
        .subcommand_required(true)
        .subcommand(
            host_command(
                "burn",
                "Shows how fast each objective's error budget is used up",
            )
            .arg(recording())
            .arg(
                Arg::new("output")
                    .long("output")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("Writes to a file instead of standard output"),
            ),
        )
}

/// Builds a command that queries an entry host.
fn host_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address(
            "host",
            "The address of an entry host",
            "127.0.0.1:8080",
        ))
        .arg(key())
        .arg(format())
}

/// Builds a command that uses the table server.
fn table_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address(
            "table",
            "The address of the table server",
            "127.0.0.1:8090",
        ))
        .arg(key())
        .arg(format())
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn address(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .default_value(default)
        .help(help)
}

fn key() -> Arg {
    Arg::new("key-file")
        .long("key-file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The file with the operator's key; by default the key is read from the variable MIMOSAVANE_KEY")
}

fn dry_run() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Validates the change without making it")
}

fn row() -> Arg {
    Arg::new("row")
        .value_name("ROW")
        .required(true)
        .help("The name of the row")
}

fn recording() -> Arg {
    Arg::new("from")
        .long("from")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Reads a file written by demo --record instead of querying hosts")
}

fn files() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .action(ArgAction::Append)
        .required(true)
        .help("The files to read")
}

fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .value_parser(["text", "json", "html"])
        .default_value("text")
        .help("The output format")
}

/// Returns the log settings of the command line: it logs to standard error, at
/// level `warn` unless the variable `RUST_LOG` sets another filter.
pub fn telemetry() -> TelemetrySettings {
    TelemetrySettings {
        log_filter: std::env::var("RUST_LOG").unwrap_or_else(|_| "warn".to_owned()),
        ..TelemetrySettings::default()
    }
}

/// Returns the requested output format.
pub fn format_of(matches: &ArgMatches) -> Format {
    matches
        .get_one::<String>("format")
        .and_then(|name| name.parse().ok())
        .unwrap_or_default()
}
