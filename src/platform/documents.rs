//! The bodies of the platform's messages, as they are spelled.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The newest configuration.
#[derive(Debug, Deserialize)]
pub struct ConfigurationDocument {
    pub version: u64,
    #[serde(default)]
    pub routes: Vec<RouteDocument>,
    #[serde(default)]
    pub services: Vec<ServiceDocument>,
    pub limits: LimitsDocument,
}

/// A route.
#[derive(Debug, Deserialize)]
pub struct RouteDocument {
    #[serde(default)]
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub kind: String,
    #[serde(default)]
    pub timeout_ms: Option<f64>,
    #[serde(default)]
    pub target_latency_ms: Option<f64>,
    #[serde(default)]
    pub priority: u32,
    /// The service, where the route is not split.
    #[serde(default)]
    pub service: Option<String>,
    #[serde(default)]
    pub traffic_split: Vec<SplitDocument>,
    /// To how many upstreams one attempt of a client may be sent.
    #[serde(default)]
    pub max_attempts: Option<u32>,
    #[serde(default)]
    pub item_ttl_s: Option<f64>,
    #[serde(default)]
    pub result_due_ms: Option<f64>,
    #[serde(default)]
    pub single_version: bool,
    #[serde(default)]
    pub resumable: bool,
}

/// A service's share of a route.
#[derive(Debug, Deserialize)]
pub struct SplitDocument {
    pub service: String,
    pub weight: f64,
}

/// A service.
#[derive(Debug, Deserialize)]
pub struct ServiceDocument {
    pub name: String,
    #[serde(default)]
    pub engine: Option<EngineDocument>,
}

/// What the engines of a service have.
#[derive(Debug, Deserialize)]
pub struct EngineDocument {
    pub slots: usize,
    #[serde(default)]
    pub kv_capacity_tokens: u64,
    /// How many tokens an event of a stream holds.
    #[serde(default)]
    pub stride: u64,
}

/// What clients may send.
#[derive(Debug, Deserialize)]
pub struct LimitsDocument {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// A version that a trainer named.
#[derive(Debug, Deserialize)]
pub struct VersionDocument {
    pub model: String,
    pub version: u64,
}

/// An upstream's entry; its `sequence` counts heartbeats, not orders.
#[derive(Debug, Deserialize)]
pub struct UpstreamDocument {
    pub service: String,
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub slots: usize,
    pub state: String,
    #[serde(default)]
    pub models: Vec<ModelDocument>,
    /// The Unix millisecond of its start.
    #[serde(default)]
    pub born: u64,
}

/// The weights of one model that an engine holds.
#[derive(Debug, Deserialize)]
pub struct ModelDocument {
    pub name: String,
    pub version: u64,
}

/// An engine's report; its `sequence` counts the orders that it accepted.
#[derive(Debug, Deserialize)]
pub struct ReportDocument {
    #[serde(default)]
    pub models: Vec<ModelDocument>,
    #[serde(default)]
    pub busy: bool,
    #[serde(default)]
    pub sequence: u64,
}

/// An order to an engine.
#[derive(Debug, Serialize)]
pub struct OrderDocument<'a> {
    pub operation: &'a str,
    pub model: &'a str,
    pub version: u64,
    /// What becomes of the runs: `wait`, `truncate` or `retain`.
    pub mode: &'a str,
    pub holder: &'a str,
    pub fence: u64,
    /// How many orders the engine must have accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected: Option<u64>,
}

/// A batch job as it is submitted.
#[derive(Debug, Deserialize)]
pub struct JobDocument {
    #[serde(default)]
    pub step: u64,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub min_version: u64,
    pub items: Vec<ItemDocument>,
}

/// An item as it is submitted.
#[derive(Debug, Deserialize)]
pub struct ItemDocument {
    pub id: String,
    pub path: String,
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// In base64.
    #[serde(default)]
    pub body: String,
    /// The sum of the prompt tokens and the most output tokens.
    #[serde(default)]
    pub tokens: u64,
    #[serde(default)]
    pub group: String,
}

/// Results of a batch job.
#[derive(Debug, Serialize)]
pub struct ResultsDocument<'a> {
    pub total: usize,
    pub next: usize,
    pub results: Vec<ResultDocument<'a>>,
}

/// One result.
#[derive(Debug, Serialize)]
pub struct ResultDocument<'a> {
    pub id: &'a str,
    pub state: &'a str,
    pub text: &'a str,
    pub versions: Vec<u64>,
}

/// A change of rows.
#[derive(Debug, Serialize)]
pub struct ChangeDocument<'a> {
    pub expected: Vec<ExpectedDocument<'a>>,
    pub put: Vec<PutDocument<'a>>,
    pub remove: Vec<NameDocument<'a>>,
}

/// The version that a row must have.
#[derive(Debug, Serialize)]
pub struct ExpectedDocument<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key: &'a str,
    pub ver: u64,
}

/// A row to write.
#[derive(Debug, Serialize)]
pub struct PutDocument<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key: &'a str,
    /// In base64.
    pub value: String,
}

/// A row to remove.
#[derive(Debug, Serialize)]
pub struct NameDocument<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key: &'a str,
}

/// Any answer of the store about rows.
#[derive(Debug, Default, Deserialize)]
pub struct RowsDocument {
    #[serde(default)]
    pub rows: Vec<RowDocument>,
    #[serde(default)]
    pub has_more: bool,
    #[serde(default)]
    pub ver: u64,
    #[serde(default)]
    pub now_ms: f64,
}

/// One row.
#[derive(Debug, Deserialize)]
pub struct RowDocument {
    #[serde(default)]
    pub part: String,
    #[serde(default)]
    pub key: String,
    /// In base64.
    #[serde(default)]
    pub value: Option<String>,
    #[serde(default)]
    pub ver: u64,
    #[serde(default)]
    pub deleted: bool,
}

/// The partitions of a table.
#[derive(Debug, Default, Deserialize)]
pub struct PartitionsDocument {
    #[serde(default)]
    pub parts: Vec<String>,
}
