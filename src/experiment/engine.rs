//! Model engines for experiments in virtual time.
//!
//! They generate at a given speed, change their weights at given times and may
//! slow down or fall silent. What they make is collected as evidence, as in
//! service.

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

/// The time between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// How long an engine takes over a prompt before it computes it.
const START_TIME: Duration = Duration::from_millis(200);

/// How long it computes on each token of a prompt or of a resumed sample.
const PREFILL_TOKEN_TIME: Duration = Duration::from_micros(100);

/// The token that model engines make.
const TOKEN: TokenId = 1;

/// One request in an engine.
#[derive(Debug)]
struct Request {
    work: Dispatch,
    length_tokens: u32,
    is_stuck: bool,
    evidence: Evidence,
    owed_tokens: f64,
    reported_at: Timestamp,
}

/// One model engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub id: UpstreamId,
    /// The weights that it runs.
    pub weight_version: WeightVersion,
    /// How many requests it generates for at once.
    pub slots_count: usize,
    /// The time of one token.
    pub token_time: Duration,
    /// Tokens that it made.
    pub generated_tokens: u64,
    running: Vec<Request>,
    waiting: Vec<Request>,
}

impl Engine {
    /// Makes an idle engine.
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

    /// Returns how many requests are in it.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Queues `work`, whose sample gets `length_tokens` long, or none at all
    /// where it is stuck.
    pub fn push(&mut self, work: Dispatch, length_tokens: u32, is_stuck: bool, now: Timestamp) {
        let given = work.prompt_tokens.len() + work.resume.tokens.len();
        let prefill = START_TIME + PREFILL_TOKEN_TIME.mul_f64(given as f64);
        let evidence = Evidence::resume(work.resume.clone(), work.mixed_versions);
        let priority = work.priority;
        let request = Request {
            work,
            length_tokens,
            is_stuck,
            evidence,
            owed_tokens: -prefill.as_secs_f64() / self.token_time.as_secs_f64(),
            reported_at: now,
        };
        let place = self
            .waiting
            .partition_point(|other| other.work.priority >= priority);
        self.waiting.insert(place, request);
    }

    /// Drops a request.
    pub fn cancel(&mut self, attempt: u64) {
        self.running
            .retain(|request| request.work.attempt != attempt);
        self.waiting
            .retain(|request| request.work.attempt != attempt);
    }

    /// Generates for the time `span` that ends at `now`.
    pub fn advance(&mut self, span: Duration, now: Timestamp) -> Vec<Event> {
        let mut events = Vec::new();
        self.fill(now, &mut events);
        let tokens = span.as_secs_f64() / self.token_time.as_secs_f64();
        let mut left = Vec::with_capacity(self.running.len());
        for mut request in std::mem::take(&mut self.running) {
            if request.is_stuck {
                left.push(request);
                continue;
            }
            self.generated_tokens += request.generate(tokens, self.weight_version);
            if let Some(end) = request.end(&self.id) {
                events.push(end);
                continue;
            }
            events.extend(request.report(&self.id, now));
            left.push(request);
        }
        self.running = left;
        events
    }

    fn fill(&mut self, now: Timestamp, events: &mut Vec<Event>) {
        while self.running.len() < self.slots_count && !self.waiting.is_empty() {
            let mut request = self.waiting.remove(0);
            request.reported_at = now;
            events.push(request.progress(&self.id));
            self.running.push(request);
        }
    }
}

impl Request {
    /// Makes up to `tokens`, and returns how many.
    fn generate(&mut self, tokens: f64, weight_version: WeightVersion) -> u64 {
        self.owed_tokens += tokens;
        let made = self.evidence.token_count();
        let missing = self.length_tokens.saturating_sub(made);
        let count = (self.owed_tokens.max(0.0) as u32).min(missing);
        self.owed_tokens -= f64::from(count);
        let chunk = Chunk {
            token_ids: vec![TOKEN; count as usize],
            weight_version: Some(weight_version),
            boot: Some(1),
            is_last: count == missing,
            ..Chunk::default()
        };
        // A refused chunk ends the attempt; see `end`.
        let _ = self.evidence.push(&chunk);
        u64::from(count)
    }

    /// Returns the event that ends the attempt, once it has ended.
    fn end(&self, engine: &UpstreamId) -> Option<Event> {
        let attempt = self.work.attempt;
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
        let whole = self.evidence.clone().finish().ok()?;
        let sample = Sample {
            id: id(&self.work.slot, attempt),
            slot: self.work.slot.clone(),
            tokens: whole.tokens.into(),
            segments: whole.segments.into(),
            engine: Arc::clone(engine),
            boot: 1,
            finish_reason: FinishReason::Stop,
        };
        Some(Event::Finished { attempt, sample })
    }

    fn report(&mut self, engine: &UpstreamId, now: Timestamp) -> Option<Event> {
        if now.saturating_sub(self.reported_at) < PROGRESS_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(self.progress(engine))
    }

    fn progress(&self, engine: &UpstreamId) -> Event {
        Event::Progressed {
            attempt: self.work.attempt,
            engine: Arc::clone(engine),
            proved: self.evidence.proved(),
        }
    }
}
