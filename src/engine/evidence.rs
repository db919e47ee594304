//! Verifies which weights generated each token of an engine's stream.
//!
//! docs/design/versions.md specifies the rules, and which claims are valid after
//! a swap, a restart or an import of KV cache.

use std::{collections::BTreeMap, sync::Arc};

use crate::ids::{AdapterId, BootId, TokenId, WeightVersion};

pub use crate::engine::segment::{ProvedTokens, Segment, is_single_version, oldest_version};

/// The maximum number of chunks that wait for an earlier one.
pub const MAX_EARLY_CHUNKS: usize = 16;

/// One chunk of an engine's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// The index in the stream, starting at 0; `None` if the engine does not
    /// number its chunks and the transport preserves their order.
    pub index: Option<u32>,
    /// The tokens of the chunk.
    pub token_ids: Vec<TokenId>,
    /// The version of the weights that generated the tokens, as reported by the
    /// engine.
    pub weight_version: Option<WeightVersion>,
    /// The identifier of the start of the engine process.
    pub boot: Option<BootId>,
    /// The adapter as reported by the engine, empty for none.
    pub adapter: AdapterId,
    /// The version of that adapter.
    pub adapter_version: WeightVersion,
    /// Whether the engine reports that the answer is complete with this chunk.
    pub is_last: bool,
}

/// The reason why the rest of a stream is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EvidenceError {
    /// A chunk with tokens lacks its version or its boot identifier.
    #[error("chunk at token {token} has no version or no boot id")]
    Untagged {
        /// The position of the first token without a tag.
        token: u32,
    },
    /// The version decreased within one boot, so the higher version was never
    /// completely loaded.
    #[error("version went back from {from} to {to} within one boot")]
    VersionWentBack {
        /// The higher version of earlier tokens.
        from: WeightVersion,
        /// The lower version that followed.
        to: WeightVersion,
    },
    /// The engine restarted, so another process sent the chunk.
    #[error("engine restarted: boot {before} became {after}")]
    Restarted {
        /// The boot of the earlier chunks.
        before: BootId,
        /// The boot of the rejected chunk.
        after: BootId,
    },
    /// The version changed, but the row accepts only one version per sample.
    #[error("version {second} after {first} in a row without mixed versions")]
    MixedVersions {
        /// The version of the sample so far.
        first: WeightVersion,
        /// The version of the rejected chunk.
        second: WeightVersion,
    },
    /// The adapter changed within the sample.
    #[error("adapter {before} became {after}")]
    AdapterChanged {
        /// The adapter of the sample so far.
        before: AdapterId,
        /// The adapter of the rejected chunk.
        after: AdapterId,
    },
    /// A chunk is missing.
    #[error("chunk {expected} is missing before chunk {found}")]
    Gap {
        /// The index of the missing chunk.
        expected: u32,
        /// The index of a later chunk that arrived.
        found: u32,
    },
    /// Two chunks with the same index differ.
    #[error("chunk {index} came twice with different content")]
    Conflict {
        /// The index of both chunks.
        index: u32,
    },
    /// The engine reported that the swap to a version failed.
    #[error("engine reported that its swap to version {version} failed")]
    SwapFailed {
        /// The version that was never completely loaded.
        version: WeightVersion,
    },
    /// The stream ended before the engine reported that the answer is complete.
    #[error("stream broke off after {tokens} tokens")]
    Unfinished {
        /// The number of tokens that arrived before.
        tokens: u32,
    },
    /// The stream ended without a token.
    #[error("stream ended without a token")]
    Empty,
}

/// Collects the tokens of one attempt's stream whose weights are proved.
///
/// After the first error all further chunks are rejected, and
/// [`Evidence::proved`] returns the tokens to resume from.
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
    /// The position of the first token of this attempt.
    resume_position: u32,
    /// The position of the first swap of weights within this attempt. The tokens
    /// from there on are provisional until the engine completes the answer
    /// without reverting to the earlier weights.
    swap_position: Option<u32>,
    boot: Option<BootId>,
    /// The position of the end of each accepted chunk, by index.
    chunk_ends: Vec<u32>,
    /// Chunks that arrived before an earlier one, by index.
    early: BTreeMap<u32, Chunk>,
    is_ended: bool,
    error: Option<EvidenceError>,
}

impl Evidence {
    /// Creates the evidence of a sample without tokens; `mixed_versions` states
    /// whether the row accepts several versions in a sample.
    pub fn new(mixed_versions: bool) -> Self {
        Self::resume(ProvedTokens::default(), mixed_versions)
    }

    /// Creates the evidence of a sample that resumes from tokens that an earlier
    /// attempt proved.
    ///
    /// The engine recomputes their KV cache, so its weights alone generate each
    /// further token.
    pub fn resume(proved: ProvedTokens, mixed_versions: bool) -> Self {
        Self {
            mixed_versions,
            resume_position: proved.token_count(),
            collected: proved,
            swap_position: None,
            boot: None,
            chunk_ends: Vec::new(),
            early: BTreeMap::new(),
            is_ended: false,
            error: None,
        }
    }

    /// Creates the evidence of a sample that resumes from proved tokens whose KV
    /// cache the engine imports; `cache` names the weights that computed it.
    ///
    /// Those weights contribute to each further token. Unless a segment of the
    /// proved tokens already names them, a segment without tokens does.
    pub fn import(proved: ProvedTokens, mut cache: Segment, mixed_versions: bool) -> Self {
        let mut evidence = Self::resume(proved, mixed_versions);
        let segments = &mut evidence.collected.segments;
        if !segments.iter().any(|known| known.has_same_weights(&cache)) {
            cache.first_token = evidence.resume_position;
            cache.token_count = 0;
            segments.push(cache);
        }
        evidence
    }

    /// Adds a chunk; a duplicate has no effect.
    ///
    /// # Errors
    ///
    /// Returns an error for the first chunk that is rejected, and the same error
    /// for each one after it.
    pub fn push(&mut self, chunk: &Chunk) -> Result<(), EvidenceError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let next = self.next_index();
        let index = chunk.index.unwrap_or(next);
        let result = if index < next {
            self.check_duplicate(index, chunk)
        } else if index > next {
            self.buffer(index, chunk)
        } else {
            self.accept(chunk).and_then(|()| self.accept_early())
        };
        result.inspect_err(|error| self.error = Some(error.clone()))
    }

    /// Removes the tokens of this attempt from the first one of `version` or
    /// above, because the engine reported that its swap to that version failed.
    pub fn reject_swap(&mut self, version: WeightVersion) {
        if let Some(position) = self.first_own_token(|tag| tag.weight_version >= version) {
            self.truncate(position);
            self.error = Some(EvidenceError::SwapFailed { version });
        }
    }

    /// Returns the tokens that remain proved if the stream ends here.
    pub fn proved(&self) -> ProvedTokens {
        let mut proved = self.collected.clone();
        if let Some(position) = self.swap_position {
            proved.truncate(position);
        }
        proved
    }

    /// Returns the number of collected tokens, including provisional ones.
    pub fn token_count(&self) -> u32 {
        self.collected.token_count()
    }

    /// Returns whether all further chunks are rejected.
    pub fn has_failed(&self) -> bool {
        self.error.is_some()
    }

    /// Returns whether the answer is complete: the last chunk and all before it
    /// have arrived.
    pub const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns the boot of the stream.
    pub fn boot(&self) -> Option<BootId> {
        self.boot
    }

    /// Returns the complete sample after the last chunk.
    ///
    /// # Errors
    ///
    /// Returns the error of an earlier [`Evidence::push`], or an error if a chunk
    /// is missing, the last chunk has not arrived, or the answer has no tokens.
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

    /// Compares a repeated chunk with the one that was accepted.
    fn check_duplicate(&mut self, index: u32, chunk: &Chunk) -> Result<(), EvidenceError> {
        let index_in_stream = index as usize;
        let end = self.chunk_ends[index_in_stream];
        let start = match index_in_stream {
            0 => self.resume_position,
            _ => self.chunk_ends[index_in_stream - 1],
        };
        let accepted = &self.collected.tokens[start as usize..end as usize];
        if accepted == chunk.token_ids {
            return Ok(());
        }
        self.truncate(start);
        Err(EvidenceError::Conflict { index })
    }

    /// Buffers a chunk until the earlier ones have arrived.
    fn buffer(&mut self, index: u32, chunk: &Chunk) -> Result<(), EvidenceError> {
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

    /// Accepts buffered chunks up to the next gap.
    fn accept_early(&mut self) -> Result<(), EvidenceError> {
        while let Some(chunk) = self.early.remove(&self.next_index()) {
            self.accept(&chunk)?;
        }
        Ok(())
    }

    fn accept(&mut self, chunk: &Chunk) -> Result<(), EvidenceError> {
        self.check_boot(chunk)?;
        if !chunk.token_ids.is_empty() {
            let tag = self.check_tag(chunk)?;
            self.record_swap(&tag);
            self.collected.append(&chunk.token_ids, tag);
        }
        self.chunk_ends.push(self.collected.token_count());
        self.is_ended |= chunk.is_last;
        Ok(())
    }

    /// Rejects a chunk of another boot than the earlier ones.
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

    /// Returns the chunk's version tag as a segment without tokens, if the tag is
    /// complete and may follow the earlier ones.
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
        self.check_mixed_versions(&tag)?;
        Ok(tag)
    }

    /// Rejects a version below an earlier one of this attempt, and removes the
    /// tokens of the higher version.
    fn check_order(&mut self, tag: &Segment) -> Result<(), EvidenceError> {
        let is_higher = |own: &Segment| {
            own.weight_version > tag.weight_version || own.adapter_version > tag.adapter_version
        };
        let Some(position) = self.first_own_token(is_higher) else {
            return Ok(());
        };
        let from = self.collected.segments.last();
        let from = from.map_or(0, Segment::policy_version);
        self.truncate(position);
        Err(EvidenceError::VersionWentBack {
            from,
            to: tag.policy_version(),
        })
    }

    fn check_mixed_versions(&self, tag: &Segment) -> Result<(), EvidenceError> {
        let Some(last) = self.collected.segments.last() else {
            return Ok(());
        };
        if last.adapter != tag.adapter {
            return Err(EvidenceError::AdapterChanged {
                before: Arc::clone(&last.adapter),
                after: Arc::clone(&tag.adapter),
            });
        }
        if !self.mixed_versions && !last.has_same_weights(tag) {
            return Err(EvidenceError::MixedVersions {
                first: last.policy_version(),
                second: tag.policy_version(),
            });
        }
        Ok(())
    }

    /// Records the position of the first swap within this attempt.
    fn record_swap(&mut self, tag: &Segment) {
        let position = self.collected.token_count();
        let is_swap = self
            .collected
            .segments
            .last()
            .is_some_and(|last| !last.has_same_weights(tag));
        if is_swap && position > self.resume_position {
            self.swap_position.get_or_insert(position);
        }
    }

    /// Returns the position of the first token of this attempt whose segment
    /// satisfies `condition`.
    fn first_own_token(&self, condition: impl Fn(&Segment) -> bool) -> Option<u32> {
        self.collected
            .segments
            .iter()
            .filter(|segment| segment.end() > self.resume_position)
            .find(|segment| condition(segment))
            .map(|segment| segment.first_token.max(self.resume_position))
    }

    /// Removes the token at `position` and all that follow.
    fn truncate(&mut self, position: u32) {
        self.collected.truncate(position);
        self.swap_position = self.swap_position.filter(|&swap| swap < position);
    }
}
