//! Which hosts are there, by probes at constant cost a host.
//!
//! The [`Controller`] follows SWIM (Das, Gupta, Motivala 2002) with the local
//! health of Lifeguard (Dadgar, Phillips, Currey 2018), and tells a region out
//! of reach from dead hosts; see docs/design/membership.md.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Host, HostState},
        controller::Round,
        decision::{Decision, Kind},
    },
    host::{
        broadcast::{Priority, Queue},
        datagram::Refusal,
        gossip::{Body, Heartbeat, NoticeVersion, ServedReport, Update, UpstreamNotice},
        member::{List, Transition},
        prober::{Prober, Waiter},
        refusals::Tally,
    },
    ids::{HostId, Incarnation, Region, Revision, RowId, UpstreamId},
    settings::Settings,
};

mod detection;
mod dissemination;

/// How many hosts are asked to probe one that did not answer.
const RELAY_COUNT: usize = 3;
/// How many hosts get unprompted news at a time.
const GOSSIP_FANOUT: usize = 2;
/// How many hosts are told at once that this one is leaving.
const LEAVE_FANOUT: usize = 8;
/// The time between two rounds of unprompted news.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two pages of the member list while joining.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two pages of the member list afterwards.
const SYNC_INTERVAL: Duration = Duration::from_secs(4);
/// The time between two probes of hosts that are held for gone.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// The bytes of member news in one datagram.
const NEWS_BUDGET_BYTES: usize = 480;
/// The bytes of upstream news in one datagram.
const NOTICE_BUDGET_BYTES: usize = 200;
/// The bytes of served counts in one datagram.
const SERVED_BUDGET_BYTES: usize = 400;
/// The bytes of members in one page of the list.
const PAGE_BUDGET_BYTES: usize = 1_100;

/// What the controller is set up with.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host with the incarnation of this life.
    pub own: Host,
    /// Addresses over which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// The time between two probes that this host sends.
    pub probe_interval: Duration,
    /// How long a probe may stay unanswered before others are asked.
    pub probe_timeout: Duration,
    /// How long a suspect may refute, in a fleet of ten hosts.
    pub suspicion_timeout: Duration,
}

impl Config {
    /// Takes the fields over from `settings`.
    ///
    /// `incarnation` has to be higher than that of any earlier life of the
    /// host, such as the milliseconds since the Unix epoch at its start.
    pub fn from_settings(settings: &Settings, incarnation: Incarnation) -> Self {
        let membership = &settings.membership;
        Self {
            own: Host {
                id: settings.host.id.clone(),
                incarnation,
                state: HostState::Alive,
                failure_domain: settings.host.failure_domain.clone(),
                region: settings.host.region.clone(),
                peer_address: settings.host.peer_address,
                http_address: settings.host.http_address,
            },
            seeds: settings.seed_peers.clone(),
            probe_interval: Duration::from_millis(membership.probe_interval_ms),
            probe_timeout: Duration::from_millis(membership.probe_timeout_ms),
            suspicion_timeout: Duration::from_millis(membership.suspicion_timeout_ms),
        }
    }
}

/// How the platform lists a host of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// As live.
    Live,
    /// As leaving.
    Leaving,
    /// Not any more.
    Absent,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat arrived that was rightly signed.
    Received {
        /// What it says.
        heartbeat: Heartbeat,
        /// Where it came from.
        source: SocketAddr,
    },
    /// A datagram was refused.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Where it came from.
        source: SocketAddr,
    },
    /// The platform's list, which lags, says something of a host.
    HostListed {
        /// The host.
        host: HostId,
        /// Where it answers peers.
        peer_address: SocketAddr,
        /// How it is listed.
        listing: Listing,
    },
    /// This host found something out about an upstream.
    Noticed(UpstreamNotice),
    /// This host is stopping.
    Leave,
}

/// What the code around the controller shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// Fetch the table, since a peer has a higher revision in force.
    PeerRevision {
        /// The peer.
        host: HostId,
        /// Its revision.
        revision: Revision,
    },
    /// Give served-token counts to the share ledger.
    PeerServed {
        /// The counts.
        reports: Vec<ServedReport>,
    },
    /// Give a peer's finding to the controller of the upstream list.
    PeerNotice(UpstreamNotice),
    /// Stop this process, since another one runs under this host's name.
    Superseded {
        /// The incarnation of the other one.
        incarnation: Incarnation,
    },
}

/// Probes members and spreads what is known of them.
///
/// # Examples
///
/// ```
/// use mimosavane::{host::membership, settings::Settings};
///
/// # let text = "
/// # host: {id: a, region: r, failure_domain: f, http_address: 127.0.0.1:1, peer_address: 127.0.0.1:2}
/// # platform: {table_service_url: http://127.0.0.1:3}
/// # ";
/// let settings = Settings::parse(text)?;
/// let config = membership::Config::from_settings(&settings, 1);
/// let controller = membership::Controller::new(config);
/// assert_eq!(controller.incarnation(), 1);
/// # Ok::<(), mimosavane::settings::SettingsError>(())
/// ```
#[derive(Debug)]
pub struct Controller {
    config: Config,
    list: List,
    news: Queue<Update>,
    notices: Queue<UpstreamNotice>,
    /// The newest notice of each upstream, so that old ones end.
    notice_versions: BTreeMap<UpstreamId, NoticeVersion>,
    prober: Prober,
    incarnation: Incarnation,
    leaving: bool,
    next_probe_at: Timestamp,
    next_gossip_at: Timestamp,
    next_sync_at: Timestamp,
    next_reconnect_at: Timestamp,
    last_round_at: Option<Timestamp>,
    /// Where the member list is read on.
    cursor: HostId,
    joined: bool,
    /// Whether the list is read at the pace of joining.
    catching_up: bool,
    /// How many members this pass over the list has taught.
    taught_count: usize,
    /// Where the served counts are read on.
    served_cursor: (RowId, HostId),
    /// When each region was last checked.
    region_checks: BTreeMap<Region, Timestamp>,
    refusals: Tally,
}

/// One round with the actions that it has led to.
struct Turn<'a> {
    round: Round<'a>,
    actions: Vec<Action>,
}

impl Controller {
    /// Makes a controller that knows only this host.
    pub fn new(config: Config) -> Self {
        Self {
            list: List::new(config.own.clone()),
            news: Queue::default(),
            notices: Queue::default(),
            notice_versions: BTreeMap::new(),
            prober: Prober::default(),
            incarnation: config.own.incarnation,
            leaving: false,
            next_probe_at: Timestamp::ZERO,
            next_gossip_at: Timestamp::ZERO,
            next_sync_at: Timestamp::ZERO,
            next_reconnect_at: Timestamp::ZERO,
            last_round_at: None,
            cursor: "".into(),
            joined: false,
            catching_up: true,
            taught_count: 0,
            served_cursor: ("".into(), "".into()),
            region_checks: BTreeMap::new(),
            refusals: Tally::default(),
            config,
        }
    }

    /// Returns the incarnation of this host, which refutations raise.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Says whether the member list was read from others to its end, and the
    /// last pass over it taught nothing new.
    pub fn is_joined(&self) -> bool {
        self.joined
    }
}

impl crate::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "membership";

    fn run(&mut self, events: impl IntoIterator<Item = Event>, round: Round<'_>) -> Vec<Action> {
        let mut turn = Turn {
            round,
            actions: Vec::new(),
        };
        self.forgive_pause(&mut turn);
        for event in events {
            self.handle(event, &mut turn);
        }
        self.follow_probes(&mut turn);
        self.end_states(&mut turn);
        self.run_timers(&mut turn);
        self.list.publish(turn.round.board);
        turn.actions
    }
}

impl Controller {
    /// Takes in one event.
    fn handle(&mut self, event: Event, turn: &mut Turn<'_>) {
        match event {
            Event::Received { heartbeat, source } => self.receive(heartbeat, source, turn),
            Event::Refused { refusal, source } => {
                let now = turn.round.now;
                let record = self.refusals.add((&refusal).into(), source, now);
                turn.round.decisions.extend(record);
            }
            Event::HostListed {
                host,
                peer_address,
                listing,
            } => self.follow_listing(&host, peer_address, listing, turn),
            Event::Noticed(notice) => {
                self.take_notice(&notice);
            }
            Event::Leave => self.leave(turn),
        }
    }

    /// Takes in a heartbeat and answers it.
    fn receive(&mut self, heartbeat: Heartbeat, source: SocketAddr, turn: &mut Turn<'_>) {
        let is_page = matches!(heartbeat.body, Body::SyncReply { .. });
        let known_count = self.list.count();
        for update in &heartbeat.updates {
            self.apply(update, !is_page, turn);
        }
        if is_page {
            self.taught_count += self.list.count().saturating_sub(known_count);
        }
        let from = heartbeat.from;
        let heard = self.list.hear(&from, heartbeat.incarnation, turn.round.now);
        self.record(heard, false, turn);
        let to = self
            .list
            .get(&from)
            .map_or(source, |member| member.host.peer_address);
        match heartbeat.body {
            Body::Probe { probe } => {
                let body = Body::Ack {
                    probe,
                    target: None,
                };
                self.send(to, Some(&from), body, turn);
            }
            Body::Ack { probe, .. } => self.take_answer(probe, turn),
            Body::ProbeRequest { probe, target } => {
                let waiter = Waiter::Relay { to, probe };
                self.probe(&target, waiter, turn);
            }
            Body::Gossip => {}
            Body::Sync { after } => self.send_page(to, &after, turn),
            Body::SyncReply { next } => self.finish_page(next),
        }
        for notice in heartbeat.notices {
            if self.take_notice(&notice) {
                turn.actions.push(Action::PeerNotice(notice));
            }
        }
        if heartbeat.table_revision > turn.round.board.rows.revision {
            turn.actions.push(Action::PeerRevision {
                host: from,
                revision: heartbeat.table_revision,
            });
        }
        if !heartbeat.served.is_empty() {
            turn.actions.push(Action::PeerServed {
                reports: heartbeat.served,
            });
        }
    }

    /// Weighs one claim, and passes it on where it changed a belief.
    fn apply(&mut self, update: &Update, spread: bool, turn: &mut Turn<'_>) {
        if update.host == self.config.own.id {
            self.refute(update, turn);
            return;
        }
        let transition = self.list.apply(update, turn.round.now);
        self.record(transition, spread, turn);
    }

    /// Records a change of state, and what follows from it.
    fn record(&mut self, transition: Option<Transition>, spread: bool, turn: &mut Turn<'_>) {
        let Some(transition) = transition else {
            return;
        };
        let now = turn.round.now;
        turn.round.decisions.push(
            Decision::new(Kind::Member, now, transition.to.to_string())
                .about(transition.host.clone())
                .figure("incarnation_count", transition.incarnation as f64)
                .figure("silence_ms", transition.silence.as_secs_f64() * 1e3),
        );
        if transition.to == HostState::Suspect {
            self.start_suspicion(&transition.host, turn);
        }
        if transition.to == HostState::Unreachable {
            self.suspect_region(&transition.host, turn);
        }
        let local = matches!(transition.to, HostState::Unreachable | HostState::Damped);
        if !spread || local {
            return;
        }
        if let Some(member) = self.list.get(&transition.host) {
            let mut update = Update::of(&member.host);
            if matches!(transition.to, HostState::Suspect | HostState::Dead) {
                update.place = None;
            }
            let priority = match transition.from {
                Some(_) => Priority::High,
                None => Priority::Low,
            };
            self.news.push(update, priority);
        }
    }

    /// Takes the platform's list as a hint, since it lags.
    fn follow_listing(
        &mut self,
        host: &HostId,
        peer_address: SocketAddr,
        listing: Listing,
        turn: &mut Turn<'_>,
    ) {
        if *host == self.config.own.id {
            return;
        }
        let now = turn.round.now;
        let Some(member) = self.list.get(host) else {
            if listing == Listing::Live {
                let body = self.probe_body();
                self.send(peer_address, None, body, turn);
            }
            return;
        };
        let incarnation = member.host.incarnation;
        let silent = matches!(
            member.host.state,
            HostState::Suspect | HostState::Unreachable
        );
        // The list alone proves nothing: it only settles a doubt.
        if listing == Listing::Absent && silent {
            let transition = self.list.change(host, incarnation, HostState::Dead, now);
            self.record(transition, true, turn);
        }
    }
}
