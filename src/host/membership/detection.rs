//! The detection of failures: probes, suspicion and regions out of reach.

use std::time::Duration;

use crate::{
    control::{
        blackboard::HostState,
        decision::{Decision, Kind},
    },
    host::{
        gossip::{Body, ProbeId},
        prober::{Failure, Waiter},
    },
    ids::HostId,
};

use super::{Controller, RELAY_COUNT, Turn};

/// How often each host probes a suspect itself before it believes others.
const SUSPECT_CHECK_COUNT: u32 = 2;

impl Controller {
    /// Gives others more time after this host itself stood still.
    pub(super) fn forgive_pause(&mut self, turn: &mut Turn<'_>) {
        let now = turn.round.now;
        let gap = self
            .last_round_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.last_round_at = Some(now);
        if gap < self.config.probe_interval {
            return;
        }
        self.prober.clear();
        self.list.postpone_suspicions(gap);
        turn.round.decisions.push(
            Decision::new(Kind::Member, now, "stood still")
                .about(self.config.own.id.clone())
                .figure("pause_ms", gap.as_secs_f64() * 1e3),
        );
    }

    /// Follows up probes whose answer stays out.
    pub(super) fn follow_probes(&mut self, turn: &mut Turn<'_>) {
        for failure in self.prober.expire(turn.round.now) {
            match failure {
                Failure::Late { probe, target } => self.ask_relays(probe, &target, turn),
                Failure::Lost { target } => self.suspect(&target, turn),
            }
        }
    }

    /// Asks hosts of different regions to probe `target`.
    fn ask_relays(&mut self, probe: ProbeId, target: &HostId, turn: &mut Turn<'_>) {
        let relays = self
            .list
            .sample(turn.round.rng, RELAY_COUNT, |host, picked| {
                let fresh = picked.iter().all(|other| other.region != host.region);
                host.id != *target && (fresh || picked.len() + 1 == RELAY_COUNT)
            });
        for relay in relays {
            let body = Body::ProbeRequest {
                probe,
                target: target.clone(),
            };
            self.send_to(&relay, body, turn);
        }
    }

    /// Probes one member.
    pub(super) fn probe(&mut self, target: &HostId, waiter: Waiter, turn: &mut Turn<'_>) {
        let probe = self.prober.start(
            target.clone(),
            waiter,
            turn.round.now,
            self.config.probe_timeout,
            self.config.probe_interval,
        );
        self.send_to(target, Body::Probe { probe }, turn);
    }

    /// Takes the answer of a probe, and relays it where another host asked.
    pub(super) fn take_answer(&mut self, probe: ProbeId, turn: &mut Turn<'_>) {
        let Some(open) = self.prober.answer(probe) else {
            return;
        };
        if let Waiter::Relay { to, probe } = open.waiter {
            let body = Body::Ack {
                probe,
                target: Some(open.target),
            };
            self.send(to, None, body, turn);
            return;
        }
        let Some(member) = self.list.get(&open.target) else {
            return;
        };
        // An answer over a relay proves as much as a direct one.
        let incarnation = member.host.incarnation;
        let heard = self.list.hear(&open.target, incarnation, turn.round.now);
        self.record(heard, false, turn);
    }

    /// Suspects a member that nobody reached.
    fn suspect(&mut self, target: &HostId, turn: &mut Turn<'_>) {
        let Some(member) = self.list.get(target) else {
            return;
        };
        if !matches!(member.host.state, HostState::Alive | HostState::Damped) {
            return;
        }
        let incarnation = member.host.incarnation;
        let now = turn.round.now;
        let transition = self
            .list
            .change(target, incarnation, HostState::Suspect, now);
        self.record(transition, true, turn);
        // The suspect itself is told first, so that it can refute at once.
        self.send_to(target, Body::Gossip, turn);
    }

    /// Suspects all of a region that proved to be out of reach, so that no
    /// member of it is missed.
    pub(super) fn suspect_region(&mut self, host: &HostId, turn: &mut Turn<'_>) {
        let now = turn.round.now;
        for (other, incarnation) in self.list.alive_beside(host) {
            let transition = self
                .list
                .change(&other, incarnation, HostState::Suspect, now);
            self.record(transition, false, turn);
        }
    }

    /// Sets when a suspicion ends, and looks whether its region answers.
    pub(super) fn start_suspicion(&mut self, host: &HostId, turn: &mut Turn<'_>) {
        let now = turn.round.now;
        let pause = self.suspicion_timeout() / (SUSPECT_CHECK_COUNT + 1);
        self.list.set_deadline(host, Some(now + pause));
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
        let witnesses = self.list.sample(turn.round.rng, 1, |other, _| {
            other.region == region && other.id != *host
        });
        for witness in witnesses {
            self.probe(&witness, Waiter::Own, turn);
        }
    }

    /// Returns how long a suspect may refute, which grows with the time that
    /// news takes through the fleet.
    fn suspicion_timeout(&self) -> Duration {
        let decades = (self.list.live_count() as f64).log10().max(1.0);
        self.config.suspicion_timeout.mul_f64(decades)
    }

    /// Ends the states whose time is over.
    pub(super) fn end_states(&mut self, turn: &mut Turn<'_>) {
        let now = turn.round.now;
        while let Some(host) = self.list.pop_due(now) {
            let Some(member) = self.list.get(&host) else {
                continue;
            };
            let (state, incarnation) = (member.host.state, member.host.incarnation);
            match state {
                HostState::Suspect if self.list.count_check(&host) <= SUSPECT_CHECK_COUNT => {
                    let pause = self.suspicion_timeout() / (SUSPECT_CHECK_COUNT + 1);
                    self.list.set_deadline(&host, Some(now + pause));
                    let body = self.probe_body();
                    self.send_to(&host, body, turn);
                }
                HostState::Suspect => {
                    let state = self.verdict(&host);
                    let transition = self.list.change(&host, incarnation, state, now);
                    self.record(transition, true, turn);
                }
                HostState::Unreachable => {
                    let transition = self.list.change(&host, incarnation, HostState::Dead, now);
                    self.record(transition, true, turn);
                }
                HostState::Damped => {
                    let transition = self.list.release(&host, now);
                    self.record(transition, false, turn);
                }
                HostState::Dead | HostState::Leaving => self.list.remove(&host),
                HostState::Alive => {}
            }
        }
    }

    /// Tells a dead host from one whose whole region is out of reach.
    ///
    /// A region that was not heard since the suspicion began proves nothing
    /// about its hosts.
    fn verdict(&self, host: &HostId) -> HostState {
        let Some(member) = self.list.get(host) else {
            return HostState::Dead;
        };
        let region = &member.host.region;
        if *region == self.config.own.region {
            return HostState::Dead;
        }
        let heard = self.list.region_heard_at(region);
        if heard.is_some_and(|at| at > member.since) {
            HostState::Dead
        } else {
            HostState::Unreachable
        }
    }
}
