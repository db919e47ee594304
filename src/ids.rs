//! Type aliases for the identifiers that several modules share.
//!
//! They alias standard types, which need no conversion, and have names of their
//! own so that a signature shows which identifier it expects.

use std::sync::Arc;

/// The name of a host of this service.
pub type HostId = Arc<str>;

/// The name of an upstream: a model engine or a plain service.
pub type UpstreamId = Arc<str>;

/// The name of a row of the operators' table, which stands for a trainer or a
/// member.
pub type RowId = Arc<str>;

/// The name of a client account on the users' platform.
pub type AccountId = Arc<str>;

/// The name of a failure domain of the platform.
pub type FailureDomain = Arc<str>;

/// The name of a region, which contains one or more failure domains.
pub type Region = Arc<str>;

/// The number of a trainer's step.
pub type StepNumber = u64;

/// The number of a group of samples within a step.
pub type GroupNumber = u32;

/// The index of a sample within its group.
pub type SampleIndex = u32;

/// A version of the model's weights; higher is newer.
pub type WeightVersion = u64;

/// A version of the software that an upstream runs. Versions have no order, and what
/// two of them write does not fit together (see docs/design/software-versions.md).
pub type SoftwareVersion = Arc<str>;

/// The number of a committed state of the whole table; it only increases.
pub type Revision = u64;

/// The version of one row, used for conditional writes.
pub type RowVersion = u64;

/// The fencing number of a lease holder; a lower number is stale.
pub type FenceNumber = u64;

/// The number of a host's run under its name; higher is newer.
pub type Incarnation = u64;

/// Identifies one start of an engine process under its name.
pub type BootId = u64;

/// The number of a trainer's attachment to a step; only pulls with the highest
/// number are answered.
pub type AttachNumber = u64;

/// Identifies one attempt to claim or write, so that its outcome can be read
/// back.
pub type AttemptId = u128;

/// The number of one attempt to fill a sample slot; unique across owners.
pub type AttemptNumber = u64;

/// The number of a trainer's open call at one host.
pub type CallNumber = u64;

/// The name of an adapter on the base weights; empty if none is used.
pub type AdapterId = Arc<str>;

/// The number of a token in the model's vocabulary.
pub type TokenId = u32;

/// The id of a client's request.
pub type RequestId = Arc<str>;

/// The id of an accepted change of the table.
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
    /// The row of the trainer that submitted the step.
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

/// Serialises an [`AttemptId`] as hexadecimal text, since a JSON number cannot
/// represent 128 bits exactly.
pub mod attempt_text {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use super::AttemptId;

    /// Serialises the id.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(id: &AttemptId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{id:032x}"))
    }

    /// Deserialises the id.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a hexadecimal number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<AttemptId, D::Error> {
        let text = String::deserialize(deserializer)?;
        AttemptId::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
