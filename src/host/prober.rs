//! Probes that wait for their answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{clock::Timestamp, host::gossip::ProbeId, ids::HostId};

/// The most probes that wait at once, own and relayed.
const MAX_OPEN_COUNT: usize = 256;
/// The worst local health, by which timeouts are stretched.
const MAX_HEALTH: u32 = 3;

/// Who wants to know the answer of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// This host.
    Own,
    /// A host that could not reach the target itself.
    Relay {
        /// Where the answer goes.
        to: SocketAddr,
        /// How that host numbers the probe.
        probe: ProbeId,
    },
}

/// A probe that waits.
#[derive(Clone, Debug)]
pub struct Open {
    /// The host that was asked.
    pub target: HostId,
    /// Who wants to know.
    pub waiter: Waiter,
    relays_at: Option<Timestamp>,
    fail_at: Timestamp,
}

/// What follows from an answer that stays out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Others are to be asked.
    Late {
        /// The probe, which still waits.
        probe: ProbeId,
        /// The host that was asked.
        target: HostId,
    },
    /// Nobody got an answer.
    Lost {
        /// The host that was asked.
        target: HostId,
    },
}

/// The open probes, and how well this host itself gets answers.
///
/// # Examples
///
/// ```
/// use mimosavane::host::prober::{Prober, Waiter};
/// use std::time::Duration;
///
/// let mut prober = Prober::default();
/// let second = Duration::from_secs(1);
/// let probe = prober.start("entry-2".into(), Waiter::Own, Duration::ZERO, second, second);
/// assert!(prober.answer(probe).is_some());
/// assert!(prober.expire(second).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Prober {
    next: ProbeId,
    open: BTreeMap<ProbeId, Open>,
    health: u32,
}

impl Prober {
    /// Starts a probe that is late after `timeout` and lost after `bound`.
    ///
    /// Both are stretched while this host gets few answers from anybody, since
    /// the fault is then likely its own (Lifeguard's local health).
    pub fn start(
        &mut self,
        target: HostId,
        waiter: Waiter,
        now: Timestamp,
        timeout: Duration,
        bound: Duration,
    ) -> ProbeId {
        self.next += 1;
        if self.open.len() >= MAX_OPEN_COUNT {
            self.open.pop_first();
        }
        let stretch = 1 + self.health;
        let relays_at = (waiter == Waiter::Own).then(|| now + timeout * stretch);
        let open = Open {
            target,
            waiter,
            relays_at,
            fail_at: now + bound * stretch,
        };
        self.open.insert(self.next, open);
        self.next
    }

    /// Takes the probe that an answer names.
    pub fn answer(&mut self, probe: ProbeId) -> Option<Open> {
        let open = self.open.remove(&probe)?;
        if open.waiter == Waiter::Own {
            self.health = self.health.saturating_sub(1);
        }
        Some(open)
    }

    /// Returns what follows from answers that stayed out until `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Failure> {
        let mut failures = Vec::new();
        self.open.retain(|probe, open| {
            if open.fail_at <= now {
                if open.waiter == Waiter::Own {
                    failures.push(Failure::Lost {
                        target: open.target.clone(),
                    });
                }
                return false;
            }
            if open.relays_at.is_some_and(|at| at <= now) {
                open.relays_at = None;
                failures.push(Failure::Late {
                    probe: *probe,
                    target: open.target.clone(),
                });
            }
            true
        });
        let lost = failures
            .iter()
            .any(|failure| matches!(failure, Failure::Lost { .. }));
        if lost {
            self.health = (self.health + 1).min(MAX_HEALTH);
        }
        failures
    }

    /// Drops all probes, after this host itself stood still.
    pub fn clear(&mut self) {
        self.open.clear();
    }
}
