//! The rates of requests that upstreams take from all hosts together, as this host
//! knows them.
//!
//! The coordinator counts for all hosts: a host sends a request to an upstream that
//! names a limit only with a permit of the coordinator. While nobody issues permits,
//! each host uses a fixed part of the limit by itself (see
//! docs/design/server-limits.md).

pub mod bucket;
pub mod ledger;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use self::{
    bucket::Bucket,
    ledger::{Ask, Grant, Statement},
};
use crate::{
    clock::Timestamp,
    ids::{FenceNumber, HostId, UpstreamId},
    ingress::{directory::Upstream, wire::StatedLimit},
};

/// The relative change of a limit above which it is logged again.
const LOGGED_CHANGE_RATIO: f64 = 0.1;

/// How long a host does without a coordinator that did not answer it.
const SILENCE_TIME: Duration = Duration::from_millis(300);

/// The largest number of permits that a host keeps of its own part.
const MAX_OWN_COUNT: f64 = 1.0;

/// The limit of one upstream, as its last answer or another host named it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// The Unix time in milliseconds at which the upstream started.
    pub started_at_ms: u64,
    /// The requests per second that the upstream takes from all hosts.
    pub rate_per_s: f64,
    /// When the answer arrived that named it; zero if another host reported it.
    pub stated_at: Timestamp,
    /// The rate that was logged last.
    logged_per_s: f64,
    /// Until when the upstream gets nothing, since no permit is left.
    closed_until: Timestamp,
    /// This host's own part of the limit, while nobody issues permits.
    own_part: Option<Bucket>,
}

impl KnownLimit {
    const fn new(started_at_ms: u64, rate_per_s: f64, stated_at: Timestamp) -> Self {
        Self {
            started_at_ms,
            rate_per_s,
            stated_at,
            logged_per_s: rate_per_s,
            closed_until: Duration::ZERO,
            own_part: None,
        }
    }
}

/// A change of what is known of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before, or `None` if there was none.
    pub previous_per_s: Option<f64>,
    /// The limit now, or `None` if the upstream no longer names one.
    pub rate_per_s: Option<f64>,
}

/// The coordinator that issues permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Issuer {
    /// The fencing number of its lease.
    pub fence: FenceNumber,
    /// The address at which it answers other hosts.
    pub address: Option<SocketAddr>,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Permission {
    /// The upstream names no limit.
    Free,
    /// No permit is left, and none will be before the time.
    Closed(Timestamp),
    /// The coordinator must be asked.
    Ask(Ask),
    /// Nobody issues permits; the host's own part decides.
    OwnPart,
}

/// The limits of all upstreams that name one.
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    limits: BTreeMap<UpstreamId, KnownLimit>,
    issuer: Option<Issuer>,
    /// Until when the issuer is not asked, since it did not answer.
    silent_until: Timestamp,
    share_ratio: f64,
}

impl LimitBook {
    /// Records what an answer of `upstream` says of its limit. Returns the change if
    /// it is worth a log line.
    pub fn record_answer(
        &mut self,
        upstream: &Upstream,
        stated: StatedLimit,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let known = self.limits.get_mut(&upstream.id);
        if known
            .as_ref()
            .is_some_and(|known| known.started_at_ms > upstream.started_at_ms)
        {
            return None;
        }
        let rate_per_s = match stated {
            // An unreadable limit is still one, so that the last known rate stays.
            StatedLimit::Unreadable => return None,
            StatedLimit::None => {
                let previous_per_s = Some(known?.rate_per_s);
                self.limits.remove(&upstream.id);
                return Some(LimitChange {
                    previous_per_s,
                    rate_per_s: None,
                });
            }
            StatedLimit::PerSecond(rate_per_s) => rate_per_s,
        };
        let Some(known) = known.filter(|known| known.started_at_ms == upstream.started_at_ms)
        else {
            let limit = KnownLimit::new(upstream.started_at_ms, rate_per_s, now);
            self.limits.insert(upstream.id.clone(), limit);
            return Some(LimitChange {
                previous_per_s: None,
                rate_per_s: Some(rate_per_s),
            });
        };
        known.rate_per_s = rate_per_s;
        known.stated_at = now;
        let change = (rate_per_s - known.logged_per_s).abs();
        if change <= known.logged_per_s * LOGGED_CHANGE_RATIO {
            return None;
        }
        let previous_per_s = std::mem::replace(&mut known.logged_per_s, rate_per_s);
        Some(LimitChange {
            previous_per_s: Some(previous_per_s),
            rate_per_s: Some(rate_per_s),
        })
    }

    /// Returns the limit that holds for `upstream`: that of its newest start that named one,
    /// until a newer start answers. The list may name an older or a newer start; requests
    /// reach the one that runs.
    pub fn get(&self, upstream: &Upstream) -> Option<&KnownLimit> {
        self.limits.get(&upstream.id)
    }

    /// Returns whether `host` may send a request to `upstream`.
    pub fn permission(&self, host: &HostId, upstream: &Upstream, now: Timestamp) -> Permission {
        let Some(known) = self.get(upstream) else {
            return Permission::Free;
        };
        if known.closed_until > now {
            return Permission::Closed(known.closed_until);
        }
        match &self.issuer {
            Some(_) if self.silent_until <= now => {
                Permission::Ask(self.ask(host, upstream, 1, now))
            }
            _ => Permission::OwnPart,
        }
    }

    /// Returns what `host` knows of the limit of `upstream`, and asks for
    /// `permit_count` permits.
    pub fn ask(
        &self,
        host: &HostId,
        upstream: &Upstream,
        permit_count: u32,
        now: Timestamp,
    ) -> Ask {
        let known = self.get(upstream);
        Ask {
            host: host.clone(),
            upstream: upstream.id.clone(),
            started_at_ms: known.map_or(upstream.started_at_ms, |known| known.started_at_ms),
            statement: known.map(|known| Statement {
                rate_per_s: Some(known.rate_per_s),
                age: now.saturating_sub(known.stated_at),
            }),
            permit_count,
        }
    }

    /// Records the coordinator's answer, and returns whether the request may be sent.
    pub fn record_grant(&mut self, upstream: &Upstream, grant: Grant, now: Timestamp) -> bool {
        self.silent_until = Duration::ZERO;
        self.share_ratio = grant.share_ratio;
        for known in self.limits.values_mut() {
            known.own_part = None;
        }
        match (grant.rate_per_s, self.limits.get_mut(&upstream.id)) {
            (None, _) => {
                self.limits.remove(&upstream.id);
            }
            (Some(_), Some(known)) if !grant.is_granted => {
                known.closed_until = now + grant.retry_after;
            }
            _ => {}
        }
        grant.is_granted
    }

    /// Records that the coordinator gave no answer. Requests that did not ask it, since it
    /// was silent a moment ago, do not prolong that time.
    pub fn record_silence(&mut self, now: Timestamp) {
        if self.silent_until <= now {
            self.silent_until = now + SILENCE_TIME;
        }
    }

    /// Takes a permit of this host's own part of the limit, and returns whether there
    /// was one. The part starts with `first_count` permits, a random number below 1,
    /// so that the hosts of a fleet do not all wait for their first one.
    pub fn take_own(&mut self, upstream: &Upstream, first_count: f64, now: Timestamp) -> bool {
        let Some(known) = self.limits.get_mut(&upstream.id) else {
            return true;
        };
        let rate_per_s = known.rate_per_s * self.share_ratio;
        let part = known
            .own_part
            .get_or_insert_with(|| Bucket::holding(first_count, now));
        part.refill(rate_per_s, MAX_OWN_COUNT, now);
        let is_taken = self.share_ratio > 0.0 && part.take(1.0);
        if !is_taken {
            known.closed_until = now + SILENCE_TIME;
        }
        is_taken
    }

    /// Returns until when `upstream` gets nothing, if it names a limit.
    pub fn closed_until(&self, upstream: &Upstream) -> Option<Timestamp> {
        Some(self.get(upstream)?.closed_until)
    }

    /// Returns the address of the coordinator, if it is known.
    pub fn coordinator_address(&self) -> Option<SocketAddr> {
        self.issuer.as_ref()?.address
    }

    /// Records what the coordinator publishes: who issues permits, each host's own
    /// part, and the limits that hosts have reported. Returns the limits that are new.
    pub fn record_notice(
        &mut self,
        issuer: Issuer,
        share_ratio: f64,
        limits: impl IntoIterator<Item = (UpstreamId, u64, f64)>,
    ) -> Vec<(UpstreamId, f64)> {
        let mut added = Vec::new();
        let known_fence = self.issuer.as_ref().map(|known| known.fence);
        if known_fence > Some(issuer.fence) {
            return added;
        }
        if known_fence != Some(issuer.fence) {
            self.silent_until = Duration::ZERO;
        }
        self.issuer = Some(issuer);
        self.share_ratio = share_ratio;
        for (id, started_at_ms, rate_per_s) in limits {
            let is_known = self
                .limits
                .get(&id)
                .is_some_and(|known| known.started_at_ms >= started_at_ms);
            if !is_known {
                added.push((id.clone(), rate_per_s));
                self.limits.insert(
                    id,
                    KnownLimit::new(started_at_ms, rate_per_s, Duration::ZERO),
                );
            }
        }
        added
    }

    /// Returns how many upstreams name a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Drops the limits of upstreams that are not `is_known`.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.limits.retain(|id, _| is_known(id));
    }
}
