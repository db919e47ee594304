//! Failure detection: probes, suspicion and unreachable regions.

use std::time::Duration;

use crate::{
    control::{
        blackboard::HostState,
        decision::{Decision, Kind},
    },
    host::{
        gossip::{Body, ProbeId},
        prober::{Failure, ProbeOrigin},
    },
    ids::HostId,
};

use super::{Context, Controller, INDIRECT_PROBE_COUNT};

/// The number of times that each host probes a suspect itself before the
/// suspicion of other hosts takes effect.
const SUSPECT_CHECK_COUNT: u32 = 2;

impl Controller {
    /// Extends the deadlines of others after a pause of this process.
    pub(super) fn handle_own_pause(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.round.now;
        let gap = self
            .last_round_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.last_round_at = Some(now);
        if gap < self.config.probe_interval {
            return;
        }
        self.prober.clear();
        self.list.postpone_suspicions(gap);
        ctx.round.decisions.push(
            Decision::new(Kind::Member, now, "stood still")
                .about(self.config.own.id.clone())
                .figure("pause_ms", gap.as_secs_f64() * 1e3),
        );
    }

    /// Handles probes whose answer is overdue.
    pub(super) fn expire_probes(&mut self, ctx: &mut Context<'_>) {
        for failure in self.prober.expire(ctx.round.now) {
            match failure {
                Failure::Late { probe, target } => self.probe_indirectly(probe, &target, ctx),
                Failure::Lost { target } => self.suspect(&target, ctx),
            }
        }
    }

    /// Asks hosts in different regions to probe `target`.
    fn probe_indirectly(&mut self, probe: ProbeId, target: &HostId, ctx: &mut Context<'_>) {
        let relays = self
            .list
            .sample(ctx.round.rng, INDIRECT_PROBE_COUNT, |host, picked| {
                let is_new_region = picked.iter().all(|other| other.region != host.region);
                host.id != *target && (is_new_region || picked.len() + 1 == INDIRECT_PROBE_COUNT)
            });
        for relay in relays {
            let body = Body::ProbeRequest {
                probe,
                target: target.clone(),
            };
            self.send_to(&relay, body, ctx);
        }
    }

    /// Probes one member.
    pub(super) fn probe(&mut self, target: &HostId, origin: ProbeOrigin, ctx: &mut Context<'_>) {
        let probe = self.prober.start(
            target.clone(),
            origin,
            ctx.round.now,
            self.config.probe_timeout,
            self.config.probe_interval,
        );
        self.send_to(target, Body::Probe { probe }, ctx);
    }

    /// Handles the answer to a probe, and relays it if another host requested
    /// the probe.
    pub(super) fn handle_ack(&mut self, probe: ProbeId, ctx: &mut Context<'_>) {
        let Some(pending) = self.prober.complete(probe) else {
            return;
        };
        if let ProbeOrigin::Relay { to, probe } = pending.origin {
            let body = Body::Ack {
                probe,
                target: Some(pending.target),
            };
            self.send(to, None, body, ctx);
            return;
        }
        let Some(member) = self.list.get(&pending.target) else {
            return;
        };
        // A relayed answer counts as much as a direct one.
        let incarnation = member.host.incarnation;
        let transition = self
            .list
            .record_contact(&pending.target, incarnation, ctx.round.now);
        self.record_transition(transition, false, ctx);
    }

    /// Suspects a member that answered neither direct nor indirect probes.
    fn suspect(&mut self, target: &HostId, ctx: &mut Context<'_>) {
        let Some(member) = self.list.get(target) else {
            return;
        };
        if !matches!(member.host.state, HostState::Alive | HostState::Damped) {
            return;
        }
        let incarnation = member.host.incarnation;
        let now = ctx.round.now;
        let transition = self
            .list
            .change(target, incarnation, HostState::Suspect, now);
        self.record_transition(transition, true, ctx);
        // The message carries the suspicion to the suspect itself, so that it can
        // refute at once.
        self.send_to(target, Body::Gossip, ctx);
    }

    /// Suspects all members of an unreachable region, so that none of them
    /// still counts as alive.
    pub(super) fn suspect_region(&mut self, host: &HostId, ctx: &mut Context<'_>) {
        let now = ctx.round.now;
        for (other, incarnation) in self.list.alive_in_same_region(host) {
            let transition = self
                .list
                .change(&other, incarnation, HostState::Suspect, now);
            self.record_transition(transition, false, ctx);
        }
    }

    /// Sets the deadline of the first check of a suspect, and probes another
    /// member of its region to learn whether the region answers.
    pub(super) fn start_suspicion(&mut self, host: &HostId, ctx: &mut Context<'_>) {
        let now = ctx.round.now;
        let check_interval = self.suspicion_timeout() / (SUSPECT_CHECK_COUNT + 1);
        self.list.set_deadline(host, Some(now + check_interval));
        let Some(member) = self.list.get(host) else {
            return;
        };
        let region = member.host.region.clone();
        if region == self.config.own.region {
            return;
        }
        let checked_at = self.region_checks.get(&region).copied();
        if checked_at.is_some_and(|at| now.saturating_sub(at) < self.config.probe_interval) {
            return;
        }
        self.region_checks.insert(region.clone(), now);
        let targets = self.list.sample(ctx.round.rng, 1, |other, _| {
            other.region == region && other.id != *host
        });
        for target in targets {
            self.probe(&target, ProbeOrigin::Own, ctx);
        }
    }

    /// Returns the time within which a suspect may refute. It grows with the
    /// logarithm of the fleet size, as does the time in which updates spread.
    fn suspicion_timeout(&self) -> Duration {
        let decades = (self.list.live_count() as f64).log10().max(1.0);
        self.config.suspicion_timeout.mul_f64(decades)
    }

    /// Ends the states whose deadline has passed.
    pub(super) fn expire_states(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.round.now;
        while let Some(host) = self.list.pop_due(now) {
            let Some(member) = self.list.get(&host) else {
                continue;
            };
            let (state, incarnation) = (member.host.state, member.host.incarnation);
            match state {
                HostState::Suspect
                    if self.list.increment_check_count(&host) <= SUSPECT_CHECK_COUNT =>
                {
                    let check_interval = self.suspicion_timeout() / (SUSPECT_CHECK_COUNT + 1);
                    self.list.set_deadline(&host, Some(now + check_interval));
                    let body = self.untracked_probe();
                    self.send_to(&host, body, ctx);
                }
                HostState::Suspect => {
                    let state = self.state_after_suspicion(&host);
                    let transition = self.list.change(&host, incarnation, state, now);
                    self.record_transition(transition, true, ctx);
                }
                HostState::Unreachable => {
                    let transition = self.list.change(&host, incarnation, HostState::Dead, now);
                    self.record_transition(transition, true, ctx);
                }
                HostState::Damped => {
                    let transition = self.list.release(&host, now);
                    self.record_transition(transition, false, ctx);
                }
                HostState::Dead | HostState::Leaving => self.list.remove(&host),
                HostState::Alive => {}
            }
        }
    }

    /// Returns whether a suspect is dead or its whole region is unreachable.
    ///
    /// If nothing was heard from the region since the suspicion began, the
    /// silence is no evidence that the host itself failed.
    fn state_after_suspicion(&self, host: &HostId) -> HostState {
        let Some(member) = self.list.get(host) else {
            return HostState::Dead;
        };
        let region = &member.host.region;
        if *region == self.config.own.region {
            return HostState::Dead;
        }
        let heard_at = self.list.region_last_heard_at(region);
        if heard_at.is_some_and(|at| at > member.state_since) {
            HostState::Dead
        } else {
            HostState::Unreachable
        }
    }
}
