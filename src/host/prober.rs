//! The probes that await an answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{clock::Timestamp, host::gossip::ProbeId, ids::HostId};

/// The maximum number of pending probes, both own and relayed.
const MAX_PENDING_COUNT: usize = 256;
/// The maximum health score; at this score timeouts are four times as long.
const MAX_HEALTH_SCORE: u32 = 3;

/// The host on whose behalf a probe is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeOrigin {
    /// This host.
    Own,
    /// Another host, which got no answer from the target itself.
    Relay {
        /// The address to which the answer is relayed.
        to: SocketAddr,
        /// That host's id for the probe.
        probe: ProbeId,
    },
}

/// A probe that awaits an answer.
#[derive(Clone, Debug)]
pub struct PendingProbe {
    /// The probed host.
    pub target: HostId,
    /// The host that the answer is for.
    pub origin: ProbeOrigin,
    /// The time at which indirect probes are due, until they are requested.
    indirect_at: Option<Timestamp>,
    /// The time at which the probe counts as lost.
    lost_at: Timestamp,
}

/// A probe whose answer is overdue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The direct timeout passed; indirect probes are due.
    Late {
        /// The probe, which stays pending.
        probe: ProbeId,
        /// The probed host.
        target: HostId,
    },
    /// Neither the direct nor an indirect probe was answered.
    Lost {
        /// The probed host.
        target: HostId,
    },
}

/// The pending probes, and this host's health score.
///
/// # Examples
///
/// ```
/// use mimosavane::host::prober::{ProbeOrigin, Prober};
/// use std::time::Duration;
///
/// let mut prober = Prober::default();
/// let second = Duration::from_secs(1);
/// let probe = prober.start("entry-2".into(), ProbeOrigin::Own, Duration::ZERO, second, second);
/// assert!(prober.complete(probe).is_some());
/// assert!(prober.expire(second).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Prober {
    last_id: ProbeId,
    pending: BTreeMap<ProbeId, PendingProbe>,
    /// The local health score of Lifeguard, where 0 is healthy. Lost probes raise
    /// it, and each answer lowers it.
    health_score: u32,
    /// The targets of own probes that were dropped since the last call of
    /// [`Prober::expire`], as too many were pending.
    dropped: Vec<HostId>,
}

impl Prober {
    /// Starts a probe that is late after `timeout` and lost after `bound`.
    ///
    /// Both are multiplied while this host gets few answers to its probes,
    /// because the fault is then likely its own (Lifeguard's local health).
    pub fn start(
        &mut self,
        target: HostId,
        origin: ProbeOrigin,
        now: Timestamp,
        timeout: Duration,
        bound: Duration,
    ) -> ProbeId {
        self.last_id += 1;
        if self.pending.len() >= MAX_PENDING_COUNT
            && let Some((_, oldest)) = self.pending.pop_first()
            && oldest.origin == ProbeOrigin::Own
        {
            self.dropped.push(oldest.target);
        }
        let multiplier = 1 + self.health_score;
        let indirect_at = (origin == ProbeOrigin::Own).then(|| now + timeout * multiplier);
        let pending = PendingProbe {
            target,
            origin,
            indirect_at,
            lost_at: now + bound * multiplier,
        };
        self.pending.insert(self.last_id, pending);
        self.last_id
    }

    /// Removes and returns the pending probe that was answered.
    pub fn complete(&mut self, probe: ProbeId) -> Option<PendingProbe> {
        let pending = self.pending.remove(&probe)?;
        if pending.origin == ProbeOrigin::Own {
            self.health_score = self.health_score.saturating_sub(1);
        }
        Some(pending)
    }

    /// Removes the probes that are lost at `now`, and returns the newly late and
    /// the lost ones.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Failure> {
        // The answer to a dropped probe would not be recognised.
        let mut failures: Vec<Failure> = std::mem::take(&mut self.dropped)
            .into_iter()
            .map(|target| Failure::Lost { target })
            .collect();
        self.pending.retain(|id, probe| {
            if probe.lost_at <= now {
                if probe.origin == ProbeOrigin::Own {
                    failures.push(Failure::Lost {
                        target: probe.target.clone(),
                    });
                }
                return false;
            }
            if probe.indirect_at.is_some_and(|at| at <= now) {
                probe.indirect_at = None;
                failures.push(Failure::Late {
                    probe: *id,
                    target: probe.target.clone(),
                });
            }
            true
        });
        let has_lost = failures
            .iter()
            .any(|failure| matches!(failure, Failure::Lost { .. }));
        if has_lost {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        failures
    }

    /// Drops all pending probes, after a pause of this process.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
