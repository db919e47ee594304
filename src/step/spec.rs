//! The content of a step, as a trainer submits it.

use std::{collections::BTreeSet, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{GroupNumber, RowId, SampleIndex, StepNumber, TokenId, WeightVersion};

/// Maximum number of samples in one step.
pub const MAX_STEP_SAMPLES: u64 = 65_536;

/// A prompt and the number of samples requested for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptGroup {
    /// The number of the group within the step.
    pub group: GroupNumber,
    /// The prompt.
    pub prompt_tokens: Arc<[TokenId]>,
    /// Number of samples requested.
    pub sample_count: u32,
    /// Maximum number of tokens in one sample.
    pub max_tokens: u32,
}

/// One step of a trainer.
///
/// # Examples
///
/// ```
/// use mimosavane::step::spec::{PromptGroup, StepSpec};
///
/// let group = PromptGroup {
///     group: 0,
///     prompt_tokens: [1, 2, 3].into(),
///     sample_count: 8,
///     max_tokens: 512,
/// };
/// let spec = StepSpec {
///     trainer: "guides".into(),
///     step: 3,
///     weight_version: 40,
///     groups: vec![group],
///     seed: 7,
/// };
/// assert!(spec.check().is_ok());
/// assert_eq!(spec.sample_count(), 8);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepSpec {
    /// The row of the trainer.
    pub trainer: RowId,
    /// The number of the step.
    pub step: StepNumber,
    /// The weight version that the trainer had when it submitted the step.
    pub weight_version: WeightVersion,
    /// The groups of the step, one per prompt.
    pub groups: Vec<PromptGroup>,
    /// The seed from which the seeds of all samples are derived.
    pub seed: u64,
}

/// Why a step is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The step requests no samples.
    #[error("step without samples")]
    Empty,
    /// A group has no prompt, no samples or no tokens.
    #[error("group {group} has no prompt, no samples or no tokens")]
    EmptyGroup {
        /// The group.
        group: GroupNumber,
    },
    /// Two groups have the same number.
    #[error("group {group} stands twice")]
    DuplicateGroup {
        /// The number.
        group: GroupNumber,
    },
    /// The step requests more samples than a host can hold.
    #[error("{samples} samples where at most {MAX_STEP_SAMPLES} are taken")]
    TooManySamples {
        /// Number of samples requested.
        samples: u64,
    },
}

impl StepSpec {
    /// Returns the number of samples requested.
    pub fn sample_count(&self) -> u64 {
        self.groups
            .iter()
            .map(|group| u64::from(group.sample_count))
            .sum()
    }

    /// Checks that the step is valid.
    ///
    /// # Errors
    ///
    /// Returns the first applicable variant of [`SpecError`].
    pub fn check(&self) -> Result<(), SpecError> {
        let samples = self.sample_count();
        if samples == 0 {
            return Err(SpecError::Empty);
        }
        if samples > MAX_STEP_SAMPLES {
            return Err(SpecError::TooManySamples { samples });
        }
        let mut seen = BTreeSet::new();
        for group in &self.groups {
            let number = group.group;
            if !seen.insert(number) {
                return Err(SpecError::DuplicateGroup { group: number });
            }
            if group.sample_count == 0 || group.max_tokens == 0 || group.prompt_tokens.is_empty() {
                return Err(SpecError::EmptyGroup { group: number });
            }
        }
        Ok(())
    }

    /// Returns whether `other` requests the same work.
    ///
    /// The weight version is not compared: it may have risen between two
    /// submissions of one step.
    pub fn is_same_work(&self, other: &Self) -> bool {
        let parts = |spec: &Self| (spec.trainer.clone(), spec.step, spec.seed);
        parts(self) == parts(other) && self.groups == other.groups
    }

    /// Returns the random seed of one sample.
    ///
    /// All attempts at a slot share the seed, so that hedged attempts produce
    /// equal continuations and keeping the first to complete does not favour
    /// short ones.
    pub fn sample_seed(&self, group: GroupNumber, index: SampleIndex) -> u64 {
        let slot_key = (u64::from(group) << 32) | u64::from(index);
        xxh3_64_with_seed(&slot_key.to_le_bytes(), self.seed)
    }
}
