//! An index of the engines that can run items of one model, so that the start of
//! an item does not look at all engines of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::engine::Engine;
use crate::{
    batch::{
        job::{Item, JobHead, ModelId},
        output::Output,
    },
    clock::Timestamp,
    ids::{SoftwareVersion, UpstreamId, WeightVersion},
};

/// What engines have in common that cost an item the same, but for their speed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    version: WeightVersion,
    run_count: usize,
    slot_count: usize,
    needs_connection: bool,
    software_version: SoftwareVersion,
}

/// The engines with a free slot that hold weights of one model, by class, the
/// fastest of each class first.
///
/// It is built for one round of starts. Starts of other models' items in that
/// round make it outdated, which [`Candidates::cheapest`] corrects.
#[derive(Clone, Debug)]
pub(super) struct Candidates {
    classes: BTreeMap<Class, BTreeSet<(Duration, UpstreamId)>>,
    /// The event interval that is expected of an engine without samples.
    typical_interval: Duration,
}

impl Candidates {
    /// Indexes `engines` for the model and the service of `head`.
    pub(super) fn new<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        head: &JobHead,
        typical_interval: Duration,
        now: Timestamp,
    ) -> Self {
        let mut candidates = Self {
            classes: BTreeMap::new(),
            typical_interval,
        };
        for engine in engines {
            if engine.has_free_slot(now) && engine.spec.service == head.service {
                candidates.insert(engine, &head.model, now);
            }
        }
        candidates
    }

    fn insert(&mut self, engine: &Engine, model: &ModelId, now: Timestamp) {
        let class = Class {
            version: engine.version(model),
            run_count: engine.run_count,
            slot_count: engine.spec.slot_count,
            needs_connection: engine.needs_connection(now),
            software_version: engine.spec.software_version.clone(),
        };
        let interval = engine
            .expected_interval(now)
            .unwrap_or(self.typical_interval);
        self.classes
            .entry(class)
            .or_default()
            .insert((interval, engine.spec.id.clone()));
    }

    /// Returns the engine on which `item` costs the least, if any can run it.
    pub(super) fn cheapest(
        &mut self,
        engines: &BTreeMap<UpstreamId, Engine>,
        head: &JobHead,
        item: &Item,
        output: &Output,
        tokens: u64,
        now: Timestamp,
    ) -> Option<UpstreamId> {
        self.move_outdated(engines, &head.model, now);
        let lowest = Class {
            version: head.min_version,
            run_count: 0,
            slot_count: 0,
            needs_connection: false,
            software_version: "".into(),
        };
        self.classes
            .range(lowest..)
            .filter(|(class, _)| output.can_continue(head, class.version, &class.software_version))
            .filter_map(|(_, members)| {
                members
                    .iter()
                    .filter_map(|(_, id)| engines.get(id))
                    .find(|engine| engine.is_usable(head, tokens, now))
            })
            .min_by_key(|engine| engine.cost(item, output, self.typical_interval, now))
            .map(|engine| engine.spec.id.clone())
    }

    /// Moves the first engines of each class to their present class, until the
    /// first ones of all classes are in place.
    fn move_outdated(
        &mut self,
        engines: &BTreeMap<UpstreamId, Engine>,
        model: &ModelId,
        now: Timestamp,
    ) {
        loop {
            let mut outdated: Vec<UpstreamId> = Vec::new();
            self.classes.retain(|class, members| {
                while let Some((_, id)) = members.first()
                    && engines
                        .get(id)
                        .is_none_or(|engine| engine.run_count != class.run_count)
                {
                    outdated.extend(members.pop_first().map(|(_, id)| id));
                }
                !members.is_empty()
            });
            if outdated.is_empty() {
                return;
            }
            for engine in outdated.iter().filter_map(|id| engines.get(id)) {
                if engine.has_free_slot(now) {
                    self.insert(engine, model, now);
                }
            }
        }
    }
}
