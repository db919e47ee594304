//! Access to the store through other hosts, for a host that the store refuses
//! or that cannot reach it.
//!
//! The store may refuse some hosts, or be unreachable from them, while it
//! serves others. Each host therefore relays calls for the others, at an
//! address that it publishes in the store, while it can reach the store itself
//! (see docs/design/platform.md, "A store that turns a host away").

mod relay;

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rand::Rng as _;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    batch::layout,
    ids::HostId,
    ingress::{server, stored},
    store::rows::{
        Applied, NotAppliedReason, PeerCalls, RelayedStore, RowError, RowName, RowPage, RowRange,
        RowStamp, RowStore, RowTransaction,
    },
};

/// The table in which hosts publish their relay addresses.
const HOST_TABLE: &str = "hosts";

/// The number of partitions of that table. The store applies the writes of a
/// partition one after another, 200 a second in the deployment specification, and
/// all hosts of a fleet may start at once.
const HOST_PARTITION_COUNT: u64 = 8;

/// How many other hosts each host may use as relays; up to a fifth of a fleet
/// may be refused at once, so that all of them are refused with a probability
/// of 1 in 400,000.
const PEER_COUNT: usize = 8;

/// The number of rows read per call to count the hosts; the platform returns at most
/// this many.
const COUNT_PAGE_ROW_COUNT: usize = 500;

/// How often the list of other hosts is refreshed.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// The shortest interval between direct probes of an unavailable store, and between
/// checks of an available one.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of such a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a call that its caller abandoned must have been unanswered for the
/// store to count as unavailable; the slow store in the deployment
/// specification answers in 240 ms.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a read must have been unanswered for it to be given up once the store
/// counts as unavailable.
const READ_SILENCE_TIMEOUT: Duration = UNANSWERED_TIMEOUT;

/// The same for a write, which the slow store in the deployment specification
/// answers in 540 ms.
const WRITE_SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// A store that is called directly or, if that fails, through another host.
#[derive(Clone, Debug)]
pub struct FallbackStore<S> {
    shared: Rc<Shared<S>>,
}

#[derive(Debug)]
struct Shared<S> {
    direct: S,
    host: HostId,
    relay_address: Option<SocketAddr>,
    /// Whether the store was unavailable to this host at the last direct call.
    is_store_unavailable: Cell<bool>,
    /// Wakes the calls in flight when the store becomes unavailable.
    became_unavailable: Notify,
    /// Wakes the calls in flight when the store becomes available again.
    became_available: Notify,
    peers: RefCell<Vec<SocketAddr>>,
    /// Selects the peer for the next relayed call, modulo their number.
    next_peer: Cell<usize>,
}

/// Marks the store as unavailable if the caller drops a call that was
/// unanswered for too long.
struct SilenceGuard<'a, S> {
    shared: &'a Shared<S>,
    started_at: Instant,
    is_answered: bool,
}

impl<S> Drop for SilenceGuard<'_, S> {
    fn drop(&mut self) {
        if !self.is_answered && self.started_at.elapsed() >= UNANSWERED_TIMEOUT {
            self.shared.mark_unavailable("silent");
        }
    }
}

impl<S> Shared<S> {
    fn mark_unavailable(&self, reason: &str) {
        if !self.is_store_unavailable.replace(true) {
            let peer_count = self.peers.borrow().len();
            tracing::warn!(event = "store.turned_away", reason, peer_count);
            self.became_unavailable.notify_waiters();
        }
    }

    /// Waits until the store is unavailable and `silence_timeout` has passed since
    /// `started_at`, after which a call that is still unanswered is given up.
    async fn wait_until_unavailable(&self, started_at: Instant, silence_timeout: Duration) {
        loop {
            let became_unavailable = self.became_unavailable.notified();
            if !self.is_store_unavailable.get() {
                became_unavailable.await;
            }
            sleep(silence_timeout.saturating_sub(started_at.elapsed())).await;
            if self.is_store_unavailable.get() {
                return;
            }
        }
    }

    fn mark_available(&self) {
        if self.is_store_unavailable.replace(false) {
            tracing::info!(event = "store.direct_again");
            self.became_available.notify_waiters();
        }
    }
}

/// Returns why the result shows that the store is unavailable to this host, or
/// `None` if the store answered.
fn unavailability_reason<T>(result: &Result<T, RowError>) -> Option<&'static str> {
    match result {
        Err(RowError::NotApplied { reason }) => match reason {
            NotAppliedReason::Unreachable => Some("unreachable"),
            NotAppliedReason::RateLimited => Some("rate-limited"),
            NotAppliedReason::Unavailable => Some("unavailable"),
            NotAppliedReason::Rejected | NotAppliedReason::Full => None,
        },
        Err(RowError::Unknown) => Some("answer-lost"),
        _ => None,
    }
}

impl<S: RelayedStore> FallbackStore<S> {
    /// Creates a client of `direct` for `host`, which relays calls of other
    /// hosts at `relay_address`, if given.
    pub fn new(direct: S, host: HostId, relay_address: Option<SocketAddr>) -> Self {
        Self {
            shared: Rc::new(Shared {
                direct,
                host,
                relay_address,
                is_store_unavailable: Cell::new(false),
                became_unavailable: Notify::new(),
                became_available: Notify::new(),
                peers: RefCell::default(),
                next_peer: Cell::new(0),
            }),
        }
    }

    /// Returns whether the store was unavailable to this host at the last
    /// direct call.
    pub fn is_store_unavailable(&self) -> bool {
        self.shared.is_store_unavailable.get()
    }

    /// Calls the store, through a peer while it is unavailable.
    ///
    /// A store that fell silent never answers the calls of that time. Once it is
    /// available again, those that are still unanswered are therefore given up,
    /// and repeated if `is_repeatable`.
    async fn call_store<T, F>(
        &self,
        is_repeatable: bool,
        silence_timeout: Duration,
        call: impl Fn(S) -> F,
    ) -> Result<T, RowError>
    where
        F: Future<Output = Result<T, RowError>>,
    {
        if !self.is_store_unavailable() {
            return self
                .call_or_detour(is_repeatable, silence_timeout, &call)
                .await;
        }
        tokio::select! {
            result = self.call_or_detour(is_repeatable, silence_timeout, &call) => return result,
            () = self.shared.became_available.notified() => {}
        }
        if !is_repeatable {
            return Err(RowError::Unknown);
        }
        self.call_or_detour(is_repeatable, silence_timeout, &call)
            .await
    }

    /// Calls the store, through a peer while it is unavailable. A direct call
    /// that failed is repeated through a peer if it certainly was not applied,
    /// or if `is_repeatable`. A direct call counts as failed if it is unanswered
    /// for `silence_timeout` when other calls show that the store is unavailable.
    async fn call_or_detour<T, F>(
        &self,
        is_repeatable: bool,
        silence_timeout: Duration,
        call: &impl Fn(S) -> F,
    ) -> Result<T, RowError>
    where
        F: Future<Output = Result<T, RowError>>,
    {
        if self.is_store_unavailable()
            && let Some(result) = self.call_through_peer(call).await
        {
            return result;
        }
        let was_unavailable = self.is_store_unavailable();
        let mut guard = SilenceGuard {
            shared: &self.shared,
            started_at: Instant::now(),
            // Silence shows nothing new of an unavailable store.
            is_answered: was_unavailable,
        };
        let started_at = guard.started_at;
        let result = tokio::select! {
            result = call(self.shared.direct.clone()) => result,
            // While the store is unavailable, a call comes here only if no peer carried
            // it out.
            () = self.shared.wait_until_unavailable(started_at, silence_timeout), if !was_unavailable => {
                Err(RowError::Unknown)
            }
        };
        guard.is_answered = true;
        let Some(reason) = unavailability_reason(&result) else {
            self.shared.mark_available();
            return result;
        };
        self.shared.mark_unavailable(reason);
        let may_repeat = is_repeatable || !matches!(result, Err(RowError::Unknown));
        if was_unavailable || !may_repeat {
            return result;
        }
        self.call_through_peer(call).await.unwrap_or(result)
    }

    /// Makes a call through a peer, or returns `None` if there is no peer or
    /// the peer did not carry it out.
    async fn call_through_peer<T, F>(&self, call: &impl Fn(S) -> F) -> Option<Result<T, RowError>>
    where
        F: Future<Output = Result<T, RowError>>,
    {
        let next_peer = self.shared.next_peer.get();
        let peer = {
            let peers = self.shared.peers.borrow();
            *peers.get(next_peer % peers.len().max(1))?
        };
        let result = call(self.shared.direct.through(peer)).await;
        let Some(reason) = unavailability_reason(&result) else {
            return Some(result);
        };
        tracing::debug!(event = "store.peer_failed", %peer, reason);
        self.shared.next_peer.set(next_peer.wrapping_add(1));
        // Only the caller may repeat a write that may have been applied.
        matches!(result, Err(RowError::Unknown)).then_some(result)
    }

    /// Probes the store directly to find out whether it is available again.
    pub async fn probe_store(&self) {
        let range = peer_range(0, "", 1);
        let result = timeout(PROBE_TIMEOUT, self.shared.direct.read(&range)).await;
        if result.is_ok_and(|result| unavailability_reason(&result).is_none()) {
            self.shared.mark_available();
        }
    }

    /// Publishes this host's relay address in the store.
    ///
    /// # Errors
    ///
    /// Fails where the store does not confirm the write.
    pub async fn publish_relay_address(&self) -> Result<(), RowError> {
        let Some(address) = self.shared.relay_address else {
            return Ok(());
        };
        let host = &*self.shared.host;
        let name = RowName::new(HOST_TABLE, host_partition(partition_index(host)), host);
        let value = layout::encode(&address).map_err(stored::unreadable)?;
        // The write is unconditional: a late write of an older address only
        // causes failed relayed calls.
        let transaction = RowTransaction::default().put(name, value);
        self.commit(&transaction).await.map(drop)
    }

    /// Refreshes the list of peers with the hosts that follow this one in its
    /// partition, in the cyclic order of their names, and then with those of the
    /// partitions after it.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no readable answer.
    pub async fn refresh_peers(&self) -> Result<(), RowError> {
        let own = &*self.shared.host;
        let own_index = partition_index(own);
        let mut rows = self
            .read(&peer_range(own_index, own, PEER_COUNT + 1))
            .await?
            .rows;
        for offset in 1..=HOST_PARTITION_COUNT {
            if rows.len() > PEER_COUNT {
                break;
            }
            // The last one is the own partition, for the hosts before this one.
            let index = (own_index + offset) % HOST_PARTITION_COUNT;
            rows.extend(self.read(&peer_range(index, "", PEER_COUNT)).await?.rows);
        }
        let mut peers: Vec<SocketAddr> = Vec::new();
        for row in rows.iter().filter(|row| row.key != own) {
            match layout::decode::<SocketAddr>(&row.key, &row.value) {
                Ok(address) if !peers.contains(&address) => peers.push(address),
                Ok(_) => {}
                Err(error) => tracing::warn!(event = "store.peer_unreadable", %error),
            }
        }
        peers.truncate(PEER_COUNT);
        *self.shared.peers.borrow_mut() = peers;
        Ok(())
    }

    /// Refreshes the list of peers, and probes the store while it is
    /// unavailable.
    async fn maintain(&self) {
        let mut is_address_published = false;
        let mut refreshed_at: Option<Instant> = None;
        loop {
            if self.is_store_unavailable() {
                self.probe_store().await;
            } else {
                if !is_address_published {
                    is_address_published = self.publish_relay_address().await.is_ok();
                }
                if refreshed_at.is_none_or(|at| at.elapsed() >= PEER_REFRESH_INTERVAL) {
                    match self.refresh_peers().await {
                        Ok(()) => refreshed_at = Some(Instant::now()),
                        Err(error) => tracing::debug!(event = "store.peers_not_read", %error),
                    }
                }
            }
            let jitter_factor = rand::rng().random_range(1.0..2.0);
            sleep(PROBE_INTERVAL.mul_f64(jitter_factor)).await;
        }
    }
}

/// Returns how many hosts have published an address, also those that are gone.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn count_hosts(store: &impl RowStore) -> Result<usize, RowError> {
    let mut host_count = 0;
    for index in 0..HOST_PARTITION_COUNT {
        let range = peer_range(index, "", COUNT_PAGE_ROW_COUNT);
        host_count += stored::read_all(store, range).await?.len();
    }
    Ok(host_count)
}

fn partition_index(host: &str) -> u64 {
    xxh3_64(host.as_bytes()) % HOST_PARTITION_COUNT
}

fn host_partition(index: u64) -> String {
    format!("hosts-{index}")
}

fn peer_range(partition_index: u64, from: &str, limit_count: usize) -> RowRange {
    RowRange {
        table: HOST_TABLE,
        partition: host_partition(partition_index),
        from: from.to_owned(),
        to: String::new(),
        limit_count,
    }
}

impl<S: RelayedStore> RowStore for FallbackStore<S> {
    async fn commit(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        self.call_store(false, WRITE_SILENCE_TIMEOUT, |store| async move {
            store.commit(transaction).await
        })
        .await
    }

    async fn read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        self.call_store(true, READ_SILENCE_TIMEOUT, |store| async move {
            store.read(range).await
        })
        .await
    }

    async fn partitions(&self, table: &str, after: &str) -> Result<Vec<String>, RowError> {
        self.call_store(true, READ_SILENCE_TIMEOUT, |store| async move {
            store.partitions(table, after).await
        })
        .await
    }

    async fn changes(
        &self,
        table: &str,
        after: RowStamp,
        wait: Duration,
    ) -> Result<RowPage, RowError> {
        // A feed waits for changes, so that its silence says nothing.
        self.call_store(true, Duration::ZERO, |store| async move {
            store.changes(table, after, wait).await
        })
        .await
    }

    fn peers(&self) -> Vec<SocketAddr> {
        self.shared.peers.borrow().clone()
    }

    async fn run_background(&self, peers: impl PeerCalls) {
        let relay = self.shared.relay_address.map(server::bind);
        let serve = async {
            match relay {
                Some(Ok(listener)) => self.serve(listener, peers).await,
                Some(Err(error)) => tracing::error!(event = "store.no_relay", %error),
                None => {}
            }
        };
        tokio::join!(self.maintain(), serve);
    }
}
