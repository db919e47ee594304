//! Checks the limits on client requests.

use super::{
    draft::Draft,
    finding::{Finding, Kind},
    place::{LimitField, Place},
};

/// The bytes in a megabyte of a host's memory.
const MEGABYTE: u64 = 1_000_000;

/// Appends what is wrong with the limits on client requests, on hosts with `memory_mb` if
/// known.
pub fn check(draft: &Draft, memory_mb: Option<u64>, findings: &mut Vec<Finding>) {
    let limits = &draft.configuration.limits;
    let mut report = |kind, field, message: String| {
        findings.push(Finding::new(kind, Place::Limit(field), message));
    };
    for (field, is_zero) in [
        (LimitField::HeaderBytes, limits.max_header_bytes == 0),
        (LimitField::BodyBytes, limits.max_body_bytes == 0),
        (LimitField::HeaderTimeout, limits.header_timeout.is_zero()),
        (LimitField::IdleTimeout, limits.idle_timeout.is_zero()),
    ] {
        if is_zero {
            let message = "a limit of 0 lets no request through".to_owned();
            report(Kind::ZeroLimit, field, message);
        }
    }
    if limits.header_timeout > limits.idle_timeout {
        let message = format!(
            "the timeout of heads, {} ms, is above the idle timeout, {} ms",
            limits.header_timeout.as_millis(),
            limits.idle_timeout.as_millis(),
        );
        report(Kind::HeadAboveIdle, LimitField::HeaderTimeout, message);
    }
    let memory_bytes = memory_mb.map(|mb| mb.saturating_mul(MEGABYTE));
    if let Some(memory_bytes) =
        memory_bytes.filter(|memory_bytes| limits.max_body_bytes as u64 > *memory_bytes)
    {
        let message = format!(
            "a body of {} bytes does not fit into the {memory_bytes} bytes of a host",
            limits.max_body_bytes
        );
        report(Kind::BodyAboveMemory, LimitField::BodyBytes, message);
    }
}
