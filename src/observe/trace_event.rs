//! The header, the events and the figures of a trace; see docs/TRACES.md.

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
    /// [`crate::observe::trace::FORMAT`].
    pub format: String,
    /// What the trace is about, in one line.
    pub title: String,
    /// The promise that it holds the service to.
    pub promise: String,
    /// Seeds every choice.
    pub seed: u64,
    /// How long the trace runs.
    pub duration_ms: u64,
    /// The parts that are there at the start.
    pub settings: World,
    /// What must come of it.
    pub outcomes: Vec<Outcome>,
}

/// The parts that are there at the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct World {
    /// The hosts of the service.
    pub hosts: Vec<HostPart>,
    /// The engines.
    pub engines: Vec<EnginePart>,
    /// The rows of the table, all at version 1.
    pub rows: Vec<Row>,
    /// The time that a message between any two parts takes one way.
    pub delay_ms: u64,
    /// The part of datagrams between hosts that is lost.
    pub loss_ratio: f64,
    /// The lengths that samples turn out to have, drawn by seed; empty draws
    /// them evenly up to the most tokens.
    pub sample_tokens: Vec<u32>,
}

/// One host at the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostPart {
    /// Its name.
    pub id: HostId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub region: Region,
}

/// One engine at the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePart {
    /// Its name.
    pub id: UpstreamId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it batches.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// How long one token of a request takes.
    #[serde(default = "default_token_time_us")]
    pub token_time_us: u64,
    /// The weights that it starts with.
    #[serde(default = "default_version")]
    pub weight_version: WeightVersion,
    /// How old its reports are when they arrive.
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

/// One thing that the outside did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// A trainer starts to run steps, one after the other.
    Train {
        /// The row of the trainer.
        trainer: RowId,
        /// Groups a step.
        group_count: u32,
        /// Samples a group.
        samples_per_group: u32,
        /// The most tokens of one sample.
        max_tokens: u32,
        /// Tokens of each prompt.
        prompt_tokens: u32,
        /// How long it trains on a whole step.
        train_ms: u64,
        /// Whether it submits the next step before it trains on the last.
        #[serde(default = "default_true")]
        ahead: bool,
        /// When it submits no further step; 0 is never.
        #[serde(default)]
        until_ms: u64,
    },
    /// A trainer restarts and has lost what it held of its present step.
    TrainerRestart {
        /// The row of the trainer.
        trainer: RowId,
    },
    /// The next answers to pulls are lost on the way to the trainer.
    LosePullAnswers {
        /// The row of the trainer.
        trainer: RowId,
        /// How many.
        count: u32,
    },
    /// A pull beside the trainer's own, as a client that asks twice makes it.
    Pull {
        /// The row of the trainer.
        trainer: RowId,
        /// The step.
        step: StepNumber,
        /// The attachment.
        attach: AttachNumber,
        /// The version that it states.
        weight_version: WeightVersion,
        /// What it says that it holds.
        #[serde(default)]
        held: Vec<HeldSlots>,
        /// The most samples of the answer.
        max_samples: u32,
        /// How long the answer may wait.
        wait_ms: u64,
    },
    /// Trainers have new weights from now on.
    NewWeights {
        /// The version.
        version: WeightVersion,
    },
    /// An engine runs other weights from now on, in the middle of its work.
    Swap {
        /// The engine.
        engine: UpstreamId,
        /// The version.
        version: WeightVersion,
    },
    /// An engine shows other weights for a while and falls back.
    SwapPartial {
        /// The engine.
        engine: UpstreamId,
        /// The version that it shows.
        version: WeightVersion,
        /// For how long.
        for_ms: u64,
    },
    /// An engine crashes and comes back under its name.
    EngineCrash {
        /// The engine.
        engine: UpstreamId,
        /// How long it stays away.
        #[serde(default)]
        for_ms: u64,
    },
    /// An engine keeps its streams open and sends nothing.
    EngineSilent {
        /// The engine.
        engine: UpstreamId,
        /// For how long.
        for_ms: u64,
    },
    /// An engine slows down.
    EngineSlow {
        /// The engine.
        engine: UpstreamId,
        /// How many times longer a token takes.
        factor: f64,
        /// For how long.
        for_ms: u64,
    },
    /// An engine sends its chunks twice, or in pairs the wrong way round.
    EngineDisorder {
        /// The engine.
        engine: UpstreamId,
        /// Whether chunks come twice.
        #[serde(default)]
        duplicate: bool,
        /// Whether pairs of chunks change places.
        #[serde(default)]
        reorder: bool,
        /// For how long.
        for_ms: u64,
    },
    /// An engine leaves; the platform's list says so only with `HostList`.
    EngineLeaving {
        /// The engine.
        engine: UpstreamId,
    },
    /// The platform's list says this of upstreams from now on.
    HostList {
        /// The upstreams that it no longer lists as live.
        states: Vec<ListedState>,
    },
    /// A host dies; with `for_ms` it comes back with nothing.
    HostKill {
        /// The host.
        host: HostId,
        /// How long it stays away; 0 is for good.
        #[serde(default)]
        for_ms: u64,
    },
    /// A host stands still and wakes up with its old beliefs.
    HostPause {
        /// The host.
        host: HostId,
        /// For how long.
        for_ms: u64,
    },
    /// A host is stopped as planned, and replaced.
    HostDrain {
        /// The host.
        host: HostId,
        /// How long after its end the replacement starts; 0 is never.
        #[serde(default)]
        replace_after_ms: u64,
    },
    /// Hosts of one side do not reach those of the other, nor the store.
    Partition {
        /// The hosts that are cut off.
        hosts: Vec<HostId>,
        /// Whether they are cut off from the table service too.
        #[serde(default)]
        from_store: bool,
        /// For how long.
        for_ms: u64,
    },
    /// Datagrams between hosts are lost.
    Loss {
        /// The part that is lost.
        ratio: f64,
        /// For how long.
        for_ms: u64,
    },
    /// The table service does not answer.
    StoreDown {
        /// For how long.
        for_ms: u64,
    },
    /// The table service answers late.
    StoreSlow {
        /// How late.
        delay_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// The table service applies the next writes, and their answers are lost.
    StoreLoseAnswers {
        /// How many.
        count: u32,
    },
    /// The table service answers reads with what it held before.
    StoreOldReads {
        /// For how long.
        for_ms: u64,
    },
    /// An operator edits a row.
    Edit {
        /// Who edits.
        editor: String,
        /// Names the change.
        change: ChangeId,
        /// The row.
        row: RowId,
        /// The version of the row that the operator saw.
        base_version: RowVersion,
        /// The cells to set.
        cells: Map<String, Value>,
    },
    /// A caller sends a call that may not be repeated.
    Call {
        /// The caller's row.
        row: RowId,
        /// The host that it asks.
        host: HostId,
        /// Its key; without one the call is sent once and never again.
        #[serde(default)]
        key: Option<String>,
        /// Whether the upstream's answer is lost after it ran.
        #[serde(default)]
        answer_lost: bool,
        /// Whether the host dies between the claim and the call.
        #[serde(default)]
        host_dies: bool,
    },
}

/// What the platform's list says of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedState {
    /// The upstream.
    pub id: UpstreamId,
    /// Its state, or `gone` where the list leaves it out.
    pub state: UpstreamState,
}

/// Bounds on one figure of a replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The figure, by the name and unit that docs/TRACES.md lists.
    pub figure: Figure,
    /// The row that it is about; without one it is over all rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub row: Option<RowId>,
    /// The least that it may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min: Option<f64>,
    /// The most that it may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

/// A figure that a replay counts.
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
    /// Steps that a trainer got whole.
    WholeStepCount,
    /// Samples that trainers took.
    SampleCount,
    /// Samples that a trainer held already when they came.
    DuplicateSampleCount,
    /// Samples whose segments differ from what truly made them.
    MisreportedSampleCount,
    /// Samples older than the row's bound when they came.
    StaleSampleCount,
    /// The mean age of delivered samples.
    MeanAgeVersions,
    /// The part of their time that trainers waited.
    IdleRatio,
    /// The median time of a step from its submission.
    StepP50Ms,
    /// The 99th percentile of that time.
    StepP99Ms,
    /// The part of generated tokens that reached no trainer.
    WasteRatio,
    /// The part of dispatched attempts that were second attempts.
    HedgeRatio,
    /// Jain's index over tokens by share, of rows that always had work.
    JainRatio,
    /// The worst part by which a row's tokens missed its share.
    ShareErrorRatio,
    /// Changes that were accepted.
    AcceptedChangeCount,
    /// Changes that were refused, since another operator was first.
    ConflictCount,
    /// Times that a host went back to a lower revision.
    RevertCount,
    /// The longest time until a change was in force on all reachable hosts.
    InForceMs,
    /// Changes that were not in force on all hosts at the end.
    NotInForceCount,
    /// Calls that were answered.
    AnsweredCallCount,
    /// Calls that were refused as not run.
    NotRunCallCount,
    /// Calls of which nobody knows whether they ran.
    UnknownCallCount,
    /// The most runs of one keyed call.
    MaxRunsPerKeyCount,
    /// Refusals as not run of calls that ran.
    UntrueRefusalCount,
    /// Live, reachable hosts that another host held for dead.
    WrongDeathCount,
    /// The longest time until all hosts held a dead host for dead.
    DetectMs,
    /// The longest time after it said that it leaves until an engine got work.
    WorkAfterLeavingMs,
}
