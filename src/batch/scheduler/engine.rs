//! The state of one engine, and the estimated cost of running an item on it.

use std::{collections::BTreeMap, time::Duration};

use super::{RunEnd, RunNumber, departures::Departure, prompts::EnginePrompts};
use crate::{
    batch::{
        job::{Item, JobHead, ModelId},
        output::Output,
        weights::Load,
    },
    clock::Timestamp,
    ids::{SoftwareVersion, UpstreamId, WeightVersion},
    retry,
};

/// The time after an engine's last event for which its recent event interval
/// remains valid.
const RECENT_INTERVAL_TTL: Duration = Duration::from_millis(2_500);

/// The backoff after an engine's first failure; doubles with each consecutive
/// failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// The maximum backoff of a failing engine.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The backoff of an engine that reported that it is full or busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(120);

/// The delay before another run probes whether a load has ended.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The usual duration of a load of weights, from the deployment specification.
pub(super) const LOAD_DURATION: Duration = Duration::from_millis(900);

/// The timeout of a load, after which the engine no longer counts as loading.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// The share of an engine's KV cache that the planned use of its runs may fill.
const MAX_MEMORY_RATIO: f64 = 0.9;

/// The smoothing factor of the recent event interval, an exponential moving
/// average.
const RECENT_SMOOTHING_RATIO: f64 = 0.1;

/// The smoothing factor of the baseline event interval: it averages over about
/// a hundred events, which an engine with eight runs generates in a second.
const BASELINE_SMOOTHING_RATIO: f64 = 0.02;

/// The cap on a sample of the baseline event interval, as a multiple of the
/// baseline, so that a temporary slowdown is soon forgotten.
const MAX_BASELINE_SAMPLE_RATIO: f64 = 1.5;

/// The event interval that is assumed before any engine has samples, from the
/// deployment specification.
pub(super) const DEFAULT_EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The number of events ahead for which memory use is planned: two seconds at
/// the rates of the deployment specification, within which most items end.
const PLANNED_EVENT_COUNT: u64 = 40;

/// The cost of an engine's last free slot: about the time for which the next
/// short item would wait for a slot.
const LAST_SLOT_COST: Duration = Duration::from_millis(500);

/// The cost of a run that needs a new connection, so that runs share engines with
/// idle connections while these have free slots.
const NEW_CONNECTION_COST: Duration = Duration::from_millis(150);

/// How long a connection is expected to stay open without a run.
const IDLE_CONNECTION_TIME: Duration = Duration::from_secs(3);

/// An engine as described by the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The engine's identifier.
    pub id: UpstreamId,
    /// The Unix time of the engine's start in milliseconds, which distinguishes
    /// restarts.
    pub started_at_ms: u64,
    /// The service that the engine belongs to.
    pub service: std::sync::Arc<str>,
    /// The number of requests that the engine runs at once.
    pub slot_count: usize,
    /// The capacity of the engine's KV cache.
    pub memory_tokens: u64,
    /// The number of tokens per event of the engine's streams.
    pub tokens_per_event: u64,
    /// Whether the engine is leaving.
    pub is_draining: bool,
    /// The version of the engine's software.
    pub software_version: SoftwareVersion,
    /// The weight versions that the engine reports.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

/// The scheduler's state of an engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) spec: EngineSpec,
    pub(super) run_count: usize,
    /// How many more runs may start, if the engine names a limit on requests.
    pub(super) permit_count: Option<usize>,
    /// The number of connections that the runs of the last seconds opened.
    connection_count: usize,
    /// The last time when all these connections had a run.
    connections_used_at: Timestamp,
    /// The planned memory use of all runs.
    pub(super) run_tokens: u64,
    /// The time until which the engine gets no work and no orders.
    pub(super) backoff_until: Timestamp,
    pub(super) failure_count: u32,
    /// The load in progress.
    pub(super) loading: Option<Loading>,
    /// The last load, until a run has confirmed that it has ended.
    pub(super) unconfirmed: Option<UnconfirmedLoad>,
    /// Whether the directory no longer lists the engine.
    pub(super) is_gone: bool,
    /// When the engine leaves, if that is known.
    pub(super) departure: Option<Departure>,
    /// The exponential moving average of the time between two events of a run.
    pub(super) recent_interval: Option<Duration>,
    /// The average of the same interval over many more events.
    pub(super) baseline_interval: Option<Duration>,
    /// The time of the last event of any run.
    pub(super) last_event_at: Timestamp,
    /// The end of the last load, which had paused the runs.
    pub(super) load_ended_at: Timestamp,
    pub(super) prompts: EnginePrompts,
}

/// A load of weights in progress.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) load: Load,
    pub(super) started_at: Timestamp,
    /// The expected end, known once the engine has accepted the order.
    pub(super) done_at: Option<Timestamp>,
}

/// A load that should have ended, but has not been confirmed by a run yet.
#[derive(Clone, Debug)]
pub(super) struct UnconfirmedLoad {
    pub(super) model: ModelId,
    pub(super) started_at: Timestamp,
    /// The run that probes whether the load has ended.
    pub(super) probe: Option<RunNumber>,
    /// The time from which the next probe may start.
    pub(super) next_probe_at: Timestamp,
    /// Whether a probe was refused, which shows that the load took longer than
    /// usual.
    pub(super) is_late: bool,
}

impl Engine {
    pub(super) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            run_count: 0,
            permit_count: None,
            connection_count: 0,
            connections_used_at: Duration::ZERO,
            run_tokens: 0,
            backoff_until: Duration::ZERO,
            failure_count: 0,
            loading: None,
            unconfirmed: None,
            is_gone: false,
            departure: None,
            recent_interval: None,
            baseline_interval: None,
            last_event_at: Duration::ZERO,
            load_ended_at: Duration::ZERO,
            prompts: EnginePrompts::default(),
        }
    }

    /// Applies the directory's current description. It never lowers a version,
    /// since the directory lags behind the engine's answers.
    pub(super) fn update(&mut self, spec: EngineSpec) {
        let mut versions = std::mem::take(&mut self.spec.versions);
        for (model, version) in &spec.versions {
            let known = versions.entry(model.clone()).or_default();
            *known = (*version).max(*known);
        }
        self.spec = EngineSpec { versions, ..spec };
    }

    /// Returns the version of `model` that the engine holds, or 0 if it holds
    /// none.
    pub(super) fn version(&self, model: &ModelId) -> WeightVersion {
        self.spec.versions.get(model).copied().unwrap_or(0)
    }

    /// Returns whether the engine may begin `output` of a job, or go on with it.
    pub(super) fn can_continue(&self, head: &JobHead, output: &Output) -> bool {
        let version = self.version(&head.model);
        output.can_continue(head, version, &self.spec.software_version)
    }

    /// Returns whether the engine takes new runs of `service`, at times.
    pub(super) fn serves(&self, service: &str) -> bool {
        !self.is_gone && !self.spec.is_draining && *self.spec.service == *service
    }

    /// Returns whether items of `model` must wait until a probe has shown that
    /// the load of its weights has ended.
    pub(super) fn is_awaiting_probe(&self, model: &ModelId, now: Timestamp) -> bool {
        self.unconfirmed.as_ref().is_some_and(|load| {
            load.model == *model && (load.probe.is_some() || now < load.next_probe_at)
        })
    }

    /// Records that an item of `model` runs on the engine, which confirms an
    /// unconfirmed load. Returns an upper bound on the duration of that load,
    /// or `None` if there was none or no probe ran in time to tell.
    pub(super) fn confirm_load(&mut self, model: &ModelId, now: Timestamp) -> Option<Duration> {
        let load = self.unconfirmed.take_if(|load| load.model == *model)?;
        let took = now.saturating_sub(load.started_at);
        let is_known = load.is_late || now <= load.next_probe_at + PROBE_INTERVAL;
        is_known.then_some(took)
    }

    pub(super) fn is_loading(&self, model: &ModelId) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|loading| loading.load.model == *model)
    }

    /// Records the end of a load, which had paused the engine's runs and dropped its cache.
    pub(super) fn end_load(&mut self, now: Timestamp) {
        self.loading = None;
        self.load_ended_at = now;
        self.prompts.clear_held();
    }

    pub(super) fn set_version(&mut self, model: &ModelId, version: WeightVersion) {
        self.spec.versions.insert(model.clone(), version);
    }

    /// Returns whether the engine can start any item.
    pub(super) fn has_free_slot(&self, now: Timestamp) -> bool {
        !self.is_gone
            && !self.spec.is_draining
            && self.backoff_until <= now
            && self.permit_count != Some(0)
            && self.run_count < self.spec.slot_count
    }

    /// Returns whether an item of a job can start on the engine.
    ///
    /// A load only blocks items of the model that is being loaded.
    pub(super) fn is_usable(&self, head: &JobHead, tokens: u64, now: Timestamp) -> bool {
        self.has_free_slot(now)
            && !self.is_loading(&head.model)
            && !self.is_awaiting_probe(&head.model, now)
            && self.spec.service == head.service
            && (self.run_count == 0 || self.run_tokens + tokens <= self.max_run_tokens())
    }

    /// Returns how many tokens the runs on the engine may need together.
    pub(super) fn max_run_tokens(&self) -> u64 {
        (self.spec.memory_tokens as f64 * MAX_MEMORY_RATIO) as u64
    }

    /// Records that a run starts.
    pub(super) fn begin_run(&mut self, tokens: u64, now: Timestamp) {
        if self.needs_connection(now) {
            self.connection_count = self.run_count + 1;
        }
        self.run_count += 1;
        self.permit_count = self.permit_count.map(|count| count.saturating_sub(1));
        self.run_tokens += tokens;
        if self.run_count >= self.connection_count {
            self.connections_used_at = now;
        }
    }

    /// Records that `run` has ended or was cancelled, and returns whether it probed a load.
    ///
    /// Another run may probe the load then: a cancelled one has shown nothing.
    pub(super) fn end_run(&mut self, run: RunNumber, tokens: u64) -> bool {
        self.run_count = self.run_count.saturating_sub(1);
        self.run_tokens = self.run_tokens.saturating_sub(tokens);
        self.unconfirmed
            .as_mut()
            .is_some_and(|load| load.probe.take_if(|probe| *probe == run).is_some())
    }

    /// Records that a run received an event.
    pub(super) const fn record_event(&mut self, now: Timestamp) {
        self.last_event_at = now;
        self.failure_count = 0;
        if self.run_count >= self.connection_count {
            self.connections_used_at = now;
        }
    }

    /// Returns whether the next run probably has to open a connection.
    pub(super) fn needs_connection(&self, now: Timestamp) -> bool {
        self.run_count >= self.connection_count
            || now.saturating_sub(self.connections_used_at) >= IDLE_CONNECTION_TIME
    }

    /// Returns the estimated cost of running the rest of `item` on the engine:
    /// the running time, a charge for the slot that other items may need, and one
    /// for a new connection.
    ///
    /// An engine without samples is expected to be as fast as `typical_interval`.
    pub(super) fn cost(
        &self,
        item: &Item,
        output: &Output,
        typical_interval: Duration,
        now: Timestamp,
    ) -> Duration {
        let interval = self.expected_interval(now).unwrap_or(typical_interval);
        let event_count = remaining_event_count(item, output, self.spec.tokens_per_event);
        let fullness = (self.run_count + 1) as f64 / self.spec.slot_count.max(1) as f64;
        let connection_cost = match self.needs_connection(now) {
            true => NEW_CONNECTION_COST,
            false => Duration::ZERO,
        };
        interval.mul_f64(event_count as f64) + LAST_SLOT_COST.mul_f64(fullness) + connection_cost
    }

    /// Returns the recent time between two events of a run, unless it is
    /// outdated.
    pub(super) fn recent_interval(&self, now: Timestamp) -> Option<Duration> {
        let is_recent = now.saturating_sub(self.last_event_at) < RECENT_INTERVAL_TTL;
        self.recent_interval.filter(|_| is_recent)
    }

    /// Returns the recent time between two events of a run, or the baseline if
    /// the recent one is outdated.
    pub(super) fn expected_interval(&self, now: Timestamp) -> Option<Duration> {
        self.recent_interval(now).or(self.baseline_interval)
    }

    /// Adds a sample to the moving averages of the event interval.
    pub(super) fn observe_interval(&mut self, interval: Duration) {
        self.baseline_interval = Some(match self.baseline_interval {
            None => interval,
            Some(baseline) => {
                let sample = interval.min(baseline.mul_f64(MAX_BASELINE_SAMPLE_RATIO));
                baseline.mul_f64(1.0 - BASELINE_SMOOTHING_RATIO)
                    + sample.mul_f64(BASELINE_SMOOTHING_RATIO)
            }
        });
        self.recent_interval = Some(match self.recent_interval {
            None => interval,
            Some(recent) => {
                recent.mul_f64(1.0 - RECENT_SMOOTHING_RATIO)
                    + interval.mul_f64(RECENT_SMOOTHING_RATIO)
            }
        });
    }

    /// Updates the engine's backoff after a run has ended.
    pub(super) fn update_backoff(&mut self, end: RunEnd, now: Timestamp) {
        match end {
            RunEnd::Moved => {}
            RunEnd::Completed | RunEnd::Impossible => self.failure_count = 0,
            RunEnd::NotRun | RunEnd::WrongVersion => {
                self.backoff_until = self.backoff_until.max(now + BUSY_BACKOFF);
            }
            RunEnd::Failed | RunEnd::Broken | RunEnd::WrongEngine => {
                let backoff =
                    retry::exponential_delay(MIN_BACKOFF, MAX_BACKOFF, self.failure_count);
                self.backoff_until = self.backoff_until.max(now + backoff);
                self.failure_count += 1;
            }
        }
    }

    /// Backs off after an order that was refused or whose outcome is unknown.
    pub(super) fn record_order_failure(&mut self, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now + MIN_BACKOFF);
    }
}

/// Returns the estimated number of events that `item` still has to generate,
/// based on its length hint.
pub(super) fn remaining_event_count(item: &Item, output: &Output, tokens_per_event: u64) -> u64 {
    let hinted_count = item.length_hint_tokens / tokens_per_event.max(1);
    let event_count = output.last_event();
    // Lengths have a long tail: an item that far exceeds its hint is expected
    // to generate as much again.
    hinted_count
        .saturating_sub(event_count)
        .max(event_count)
        .max(1)
}

/// Returns the engine memory, in tokens, that is planned for a run of `item`:
/// its prompt, its output so far, and its output in the next seconds.
///
/// The item's maximum length would be too pessimistic, since other runs will
/// have ended by then. An engine whose memory runs out puts back its newest
/// run, and rereading a full-length item takes 35 ms at the rates of the
/// deployment specification.
pub(super) fn planned_tokens(item: &Item, output: &Output, tokens_per_event: u64) -> u64 {
    let remaining_count = remaining_event_count(item, output, tokens_per_event);
    let planned_count = output.last_event() + remaining_count.min(PLANNED_EVENT_COUNT);
    item.prompt_tokens + planned_count * tokens_per_event
}
