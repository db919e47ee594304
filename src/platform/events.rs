//! A parser of the event streams that engines send.

use crate::{
    ingress::wire::{DecodeError, EventParser, StreamEvent},
    platform::names::WEIGHT_VERSIONS,
};

/// The maximum length of an event. The largest events in the deployment
/// specification are far shorter.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct PlatformEvents {
    line: Vec<u8>,
    event_number: Option<u64>,
    data: Option<String>,
    version: Option<u64>,
    is_in_event: bool,
    /// Whether the present event has a line that no event stream has.
    has_foreign_line: bool,
    /// The length of the complete lines of the present event.
    event_bytes: usize,
}

impl EventParser for PlatformEvents {
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, DecodeError> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            self.event_bytes += self.line.len() + 1;
            let line = std::mem::take(&mut self.line);
            events.extend(self.parse_line(&line)?);
            self.line = line;
            self.line.clear();
        }
        self.line.extend_from_slice(rest);
        if self.event_bytes + self.line.len() > MAX_EVENT_BYTES {
            return Err(DecodeError::Field { field: "event" });
        }
        Ok(events)
    }

    fn is_inside_event(&self) -> bool {
        self.is_in_event || !self.line.is_empty()
    }
}

impl PlatformEvents {
    fn parse_line(&mut self, line: &[u8]) -> Result<Option<StreamEvent>, DecodeError> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let line = std::str::from_utf8(line).map_err(|_| DecodeError::Field { field: "event" })?;
        if line.is_empty() {
            return self.finish_event();
        }
        self.is_in_event = true;
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => {
                self.event_number = Some(
                    value
                        .trim()
                        .parse()
                        .map_err(|_| DecodeError::Field { field: "id" })?,
                );
            }
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            WEIGHT_VERSIONS => {
                self.version = Some(value.trim().parse().map_err(|_| DecodeError::Field {
                    field: WEIGHT_VERSIONS,
                })?);
            }
            // The name of a comment is empty.
            "" | "event" | "retry" => {}
            _ => self.has_foreign_line = true,
        }
        Ok(None)
    }

    fn finish_event(&mut self) -> Result<Option<StreamEvent>, DecodeError> {
        self.is_in_event = false;
        self.event_bytes = 0;
        let version = self.version.take();
        let number = self.event_number.take();
        let has_foreign_line = std::mem::take(&mut self.has_foreign_line);
        let Some(data) = self.data.take() else {
            // An event may have fields that are not known here, but not only such ones: the
            // text of an error does.
            return match has_foreign_line {
                true => Err(DecodeError::Field { field: "event" }),
                false => Ok(None),
            };
        };
        let number = number.ok_or(DecodeError::Field { field: "id" })?;
        Ok(Some(StreamEvent {
            number,
            data,
            version,
        }))
    }
}
