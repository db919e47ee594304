//! Runs of tokens with the weights that made them.

use crate::ids::{AdapterId, TokenId, WeightVersion};

/// A run of tokens that one set of weights made.
///
/// A segment of no tokens names weights that took part without making a token
/// of their own: they computed the imported KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The version of the base weights.
    pub weight_version: WeightVersion,
    /// The position of the first token within the sample.
    pub first_token: u32,
    /// How many tokens the run holds.
    pub token_count: u32,
    /// The adapter on the base, empty for none.
    pub adapter: AdapterId,
    /// The version of that adapter.
    pub adapter_version: WeightVersion,
}

impl Segment {
    /// Returns the version that a trainer counts: the adapter's where one is
    /// used, else that of the base weights.
    pub fn policy_version(&self) -> WeightVersion {
        if self.adapter.is_empty() {
            self.weight_version
        } else {
            self.adapter_version
        }
    }

    pub(crate) fn end(&self) -> u32 {
        self.first_token + self.token_count
    }

    pub(crate) fn has_weights_of(&self, other: &Self) -> bool {
        self.weight_version == other.weight_version
            && self.adapter_version == other.adapter_version
            && self.adapter == other.adapter
    }
}

/// Tokens whose weights are proved, with the segments that say which.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProvedTokens {
    /// The tokens from the first on.
    pub tokens: Vec<TokenId>,
    /// Segments that cover the tokens without a gap, in order.
    pub segments: Vec<Segment>,
}

impl ProvedTokens {
    /// Returns the oldest version that took part, or `None` without any.
    pub fn oldest_version(&self) -> Option<WeightVersion> {
        oldest_version(&self.segments)
    }

    /// Says whether all segments are of the same weights.
    pub fn is_single_version(&self) -> bool {
        is_single_version(&self.segments)
    }

    /// Cuts off everything from the token at `position` on.
    pub fn truncate(&mut self, position: u32) {
        self.tokens.truncate(position as usize);
        self.segments.retain_mut(|segment| {
            let kept = position.saturating_sub(segment.first_token);
            segment.token_count = segment.token_count.min(kept);
            kept > 0
        });
    }

    pub(crate) fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn append(&mut self, tokens: &[TokenId], mut tag: Segment) {
        tag.first_token = self.token_count();
        tag.token_count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.tokens.extend_from_slice(tokens);
        match self.segments.last_mut() {
            Some(last) if last.has_weights_of(&tag) => last.token_count += tag.token_count,
            _ => self.segments.push(tag),
        }
    }
}

/// Returns the oldest version among `segments`, or `None` without any.
pub fn oldest_version(segments: &[Segment]) -> Option<WeightVersion> {
    segments.iter().map(Segment::policy_version).min()
}

/// Says whether all `segments` are of the same weights.
pub fn is_single_version(segments: &[Segment]) -> bool {
    segments
        .windows(2)
        .all(|pair| pair[0].has_weights_of(&pair[1]))
}
