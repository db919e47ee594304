//! The spread of news: what goes into a datagram, and when unprompted.

use std::net::SocketAddr;

use rand::Rng as _;

use crate::{
    control::{
        blackboard::{Blackboard, HostState, ServedCount},
        decision::{Decision, Kind},
    },
    host::{
        broadcast::{News as _, Priority},
        gossip::{Body, Heartbeat, ProbeId, ServedReport, Update, UpstreamNotice},
        prober::Waiter,
    },
    ids::{HostId, RowId},
};

use super::{
    Action, Controller, GOSSIP_FANOUT, GOSSIP_INTERVAL, JOIN_INTERVAL, LEAVE_FANOUT,
    NEWS_BUDGET_BYTES, NOTICE_BUDGET_BYTES, PAGE_BUDGET_BYTES, RECONNECT_INTERVAL,
    SERVED_BUDGET_BYTES, SYNC_INTERVAL, Turn,
};

/// Numbers the probes that nobody waits for.
const UNTRACKED_PROBE: ProbeId = 0;

impl Controller {
    /// Does what is due by time alone.
    pub(super) fn run_timers(&mut self, turn: &mut Turn<'_>) {
        let now = turn.round.now;
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.probe_interval;
            if let Some(target) = self.list.next_target(turn.round.rng) {
                self.probe(&target, Waiter::Own, turn);
            }
        }
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + GOSSIP_INTERVAL;
            if !self.news.is_empty() || !self.notices.is_empty() {
                self.gossip(GOSSIP_FANOUT, turn);
            }
        }
        if now >= self.next_sync_at {
            let interval = if self.catching_up {
                JOIN_INTERVAL
            } else {
                SYNC_INTERVAL
            };
            self.next_sync_at = now + interval;
            self.ask_page(turn);
        }
        if now >= self.next_reconnect_at {
            self.next_reconnect_at = now + RECONNECT_INTERVAL;
            self.reconnect(turn);
        }
    }

    /// Sends news to members picked at random.
    fn gossip(&mut self, fanout: usize, turn: &mut Turn<'_>) {
        for host in self.list.sample(turn.round.rng, fanout, |_, _| true) {
            self.send_to(&host, Body::Gossip, turn);
        }
    }

    /// Asks for the next page of the member list.
    fn ask_page(&mut self, turn: &mut Turn<'_>) {
        let body = Body::Sync {
            after: self.cursor.clone(),
        };
        let peers = self.list.sample(turn.round.rng, 1, |_, _| true);
        if let Some(peer) = peers.first() {
            self.send_to(peer, body, turn);
            return;
        }
        // Nobody is known yet, so the seeds are asked one after the other.
        self.next_sync_at = turn.round.now + self.config.probe_interval;
        if let Some(seed) = self.pick_seed(turn) {
            self.send(seed, None, body, turn);
        }
    }

    /// Goes on to the next page, faster while pages still teach new members.
    pub(super) fn finish_page(&mut self, next: HostId) {
        self.catching_up |= self.taught_count > 0;
        if next.is_empty() {
            self.catching_up = self.taught_count > 0;
            self.joined |= !self.catching_up;
            self.taught_count = 0;
        }
        self.cursor = next;
    }

    /// Answers with the members whose names follow `after`.
    pub(super) fn send_page(&mut self, to: SocketAddr, after: &HostId, turn: &mut Turn<'_>) {
        let mut updates = Vec::new();
        let mut left_bytes = PAGE_BUDGET_BYTES;
        let mut next: HostId = "".into();
        for member in self.list.after(after) {
            let mut update = Update::of(&member.host);
            if member.host.state == HostState::Dead {
                update.place = None;
            }
            let Some(rest) = left_bytes.checked_sub(update.encoded_bytes()) else {
                next = updates
                    .last()
                    .map_or_else(|| after.clone(), |last: &Update| last.host.clone());
                break;
            };
            left_bytes = rest;
            updates.push(update);
        }
        let heartbeat = self.heartbeat(Body::SyncReply { next }, updates, Vec::new(), turn);
        turn.actions.push(Action::Send { to, heartbeat });
    }

    /// Probes a host that is held for gone, or a seed that is not known.
    fn reconnect(&mut self, turn: &mut Turn<'_>) {
        let gone = self.list.pick_gone(turn.round.rng);
        let body = self.probe_body();
        if let Some(host) = gone {
            self.send_to(&host, body, turn);
        }
        let Some(seed) = self.pick_seed(turn) else {
            return;
        };
        if !self.list.has_address(seed) {
            let body = self.probe_body();
            self.send(seed, None, body, turn);
        }
    }

    /// Makes a probe that nobody waits for: any answer shows that the host runs.
    pub(super) fn probe_body(&self) -> Body {
        Body::Probe {
            probe: UNTRACKED_PROBE,
        }
    }

    /// Picks one of the seeds other than this host.
    fn pick_seed(&self, turn: &mut Turn<'_>) -> Option<SocketAddr> {
        let own = self.config.own.peer_address;
        let seeds: Vec<SocketAddr> = self
            .config
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own)
            .collect();
        if seeds.is_empty() {
            return None;
        }
        Some(seeds[turn.round.rng.random_range(0..seeds.len())])
    }

    /// Takes a notice on and passes it on, or says that a newer one is known.
    pub(super) fn take_notice(&mut self, notice: &UpstreamNotice) -> bool {
        let known = self.notice_versions.get(&notice.upstream);
        if known.is_some_and(|version| *version >= notice.version) {
            return false;
        }
        self.notice_versions
            .insert(notice.upstream.clone(), notice.version);
        self.notices.push(notice.clone(), Priority::High);
        true
    }

    /// Tells peers that this host takes no new work.
    pub(super) fn leave(&mut self, turn: &mut Turn<'_>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.announce();
        self.gossip(LEAVE_FANOUT, turn);
        turn.round.decisions.push(
            Decision::new(Kind::Member, turn.round.now, "leaving")
                .about(self.config.own.id.clone())
                .figure("incarnation_count", self.incarnation as f64),
        );
    }

    /// Passes on what this host says of itself.
    fn announce(&mut self) {
        let state = self.own_state();
        self.list.set_own(self.incarnation, state);
        let own = self.own_update();
        self.news.push(own, Priority::High);
    }

    /// Returns the state that this host claims for itself.
    fn own_state(&self) -> HostState {
        if self.leaving {
            HostState::Leaving
        } else {
            HostState::Alive
        }
    }

    /// Says where this host stands and in which life.
    fn own_update(&self) -> Update {
        let mut own = self.config.own.clone();
        own.incarnation = self.incarnation;
        own.state = self.own_state();
        Update::of(&own)
    }

    /// Answers a claim about this host itself.
    pub(super) fn refute(&mut self, update: &Update, turn: &mut Turn<'_>) {
        if update.incarnation < self.incarnation {
            return;
        }
        let elsewhere = update
            .place
            .as_ref()
            .is_some_and(|place| place.peer_address != self.config.own.peer_address);
        if elsewhere && update.incarnation > self.incarnation {
            turn.actions.push(Action::Superseded {
                incarnation: update.incarnation,
            });
            return;
        }
        let known = update.incarnation == self.incarnation;
        if known && update.state == self.own_state() {
            return;
        }
        if known && update.state == HostState::Alive {
            return;
        }
        self.incarnation = update.incarnation + 1;
        self.announce();
        turn.round.decisions.push(
            Decision::new(Kind::Member, turn.round.now, "refuted")
                .about(self.config.own.id.clone())
                .figure("incarnation_count", self.incarnation as f64),
        );
    }

    /// Sends to a member by name.
    pub(super) fn send_to(&mut self, host: &HostId, body: Body, turn: &mut Turn<'_>) {
        let Some(member) = self.list.get(host) else {
            return;
        };
        let to = member.host.peer_address;
        self.send(to, Some(host), body, turn);
    }

    /// Sends a heartbeat with news and counts in the room that is left.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        host: Option<&HostId>,
        body: Body,
        turn: &mut Turn<'_>,
    ) {
        let mut updates = Vec::new();
        if matches!(body, Body::Probe { .. } | Body::Sync { .. }) {
            updates.push(self.own_update());
        }
        updates.extend(host.and_then(|host| self.accusation(host)));
        let mut heartbeat = self.heartbeat(body, updates, Vec::new(), turn);
        if !is_bare(&heartbeat.body) {
            let live_count = self.list.live_count();
            let news = self.news.take(live_count, NEWS_BUDGET_BYTES);
            heartbeat.updates.extend(news);
            heartbeat.notices = self.notices.take(live_count, NOTICE_BUDGET_BYTES);
            heartbeat.served = self.take_served(turn.round.board);
        }
        turn.actions.push(Action::Send { to, heartbeat });
    }

    /// Returns what the receiver has to know of itself in order to refute it.
    fn accusation(&self, host: &HostId) -> Option<Update> {
        let member = self.list.get(host)?;
        let accused = matches!(member.host.state, HostState::Suspect | HostState::Dead);
        accused.then(|| Update {
            place: None,
            ..Update::of(&member.host)
        })
    }

    /// Makes a message of this host.
    fn heartbeat(
        &self,
        body: Body,
        updates: Vec<Update>,
        served: Vec<ServedReport>,
        turn: &Turn<'_>,
    ) -> Heartbeat {
        Heartbeat {
            from: self.config.own.id.clone(),
            incarnation: self.incarnation,
            body,
            updates,
            table_revision: turn.round.board.rows.revision,
            served,
            notices: Vec::new(),
        }
    }

    /// Takes the counts that fit, in turn over all of them.
    fn take_served(&mut self, board: &Blackboard) -> Vec<ServedReport> {
        let counts = &board.served.counts;
        let mut taken = Vec::new();
        let mut left_bytes = SERVED_BUDGET_BYTES;
        let start = self.served_cursor.clone();
        let rest = served_after(board, &start);
        let again = counts
            .iter()
            .flat_map(|(row, hosts)| hosts.iter().map(move |(host, count)| (row, host, *count)));
        for (row, host, count) in rest.chain(again) {
            let report = ServedReport {
                row: row.clone(),
                host: host.clone(),
                count,
            };
            if taken.first() == Some(&report) {
                break;
            }
            let Some(room) = left_bytes.checked_sub(report.encoded_bytes()) else {
                break;
            };
            left_bytes = room;
            self.served_cursor = (row.clone(), host.clone());
            taken.push(report);
        }
        taken
    }
}

/// Says whether a message is sent so often at times that it carries no news.
fn is_bare(body: &Body) -> bool {
    matches!(
        body,
        Body::Sync { .. }
            | Body::Probe {
                probe: UNTRACKED_PROBE
            }
    )
}

/// Returns the counts that follow the one at `start`.
fn served_after<'a>(
    board: &'a Blackboard,
    start: &'a (RowId, HostId),
) -> impl Iterator<Item = (&'a RowId, &'a HostId, ServedCount)> {
    use std::ops::Bound::{Excluded, Included, Unbounded};
    let (start_row, start_host) = start;
    board
        .served
        .counts
        .range::<str, _>((Included(&**start_row), Unbounded))
        .flat_map(move |(row, hosts)| {
            let after = if row == start_row {
                (Excluded(&**start_host), Unbounded)
            } else {
                (Unbounded, Unbounded)
            };
            hosts
                .range::<str, _>(after)
                .map(move |(host, count)| (row, host, *count))
        })
}
