//! Records of decisions, with the host that made them and the figures that they
//! were based on.
//!
//! `mimosavane explain ID` collects them from all hosts (see docs/EXPLAIN.md).

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{clock::Timestamp, ids::HostId};

/// The maximum number of records that a host keeps.
pub const RING_RECORD_COUNT: usize = 4096;

/// The kind of decision that a record describes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A step was accepted, handed over or finished.
    Step,
    /// A sample slot was dispatched, retried, refused or delivered.
    Sample,
    /// A call was routed, refused or answered.
    Call,
    /// A keyed call was claimed, or the claim was refused.
    Claim,
    /// An upstream was ejected, restored or given no new work.
    Upstream,
    /// An engine was ordered to do something, or its report was reconciled.
    Order,
    /// A member of the fleet changed its state.
    Member,
    /// A change of the table was accepted, refused or put in force.
    Change,
    /// A lease was claimed, renewed, lost or left to expire.
    Lease,
    /// Work was shed or limited.
    Overload,
    /// A row's local share was corrected by the tokens that the fleet served.
    Share,
    /// A connection was retired.
    Connection,
    /// The platform's store changed its condition.
    Store,
    /// This host is stopping.
    Drain,
}

/// A named figure that a decision was based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The name, with its unit as a suffix.
    pub name: Arc<str>,
    /// The value in that unit.
    pub value: f64,
}

/// One decision with its subjects, its reason and its figures.
///
/// # Examples
///
/// ```
/// use mimosavane::control::decision::{Decision, Kind};
/// use std::time::Duration;
///
/// let decision = Decision::new(Kind::Sample, Duration::ZERO, "dispatched")
///     .about("guides/3/0/7")
///     .figure("queue_wait_ms", 12.0);
/// assert!(decision.mentions("guides/3/0/7"));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The kind of decision.
    pub kind: Kind,
    /// When it was made, in milliseconds since the start of the host.
    pub at_ms: u64,
    /// The ids that it is about, the most specific first.
    pub subjects: Vec<Arc<str>>,
    /// What was decided, as a fixed phrase.
    pub what: Arc<str>,
    /// The figures that it was based on.
    pub figures: Vec<Figure>,
    /// The host that made the decision; empty until the record is collected.
    #[serde(default)]
    pub host: HostId,
}

impl Decision {
    /// Creates a record of `kind`, without subjects and figures, stating `what`
    /// was decided.
    pub fn new(kind: Kind, at: Timestamp, what: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            subjects: Vec::new(),
            what: what.into(),
            figures: Vec::new(),
            host: HostId::from(""),
        }
    }

    /// Adds an id that the decision is about.
    #[must_use]
    pub fn about(mut self, id: impl Into<Arc<str>>) -> Self {
        self.subjects.push(id.into());
        self
    }

    /// Adds a figure; its name ends in its unit.
    #[must_use]
    pub fn figure(mut self, name: impl Into<Arc<str>>, value: f64) -> Self {
        self.figures.push(Figure {
            name: name.into(),
            value,
        });
        self
    }

    /// Returns whether the record is about `id` or an id below it; all ids are
    /// below the empty one.
    pub fn mentions(&self, id: &str) -> bool {
        id.is_empty()
            || self.subjects.iter().any(|subject| {
                subject
                    .strip_prefix(id)
                    .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            })
    }
}

/// The most recent records of a host, bounded so that they use constant memory.
#[derive(Debug, Default)]
pub struct Ring {
    records: VecDeque<Decision>,
}

impl Ring {
    /// Appends `decisions`, and drops the oldest records beyond the bound.
    pub fn extend(&mut self, decisions: impl IntoIterator<Item = Decision>) {
        self.records.extend(decisions);
        let excess = self.records.len().saturating_sub(RING_RECORD_COUNT);
        self.records.drain(..excess);
    }

    /// Returns the records about `id`, in the order they were made.
    pub fn find(&self, id: &str) -> impl Iterator<Item = &Decision> {
        self.records
            .iter()
            .filter(move |decision| decision.mentions(id))
    }

    /// Returns all records, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.records.iter()
    }
}
