//! A small engine in virtual time.
//!
//! Its tokens carry the version that truly made them, as the stand-in's do.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::Timestamp,
    engine::{api::Report, evidence::Chunk},
    ids::{BootId, TokenId, WeightVersion},
    observe::trace::EnginePart,
    share::fairness::Ticket,
    standin::engine::VERSION_FACTOR,
};

/// Tokens a chunk.
const CHUNK_TOKENS: u32 = 8;

/// One generation.
#[derive(Debug)]
struct Stream {
    ticket: Ticket,
    done_tokens: u32,
    target_tokens: u32,
    next_index: u32,
    next_at: Timestamp,
    /// A chunk that waits to change places with the next.
    held: Option<Chunk>,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    part: EnginePart,
    boot: BootId,
    version: WeightVersion,
    running: Vec<Stream>,
    waiting: VecDeque<Stream>,
    slow_factor: f64,
    /// Until when it sends nothing.
    pub silent_until: Timestamp,
    /// Until when it is away.
    pub down_until: Timestamp,
    /// Whether chunks come twice.
    pub duplicate: bool,
    /// Whether pairs of chunks change places.
    pub reorder: bool,
    /// Since when it leaves.
    pub leaving_since: Option<Timestamp>,
    /// Tokens that it generated.
    pub generated_tokens: u64,
}

impl Engine {
    /// Starts an engine.
    pub fn new(part: EnginePart) -> Self {
        Self {
            version: part.weight_version,
            part,
            boot: 1,
            running: Vec::new(),
            waiting: VecDeque::new(),
            slow_factor: 1.0,
            silent_until: Timestamp::ZERO,
            down_until: Timestamp::ZERO,
            duplicate: false,
            reorder: false,
            leaving_since: None,
            generated_tokens: 0,
        }
    }

    /// Returns the part of the trace that it was made from.
    pub const fn part(&self) -> &EnginePart {
        &self.part
    }

    /// Returns the weights that it runs.
    pub const fn version(&self) -> WeightVersion {
        self.version
    }

    /// Runs `version` from now on.
    pub const fn swap(&mut self, version: WeightVersion) {
        self.version = version;
    }

    /// Takes `factor` times as long for a token from now on.
    pub const fn slow_down(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Ends all streams, and returns their tickets.
    pub fn crash(&mut self, away_until: Timestamp) -> Vec<Ticket> {
        self.boot += 1;
        self.down_until = away_until;
        let streams = self.running.drain(..).chain(self.waiting.drain(..));
        streams.map(|stream| stream.ticket).collect()
    }

    /// Says whether it answers at all.
    pub fn is_up(&self, now: Timestamp) -> bool {
        now >= self.down_until
    }

    /// Takes a request for `target_tokens`, of which some are done already.
    pub fn start(&mut self, ticket: Ticket, done_tokens: u32, target_tokens: u32, now: Timestamp) {
        self.waiting.push_back(Stream {
            ticket,
            done_tokens,
            target_tokens,
            next_index: 0,
            next_at: now,
            held: None,
        });
        self.admit(now);
    }

    /// Stops a request.
    pub fn cancel(&mut self, ticket: Ticket, now: Timestamp) {
        self.running.retain(|stream| stream.ticket != ticket);
        self.waiting.retain(|stream| stream.ticket != ticket);
        self.admit(now);
    }

    fn admit(&mut self, now: Timestamp) {
        while self.running.len() < self.part.slots as usize {
            let Some(mut stream) = self.waiting.pop_front() else {
                return;
            };
            stream.next_at = now + self.chunk_time();
            self.running.push(stream);
        }
    }

    fn chunk_time(&self) -> Duration {
        Duration::from_micros(self.part.token_time_us)
            .mul_f64(self.slow_factor * f64::from(CHUNK_TOKENS))
    }

    /// Returns the chunks that are due, in the order in which they arrive.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(Ticket, Chunk)> {
        if now < self.silent_until || !self.is_up(now) {
            return Vec::new();
        }
        let step = self.chunk_time();
        let mut chunks = Vec::new();
        let mut running = std::mem::take(&mut self.running);
        for stream in &mut running {
            while stream.next_at <= now && stream.done_tokens < stream.target_tokens {
                stream.next_at += step;
                let chunk = self.make(stream);
                self.send(stream, chunk, &mut chunks);
            }
        }
        running.retain(|stream| stream.done_tokens < stream.target_tokens);
        self.running = running;
        self.admit(now);
        chunks
    }

    fn make(&mut self, stream: &mut Stream) -> Chunk {
        let count = CHUNK_TOKENS.min(stream.target_tokens - stream.done_tokens);
        let tag = TokenId::try_from(self.version).unwrap_or(0) * VERSION_FACTOR;
        let places = stream.done_tokens..stream.done_tokens + count;
        stream.done_tokens += count;
        stream.next_index += 1;
        self.generated_tokens += u64::from(count);
        Chunk {
            index: Some(stream.next_index - 1),
            token_ids: places.map(|place| tag + place % VERSION_FACTOR).collect(),
            weight_version: Some(self.version),
            boot: Some(self.boot),
            is_last: stream.done_tokens >= stream.target_tokens,
            ..Chunk::default()
        }
    }

    /// Sends a chunk as the engine's present disorder has it.
    fn send(&self, stream: &mut Stream, chunk: Chunk, chunks: &mut Vec<(Ticket, Chunk)>) {
        let ticket = stream.ticket;
        if self.reorder && stream.held.is_none() && !chunk.is_last {
            stream.held = Some(chunk);
            return;
        }
        if self.duplicate {
            chunks.push((ticket, chunk.clone()));
        }
        let is_last = chunk.is_last;
        let held = stream.held.take();
        if is_last {
            chunks.extend(held.map(|held| (ticket, held)));
            chunks.push((ticket, chunk));
        } else {
            chunks.push((ticket, chunk));
            chunks.extend(held.map(|held| (ticket, held)));
        }
    }

    /// Returns what it says of itself.
    pub fn report(&self) -> Report {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Report {
            boot_id: self.boot,
            weight_version: self.version,
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: self.part.slots,
            token_time_us: self.part.token_time_us,
            swap_state: "idle".to_owned(),
            leaving: self.leaving_since.is_some(),
        }
    }
}
