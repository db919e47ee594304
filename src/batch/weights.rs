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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelNeed {
    /// The newest version that the trainer named.
    pub named: WeightVersion,
    /// The oldest version that serves an open job; 0 where none is open.
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

    /// Gives engines without a model to the model that has the fewest, and takes
    /// one from the model that has most where they differ by two or more.
    pub fn balance(&mut self, engines: &[EngineWeights], needs: &BTreeMap<ModelId, ModelNeed>) {
        self.model_of
            .retain(|id, model| needs.contains_key(model) && engines.iter().any(|e| e.id == *id));
        let mut counts: BTreeMap<&ModelId, usize> = needs.keys().map(|model| (model, 0)).collect();
        for model in self.model_of.values() {
            if let Some((model, _)) = needs.get_key_value(model) {
                *counts.entry(model).or_default() += 1;
            }
        }
        for engine in engines {
            if self.model_of.contains_key(&engine.id) {
                continue;
            }
            // The engine's newest weights spare a load.
            let choice = counts.iter().min_by_key(|(model, count)| {
                let version = engine.versions.get(**model).copied().unwrap_or(0);
                (**count, needs[**model].named.saturating_sub(version))
            });
            if let Some((model, _)) = choice {
                let model: &ModelId = model;
                self.model_of.insert(engine.id.clone(), model.clone());
                *counts.entry(model).or_default() += 1;
            }
        }
        let most = counts.iter().max_by_key(|(_, count)| **count);
        let fewest = counts.iter().min_by_key(|(_, count)| **count);
        if let (Some((most, most_count)), Some((fewest, fewest_count))) = (most, fewest)
            && *most_count >= *fewest_count + 2
        {
            let moved = engines
                .iter()
                .filter(|engine| self.model_of.get(&engine.id) == Some(most))
                .min_by_key(|engine| engine.run_count);
            if let Some(moved) = moved {
                self.model_of.insert(moved.id.clone(), (*fewest).clone());
            }
        }
    }

    /// Returns the loads to order now.
    ///
    /// An engine whose weights are too old for the open jobs loads at once. One
    /// that can still serve them loads when it has nothing to run.
    pub fn loads(
        &self,
        engines: &[EngineWeights],
        needs: &BTreeMap<ModelId, ModelNeed>,
    ) -> Vec<Load> {
        let max_count = ((engines.len() as f64 * LOADING_RATIO).round() as usize).max(1);
        let loading_count = engines.iter().filter(|engine| engine.is_loading).count();
        let mut due: Vec<(bool, usize, usize, Load)> = engines
            .iter()
            .filter(|engine| engine.is_orderable && !engine.is_loading)
            .filter_map(|engine| {
                let model = self.model_of.get(&engine.id)?;
                let need = needs.get(model)?;
                let version = engine.versions.get(model).copied().unwrap_or(0);
                let is_useless = version < need.min_version;
                let is_idle = engine.run_count == 0 && need.waiting_count == 0;
                let is_due = version < need.named && (is_useless || is_idle);
                is_due.then(|| {
                    let load = Load {
                        engine: engine.id.clone(),
                        model: model.clone(),
                        version: need.named,
                    };
                    (
                        !is_useless,
                        usize::MAX - need.waiting_count,
                        engine.run_count,
                        load,
                    )
                })
            })
            .collect();
        due.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
        due.into_iter()
            .take(max_count.saturating_sub(loading_count))
            .map(|(_, _, _, load)| load)
            .collect()
    }
}
