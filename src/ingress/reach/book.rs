//! The services that a host does not reach, and the other hosts that reach none either.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{clock::Timestamp, ingress::routes::ServiceName};

/// How long a host that could not take a call is asked for no other one.
const PEER_PAUSE: Duration = Duration::from_millis(1_000);

/// How long an upstream's answer shows that its service is reached.
const ANSWER_TTL: Duration = Duration::from_millis(1_000);

/// A change of whether a service is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// How long the service was out of reach; zero if it is from now on.
    pub lasted: Duration,
}

/// What one host knows of its links to upstreams, and of those of others.
#[derive(Clone, Debug, Default)]
pub struct ReachBook {
    /// The services that are being probed.
    probed: BTreeSet<ServiceName>,
    /// Since when each service is out of reach.
    lost_since: BTreeMap<ServiceName, Timestamp>,
    /// When an upstream of each service answered last.
    answered_at: BTreeMap<ServiceName, Timestamp>,
    /// Until when other hosts are asked for no calls to a service.
    paused_until: BTreeMap<(SocketAddr, ServiceName), Timestamp>,
}

impl ReachBook {
    /// Notes that `service` is being probed, and returns whether it was not before.
    pub fn begin_probing(&mut self, service: &ServiceName) -> bool {
        self.probed.insert(service.clone())
    }

    /// Notes that the probes of `service` have ended.
    pub fn end_probing(&mut self, service: &ServiceName) {
        self.probed.remove(service);
    }

    /// Records whether a probe reached `service`, and returns the change, if any.
    pub fn record_probe(
        &mut self,
        service: &ServiceName,
        is_reached: bool,
        now: Timestamp,
    ) -> Option<ReachChange> {
        if is_reached {
            let lost_at = self.lost_since.remove(service)?;
            return Some(ReachChange {
                lasted: now.saturating_sub(lost_at),
            });
        }
        if self.lost_since.contains_key(service) {
            return None;
        }
        self.lost_since.insert(service.clone(), now);
        Some(ReachChange {
            lasted: Duration::ZERO,
        })
    }

    /// Returns whether no upstream of `service` can be connected to.
    pub fn is_lost(&self, service: &str) -> bool {
        self.lost_since.contains_key(service)
    }

    /// Records that an upstream of `service` answered.
    pub fn record_answer(&mut self, service: &ServiceName, now: Timestamp) {
        match self.answered_at.get_mut(service) {
            Some(answered_at) => *answered_at = now,
            None => {
                self.answered_at.insert(service.clone(), now);
            }
        }
    }

    /// Returns whether an upstream of `service` answered lately.
    pub fn is_answered(&self, service: &str, now: Timestamp) -> bool {
        self.answered_at
            .get(service)
            .is_some_and(|at| now.saturating_sub(*at) < ANSWER_TTL)
    }

    /// Returns whether `service` is out of reach, or may be.
    pub fn is_suspected(&self, service: &str) -> bool {
        self.is_lost(service) || self.probed.contains(service)
    }

    /// Returns how many services are out of reach.
    pub fn unreached_count(&self) -> usize {
        self.lost_since.len()
    }

    /// Records that the host at `peer` could not take a call to `service`.
    pub fn pause_peer(&mut self, peer: SocketAddr, service: &ServiceName, now: Timestamp) {
        self.paused_until.retain(|_, until| *until > now);
        self.paused_until
            .insert((peer, service.clone()), now + PEER_PAUSE);
    }

    /// Returns whether the host at `peer` may be asked to take a call to `service`.
    pub fn may_ask(&self, peer: SocketAddr, service: &ServiceName, now: Timestamp) -> bool {
        self.paused_until
            .get(&(peer, service.clone()))
            .is_none_or(|until| *until <= now)
    }
}
