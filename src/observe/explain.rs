//! Collection of decision records from all hosts into one account.
//!
//! See docs/EXPLAIN.md for what the account shows and how far its order holds.

use std::{io::BufRead, sync::Arc};

use comfy_table::{Table, presets};
use serde::{Deserialize, Serialize};

use crate::{
    control::decision::{Decision, Figure, Kind},
    ids::HostId,
};

/// What one host knows about the id that was asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The host.
    pub host: HostId,
    /// When the host's clock of decisions started, in milliseconds since the
    /// Unix epoch; 0 where that is not known.
    pub origin_unix_ms: u64,
    /// Its records, in the order they were made.
    pub records: Vec<Decision>,
}

/// A host that gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The host.
    pub host: HostId,
    /// Why, as the client says it.
    pub reason: Arc<str>,
}

/// One decision in the account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was made, in milliseconds after the first one.
    pub after_ms: u64,
    /// The host that decided.
    pub host: HostId,
    /// What kind of decision it was.
    pub kind: Kind,
    /// What was decided.
    pub what: Arc<str>,
    /// The ids that it was about.
    pub subjects: Vec<Arc<str>>,
    /// The figures that it was made from.
    pub figures: Vec<Figure>,
}

/// All that is known about one id, in order.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     control::decision::{Decision, Kind},
///     observe::explain::{Account, Answer},
/// };
/// use std::time::Duration;
///
/// let record = Decision::new(Kind::Step, Duration::ZERO, "accepted").about("guides/3");
/// let answer = Answer {
///     host: "entry-1".into(),
///     records: vec![record],
///     ..Answer::default()
/// };
/// let account = Account::merge("guides/3", [answer], []);
/// assert!(account.is_known());
/// assert!(account.to_text().contains("accepted"));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The id that was asked for.
    pub id: Arc<str>,
    /// The decisions, the earliest first.
    pub decisions: Vec<Entry>,
    /// The hosts that answered.
    pub hosts: Vec<HostId>,
    /// The hosts that did not, so that decisions may be missing.
    pub missing: Vec<Missing>,
}

/// Why a recording could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The file could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line, from 1.
        line: usize,
        /// What the system said.
        source: std::io::Error,
    },
    /// A line is not what a recording holds.
    #[error("line {line}: {source}")]
    Parse {
        /// The line, from 1.
        line: usize,
        /// What the reader said.
        source: serde_json::Error,
    },
}

/// The part of a recording's line that tells a decision.
#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    at_ms: u64,
    decision: Option<Decision>,
}

impl Account {
    /// Puts the answers of hosts in one order.
    ///
    /// Records of one host keep their order; those of several are ordered by
    /// the hosts' clocks, which may differ by some milliseconds.
    pub fn merge(
        id: impl Into<Arc<str>>,
        answers: impl IntoIterator<Item = Answer>,
        missing: impl IntoIterator<Item = Missing>,
    ) -> Self {
        let mut hosts = Vec::new();
        let mut records = Vec::new();
        for answer in answers {
            let mut last_ms = 0;
            for mut record in answer.records {
                if record.host.is_empty() {
                    record.host = answer.host.clone();
                }
                last_ms = last_ms.max(answer.origin_unix_ms.saturating_add(record.at_ms));
                records.push((last_ms, record));
            }
            hosts.push(answer.host);
        }
        hosts.sort();
        Self::of(id.into(), records, hosts, missing.into_iter().collect())
    }

    /// Reads the records about `id` from a recording.
    ///
    /// # Errors
    ///
    /// Fails on a line that is no JSON object, or whose decision is malformed.
    pub fn read(id: impl Into<Arc<str>>, recording: impl BufRead) -> Result<Self, RecordingError> {
        let id = id.into();
        let mut records = Vec::new();
        let mut hosts = Vec::new();
        for (index, text) in recording.lines().enumerate() {
            let line = index + 1;
            let text = text.map_err(|source| RecordingError::Read { line, source })?;
            if text.trim().is_empty() {
                continue;
            }
            let read: Line = serde_json::from_str(&text)
                .map_err(|source| RecordingError::Parse { line, source })?;
            let Some(decision) = read.decision else {
                continue;
            };
            if !hosts.contains(&decision.host) {
                hosts.push(decision.host.clone());
            }
            if decision.mentions(&id) {
                records.push((read.at_ms, decision));
            }
        }
        hosts.sort();
        Ok(Self::of(id, records, hosts, Vec::new()))
    }

    /// Says whether any host knows the id.
    pub fn is_known(&self) -> bool {
        !self.decisions.is_empty()
    }

    /// Says whether every host answered.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Writes the account for people.
    pub fn to_text(&self) -> String {
        let mut text = self.heading();
        if self.is_known() {
            let mut table = Table::new();
            table.load_preset(presets::NOTHING);
            table.set_header(["after ms", "host", "kind", "decision", "about", "figures"]);
            for entry in &self.decisions {
                table.add_row([
                    entry.after_ms.to_string(),
                    entry.host.to_string(),
                    entry.kind.to_string(),
                    entry.what.to_string(),
                    entry.subjects.join(" "),
                    figures(&entry.figures),
                ]);
            }
            text.push_str(&table.to_string());
            text.push('\n');
        }
        for missing in &self.missing {
            text.push_str(&format!(
                "no answer from {}: {}\n",
                missing.host, missing.reason
            ));
        }
        text
    }

    /// Orders records by their time, and keeps the order of equal ones.
    fn of(
        id: Arc<str>,
        mut records: Vec<(u64, Decision)>,
        hosts: Vec<HostId>,
        missing: Vec<Missing>,
    ) -> Self {
        records.sort_by_key(|(at_ms, _)| *at_ms);
        let first_ms = records.first().map_or(0, |(at_ms, _)| *at_ms);
        let decisions = records
            .into_iter()
            .map(|(at_ms, record)| Entry {
                after_ms: at_ms - first_ms,
                host: record.host,
                kind: record.kind,
                what: record.what,
                subjects: record.subjects,
                figures: record.figures,
            })
            .collect();
        Self {
            id,
            decisions,
            hosts,
            missing,
        }
    }

    fn heading(&self) -> String {
        let host_count = self.hosts.len();
        if !self.is_known() {
            return format!(
                "{}: unknown to the {host_count} hosts that answered\n",
                self.id
            );
        }
        let decision_count = self.decisions.len();
        format!(
            "{}: {decision_count} decisions, {host_count} hosts answered\n",
            self.id
        )
    }
}

/// Writes figures in one cell.
fn figures(figures: &[Figure]) -> String {
    let cells: Vec<String> = figures
        .iter()
        .map(|figure| format!("{}={}", figure.name, round(figure.value)))
        .collect();
    cells.join(" ")
}

/// Rounds to thousandths, which is finer than any figure is known.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
