//! The known upstreams, and the choice of one for a call.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    batch::job::ModelId,
    clock::Timestamp,
    ids::{FailureDomain, UpstreamId, WeightVersion},
    ingress::routes::ServiceName,
    retry,
};

/// How long after the store recovers a removed entry may still reappear; the
/// platform states about 2 s, and later removals are intended.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// The cooldown after an upstream's first failure, during which it gets no
/// calls while others are available; it doubles with each consecutive failure.
const MIN_COOLDOWN: Duration = Duration::from_millis(300);

/// The maximum cooldown of a failing upstream.
const MAX_COOLDOWN: Duration = Duration::from_secs(5);

/// One upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The Unix time in milliseconds at which the upstream started.
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// How many requests it runs concurrently.
    pub slot_count: usize,
    /// Whether it is draining and must get no new calls.
    pub is_draining: bool,
    /// The loaded version of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

/// An upstream with this host's record of its calls.
#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    open_count: usize,
    failure_count: u32,
    cooldown_until: Timestamp,
    /// Whether the platform's entry is gone but may reappear.
    has_lapsed: bool,
}

/// The upstreams, by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<UpstreamId, Entry>,
    /// Rotates the choice among upstreams that are otherwise equal.
    next_turn: u64,
    /// The time until which removed entries may still reappear.
    lapse_grace_until: Timestamp,
    /// Increments whenever an upstream is added, changed or removed.
    revision: u64,
}

impl Directory {
    /// Adds or updates an upstream.
    pub fn put(&mut self, upstream: Upstream) {
        let is_unchanged = self
            .entries
            .get(&upstream.id)
            .is_some_and(|entry| *entry.upstream == upstream && !entry.has_lapsed);
        if is_unchanged {
            return;
        }
        self.revision += 1;
        let upstream = Arc::new(upstream);
        match self.entries.get_mut(&upstream.id) {
            Some(entry) if entry.upstream.started_at_ms == upstream.started_at_ms => {
                entry.upstream = upstream;
                entry.has_lapsed = false;
            }
            _ => {
                self.entries.insert(
                    upstream.id.clone(),
                    Entry {
                        upstream,
                        open_count: 0,
                        failure_count: 0,
                        cooldown_until: Duration::ZERO,
                        has_lapsed: false,
                    },
                );
            }
        }
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Timestamp) {
        self.lapse_grace_until = now + LAPSE_GRACE;
    }

    /// Records that the platform removed an entry.
    ///
    /// Entries expire while the store is unavailable. After an outage, an
    /// upstream without an entry therefore stays in use until the entry can no
    /// longer reappear.
    pub fn remove(&mut self, id: &UpstreamId, now: Timestamp) {
        if now >= self.lapse_grace_until {
            self.revision += 1;
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.has_lapsed = true;
        }
    }

    /// Removes all entries that are not in `present`, a complete listing.
    pub fn retain(&mut self, present: &[UpstreamId], now: Timestamp) {
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
    }

    /// Drops lapsed entries that did not reappear in time.
    pub fn drop_lapsed(&mut self, now: Timestamp) {
        let before_count = self.entries.len();
        if now >= self.lapse_grace_until {
            self.entries.retain(|_, entry| !entry.has_lapsed);
        }
        if self.entries.len() < before_count {
            self.revision += 1;
        }
    }

    /// Returns a number that increments whenever the upstreams change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the upstream `id`.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Chooses the upstream of `service` for a call. It prefers, in this order,
    /// upstreams that are not in cooldown, have a free slot, are in `domain`,
    /// and have the fewest calls in flight from this host.
    ///
    /// Upstreams in `tried` already received the call and are excluded.
    pub fn choose(
        &mut self,
        service: &str,
        domain: &str,
        tried: &[UpstreamId],
        now: Timestamp,
    ) -> Option<Arc<Upstream>> {
        self.drop_lapsed(now);
        self.next_turn = self.next_turn.wrapping_add(1);
        let turn = self.next_turn;
        self.entries
            .values()
            .filter(|entry| *entry.upstream.service == *service && !entry.upstream.is_draining)
            .filter(|entry| !tried.contains(&entry.upstream.id))
            .enumerate()
            .min_by_key(|(index, entry)| {
                let is_full = entry.open_count >= entry.upstream.slot_count.max(1);
                (
                    entry.cooldown_until > now,
                    is_full,
                    *entry.upstream.failure_domain != *domain,
                    entry.open_count,
                    (*index as u64).wrapping_add(turn) % 16,
                )
            })
            .map(|(_, entry)| entry.upstream.clone())
    }

    /// Counts a call to `id` as in flight.
    pub fn record_call_start(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.open_count += 1;
        }
    }

    /// Records that a call to `id` ended, and whether the upstream failed;
    /// `None` if the call did not show either.
    pub fn record_call_end(&mut self, id: &UpstreamId, failed: Option<bool>, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.open_count = entry.open_count.saturating_sub(1);
        match failed {
            Some(true) => {
                let cooldown =
                    retry::exponential_delay(MIN_COOLDOWN, MAX_COOLDOWN, entry.failure_count);
                entry.cooldown_until = now + cooldown;
                entry.failure_count += 1;
            }
            Some(false) => entry.failure_count = 0,
            None => {}
        }
    }
}
