//! Follows the tables to which the operator, the trainers and the upstreams
//! write.

use std::{rc::Rc, time::Duration};

use rand::Rng as _;
use tokio::time::sleep;

use crate::{
    clock::{Timestamp, millis},
    ingress::{
        directory::{UnusableUpstream, Upstream},
        host::{FleetView, Host},
        stored,
        wire::{DecodeError, OperatorChange, Wire},
    },
    observe::telemetry::{CONFIGURATION_AGE, STORE_LOST},
    retry,
    store::rows::{RowError, RowPage, RowRange, RowStamp, RowStore, StoredRow},
};

/// How long one request to a feed waits for a change. A silent connection is
/// detected after this time plus the client's margin, which is within the 3 s
/// after which a host counts as connected again.
const FEED_WAIT: Duration = Duration::from_millis(1_500);

/// How long heartbeats of upstreams are batched before they are read; an
/// upstream must get no new work 2 s after it announced that it is leaving.
const UPSTREAM_BATCH_DELAY: Duration = Duration::from_millis(400);

/// How often a host confirms its configuration in the time after which it must not accept
/// removed keys: a feed may be silent for two of its waits before it is replaced.
const CONFIRMATIONS_PER_BOUND: u32 = 8;

/// The initial backoff after a store error.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum backoff after a store error; an accepted configuration must be
/// in force within 2 s.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The number of rows read per call; the platform returns at most this many.
const PAGE_ROW_COUNT: usize = 500;

/// Why an entry names no upstream.
#[derive(Debug, thiserror::Error)]
pub enum UnreadableUpstream {
    /// It cannot be decoded.
    #[error(transparent)]
    Format(#[from] DecodeError),
    /// No upstream can have its values.
    #[error(transparent)]
    Unusable(#[from] UnusableUpstream),
}

/// Follows one table and tracks whether the store answers.
struct Follower<'a, S, W> {
    host: &'a Rc<Host<S, W>>,
    table: &'static str,
    failure_count: u32,
}

impl<S: RowStore, W: Wire> Follower<'_, S, W> {
    async fn read_all(&mut self) -> Result<RowPage, RowError> {
        let range = RowRange {
            table: self.table,
            partition: String::new(),
            from: String::new(),
            to: String::new(),
            limit_count: PAGE_ROW_COUNT,
        };
        stored::read_page(&self.host.store, range).await
    }

    async fn next_page(&mut self, after: RowStamp, wait: Duration) -> Result<RowPage, RowError> {
        self.host.store.changes(self.table, after, wait).await
    }

    /// Records that the store answered, and returns whether it was unavailable
    /// before.
    fn record_success(&mut self, page: &RowPage) -> bool {
        self.host.observe_store_time(page.store_time);
        let was_unavailable = self.failure_count > 0;
        if was_unavailable {
            tracing::info!(
                event = "store.regained",
                table = self.table,
                failure_count = self.failure_count,
                stamp = page.stamp,
            );
        }
        self.failure_count = 0;
        was_unavailable
    }

    async fn back_off(&mut self, error: &RowError) {
        if self.failure_count == 0 {
            self.host.metrics.count(STORE_LOST, 1);
            tracing::warn!(event = "store.lost", table = self.table, %error);
        }
        let backoff = retry::exponential_delay(MIN_BACKOFF, MAX_BACKOFF, self.failure_count);
        self.failure_count += 1;
        // Jitter prevents hosts that failed together from retrying together.
        let jitter_ratio = rand::rng().random_range(0.5..=1.0);
        sleep(backoff.mul_f64(jitter_ratio)).await;
    }
}

/// Follows the operator's table.
pub async fn follow_operator<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    let mut follower = Follower {
        host: &host,
        table: W::OPERATOR_TABLE,
        failure_count: 0,
    };
    let mut stamp = None;
    // Whether the newest configuration that was read is in force.
    let mut is_configuration_known = false;
    loop {
        let sent_at = host.now();
        let result = match stamp {
            None => follower.read_all().await,
            Some(after) => follower.next_page(after, operator_feed_wait(&host)).await,
        };
        match result {
            Ok(page) => {
                follower.record_success(&page);
                stamp = Some(page.stamp);
                for row in &page.rows {
                    if let Some(is_known) = apply_operator_row(&host, row) {
                        is_configuration_known = is_known;
                    }
                }
                if is_configuration_known {
                    confirm_configuration(&host, sent_at);
                }
            }
            Err(RowError::HistoryGone) => {
                tracing::info!(event = "feed.restart", table = W::OPERATOR_TABLE);
                stamp = None;
            }
            Err(error) => follower.back_off(&error).await,
        }
    }
}

/// Reads the versions that trainers named, for a host that cannot wait until a
/// silent feed breaks off.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn read_named_versions<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
) -> Result<(), RowError> {
    let (from, to) = W::VERSION_KEYS;
    let range = RowRange {
        table: W::OPERATOR_TABLE,
        partition: String::new(),
        from: from.to_owned(),
        to: to.to_owned(),
        limit_count: PAGE_ROW_COUNT,
    };
    for row in stored::read_all(&host.store, range).await? {
        apply_operator_row(host, &row);
    }
    Ok(())
}

/// Records that a read sent at `sent_at` showed the newest configuration.
fn confirm_configuration<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, sent_at: Timestamp) {
    if host.has_accounts() {
        let age = host.view.borrow().freshness.age(host.now());
        host.metrics.time(CONFIGURATION_AGE, age);
    }
    host.view.borrow_mut().freshness.confirm(sent_at);
}

/// Returns how long one request to the operator's feed waits for a change. Where removed keys
/// must be refused after a bound, a host that cannot confirm its configuration for that long
/// refuses all requests, so that several confirmations fit into it.
fn operator_feed_wait<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>) -> Duration {
    match host.settings.revocation_bound {
        Some(bound) if host.has_accounts() => FEED_WAIT.min(bound / CONFIRMATIONS_PER_BOUND),
        _ => FEED_WAIT,
    }
}

/// Puts a row of the operator's table into force. Returns whether the configuration in force
/// is at least as new as the row, or `None` for rows of other uses.
fn apply_operator_row<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    row: &StoredRow,
) -> Option<bool> {
    let is_configuration = match W::operator_change(row) {
        Ok(Some(OperatorChange::Configuration(configuration))) => {
            let mut view = host.view.borrow_mut();
            let known = view.configuration.as_ref().map(|known| known.version);
            if known.is_some_and(|known| known >= configuration.version) {
                return Some(true);
            }
            tracing::info!(
                event = "configuration.applied",
                version = configuration.version,
                previous_version = known,
                stamp = row.stamp,
                route_count = configuration.routes.len(),
            );
            view.configuration = Some(configuration.into());
            true
        }
        Ok(Some(OperatorChange::Version(model, version))) => {
            let mut view = host.view.borrow_mut();
            let named = view.named_versions.entry(model.clone()).or_default();
            if version <= *named {
                return None;
            }
            *named = version;
            tracing::info!(
                event = "weights.named",
                model = &*model,
                version,
                stamp = row.stamp
            );
            false
        }
        Ok(None) => return None,
        Err(error) => {
            tracing::warn!(event = "operator.unreadable", key = row.key, stamp = row.stamp, %error);
            // Keys may have been removed in a configuration that cannot be read.
            return (row.key == W::CONFIGURATION_KEY).then_some(false);
        }
    };
    host.view_changed.notify_waiters();
    is_configuration.then_some(true)
}

/// Follows the table in which upstreams register.
pub async fn follow_upstreams<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    let mut follower = Follower {
        host: &host,
        table: W::UPSTREAM_TABLE,
        failure_count: 0,
    };
    let mut stamp = None;
    loop {
        let is_full_listing = stamp.is_none();
        let result = match stamp {
            None => follower.read_all().await,
            Some(after) => follower.next_page(after, FEED_WAIT).await,
        };
        match result {
            Ok(page) => {
                if follower.record_success(&page) {
                    let now = host.now();
                    host.view.borrow_mut().directory.record_store_recovery(now);
                }
                stamp = Some(page.stamp);
                apply_upstream_rows(&host, &page.rows, is_full_listing);
                sleep(UPSTREAM_BATCH_DELAY).await;
            }
            Err(RowError::HistoryGone) => {
                tracing::info!(event = "feed.restart", table = W::UPSTREAM_TABLE);
                stamp = None;
            }
            Err(error) => follower.back_off(&error).await,
        }
    }
}

/// Returns the upstream that an entry names.
///
/// # Errors
///
/// Fails where it names none that can be used, since another writer has made it.
pub fn read_upstream<W: Wire>(row: &StoredRow) -> Result<Upstream, UnreadableUpstream> {
    let upstream = W::upstream(row)?;
    upstream.check()?;
    Ok(upstream)
}

fn apply_upstream_rows<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    rows: &[StoredRow],
    is_full_listing: bool,
) {
    let now = host.now();
    let mut view = host.view.borrow_mut();
    let directory = &mut view.directory;
    for row in rows {
        let id = row.key.as_str().into();
        if row.is_removed {
            if let Some(known) = directory.get(&id) {
                tracing::info!(
                    event = "upstream.removed",
                    upstream = row.key,
                    service = &*known.service,
                    stamp = row.stamp,
                    at_ms = millis(now),
                );
            }
            directory.remove(&id, now);
            continue;
        }
        match read_upstream::<W>(row) {
            Ok(upstream) => {
                let known = directory.get(&id).cloned();
                directory.put(upstream);
                let Some(upstream) = directory.get(&id) else {
                    continue;
                };
                let has_changed = known.is_none_or(|known| {
                    known.is_draining != upstream.is_draining
                        || known.started_at_ms != upstream.started_at_ms
                });
                if has_changed {
                    tracing::info!(
                        event = "upstream.listed",
                        upstream = row.key,
                        service = &*upstream.service,
                        address = %upstream.address,
                        is_draining = upstream.is_draining,
                        software_version = &*upstream.software_version,
                        started_at_ms = upstream.started_at_ms,
                        stamp = row.stamp,
                    );
                }
            }
            Err(error) => {
                tracing::warn!(event = "upstream.unreadable", upstream = row.key, %error);
                directory.remove(&id, now);
            }
        }
    }
    if is_full_listing {
        let present: Vec<_> = rows.iter().map(|row| row.key.as_str().into()).collect();
        directory.retain(&present, now);
    }
    directory.drop_lapsed(now);
    let FleetView {
        directory, limits, ..
    } = &mut *view;
    limits.retain(|id| directory.get(id).is_some());
    drop(view);
    host.view_changed.notify_waiters();
}
