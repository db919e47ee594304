//! The messages of the engines' HTTP interface.
//!
//! They are the border to the engines: nothing else of them is known. The fields
//! are described in docs/ENGINES.md.

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, FenceNumber, WeightVersion};

/// The body of a completion request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// Names the request for cancelling.
    pub request_id: String,
    /// The model's name.
    pub model: String,
    /// The prompt in tokens.
    pub prompt_token_ids: Vec<u32>,
    /// Tokens that an earlier attempt generated, to go on from.
    pub resume_token_ids: Vec<u32>,
    /// The most tokens to generate, the resumed ones among them.
    pub max_tokens: u32,
    /// Seeds the sampling.
    pub seed: u64,
    /// Lower goes first.
    pub priority: i32,
    /// Always true; whole answers are not offered.
    pub stream: bool,
}

/// One chunk of a streamed completion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionChunk {
    /// The place of the chunk in its stream.
    pub index: u32,
    /// The tokens.
    pub token_ids: Vec<u32>,
    /// The weights that made them.
    pub weight_version: Option<WeightVersion>,
    /// The start of the process that made them.
    pub boot_id: BootId,
    /// The adapter that was on, or empty.
    pub adapter: String,
    /// The version of that adapter.
    pub adapter_version: u64,
    /// Why generation ended, on the last chunk.
    pub finish_reason: Option<String>,
}

/// What the engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The start of its process.
    pub boot_id: BootId,
    /// The weights that it runs.
    pub weight_version: WeightVersion,
    /// Requests that it generates for.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it batches.
    pub slots: u32,
    /// How long one token took of late.
    pub token_time_us: u64,
    /// `idle`, `loading` or `failed`.
    pub swap_state: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// The fencing number of the lease it is given under.
    pub fence: FenceNumber,
    /// `load-weights`, `load-adapter` or `set-role`.
    pub kind: String,
    /// The version to load.
    pub version: u64,
    /// The adapter, for `load-adapter`.
    pub adapter: String,
    /// The role, for `set-role`.
    pub role: String,
}
