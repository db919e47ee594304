//! Which upstreams may be given new work.
//!
//! The platform's list of upstreams lags and may go back, so it is merged with
//! what hosts see themselves: an upstream's own word that it is leaving, and
//! refused connections (see docs/design/planned-stops.md). The hosts share the
//! watch: each asks only the upstreams that rendezvous hashing gives it, and
//! passes changes on with the heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, Upstream, UpstreamKind, UpstreamState},
        controller::Round,
        decision::{Decision, Kind},
    },
    host::gossip::{NoticeVersion, UpstreamNotice},
    ids::{FailureDomain, HostId, UpstreamId},
};

/// The time between two questions to an upstream by the host that watches it.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// The time in which refused connections count together.
const REFUSAL_WINDOW: Duration = Duration::from_secs(3);
/// How many refused connections in a row take an upstream out.
const REFUSAL_COUNT: u32 = 2;
/// How many lists in a row must miss an upstream before it is out.
const ABSENCE_COUNT: u32 = 2;
/// How long an upstream that is out is remembered.
const FORGET_TIME: Duration = Duration::from_secs(600);

/// One upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub id: UpstreamId,
    /// What it is.
    pub kind: UpstreamKind,
    /// The pool that calls name; for engines, the model.
    pub pool: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it is listed as leaving.
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
}

/// What happened outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform's list arrived.
    List(Vec<Listed>),
    /// An upstream said whether it is leaving, in an answer or a report.
    LeavingReported {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it said `x-leaving: true`.
        leaving: bool,
        /// When the request was sent, since answers overtake each other.
        sent_at: Timestamp,
    },
    /// An upstream refused a connection.
    ConnectionRefused {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A peer found something out.
    PeerNotice(UpstreamNotice),
}

/// What the code around the controller shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an upstream whether it is leaving, and report as [`Event::LeavingReported`] or
    /// [`Event::ConnectionRefused`].
    Ask {
        /// The upstream.
        upstream: UpstreamId,
        /// Where it answers.
        address: SocketAddr,
    },
    /// Pass a notice on to the peers, over membership.
    Notify(UpstreamNotice),
}

/// What is known of one upstream.
#[derive(Clone, Debug)]
struct Entry {
    listed: Listed,
    absence_count: u32,
    /// Since when its own word is that it leaves.
    leaving_since: Option<Timestamp>,
    refusal_count: u32,
    refused_at: Timestamp,
    version: NoticeVersion,
    state: UpstreamState,
    since: Timestamp,
    next_ask_at: Timestamp,
}

/// Merges the platform's list with evidence.
///
/// # Examples
///
/// ```
/// use mimosavane::engine::upstream_list::Controller;
///
/// let controller = Controller::new("entry-1".into());
/// assert_eq!(controller.upstream_count(), 0);
/// ```
#[derive(Debug)]
pub struct Controller {
    own: HostId,
    entries: BTreeMap<UpstreamId, Entry>,
    watched: BTreeSet<UpstreamId>,
    /// The hosts and upstreams that `watched` was worked out from.
    watched_for: u64,
}

impl Controller {
    /// Makes a controller of the host `own` that knows no upstream.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            watched: BTreeSet::new(),
            watched_for: 0,
        }
    }

    /// Returns how many upstreams are known.
    pub fn upstream_count(&self) -> usize {
        self.entries.len()
    }
}

impl crate::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "upstream-list";

    fn run(&mut self, events: impl IntoIterator<Item = Event>, round: Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut touched = BTreeSet::new();
        for event in events {
            self.handle(event, round.now, &mut touched, &mut actions);
        }
        self.forget(round.now, round.board);
        for id in touched {
            self.publish(&id, round.now, round.board, round.decisions);
        }
        self.share_watch(round.board);
        self.ask(round.now, &mut actions);
        actions
    }
}

impl Controller {
    /// Takes in one event.
    fn handle(
        &mut self,
        event: Event,
        now: Timestamp,
        touched: &mut BTreeSet<UpstreamId>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::List(list) => self.merge(list, now, touched),
            Event::LeavingReported {
                upstream,
                leaving,
                sent_at,
            } => {
                let Some(entry) = self.entries.get_mut(&upstream) else {
                    return;
                };
                if entry.hear(leaving, sent_at, now) {
                    actions.push(Action::Notify(entry.notice()));
                }
                touched.insert(upstream);
            }
            Event::ConnectionRefused { upstream } => {
                if let Some(entry) = self.entries.get_mut(&upstream) {
                    entry.refuse(now);
                    touched.insert(upstream);
                }
            }
            Event::PeerNotice(notice) => {
                if let Some(entry) = self.entries.get_mut(&notice.upstream) {
                    entry.follow(&notice, now);
                    touched.insert(notice.upstream);
                }
            }
        }
    }

    /// Merges the platform's list.
    fn merge(&mut self, list: Vec<Listed>, now: Timestamp, touched: &mut BTreeSet<UpstreamId>) {
        let present: BTreeSet<UpstreamId> = list.iter().map(|listed| listed.id.clone()).collect();
        for (id, entry) in &mut self.entries {
            if !present.contains(id) {
                entry.absence_count += 1;
                touched.insert(id.clone());
            }
        }
        for listed in list {
            touched.insert(listed.id.clone());
            match self.entries.get_mut(&listed.id) {
                Some(entry) => entry.list(listed),
                None => {
                    let id = listed.id.clone();
                    self.entries.insert(id, Entry::new(listed, now));
                }
            }
        }
    }

    /// Drops upstreams that have been out for long.
    fn forget(&mut self, now: Timestamp, board: &mut Blackboard) {
        let over: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.state == UpstreamState::Gone
                    && entry.absence_count >= ABSENCE_COUNT
                    && now.saturating_sub(entry.since) >= FORGET_TIME
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.entries.remove(&id);
            Arc::make_mut(&mut board.upstreams).members.remove(&id);
        }
    }

    /// Writes the state of one upstream, and records a change.
    ///
    /// An upstream that its health controller ejected stays ejected while
    /// nothing speaks against it here.
    fn publish(
        &mut self,
        id: &UpstreamId,
        now: Timestamp,
        board: &mut Blackboard,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let state = entry.verdict();
        let changed = state != entry.state;
        if changed {
            entry.state = state;
            entry.since = now;
            decisions.push(
                Decision::new(Kind::Upstream, now, state.to_string())
                    .about(id.clone())
                    .figure("missing_list_count", f64::from(entry.absence_count))
                    .figure("refused_connection_count", f64::from(entry.refusal_count)),
            );
        }
        let shown = board.upstreams.members.get(id);
        let ejected = shown.is_some_and(|upstream| upstream.state == UpstreamState::Ejected);
        let mut upstream = entry.upstream();
        if ejected && state == UpstreamState::Live {
            upstream.state = UpstreamState::Ejected;
        }
        if shown != Some(&upstream) {
            let members = &mut Arc::make_mut(&mut board.upstreams).members;
            members.insert(id.clone(), upstream);
        }
    }

    /// Works out which upstreams this host watches.
    fn share_watch(&mut self, board: &Blackboard) {
        let mut names = Vec::new();
        let hosts = board.hosts.live().map(|host| &host.id);
        for name in hosts.chain(self.entries.keys()) {
            names.extend_from_slice(name.as_bytes());
            names.push(0);
        }
        let key = xxh3_64(&names);
        if key == self.watched_for {
            return;
        }
        self.watched_for = key;
        let watchers = Watchers::new(board);
        self.watched = self
            .entries
            .values()
            .filter(|entry| watchers.is_watcher(&self.own, &entry.listed))
            .map(|entry| entry.listed.id.clone())
            .collect();
    }

    /// Asks the watched upstreams in turn.
    fn ask(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for id in &self.watched {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            if now < entry.next_ask_at {
                continue;
            }
            entry.next_ask_at = now + WATCH_INTERVAL;
            actions.push(Action::Ask {
                upstream: id.clone(),
                address: entry.listed.address,
            });
        }
    }
}

impl Entry {
    fn new(listed: Listed, now: Timestamp) -> Self {
        Self {
            listed,
            absence_count: 0,
            leaving_since: None,
            refusal_count: 0,
            refused_at: Timestamp::ZERO,
            version: 0,
            state: UpstreamState::Live,
            since: now,
            next_ask_at: now,
        }
    }

    /// Takes over what the platform lists.
    fn list(&mut self, listed: Listed) {
        self.absence_count = 0;
        if listed.address != self.listed.address {
            // Another process took the name, so evidence of the old one ends.
            self.leaving_since = None;
            self.refusal_count = 0;
        }
        self.listed = listed;
    }

    /// Takes the upstream's own word, and says whether that is news.
    ///
    /// An answer to a request sent before the word to leave proves nothing
    /// against it.
    fn hear(&mut self, leaving: bool, sent_at: Timestamp, now: Timestamp) -> bool {
        self.refusal_count = 0;
        match (self.leaving_since, leaving) {
            (None, true) => {
                self.leaving_since = Some(now);
                self.version += 1;
                true
            }
            (Some(since), false) if sent_at > since => {
                self.leaving_since = None;
                self.listed.leaving = false;
                self.version += 1;
                true
            }
            _ => false,
        }
    }

    /// Counts a refused connection.
    fn refuse(&mut self, now: Timestamp) {
        if now.saturating_sub(self.refused_at) > REFUSAL_WINDOW {
            self.refusal_count = 0;
        }
        self.refusal_count += 1;
        self.refused_at = now;
    }

    /// Takes over what a peer found out, if it is newer.
    fn follow(&mut self, notice: &UpstreamNotice, now: Timestamp) {
        if notice.version <= self.version {
            return;
        }
        self.version = notice.version;
        self.leaving_since = notice.leaving.then_some(now);
        if !notice.leaving {
            self.listed.leaving = false;
        }
    }

    fn notice(&self) -> UpstreamNotice {
        UpstreamNotice {
            upstream: self.listed.id.clone(),
            version: self.version,
            leaving: self.leaving_since.is_some(),
        }
    }

    /// Weighs the list against the evidence; either can take work away.
    fn verdict(&self) -> UpstreamState {
        if self.refusal_count >= REFUSAL_COUNT || self.absence_count >= ABSENCE_COUNT {
            UpstreamState::Gone
        } else if self.leaving_since.is_some() || self.listed.leaving {
            UpstreamState::Leaving
        } else {
            UpstreamState::Live
        }
    }

    fn upstream(&self) -> Upstream {
        Upstream {
            id: self.listed.id.clone(),
            kind: self.listed.kind,
            pool: self.listed.pool.clone(),
            address: self.listed.address,
            failure_domain: self.listed.failure_domain.clone(),
            state: self.state,
            checks_fences: self.listed.checks_fences,
        }
    }
}

/// The live hosts by failure domain, with the hashes of their names.
struct Watchers<'a> {
    domains: BTreeMap<&'a str, Vec<(u64, &'a HostId)>>,
}

impl<'a> Watchers<'a> {
    fn new(board: &'a Blackboard) -> Self {
        let mut domains: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for host in board.hosts.live() {
            let named = (xxh3_64(host.id.as_bytes()), &host.id);
            domains.entry(&host.failure_domain).or_default().push(named);
        }
        Self { domains }
    }

    /// Says whether rendezvous hashing gives the upstream to `own`, among the
    /// hosts of its failure domain, or among all where it has none.
    fn is_watcher(&self, own: &HostId, upstream: &Listed) -> bool {
        let name = xxh3_64(upstream.id.as_bytes());
        let weight = |host: &u64| xxh3_64(&(host ^ name).to_le_bytes());
        let best = match self.domains.get(&*upstream.failure_domain) {
            Some(hosts) => hosts.iter().max_by_key(|(host, _)| weight(host)),
            None => self
                .domains
                .values()
                .flatten()
                .max_by_key(|(host, _)| weight(host)),
        };
        best.is_none_or(|(_, host)| *host == own)
    }
}
