//! Starts queued requests on the engines that this host dispatches for.
//!
//! Each engine has one dispatcher, chosen by rendezvous hashing. It keeps a
//! weighted fair queue for the engine and starts as many requests as the engine
//! batches (see docs/design/shares.md). A request that cannot be started in time
//! is refused at once, with the time after which the caller should retry.

use std::{collections::BTreeMap, time::Duration};

pub use crate::share::queue_event::{Action, Event, Refusal, Request};
use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, UpstreamState},
        controller::{self, Round},
        decision::{Decision, Kind},
    },
    ids::{RowId, UpstreamId},
    share::{
        Shares,
        fairness::{Cost, Entry, Ranking, Ticket, Weighted},
        lane::{Lane, Pending, Running},
        quota::Allowances,
        shares,
    },
};

/// The maximum number of requests of one row that wait for one engine.
pub const MAX_WAITING_PER_ROW: usize = 512;

/// The bounds of the time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How long after the decision to start a request it may still be sent.
pub const START_VALIDITY: Duration = Duration::from_millis(500);

/// The dispatcher of one host, with rows ranked by `R`.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     Row,
///     control::{blackboard::{Blackboard, Rows, Upstream, UpstreamKind, UpstreamState, Upstreams}, controller::{Controller as _, Rng, Round}},
///     share::{dispatch::{Action, Controller, Event, Request}, fairness::Class},
/// };
/// use rand::SeedableRng;
/// use std::time::Duration;
///
/// let mut rows = Rows::default();
/// rows.rows.insert("guides".into(), Row::new("guides").into());
/// let mut upstreams = Upstreams::default();
/// upstreams.members.insert(
///     "engine-1".into(),
///     Upstream {
///         id: "engine-1".into(),
///         kind: UpstreamKind::Engine,
///         pool: "base".into(),
///         address: ([127, 0, 0, 1], 8000).into(),
///         failure_domain: "mx-a".into(),
///         state: UpstreamState::Live,
///         checks_fences: true,
///     },
/// );
/// let mut board = Blackboard {
///     rows: rows.into(),
///     upstreams: upstreams.into(),
///     ..Blackboard::default()
/// };
/// let actions = Controller::default().run(
///     [Event::Enqueue(Request {
///         ticket: 1,
///         engine: "engine-1".into(),
///         row: "guides".into(),
///         class: Class::Rollout,
///         priority: 0,
///         prompt_tokens: 100,
///         predicted_tokens: 400,
///         deadline: Duration::from_secs(60),
///     })],
///     Round {
///         board: &mut board,
///         now: Duration::from_secs(1),
///         rng: &mut Rng::seed_from_u64(1),
///         decisions: &mut Vec::new(),
///     },
/// );
/// assert!(matches!(actions[..], [Action::Start { ticket: 1, .. }]));
/// ```
#[derive(Debug)]
pub struct Dispatcher<R> {
    lanes: BTreeMap<UpstreamId, Lane<R>>,
    /// The engine of each request that waits or runs.
    engines: BTreeMap<Ticket, UpstreamId>,
    shares: Shares,
    /// The shares multiplied by the ledger's corrections.
    corrected_shares: Shares,
    corrections: BTreeMap<RowId, f64>,
    allowances: Allowances,
    /// Tokens counted by lanes that were removed.
    retired_tokens: BTreeMap<RowId, f64>,
}

/// What one host has served, and has queued and running, for one row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RowLoad {
    /// Tokens counted since the start; only refunds lower this.
    pub counted_tokens: f64,
    /// The predicted cost of the waiting requests.
    pub backlog_tokens: f64,
    /// Running requests.
    pub running_count: u32,
    /// Waiting requests.
    pub waiting_count: u32,
}

/// The dispatcher that gives each row its share.
pub type Controller = Dispatcher<Weighted>;

impl<R> Default for Dispatcher<R> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            engines: BTreeMap::new(),
            shares: Shares::new(),
            corrected_shares: Shares::new(),
            corrections: BTreeMap::new(),
            allowances: Allowances::new(),
            retired_tokens: BTreeMap::new(),
        }
    }
}

impl<R: Ranking> Dispatcher<R> {
    /// Sets the factors by which the fleet's ledger corrects local shares.
    pub fn set_corrections(&mut self, corrections: BTreeMap<RowId, f64>) {
        self.corrections = corrections;
    }

    /// Sets this host's part of the rows' limits.
    pub fn set_allowances(&mut self, allowances: Allowances) {
        self.allowances = allowances;
    }

    /// Returns this host's load by row.
    pub fn loads(&self) -> BTreeMap<RowId, RowLoad> {
        let mut loads: BTreeMap<RowId, RowLoad> = BTreeMap::new();
        for (row, &tokens) in &self.retired_tokens {
            loads.entry(row.clone()).or_default().counted_tokens += tokens;
        }
        for lane in self.lanes.values() {
            for row in lane.queue.row_ids() {
                let load = loads.entry(row.clone()).or_default();
                load.counted_tokens += lane.queue.counted_tokens_of(row);
                load.backlog_tokens += lane.queue.backlog_tokens_of(row);
                load.running_count += lane.queue.running_of(row);
                let waiting = lane.queue.waiting_of(row);
                load.waiting_count += u32::try_from(waiting).unwrap_or(u32::MAX);
            }
        }
        loads
    }

    /// Returns how many requests wait for `engine`.
    pub fn waiting_count(&self, engine: &UpstreamId) -> usize {
        self.lanes.get(engine).map_or(0, |lane| lane.queue.len())
    }

    fn enqueue(&mut self, request: Request, board: &Blackboard, now: Timestamp) -> Option<Action> {
        let ticket = request.ticket;
        if let Some(reason) = refusal_reason(&request, &self.shares, board) {
            return Some(refuse(ticket, reason, MIN_RETRY_AFTER));
        }
        let lane = self.lanes.entry(request.engine.clone()).or_default();
        lane.observe(board.engines.reports.get(&request.engine), now);
        let cost = Cost {
            prompt_tokens: request.prompt_tokens,
            generated_tokens: request.predicted_tokens,
        };
        let waiting_tokens = lane.queue.backlog_tokens_of(&request.row);
        if lane.queue.waiting_of(&request.row) >= MAX_WAITING_PER_ROW {
            let wait = lane.estimate_wait(&request.row, waiting_tokens / 2.0, &self.shares);
            return Some(refuse(ticket, Refusal::QueueFull, wait));
        }
        let ahead_tokens = if lane.free_slots() > lane.queue.len() {
            0.0
        } else {
            waiting_tokens
        };
        let wait = lane.estimate_wait(&request.row, ahead_tokens, &self.shares);
        let run = lane.token_time * request.predicted_tokens;
        if now + wait + run > request.deadline {
            return Some(refuse(ticket, Refusal::DeadlineUnreachable, wait));
        }
        lane.record_return(&request.row, &self.corrected_shares, now);
        lane.deadlines.insert((request.deadline, ticket));
        lane.queue.push(Entry {
            ticket,
            row: request.row,
            class: request.class,
            priority: request.priority,
            cost,
            item: Pending {
                deadline: request.deadline,
            },
        });
        self.engines.insert(ticket, request.engine);
        None
    }

    fn progress(&mut self, ticket: Ticket, tokens: u32) {
        let Some(lane) = lane_of(&mut self.lanes, &self.engines, ticket) else {
            return;
        };
        lane.queue.progress(ticket, tokens);
        if let Some(running) = lane.running.get_mut(&ticket) {
            running.generated_tokens = running.generated_tokens.max(tokens);
        }
    }

    fn finish(&mut self, ticket: Ticket, tokens: u32) {
        if let Some(lane) = lane_of(&mut self.lanes, &self.engines, ticket) {
            if let Some(running) = lane.running.remove(&ticket) {
                lane.ended_count += 1;
                lane.reserved_for.extend(running.preempted_for);
                lane.queue
                    .settle(ticket, tokens.max(running.generated_tokens));
            } else {
                lane.cancel_waiting(ticket);
            }
        }
        self.engines.remove(&ticket);
    }

    fn apply_shares(&mut self, board: &Blackboard) {
        self.shares = shares(&board.rows);
        self.corrected_shares = self
            .shares
            .iter()
            .map(|(row, share)| {
                let correction = self.corrections.get(row).copied().unwrap_or(1.0);
                (row.clone(), share * correction)
            })
            .collect();
        for lane in self.lanes.values_mut() {
            lane.queue.set_shares(&self.corrected_shares);
        }
    }

    /// Refuses waiting requests of engines that accept no new requests, of disabled
    /// rows, and past their deadlines.
    fn shed(&mut self, board: &Blackboard, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        for (engine, lane) in &mut self.lanes {
            lane.observe(board.engines.reports.get(engine), now);
            let closed = closed_reason(engine, board);
            let waiting: Vec<Ticket> = match closed {
                Some(_) => lane.queue.waiting().map(|entry| entry.ticket).collect(),
                None => late_or_disabled(lane, &self.shares, now),
            };
            for ticket in waiting {
                let Some(entry) = lane.cancel_waiting(ticket) else {
                    continue;
                };
                self.engines.remove(&ticket);
                let reason = match closed {
                    Some(reason) => reason,
                    None if self.shares.contains_key(&entry.row) => Refusal::DeadlineUnreachable,
                    None => Refusal::RowDisabled,
                };
                let wait = lane.estimate_wait(
                    &entry.row,
                    lane.queue.backlog_tokens_of(&entry.row),
                    &self.shares,
                );
                let retry_after = if closed.is_some() {
                    MIN_RETRY_AFTER
                } else {
                    wait
                };
                actions.push(refuse(ticket, reason, retry_after));
            }
        }
        actions
    }

    fn start(&mut self, now: Timestamp) -> Vec<Action> {
        let mut running: BTreeMap<RowId, u32> = BTreeMap::new();
        for lane in self.lanes.values() {
            for row in lane.queue.row_ids() {
                *running.entry(row.clone()).or_default() += lane.queue.running_of(row);
            }
        }
        let mut actions = Vec::new();
        for lane in self.lanes.values_mut() {
            for _ in 0..lane.free_slots() {
                for (row, allowance) in &self.allowances {
                    let count = running.get(row).copied().unwrap_or(0);
                    let blocked = !allowance.admits(count, lane.token_time);
                    lane.queue.set_blocked(row, blocked);
                }
                let Some(entry) = lane.pop_next() else {
                    break;
                };
                *running.entry(entry.row.clone()).or_default() += 1;
                lane.deadlines.remove(&(entry.item.deadline, entry.ticket));
                lane.running.insert(
                    entry.ticket,
                    Running {
                        row: entry.row,
                        generated_tokens: 0,
                        preempted_for: None,
                    },
                );
                actions.push(Action::Start {
                    ticket: entry.ticket,
                    not_after: now + START_VALIDITY,
                });
            }
        }
        actions
    }

    fn preempt(&mut self, now: Timestamp) -> Vec<Action> {
        if !R::ENFORCES_SHARES {
            return Vec::new();
        }
        let shares = &self.corrected_shares;
        self.lanes
            .values_mut()
            .flat_map(|lane| lane.preempt(shares, now))
            .map(|ticket| Action::Preempt { ticket })
            .collect()
    }

    /// Removes idle lanes whose engines are no longer listed.
    fn retire_lanes(&mut self, board: &Blackboard) {
        let gone: Vec<UpstreamId> = self
            .lanes
            .iter()
            .filter(|(engine, lane)| {
                lane.running.is_empty()
                    && lane.queue.is_empty()
                    && !board.upstreams.members.contains_key(*engine)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in gone {
            let Some(lane) = self.lanes.remove(&engine) else {
                continue;
            };
            for row in lane.queue.row_ids() {
                *self.retired_tokens.entry(row.clone()).or_default() +=
                    lane.queue.counted_tokens_of(row);
            }
        }
    }
}

impl<R: Ranking> controller::Controller for Dispatcher<R> {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "dispatch";

    fn run(&mut self, events: impl IntoIterator<Item = Event>, round: Round<'_>) -> Vec<Action> {
        let Round {
            board,
            now,
            decisions,
            ..
        } = round;
        self.apply_shares(board);
        let mut actions = Vec::new();
        for event in events {
            match event {
                Event::Enqueue(request) => actions.extend(self.enqueue(request, board, now)),
                Event::Progress { ticket, tokens } => self.progress(ticket, tokens),
                Event::Finished { ticket, tokens } | Event::Cancelled { ticket, tokens } => {
                    self.finish(ticket, tokens);
                }
            }
        }
        actions.extend(self.shed(board, now));
        actions.extend(self.start(now));
        actions.extend(self.preempt(now));
        self.retire_lanes(board);
        record_decisions(&actions, now, decisions);
        actions
    }
}

fn lane_of<'a, R>(
    lanes: &'a mut BTreeMap<UpstreamId, Lane<R>>,
    engines: &BTreeMap<Ticket, UpstreamId>,
    ticket: Ticket,
) -> Option<&'a mut Lane<R>> {
    lanes.get_mut(engines.get(&ticket)?)
}

/// Returns why `engine` accepts no new requests, or `None` if it does.
fn closed_reason(engine: &UpstreamId, board: &Blackboard) -> Option<Refusal> {
    let state = board
        .upstreams
        .members
        .get(engine)
        .map(|upstream| upstream.state);
    match state {
        Some(UpstreamState::Live) => None,
        Some(UpstreamState::Leaving) => Some(Refusal::EngineLeaving),
        Some(UpstreamState::Ejected | UpstreamState::Gone) | None => Some(Refusal::EngineGone),
    }
}

fn refusal_reason(request: &Request, shares: &Shares, board: &Blackboard) -> Option<Refusal> {
    if board.draining {
        return Some(Refusal::Draining);
    }
    if !shares.contains_key(&request.row) {
        return Some(Refusal::RowDisabled);
    }
    closed_reason(&request.engine, board)
}

/// Returns the waiting requests that are past their deadline or whose row is
/// disabled.
fn late_or_disabled<R: Ranking>(lane: &Lane<R>, shares: &Shares, now: Timestamp) -> Vec<Ticket> {
    let late = lane
        .deadlines
        .iter()
        .take_while(|(deadline, _)| *deadline <= now)
        .map(|(_, ticket)| *ticket);
    let disabled = lane
        .queue
        .waiting()
        .filter(|entry| !shares.contains_key(&entry.row))
        .map(|entry| entry.ticket);
    late.chain(disabled).collect()
}

fn refuse(ticket: Ticket, reason: Refusal, wait: Duration) -> Action {
    Action::Refuse {
        ticket,
        reason,
        retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}

/// Records refusals, one decision for each reason, and preemptions; starts are
/// the usual case and are not recorded.
fn record_decisions(actions: &[Action], now: Timestamp, decisions: &mut Vec<Decision>) {
    let mut refused: BTreeMap<Refusal, (usize, Duration)> = BTreeMap::new();
    let mut preempted = 0;
    for action in actions {
        match action {
            Action::Refuse {
                reason,
                retry_after,
                ..
            } => {
                let (count, longest) = refused.entry(*reason).or_default();
                *count += 1;
                *longest = (*longest).max(*retry_after);
            }
            Action::Preempt { .. } => preempted += 1,
            Action::Start { .. } => {}
        }
    }
    for (reason, (count, retry_after)) in refused {
        decisions.push(
            Decision::new(Kind::Overload, now, "refused")
                .about(<&str>::from(reason))
                .figure("refused_count", count as f64)
                .figure("retry_after_ms", retry_after.as_secs_f64() * 1e3),
        );
    }
    if preempted > 0 {
        decisions.push(
            Decision::new(Kind::Overload, now, "preempted")
                .figure("preempted_count", f64::from(preempted)),
        );
    }
}
