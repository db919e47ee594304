//! An index of the engines that can run items of one model, so that the start of
//! an item does not look at all engines of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    engine::Engine,
    prompts::Prompt,
    reading::{self, Reading},
};
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
    /// How long the prompts that wait there take, in coarse steps.
    wait_step: u8,
    software_version: SoftwareVersion,
}

/// What is searched for an item.
#[derive(Clone, Copy, Debug)]
pub(super) struct Search<'a> {
    pub(super) head: &'a JobHead,
    pub(super) item: &'a Item,
    pub(super) output: &'a Output,
    /// The planned memory use.
    pub(super) tokens: u64,
    pub(super) prompt: Prompt<'a>,
}

/// The result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Found {
    /// The item costs the least on this engine.
    Engine(UpstreamId),
    /// The prompts that wait at all engines that could run the item leave no room for its
    /// prompt.
    PutOff,
    /// No engine can run the item.
    Nothing,
}

/// The number of engines of a class that are asked for room for a long prompt. Engines of a
/// class have about the same prompts to read.
const MAX_REFUSED_COUNT: usize = 8;

/// The number of searches in a round that may look at all engines for items which are then
/// put off. Further long prompts are put off without a search.
const MAX_PUT_OFF_SEARCH_COUNT: usize = 8;

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
    reading: Reading,
    /// The shortest prompt that was put off, for items that were put off for long and for
    /// the others.
    put_off_tokens: [u64; 2],
    put_off_search_count: usize,
}

impl Candidates {
    /// Indexes `engines` for the model and the service of `head`.
    pub(super) fn new<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        head: &JobHead,
        typical_interval: Duration,
        reading: Reading,
        now: Timestamp,
    ) -> Self {
        let mut candidates = Self {
            classes: BTreeMap::new(),
            typical_interval,
            reading,
            put_off_tokens: [u64::MAX; 2],
            put_off_search_count: 0,
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
            wait_step: self.reading.wait_step(engine, now),
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

    /// Returns the engine on which an item costs the least, if any can run it. `holders` may
    /// hold shared parts of its prompt.
    pub(super) fn cheapest<'a>(
        &mut self,
        engines: &'a BTreeMap<UpstreamId, Engine>,
        search: &Search<'_>,
        holders: impl Iterator<Item = &'a UpstreamId>,
        now: Timestamp,
    ) -> Found {
        let Search {
            head,
            output,
            prompt,
            ..
        } = search;
        let is_long = !prompt.is_continued && self.reading.is_long(prompt.tokens);
        let is_usable = |engine: &&Engine| engine.is_usable(head, search.tokens, now);
        let mut is_put_off = is_long && self.is_put_off(prompt);
        let mut best: Option<(Duration, &UpstreamId)> = None;
        for engine in holders.filter_map(|id| engines.get(id)).filter(is_usable) {
            if engine.can_continue(head, output) && self.admits(engine, search, now) {
                let cost = self.cost(engine, search, now);
                best = best
                    .into_iter()
                    .chain([(cost, &engine.spec.id)])
                    .min_by_key(|(cost, _)| *cost);
            }
        }
        if !is_put_off {
            self.move_outdated(engines, &head.model, now);
            let lowest = Class {
                version: head.min_version,
                run_count: 0,
                slot_count: 0,
                needs_connection: false,
                wait_step: 0,
                software_version: "".into(),
            };
            let classes = self.classes.range(lowest..).filter(|(class, _)| {
                output.can_continue(head, class.version, &class.software_version)
            });
            for (_, members) in classes {
                let mut usable = members
                    .iter()
                    .filter_map(|(_, id)| engines.get(id))
                    .filter(is_usable);
                let first = if is_long {
                    let mut asked = usable.take(MAX_REFUSED_COUNT).peekable();
                    let is_any_usable = asked.peek().is_some();
                    let first = asked.find(|engine| self.admits(engine, search, now));
                    is_put_off |= is_any_usable && first.is_none();
                    first
                } else {
                    usable.next()
                };
                let found = first.map(|engine| (self.cost(engine, search, now), &engine.spec.id));
                best = best.into_iter().chain(found).min_by_key(|(cost, _)| *cost);
            }
            if is_put_off && best.is_none() {
                self.put_off_search_count += 1;
                let shortest = &mut self.put_off_tokens[usize::from(prompt.is_overdue)];
                *shortest = prompt.tokens.min(*shortest);
            }
        }
        match best {
            Some((_, engine)) => Found::Engine(engine.clone()),
            None if is_put_off => Found::PutOff,
            None => Found::Nothing,
        }
    }

    /// Returns whether a search in this round has shown that a prompt of this length is put
    /// off at all engines that hold none of it.
    fn is_put_off(&self, prompt: &Prompt<'_>) -> bool {
        prompt.tokens >= self.put_off_tokens[usize::from(prompt.is_overdue)]
            || self.put_off_search_count >= MAX_PUT_OFF_SEARCH_COUNT
    }

    fn admits(&self, engine: &Engine, search: &Search<'_>, now: Timestamp) -> bool {
        let slowness_ratio = reading::slowness_ratio(engine, self.typical_interval, now);
        let version = engine.version(&search.head.model);
        self.reading
            .admits(engine, &search.prompt, version, slowness_ratio, now)
    }

    /// Returns the cost of the rest of an item on `engine`, with the time to its first
    /// event that is due to prompts.
    fn cost(&self, engine: &Engine, search: &Search<'_>, now: Timestamp) -> Duration {
        let slowness_ratio = reading::slowness_ratio(engine, self.typical_interval, now);
        let version = engine.version(&search.head.model);
        engine.cost(search.item, search.output, self.typical_interval, now)
            + self
                .reading
                .cost(engine, &search.prompt, version, slowness_ratio, now)
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
