//! The header, events and figures of a trace (see docs/TRACES.md).

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    api::trainer::HeldSlots,
    control::blackboard::UpstreamState,
    ids::{
        AttachNumber, ChangeId, FailureDomain, HostId, Region, RowId, RowVersion, StepNumber,
        UpstreamId, WeightVersion,
    },
    table::row::Row,
};

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The trace format, [`crate::observe::trace::FORMAT`].
    pub format: String,
    /// A one-line description of the trace.
    pub title: String,
    /// The guarantee of the service that the trace tests.
    pub promise: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The duration of the trace.
    pub duration_ms: u64,
    /// The initial state of the simulated fleet.
    pub settings: InitialState,
    /// The required outcomes.
    pub outcomes: Vec<Outcome>,
}

/// The initial state of the simulated fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InitialState {
    /// The hosts of the service.
    pub hosts: Vec<InitialHost>,
    /// The engines.
    pub engines: Vec<InitialEngine>,
    /// The rows of the table, all at version 1.
    pub rows: Vec<Row>,
    /// The one-way delay of messages between any two components.
    pub delay_ms: u64,
    /// The fraction of datagrams between hosts that is lost.
    pub loss_ratio: f64,
    /// The lengths of samples, drawn at random by seed; if empty, lengths are
    /// distributed uniformly up to the maximum number of tokens.
    pub sample_tokens: Vec<u32>,
}

/// A host that exists at the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InitialHost {
    /// The name.
    pub id: HostId,
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
}

/// An engine that exists at the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InitialEngine {
    /// The name.
    pub id: UpstreamId,
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The number of requests that run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The time to generate one token of a request.
    #[serde(default = "default_token_time_us")]
    pub token_time_us: u64,
    /// The initial weight version.
    #[serde(default = "default_version")]
    pub weight_version: WeightVersion,
    /// The age of the engine's reports on arrival.
    #[serde(default)]
    pub report_lag_ms: u64,
}

const fn default_slots() -> u32 {
    8
}

const fn default_token_time_us() -> u64 {
    1_000
}

const fn default_version() -> WeightVersion {
    1
}

const fn default_true() -> bool {
    true
}

/// An external event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// A trainer starts to run steps, one after another.
    Train {
        /// The row of the trainer.
        trainer: RowId,
        /// The number of groups per step.
        group_count: u32,
        /// The number of samples per group.
        samples_per_group: u32,
        /// The maximum number of tokens per sample.
        max_tokens: u32,
        /// The number of tokens per prompt.
        prompt_tokens: u32,
        /// The time that the trainer trains on a complete step.
        train_ms: u64,
        /// Whether the trainer submits the next step before it trains on the last.
        #[serde(default = "default_true")]
        ahead: bool,
        /// The time after which it submits no further steps; 0 for no limit.
        #[serde(default)]
        until_ms: u64,
    },
    /// A trainer restarts and loses the samples of its current step.
    TrainerRestart {
        /// The row of the trainer.
        trainer: RowId,
    },
    /// The trainer's next pull responses are lost on the way.
    LosePullAnswers {
        /// The row of the trainer.
        trainer: RowId,
        /// The number of lost answers.
        count: u32,
    },
    /// A pull in addition to the trainer's own, as from a client that sends
    /// requests twice.
    Pull {
        /// The row of the trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
        /// The attachment number.
        attach: AttachNumber,
        /// The weight version that the request states.
        weight_version: WeightVersion,
        /// The samples that the client claims to hold.
        #[serde(default)]
        held: Vec<HeldSlots>,
        /// The maximum number of samples in the answer.
        max_samples: u32,
        /// The maximum time that the answer may be delayed.
        wait_ms: u64,
    },
    /// Trainers publish a new weight version.
    NewWeights {
        /// The version.
        version: WeightVersion,
    },
    /// An engine switches to another weight version while requests run.
    Swap {
        /// The engine.
        engine: UpstreamId,
        /// The version.
        version: WeightVersion,
    },
    /// An engine reports another weight version for a while, then reverts.
    SwapPartial {
        /// The engine.
        engine: UpstreamId,
        /// The version that it reports.
        version: WeightVersion,
        /// The duration.
        for_ms: u64,
    },
    /// An engine crashes and restarts under the same name.
    EngineCrash {
        /// The engine.
        engine: UpstreamId,
        /// The downtime.
        #[serde(default)]
        for_ms: u64,
    },
    /// An engine keeps its streams open but sends nothing.
    EngineSilent {
        /// The engine.
        engine: UpstreamId,
        /// The duration.
        for_ms: u64,
    },
    /// An engine slows down.
    EngineSlow {
        /// The engine.
        engine: UpstreamId,
        /// The factor by which the time per token increases.
        factor: f64,
        /// The duration.
        for_ms: u64,
    },
    /// An engine sends duplicate chunks, or swaps pairs of chunks.
    EngineDisorder {
        /// The engine.
        engine: UpstreamId,
        /// Whether each chunk is sent twice.
        #[serde(default)]
        duplicate: bool,
        /// Whether pairs of chunks are swapped.
        #[serde(default)]
        reorder: bool,
        /// The duration.
        for_ms: u64,
    },
    /// An engine starts to leave; the platform's list shows it only after a
    /// `HostList` event.
    EngineLeaving {
        /// The engine.
        engine: UpstreamId,
    },
    /// The platform's list changes the state of upstreams.
    HostList {
        /// The upstreams that are no longer listed as live.
        states: Vec<ListedState>,
    },
    /// A host dies; with `for_ms` it restarts with empty state.
    HostKill {
        /// The host.
        host: HostId,
        /// The downtime; 0 means that it does not restart.
        #[serde(default)]
        for_ms: u64,
    },
    /// A host is suspended and resumes with its outdated state.
    HostPause {
        /// The host.
        host: HostId,
        /// The duration.
        for_ms: u64,
    },
    /// A host performs a planned stop and may be replaced.
    HostDrain {
        /// The host.
        host: HostId,
        /// The delay from its end to the start of the replacement; 0 for none.
        #[serde(default)]
        replace_after_ms: u64,
    },
    /// A network partition cuts some hosts off from the others, and possibly from
    /// the table service.
    Partition {
        /// The hosts that are cut off.
        hosts: Vec<HostId>,
        /// Whether they are also cut off from the table service.
        #[serde(default)]
        from_store: bool,
        /// The duration.
        for_ms: u64,
    },
    /// Datagrams between hosts are lost.
    Loss {
        /// The fraction that is lost.
        ratio: f64,
        /// The duration.
        for_ms: u64,
    },
    /// The table service stops answering.
    StoreDown {
        /// The duration.
        for_ms: u64,
    },
    /// The table service answers with a delay.
    StoreSlow {
        /// The delay.
        delay_ms: u64,
        /// The duration.
        for_ms: u64,
    },
    /// The table service applies the next writes, but their answers are lost.
    StoreLoseAnswers {
        /// The number of lost answers.
        count: u32,
    },
    /// The table service answers reads with an earlier state.
    StoreOldReads {
        /// The duration.
        for_ms: u64,
    },
    /// An operator edits a row.
    Edit {
        /// The operator.
        editor: String,
        /// The id of the change.
        change: ChangeId,
        /// The row.
        row: RowId,
        /// The row version that the operator read.
        base_version: RowVersion,
        /// The cells to set.
        cells: Map<String, Value>,
    },
    /// A caller sends a call that must not be repeated.
    Call {
        /// The caller's row.
        row: RowId,
        /// The host that receives the call.
        host: HostId,
        /// The idempotency key; without one, the call is never retried.
        #[serde(default)]
        key: Option<String>,
        /// Whether the upstream's answer is lost after the call ran.
        #[serde(default)]
        answer_lost: bool,
        /// Whether the host dies between the claim and the call.
        #[serde(default)]
        host_dies: bool,
    },
}

/// The state of one upstream in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedState {
    /// The upstream.
    pub id: UpstreamId,
    /// The state, or `gone` if the upstream is not listed.
    pub state: UpstreamState,
}

/// The bounds on one figure of a replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The figure; docs/TRACES.md lists names and units.
    pub figure: Figure,
    /// The row that the figure covers; all rows if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub row: Option<RowId>,
    /// The lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min: Option<f64>,
    /// The upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

/// A figure that a replay measures.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Figure {
    /// Steps of which a trainer received all samples.
    WholeStepCount,
    /// Samples that trainers received.
    SampleCount,
    /// Samples that a trainer already held when they arrived.
    DuplicateSampleCount,
    /// Samples whose segments misreport what generated them.
    MisreportedSampleCount,
    /// Samples older than the row's staleness bound on arrival.
    StaleSampleCount,
    /// The mean age of delivered samples.
    MeanAgeVersions,
    /// The fraction of time that trainers waited.
    IdleRatio,
    /// The median time from a step's submission to its completion.
    StepP50Ms,
    /// The 99th percentile of that time.
    StepP99Ms,
    /// The fraction of generated tokens that reached no trainer.
    WasteRatio,
    /// The fraction of dispatched attempts that were hedges.
    HedgeRatio,
    /// Jain's fairness index over tokens per share, for rows that always had work.
    JainRatio,
    /// The largest fraction by which a row's tokens deviated from its share.
    ShareErrorRatio,
    /// Changes that were accepted.
    AcceptedChangeCount,
    /// Changes that were refused because another operator's came first.
    ConflictCount,
    /// The number of times that a host reverted to a lower revision.
    RevertCount,
    /// The longest time until a change was in force on all reachable hosts.
    InForceMs,
    /// Changes that were not in force on all hosts at the end.
    NotInForceCount,
    /// Calls that were answered.
    AnsweredCallCount,
    /// Calls that were refused as not run.
    NotRunCallCount,
    /// Calls for which it is unknown whether they ran.
    UnknownCallCount,
    /// The largest number of runs of one keyed call.
    MaxRunsPerKeyCount,
    /// Calls that were refused as not run although they ran.
    UntrueRefusalCount,
    /// Live, reachable hosts that another host considered dead.
    WrongDeathCount,
    /// The longest time until all hosts detected a dead host.
    DetectMs,
    /// The longest time for which an engine still received work after announcing
    /// that it leaves.
    WorkAfterLeavingMs,
}
