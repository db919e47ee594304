//! The state of one sample slot.
//!
//! This is soft state: the trainer's pull lists what it holds, and everything
//! else can be generated again (see docs/design/steps.md).

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    engine::evidence::ProvedTokens,
    ids::{AttemptNumber, UpstreamId},
    step::{
        sample::Sample,
        straggler::{AttemptSnapshot, TOKEN_TIME_SMOOTHING_RATIO},
    },
};

/// One attempt at a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt number.
    pub number: AttemptNumber,
    /// When it was dispatched.
    pub dispatched_at: Timestamp,
    /// When its engine started it; `None` while it is queued.
    pub started_at: Option<Timestamp>,
    /// When it last made progress; before that, when it was dispatched.
    pub progressed_at: Timestamp,
    /// Moving average of its time per token, once known.
    pub token_time: Option<Duration>,
    /// Number of tokens that it resumed from.
    pub resumed_tokens: u32,
    /// The tokens proved so far, including resumed ones.
    pub proved: ProvedTokens,
    /// The engine that it runs on, once known.
    pub engine: Option<UpstreamId>,
}

impl Attempt {
    /// Creates an attempt that resumes from `proved`.
    pub fn new(number: AttemptNumber, proved: ProvedTokens, now: Timestamp) -> Self {
        Self {
            number,
            dispatched_at: now,
            started_at: None,
            progressed_at: now,
            token_time: None,
            resumed_tokens: token_count(&proved),
            proved,
            engine: None,
        }
    }

    /// Returns how many tokens the attempt generated itself.
    pub fn generated_tokens(&self) -> u32 {
        token_count(&self.proved).saturating_sub(self.resumed_tokens)
    }

    /// Returns the mean time per token of the attempt, given that its complete
    /// sample has `tokens` tokens.
    pub fn mean_token_time(&self, tokens: u32, now: Timestamp) -> Option<Duration> {
        let generated = tokens.saturating_sub(self.resumed_tokens);
        let span = now.saturating_sub(self.started_at?);
        (generated > 0).then(|| span / generated)
    }

    /// Records the progress at `now` and returns the time per token since the
    /// previous report.
    ///
    /// The latest report replaces the previous one even if it is shorter: the
    /// engine may have shown that earlier tokens were not proved after all.
    pub fn record_progress(&mut self, proved: ProvedTokens, now: Timestamp) -> Option<Duration> {
        let span = now.saturating_sub(self.progressed_at);
        let is_started = self.started_at.is_some();
        let generated = token_count(&proved).saturating_sub(token_count(&self.proved));
        self.started_at.get_or_insert(now);
        self.progressed_at = now;
        self.proved = proved;
        if generated == 0 || !is_started {
            return None;
        }
        let observed = span / generated;
        let mean = self.token_time.unwrap_or(observed);
        let ratio = TOKEN_TIME_SMOOTHING_RATIO;
        self.token_time = Some(mean.mul_f64(1.0 - ratio) + observed.mul_f64(ratio));
        Some(observed)
    }

    /// Returns the figures for straggler detection.
    pub fn snapshot(&self, remaining_tokens: u32) -> AttemptSnapshot {
        AttemptSnapshot {
            started_at: self.started_at,
            progressed_at: self.progressed_at,
            token_time: self.token_time,
            remaining_tokens,
        }
    }
}

/// The running attempts at a slot: one, or two while the slot is hedged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningAttempts {
    /// The attempt that was started first.
    pub primary: Attempt,
    /// The hedge attempt that runs in parallel.
    pub hedge: Option<Attempt>,
}

impl RunningAttempts {
    /// Returns all attempts.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        std::iter::once(&self.primary).chain(&self.hedge)
    }

    /// Returns the attempt with this number for modification.
    pub fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        std::iter::once(&mut self.primary)
            .chain(&mut self.hedge)
            .find(|attempt| attempt.number == number)
    }

    /// Removes an attempt and returns the remaining one, or `None` if there is
    /// none.
    pub fn without(mut self, number: AttemptNumber) -> Option<Self> {
        match self.hedge.take() {
            Some(hedge) if hedge.number == number => Some(self),
            Some(hedge) => Some(Self {
                primary: hedge,
                hedge: None,
            }),
            None => None,
        }
    }
}

/// The state of a slot between dispatch and delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is running; there may be tokens to resume from.
    Open(Option<Box<ProvedTokens>>),
    /// Attempts are running.
    Running(Box<RunningAttempts>),
    /// The sample is complete and is kept until the trainer lists it as held.
    Ready(Arc<Sample>),
    /// The trainer holds the sample.
    Held,
}

/// The state of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotState {
    /// The current phase.
    pub phase: Phase,
    /// Number of failures since the last success.
    pub failure_count: u8,
    /// How many times the slot was moved away from a slow engine.
    pub move_count: u8,
    /// No attempt is dispatched before this time.
    pub not_before: Timestamp,
    /// The engine that the next attempt should avoid, because the last one
    /// failed there or was moved away from it.
    pub avoid: Option<UpstreamId>,
}

impl Default for SlotState {
    fn default() -> Self {
        Self {
            phase: Phase::Open(None),
            failure_count: 0,
            move_count: 0,
            not_before: Timestamp::ZERO,
            avoid: None,
        }
    }
}

fn token_count(proved: &ProvedTokens) -> u32 {
    u32::try_from(proved.tokens.len()).unwrap_or(u32::MAX)
}
