//! The command line of the operators' program.
//!
//! Each command exits with 0 on success, with 1 when what was asked did not
//! hold, and with 2 on wrong usage or input.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::settings::TelemetrySettings;

/// How a command shows its result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
    /// A page for the browser.
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
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo())
        .subcommand(replay())
        .subcommand(check_config())
        .subcommand(table())
        .subcommand(on_host(
            "status",
            "Shows hosts, upstreams, rows and what is wrong",
        ))
        .subcommand(explain())
        .subcommand(on_host("drain", "Stops the host gracefully"))
        .subcommand(report())
}

fn demo() -> Command {
    Command::new("demo")
        .about("Runs the whole path in one process on stand-ins, and holds it to its promises")
        .arg(number("seed", "Seeds every choice", "1"))
        .arg(number("duration-s", "How long the load runs", "10"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .action(ArgAction::Append)
                .help("Causes a fault; may be given several times"),
        )
        .arg(
            Arg::new("list-faults")
                .long("list-faults")
                .action(ArgAction::SetTrue)
                .help("Lists the faults and ends"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes a trace that replay accepts"),
        )
        .arg(format())
}

fn replay() -> Command {
    Command::new("replay")
        .about("Plays recorded traces through the real controllers against their stated outcomes")
        .arg(files())
        .arg(format())
}

fn check_config() -> Command {
    Command::new("check-config")
        .about("Says all that is wrong with settings files")
        .arg(files())
}

fn table() -> Command {
    Command::new("table")
        .about("Reads and edits the operators' table")
        .subcommand_required(true)
        .subcommand(on_table("get", "Shows the table, or one row").arg(row().required(false)))
        .subcommand(
            on_table("set", "Changes cells of a row")
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
            on_table("remove", "Removes a row")
                .arg(row())
                .arg(dry_run()),
        )
        .subcommand(on_table("history", "Shows who changed what and when"))
        .subcommand(on_table(
            "status",
            "Shows which hosts have which revision in force",
        ))
        .subcommand(on_table("export", "Writes the table as CSV"))
        .subcommand(
            on_table("import", "Reads the table from CSV")
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
    on_host(
        "explain",
        "Tells what was decided about an id, by whom, and from which figures",
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
            .help("Reads logs of hosts in place of asking one"),
    )
}

fn report() -> Command {
    Command::new("report")
        .about("Reports on the service")
        .subcommand_required(true)
        .subcommand(
            on_host(
                "burn",
                "Shows how fast each objective's error budget is used up",
            )
            .arg(recording())
            .arg(
                Arg::new("output")
                    .long("output")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("Writes to a file in place of standard output"),
            ),
        )
}

/// Starts a command that asks an entry host.
fn on_host(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address("host", "An entry host", "127.0.0.1:8080"))
        .arg(key())
        .arg(format())
}

/// Starts a command that asks the table server.
fn on_table(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address("table", "The table server", "127.0.0.1:8090"))
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
        .help("Holds the operator's key; without it the variable MIMOSAVANE_KEY does")
}

fn dry_run() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Checks the change and makes none")
}

fn row() -> Arg {
    Arg::new("row")
        .value_name("ROW")
        .required(true)
        .help("The row")
}

fn recording() -> Arg {
    Arg::new("from")
        .long("from")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Reads a file that demo --record wrote, in place of asking hosts")
}

fn files() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .action(ArgAction::Append)
        .required(true)
        .help("The files")
}

fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .value_parser(["text", "json", "html"])
        .default_value("text")
        .help("How to show the result")
}

/// Returns where the command line's own log goes: to the error output, quietly
/// unless the variable `RUST_LOG` asks for more.
pub fn telemetry() -> TelemetrySettings {
    TelemetrySettings {
        log_filter: std::env::var("RUST_LOG").unwrap_or_else(|_| "warn".to_owned()),
        ..TelemetrySettings::default()
    }
}

/// Returns the format that was asked for.
pub fn format_of(matches: &ArgMatches) -> Format {
    matches
        .get_one::<String>("format")
        .and_then(|name| name.parse().ok())
        .unwrap_or_default()
}
