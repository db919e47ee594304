//! Prompts that wait at engines: how many tokens of them, which shared parts engines hold
//! already, and how fast they are read (see docs/design/prompt-budget.md).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Scheduler, reading::Reading};
use crate::{
    batch::job::{Item, JobId, ModelId, PromptPart},
    clock::Timestamp,
    ids::{UpstreamId, WeightVersion},
};

/// How long an item may be put off before short prompts at an engine no longer count
/// against it: half the target time to the first event.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// The length above which prompts and their parts count as this long. Clients state the
/// lengths, and sums of them must not overflow.
const MAX_PROMPT_TOKENS: u64 = 1 << 32;

/// The maximum number of shared parts of an item that count.
const MAX_PART_COUNT: usize = 16;

/// The maximum number of parts that are remembered for an engine.
const MAX_HELD_COUNT: usize = 32;

/// The share of an engine's KV cache that remembered parts may fill, since runs need the
/// rest and evict parts without saying so.
const MAX_HELD_RATIO: f64 = 0.5;

/// The maximum number of parts whose engines are remembered.
const MAX_HOLDER_PART_COUNT: usize = 1_024;

/// The number of engines that are remembered for a part.
const MAX_HOLDER_COUNT: usize = 4;

/// A shared part of a prompt. The key is a hash over the model, the part and all parts
/// before it, since a part is only of use together with these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyedPart {
    key: u64,
    tokens: u64,
}

fn keyed_parts(model: &ModelId, parts: Vec<PromptPart>) -> Box<[KeyedPart]> {
    let mut key = xxh3_64(model.as_bytes());
    parts
        .into_iter()
        .take(MAX_PART_COUNT)
        .map(|part| {
            key = xxh3_64_with_seed(part.id.as_bytes(), key);
            KeyedPart {
                key,
                tokens: part.tokens.min(MAX_PROMPT_TOKENS),
            }
        })
        .collect()
}

/// What an engine has to read before it goes on with an item.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prompt<'a> {
    /// The length of the prompt and of the output so far.
    pub(super) tokens: u64,
    pub(super) parts: &'a [KeyedPart],
    /// Whether the item goes on with an output. It is never put off: the budget is for first
    /// events.
    pub(super) is_continued: bool,
    /// Whether the item has been put off for as long as it may be.
    pub(super) is_overdue: bool,
}

impl<'a> Prompt<'a> {
    pub(super) fn new(
        item: &Item,
        parts: &'a [KeyedPart],
        output_tokens: u64,
        put_off_at: Option<Timestamp>,
        now: Timestamp,
    ) -> Self {
        Self {
            tokens: item
                .prompt_tokens
                .saturating_add(output_tokens)
                .min(MAX_PROMPT_TOKENS),
            parts,
            is_continued: output_tokens > 0,
            is_overdue: put_off_at.is_some_and(|at| now.saturating_sub(at) >= MAX_DELAY),
        }
    }
}

/// The prompt of a run until its first event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunPrompt {
    pub(super) started_at: Timestamp,
    /// The tokens that the engine has to read for the run.
    pub(super) unread_tokens: u64,
    /// The tokens that waited at the engine when the run started.
    pub(super) ahead_tokens: u64,
    pub(super) is_long: bool,
}

/// The prompts that wait at an engine, and the parts that it holds.
#[derive(Clone, Debug, Default)]
pub(super) struct EnginePrompts {
    /// The unread tokens of runs without an event.
    pub(super) waiting_tokens: u64,
    /// The part of these that belongs to long prompts.
    pub(super) long_tokens: u64,
    /// When the engine is expected to have read all of them.
    pub(super) read_at: Timestamp,
    /// The parts that were sent last, the newest at the end. The engine may have dropped
    /// some of them.
    held: VecDeque<KeyedPart>,
}

impl EnginePrompts {
    /// Forgets the held parts, since the engine has dropped its cache.
    pub(super) fn clear_held(&mut self) {
        self.held.clear();
    }

    /// Returns how much of `prompt` the engine has to read under `version`.
    pub(super) fn unread_tokens(&self, prompt: &Prompt<'_>, version: WeightVersion) -> u64 {
        let held_tokens: u64 = prompt
            .parts
            .iter()
            .take_while(|part| {
                let key = versioned(part.key, version);
                self.held.iter().any(|held| held.key == key)
            })
            .map(|part| part.tokens)
            .sum();
        prompt.tokens.saturating_sub(held_tokens)
    }

    /// Records that a run of an item starts.
    pub(super) fn begin_run(
        &mut self,
        prompt: &Prompt<'_>,
        version: WeightVersion,
        memory_tokens: u64,
        reading: &Reading,
        slowness_ratio: f64,
        now: Timestamp,
    ) -> RunPrompt {
        let unread_tokens = self.unread_tokens(prompt, version);
        self.read_at = self.read_at.max(now) + reading.time(unread_tokens, slowness_ratio);
        let run = RunPrompt {
            started_at: now,
            unread_tokens,
            ahead_tokens: self.waiting_tokens,
            is_long: reading.is_long(unread_tokens),
        };
        self.waiting_tokens += unread_tokens;
        if run.is_long {
            self.long_tokens += unread_tokens;
        }
        for part in prompt.parts {
            let key = versioned(part.key, version);
            self.held.retain(|held| held.key != key);
            self.held.push_back(KeyedPart { key, ..*part });
        }
        let max_tokens = (memory_tokens as f64 * MAX_HELD_RATIO) as u64;
        let mut held_tokens: u64 = self.held.iter().map(|part| part.tokens).sum();
        while held_tokens > max_tokens || self.held.len() > MAX_HELD_COUNT {
            let Some(oldest) = self.held.pop_front() else {
                break;
            };
            held_tokens -= oldest.tokens;
        }
        run
    }

    /// Records that a run has shown its first event, or ended without one.
    pub(super) const fn end_reading(&mut self, run: &RunPrompt) {
        self.waiting_tokens = self.waiting_tokens.saturating_sub(run.unread_tokens);
        if self.waiting_tokens == 0 {
            self.read_at = Duration::ZERO;
        }
        if run.is_long {
            self.long_tokens = self.long_tokens.saturating_sub(run.unread_tokens);
        }
    }

    /// Forgets parts that were sent in vain.
    pub(super) fn forget(&mut self, parts: &[KeyedPart], version: WeightVersion) {
        self.held.retain(|held| {
            !parts
                .iter()
                .any(|part| versioned(part.key, version) == held.key)
        });
    }
}

/// Returns the key of a part that was read under `version`.
fn versioned(key: u64, version: WeightVersion) -> u64 {
    xxh3_64_with_seed(&version.to_le_bytes(), key)
}

/// The engines to which shared parts were sent last.
#[derive(Clone, Debug, Default)]
pub(super) struct PartHolders {
    engines: BTreeMap<u64, VecDeque<UpstreamId>>,
    /// The parts in the order in which they were first sent.
    order: VecDeque<u64>,
}

impl PartHolders {
    /// Returns the engines that may hold the most of `parts`.
    pub(super) fn find(&self, parts: &[KeyedPart]) -> impl Iterator<Item = &UpstreamId> {
        parts
            .iter()
            .rev()
            .find_map(|part| self.engines.get(&part.key))
            .into_iter()
            .flatten()
    }

    /// Records that `parts` are sent to `engine`.
    pub(super) fn record(&mut self, parts: &[KeyedPart], engine: &UpstreamId) {
        for part in parts {
            let engines = self.engines.entry(part.key).or_insert_with(|| {
                self.order.push_back(part.key);
                VecDeque::new()
            });
            engines.retain(|known| known != engine);
            engines.push_back(engine.clone());
            if engines.len() > MAX_HOLDER_COUNT {
                engines.pop_front();
            }
        }
        while self.order.len() > MAX_HOLDER_PART_COUNT {
            if let Some(oldest) = self.order.pop_front() {
                self.engines.remove(&oldest);
            }
        }
    }
}

/// The prompts at all engines, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptLoad {
    /// The tokens of prompts that wait at engines: of runs without an event, less the parts
    /// that the engines hold.
    pub waiting_tokens: u64,
    /// The most of these at one engine.
    pub max_waiting_tokens: u64,
    /// The tokens beside which no further long prompt starts at an engine.
    pub budget_tokens: u64,
    /// The learned reading speed of an engine.
    pub speed_tokens_per_ms: f64,
    /// The number of items that were put off by the budget.
    pub put_off_count: u64,
}

impl Scheduler {
    /// Sets the shared parts of the prompts of an open job, which `parts` decodes.
    pub fn set_prompt_parts(&mut self, job: &JobId, parts: impl Fn(&Item) -> Vec<PromptPart>) {
        let Some(open_job) = self.jobs.get_mut(job) else {
            return;
        };
        let model = &open_job.job.head.model;
        for (item, state) in open_job.job.items.iter().zip(&mut open_job.items) {
            state.parts = keyed_parts(model, parts(item));
        }
    }

    /// Returns whether items are put off until engines have read other prompts, so that
    /// another poll is due soon.
    pub const fn has_put_off_prompts(&self) -> bool {
        self.has_put_off_prompts
    }

    /// Returns the prompts at all engines.
    pub fn prompt_load(&self) -> PromptLoad {
        let waiting = || self.engines.values().map(|e| e.prompts.waiting_tokens);
        PromptLoad {
            waiting_tokens: waiting().sum(),
            max_waiting_tokens: waiting().max().unwrap_or(0),
            budget_tokens: self.reading.budget_tokens(),
            speed_tokens_per_ms: self.reading.speed_tokens_per_ms(),
            put_off_count: self.prompt_put_off_count,
        }
    }

    /// Returns how many starts went to another item than the most urgent one, since its
    /// account held more than its part or its priority was lower.
    pub const fn share_put_off_count(&self) -> u64 {
        self.shares.put_off_count()
    }

    /// Returns the number of accounts with runs.
    pub fn running_account_count(&self) -> usize {
        self.shares.account_count()
    }
}
