//! Dissemination: what each datagram carries, and which ones timers send.

use std::net::SocketAddr;

use rand::Rng as _;

use crate::{
    control::{
        blackboard::{Blackboard, HostState, ServedCount},
        decision::{Decision, Kind},
    },
    host::{
        broadcast::{Broadcast as _, Priority},
        gossip::{Body, Heartbeat, ProbeId, ServedReport, Update, UpstreamNotice},
        prober::ProbeOrigin,
    },
    ids::{HostId, RowId},
};

use super::{
    Action, Context, Controller, GOSSIP_FANOUT, GOSSIP_INTERVAL, JOIN_INTERVAL, LEAVE_FANOUT,
    NOTICE_BUDGET_BYTES, PAGE_BUDGET_BYTES, RECONNECT_INTERVAL, SERVED_BUDGET_BYTES, SYNC_INTERVAL,
    UPDATE_BUDGET_BYTES,
};

/// The id of probes whose answers are not tracked.
const UNTRACKED_PROBE: ProbeId = 0;

impl Controller {
    /// Runs the periodic tasks that are due.
    pub(super) fn run_timers(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.round.now;
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.probe_interval;
            if let Some(target) = self.list.next_target(ctx.round.rng) {
                self.probe(&target, ProbeOrigin::Own, ctx);
            }
        }
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + GOSSIP_INTERVAL;
            if !self.update_queue.is_empty() || !self.notice_queue.is_empty() {
                self.gossip(GOSSIP_FANOUT, ctx);
            }
        }
        if now >= self.next_sync_at {
            let interval = if self.catching_up {
                JOIN_INTERVAL
            } else {
                SYNC_INTERVAL
            };
            self.next_sync_at = now + interval;
            self.request_page(ctx);
        }
        if now >= self.next_reconnect_at {
            self.next_reconnect_at = now + RECONNECT_INTERVAL;
            self.reconnect(ctx);
        }
    }

    /// Sends a gossip message to random members.
    fn gossip(&mut self, fanout: usize, ctx: &mut Context<'_>) {
        for host in self.list.sample(ctx.round.rng, fanout, |_, _| true) {
            self.send_to(&host, Body::Gossip, ctx);
        }
    }

    /// Requests the next page of the member list.
    fn request_page(&mut self, ctx: &mut Context<'_>) {
        let body = Body::Sync {
            after: self.sync_cursor.clone(),
        };
        let peers = self.list.sample(ctx.round.rng, 1, |_, _| true);
        if let Some(peer) = peers.first() {
            self.send_to(peer, body, ctx);
            return;
        }
        // No member is known yet, so a random seed is asked at each probe interval.
        self.next_sync_at = ctx.round.now + self.config.probe_interval;
        if let Some(seed) = self.pick_seed(ctx) {
            self.send(seed, None, body, ctx);
        }
    }

    /// Moves on to the next page; passes continue at the joining interval while
    /// they find new members.
    pub(super) fn finish_page(&mut self, next: HostId) {
        self.catching_up |= self.learned_count > 0;
        if next.is_empty() {
            self.catching_up = self.learned_count > 0;
            self.joined |= !self.catching_up;
            self.learned_count = 0;
        }
        self.sync_cursor = next;
    }

    /// Sends the page of members whose ids follow `after`.
    pub(super) fn send_page(&mut self, to: SocketAddr, after: &HostId, ctx: &mut Context<'_>) {
        let mut updates = Vec::new();
        let mut left_bytes = PAGE_BUDGET_BYTES;
        let mut next: HostId = "".into();
        for member in self.list.after(after) {
            let mut update = Update::of(&member.host);
            if member.host.state == HostState::Dead {
                update.location = None;
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
        let heartbeat = self.heartbeat(Body::SyncReply { next }, updates, Vec::new(), ctx);
        ctx.actions.push(Action::Send { to, heartbeat });
    }

    /// Probes a random dead or unreachable host, and a random seed whose address
    /// belongs to no reachable member.
    fn reconnect(&mut self, ctx: &mut Context<'_>) {
        let lost = self.list.pick_dead_or_unreachable(ctx.round.rng);
        let body = self.untracked_probe();
        if let Some(host) = lost {
            self.send_to(&host, body, ctx);
        }
        let Some(seed) = self.pick_seed(ctx) else {
            return;
        };
        if !self.list.has_address(seed) {
            let body = self.untracked_probe();
            self.send(seed, None, body, ctx);
        }
    }

    /// Returns a probe whose answer is not tracked, because any message from the
    /// host shows that it runs.
    pub(super) fn untracked_probe(&self) -> Body {
        Body::Probe {
            probe: UNTRACKED_PROBE,
        }
    }

    /// Picks a random seed other than this host.
    fn pick_seed(&self, ctx: &mut Context<'_>) -> Option<SocketAddr> {
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
        Some(seeds[ctx.round.rng.random_range(0..seeds.len())])
    }

    /// Stores and spreads a notice, unless one at least as new is known. Returns
    /// whether the notice was new.
    pub(super) fn accept_notice(&mut self, notice: &UpstreamNotice) -> bool {
        let known = self.notice_versions.get(&notice.upstream);
        if known.is_some_and(|version| *version >= notice.version) {
            return false;
        }
        self.notice_versions
            .insert(notice.upstream.clone(), notice.version);
        self.notice_queue.push(notice.clone(), Priority::High);
        true
    }

    /// Announces to peers that this host leaves and accepts no new work.
    pub(super) fn leave(&mut self, ctx: &mut Context<'_>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.announce_own_state();
        self.gossip(LEAVE_FANOUT, ctx);
        ctx.round.decisions.push(
            Decision::new(Kind::Member, ctx.round.now, "leaving")
                .about(self.config.own.id.clone())
                .figure("incarnation_count", self.incarnation as f64),
        );
    }

    /// Queues this host's own state for dissemination.
    fn announce_own_state(&mut self) {
        let state = self.own_state();
        self.list.set_own(self.incarnation, state);
        let own = self.own_update();
        self.update_queue.push(own, Priority::High);
    }

    /// Returns the state that this host announces for itself.
    fn own_state(&self) -> HostState {
        if self.leaving {
            HostState::Leaving
        } else {
            HostState::Alive
        }
    }

    /// Returns an update with the location, state and incarnation of this host.
    fn own_update(&self) -> Update {
        let mut own = self.config.own.clone();
        own.incarnation = self.incarnation;
        own.state = self.own_state();
        Update::of(&own)
    }

    /// Refutes an update about this host itself, or reports that another process
    /// runs under its id.
    pub(super) fn refute(&mut self, update: &Update, ctx: &mut Context<'_>) {
        if update.incarnation < self.incarnation {
            return;
        }
        let is_elsewhere = update
            .location
            .as_ref()
            .is_some_and(|location| location.peer_address != self.config.own.peer_address);
        if is_elsewhere && update.incarnation > self.incarnation {
            ctx.actions.push(Action::Superseded {
                incarnation: update.incarnation,
            });
            return;
        }
        let is_current = update.incarnation == self.incarnation;
        if is_current && update.state == self.own_state() {
            return;
        }
        if is_current && update.state == HostState::Alive {
            return;
        }
        self.incarnation = update.incarnation + 1;
        self.announce_own_state();
        ctx.round.decisions.push(
            Decision::new(Kind::Member, ctx.round.now, "refuted")
                .about(self.config.own.id.clone())
                .figure("incarnation_count", self.incarnation as f64),
        );
    }

    /// Sends a heartbeat to a member by id.
    pub(super) fn send_to(&mut self, host: &HostId, body: Body, ctx: &mut Context<'_>) {
        let Some(member) = self.list.get(host) else {
            return;
        };
        let to = member.host.peer_address;
        self.send(to, Some(host), body, ctx);
    }

    /// Sends a heartbeat with piggybacked updates, notices and served-token
    /// counts.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        host: Option<&HostId>,
        body: Body,
        ctx: &mut Context<'_>,
    ) {
        let mut updates = Vec::new();
        if matches!(body, Body::Probe { .. } | Body::Sync { .. }) {
            updates.push(self.own_update());
        }
        updates.extend(host.and_then(|host| self.claim_to_refute(host)));
        let mut heartbeat = self.heartbeat(body, updates, Vec::new(), ctx);
        if !is_without_gossip(&heartbeat.body) {
            let live_count = self.list.live_count();
            let batch = self
                .update_queue
                .next_batch(live_count, UPDATE_BUDGET_BYTES);
            heartbeat.updates.extend(batch);
            heartbeat.notices = self
                .notice_queue
                .next_batch(live_count, NOTICE_BUDGET_BYTES);
            heartbeat.served = self.next_served_reports(ctx.round.board);
        }
        ctx.actions.push(Action::Send { to, heartbeat });
    }

    /// Returns the suspicion or death of the receiver, so that it can refute.
    fn claim_to_refute(&self, host: &HostId) -> Option<Update> {
        let member = self.list.get(host)?;
        let is_refutable = matches!(member.host.state, HostState::Suspect | HostState::Dead);
        is_refutable.then(|| Update {
            location: None,
            ..Update::of(&member.host)
        })
    }

    /// Creates a heartbeat from this host.
    fn heartbeat(
        &self,
        body: Body,
        updates: Vec<Update>,
        served: Vec<ServedReport>,
        ctx: &Context<'_>,
    ) -> Heartbeat {
        Heartbeat {
            from: self.config.own.id.clone(),
            incarnation: self.incarnation,
            body,
            updates,
            table_revision: ctx.round.board.rows.revision,
            served,
            notices: Vec::new(),
        }
    }

    /// Returns the next served-token counts that fit into a datagram, cycling
    /// through all of them.
    fn next_served_reports(&mut self, board: &Blackboard) -> Vec<ServedReport> {
        let counts = &board.served.counts;
        let mut reports = Vec::new();
        let mut left_bytes = SERVED_BUDGET_BYTES;
        let start = self.served_cursor.clone();
        let rest = served_after(board, &start);
        let from_first = counts
            .iter()
            .flat_map(|(row, hosts)| hosts.iter().map(move |(host, count)| (row, host, *count)));
        for (row, host, count) in rest.chain(from_first) {
            let report = ServedReport {
                row: row.clone(),
                host: host.clone(),
                count,
            };
            if reports.first() == Some(&report) {
                break;
            }
            let Some(room) = left_bytes.checked_sub(report.encoded_bytes()) else {
                break;
            };
            left_bytes = room;
            self.served_cursor = (row.clone(), host.clone());
            reports.push(report);
        }
        reports
    }
}

/// Returns whether messages of this kind carry no piggybacked data, because
/// they are sent in bursts.
fn is_without_gossip(body: &Body) -> bool {
    matches!(
        body,
        Body::Sync { .. }
            | Body::Probe {
                probe: UNTRACKED_PROBE
            }
    )
}

/// Returns the served-token counts that follow the one at `start`.
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
