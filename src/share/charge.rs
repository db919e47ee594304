//! The cost charged for a request, and the ranking of rows by their charges.
//!
//! See docs/design/shares.md for where the costs come from.

use crate::ids::RowId;

/// The cost of a prompt token relative to a generated token.
pub const PROMPT_COST_RATIO: f64 = 0.1;

/// The fixed cost of a request besides its tokens, so that no request is free.
pub const REQUEST_COST_TOKENS: f64 = 1.0;

/// Identifies a queued or running request within a host.
pub type Ticket = u64;

/// The class of a request, by whether a person waits for the answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// A trainer's sample.
    Rollout,
}

/// The work of one request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens, predicted or actual.
    pub generated_tokens: u32,
}

impl Cost {
    /// Returns the charge for the request, in units of generated tokens.
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

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// Identifies the request when it is settled or cancelled.
    pub ticket: Ticket,
    /// The row that is charged.
    pub row: RowId,
    /// Whether a person waits for the answer.
    pub class: Class,
    /// The priority within the row and class; higher goes first.
    pub priority: u32,
    /// The predicted cost.
    pub cost: Cost,
    /// Data that the caller attaches to the request.
    pub item: T,
}

/// How the queue ranks rows against each other; the row of lowest rank goes first.
pub trait Ranking: std::fmt::Debug {
    /// Returns the rank of a row from its virtual time and the sequence number of
    /// its next entry.
    fn rank(virtual_time: f64, next_sequence: u64) -> f64;

    /// Whether interactive work goes first, and whether running work is preempted
    /// for rows below their share.
    const ENFORCES_SHARES: bool;
}

/// Ranks rows by virtual time, so that each row gets its share.
#[derive(Debug)]
pub struct Weighted;

impl Ranking for Weighted {
    const ENFORCES_SHARES: bool = true;

    fn rank(virtual_time: f64, _next_sequence: u64) -> f64 {
        virtual_time
    }
}
