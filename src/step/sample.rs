//! A complete sample, as it is buffered and delivered.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    engine::evidence::{Segment, is_single_version, oldest_version},
    ids::{AttemptNumber, BootId, Slot, TokenId, UpstreamId, WeightVersion},
};

/// Why an engine ended a sample.
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
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FinishReason {
    /// The model ended the sequence.
    Stop,
    /// The sample reached its maximum number of tokens.
    Length,
}

/// A complete sample and the weight versions that generated it.
///
/// # Examples
///
/// ```
/// use mimosavane::{ids::Slot, step::sample};
///
/// let slot = Slot { trainer: "guides".into(), step: 3, group: 0, index: 7 };
/// assert_eq!(&*sample::id(&slot, 26), "guides/3/0/7/1a");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The slot that it fills.
    pub slot: Slot,
    /// Identifies this content; another attempt at the slot gets another id.
    pub id: Arc<str>,
    /// The generated tokens.
    pub tokens: Box<[TokenId]>,
    /// Which weight version generated which tokens.
    pub segments: Box<[Segment]>,
    /// The engine that completed the sample.
    pub engine: UpstreamId,
    /// The boot id of that engine.
    pub boot: BootId,
    /// Why it ended.
    pub finish_reason: FinishReason,
}

/// Why a sample is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SampleError {
    /// It has no tokens.
    #[error("sample without tokens")]
    Empty,
    /// It belongs to another slot than its attempt.
    #[error("sample of slot {found} for an attempt at slot {expected}")]
    OtherSlot {
        /// The slot of the attempt.
        expected: Slot,
        /// The slot of the sample.
        found: Slot,
    },
    /// Its segments overlap or leave tokens without a weight version.
    #[error("segments cover {covered_tokens} of {tokens} tokens")]
    NotCovered {
        /// Number of tokens that the segments cover without a gap from the
        /// start.
        covered_tokens: u32,
        /// Number of tokens in the sample.
        tokens: u32,
    },
    /// It has several weight versions, but its row allows only one.
    #[error("several versions in a row without mixed versions")]
    MixedVersions,
    /// It has more tokens than were requested.
    #[error("{tokens} tokens where at most {max_tokens} were asked for")]
    TooLong {
        /// Number of tokens in the sample.
        tokens: u32,
        /// Maximum number of tokens requested.
        max_tokens: u32,
    },
}

/// Returns the id of the content that `attempt` generated for `slot`.
///
/// The id begins with the slot and ends with the attempt, so that records about
/// either are found together.
pub fn id(slot: &Slot, attempt: AttemptNumber) -> Arc<str> {
    format!("{slot}/{attempt:x}").into()
}

impl Sample {
    /// Returns the oldest weight version among the segments.
    pub fn oldest_version(&self) -> WeightVersion {
        oldest_version(&self.segments).unwrap_or(0)
    }

    /// Returns the number of tokens.
    pub fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Checks the sample against its request.
    ///
    /// # Errors
    ///
    /// Returns the first applicable variant of [`SampleError`].
    pub fn check(
        &self,
        expected: &Slot,
        max_tokens: u32,
        mixed_versions: bool,
    ) -> Result<(), SampleError> {
        let tokens = self.token_count();
        if tokens == 0 {
            return Err(SampleError::Empty);
        }
        if self.slot != *expected {
            return Err(SampleError::OtherSlot {
                expected: expected.clone(),
                found: self.slot.clone(),
            });
        }
        if tokens > max_tokens {
            return Err(SampleError::TooLong { tokens, max_tokens });
        }
        let covered_tokens = covered_tokens(&self.segments);
        if covered_tokens != tokens {
            return Err(SampleError::NotCovered {
                covered_tokens,
                tokens,
            });
        }
        if !mixed_versions && !is_single_version(&self.segments) {
            return Err(SampleError::MixedVersions);
        }
        Ok(())
    }
}

/// Returns how many tokens `segments` cover without a gap from the start.
fn covered_tokens(segments: &[Segment]) -> u32 {
    let mut covered_tokens = 0;
    for segment in segments {
        if segment.first_token != covered_tokens {
            break;
        }
        covered_tokens += segment.token_count;
    }
    covered_tokens
}
