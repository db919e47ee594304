//! Finds the software version that began a stream, so that a stream which is taken up
//! goes on there or not at all.
//!
//! A client may take its stream up at any host, also after all hosts lost power. Hosts
//! therefore register a version in the store before the first stream begins there, and,
//! while a service has several versions, save which of them began each stream. A stream
//! whose origin is not known for certain is not resumed (see
//! docs/design/software-versions.md).

pub mod book;
pub mod rows;
mod sweep;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use rand::Rng as _;
use tokio::time::{sleep, timeout};

pub use self::sweep::{Absences, sweep};
use self::{
    book::{BegunStream, Origin},
    rows::SavedVersions,
};
use crate::{
    batch::layout,
    clock::{Timestamp, millis},
    ids::{RequestId, SoftwareVersion},
    ingress::{
        directory::Upstream,
        host::Host,
        peers,
        routes::{Route, RouteKind, ServiceName},
        stored,
        wire::{ClientHead, Wire},
    },
    observe::telemetry::{STREAMS_NOT_RESUMED, STREAMS_RESUMED},
    store::rows::{RowError, RowStore},
};

/// The path at which the coordinator takes the origins of streams at other hosts.
pub const ORIGIN_PATH: &str = "/origins";

/// How long a stream may be taken up after it began: several times the longest timeout
/// of streams in the deployment specification, 12 s.
const ORIGIN_TTL: Duration = Duration::from_secs(40);

/// How often the versions are read again while a service has several.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// The pause after the versions could not be read or written.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The largest number of origins that are saved in one transaction, as many as expired
/// ones are removed with it; the platform allows 100 entries.
const MAX_SAVED_COUNT: usize = 50;

/// The interval between two batches of origins, per host of the fleet, so that the
/// coordinator gets at most a thousand batches a second.
const BATCH_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);

/// The shortest interval between two batches of one host.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// The longest one.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// How much longer the interval is while the coordinator does not answer, and hosts
/// write to the store themselves.
const OWN_WRITE_FACTOR: u32 = 4;

/// The pauses before the origin of a stream is read again, which may have begun just
/// before. Saving takes about 40 ms.
const ORIGIN_READ_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(100),
];

/// The timeout of one read of the store for a stream that is taken up.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a stream may not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownOrigin {
    /// The store does not say which versions may have begun streams.
    #[error("the store did not return the versions")]
    VersionsUnread,
    /// No stream of the service can have begun.
    #[error("no version is registered")]
    NoVersion,
    /// The client does not name the attempt that began the stream.
    #[error("the client names no attempt")]
    OriginUnnamed,
    /// The store does not say which version began the stream.
    #[error("the store did not return the origin")]
    OriginUnread,
    /// The origin was not saved, or is not yet.
    #[error("no origin is saved")]
    OriginUnknown,
    /// The stream belongs to another service.
    #[error("the stream began at another service")]
    OtherService,
    /// The saved origin cannot be decoded.
    #[error("the saved origin cannot be decoded")]
    Unreadable,
}

/// At which upstreams a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// At all, since nothing goes on with its answer.
    Any,
    /// At those whose version is registered, since it begins a stream.
    Registered,
    /// At those of the version that began the stream.
    Only(SoftwareVersion),
}

impl VersionChoice {
    /// Returns whether the call may run at `upstream`.
    pub fn allows<S: RowStore, W: Wire>(&self, host: &Host<S, W>, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Registered => host
                .origins
                .borrow()
                .may_begin(&upstream.service, &upstream.software_version),
            Self::Only(version) => *version == upstream.software_version,
        }
    }
}

/// Returns whether calls of `route` begin streams that may be taken up elsewhere.
fn may_resume(route: &Route) -> bool {
    route.kind == RouteKind::Streaming && route.is_resumable
}

/// Returns whether a call of `route` goes on with a stream that began before.
pub fn goes_on(route: &Route, head: &ClientHead) -> bool {
    may_resume(route) && head.is_resuming()
}

/// Returns at which upstreams of `service` a call of `route` with the head `head` may run.
///
/// # Errors
///
/// Fails where the version that began the stream is not known.
pub async fn choose<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    route: &Route,
    service: &ServiceName,
    head: &ClientHead,
) -> Result<VersionChoice, UnknownOrigin> {
    match (may_resume(route), head.is_resuming()) {
        (false, _) => Ok(VersionChoice::Any),
        (true, false) => Ok(VersionChoice::Registered),
        (true, true) => {
            let asked_at = host.now();
            let found = find(host, service, head.resumed_attempt.as_ref()).await;
            let metric = match &found {
                Ok(_) => STREAMS_RESUMED,
                Err(_) => STREAMS_NOT_RESUMED,
            };
            host.metrics.count(metric, 1);
            let (version, origin) = match &found {
                Ok((version, origin)) => (Some(&**version), *origin),
                Err(error) => (None, (*error).into()),
            };
            tracing::info!(
                event = "stream.origin",
                id = head.attempt_id.as_deref(),
                resumed_attempt = head.resumed_attempt.as_deref(),
                service = &**service,
                software_version = version,
                origin,
                took_ms = millis(host.now().saturating_sub(asked_at)),
            );
            found.map(|(version, _)| VersionChoice::Only(version))
        }
    }
}

/// Records that `upstream` began the stream that answers the client's attempt.
pub fn record_begin<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    route: &Route,
    attempt: Option<&RequestId>,
    upstream: &Upstream,
) {
    let Some(attempt) = attempt.filter(|_| may_resume(route)) else {
        return;
    };
    let origin = Origin {
        service: upstream.service.clone(),
        version: upstream.software_version.clone(),
    };
    let mut book = host.origins.borrow_mut();
    if book.record_begin(attempt.clone(), origin, host.now()) {
        host.origin_unsaved.notify_one();
    }
}

/// Returns the version that began a stream, and how it was found.
async fn find<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    service: &ServiceName,
    resumed: Option<&RequestId>,
) -> Result<(SoftwareVersion, &'static str), UnknownOrigin> {
    if let Some(resumed) = resumed
        && let Some(version) = host.origins.borrow().version(service, resumed)
    {
        return Ok((version.clone(), "memory"));
    }
    if !host.origins.borrow().is_mixed(service) {
        // Another host may have registered a version that this one has not heard of.
        match timeout(READ_TIMEOUT, read_current_versions(host)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Err(UnknownOrigin::VersionsUnread),
        }
        let book = host.origins.borrow();
        match book.versions(service) {
            Some(versions) if versions.len() == 1 => {
                let version = versions.first().cloned().ok_or(UnknownOrigin::NoVersion)?;
                return Ok((version, "only-version"));
            }
            Some(versions) if !versions.is_empty() => {}
            Some(_) | None => return Err(UnknownOrigin::NoVersion),
        }
    }
    let resumed = resumed.ok_or(UnknownOrigin::OriginUnnamed)?;
    let mut reason = UnknownOrigin::OriginUnread;
    for delay in ORIGIN_READ_DELAYS {
        sleep(delay).await;
        let range = rows::origin_range(resumed);
        let Ok(Ok(page)) = timeout(READ_TIMEOUT, host.store.read(&range)).await else {
            continue;
        };
        reason = UnknownOrigin::OriginUnknown;
        let key = rows::origin_key(resumed);
        let Some(row) = page.rows.first().filter(|row| row.key == key) else {
            continue;
        };
        match rows::decode_origin(row) {
            Ok(saved) if saved.origin.service == *service => {
                let version = saved.origin.version.clone();
                host.origins
                    .borrow_mut()
                    .remember(resumed.clone(), saved.origin, host.now());
                return Ok((version, "store"));
            }
            Ok(_) => return Err(UnknownOrigin::OtherService),
            Err(error) => {
                tracing::warn!(event = "origin.unreadable", key, %error);
                return Err(UnknownOrigin::Unreadable);
            }
        }
    }
    Err(reason)
}

/// Returns the services with streams that may be taken up, and their listed versions.
fn listed_versions<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
) -> BTreeSet<(ServiceName, SoftwareVersion)> {
    let view = host.view.borrow();
    let Some(configuration) = &view.configuration else {
        return BTreeSet::new();
    };
    let services: BTreeSet<&ServiceName> = configuration
        .routes
        .iter()
        .filter(|route| may_resume(route))
        .flat_map(|route| route.splits.iter().map(|(service, _)| service))
        .collect();
    view.directory
        .upstreams()
        .filter(|upstream| services.contains(&upstream.service))
        .map(|upstream| (upstream.service.clone(), upstream.software_version.clone()))
        .collect()
}

/// Reads the versions, unless a read that was sent after this call has ended meanwhile.
async fn read_current_versions<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
) -> Result<(), RowError> {
    let asked_at = host.now();
    let mut last_read_at = host.versions_read_at.lock().await;
    if *last_read_at >= asked_at {
        return Ok(());
    }
    // Bounds the reads of a fleet whose clients all return at once.
    let next_at = *last_read_at + BATCH_INTERVAL_PER_HOST * host.view.borrow().host_count;
    sleep(next_at.saturating_sub(asked_at)).await;
    let sent_at = host.now();
    read_versions(host).await?;
    *last_read_at = sent_at;
    Ok(())
}

/// Reads the versions of all services from the store.
async fn read_versions<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
) -> Result<BTreeMap<ServiceName, SavedVersions>, RowError> {
    let listed_before = listed_versions(host);
    let page = stored::read_page(&host.store, rows::versions_range()).await?;
    let saved = rows::decode_versions(&page.rows).map_err(stored::unreadable)?;
    let registered = saved
        .iter()
        .map(|(service, saved)| (service.clone(), saved.versions.clone()))
        .collect();
    // A version that came back meanwhile may have been dropped from the store.
    let listed = &listed_before & &listed_versions(host);
    let mut book = host.origins.borrow_mut();
    book.set_registered(registered, page.stamp, &listed);
    host.origin_unsaved.notify_one();
    Ok(saved)
}

/// Registers the versions that are listed and not registered yet.
async fn register<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>) -> Result<(), RowError> {
    let saved = read_versions(host).await?;
    if missing_versions(host).is_empty() {
        return Ok(());
    }
    let saved = match host.is_issuing.get() {
        true => saved,
        // All hosts hear of a version at once, and one of them is enough.
        false => {
            let max_wait = BATCH_INTERVAL_PER_HOST * host.view.borrow().host_count.min(300);
            sleep(rand::rng().random_range(Duration::ZERO..=max_wait)).await;
            read_versions(host).await?
        }
    };
    for (service, missing) in missing_versions(host) {
        let known = saved.get(&service).cloned().unwrap_or_default();
        let versions = known.versions.union(&missing).cloned().collect();
        let transaction =
            rows::registration(&service, &known, &versions).map_err(stored::unreadable)?;
        match host.store.commit(&transaction).await {
            Ok(applied) => tracing::info!(
                event = "versions.registered",
                service = &*service,
                versions = ?versions,
                stamp = applied.stamp,
            ),
            // The versions that another host registered are read below.
            Err(RowError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    read_versions(host).await.map(drop)
}

/// Returns the versions that are listed and may not begin streams yet.
fn missing_versions<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
) -> BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> {
    let listed = listed_versions(host);
    let mut book = host.origins.borrow_mut();
    book.retain_listed(&listed);
    let mut missing: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> = BTreeMap::new();
    for (service, version) in listed {
        if !book.may_begin(&service, &version) {
            missing.entry(service).or_default().insert(version);
        }
    }
    missing
}

/// Registers versions as they are listed.
pub async fn follow_versions<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    let mut refreshed_at: Timestamp = Duration::ZERO;
    loop {
        let changed = host.view_changed.notified();
        let now = host.now();
        host.origins.borrow_mut().expire(now, ORIGIN_TTL);
        let is_refresh_due = host.origins.borrow().is_any_mixed()
            && now.saturating_sub(refreshed_at) >= REFRESH_INTERVAL;
        if is_refresh_due || !missing_versions(&host).is_empty() {
            refreshed_at = now;
            if let Err(error) = register(&host).await {
                tracing::info!(event = "versions.not_registered", %error);
            }
            if !missing_versions(&host).is_empty() {
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        // Without changes, expired origins are forgotten.
        drop(timeout(REFRESH_INTERVAL, changed).await);
    }
}

/// Saves the origins of streams, through the coordinator if it answers.
pub async fn save_origins<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    // The keys that this host wrote, and when.
    let mut written: VecDeque<(Timestamp, String)> = VecDeque::new();
    loop {
        host.origin_unsaved.notified().await;
        loop {
            let batch = host.origins.borrow_mut().take_unsaved(MAX_SAVED_COUNT);
            if batch.is_empty() {
                break;
            }
            let interval = (BATCH_INTERVAL_PER_HOST * host.view.borrow().host_count)
                .clamp(MIN_BATCH_INTERVAL, MAX_BATCH_INTERVAL);
            let pause = if host.is_issuing.get() {
                commit_batch(&host, batch, &mut written).await;
                MIN_BATCH_INTERVAL
            } else if peers::tell_coordinator::<(), _, _>(&host, ORIGIN_PATH, &batch)
                .await
                .is_some()
            {
                interval
            } else {
                commit_batch(&host, batch, &mut written).await;
                interval * OWN_WRITE_FACTOR
            };
            sleep(pause).await;
        }
    }
}

/// Writes `batch` to the store, or queues it again.
async fn commit_batch<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    batch: Vec<BegunStream>,
    written: &mut VecDeque<(Timestamp, String)>,
) {
    let Some(store_time) = host.store_time() else {
        host.origins.borrow_mut().queue(batch);
        return;
    };
    let now = host.now();
    let expired: Vec<String> = written
        .iter()
        .take(MAX_SAVED_COUNT)
        .take_while(|(at, _)| now.saturating_sub(*at) >= ORIGIN_TTL)
        .map(|(_, key)| key.clone())
        .collect();
    let committed = match rows::saving(&batch, &expired, store_time) {
        Ok(transaction) => host.store.commit(&transaction).await,
        Err(error) => {
            tracing::error!(event = "origins.not_encoded", %error);
            return;
        }
    };
    match committed {
        Ok(_) => {
            written.drain(..expired.len());
            let keys = batch
                .iter()
                .map(|(attempt, _)| (now, rows::origin_key(attempt)));
            written.extend(keys);
            tracing::debug!(event = "origins.saved", count = batch.len());
        }
        Err(error) => {
            tracing::info!(event = "origins.not_saved", count = batch.len(), %error);
            host.origins.borrow_mut().queue(batch);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Takes the origins of streams at another host, as the coordinator.
///
/// # Errors
///
/// Fails where the message cannot be decoded.
pub fn answer_peer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    body: &[u8],
) -> Result<Bytes, layout::LayoutError> {
    let batch: Vec<BegunStream> = layout::decode(ORIGIN_PATH, body)?;
    host.origins.borrow_mut().queue(batch);
    host.origin_unsaved.notify_one();
    layout::encode(&())
}
