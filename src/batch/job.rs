//! The types of a batch job, its items and their results.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{StepNumber, WeightVersion};

/// Names a batch job; the client chooses it.
pub type JobId = Arc<str>;

/// Names an item; unique in its job.
pub type ItemId = Arc<str>;

/// Names a group of items that share their prompt.
pub type GroupId = Arc<str>;

/// Names a model whose weights have versions.
pub type ModelId = Arc<str>;

/// The number of an event in an item's output; the first is 1.
pub type EventNumber = u64;

/// One item as the client submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its name.
    pub id: ItemId,
    /// The group that it belongs to.
    pub group: GroupId,
    /// The path that it is sent to.
    pub path: String,
    /// The headers that it is sent with.
    pub headers: Vec<(String, String)>,
    /// The body that it is sent with.
    pub body: Bytes,
    /// How many tokens its prompt has.
    pub prompt_tokens: u64,
    /// The client's estimate of its output; the most that it may be where the
    /// client gives none.
    pub length_hint_tokens: u64,
}

/// A batch job without its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHead {
    /// The service whose engines run it.
    pub service: Arc<str>,
    /// The route that it came by.
    pub route: Arc<str>,
    /// The value of the header `Host` that its items are sent with.
    pub authority: String,
    /// The model that generates.
    pub model: ModelId,
    /// The trainer's step.
    pub step: StepNumber,
    /// The oldest version of the weights that may generate.
    pub min_version: WeightVersion,
    /// Whether one version must have made all of an item.
    pub single_version: bool,
    /// How many failed runs make an item fail.
    pub max_attempts: u32,
    /// How long after its acceptance an item may be given up.
    pub item_ttl: Duration,
    /// How long after its acceptance its results are due.
    pub due: Duration,
    /// The store's clock when it was accepted.
    pub accepted_at: Duration,
    /// How many items it has.
    pub item_count: usize,
}

/// A batch job with its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// What holds for all items.
    pub head: JobHead,
    /// The items in the order of the submission.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ItemState {
    /// Its output is whole.
    Completed,
    /// It was given up or can never be done.
    Failed,
}

/// What a job lists of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: ItemId,
    /// How it ended.
    pub state: ItemState,
    /// The data of its events, separated by line feeds.
    pub text: String,
    /// All versions of the weights that generated an event of the text.
    pub versions: BTreeSet<WeightVersion>,
}
