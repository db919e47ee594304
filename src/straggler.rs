//! What to do about the attempts that a group or a step still waits for.
//!
//! See docs/design/stragglers.md.

use std::time::Duration;

use crate::{clock::Timestamp, row::Row};

/// The part of a step's slots that counts as its tail.
pub const TAIL_RATIO: f64 = 0.1;

/// The part of a step's slots that may get a second attempt, for a row that
/// weighs idle time and staleness alike.
pub const HEDGE_BUDGET_RATIO: f64 = 0.05;

/// How long a started attempt may make no progress before it is resumed
/// elsewhere.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an attempt in the tail may wait for its engine.
pub const QUEUE_PATIENCE: Duration = Duration::from_secs(10);

/// How late a report of progress may be.
pub const PROGRESS_LAG: Duration = Duration::from_secs(2);

/// The part of its remaining time that a second attempt must save.
const MIN_GAIN_RATIO: f64 = 0.4;

/// The least time that a second attempt must save.
const MIN_GAIN: Duration = Duration::from_secs(1);

/// The time of one token before any was seen.
pub const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);

/// The time from dispatch to the first token before any was seen.
pub const DEFAULT_STARTUP: Duration = Duration::from_millis(500);

/// How urgent an attempt is within its row; higher goes first.
pub mod priority {
    /// A slot of a step that no trainer pulls yet.
    pub const AHEAD: u32 = 100;
    /// A slot of a step that the trainer pulls.
    pub const PULLED: u32 = 200;
    /// Added for the last open slot of a group.
    pub const LAST_OF_GROUP: u32 = 20;
    /// Added for the last open slots of a step.
    pub const TAIL_OF_STEP: u32 = 50;
}

/// Where a slot stands within its group and step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether the trainer pulls the step.
    pub is_pulled: bool,
    /// Slots of the group that are not whole.
    pub group_open_count: u32,
    /// Slots of the step that are not whole.
    pub step_open_count: u32,
    /// All slots of the step.
    pub step_slot_count: u32,
}

impl Standing {
    /// Says whether the step waits for its last slots only.
    pub fn is_tail(&self) -> bool {
        f64::from(self.step_open_count) <= (f64::from(self.step_slot_count) * TAIL_RATIO).max(1.0)
    }

    /// Returns how urgent an attempt at the slot is.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::straggler::Standing;
    ///
    /// let last = Standing {
    ///     is_pulled: true,
    ///     group_open_count: 1,
    ///     step_open_count: 1,
    ///     step_slot_count: 64,
    /// };
    /// let early = Standing { group_open_count: 8, step_open_count: 64, ..last };
    /// assert!(last.priority() > early.priority());
    /// ```
    pub fn priority(&self) -> u32 {
        let mut sum = if self.is_pulled {
            priority::PULLED
        } else {
            priority::AHEAD
        };
        if self.group_open_count <= 1 {
            sum += priority::LAST_OF_GROUP;
        }
        if self.is_tail() {
            sum += priority::TAIL_OF_STEP;
        }
        sum
    }
}

/// What is known of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Runner {
    /// When it was dispatched.
    pub dispatched_at: Timestamp,
    /// When its engine took it up; `None` while it waits.
    pub started_at: Option<Timestamp>,
    /// When it last made progress.
    pub progressed_at: Timestamp,
    /// Tokens that this attempt made itself.
    pub generated_tokens: u32,
    /// Tokens that it is expected to make still.
    pub remaining_tokens: u32,
}

impl Runner {
    /// Returns the time that one of its tokens takes; a silence slows it down.
    pub fn token_time(&self, now: Timestamp, norm: Norm) -> Duration {
        let Some(started_at) = self.started_at else {
            return norm.token_time;
        };
        if self.generated_tokens == 0 {
            return norm.token_time;
        }
        let seen = self.progressed_at.saturating_sub(started_at);
        let silent = now
            .saturating_sub(self.progressed_at)
            .saturating_sub(PROGRESS_LAG);
        (seen + silent) / self.generated_tokens
    }

    /// Returns how long it is expected to run still.
    pub fn remaining_time(&self, now: Timestamp, norm: Norm) -> Duration {
        let startup = match self.started_at {
            Some(_) => Duration::ZERO,
            None => norm.startup,
        };
        startup + self.token_time(now, norm) * self.remaining_tokens
    }
}

/// What attempts of the row usually take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Norm {
    /// The time of one token.
    pub token_time: Duration,
    /// The time from dispatch to the first token.
    pub startup: Duration,
}

/// What to do about one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Advice {
    /// Let it run.
    Keep,
    /// Start a second attempt beside it and take the first that is whole.
    Hedge,
    /// Cancel it and resume elsewhere from its proved tokens.
    Resume,
}

/// Decides about one attempt.
pub fn advise(runner: Runner, standing: Standing, norm: Norm, now: Timestamp) -> Advice {
    let silence = now.saturating_sub(runner.progressed_at);
    if runner.started_at.is_some() && silence >= SILENCE_TIMEOUT {
        return Advice::Resume;
    }
    if !standing.is_pulled || !standing.is_tail() {
        return Advice::Keep;
    }
    if runner.started_at.is_none() {
        return if silence >= QUEUE_PATIENCE {
            Advice::Hedge
        } else {
            Advice::Keep
        };
    }
    let stays = runner.remaining_time(now, norm);
    let moves = norm.startup + norm.token_time * runner.remaining_tokens;
    let gain = stays.saturating_sub(moves);
    if gain >= MIN_GAIN && gain >= stays.mul_f64(MIN_GAIN_RATIO) {
        Advice::Hedge
    } else {
        Advice::Keep
    }
}

/// Returns how many second attempts a step of `slot_count` slots may have.
///
/// A row that weighs idle time gets up to one and a half times as many as one
/// that weighs both alike, and one that weighs staleness half as many.
pub fn hedge_budget_count(row: &Row, slot_count: u32) -> u32 {
    let preference = row.idle_preference_ratio.clamp(0.0, 1.0);
    let ratio = HEDGE_BUDGET_RATIO * (0.5 + preference);
    ((f64::from(slot_count) * ratio).ceil() as u32).max(1)
}
