//! The choice of members to probe, to ask and to tell.

use std::net::SocketAddr;

use rand::{Rng as _, seq::SliceRandom as _};

use super::List;
use crate::{
    control::{
        blackboard::{Host, HostState},
        controller::Rng,
    },
    ids::{HostId, Incarnation},
};

/// How many members are tried for each one that is picked at random.
const SAMPLE_TRIES: usize = 6;

impl List {
    /// Returns the next member to probe; each is probed once in every pass.
    pub fn next_target(&mut self, rng: &mut Rng) -> Option<HostId> {
        for _ in 0..=self.order.len() {
            if self.next >= self.order.len() {
                self.shuffle(rng);
            }
            let host = self.order.get(self.next)?.clone();
            self.next += 1;
            if self.is_probed(&host) {
                return Some(host);
            }
        }
        None
    }

    /// Picks up to `count` probed members at random that `accept` takes, given
    /// those picked before.
    pub fn sample(
        &self,
        rng: &mut Rng,
        count: usize,
        mut accept: impl FnMut(&Host, &[&Host]) -> bool,
    ) -> Vec<HostId> {
        let mut picked: Vec<&Host> = Vec::with_capacity(count);
        for _ in 0..count * SAMPLE_TRIES {
            if picked.len() == count || self.order.is_empty() {
                break;
            }
            let id = &self.order[rng.random_range(0..self.order.len())];
            let Some(member) = self.members.get(id) else {
                continue;
            };
            let fresh = picked.iter().all(|other| other.id != *id);
            if fresh && self.is_probed(id) && accept(&member.host, &picked) {
                picked.push(&member.host);
            }
        }
        picked.into_iter().map(|host| host.id.clone()).collect()
    }

    /// Picks a member at random that is held for dead or out of reach.
    pub fn pick_gone(&self, rng: &mut Rng) -> Option<HostId> {
        let gone: Vec<&HostId> = self
            .deadlines
            .iter()
            .map(|(_, host)| host)
            .filter(|host| {
                self.members.get(*host).is_some_and(|member| {
                    matches!(member.host.state, HostState::Dead | HostState::Unreachable)
                })
            })
            .collect();
        if gone.is_empty() {
            return None;
        }
        Some(gone[rng.random_range(0..gone.len())].clone())
    }

    /// Returns the members in the region of `host` that are held for alive.
    pub fn alive_beside(&self, host: &str) -> Vec<(HostId, Incarnation)> {
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

    /// Says whether a member that is not gone answers at `address`.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.members.values().any(|member| {
            member.host.peer_address == address
                && !matches!(member.host.state, HostState::Dead | HostState::Unreachable)
        })
    }

    /// Says whether a member is probed in turn.
    fn is_probed(&self, host: &HostId) -> bool {
        self.members.get(host).is_some_and(|member| {
            matches!(
                member.host.state,
                HostState::Alive | HostState::Suspect | HostState::Damped
            )
        })
    }

    /// Draws a new order of the members that are probed.
    fn shuffle(&mut self, rng: &mut Rng) {
        self.order = self
            .members
            .keys()
            .filter(|host| **host != self.own && self.is_probed(host))
            .cloned()
            .collect();
        self.order.shuffle(rng);
        self.next = 0;
    }
}
