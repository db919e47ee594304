//! Aliases for the identifiers that cross module borders.
//!
//! They are aliases of standard types so that they cost nothing to pass on, and
//! named so that a signature says which identifier it means.

use std::sync::Arc;

/// Names one host of the service itself.
pub type HostId = Arc<str>;

/// Names one upstream: a model engine or a plain service.
pub type UpstreamId = Arc<str>;

/// Names one row of the operators' table, which is one trainer or member.
pub type RowId = Arc<str>;

/// Names a failure domain of the platform.
pub type FailureDomain = Arc<str>;

/// Names a region, which holds one or more failure domains.
pub type Region = Arc<str>;

/// Numbers a trainer's step.
pub type StepNumber = u64;

/// Numbers a group of samples within a step.
pub type GroupNumber = u32;

/// Numbers a sample within its group.
pub type SampleIndex = u32;

/// Numbers a version of the model's weights; higher is newer.
pub type WeightVersion = u64;

/// Numbers a committed state of the whole table; it only rises.
pub type Revision = u64;

/// Numbers the version of one row, for conditional writes.
pub type RowVersion = u64;

/// Numbers the holders of a lease in order; a lower one is stale.
pub type FenceNumber = u64;

/// Numbers the lives of a host under one name; higher is newer.
pub type Incarnation = u64;

/// Numbers the starts of an engine process under one name.
pub type BootId = u64;

/// Numbers a trainer's attachments to a step; only the highest is answered.
pub type AttachNumber = u64;

/// Names one attempt to claim or write, so that it can be read back.
pub type AttemptId = u128;

/// Numbers one attempt to fill a sample slot; unique over owners.
pub type AttemptNumber = u64;

/// Numbers an open call of a trainer at one host.
pub type CallNumber = u64;

/// Names an adapter on the base weights; empty where none is used.
pub type AdapterId = Arc<str>;

/// Numbers a token of the model's vocabulary.
pub type TokenId = u32;

/// Names a client's request.
pub type RequestId = Arc<str>;

/// Names one accepted change of the table.
pub type ChangeId = Arc<str>;

/// Identifies one sample slot of a step.
///
/// # Examples
///
/// ```
/// let slot = mimosavane::ids::Slot {
///     trainer: "guides".into(),
///     step: 3,
///     group: 0,
///     index: 7,
/// };
/// assert_eq!(slot.to_string(), "guides/3/0/7");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    /// The row of the trainer that asked.
    pub trainer: RowId,
    /// The trainer's step.
    pub step: StepNumber,
    /// The group within the step.
    pub group: GroupNumber,
    /// The sample within the group.
    pub index: SampleIndex,
}

impl std::fmt::Display for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}/{}/{}/{}",
            self.trainer, self.step, self.group, self.index
        )
    }
}

/// Writes an [`AttemptId`] as hexadecimal text, since JSON numbers cannot hold it.
pub mod attempt_text {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use super::AttemptId;

    /// Writes the id.
    ///
    /// # Errors
    ///
    /// Fails where the serializer does.
    pub fn serialize<S: Serializer>(id: &AttemptId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{id:032x}"))
    }

    /// Reads the id.
    ///
    /// # Errors
    ///
    /// Fails on text that is no hexadecimal number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<AttemptId, D::Error> {
        let text = String::deserialize(deserializer)?;
        AttemptId::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
