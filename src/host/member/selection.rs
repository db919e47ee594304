//! Selection of members to probe, query and gossip with.

use std::net::SocketAddr;

use rand::{Rng as _, seq::SliceRandom as _};

use super::MemberList;
use crate::{
    control::{
        blackboard::{Host, HostState},
        controller::Rng,
    },
    ids::{HostId, Incarnation},
};

/// The maximum number of random draws per member to pick.
const MAX_ATTEMPTS_PER_PICK: usize = 6;

impl MemberList {
    /// Returns the next member to probe. Each pass over the members probes every
    /// one once, in a random order.
    pub fn next_target(&mut self, rng: &mut Rng) -> Option<HostId> {
        for _ in 0..=self.probe_order.len() {
            if self.next_probe_index >= self.probe_order.len() {
                self.shuffle(rng);
            }
            let host = self.probe_order.get(self.next_probe_index)?.clone();
            self.next_probe_index += 1;
            if self.is_probed(&host) {
                return Some(host);
            }
        }
        None
    }

    /// Picks up to `count` random probed members for which `accept` returns true;
    /// its second argument is the members picked so far.
    pub fn sample(
        &self,
        rng: &mut Rng,
        count: usize,
        mut accept: impl FnMut(&Host, &[&Host]) -> bool,
    ) -> Vec<HostId> {
        let mut picked: Vec<&Host> = Vec::with_capacity(count);
        for _ in 0..count * MAX_ATTEMPTS_PER_PICK {
            if picked.len() == count || self.probe_order.is_empty() {
                break;
            }
            let id = &self.probe_order[rng.random_range(0..self.probe_order.len())];
            let Some(member) = self.members.get(id) else {
                continue;
            };
            let is_new = picked.iter().all(|other| other.id != *id);
            if is_new && self.is_probed(id) && accept(&member.host, &picked) {
                picked.push(&member.host);
            }
        }
        picked.into_iter().map(|host| host.id.clone()).collect()
    }

    /// Picks a random dead or unreachable member.
    pub fn pick_dead_or_unreachable(&self, rng: &mut Rng) -> Option<HostId> {
        let lost: Vec<&HostId> = self
            .deadlines
            .iter()
            .map(|(_, host)| host)
            .filter(|host| {
                self.members.get(*host).is_some_and(|member| {
                    matches!(member.host.state, HostState::Dead | HostState::Unreachable)
                })
            })
            .collect();
        if lost.is_empty() {
            return None;
        }
        Some(lost[rng.random_range(0..lost.len())].clone())
    }

    /// Returns the alive members in the region of `host`.
    pub fn alive_in_same_region(&self, host: &str) -> Vec<(HostId, Incarnation)> {
        let Some(region) = self.get(host).map(|member| &member.host.region) else {
            return Vec::new();
        };
        self.members
            .values()
            .map(|member| &member.host)
            .filter(|other| other.region == *region && other.state == HostState::Alive)
            .map(|other| (other.id.clone(), other.incarnation))
            .collect()
    }

    /// Returns whether a member that is neither dead nor unreachable has the peer
    /// address `address`.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.members.values().any(|member| {
            member.host.peer_address == address
                && !matches!(member.host.state, HostState::Dead | HostState::Unreachable)
        })
    }

    /// Returns whether periodic probes include the member.
    fn is_probed(&self, host: &HostId) -> bool {
        self.members.get(host).is_some_and(|member| {
            matches!(
                member.host.state,
                HostState::Alive | HostState::Suspect | HostState::Damped
            )
        })
    }

    /// Draws a new random probe order.
    fn shuffle(&mut self, rng: &mut Rng) {
        self.probe_order = self
            .members
            .keys()
            .filter(|host| **host != self.own && self.is_probed(host))
            .cloned()
            .collect();
        self.probe_order.shuffle(rng);
        self.next_probe_index = 0;
    }
}
