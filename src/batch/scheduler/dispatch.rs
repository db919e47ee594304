//! Decides which item starts next on which engine, and which loads are ordered.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    Action, OpenJob, Run, Scheduler,
    candidates::{Candidates, Found, Search},
    engine::{
        DEFAULT_EVENT_INTERVAL, Engine, LOAD_TIMEOUT, Loading, UnconfirmedLoad, planned_tokens,
    },
    fairness::Round,
    prompts::Prompt,
    reading,
};
use crate::{
    batch::{
        job::{JobHead, JobId, ModelId},
        output::Output,
        weights::{self, EngineWeights, ModelNeed},
    },
    clock::Timestamp,
    ids::UpstreamId,
};

/// The shortest interval between two searches for engines, per engine, since the
/// cost of a search is proportional to their number.
const DISPATCH_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(4);

/// The interval below which searches are not limited.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(1);

/// A job with waiting items in a round of starts.
#[derive(Clone, Debug)]
struct WaitingJob {
    id: JobId,
    /// The position in the queue of the first item that is not put off in this round.
    next: usize,
    /// The position of the job's account in the round.
    share: usize,
}

/// Returns whether no engine can go on with `output`, now or later, so that its item must
/// start anew: no engine of its software version takes new runs, or a single weight
/// version must generate it and no engine holds that.
fn is_lost(engines: &BTreeMap<UpstreamId, Engine>, head: &JobHead, output: &Output) -> bool {
    if output.last_event() == 0 {
        return false;
    }
    let mut serving = engines
        .values()
        .filter(|engine| engine.serves(&head.service))
        .peekable();
    // Without any engine, their list may not be read yet.
    serving.peek().is_some()
        && !serving.any(|engine| {
            output.fits(&engine.spec.software_version)
                && (!head.single_version || engine.can_continue(head, output))
        })
}

/// Returns whether an item that needs `tokens` can start only on an engine without runs, since
/// it is larger than what any engine of its service has for several.
fn needs_idle_engine(engines: &BTreeMap<UpstreamId, Engine>, head: &JobHead, tokens: u64) -> bool {
    engines
        .values()
        .filter(|engine| engine.serves(&head.service))
        .map(Engine::max_run_tokens)
        .max()
        .is_some_and(|max_tokens| tokens > max_tokens)
}

impl Scheduler {
    /// Starts waiting items of all jobs, in the order of the time by which they
    /// must start, as far as accounts and priorities have their parts.
    ///
    /// A step cannot end before its longest item, so short items of one job
    /// give way to long items of another.
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let is_waiting = |job: &&OpenJob| !job.queue.is_empty();
        let shares = self.jobs.values().filter(is_waiting);
        let mut round = self
            .shares
            .begin_round(shares.map(|job| (&job.share, job.queue.len())), |service| {
                self.slot_count(service)
            });
        let mut waiting: Vec<WaitingJob> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_waiting(job))
            .map(|(id, job)| WaitingJob {
                id: id.clone(),
                next: 0,
                share: round.position(&job.share),
            })
            .collect();
        let mut candidates: BTreeMap<(ModelId, Arc<str>), Candidates> = BTreeMap::new();
        self.has_put_off_prompts = false;
        while let Some((position, is_most_urgent)) = self.first_in_order(&waiting, &round) {
            let job = &mut waiting[position];
            if self.start_first(job, &mut candidates, now, actions) {
                round.record_start(job.share);
                if !is_most_urgent {
                    self.shares.record_put_off();
                }
            } else {
                waiting.swap_remove(position);
            }
        }
        self.shares.end_round(round);
    }

    /// Returns the number of requests that the engines of a service run at once.
    fn slot_count(&self, service: &str) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.serves(service))
            .map(|engine| engine.spec.slot_count)
            .sum()
    }

    /// Returns whether the last poll looked for no engines, since the one before
    /// it had done so less than [`Scheduler::dispatch_interval`] ago.
    pub const fn has_deferred_dispatch(&self) -> bool {
        self.is_dispatch_deferred
    }

    /// Returns the shortest interval between two searches for engines, whose cost
    /// is proportional to the number of engines.
    pub fn dispatch_interval(&self) -> Duration {
        let interval = self.for_all_engines(DISPATCH_INTERVAL_PER_ENGINE);
        if interval < MIN_DISPATCH_INTERVAL {
            return Duration::ZERO;
        }
        interval
    }

    /// Returns the position in `jobs` of the job whose item starts next, and whether it has
    /// the item that must start the earliest of all.
    fn first_in_order(&self, jobs: &[WaitingJob], round: &Round) -> Option<(usize, bool)> {
        let start_by = |waiting: &WaitingJob| {
            let job = self.jobs.get(&waiting.id)?;
            let first = *job.queue.get(waiting.next)?;
            Some(job.start_by(first, self.tokens_per_event(job)))
        };
        let mut earliest = Timestamp::MAX;
        let (.., position, at) = jobs
            .iter()
            .enumerate()
            .filter_map(|(position, waiting)| {
                let at = start_by(waiting)?;
                if at < earliest {
                    earliest = at;
                }
                Some((round.rank(waiting.share), at, &waiting.id, position, at))
            })
            .min()?;
        Some((position, earliest == at))
    }

    /// Starts the first waiting item of a job that can start, and returns whether the
    /// job may have more items to start now.
    fn start_first(
        &mut self,
        waiting: &mut WaitingJob,
        candidates: &mut BTreeMap<(ModelId, Arc<str>), Candidates>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> bool {
        let id = &waiting.id;
        let Some(tokens_per_event) = self.jobs.get(id).map(|job| self.tokens_per_event(job)) else {
            return false;
        };
        let typical_interval = self.typical_interval.unwrap_or(DEFAULT_EVENT_INTERVAL);
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let head = &job.job.head;
        let candidates = candidates
            .entry((head.model.clone(), head.service.clone()))
            .or_insert_with(|| {
                let engines = self.engines.values();
                Candidates::new(engines, head, typical_interval, self.reading, now)
            });
        let mut chosen = None;
        for (position, &item_index) in job.queue.iter().enumerate().skip(waiting.next) {
            let item = &job.job.items[item_index];
            let state = &mut job.items[item_index];
            if is_lost(&self.engines, head, &state.output) {
                state.output = Output::default();
                state.is_begun_anew = true;
            }
            let tokens = planned_tokens(item, &state.output, tokens_per_event);
            let output_tokens = state.output.last_event() * tokens_per_event;
            let prompt = Prompt::new(item, &state.parts, output_tokens, state.put_off_at, now);
            let search = Search {
                head,
                item,
                output: &state.output,
                tokens,
                prompt,
            };
            let holders = self.part_holders.find(&state.parts);
            match candidates.cheapest(&self.engines, &search, holders, now) {
                Found::Engine(engine) => {
                    chosen = Some((position, item_index, tokens, engine));
                    break;
                }
                Found::PutOff => {
                    self.has_put_off_prompts = true;
                    if state.put_off_at.is_none() {
                        state.put_off_at = Some(now);
                        self.prompt_put_off_count += 1;
                    }
                    // The next search of this round begins behind it.
                    if position == waiting.next {
                        waiting.next += 1;
                    }
                    continue;
                }
                Found::Nothing => {}
            }
            // An item that can start anywhere finds no engine, and no later one will. One
            // that goes on waits for its version, and one that is too large for engines in use
            // for an idle one; they hold up none of the others.
            let is_special =
                state.output.last_event() > 0 || needs_idle_engine(&self.engines, head, tokens);
            if !is_special {
                break;
            }
        }
        let Some((position, item_index, tokens, engine)) = chosen else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&engine) else {
            return false;
        };
        let state = &mut job.items[item_index];
        job.queue.remove(position);
        self.last_run += 1;
        let run = self.last_run;
        state.run = Some(run);
        if let Some(unconfirmed) = &mut engine.unconfirmed
            && unconfirmed.model == head.model
        {
            unconfirmed.probe = Some(run);
        }
        engine.begin_run(tokens, now);
        let output_tokens = state.output.last_event() * tokens_per_event;
        let item = &job.job.items[item_index];
        let prompt = Prompt::new(item, &state.parts, output_tokens, state.put_off_at, now);
        let version = engine.version(&head.model);
        let memory_tokens = engine.spec.memory_tokens;
        let slowness_ratio = reading::slowness_ratio(engine, typical_interval, now);
        let run_prompt = engine.prompts.begin_run(
            &prompt,
            version,
            memory_tokens,
            &self.reading,
            slowness_ratio,
            now,
        );
        self.reading.record_start(&prompt, &run_prompt);
        self.part_holders.record(&state.parts, &engine.spec.id);
        state.put_off_at = None;
        self.shares.begin_run(&job.share);
        self.runs.insert(
            run,
            Run {
                job: id.clone(),
                item_index,
                engine: engine.spec.id.clone(),
                software_version: engine.spec.software_version.clone(),
                tokens,
                share: job.share.clone(),
                prompt: run_prompt,
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
        true
    }

    /// Orders the loads of weights that are due.
    pub(super) fn order_loads(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
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
                is_orderable: engine.backoff_until <= now,
                run_counts: run_counts.remove(&engine.spec.id).unwrap_or_default(),
            })
            .collect();
        for load in weights::plan_loads(&engines, &needs, self.load_reduction_count) {
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

    /// Returns the needs of each model that an engine holds.
    pub(super) fn needs(&self) -> BTreeMap<ModelId, ModelNeed> {
        let mut needs: BTreeMap<ModelId, ModelNeed> = BTreeMap::new();
        for engine in self.engines.values() {
            for model in engine.spec.versions.keys() {
                needs.entry(model.clone()).or_default();
            }
        }
        for (model, need) in &mut needs {
            need.named = self.named_versions.get(model).copied().unwrap_or(0);
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

    /// Recomputes the planned memory use of all runs and engines.
    pub(super) fn update_memory_use(&mut self) {
        for engine in self.engines.values_mut() {
            engine.run_tokens = 0;
        }
        for run in self.runs.values_mut() {
            let (Some(job), Some(engine)) =
                (self.jobs.get(&run.job), self.engines.get_mut(&run.engine))
            else {
                continue;
            };
            run.tokens = planned_tokens(
                &job.job.items[run.item_index],
                &job.items[run.item_index].output,
                engine.spec.tokens_per_event,
            );
            engine.run_tokens += run.tokens;
        }
    }

    /// Ends loads whose expected time has passed, and loads that timed out. The
    /// former stay unconfirmed until a run shows that they have ended.
    pub(super) fn finish_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values_mut() {
            let Some(loading) = &engine.loading else {
                continue;
            };
            if let Some(done_at) = loading.done_at.filter(|done_at| *done_at <= now) {
                let load = loading.load.clone();
                engine.unconfirmed = Some(UnconfirmedLoad {
                    model: load.model.clone(),
                    started_at: loading.started_at,
                    probe: None,
                    next_probe_at: done_at,
                    is_late: false,
                });
                engine.end_load(now);
                engine.set_version(&load.model, load.version);
            } else if now.saturating_sub(loading.started_at) >= LOAD_TIMEOUT {
                engine.end_load(now);
            }
        }
    }
}
