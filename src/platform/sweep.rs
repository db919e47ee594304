//! Reads the entry that the users' bench leaves for a sweep of fleet sizes.

use std::path::Path;

use serde::Deserialize;

use crate::observe::sweep::{Series, Sweep};

/// The heading of the table in the text of an entry.
const TABLE_HEADING: &str = "middle / busiest or longest, by own machines";

/// The start of the line after the table.
const TABLE_END: &str = "power:";

/// Why an entry cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not an entry.
    #[error("{path}: {source}")]
    Format {
        /// The path of the file.
        path: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The entry has no table of a sweep.
    #[error("the entry {id} has no table of a sweep")]
    NoTable {
        /// The id of the entry.
        id: String,
    },
    /// A line of the table cannot be read.
    #[error("the line {line:?} of the table cannot be read")]
    Line {
        /// The line.
        line: String,
    },
}

#[derive(Debug, Deserialize)]
struct EntryDocument {
    id: String,
    site: String,
    /// The text that the bench printed.
    digest: String,
    days: Vec<DayDocument>,
}

#[derive(Debug, Deserialize)]
struct DayDocument {
    /// The number of own machines.
    balancers: usize,
    /// The number of upstreams.
    servers: usize,
    served: f64,
    failed: f64,
    /// The parts of the score: name, weight and value.
    parts: Vec<(String, f64, f64)>,
}

/// Reads the sweep in the journal entry at `path`.
///
/// # Errors
///
/// Fails if the file is not an entry of a sweep.
pub fn read(path: &Path) -> Result<Sweep, SweepError> {
    let shown = || path.display().to_string();
    let text = std::fs::read(path).map_err(|source| SweepError::File {
        path: shown(),
        source,
    })?;
    let entry: EntryDocument =
        serde_json::from_slice(&text).map_err(|source| SweepError::Format {
            path: shown(),
            source,
        })?;
    let mut series = vec![
        share("served", &entry.days, |day| day.served),
        share("failed", &entry.days, |day| day.failed),
        share("worst kind of request", &entry.days, |day| {
            let part = day.parts.iter().find(|(name, ..)| name == "worst class");
            part.map_or(0.0, |(_, _, value)| *value)
        }),
    ];
    series.extend(read_table(&entry)?);
    Ok(Sweep {
        entry: entry.id,
        site: entry.site,
        host_counts: entry.days.iter().map(|day| day.balancers).collect(),
        upstream_counts: entry.days.iter().map(|day| day.servers).collect(),
        series,
    })
}

fn share(name: &str, days: &[DayDocument], value: impl Fn(&DayDocument) -> f64) -> Series {
    Series {
        name: name.to_owned(),
        middle: Vec::new(),
        busiest: days.iter().map(value).collect(),
        power: None,
        at_target: None,
    }
}

fn read_table(entry: &EntryDocument) -> Result<Vec<Series>, SweepError> {
    let mut lines = entry
        .digest
        .lines()
        .skip_while(|line| !line.starts_with(TABLE_HEADING))
        .skip(2)
        .take_while(|line| !line.starts_with(TABLE_END))
        .peekable();
    if lines.peek().is_none() {
        return Err(SweepError::NoTable {
            id: entry.id.clone(),
        });
    }
    lines.map(read_line).collect()
}

/// Reads a line: a name, a pair "middle / busiest" for each size, and the power and
/// the value at the target.
fn read_line(line: &str) -> Result<Series, SweepError> {
    let failure = || SweepError::Line {
        line: line.to_owned(),
    };
    let number = |text: &str| text.trim().parse::<f64>().map_err(|_| failure());
    let columns: Vec<&str> = line
        .split("  ")
        .map(str::trim)
        .filter(|column| !column.is_empty())
        .collect();
    let [name, pairs @ .., power, at_target] = columns.as_slice() else {
        return Err(failure());
    };
    let mut middle = Vec::new();
    let mut busiest = Vec::new();
    for pair in pairs {
        let (first, second) = pair.split_once('/').ok_or_else(failure)?;
        middle.push(number(first)?);
        busiest.push(number(second)?);
    }
    Ok(Series {
        name: (*name).to_owned(),
        middle,
        busiest,
        power: Some(number(power)?),
        at_target: Some(number(at_target)?),
    })
}
