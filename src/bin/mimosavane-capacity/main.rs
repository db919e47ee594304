//! Measures the cost of the control plane at several fleet sizes and extrapolates
//! it to the size that the service is designed for.

#[expect(unsafe_code, reason = "an allocator is wrapped by unsafe code only")]
mod allocation;
#[path = "../mimosavane-bench/fixture.rs"]
#[expect(dead_code, reason = "the bench uses the rest")]
mod fixture;
mod fleet;
mod measure;
mod rollout;

use clap::{Arg, Command, builder::PossibleValuesParser, value_parser};
use mimosavane::observe::capacity;

#[global_allocator]
static ALLOCATOR: allocation::CountingAllocator = allocation::CountingAllocator;

fn main() {
    let matches = Command::new("mimosavane-capacity")
        .about("Measures how state, messages and time grow, and extrapolates them to full size.")
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .default_value("text")
                .help("Output format of the figures"),
        )
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .value_name("HOSTS")
                .value_delimiter(',')
                .value_parser(value_parser!(u16).range(1..))
                .default_value("12,50,75,100")
                .help("Numbers of hosts to measure, with six engines per host"),
        )
        .get_matches();
    let sizes: Vec<usize> = matches
        .get_many::<u16>("sizes")
        .into_iter()
        .flatten()
        .map(|size| usize::from(*size))
        .collect();
    let figures = measure::all(&sizes);
    let is_json = matches
        .get_one::<String>("format")
        .is_some_and(|format| format == "json");
    if is_json {
        println!("{}", capacity::json(&figures));
    } else {
        print!("{}", capacity::text(&figures));
    }
}
