//! The control thread: runs the controllers and publishes the blackboard.

use std::{collections::HashMap, mem, sync::Arc, thread::JoinHandle, time::Duration};

use rand::SeedableRng as _;
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Shared, effects, messages};
use crate::{
    blackboard::{Blackboard, UpstreamState},
    cache_index::BlockHash,
    clock::Timestamp,
    controller::{Controller as _, Rng, Round},
    datagram::Transport,
    decision::{Decision, Ring},
    dispatch, drain, engine_watch,
    fairness::{Class, Ticket},
    follower,
    ids::{AttemptNumber, CallNumber, HostId, UpstreamId},
    membership,
    platform_api::Listed,
    proto::peer,
    routing::{self, Policy as _, Router},
    settings::Settings,
    step, upstream_list,
};

/// The pool that trainers' samples are generated in.
pub const MODEL_POOL: &str = "base";

/// When to choose again where no engine may take an attempt.
const NO_ENGINE_DELAY: Duration = Duration::from_millis(200);

/// Inputs that may wait for the control thread.
const INPUT_COUNT: usize = 8192;

/// The most inputs that one round takes in.
const BATCH_COUNT: usize = 1024;

/// The longest time between two rounds.
const TICK: Duration = Duration::from_millis(50);

/// The shortest time between two rounds, in which inputs gather.
const GATHER: Duration = Duration::from_millis(2);

/// How long a fresh host waits for others before it serves alone.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

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
    /// Something happened to an attempt at a sample.
    Step(step::Event),
    /// A generation waits for its turn.
    Enqueue {
        /// What it needs.
        request: dispatch::Request,
        /// How to reach it.
        turn: Turn,
    },
    /// Something happened to a queued or running generation.
    Dispatch(dispatch::Event),
    /// An engine reported or failed to.
    Engine(engine_watch::Event),
    /// The store or a peer answered about the table.
    Table(follower::Event),
    /// The platform listed the upstreams.
    Listed(Vec<Listed>),
    /// A heartbeat arrived, or the platform listed a host.
    Member(membership::Event),
    /// A traffic thread decided something.
    Decided(Decision),
    /// Somebody asks what was decided about an id.
    Explain {
        /// The id.
        id: String,
        /// Where the records go.
        reply: oneshot::Sender<Vec<Decision>>,
    },
    /// Somebody asks for the service-level windows.
    Burn {
        /// Where the windows go, as JSON.
        reply: oneshot::Sender<String>,
    },
    /// Something showed the state of an upstream.
    Upstreams(upstream_list::Event),
    /// Stop gracefully.
    Drain(drain::Requester),
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

    /// Hands over a record where there is room; records never hold up traffic.
    pub fn record(&self, decision: Decision) {
        let _ = self.inputs.try_send(Input::Decided(decision));
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

/// The inputs of one round, by controller.
#[derive(Debug, Default)]
struct Inboxes {
    steps: Vec<step::Event>,
    dispatch: Vec<dispatch::Event>,
    engines: Vec<engine_watch::Event>,
    table: Vec<follower::Event>,
    members: Vec<membership::Event>,
    upstreams: Vec<upstream_list::Event>,
    drain: Vec<drain::Event>,
}

/// Everything that the control thread owns.
#[derive(Debug)]
struct Thread {
    shared: Shared,
    board: Blackboard,
    rng: Rng,
    decisions: Vec<Decision>,
    ring: Ring,
    inboxes: Inboxes,
    calls: Calls,
    turns: HashMap<Ticket, Turn>,
    attempts: HashMap<AttemptNumber, effects::Attempt>,
    transport: Transport,
    router: Router,
    steps: step::Controller,
    dispatch: dispatch::Controller,
    engines: engine_watch::Controller,
    table: follower::Controller,
    members: membership::Controller,
    upstreams: upstream_list::Controller,
    drain: drain::Controller,
}

/// The trainers' calls that wait for an answer.
#[derive(Debug, Default)]
struct Calls {
    next: CallNumber,
    submits: HashMap<CallNumber, oneshot::Sender<peer::SubmitReply>>,
    pulls: HashMap<CallNumber, oneshot::Sender<peer::PullReply>>,
}

impl Calls {
    const fn number(&mut self) -> CallNumber {
        self.next += 1;
        self.next
    }
}

/// Runs one controller over its inbox.
macro_rules! round {
    ($thread:ident, $controller:ident, $inbox:ident) => {{
        let events = mem::take(&mut $thread.inboxes.$inbox);
        let round = Round {
            board: &mut $thread.board,
            now: $thread.shared.clock.now(),
            rng: &mut $thread.rng,
            decisions: &mut $thread.decisions,
        };
        $thread.$controller.run(events, round)
    }};
}

impl Thread {
    fn new(shared: Shared, transport: Transport) -> Self {
        let id = shared.settings.host.id.clone();
        let config = membership::Config::from_settings(&shared.settings, shared.incarnation);
        Self {
            board: Blackboard::clone(&shared.snapshot.load()),
            rng: Rng::seed_from_u64(shared.incarnation),
            decisions: Vec::new(),
            ring: Ring::default(),
            inboxes: Inboxes::default(),
            calls: Calls::default(),
            turns: HashMap::new(),
            attempts: HashMap::new(),
            transport,
            router: Router::new(id.clone()),
            steps: step::Controller::default().of_host(id.clone()),
            dispatch: dispatch::Controller::default(),
            engines: engine_watch::Controller::new(id.clone()),
            table: follower::Controller::new(id.clone()),
            upstreams: upstream_list::Controller::new(id.clone()),
            drain: drain::Controller::new(drain_config(id, &shared.settings)),
            members: membership::Controller::new(config),
            shared,
        }
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH_COUNT);
        loop {
            let wait = inputs.recv_many(&mut batch, BATCH_COUNT);
            match timeout(TICK, wait).await {
                Ok(0) => return,
                Ok(_) => {
                    sleep(GATHER).await;
                    while batch.len() < BATCH_COUNT
                        && let Ok(input) = inputs.try_recv()
                    {
                        batch.push(input);
                    }
                }
                Err(_) => {}
            }
            self.shared.pause.wait().await;
            for input in batch.drain(..) {
                self.take(input);
            }
            self.round();
            if self.shared.is_ended() {
                return;
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Submit { spec, reply } => self.take_submit(spec, reply),
            Input::Pull { request, reply } => self.take_pull(request, reply),
            Input::Step(event) => self.take_step(event),
            Input::Enqueue { request, turn } => {
                self.turns.insert(request.ticket, turn);
                self.inboxes
                    .dispatch
                    .push(dispatch::Event::Enqueue(request));
            }
            Input::Dispatch(event) => self.take_dispatch(event),
            Input::Engine(event) => self.inboxes.engines.push(event),
            Input::Table(event) => self.inboxes.table.push(event),
            Input::Listed(listed) => self.take_list(listed),
            Input::Member(event) => self.inboxes.members.push(event),
            Input::Decided(decision) => self.decisions.push(decision),
            Input::Explain { id, reply } => {
                let records = self.ring.find(&id).cloned().collect();
                let _ = reply.send(records);
            }
            Input::Burn { reply } => drop(reply),
            Input::Upstreams(event) => self.inboxes.upstreams.push(event),
            Input::Drain(requester) => {
                self.inboxes.drain.push(drain::Event::Requested(requester));
            }
        }
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
        self.inboxes.upstreams.push(list);
    }

    fn take_submit(&mut self, spec: peer::StepSpec, reply: oneshot::Sender<peer::SubmitReply>) {
        let call = self.calls.number();
        self.calls.submits.insert(call, reply);
        let spec = Arc::new(messages::read_spec(spec));
        self.inboxes
            .steps
            .push(step::Event::Submitted { call, spec });
    }

    fn take_pull(&mut self, request: peer::PullRequest, reply: oneshot::Sender<peer::PullReply>) {
        let call = self.calls.number();
        self.calls.pulls.insert(call, reply);
        let pull = messages::read_pull(request);
        self.inboxes.steps.push(step::Event::Pulled { call, pull });
    }

    fn take_step(&mut self, event: step::Event) {
        if let step::Event::Finished { attempt, .. } | step::Event::Failed { attempt, .. } = &event
            && let Some(ended) = self.attempts.remove(attempt)
        {
            self.router.on_done(&ended.engine);
        }
        self.inboxes.steps.push(event);
    }

    fn take_dispatch(&mut self, event: dispatch::Event) {
        if let dispatch::Event::Finished { ticket, .. }
        | dispatch::Event::Cancelled { ticket, .. } = &event
        {
            self.turns.remove(ticket);
        }
        self.inboxes.dispatch.push(event);
    }

    /// Runs all controllers once, and publishes what they wrote.
    fn round(&mut self) {
        for action in round!(self, members, members) {
            self.act_on_member(action);
        }
        for action in round!(self, upstreams, upstreams) {
            self.act_on_upstream(action);
        }
        self.report_open_work();
        for action in round!(self, drain, drain) {
            self.act_on_drain(&action);
        }
        for action in round!(self, table, table) {
            effects::follow_table(&self.shared, action);
        }
        for action in round!(self, engines, engines) {
            effects::poll_engine(&self.shared, &self.board, action);
        }
        self.router.refresh(&self.board);
        for action in round!(self, steps, steps) {
            self.act_on_step(action);
        }
        for action in round!(self, dispatch, dispatch) {
            self.act_on_dispatch(action);
        }
        self.board.ready = self.board.ready || self.is_ready();
        self.shared.snapshot.store(Arc::new(self.board.clone()));
        self.keep_decisions();
    }

    /// Says whether this host knows the table, the upstreams and the others, so
    /// that it refuses nothing that an older host would take.
    fn is_ready(&self) -> bool {
        let has_list = !self.shared.settings.platform.host_list_url.is_empty();
        let knows_upstreams = !has_list || !self.board.upstreams.members.is_empty();
        let knows_hosts = self.members.is_joined() || self.shared.clock.now() > JOIN_TIMEOUT;
        self.board.rows.revision > 0 && knows_upstreams && knows_hosts
    }

    fn keep_decisions(&mut self) {
        for decision in &self.decisions {
            tracing::debug!(kind = %decision.kind, what = %decision.what, subjects = ?decision.subjects, "decided");
        }
        let host = &self.shared.settings.host.id;
        let records = self.decisions.drain(..).map(|mut decision| {
            decision.host.clone_from(host);
            decision
        });
        self.ring.extend(records);
    }

    fn act_on_member(&mut self, action: membership::Action) {
        match action {
            membership::Action::Send { to, heartbeat } => {
                if let Err(error) = self.transport.send(&heartbeat, to) {
                    tracing::debug!(%to, %error, "a heartbeat was not sent");
                }
            }
            membership::Action::PeerRevision { host, revision } => {
                self.inboxes
                    .table
                    .push(follower::Event::PeerAnnounced { host, revision });
            }
            membership::Action::PeerServed { .. } => {}
            membership::Action::PeerNotice(notice) => {
                let noticed = upstream_list::Event::PeerNotice(notice);
                self.inboxes.upstreams.push(noticed);
            }
            membership::Action::Superseded { incarnation } => {
                tracing::error!(incarnation, "another process runs under this host's name");
                self.shared.end();
            }
        }
    }

    fn act_on_upstream(&mut self, action: upstream_list::Action) {
        match action {
            upstream_list::Action::Ask { upstream, address } => {
                let known = self.board.upstreams.members.get(&upstream);
                if let Some(kind) = known.map(|known| known.kind) {
                    effects::ask_upstream(&self.shared, upstream, address, kind);
                }
            }
            upstream_list::Action::Notify(notice) => {
                self.inboxes
                    .members
                    .push(membership::Event::Noticed(notice));
            }
        }
    }

    /// Tells a stop that is under way what it still waits for.
    fn report_open_work(&mut self) {
        if !self.board.draining {
            return;
        }
        let open = drain::OpenWork {
            accepting: !self.board.refusing,
            request_count: self.shared.open_work.count(),
            ..drain::OpenWork::default()
        };
        self.inboxes.drain.push(drain::Event::Open(open));
    }

    fn act_on_drain(&mut self, action: &drain::Action) {
        match action {
            drain::Action::AnnounceLeaving => {
                self.inboxes.members.push(membership::Event::Leave);
            }
            drain::Action::Exit {
                outcome,
                open_count,
            } => {
                tracing::info!(%outcome, open_count, "the stop is complete");
                self.shared.end();
            }
            // The blackboard tells the traffic threads of these, and the step
            // controller hands over by itself.
            drain::Action::StopReadiness
            | drain::Action::StopAccepting
            | drain::Action::HandOver(_) => {}
        }
    }

    fn act_on_step(&mut self, action: step::Action) {
        match action {
            step::Action::Accept { call, result } => {
                if let Some(reply) = self.calls.submits.remove(&call) {
                    let _ = reply.send(self.submit_reply(result));
                }
            }
            step::Action::Reply { call, reply } => {
                if let Some(waiting) = self.calls.pulls.remove(&call) {
                    let owner = &self.shared.settings.host.id;
                    let _ = waiting.send(messages::write_reply(reply, owner));
                }
            }
            step::Action::Dispatch(dispatch) => self.dispatch_sample(&dispatch),
            step::Action::Cancel { attempt } => {
                if let Some(cancelled) = self.attempts.remove(&attempt) {
                    cancelled.task.abort();
                    self.router.on_done(&cancelled.engine);
                }
            }
            step::Action::HandOver(handover) => effects::hand_over(&self.shared, &handover),
        }
    }

    fn submit_reply(&self, result: Result<(), step::SubmitError>) -> peer::SubmitReply {
        peer::SubmitReply {
            accepted: result.is_ok(),
            refusal: result
                .err()
                .map(|error| error.to_string())
                .unwrap_or_default(),
            owner: self.shared.settings.host.id.to_string(),
        }
    }

    /// Chooses the engine of an attempt, and starts it at the engine's
    /// dispatcher.
    fn dispatch_sample(&mut self, dispatch: &step::Dispatch) {
        let exclude = dispatch.avoid.as_slice();
        let chosen = self
            .choose_engine(dispatch, exclude)
            .or_else(|| self.choose_engine(dispatch, &[]));
        let Some(engine) = chosen else {
            self.inboxes.steps.push(no_engine(dispatch.attempt));
            return;
        };
        self.router.on_sent(&engine);
        let attempt = effects::start_attempt(&self.shared, &self.board, dispatch, engine);
        self.attempts.insert(dispatch.attempt, attempt);
    }

    fn choose_engine(
        &mut self,
        dispatch: &step::Dispatch,
        exclude: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let prefix = prefix_hashes(&dispatch.prompt_tokens);
        let request = routing::Request {
            row: &dispatch.slot.trainer,
            pool: MODEL_POOL,
            class: Class::Rollout,
            prefix: &prefix,
            prompt_tokens: messages::count(&dispatch.prompt_tokens),
            predicted_tokens: dispatch.expected_tokens,
            min_version: dispatch.min_version,
            exclude,
        };
        let now = self.shared.clock.now();
        self.router
            .choose(&self.board, &request, now, &mut self.rng)
    }

    fn act_on_dispatch(&mut self, action: dispatch::Action) {
        match action {
            dispatch::Action::Start { ticket, not_after } => {
                if let Some(start) = self
                    .turns
                    .get_mut(&ticket)
                    .and_then(|turn| turn.start.take())
                {
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

fn drain_config(own: HostId, settings: &Settings) -> drain::Config {
    drain::Config {
        own,
        grace: Duration::from_millis(settings.drain.grace_ms),
        bound: Duration::from_millis(settings.drain.bound_ms),
    }
}

/// Says that no engine may take an attempt now.
fn no_engine(attempt: AttemptNumber) -> step::Event {
    step::Event::Failed {
        attempt,
        failure: step::Failure {
            not_run: true,
            retry_after: NO_ENGINE_DELAY,
            proved: None,
        },
    }
}

/// Hashes the blocks of a prompt, each with all before it.
fn prefix_hashes(tokens: &[u32]) -> Vec<BlockHash> {
    let mut last = 0;
    tokens
        .chunks_exact(routing::BLOCK_TOKENS as usize)
        .map(|block| {
            let bytes = block
                .iter()
                .flat_map(|token| token.to_le_bytes())
                .collect::<Vec<_>>();
            last = xxh3_64_with_seed(&bytes, last);
            last
        })
        .collect()
}
