//! Decides which engine loads which version of which model.
//!
//! An engine holds weights of all models and loads one at a time, while it goes
//! on serving the others. Each named version is loaded by a part of the engines,
//! first by those that do not hold the version before, which the present job may
//! still use (see docs/design/platform.md, "Weights").

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    batch::job::ModelId,
    ids::{UpstreamId, WeightVersion},
};

/// The part of a service's engines that may load at once. The deployment sheets
/// state that loads take longer beyond 2 of 11, 9 of 45 and 10 of 48 engines.
const LOADING_RATIO: f64 = 0.2;

/// How many times the engines that load at once can load for one version: the
/// sheets' steps come each 4 s, loads take 0.9 s, and three models share them.
const LOADS_PER_VERSION_RATIO: f64 = 1.3;

/// What is known of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub id: UpstreamId,
    /// The version that it holds of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
    /// The model whose weights it loads.
    pub loading: Option<ModelId>,
    /// Whether it may be given an order at all.
    pub is_orderable: bool,
    /// How many runs of each model it has.
    pub run_counts: BTreeMap<ModelId, usize>,
}

/// What one model needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelNeed {
    /// The newest version that the trainer named.
    pub named: WeightVersion,
    /// The oldest version that serves all open jobs; 0 where none is open.
    pub min_version: WeightVersion,
    /// How many items wait for an engine.
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

/// Orders candidates for a load, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the engine serves the present job of the model as it is.
    is_useful: bool,
    /// How many runs the load pauses.
    paused_count: usize,
    /// How many other models' present jobs it serves.
    other_count: usize,
    /// How many runs it has.
    run_count: usize,
}

/// Orders models that want a load, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// Whether engines serve the present job, or nothing waits for one.
    is_served: bool,
    /// How many engines hold the newest version or load it.
    fresh_count: usize,
    /// Lower the more items wait.
    idle_rank: usize,
}

/// Returns the loads to order now, the most urgent first; `fewer_count` fewer at
/// once than may be.
///
/// Models take turns, so that none is without engines for its next job while
/// another has all that it may.
pub fn loads(
    engines: &[EngineWeights],
    needs: &BTreeMap<ModelId, ModelNeed>,
    fewer_count: usize,
) -> Vec<Load> {
    let loading_count = engines.iter().filter(|e| e.loading.is_some()).count();
    let max_count = max_loading_count(engines.len())
        .saturating_sub(fewer_count)
        .max(1);
    let left_count = max_count.saturating_sub(loading_count);
    let target_count = fresh_target_count(engines.len(), needs.len());
    let mut plans: Vec<Plan<'_>> = needs
        .iter()
        .map(|(model, need)| Plan::new(engines, model, *need, needs))
        .collect();
    let mut taken: BTreeSet<&UpstreamId> = BTreeSet::new();
    let mut loads: Vec<Load> = Vec::new();
    while loads.len() < left_count {
        let next = plans
            .iter_mut()
            .filter(|plan| plan.urgency.fresh_count < target_count)
            .filter_map(|plan| Some((plan.urgency, plan.candidate(&taken)?, plan)))
            .min_by_key(|(urgency, ..)| *urgency);
        let Some((_, engine, plan)) = next else {
            break;
        };
        plan.urgency.fresh_count += 1;
        taken.insert(&engine.id);
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
    /// The best engine comes last.
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
        let is_useful = engines.iter().any(|engine| engine.serves(model, &need));
        Self {
            model,
            named: need.named,
            urgency: Urgency {
                is_served: is_useful || need.waiting_count == 0,
                fresh_count: fresh_count(engines, model, &need),
                idle_rank: usize::MAX - need.waiting_count,
            },
            candidates,
        }
    }

    /// Returns the best engine that no other model has taken.
    fn candidate(&mut self, taken: &BTreeSet<&UpstreamId>) -> Option<&'a EngineWeights> {
        while let Some(engine) = self.candidates.last() {
            if !taken.contains(&engine.id) {
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

/// Returns how many engines shall hold a model's newest version: as many as there
/// are for one model if all share alike, which are the loads that cost nothing,
/// and no more than can load before the next version.
fn fresh_target_count(engine_count: usize, model_count: usize) -> usize {
    let share_count = engine_count / model_count.max(1);
    let feasible = max_loading_count(engine_count) as f64 * LOADS_PER_VERSION_RATIO;
    share_count.min(feasible.round() as usize).max(1)
}

/// Returns how many of `engine_count` engines may load at once.
pub fn max_loading_count(engine_count: usize) -> usize {
    ((engine_count as f64 * LOADING_RATIO).round() as usize).max(1)
}

impl EngineWeights {
    fn version(&self, model: &ModelId) -> WeightVersion {
        self.versions.get(model).copied().unwrap_or(0)
    }

    /// Says whether its weights serve the present job of `model`, which allows the
    /// version before the newest.
    fn serves(&self, model: &ModelId, need: &ModelNeed) -> bool {
        let oldest = need.min_version.max(need.named.saturating_sub(1));
        self.loading.as_ref() != Some(model) && self.version(model) >= oldest
    }

    fn rank(&self, model: &ModelId, needs: &BTreeMap<ModelId, ModelNeed>) -> Rank {
        let others = needs.iter().filter(|(other, _)| *other != model);
        Rank {
            is_useful: needs
                .get(model)
                .is_some_and(|need| self.serves(model, need)),
            paused_count: self.run_counts.get(model).copied().unwrap_or(0),
            other_count: others
                .filter(|(other, need)| self.serves(other, need))
                .count(),
            run_count: self.run_counts.values().sum(),
        }
    }
}
