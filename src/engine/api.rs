//! The messages of the engines' HTTP interface.
//!
//! This interface is all that the project knows about an engine. The fields
//! are described in docs/ENGINES.md.

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, FenceNumber, WeightVersion};

/// The body of a completion request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// The identifier by which the request can be cancelled.
    pub request_id: String,
    /// The model's name.
    pub model: String,
    /// The tokens of the prompt.
    pub prompt_token_ids: Vec<u32>,
    /// The tokens that an earlier attempt generated, to continue from.
    pub resume_token_ids: Vec<u32>,
    /// The maximum number of tokens to generate, including resumed ones.
    pub max_tokens: u32,
    /// The seed of the sampling.
    pub seed: u64,
    /// The priority; lower values are served first.
    pub priority: i32,
    /// Always true: engines only stream their answers.
    pub stream: bool,
}

/// One chunk of a streamed completion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionChunk {
    /// The index of the chunk in its stream.
    pub index: u32,
    /// The generated tokens.
    pub token_ids: Vec<u32>,
    /// The version of the weights that generated the tokens.
    pub weight_version: Option<WeightVersion>,
    /// The identifier of the start of the engine process.
    pub boot_id: BootId,
    /// The adapter in use, or empty for none.
    pub adapter: String,
    /// The version of that adapter.
    pub adapter_version: u64,
    /// The reason why generation ended; set on the last chunk only.
    pub finish_reason: Option<String>,
}

/// An engine's report of its state and load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The identifier of the start of the engine process.
    pub boot_id: BootId,
    /// The version of the loaded weights.
    pub weight_version: WeightVersion,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The maximum number of requests that run in one batch.
    pub slots: u32,
    /// The recent generation time per token in microseconds.
    pub token_time_us: u64,
    /// The state of the weight swap: `idle`, `loading` or `failed`.
    pub swap_state: String,
    /// Whether the engine is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// The fencing number of the lease under which the order is sent.
    pub fence: FenceNumber,
    /// The kind of order: `load-weights`, `load-adapter` or `set-role`.
    pub kind: String,
    /// The version to load.
    pub version: u64,
    /// The adapter to load, for `load-adapter`.
    pub adapter: String,
    /// The role to assume, for `set-role`.
    pub role: String,
}
