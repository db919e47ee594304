//! An index of the prompt prefixes in the engines' KV caches.
//!
//! Engines publish stores and evictions late and with gaps. After a gap the
//! index does not know what was evicted, so it reports no match for that engine
//! until a listing closes the gap (see docs/design/routing.md).

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Timestamp,
    engine::integer_hash::IntegerSet,
    ids::{BootId, UpstreamId},
};

/// The hash of a block of a prompt together with all blocks before it.
pub type BlockHash = u64;

/// The sequence number of an event of an engine process; starts at 1, without
/// gaps.
pub type Sequence = u64;

/// The maximum number of indexed blocks per engine.
pub const MAX_BLOCKS_PER_ENGINE: usize = 16_384;

/// The maximum number of indexed engines.
pub const MAX_ENGINES: usize = 64;

/// The maximum number of events per engine that wait for an earlier one or for
/// a listing.
const MAX_BUFFERED_EVENTS: usize = 256;

/// The time within which late events may close a gap before a listing is
/// requested.
const REORDER_WINDOW: Duration = Duration::from_millis(500);

/// The timeout of a listing, after which it is requested again.
const RESYNC_TIMEOUT: Duration = Duration::from_secs(5);

/// A change of an engine's cache. Evictions come before stores.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// The identifier of the start of the engine process.
    pub boot: BootId,
    /// The sequence number of the event within that process.
    pub sequence: Sequence,
    /// The blocks that were added to the cache.
    pub stored: Vec<BlockHash>,
    /// The blocks that were evicted from the cache.
    pub evicted: Vec<BlockHash>,
}

/// All blocks in an engine's cache after an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The identifier of the start of the engine process.
    pub boot: BootId,
    /// The sequence number of the last event that the listing includes.
    pub sequence: Sequence,
    /// The blocks in the cache.
    pub blocks: Vec<BlockHash>,
}

/// An action for the caller of the index to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request a [`Listing`] from the engine.
    Resync {
        /// The engine.
        engine: UpstreamId,
    },
}

/// Whether the index is consistent with an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Trust {
    /// No event is missing.
    Sure,
    /// An event is missing but may still arrive.
    Waiting,
    /// Events were lost, so a listing is required.
    Unsure,
}

/// The indexed state of an engine's cache.
#[derive(Debug)]
struct EngineCache {
    boot: BootId,
    /// The sequence number of the last applied event.
    sequence: Sequence,
    trust: Trust,
    /// The time at which a missing event was detected.
    waiting_since: Timestamp,
    /// The time at which a listing was requested.
    resync_requested_at: Option<Timestamp>,
    /// Events that wait for an earlier one or for a listing.
    buffered: BTreeMap<Sequence, CacheEvent>,
    blocks: IntegerSet<BlockHash>,
}

impl EngineCache {
    fn new(boot: BootId) -> Self {
        Self {
            boot,
            sequence: 0,
            trust: Trust::Sure,
            waiting_since: Timestamp::ZERO,
            resync_requested_at: None,
            buffered: BTreeMap::new(),
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

    /// Applies buffered events up to the next gap.
    fn apply_buffered(&mut self) {
        while let Some(event) = self.buffered.remove(&(self.sequence + 1)) {
            self.apply(event);
        }
    }

    /// Buffers an event that does not follow the last applied one.
    fn buffer(&mut self, event: CacheEvent, now: Timestamp) {
        if self.trust == Trust::Sure {
            self.trust = Trust::Waiting;
            self.waiting_since = now;
        }
        self.buffered.insert(event.sequence, event);
        if self.buffered.len() > MAX_BUFFERED_EVENTS {
            self.buffered.pop_first();
            self.invalidate();
        }
    }

    /// Discards the blocks after the loss of an event.
    fn invalidate(&mut self) {
        self.trust = Trust::Unsure;
        self.blocks.clear();
    }

    /// Returns how many leading blocks of `prefix` are cached for certain.
    fn matched_block_count(&self, prefix: &[BlockHash]) -> usize {
        if self.trust != Trust::Sure {
            return 0;
        }
        prefix
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }
}

/// The index of the engines' caches.
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
/// assert_eq!(index.matched_block_count(&engine, &[10, 11, 12]), 2);
/// ```
#[derive(Debug, Default)]
pub struct Index {
    engines: BTreeMap<UpstreamId, EngineCache>,
}

impl Index {
    /// Applies an event. Events may arrive late, repeatedly and in any order.
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
            cache.buffer(event, now);
            return;
        }
        cache.apply(event);
        cache.apply_buffered();
        if cache.buffered.is_empty() {
            cache.trust = Trust::Sure;
        }
    }

    /// Applies a listing, which closes all gaps before it.
    pub fn apply_listing(&mut self, engine: &UpstreamId, listing: Listing) {
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
        cache.resync_requested_at = None;
        cache.sequence = listing.sequence;
        cache.blocks.clear();
        cache
            .blocks
            .extend(listing.blocks.into_iter().take(MAX_BLOCKS_PER_ENGINE));
        cache.buffered = cache.buffered.split_off(&(listing.sequence + 1));
        cache.apply_buffered();
        cache.trust = if cache.buffered.is_empty() {
            Trust::Sure
        } else {
            Trust::Unsure
        };
    }

    /// Returns requests for listings of engines whose gaps did not close in
    /// time.
    pub fn run(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        for (engine, cache) in &mut self.engines {
            if cache.trust == Trust::Waiting
                && now.saturating_sub(cache.waiting_since) >= REORDER_WINDOW
            {
                cache.invalidate();
            }
            if cache.trust != Trust::Unsure {
                continue;
            }
            let due = cache
                .resync_requested_at
                .is_none_or(|requested_at| now.saturating_sub(requested_at) >= RESYNC_TIMEOUT);
            if due {
                cache.resync_requested_at = Some(now);
                actions.push(Action::Resync {
                    engine: engine.clone(),
                });
            }
        }
        actions
    }

    /// Records the sequence number of an engine's last event, which its load
    /// reports contain.
    ///
    /// This detects a lost event that no later event has revealed.
    pub fn observe_sequence(
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
            cache.waiting_since = now;
        }
    }

    /// Removes an engine that left.
    pub fn forget(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }

    /// Returns how many leading blocks of `prefix` the engine has cached for
    /// certain.
    pub fn matched_block_count(&self, engine: &UpstreamId, prefix: &[BlockHash]) -> usize {
        self.engines
            .get(engine)
            .map_or(0, |cache| cache.matched_block_count(prefix))
    }

    /// Returns the engines that have leading blocks of `prefix` cached for
    /// certain, with the number of blocks. The iteration wraps around from the
    /// engine at index `start`, which the caller draws at random.
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
            .map(|(engine, cache)| (engine, cache.matched_block_count(prefix)))
            .filter(|(_, matched)| *matched > 0)
    }

    /// Returns whether the index is consistent with the cache of `engine`.
    pub fn trust(&self, engine: &UpstreamId) -> Trust {
        self.engines
            .get(engine)
            .map_or(Trust::Unsure, |cache| cache.trust)
    }
}
