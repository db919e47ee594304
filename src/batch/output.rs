//! The output of an item while it grows, and the parts of it that are saved.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    batch::job::{EventNumber, JobHead},
    ids::WeightVersion,
};

/// One event of an output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Event {
    length_bytes: u32,
    version: WeightVersion,
}

/// The output of an item so far; its first event has the number 1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    text: String,
    events: Vec<Event>,
}

/// Some events of an output in a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputPart {
    /// The number of its first event.
    pub first_event: EventNumber,
    events: Vec<Event>,
    text: String,
}

impl OutputPart {
    /// Returns the number of its last event.
    pub const fn last_event(&self) -> EventNumber {
        self.first_event + self.events.len() as EventNumber - 1
    }
}

impl Output {
    /// Returns the number of the last event; 0 before the first.
    pub const fn last_event(&self) -> EventNumber {
        self.events.len() as EventNumber
    }

    /// Returns the versions of the weights that generated it.
    pub fn versions(&self) -> BTreeSet<WeightVersion> {
        self.events.iter().map(|event| event.version).collect()
    }

    /// Returns the data of all events, separated by line feeds.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Adds the event `number`, and says whether it is the one that was due.
    pub fn push(&mut self, number: EventNumber, data: &str, version: WeightVersion) -> bool {
        let Ok(length_bytes) = u32::try_from(data.len()) else {
            return false;
        };
        if number != self.last_event() + 1 {
            return false;
        }
        if !self.events.is_empty() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.events.push(Event {
            length_bytes,
            version,
        });
        true
    }

    /// Says whether a run under `version` may go on with this output.
    pub fn admits(&self, head: &JobHead, version: WeightVersion) -> bool {
        version >= head.min_version
            && (!head.single_version || self.events.iter().all(|event| event.version == version))
    }

    /// Says whether `head` allows the versions that generated it.
    pub fn serves(&self, head: &JobHead) -> bool {
        let versions = self.versions();
        versions.iter().all(|version| *version >= head.min_version)
            && (!head.single_version || versions.len() <= 1)
    }

    /// Returns the events behind `after`, as many as `max_bytes` hold and at
    /// least one; none where there are none.
    pub fn part(&self, after: EventNumber, max_bytes: usize) -> Option<OutputPart> {
        let skipped = usize::try_from(after).ok()?;
        let rest = self.events.get(skipped..)?;
        let separator = |index: usize| usize::from(index > 0);
        let start: usize = self.events[..skipped]
            .iter()
            .map(|event| event.length_bytes as usize + 1)
            .sum();
        let mut length_bytes = 0;
        let mut count = 0;
        for event in rest {
            let next = length_bytes + separator(count) + event.length_bytes as usize;
            if count > 0 && next > max_bytes {
                break;
            }
            length_bytes = next;
            count += 1;
        }
        (count > 0).then(|| OutputPart {
            first_event: after + 1,
            events: rest[..count].to_vec(),
            text: self.text[start..start + length_bytes].to_owned(),
        })
    }

    /// Adds `part`, and says whether it is the one that was due.
    pub fn extend(&mut self, part: &OutputPart) -> bool {
        if part.first_event != self.last_event() + 1 {
            return false;
        }
        if !self.events.is_empty() {
            self.text.push('\n');
        }
        self.text.push_str(&part.text);
        self.events.extend_from_slice(&part.events);
        true
    }
}
