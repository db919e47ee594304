//! Ejection of upstreams that fail far more than others, and their return.
//!
//! A [`Pool`] rests an upstream after failures in a row, never more than a part
//! of the pool, lets one call probe it, and gives it work again in a ramp (see
//! docs/design/overload.md).

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Timestamp, control::controller::Rng, ids::UpstreamId};
use rand::Rng as _;

/// Failures in a row that eject an upstream.
const MAX_FAILURES_IN_A_ROW: u32 = 5;

/// The largest part of a pool that may be ejected.
const MAX_EJECTED_RATIO: f64 = 0.5;

/// The first rest of an ejected upstream.
const MIN_REST: Duration = Duration::from_millis(500);

/// The longest rest between two probes.
const MAX_REST: Duration = Duration::from_secs(2);

/// How long an upstream takes from its first work after a rest to full work.
const RAMP: Duration = Duration::from_secs(2);

/// The part of full work that an upstream gets at the start of the ramp.
const RAMP_START_RATIO: f64 = 0.1;

/// What an upstream may be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// This part of full work, from 0 to 1.
    Open(f64),
    /// One call, which shows whether it is well; it is overdue for this long.
    Probe(Duration),
    /// Nothing.
    Resting,
}

/// A change that is worth a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// The upstream was ejected.
    Ejected,
    /// The upstream failed its probe.
    ProbeFailed,
    /// The upstream is given work again.
    Restored,
    /// The upstream would have been ejected, but too many are.
    FloorReached,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Well { failures_in_a_row: u32 },
    Resting { until: Timestamp, rest: Duration },
    Probing { rest: Duration },
    Ramping { since: Timestamp, rest: Duration },
}

/// The health of the upstreams of one pool, which is soft state of this host.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::call::ejection::{Pool, Standing};
///
/// let mut pool = Pool::default();
/// pool.set_members(["roll-1".into(), "roll-2".into()]);
/// assert_eq!(pool.standing("roll-1", Duration::ZERO), Standing::Open(1.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<UpstreamId, Health>,
}

impl Pool {
    /// Keeps the health of the members named, and forgets the others.
    pub fn set_members(&mut self, ids: impl IntoIterator<Item = UpstreamId>) {
        let mut members = BTreeMap::new();
        for id in ids {
            let health = self.members.get(&id).copied().unwrap_or(Health::Well {
                failures_in_a_row: 0,
            });
            members.insert(id, health);
        }
        self.members = members;
    }

    /// Returns what the upstream `id` may be given at `now`.
    pub fn standing(&self, id: &str, now: Timestamp) -> Standing {
        match self.members.get(id) {
            Some(Health::Well { .. }) => Standing::Open(1.0),
            Some(Health::Resting { until, .. }) if now >= *until => Standing::Probe(now - *until),
            Some(Health::Ramping { since, .. }) => Standing::Open(ramp(now.saturating_sub(*since))),
            _ => Standing::Resting,
        }
    }

    /// Notes that the upstream `id` was given the call that probes it.
    pub fn probe_started(&mut self, id: &str) {
        if let Some(health) = self.members.get_mut(id)
            && let Health::Resting { rest, .. } = *health
        {
            *health = Health::Probing { rest };
        }
    }

    /// Notes that a probe ended without showing anything, so that another follows.
    pub fn probe_abandoned(&mut self, id: &str, now: Timestamp) {
        if let Some(health) = self.members.get_mut(id)
            && let Health::Probing { rest } = *health
        {
            *health = Health::Resting { until: now, rest };
        }
    }

    /// Notes a call that the upstream `id` answered.
    pub fn succeeded(&mut self, id: &str, now: Timestamp) -> Option<Change> {
        let health = self.members.get_mut(id)?;
        match *health {
            Health::Probing { rest } => {
                *health = Health::Ramping { since: now, rest };
                Some(Change::Restored)
            }
            Health::Ramping { since, .. } if now.saturating_sub(since) < RAMP => None,
            // An answer from before the ejection proves nothing about now.
            Health::Resting { .. } => None,
            Health::Well { .. } | Health::Ramping { .. } => {
                *health = Health::Well {
                    failures_in_a_row: 0,
                };
                None
            }
        }
    }

    /// Notes a call that failed by the fault of the upstream `id`.
    pub fn failed(&mut self, id: &str, now: Timestamp, rng: &mut Rng) -> Option<Change> {
        let has_room = self.has_room();
        let health = self.members.get_mut(id)?;
        match *health {
            Health::Well { failures_in_a_row } if failures_in_a_row + 1 < MAX_FAILURES_IN_A_ROW => {
                *health = Health::Well {
                    failures_in_a_row: failures_in_a_row + 1,
                };
                None
            }
            Health::Well { .. } if !has_room => Some(Change::FloorReached),
            Health::Well { .. } => {
                *health = rest(MIN_REST, now, rng);
                Some(Change::Ejected)
            }
            Health::Probing { rest: before } => {
                *health = rest(longer(before), now, rng);
                Some(Change::ProbeFailed)
            }
            Health::Ramping { .. } if !has_room => Some(Change::FloorReached),
            Health::Ramping { rest: before, .. } => {
                *health = rest(longer(before), now, rng);
                Some(Change::Ejected)
            }
            Health::Resting { .. } => None,
        }
    }

    /// Returns how many upstreams get no ordinary work.
    pub fn ejected_count(&self) -> usize {
        self.members
            .values()
            .filter(|health| matches!(health, Health::Resting { .. } | Health::Probing { .. }))
            .count()
    }

    fn has_room(&self) -> bool {
        let allowed = (self.members.len() as f64 * MAX_EJECTED_RATIO).floor();
        self.ejected_count() as f64 + 1.0 <= allowed
    }
}

fn ramp(age: Duration) -> f64 {
    let part = age.as_secs_f64() / RAMP.as_secs_f64();
    (RAMP_START_RATIO + (1.0 - RAMP_START_RATIO) * part).min(1.0)
}

fn longer(rest: Duration) -> Duration {
    (rest * 2).min(MAX_REST)
}

/// Rests for `rest` and up to a quarter more, so that hosts do not probe at once.
fn rest(rest: Duration, now: Timestamp, rng: &mut Rng) -> Health {
    let jitter = rest.mul_f64(rng.random_range(0.0..0.25));
    Health::Resting {
        until: now + rest + jitter,
        rest,
    }
}
