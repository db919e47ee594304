//! The JSON bodies of the platform's messages, with the platform's field names.

use std::{collections::BTreeMap, fmt};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{self, Error as _, Visitor},
};

use crate::ingress::routes::RouteKind;

/// The newest configuration.
#[derive(Debug, Deserialize)]
pub struct ConfigurationDocument {
    pub version: u64,
    #[serde(default)]
    pub routes: Vec<RouteDocument>,
    #[serde(default)]
    pub services: Vec<ServiceDocument>,
    pub limits: LimitsDocument,
    /// The accounts of clients; absent if requests carry no keys.
    #[serde(default)]
    pub tenants: Option<Vec<TenantDocument>>,
}

/// An account of clients. Other fields, such as quotas, are not in force here.
#[derive(Debug, Deserialize)]
pub struct TenantDocument {
    pub name: String,
    #[serde(default)]
    pub api_keys: Vec<String>,
    #[serde(default)]
    pub priority: Option<u32>,
}

/// A route.
#[derive(Debug, Deserialize)]
pub struct RouteDocument {
    #[serde(default)]
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    #[serde(deserialize_with = "decode_kind")]
    pub kind: RouteKind,
    #[serde(default)]
    pub timeout_ms: Option<f64>,
    #[serde(default)]
    pub target_latency_ms: Option<f64>,
    #[serde(default)]
    pub priority: u32,
    /// The service, if the route is not split.
    #[serde(default)]
    pub service: Option<String>,
    #[serde(default)]
    pub traffic_split: Vec<SplitDocument>,
    /// The maximum number of upstreams to which one attempt of a client is sent.
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
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
}

const KINDS: &[&str] = &["idempotent", "non_idempotent", "streaming", "rollout"];

fn decode_kind<'a, D: Deserializer<'a>>(deserializer: D) -> Result<RouteKind, D::Error> {
    match &*String::deserialize(deserializer)? {
        "idempotent" => Ok(RouteKind::Idempotent),
        "non_idempotent" => Ok(RouteKind::NonIdempotent),
        "streaming" => Ok(RouteKind::Streaming),
        "rollout" | "batch" => Ok(RouteKind::Batch),
        other => Err(D::Error::unknown_variant(other, KINDS)),
    }
}

/// The share of one service in a route's traffic.
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
    #[serde(default)]
    pub scaling: Option<ScalingDocument>,
}

/// The bounds and prices of a service's upstreams.
#[derive(Debug, Deserialize)]
pub struct ScalingDocument {
    #[serde(default)]
    pub min: usize,
    pub max: usize,
    #[serde(default)]
    pub boot_s: f64,
    /// The price of upstreams that may be reclaimed, relative to the others.
    #[serde(default)]
    pub spot_price: Option<f64>,
    #[serde(default)]
    pub zone_prices: BTreeMap<String, f64>,
}

/// The resources of each engine of a service.
#[derive(Debug, Deserialize)]
pub struct EngineDocument {
    pub slots: usize,
    #[serde(default)]
    pub kv_capacity_tokens: u64,
    /// The number of tokens in an event of a stream.
    #[serde(default)]
    pub stride: u64,
}

/// The limits on the requests of clients.
#[derive(Debug, Deserialize)]
pub struct LimitsDocument {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// A weight version that a trainer named.
#[derive(Debug, Deserialize)]
pub struct VersionDocument {
    pub model: String,
    pub version: u64,
}

/// The entry of an upstream. Other writers' entries, with fields missing or of another type,
/// name no upstream. Its `sequence` counts heartbeats, not orders.
#[derive(Debug, Deserialize)]
pub struct UpstreamDocument {
    /// The version of the upstream's software, not that of any weights.
    pub version: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: usize,
    pub state: String,
    /// Read only since an entry has it.
    #[serde(rename = "cold_remaining_ms")]
    pub _cold_remaining_ms: f64,
    /// Read only since an entry has it.
    #[serde(rename = "sequence")]
    pub _sequence: u64,
    #[serde(default)]
    pub models: Vec<ModelDocument>,
    /// The start time of the upstream, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: u64,
    /// Whether the platform may reclaim it.
    #[serde(default)]
    pub spot: bool,
    /// The time until it leaves.
    #[serde(default)]
    pub leaves_ms: Option<f64>,
}

/// The weights of one model that an engine holds.
#[derive(Debug, Deserialize)]
pub struct ModelDocument {
    pub name: String,
    pub version: u64,
}

/// The report of an engine. Its `sequence` counts the orders that the engine
/// accepted.
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
    /// The treatment of current runs: `wait`, `truncate` or `retain`.
    pub mode: &'a str,
    pub holder: &'a str,
    pub fence: u64,
    /// The number of orders that the engine must have accepted before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected: Option<u64>,
}

/// The usage of one window.
#[derive(Debug, Serialize)]
pub struct UsageDocument<'a> {
    pub window: u64,
    pub counts: BTreeMap<&'a str, u64>,
}

/// An order of upstreams.
#[derive(Debug, Serialize)]
pub struct ScaleDocument<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub desired_count: usize,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
}

/// A submitted batch job.
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

/// Bytes that are written in base64. They are decoded as they are parsed, since the text of a
/// large job would otherwise be held beside them.
#[derive(Debug)]
pub struct Base64Text {
    /// The bytes, or `None` if the text is not base64.
    pub decoded: Option<Vec<u8>>,
}

impl Default for Base64Text {
    fn default() -> Self {
        Self {
            decoded: Some(Vec::new()),
        }
    }
}

impl<'de> Deserialize<'de> for Base64Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TextVisitor;

        impl Visitor<'_> for TextVisitor {
            type Value = Base64Text;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a text in base64")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Base64Text, E> {
                Ok(Base64Text {
                    decoded: STANDARD.decode(text).ok(),
                })
            }
        }

        deserializer.deserialize_str(TextVisitor)
    }
}

/// An item of a submitted batch job.
#[derive(Debug, Deserialize)]
pub struct ItemDocument {
    pub id: String,
    pub path: String,
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The body, in base64.
    #[serde(default)]
    pub body: Base64Text,
    /// The sum of the prompt tokens and the maximum output tokens.
    #[serde(default)]
    pub tokens: u64,
    #[serde(default)]
    pub group: String,
    /// The reward call, if the item is to be scored.
    #[serde(default)]
    pub scorer: Option<ScorerDocument>,
}

/// The reward call of an item.
#[derive(Debug, Deserialize)]
pub struct ScorerDocument {
    pub id: String,
    pub host: String,
    pub path: String,
    /// The body, in base64.
    #[serde(default)]
    pub body: Base64Text,
}

/// A page of results of a batch job.
#[derive(Debug, Serialize)]
pub struct ResultsDocument<'a> {
    pub total: usize,
    pub next: usize,
    pub results: Vec<ResultDocument<'a>>,
}

/// The result of one item.
#[derive(Debug, Serialize)]
pub struct ResultDocument<'a> {
    pub id: &'a str,
    pub state: &'a str,
    pub text: &'a str,
    pub versions: Vec<u64>,
    /// The signature on the answer to the reward call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub score: Option<&'a str>,
}

/// A transaction on rows.
#[derive(Debug, Serialize)]
pub struct ChangeDocument<'a> {
    pub expected: Vec<ExpectedDocument<'a>>,
    pub put: Vec<PutDocument<'a>>,
    pub remove: Vec<NameDocument<'a>>,
}

/// The expected version of a row.
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
    /// The value, in base64.
    pub value: String,
}

/// A row to remove.
#[derive(Debug, Serialize)]
pub struct NameDocument<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key: &'a str,
}

/// An answer of the store about rows.
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

/// A row in an answer of the store.
#[derive(Debug, Deserialize)]
pub struct RowDocument {
    #[serde(default)]
    pub part: String,
    #[serde(default)]
    pub key: String,
    /// The value, in base64.
    #[serde(default)]
    pub value: Option<String>,
    #[serde(default)]
    pub ver: u64,
    #[serde(default)]
    pub deleted: bool,
}

/// A page of partition names of a table.
#[derive(Debug, Default, Deserialize)]
pub struct PartitionsDocument {
    #[serde(default)]
    pub parts: Vec<String>,
}
