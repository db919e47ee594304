//! What a request is charged, and how rows rank by what they were charged.
//!
//! See docs/design/shares.md for where the costs come from.

use crate::ids::RowId;

/// What one prompt token costs against one generated token.
pub const PROMPT_COST_RATIO: f64 = 0.1;

/// What a request costs besides its tokens, so that none is free.
pub const REQUEST_COST_TOKENS: f64 = 1.0;

/// Names one queued or running request within a host.
pub type Ticket = u64;

/// Whether somebody waits for the answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// A person waits.
    Interactive,
    /// A trainer's sample.
    Rollout,
}

/// The work of one request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens to read.
    pub prompt_tokens: u32,
    /// Tokens to generate, predicted or real.
    pub generated_tokens: u32,
}

impl Cost {
    /// Returns what the request is charged, in generated tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::share::fairness::Cost;
    ///
    /// let long = Cost { prompt_tokens: 10_000, generated_tokens: 10 };
    /// let short = Cost { prompt_tokens: 10, generated_tokens: 10 };
    /// assert!(long.charge_tokens() > 10.0 * short.charge_tokens());
    /// ```
    pub fn charge_tokens(self) -> f64 {
        REQUEST_COST_TOKENS
            + f64::from(self.prompt_tokens) * PROMPT_COST_RATIO
            + f64::from(self.generated_tokens)
    }
}

/// One request to queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// The name that it is settled or cancelled by.
    pub ticket: Ticket,
    /// The row that is charged.
    pub row: RowId,
    /// Whether somebody waits.
    pub class: Class,
    /// Higher goes first within the row and class.
    pub priority: u32,
    /// The predicted work.
    pub cost: Cost,
    /// What the caller keeps with it.
    pub item: T,
}

/// How the queue ranks rows against each other; the lowest rank goes first.
pub trait Ranking: std::fmt::Debug {
    /// Ranks a row from its virtual time and the number of its next entry.
    fn rank(virtual_time: f64, next_sequence: u64) -> f64;

    /// Whether interactive work goes first, and running work is preempted for
    /// rows below their share.
    const KEEPS_SHARES: bool;
}

/// Ranks rows by virtual time, so that each gets its share.
#[derive(Debug)]
pub struct Weighted;

impl Ranking for Weighted {
    const KEEPS_SHARES: bool = true;

    fn rank(virtual_time: f64, _next_sequence: u64) -> f64 {
        virtual_time
    }
}
