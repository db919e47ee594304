//! Merges the decision records of all hosts about one id.
//!
//! See docs/EXPLAIN.md for the contents of an explanation and the limits of its
//! order.

use std::{io::BufRead, sync::Arc};

use comfy_table::{Table, presets};
use serde::{Deserialize, Serialize};

use crate::{
    control::decision::{Decision, Figure, Kind},
    ids::HostId,
};

/// One host's decision records about the requested id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The host.
    pub host: HostId,
    /// The origin of the record timestamps, in milliseconds since the Unix epoch;
    /// 0 if unknown.
    pub origin_unix_ms: u64,
    /// The host's records, in the order in which they were made.
    pub records: Vec<Decision>,
}

/// A host that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The host.
    pub host: HostId,
    /// The client's error.
    pub reason: Arc<str>,
}

/// One decision in an explanation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The time since the first decision.
    pub after_ms: u64,
    /// The host that decided.
    pub host: HostId,
    /// The kind of decision.
    pub kind: Kind,
    /// The decision itself.
    pub what: Arc<str>,
    /// The ids that the decision concerns.
    pub subjects: Vec<Arc<str>>,
    /// The figures on which the decision was based.
    pub figures: Vec<Figure>,
}

/// All recorded decisions about one id, in order of time.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     control::decision::{Decision, Kind},
///     observe::explain::{Answer, Explanation},
/// };
/// use std::time::Duration;
///
/// let record = Decision::new(Kind::Step, Duration::ZERO, "accepted").about("guides/3");
/// let answer = Answer {
///     host: "entry-1".into(),
///     records: vec![record],
///     ..Answer::default()
/// };
/// let explanation = Explanation::merge("guides/3", [answer], []);
/// assert!(explanation.is_known());
/// assert!(explanation.to_text().contains("accepted"));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The requested id.
    pub id: Arc<str>,
    /// The decisions, earliest first.
    pub decisions: Vec<Entry>,
    /// The hosts that answered.
    pub hosts: Vec<HostId>,
    /// The hosts that did not answer, whose decisions may be missing.
    pub missing: Vec<Missing>,
}

/// An error while reading a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The file could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line number, starting at 1.
        line: usize,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A line does not have the format of a recording.
    #[error("line {line}: {source}")]
    Parse {
        /// The line number, starting at 1.
        line: usize,
        /// The deserialiser's error.
        source: serde_json::Error,
    },
}

/// The part of a recorded line that contains a decision.
#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    at_ms: u64,
    decision: Option<Decision>,
}

impl Explanation {
    /// Merges the answers of hosts.
    ///
    /// Records of one host keep their order; records of different hosts are
    /// ordered by the hosts' clocks, which may differ by some milliseconds.
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
        Self::from_records(id.into(), records, hosts, missing.into_iter().collect())
    }

    /// Reads the records about `id` from a recording.
    ///
    /// # Errors
    ///
    /// Fails if a line is not a JSON object or its decision is malformed.
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
        Ok(Self::from_records(id, records, hosts, Vec::new()))
    }

    /// Returns whether any host has a decision about the id.
    pub fn is_known(&self) -> bool {
        !self.decisions.is_empty()
    }

    /// Returns whether every host answered.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Formats the explanation as text.
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

    /// Orders records by time; records of the same time keep their order.
    fn from_records(
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

/// Formats figures for one table cell.
fn figures(figures: &[Figure]) -> String {
    let cells: Vec<String> = figures
        .iter()
        .map(|figure| format!("{}={}", figure.name, round(figure.value)))
        .collect();
    cells.join(" ")
}

/// Rounds to thousandths, which is finer than the precision of any figure.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
