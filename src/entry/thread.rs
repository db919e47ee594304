//! The control thread: runs the controllers and does what they ask for.

use std::{collections::HashMap, sync::Arc, thread::JoinHandle, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
    time::{Instant, sleep, timeout_at},
};

use super::{Shared, effects, messages, transport::Transport};
use crate::{
    api::platform::Listed,
    clock::Timestamp,
    control::{self, Control, Effect, TICK, blackboard::UpstreamState, decision::Decision},
    engine::{routing::Router, upstream_list},
    ids::{AttemptNumber, CallNumber},
    observe::telemetry,
    proto::peer,
    share::{charge::Weighted, dispatch, fairness::Ticket},
    step,
};

/// Inputs that may wait for the control thread.
const INPUT_COUNT: usize = 8192;

/// The most inputs that one round takes in.
const BATCH_COUNT: usize = 1024;

/// The shortest time between two rounds, in which inputs gather.
const GATHER: Duration = Duration::from_millis(2);

/// The time between two reports of this host's levels.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// What ends the wait of a queued generation.
///
/// A generation that starts must have left by the time in it.
pub type Verdict = Result<Timestamp, (dispatch::Refusal, Duration)>;

/// The two ways in which the dispatcher reaches a generation.
#[derive(Debug)]
pub struct Turn {
    /// Ends its wait, once.
    pub start: Option<oneshot::Sender<Verdict>>,
    /// Stops it while it runs, once.
    pub preempt: Option<oneshot::Sender<()>>,
}

/// What the traffic threads tell the control thread.
#[derive(Debug)]
pub enum Input {
    /// Something for the controllers.
    Control(control::Input),
    /// A trainer submitted a step.
    Submit {
        /// The step.
        spec: peer::StepSpec,
        /// Where the answer goes.
        reply: oneshot::Sender<peer::SubmitReply>,
    },
    /// A trainer pulled samples.
    Pull {
        /// What it asked.
        request: peer::PullRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<peer::PullReply>,
    },
    /// A generation waits for its turn.
    Enqueue {
        /// What it needs.
        request: dispatch::Request,
        /// How to reach it.
        turn: Turn,
    },
    /// The platform listed the upstreams.
    Listed(Vec<Listed>),
    /// Somebody asks what was decided about an id.
    Explain {
        /// The id.
        id: String,
        /// Where the records go.
        reply: oneshot::Sender<Vec<Decision>>,
    },
}

impl Input {
    /// Says whether the input needs no round of its own: engines report all the
    /// time, and a round looks at the whole fleet.
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

    /// Tells the step controller something.
    pub const fn step(event: step::Event) -> Self {
        Self::Control(control::Input::Step(event))
    }

    /// Tells the dispatcher something.
    pub const fn dispatch(event: dispatch::Event) -> Self {
        Self::Control(control::Input::Dispatch(event))
    }
}

/// Why the control thread took no input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// It has ended.
    #[error("the control thread has ended")]
    Ended,
}

/// Reaches the control thread from traffic threads.
#[derive(Clone, Debug)]
pub struct Sender {
    inputs: mpsc::Sender<Input>,
}

impl Sender {
    /// Makes a bounded channel to a control thread.
    pub fn channel() -> (Self, mpsc::Receiver<Input>) {
        let (inputs, receiver) = mpsc::channel(INPUT_COUNT);
        (Self { inputs }, receiver)
    }

    /// Hands over an input, and waits while the channel is full.
    ///
    /// # Errors
    ///
    /// Fails where the control thread has ended.
    pub async fn send(&self, input: Input) -> Result<(), ControlError> {
        self.inputs
            .send(input)
            .await
            .map_err(|_| ControlError::Ended)
    }

    /// Hands over an input; it is dropped where the thread has ended, since
    /// nothing is left then that needs it.
    pub async fn tell(&self, input: Input) {
        let _ = self.send(input).await;
    }
}

/// Runs the controllers of a host on one thread.
///
/// # Errors
///
/// Fails where the thread cannot be started.
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
        Ok(runtime) => runtime.block_on(Thread::new(shared, transport).run(inputs)),
        Err(error) => tracing::error!(%error, "the control thread cannot run"),
    }
}

/// Everything that the control thread owns.
#[derive(Debug)]
struct Thread {
    shared: Shared,
    control: Control<Router, Weighted>,
    transport: Transport,
    next_call: CallNumber,
    next_metrics_at: Timestamp,
    submits: HashMap<CallNumber, oneshot::Sender<peer::SubmitReply>>,
    pulls: HashMap<CallNumber, oneshot::Sender<peer::PullReply>>,
    turns: HashMap<Ticket, Turn>,
    attempts: HashMap<AttemptNumber, AbortHandle>,
}

impl Thread {
    fn new(shared: Shared, transport: Transport) -> Self {
        let router = Router::new(shared.settings.host.id.clone());
        let now = shared.clock.now();
        let control = Control::new(&shared.settings, shared.incarnation, router, now);
        Self {
            control,
            transport,
            next_call: 0,
            next_metrics_at: Timestamp::ZERO,
            submits: HashMap::new(),
            pulls: HashMap::new(),
            turns: HashMap::new(),
            attempts: HashMap::new(),
            shared,
        }
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH_COUNT);
        let mut next_tick = Instant::now() + TICK;
        while !self.shared.is_ended() {
            let wait = inputs.recv_many(&mut batch, BATCH_COUNT);
            match timeout_at(next_tick, wait).await {
                Ok(0) => return,
                Ok(_) if batch.len() < BATCH_COUNT && batch.iter().all(Input::can_wait) => continue,
                Ok(_) => gather(&mut inputs, &mut batch).await,
                Err(_) => {}
            }
            self.shared.pause.wait().await;
            for input in batch.drain(..) {
                self.take(input);
            }
            self.round();
            next_tick = Instant::now() + TICK;
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Control(input) => self.take_control(input),
            Input::Submit { spec, reply } => {
                let call = self.number();
                self.submits.insert(call, reply);
                let spec = Arc::new(messages::read_spec(spec));
                let submitted = step::Event::Submitted { call, spec };
                self.control.enqueue(control::Input::Step(submitted));
            }
            Input::Pull { request, reply } => {
                let call = self.number();
                self.pulls.insert(call, reply);
                let pull = messages::read_pull(request);
                let pulled = step::Event::Pulled { call, pull };
                self.control.enqueue(control::Input::Step(pulled));
            }
            Input::Enqueue { request, turn } => {
                self.turns.insert(request.ticket, turn);
                let queued = dispatch::Event::Enqueue(request);
                self.control.enqueue(control::Input::Dispatch(queued));
            }
            Input::Listed(listed) => self.take_list(listed),
            Input::Explain { id, reply } => {
                let records = self.control.ring().find(&id).cloned().collect();
                let _ = reply.send(records);
            }
        }
    }

    /// Forgets what an input ends before the controllers see it.
    fn take_control(&mut self, input: control::Input) {
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
                self.turns.remove(ticket);
            }
            _ => {}
        }
        self.control.enqueue(input);
    }

    const fn number(&mut self) -> CallNumber {
        self.next_call += 1;
        self.next_call
    }

    fn take_list(&mut self, listed: Vec<Listed>) {
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

    /// Runs all controllers once, and publishes what they wrote.
    fn round(&mut self) {
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
            self.act(effect);
        }
    }

    /// Sends the levels of this host, at a rate that costs next to nothing.
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
        metrics.gauge(telemetry::QUEUED_SAMPLES, self.turns.len() as u64);
        let open_count = self.shared.open_work.count();
        metrics.gauge(telemetry::OPEN_REQUESTS, open_count as u64);
    }

    fn act(&mut self, effect: Effect) {
        match effect {
            Effect::SendHeartbeat { to, heartbeat } => {
                if let Err(error) = self.transport.send(&heartbeat, to) {
                    tracing::debug!(%to, %error, "a heartbeat was not sent");
                }
            }
            Effect::SendMessage { to, message } => effects::tell(&self.shared, to, message),
            Effect::ReadTable(action) => effects::follow_table(&self.shared, action),
            Effect::PollEngine { engine, address } => {
                effects::poll_engine(&self.shared, engine, address);
            }
            Effect::AskUpstream {
                upstream,
                kind,
                address,
            } => effects::ask_upstream(&self.shared, upstream, address, kind),
            Effect::Accept { call, result } => self.accept(call, result),
            Effect::Reply { call, reply } => {
                if let Some(waiting) = self.pulls.remove(&call) {
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
            Effect::Dispatch(action) => self.act_on_dispatch(action),
            Effect::Exit { outcome } => {
                tracing::info!(?outcome, "the host ends");
                self.shared.end();
            }
        }
    }

    fn accept(&mut self, call: CallNumber, result: Result<(), step::SubmitError>) {
        let Some(reply) = self.submits.remove(&call) else {
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

    fn act_on_dispatch(&mut self, action: dispatch::Action) {
        match action {
            dispatch::Action::Start { ticket, not_after } => {
                let turn = self.turns.get_mut(&ticket);
                if let Some(start) = turn.and_then(|turn| turn.start.take()) {
                    let _ = start.send(Ok(not_after));
                }
            }
            dispatch::Action::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                let start = self.turns.remove(&ticket).and_then(|turn| turn.start);
                if let Some(start) = start {
                    let _ = start.send(Err((reason, retry_after)));
                }
            }
            dispatch::Action::Preempt { ticket } => {
                let turn = self.turns.get_mut(&ticket);
                if let Some(preempt) = turn.and_then(|turn| turn.preempt.take()) {
                    let _ = preempt.send(());
                }
            }
        }
    }
}

/// Gathers the inputs of a short time, so that a busy host runs few rounds.
async fn gather(inputs: &mut mpsc::Receiver<Input>, batch: &mut Vec<Input>) {
    sleep(GATHER).await;
    while batch.len() < BATCH_COUNT
        && let Ok(input) = inputs.try_recv()
    {
        batch.push(input);
    }
}
