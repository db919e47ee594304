//! Which prompt prefixes the engines hold in their caches.
//!
//! Engines publish stores and evictions late and with gaps. After a gap the
//! index does not know what was evicted, so it trusts nothing of that engine
//! until a listing closes the gap (see docs/design/routing.md).

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Timestamp,
    engine::integer_hash::IntegerSet,
    ids::{BootId, UpstreamId},
};

/// Identifies one block of a prompt together with all blocks before it.
pub type BlockHash = u64;

/// Numbers the events of one engine process, from 1, without holes.
pub type Sequence = u64;

/// The most blocks that are kept of one engine.
pub const MAX_BLOCKS_PER_ENGINE: usize = 16_384;

/// The most engines that are followed at once.
pub const MAX_ENGINES: usize = 64;

/// The most events that wait for a listing.
const MAX_HELD_EVENTS: usize = 256;

/// How long a late event may take to close a gap by itself.
const REORDER_WINDOW: Duration = Duration::from_millis(500);

/// How long a listing may take before it is asked for again.
const RESYNC_TIMEOUT: Duration = Duration::from_secs(5);

/// What one engine says about its cache; it evicts before it stores.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// The engine process.
    pub boot: BootId,
    /// The number of this event in that process.
    pub sequence: Sequence,
    /// Blocks that are now in the cache.
    pub stored: Vec<BlockHash>,
    /// Blocks that are no longer in the cache.
    pub evicted: Vec<BlockHash>,
}

/// All blocks that one engine holds after an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The engine process.
    pub boot: BootId,
    /// The last event that the listing includes.
    pub sequence: Sequence,
    /// The blocks.
    pub blocks: Vec<BlockHash>,
}

/// What the traffic side shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the engine for a [`Listing`].
    Resync {
        /// The engine.
        engine: UpstreamId,
    },
}

/// Whether the index may be trusted about an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Trust {
    /// No event is missing.
    Sure,
    /// An event is missing and may still arrive.
    Waiting,
    /// Events were lost; a listing is needed.
    Unsure,
}

#[derive(Debug)]
struct EngineCache {
    boot: BootId,
    /// The last event that was applied.
    sequence: Sequence,
    trust: Trust,
    since: Timestamp,
    asked_at: Option<Timestamp>,
    held: BTreeMap<Sequence, CacheEvent>,
    blocks: IntegerSet<BlockHash>,
}

impl EngineCache {
    fn new(boot: BootId) -> Self {
        Self {
            boot,
            sequence: 0,
            trust: Trust::Sure,
            since: Timestamp::ZERO,
            asked_at: None,
            held: BTreeMap::new(),
            blocks: IntegerSet::default(),
        }
    }

    fn apply(&mut self, event: CacheEvent) {
        self.sequence = event.sequence;
        for block in event.evicted {
            self.blocks.remove(&block);
        }
        for block in event.stored {
            if self.blocks.len() < MAX_BLOCKS_PER_ENGINE {
                self.blocks.insert(block);
            }
        }
    }

    /// Applies held events as far as they follow without a hole.
    fn apply_held(&mut self) {
        while let Some(event) = self.held.remove(&(self.sequence + 1)) {
            self.apply(event);
        }
    }

    fn hold(&mut self, event: CacheEvent, now: Timestamp) {
        if self.trust == Trust::Sure {
            self.trust = Trust::Waiting;
            self.since = now;
        }
        self.held.insert(event.sequence, event);
        if self.held.len() > MAX_HELD_EVENTS {
            self.held.pop_first();
            self.lose();
        }
    }

    fn lose(&mut self) {
        self.trust = Trust::Unsure;
        self.blocks.clear();
    }

    fn matched(&self, prefix: &[BlockHash]) -> usize {
        if self.trust != Trust::Sure {
            return 0;
        }
        prefix
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }
}

/// The caches of the followed engines.
///
/// # Examples
///
/// ```
/// use mimosavane::engine::cache_index::{CacheEvent, Index};
/// use std::time::Duration;
///
/// let mut index = Index::default();
/// let engine = "engine-1".into();
/// let event = CacheEvent { boot: 1, sequence: 1, stored: vec![10, 11], evicted: vec![] };
/// index.apply_event(&engine, event, Duration::ZERO);
/// assert_eq!(index.matched(&engine, &[10, 11, 12]), 2);
/// ```
#[derive(Debug, Default)]
pub struct Index {
    engines: BTreeMap<UpstreamId, EngineCache>,
}

impl Index {
    /// Takes in one event, whenever and in whatever order it arrives.
    pub fn apply_event(&mut self, engine: &UpstreamId, event: CacheEvent, now: Timestamp) {
        let known = self.engines.contains_key(engine);
        if !known && self.engines.len() >= MAX_ENGINES {
            return;
        }
        let cache = self
            .engines
            .entry(engine.clone())
            .or_insert_with(|| EngineCache::new(event.boot));
        if event.boot > cache.boot {
            *cache = EngineCache::new(event.boot);
        }
        if event.boot < cache.boot || event.sequence <= cache.sequence {
            return;
        }
        if cache.trust == Trust::Unsure || event.sequence != cache.sequence + 1 {
            cache.hold(event, now);
            return;
        }
        cache.apply(event);
        cache.apply_held();
        if cache.held.is_empty() {
            cache.trust = Trust::Sure;
        }
    }

    /// Takes in a listing, which closes every gap before it.
    pub fn resync(&mut self, engine: &UpstreamId, listing: Listing) {
        let Some(cache) = self.engines.get_mut(engine) else {
            return;
        };
        if listing.boot < cache.boot
            || (listing.boot == cache.boot && listing.sequence < cache.sequence)
        {
            return;
        }
        if listing.boot > cache.boot {
            *cache = EngineCache::new(listing.boot);
        }
        cache.asked_at = None;
        cache.sequence = listing.sequence;
        cache.blocks.clear();
        cache
            .blocks
            .extend(listing.blocks.into_iter().take(MAX_BLOCKS_PER_ENGINE));
        cache.held = cache.held.split_off(&(listing.sequence + 1));
        cache.apply_held();
        cache.trust = if cache.held.is_empty() {
            Trust::Sure
        } else {
            Trust::Unsure
        };
    }

    /// Lets time pass: gaps that did not close need a listing.
    pub fn run(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        for (engine, cache) in &mut self.engines {
            if cache.trust == Trust::Waiting && now.saturating_sub(cache.since) >= REORDER_WINDOW {
                cache.lose();
            }
            if cache.trust != Trust::Unsure {
                continue;
            }
            let due = cache
                .asked_at
                .is_none_or(|asked| now.saturating_sub(asked) >= RESYNC_TIMEOUT);
            if due {
                cache.asked_at = Some(now);
                actions.push(Action::Resync {
                    engine: engine.clone(),
                });
            }
        }
        actions
    }

    /// Takes in the number of the last event, which load reports carry.
    ///
    /// It shows events that were lost without a later one to show the gap.
    pub fn observe(
        &mut self,
        engine: &UpstreamId,
        boot: BootId,
        sequence: Sequence,
        now: Timestamp,
    ) {
        let Some(cache) = self.engines.get_mut(engine) else {
            return;
        };
        if boot > cache.boot {
            *cache = EngineCache::new(boot);
        }
        if boot == cache.boot && sequence > cache.sequence && cache.trust == Trust::Sure {
            cache.trust = Trust::Waiting;
            cache.since = now;
        }
    }

    /// Forgets an engine that left.
    pub fn forget(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }

    /// Returns how many leading blocks of `prefix` the engine surely holds.
    pub fn matched(&self, engine: &UpstreamId, prefix: &[BlockHash]) -> usize {
        self.engines
            .get(engine)
            .map_or(0, |cache| cache.matched(prefix))
    }

    /// Returns the engines that surely hold leading blocks of `prefix`, and how
    /// many, from a place in the list on that the caller draws.
    pub fn holders<'a>(
        &'a self,
        prefix: &'a [BlockHash],
        start: usize,
    ) -> impl Iterator<Item = (&'a UpstreamId, usize)> {
        let start = start % self.engines.len().max(1);
        self.engines
            .iter()
            .skip(start)
            .chain(self.engines.iter().take(start))
            .map(|(engine, cache)| (engine, cache.matched(prefix)))
            .filter(|(_, matched)| *matched > 0)
    }

    /// Returns whether the index may be trusted about `engine`.
    pub fn trust(&self, engine: &UpstreamId) -> Trust {
        self.engines
            .get(engine)
            .map_or(Trust::Unsure, |cache| cache.trust)
    }
}
