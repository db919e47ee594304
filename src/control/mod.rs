//! All controllers of one host, combined without I/O.
//!
//! The entry host's control thread and the replay of traces run the same
//! [`Control`]: inputs go in, effects come out (see docs/ARCHITECTURE.md).
//!
//! Read in this order: `blackboard` for the shared state, `controller` for the
//! trait, `decision` for the records of decisions, `message` for the inputs and
//! effects.

pub mod blackboard;
pub mod controller;
pub mod decision;
pub mod message;

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use rand::SeedableRng as _;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, TableStanding},
        controller::{Controller as _, Rng, Round},
        decision::{Decision, Ring},
    },
    engine::{
        cache_index::BlockHash,
        rendezvous,
        routing::{self, Policy},
        upstream_list, watch,
    },
    host::{drain, membership},
    ids::{AttemptNumber, HostId, Incarnation, RowId, TokenId, UpstreamId},
    settings::Settings,
    share::{
        allowance::LimitKind,
        dispatch::{self, Dispatcher},
        fairness::{Class, Ranking, Ticket},
        ledger, quota,
    },
    step,
    store::follower,
};

pub use crate::control::message::{Effect, Exchange, Input};

/// The pool that trainers' samples are generated in.
pub const MODEL_POOL: &str = "base";

/// The maximum time between two rounds; an input triggers the next round
/// earlier.
pub const TICK: Duration = Duration::from_millis(100);

/// The delay before the choice of an engine is repeated when none may take an
/// attempt.
const NO_ENGINE_DELAY: Duration = Duration::from_millis(200);

/// How long a new host waits for other hosts before it serves alone.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// How long engine reports are batched. Applying reports copies the section of
/// all engines, since traffic threads still hold the previous copy.
const ENGINE_BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two reports of the dispatcher's loads.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The inputs of one round, by controller.
#[derive(Debug, Default)]
struct Inboxes {
    steps: Vec<step::Event>,
    dispatch: Vec<dispatch::Event>,
    engines: Vec<watch::Event>,
    table: Vec<follower::Event>,
    members: Vec<membership::Event>,
    upstreams: Vec<upstream_list::Event>,
    drain: Vec<drain::Event>,
    ledger: Vec<ledger::Event>,
    quota: Vec<quota::Event>,
}

/// All controllers of one host with its blackboard.
///
/// The policy that chooses engines and the ranking of the queues are type
/// parameters, so that baselines run in the same code as the real ones.
#[derive(Debug)]
pub struct Control<P, R> {
    board: Blackboard,
    rng: Rng,
    decisions: Vec<Decision>,
    ring: Ring,
    inboxes: Inboxes,
    effects: Vec<Effect>,
    attempts: BTreeMap<AttemptNumber, UpstreamId>,
    own_id: HostId,
    has_upstream_list: bool,
    next_load_report_at: Timestamp,
    next_engine_batch_at: Timestamp,
    router: P,
    steps: step::Controller,
    dispatch: Dispatcher<R>,
    engines: watch::Controller,
    table: follower::Controller,
    members: membership::Controller,
    upstreams: upstream_list::Controller,
    drain: drain::Controller,
    ledger: ledger::Controller,
    quota: quota::Controller,
}

/// Runs one round of a controller over its inbox.
macro_rules! round {
    ($control:ident, $controller:ident, $now:ident) => {{
        let events = mem::take(&mut $control.inboxes.$controller);
        let round = Round {
            board: &mut $control.board,
            now: $now,
            rng: &mut $control.rng,
            decisions: &mut $control.decisions,
        };
        $control.$controller.run(events, round)
    }};
}

impl<P: Policy, R: Ranking> Control<P, R> {
    /// Creates the controllers of one incarnation of a host.
    pub fn new(settings: &Settings, incarnation: Incarnation, router: P, now: Timestamp) -> Self {
        let own_id = settings.host.id.clone();
        let split = quota_split(settings);
        Self {
            board: Blackboard::default(),
            // Hosts that start at the same moment must draw different numbers.
            rng: Rng::seed_from_u64(xxh3_64_with_seed(own_id.as_bytes(), incarnation)),
            decisions: Vec::new(),
            ring: Ring::default(),
            inboxes: Inboxes::default(),
            effects: Vec::new(),
            attempts: BTreeMap::new(),
            has_upstream_list: !settings.platform.host_list_url.is_empty(),
            next_load_report_at: now,
            next_engine_batch_at: now,
            router,
            steps: step::Controller::default().with_host(own_id.clone()),
            dispatch: Dispatcher::default(),
            engines: watch::Controller::new(own_id.clone()),
            table: follower::Controller::new(own_id.clone()),
            members: membership::Controller::new(membership::Config::from_settings(
                settings,
                incarnation,
            )),
            upstreams: upstream_list::Controller::new(own_id.clone()),
            drain: drain::Controller::new(drain_config(settings)),
            ledger: ledger::Controller::new(own_id.clone(), incarnation),
            quota: quota::Controller::new(own_id.clone(), split, now),
            own_id,
        }
    }

    /// Returns the blackboard, for publication or inspection.
    pub const fn board(&self) -> &Blackboard {
        &self.board
    }

    /// Returns the decision records.
    pub const fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns the counters of work done and lost on samples.
    pub fn counters(&self) -> step::Counters {
        self.steps.counters()
    }

    /// Queues an input for the next round.
    pub fn enqueue(&mut self, input: Input) {
        match input {
            Input::Step(event) => self.enqueue_step(event),
            Input::Dispatch(event) => self.inboxes.dispatch.push(event),
            Input::Engine(event) => self.inboxes.engines.push(event),
            Input::Table(event) => self.inboxes.table.push(event),
            Input::Member(event) => self.inboxes.members.push(event),
            Input::Upstreams(event) => self.inboxes.upstreams.push(event),
            Input::Exchange { from, message } => self.enqueue_exchange(from, message),
            Input::Decided(decision) => self.decisions.push(decision),
            Input::Drain(requester) => {
                self.inboxes.drain.push(drain::Event::Requested(requester));
            }
        }
    }

    fn enqueue_step(&mut self, event: step::Event) {
        if let step::Event::Finished { attempt, .. } | step::Event::Failed { attempt, .. } = &event
            && let Some(engine) = self.attempts.remove(attempt)
        {
            self.router.on_done(&engine);
        }
        self.inboxes.steps.push(event);
    }

    fn enqueue_exchange(&mut self, from: HostId, message: Exchange) {
        match message {
            Exchange::Ledger(message) => {
                let received = ledger::Event::Received { from, message };
                self.inboxes.ledger.push(received);
            }
            Exchange::Quota(message) => {
                let received = quota::Event::Received { from, message };
                self.inboxes.quota.push(received);
            }
        }
    }

    /// Runs all controllers once; `open_count` is the number of open requests
    /// that a planned stop waits for.
    pub fn run(&mut self, now: Timestamp, open_count: usize) -> Vec<Effect> {
        for action in round!(self, members, now) {
            self.act_on_member(action);
        }
        for action in round!(self, upstreams, now) {
            self.act_on_upstream(action);
        }
        self.report_open_work(open_count);
        for action in round!(self, drain, now) {
            self.act_on_drain(&action);
        }
        let table_actions = round!(self, table, now);
        self.effects
            .extend(table_actions.into_iter().map(Effect::ReadTable));
        if now >= self.next_engine_batch_at {
            self.next_engine_batch_at = now + ENGINE_BATCH_INTERVAL;
            for action in round!(self, engines, now) {
                self.act_on_engine(action);
            }
        }
        self.router.refresh(&self.board);
        for action in round!(self, steps, now) {
            self.act_on_step(action, now);
        }
        self.run_share_controllers(now);
        let dispatched = round!(self, dispatch, now);
        self.effects
            .extend(dispatched.into_iter().map(Effect::Dispatch));
        let is_current = self.board.rows.standing == TableStanding::Current;
        self.board.ready = is_current && (self.board.ready || self.is_ready(now));
        self.store_decisions();
        mem::take(&mut self.effects)
    }

    /// Updates the dispatcher's share corrections and its part of the rows'
    /// limits.
    ///
    /// Quota is lent according to the present usage, and lent quota must no
    /// longer be used here; so usage, loans and allowances change in the same
    /// round.
    fn run_share_controllers(&mut self, now: Timestamp) {
        let is_due = now >= self.next_load_report_at || !self.inboxes.quota.is_empty();
        if is_due {
            self.next_load_report_at = now + LOAD_REPORT_INTERVAL;
            self.report_loads();
        }
        for action in round!(self, ledger, now) {
            let ledger::Action::Send { to, message } = action;
            let message = Exchange::Ledger(Arc::unwrap_or_clone(message));
            self.effects.push(Effect::SendMessage { to, message });
        }
        if !is_due {
            return;
        }
        for action in round!(self, quota, now) {
            let quota::Action::Send { to, message } = action;
            let message = Exchange::Quota(message);
            self.effects.push(Effect::SendMessage { to, message });
        }
        self.dispatch.set_corrections(self.ledger.corrections());
        let allowances = self.quota.allowances(&self.board.rows, now);
        self.dispatch.set_allowances(allowances);
    }

    fn report_loads(&mut self) {
        let loads = self.dispatch.loads();
        for (row, load) in &loads {
            let used = u64::from(load.running_count);
            let usage = quota::Event::Usage {
                row: RowId::clone(row),
                kind: LimitKind::RunningSamples,
                used,
                demand: used + u64::from(load.waiting_count),
            };
            self.inboxes.quota.push(usage);
        }
        self.inboxes.ledger.push(ledger::Event::Loads(loads));
    }

    /// Returns whether this host knows the table, the upstreams and the other
    /// hosts, so that it refuses nothing that an established host would accept.
    fn is_ready(&self, now: Timestamp) -> bool {
        let has_upstreams = !self.has_upstream_list || !self.board.upstreams.members.is_empty();
        let has_joined = self.members.is_joined() || now > JOIN_TIMEOUT;
        self.board.rows.revision > 0 && has_upstreams && has_joined
    }

    fn store_decisions(&mut self) {
        let own_id = &self.own_id;
        let records = self.decisions.drain(..).map(|mut decision| {
            decision.host.clone_from(own_id);
            decision
        });
        self.ring.extend(records);
    }

    fn act_on_member(&mut self, action: membership::Action) {
        match action {
            membership::Action::Send { to, heartbeat } => {
                self.effects.push(Effect::SendHeartbeat { to, heartbeat });
            }
            membership::Action::PeerRevision { host, revision } => {
                let event = follower::Event::PeerAnnounced { host, revision };
                self.inboxes.table.push(event);
            }
            // The ledger exchanges served tokens in its own messages, over its
            // tree.
            membership::Action::PeerServed { .. } => {}
            membership::Action::PeerNotice(notice) => {
                let event = upstream_list::Event::PeerNotice(notice);
                self.inboxes.upstreams.push(event);
            }
            membership::Action::Superseded { incarnation } => {
                tracing::error!(incarnation, "another process runs under this host's name");
                self.effects.push(Effect::Exit { outcome: None });
            }
        }
    }

    fn act_on_upstream(&mut self, action: upstream_list::Action) {
        match action {
            upstream_list::Action::Ask { upstream, address } => {
                let known = self.board.upstreams.members.get(&upstream);
                if let Some(kind) = known.map(|known| known.kind) {
                    self.effects.push(Effect::AskUpstream {
                        upstream,
                        kind,
                        address,
                    });
                }
            }
            upstream_list::Action::Notify(notice) => {
                let event = membership::Event::Noticed(notice);
                self.inboxes.members.push(event);
            }
        }
    }

    /// Reports to the drain controller the open work that a planned stop still
    /// waits for.
    fn report_open_work(&mut self, open_count: usize) {
        if !self.board.draining {
            return;
        }
        let open = drain::OpenWork {
            accepting: !self.board.refusing,
            request_count: open_count,
            ..drain::OpenWork::default()
        };
        self.inboxes.drain.push(drain::Event::Open(open));
    }

    fn act_on_drain(&mut self, action: &drain::Action) {
        match action {
            drain::Action::AnnounceLeaving => {
                self.inboxes.members.push(membership::Event::Leave);
            }
            drain::Action::Exit { outcome, .. } => {
                let outcome = Some(*outcome);
                self.effects.push(Effect::Exit { outcome });
            }
            // Traffic threads read the first two from the blackboard, and the
            // step controller starts handovers by itself.
            drain::Action::StopReadiness
            | drain::Action::StopAccepting
            | drain::Action::HandOver(_) => {}
        }
    }

    fn act_on_engine(&mut self, action: watch::Action) {
        let watch::Action::Poll { engine } = action;
        let known = self.board.upstreams.members.get(&engine);
        let address = known.map(|known| known.address);
        self.effects.push(Effect::PollEngine { engine, address });
    }

    fn act_on_step(&mut self, action: step::Action, now: Timestamp) {
        match action {
            step::Action::Accept { call, result } => {
                self.effects.push(Effect::Accept { call, result });
            }
            step::Action::Reply { call, reply } => {
                self.effects.push(Effect::Reply { call, reply });
            }
            step::Action::Dispatch(dispatch) => self.start_attempt(dispatch, now),
            step::Action::Cancel { attempt } => {
                if let Some(engine) = self.attempts.remove(&attempt) {
                    self.router.on_done(&engine);
                }
                self.effects.push(Effect::CancelAttempt { attempt });
            }
            step::Action::HandOver(handover) => self.effects.push(Effect::HandOver(handover)),
        }
    }

    /// Chooses the engine of an attempt and the host that queues for it.
    fn start_attempt(&mut self, dispatch: Box<step::Dispatch>, now: Timestamp) {
        let exclude = dispatch.avoid.as_slice();
        let chosen = self
            .choose_engine(&dispatch, exclude, now)
            .or_else(|| self.choose_engine(&dispatch, &[], now));
        let Some(engine) = chosen else {
            self.inboxes.steps.push(no_engine_failure(dispatch.attempt));
            return;
        };
        self.router.on_sent(&engine);
        self.attempts.insert(dispatch.attempt, engine.clone());
        let live = self.board.hosts.live().map(|host| &host.id);
        let dispatcher = rendezvous::engine_dispatcher(&engine, live).cloned();
        self.effects.push(Effect::StartAttempt {
            dispatch,
            engine,
            dispatcher,
        });
    }

    fn choose_engine(
        &mut self,
        dispatch: &step::Dispatch,
        exclude: &[UpstreamId],
        now: Timestamp,
    ) -> Option<UpstreamId> {
        let prefix = prefix_hashes(&dispatch.prompt_tokens);
        let request = routing::Request {
            row: &dispatch.slot.trainer,
            pool: MODEL_POOL,
            class: Class::Rollout,
            prefix: &prefix,
            prompt_tokens: u32::try_from(dispatch.prompt_tokens.len()).unwrap_or(u32::MAX),
            predicted_tokens: dispatch.expected_tokens,
            min_version: dispatch.min_version,
            exclude,
        };
        self.router
            .choose(&self.board, &request, now, &mut self.rng)
    }

    /// Returns the number of requests queued for `engine`, for the figures of a
    /// replay.
    pub fn waiting_count(&self, engine: &UpstreamId) -> usize {
        self.dispatch.waiting_count(engine)
    }
}

/// Returns the entry of an attempt in the dispatcher's queue.
pub fn queue_entry(
    dispatch: &step::Dispatch,
    engine: &UpstreamId,
    ticket: Ticket,
    deadline: Timestamp,
) -> dispatch::Request {
    let count = |tokens: &[TokenId]| u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    let resumed_tokens = count(&dispatch.resume.tokens);
    dispatch::Request {
        ticket,
        engine: engine.clone(),
        row: dispatch.slot.trainer.clone(),
        class: Class::Rollout,
        priority: dispatch.priority,
        prompt_tokens: count(&dispatch.prompt_tokens) + resumed_tokens,
        predicted_tokens: dispatch
            .expected_tokens
            .saturating_sub(resumed_tokens)
            .max(1),
        deadline,
    }
}

/// Returns the part of the rows' limits that a host may use.
pub fn quota_split(settings: &Settings) -> quota::Split {
    quota::Split {
        ordinal: settings.host.ordinal,
        host_count: settings.limits.max_hosts_count,
        max_run: Duration::from_millis(settings.limits.max_sample_ms),
    }
}

fn drain_config(settings: &Settings) -> drain::Config {
    drain::Config {
        own: settings.host.id.clone(),
        grace: Duration::from_millis(settings.drain.grace_ms),
        bound: Duration::from_millis(settings.drain.bound_ms),
    }
}

/// Returns the event of a failed attempt that no engine may take now.
fn no_engine_failure(attempt: AttemptNumber) -> step::Event {
    step::Event::Failed {
        attempt,
        failure: step::Failure {
            not_run: true,
            retry_after: NO_ENGINE_DELAY,
            proved: None,
        },
    }
}

/// Returns the hash of each block of a prompt, combined with all blocks before
/// it.
fn prefix_hashes(tokens: &[TokenId]) -> Vec<BlockHash> {
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
