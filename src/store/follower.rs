//! Keeps the host's copy of the table at the highest revision heard of.
//!
//! The copy only ever moves to a higher revision, from whichever of the store
//! and the peers has it first (see docs/design/table.md).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::Rng as _;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, HostState, Rows, TableStanding},
        controller::{self, Rng, Round},
        decision::{Decision, Kind},
    },
    ids::{HostId, Revision},
    store::{TableService, condition},
    table::{self, row::Row},
};

/// Polls of the whole fleet a second, far below what the store bears.
const FLEET_POLLS_PER_S: f64 = 100.0;

/// The shortest time between two polls of one host.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The part by which intervals are drawn longer or shorter, so that hosts which
/// start together do not poll together.
const JITTER_RATIO: f64 = 0.2;

/// How long a poll or fetch may stay unanswered before it counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The time without a word from the store or any peer after which a host holds
/// itself for isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(15);

/// The peers that a host without a table hears before it fetches, so that it
/// does not start from one that lags.
const GATHERED_PEERS_COUNT: usize = 3;

/// How long a host without a table waits for that many peers.
const GATHER_TIMEOUT: Duration = Duration::from_secs(2);

/// What the follower is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The store answered a poll.
    StoreAnswered {
        /// The revision that the store showed.
        revision: Revision,
        /// The rows at that revision; none where it was not above ours.
        rows: Option<Vec<Row>>,
    },
    /// A poll failed or stayed unanswered.
    StoreFailed,
    /// A peer's heartbeat carried the revision that it has in force.
    PeerAnnounced {
        /// The peer.
        host: HostId,
        /// Its revision.
        revision: Revision,
    },
    /// A peer answered a fetch.
    PeerAnswered {
        /// The peer.
        host: HostId,
        /// The revision of its rows.
        revision: Revision,
        /// All its rows.
        rows: Vec<Row>,
    },
    /// A fetch from a peer failed.
    PeerFailed {
        /// The peer.
        host: HostId,
    },
}

/// What the follower asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the store by [`poll`] and report the outcome.
    PollStore {
        /// The revision that is in force already.
        above_revision: Revision,
    },
    /// Fetch all rows from `host` and report the outcome.
    FetchFromPeer {
        /// The peer to ask.
        host: HostId,
        /// The revision that is in force already.
        above_revision: Revision,
    },
}

/// Where rows came from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Store,
    Peer(HostId),
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(host) => f.write_str(host),
        }
    }
}

/// A fetch that was asked for and not yet answered.
#[derive(Clone, Debug)]
struct Fetch {
    host: HostId,
    give_up_at: Timestamp,
}

/// Follows the table.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     Blackboard,
///     Controller as _,
///     control::controller::{Rng, Round},
///     store::follower,
/// };
/// use rand::SeedableRng as _;
/// use std::time::Duration;
///
/// let mut follower = follower::Controller::new("entry-1");
/// let (mut board, mut decisions) = (Blackboard::default(), Vec::new());
/// let round = Round {
///     board: &mut board,
///     now: Duration::ZERO,
///     rng: &mut Rng::seed_from_u64(7),
///     decisions: &mut decisions,
/// };
/// let actions = follower.run([], round);
/// assert_eq!(actions, [follower::Action::PollStore { above_revision: 0 }]);
/// ```
#[derive(Clone, Debug)]
pub struct Controller {
    host: HostId,
    announced: BTreeMap<HostId, Revision>,
    highest_announced: Revision,
    first_announced_at: Option<Timestamp>,
    refused: BTreeSet<HostId>,
    fetch: Option<Fetch>,
    poll_given_up_at: Option<Timestamp>,
    next_poll_at: Timestamp,
    failed_polls_count: u32,
    heard_at: Timestamp,
}

impl Controller {
    /// Makes the follower of `host`, which has no table yet.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: host.into(),
            announced: BTreeMap::new(),
            highest_announced: 0,
            first_announced_at: None,
            refused: BTreeSet::new(),
            fetch: None,
            poll_given_up_at: None,
            next_poll_at: Timestamp::ZERO,
            failed_polls_count: 0,
            heard_at: Timestamp::ZERO,
        }
    }

    fn take(&mut self, event: Event, round: &mut Round<'_>) {
        match event {
            Event::StoreAnswered { revision, rows } => {
                self.store_answered(round);
                if let Some(rows) = rows {
                    apply(round, revision, rows, &Source::Store);
                }
            }
            Event::StoreFailed => self.store_failed(round),
            Event::PeerAnnounced { host, revision } => self.announced(host, revision, round),
            Event::PeerAnswered {
                host,
                revision,
                rows,
            } => {
                self.end_fetch(&host);
                self.heard_at = round.now;
                // The answer says what the peer has, whatever was announced.
                self.announced.insert(host.clone(), revision);
                self.highest_announced = self.announced.values().copied().max().unwrap_or(0);
                apply(round, revision, rows, &Source::Peer(host));
            }
            Event::PeerFailed { host } => {
                self.end_fetch(&host);
                self.refused.insert(host);
            }
        }
    }

    fn store_answered(&mut self, round: &mut Round<'_>) {
        self.poll_given_up_at = None;
        self.failed_polls_count = 0;
        self.heard_at = round.now;
        self.next_poll_at = round.now + poll_interval(round.board, round.rng);
    }

    fn store_failed(&mut self, round: &mut Round<'_>) {
        self.poll_given_up_at = None;
        let backoff = condition::backoff(self.failed_polls_count, round.rng);
        let pause = backoff.max(poll_interval(round.board, round.rng));
        self.failed_polls_count = self.failed_polls_count.saturating_add(1);
        self.next_poll_at = round.now + pause;
    }

    fn announced(&mut self, host: HostId, revision: Revision, round: &mut Round<'_>) {
        if host == self.host {
            return;
        }
        // A host without a table announces 0, which shows nothing.
        if revision > 0 {
            self.heard_at = round.now;
            self.first_announced_at.get_or_insert(round.now);
        }
        self.highest_announced = self.highest_announced.max(revision);
        self.refused.remove(&host);
        let known = self.announced.entry(host).or_default();
        *known = revision.max(*known);
    }

    fn end_fetch(&mut self, host: &HostId) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.host == *host) {
            self.fetch = None;
        }
    }

    fn time_out(&mut self, round: &mut Round<'_>) {
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.give_up_at <= round.now) {
            self.refused.insert(fetch.host);
        }
        if self.poll_given_up_at.is_some_and(|at| at <= round.now) {
            self.store_failed(round);
        }
    }

    fn poll(&mut self, round: &Round<'_>) -> Option<Action> {
        if self.poll_given_up_at.is_some() || self.next_poll_at > round.now {
            return None;
        }
        self.forget_gone(round.board);
        self.poll_given_up_at = Some(round.now + ANSWER_TIMEOUT);
        Some(Action::PollStore {
            above_revision: round.board.rows.revision,
        })
    }

    /// Drops hosts that membership no longer knows, so that replaced hosts leave
    /// nothing behind.
    fn forget_gone(&mut self, board: &Blackboard) {
        let members = &board.hosts.members;
        if members.is_empty() {
            return;
        }
        self.announced.retain(|host, _| members.contains_key(host));
        self.refused.retain(|host| members.contains_key(host));
    }

    fn fetch(&mut self, round: &mut Round<'_>) -> Option<Action> {
        let in_force = round.board.rows.revision;
        if self.fetch.is_some() || self.highest_announced <= in_force || self.is_gathering(round) {
            return None;
        }
        let host = self.source(in_force, round.rng)?;
        self.fetch = Some(Fetch {
            host: host.clone(),
            give_up_at: round.now + ANSWER_TIMEOUT,
        });
        Some(Action::FetchFromPeer {
            host,
            above_revision: in_force,
        })
    }

    /// Says whether a host without a table still waits to hear further peers.
    fn is_gathering(&self, round: &Round<'_>) -> bool {
        let standing = round.board.rows.standing;
        let announcers = self.announced.values().filter(|revision| **revision > 0);
        let is_late = |at| round.now >= at + GATHER_TIMEOUT;
        standing == TableStanding::Empty
            && announcers.count() < GATHERED_PEERS_COUNT
            && !self.first_announced_at.is_some_and(is_late)
    }

    /// Draws one of the peers that announced the highest revision, so that a
    /// new revision is not fetched from one host by all.
    fn source(&self, in_force: Revision, rng: &mut Rng) -> Option<HostId> {
        let usable = || {
            self.announced
                .iter()
                .filter(|(host, revision)| **revision > in_force && !self.refused.contains(*host))
        };
        let highest = usable().map(|(_, revision)| *revision).max()?;
        let holders: Vec<_> = usable()
            .filter(|(_, revision)| **revision == highest)
            .map(|(host, _)| host)
            .collect();
        let drawn = rng.random_range(0..holders.len());
        holders.get(drawn).map(|host| HostId::clone(host))
    }

    /// A host that hears neither the store nor a peer cannot know whether its
    /// table still holds; one without any peer has nobody to differ from.
    fn judge(&mut self, round: &mut Round<'_>) {
        let members = round.board.hosts.members.values();
        let mut peers = members.filter(|member| member.id != self.host).peekable();
        let has_peers = peers.peek().is_some();
        // Membership answers for the peers that are at our own revision.
        if peers.any(|peer| peer.state == HostState::Alive) {
            self.heard_at = round.now;
        }
        if round.board.rows.standing == TableStanding::Empty {
            return;
        }
        let silence = round.now.saturating_sub(self.heard_at);
        if silence >= ISOLATION_TIMEOUT && has_peers {
            stand(round, TableStanding::Isolated);
        } else {
            stand(round, TableStanding::Current);
        }
    }
}

impl controller::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "follower";

    fn run(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        mut round: Round<'_>,
    ) -> Vec<Action> {
        for event in events {
            self.take(event, &mut round);
        }
        self.time_out(&mut round);
        self.judge(&mut round);
        let fetch = self.fetch(&mut round);
        let poll = self.poll(&round);
        fetch.into_iter().chain(poll).collect()
    }
}

/// Puts `rows` in force, unless a revision as high already is.
///
/// Only the store can say that the table is empty; a peer at revision 0 may
/// have learned nothing yet.
fn apply(round: &mut Round<'_>, revision: Revision, rows: Vec<Row>, source: &Source) {
    let present = &round.board.rows;
    let is_first = present.standing == TableStanding::Empty && *source == Source::Store;
    let is_first_empty = is_first && revision == present.revision;
    if revision <= present.revision && !is_first_empty {
        return;
    }
    let decision = Decision::new(Kind::Change, round.now, "put in force")
        .about(format!("revision/{revision}"))
        .about(source.to_string())
        .figure("rows_count", rows.len() as f64);
    round.decisions.push(decision);
    let rows = rows.into_iter().map(|row| (row.id.clone(), Arc::new(row)));
    round.board.rows = Arc::new(Rows {
        standing: TableStanding::Current,
        revision,
        rows: rows.collect(),
    });
}

fn stand(round: &mut Round<'_>, standing: TableStanding) {
    let before = round.board.rows.standing;
    if before == standing {
        return;
    }
    let decision = Decision::new(Kind::Change, round.now, "table standing changed")
        .about(standing.to_string())
        .figure("revision", round.board.rows.revision as f64);
    round.decisions.push(decision);
    Arc::make_mut(&mut round.board.rows).standing = standing;
}

/// Draws the time until this host's next poll, which grows with the number of
/// live hosts so that the fleet's rate of polls stays constant.
fn poll_interval(board: &Blackboard, rng: &mut Rng) -> Duration {
    let hosts_count = board.hosts.live().count().max(1) as f64;
    let even = Duration::from_secs_f64(hosts_count / FLEET_POLLS_PER_S);
    let factor = rng.random_range(1.0 - JITTER_RATIO..=1.0 + JITTER_RATIO);
    even.max(MIN_POLL_INTERVAL).mul_f64(factor)
}

/// Carries out [`Action::PollStore`].
///
/// A poll reads one record, and the rows only where the revision is higher; a
/// host without a table reads the rows at once.
pub async fn poll(store: &impl TableService, above_revision: Revision) -> Event {
    match read_above(store, above_revision).await {
        Ok(event) => event,
        Err(error) => {
            tracing::debug!(%error, "poll of the table failed");
            Event::StoreFailed
        }
    }
}

async fn read_above(
    store: &impl TableService,
    above_revision: Revision,
) -> Result<Event, table::ReadError> {
    if above_revision > 0 {
        let revision = table::read_revision(store).await?;
        if revision <= above_revision {
            return Ok(Event::StoreAnswered {
                revision,
                rows: None,
            });
        }
    }
    let present = table::read_table(store).await?;
    Ok(Event::StoreAnswered {
        revision: present.revision,
        rows: Some(present.rows.into_values().collect()),
    })
}

/// What one host says of its own copy of the table, and of the hosts it knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The host that reports.
    pub host: HostId,
    /// The revision that it has in force.
    pub revision: Revision,
    /// Whether it relies on it.
    pub standing: TableStanding,
    /// The other hosts that it knows.
    pub peers: Vec<Peer>,
}

/// A host that another one knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub host: HostId,
    /// What is believed of it.
    pub state: HostState,
    /// Where it answers callers.
    pub http_address: SocketAddr,
}

impl Report {
    /// Reports what `board` says for `host`; the entry host serves it under
    /// [`REPORT_PATH`].
    pub fn of(host: &HostId, board: &Blackboard) -> Self {
        let members = board.hosts.members.values();
        let peers = members.filter(|member| member.id != *host);
        Self {
            host: host.clone(),
            revision: board.rows.revision,
            standing: board.rows.standing,
            peers: peers
                .map(|member| Peer {
                    host: member.id.clone(),
                    state: member.state,
                    http_address: member.http_address,
                })
                .collect(),
        }
    }
}

/// Where an entry host serves its [`Report`] to operators.
pub const REPORT_PATH: &str = "/v1/table/in-force";
