//! Polls the engines for their reports.
//!
//! A host polls the engines that it dispatches for frequently, and all others
//! in turn at a constant rate, so that the cost per host does not grow with the
//! fleet (docs/design/routing.md).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, EngineReport, Hosts, UpstreamKind, UpstreamState, Upstreams},
        controller::{self, Round},
        decision::{Decision, Kind},
    },
    engine::rendezvous,
    ids::{HostId, UpstreamId},
};

/// The interval between two polls of an engine that this host dispatches for.
const OWN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between two polls of engines that other hosts dispatch for, which
/// are polled one at a time.
const FOREIGN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum backlog of polls of other hosts' engines that is made up for
/// after a pause.
const MAX_BACKLOG: Duration = Duration::from_secs(1);

/// The timeout of a poll, after which the engine may be polled again.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// The time for which the last report of a silent engine remains valid.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// The result of a poll, from the code that does I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An engine reported.
    Reported {
        /// The engine.
        engine: UpstreamId,
        /// The report; the controller sets its arrival time.
        report: EngineReport,
    },
    /// An engine did not answer.
    Failed {
        /// The engine.
        engine: UpstreamId,
    },
}

/// An action for the code that does I/O to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request an engine's report.
    Poll {
        /// The engine.
        engine: UpstreamId,
    },
}

/// Schedules the polls and publishes the reports.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     Blackboard,
///     Controller as _,
///     control::controller::{Rng, Round},
///     engine::watch,
/// };
/// use rand::SeedableRng as _;
/// use std::time::Duration;
///
/// let mut watch = watch::Controller::new("entry-1");
/// let round = Round {
///     board: &mut Blackboard::default(),
///     now: Duration::ZERO,
///     rng: &mut Rng::seed_from_u64(1),
///     decisions: &mut Vec::new(),
/// };
/// assert!(watch.run([], round).is_empty());
/// ```
#[derive(Debug)]
pub struct Controller {
    host: HostId,
    /// The engines that this host dispatches for.
    own: BTreeSet<UpstreamId>,
    /// The sections of the blackboard that `own` was computed from.
    own_inputs: (Arc<Hosts>, Arc<Upstreams>),
    /// The polls in flight, with the time at which each was sent.
    in_flight: BTreeMap<UpstreamId, Timestamp>,
    next_own_at: Timestamp,
    next_foreign_at: Timestamp,
    /// The last polled engine of another host; the round-robin continues after
    /// it.
    cursor: UpstreamId,
}

impl Controller {
    /// Creates the controller of `host`.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: host.into(),
            own: BTreeSet::new(),
            own_inputs: Default::default(),
            in_flight: BTreeMap::new(),
            next_own_at: Timestamp::ZERO,
            next_foreign_at: Timestamp::ZERO,
            cursor: UpstreamId::from(""),
        }
    }

    /// Handles one event.
    fn handle(&mut self, event: Event, round: &mut Round<'_>) {
        match event {
            Event::Reported { engine, mut report } => {
                self.in_flight.remove(&engine);
                report.at = round.now;
                record_change(&engine, &report, round);
                let engines = Arc::make_mut(&mut round.board.engines);
                engines.reports.insert(engine, report);
            }
            Event::Failed { engine } => {
                self.in_flight.remove(&engine);
            }
        }
    }

    /// Removes the reports of engines that are gone or silent, and polls that
    /// timed out.
    fn remove_stale(&mut self, round: &mut Round<'_>) {
        let upstreams = round.board.upstreams.clone();
        let now = round.now;
        let is_old = |engine: &UpstreamId, report: &EngineReport| {
            !upstreams.members.contains_key(engine)
                || now.saturating_sub(report.at) > REPORT_TTL && self.own.contains(engine)
        };
        let engines = &round.board.engines;
        if engines
            .reports
            .iter()
            .any(|(id, report)| is_old(id, report))
        {
            Arc::make_mut(&mut round.board.engines)
                .reports
                .retain(|id, report| !is_old(id, report));
        }
        self.in_flight
            .retain(|_, polled_at| now.saturating_sub(*polled_at) < POLL_TIMEOUT);
    }

    /// Determines the engines that this host dispatches for, but only after a
    /// change, since this hashes each engine with each host.
    fn refresh_own(&mut self, board: &Blackboard) {
        let (hosts, upstreams) = &self.own_inputs;
        if Arc::ptr_eq(hosts, &board.hosts) && Arc::ptr_eq(upstreams, &board.upstreams) {
            return;
        }
        self.own_inputs = (board.hosts.clone(), board.upstreams.clone());
        self.own = own_engines(board, &self.host);
    }

    /// Polls the engines that this host dispatches for, if that is due.
    fn poll_own(&mut self, round: &Round<'_>) -> Vec<Action> {
        if round.now < self.next_own_at {
            return Vec::new();
        }
        self.next_own_at = round.now + OWN_POLL_INTERVAL;
        self.refresh_own(round.board);
        let due = self.own.clone();
        due.into_iter()
            .filter_map(|engine| self.poll(engine, round.now))
            .collect()
    }

    /// Polls the next engines of other hosts: as many as are due since the last
    /// round, but at most those of one second after a pause.
    fn poll_foreign(&mut self, round: &Round<'_>) -> Vec<Action> {
        let earliest = round.now.saturating_sub(MAX_BACKLOG);
        self.next_foreign_at = self.next_foreign_at.max(earliest);
        let mut actions = Vec::new();
        while self.next_foreign_at <= round.now {
            self.next_foreign_at += FOREIGN_POLL_INTERVAL;
            let Some(next) = next_engine(round.board, &self.cursor, &self.own) else {
                break;
            };
            self.cursor.clone_from(&next);
            actions.extend(self.poll(next, round.now));
        }
        actions
    }

    /// Returns the action that polls `engine`, or `None` if a poll is in flight.
    fn poll(&mut self, engine: UpstreamId, now: Timestamp) -> Option<Action> {
        if self.in_flight.contains_key(&engine) {
            return None;
        }
        self.in_flight.insert(engine.clone(), now);
        Some(Action::Poll { engine })
    }
}

impl controller::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "engine-watch";

    fn run(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        mut round: Round<'_>,
    ) -> Vec<Action> {
        for event in events {
            self.handle(event, &mut round);
        }
        let mut actions = self.poll_own(&round);
        actions.extend(self.poll_foreign(&round));
        if !actions.is_empty() {
            self.remove_stale(&mut round);
        }
        actions
    }
}

/// Records the restart of an engine or a change of its weights as a decision.
fn record_change(engine: &UpstreamId, report: &EngineReport, round: &mut Round<'_>) {
    let Some(known) = round.board.engines.reports.get(engine) else {
        return;
    };
    let what = if known.boot != report.boot {
        "engine restarted"
    } else if known.weight_version != report.weight_version {
        "engine changed weights"
    } else {
        return;
    };
    let record = Decision::new(Kind::Upstream, round.now, what)
        .about(engine.clone())
        .figure("boot", report.boot as f64)
        .figure("weight_version", report.weight_version as f64);
    round.decisions.push(record);
}

/// Returns the engines that `host` dispatches for.
fn own_engines(board: &Blackboard, host: &HostId) -> BTreeSet<UpstreamId> {
    let hosts = board.hosts.live().map(|host| &host.id).collect::<Vec<_>>();
    engines(board)
        .filter(|engine| rendezvous::engine_dispatcher(engine, hosts.iter().copied()) == Some(host))
        .cloned()
        .collect()
}

/// Returns the next engine after `cursor` that another host dispatches for,
/// wrapping around at the end.
fn next_engine(
    board: &Blackboard,
    cursor: &UpstreamId,
    own: &BTreeSet<UpstreamId>,
) -> Option<UpstreamId> {
    let after = engines(board).filter(|engine| *engine > cursor);
    after
        .chain(engines(board))
        .find(|engine| !own.contains(*engine))
        .cloned()
}

/// Returns the engines that are not gone, sorted by identifier.
fn engines(board: &Blackboard) -> impl Iterator<Item = &UpstreamId> {
    board
        .upstreams
        .members
        .values()
        .filter(|upstream| upstream.kind == UpstreamKind::Engine)
        .filter(|upstream| upstream.state != UpstreamState::Gone)
        .map(|upstream| &upstream.id)
}
