//! Membership and failure detection, at a constant probing cost per host.
//!
//! The [`Controller`] implements SWIM (Das, Gupta, Motivala 2002) with the local
//! health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018), and
//! distinguishes an unreachable region from dead hosts; see
//! docs/design/membership.md.

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
        member::{MemberList, Transition},
        prober::{ProbeOrigin, Prober},
        refusals::RefusalCounts,
    },
    ids::{HostId, Incarnation, Region, Revision, RowId, UpstreamId},
    settings::Settings,
};

mod detection;
mod dissemination;

/// The number of hosts that are asked to probe a host that did not answer.
const INDIRECT_PROBE_COUNT: usize = 3;
/// The number of random members that a gossip round sends to.
const GOSSIP_FANOUT: usize = 2;
/// The number of random members that are notified at once when this host leaves.
const LEAVE_FANOUT: usize = 8;
/// The interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between page requests of the member list while joining.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between page requests of the member list after joining.
const SYNC_INTERVAL: Duration = Duration::from_secs(4);
/// The interval between probes of dead and unreachable hosts and of seeds.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum size of the piggybacked member updates in one datagram.
const UPDATE_BUDGET_BYTES: usize = 480;
/// The maximum size of the upstream notices in one datagram.
const NOTICE_BUDGET_BYTES: usize = 200;
/// The maximum size of the served-token counts in one datagram.
const SERVED_BUDGET_BYTES: usize = 400;
/// The maximum size of the members in one page of the member list.
const PAGE_BUDGET_BYTES: usize = 1_100;

/// The configuration of the [`Controller`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This host, with the incarnation of this process.
    pub own: Host,
    /// The addresses of the seeds, over which this host joins.
    pub seeds: Vec<SocketAddr>,
    /// The interval between the probes that this host sends.
    pub probe_interval: Duration,
    /// The timeout of a direct probe, after which indirect probes are requested.
    pub probe_timeout: Duration,
    /// The time within which a suspect may refute, in a fleet of ten hosts.
    pub suspicion_timeout: Duration,
}

impl Config {
    /// Creates a configuration from `settings`.
    ///
    /// `incarnation` must be higher than that of any earlier process of the
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

/// The state of a host in the list of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// No longer listed.
    Absent,
}

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat with a valid signature arrived.
    Received {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The address that it came from.
        source: SocketAddr,
    },
    /// A datagram was refused.
    Refused {
        /// The reason.
        refusal: Refusal,
        /// The address that it came from.
        source: SocketAddr,
    },
    /// The platform's list, which lags, reports the state of a host.
    HostListed {
        /// The host.
        host: HostId,
        /// The host's address for peers.
        peer_address: SocketAddr,
        /// Its state in the list.
        listing: Listing,
    },
    /// This host learned a new state of an upstream.
    Noticed(UpstreamNotice),
    /// This host begins to stop.
    Leave,
}

/// An effect that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Fetch the table, because a peer has a higher revision in force.
    PeerRevision {
        /// The peer.
        host: HostId,
        /// Its revision.
        revision: Revision,
    },
    /// Pass served-token counts to the share ledger.
    PeerServed {
        /// The counts.
        reports: Vec<ServedReport>,
    },
    /// Pass a notice from a peer to the controller of the upstream list.
    PeerNotice(UpstreamNotice),
    /// Stop this process, because another one runs under this host's id.
    Superseded {
        /// The incarnation of the other process.
        incarnation: Incarnation,
    },
}

/// Probes members and disseminates their states.
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
    list: MemberList,
    update_queue: Queue<Update>,
    notice_queue: Queue<UpstreamNotice>,
    /// The newest notice version of each upstream, so that older notices stop
    /// spreading.
    notice_versions: BTreeMap<UpstreamId, NoticeVersion>,
    prober: Prober,
    incarnation: Incarnation,
    leaving: bool,
    next_probe_at: Timestamp,
    next_gossip_at: Timestamp,
    next_sync_at: Timestamp,
    next_reconnect_at: Timestamp,
    last_round_at: Option<Timestamp>,
    /// The id after which the next page of the member list starts.
    sync_cursor: HostId,
    joined: bool,
    /// Whether pages are requested at the joining interval.
    catching_up: bool,
    /// The number of members learned in the current pass over the list.
    learned_count: usize,
    /// The served-token count that was sent last.
    served_cursor: (RowId, HostId),
    /// The time at which each region was last checked for an answer.
    region_checks: BTreeMap<Region, Timestamp>,
    refusals: RefusalCounts,
}

/// A round and the actions that it has produced so far.
struct Context<'a> {
    round: Round<'a>,
    actions: Vec<Action>,
}

impl Controller {
    /// Creates a controller that knows only this host.
    pub fn new(config: Config) -> Self {
        Self {
            list: MemberList::new(config.own.clone()),
            update_queue: Queue::default(),
            notice_queue: Queue::default(),
            notice_versions: BTreeMap::new(),
            prober: Prober::default(),
            incarnation: config.own.incarnation,
            leaving: false,
            next_probe_at: Timestamp::ZERO,
            next_gossip_at: Timestamp::ZERO,
            next_sync_at: Timestamp::ZERO,
            next_reconnect_at: Timestamp::ZERO,
            last_round_at: None,
            sync_cursor: "".into(),
            joined: false,
            catching_up: true,
            learned_count: 0,
            served_cursor: ("".into(), "".into()),
            region_checks: BTreeMap::new(),
            refusals: RefusalCounts::default(),
            config,
        }
    }

    /// Returns the incarnation of this host, which a refutation raises.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether a whole pass over the member list of other hosts has
    /// found no new members.
    pub fn is_joined(&self) -> bool {
        self.joined
    }
}

impl crate::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "membership";

    fn run(&mut self, events: impl IntoIterator<Item = Event>, round: Round<'_>) -> Vec<Action> {
        let mut ctx = Context {
            round,
            actions: Vec::new(),
        };
        self.handle_own_pause(&mut ctx);
        for event in events {
            self.handle(event, &mut ctx);
        }
        self.expire_probes(&mut ctx);
        self.expire_states(&mut ctx);
        self.run_timers(&mut ctx);
        self.list.publish(ctx.round.board);
        ctx.actions
    }
}

impl Controller {
    /// Handles one event.
    fn handle(&mut self, event: Event, ctx: &mut Context<'_>) {
        match event {
            Event::Received { heartbeat, source } => self.handle_heartbeat(heartbeat, source, ctx),
            Event::Refused { refusal, source } => {
                let now = ctx.round.now;
                let record = self.refusals.record((&refusal).into(), source, now);
                ctx.round.decisions.extend(record);
            }
            Event::HostListed {
                host,
                peer_address,
                listing,
            } => self.handle_listing(&host, peer_address, listing, ctx),
            Event::Noticed(notice) => {
                self.accept_notice(&notice);
            }
            Event::Leave => self.leave(ctx),
        }
    }

    /// Applies the contents of a heartbeat and answers it.
    fn handle_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        source: SocketAddr,
        ctx: &mut Context<'_>,
    ) {
        let is_page = matches!(heartbeat.body, Body::SyncReply { .. });
        let known_count = self.list.count();
        for update in &heartbeat.updates {
            self.apply(update, !is_page, ctx);
        }
        if is_page {
            self.learned_count += self.list.count().saturating_sub(known_count);
        }
        let from = heartbeat.from;
        let transition = self
            .list
            .record_contact(&from, heartbeat.incarnation, ctx.round.now);
        self.record_transition(transition, false, ctx);
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
                self.send(to, Some(&from), body, ctx);
            }
            Body::Ack { probe, .. } => self.handle_ack(probe, ctx),
            Body::ProbeRequest { probe, target } => {
                let origin = ProbeOrigin::Relay { to, probe };
                self.probe(&target, origin, ctx);
            }
            Body::Gossip => {}
            Body::Sync { after } => self.send_page(to, &after, ctx),
            Body::SyncReply { next } => self.finish_page(next),
        }
        for notice in heartbeat.notices {
            if self.accept_notice(&notice) {
                ctx.actions.push(Action::PeerNotice(notice));
            }
        }
        if heartbeat.table_revision > ctx.round.board.rows.revision {
            ctx.actions.push(Action::PeerRevision {
                host: from,
                revision: heartbeat.table_revision,
            });
        }
        if !heartbeat.served.is_empty() {
            ctx.actions.push(Action::PeerServed {
                reports: heartbeat.served,
            });
        }
    }

    /// Applies an update from a peer, and spreads it if it changed a state.
    fn apply(&mut self, update: &Update, spread: bool, ctx: &mut Context<'_>) {
        if update.host == self.config.own.id {
            self.refute(update, ctx);
            return;
        }
        let transition = self.list.apply(update, ctx.round.now);
        self.record_transition(transition, spread, ctx);
    }

    /// Records a transition as a decision and starts its follow-ups: suspicion,
    /// suspicion of the whole region, and dissemination to the peers.
    fn record_transition(
        &mut self,
        transition: Option<Transition>,
        spread: bool,
        ctx: &mut Context<'_>,
    ) {
        let Some(transition) = transition else {
            return;
        };
        let now = ctx.round.now;
        ctx.round.decisions.push(
            Decision::new(Kind::Member, now, transition.to.to_string())
                .about(transition.host.clone())
                .figure("incarnation_count", transition.incarnation as f64)
                .figure("silence_ms", transition.silence.as_secs_f64() * 1e3),
        );
        if transition.to == HostState::Suspect {
            self.start_suspicion(&transition.host, ctx);
        }
        if transition.to == HostState::Unreachable {
            self.suspect_region(&transition.host, ctx);
        }
        let is_local = matches!(transition.to, HostState::Unreachable | HostState::Damped);
        if !spread || is_local {
            return;
        }
        if let Some(member) = self.list.get(&transition.host) {
            let mut update = Update::of(&member.host);
            if matches!(transition.to, HostState::Suspect | HostState::Dead) {
                update.location = None;
            }
            let priority = match transition.from {
                Some(_) => Priority::High,
                None => Priority::Low,
            };
            self.update_queue.push(update, priority);
        }
    }

    /// Handles an entry of the platform's list as a hint, because the list lags.
    fn handle_listing(
        &mut self,
        host: &HostId,
        peer_address: SocketAddr,
        listing: Listing,
        ctx: &mut Context<'_>,
    ) {
        if *host == self.config.own.id {
            return;
        }
        let now = ctx.round.now;
        let Some(member) = self.list.get(host) else {
            if listing == Listing::Live {
                let body = self.untracked_probe();
                self.send(peer_address, None, body, ctx);
            }
            return;
        };
        let incarnation = member.host.incarnation;
        let is_silent = matches!(
            member.host.state,
            HostState::Suspect | HostState::Unreachable
        );
        // The list alone is no evidence of death; it only confirms a suspicion
        // or an unreachable state.
        if listing == Listing::Absent && is_silent {
            let transition = self.list.change(host, incarnation, HostState::Dead, now);
            self.record_transition(transition, true, ctx);
        }
    }
}
