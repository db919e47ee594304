//! Decides which item of which batch job runs on which engine.
//!
//! One host, the coordinator, runs it for all jobs of the fleet, so that each
//! engine's places are counted in one place. It keeps nothing that cannot be
//! read back from the store: a new coordinator lists what the old one did not
//! (see docs/design/platform.md, "Batch jobs").

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    batch::{
        job::{EventNumber, Item, ItemId, ItemResult, ItemState, Job, JobHead, JobId, ModelId},
        output::{Output, OutputPart},
        weights::{self, EngineWeights, Load, ModelNeed, max_loading_count},
    },
    clock::Timestamp,
    ids::{UpstreamId, WeightVersion},
};

/// Numbers the runs of one coordinator.
pub type RunNumber = u64;

/// How long a run may make no event before it goes on elsewhere. A load of
/// weights, which pauses all runs, takes 0.9 s on the deployment sheets.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_600);

/// How long an engine that runs several items may make no event at all before it
/// counts as silent; the sheets' engines make one each 40 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How many runs must be silent for their engine to count as silent.
const SILENT_RUN_COUNT: usize = 2;

/// How many times slower than the median an engine's events must come for its
/// runs to go on elsewhere; the sheets' speeds differ by a factor of 1.3.
const SLOW_RATIO: f64 = 1.9;

/// How many events a run must have made before it may be moved away.
const MIN_MOVED_EVENT_COUNT: u64 = 3;

/// How many events show that an item is long, so that it gains by going on at a
/// faster engine: the sheets' mean is 20 to 26.
const LONG_EVENT_COUNT: u64 = 30;

/// How many times faster that engine must be. The sheets' speeds are 1.0 and 1.3.
const FASTER_RATIO: f64 = 1.2;

/// How many runs are moved at once, so that they do not crowd another engine.
const MAX_MOVED_COUNT: usize = 8;

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
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// How many times its usual time a load may take before fewer load at once.
const LONG_LOAD_RATIO: f64 = 1.35;

/// How long a load of weights takes, from the deployment sheets.
const LOAD_DURATION: Duration = Duration::from_millis(900);

/// How long a load may stay unconfirmed before the engine counts as not loading.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// The part of an engine's memory for tokens that runs may fill by estimate.
const MEMORY_RATIO: f64 = 0.9;

/// The part of the smoothed event interval that a new one replaces.
const INTERVAL_GAIN_RATIO: f64 = 0.1;

/// What stands for the time between two events of an engine that was not seen
/// lately, from the deployment sheets.
const USUAL_INTERVAL: Duration = Duration::from_millis(40);

/// What the last place of an engine costs: about the time for which the next
/// short item would wait for one.
const FULL_ENGINE_COST: Duration = Duration::from_millis(500);

/// How many outputs of unfinished items of ended jobs are kept for jobs that
/// submit these items again.
const MAX_CARRIED_COUNT: usize = 512;

/// How much past its time an item is given up, as clocks differ.
const TTL_MARGIN: Duration = Duration::from_millis(500);

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
struct Engine {
    spec: EngineSpec,
    run_count: usize,
    run_tokens: u64,
    avoid_until: Timestamp,
    failure_count: u32,
    /// The weights that it loads.
    loading: Option<Loading>,
    /// The weights that it should have by now, until an item has shown it.
    unproven: Option<Unproven>,
    /// Whether it is gone from the directory.
    is_gone: bool,
    event_interval: Option<Duration>,
    /// When it last made an event of any run.
    event_at: Timestamp,
    /// When its last load of weights ended, which pauses its runs.
    loaded_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Loading {
    load: Load,
    started_at: Timestamp,
    done_at: Option<Timestamp>,
}

/// A load whose time is over, of which the engine has shown nothing yet.
#[derive(Clone, Debug)]
struct Unproven {
    model: ModelId,
    started_at: Timestamp,
    /// The run that finds out.
    probe: Option<RunNumber>,
    /// When the next one may.
    probe_from: Timestamp,
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

    /// Takes in what another coordinator saved of the outputs of `job`.
    pub fn restore(&mut self, job: &JobId, outputs: BTreeMap<usize, Output>) {
        let Some(run) = self.jobs.get_mut(job) else {
            return;
        };
        for (index, output) in outputs {
            let Some(item) = run.items.get_mut(index) else {
                continue;
            };
            let is_better = output.last_event() > item.output.last_event();
            if item.run.is_none() && is_better && output.serves(&run.job.head) {
                item.output = output;
            }
        }
    }

    /// Returns parts of the outputs of `job` that are not saved, of items that
    /// have made at least `min_count` events since they were.
    pub fn unsaved(
        &self,
        job: &JobId,
        min_count: EventNumber,
        max_bytes: usize,
    ) -> Vec<(usize, OutputPart)> {
        let Some(run) = self.jobs.get(job) else {
            return Vec::new();
        };
        run.items
            .iter()
            .enumerate()
            .filter(|(_, item)| !item.is_done)
            .filter(|(_, item)| item.output.last_event() >= item.saved_event + min_count)
            .filter_map(|(index, item)| {
                let part = item.output.part(item.saved_event, max_bytes)?;
                Some((index, part))
            })
            .collect()
    }

    /// Takes in that the output of an item is saved up to `last_event`.
    pub fn saved(&mut self, job: &JobId, item_index: usize, last_event: EventNumber) {
        if let Some(run) = self.jobs.get_mut(job)
            && let Some(item) = run.items.get_mut(item_index)
        {
            item.saved_event = last_event;
        }
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

    fn carry(&mut self, item: ItemId, output: Output) {
        if self.carried.insert(item.clone(), output).is_none() {
            self.carried_order.push_back(item);
        }
        if self.carried_order.len() > MAX_CARRIED_COUNT
            && let Some(oldest) = self.carried_order.pop_front()
        {
            self.carried.remove(&oldest);
        }
    }

    /// Takes in that an engine answered `run` under `version`, and says whether
    /// its output is usable.
    pub fn answered(&mut self, run: RunNumber, version: WeightVersion, now: Timestamp) -> bool {
        let Some(state) = self.runs.get_mut(&run) else {
            return false;
        };
        state.last_event_at = now;
        let Some(job) = self.jobs.get(&state.job) else {
            return false;
        };
        let max_count = max_loading_count(self.engines.len());
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            engine.holds(&job.job.head.model, version);
            if let Some(took) = engine.prove(&job.job.head.model, now) {
                let is_long = took > LOAD_DURATION.mul_f64(LONG_LOAD_RATIO);
                self.fewer_loads_count = if is_long {
                    (self.fewer_loads_count + 1).min(max_count / 2)
                } else {
                    self.fewer_loads_count.saturating_sub(1)
                };
            }
        }
        job.items[state.item_index]
            .output
            .admits(&job.job.head, version)
    }

    /// Takes in an event of `run`, and says whether it was the next one and its
    /// version serves the job.
    pub fn event(
        &mut self,
        run: RunNumber,
        number: EventNumber,
        data: &str,
        version: WeightVersion,
        now: Timestamp,
    ) -> bool {
        let Some(state) = self.runs.get_mut(&run) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return false;
        };
        let item = &mut job.items[state.item_index];
        if !item.output.admits(&job.job.head, version) || !item.output.push(number, data, version) {
            return false;
        }
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            let is_paused = engine.loading.is_some() || engine.loaded_at > state.last_event_at;
            if state.event_count > 0 && !is_paused {
                engine.observe_interval(now.saturating_sub(state.last_event_at));
            }
            engine.event_at = now;
            engine.failure_count = 0;
        }
        state.event_count += 1;
        state.last_event_at = now;
        true
    }

    /// Takes in how `run` ended.
    pub fn ended(&mut self, run: RunNumber, end: RunEnd, now: Timestamp) {
        let Some(state) = self.release(run) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&state.engine) {
            let was_probe = engine.unproven.as_mut().is_some_and(|unproven| {
                let was_probe = unproven.probe == Some(run);
                if was_probe {
                    unproven.probe = None;
                    unproven.probe_from = now + PROBE_PAUSE;
                }
                was_probe
            });
            if !(was_probe && end == RunEnd::NotRun) {
                engine.judge(end, now);
            }
        }
        let Some(job) = self.jobs.get_mut(&state.job) else {
            return;
        };
        let max_attempts = job.job.head.max_attempts.max(1);
        let item = &mut job.items[state.item_index];
        match end {
            RunEnd::Completed => job.finish(state.item_index, ItemState::Completed),
            RunEnd::Impossible => job.finish(state.item_index, ItemState::Failed),
            RunEnd::Failed => {
                item.failed_count += 1;
                if item.failed_count >= max_attempts {
                    job.finish(state.item_index, ItemState::Failed);
                } else {
                    job.queue.push_front(state.item_index);
                }
            }
            RunEnd::NotRun
            | RunEnd::WrongVersion
            | RunEnd::WrongEngine
            | RunEnd::Broken
            | RunEnd::Moved => {
                job.queue.push_front(state.item_index);
            }
        }
    }

    /// Takes in that the order to load `load` was accepted at `now`; none where
    /// it was refused or nothing is known of it.
    pub fn ordered(&mut self, load: &Load, accepted: Option<OrderState>, now: Timestamp) {
        let loading_count = self
            .engines
            .values()
            .filter(|e| e.loading.is_some())
            .count();
        let allowed_count = max_loading_count(self.engines.len());
        let stretch = (loading_count as f64 / allowed_count as f64).max(1.0);
        let Some(engine) = self.engines.get_mut(&load.engine) else {
            return;
        };
        match accepted {
            Some(OrderState::Loading) => {
                if let Some(loading) = &mut engine.loading {
                    loading.done_at = Some(now + LOAD_DURATION.mul_f64(stretch));
                }
            }
            Some(OrderState::Holds) => {
                engine.loading = None;
                engine.loaded_at = now;
                engine.holds(&load.model, load.version);
            }
            None => {
                engine.loading = None;
                engine.avoid_orders(now);
            }
        }
    }

    /// Returns results of `job` that are not listed yet.
    pub fn finished(&self, job: &JobId) -> &[ItemResult] {
        self.jobs.get(job).map_or(&[], |job| &job.finished)
    }

    /// Returns the jobs that have results to list.
    pub fn unlisted(&self) -> Vec<JobId> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.finished.is_empty())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes in that the first `count` results of [`Scheduler::finished`] are
    /// listed, and says whether that was all of the job.
    pub fn listed(&mut self, job: &JobId, count: usize) -> bool {
        let Some(run) = self.jobs.get_mut(job) else {
            return false;
        };
        run.finished.drain(..count.min(run.finished.len()));
        run.finished.is_empty() && run.items.iter().all(|item| item.is_done)
    }

    /// Drops results that another coordinator has listed.
    pub fn listed_elsewhere(&mut self, job: &JobId, listed: &BTreeSet<ItemId>) -> Vec<Action> {
        let Some(run) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        run.finished.retain(|result| !listed.contains(&result.id));
        let mut cancelled = Vec::new();
        for (index, item) in run.job.items.iter().enumerate() {
            if listed.contains(&item.id) && !run.items[index].is_done {
                run.items[index].is_done = true;
                run.queue.retain(|queued| *queued != index);
                cancelled.extend(run.items[index].run);
            }
        }
        cancelled
            .into_iter()
            .map(|run| {
                self.release(run);
                Action::Cancel { run }
            })
            .collect()
    }

    /// Returns what to do at `now`, of what `rights` allow.
    pub fn poll(&mut self, now: Timestamp, rights: Rights) -> Vec<Action> {
        self.finish_loads(now);
        let mut actions = self.stop_stalled(now);
        self.give_up(now);
        if rights.may_start {
            actions.extend(self.leave_slow(now));
            actions.extend(self.speed_up_long(now));
        }
        if rights.may_start {
            self.dispatch(now, &mut actions);
        }
        if rights.may_order {
            self.order(now, &mut actions);
        }
        actions
    }

    /// Returns how each model's work stands at `now`.
    pub fn loads(&self, now: Timestamp) -> Vec<ModelLoad> {
        let needs = self.needs();
        needs
            .into_iter()
            .map(|(model, need)| {
                let engines = || self.engines.values().filter(|engine| !engine.is_gone);
                let running = self.runs.values().filter(|run| {
                    self.jobs
                        .get(&run.job)
                        .is_some_and(|job| job.job.head.model == model)
                });
                ModelLoad {
                    waiting_count: need.waiting_count,
                    running_count: running.count(),
                    job_count: self
                        .jobs
                        .values()
                        .filter(|job| job.job.head.model == model)
                        .count(),
                    usable_count: engines()
                        .filter(|engine| !engine.is_loading(&model) && engine.avoid_until <= now)
                        .filter(|engine| engine.version(&model) >= need.min_version.max(1))
                        .count(),
                    fresh_count: engines()
                        .filter(|engine| engine.version(&model) >= need.named)
                        .count(),
                    loading_count: engines().filter(|engine| engine.is_loading(&model)).count(),
                    avoided_count: engines().filter(|engine| engine.avoid_until > now).count(),
                    named_version: need.named,
                    min_version: need.min_version,
                    model,
                }
            })
            .collect()
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

    fn stop_stalled(&mut self, now: Timestamp) -> Vec<Action> {
        let silent: BTreeSet<UpstreamId> = self
            .engines
            .values()
            .filter(|engine| engine.run_count >= SILENT_RUN_COUNT && engine.loading.is_none())
            .map(|engine| engine.spec.id.clone())
            .collect();
        let mut quiet: BTreeMap<&UpstreamId, Duration> = BTreeMap::new();
        for run in self
            .runs
            .values()
            .filter(|run| silent.contains(&run.engine))
        {
            let loaded_at = self.engines[&run.engine].loaded_at;
            let since = now.saturating_sub(run.last_event_at.max(loaded_at));
            let least = quiet.entry(&run.engine).or_insert(since);
            *least = since.min(*least);
        }
        let stalled: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                now.saturating_sub(run.last_event_at) >= STALL_TIMEOUT
                    || quiet
                        .get(&run.engine)
                        .is_some_and(|since| *since >= SILENCE_TIMEOUT)
            })
            .map(|(number, _)| *number)
            .collect();
        self.stop(&stalled, RunEnd::Broken, now)
    }

    /// Ends runs that go on elsewhere.
    fn stop(&mut self, runs: &[RunNumber], end: RunEnd, now: Timestamp) -> Vec<Action> {
        runs.iter()
            .map(|run| {
                self.ended(*run, end, now);
                Action::Cancel { run: *run }
            })
            .collect()
    }

    /// Moves runs from engines that are far slower than the median to others that
    /// have room.
    fn leave_slow(&mut self, now: Timestamp) -> Vec<Action> {
        let mut intervals: Vec<Duration> = self
            .engines
            .values()
            .filter_map(|engine| engine.interval(now))
            .collect();
        if intervals.len() < 3 {
            return Vec::new();
        }
        intervals.sort();
        let bound = intervals[intervals.len() / 2].mul_f64(SLOW_RATIO);
        let is_slow = |engine: &Engine| engine.interval(now).is_some_and(|i| i > bound);
        let moved: Vec<RunNumber> = self
            .runs
            .iter()
            .filter(|(_, run)| run.event_count >= MIN_MOVED_EVENT_COUNT)
            .filter(|(_, run)| self.engines.get(&run.engine).is_some_and(is_slow))
            .filter(|(_, run)| {
                let Some(job) = self.jobs.get(&run.job) else {
                    return false;
                };
                let output = &job.items[run.item_index].output;
                self.engines.values().any(|engine| {
                    !is_slow(engine)
                        && engine.is_usable(&job.job.head, run.tokens, now)
                        && output.admits(&job.job.head, engine.version(&job.job.head.model))
                })
            })
            .map(|(number, _)| *number)
            .take(MAX_MOVED_COUNT)
            .collect();
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Moves long runs to engines that are faster, once nothing waits for these.
    fn speed_up_long(&mut self, now: Timestamp) -> Vec<Action> {
        if self.jobs.values().any(|job| !job.queue.is_empty()) {
            return Vec::new();
        }
        let mut room: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        let mut moved = Vec::new();
        for (number, run) in &self.runs {
            if run.event_count < LONG_EVENT_COUNT {
                continue;
            }
            let (Some(job), Some(engine)) =
                (self.jobs.get(&run.job), self.engines.get(&run.engine))
            else {
                continue;
            };
            let Some(interval) = engine.interval(now) else {
                continue;
            };
            let head = &job.job.head;
            let output = &job.items[run.item_index].output;
            let faster = self.engines.values().find(|other| {
                // Half of the places stay free for the next job.
                let taken_count = other.run_count + room.get(&other.spec.id).unwrap_or(&0);
                taken_count < other.spec.slot_count.div_ceil(2)
                    && other.is_usable(head, run.tokens, now)
                    && output.admits(head, other.version(&head.model))
                    && other
                        .interval(now)
                        .is_some_and(|i| i.mul_f64(FASTER_RATIO) < interval)
            });
            if let Some(faster) = faster {
                *room.entry(&faster.spec.id).or_default() += 1;
                moved.push(*number);
            }
        }
        moved.truncate(MAX_MOVED_COUNT);
        self.stop(&moved, RunEnd::Moved, now)
    }

    /// Lists items as failed whose time is up.
    fn give_up(&mut self, now: Timestamp) {
        let mut overdue = Vec::new();
        for (id, job) in &self.jobs {
            let age = job.age + now.saturating_sub(job.opened_at);
            if age >= job.job.head.item_ttl + TTL_MARGIN {
                overdue.push(id.clone());
            }
        }
        for id in overdue {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let open: Vec<usize> = (0..job.items.len())
                .filter(|index| !job.items[*index].is_done)
                .collect();
            let mut runs = Vec::new();
            for index in open {
                runs.extend(job.items[index].run.take());
                job.finish(index, ItemState::Failed);
            }
            job.queue.clear();
            for run in runs {
                self.release(run);
            }
        }
    }

    fn finish_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values_mut() {
            let Some(loading) = &engine.loading else {
                continue;
            };
            if loading.done_at.is_some_and(|done_at| done_at <= now) {
                let load = loading.load.clone();
                engine.unproven = Some(Unproven {
                    model: load.model.clone(),
                    started_at: loading.started_at,
                    probe: None,
                    probe_from: now,
                });
                engine.loading = None;
                engine.loaded_at = now;
                engine.holds(&load.model, load.version);
            } else if now.saturating_sub(loading.started_at) >= LOAD_TIMEOUT {
                engine.loading = None;
                engine.loaded_at = now;
            }
        }
    }

    fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut order: Vec<(Duration, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.queue.is_empty())
            .map(|(id, job)| {
                let age = job.age + now.saturating_sub(job.opened_at);
                (job.job.head.due.saturating_sub(age), id.clone())
            })
            .collect();
        order.sort();
        for (_, id) in order {
            self.dispatch_job(&id, now, actions);
        }
    }

    fn dispatch_job(&mut self, id: &JobId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        while let Some(&item_index) = job.queue.front() {
            let item = &job.job.items[item_index];
            let state = &mut job.items[item_index];
            let tokens = item.memory_tokens();
            let head = &job.job.head;
            let engine = self
                .engines
                .values_mut()
                .filter(|engine| engine.is_usable(head, tokens, now))
                .filter(|engine| {
                    let version = engine.version(&head.model);
                    state.output.admits(head, version)
                })
                .min_by(|a, b| {
                    let cost = |engine: &Engine| engine.cost(item, &state.output, now);
                    cost(a).cmp(&cost(b))
                });
            let Some(engine) = engine else {
                // What another engine has made under one version cannot go on
                // under another.
                if head.single_version && state.output.last_event() > 0 {
                    let is_lost = self.engines.values().all(|engine| {
                        engine.is_gone || !state.output.admits(head, engine.version(&head.model))
                    });
                    if is_lost {
                        state.output = Output::default();
                        state.saved_event = 0;
                        continue;
                    }
                }
                return;
            };
            job.queue.pop_front();
            self.next_run += 1;
            let run = self.next_run;
            state.run = Some(run);
            if let Some(unproven) = &mut engine.unproven
                && unproven.model == head.model
            {
                unproven.probe = Some(run);
            }
            engine.run_count += 1;
            engine.run_tokens += tokens;
            self.runs.insert(
                run,
                Run {
                    job: id.clone(),
                    item_index,
                    engine: engine.spec.id.clone(),
                    tokens,
                    last_event_at: now,
                    event_count: 0,
                },
            );
            actions.push(Action::Start {
                run,
                job: id.clone(),
                item_index,
                engine: engine.spec.id.clone(),
                last_event: state.output.last_event(),
            });
        }
    }

    fn order(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let needs = self.needs();
        let mut run_counts: BTreeMap<&UpstreamId, BTreeMap<ModelId, usize>> = BTreeMap::new();
        for run in self.runs.values() {
            if let Some(job) = self.jobs.get(&run.job) {
                let counts = run_counts.entry(&run.engine).or_default();
                *counts.entry(job.job.head.model.clone()).or_default() += 1;
            }
        }
        let engines: Vec<EngineWeights> = self
            .engines
            .values()
            .filter(|engine| !engine.is_gone && !engine.spec.is_draining)
            .filter(|engine| !engine.spec.versions.is_empty())
            .map(|engine| EngineWeights {
                id: engine.spec.id.clone(),
                versions: engine.spec.versions.clone(),
                loading: engine
                    .loading
                    .as_ref()
                    .map(|loading| loading.load.model.clone()),
                is_orderable: engine.avoid_until <= now,
                run_counts: run_counts.remove(&engine.spec.id).unwrap_or_default(),
            })
            .collect();
        for load in weights::loads(&engines, &needs, self.fewer_loads_count) {
            if let Some(engine) = self.engines.get_mut(&load.engine) {
                engine.loading = Some(Loading {
                    load: load.clone(),
                    started_at: now,
                    done_at: None,
                });
                actions.push(Action::Order(load));
            }
        }
    }

    fn needs(&self) -> BTreeMap<ModelId, ModelNeed> {
        let mut needs: BTreeMap<ModelId, ModelNeed> = BTreeMap::new();
        for engine in self.engines.values() {
            for model in engine.spec.versions.keys() {
                needs.entry(model.clone()).or_default();
            }
        }
        for (model, need) in &mut needs {
            need.named = self.named.get(model).copied().unwrap_or(0);
        }
        for job in self.jobs.values() {
            let Some(need) = needs.get_mut(&job.job.head.model) else {
                continue;
            };
            need.min_version = need.min_version.max(job.job.head.min_version);
            need.waiting_count += job.queue.len();
        }
        needs
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

/// How one model's work stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelId,
    /// Open jobs.
    pub job_count: usize,
    /// Items that wait for an engine.
    pub waiting_count: usize,
    /// Items that run.
    pub running_count: usize,
    /// Engines whose weights serve all open jobs and that can be given work.
    pub usable_count: usize,
    /// Engines that have the newest weights.
    pub fresh_count: usize,
    /// Engines that load weights of it.
    pub loading_count: usize,
    /// Engines of any model that get no work for now.
    pub avoided_count: usize,
    /// The newest version that was named.
    pub named_version: WeightVersion,
    /// The oldest version that serves all open jobs.
    pub min_version: WeightVersion,
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

impl Engine {
    const fn new(spec: EngineSpec) -> Self {
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
            event_at: Duration::ZERO,
            loaded_at: Duration::ZERO,
        }
    }

    /// Takes in what the directory says now; versions never go back by it, as it
    /// lags behind the answers.
    fn update(&mut self, spec: EngineSpec) {
        let mut versions = std::mem::take(&mut self.spec.versions);
        for (model, version) in &spec.versions {
            let known = versions.entry(model.clone()).or_default();
            *known = (*version).max(*known);
        }
        self.spec = EngineSpec { versions, ..spec };
    }

    fn version(&self, model: &ModelId) -> WeightVersion {
        self.spec.versions.get(model).copied().unwrap_or(0)
    }

    /// Says whether items of `model` have to wait for one that finds out whether
    /// its load has ended.
    fn is_proving(&self, model: &ModelId, now: Timestamp) -> bool {
        self.unproven.as_ref().is_some_and(|unproven| {
            unproven.model == *model && (unproven.probe.is_some() || now < unproven.probe_from)
        })
    }

    /// Takes in that an item of `model` runs here, and returns how long the load
    /// before it took at most.
    fn prove(&mut self, model: &ModelId, now: Timestamp) -> Option<Duration> {
        let unproven = self.unproven.take_if(|unproven| unproven.model == *model)?;
        Some(now.saturating_sub(unproven.started_at))
    }

    fn is_loading(&self, model: &ModelId) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|loading| loading.load.model == *model)
    }

    fn holds(&mut self, model: &ModelId, version: WeightVersion) {
        self.spec.versions.insert(model.clone(), version);
    }

    /// Says whether an item of a job can start here.
    ///
    /// A load keeps off items of its own model only.
    fn is_usable(&self, head: &JobHead, tokens: u64, now: Timestamp) -> bool {
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
    fn cost(&self, item: &Item, output: &Output, now: Timestamp) -> Duration {
        let interval = self.interval(now).unwrap_or(USUAL_INTERVAL);
        let hinted = item.length_hint_tokens / self.spec.tokens_per_event.max(1);
        let made = output.last_event();
        // Lengths have a long tail: what outlived its hint is far from its end.
        let left = hinted.saturating_sub(made).max(made / 2).max(1);
        let fullness = (self.run_count + 1) as f64 / self.spec.slot_count.max(1) as f64;
        interval.mul_f64(left as f64) + FULL_ENGINE_COST.mul_f64(fullness)
    }

    /// Returns the time between two events of a run, if it was seen lately.
    fn interval(&self, now: Timestamp) -> Option<Duration> {
        let is_recent = now.saturating_sub(self.event_at) < SPEED_MEMORY;
        self.event_interval.filter(|_| is_recent)
    }

    fn observe_interval(&mut self, interval: Duration) {
        self.event_interval = Some(match self.event_interval {
            None => interval,
            Some(known) => {
                known.mul_f64(1.0 - INTERVAL_GAIN_RATIO) + interval.mul_f64(INTERVAL_GAIN_RATIO)
            }
        });
    }

    fn judge(&mut self, end: RunEnd, now: Timestamp) {
        match end {
            RunEnd::Moved => {}
            RunEnd::Completed | RunEnd::Impossible => self.failure_count = 0,
            RunEnd::NotRun | RunEnd::WrongVersion => {
                self.avoid_until = self.avoid_until.max(now + BUSY_PAUSE);
            }
            RunEnd::Failed | RunEnd::Broken | RunEnd::WrongEngine => {
                let pause = MIN_AVOIDANCE.saturating_mul(1 << self.failure_count.min(6));
                self.avoid_until = self.avoid_until.max(now + pause.min(MAX_AVOIDANCE));
                self.failure_count += 1;
            }
        }
    }

    fn avoid_orders(&mut self, now: Timestamp) {
        self.avoid_until = self.avoid_until.max(now + MIN_AVOIDANCE);
    }
}
