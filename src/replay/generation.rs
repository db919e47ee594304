//! Generations on their way between owner, dispatcher and engine.

use std::{sync::Arc, time::Duration};

use super::world::{Node, PEER_TIMEOUT, SharedDispatch, Task, World};
use crate::{
    clock::Timestamp,
    control::{self, Input},
    engine::{
        evidence::{Chunk, Evidence},
        routing::Policy,
    },
    ids::{AttemptNumber, HostId, UpstreamId},
    share::{
        dispatch,
        fairness::{Ranking, Ticket},
    },
    step::{
        Event, Failure,
        sample::{self, FinishReason, Sample},
    },
};

/// The time between two reports of progress to the owner.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// How long a stream may stay silent before it is given up.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a peer's silence takes to be noticed on an open stream.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// When to try again after a failure that says nothing of it.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How long an attempt may take in all.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);

/// One attempt that was sent to a dispatcher.
#[derive(Debug)]
pub struct Generation {
    /// The host that asked.
    pub owner: HostId,
    /// Its life when it asked.
    pub owner_life: u64,
    /// The host that queues for the engine.
    pub dispatcher: HostId,
    /// What to generate.
    pub dispatch: SharedDispatch,
    /// The engine.
    pub engine: UpstreamId,
    /// What is proved; it grows while the engine streams.
    evidence: Evidence,
    /// Whether the engine has it.
    pub is_running: bool,
    heard_at: Timestamp,
    reported_at: Timestamp,
}

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Sends an attempt of `owner` to the dispatcher of its engine.
    pub(super) fn start_attempt(
        &mut self,
        owner: &HostId,
        dispatch: crate::step::Dispatch,
        engine: UpstreamId,
        dispatcher: Option<HostId>,
    ) {
        let dispatcher = dispatcher.unwrap_or_else(|| owner.clone());
        let attempt = dispatch.attempt;
        let evidence = match dispatch.resume.tokens.is_empty() {
            true => Evidence::new(dispatch.mixed_versions),
            false => Evidence::resume(dispatch.resume.clone(), dispatch.mixed_versions),
        };
        let ticket = self.number();
        let generation = Generation {
            owner: owner.clone(),
            owner_life: self.nodes.get(owner).map_or(0, |node| node.life),
            dispatcher: dispatcher.clone(),
            dispatch: Arc::new(dispatch),
            engine,
            evidence,
            is_running: false,
            heard_at: self.now,
            reported_at: self.now,
        };
        let is_reached = self.reaches(owner, &dispatcher)
            && self
                .nodes
                .get(&dispatcher)
                .is_some_and(|node| node.control.is_some());
        self.generations.insert(ticket, generation);
        self.tickets.insert((owner.clone(), attempt), ticket);
        if is_reached {
            let hop = if *owner == dispatcher {
                Duration::ZERO
            } else {
                self.delay()
            };
            self.after(hop, Task::Enqueue(ticket));
        } else {
            self.fail(ticket, true, RETRY_AFTER, PEER_TIMEOUT);
        }
    }

    /// Queues a generation that arrived at its dispatcher.
    pub(super) fn enqueue(&mut self, ticket: Ticket) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let dispatcher = generation.dispatcher.clone();
        let started_at = self
            .nodes
            .get(&dispatcher)
            .map_or(self.now, |node| node.started_at);
        let deadline = self.now.saturating_sub(started_at) + ATTEMPT_TIMEOUT;
        let entry =
            control::queue_entry(&generation.dispatch, &generation.engine, ticket, deadline);
        let queued = Input::Dispatch(dispatch::Event::Enqueue(entry));
        if !self.give(&dispatcher, queued) {
            self.fail(ticket, false, RETRY_AFTER, self.delay());
        }
    }

    /// Puts an input into a host's next round, if it lives.
    fn give(&mut self, host: &HostId, input: Input) -> bool {
        match self.nodes.get_mut(host) {
            Some(node) if node.control.is_some() => {
                node.inbox.push(input);
                true
            }
            _ => false,
        }
    }

    /// Does what a dispatcher says about one of its generations.
    pub(super) fn act_on_dispatch(&mut self, host: &HostId, action: dispatch::Action) {
        match action {
            dispatch::Action::Start { ticket, .. } => self.start_stream(host, ticket),
            dispatch::Action::Refuse {
                ticket,
                retry_after,
                ..
            } => self.fail(ticket, true, retry_after, self.delay()),
            dispatch::Action::Preempt { ticket } => {
                self.stop_stream(ticket);
                self.fail(ticket, false, Duration::ZERO, self.delay());
            }
        }
    }

    fn start_stream(&mut self, host: &HostId, ticket: Ticket) {
        let now = self.now;
        let Some(generation) = self.generations.get_mut(&ticket) else {
            let finished = dispatch::Event::Finished { ticket, tokens: 0 };
            self.give(host, Input::Dispatch(finished));
            return;
        };
        generation.is_running = true;
        generation.heard_at = now;
        let (engine, dispatch) = (generation.engine.clone(), generation.dispatch.clone());
        let done_tokens = u32::try_from(dispatch.resume.tokens.len()).unwrap_or(u32::MAX);
        let target_tokens = self.sample_tokens(&dispatch).max(done_tokens + 1);
        let Some(known) = self
            .engines
            .get_mut(&engine)
            .filter(|known| known.is_up(now))
        else {
            self.end_at_dispatcher(ticket);
            return self.fail(ticket, true, RETRY_AFTER, self.delay());
        };
        if let Some(since) = known.leaving_since {
            self.tally.work_after_leaving(now.saturating_sub(since));
        }
        known.start(ticket, done_tokens, target_tokens, now);
    }

    /// Returns the length that the trace has for a sample.
    fn sample_tokens(&self, dispatch: &crate::step::Dispatch) -> u32 {
        let recorded = &self.trace.header.settings.sample_tokens;
        let tokens = if recorded.is_empty() {
            let most = u64::from(dispatch.max_tokens);
            u32::try_from(dispatch.seed % most + 1).unwrap_or(1)
        } else {
            recorded[(dispatch.seed % recorded.len() as u64) as usize]
        };
        tokens.clamp(1, dispatch.max_tokens)
    }

    /// Lets all engines stream.
    pub(super) fn run_engines(&mut self) {
        let now = self.now;
        let mut chunks = Vec::new();
        for engine in self.engines.values_mut() {
            chunks.extend(engine.advance(now));
        }
        for (ticket, chunk) in chunks {
            self.take_chunk(ticket, &chunk);
        }
    }

    fn take_chunk(&mut self, ticket: Ticket, chunk: &Chunk) {
        let now = self.now;
        let Some(generation) = self.generations.get_mut(&ticket) else {
            return;
        };
        generation.heard_at = now;
        if generation.evidence.push(chunk).is_err() {
            self.stop_stream(ticket);
            return self.fail(ticket, false, RETRY_AFTER, self.delay());
        }
        // The last chunk may overtake others; they make the answer whole.
        if generation.evidence.is_ended() {
            return self.finish(ticket);
        }
        if now.saturating_sub(generation.reported_at) >= PROGRESS_INTERVAL {
            generation.reported_at = now;
            self.report_progress(ticket);
        }
    }

    fn report_progress(&mut self, ticket: Ticket) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let proved = generation.evidence.proved();
        let tokens = generation.evidence.token_count();
        let dispatcher = generation.dispatcher.clone();
        let progressed = Event::Progressed {
            attempt: generation.dispatch.attempt,
            engine: generation.engine.clone(),
            proved,
        };
        self.give(
            &dispatcher,
            Input::Dispatch(dispatch::Event::Progress { ticket, tokens }),
        );
        self.tell_owner(ticket, progressed);
    }

    fn finish(&mut self, ticket: Ticket) {
        self.end_at_dispatcher(ticket);
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let dispatch = generation.dispatch.clone();
        let boot = generation.evidence.boot().unwrap_or_default();
        let Ok(proved) = generation.evidence.clone().finish() else {
            return self.fail(ticket, false, RETRY_AFTER, self.delay());
        };
        let sample = Sample {
            slot: dispatch.slot.clone(),
            id: sample::id(&dispatch.slot, dispatch.attempt),
            tokens: proved.tokens.into(),
            segments: proved.segments.into(),
            engine: generation.engine.clone(),
            boot,
            finish_reason: FinishReason::Stop,
        };
        let attempt = dispatch.attempt;
        self.tell_owner(ticket, Event::Finished { attempt, sample });
        self.forget(ticket);
    }

    /// Ends a generation without a sample, and tells its owner after `delay`.
    pub(super) fn fail(
        &mut self,
        ticket: Ticket,
        not_run: bool,
        retry_after: Duration,
        delay: Duration,
    ) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let proved = generation.evidence.proved();
        let failure = Failure {
            not_run: not_run && proved.tokens.is_empty(),
            retry_after,
            proved: (!proved.tokens.is_empty()).then_some(proved),
        };
        let attempt = generation.dispatch.attempt;
        let (owner, life) = (generation.owner.clone(), generation.owner_life);
        let input = Input::Step(Event::Failed { attempt, failure });
        self.after(delay, Task::Input(owner, life, input));
        self.forget(ticket);
    }

    /// Passes an event to the owner; where it is cut off, both sides notice the
    /// silence of the stream.
    fn tell_owner(&mut self, ticket: Ticket, event: Event) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let (owner, life) = (generation.owner.clone(), generation.owner_life);
        if self.reaches(&generation.dispatcher, &owner) {
            let task = Task::Input(owner, life, Input::Step(event));
            self.after(self.delay(), task);
        } else {
            self.stop_stream(ticket);
            self.fail(ticket, false, RETRY_AFTER, KEEP_ALIVE_TIMEOUT);
        }
    }

    /// Stops the engine's stream and tells the dispatcher.
    fn stop_stream(&mut self, ticket: Ticket) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&generation.engine) {
            engine.cancel(ticket, self.now);
        }
        self.end_at_dispatcher(ticket);
    }

    fn end_at_dispatcher(&mut self, ticket: Ticket) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let tokens = generation.evidence.token_count();
        let dispatcher = generation.dispatcher.clone();
        let event = if generation.is_running {
            dispatch::Event::Finished { ticket, tokens }
        } else {
            dispatch::Event::Cancelled { ticket, tokens: 0 }
        };
        self.give(&dispatcher, Input::Dispatch(event));
    }

    fn forget(&mut self, ticket: Ticket) {
        if let Some(generation) = self.generations.remove(&ticket) {
            let attempt = generation.dispatch.attempt;
            self.tickets.remove(&(generation.owner, attempt));
        }
    }

    /// Ends an attempt that its owner gave up.
    pub(super) fn cancel_attempt(&mut self, owner: &HostId, attempt: AttemptNumber) {
        if let Some(ticket) = self.tickets.get(&(owner.clone(), attempt)).copied() {
            self.stop_stream(ticket);
            self.forget(ticket);
        }
    }

    /// Ends the streams of an engine that crashed.
    pub(super) fn break_streams(&mut self, tickets: Vec<Ticket>) {
        for ticket in tickets {
            self.end_at_dispatcher(ticket);
            self.fail(ticket, false, RETRY_AFTER, self.delay());
        }
    }

    /// Gives up silent streams, and those whose hosts are gone.
    pub(super) fn watch_generations(&mut self) {
        let now = self.now;
        let is_gone = |node: Option<&Node<P, R>>| node.is_none_or(|node| node.control.is_none());
        let mut lost = Vec::new();
        for (ticket, generation) in &self.generations {
            let owner = self.nodes.get(&generation.owner);
            let is_orphan = owner.is_none_or(|node| node.life != generation.owner_life);
            if is_orphan || is_gone(owner) {
                lost.push((*ticket, true));
            } else if is_gone(self.nodes.get(&generation.dispatcher))
                || generation.is_running
                    && now.saturating_sub(generation.heard_at) > SILENCE_TIMEOUT
            {
                lost.push((*ticket, false));
            }
        }
        for (ticket, is_orphan) in lost {
            self.stop_stream(ticket);
            if is_orphan {
                self.forget(ticket);
            } else {
                self.fail(ticket, false, RETRY_AFTER, self.delay());
            }
        }
    }
}
