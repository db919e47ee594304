//! Recorded traces: external events and the outcomes that a replay must reach.
//!
//! The format is JSON Lines, described in docs/TRACES.md. A line with an unknown
//! event or field is rejected with its line number and the field.

use std::{path::Path, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use crate::{clock::Timestamp, control::decision::Decision, observe::burn::HostWindows};

pub use crate::observe::trace_event::{
    Event, Figure, Header, InitialEngine, InitialHost, InitialState, ListedState, Outcome,
};

/// The trace format that is read and written.
pub const FORMAT: &str = "mimosavane-trace/1";

/// An error while reading a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The trace is empty.
    #[error("line 1: the header is missing")]
    Empty,
    /// A line does not follow the format.
    #[error("line {line}, field {field}: {message}")]
    Line {
        /// The line number, starting at 1.
        line: usize,
        /// The invalid field, or the event if no single field is invalid.
        field: String,
        /// A description of the error.
        message: String,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// The time of the event.
    pub at: Timestamp,
    /// The event.
    pub event: Event,
}

/// A parsed trace.
///
/// # Examples
///
/// ```
/// use mimosavane::observe::trace::Trace;
///
/// let text = r#"{"format":"mimosavane-trace/1","title":"none","promise":"none","seed":1,"duration_ms":10,"settings":{},"outcomes":[]}
/// {"at_ms":5,"event":"new-weights","version":2}
/// "#;
/// let trace = Trace::parse(text)?;
/// assert_eq!(trace.events.len(), 1);
/// let wrong = text.replace("version", "wersion");
/// let error = Trace::parse(&wrong).unwrap_err().to_string();
/// assert!(error.starts_with("line 2, field"), "{error}");
/// # Ok::<(), mimosavane::observe::trace::TraceError>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The header, which is the first line.
    pub header: Header,
    /// The events, ordered by time.
    pub events: Vec<TimedEvent>,
    /// The records of the hosts that wrote the trace; replay ignores them.
    pub records: Vec<Record>,
}

/// A record of a host from the run that wrote the trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The time of the record.
    pub at_ms: u64,
    /// A decision, for `mimosavane explain`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decision: Option<Decision>,
    /// Service-level windows, for `mimosavane report burn`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burn: Option<HostWindows>,
}

/// One line after the header.
enum Entry {
    Event(TimedEvent),
    Record(Record),
}

impl Trace {
    /// Loads a trace from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a line is invalid.
    pub fn load(path: &Path) -> Result<Self, TraceError> {
        let text = std::fs::read_to_string(path).map_err(|source| TraceError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses a trace from text.
    ///
    /// # Errors
    ///
    /// Fails on the first invalid line.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = text.lines().zip(1..).filter(|(line, _)| !line.is_empty());
        let (first, number) = lines.next().ok_or(TraceError::Empty)?;
        let header = decode::<Header>(parse_line(first, number)?, number)?;
        if header.format != FORMAT {
            return Err(line_error(number, "format", "unsupported trace format"));
        }
        let mut events = Vec::new();
        let mut records = Vec::new();
        for (line, number) in lines {
            match parse_entry(line, number)? {
                Entry::Event(timed) => events.push(timed),
                Entry::Record(record) => records.push(record),
            }
        }
        events.sort_by_key(|timed| timed.at);
        Ok(Self {
            header,
            events,
            records,
        })
    }

    /// Serialises the trace as text.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be represented in JSON.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut text = serde_json::to_string(&self.header)?;
        text.push('\n');
        for timed in &self.events {
            text.push_str(&serde_json::to_string(&event_line(timed)?)?);
            text.push('\n');
        }
        for record in &self.records {
            text.push_str(&serde_json::to_string(record)?);
            text.push('\n');
        }
        Ok(text)
    }
}

/// Serialises an event with its name in the field `event`, as the format requires.
fn event_line(timed: &TimedEvent) -> Result<Value, serde_json::Error> {
    let mut line = Map::new();
    let at_ms = u64::try_from(timed.at.as_millis()).unwrap_or(u64::MAX);
    line.insert("at_ms".to_owned(), at_ms.into());
    if let Value::Object(tagged) = serde_json::to_value(&timed.event)? {
        for (name, fields) in tagged {
            line.insert("event".to_owned(), name.into());
            if let Value::Object(fields) = fields {
                line.extend(fields);
            }
        }
    }
    Ok(Value::Object(line))
}

fn parse_line(line: &str, number: usize) -> Result<Value, TraceError> {
    serde_json::from_str(line).map_err(|error| {
        let field = format!("column {}", error.column());
        line_error(number, field, error)
    })
}

fn parse_entry(line: &str, number: usize) -> Result<Entry, TraceError> {
    let Value::Object(fields) = parse_line(line, number)? else {
        return Err(line_error(number, "event", "a line must be a JSON object"));
    };
    if fields.contains_key("decision") || fields.contains_key("burn") {
        return decode(Value::Object(fields), number).map(Entry::Record);
    }
    parse_event(fields, number).map(Entry::Event)
}

fn parse_event(mut fields: Map<String, Value>, number: usize) -> Result<TimedEvent, TraceError> {
    let at_ms = fields
        .remove("at_ms")
        .and_then(|value| value.as_u64())
        .ok_or_else(|| line_error(number, "at_ms", "must be a whole number of milliseconds"))?;
    let name = match fields.remove("event") {
        Some(Value::String(name)) => name,
        _ => return Err(line_error(number, "event", "the event name is missing")),
    };
    let tagged = Map::from_iter([(name, Value::Object(fields))]);
    Ok(TimedEvent {
        at: Duration::from_millis(at_ms),
        event: decode(Value::Object(tagged), number)?,
    })
}

/// Decodes a value; an error includes the path of the invalid field.
fn decode<T: DeserializeOwned>(value: Value, line: usize) -> Result<T, TraceError> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| line_error(line, error.path().to_string(), error.inner()))
}

fn line_error(line: usize, field: impl Into<String>, message: impl ToString) -> TraceError {
    TraceError::Line {
        line,
        field: field.into(),
        message: message.to_string(),
    }
}
