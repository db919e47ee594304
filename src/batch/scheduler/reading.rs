//! How fast engines read prompts, and beside which prompts others may start (see
//! docs/design/prompt-budget.md).

use std::time::Duration;

use super::{
    engine::Engine,
    prompts::{Prompt, RunPrompt},
};
use crate::{clock::Timestamp, ids::WeightVersion};

/// The reading speed that is assumed until long prompts have shown it, in tokens per
/// millisecond: that of the slowest engines in the deployment specification.
const DEFAULT_SPEED: f64 = 190.0;

/// The range of reading speeds that are believed. The deployment specification has 193 to
/// 326 tokens per millisecond, on engines of 0.55 to 1.3 times the typical speed.
const SPEED_RANGE: (f64, f64) = (50.0, 2_000.0);

/// The smoothing factor of the reading speed and of the usual time to the first event.
const READING_SMOOTHING_RATIO: f64 = 0.05;

/// The factor by which a sample of the reading speed may differ from the average, so that
/// one run that met a pause changes it little.
const MAX_SPEED_SAMPLE_RATIO: f64 = 2.0;

/// The minimum length of the prompts before a first event for a sample of the reading
/// speed; with fewer tokens the time shows other delays.
const MIN_SAMPLE_TOKENS: u64 = 4_096;

/// The length up to which a prompt counts as short at any speed, so that the usual prompts
/// of 276 and 1,016 tokens are never put off.
const MIN_SHORT_TOKENS: u64 = 2_048;

/// The reading time up to which a prompt counts as short.
const SHORT_TIME_MS: f64 = 10.0;

/// The smallest budget: eight prompts of the usual kinds, so that it holds a few long ones.
const MIN_BUDGET_TOKENS: u64 = 8_192;

/// The reading time of the budget while nearly all prompts are short. On an engine of 0.55
/// times the typical speed it takes 91 ms, which leaves short prompts 300 ms of the 400 ms
/// to their first event.
const MIN_BUDGET_MS: f64 = 50.0;

/// The reading time of the budget while all prompts are long. Nothing short waits behind
/// them then, and a small budget would leave slots empty between two first events.
const MAX_BUDGET_MS: f64 = 150.0;

/// The smoothing factor of the share of short prompts, which follows a change of the mix
/// within some tens of starts.
const MIX_SMOOTHING_RATIO: f64 = 1.0 / 32.0;

/// How long after its expected end the reading of prompts still counts as over, although
/// first events are missing: one takes a step of the engine after the reading.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// The range of the speed of an engine relative to the typical one that is believed.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);

/// How fast engines read prompts, learned over the whole fleet, and which prompts they get.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    speed_tokens_per_ms: f64,
    /// The usual time to the first event where little has to be read.
    usual_first_event: Option<Duration>,
    /// The share of short prompts among the last items that started.
    short_ratio: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Self {
            speed_tokens_per_ms: DEFAULT_SPEED,
            usual_first_event: None,
            short_ratio: 1.0,
        }
    }
}

impl Reading {
    /// Returns the tokens that an engine of the typical speed reads in a millisecond.
    pub(super) const fn speed_tokens_per_ms(&self) -> f64 {
        self.speed_tokens_per_ms
    }

    /// Returns the tokens that may wait at an engine of the typical speed while another
    /// long prompt starts there.
    pub(super) fn budget_tokens(&self) -> u64 {
        let budget_ms = MIN_BUDGET_MS + (MAX_BUDGET_MS - MIN_BUDGET_MS) * (1.0 - self.short_ratio);
        ((budget_ms * self.speed_tokens_per_ms) as u64).max(MIN_BUDGET_TOKENS)
    }

    /// Returns whether reading `tokens` delays other requests noticeably.
    pub(super) fn is_long(&self, tokens: u64) -> bool {
        tokens > MIN_SHORT_TOKENS && tokens as f64 > SHORT_TIME_MS * self.speed_tokens_per_ms
    }

    /// Returns the time in which an engine reads `tokens`.
    pub(super) fn time(&self, tokens: u64, slowness_ratio: f64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.speed_tokens_per_ms / 1_000.0 * slowness_ratio)
    }

    /// Returns how many tokens of the prompts that wait at `engine` it has probably not read
    /// yet: all, if their first events are overdue.
    fn remaining_tokens(&self, engine: &Engine, slowness_ratio: f64, now: Timestamp) -> u64 {
        let prompts = &engine.prompts;
        if now > prompts.read_at + FIRST_EVENT_TIME {
            return prompts.waiting_tokens;
        }
        let left = prompts.read_at.saturating_sub(now).as_secs_f64() * 1_000.0;
        let left_tokens = left * self.speed_tokens_per_ms / slowness_ratio;
        prompts.waiting_tokens.min(left_tokens as u64)
    }

    /// Returns the time in which `engine` reads what waits there, in steps that are coarse
    /// enough for the usual prompts to be in the first two. The lowest is for engines without
    /// prompts to read, on which prompts of any length may start.
    pub(super) fn wait_step(&self, engine: &Engine, now: Timestamp) -> u8 {
        let remaining_tokens = self.remaining_tokens(engine, 1.0, now);
        match self.time(remaining_tokens, 1.0).as_millis() {
            _ if remaining_tokens == 0 => 0,
            0..30 => 1,
            30..60 => 2,
            60..120 => 3,
            _ => 4,
        }
    }

    /// Returns the time until `engine` has read a prompt, and by which it delays its runs
    /// if the prompt is long.
    pub(super) fn cost(
        &self,
        engine: &Engine,
        prompt: &Prompt<'_>,
        version: WeightVersion,
        slowness_ratio: f64,
        now: Timestamp,
    ) -> Duration {
        let unread_tokens = engine.prompts.unread_tokens(prompt, version);
        let delayed_count = match self.is_long(unread_tokens) {
            // The runs there, and the one that comes next.
            true => engine.run_count as u64 + 1,
            false => 0,
        };
        // They go on between the chunks, so that they lose about half of the reading time.
        let waiting_tokens = self.remaining_tokens(engine, slowness_ratio, now);
        let tokens = waiting_tokens + unread_tokens * (2 + delayed_count) / 2;
        self.time(tokens, slowness_ratio)
    }

    /// Returns whether a prompt may start on `engine` beside the prompts that wait there.
    pub(super) fn admits(
        &self,
        engine: &Engine,
        prompt: &Prompt<'_>,
        version: WeightVersion,
        slowness_ratio: f64,
        now: Timestamp,
    ) -> bool {
        // Saves the look-up of held parts.
        if prompt.is_continued || !self.is_long(prompt.tokens) {
            return true;
        }
        let unread_tokens = engine.prompts.unread_tokens(prompt, version);
        let remaining_tokens = self.remaining_tokens(engine, slowness_ratio, now);
        let waiting_tokens = match prompt.is_overdue {
            true => remaining_tokens.min(engine.prompts.long_tokens),
            false => remaining_tokens,
        };
        let budget_tokens = self.budget_tokens() as f64 / slowness_ratio;
        !self.is_long(unread_tokens)
            || waiting_tokens == 0
            || (waiting_tokens + unread_tokens) as f64 <= budget_tokens
    }

    /// Records that a run of an item starts.
    pub(super) fn record_start(&mut self, prompt: &Prompt<'_>, run: &RunPrompt) {
        if !prompt.is_continued {
            let sample = if run.is_long { 0.0 } else { 1.0 };
            self.short_ratio += (sample - self.short_ratio) * MIX_SMOOTHING_RATIO;
        }
    }

    /// Records that a run showed its first event. `event_interval` is the usual time between
    /// two events, which is assumed for the first one until short prompts have shown it.
    fn record_first_event(&mut self, run: &RunPrompt, event_interval: Duration, now: Timestamp) {
        let tokens = run.unread_tokens + run.ahead_tokens;
        let took = now.saturating_sub(run.started_at);
        if tokens <= MIN_SHORT_TOKENS {
            let usual = self.usual_first_event.unwrap_or(took);
            self.usual_first_event = Some(
                usual.mul_f64(1.0 - READING_SMOOTHING_RATIO)
                    + took.mul_f64(READING_SMOOTHING_RATIO),
            );
        }
        // Prompts that waited before may have been read in part, which would make the engine
        // look faster.
        let is_alone = run.ahead_tokens <= run.unread_tokens / 8;
        if tokens < MIN_SAMPLE_TOKENS || !is_alone {
            return;
        }
        let usual = self.usual_first_event.unwrap_or(event_interval);
        let read_ms = took.saturating_sub(usual).as_secs_f64() * 1_000.0;
        let known = self.speed_tokens_per_ms;
        // The limits also hold where the time is 0 and the quotient infinite.
        let sample = (tokens as f64 / read_ms).clamp(
            known / MAX_SPEED_SAMPLE_RATIO,
            known * MAX_SPEED_SAMPLE_RATIO,
        );
        let speed = known + (sample - known) * READING_SMOOTHING_RATIO;
        self.speed_tokens_per_ms = speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
    }
}

/// Records the first event of a run at its engine.
pub(super) fn record_first_event(
    engine: &mut Engine,
    reading: &mut Reading,
    run: &RunPrompt,
    event_interval: Duration,
    now: Timestamp,
) {
    engine.prompts.end_reading(run);
    let was_paused = engine.loading.is_some() || engine.load_ended_at > run.started_at;
    if !was_paused {
        reading.record_first_event(run, event_interval, now);
    }
}

/// Returns the time between two events on an engine relative to the typical one.
pub(super) fn slowness_ratio(engine: &Engine, typical: Duration, now: Timestamp) -> f64 {
    let interval = engine.expected_interval(now).unwrap_or(typical);
    let ratio = interval.as_secs_f64() / typical.as_secs_f64().max(0.001);
    ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
}
