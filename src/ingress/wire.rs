//! What the platform's adapter translates for this host.
//!
//! The product decides and the adapter spells: no name of the platform's
//! protocol stands outside `src/platform/`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{request, response};

use crate::{
    batch::job::{EventNumber, Item, ItemId, ItemResult, Job, JobId, ModelId},
    connection::UpstreamRequest,
    ids::{FenceNumber, UpstreamId, WeightVersion},
    ingress::{
        directory::Upstream,
        routes::{Configuration, Route},
    },
    store::rows::StoredRow,
};

/// What a client's request says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientHead {
    /// Names this attempt of the client; the upstream is told it unchanged.
    pub attempt_id: Option<Arc<str>>,
    /// How long the client waits.
    pub patience: Option<Duration>,
    /// How long a read may be kept waiting for news.
    pub wait: Option<Duration>,
    /// Where a stream goes on: behind this event.
    pub last_event: Option<EventNumber>,
}

/// A call to the interface for batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Read results from a position on.
    Results {
        /// The job.
        job: JobId,
        /// The first position.
        from: usize,
    },
    /// Read the body of an item.
    Body {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// End the job.
    End {
        /// The job.
        job: JobId,
    },
    /// The path is the interface's, but the call is not.
    Malformed,
}

/// What an upstream's answer says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The attempt that it answers.
    pub attempt_id: Option<String>,
    /// Whether the upstream says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream has the address now.
    pub is_misdirected: bool,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// The version of the weights that generates.
    pub version: Option<WeightVersion>,
}

/// How an upstream is named in a request to it.
#[derive(Clone, Copy, Debug)]
pub struct Addressee<'a> {
    /// The upstream that must be the one to answer.
    pub id: &'a UpstreamId,
    /// Where it answers.
    pub address: SocketAddr,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
    /// The host that gives the order.
    pub holder: Arc<str>,
    /// The fencing number of its lease.
    pub fence: FenceNumber,
    /// How many orders the engine must have accepted before.
    pub expected_order_count: Option<u64>,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// It carries it out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is under way, or it accepted another number of orders.
    Conflict,
    /// It saw a higher fencing number.
    Fenced,
    /// It does not know the version, or finds the order malformed.
    Rejected,
    /// Another upstream has the address now.
    Misdirected,
    /// Something else.
    Unclear,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// How many orders it accepted since its start.
    pub order_count: u64,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// The version of each model that it holds.
    pub versions: std::collections::BTreeMap<ModelId, WeightVersion>,
}

/// What the operator or a trainer changed.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// The configuration.
    Configuration(Configuration),
    /// A trainer named a version of its model.
    Version(ModelId, WeightVersion),
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number.
    pub number: EventNumber,
    /// Its data.
    pub data: String,
    /// The version that generates from here on, where it changed.
    pub version: Option<WeightVersion>,
}

/// Why a message cannot be understood.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The text does not follow the format.
    #[error("{path}: {source}")]
    Format {
        /// The path of the field.
        path: String,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A field has a value that means nothing.
    #[error("the field {field} has an unusable value")]
    Field {
        /// The field.
        field: &'static str,
    },
}

/// The parser of a stream of events.
pub trait EventParser: Default {
    /// Takes in bytes, and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no stream of events.
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, DecodeError>;

    /// Says whether an event has begun that is not complete.
    fn is_inside_event(&self) -> bool;
}

/// The spelling of all messages.
pub trait Wire: 'static {
    /// The table in which the operator writes.
    const OPERATOR_TABLE: &'static str;
    /// The table in which upstreams register.
    const UPSTREAM_TABLE: &'static str;
    /// The path by which the platform asks whether a host is ready.
    const READY_PATH: &'static str;
    /// Parses streams of events.
    type Events: EventParser;

    /// Reads what a client's request says about itself.
    fn client_head(parts: &request::Parts) -> ClientHead;

    /// Returns the call to the interface for batch jobs, if the path is its.
    fn job_call(parts: &request::Parts) -> Option<JobCall>;

    /// Reads a submitted batch job.
    ///
    /// # Errors
    ///
    /// Fails where the body is not a batch job.
    fn job(
        id: &JobId,
        parts: &request::Parts,
        body: &[u8],
        route: &Route,
    ) -> Result<Job, DecodeError>;

    /// Writes results of a job.
    fn results(total_count: usize, next: usize, results: &[ItemResult]) -> Bytes;

    /// Writes a client's request for an upstream.
    fn call_request(
        parts: &request::Parts,
        body: Bytes,
        to: Addressee<'_>,
        remaining: Duration,
    ) -> UpstreamRequest;

    /// Writes an item's request for an engine.
    fn item_request(
        authority: &str,
        item: &Item,
        to: Addressee<'_>,
        last_event: EventNumber,
    ) -> UpstreamRequest;

    /// Writes an order for an engine.
    fn order_request(order: &LoadOrder, to: Addressee<'_>) -> UpstreamRequest;

    /// Writes a request for an engine's report.
    fn report_request(to: Addressee<'_>) -> UpstreamRequest;

    /// Reads what an answer says about itself.
    fn answer_head(parts: &response::Parts) -> AnswerHead;

    /// Reads how an engine answered an order.
    fn order_answer(parts: &response::Parts) -> OrderAnswer;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Fails where the body is not a report.
    fn report(body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Reads what the operator or a trainer wrote; none for rows of other uses.
    ///
    /// # Errors
    ///
    /// Fails where the row is not what it should be.
    fn operator_change(row: &StoredRow) -> Result<Option<OperatorChange>, DecodeError>;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    ///
    /// Fails where the row names no usable upstream.
    fn upstream(row: &StoredRow) -> Result<Upstream, DecodeError>;
}
