//! Checks an operator's configuration before it is sent (see docs/design/check-config.md).
//!
//! The code does no I/O and does not know the platform's spelling: a [`Format`] decodes
//! documents as hosts do and has the names of their fields. Suggested reading order:
//! [`Draft`] for the input, [`Kind`] for what is found, [`Differences`] for what a
//! configuration changes, and [`Report`] for the result.

mod accounts;
mod differences;
mod draft;
mod finding;
mod limits;
mod place;
mod report;
mod routes;
mod services;

use std::time::Duration;

pub use self::{
    differences::{Differences, EntryChange, FieldChange, NamedChanges},
    draft::{Draft, Format, RouteDraft, ServiceDraft, Undecodable},
    finding::{Finding, Kind, Severity},
    place::{AccountField, LimitField, Place, RouteField, ServiceField, Spelling, SplitField},
    report::{Line, Report},
};

/// The highest usual priority. The format allows more, but the deployments use 0 to 2, and
/// a higher number is more likely meant as the most urgent one.
pub const MAX_PRIORITY: u32 = 9;

/// The difference up to which a time that hosts use is the one in the document: durations
/// have whole nanoseconds.
const TIME_TOLERANCE_MS: f64 = 0.001;

/// The configuration in force.
#[derive(Default)]
pub enum InForce {
    /// It is not known.
    #[default]
    Unknown,
    /// There is none.
    Nothing,
    /// It is this one.
    Known(Box<Draft>),
}

/// What is known about where a configuration will be in force.
#[derive(Default)]
pub struct Context {
    /// The configuration in force.
    pub in_force: InForce,
    /// The memory of the smallest host, in megabytes.
    pub memory_mb: Option<u64>,
}

/// Checks the document `text`.
pub fn check<F: Format>(text: &[u8], context: &Context) -> Report {
    let mut findings = Vec::new();
    if text.len() > F::MAX_DOCUMENT_BYTES {
        let message = format!(
            "the document has {} bytes, and a row of the store holds {}",
            text.len(),
            F::MAX_DOCUMENT_BYTES
        );
        findings.push(Finding::new(Kind::TooLarge, Place::Document, message));
    }
    let in_force = match &context.in_force {
        InForce::Known(draft) => Some(&**draft),
        InForce::Nothing => {
            let message = "there is no configuration in force to compare with";
            findings.push(Finding::new(Kind::NothingInForce, Place::Document, message));
            None
        }
        InForce::Unknown => None,
    };
    let mut report = Report {
        in_force_version: in_force.map(|draft| draft.configuration.version),
        ..Report::default()
    };
    match F::draft(text) {
        Ok(draft) => {
            report.version = Some(draft.configuration.version);
            check_version(&draft, in_force, &mut findings);
            routes::check::<F>(&draft, &mut findings);
            services::check(&draft, &mut findings);
            accounts::check(&draft, &mut findings);
            limits::check(&draft, context.memory_mb, &mut findings);
            report.differences = in_force.map(|known| Differences::new::<F>(known, &draft));
        }
        Err(Undecodable { path, reason }) => {
            findings.push(Finding::new(
                Kind::Undecodable,
                Place::Decoded(path),
                reason,
            ));
        }
    }
    report.findings = findings.into_iter().map(Line::new::<F>).collect();
    // The sort is stable: findings of one severity keep the order of the document.
    report.findings.sort_by_key(|line| line.severity);
    report
}

/// Hosts ignore a configuration whose version is not above that of the one in force.
fn check_version(draft: &Draft, in_force: Option<&Draft>, findings: &mut Vec<Finding>) {
    let version = draft.configuration.version;
    if let Some(known) = in_force.map(|draft| draft.configuration.version)
        && version <= known
    {
        let message = format!("version {version} is not above version {known} in force");
        findings.push(Finding::new(Kind::OldVersion, Place::Version, message));
    }
}

/// Returns what is wrong if hosts use another time than the document has, which they do if it
/// is negative or beyond the range of durations.
fn replaced_time(document_ms: Option<f64>, used: Duration) -> Option<String> {
    let document_ms = document_ms?;
    let used_ms = used.as_secs_f64() * 1_000.0;
    let tolerance_ms = TIME_TOLERANCE_MS + used_ms * f64::EPSILON;
    let is_used = (used_ms - document_ms).abs() <= tolerance_ms;
    (!is_used).then(|| format!("hosts use {used_ms} ms instead of {document_ms} ms"))
}
