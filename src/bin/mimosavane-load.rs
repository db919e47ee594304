//! Measures the latency that an entry host adds to calls and its throughput of
//! streams.

use std::process::ExitCode;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use mimosavane::{
    experiment::load::{self, Options, Report},
    observe::build,
};

fn command() -> Command {
    Command::new("mimosavane-load")
        .about("Compares an entry host with a direct connection; exits with 1 if a bound is missed")
        .version(build::NAME)
        .arg(count(
            "calls-count",
            "Number of short calls in each measurement",
            "20000",
        ))
        .arg(count(
            "chunks-count",
            "Number of chunks in each stream",
            "100000",
        ))
        .arg(
            Arg::new("core")
                .long("core")
                .value_name("NUMBER")
                .value_parser(value_parser!(u32))
                .help("Run mimosavane-entry on this core only, through taskset"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_name("FORMAT")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format of the figures"),
        )
}

fn count(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(32..))
        .default_value(default)
        .help(help)
}

/// The exit code for wrong usage or invalid input.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Measures, prints the report, and returns whether all bounds hold.
fn run(matches: &ArgMatches) -> anyhow::Result<bool> {
    let report = measure(&options(matches)).context("measuring")?;
    let format = matches.get_one::<String>("format");
    if format.is_some_and(|format| format == "json") {
        let json = serde_json::to_string(&report).context("encoding the figures")?;
        println!("{json}");
    } else {
        print!("{}", report.text());
    }
    Ok(report.holds())
}

fn options(matches: &ArgMatches) -> Options {
    let number = |name| matches.get_one(name).copied().unwrap_or_default();
    Options {
        call_count: number("calls-count"),
        chunk_count: number("chunks-count"),
        core: matches.get_one("core").copied(),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn measure(options: &Options) -> Result<Report, load::LoadError> {
    load::run(options).await
}
