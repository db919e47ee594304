//! Collects the log lines of many hosts that concern one id.
//!
//! Lines are JSON objects, optionally preceded by a time and a host name; see
//! docs/LOGS.md for the events.

use std::{collections::BTreeSet, fmt::Write as _};

use serde_json::{Map, Value};

/// The fields that contain ids.
const ID_FIELDS: [&str; 7] = ["id", "job", "item", "reward", "upstream", "model", "host"];

/// Events that affect all requests that are open at the time.
const GLOBAL_EVENTS: [&str; 9] = [
    "lease.taken",
    "lease.lost",
    "lease.released",
    "store.lost",
    "store.regained",
    "configuration.applied",
    "host.start",
    "host.stopping",
    "log.dropped",
];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// The last word before the JSON object, such as the host name.
    origin: String,
    fields: Map<String, Value>,
}

/// The log lines that concern one id, ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    lines: Vec<Line>,
    unreadable_count: usize,
    dropped_count: u64,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        // Only the host name is kept: the time before it differs on every line.
        let origin = text[..start].split_whitespace().last().unwrap_or_default();
        Some(Self {
            origin: origin.to_owned(),
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn mentions(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|field| ids.contains(self.text(field)))
    }
}

impl Timeline {
    /// Collects the lines of `logs` that concern `id`.
    ///
    /// These are the lines that mention it and, between the first and the last of
    /// them, the global events (such as changes of the lease or the store) and the
    /// load reports of the models that those lines mention.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::observe::log_story::Timeline;
    ///
    /// let log = r#"{"timestamp":"2026-01-01T00:00:00Z","event":"call.failed","id":"7c"}"#;
    /// assert!(Timeline::read("7c", [log]).is_known());
    /// assert!(!Timeline::read("8d", [log]).is_known());
    /// ```
    pub fn read<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut lines = Vec::new();
        let mut timeline = Self::default();
        for text in logs.into_iter().flat_map(str::lines) {
            match Line::parse(text) {
                Some(line) => lines.push(line),
                None if text.contains('{') => timeline.unreadable_count += 1,
                None => {}
            }
        }
        lines.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
        let ids = BTreeSet::from([id.to_owned()]);
        let matching: Vec<&Line> = lines.iter().filter(|line| line.mentions(&ids)).collect();
        let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
            return timeline;
        };
        let span = first.text("timestamp")..=last.text("timestamp");
        let models: BTreeSet<String> = matching
            .iter()
            .map(|line| line.text("model").to_owned())
            .filter(|model| !model.is_empty())
            .collect();
        for line in &lines {
            let is_in_span = span.contains(&line.text("timestamp"));
            let event = line.text("event");
            let is_related = is_in_span
                && (GLOBAL_EVENTS.contains(&event)
                    || (event == "model.load" && models.contains(line.text("model"))));
            if line.mentions(&ids) || is_related {
                let dropped = line.fields.get("new_count").and_then(Value::as_u64);
                timeline.dropped_count += dropped.unwrap_or(0);
                timeline.lines.push(line.clone());
            }
        }
        timeline
    }

    /// Returns whether any line mentions the id.
    pub const fn is_known(&self) -> bool {
        !self.lines.is_empty()
    }

    /// Formats the lines in order, followed by counts of the missing ones.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for line in &self.lines {
            let _ = write!(
                text,
                "{} {} {}",
                line.text("timestamp"),
                line.origin,
                line.text("event")
            );
            let shown = line
                .fields
                .iter()
                .filter(|(name, _)| !["timestamp", "level", "event"].contains(&name.as_str()));
            for (name, value) in shown {
                let _ = write!(text, " {name}={value}");
            }
            text.push('\n');
        }
        if !self.is_known() {
            text.push_str("no line names this id; its host's log may be missing\n");
        }
        if self.dropped_count > 0 {
            let _ = writeln!(text, "{} lines were dropped meanwhile", self.dropped_count);
        }
        if self.unreadable_count > 0 {
            let _ = writeln!(text, "{} lines could not be read", self.unreadable_count);
        }
        text
    }
}
