//! What to do about the attempts that a group or a step still waits for.
//!
//! See docs/design/stragglers.md.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{clock::Timestamp, ids::UpstreamId, table::row::Row};

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

/// The least time that a move before the tail must save.
const MIN_MOVE_GAIN: Duration = Duration::from_secs(10);

/// How often one slot is moved away from slow engines.
pub const MAX_MOVE_COUNT: u8 = 2;

/// The part that a new observation has in an attempt's own token time.
pub const PACE_SMOOTHING_RATIO: f64 = 0.3;

/// The idle preference from which on a row hedges ahead of its trainer.
const EAGER_PREFERENCE_RATIO: f64 = 0.5;

/// How long the pace of an engine is remembered without news.
const PACE_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine above this part of the median token time is slow.
const SLOW_ENGINE_RATIO: f64 = 2.0;

/// The most engines that an attempt keeps away from.
const MAX_SLOW_ENGINES: usize = 64;

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
    /// Added for a sample that resumes, because it waited for an engine before.
    pub const RESUMED: u32 = 10;
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
    /// Whether the row would rather spend tokens than wait later on.
    pub is_eager: bool,
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

    /// Says whether a second attempt may be worth its tokens here.
    pub fn may_hedge(&self) -> bool {
        self.is_tail() && (self.is_pulled || self.is_eager)
    }

    /// Returns how urgent an attempt at the slot is.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::step::straggler::Standing;
    ///
    /// let last = Standing {
    ///     is_pulled: true,
    ///     is_eager: false,
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
    /// When its engine took it up; `None` while it waits.
    pub started_at: Option<Timestamp>,
    /// When it last made progress, or was dispatched.
    pub progressed_at: Timestamp,
    /// The time that one of its tokens took of late, once that is known.
    pub token_time: Option<Duration>,
    /// Tokens that it is expected to make still.
    pub remaining_tokens: u32,
}

impl Runner {
    /// Returns how long it is expected to run still.
    ///
    /// A silence is expected to last as long again as it did so far.
    pub fn remaining_time(&self, now: Timestamp, norm: Norm) -> Duration {
        let startup = match self.started_at {
            Some(_) => Duration::ZERO,
            None => norm.startup,
        };
        let silence = now
            .saturating_sub(self.progressed_at)
            .saturating_sub(PROGRESS_LAG);
        let token_time = self.token_time.unwrap_or(norm.token_time);
        startup + silence + token_time * self.remaining_tokens
    }

    /// Returns how long it would run after a move to a usual engine.
    pub fn moved_time(&self, norm: Norm) -> Duration {
        norm.startup + norm.token_time * self.remaining_tokens
    }

    /// Returns the time that a move would save.
    pub fn gain(&self, now: Timestamp, norm: Norm) -> Duration {
        self.remaining_time(now, norm)
            .saturating_sub(self.moved_time(norm))
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

/// How fast each engine was of late, by the progress of this host's attempts.
///
/// The engines' own reports lag, and moved attempts would go back to the slow
/// engines that their move has emptied.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    engines: BTreeMap<UpstreamId, Pace>,
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    token_time: Duration,
    at: Timestamp,
}

impl Paces {
    /// Takes in the time that one token took on `engine`.
    pub fn observe(&mut self, engine: &UpstreamId, token_time: Duration, now: Timestamp) {
        let pace = self.engines.entry(Arc::clone(engine)).or_insert(Pace {
            token_time,
            at: now,
        });
        let mean = pace.token_time.mul_f64(1.0 - PACE_SMOOTHING_RATIO);
        pace.token_time = mean + token_time.mul_f64(PACE_SMOOTHING_RATIO);
        pace.at = now;
    }

    /// Returns engines that are much slower than the median one, and forgets
    /// engines that were not heard of for long.
    pub fn slow(&mut self, now: Timestamp) -> Vec<UpstreamId> {
        self.engines
            .retain(|_, pace| now.saturating_sub(pace.at) < PACE_TIMEOUT);
        let mut times: Vec<_> = self.engines.values().map(|pace| pace.token_time).collect();
        if times.is_empty() {
            return Vec::new();
        }
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let limit = median.mul_f64(SLOW_ENGINE_RATIO);
        self.engines
            .iter()
            .filter(|(_, pace)| pace.token_time > limit)
            .map(|(engine, _)| Arc::clone(engine))
            .take(MAX_SLOW_ENGINES)
            .collect()
    }
}

/// What to do about one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Advice {
    /// Let it run.
    Keep,
    /// Start a second attempt beside it and take the first that is whole.
    Hedge,
    /// Cancel it and resume it elsewhere from its proved tokens.
    Resume,
}

/// Decides about one attempt.
///
/// A slow attempt is moved while others keep the step busy. In the tail it gets
/// a second one beside it, because there the move must not cost time.
pub fn advise(runner: Runner, standing: Standing, norm: Norm, now: Timestamp) -> Advice {
    let silence = now.saturating_sub(runner.progressed_at);
    let is_started = runner.started_at.is_some();
    let gain = runner.gain(now, norm);
    if !standing.may_hedge() {
        return match is_started && gain >= MIN_MOVE_GAIN {
            true => Advice::Resume,
            false => Advice::Keep,
        };
    }
    if !is_started {
        return match silence >= QUEUE_PATIENCE {
            true => Advice::Hedge,
            false => Advice::Keep,
        };
    }
    let least = runner.remaining_time(now, norm).mul_f64(MIN_GAIN_RATIO);
    match gain >= MIN_GAIN.max(least) {
        true => Advice::Hedge,
        false => Advice::Keep,
    }
}

/// Says whether a row hedges steps that its trainer does not pull yet.
pub fn is_eager(row: &Row) -> bool {
    row.idle_preference_ratio >= EAGER_PREFERENCE_RATIO
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
