//! What a trainer asks for in one step.

use std::{collections::BTreeSet, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{GroupNumber, RowId, SampleIndex, StepNumber, TokenId, WeightVersion};

/// The most samples of one step.
pub const MAX_STEP_SAMPLES: u64 = 65_536;

/// A prompt and how many samples of it are wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptGroup {
    /// The number of the group within the step.
    pub group: GroupNumber,
    /// The prompt.
    pub prompt_tokens: Arc<[TokenId]>,
    /// How many samples are wanted.
    pub sample_count: u32,
    /// The most tokens of one sample.
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
    /// The version that the trainer had when it asked.
    pub weight_version: WeightVersion,
    /// The prompts.
    pub groups: Vec<PromptGroup>,
    /// Where the seeds of all samples come from.
    pub seed: u64,
}

/// What is wrong with a step.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// It asks for nothing.
    #[error("step without samples")]
    Empty,
    /// One group asks for no sample, no token, or has no prompt.
    #[error("group {group} has no prompt, no samples or no tokens")]
    EmptyGroup {
        /// The group.
        group: GroupNumber,
    },
    /// Two groups have one number.
    #[error("group {group} stands twice")]
    DuplicateGroup {
        /// The number.
        group: GroupNumber,
    },
    /// It asks for more samples than a host holds.
    #[error("{samples} samples where at most {MAX_STEP_SAMPLES} are taken")]
    TooManySamples {
        /// The samples that it asks for.
        samples: u64,
    },
}

impl StepSpec {
    /// Returns how many samples are wanted.
    pub fn sample_count(&self) -> u64 {
        self.groups
            .iter()
            .map(|group| u64::from(group.sample_count))
            .sum()
    }

    /// Checks that the step can be served.
    ///
    /// # Errors
    ///
    /// Fails on the first of the faults that [`SpecError`] lists.
    pub fn check(&self) -> Result<(), SpecError> {
        let samples = self.sample_count();
        if samples == 0 {
            return Err(SpecError::Empty);
        }
        if samples > MAX_STEP_SAMPLES {
            return Err(SpecError::TooManySamples { samples });
        }
        let mut known = BTreeSet::new();
        for group in &self.groups {
            let number = group.group;
            if !known.insert(number) {
                return Err(SpecError::DuplicateGroup { group: number });
            }
            if group.sample_count == 0 || group.max_tokens == 0 || group.prompt_tokens.is_empty() {
                return Err(SpecError::EmptyGroup { group: number });
            }
        }
        Ok(())
    }

    /// Says whether `other` asks for the same work.
    ///
    /// The version that the trainer states may have risen between two
    /// submissions of one step.
    pub fn is_same_work(&self, other: &Self) -> bool {
        let parts = |spec: &Self| (spec.trainer.clone(), spec.step, spec.seed);
        parts(self) == parts(other) && self.groups == other.groups
    }

    /// Returns the seed of one sample.
    ///
    /// All attempts at a slot share it. A race between two attempts then picks
    /// between equal continuations and does not favour short ones.
    pub fn sample_seed(&self, group: GroupNumber, index: SampleIndex) -> u64 {
        let place = (u64::from(group) << 32) | u64::from(index);
        xxh3_64_with_seed(&place.to_le_bytes(), self.seed)
    }
}
