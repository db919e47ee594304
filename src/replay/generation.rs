//! Simulates generations between the owner of a step, the dispatcher and the
//! engine.

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

/// The interval between progress reports to the owner.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// How long a stream may stay silent before its attempt fails.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long it takes to detect on an open stream that the peer is unreachable.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// The retry delay after a failure that does not carry its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The deadline of an attempt, measured from its arrival at the dispatcher.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);

/// An attempt that was sent to a dispatcher.
#[derive(Debug)]
pub struct Generation {
    /// The host that owns the step.
    pub owner: HostId,
    /// The owner's start count when it sent the attempt; it differs from the
    /// current one if the owner has restarted since.
    pub owner_start_count: u64,
    /// The host that queues requests for the engine.
    pub dispatcher: HostId,
    /// The request.
    pub dispatch: SharedDispatch,
    /// The engine.
    pub engine: UpstreamId,
    /// The tokens received so far whose weights are proved.
    evidence: Evidence,
    /// Whether the request was sent to the engine.
    pub is_running: bool,
    last_chunk_at: Timestamp,
    last_report_at: Timestamp,
}

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Sends an attempt of `owner` to the dispatcher of its engine, or fails it if
    /// the dispatcher is unreachable.
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
        let ticket = self.next_number();
        let generation = Generation {
            owner: owner.clone(),
            owner_start_count: self.nodes.get(owner).map_or(0, |node| node.start_count),
            dispatcher: dispatcher.clone(),
            dispatch: Arc::new(dispatch),
            engine,
            evidence,
            is_running: false,
            last_chunk_at: self.now,
            last_report_at: self.now,
        };
        let is_reachable = self.can_reach(owner, &dispatcher)
            && self
                .nodes
                .get(&dispatcher)
                .is_some_and(|node| node.control.is_some());
        self.generations.insert(ticket, generation);
        self.tickets.insert((owner.clone(), attempt), ticket);
        if is_reachable {
            let hop = if *owner == dispatcher {
                Duration::ZERO
            } else {
                self.message_delay()
            };
            self.schedule_after(hop, Task::Enqueue(ticket));
        } else {
            self.fail(ticket, true, DEFAULT_RETRY_AFTER, PEER_TIMEOUT);
        }
    }

    /// Queues a generation that has arrived at its dispatcher.
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
        if !self.push_input(&dispatcher, queued) {
            self.fail(ticket, false, DEFAULT_RETRY_AFTER, self.message_delay());
        }
    }

    /// Adds an input to the next round of a host. Returns `false` if the host is
    /// not running.
    fn push_input(&mut self, host: &HostId, input: Input) -> bool {
        match self.nodes.get_mut(host) {
            Some(node) if node.control.is_some() => {
                node.inbox.push(input);
                true
            }
            _ => false,
        }
    }

    /// Carries out a dispatcher's action on one of its generations.
    pub(super) fn apply_dispatch_action(&mut self, host: &HostId, action: dispatch::Action) {
        match action {
            dispatch::Action::Start { ticket, .. } => self.start_stream(host, ticket),
            dispatch::Action::Refuse {
                ticket,
                retry_after,
                ..
            } => self.fail(ticket, true, retry_after, self.message_delay()),
            dispatch::Action::Preempt { ticket } => {
                self.stop_stream(ticket);
                self.fail(ticket, false, Duration::ZERO, self.message_delay());
            }
        }
    }

    fn start_stream(&mut self, host: &HostId, ticket: Ticket) {
        let now = self.now;
        let Some(generation) = self.generations.get_mut(&ticket) else {
            let finished = dispatch::Event::Finished { ticket, tokens: 0 };
            self.push_input(host, Input::Dispatch(finished));
            return;
        };
        generation.is_running = true;
        generation.last_chunk_at = now;
        let (engine, dispatch) = (generation.engine.clone(), generation.dispatch.clone());
        let done_tokens = u32::try_from(dispatch.resume.tokens.len()).unwrap_or(u32::MAX);
        let target_tokens = self.sample_tokens(&dispatch).max(done_tokens + 1);
        let Some(target) = self
            .engines
            .get_mut(&engine)
            .filter(|target| target.is_up(now))
        else {
            self.end_at_dispatcher(ticket);
            return self.fail(ticket, true, DEFAULT_RETRY_AFTER, self.message_delay());
        };
        if let Some(since) = target.leaving_since {
            self.tally
                .record_work_after_leaving(now.saturating_sub(since));
        }
        target.start(ticket, done_tokens, target_tokens, now);
    }

    /// Returns the length of a sample: one that the trace recorded, or a length
    /// derived from the seed if the trace has none.
    fn sample_tokens(&self, dispatch: &crate::step::Dispatch) -> u32 {
        let recorded = &self.trace.header.settings.sample_tokens;
        let tokens = if recorded.is_empty() {
            let max_tokens = u64::from(dispatch.max_tokens);
            u32::try_from(dispatch.seed % max_tokens + 1).unwrap_or(1)
        } else {
            recorded[(dispatch.seed % recorded.len() as u64) as usize]
        };
        tokens.clamp(1, dispatch.max_tokens)
    }

    /// Advances all engines to the current time and delivers their chunks.
    pub(super) fn run_engines(&mut self) {
        let now = self.now;
        let mut chunks = Vec::new();
        for engine in self.engines.values_mut() {
            chunks.extend(engine.advance(now));
        }
        for (ticket, chunk) in chunks {
            self.receive_chunk(ticket, &chunk);
        }
    }

    fn receive_chunk(&mut self, ticket: Ticket, chunk: &Chunk) {
        let now = self.now;
        let Some(generation) = self.generations.get_mut(&ticket) else {
            return;
        };
        generation.last_chunk_at = now;
        if generation.evidence.push(chunk).is_err() {
            self.stop_stream(ticket);
            return self.fail(ticket, false, DEFAULT_RETRY_AFTER, self.message_delay());
        }
        // The last chunk may arrive before others. The answer is complete only
        // when those have arrived too.
        if generation.evidence.is_ended() {
            return self.finish(ticket);
        }
        if now.saturating_sub(generation.last_report_at) >= PROGRESS_INTERVAL {
            generation.last_report_at = now;
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
        self.push_input(
            &dispatcher,
            Input::Dispatch(dispatch::Event::Progress { ticket, tokens }),
        );
        self.notify_owner(ticket, progressed);
    }

    fn finish(&mut self, ticket: Ticket) {
        self.end_at_dispatcher(ticket);
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let dispatch = generation.dispatch.clone();
        let boot = generation.evidence.boot().unwrap_or_default();
        let Ok(proved) = generation.evidence.clone().finish() else {
            return self.fail(ticket, false, DEFAULT_RETRY_AFTER, self.message_delay());
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
        self.notify_owner(ticket, Event::Finished { attempt, sample });
        self.remove_generation(ticket);
    }

    /// Ends a generation without a sample, and notifies its owner after `delay`.
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
        let (owner, start_count) = (generation.owner.clone(), generation.owner_start_count);
        let input = Input::Step(Event::Failed { attempt, failure });
        self.schedule_after(delay, Task::Input(owner, start_count, input));
        self.remove_generation(ticket);
    }

    /// Sends an event to the owner. If the owner is unreachable, the stream is
    /// stopped and the attempt fails after the keep-alive timeout.
    fn notify_owner(&mut self, ticket: Ticket, event: Event) {
        let Some(generation) = self.generations.get(&ticket) else {
            return;
        };
        let (owner, start_count) = (generation.owner.clone(), generation.owner_start_count);
        if self.can_reach(&generation.dispatcher, &owner) {
            let task = Task::Input(owner, start_count, Input::Step(event));
            self.schedule_after(self.message_delay(), task);
        } else {
            self.stop_stream(ticket);
            self.fail(ticket, false, DEFAULT_RETRY_AFTER, KEEP_ALIVE_TIMEOUT);
        }
    }

    /// Cancels the request at the engine and notifies the dispatcher.
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
        self.push_input(&dispatcher, Input::Dispatch(event));
    }

    fn remove_generation(&mut self, ticket: Ticket) {
        if let Some(generation) = self.generations.remove(&ticket) {
            let attempt = generation.dispatch.attempt;
            self.tickets.remove(&(generation.owner, attempt));
        }
    }

    /// Cancels an attempt at its owner's request.
    pub(super) fn cancel_attempt(&mut self, owner: &HostId, attempt: AttemptNumber) {
        if let Some(ticket) = self.tickets.get(&(owner.clone(), attempt)).copied() {
            self.stop_stream(ticket);
            self.remove_generation(ticket);
        }
    }

    /// Fails the attempts whose streams were cut by a crash of their engine.
    pub(super) fn break_streams(&mut self, tickets: Vec<Ticket>) {
        for ticket in tickets {
            self.end_at_dispatcher(ticket);
            self.fail(ticket, false, DEFAULT_RETRY_AFTER, self.message_delay());
        }
    }

    /// Fails attempts whose stream is silent or whose dispatcher is gone, and drops
    /// those whose owner is gone.
    pub(super) fn check_generations(&mut self) {
        let now = self.now;
        let is_gone = |node: Option<&Node<P, R>>| node.is_none_or(|node| node.control.is_none());
        let mut lost = Vec::new();
        for (ticket, generation) in &self.generations {
            let owner = self.nodes.get(&generation.owner);
            let is_orphan =
                owner.is_none_or(|node| node.start_count != generation.owner_start_count);
            if is_orphan || is_gone(owner) {
                lost.push((*ticket, true));
            } else if is_gone(self.nodes.get(&generation.dispatcher))
                || generation.is_running
                    && now.saturating_sub(generation.last_chunk_at) > SILENCE_TIMEOUT
            {
                lost.push((*ticket, false));
            }
        }
        for (ticket, is_orphan) in lost {
            self.stop_stream(ticket);
            if is_orphan {
                self.remove_generation(ticket);
            } else {
                self.fail(ticket, false, DEFAULT_RETRY_AFTER, self.message_delay());
            }
        }
    }
}
