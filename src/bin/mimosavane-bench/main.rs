//! Measures the cost of decisions and compares the figures with their bounds.
//!
//! Exits with 1 if a bound is exceeded, and with 2 on wrong usage.

#[expect(unsafe_code, reason = "an allocator is wrapped by unsafe code only")]
mod allocation;
mod bounds;
mod fixture;
mod measure;

use std::process::ExitCode;

use bounds::{Bound, Bounds, BoundsError};
use clap::{Arg, Command, builder::PossibleValuesParser};
use measure::Figures;
use serde::Serialize;

#[global_allocator]
static ALLOCATOR: allocation::CountingAllocator = allocation::CountingAllocator;

/// The exit code for wrong usage or invalid input.
const EXIT_USAGE: u8 = 2;

/// A measured figure and its bound, if it has one.
#[derive(Debug, Serialize)]
struct Line {
    figure: String,
    value: f64,
    max: Option<f64>,
    holds: Option<bool>,
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches.get_one::<String>("bounds").map(String::as_str);
    let is_json = matches
        .get_one::<String>("format")
        .is_some_and(|format| format == "json");
    match run(path, is_json) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("mimosavane-bench: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn command() -> Command {
    Command::new("mimosavane-bench")
        .about("Measures the cost of decisions and prints each figure, its bound and verdict.")
        .arg(
            Arg::new("bounds")
                .long("bounds")
                .value_name("FILE")
                .help("File of bounds to use instead of the default ones"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .default_value("text")
                .help("Output format of the figures"),
        )
}

/// Measures and prints the figures, and returns whether all bounds hold.
fn run(path: Option<&str>, is_json: bool) -> Result<bool, BoundsError> {
    let bounds = Bounds::load(path)?;
    let figures = measure::all(|part| eprintln!("measuring: {part}"));
    let lines = compare_with_bounds(&figures, &bounds.bounds, path)?;
    if is_json {
        println!("{}", serde_json::json!({ "figures": lines }));
    } else {
        lines.iter().for_each(print);
    }
    Ok(lines.iter().all(|line| line.holds != Some(false)))
}

/// Matches each figure with its bound.
///
/// # Errors
///
/// Returns an error if a bound names a figure that is not measured.
fn compare_with_bounds(
    figures: &Figures,
    bounds: &[Bound],
    path: Option<&str>,
) -> Result<Vec<Line>, BoundsError> {
    let unknown = bounds
        .iter()
        .find(|bound| !figures.contains_key(bound.figure.as_str()));
    if let Some(bound) = unknown {
        return Err(BoundsError::UnknownFigure {
            path: path.unwrap_or("benches/bounds.yaml").to_owned(),
            figure: bound.figure.clone(),
        });
    }
    let lines = figures.iter().map(|(figure, value)| {
        let bound = bounds.iter().find(|bound| bound.figure == *figure);
        Line {
            figure: (*figure).to_owned(),
            value: *value,
            max: bound.map(|bound| bound.max),
            holds: bound.map(|bound| *value <= bound.max),
        }
    });
    Ok(lines.collect())
}

fn print(line: &Line) {
    let verdict = match line.holds {
        Some(true) => "holds",
        Some(false) => "DOES NOT HOLD",
        None => "-",
    };
    let max = line.max.map_or("-".to_owned(), |max| max.to_string());
    println!(
        "{:<30} {:>12.4} {:>10}  {verdict}",
        line.figure, line.value, max
    );
}
