//! Puts the story of one id together from the logs of many hosts.
//!
//! It reads plain log files, and lines that have a time and a host's name before
//! the JSON object; see docs/LOGS.md for the events.

use std::{collections::BTreeSet, fmt::Write as _};

use serde_json::{Map, Value};

/// The fields that hold ids.
const ID_FIELDS: [&str; 6] = ["id", "job", "item", "upstream", "model", "host"];

/// Events that concern all requests of their time.
const COMMON_EVENTS: [&str; 9] = [
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

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// What stands before the object, such as the host.
    origin: String,
    fields: Map<String, Value>,
}

/// The lines that concern one id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    lines: Vec<Line>,
    unreadable_count: usize,
    dropped_count: u64,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        // The time before a host's name differs from line to line.
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

    fn names(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|field| ids.contains(self.text(field)))
    }
}

impl Story {
    /// Collects from `logs` what concerns `id`: the lines that name it, and what
    /// happened to its job's model, the lease and the store meanwhile.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::observe::log_story::Story;
    ///
    /// let log = r#"{"timestamp":"2026-01-01T00:00:00Z","event":"call.failed","id":"7c"}"#;
    /// assert!(Story::read("7c", [log]).is_known());
    /// assert!(!Story::read("8d", [log]).is_known());
    /// ```
    pub fn read<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut all = Vec::new();
        let mut story = Self::default();
        for text in logs.into_iter().flat_map(str::lines) {
            match Line::parse(text) {
                Some(line) => all.push(line),
                None if text.contains('{') => story.unreadable_count += 1,
                None => {}
            }
        }
        all.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
        let ids = BTreeSet::from([id.to_owned()]);
        let own: Vec<&Line> = all.iter().filter(|line| line.names(&ids)).collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return story;
        };
        let span = first.text("timestamp")..=last.text("timestamp");
        let models: BTreeSet<String> = own
            .iter()
            .map(|line| line.text("model").to_owned())
            .filter(|model| !model.is_empty())
            .collect();
        for line in &all {
            let is_meanwhile = span.contains(&line.text("timestamp"));
            let event = line.text("event");
            let is_related = is_meanwhile
                && (COMMON_EVENTS.contains(&event)
                    || (event == "model.load" && models.contains(line.text("model"))));
            if line.names(&ids) || is_related {
                let dropped = line.fields.get("new_count").and_then(Value::as_u64);
                story.dropped_count += dropped.unwrap_or(0);
                story.lines.push(line.clone());
            }
        }
        story
    }

    /// Says whether any line names the id.
    pub const fn is_known(&self) -> bool {
        !self.lines.is_empty()
    }

    /// Returns the lines in order, one each, and what is missing.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
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
