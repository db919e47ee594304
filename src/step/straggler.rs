//! Mitigation of slow or stuck attempts that delay a group or a step.
//!
//! See docs/design/stragglers.md.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{clock::Timestamp, ids::UpstreamId, table::row::Row};

/// The fraction of a step's slots that counts as its tail.
pub const TAIL_RATIO: f64 = 0.1;

/// The fraction of a step's slots that may be hedged, for a row that weighs
/// idle time and staleness equally.
pub const HEDGE_BUDGET_RATIO: f64 = 0.05;

/// How long a started attempt may make no progress before it is resumed on
/// another engine.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an attempt in the tail may be queued at its engine before it is
/// hedged.
pub const QUEUE_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum expected delay of a progress report.
pub const PROGRESS_LAG: Duration = Duration::from_secs(2);

/// The fraction of its remaining time that a hedge must save.
const MIN_GAIN_RATIO: f64 = 0.4;

/// The minimum time that a hedge must save.
const MIN_GAIN: Duration = Duration::from_secs(1);

/// The minimum time that a move before the tail must save.
const MIN_MOVE_GAIN: Duration = Duration::from_secs(10);

/// Maximum number of times that one slot is moved away from slow engines.
pub const MAX_MOVE_COUNT: u8 = 2;

/// Smoothing factor of the time per token of attempts and engines.
pub const TOKEN_TIME_SMOOTHING_RATIO: f64 = 0.3;

/// The idle preference at and above which a row hedges steps that its trainer
/// does not pull yet.
const HEDGE_AHEAD_PREFERENCE_RATIO: f64 = 0.5;

/// How long the token time of an engine is kept without a new observation.
const ENGINE_SPEED_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine is slow if its token time exceeds the median by this factor.
const SLOW_ENGINE_RATIO: f64 = 2.0;

/// Maximum number of engines that an attempt avoids.
const MAX_SLOW_ENGINES: usize = 64;

/// The time per token assumed before the first observation.
pub const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);

/// The time from dispatch to start assumed before the first observation.
pub const DEFAULT_STARTUP: Duration = Duration::from_millis(500);

/// Priorities of attempts within a row; higher values are served first.
pub mod priority {
    /// A slot of a step that its trainer does not pull yet.
    pub const AHEAD: u32 = 100;
    /// A slot of a step that its trainer pulls.
    pub const PULLED: u32 = 200;
    /// Added for a sample that resumes, because it already waited for an engine
    /// once.
    pub const RESUMED: u32 = 10;
    /// Added for the last unfinished slot of a group.
    pub const LAST_OF_GROUP: u32 = 20;
    /// Added for slots in the tail of a step.
    pub const TAIL_OF_STEP: u32 = 50;
}

/// The state of a slot's group and step that decides its priority and hedging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotContext {
    /// Whether the trainer has pulled the step.
    pub is_pulled: bool,
    /// Whether the row hedges steps that its trainer does not pull yet, which
    /// spends tokens to save a later wait.
    pub can_hedge_ahead: bool,
    /// Unfinished slots of the group.
    pub group_unfinished_count: u32,
    /// Unfinished slots of the step.
    pub step_unfinished_count: u32,
    /// All slots of the step.
    pub step_slot_count: u32,
}

impl SlotContext {
    /// Returns whether only the tail of the step is unfinished.
    pub fn is_tail(&self) -> bool {
        f64::from(self.step_unfinished_count)
            <= (f64::from(self.step_slot_count) * TAIL_RATIO).max(1.0)
    }

    /// Returns whether the slot may be hedged.
    pub fn can_hedge(&self) -> bool {
        self.is_tail() && (self.is_pulled || self.can_hedge_ahead)
    }

    /// Returns the priority of an attempt at the slot.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::step::straggler::SlotContext;
    ///
    /// let last = SlotContext {
    ///     is_pulled: true,
    ///     can_hedge_ahead: false,
    ///     group_unfinished_count: 1,
    ///     step_unfinished_count: 1,
    ///     step_slot_count: 64,
    /// };
    /// let early = SlotContext { group_unfinished_count: 8, step_unfinished_count: 64, ..last };
    /// assert!(last.priority() > early.priority());
    /// ```
    pub fn priority(&self) -> u32 {
        let mut sum = if self.is_pulled {
            priority::PULLED
        } else {
            priority::AHEAD
        };
        if self.group_unfinished_count <= 1 {
            sum += priority::LAST_OF_GROUP;
        }
        if self.is_tail() {
            sum += priority::TAIL_OF_STEP;
        }
        sum
    }
}

/// The figures of one attempt that are used to detect stragglers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSnapshot {
    /// When its engine started it; `None` while it is queued.
    pub started_at: Option<Timestamp>,
    /// When it last made progress; before that, when it was dispatched.
    pub progressed_at: Timestamp,
    /// Moving average of its time per token, once known.
    pub token_time: Option<Duration>,
    /// Number of tokens that it is still expected to generate.
    pub remaining_tokens: u32,
}

impl AttemptSnapshot {
    /// Returns the expected time until the attempt completes.
    ///
    /// A silence beyond [`PROGRESS_LAG`] is expected to last as long again as
    /// it has lasted so far.
    pub fn remaining_time(&self, now: Timestamp, typical: TypicalTimes) -> Duration {
        let startup = match self.started_at {
            Some(_) => Duration::ZERO,
            None => typical.startup,
        };
        let silence = now
            .saturating_sub(self.progressed_at)
            .saturating_sub(PROGRESS_LAG);
        let token_time = self.token_time.unwrap_or(typical.token_time);
        startup + silence + token_time * self.remaining_tokens
    }

    /// Returns the expected time to completion after a move to a typical
    /// engine.
    pub fn moved_time(&self, typical: TypicalTimes) -> Duration {
        typical.startup + typical.token_time * self.remaining_tokens
    }

    /// Returns the time that a move would save.
    pub fn gain(&self, now: Timestamp, typical: TypicalTimes) -> Duration {
        self.remaining_time(now, typical)
            .saturating_sub(self.moved_time(typical))
    }
}

/// The typical durations for attempts of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TypicalTimes {
    /// The time per token.
    pub token_time: Duration,
    /// The time from dispatch to start on the engine.
    pub startup: Duration,
}

/// The recent time per token of each engine, from the progress of this host's
/// attempts.
///
/// The engines' own reports lag behind. With those alone, moved attempts would
/// return to the slow engines that the move had just emptied.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    engines: BTreeMap<UpstreamId, EngineSpeed>,
}

#[derive(Clone, Copy, Debug)]
struct EngineSpeed {
    token_time: Duration,
    updated_at: Timestamp,
}

impl EngineSpeeds {
    /// Records an observed time per token on `engine`.
    pub fn observe(&mut self, engine: &UpstreamId, token_time: Duration, now: Timestamp) {
        let speed = self
            .engines
            .entry(Arc::clone(engine))
            .or_insert(EngineSpeed {
                token_time,
                updated_at: now,
            });
        let mean = speed.token_time.mul_f64(1.0 - TOKEN_TIME_SMOOTHING_RATIO);
        speed.token_time = mean + token_time.mul_f64(TOKEN_TIME_SMOOTHING_RATIO);
        speed.updated_at = now;
    }

    /// Returns the engines that are much slower than the median, and forgets
    /// engines without an observation within `ENGINE_SPEED_TIMEOUT`.
    pub fn slow_engines(&mut self, now: Timestamp) -> Vec<UpstreamId> {
        self.engines
            .retain(|_, speed| now.saturating_sub(speed.updated_at) < ENGINE_SPEED_TIMEOUT);
        let mut times: Vec<_> = self
            .engines
            .values()
            .map(|speed| speed.token_time)
            .collect();
        if times.is_empty() {
            return Vec::new();
        }
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let threshold = median.mul_f64(SLOW_ENGINE_RATIO);
        self.engines
            .iter()
            .filter(|(_, speed)| speed.token_time > threshold)
            .map(|(engine, _)| Arc::clone(engine))
            .take(MAX_SLOW_ENGINES)
            .collect()
    }
}

/// The mitigation for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Mitigation {
    /// Let it run.
    Keep,
    /// Start a second attempt in parallel and use the first to complete.
    Hedge,
    /// Cancel it and resume it on another engine from its proved tokens.
    Resume,
}

/// Chooses the mitigation for one attempt.
///
/// Before the tail a slow attempt is moved, since other attempts keep the step
/// busy. In the tail it is hedged instead, because a move there must not cost
/// time.
pub fn choose_mitigation(
    snapshot: AttemptSnapshot,
    slot_context: SlotContext,
    typical: TypicalTimes,
    now: Timestamp,
) -> Mitigation {
    let silence = now.saturating_sub(snapshot.progressed_at);
    let is_started = snapshot.started_at.is_some();
    let gain = snapshot.gain(now, typical);
    if !slot_context.can_hedge() {
        return match is_started && gain >= MIN_MOVE_GAIN {
            true => Mitigation::Resume,
            false => Mitigation::Keep,
        };
    }
    if !is_started {
        return match silence >= QUEUE_TIMEOUT {
            true => Mitigation::Hedge,
            false => Mitigation::Keep,
        };
    }
    let min_gain = snapshot
        .remaining_time(now, typical)
        .mul_f64(MIN_GAIN_RATIO);
    match gain >= MIN_GAIN.max(min_gain) {
        true => Mitigation::Hedge,
        false => Mitigation::Keep,
    }
}

/// Returns whether a row hedges steps that its trainer does not pull yet.
pub fn can_hedge_ahead(row: &Row) -> bool {
    row.idle_preference_ratio >= HEDGE_AHEAD_PREFERENCE_RATIO
}

/// Returns how many slots of a step with `slot_count` slots may be hedged.
///
/// Relative to a row that weighs idle time and staleness equally, a row that
/// weighs only idle time gets one and a half times as many, and one that weighs
/// only staleness half as many.
pub fn hedge_budget_count(row: &Row, slot_count: u32) -> u32 {
    let preference = row.idle_preference_ratio.clamp(0.0, 1.0);
    let ratio = HEDGE_BUDGET_RATIO * (0.5 + preference);
    ((f64::from(slot_count) * ratio).ceil() as u32).max(1)
}
