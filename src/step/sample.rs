//! A whole sample, as it is buffered and delivered.

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
    /// The model ended it.
    Stop,
    /// It reached the most tokens that were asked for.
    Length,
}

/// A whole sample with the weights that made it.
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
    /// Names this content; another attempt at the slot has another id.
    pub id: Arc<str>,
    /// The generated tokens.
    pub tokens: Box<[TokenId]>,
    /// Which weights made which tokens.
    pub segments: Box<[Segment]>,
    /// The engine that ended it.
    pub engine: UpstreamId,
    /// The boot of that engine.
    pub boot: BootId,
    /// Why it ended.
    pub finish_reason: FinishReason,
}

/// What is wrong with a sample.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SampleError {
    /// It holds no token.
    #[error("sample without tokens")]
    Empty,
    /// It answers another slot than the one that was asked for.
    #[error("sample of slot {found} for an attempt at slot {expected}")]
    OtherSlot {
        /// The slot of the attempt.
        expected: Slot,
        /// The slot of the sample.
        found: Slot,
    },
    /// Its segments leave a token without weights, or overlap.
    #[error("segments cover {covered_tokens} of {tokens} tokens")]
    NotCovered {
        /// Tokens that the segments cover in order.
        covered_tokens: u32,
        /// Tokens of the sample.
        tokens: u32,
    },
    /// It holds several versions, and its row takes one.
    #[error("several versions in a row without mixed versions")]
    MixedVersions,
    /// It holds more tokens than were asked for.
    #[error("{tokens} tokens where at most {max_tokens} were asked for")]
    TooLong {
        /// Tokens of the sample.
        tokens: u32,
        /// Tokens that were asked for at most.
        max_tokens: u32,
    },
}

/// Names the content that `attempt` made for `slot`, so that records about the
/// slot and about the attempt are found together.
pub fn id(slot: &Slot, attempt: AttemptNumber) -> Arc<str> {
    format!("{slot}/{attempt:x}").into()
}

impl Sample {
    /// Returns the oldest version that took part.
    pub fn oldest_version(&self) -> WeightVersion {
        oldest_version(&self.segments).unwrap_or(0)
    }

    /// Returns how many tokens it holds.
    pub fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Checks it against what was asked for.
    ///
    /// # Errors
    ///
    /// Fails on the first of the faults that [`SampleError`] lists.
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

/// Counts the tokens that `segments` cover in order from the first on.
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
