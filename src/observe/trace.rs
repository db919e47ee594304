//! Recorded traces: what the outside did, and what must come of it.
//!
//! The format is JSON Lines and described in docs/TRACES.md. A line that says
//! something unknown is refused with its number and its field.

use std::{path::Path, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use crate::{clock::Timestamp, control::decision::Decision, observe::burn::HostWindows};

pub use crate::observe::trace_event::{
    EnginePart, Event, Figure, Header, HostPart, ListedState, Outcome, World,
};

/// The format that this program reads and writes.
pub const FORMAT: &str = "mimosavane-trace/1";

/// What is wrong with a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// There is no first line.
    #[error("line 1: the header is missing")]
    Empty,
    /// A line is not what the format says.
    #[error("line {line}, field {field}: {message}")]
    Line {
        /// The number of the line, from 1 on.
        line: usize,
        /// The field, or the event where no field is at fault.
        field: String,
        /// What is wrong with it.
        message: String,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// When it happens.
    pub at: Timestamp,
    /// What happens.
    pub event: Event,
}

/// A whole trace.
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
    /// The first line.
    pub header: Header,
    /// The events in the order of their times.
    pub events: Vec<Timed>,
    /// What the hosts said that wrote the trace; replay passes over it.
    pub records: Vec<Record>,
}

/// What a host of the run that wrote the trace said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// When it was said.
    pub at_ms: u64,
    /// A decision, for `mimosavane explain`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decision: Option<Decision>,
    /// Service-level windows, for `mimosavane report burn`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burn: Option<HostWindows>,
}

/// One line behind the header.
enum Entry {
    Event(Timed),
    Record(Record),
}

impl Trace {
    /// Reads a trace from its file.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or a line is wrong.
    pub fn load(path: &Path) -> Result<Self, TraceError> {
        let text = std::fs::read_to_string(path).map_err(|source| TraceError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads a trace from text.
    ///
    /// # Errors
    ///
    /// Fails on the first line that is wrong.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = text.lines().zip(1..).filter(|(line, _)| !line.is_empty());
        let (first, number) = lines.next().ok_or(TraceError::Empty)?;
        let header = decode::<Header>(parse_line(first, number)?, number)?;
        if header.format != FORMAT {
            return Err(line_error(number, "format", "not a format that is known"));
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

    /// Writes the trace as text.
    ///
    /// # Errors
    ///
    /// Fails where a value has no JSON form.
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

/// Turns the event's name into the field that the format asks for.
fn event_line(timed: &Timed) -> Result<Value, serde_json::Error> {
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
        return Err(line_error(number, "event", "a line is a JSON object"));
    };
    if fields.contains_key("decision") || fields.contains_key("burn") {
        return decode(Value::Object(fields), number).map(Entry::Record);
    }
    parse_event(fields, number).map(Entry::Event)
}

fn parse_event(mut fields: Map<String, Value>, number: usize) -> Result<Timed, TraceError> {
    let at_ms = fields
        .remove("at_ms")
        .and_then(|value| value.as_u64())
        .ok_or_else(|| line_error(number, "at_ms", "a whole number of milliseconds is missing"))?;
    let name = match fields.remove("event") {
        Some(Value::String(name)) => name,
        _ => return Err(line_error(number, "event", "the event's name is missing")),
    };
    let tagged = Map::from_iter([(name, Value::Object(fields))]);
    Ok(Timed {
        at: Duration::from_millis(at_ms),
        event: decode(Value::Object(tagged), number)?,
    })
}

/// Decodes a value, and names the field that is at fault.
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
