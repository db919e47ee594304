//! The growing output of an item, and the parts in which it is saved.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    batch::job::{EventNumber, JobHead},
    ids::{SoftwareVersion, WeightVersion},
};

/// One event of an output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Event {
    length_bytes: u32,
    version: WeightVersion,
}

/// The events generated for an item so far, numbered from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// The software version of the engine that began the output; `None` if it has no
    /// events, or was saved without it.
    software_version: Option<SoftwareVersion>,
    text: String,
    events: Vec<Event>,
    is_whole: bool,
}

/// A contiguous range of an output's events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputPart {
    /// The number of the part's first event.
    pub first_event: EventNumber,
    events: Vec<Event>,
    text: String,
    /// The software version of the engine that began the output. It is encoded apart from
    /// the other fields.
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
    /// Whether the part was taken from the whole output, so that any copy of it
    /// is the same. It is encoded in the key of the row.
    #[serde(skip)]
    pub is_final: bool,
    /// Whether the output ends with this part. It is encoded apart from the
    /// other fields (see [`crate::batch::layout::saving`]).
    #[serde(skip)]
    pub is_last: bool,
}

impl OutputPart {
    /// Returns the number of the part's last event.
    pub const fn last_event(&self) -> EventNumber {
        self.first_event + self.events.len() as EventNumber - 1
    }
}

impl Output {
    /// Returns the number of the last event, or 0 if there is none.
    pub const fn last_event(&self) -> EventNumber {
        self.events.len() as EventNumber
    }

    /// Records that no event follows, since the engine completed the output.
    pub const fn mark_whole(&mut self) {
        self.is_whole = true;
    }

    /// Returns whether the output is complete.
    pub const fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Returns whether this output of an item is worth more than `other`: it is whole,
    /// or, if neither or both are, it has more events.
    pub fn is_longer_than(&self, other: &Self) -> bool {
        (self.is_whole, self.events.len()) > (other.is_whole, other.events.len())
    }

    /// Returns the weight versions that generated the output.
    pub fn versions(&self) -> BTreeSet<WeightVersion> {
        self.events.iter().map(|event| event.version).collect()
    }

    /// Returns the data of all events, separated by line feeds.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Returns whether an engine of `software_version` may begin the output, or go on
    /// with it.
    pub fn fits(&self, software_version: &SoftwareVersion) -> bool {
        self.events.is_empty() || self.software_version.as_ref() == Some(software_version)
    }

    /// Appends the event `number` of an engine of `software_version` if it directly
    /// follows the last one and fits to it, and returns whether it was appended.
    pub fn push(
        &mut self,
        number: EventNumber,
        data: &str,
        version: WeightVersion,
        software_version: &SoftwareVersion,
    ) -> bool {
        let Ok(length_bytes) = u32::try_from(data.len()) else {
            return false;
        };
        if number != self.last_event() + 1 || self.is_whole || !self.fits(software_version) {
            return false;
        }
        if self.events.is_empty() {
            self.software_version = Some(software_version.clone());
        } else {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.events.push(Event {
            length_bytes,
            version,
        });
        true
    }

    /// Returns whether a run under `version` on an engine of `software_version` may
    /// continue this output.
    pub fn can_continue(
        &self,
        head: &JobHead,
        version: WeightVersion,
        software_version: &SoftwareVersion,
    ) -> bool {
        version >= head.min_version
            && self.fits(software_version)
            && (!head.single_version || self.events.iter().all(|event| event.version == version))
    }

    /// Returns whether a job with `head` allows the weight versions that
    /// generated this output.
    pub fn is_valid_for(&self, head: &JobHead) -> bool {
        let versions = self.versions();
        versions.iter().all(|version| *version >= head.min_version)
            && (!head.single_version || versions.len() <= 1)
    }

    /// Returns the events after number `after`, as many as fit into `max_bytes`
    /// but at least one, or `None` if there are no later events.
    pub fn part(&self, after: EventNumber, max_bytes: usize) -> Option<OutputPart> {
        let skipped = usize::try_from(after).ok()?;
        let rest = self.events.get(skipped..)?;
        let separator_bytes = |index: usize| usize::from(index > 0);
        let start: usize = self.events[..skipped]
            .iter()
            .map(|event| event.length_bytes as usize + 1)
            .sum();
        let mut length_bytes = 0;
        let mut count = 0;
        for event in rest {
            let next_bytes = length_bytes + separator_bytes(count) + event.length_bytes as usize;
            if count > 0 && next_bytes > max_bytes {
                break;
            }
            length_bytes = next_bytes;
            count += 1;
        }
        (count > 0).then(|| OutputPart {
            first_event: after + 1,
            events: rest[..count].to_vec(),
            text: self.text[start..start + length_bytes].to_owned(),
            software_version: self.software_version.clone(),
            is_final: false,
            is_last: false,
        })
    }

    /// Returns the whole output in parts of at most `max_bytes` each, or nothing
    /// while it is incomplete.
    pub fn final_parts(&self, max_bytes: usize) -> Vec<OutputPart> {
        let mut parts: Vec<OutputPart> = Vec::new();
        while self.is_whole
            && let Some(part) = self.part(parts.last().map_or(0, OutputPart::last_event), max_bytes)
        {
            parts.push(OutputPart {
                is_final: true,
                is_last: part.last_event() == self.last_event(),
                ..part
            });
        }
        parts
    }

    /// Appends `part` if it directly follows the last event, and returns
    /// whether it was appended.
    pub fn extend(&mut self, part: &OutputPart) -> bool {
        if part.first_event != self.last_event() + 1 || self.is_whole {
            return false;
        }
        if self.events.is_empty() {
            self.software_version.clone_from(&part.software_version);
        } else if self.software_version != part.software_version {
            return false;
        } else {
            self.text.push('\n');
        }
        self.text.push_str(&part.text);
        self.events.extend_from_slice(&part.events);
        self.is_whole = part.is_last;
        true
    }
}
