//! The messages of the trainers' HTTP interface; see docs/API.md.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AttachNumber, GroupNumber, RowId, SampleIndex, StepNumber, WeightVersion},
    proto::peer,
};

/// One prompt of a step and how many samples it needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The number of the group within the step.
    pub group: GroupNumber,
    /// The prompt in tokens.
    pub prompt_token_ids: Vec<u32>,
    /// How many samples the group needs.
    pub sample_count: u32,
    /// The most tokens of one sample.
    pub max_tokens: u32,
}

/// A step that a trainer submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The weight version that the trainer has now.
    pub weight_version: WeightVersion,
    /// Seeds the sampling.
    #[serde(default)]
    pub seed: u64,
    /// The groups of the step.
    pub groups: Vec<Group>,
}

/// The answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// The host that works on the step now.
    pub owner: String,
}

/// The slots of one group that a trainer holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    /// The group.
    pub group: GroupNumber,
    /// The samples of it.
    pub indexes: Vec<SampleIndex>,
}

/// A pull of samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pull {
    /// The trainer's attachment; only the highest is answered.
    pub attach: AttachNumber,
    /// The weight version that the trainer has now.
    pub weight_version: WeightVersion,
    /// What the trainer holds of this step.
    #[serde(default)]
    pub held: Vec<Held>,
    /// The most samples of one answer.
    #[serde(default = "default_max_samples")]
    pub max_samples: u32,
    /// How long the answer may wait for samples.
    #[serde(default)]
    pub wait_ms: u64,
}

const fn default_max_samples() -> u32 {
    64
}

/// The answer to a pull.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// Samples that the trainer does not hold yet.
    pub samples: Vec<Sample>,
    /// Slots that neither the trainer nor this answer holds.
    pub open_slots: u32,
}

/// A run of tokens that one weight version made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The base weights.
    pub weight_version: WeightVersion,
    /// The place of the first token in the sample.
    pub first_token: u32,
    /// How many tokens follow, the first among them.
    pub token_count: u32,
    /// The adapter that was on, or empty.
    pub adapter: String,
    /// The version of that adapter.
    pub adapter_version: u64,
}

/// One sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Names the sample for `mimosavane explain`.
    pub sample_id: String,
    /// The group that it belongs to.
    pub group: GroupNumber,
    /// Its place in the group.
    pub index: SampleIndex,
    /// The generated tokens.
    pub token_ids: Vec<u32>,
    /// Which weights made which tokens; they cover all tokens in order.
    pub segments: Vec<Segment>,
    /// Why generation ended.
    pub finish_reason: String,
}

impl Submission {
    /// Turns the submission into the message between hosts.
    pub fn into_spec(self, trainer: &RowId, step: StepNumber) -> peer::StepSpec {
        peer::StepSpec {
            trainer: trainer.to_string(),
            step,
            weight_version: self.weight_version,
            seed: self.seed,
            groups: self.groups.into_iter().map(Group::into_message).collect(),
        }
    }
}

impl Group {
    fn into_message(self) -> peer::PromptGroup {
        peer::PromptGroup {
            group: self.group,
            prompt_tokens: self.prompt_token_ids,
            sample_count: self.sample_count,
            max_tokens: self.max_tokens,
        }
    }
}

impl Pull {
    /// Turns the pull into the message between hosts.
    pub fn into_message(self, trainer: &RowId, step: StepNumber) -> peer::PullRequest {
        peer::PullRequest {
            trainer: trainer.to_string(),
            step,
            attach: self.attach,
            weight_version: self.weight_version,
            held: self.held.into_iter().map(Held::into_message).collect(),
            max_samples: self.max_samples,
            wait_ms: self.wait_ms,
            forwarded: false,
        }
    }
}

impl Held {
    fn into_message(self) -> peer::HeldSlots {
        peer::HeldSlots {
            group: self.group,
            indexes: self.indexes,
        }
    }
}

impl From<peer::Sample> for Sample {
    fn from(message: peer::Sample) -> Self {
        let slot = message.slot.unwrap_or_default();
        Self {
            sample_id: message.sample_id,
            group: slot.group,
            index: slot.index,
            token_ids: message.tokens,
            segments: message.segments.into_iter().map(Segment::from).collect(),
            finish_reason: message.finish_reason,
        }
    }
}

impl From<peer::Segment> for Segment {
    fn from(message: peer::Segment) -> Self {
        Self {
            weight_version: message.weight_version,
            first_token: message.first_token,
            token_count: message.token_count,
            adapter: message.adapter,
            adapter_version: message.adapter_version,
        }
    }
}
