//! Decides which item of which batch job runs on which engine.
//!
//! One host, the coordinator, runs it for all jobs of the fleet, so that each
//! engine's places are counted in one place. It keeps nothing that cannot be
//! read back from the store: a new coordinator lists what the old one did not
//! (see docs/design/platform.md, "Batch jobs").

mod dispatch;
mod engine;
mod events;
mod moves;
mod outputs;
mod report;
mod results;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    batch::{
        job::{EventNumber, ItemId, ItemResult, ItemState, Job, JobId, ModelId},
        output::Output,
        weights::Load,
    },
    clock::Timestamp,
    ids::{UpstreamId, WeightVersion},
};

use self::engine::{Engine, USUAL_INTERVAL, left_event_count};
pub use self::{engine::EngineSpec, report::ModelLoad};

/// Numbers the runs of one coordinator.
pub type RunNumber = u64;

/// How often all engines and runs are looked through, which takes time in
/// proportion to them; starts and ends are taken up at once.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// How much past its time an item is given up, as clocks differ.
const TTL_MARGIN: Duration = Duration::from_millis(500);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The engine said that the output is whole.
    Completed,
    /// The engine failed at it.
    Failed,
    /// The engine said that it can never be done.
    Impossible,
    /// The engine certainly did not run it, as it is full or busy.
    NotRun,
    /// The engine has weights that do not serve the job.
    WrongVersion,
    /// Another engine has the address.
    WrongEngine,
    /// The stream broke off, or could not be opened.
    Broken,
    /// It was stopped here, to go on elsewhere.
    Moved,
}

/// What a coordinator may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rights {
    /// Whether it may start runs.
    pub may_start: bool,
    /// Whether it may order engines.
    pub may_order: bool,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run an item on an engine.
    Start {
        /// Numbers the run.
        run: RunNumber,
        /// The job.
        job: JobId,
        /// The position of the item in its job.
        item_index: usize,
        /// The engine.
        engine: UpstreamId,
        /// The last event that is there already.
        last_event: EventNumber,
    },
    /// Stop a run and close its connection.
    Cancel {
        /// The run.
        run: RunNumber,
    },
    /// Order an engine to load weights.
    Order(Load),
}

#[derive(Clone, Debug)]
struct ItemRun {
    output: Output,
    /// The last event of the output that is saved.
    saved_event: EventNumber,
    run: Option<RunNumber>,
    failed_count: u32,
    is_done: bool,
}

#[derive(Clone, Debug)]
struct JobRun {
    job: Job,
    items: Vec<ItemRun>,
    /// Items that wait for an engine, the most urgent first.
    queue: VecDeque<usize>,
    /// Results that are not listed yet.
    finished: Vec<ItemResult>,
    opened_at: Timestamp,
    /// How old the job was when this coordinator took it up.
    age: Duration,
}

#[derive(Clone, Debug)]
struct Run {
    job: JobId,
    item_index: usize,
    engine: UpstreamId,
    tokens: u64,
    last_event_at: Timestamp,
    event_count: u64,
}

/// The items and engines of the whole fleet.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    engines: BTreeMap<UpstreamId, Engine>,
    jobs: BTreeMap<JobId, JobRun>,
    runs: BTreeMap<RunNumber, Run>,
    named: BTreeMap<ModelId, WeightVersion>,
    carried: BTreeMap<ItemId, Output>,
    carried_order: VecDeque<ItemId>,
    next_run: RunNumber,
    /// How many fewer loads are given at once than may be, as they take long.
    fewer_loads_count: usize,
    /// When all engines and runs were last looked through.
    reviewed_at: Timestamp,
}

impl Scheduler {
    /// Takes in which engines there are.
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
                    engine.loading = None;
                    engine.unproven = None;
                    engine.avoid_until = Duration::ZERO;
                    engine.failure_count = 0;
                }
                None => {
                    self.engines.insert(spec.id.clone(), Engine::new(spec));
                }
            }
        }
        self.engines
            .retain(|_, engine| !engine.is_gone || engine.run_count > 0);
    }

    /// Takes in the newest version that a trainer named.
    pub fn name_version(&mut self, model: ModelId, version: WeightVersion) {
        let named = self.named.entry(model).or_default();
        *named = version.max(*named);
    }

    /// Takes up `job`, of which `listed` are done already and which was accepted
    /// `age` ago.
    pub fn open(&mut self, job: Job, listed: &BTreeSet<ItemId>, age: Duration, now: Timestamp) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let mut items = Vec::with_capacity(job.items.len());
        for item in &job.items {
            let carried = self
                .carried
                .get(&item.id)
                .filter(|output| output.serves(&job.head));
            items.push(ItemRun {
                output: carried.cloned().unwrap_or_default(),
                saved_event: 0,
                run: None,
                failed_count: 0,
                is_done: listed.contains(&item.id),
            });
        }
        let mut order: Vec<usize> = (0..items.len()).filter(|i| !items[*i].is_done).collect();
        order.sort_by_key(|index| {
            let item = &job.items[*index];
            (
                !self.carried.contains_key(&item.id),
                Reverse(item.length_hint_tokens),
            )
        });
        self.jobs.insert(
            job.id.clone(),
            JobRun {
                job,
                items,
                queue: order.into(),
                finished: Vec::new(),
                opened_at: now,
                age,
            },
        );
    }

    /// Returns the jobs that are open.
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.jobs.keys().cloned().collect()
    }

    /// Returns whether the job is open here.
    pub fn is_open(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the job, if it is open here.
    pub fn job(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job).map(|run| &run.job)
    }

    /// Drops `job`, and returns how its runs are cancelled.
    ///
    /// What its unfinished items have made is kept, since the trainer may submit
    /// them again.
    pub fn end(&mut self, job: &JobId) -> Vec<Action> {
        let Some(ended) = self.jobs.remove(job) else {
            return Vec::new();
        };
        for (item, run) in ended.job.items.iter().zip(ended.items) {
            if run.output.last_event() > 0 && !run.is_done {
                self.carry(item.id.clone(), run.output);
            }
        }
        let runs: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| run.job == *job)
            .map(|(number, _)| *number)
            .collect();
        runs.into_iter()
            .map(|run| {
                self.release(run);
                Action::Cancel { run }
            })
            .collect()
    }

    /// Returns what to do at `now`, of what `rights` allow.
    pub fn poll(&mut self, now: Timestamp, rights: Rights) -> Vec<Action> {
        let mut actions = Vec::new();
        self.finish_loads(now);
        let is_review = now.saturating_sub(self.reviewed_at) >= REVIEW_INTERVAL;
        if is_review {
            self.reviewed_at = now;
            self.count_memory();
            actions.extend(self.stop_stalled(now));
            actions.extend(self.give_up(now));
            if rights.may_start {
                actions.extend(self.leave_slow(now));
                actions.extend(self.speed_up_long(now));
            }
        }
        if rights.may_start {
            self.dispatch(now, &mut actions);
        }
        if is_review && rights.may_order {
            self.order(now, &mut actions);
        }
        actions
    }

    /// Drops all that this coordinator does, since another one took over.
    pub fn reset(&mut self) -> Vec<Action> {
        let runs: Vec<RunNumber> = self.runs.keys().copied().collect();
        let next_run = self.next_run;
        *self = Self {
            next_run,
            named: std::mem::take(&mut self.named),
            ..Self::default()
        };
        runs.into_iter().map(|run| Action::Cancel { run }).collect()
    }

    /// Lists items as failed whose time is up, and stops their runs.
    fn give_up(&mut self, now: Timestamp) -> Vec<Action> {
        let overdue: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let age = job.age + now.saturating_sub(job.opened_at);
                age >= job.job.head.item_ttl + TTL_MARGIN
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut stopped = Vec::new();
        for id in overdue {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for index in 0..job.items.len() {
                stopped.extend(job.items[index].run.take());
                job.finish(index, ItemState::Failed);
            }
            job.queue.clear();
        }
        stopped
            .into_iter()
            .map(|run| {
                self.release(run);
                Action::Cancel { run }
            })
            .collect()
    }

    /// Returns how many tokens an event of the items of `job` holds.
    fn tokens_per_event(&self, job: &JobRun) -> u64 {
        self.engines
            .values()
            .find(|engine| engine.spec.service == job.job.head.service)
            .map_or(1, |engine| engine.spec.tokens_per_event)
    }

    /// Takes `run` off its engine and item.
    fn release(&mut self, run: RunNumber) -> Option<Run> {
        let state = self.runs.remove(&run)?;
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            engine.run_count = engine.run_count.saturating_sub(1);
            engine.run_tokens = engine.run_tokens.saturating_sub(state.tokens);
        }
        if let Some(job) = self.jobs.get_mut(&state.job)
            && let Some(item) = job.items.get_mut(state.item_index)
            && item.run == Some(run)
        {
            item.run = None;
        }
        Some(state)
    }
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderState {
    /// It is loading.
    Loading,
    /// It has what was ordered.
    Holds,
}

impl JobRun {
    /// Returns how many events an item has still to make, as its hint says.
    fn left_count(&self, item_index: usize, tokens_per_event: u64) -> u64 {
        left_event_count(
            &self.job.items[item_index],
            &self.items[item_index].output,
            tokens_per_event,
        )
    }

    /// Returns when an item must start, or go on, to be there when it is due.
    fn start_by(&self, item_index: usize, tokens_per_event: u64) -> Timestamp {
        let left = USUAL_INTERVAL.mul_f64(self.left_count(item_index, tokens_per_event) as f64);
        (self.opened_at + self.job.head.due).saturating_sub(self.age + left)
    }

    fn finish(&mut self, item_index: usize, state: ItemState) {
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
        });
    }
}
