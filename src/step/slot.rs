//! The state of one sample slot.
//!
//! All of it is soft: the trainer's pull says what it holds, and everything
//! else can be generated again (see docs/design/steps.md).

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    engine::evidence::Proved,
    ids::{AttemptNumber, UpstreamId},
    step::{
        sample::Sample,
        straggler::{PACE_SMOOTHING_RATIO, Runner},
    },
};

/// One attempt at a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number.
    pub number: AttemptNumber,
    /// When it was dispatched.
    pub dispatched_at: Timestamp,
    /// When its engine took it up; `None` while it waits.
    pub started_at: Option<Timestamp>,
    /// When it last made progress, or was dispatched.
    pub progressed_at: Timestamp,
    /// The time that one of its tokens took of late, once that is known.
    pub token_time: Option<Duration>,
    /// Tokens that it was given to resume from.
    pub resumed_tokens: u32,
    /// What it proved so far, the resumed tokens included.
    pub proved: Proved,
    /// The engine that it runs on, once that is known.
    pub engine: Option<UpstreamId>,
}

impl Attempt {
    /// Starts an attempt that resumes from `proved`.
    pub fn new(number: AttemptNumber, proved: Proved, now: Timestamp) -> Self {
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

    /// Returns how many tokens it made itself.
    pub fn generated_tokens(&self) -> u32 {
        token_count(&self.proved).saturating_sub(self.resumed_tokens)
    }

    /// Returns the time that one of its tokens took, now that its sample of
    /// `tokens` is whole.
    pub fn mean_token_time(&self, tokens: u32, now: Timestamp) -> Option<Duration> {
        let made = tokens.saturating_sub(self.resumed_tokens);
        let span = now.saturating_sub(self.started_at?);
        (made > 0).then(|| span / made)
    }

    /// Takes in progress at `now`, and returns the time that one token took.
    ///
    /// The latest report counts, also where it is shorter: the engine may have
    /// shown that earlier tokens were not proved after all.
    pub fn progress(&mut self, proved: Proved, now: Timestamp) -> Option<Duration> {
        let span = now.saturating_sub(self.progressed_at);
        let is_started = self.started_at.is_some();
        let made = token_count(&proved).saturating_sub(token_count(&self.proved));
        self.started_at.get_or_insert(now);
        self.progressed_at = now;
        self.proved = proved;
        if made == 0 || !is_started {
            return None;
        }
        let found = span / made;
        let mean = self.token_time.unwrap_or(found);
        let ratio = PACE_SMOOTHING_RATIO;
        self.token_time = Some(mean.mul_f64(1.0 - ratio) + found.mul_f64(ratio));
        Some(found)
    }

    /// Returns the figures that decide whether it is a straggler.
    pub fn runner(&self, remaining_tokens: u32) -> Runner {
        Runner {
            started_at: self.started_at,
            progressed_at: self.progressed_at,
            token_time: self.token_time,
            remaining_tokens,
        }
    }
}

/// The attempts that run for a slot: one, or two while it is hedged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Race {
    /// The attempt that began first.
    pub first: Attempt,
    /// The attempt beside it.
    pub second: Option<Attempt>,
}

impl Race {
    /// Returns both attempts.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        std::iter::once(&self.first).chain(&self.second)
    }

    /// Finds an attempt to change.
    pub fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        std::iter::once(&mut self.first)
            .chain(&mut self.second)
            .find(|attempt| attempt.number == number)
    }

    /// Removes an attempt, and returns what runs on.
    pub fn without(mut self, number: AttemptNumber) -> Option<Self> {
        match self.second.take() {
            Some(second) if second.number == number => Some(self),
            Some(second) => Some(Self {
                first: second,
                second: None,
            }),
            None => None,
        }
    }
}

/// How far a slot has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing runs for it; it may have tokens to resume from.
    Open(Option<Box<Proved>>),
    /// Attempts run for it.
    Running(Box<Race>),
    /// Its sample is whole and waits for the trainer to show that it has it.
    Ready(Arc<Sample>),
    /// The trainer holds it.
    Held,
}

/// One slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// How far it has come.
    pub phase: Phase,
    /// Failures since the last success.
    pub failure_count: u8,
    /// How often it was moved away from a slow engine.
    pub move_count: u8,
    /// Before this time nothing is dispatched for it.
    pub not_before: Timestamp,
    /// The engine that the last failure came from.
    pub avoid: Option<UpstreamId>,
}

impl Default for State {
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

fn token_count(proved: &Proved) -> u32 {
    u32::try_from(proved.tokens.len()).unwrap_or(u32::MAX)
}
