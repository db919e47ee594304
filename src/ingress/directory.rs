//! The known upstreams, and the choice of one for a call.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::{
    batch::job::ModelId,
    clock::Timestamp,
    ids::{FailureDomain, SoftwareVersion, UpstreamId, WeightVersion},
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

/// How long an upstream gets no calls after another one answered at its address.
const AWAY_TIME: Duration = Duration::from_secs(2);

/// The share of an upstream's slots that reward calls leave to the calls of
/// clients, at least one slot.
const CLIENT_SLOT_RATIO: f64 = 0.25;

/// The factor by which an upstream that is full lowers the limit on its
/// concurrent reward calls. Each answer raises the limit by its inverse.
const REWARD_LIMIT_DECREASE_RATIO: f64 = 0.5;

/// The longest time for which an upstream gets no reward calls after a refusal; its
/// own estimate may be of a load that has passed.
const MAX_REWARD_PAUSE: Duration = Duration::from_secs(1);

/// The share of an upstream's slots up to which reward calls prefer the
/// upstreams of their own failure domain.
const LOCAL_SLOT_RATIO: f64 = 0.5;

/// The number of upstreams of equal rank that take turns.
const TURN_COUNT: u64 = 16;

/// The longest software version, as long as the names of the store.
const MAX_VERSION_BYTES: usize = 200;

/// How many upstreams without an entry are remembered as leaving.
const MAX_LEFT_COUNT: usize = 4_096;

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
    /// Whether it is leaving, as listed or by its own answers, and must get no new
    /// calls.
    pub is_draining: bool,
    /// The version of its software.
    pub software_version: SoftwareVersion,
    /// The loaded version of each model.
    pub versions: BTreeMap<ModelId, WeightVersion>,
    /// Whether the platform may reclaim it.
    pub is_spot: bool,
    /// The time until it leaves, as it was listed, if that is known.
    pub leaves_in: Option<Duration>,
}

/// Why an entry names no upstream to use, although it can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnusableUpstream {
    /// Requests name the upstream in a header.
    #[error("the id does not fit into a header")]
    Id,
    /// No connection can be opened to such an address.
    #[error("nobody can have the address {0}")]
    Address(SocketAddr),
    /// Versions are saved beside each other in one row of the store.
    #[error("the software version has {0} bytes")]
    SoftwareVersion(usize),
}

impl Upstream {
    /// Checks that the upstream can be called: another writer may have made the entry.
    ///
    /// # Errors
    ///
    /// Fails where no upstream can have these values.
    pub fn check(&self) -> Result<(), UnusableUpstream> {
        if self.id.is_empty() || !self.id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(UnusableUpstream::Id);
        }
        let ip = self.address.ip();
        let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
        let is_nobodys = ip.is_unspecified() || ip.is_multicast() || is_broadcast;
        if is_nobodys || self.address.port() == 0 {
            return Err(UnusableUpstream::Address(self.address));
        }
        let length_bytes = self.software_version.len();
        if !(1..=MAX_VERSION_BYTES).contains(&length_bytes) {
            return Err(UnusableUpstream::SoftwareVersion(length_bytes));
        }
        Ok(())
    }
}

/// An upstream with this host's record of its calls.
#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    open_count: usize,
    failure_count: u32,
    cooldown_until: Timestamp,
    /// The limit on concurrent calls from this host above which no reward call
    /// starts.
    reward_limit: f64,
    /// The time until which the upstream asked for no more reward calls.
    reward_pause_until: Timestamp,
    /// Whether the platform's entry is gone but may reappear.
    has_lapsed: bool,
    /// The time until which another upstream is taken to have its address.
    away_until: Timestamp,
}

impl Entry {
    fn new(upstream: Arc<Upstream>) -> Self {
        Self {
            reward_limit: max_reward_limit(&upstream),
            reward_pause_until: Duration::ZERO,
            upstream,
            open_count: 0,
            failure_count: 0,
            cooldown_until: Duration::ZERO,
            has_lapsed: false,
            away_until: Duration::ZERO,
        }
    }
}

/// Returns the highest limit on concurrent reward calls to `upstream`.
fn max_reward_limit(upstream: &Upstream) -> f64 {
    let slot_count = upstream.slot_count as f64;
    let client_slot_count = (slot_count * CLIENT_SLOT_RATIO).ceil().max(1.0);
    (slot_count - client_slot_count).max(1.0)
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
    /// The upstreams that stated in an answer that they are leaving, with the
    /// Unix time in milliseconds at which they started.
    ///
    /// An upstream never takes this back, so that no listing of the same start, or of an
    /// earlier one, overrides it, also not one that follows the removal of the entry.
    leaving: BTreeMap<UpstreamId, u64>,
}

impl Directory {
    /// Adds or updates an upstream.
    pub fn put(&mut self, listed: Upstream) {
        let mut upstream = listed;
        match self.leaving.get(&upstream.id) {
            // An earlier start ended before the one that is leaving.
            Some(started_at_ms) if *started_at_ms >= upstream.started_at_ms => {
                upstream.is_draining = true;
            }
            Some(_) => {
                self.leaving.remove(&upstream.id);
            }
            None => {}
        }
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
                if entry.upstream.address != upstream.address {
                    entry.away_until = Duration::ZERO;
                }
                entry.upstream = upstream;
                entry.has_lapsed = false;
            }
            _ => {
                self.entries
                    .insert(upstream.id.clone(), Entry::new(upstream));
            }
        }
    }

    /// Records that `upstream` stated in an answer that it is leaving, and returns
    /// whether that was new. It gets no new calls from then on (see
    /// docs/design/platform.md, "Upstreams that leave").
    pub fn record_leaving(&mut self, upstream: &Upstream) -> bool {
        let known = self.leaving.get(&upstream.id).copied();
        // A late answer of an earlier start says nothing of the present one.
        if known >= Some(upstream.started_at_ms) {
            return false;
        }
        self.leaving
            .insert(upstream.id.clone(), upstream.started_at_ms);
        if self.leaving.len() > MAX_LEFT_COUNT {
            self.leaving.retain(|id, _| self.entries.contains_key(id));
        }
        if let Some(entry) = self.entries.get_mut(&upstream.id)
            && entry.upstream.started_at_ms == upstream.started_at_ms
            && !entry.upstream.is_draining
        {
            Arc::make_mut(&mut entry.upstream).is_draining = true;
            self.revision += 1;
        }
        true
    }

    /// Records that another upstream answered at the address of `upstream`, and returns
    /// whether that was new. Its calls do not reach it, so that it gets none until it is
    /// listed anew or 2 s have passed.
    pub fn record_misdirected(&mut self, upstream: &Upstream, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get_mut(&upstream.id) else {
            return false;
        };
        let is_same = entry.upstream.started_at_ms == upstream.started_at_ms
            && entry.upstream.address == upstream.address;
        let is_new = is_same && entry.away_until <= now;
        if is_same {
            entry.away_until = now + AWAY_TIME;
        }
        is_new
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
        self.choose_if(service, domain, tried, now, |_| true)
    }

    /// Chooses like [`Directory::choose`] among the upstreams that `is_allowed`.
    pub fn choose_if(
        &mut self,
        service: &str,
        domain: &str,
        tried: &[UpstreamId],
        now: Timestamp,
        is_allowed: impl Fn(&Upstream) -> bool,
    ) -> Option<Arc<Upstream>> {
        self.choose_by(
            service,
            tried,
            now,
            |entry| is_allowed(&entry.upstream),
            |entry| {
                let is_full = entry.open_count >= entry.upstream.slot_count.max(1);
                (
                    entry.cooldown_until > now,
                    is_full,
                    *entry.upstream.failure_domain != *domain,
                    entry.open_count,
                )
            },
        )
    }

    /// Chooses the upstream of `service` for a reward call, or returns `None`
    /// where each has as many calls from this host as reward calls may use.
    ///
    /// Upstreams in cooldown are used only if all of them are. Among the others it
    /// prefers those that have many free slots, are in `domain`, and have the
    /// fewest calls in flight from this host. Upstreams in `tried` are excluded.
    pub fn choose_for_reward(
        &mut self,
        service: &str,
        domain: &str,
        tried: &[UpstreamId],
        now: Timestamp,
    ) -> Option<Arc<Upstream>> {
        self.drop_lapsed(now);
        let are_all_cooling = self
            .candidates(service, tried)
            .all(|entry| entry.cooldown_until > now);
        let has_room = |entry: &Entry| {
            (are_all_cooling || entry.cooldown_until <= now)
                && (entry.open_count as f64) < entry.reward_limit.floor()
                && entry.reward_pause_until <= now
        };
        self.choose_by(service, tried, now, has_room, |entry| {
            let local_count = entry.upstream.slot_count as f64 * LOCAL_SLOT_RATIO;
            (
                entry.open_count as f64 >= local_count,
                *entry.upstream.failure_domain != *domain,
                entry.open_count,
            )
        })
    }

    /// Returns the upstream with the lowest rank of those that `is_allowed`; equal
    /// ones take turns.
    fn choose_by<R: Ord>(
        &mut self,
        service: &str,
        tried: &[UpstreamId],
        now: Timestamp,
        is_allowed: impl Fn(&Entry) -> bool,
        rank: impl Fn(&Entry) -> R,
    ) -> Option<Arc<Upstream>> {
        self.drop_lapsed(now);
        self.next_turn = self.next_turn.wrapping_add(1);
        let turn = self.next_turn;
        self.candidates(service, tried)
            .filter(|entry| entry.away_until <= now && is_allowed(entry))
            .enumerate()
            .min_by_key(|(index, entry)| {
                let turn_rank = (*index as u64).wrapping_add(turn) % TURN_COUNT;
                (rank(entry), turn_rank)
            })
            .map(|(_, entry)| entry.upstream.clone())
    }

    /// Returns the upstreams of `service` that are not leaving and not in `tried`.
    fn candidates<'a>(
        &'a self,
        service: &'a str,
        tried: &'a [UpstreamId],
    ) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| *entry.upstream.service == *service)
            .filter(move |entry| !entry.upstream.is_draining)
            .filter(move |entry| !tried.contains(&entry.upstream.id))
    }

    /// Raises the limit on concurrent reward calls to `id`, which answered one.
    pub fn record_reward_answer(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.entries.get_mut(id) {
            let max_limit = max_reward_limit(&entry.upstream);
            entry.reward_limit = (entry.reward_limit + 1.0 / entry.reward_limit).min(max_limit);
        }
    }

    /// Lowers the limit on concurrent reward calls to `id`, which refused one because
    /// it is full, and starts none there for `retry_after`.
    pub fn record_reward_refusal(
        &mut self,
        id: &UpstreamId,
        retry_after: Duration,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reward_limit = (entry.reward_limit * REWARD_LIMIT_DECREASE_RATIO).max(1.0);
            entry.reward_pause_until = now + retry_after.min(MAX_REWARD_PAUSE);
        }
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
