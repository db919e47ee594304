//! What the coordinator publishes to all hosts, in a row beside its lease that they
//! read with it (see docs/design/server-limits.md).

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    batch::layout,
    ids::{FenceNumber, UpstreamId},
    ingress::{calls::Fingerprint, detour, host::Host, limits::Issuer, stored, wire::Wire},
    store::rows::{RowError, RowName, RowRange, RowStamp, RowStore, RowTransaction, StoredRow},
};

/// The key of the row.
pub const NOTICE_KEY: &str = "notices";

/// How often the coordinator looks whether it has something new to publish.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// How often the coordinator counts the hosts of the fleet.
const COUNT_INTERVAL: Duration = Duration::from_secs(10);

/// The relative change of a limit above which it is published again. Hosts learn
/// smaller ones from the upstream's answers.
const PUBLISHED_CHANGE_RATIO: f64 = 0.2;

/// How many limits are published. Hosts learn the others from the upstreams' answers.
const MAX_LIMIT_COUNT: usize = 512;

/// How many crashing calls are published.
const MAX_CRASHING_COUNT: usize = 512;

/// How many calls are published under which fewer upstreams were lost. Hosts read the
/// row several times a second, so that it stays small in an outage.
const MAX_SUSPECTED_COUNT: usize = 64;

/// The limit of one upstream, as hosts reported it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedLimit {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The Unix time in milliseconds at which the upstream started.
    pub started_at_ms: u64,
    /// The requests per second that the upstream takes from all hosts.
    pub rate_per_s: f64,
}

/// What the coordinator publishes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The fencing number of the coordinator's lease.
    pub fence: FenceNumber,
    /// The address at which the coordinator answers other hosts.
    pub address: Option<SocketAddr>,
    /// How many hosts have ever published an address, or 0 if that is not known yet.
    pub host_count: u32,
    /// The upstreams that name a limit.
    pub limits: Vec<PublishedLimit>,
    /// The calls under which upstreams crash, with the number of their trials.
    pub crashing: Vec<(Fingerprint, u32)>,
    /// The calls under which fewer upstreams were lost, and how many, for the next
    /// coordinator.
    pub suspected: Vec<(Fingerprint, u32)>,
}

impl Notice {
    /// Returns the part of each limit that a host may use by itself while nobody
    /// issues permits.
    pub fn share_ratio(&self) -> f64 {
        match self.host_count {
            0 => 0.0,
            count => 1.0 / f64::from(count),
        }
    }

    /// Returns whether hosts that know `published` need not learn this one.
    pub fn is_covered_by(&self, published: &Self) -> bool {
        let is_near = |limit: &PublishedLimit, other: &PublishedLimit| {
            let change = (limit.rate_per_s - other.rate_per_s).abs();
            limit.upstream == other.upstream
                && limit.started_at_ms == other.started_at_ms
                && change <= other.rate_per_s * PUBLISHED_CHANGE_RATIO
        };
        self.fence == published.fence
            && self.address == published.address
            && self.host_count == published.host_count
            && self.crashing == published.crashing
            && self.suspected == published.suspected
            && self.limits.len() == published.limits.len()
            && self
                .limits
                .iter()
                .zip(&published.limits)
                .all(|(limit, other)| is_near(limit, other))
    }
}

/// Applies the row that a host read beside the lease.
pub fn apply<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, row: &StoredRow) {
    let notice: Notice = match layout::decode(&row.key, &row.value) {
        Ok(notice) => notice,
        Err(error) => {
            tracing::warn!(event = "notice.unreadable", stamp = row.stamp, %error);
            return;
        }
    };
    let share_ratio = notice.share_ratio();
    host.view.borrow_mut().host_count = notice.host_count;
    let issuer = Issuer {
        fence: notice.fence,
        address: notice.address,
    };
    let limits = notice
        .limits
        .into_iter()
        .map(|limit| (limit.upstream, limit.started_at_ms, limit.rate_per_s));
    let crashing = notice.crashing.iter().map(|(call, _)| *call).collect();
    host.crashes
        .borrow_mut()
        .record_published(crashing, host.now());
    let new_limits = host
        .view
        .borrow_mut()
        .limits
        .record_notice(issuer, share_ratio, limits);
    for (upstream, rate_per_s) in new_limits {
        tracing::info!(
            event = "upstream.limit",
            upstream = &*upstream,
            limit_per_s = rate_per_s,
            stamp = row.stamp,
            origin = "coordinator",
        );
    }
}

/// Publishes what other hosts must know, for as long as this host coordinates under
/// `fence`.
pub async fn publish<S: RowStore, W: Wire>(
    host: Rc<Host<S, W>>,
    table: &'static str,
    partition: &'static str,
    fence: FenceNumber,
) {
    let name = RowName::new(table, partition, NOTICE_KEY);
    let mut published = Notice::default();
    let mut stamp: Option<RowStamp> = None;
    let mut host_count = 0;
    let mut counted_at: Option<Instant> = None;
    loop {
        let current_stamp = match stamp {
            Some(stamp) => Some(stamp),
            None => match read_notice(&host.store, &name).await {
                Ok((_, found)) if found.fence > fence => return,
                Ok((found_stamp, found)) => {
                    if stamp.is_none() && published.fence != fence {
                        adopt_crashing(&host, &found);
                    }
                    Some(found_stamp)
                }
                Err(error) => {
                    tracing::debug!(event = "notice.not_read", %error);
                    None
                }
            },
        };
        stamp = current_stamp;
        // The first notice does not wait for the count.
        let is_published = published.fence == fence;
        if is_published && counted_at.is_none_or(|at| at.elapsed() >= COUNT_INTERVAL) {
            match detour::count_hosts(&host.store).await {
                Ok(count) => {
                    host_count = u32::try_from(count).unwrap_or(u32::MAX);
                    host.view.borrow_mut().host_count = host_count;
                    counted_at = Some(Instant::now());
                }
                Err(error) => tracing::debug!(event = "hosts.not_counted", %error),
            }
        }
        let notice = current_notice(&host, fence, host_count);
        host.permits.borrow_mut().set_share(notice.share_ratio());
        if let Some(expected) = stamp
            && !notice.is_covered_by(&published)
        {
            stamp = commit_notice(&host, &name, expected, &notice).await;
            if stamp.is_some() {
                published = notice;
            }
        }
        sleep(PUBLISH_INTERVAL).await;
    }
}

/// Takes over the calls that the coordinator before this one blocked or suspected.
fn adopt_crashing<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, notice: &Notice) {
    let now = host.now();
    let mut book = host.crashes.borrow_mut();
    for (fingerprint, trial_count) in &notice.crashing {
        book.ledger.adopt(*fingerprint, *trial_count, now);
    }
    for (fingerprint, lost_count) in &notice.suspected {
        book.ledger.adopt_suspected(*fingerprint, *lost_count, now);
    }
}

fn current_notice<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fence: FenceNumber,
    host_count: u32,
) -> Notice {
    let view = host.view.borrow();
    let mut permits = host.permits.borrow_mut();
    permits.retain(|id| view.directory.get(id).is_some());
    let limits = permits
        .limits()
        .take(MAX_LIMIT_COUNT)
        .map(|(upstream, started_at_ms, rate_per_s)| PublishedLimit {
            upstream: upstream.clone(),
            started_at_ms,
            rate_per_s,
        })
        .collect();
    let now = host.now();
    let ledger = &host.crashes.borrow().ledger;
    let mut suspected = ledger.suspected(now);
    suspected.truncate(MAX_SUSPECTED_COUNT);
    Notice {
        fence,
        address: host.settings.relay_address,
        host_count,
        limits,
        crashing: ledger.blocked(now).take(MAX_CRASHING_COUNT).collect(),
        suspected,
    }
}

/// Writes the notice and returns the stamp of its row, or `None` if the row must be
/// read again.
async fn commit_notice<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    name: &RowName,
    expected: RowStamp,
    notice: &Notice,
) -> Option<RowStamp> {
    let value = match layout::encode(notice) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(event = "notice.not_encoded", %error);
            return Some(expected);
        }
    };
    let transaction = RowTransaction::default()
        .expect(name.clone(), expected)
        .put(name.clone(), value);
    match host.store.commit(&transaction).await {
        Ok(applied) => {
            tracing::info!(
                event = "notice.published",
                fence = notice.fence,
                host_count = notice.host_count,
                limit_count = notice.limits.len(),
                crashing_count = notice.crashing.len(),
                stamp = applied.stamp,
            );
            Some(applied.stamp)
        }
        Err(error) => {
            tracing::debug!(event = "notice.not_published", %error);
            None
        }
    }
}

/// Returns the stamp of the published notice and the notice itself; 0 and an empty
/// one if there is none.
async fn read_notice(
    store: &impl RowStore,
    name: &RowName,
) -> Result<(RowStamp, Notice), RowError> {
    let range = RowRange {
        table: name.table,
        partition: name.partition.clone(),
        from: name.key.clone(),
        to: String::new(),
        limit_count: 1,
    };
    let page = store.read(&range).await?;
    match page.rows.first().filter(|row| row.key == name.key) {
        None => Ok((0, Notice::default())),
        Some(row) => Ok((row.stamp, stored::decode(row)?)),
    }
}
