//! Decides which item of which batch job runs on which engine.
//!
//! One host, the coordinator, runs the scheduler for all jobs of the fleet, so
//! that a single process counts each engine's slots. All its state can be
//! rebuilt from the store: a new coordinator lists the results that the
//! previous one did not list (see docs/design/platform.md, "Batch jobs").

mod candidates;
mod departures;
mod dispatch;
mod engine;
mod events;
mod fairness;
mod moves;
mod outputs;
mod prompts;
mod reading;
mod release;
mod report;
mod results;
mod rewards;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    batch::{
        job::{EventNumber, ItemId, ItemResult, ItemState, Job, JobId, ModelId, Score},
        output::Output,
        reward::{CallNumber, Scoring},
        weights::Load,
    },
    clock::Timestamp,
    ids::{SoftwareVersion, UpstreamId, WeightVersion},
};

pub use self::{
    engine::EngineSpec,
    prompts::PromptLoad,
    report::{JobLoad, ModelLoad, ServiceLoad},
    rewards::{DueReward, RewardOutcome},
};
use self::{
    engine::{DEFAULT_EVENT_INTERVAL, Engine, remaining_event_count},
    fairness::{ShareKey, Shares},
    prompts::{KeyedPart, PartHolders, RunPrompt},
    reading::Reading,
    rewards::{HedgeBudget, RewardCall},
};

/// The number of a run, unique within one coordinator.
pub type RunNumber = u64;

/// The shortest interval between reviews of all engines and runs. Starts and ends
/// are handled between them.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between reviews per engine, since their cost is proportional to
/// the number of engines.
const REVIEW_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(40);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The engine reported that the output is complete.
    Completed,
    /// The engine failed to run the item.
    Failed,
    /// The engine reported that the item can never be completed.
    Impossible,
    /// The engine is full or busy and certainly did not run the item.
    NotRun,
    /// The engine holds a weight version that the job does not accept.
    WrongVersion,
    /// Another engine answered at the address.
    WrongEngine,
    /// The stream broke off or could not be opened.
    Broken,
    /// The run was stopped so that the item can continue on another engine.
    Moved,
}

/// What a coordinator is currently allowed to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rights {
    /// Whether the coordinator may start runs.
    pub may_start: bool,
    /// Whether the coordinator may send orders to engines.
    pub may_order: bool,
}

/// An action for the coordinator to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run an item on an engine.
    Start {
        /// The number of the new run.
        run: RunNumber,
        /// The job.
        job: JobId,
        /// The index of the item in its job.
        item_index: usize,
        /// The engine.
        engine: UpstreamId,
        /// The last event that was received already, or 0 if there is none.
        last_event: EventNumber,
    },
    /// Stop a run or a reward call, and close its connection.
    Cancel {
        /// The run or the reward call.
        run: RunNumber,
    },
    /// Order an engine to load weights.
    Order(Load),
}

/// The state of an item of an open job.
#[derive(Clone, Debug)]
struct OpenItem {
    output: Output,
    /// The last event of the output that is saved.
    saved_event: EventNumber,
    /// Whether the output began anew. Its parts are not saved: they would be joined to those
    /// of the output before, some of which may still be on their way to the store.
    is_begun_anew: bool,
    run: Option<RunNumber>,
    failed_count: u32,
    is_done: bool,
    /// The shared parts of the prompt.
    parts: Box<[KeyedPart]>,
    /// When the item was first put off, since engines read other prompts.
    put_off_at: Option<Timestamp>,
}

/// The state of an open job.
#[derive(Clone, Debug)]
struct OpenJob {
    job: Job,
    /// Whose part of the slots the job's runs take.
    share: Arc<ShareKey>,
    items: Vec<OpenItem>,
    /// The indexes of items that wait for an engine, the most urgent first.
    queue: VecDeque<usize>,
    /// The items whose output is whole and that have no score yet.
    scorings: BTreeMap<usize, Scoring>,
    /// Results that are not listed yet.
    finished: Vec<ItemResult>,
    opened_at: Timestamp,
    /// The job's age when this coordinator opened it.
    age: Duration,
}

/// A run of an item on an engine.
#[derive(Clone, Debug)]
struct Run {
    job: JobId,
    item_index: usize,
    engine: UpstreamId,
    /// The software version of the engine when the run started.
    software_version: SoftwareVersion,
    /// The planned memory use.
    tokens: u64,
    share: Arc<ShareKey>,
    prompt: RunPrompt,
    last_event_at: Timestamp,
    event_count: u64,
}

/// Schedules the items of all jobs on the engines of the whole fleet.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    engines: BTreeMap<UpstreamId, Engine>,
    jobs: BTreeMap<JobId, OpenJob>,
    runs: BTreeMap<RunNumber, Run>,
    /// The reward calls in progress, numbered like the runs.
    rewards: BTreeMap<CallNumber, RewardCall>,
    hedges: HedgeBudget,
    /// The newest version of each model that a trainer named.
    named_versions: BTreeMap<ModelId, WeightVersion>,
    /// Outputs of unfinished items of ended jobs.
    retained_outputs: BTreeMap<ItemId, Output>,
    /// The items with retained outputs, the oldest first.
    retained_order: VecDeque<ItemId>,
    last_run: RunNumber,
    /// How far the limit on concurrent loads is lowered because loads take too
    /// long.
    load_reduction_count: usize,
    /// The moving average of the time between two events of a run on any engine.
    typical_interval: Option<Duration>,
    /// The time of the last review of all engines and runs.
    reviewed_at: Timestamp,
    /// The time of the last search for engines for waiting items.
    dispatched_at: Timestamp,
    is_dispatch_deferred: bool,
    shares: Shares,
    reading: Reading,
    part_holders: PartHolders,
    has_put_off_prompts: bool,
    prompt_put_off_count: u64,
}

impl Scheduler {
    /// Replaces the set of known engines. Engines that have disappeared are
    /// kept until their runs end; those that have restarted lose the state of
    /// their loads and failures.
    pub fn set_engines(&mut self, specs: Vec<EngineSpec>) {
        let present: BTreeSet<UpstreamId> = specs.iter().map(|spec| spec.id.clone()).collect();
        for (id, engine) in &mut self.engines {
            engine.is_gone = !present.contains(id);
        }
        for spec in specs {
            match self.engines.get_mut(&spec.id) {
                Some(engine) if engine.spec.started_at_ms == spec.started_at_ms => {
                    engine.update(spec);
                }
                Some(engine) => {
                    engine.spec = spec;
                    engine.departure = None;
                    engine.loading = None;
                    engine.unconfirmed = None;
                    engine.backoff_until = Duration::ZERO;
                    engine.failure_count = 0;
                    engine.prompts.clear_held();
                }
                None => {
                    self.engines.insert(spec.id.clone(), Engine::new(spec));
                }
            }
        }
        self.engines
            .retain(|_, engine| !engine.is_gone || engine.run_count > 0);
    }

    /// Sets how many more runs may start on each engine that names a limit on
    /// requests. The other engines have none.
    pub fn set_permits(&mut self, permit_counts: &BTreeMap<UpstreamId, usize>) {
        for (id, engine) in &mut self.engines {
            engine.permit_count = permit_counts.get(id).copied();
        }
    }

    /// Records a version that a trainer named, unless a newer one is known.
    pub fn name_version(&mut self, model: ModelId, version: WeightVersion) {
        let named = self.named_versions.entry(model).or_default();
        *named = version.max(*named);
    }

    /// Opens `job`, which was accepted `age` ago and whose items in `listed`
    /// are already done. Does nothing if the job is open.
    pub fn open(&mut self, job: Job, listed: &BTreeSet<ItemId>, age: Duration, now: Timestamp) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let mut items = Vec::with_capacity(job.items.len());
        for item in &job.items {
            let retained = self
                .retained_outputs
                .get(&item.id)
                .filter(|output| output.is_valid_for(&job.head));
            items.push(OpenItem {
                output: retained.cloned().unwrap_or_default(),
                saved_event: 0,
                is_begun_anew: false,
                run: None,
                failed_count: 0,
                is_done: listed.contains(&item.id),
                parts: Box::default(),
                put_off_at: None,
            });
        }
        let (whole, mut order): (Vec<usize>, Vec<usize>) = (0..items.len())
            .filter(|index| !items[*index].is_done)
            .partition(|index| items[*index].output.is_whole());
        order.sort_by_key(|index| {
            let item = &job.items[*index];
            (
                !self.retained_outputs.contains_key(&item.id),
                Reverse(item.length_hint_tokens),
            )
        });
        let id = job.id.clone();
        let share = ShareKey {
            service: job.head.service.clone(),
            priority: job.head.priority,
            account: job.head.account.clone(),
        };
        let mut open_job = OpenJob {
            job,
            share: share.into(),
            items,
            queue: order.into(),
            scorings: BTreeMap::new(),
            finished: Vec::new(),
            opened_at: now,
            age,
        };
        for index in whole {
            open_job.complete(index, now);
        }
        self.jobs.insert(id, open_job);
    }

    /// Returns the open jobs.
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.jobs.keys().cloned().collect()
    }

    /// Returns whether the job is open on this coordinator.
    pub fn is_open(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the job, if it is open on this coordinator.
    pub fn job(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job).map(|open_job| &open_job.job)
    }

    /// Drops `job` and returns the actions that cancel its runs.
    ///
    /// The partial outputs of unfinished items are retained, since the trainer
    /// may submit these items again.
    pub fn end(&mut self, job: &JobId) -> Vec<Action> {
        let Some(ended) = self.jobs.remove(job) else {
            return Vec::new();
        };
        let calls: Vec<CallNumber> = ended.scorings.values().flat_map(Scoring::calls).collect();
        for (item, state) in ended.job.items.iter().zip(ended.items) {
            if state.output.last_event() > 0 && !state.is_done {
                self.retain_output(item.id.clone(), state.output);
            }
        }
        let runs: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| run.job == *job)
            .map(|(number, _)| *number)
            .collect();
        self.cancel(calls.into_iter().chain(runs))
    }

    /// Returns the actions to carry out at `now`, limited to those that
    /// `rights` allow.
    pub fn poll(&mut self, now: Timestamp, rights: Rights) -> Vec<Action> {
        let mut actions = Vec::new();
        self.finish_loads(now);
        let is_review = now.saturating_sub(self.reviewed_at) >= self.review_interval();
        if is_review {
            self.reviewed_at = now;
            self.update_memory_use();
            actions.extend(self.stop_stalled(now));
            actions.extend(self.fail_overdue(now));
            if rights.may_start {
                let mut moved = self.move_from_leaving(now);
                if moved.is_empty() {
                    moved = self.move_from_slow(now);
                }
                // All would move runs to the same free slots.
                if moved.is_empty() {
                    actions.extend(self.move_to_faster(now));
                }
                actions.extend(moved);
            }
        }
        let is_dispatch_due = now.saturating_sub(self.dispatched_at) >= self.dispatch_interval();
        self.is_dispatch_deferred = rights.may_start && !is_dispatch_due;
        if rights.may_start && is_dispatch_due {
            self.dispatched_at = now;
            self.dispatch(now, &mut actions);
        }
        if is_review && rights.may_order {
            self.order_loads(now, &mut actions);
        }
        actions
    }

    fn review_interval(&self) -> Duration {
        self.for_all_engines(REVIEW_INTERVAL_PER_ENGINE)
            .max(MIN_REVIEW_INTERVAL)
    }

    /// Returns a duration that is proportional to the number of engines.
    fn for_all_engines(&self, per_engine: Duration) -> Duration {
        per_engine.saturating_mul(u32::try_from(self.engines.len()).unwrap_or(u32::MAX))
    }

    /// Drops everything but the named versions, since another coordinator has
    /// taken over, and returns the actions that cancel the runs.
    pub fn reset(&mut self) -> Vec<Action> {
        let runs: Vec<RunNumber> = self
            .runs
            .keys()
            .chain(self.rewards.keys())
            .copied()
            .collect();
        let last_run = self.last_run;
        *self = Self {
            last_run,
            named_versions: std::mem::take(&mut self.named_versions),
            ..Self::default()
        };
        runs.into_iter().map(|run| Action::Cancel { run }).collect()
    }

    /// Returns the number of tokens per event on the engines of `job`'s
    /// service, or 1 if no such engine is known.
    fn tokens_per_event(&self, job: &OpenJob) -> u64 {
        self.engines
            .values()
            .find(|engine| engine.spec.service == job.job.head.service)
            .map_or(1, |engine| engine.spec.tokens_per_event)
    }
}

/// An engine's answer to an order that it accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderState {
    /// The engine is loading the ordered weights.
    Loading,
    /// The engine already holds the ordered weights.
    Holds,
}

impl OpenJob {
    /// Returns the estimated number of events that an item still has to
    /// generate.
    fn remaining_event_count(&self, item_index: usize, tokens_per_event: u64) -> u64 {
        remaining_event_count(
            &self.job.items[item_index],
            &self.items[item_index].output,
            tokens_per_event,
        )
    }

    /// Returns the latest time at which an item must start, or resume, to
    /// finish before the job is due.
    fn start_by(&self, item_index: usize, tokens_per_event: u64) -> Timestamp {
        let remaining = DEFAULT_EVENT_INTERVAL
            .mul_f64(self.remaining_event_count(item_index, tokens_per_event) as f64);
        (self.opened_at + self.job.head.due).saturating_sub(self.age + remaining)
    }

    /// Marks an item as done and adds its result to those that are to be
    /// listed. Does nothing if the item is done already.
    fn finish(&mut self, item_index: usize, state: ItemState, score: Option<Score>) {
        let item = &mut self.items[item_index];
        if item.is_done {
            return;
        }
        item.is_done = true;
        item.run = None;
        let output = std::mem::take(&mut item.output);
        self.finished.push(ItemResult {
            id: self.job.items[item_index].id.clone(),
            state,
            versions: output.versions(),
            text: output.into_text(),
            score,
        });
    }
}
