//! Keeps the host's copy of the table at the highest known revision.
//!
//! The copy only moves to higher revisions. It is updated from the store or from
//! a peer, whichever delivers a new revision first (see docs/design/table.md).

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

/// The polls per second of the whole fleet, far below the capacity of the store.
const FLEET_POLLS_PER_S: f64 = 100.0;

/// The minimum interval between two polls of one host.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The jitter of the poll interval, as a ratio of it, so that hosts which start
/// together do not poll together.
const JITTER_RATIO: f64 = 0.2;

/// The time without an answer after which a poll or fetch counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The time without contact to the store or any peer after which a host
/// considers itself isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(15);

/// The number of peers whose announcements a host without a table awaits before
/// it fetches, so that it does not start from a peer that lags behind.
const GATHERED_PEERS_COUNT: usize = 3;

/// How long after the first announcement a host without a table waits for
/// [`GATHERED_PEERS_COUNT`] peers.
const GATHER_TIMEOUT: Duration = Duration::from_secs(2);

/// An input of the follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The store answered a poll.
    StoreAnswered {
        /// The current revision of the store.
        revision: Revision,
        /// The rows at that revision, or `None` if it is not above this host's.
        rows: Option<Vec<Row>>,
    },
    /// A poll failed or was not answered.
    StoreFailed,
    /// A peer's heartbeat announced the revision that the peer has in force.
    PeerAnnounced {
        /// The peer.
        host: HostId,
        /// The revision that the peer has in force.
        revision: Revision,
    },
    /// A peer answered a fetch.
    PeerAnswered {
        /// The peer.
        host: HostId,
        /// The revision of its rows.
        revision: Revision,
        /// All rows of the peer.
        rows: Vec<Row>,
    },
    /// A fetch from a peer failed.
    PeerFailed {
        /// The peer.
        host: HostId,
    },
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the store with [`poll`] and report the outcome.
    PollStore {
        /// The revision that this host has in force.
        above_revision: Revision,
    },
    /// Fetch all rows from `host` and report the outcome.
    FetchFromPeer {
        /// The peer to ask.
        host: HostId,
        /// The revision that this host has in force.
        above_revision: Revision,
    },
}

/// The source of rows.
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

/// A fetch in flight.
#[derive(Clone, Debug)]
struct Fetch {
    host: HostId,
    deadline: Timestamp,
}

/// The controller that follows the table.
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
    announced_revisions: BTreeMap<HostId, Revision>,
    highest_announced: Revision,
    first_announced_at: Option<Timestamp>,
    failed_peers: BTreeSet<HostId>,
    fetch: Option<Fetch>,
    poll_deadline: Option<Timestamp>,
    next_poll_at: Timestamp,
    failed_polls_count: u32,
    last_contact_at: Timestamp,
}

impl Controller {
    /// Returns the follower of `host`, which has no table yet.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: host.into(),
            announced_revisions: BTreeMap::new(),
            highest_announced: 0,
            first_announced_at: None,
            failed_peers: BTreeSet::new(),
            fetch: None,
            poll_deadline: None,
            next_poll_at: Timestamp::ZERO,
            failed_polls_count: 0,
            last_contact_at: Timestamp::ZERO,
        }
    }

    fn handle_event(&mut self, event: Event, round: &mut Round<'_>) {
        match event {
            Event::StoreAnswered { revision, rows } => {
                self.record_poll_success(round);
                if let Some(rows) = rows {
                    apply_rows(round, revision, rows, &Source::Store);
                }
            }
            Event::StoreFailed => self.record_poll_failure(round),
            Event::PeerAnnounced { host, revision } => self.record_revision(host, revision, round),
            Event::PeerAnswered {
                host,
                revision,
                rows,
            } => {
                self.end_fetch(&host);
                self.last_contact_at = round.now;
                // The answer overrides what the peer announced.
                self.announced_revisions.insert(host.clone(), revision);
                self.highest_announced = self
                    .announced_revisions
                    .values()
                    .copied()
                    .max()
                    .unwrap_or(0);
                apply_rows(round, revision, rows, &Source::Peer(host));
            }
            Event::PeerFailed { host } => {
                self.end_fetch(&host);
                self.failed_peers.insert(host);
            }
        }
    }

    fn record_poll_success(&mut self, round: &mut Round<'_>) {
        self.poll_deadline = None;
        self.failed_polls_count = 0;
        self.last_contact_at = round.now;
        self.next_poll_at = round.now + poll_interval(round.board, round.rng);
    }

    fn record_poll_failure(&mut self, round: &mut Round<'_>) {
        self.poll_deadline = None;
        let backoff = condition::backoff(self.failed_polls_count, round.rng);
        let pause = backoff.max(poll_interval(round.board, round.rng));
        self.failed_polls_count = self.failed_polls_count.saturating_add(1);
        self.next_poll_at = round.now + pause;
    }

    fn record_revision(&mut self, host: HostId, revision: Revision, round: &mut Round<'_>) {
        if host == self.host {
            return;
        }
        // A host without a table announces 0, which is no evidence of contact
        // with the fleet.
        if revision > 0 {
            self.last_contact_at = round.now;
            self.first_announced_at.get_or_insert(round.now);
        }
        self.highest_announced = self.highest_announced.max(revision);
        self.failed_peers.remove(&host);
        let known = self.announced_revisions.entry(host).or_default();
        *known = revision.max(*known);
    }

    fn end_fetch(&mut self, host: &HostId) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.host == *host) {
            self.fetch = None;
        }
    }

    fn expire_requests(&mut self, round: &mut Round<'_>) {
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.deadline <= round.now) {
            self.failed_peers.insert(fetch.host);
        }
        if self.poll_deadline.is_some_and(|at| at <= round.now) {
            self.record_poll_failure(round);
        }
    }

    fn poll(&mut self, round: &Round<'_>) -> Option<Action> {
        if self.poll_deadline.is_some() || self.next_poll_at > round.now {
            return None;
        }
        self.remove_departed_hosts(round.board);
        self.poll_deadline = Some(round.now + ANSWER_TIMEOUT);
        Some(Action::PollStore {
            above_revision: round.board.rows.revision,
        })
    }

    /// Removes hosts that are no longer members, so that the state of replaced
    /// hosts does not accumulate.
    fn remove_departed_hosts(&mut self, board: &Blackboard) {
        let members = &board.hosts.members;
        if members.is_empty() {
            return;
        }
        self.announced_revisions
            .retain(|host, _| members.contains_key(host));
        self.failed_peers.retain(|host| members.contains_key(host));
    }

    fn fetch(&mut self, round: &mut Round<'_>) -> Option<Action> {
        let in_force = round.board.rows.revision;
        if self.fetch.is_some() || self.highest_announced <= in_force || self.is_gathering(round) {
            return None;
        }
        let host = self.choose_source(in_force, round.rng)?;
        self.fetch = Some(Fetch {
            host: host.clone(),
            deadline: round.now + ANSWER_TIMEOUT,
        });
        Some(Action::FetchFromPeer {
            host,
            above_revision: in_force,
        })
    }

    /// Returns whether a host without a table still waits for the announcements
    /// of further peers.
    fn is_gathering(&self, round: &Round<'_>) -> bool {
        let standing = round.board.rows.standing;
        let announcers = self
            .announced_revisions
            .values()
            .filter(|revision| **revision > 0);
        let is_expired = |at| round.now >= at + GATHER_TIMEOUT;
        standing == TableStanding::Empty
            && announcers.count() < GATHERED_PEERS_COUNT
            && !self.first_announced_at.is_some_and(is_expired)
    }

    /// Picks at random one of the peers that announced the highest revision, so
    /// that not all hosts fetch a new revision from the same peer.
    fn choose_source(&self, in_force: Revision, rng: &mut Rng) -> Option<HostId> {
        let usable = || {
            self.announced_revisions.iter().filter(|(host, revision)| {
                **revision > in_force && !self.failed_peers.contains(*host)
            })
        };
        let highest = usable().map(|(_, revision)| *revision).max()?;
        let holders: Vec<_> = usable()
            .filter(|(_, revision)| **revision == highest)
            .map(|(host, _)| host)
            .collect();
        let drawn = rng.random_range(0..holders.len());
        holders.get(drawn).map(|host| HostId::clone(host))
    }

    /// Updates the standing of the table from the time since the last contact.
    ///
    /// A host without contact to the store and to any peer cannot know whether
    /// its table is current. A host without peers is never isolated, as there is
    /// no other copy from which its own could differ.
    fn update_standing(&mut self, round: &mut Round<'_>) {
        let members = round.board.hosts.members.values();
        let mut peers = members.filter(|member| member.id != self.host).peekable();
        let has_peers = peers.peek().is_some();
        // Membership is the evidence of contact with peers at this host's own
        // revision.
        if peers.any(|peer| peer.state == HostState::Alive) {
            self.last_contact_at = round.now;
        }
        if round.board.rows.standing == TableStanding::Empty {
            return;
        }
        let silence = round.now.saturating_sub(self.last_contact_at);
        if silence >= ISOLATION_TIMEOUT && has_peers {
            set_standing(round, TableStanding::Isolated);
        } else {
            set_standing(round, TableStanding::Current);
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
            self.handle_event(event, &mut round);
        }
        self.expire_requests(&mut round);
        self.update_standing(&mut round);
        let fetch = self.fetch(&mut round);
        let poll = self.poll(&round);
        fetch.into_iter().chain(poll).collect()
    }
}

/// Puts `rows` in force, unless the present revision is at least as high.
///
/// Only the store can establish that the table is empty: a peer at revision 0
/// may not have read the table yet.
fn apply_rows(round: &mut Round<'_>, revision: Revision, rows: Vec<Row>, source: &Source) {
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

fn set_standing(round: &mut Round<'_>, standing: TableStanding) {
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

/// Returns a random interval until this host's next poll. It grows with the
/// number of live hosts, so that the fleet's poll rate stays constant.
fn poll_interval(board: &Blackboard, rng: &mut Rng) -> Duration {
    let hosts_count = board.hosts.live().count().max(1) as f64;
    let base_interval = Duration::from_secs_f64(hosts_count / FLEET_POLLS_PER_S);
    let factor = rng.random_range(1.0 - JITTER_RATIO..=1.0 + JITTER_RATIO);
    base_interval.max(MIN_POLL_INTERVAL).mul_f64(factor)
}

/// Carries out [`Action::PollStore`].
///
/// A poll reads one record, and reads the rows only if the revision is higher
/// than `above_revision`. A host without a table reads the rows immediately.
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

/// A host's report on its own copy of the table and on its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting host.
    pub host: HostId,
    /// The revision that it has in force.
    pub revision: Revision,
    /// The standing of the host's copy of the table.
    pub standing: TableStanding,
    /// The other members that the host knows.
    pub peers: Vec<Peer>,
}

/// A peer in the [`Report`] of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The id of the peer.
    pub host: HostId,
    /// The state of the peer, as seen by the reporting host.
    pub state: HostState,
    /// The address at which the peer serves callers.
    pub http_address: SocketAddr,
}

impl Report {
    /// Returns the report of `host` from its `board`. An entry host serves it
    /// at [`REPORT_PATH`].
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

/// The path at which an entry host serves its [`Report`] to operators.
pub const REPORT_PATH: &str = "/v1/table/in-force";
