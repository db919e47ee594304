//! Ejection of failing upstreams and their readmission.
//!
//! A [`Pool`] ejects an upstream after consecutive failures, up to a fraction of
//! the pool. After a cooldown it lets one call probe the upstream; on success it
//! ramps the load up again (see docs/design/overload.md).

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Timestamp, control::controller::Rng, ids::UpstreamId};
use rand::Rng as _;

/// The number of consecutive failures that eject an upstream.
const EJECTION_FAILURE_COUNT: u32 = 5;

/// The maximum fraction of a pool that may be ejected.
const MAX_EJECTED_RATIO: f64 = 0.5;

/// The first cooldown of an ejected upstream.
const MIN_COOLDOWN: Duration = Duration::from_millis(500);

/// The longest cooldown between two probes.
const MAX_COOLDOWN: Duration = Duration::from_secs(2);

/// How long a readmitted upstream takes to reach full load.
const RAMP_DURATION: Duration = Duration::from_secs(2);

/// The fraction of full load at the start of the ramp.
const RAMP_START_RATIO: f64 = 0.1;

/// The load that an upstream may be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// This fraction of full load, from 0 to 1.
    Open(f64),
    /// One probe call, which has been due for this long.
    Probe(Duration),
    /// No calls.
    Ejected,
}

/// A health change that is recorded as a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// The upstream was ejected.
    Ejected,
    /// The upstream failed its probe.
    ProbeFailed,
    /// The upstream receives calls again.
    Restored,
    /// The upstream was not ejected because too many others are.
    FloorReached,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Healthy {
        consecutive_failures: u32,
    },
    CoolingDown {
        until: Timestamp,
        cooldown: Duration,
    },
    Probing {
        cooldown: Duration,
    },
    Ramping {
        since: Timestamp,
        cooldown: Duration,
    },
}

/// The health of one pool's upstreams; soft state of this host.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::call::ejection::{Availability, Pool};
///
/// let mut pool = Pool::default();
/// pool.set_members(["roll-1".into(), "roll-2".into()]);
/// let availability = pool.availability("roll-1", Duration::ZERO);
/// assert_eq!(availability, Availability::Open(1.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<UpstreamId, Health>,
}

impl Pool {
    /// Replaces the members; those that remain keep their health.
    pub fn set_members(&mut self, ids: impl IntoIterator<Item = UpstreamId>) {
        let mut members = BTreeMap::new();
        for id in ids {
            let health = self.members.get(&id).copied().unwrap_or(Health::Healthy {
                consecutive_failures: 0,
            });
            members.insert(id, health);
        }
        self.members = members;
    }

    /// Returns the load that the upstream `id` may be given at `now`.
    pub fn availability(&self, id: &str, now: Timestamp) -> Availability {
        match self.members.get(id) {
            Some(Health::Healthy { .. }) => Availability::Open(1.0),
            Some(Health::CoolingDown { until, .. }) if now >= *until => {
                Availability::Probe(now - *until)
            }
            Some(Health::Ramping { since, .. }) => {
                Availability::Open(ramp_ratio(now.saturating_sub(*since)))
            }
            _ => Availability::Ejected,
        }
    }

    /// Records that a probe call to the upstream `id` started.
    pub fn start_probe(&mut self, id: &str) {
        if let Some(health) = self.members.get_mut(id)
            && let Health::CoolingDown { cooldown, .. } = *health
        {
            *health = Health::Probing { cooldown };
        }
    }

    /// Records that a probe was inconclusive, which makes another one due.
    pub fn abandon_probe(&mut self, id: &str, now: Timestamp) {
        if let Some(health) = self.members.get_mut(id)
            && let Health::Probing { cooldown } = *health
        {
            *health = Health::CoolingDown {
                until: now,
                cooldown,
            };
        }
    }

    /// Records a call that the upstream `id` answered.
    pub fn record_success(&mut self, id: &str, now: Timestamp) -> Option<Change> {
        let health = self.members.get_mut(id)?;
        match *health {
            Health::Probing { cooldown } => {
                *health = Health::Ramping {
                    since: now,
                    cooldown,
                };
                Some(Change::Restored)
            }
            Health::Ramping { since, .. } if now.saturating_sub(since) < RAMP_DURATION => None,
            // The call was sent before the ejection, so its success does not show
            // that the upstream has recovered.
            Health::CoolingDown { .. } => None,
            Health::Healthy { .. } | Health::Ramping { .. } => {
                *health = Health::Healthy {
                    consecutive_failures: 0,
                };
                None
            }
        }
    }

    /// Records a call that failed because of the upstream `id`.
    pub fn record_failure(&mut self, id: &str, now: Timestamp, rng: &mut Rng) -> Option<Change> {
        let has_room = self.has_room();
        let health = self.members.get_mut(id)?;
        match *health {
            Health::Healthy {
                consecutive_failures,
            } if consecutive_failures + 1 < EJECTION_FAILURE_COUNT => {
                *health = Health::Healthy {
                    consecutive_failures: consecutive_failures + 1,
                };
                None
            }
            Health::Healthy { .. } if !has_room => Some(Change::FloorReached),
            Health::Healthy { .. } => {
                *health = cool_down(MIN_COOLDOWN, now, rng);
                Some(Change::Ejected)
            }
            Health::Probing { cooldown: previous } => {
                *health = cool_down(next_cooldown(previous), now, rng);
                Some(Change::ProbeFailed)
            }
            Health::Ramping { .. } if !has_room => Some(Change::FloorReached),
            Health::Ramping {
                cooldown: previous, ..
            } => {
                *health = cool_down(next_cooldown(previous), now, rng);
                Some(Change::Ejected)
            }
            Health::CoolingDown { .. } => None,
        }
    }

    /// Returns the number of upstreams that get no calls other than probes.
    pub fn ejected_count(&self) -> usize {
        self.members
            .values()
            .filter(|health| matches!(health, Health::CoolingDown { .. } | Health::Probing { .. }))
            .count()
    }

    fn has_room(&self) -> bool {
        let allowed = (self.members.len() as f64 * MAX_EJECTED_RATIO).floor();
        self.ejected_count() as f64 + 1.0 <= allowed
    }
}

fn ramp_ratio(age: Duration) -> f64 {
    let part = age.as_secs_f64() / RAMP_DURATION.as_secs_f64();
    (RAMP_START_RATIO + (1.0 - RAMP_START_RATIO) * part).min(1.0)
}

fn next_cooldown(cooldown: Duration) -> Duration {
    (cooldown * 2).min(MAX_COOLDOWN)
}

/// Starts a cooldown of `cooldown` plus up to 25 % of jitter, so that hosts do
/// not probe simultaneously.
fn cool_down(cooldown: Duration, now: Timestamp, rng: &mut Rng) -> Health {
    let jitter = cooldown.mul_f64(rng.random_range(0.0..0.25));
    Health::CoolingDown {
        until: now + cooldown + jitter,
        cooldown,
    }
}
