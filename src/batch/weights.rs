//! Decides which engine loads which version of which model.
//!
//! Each engine belongs to one model, and only that model's weights are kept
//! fresh on it, so that each named version is loaded by a part of the engines
//! (see docs/design/platform.md, "Weights").

use std::collections::BTreeMap;

use crate::{
    batch::job::ModelId,
    ids::{UpstreamId, WeightVersion},
};

/// The part of a service's engines that may load at once. The deployment sheets
/// state that loads take longer beyond 2 of 11, 9 of 45 and 10 of 48 engines.
const LOADING_RATIO: f64 = 0.2;

/// What is known of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub id: UpstreamId,
    /// The version that it holds of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
    /// Whether an order is under way.
    pub is_loading: bool,
    /// Whether it may be given an order at all.
    pub is_orderable: bool,
    /// How many runs it has.
    pub run_count: usize,
}

/// What one model needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelNeed {
    /// The newest version that the trainer named.
    pub named: WeightVersion,
    /// The oldest version that serves an open job; 0 where none is open.
    pub min_version: WeightVersion,
    /// How many items wait for an engine.
    pub waiting_count: usize,
    /// How many tokens a job of it makes, smoothed.
    pub demand_tokens: f64,
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

/// How far, in engines, a model's count must be off its share before an engine
/// changes models: the demand of single jobs varies, and each change is a load.
const MOVE_THRESHOLD: f64 = 0.8;

/// The part of a model's engines that should hold the newest version. The others
/// serve the open job with the version before, and load the next one in turn, so
/// that each engine loads every second version.
const FRESH_RATIO: f64 = 0.5;

/// Divides engines among models and keeps the division.
#[derive(Clone, Debug, Default)]
pub struct Division {
    model_of: BTreeMap<UpstreamId, ModelId>,
}

impl Division {
    /// Returns the model that `engine` belongs to.
    pub fn model(&self, engine: &UpstreamId) -> Option<&ModelId> {
        self.model_of.get(engine)
    }

    /// Gives engines without a model to the one that lacks most, and moves one
    /// engine where the division is far from what the models demand.
    pub fn balance(&mut self, engines: &[EngineWeights], needs: &BTreeMap<ModelId, ModelNeed>) {
        self.model_of
            .retain(|id, model| needs.contains_key(model) && engines.iter().any(|e| e.id == *id));
        for engine in engines {
            if self.model_of.contains_key(&engine.id) {
                continue;
            }
            let lacks = self.lacks(engines.len(), needs);
            let most = lacks.iter().max_by(|a, b| a.1.total_cmp(&b.1));
            if let Some((model, _)) = most {
                self.model_of.insert(engine.id.clone(), model.clone());
            }
        }
        let lacks = self.lacks(engines.len(), needs);
        let most = lacks.iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let least = lacks.iter().min_by(|a, b| a.1.total_cmp(&b.1));
        if let (Some((to, lack)), Some((from, excess))) = (most, least)
            && *lack >= MOVE_THRESHOLD
            && -*excess >= MOVE_THRESHOLD
        {
            // The engine with the oldest weights has to load anyway.
            let moved = engines
                .iter()
                .filter(|engine| !engine.is_loading)
                .filter(|engine| self.model_of.get(&engine.id) == Some(from))
                .min_by_key(|engine| (engine.version(from), engine.run_count));
            if let Some(moved) = moved {
                self.model_of.insert(moved.id.clone(), to.clone());
            }
        }
    }

    /// Returns for each model how many engines it lacks of its share.
    fn lacks(
        &self,
        engine_count: usize,
        needs: &BTreeMap<ModelId, ModelNeed>,
    ) -> Vec<(ModelId, f64)> {
        let total: f64 = needs.values().map(|need| need.demand_tokens).sum();
        needs
            .iter()
            .map(|(model, need)| {
                let ratio = if total > 0.0 {
                    need.demand_tokens / total
                } else {
                    1.0 / needs.len() as f64
                };
                // Each model needs one engine however little it demands.
                let share = (engine_count as f64 * ratio).max(1.0);
                let count = self.model_of.values().filter(|m| *m == model).count();
                (model.clone(), share - count as f64)
            })
            .collect()
    }

    /// Returns the loads to order now, the most urgent first.
    ///
    /// An engine whose weights are too old for the present job of its model loads
    /// at once. Of the others, as many load as keep [`FRESH_RATIO`].
    pub fn loads(
        &self,
        engines: &[EngineWeights],
        needs: &BTreeMap<ModelId, ModelNeed>,
    ) -> Vec<Load> {
        let max_count = max_loading_count(engines.len());
        let loading_count = engines.iter().filter(|engine| engine.is_loading).count();
        let mut due: Vec<(Urgency, Load)> = needs
            .iter()
            .flat_map(|(model, need)| self.model_loads(model, *need, engines))
            .collect();
        due.sort_by(|a, b| a.0.cmp(&b.0));
        due.into_iter()
            .take(max_count.saturating_sub(loading_count))
            .map(|(_, load)| load)
            .collect()
    }

    fn model_loads(
        &self,
        model: &ModelId,
        need: ModelNeed,
        engines: &[EngineWeights],
    ) -> Vec<(Urgency, Load)> {
        let mut own: Vec<&EngineWeights> = engines
            .iter()
            .filter(|engine| self.model_of.get(&engine.id) == Some(model))
            .collect();
        own.sort_by_key(|engine| (engine.version(model), engine.run_count));
        let oldest_useful = need.min_version.max(need.named.saturating_sub(1));
        let mut fresh_count = own
            .iter()
            .filter(|engine| engine.is_loading || engine.version(model) >= need.named)
            .count();
        let fresh_target_count = (own.len() as f64 * FRESH_RATIO).ceil() as usize;
        let mut loads = Vec::new();
        for engine in own {
            let version = engine.version(model);
            let is_useless = version < oldest_useful;
            let is_due = version < need.named && (is_useless || fresh_count < fresh_target_count);
            if engine.is_loading || !engine.is_orderable || !is_due {
                continue;
            }
            fresh_count += 1;
            let urgency = Urgency {
                is_refresh: !is_useless,
                idle_rank: usize::MAX - need.waiting_count,
                run_count: engine.run_count,
            };
            loads.push((
                urgency,
                Load {
                    engine: engine.id.clone(),
                    model: model.clone(),
                    version: need.named,
                },
            ));
        }
        loads
    }
}

/// Orders loads, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// Whether the engine still serves the open jobs of its model.
    is_refresh: bool,
    /// Lower the more items of the model wait.
    idle_rank: usize,
    /// How many runs the load pauses.
    run_count: usize,
}

/// Returns how many of `engine_count` engines may load at once.
pub fn max_loading_count(engine_count: usize) -> usize {
    ((engine_count as f64 * LOADING_RATIO).round() as usize).max(1)
}

impl EngineWeights {
    fn version(&self, model: &ModelId) -> WeightVersion {
        self.versions.get(model).copied().unwrap_or(0)
    }
}
