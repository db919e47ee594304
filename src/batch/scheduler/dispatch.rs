//! Which item starts next and where, and which weights are ordered.

use std::collections::BTreeMap;

use super::{
    Action, Run, Scheduler,
    engine::{LOAD_TIMEOUT, Loading, Unproven, near_tokens},
};
use crate::{
    batch::{
        job::{JobId, ModelId},
        output::Output,
        weights::{self, EngineWeights, ModelNeed},
    },
    clock::Timestamp,
    ids::UpstreamId,
};

impl Scheduler {
    /// Starts waiting items, over all jobs the one first that must start soonest.
    ///
    /// A step ends with its longest items, so that the short items of one job
    /// wait rather than the long ones of another.
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        while let Some(place) = self.most_urgent(&waiting) {
            if !self.start_first(&waiting[place], now, actions) {
                waiting.swap_remove(place);
            }
        }
    }

    /// Returns the place in `jobs` of the one whose first waiting item must start
    /// soonest.
    fn most_urgent(&self, jobs: &[JobId]) -> Option<usize> {
        jobs.iter()
            .enumerate()
            .filter_map(|(place, id)| {
                let job = self.jobs.get(id)?;
                let first = *job.queue.front()?;
                Some((job.start_by(first, self.tokens_per_event(job)), id, place))
            })
            .min()
            .map(|(.., place)| place)
    }

    /// Starts the first waiting item of a job, and says whether another one of it
    /// may start.
    fn start_first(&mut self, id: &JobId, now: Timestamp, actions: &mut Vec<Action>) -> bool {
        let Some(tokens_per_event) = self.jobs.get(id).map(|job| self.tokens_per_event(job)) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(&item_index) = job.queue.front() else {
            return false;
        };
        let item = &job.job.items[item_index];
        let state = &mut job.items[item_index];
        let tokens = near_tokens(item, &state.output, tokens_per_event);
        let head = &job.job.head;
        let engine = self
            .engines
            .values_mut()
            .filter(|engine| engine.is_usable(head, tokens, now))
            .filter(|engine| {
                let version = engine.version(&head.model);
                state.output.admits(head, version)
            })
            .min_by_key(|engine| engine.cost(item, &state.output, now));
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
                    return true;
                }
            }
            return false;
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
        true
    }

    pub(super) fn order(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
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

    pub(super) fn needs(&self) -> BTreeMap<ModelId, ModelNeed> {
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

    /// Takes in how much memory the runs take by now.
    pub(super) fn count_memory(&mut self) {
        for engine in self.engines.values_mut() {
            engine.run_tokens = 0;
        }
        for run in self.runs.values_mut() {
            let (Some(job), Some(engine)) =
                (self.jobs.get(&run.job), self.engines.get_mut(&run.engine))
            else {
                continue;
            };
            run.tokens = near_tokens(
                &job.job.items[run.item_index],
                &job.items[run.item_index].output,
                engine.spec.tokens_per_event,
            );
            engine.run_tokens += run.tokens;
        }
    }

    pub(super) fn finish_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values_mut() {
            let Some(loading) = &engine.loading else {
                continue;
            };
            if let Some(done_at) = loading.done_at.filter(|done_at| *done_at <= now) {
                let load = loading.load.clone();
                engine.unproven = Some(Unproven {
                    model: load.model.clone(),
                    started_at: loading.started_at,
                    probe: None,
                    probe_from: done_at,
                    is_late: false,
                });
                engine.end_load(now);
                engine.holds(&load.model, load.version);
            } else if now.saturating_sub(loading.started_at) >= LOAD_TIMEOUT {
                engine.end_load(now);
            }
        }
    }
}
