//! The types of a batch job, its items and their results.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, StepNumber, WeightVersion};

/// The identifier of a batch job, chosen by the client.
pub type JobId = Arc<str>;

/// The identifier of an item, unique within its job.
pub type ItemId = Arc<str>;

/// The identifier of a group of items that share a prompt.
pub type GroupId = Arc<str>;

/// The identifier of a model whose weights are versioned.
pub type ModelId = Arc<str>;

/// The number of an event in an item's output; the first is 1.
pub type EventNumber = u64;

/// The signature of an upstream on the answer to a reward call, which is the
/// score of an item's output.
pub type Score = Arc<str>;

/// The request for the score of an item's output, as the client submitted it.
///
/// It is sent once the output is complete (see docs/design/rewards.md).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardRequest {
    /// The identifier, which is sent with each attempt.
    pub id: Arc<str>,
    /// The value of the `Host` header, which selects the route with the path.
    pub authority: String,
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: Bytes,
}

/// A part of a prompt that other items may have as well.
///
/// An engine that holds a part and all parts before it, read under the same weights, does
/// not read them again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier, chosen by the client.
    pub id: String,
    /// The length of the part.
    pub tokens: u64,
}

/// One item as the client submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The identifier.
    pub id: ItemId,
    /// The group that the item belongs to.
    pub group: GroupId,
    /// The path of the request to the engine.
    pub path: String,
    /// The headers of the request to the engine.
    pub headers: Vec<(String, String)>,
    /// The body of the request to the engine.
    pub body: Bytes,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The client's estimate of the output's length, or the maximum length if
    /// the client gives no estimate.
    pub length_hint_tokens: u64,
    /// The request for the score of the output, without which the item is not
    /// completed. It is encoded apart from the other fields, so that hosts of
    /// earlier versions can read the item (see [`crate::batch::layout`]).
    #[serde(skip)]
    pub reward: Option<Arc<RewardRequest>>,
}

/// A batch job without its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHead {
    /// The service whose engines run the items.
    pub service: Arc<str>,
    /// The route by which the job was submitted.
    pub route: Arc<str>,
    /// The value of the `Host` header of the requests to the engines.
    pub authority: String,
    /// The model that generates the outputs.
    pub model: ModelId,
    /// The trainer's step.
    pub step: StepNumber,
    /// The oldest weight version that may generate an output.
    pub min_version: WeightVersion,
    /// Whether a single weight version must generate the whole output of an
    /// item.
    pub single_version: bool,
    /// The number of failed runs after which an item fails.
    pub max_attempts: u32,
    /// The time after acceptance at which unfinished items may be failed.
    pub item_ttl: Duration,
    /// The time after acceptance at which the results are due.
    pub due: Duration,
    /// The store's clock at acceptance.
    pub accepted_at: Duration,
    /// The number of items.
    pub item_count: usize,
    /// The account that submitted the job; `None` if requests carried no keys. It is
    /// encoded apart from the other fields, as [`Item::reward`] is.
    #[serde(skip)]
    pub account: Option<AccountId>,
    /// The priority of the job; 0 is the most urgent, and that of all jobs where requests
    /// carry no keys. It is encoded with the account.
    #[serde(skip)]
    pub priority: u32,
}

/// A batch job with its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The identifier.
    pub id: JobId,
    /// The attributes that all items share.
    pub head: JobHead,
    /// The items in the order of their submission.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ItemState {
    /// The output is complete.
    Completed,
    /// The item expired, failed too often, can never be completed, or its
    /// reward call failed too often.
    Failed,
}

/// The listed result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: ItemId,
    /// How the item ended.
    pub state: ItemState,
    /// The data of the output's events, separated by line feeds.
    pub text: String,
    /// All weight versions that generated an event of the text.
    pub versions: BTreeSet<WeightVersion>,
    /// The score of the text, if the item asked for one and is completed. It is
    /// encoded apart from the other fields, as [`Item::reward`] is.
    #[serde(skip)]
    pub score: Option<Score>,
}
