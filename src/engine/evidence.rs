//! What an engine's stream proves about the weights behind each token.
//!
//! The rules, and what may be claimed after a swap, a restart or an import of
//! KV cache, stand in docs/design/versions.md.

use std::{collections::BTreeMap, sync::Arc};

use crate::ids::{AdapterId, BootId, TokenId, WeightVersion};

pub use crate::engine::segment::{ProvedTokens, Segment, is_single_version, oldest_version};

/// How many chunks may wait for an earlier one.
pub const MAX_EARLY_CHUNKS: usize = 16;

/// One chunk of an engine's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// The place in the stream from 0 on; `None` where the engine does not
    /// number its chunks and the transport keeps their order.
    pub index: Option<u32>,
    /// The tokens of this chunk.
    pub token_ids: Vec<TokenId>,
    /// The version that the engine says made them.
    pub weight_version: Option<WeightVersion>,
    /// The start of the engine process that sent it.
    pub boot: Option<BootId>,
    /// The adapter that the engine says it used, empty for none.
    pub adapter: AdapterId,
    /// The version of that adapter.
    pub adapter_version: WeightVersion,
    /// Whether the engine says that the answer is whole with this chunk.
    pub is_last: bool,
}

/// Why the rest of a stream proves nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EvidenceError {
    /// A chunk with tokens lacks its version or its boot id.
    #[error("chunk at token {token} has no version or no boot id")]
    Untagged {
        /// The position of the first token without a tag.
        token: u32,
    },
    /// The version fell within one boot, so that the higher one was never whole.
    #[error("version went back from {from} to {to} within one boot")]
    VersionWentBack {
        /// The higher version that was tagged before.
        from: WeightVersion,
        /// The lower version that followed.
        to: WeightVersion,
    },
    /// The engine process changed under its name.
    #[error("engine restarted: boot {before} became {after}")]
    Restarted {
        /// The boot that the stream began on.
        before: BootId,
        /// The boot of the refused chunk.
        after: BootId,
    },
    /// A second version came up for a row that takes only one in a sample.
    #[error("version {second} after {first} in a row without mixed versions")]
    MixedVersions {
        /// The version of the sample so far.
        first: WeightVersion,
        /// The version of the refused chunk.
        second: WeightVersion,
    },
    /// The adapter's name changed within the sample.
    #[error("adapter {before} became {after}")]
    AdapterChanged {
        /// The adapter of the sample so far.
        before: AdapterId,
        /// The adapter of the refused chunk.
        after: AdapterId,
    },
    /// A chunk is missing.
    #[error("chunk {expected} is missing before chunk {found}")]
    Gap {
        /// The missing chunk.
        expected: u32,
        /// A later chunk that came.
        found: u32,
    },
    /// Two chunks of one index differ.
    #[error("chunk {index} came twice with different content")]
    Conflict {
        /// The index of both.
        index: u32,
    },
    /// The engine reported that the swap to a version failed.
    #[error("engine reported that its swap to version {version} failed")]
    SwapFailed {
        /// The version that never was whole.
        version: WeightVersion,
    },
    /// The stream broke off before the engine said that the answer is whole.
    #[error("stream broke off after {tokens} tokens")]
    Unfinished {
        /// Tokens that came before.
        tokens: u32,
    },
    /// The stream ended without a token.
    #[error("stream ended without a token")]
    Empty,
}

/// Collects what one attempt's stream proves.
///
/// After the first error nothing more is taken in, and [`Evidence::proved`]
/// gives the part to resume from.
///
/// # Examples
///
/// ```
/// use mimosavane::engine::evidence::{Chunk, Evidence};
///
/// let mut evidence = Evidence::new(true);
/// for (version, token) in [(4, 17), (4, 18), (5, 19)] {
///     evidence.push(&Chunk {
///         token_ids: vec![token],
///         weight_version: Some(version),
///         boot: Some(1),
///         is_last: token == 19,
///         ..Chunk::default()
///     })?;
/// }
/// let whole = evidence.finish()?;
/// assert_eq!(whole.segments.len(), 2);
/// assert_eq!(whole.oldest_version(), Some(4));
/// # Ok::<(), mimosavane::engine::evidence::EvidenceError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Evidence {
    mixed_versions: bool,
    collected: ProvedTokens,
    /// Where this attempt's own tokens begin.
    resumed_at: u32,
    /// Where the first swap within this attempt began. What follows counts only
    /// once the engine ends the answer without falling back.
    swapped_at: Option<u32>,
    boot: Option<BootId>,
    /// The end of each taken chunk, by index.
    chunk_ends: Vec<u32>,
    early: BTreeMap<u32, Chunk>,
    is_ended: bool,
    error: Option<EvidenceError>,
}

impl Evidence {
    /// Starts on a sample without tokens, of a row that takes samples of
    /// `mixed_versions` or not.
    pub fn new(mixed_versions: bool) -> Self {
        Self::resume(ProvedTokens::default(), mixed_versions)
    }

    /// Starts from tokens that an earlier attempt proved.
    ///
    /// The engine computes their KV cache anew, so that its weights alone make
    /// each further token.
    pub fn resume(proved: ProvedTokens, mixed_versions: bool) -> Self {
        Self {
            mixed_versions,
            resumed_at: proved.token_count(),
            collected: proved,
            swapped_at: None,
            boot: None,
            chunk_ends: Vec::new(),
            early: BTreeMap::new(),
            is_ended: false,
            error: None,
        }
    }

    /// Starts from tokens whose KV cache `cache` computed elsewhere and the
    /// engine imports.
    ///
    /// The weights behind the cache take part in every further token. They are
    /// named by a segment of no tokens where no proved token names them.
    pub fn import(proved: ProvedTokens, mut cache: Segment, mixed_versions: bool) -> Self {
        let mut evidence = Self::resume(proved, mixed_versions);
        let segments = &mut evidence.collected.segments;
        if !segments.iter().any(|known| known.has_weights_of(&cache)) {
            cache.first_token = evidence.resumed_at;
            cache.token_count = 0;
            segments.push(cache);
        }
        evidence
    }

    /// Takes in one chunk; a duplicate changes nothing.
    ///
    /// # Errors
    ///
    /// Fails on the first chunk that proves nothing, and on each one after it.
    pub fn push(&mut self, chunk: &Chunk) -> Result<(), EvidenceError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let next = self.next_index();
        let index = chunk.index.unwrap_or(next);
        let taken = if index < next {
            self.compare(index, chunk)
        } else if index > next {
            self.hold(index, chunk)
        } else {
            self.take(chunk).and_then(|()| self.take_early())
        };
        taken.inspect_err(|error| self.error = Some(error.clone()))
    }

    /// Takes back every own token of `version` and above, because the engine
    /// reported that its swap to that version failed.
    pub fn distrust(&mut self, version: WeightVersion) {
        if let Some(position) = self.first_own_token(|tag| tag.weight_version >= version) {
            self.cut(position);
            self.error = Some(EvidenceError::SwapFailed { version });
        }
    }

    /// Returns the tokens that stay proved if the stream breaks off here.
    pub fn proved(&self) -> ProvedTokens {
        let mut proved = self.collected.clone();
        if let Some(position) = self.swapped_at {
            proved.truncate(position);
        }
        proved
    }

    /// Returns how many tokens were collected, provisional ones included.
    pub fn token_count(&self) -> u32 {
        self.collected.token_count()
    }

    /// Says whether the stream proves nothing more.
    pub fn has_failed(&self) -> bool {
        self.error.is_some()
    }

    /// Says whether the answer is whole: its last chunk and all before it came.
    pub const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns the boot that the stream began on.
    pub fn boot(&self) -> Option<BootId> {
        self.boot
    }

    /// Returns the whole sample after the last chunk.
    ///
    /// # Errors
    ///
    /// Fails as [`Evidence::push`] did before, where a chunk is missing, where
    /// the last one did not come, and on an answer without tokens.
    pub fn finish(self) -> Result<ProvedTokens, EvidenceError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        if let Some((&found, _)) = self.early.first_key_value() {
            let expected = self.next_index();
            return Err(EvidenceError::Gap { expected, found });
        }
        if !self.is_ended {
            let tokens = self.token_count();
            return Err(EvidenceError::Unfinished { tokens });
        }
        if self.collected.tokens.is_empty() {
            return Err(EvidenceError::Empty);
        }
        Ok(self.collected)
    }

    fn next_index(&self) -> u32 {
        u32::try_from(self.chunk_ends.len()).unwrap_or(u32::MAX)
    }

    /// Holds a chunk that came again against the one that was taken.
    fn compare(&mut self, index: u32, chunk: &Chunk) -> Result<(), EvidenceError> {
        let place = index as usize;
        let end = self.chunk_ends[place];
        let start = match place {
            0 => self.resumed_at,
            _ => self.chunk_ends[place - 1],
        };
        let taken = &self.collected.tokens[start as usize..end as usize];
        if taken == chunk.token_ids {
            return Ok(());
        }
        self.cut(start);
        Err(EvidenceError::Conflict { index })
    }

    fn hold(&mut self, index: u32, chunk: &Chunk) -> Result<(), EvidenceError> {
        if self.early.len() == MAX_EARLY_CHUNKS {
            let expected = self.next_index();
            let found = index;
            return Err(EvidenceError::Gap { expected, found });
        }
        match self.early.insert(index, chunk.clone()) {
            Some(earlier) if earlier != *chunk => Err(EvidenceError::Conflict { index }),
            _ => Ok(()),
        }
    }

    fn take_early(&mut self) -> Result<(), EvidenceError> {
        while let Some(chunk) = self.early.remove(&self.next_index()) {
            self.take(&chunk)?;
        }
        Ok(())
    }

    fn take(&mut self, chunk: &Chunk) -> Result<(), EvidenceError> {
        self.check_boot(chunk)?;
        if !chunk.token_ids.is_empty() {
            let tag = self.check_tag(chunk)?;
            self.note_swap(&tag);
            self.collected.append(&chunk.token_ids, tag);
        }
        self.chunk_ends.push(self.collected.token_count());
        self.is_ended |= chunk.is_last;
        Ok(())
    }

    fn check_boot(&mut self, chunk: &Chunk) -> Result<(), EvidenceError> {
        let Some(after) = chunk.boot else {
            return Ok(());
        };
        let before = *self.boot.get_or_insert(after);
        if before == after {
            Ok(())
        } else {
            Err(EvidenceError::Restarted { before, after })
        }
    }

    fn check_tag(&mut self, chunk: &Chunk) -> Result<Segment, EvidenceError> {
        let token = self.collected.token_count();
        let (Some(weight_version), Some(_)) = (chunk.weight_version, chunk.boot) else {
            return Err(EvidenceError::Untagged { token });
        };
        let tag = Segment {
            weight_version,
            first_token: token,
            token_count: 0,
            adapter: Arc::clone(&chunk.adapter),
            adapter_version: chunk.adapter_version,
        };
        self.check_order(&tag)?;
        self.check_mix(&tag)?;
        Ok(tag)
    }

    /// Refuses a tag below one that this attempt saw, and cuts the higher off.
    fn check_order(&mut self, tag: &Segment) -> Result<(), EvidenceError> {
        let is_higher = |own: &Segment| {
            own.weight_version > tag.weight_version || own.adapter_version > tag.adapter_version
        };
        let Some(position) = self.first_own_token(is_higher) else {
            return Ok(());
        };
        let from = self.collected.segments.last();
        let from = from.map_or(0, Segment::policy_version);
        self.cut(position);
        Err(EvidenceError::VersionWentBack {
            from,
            to: tag.policy_version(),
        })
    }

    fn check_mix(&self, tag: &Segment) -> Result<(), EvidenceError> {
        let Some(last) = self.collected.segments.last() else {
            return Ok(());
        };
        if last.adapter != tag.adapter {
            return Err(EvidenceError::AdapterChanged {
                before: Arc::clone(&last.adapter),
                after: Arc::clone(&tag.adapter),
            });
        }
        if !self.mixed_versions && !last.has_weights_of(tag) {
            return Err(EvidenceError::MixedVersions {
                first: last.policy_version(),
                second: tag.policy_version(),
            });
        }
        Ok(())
    }

    fn note_swap(&mut self, tag: &Segment) {
        let position = self.collected.token_count();
        let is_swap = self
            .collected
            .segments
            .last()
            .is_some_and(|last| !last.has_weights_of(tag));
        if is_swap && position > self.resumed_at {
            self.swapped_at.get_or_insert(position);
        }
    }

    /// Finds the first token of this attempt whose segment meets `condition`.
    fn first_own_token(&self, condition: impl Fn(&Segment) -> bool) -> Option<u32> {
        self.collected
            .segments
            .iter()
            .filter(|segment| segment.end() > self.resumed_at)
            .find(|segment| condition(segment))
            .map(|segment| segment.first_token.max(self.resumed_at))
    }

    fn cut(&mut self, position: u32) {
        self.collected.truncate(position);
        self.swapped_at = self.swapped_at.filter(|&swapped| swapped < position);
    }
}
