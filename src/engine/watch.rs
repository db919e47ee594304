//! Which engines are asked for their reports, and when.
//!
//! A host asks the engines that it dispatches for often, and all others in
//! turn at a constant rate, so that the cost of a host does not grow with the
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

/// The time between two reports of an engine that this host dispatches for.
const OWN_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two polls of engines that other hosts dispatch for.
const FOREIGN_INTERVAL: Duration = Duration::from_millis(100);

/// How far polls of other hosts' engines catch up after a pause.
const MAX_CATCH_UP: Duration = Duration::from_secs(1);

/// How long a poll may stay open before the engine may be asked again.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the last report of a silent engine is believed.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// What the code that does I/O tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An engine reported.
    Reported {
        /// The engine.
        engine: UpstreamId,
        /// What it said; the arrival time is filled in here.
        report: EngineReport,
    },
    /// An engine did not answer.
    Failed {
        /// The engine.
        engine: UpstreamId,
    },
}

/// What the code that does I/O shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an engine for its report.
    Poll {
        /// The engine.
        engine: UpstreamId,
    },
}

/// Watches the engines' reports.
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
    own: BTreeSet<UpstreamId>,
    /// The sections that `own` was worked out from.
    seen: (Arc<Hosts>, Arc<Upstreams>),
    open: BTreeMap<UpstreamId, Timestamp>,
    next_own_at: Timestamp,
    next_foreign_at: Timestamp,
    /// The engine after which the turn of the others goes on.
    cursor: UpstreamId,
}

impl Controller {
    /// Makes the watch of `host`.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: host.into(),
            own: BTreeSet::new(),
            seen: Default::default(),
            open: BTreeMap::new(),
            next_own_at: Timestamp::ZERO,
            next_foreign_at: Timestamp::ZERO,
            cursor: UpstreamId::from(""),
        }
    }

    fn take(&mut self, event: Event, round: &mut Round<'_>) {
        match event {
            Event::Reported { engine, mut report } => {
                self.open.remove(&engine);
                report.at = round.now;
                note_change(&engine, &report, round);
                let engines = Arc::make_mut(&mut round.board.engines);
                engines.reports.insert(engine, report);
            }
            Event::Failed { engine } => {
                self.open.remove(&engine);
            }
        }
    }

    /// Drops the reports of engines that are gone or silent.
    fn forget(&mut self, round: &mut Round<'_>) {
        let upstreams = round.board.upstreams.clone();
        let now = round.now;
        let is_old = |engine: &UpstreamId, report: &EngineReport| {
            !upstreams.members.contains_key(engine)
                || now.saturating_sub(report.at) > REPORT_LIFETIME && self.own.contains(engine)
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
        self.open
            .retain(|_, asked_at| now.saturating_sub(*asked_at) < POLL_TIMEOUT);
    }

    /// Works out which engines are this host's, but only after a change, since
    /// it hashes each engine with each host.
    fn refresh_own(&mut self, board: &Blackboard) {
        let (hosts, upstreams) = &self.seen;
        if Arc::ptr_eq(hosts, &board.hosts) && Arc::ptr_eq(upstreams, &board.upstreams) {
            return;
        }
        self.seen = (board.hosts.clone(), board.upstreams.clone());
        self.own = own_engines(board, &self.host);
    }

    fn poll_own(&mut self, round: &Round<'_>) -> Vec<Action> {
        if round.now < self.next_own_at {
            return Vec::new();
        }
        self.next_own_at = round.now + OWN_INTERVAL;
        self.refresh_own(round.board);
        let due = self.own.clone();
        due.into_iter()
            .filter_map(|engine| self.ask(engine, round.now))
            .collect()
    }

    /// Asks the next of the other engines, as many as are due since the last
    /// round but no more than a second's worth after a pause.
    fn poll_foreign(&mut self, round: &Round<'_>) -> Vec<Action> {
        let earliest = round.now.saturating_sub(MAX_CATCH_UP);
        self.next_foreign_at = self.next_foreign_at.max(earliest);
        let mut actions = Vec::new();
        while self.next_foreign_at <= round.now {
            self.next_foreign_at += FOREIGN_INTERVAL;
            let Some(next) = next_engine(round.board, &self.cursor, &self.own) else {
                break;
            };
            self.cursor.clone_from(&next);
            actions.extend(self.ask(next, round.now));
        }
        actions
    }

    fn ask(&mut self, engine: UpstreamId, now: Timestamp) -> Option<Action> {
        if self.open.contains_key(&engine) {
            return None;
        }
        self.open.insert(engine.clone(), now);
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
            self.take(event, &mut round);
        }
        let mut actions = self.poll_own(&round);
        actions.extend(self.poll_foreign(&round));
        if !actions.is_empty() {
            self.forget(&mut round);
        }
        actions
    }
}

/// Records a restart or a change of weights.
fn note_change(engine: &UpstreamId, report: &EngineReport, round: &mut Round<'_>) {
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

fn own_engines(board: &Blackboard, host: &HostId) -> BTreeSet<UpstreamId> {
    let hosts = board.hosts.live().map(|host| &host.id).collect::<Vec<_>>();
    engines(board)
        .filter(|engine| rendezvous::engine_dispatcher(engine, hosts.iter().copied()) == Some(host))
        .cloned()
        .collect()
}

/// Returns the engine after `cursor` that another host dispatches for.
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

fn engines(board: &Blackboard) -> impl Iterator<Item = &UpstreamId> {
    board
        .upstreams
        .members
        .values()
        .filter(|upstream| upstream.kind == UpstreamKind::Engine)
        .filter(|upstream| upstream.state != UpstreamState::Gone)
        .map(|upstream| &upstream.id)
}
