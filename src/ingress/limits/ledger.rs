//! The permits that the coordinator issues to all hosts.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::bucket::Bucket;
use crate::{
    clock::Timestamp,
    ids::{HostId, UpstreamId},
    ingress::bounded,
};

/// The lowest rate at which permits are issued, so that an upstream that takes
/// nothing is still asked whether that has changed.
const MIN_RATE_PER_S: f64 = 0.25;

/// The time over which an upstream's unused permits are kept.
const BURST_TIME: Duration = Duration::from_secs(1);

/// The smallest number of unused permits that are kept: those of an order, and one
/// for another request.
const MIN_BURST_COUNT: f64 = 3.0;

/// The permits that items leave to orders: one for the report and one for the order.
pub const ORDER_PERMIT_COUNT: usize = 2;

/// The range of the time after which a host that got no permit asks again.
const MIN_RETRY: Duration = Duration::from_millis(20);
const MAX_RETRY: Duration = Duration::from_secs(1);

/// How many asks per permit the hosts that wait for one send together. Fewer leave
/// permits unused while hosts wait.
const ASKS_PER_PERMIT: f64 = 3.0;

/// How long a host that got no permit counts as waiting for one.
const WAITING_TIME: Duration = Duration::from_secs(2);

/// How long what an upstream said is kept after the last word of it.
const ENTRY_TTL: Duration = Duration::from_secs(60);

/// How many upstreams are kept; beyond that, the oldest statement is dropped.
const MAX_ENTRY_COUNT: usize = 4_096;

/// What an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The limit that the upstream named, or `None` if it named none.
    pub rate_per_s: Option<f64>,
    /// How long ago the upstream said so.
    pub age: Duration,
}

/// A question for permits, with what the host that asks knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The host that asks.
    pub host: HostId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The Unix time in milliseconds at which the start of the upstream began that said so,
    /// or the listed one if none did.
    pub started_at_ms: u64,
    /// What the upstream said to the host, if anything.
    pub statement: Option<Statement>,
    /// The number of permits that are asked for, all or none.
    pub permit_count: u32,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Whether the permits are granted.
    pub is_granted: bool,
    /// When to ask again, if they are not.
    pub retry_after: Duration,
    /// The newest limit that any host has reported, or `None` if the upstream names
    /// none any more.
    pub rate_per_s: Option<f64>,
    /// The part of each limit that a host may use by itself while nobody issues
    /// permits.
    pub share_ratio: f64,
}

#[derive(Clone, Debug)]
struct Entry {
    started_at_ms: u64,
    rate_per_s: Option<f64>,
    stated_at: Timestamp,
    bucket: Bucket,
    /// When each host was last denied a permit.
    waiting: BTreeMap<HostId, Timestamp>,
}

impl Entry {
    fn burst_count(rate_per_s: f64) -> f64 {
        (rate_per_s * BURST_TIME.as_secs_f64()).max(MIN_BURST_COUNT)
    }

    fn refill(&mut self, now: Timestamp) -> Option<f64> {
        let rate_per_s = self.rate_per_s?.max(MIN_RATE_PER_S);
        self.bucket
            .refill(rate_per_s, Self::burst_count(rate_per_s), now);
        Some(rate_per_s)
    }

    /// Returns when a host that was denied `count` permits asks again: not before
    /// they are there, and not so often that all that wait ask for each.
    fn retry_after(
        &mut self,
        host: &HostId,
        count: f64,
        rate_per_s: f64,
        now: Timestamp,
    ) -> Duration {
        self.waiting
            .retain(|_, at| now.saturating_sub(*at) < WAITING_TIME);
        self.waiting.insert(host.clone(), now);
        let until_there_s = self.bucket.missing(count) / rate_per_s;
        let turn_s = self.waiting.len() as f64 / (ASKS_PER_PERMIT * rate_per_s);
        Duration::from_secs_f64(until_there_s.max(turn_s)).clamp(MIN_RETRY, MAX_RETRY)
    }
}

/// The limits that hosts have reported, and the permits that are left.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    entries: BTreeMap<UpstreamId, Entry>,
    share_ratio: f64,
}

impl PermitLedger {
    /// Sets the part of each limit that a host may use by itself while nobody issues
    /// permits.
    pub const fn set_share(&mut self, share_ratio: f64) {
        self.share_ratio = share_ratio;
    }

    /// Records what the asking host knows, and grants the permits that it asks for if
    /// they are left.
    pub fn answer(&mut self, ask: &Ask, now: Timestamp) -> Grant {
        if let Some(statement) = ask.statement {
            self.observe(ask, statement, now);
        }
        let share_ratio = self.share_ratio;
        let free = Grant {
            is_granted: true,
            retry_after: Duration::ZERO,
            rate_per_s: None,
            share_ratio,
        };
        // The host may list another start of the upstream; its requests reach the one that runs.
        let Some(entry) = self.entries.get_mut(&ask.upstream) else {
            return free;
        };
        let Some(rate_per_s) = entry.refill(now) else {
            return free;
        };
        let count = f64::from(ask.permit_count);
        let is_granted = entry.bucket.take(count);
        let retry_after = if is_granted {
            entry.waiting.remove(&ask.host);
            Duration::ZERO
        } else {
            entry.retry_after(&ask.host, count, rate_per_s, now)
        };
        Grant {
            is_granted,
            retry_after,
            rate_per_s: entry.rate_per_s,
            share_ratio,
        }
    }

    /// Records what a host knows of an upstream. The newest statement counts.
    fn observe(&mut self, ask: &Ask, statement: Statement, now: Timestamp) {
        let stated_at = now.saturating_sub(statement.age);
        if let Some(entry) = self.entries.get_mut(&ask.upstream)
            && entry.started_at_ms >= ask.started_at_ms
        {
            if entry.started_at_ms == ask.started_at_ms && entry.stated_at <= stated_at {
                entry.refill(now);
                if entry.rate_per_s.is_none() {
                    entry.bucket = Bucket::empty(now);
                }
                entry.rate_per_s = statement.rate_per_s;
                entry.stated_at = stated_at;
            }
            return;
        }
        let has_older_start = self.entries.contains_key(&ask.upstream);
        if statement.rate_per_s.is_none() && !has_older_start {
            return;
        }
        bounded::make_room(
            &mut self.entries,
            MAX_ENTRY_COUNT,
            |entry| now.saturating_sub(entry.stated_at) >= ENTRY_TTL,
            |entry| entry.stated_at,
        );
        let entry = Entry {
            started_at_ms: ask.started_at_ms,
            rate_per_s: statement.rate_per_s,
            stated_at,
            // The coordinator before this one, or hosts that did not know the limit, may
            // have used what was left.
            bucket: Bucket::empty(now),
            waiting: BTreeMap::new(),
        };
        self.entries.insert(ask.upstream.clone(), entry);
    }

    /// Returns whether the limit that holds for the upstream was named by a start before the
    /// one at `started_at_ms`.
    pub fn has_earlier_limit(&self, upstream: &UpstreamId, started_at_ms: u64) -> bool {
        self.entries
            .get(upstream)
            .is_some_and(|entry| entry.rate_per_s.is_some() && entry.started_at_ms < started_at_ms)
    }

    /// Returns how many permits are left for each upstream that names a limit.
    pub fn permit_counts(&mut self, now: Timestamp) -> impl Iterator<Item = (&UpstreamId, usize)> {
        self.entries.iter_mut().filter_map(move |(id, entry)| {
            entry.refill(now)?;
            Some((id, entry.bucket.whole_count()))
        })
    }

    /// Returns the limits of all upstreams that name one, with their starts.
    pub fn limits(&self) -> impl Iterator<Item = (&UpstreamId, u64, f64)> {
        self.entries.iter().filter_map(|(id, entry)| {
            let rate_per_s = entry.rate_per_s?;
            Some((id, entry.started_at_ms, rate_per_s))
        })
    }

    /// Drops everything that was reported, for a new term as the coordinator.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Drops the upstreams that are not `is_known`.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|id, _| is_known(id));
    }
}
