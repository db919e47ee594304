//! What is known of one engine, and what it would cost to run an item there.

use std::{collections::BTreeMap, time::Duration};

use super::{RunEnd, RunNumber};
use crate::{
    batch::{
        job::{Item, JobHead, ModelId},
        output::Output,
        weights::Load,
    },
    clock::Timestamp,
    ids::{UpstreamId, WeightVersion},
    retry,
};

/// How long what was seen of an engine's speed counts.
const SPEED_MEMORY: Duration = Duration::from_millis(2_500);

/// How long an engine that failed gets no work; doubles with each failure in a
/// row.
const MIN_AVOIDANCE: Duration = Duration::from_millis(250);

/// The longest time for which a failing engine gets no work.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// How long an engine that said that it is full or busy gets no work.
const BUSY_PAUSE: Duration = Duration::from_millis(120);

/// How long to wait before another item asks whether a load has ended.
pub(super) const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// How long a load of weights takes, from the deployment sheets.
pub(super) const LOAD_DURATION: Duration = Duration::from_millis(900);

/// How long a load may stay unconfirmed before the engine counts as not loading.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// The part of an engine's memory for tokens that runs may fill by estimate.
const MEMORY_RATIO: f64 = 0.9;

/// The part of the smoothed event interval that a new one replaces.
const INTERVAL_GAIN_RATIO: f64 = 0.1;

/// The part of the usual event interval that a new one replaces: about a hundred
/// events, which an engine with eight runs makes in a second.
const USUAL_GAIN_RATIO: f64 = 0.02;

/// How many times the usual interval one event counts at most, so that what an
/// engine does while it is slow is forgotten soon.
const MAX_USUAL_RATIO: f64 = 1.5;

/// What stands for the time between two events of an engine that was never seen,
/// from the deployment sheets.
pub(super) const USUAL_INTERVAL: Duration = Duration::from_millis(40);

/// How many events ahead an engine's memory is planned: two seconds at the sheets'
/// rates, in which most items end.
const NEAR_EVENT_COUNT: u64 = 40;

/// What the last place of an engine costs: about the time for which the next
/// short item would wait for one.
const FULL_ENGINE_COST: Duration = Duration::from_millis(500);

/// An engine as the directory describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Its name.
    pub id: UpstreamId,
    /// The Unix time of its start, in milliseconds; tells restarts apart.
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: std::sync::Arc<str>,
    /// How many requests it runs at once.
    pub slot_count: usize,
    /// How many tokens its memory holds.
    pub memory_tokens: u64,
    /// How many tokens an event of its streams holds.
    pub tokens_per_event: u64,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// The weights that it says it holds.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) spec: EngineSpec,
    pub(super) run_count: usize,
    pub(super) run_tokens: u64,
    pub(super) avoid_until: Timestamp,
    pub(super) failure_count: u32,
    /// The weights that it loads.
    pub(super) loading: Option<Loading>,
    /// The weights that it should have by now, until an item has shown it.
    pub(super) unproven: Option<Unproven>,
    /// Whether it is gone from the directory.
    pub(super) is_gone: bool,
    pub(super) event_interval: Option<Duration>,
    /// How long it usually takes, over many events.
    pub(super) usual_interval: Option<Duration>,
    /// When it last made an event of any run.
    pub(super) event_at: Timestamp,
    /// When its last load of weights ended, which pauses its runs.
    pub(super) loaded_at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) load: Load,
    pub(super) started_at: Timestamp,
    pub(super) done_at: Option<Timestamp>,
}

/// A load whose time is over, of which the engine has shown nothing yet.
#[derive(Clone, Debug)]
pub(super) struct Unproven {
    pub(super) model: ModelId,
    pub(super) started_at: Timestamp,
    /// The run that finds out.
    pub(super) probe: Option<RunNumber>,
    /// When the next one may.
    pub(super) probe_from: Timestamp,
    /// Whether one was refused, so that the load took longer than usual.
    pub(super) is_late: bool,
}

impl Engine {
    pub(super) const fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            run_count: 0,
            run_tokens: 0,
            avoid_until: Duration::ZERO,
            failure_count: 0,
            loading: None,
            unproven: None,
            is_gone: false,
            event_interval: None,
            usual_interval: None,
            event_at: Duration::ZERO,
            loaded_at: Duration::ZERO,
        }
    }

    /// Takes in what the directory says now; versions never go back by it, as it
    /// lags behind the answers.
    pub(super) fn update(&mut self, spec: EngineSpec) {
        let mut versions = std::mem::take(&mut self.spec.versions);
        for (model, version) in &spec.versions {
            let known = versions.entry(model.clone()).or_default();
            *known = (*version).max(*known);
        }
        self.spec = EngineSpec { versions, ..spec };
    }

    pub(super) fn version(&self, model: &ModelId) -> WeightVersion {
        self.spec.versions.get(model).copied().unwrap_or(0)
    }

    /// Says whether items of `model` have to wait for one that finds out whether
    /// its load has ended.
    pub(super) fn is_proving(&self, model: &ModelId, now: Timestamp) -> bool {
        self.unproven.as_ref().is_some_and(|unproven| {
            unproven.model == *model && (unproven.probe.is_some() || now < unproven.probe_from)
        })
    }

    /// Takes in that an item of `model` runs here, and returns how long the load
    /// before it took at most; none where no item was there to ask in time.
    pub(super) fn prove(&mut self, model: &ModelId, now: Timestamp) -> Option<Duration> {
        let unproven = self.unproven.take_if(|unproven| unproven.model == *model)?;
        let took = now.saturating_sub(unproven.started_at);
        let is_known = unproven.is_late || now <= unproven.probe_from + PROBE_PAUSE;
        is_known.then_some(took)
    }

    pub(super) fn is_loading(&self, model: &ModelId) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|loading| loading.load.model == *model)
    }

    /// Takes in that its load is over, which had paused its runs.
    pub(super) fn end_load(&mut self, now: Timestamp) {
        self.loading = None;
        self.loaded_at = now;
    }

    pub(super) fn holds(&mut self, model: &ModelId, version: WeightVersion) {
        self.spec.versions.insert(model.clone(), version);
    }

    /// Says whether an item of a job can start here.
    ///
    /// A load keeps off items of its own model only.
    pub(super) fn is_usable(&self, head: &JobHead, tokens: u64, now: Timestamp) -> bool {
        let memory = (self.spec.memory_tokens as f64 * MEMORY_RATIO) as u64;
        !self.is_gone
            && !self.spec.is_draining
            && !self.is_loading(&head.model)
            && !self.is_proving(&head.model, now)
            && self.avoid_until <= now
            && self.spec.service == head.service
            && self.run_count < self.spec.slot_count
            && (self.run_count == 0 || self.run_tokens + tokens <= memory)
    }

    /// Returns what it costs to run the rest of `item` here: the time that it
    /// takes, and the place that other items may need.
    pub(super) fn cost(&self, item: &Item, output: &Output, now: Timestamp) -> Duration {
        let interval = self.known_interval(now).unwrap_or(USUAL_INTERVAL);
        let left_count = left_event_count(item, output, self.spec.tokens_per_event);
        let fullness = (self.run_count + 1) as f64 / self.spec.slot_count.max(1) as f64;
        interval.mul_f64(left_count as f64) + FULL_ENGINE_COST.mul_f64(fullness)
    }

    /// Returns the time between two events of a run, if it was seen lately.
    pub(super) fn interval(&self, now: Timestamp) -> Option<Duration> {
        let is_recent = now.saturating_sub(self.event_at) < SPEED_MEMORY;
        self.event_interval.filter(|_| is_recent)
    }

    /// Returns the time between two events as seen lately, or else as it usually
    /// is.
    pub(super) fn known_interval(&self, now: Timestamp) -> Option<Duration> {
        self.interval(now).or(self.usual_interval)
    }

    pub(super) fn observe_interval(&mut self, interval: Duration) {
        self.usual_interval = Some(match self.usual_interval {
            None => interval,
            Some(usual) => {
                let seen = interval.min(usual.mul_f64(MAX_USUAL_RATIO));
                usual.mul_f64(1.0 - USUAL_GAIN_RATIO) + seen.mul_f64(USUAL_GAIN_RATIO)
            }
        });
        self.event_interval = Some(match self.event_interval {
            None => interval,
            Some(known) => {
                known.mul_f64(1.0 - INTERVAL_GAIN_RATIO) + interval.mul_f64(INTERVAL_GAIN_RATIO)
            }
        });
    }

    pub(super) fn judge(&mut self, end: RunEnd, now: Timestamp) {
        match end {
            RunEnd::Moved => {}
            RunEnd::Completed | RunEnd::Impossible => self.failure_count = 0,
            RunEnd::NotRun | RunEnd::WrongVersion => {
                self.avoid_until = self.avoid_until.max(now + BUSY_PAUSE);
            }
            RunEnd::Failed | RunEnd::Broken | RunEnd::WrongEngine => {
                let pause = retry::doubled(MIN_AVOIDANCE, MAX_AVOIDANCE, self.failure_count);
                self.avoid_until = self.avoid_until.max(now + pause);
                self.failure_count += 1;
            }
        }
    }

    pub(super) fn avoid_orders(&mut self, now: Timestamp) {
        self.avoid_until = self.avoid_until.max(now + MIN_AVOIDANCE);
    }
}

/// Returns how many events `item` has still to make, as its hint says.
pub(super) fn left_event_count(item: &Item, output: &Output, tokens_per_event: u64) -> u64 {
    let hinted = item.length_hint_tokens / tokens_per_event.max(1);
    let made = output.last_event();
    // Lengths have a long tail: what outlived its hint by far has as much again
    // to make.
    hinted.saturating_sub(made).max(made).max(1)
}

/// Returns the tokens of an engine's memory that a run of `item` takes soon: what
/// it has read and made, and what it makes in the next seconds.
///
/// The most that it may ever take is no measure, since others will have ended by
/// then; an engine whose memory runs out puts its newest run back, which reads a
/// full-length item again in 35 ms at the sheets' rates.
pub(super) fn near_tokens(item: &Item, output: &Output, tokens_per_event: u64) -> u64 {
    let left_count = left_event_count(item, output, tokens_per_event);
    let near_count = output.last_event() + left_count.min(NEAR_EVENT_COUNT);
    item.prompt_tokens + near_count * tokens_per_event
}
