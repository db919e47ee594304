//! Decides which engine loads which version of which model.
//!
//! An engine holds weights of all models and loads one model at a time, while
//! it continues to serve the others. Each named version is loaded by only some
//! of the engines, preferably by those that lack the previous version, which
//! the current job may still use (see docs/design/platform.md, "Weights").

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    batch::job::ModelId,
    ids::{UpstreamId, WeightVersion},
};

/// The share of a service's engines that may load at once. According to the
/// deployment specification, loads take longer when more than 2 of 11, 9 of 45
/// or 10 of 48 engines load.
const LOADING_RATIO: f64 = 0.2;

/// How many loads each version gets, as a multiple of the loads that may run at
/// once. In the deployment specification a step comes every 4 s, a load takes
/// 0.9 s, and three models share the engines.
const LOADS_PER_VERSION_RATIO: f64 = 1.3;

/// The state of one engine, as far as it matters for loading weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub id: UpstreamId,
    /// The version of each model that the engine holds.
    pub versions: BTreeMap<ModelId, WeightVersion>,
    /// The model whose weights are being loaded.
    pub loading: Option<ModelId>,
    /// Whether the engine can be sent an order.
    pub is_orderable: bool,
    /// The number of runs of each model.
    pub run_counts: BTreeMap<ModelId, usize>,
}

/// What one model needs from the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelNeed {
    /// The newest version that the trainer named.
    pub named: WeightVersion,
    /// The oldest version that all open jobs accept, or 0 if none is open.
    pub min_version: WeightVersion,
    /// The number of items that wait for an engine.
    pub waiting_count: usize,
}

/// One load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The engine.
    pub engine: UpstreamId,
    /// The model.
    pub model: ModelId,
    /// The version to load.
    pub version: WeightVersion,
}

/// The sort key of candidate engines for a load, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the engine can already serve the model's current job.
    can_serve: bool,
    /// The number of runs that the load would pause.
    paused_count: usize,
    /// The number of other models whose current jobs the engine can serve.
    other_count: usize,
    /// The number of runs on the engine.
    run_count: usize,
}

/// The sort key of models that need a load, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// Whether an engine can serve the current job, or no item waits.
    is_served: bool,
    /// The number of engines that hold the newest version or load the model.
    fresh_count: usize,
    /// Decreases with the number of waiting items.
    waiting_rank: usize,
}

/// Returns the loads to order now, the most urgent first. The limit on
/// concurrent loads is lowered by `reduction_count`, but at least one load may
/// run.
///
/// Models take turns, so that none lacks engines for its next job while another
/// already has its full share.
pub fn plan_loads(
    engines: &[EngineWeights],
    needs: &BTreeMap<ModelId, ModelNeed>,
    reduction_count: usize,
) -> Vec<Load> {
    let loading_count = engines.iter().filter(|e| e.loading.is_some()).count();
    let max_count = max_loading_count(engines.len())
        .saturating_sub(reduction_count)
        .max(1);
    let free_count = max_count.saturating_sub(loading_count);
    let target_count = fresh_target_count(engines.len(), needs.len());
    let mut plans: Vec<Plan<'_>> = needs
        .iter()
        .map(|(model, need)| Plan::new(engines, model, *need, needs))
        .collect();
    let mut assigned: BTreeSet<&UpstreamId> = BTreeSet::new();
    let mut loads: Vec<Load> = Vec::new();
    while loads.len() < free_count {
        let next = plans
            .iter_mut()
            .filter(|plan| plan.urgency.fresh_count < target_count)
            .filter_map(|plan| Some((plan.urgency, plan.candidate(&assigned)?, plan)))
            .min_by_key(|(urgency, ..)| *urgency);
        let Some((_, engine, plan)) = next else {
            break;
        };
        plan.urgency.fresh_count += 1;
        assigned.insert(&engine.id);
        loads.push(Load {
            engine: engine.id.clone(),
            model: plan.model.clone(),
            version: plan.named,
        });
    }
    loads
}

/// The engines that may load the newest version of one model.
struct Plan<'a> {
    model: &'a ModelId,
    named: WeightVersion,
    urgency: Urgency,
    /// Sorted from the worst to the best.
    candidates: Vec<&'a EngineWeights>,
}

impl<'a> Plan<'a> {
    fn new(
        engines: &'a [EngineWeights],
        model: &'a ModelId,
        need: ModelNeed,
        needs: &BTreeMap<ModelId, ModelNeed>,
    ) -> Self {
        let mut candidates: Vec<&EngineWeights> = engines
            .iter()
            .filter(|engine| engine.is_orderable && engine.loading.is_none())
            .filter(|engine| engine.version(model) < need.named)
            .collect();
        candidates.sort_by_cached_key(|engine| Reverse(engine.rank(model, needs)));
        let is_served = engines.iter().any(|engine| engine.can_serve(model, &need));
        Self {
            model,
            named: need.named,
            urgency: Urgency {
                is_served: is_served || need.waiting_count == 0,
                fresh_count: fresh_count(engines, model, &need),
                waiting_rank: usize::MAX - need.waiting_count,
            },
            candidates,
        }
    }

    /// Returns the best engine that is not assigned to another load.
    fn candidate(&mut self, assigned: &BTreeSet<&UpstreamId>) -> Option<&'a EngineWeights> {
        while let Some(engine) = self.candidates.last() {
            if !assigned.contains(&engine.id) {
                return Some(engine);
            }
            self.candidates.pop();
        }
        None
    }
}

fn fresh_count(engines: &[EngineWeights], model: &ModelId, need: &ModelNeed) -> usize {
    engines
        .iter()
        .filter(|engine| {
            engine.loading.as_ref() == Some(model) || engine.version(model) >= need.named
        })
        .count()
}

/// Returns the target number of engines that hold a model's newest version:
/// each model's equal share of the engines, up to which loads cost nothing, but
/// no more than can load before the next version is named.
fn fresh_target_count(engine_count: usize, model_count: usize) -> usize {
    let share_count = engine_count / model_count.max(1);
    let feasible = max_loading_count(engine_count) as f64 * LOADS_PER_VERSION_RATIO;
    share_count.min(feasible.round() as usize).max(1)
}

/// Returns how many of `engine_count` engines may load at once, at least one.
pub fn max_loading_count(engine_count: usize) -> usize {
    ((engine_count as f64 * LOADING_RATIO).round() as usize).max(1)
}

impl EngineWeights {
    fn version(&self, model: &ModelId) -> WeightVersion {
        self.versions.get(model).copied().unwrap_or(0)
    }

    /// Returns whether the engine can serve the current job of `model`, which
    /// also accepts the version before the newest.
    fn can_serve(&self, model: &ModelId, need: &ModelNeed) -> bool {
        let oldest = need.min_version.max(need.named.saturating_sub(1));
        self.loading.as_ref() != Some(model) && self.version(model) >= oldest
    }

    fn rank(&self, model: &ModelId, needs: &BTreeMap<ModelId, ModelNeed>) -> Rank {
        let others = needs.iter().filter(|(other, _)| *other != model);
        Rank {
            can_serve: needs
                .get(model)
                .is_some_and(|need| self.can_serve(model, need)),
            paused_count: self.run_counts.get(model).copied().unwrap_or(0),
            other_count: others
                .filter(|(other, need)| self.can_serve(other, need))
                .count(),
            run_count: self.run_counts.values().sum(),
        }
    }
}
