//! The steward, which gives orders to engines: the I/O around the shards.
//!
//! It runs apart from the entry host, so that an order that hangs does not
//! stall traffic (see docs/design/weights.md).

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    pin,
    sync::{Semaphore, mpsc},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    api::platform::ListedUpstream,
    call::{self, claim_store::TableClaims},
    clock::Clock,
    connection::{self, Pool},
    control::blackboard::{UpstreamKind, UpstreamState},
    ids::{Revision, UpstreamId},
    settings::{Settings, StewardSettings},
    store::{Record, RecordKey, StoreError, TableService, Transaction},
    weights::{
        lease::{self, Terms, Versioned, WriteOutcome},
        order::{DesiredState, Order, OrderOutcome},
        order_client::Client,
        shard::{Action, Event, Shard, shard_of},
        wave::Limits,
    },
};

/// The table of leases, with one record per shard.
const LEASE_TABLE: &str = "engine-leases";

/// The table of desired states, with one record per pool.
const DESIRED_TABLE: &str = "weights";

/// The time between two rounds of all shards.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two reads of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The time between two reads of the desired states by a host that holds a
/// lease.
const DESIRED_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two reads of the desired states by a host that holds no
/// lease, so that a large fleet stays within the store's budget.
const IDLE_DESIRED_INTERVAL: Duration = Duration::from_secs(10);

/// How often a host reads leases that other hosts hold.
const WATCH_INTERVAL: Duration = Duration::from_secs(5);

/// The upper bound of the jitter before a host claims a free lease.
const MAX_CLAIM_JITTER: Duration = Duration::from_secs(2);

/// The time between two removals of expired call claims.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// The maximum number of requests to engines in flight at once.
const MAX_REQUESTS_IN_FLIGHT: usize = 256;

/// The maximum number of events queued for the next round.
const MAX_QUEUED_EVENTS: usize = 4096;

/// The shard whose lease holder removes expired call claims.
const CLEANUP_SHARD: usize = 0;

type ShardEvent = (usize, Event);

#[derive(Debug)]
struct Shared<T> {
    settings: Settings,
    table: T,
    clock: Clock,
    client: Client,
    shards: Mutex<Vec<Shard>>,
    addresses: Mutex<BTreeMap<UpstreamId, SocketAddr>>,
    request_permits: Arc<Semaphore>,
    events: mpsc::Sender<ShardEvent>,
}

/// Runs until `stop` completes, then releases the leases.
pub async fn run<T: TableService>(settings: Settings, table: T, stop: impl Future<Output = ()>) {
    let (events, mut queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let shared = Arc::new(Shared::new(settings, table, events));
    let tasks = [
        tokio::spawn(poll_list(shared.clone())),
        tokio::spawn(poll_desired(shared.clone())),
        tokio::spawn(remove_expired_claims(shared.clone())),
    ];
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    pin!(stop);
    loop {
        tokio::select! {
            _ = rounds.tick() => run_round(&shared, &mut queue),
            () = &mut stop => break,
        }
    }
    for task in tasks {
        task.abort();
    }
    release_leases(&shared, &mut queue).await;
}

impl<T: TableService> Shared<T> {
    fn new(settings: Settings, table: T, events: mpsc::Sender<ShardEvent>) -> Self {
        let steward = &settings.steward;
        let order_timeout = Duration::from_millis(steward.order_timeout_ms);
        let terms = Terms {
            lease: Duration::from_millis(steward.lease_ms),
            order_timeout,
            watch_interval: WATCH_INTERVAL,
            max_claim_jitter: MAX_CLAIM_JITTER,
        };
        // The life distinguishes a restarted process from the previous one.
        let life = rand::random();
        let host = settings.host.id.clone();
        let shards = (0..steward.shard_count)
            .map(|_| Shard::new(host.clone(), life, terms, limits(steward, 1.0)))
            .collect();
        let connections = Pool::new(connection::Limits {
            silence_timeout: order_timeout,
            ..connection::Limits::default()
        });
        Self {
            client: Client::new(connections, order_timeout),
            settings,
            table,
            clock: Clock::start(),
            shards: Mutex::new(shards),
            addresses: Mutex::default(),
            request_permits: Arc::new(Semaphore::new(MAX_REQUESTS_IN_FLIGHT)),
            events,
        }
    }

    fn shards(&self) -> MutexGuard<'_, Vec<Shard>> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn address(&self, engine: &UpstreamId) -> Option<SocketAddr> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(engine)
            .copied()
    }

    /// Returns whether this host may give orders under the lease of any shard.
    fn has_any_lease(&self) -> bool {
        let now = self.clock.now();
        self.shards().iter().any(|shard| shard.fence(now).is_some())
    }

    /// Queues an event for a shard; waits while the queue is full.
    async fn queue_event(&self, shard: usize, event: Event) {
        // The receiver is dropped only when the program ends.
        let _ = self.events.send((shard, event)).await;
    }

    async fn queue_for_all(&self, event: Event) {
        let shard_count = self.shards().len();
        for shard in 0..shard_count {
            self.queue_event(shard, event.clone()).await;
        }
    }
}

/// Returns the limits of a shard that holds the given fraction of all engines.
fn limits(steward: &StewardSettings, engine_ratio: f64) -> Limits {
    Limits {
        capacity_floor_ratio: steward.capacity_floor_ratio,
        max_rate_loads_per_s: steward.max_rate_loads_per_s * engine_ratio,
    }
}

/// Runs all shards once over the queued events, and starts the actions that
/// they return.
fn run_round<T: TableService>(shared: &Arc<Shared<T>>, queue: &mut mpsc::Receiver<ShardEvent>) {
    let mut events: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
    while let Ok((shard, event)) = queue.try_recv() {
        events.entry(shard).or_default().push(event);
    }
    let now = shared.clock.now();
    let mut readers = Vec::new();
    for (index, shard) in shared.shards().iter_mut().enumerate() {
        for action in shard.run(events.remove(&index).unwrap_or_default(), now) {
            match action {
                Action::Lease(lease::Action::Read) => readers.push(index),
                Action::Lease(lease::Action::Write { version, record }) => {
                    tokio::spawn(write_lease(shared.clone(), index, version, record));
                }
                Action::Poll { engine } => {
                    tokio::spawn(poll_engine(shared.clone(), index, engine));
                }
                Action::Send { engine, order } => {
                    tokio::spawn(send_order(shared.clone(), index, engine, order));
                }
            }
        }
    }
    if !readers.is_empty() {
        tokio::spawn(read_leases(shared.clone(), readers));
    }
}

fn lease_name(shard: usize) -> RecordKey {
    RecordKey::new(LEASE_TABLE, shard.to_string())
}

/// Reads all leases in one scan for the shards that requested a read.
async fn read_leases<T: TableService>(shared: Arc<Shared<T>>, readers: Vec<usize>) {
    let scan = shared.table.scan(LEASE_TABLE, 0).await.ok();
    for shard in readers {
        let name = lease_name(shard);
        let read = scan.as_ref().and_then(|scan| {
            let found = scan.records.iter().find(|record| record.name == name);
            found.map(parse_lease).transpose().ok()
        });
        shared
            .queue_event(shard, Event::Lease(lease::Event::Read(read)))
            .await;
    }
}

fn parse_lease(record: &Record) -> Result<Versioned, serde_json::Error> {
    Ok(Versioned {
        version: record.version,
        record: serde_json::from_value(record.value.clone())?,
    })
}

async fn write_lease<T: TableService>(
    shared: Arc<Shared<T>>,
    shard: usize,
    version: u64,
    record: lease::Record,
) {
    let wrote = commit_lease(&shared.table, shard, version, &record).await;
    tracing::debug!(shard, fence = record.fence, ?wrote, "lease write ended");
    let event = Event::Lease(lease::Event::Wrote(wrote));
    shared.queue_event(shard, event).await;
}

async fn commit_lease(
    table: &impl TableService,
    shard: usize,
    version: u64,
    record: &lease::Record,
) -> WriteOutcome {
    let Ok(value) = serde_json::to_value(record) else {
        return WriteOutcome::NotApplied;
    };
    let transaction = Transaction::default()
        .at_version(lease_name(shard), version)
        .put(lease_name(shard), value);
    match table.commit(transaction).await {
        Ok(_) => WriteOutcome::Done,
        Err(StoreError::Refused { .. }) => WriteOutcome::Refused,
        Err(error) if error.may_be_applied() => WriteOutcome::Unknown,
        Err(_) => WriteOutcome::NotApplied,
    }
}

async fn poll_engine<T: TableService>(shared: Arc<Shared<T>>, shard: usize, engine: UpstreamId) {
    let Some(address) = shared.address(&engine) else {
        return;
    };
    let Ok(_permit) = shared.request_permits.acquire().await else {
        return;
    };
    match shared.client.report(address).await {
        Ok(report) => {
            let report = (&report).into();
            shared
                .queue_event(shard, Event::Reported { engine, report })
                .await;
        }
        Err(error) => tracing::debug!(%engine, %error, "engine report could not be fetched"),
    }
}

async fn send_order<T: TableService>(
    shared: Arc<Shared<T>>,
    shard: usize,
    engine: UpstreamId,
    order: Order,
) {
    let outcome = match shared.address(&engine) {
        Some(address) => {
            // The wait for a permit comes before the check of the lease.
            let _permit = shared.request_permits.acquire().await;
            let fence = || {
                let now = shared.clock.now();
                shared
                    .shards()
                    .get(shard)
                    .and_then(|shard| shard.fence(now))
            };
            shared.client.send(address, &order, fence).await
        }
        None => OrderOutcome::NotSent,
    };
    tracing::info!(%engine, ?order, end = ?outcome, "order ended");
    shared
        .queue_event(
            shard,
            Event::Ended {
                engine,
                order,
                outcome,
            },
        )
        .await;
}

/// Polls the platform's list of engines.
async fn poll_list<T: TableService>(shared: Arc<Shared<T>>) {
    let url = shared.settings.platform.host_list_url.clone();
    loop {
        match shared.client.get::<Vec<ListedUpstream>>(&url).await {
            Ok(listed) => apply_list(&shared, &listed).await,
            Err(error) => tracing::warn!(%error, "platform's upstream list could not be fetched"),
        }
        sleep(LIST_INTERVAL).await;
    }
}

async fn apply_list<T: TableService>(shared: &Shared<T>, listed: &[ListedUpstream]) {
    let steward = &shared.settings.steward;
    let mut addresses = BTreeMap::new();
    let mut members = vec![BTreeMap::new(); shared.shards().len()];
    for upstream in listed {
        if upstream.kind != UpstreamKind::Engine || upstream.state != UpstreamState::Live {
            continue;
        }
        addresses.insert(upstream.id.clone(), upstream.address);
        let shard = shard_of(&upstream.id, steward.shard_count) as usize;
        if let Some(members) = members.get_mut(shard) {
            members.insert(upstream.id.clone(), upstream.pool.clone());
        }
    }
    let engine_count = addresses.len().max(1) as f64;
    *shared
        .addresses
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = addresses;
    for (shard, members) in members.into_iter().enumerate() {
        // The weight store's load rate is divided in proportion to the engines
        // of each shard, which all hosts see alike.
        let engine_ratio = members.len() as f64 / engine_count;
        if let Some(shard) = shared.shards().get_mut(shard) {
            shard.set_limits(limits(steward, engine_ratio));
        }
        shared.queue_event(shard, Event::Listed(members)).await;
    }
}

/// Polls the desired states of the pools.
async fn poll_desired<T: TableService>(shared: Arc<Shared<T>>) {
    let mut revision: Revision = 0;
    let mut read_at = None;
    loop {
        let now = shared.clock.now();
        let is_due = read_at.is_none_or(|at| now >= at + IDLE_DESIRED_INTERVAL);
        if !is_due && !shared.has_any_lease() {
            sleep(DESIRED_INTERVAL).await;
            continue;
        }
        read_at = Some(now);
        if let Ok(scan) = shared.table.scan(DESIRED_TABLE, revision).await {
            revision = revision.max(scan.revision);
            let desired: BTreeMap<Arc<str>, DesiredState> =
                scan.records.iter().filter_map(parse_desired).collect();
            if !desired.is_empty() {
                shared.queue_for_all(Event::Desired(desired)).await;
            }
        }
        sleep(DESIRED_INTERVAL).await;
    }
}

fn parse_desired(record: &Record) -> Option<(Arc<str>, DesiredState)> {
    match serde_json::from_value(record.value.clone()) {
        Ok(desired) => Some((record.name.key.clone(), desired)),
        Err(error) => {
            tracing::warn!(record = %record.name, %error, "ignoring malformed weights record");
            None
        }
    }
}

/// Removes the claims of calls that are too old to be retried.
async fn remove_expired_claims<T: TableService>(shared: Arc<Shared<T>>) {
    let claims = TableClaims::new(shared.table.clone());
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let now = shared.clock.now();
        let is_holder = shared
            .shards()
            .get(CLEANUP_SHARD)
            .is_some_and(|shard| shard.fence(now).is_some());
        if is_holder && let Err(error) = call::remove_expired(&claims).await {
            tracing::warn!(%error, "expired call claims could not be removed");
        }
    }
}

/// Waits for the requests in flight, then releases the leases.
async fn release_leases<T: TableService>(
    shared: &Arc<Shared<T>>,
    queue: &mut mpsc::Receiver<ShardEvent>,
) {
    let order_timeout = Duration::from_millis(shared.settings.steward.order_timeout_ms);
    let all_permits = u32::try_from(MAX_REQUESTS_IN_FLIGHT).unwrap_or(u32::MAX);
    let permits = shared.request_permits.acquire_many(all_permits);
    // Requests end by their own timeouts; their events are discarded meanwhile.
    let drained = tokio::time::timeout(order_timeout * 2, async {
        tokio::select! {
            acquired = permits => acquired.is_ok(),
            () = async { while queue.recv().await.is_some() {} } => false,
        }
    });
    if !drained.await.unwrap_or(false) {
        return;
    }
    let now = shared.clock.now();
    let releases: Vec<(usize, lease::Action)> = shared
        .shards()
        .iter_mut()
        .enumerate()
        .filter_map(|(index, shard)| Some((index, shard.release(now)?)))
        .collect();
    for (index, action) in releases {
        if let lease::Action::Write { version, record } = action {
            commit_lease(&shared.table, index, version, &record).await;
        }
    }
}
