//! A simulated engine in virtual time.
//!
//! Each token encodes the weight version that generated it, as the tokens of the
//! stand-in engine do, so that a trainer can check the reported versions.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::Timestamp,
    engine::{api::Report, evidence::Chunk},
    ids::{BootId, TokenId, WeightVersion},
    observe::trace::InitialEngine,
    share::fairness::Ticket,
    standin::engine::VERSION_FACTOR,
};

/// The number of tokens per chunk.
const CHUNK_TOKENS: u32 = 8;

/// The token stream of one request.
#[derive(Debug)]
struct Stream {
    ticket: Ticket,
    done_tokens: u32,
    target_tokens: u32,
    next_index: u32,
    next_at: Timestamp,
    /// A chunk that is held back so that it is sent after the next one.
    delayed_chunk: Option<Chunk>,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    part: InitialEngine,
    boot: BootId,
    version: WeightVersion,
    running: Vec<Stream>,
    waiting: VecDeque<Stream>,
    slow_factor: f64,
    /// The time until which the engine sends nothing.
    pub silent_until: Timestamp,
    /// The time until which the engine is down.
    pub down_until: Timestamp,
    /// Whether the engine sends each chunk twice.
    pub duplicate: bool,
    /// Whether the engine swaps pairs of consecutive chunks.
    pub reorder: bool,
    /// When the engine started to leave.
    pub leaving_since: Option<Timestamp>,
    /// The number of tokens that the engine generated.
    pub generated_tokens: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(part: InitialEngine) -> Self {
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

    /// Returns the engine's settings in the trace.
    pub const fn part(&self) -> &InitialEngine {
        &self.part
    }

    /// Returns the weight version that the engine runs.
    pub const fn version(&self) -> WeightVersion {
        self.version
    }

    /// Changes the weight version.
    pub const fn set_version(&mut self, version: WeightVersion) {
        self.version = version;
    }

    /// Sets the factor by which the time per token is multiplied.
    pub const fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Crashes the engine until `down_until`, and returns the tickets of the
    /// streams that are cut.
    pub fn crash(&mut self, down_until: Timestamp) -> Vec<Ticket> {
        self.boot += 1;
        self.down_until = down_until;
        let streams = self.running.drain(..).chain(self.waiting.drain(..));
        streams.map(|stream| stream.ticket).collect()
    }

    /// Returns whether the engine answers requests.
    pub fn is_up(&self, now: Timestamp) -> bool {
        now >= self.down_until
    }

    /// Queues a request for `target_tokens`, of which `done_tokens` are resumed
    /// from an earlier attempt.
    pub fn start(&mut self, ticket: Ticket, done_tokens: u32, target_tokens: u32, now: Timestamp) {
        self.waiting.push_back(Stream {
            ticket,
            done_tokens,
            target_tokens,
            next_index: 0,
            next_at: now,
            delayed_chunk: None,
        });
        self.admit(now);
    }

    /// Cancels a request.
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

    /// Generates up to `now`, and returns the chunks in the order in which they
    /// arrive.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(Ticket, Chunk)> {
        if now < self.silent_until || !self.is_up(now) {
            return Vec::new();
        }
        let chunk_time = self.chunk_time();
        let mut chunks = Vec::new();
        let mut running = std::mem::take(&mut self.running);
        for stream in &mut running {
            while stream.next_at <= now && stream.done_tokens < stream.target_tokens {
                stream.next_at += chunk_time;
                let chunk = self.next_chunk(stream);
                self.emit_chunk(stream, chunk, &mut chunks);
            }
        }
        running.retain(|stream| stream.done_tokens < stream.target_tokens);
        self.running = running;
        self.admit(now);
        chunks
    }

    fn next_chunk(&mut self, stream: &mut Stream) -> Chunk {
        let count = CHUNK_TOKENS.min(stream.target_tokens - stream.done_tokens);
        let tag = TokenId::try_from(self.version).unwrap_or(0) * VERSION_FACTOR;
        let positions = stream.done_tokens..stream.done_tokens + count;
        stream.done_tokens += count;
        stream.next_index += 1;
        self.generated_tokens += u64::from(count);
        Chunk {
            index: Some(stream.next_index - 1),
            token_ids: positions
                .map(|position| tag + position % VERSION_FACTOR)
                .collect(),
            weight_version: Some(self.version),
            boot: Some(self.boot),
            is_last: stream.done_tokens >= stream.target_tokens,
            ..Chunk::default()
        }
    }

    /// Sends a chunk, duplicated or reordered if the engine has such a fault.
    fn emit_chunk(&self, stream: &mut Stream, chunk: Chunk, chunks: &mut Vec<(Ticket, Chunk)>) {
        let ticket = stream.ticket;
        if self.reorder && stream.delayed_chunk.is_none() && !chunk.is_last {
            stream.delayed_chunk = Some(chunk);
            return;
        }
        if self.duplicate {
            chunks.push((ticket, chunk.clone()));
        }
        let is_last = chunk.is_last;
        let delayed = stream.delayed_chunk.take();
        if is_last {
            chunks.extend(delayed.map(|delayed| (ticket, delayed)));
            chunks.push((ticket, chunk));
        } else {
            chunks.push((ticket, chunk));
            chunks.extend(delayed.map(|delayed| (ticket, delayed)));
        }
    }

    /// Returns the engine's status report.
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
