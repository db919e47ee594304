//! The result of a check, for operators and for machines.

use std::fmt;

use serde::Serialize;

use super::{
    differences::{Differences, EntryChange, FieldChange, NamedChanges},
    draft::Format,
    finding::{Finding, Kind, Severity},
};

/// A finding with its place in the platform's spelling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// How severe it is.
    pub severity: Severity,
    /// Its kind.
    pub kind: Kind,
    /// The path of the field.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: &'static str,
}

impl Line {
    pub(super) fn new<F: Format>(finding: Finding) -> Self {
        Self {
            severity: finding.kind.severity(),
            kind: finding.kind,
            path: F::SPELLING.path(&finding.place),
            message: finding.message,
            remedy: finding.kind.remedy(),
        }
    }
}

/// The result of a check. Its text has one line for each finding and each difference.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The version of the document, if it can be decoded.
    pub version: Option<u64>,
    /// The version in force, if it was given.
    pub in_force_version: Option<u64>,
    /// The findings, with errors first.
    pub findings: Vec<Line>,
    /// What the document changes, if both can be decoded.
    pub differences: Option<Differences>,
}

impl Report {
    /// Returns the highest severity of the findings.
    pub fn severity(&self) -> Option<Severity> {
        self.findings.iter().map(|line| line.severity).min()
    }

    fn count(&self, severity: Severity) -> usize {
        let findings = self.findings.iter();
        findings.filter(|line| line.severity == severity).count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.findings {
            let Line {
                severity,
                kind,
                path,
                message,
                remedy,
            } = line;
            let path = path.escape_debug();
            let message = Printable(message);
            writeln!(
                formatter,
                "{severity}: {path}: {message}; {remedy} [{kind}]"
            )?;
        }
        if let (Some(version), Some(differences)) = (self.in_force_version, &self.differences) {
            if differences.is_empty() {
                writeln!(formatter, "no changes to version {version} in force")?;
            } else {
                writeln!(formatter, "changes to version {version} in force:")?;
                write_differences(formatter, differences)?;
            }
        }
        if let Some(version) = self.version {
            write!(formatter, "version {version}: ")?;
        }
        writeln!(
            formatter,
            "{} errors, {} warnings, {} notes",
            self.count(Severity::Error),
            self.count(Severity::Warning),
            self.count(Severity::Note),
        )
    }
}

/// Text without control characters, which the parser's messages may quote from the document.
struct Printable<'a>(&'a str);

impl fmt::Display for Printable<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in self.0.chars() {
            if c.is_control() {
                write!(formatter, "{}", c.escape_debug())?;
            } else {
                write!(formatter, "{c}")?;
            }
        }
        Ok(())
    }
}

fn write_differences(formatter: &mut fmt::Formatter<'_>, differences: &Differences) -> fmt::Result {
    for (what, changes) in [
        ("route", &differences.routes),
        ("service", &differences.services),
        ("account", &differences.accounts),
    ] {
        write_named(formatter, what, changes)?;
    }
    match differences.accounts_required {
        Some(true) => writeln!(
            formatter,
            "  requests now need keys, except on public routes"
        )?,
        Some(false) => writeln!(formatter, "  requests no longer need keys")?,
        None => {}
    }
    write_fields(formatter, "  limit ", &differences.limits)
}

fn write_named(
    formatter: &mut fmt::Formatter<'_>,
    what: &str,
    changes: &NamedChanges,
) -> fmt::Result {
    for name in &changes.added {
        writeln!(formatter, "  {what} {name:?} added")?;
    }
    for name in &changes.removed {
        writeln!(formatter, "  {what} {name:?} removed")?;
    }
    for change in &changes.changed {
        let EntryChange {
            name,
            fields,
            added_key_count,
            removed_key_count,
        } = change;
        writeln!(formatter, "  {what} {name:?} changed")?;
        write_fields(formatter, "    ", fields)?;
        if added_key_count + removed_key_count > 0 {
            writeln!(
                formatter,
                "    keys: {added_key_count} added, {removed_key_count} removed"
            )?;
        }
    }
    Ok(())
}

fn write_fields(
    formatter: &mut fmt::Formatter<'_>,
    indent: &str,
    fields: &[FieldChange],
) -> fmt::Result {
    for FieldChange { path, from, to } in fields {
        writeln!(formatter, "{indent}{path}: {from} -> {to}")?;
    }
    Ok(())
}
