//! The interface between a host and the platform's protocol.
//!
//! The host decides what to send, and the adapter encodes and decodes the
//! messages: no name of the platform's protocol appears outside
//! `src/platform/`.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, request, response};
use serde::de::Error as _;

use crate::{
    batch::job::{
        EventNumber, Item, ItemId, ItemResult, Job, JobId, ModelId, PromptPart, RewardRequest,
        Score,
    },
    connection::UpstreamRequest,
    ids::{AccountId, FailureDomain, FenceNumber, HostId, UpstreamId, WeightVersion},
    ingress::{
        accounts::Holder,
        configuration_check::Undecodable,
        directory::Upstream,
        routes::{Configuration, Route, ServiceName},
    },
    store::rows::StoredRow,
};

/// The platform's fields in the head of a client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientHead {
    /// Identifies the client's attempt; forwarded to the upstream unchanged.
    pub attempt_id: Option<Arc<str>>,
    /// How long the client waits for the answer.
    pub client_timeout: Option<Duration>,
    /// How long a read may wait for new results.
    pub wait: Option<Duration>,
    /// The event after which a stream resumes.
    pub last_event: Option<EventNumber>,
    /// The client's attempt that brought the first event of the stream that resumes.
    pub resumed_attempt: Option<Arc<str>>,
}

impl ClientHead {
    /// Returns whether the client goes on with a stream of which it has events.
    pub fn is_resuming(&self) -> bool {
        self.resumed_attempt.is_some() || self.last_event.is_some_and(|number| number > 0)
    }
}

/// The key in the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    /// The request has no key.
    Missing,
    /// The request has one key.
    One(&'a [u8]),
    /// The request has several keys, so that it is not clear whose it is.
    Several,
}

/// On whose behalf a request is sent to an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Caller {
    /// Requests carry no keys, and nothing of them is hidden from upstreams.
    #[default]
    Unknown,
    /// The request has no account, which its route allows.
    Public,
    /// The request was sent with a key of this account.
    Account(Holder),
}

impl Caller {
    /// Returns the account, if the request has one.
    pub const fn account(&self) -> Option<&AccountId> {
        match self {
            Self::Account(holder) => Some(&holder.id),
            Self::Unknown | Self::Public => None,
        }
    }

    /// Returns whether the caller may see what belongs to `owner`. Anyone may see what
    /// belongs to no account.
    pub fn may_see(&self, owner: Option<&AccountId>) -> bool {
        match self {
            Self::Unknown => true,
            Self::Public | Self::Account(_) => owner.is_none() || owner == self.account(),
        }
    }
}

/// The usage of one window, for the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The number of the window since the Unix epoch.
    pub window: u64,
    /// How many requests of each account began to run in it.
    pub counts: BTreeMap<AccountId, u64>,
}

/// An order of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: ServiceName,
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// How many upstreams of the kind are wanted there.
    pub wanted_count: usize,
    /// Whether upstreams are ordered that the platform may reclaim.
    pub is_spot: bool,
}

/// Who makes a call to the platform on behalf of all hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// The host.
    pub host: HostId,
    /// The fencing number of its lease.
    pub fence: FenceNumber,
}

/// How the platform answered a call that one host makes for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyAnswer {
    /// It was done.
    Done,
    /// No upstreams are available there now.
    NoCapacity,
    /// The platform takes no more calls at present.
    RateLimited,
    /// The platform refuses the call for good, also when it is repeated.
    Rejected,
    /// Anything else, which leaves the outcome unknown.
    Unclear,
}

/// A call to the batch job interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Results {
        /// The job.
        job: JobId,
        /// The first position.
        from: usize,
    },
    /// Reads the body of an item.
    Body {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// Ends the job.
    End {
        /// The job.
        job: JobId,
    },
    /// The path belongs to the interface, but the call is invalid.
    Malformed,
}

impl JobCall {
    /// Returns the job, if the call names one.
    pub const fn job(&self) -> Option<&JobId> {
        match self {
            Self::Results { job, .. } | Self::Body { job, .. } | Self::End { job } => Some(job),
            Self::Malformed => None,
        }
    }
}

/// What an answer says of the rate of requests that its upstream takes from all
/// hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The upstream names no limit.
    #[default]
    None,
    /// The upstream takes this many requests per second.
    PerSecond(f64),
    /// The upstream names a limit that cannot be decoded.
    Unreadable,
}

/// The platform's fields in the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// The attempt that is answered.
    pub attempt_id: Option<String>,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether a different upstream answered at the address.
    pub is_misdirected: bool,
    /// Whether the upstream that answered states that it is leaving.
    pub is_leaving: bool,
    /// The limit on requests of all hosts that the upstream names.
    pub stated_limit: StatedLimit,
    /// The upstream's signature, if it signed the answer.
    pub signature: Option<Score>,
    /// The weight version that generates the answer.
    pub version: Option<WeightVersion>,
}

/// The reason of a request that an upstream refused because it is full.
pub const FULL: &str = "full";

impl AnswerHead {
    /// Returns whether the answer may be that to the attempt `id`.
    ///
    /// Upstreams name the attempt in what they sign. A signed answer without a name
    /// may be a late copy of another one, as one with another name is.
    pub fn may_answer(&self, id: &str) -> bool {
        match &self.attempt_id {
            Some(answered) => answered == id,
            None => self.signature.is_none(),
        }
    }

    /// Returns why the upstream did not run the request, or `None` if it may have.
    pub const fn not_run_reason(&self) -> Option<&'static str> {
        match (self.is_misdirected, self.is_not_run) {
            (true, _) => Some("misdirected"),
            (false, true) => Some(FULL),
            (false, false) => None,
        }
    }
}

/// The upstream to which a request is addressed.
#[derive(Clone, Copy, Debug)]
pub struct Addressee<'a> {
    /// The id of the upstream, which must be the one that answers.
    pub id: &'a UpstreamId,
    /// The address of the upstream.
    pub address: SocketAddr,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model to load.
    pub model: ModelId,
    /// The version to load.
    pub version: WeightVersion,
    /// The host that sends the order.
    pub holder: Arc<str>,
    /// The fencing number of its lease.
    pub fence: FenceNumber,
    /// How many orders the engine must have accepted before this one.
    pub expected_order_count: Option<u64>,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// The engine is executing the order.
    Accepted,
    /// The engine is already in the ordered state.
    Holds,
    /// Another order is in progress, or the engine accepted another number of
    /// orders.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine does not know the version, or considers the order malformed.
    Rejected,
    /// A different upstream answered at the address.
    Misdirected,
    /// Any other answer, which leaves the outcome unknown.
    Unclear,
}

/// An engine's report of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// How many orders the engine has accepted since its start.
    pub order_count: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The loaded version of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

/// A change made by the operator or a trainer.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A new configuration.
    Configuration(Configuration),
    /// A trainer published a version of its model.
    Version(ModelId, WeightVersion),
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's number.
    pub number: EventNumber,
    /// The event's data.
    pub data: String,
    /// The weight version that generates from this event on, if it changed.
    pub version: Option<WeightVersion>,
}

/// Why a message cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The text does not follow the format.
    #[error("{path}: {source}")]
    Format {
        /// The path of the field.
        path: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A field has an unusable value.
    #[error("the field {field} has an unusable value")]
    Field {
        /// The field.
        field: &'static str,
    },
}

impl DecodeError {
    /// Returns the error of a parser at `path`. If the value there may be a secret, the text
    /// does not quote it.
    pub fn format(path: String, source: serde_json::Error, is_secret: bool) -> Self {
        let text = source.to_string();
        let source = match text.rsplit_once(", expected ") {
            Some((_, expected)) if is_secret => {
                serde_json::Error::custom(format_args!("expected {expected}"))
            }
            _ => source,
        };
        Self::Format { path, source }
    }
}

impl From<DecodeError> for Undecodable {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Format { path, source } => Self {
                path,
                reason: source.to_string(),
            },
            DecodeError::Field { field } => Self {
                path: field.to_owned(),
                reason: "unusable value".to_owned(),
            },
        }
    }
}

/// An incremental parser of an event stream.
pub trait EventParser: Default {
    /// Parses more bytes, and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are not an event stream.
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, DecodeError>;

    /// Returns whether an event has begun and is not complete.
    fn is_inside_event(&self) -> bool;
}

/// Encodes and decodes all messages of the platform's protocol.
pub trait Wire: 'static {
    /// The table to which the operator and the trainers write.
    const OPERATOR_TABLE: &'static str;
    /// The first key of the rows in which trainers name versions, and the key after
    /// the last one.
    const VERSION_KEYS: (&'static str, &'static str);
    /// The key of the row with the operator's configuration.
    const CONFIGURATION_KEY: &'static str;
    /// The table in which upstreams register.
    const UPSTREAM_TABLE: &'static str;
    /// The path of the platform's readiness probe.
    const READY_PATH: &'static str;
    /// The parser of event streams.
    type Events: EventParser;

    /// Decodes the platform's fields in the head of a client's request.
    fn client_head(parts: &request::Parts) -> ClientHead;

    /// Decodes the key of an account in the head of a request.
    fn presented_key(headers: &HeaderMap) -> PresentedKey<'_>;

    /// Decodes a call to the batch job interface, or returns `None` if the path
    /// is not part of it.
    fn job_call(parts: &request::Parts) -> Option<JobCall>;

    /// Decodes a batch job that `caller` submitted.
    ///
    /// # Errors
    ///
    /// Fails where the body is not a batch job.
    fn job(
        id: &JobId,
        parts: &request::Parts,
        body: &[u8],
        route: &Route,
        caller: &Caller,
    ) -> Result<Job, DecodeError>;

    /// Returns what the structure of a batch job in `body` needs at most once it is decoded,
    /// beside the bodies of its items.
    fn job_overhead_bytes(body: &[u8]) -> usize;

    /// Decodes the shared parts of an item's prompt, in their order.
    fn prompt_parts(item: &Item) -> Vec<PromptPart>;

    /// Encodes results of a job.
    fn results(total_count: usize, next: usize, results: &[ItemResult]) -> Bytes;

    /// Encodes a request of `caller` for an upstream.
    fn call_request(
        parts: &request::Parts,
        body: Bytes,
        caller: &Caller,
        to: Addressee<'_>,
        remaining: Duration,
    ) -> UpstreamRequest;

    /// Encodes an item's request for an engine, on behalf of `account` if it has one.
    fn item_request(
        authority: &str,
        account: Option<&AccountId>,
        item: &Item,
        to: Addressee<'_>,
        last_event: EventNumber,
    ) -> UpstreamRequest;

    /// Encodes a reward call on behalf of `account` if it has one, which the upstream may
    /// work on for `remaining`.
    fn reward_request(
        reward: &RewardRequest,
        account: Option<&AccountId>,
        to: Addressee<'_>,
        remaining: Duration,
    ) -> UpstreamRequest;

    /// Encodes an order for an engine.
    fn order_request(order: &LoadOrder, to: Addressee<'_>) -> UpstreamRequest;

    /// Encodes a request for an engine's report.
    fn report_request(to: Addressee<'_>) -> UpstreamRequest;

    /// Encodes a usage report, which is sent to the platform at `address`.
    fn usage_request(
        report: &UsageReport,
        holder: &DutyHolder,
        address: SocketAddr,
    ) -> UpstreamRequest;

    /// Encodes an order of upstreams, which is sent to the platform at `address`.
    fn scale_request(
        order: &ScaleOrder,
        holder: &DutyHolder,
        address: SocketAddr,
    ) -> UpstreamRequest;

    /// Decodes the platform's answer to a usage report or an order of upstreams.
    fn duty_answer(parts: &response::Parts) -> DutyAnswer;

    /// Decodes the platform's fields in the head of an upstream's answer.
    fn answer_head(parts: &response::Parts) -> AnswerHead;

    /// Decodes an engine's answer to an order.
    fn order_answer(parts: &response::Parts) -> OrderAnswer;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// Fails where the body is not a report.
    fn report(body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Decodes a row that the operator or a trainer wrote, or returns `None`
    /// for rows of other uses.
    ///
    /// # Errors
    ///
    /// Fails where the row's value cannot be decoded.
    fn operator_change(row: &StoredRow) -> Result<Option<OperatorChange>, DecodeError>;

    /// Decodes an upstream's row.
    ///
    /// # Errors
    ///
    /// Fails where the row does not describe a usable upstream.
    fn upstream(row: &StoredRow) -> Result<Upstream, DecodeError>;
}
