//! The control thread, which runs the controllers and executes their effects.

use std::{collections::HashMap, sync::Arc, thread::JoinHandle, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
    time::{Instant, sleep, timeout_at},
};

use super::{Shared, effects, messages, transport::Transport};
use crate::{
    api::platform::ListedUpstream,
    clock::Timestamp,
    control::{self, Control, Effect, TICK, blackboard::UpstreamState, decision::Decision},
    engine::{routing::Router, upstream_list},
    ids::{AttemptNumber, CallNumber},
    observe::telemetry,
    proto::peer,
    share::{charge::Weighted, dispatch, fairness::Ticket},
    step,
};

/// The maximum number of inputs that wait for the control thread.
const INPUT_CAPACITY: usize = 8192;

/// The maximum number of inputs that one round handles.
const MAX_BATCH_INPUTS: usize = 1024;

/// The time for which a round collects further inputs before it runs, and thus
/// the minimum time between two rounds that inputs start.
const BATCH_WINDOW: Duration = Duration::from_millis(2);

/// The interval at which this host's gauges are reported.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// The result that ends the wait of a queued generation.
///
/// A generation that starts must send its request by the contained time.
pub type StartResult = Result<Timestamp, (dispatch::Refusal, Duration)>;

/// The channels through which the dispatcher starts and preempts a generation.
#[derive(Debug)]
pub struct TurnSenders {
    /// Ends the generation's wait; used at most once.
    pub start: Option<oneshot::Sender<StartResult>>,
    /// Stops the generation while it runs; used at most once.
    pub preempt: Option<oneshot::Sender<()>>,
}

/// An input from the traffic threads to the control thread.
#[derive(Debug)]
pub enum Input {
    /// An input for the controllers.
    Control(control::Input),
    /// A trainer submitted a step.
    Submit {
        /// The submitted step.
        spec: peer::StepSpec,
        /// The channel for the reply.
        reply: oneshot::Sender<peer::SubmitReply>,
    },
    /// A trainer pulled samples.
    Pull {
        /// The pull.
        request: peer::PullRequest,
        /// The channel for the reply.
        reply: oneshot::Sender<peer::PullReply>,
    },
    /// A generation joins the queue of its engine.
    Enqueue {
        /// The dispatcher's request for the generation.
        request: dispatch::Request,
        /// The channels to the generation.
        senders: TurnSenders,
    },
    /// The platform's list of upstreams was read.
    Listed(Vec<ListedUpstream>),
    /// The decisions about an id are requested.
    Explain {
        /// The id.
        id: String,
        /// The channel for the decisions.
        reply: oneshot::Sender<Vec<Decision>>,
    },
}

impl Input {
    /// Returns whether the input can wait for the next round instead of
    /// starting one. Engine reports arrive continuously, and each round
    /// examines the whole fleet.
    const fn can_wait(&self) -> bool {
        matches!(
            self,
            Self::Control(
                control::Input::Engine(_)
                    | control::Input::Exchange { .. }
                    | control::Input::Decided(_)
            )
        )
    }

    /// Returns the input that passes `event` to the step controller.
    pub const fn step(event: step::Event) -> Self {
        Self::Control(control::Input::Step(event))
    }

    /// Returns the input that passes `event` to the dispatcher.
    pub const fn dispatch(event: dispatch::Event) -> Self {
        Self::Control(control::Input::Dispatch(event))
    }
}

/// The reason why the control thread accepted no input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The control thread has ended.
    #[error("the control thread has ended")]
    Ended,
}

/// Sends inputs from traffic threads to the control thread.
#[derive(Clone, Debug)]
pub struct Sender {
    inputs: mpsc::Sender<Input>,
}

impl Sender {
    /// Creates a bounded channel to a control thread.
    pub fn channel() -> (Self, mpsc::Receiver<Input>) {
        let (inputs, receiver) = mpsc::channel(INPUT_CAPACITY);
        (Self { inputs }, receiver)
    }

    /// Sends an input, waiting while the channel is full.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended.
    pub async fn send(&self, input: Input) -> Result<(), ControlError> {
        self.inputs
            .send(input)
            .await
            .map_err(|_| ControlError::Ended)
    }

    /// Sends an input, waiting while the channel is full. If the control thread
    /// has ended, the input is dropped, because nothing needs it any more.
    pub async fn send_or_drop(&self, input: Input) {
        let _ = self.send(input).await;
    }
}

/// Starts the thread that runs the controllers of a host.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(
    shared: Shared,
    inputs: mpsc::Receiver<Input>,
    transport: Transport,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(shared, inputs, transport))
}

fn run(shared: Shared, inputs: mpsc::Receiver<Input>, transport: Transport) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(ControlThread::new(shared, transport).run(inputs)),
        Err(error) => tracing::error!(%error, "failed to start the runtime of the control thread"),
    }
}

/// The state that the control thread owns.
#[derive(Debug)]
struct ControlThread {
    shared: Shared,
    control: Control<Router, Weighted>,
    transport: Transport,
    next_call: CallNumber,
    next_metrics_at: Timestamp,
    pending_submits: HashMap<CallNumber, oneshot::Sender<peer::SubmitReply>>,
    pending_pulls: HashMap<CallNumber, oneshot::Sender<peer::PullReply>>,
    turn_senders: HashMap<Ticket, TurnSenders>,
    attempts: HashMap<AttemptNumber, AbortHandle>,
}

impl ControlThread {
    fn new(shared: Shared, transport: Transport) -> Self {
        let router = Router::new(shared.settings.host.id.clone());
        let now = shared.clock.now();
        let control = Control::new(&shared.settings, shared.incarnation, router, now);
        Self {
            control,
            transport,
            next_call: 0,
            next_metrics_at: Timestamp::ZERO,
            pending_submits: HashMap::new(),
            pending_pulls: HashMap::new(),
            turn_senders: HashMap::new(),
            attempts: HashMap::new(),
            shared,
        }
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut batch = Vec::with_capacity(MAX_BATCH_INPUTS);
        let mut next_tick = Instant::now() + TICK;
        while !self.shared.is_ended() {
            let wait = inputs.recv_many(&mut batch, MAX_BATCH_INPUTS);
            match timeout_at(next_tick, wait).await {
                Ok(0) => return,
                Ok(_) if batch.len() < MAX_BATCH_INPUTS && batch.iter().all(Input::can_wait) => {
                    continue;
                }
                Ok(_) => fill_batch(&mut inputs, &mut batch).await,
                Err(_) => {}
            }
            self.shared.pause.wait().await;
            for input in batch.drain(..) {
                self.handle_input(input);
            }
            self.run_round();
            next_tick = Instant::now() + TICK;
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Control(input) => self.handle_control_input(input),
            Input::Submit { spec, reply } => {
                let call = self.next_call_number();
                self.pending_submits.insert(call, reply);
                let spec = Arc::new(messages::read_spec(spec));
                let submitted = step::Event::Submitted { call, spec };
                self.control.enqueue(control::Input::Step(submitted));
            }
            Input::Pull { request, reply } => {
                let call = self.next_call_number();
                self.pending_pulls.insert(call, reply);
                let pull = messages::read_pull(request);
                let pulled = step::Event::Pulled { call, pull };
                self.control.enqueue(control::Input::Step(pulled));
            }
            Input::Enqueue { request, senders } => {
                self.turn_senders.insert(request.ticket, senders);
                let queued = dispatch::Event::Enqueue(request);
                self.control.enqueue(control::Input::Dispatch(queued));
            }
            Input::Listed(listed) => self.handle_list(listed),
            Input::Explain { id, reply } => {
                let records = self.control.ring().find(&id).cloned().collect();
                let _ = reply.send(records);
            }
        }
    }

    /// Drops the state of attempts and turns that an input ends, then passes
    /// the input to the controllers.
    fn handle_control_input(&mut self, input: control::Input) {
        match &input {
            control::Input::Step(
                step::Event::Finished { attempt, .. } | step::Event::Failed { attempt, .. },
            ) => {
                self.attempts.remove(attempt);
            }
            control::Input::Dispatch(
                dispatch::Event::Finished { ticket, .. }
                | dispatch::Event::Cancelled { ticket, .. },
            ) => {
                self.turn_senders.remove(ticket);
            }
            _ => {}
        }
        self.control.enqueue(input);
    }

    const fn next_call_number(&mut self) -> CallNumber {
        self.next_call += 1;
        self.next_call
    }

    fn handle_list(&mut self, listed: Vec<ListedUpstream>) {
        let checking = &self.shared.settings.platform.fence_checking_engines;
        let entries = listed.into_iter().map(|entry| upstream_list::Listed {
            checks_fences: checking.iter().any(|engine| **engine == *entry.id),
            leaving: entry.state == UpstreamState::Leaving,
            id: entry.id,
            kind: entry.kind,
            pool: entry.pool,
            address: entry.address,
            failure_domain: entry.failure_domain,
        });
        let list = upstream_list::Event::List(entries.collect());
        self.control.enqueue(control::Input::Upstreams(list));
    }

    /// Runs all controllers once, publishes the blackboard and applies the
    /// effects.
    fn run_round(&mut self) {
        let now = self.shared.clock.now();
        let effects = self.control.run(now, self.shared.open_work.count());
        let took = self.shared.clock.now().saturating_sub(now);
        self.report_metrics(now, took);
        let mut board = self.control.board().clone();
        board.store = self.shared.store.condition();
        let live_hosts_count = u32::try_from(board.hosts.live().count()).unwrap_or(u32::MAX);
        self.shared.store.set_live_hosts(live_hosts_count);
        self.shared.snapshot.store(Arc::new(board));
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    /// Reports the gauges of this host once per [`METRICS_INTERVAL`], which
    /// keeps the cost negligible.
    fn report_metrics(&mut self, now: Timestamp, round_time: Duration) {
        if now < self.next_metrics_at {
            return;
        }
        self.next_metrics_at = now + METRICS_INTERVAL;
        let metrics = &self.shared.metrics;
        let board = self.control.board();
        let live_count = board.hosts.live().count();
        let gone_count = board.hosts.members.len() - live_count;
        metrics.time(telemetry::CONTROL_ROUND_TIME, round_time);
        metrics.gauge(telemetry::HOSTS_LIVE, live_count as u64);
        metrics.gauge(telemetry::HOSTS_GONE, gone_count as u64);
        metrics.gauge(telemetry::TABLE_REVISION, board.rows.revision);
        metrics.gauge(telemetry::QUEUED_SAMPLES, self.turn_senders.len() as u64);
        let open_count = self.shared.open_work.count();
        metrics.gauge(telemetry::OPEN_REQUESTS, open_count as u64);
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::SendHeartbeat { to, heartbeat } => {
                if let Err(error) = self.transport.send(&heartbeat, to) {
                    tracing::debug!(%to, %error, "failed to send a heartbeat");
                }
            }
            Effect::SendMessage { to, message } => effects::send_message(&self.shared, to, message),
            Effect::ReadTable(action) => effects::read_table(&self.shared, action),
            Effect::PollEngine { engine, address } => {
                effects::poll_engine(&self.shared, engine, address);
            }
            Effect::AskUpstream {
                upstream,
                kind,
                address,
            } => effects::ask_upstream(&self.shared, upstream, address, kind),
            Effect::Accept { call, result } => self.answer_submit(call, result),
            Effect::Reply { call, reply } => {
                if let Some(waiting) = self.pending_pulls.remove(&call) {
                    let owner = &self.shared.settings.host.id;
                    let _ = waiting.send(messages::write_reply(reply, owner));
                }
            }
            Effect::StartAttempt {
                dispatch,
                engine,
                dispatcher,
            } => {
                let task = effects::start_attempt(&self.shared, &dispatch, engine, dispatcher);
                self.attempts.insert(dispatch.attempt, task);
            }
            Effect::CancelAttempt { attempt } => {
                if let Some(task) = self.attempts.remove(&attempt) {
                    task.abort();
                }
            }
            Effect::HandOver(handover) => effects::hand_over(&self.shared, &handover),
            Effect::Dispatch(action) => self.apply_dispatch_action(action),
            Effect::Exit { outcome } => {
                tracing::info!(?outcome, "the host is ending");
                self.shared.end();
            }
        }
    }

    fn answer_submit(&mut self, call: CallNumber, result: Result<(), step::SubmitError>) {
        let Some(reply) = self.pending_submits.remove(&call) else {
            return;
        };
        let _ = reply.send(peer::SubmitReply {
            accepted: result.is_ok(),
            refusal: result
                .err()
                .map(|error| error.to_string())
                .unwrap_or_default(),
            owner: self.shared.settings.host.id.to_string(),
        });
    }

    fn apply_dispatch_action(&mut self, action: dispatch::Action) {
        match action {
            dispatch::Action::Start { ticket, not_after } => {
                let senders = self.turn_senders.get_mut(&ticket);
                if let Some(start) = senders.and_then(|senders| senders.start.take()) {
                    let _ = start.send(Ok(not_after));
                }
            }
            dispatch::Action::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                let start = self
                    .turn_senders
                    .remove(&ticket)
                    .and_then(|senders| senders.start);
                if let Some(start) = start {
                    let _ = start.send(Err((reason, retry_after)));
                }
            }
            dispatch::Action::Preempt { ticket } => {
                let senders = self.turn_senders.get_mut(&ticket);
                if let Some(preempt) = senders.and_then(|senders| senders.preempt.take()) {
                    let _ = preempt.send(());
                }
            }
        }
    }
}

/// Adds the inputs of the next [`BATCH_WINDOW`] to the batch, so that a busy
/// host runs few rounds.
async fn fill_batch(inputs: &mut mpsc::Receiver<Input>, batch: &mut Vec<Input>) {
    sleep(BATCH_WINDOW).await;
    while batch.len() < MAX_BATCH_INPUTS
        && let Ok(input) = inputs.try_recv()
    {
        batch.push(input);
    }
}
