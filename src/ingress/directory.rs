//! Which upstreams there are, and which one a call goes to.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    batch::job::ModelId,
    clock::Timestamp,
    ids::{FailureDomain, UpstreamId, WeightVersion},
    ingress::routes::ServiceName,
    retry,
};

/// How long after the store's return an entry that went may still come back; the
/// platform says about 2 s, and later removals are meant.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// How long an upstream that failed gets no calls while others are there;
/// doubles with each failure in a row.
const MIN_AVOIDANCE: Duration = Duration::from_millis(300);

/// The longest time for which a failing upstream gets no calls.
const MAX_AVOIDANCE: Duration = Duration::from_secs(5);

/// One upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub id: UpstreamId,
    /// The Unix time of its start, in milliseconds.
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// How many requests it runs at once.
    pub slot_count: usize,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// The version of each model that it holds.
    pub versions: BTreeMap<ModelId, WeightVersion>,
}

/// An upstream and what this host has seen of it.
#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    open_count: usize,
    failure_count: u32,
    avoid_until: Timestamp,
    /// Whether the platform's entry is gone, and may come back.
    has_lapsed: bool,
}

/// The upstreams by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<UpstreamId, Entry>,
    next_turn: u64,
    /// Until when removed entries may still come back.
    lapses_at: Timestamp,
    /// Rises whenever an upstream came, changed or went.
    revision: u64,
}

impl Directory {
    /// Takes in an entry.
    pub fn put(&mut self, upstream: Upstream) {
        let is_known = self
            .entries
            .get(&upstream.id)
            .is_some_and(|entry| *entry.upstream == upstream && !entry.has_lapsed);
        if is_known {
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
                        avoid_until: Duration::ZERO,
                        has_lapsed: false,
                    },
                );
            }
        }
    }

    /// Takes in that the store answers again after it was away.
    pub fn store_returned(&mut self, now: Timestamp) {
        self.lapses_at = now + LAPSE_GRACE;
    }

    /// Takes in that an entry was removed.
    ///
    /// Entries lapse while the store is away, so that an upstream whose entry
    /// went is used until it is clear that it does not come back.
    pub fn remove(&mut self, id: &UpstreamId, now: Timestamp) {
        if now >= self.lapses_at {
            self.revision += 1;
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.has_lapsed = true;
        }
    }

    /// Keeps only the entries in `present`, as a whole listing says.
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

    /// Drops entries that lapsed and did not come back.
    pub fn drop_lapsed(&mut self, now: Timestamp) {
        let before_count = self.entries.len();
        if now >= self.lapses_at {
            self.entries.retain(|_, entry| !entry.has_lapsed);
        }
        if self.entries.len() < before_count {
            self.revision += 1;
        }
    }

    /// Returns a number that rises whenever the upstreams change.
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

    /// Chooses the upstream of `service` for a call: one that did not fail
    /// lately, with the fewest calls of this host, near `domain` if it can be.
    ///
    /// Upstreams in `tried` have had the call already and come last.
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
                    entry.avoid_until > now,
                    is_full,
                    *entry.upstream.failure_domain != *domain,
                    entry.open_count,
                    (*index as u64).wrapping_add(turn) % 16,
                )
            })
            .map(|(_, entry)| entry.upstream.clone())
    }

    /// Counts a call that is sent to `id`.
    pub fn opened(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.open_count += 1;
        }
    }

    /// Takes in that a call to `id` is over, and whether the upstream failed;
    /// none where nothing was learned.
    pub fn closed(&mut self, id: &UpstreamId, failed: Option<bool>, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.open_count = entry.open_count.saturating_sub(1);
        match failed {
            Some(true) => {
                let pause = retry::doubled(MIN_AVOIDANCE, MAX_AVOIDANCE, entry.failure_count);
                entry.avoid_until = now + pause;
                entry.failure_count += 1;
            }
            Some(false) => entry.failure_count = 0,
            None => {}
        }
    }
}
