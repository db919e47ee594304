//! Determines which upstreams may get new work.
//!
//! The platform's list of upstreams lags and may revert to an older state, so
//! it is merged with what the hosts observe: upstreams that report that they
//! are leaving, and refused connections (see docs/design/planned-stops.md). The
//! hosts divide the polling: each asks only the upstreams that rendezvous
//! hashing assigns to it, and sends changes to its peers with the heartbeats.

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

/// The interval at which the assigned host asks an upstream whether it is
/// leaving.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum time between two refused connections of the same streak.
const REFUSAL_WINDOW: Duration = Duration::from_secs(3);
/// The number of consecutive refused connections at which an upstream counts as
/// gone.
const GONE_REFUSAL_COUNT: u32 = 2;
/// The number of consecutive lists without an upstream at which it counts as
/// gone.
const GONE_ABSENCE_COUNT: u32 = 2;
/// The time after which an upstream that is gone is removed.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The upstream's identifier.
    pub id: UpstreamId,
    /// The kind of upstream.
    pub kind: UpstreamKind,
    /// The pool that calls address; for engines, the model.
    pub pool: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fences: bool,
}

/// An input of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform's list arrived.
    List(Vec<Listed>),
    /// An upstream reported whether it is leaving, in an answer or a report.
    LeavingReported {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it sent `x-leaving: true`.
        leaving: bool,
        /// The time at which the request was sent; answers may arrive out of
        /// order.
        sent_at: Timestamp,
    },
    /// An upstream refused a connection.
    ConnectionRefused {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A peer sent a notice about an upstream.
    PeerNotice(UpstreamNotice),
}

/// An action for the caller of the controller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an upstream whether it is leaving, and return the answer as
    /// [`Event::LeavingReported`] or [`Event::ConnectionRefused`].
    Ask {
        /// The upstream.
        upstream: UpstreamId,
        /// The address that it listens on.
        address: SocketAddr,
    },
    /// Send a notice to the peers through membership.
    Notify(UpstreamNotice),
}

/// The controller's state of an upstream.
#[derive(Clone, Debug)]
struct Entry {
    listed: Listed,
    /// The number of consecutive lists without the upstream.
    absence_count: u32,
    /// The time since when it has reported that it is leaving.
    leaving_since: Option<Timestamp>,
    /// The number of consecutive refused connections.
    refusal_count: u32,
    refused_at: Timestamp,
    /// The version of the last notice that was sent or received.
    version: NoticeVersion,
    state: UpstreamState,
    state_since: Timestamp,
    next_ask_at: Timestamp,
}

/// Merges the platform's list with the evidence that the hosts observe.
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
    /// The upstreams that this host asks.
    watched: BTreeSet<UpstreamId>,
    /// The hash of the hosts and upstreams that `watched` was computed from.
    watched_key: u64,
}

impl Controller {
    /// Creates the controller of the host `own`, without upstreams.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            watched: BTreeSet::new(),
            watched_key: 0,
        }
    }

    /// Returns the number of known upstreams.
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
        let mut updated = BTreeSet::new();
        for event in events {
            self.handle(event, round.now, &mut updated, &mut actions);
        }
        self.remove_gone(round.now, round.board);
        for id in updated {
            self.publish(&id, round.now, round.board, round.decisions);
        }
        self.update_watched(round.board);
        self.ask_watched(round.now, &mut actions);
        actions
    }
}

impl Controller {
    /// Handles one event.
    fn handle(
        &mut self,
        event: Event,
        now: Timestamp,
        updated: &mut BTreeSet<UpstreamId>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::List(list) => self.merge_list(list, now, updated),
            Event::LeavingReported {
                upstream,
                leaving,
                sent_at,
            } => {
                let Some(entry) = self.entries.get_mut(&upstream) else {
                    return;
                };
                if entry.record_leaving(leaving, sent_at, now) {
                    actions.push(Action::Notify(entry.notice()));
                }
                updated.insert(upstream);
            }
            Event::ConnectionRefused { upstream } => {
                if let Some(entry) = self.entries.get_mut(&upstream) {
                    entry.record_refusal(now);
                    updated.insert(upstream);
                }
            }
            Event::PeerNotice(notice) => {
                if let Some(entry) = self.entries.get_mut(&notice.upstream) {
                    entry.apply_notice(&notice, now);
                    updated.insert(notice.upstream);
                }
            }
        }
    }

    /// Merges the platform's list.
    fn merge_list(
        &mut self,
        list: Vec<Listed>,
        now: Timestamp,
        updated: &mut BTreeSet<UpstreamId>,
    ) {
        let listed_ids: BTreeSet<UpstreamId> =
            list.iter().map(|listed| listed.id.clone()).collect();
        for (id, entry) in &mut self.entries {
            if !listed_ids.contains(id) {
                entry.absence_count += 1;
                updated.insert(id.clone());
            }
        }
        for listed in list {
            updated.insert(listed.id.clone());
            match self.entries.get_mut(&listed.id) {
                Some(entry) => entry.apply_listing(listed),
                None => {
                    let id = listed.id.clone();
                    self.entries.insert(id, Entry::new(listed, now));
                }
            }
        }
    }

    /// Removes upstreams that have been gone for `GONE_RETENTION`.
    fn remove_gone(&mut self, now: Timestamp, board: &mut Blackboard) {
        let expired: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.state == UpstreamState::Gone
                    && entry.absence_count >= GONE_ABSENCE_COUNT
                    && now.saturating_sub(entry.state_since) >= GONE_RETENTION
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.entries.remove(&id);
            Arc::make_mut(&mut board.upstreams).members.remove(&id);
        }
    }

    /// Publishes the state of an upstream on the blackboard, and records a change
    /// as a decision.
    ///
    /// An upstream that the health controller ejected stays ejected as long as
    /// it counts as live here.
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
        let state = entry.resolve_state();
        let changed = state != entry.state;
        if changed {
            entry.state = state;
            entry.state_since = now;
            decisions.push(
                Decision::new(Kind::Upstream, now, state.to_string())
                    .about(id.clone())
                    .figure("missing_list_count", f64::from(entry.absence_count))
                    .figure("refused_connection_count", f64::from(entry.refusal_count)),
            );
        }
        let published = board.upstreams.members.get(id);
        let ejected = published.is_some_and(|upstream| upstream.state == UpstreamState::Ejected);
        let mut upstream = entry.upstream();
        if ejected && state == UpstreamState::Live {
            upstream.state = UpstreamState::Ejected;
        }
        if published != Some(&upstream) {
            let members = &mut Arc::make_mut(&mut board.upstreams).members;
            members.insert(id.clone(), upstream);
        }
    }

    /// Determines which upstreams this host asks, if the hosts or upstreams
    /// changed.
    fn update_watched(&mut self, board: &Blackboard) {
        let mut key_bytes = Vec::new();
        let hosts = board.hosts.live().map(|host| &host.id);
        for name in hosts.chain(self.entries.keys()) {
            key_bytes.extend_from_slice(name.as_bytes());
            key_bytes.push(0);
        }
        let key = xxh3_64(&key_bytes);
        if key == self.watched_key {
            return;
        }
        self.watched_key = key;
        let watchers = Watchers::new(board);
        self.watched = self
            .entries
            .values()
            .filter(|entry| watchers.is_watcher(&self.own, &entry.listed))
            .map(|entry| entry.listed.id.clone())
            .collect();
    }

    /// Asks each watched upstream once per interval.
    fn ask_watched(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for id in &self.watched {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            if now < entry.next_ask_at {
                continue;
            }
            entry.next_ask_at = now + ASK_INTERVAL;
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
            state_since: now,
            next_ask_at: now,
        }
    }

    /// Applies the platform's entry for the upstream.
    fn apply_listing(&mut self, listed: Listed) {
        self.absence_count = 0;
        if listed.address != self.listed.address {
            // The identifier belongs to another process now, so the evidence
            // about the previous one is void.
            self.leaving_since = None;
            self.refusal_count = 0;
        }
        self.listed = listed;
    }

    /// Records whether the upstream reported that it is leaving, and returns
    /// whether that changed.
    ///
    /// An answer to a request that was sent before the upstream reported to be
    /// leaving does not revoke that report.
    fn record_leaving(&mut self, leaving: bool, sent_at: Timestamp, now: Timestamp) -> bool {
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

    /// Records a refused connection.
    fn record_refusal(&mut self, now: Timestamp) {
        if now.saturating_sub(self.refused_at) > REFUSAL_WINDOW {
            self.refusal_count = 0;
        }
        self.refusal_count += 1;
        self.refused_at = now;
    }

    /// Applies the notice of a peer if it is newer than the last one.
    fn apply_notice(&mut self, notice: &UpstreamNotice, now: Timestamp) {
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

    /// Returns the state that follows from the list and the evidence; either of
    /// them suffices to exclude the upstream from new work.
    fn resolve_state(&self) -> UpstreamState {
        if self.refusal_count >= GONE_REFUSAL_COUNT || self.absence_count >= GONE_ABSENCE_COUNT {
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

/// The live hosts by failure domain, with the hashes of their identifiers.
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

    /// Returns whether rendezvous hashing assigns the upstream to `own`, among
    /// the hosts of its failure domain, or among all hosts if none is there.
    fn is_watcher(&self, own: &HostId, upstream: &Listed) -> bool {
        let name = xxh3_64(upstream.id.as_bytes());
        let weight = |host: &u64| xxh3_64(&(host ^ name).to_le_bytes());
        let watcher = match self.domains.get(&*upstream.failure_domain) {
            Some(hosts) => hosts.iter().max_by_key(|(host, _)| weight(host)),
            None => self
                .domains
                .values()
                .flatten()
                .max_by_key(|(host, _)| weight(host)),
        };
        watcher.is_none_or(|(_, host)| *host == own)
    }
}
