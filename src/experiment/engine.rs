//! Simulated engines for experiments in virtual time.
//!
//! They generate tokens at a given speed, and the experiment changes their weights
//! and speed. Requests may get stuck. The tokens are collected as [`Evidence`], as
//! in the service itself.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::Timestamp,
    engine::evidence::{Chunk, Evidence},
    ids::{TokenId, UpstreamId, WeightVersion},
    step::{
        Dispatch, Event, Failure,
        sample::{FinishReason, Sample, id},
    },
};

/// The interval between progress reports of a request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// The fixed delay before an engine starts to compute a prompt.
const START_TIME: Duration = Duration::from_millis(200);

/// The prefill time per token of a prompt or of a resumed sample.
const PREFILL_TOKEN_TIME: Duration = Duration::from_micros(100);

/// The token that simulated engines generate.
const TOKEN: TokenId = 1;

/// A request that is queued or running on an engine.
#[derive(Debug)]
struct Request {
    dispatch: Dispatch,
    length_tokens: u32,
    is_stuck: bool,
    evidence: Evidence,
    /// Tokens that the engine had time for and has not generated yet. Negative
    /// until the prefill is done.
    due_tokens: f64,
    last_report_at: Timestamp,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// The id of the engine.
    pub id: UpstreamId,
    /// The weight version that the engine runs.
    pub weight_version: WeightVersion,
    /// The number of requests that the engine runs concurrently.
    pub slots_count: usize,
    /// The time per token.
    pub token_time: Duration,
    /// The number of tokens that the engine generated.
    pub generated_tokens: u64,
    running: Vec<Request>,
    waiting: Vec<Request>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(id: UpstreamId, slots_count: usize, token_time: Duration) -> Self {
        Self {
            id,
            weight_version: 0,
            slots_count,
            token_time,
            generated_tokens: 0,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Returns the number of running and waiting requests.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Queues `dispatch`, whose sample will have `length_tokens` tokens. A request
    /// that `is_stuck` never generates any.
    pub fn push(&mut self, dispatch: Dispatch, length_tokens: u32, is_stuck: bool, now: Timestamp) {
        let prefill_tokens = dispatch.prompt_tokens.len() + dispatch.resume.tokens.len();
        let prefill = START_TIME + PREFILL_TOKEN_TIME.mul_f64(prefill_tokens as f64);
        let evidence = Evidence::resume(dispatch.resume.clone(), dispatch.mixed_versions);
        let priority = dispatch.priority;
        let request = Request {
            dispatch,
            length_tokens,
            is_stuck,
            evidence,
            due_tokens: -prefill.as_secs_f64() / self.token_time.as_secs_f64(),
            last_report_at: now,
        };
        let index = self
            .waiting
            .partition_point(|other| other.dispatch.priority >= priority);
        self.waiting.insert(index, request);
    }

    /// Cancels a request.
    pub fn cancel(&mut self, attempt: u64) {
        self.running
            .retain(|request| request.dispatch.attempt != attempt);
        self.waiting
            .retain(|request| request.dispatch.attempt != attempt);
    }

    /// Generates for the duration `span` that ends at `now`.
    pub fn advance(&mut self, span: Duration, now: Timestamp) -> Vec<Event> {
        let mut events = Vec::new();
        self.start_waiting(now, &mut events);
        let tokens = span.as_secs_f64() / self.token_time.as_secs_f64();
        let mut unfinished = Vec::with_capacity(self.running.len());
        for mut request in std::mem::take(&mut self.running) {
            if request.is_stuck {
                unfinished.push(request);
                continue;
            }
            self.generated_tokens += request.generate(tokens, self.weight_version);
            if let Some(end) = request.end_event(&self.id) {
                events.push(end);
                continue;
            }
            events.extend(request.due_progress(&self.id, now));
            unfinished.push(request);
        }
        self.running = unfinished;
        events
    }

    /// Moves waiting requests to free slots.
    fn start_waiting(&mut self, now: Timestamp, events: &mut Vec<Event>) {
        while self.running.len() < self.slots_count && !self.waiting.is_empty() {
            let mut request = self.waiting.remove(0);
            request.last_report_at = now;
            events.push(request.progress(&self.id));
            self.running.push(request);
        }
    }
}

impl Request {
    /// Generates for the time of `tokens` tokens, and returns the number generated.
    fn generate(&mut self, tokens: f64, weight_version: WeightVersion) -> u64 {
        self.due_tokens += tokens;
        let generated = self.evidence.token_count();
        let missing = self.length_tokens.saturating_sub(generated);
        let count = (self.due_tokens.max(0.0) as u32).min(missing);
        self.due_tokens -= f64::from(count);
        let chunk = Chunk {
            token_ids: vec![TOKEN; count as usize],
            weight_version: Some(weight_version),
            boot: Some(1),
            is_last: count == missing,
            ..Chunk::default()
        };
        // A chunk that is refused fails the attempt; see `end_event`.
        let _ = self.evidence.push(&chunk);
        u64::from(count)
    }

    /// Returns the event that ends the attempt, if it has ended.
    fn end_event(&self, engine: &UpstreamId) -> Option<Event> {
        let attempt = self.dispatch.attempt;
        if self.evidence.has_failed() {
            let failure = Failure {
                proved: Some(self.evidence.proved()),
                ..Failure::default()
            };
            return Some(Event::Failed { attempt, failure });
        }
        if self.evidence.token_count() < self.length_tokens {
            return None;
        }
        let proved = self.evidence.clone().finish().ok()?;
        let sample = Sample {
            id: id(&self.dispatch.slot, attempt),
            slot: self.dispatch.slot.clone(),
            tokens: proved.tokens.into(),
            segments: proved.segments.into(),
            engine: Arc::clone(engine),
            boot: 1,
            finish_reason: FinishReason::Stop,
        };
        Some(Event::Finished { attempt, sample })
    }

    /// Returns a progress event, if one is due.
    fn due_progress(&mut self, engine: &UpstreamId, now: Timestamp) -> Option<Event> {
        if now.saturating_sub(self.last_report_at) < PROGRESS_INTERVAL {
            return None;
        }
        self.last_report_at = now;
        Some(self.progress(engine))
    }

    fn progress(&self, engine: &UpstreamId) -> Event {
        Event::Progressed {
            attempt: self.dispatch.attempt,
            engine: Arc::clone(engine),
            proved: self.evidence.proved(),
        }
    }
}
