//! The entry host, which serves callers and trainers over HTTP and peers over
//! gRPC.
//!
//! One thread owns the control state; all others carry traffic
//! (docs/ARCHITECTURE.md).

use std::{
    fmt,
    future::Future,
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use rand::SeedableRng as _;
use tokio::{
    runtime::{Handle, Runtime},
    sync::{mpsc, watch},
};
use tokio_stream::wrappers::TcpListenerStream;

use crate::{
    api::platform::ListedUpstream,
    call::{
        self,
        claim_store::TableClaims,
        gate::{self, Gate},
    },
    clock::Clock,
    connection,
    control::{
        self,
        blackboard::{Blackboard, Snapshot},
        controller::Rng,
        decision::Decision,
    },
    entry::transport::{Receiver, Transport},
    host::{datagram::Key, drain, membership},
    ids::Incarnation,
    observe::telemetry::{self, Metrics, TelemetryError},
    proto::peer::peer_server::PeerServer,
    settings::Settings,
    share::fairness::Ticket,
    store::client::{AddressError, Budget, HttpTableService},
    table::auth::Keys,
};

mod api;
mod body;
pub mod burn_meter;
pub mod call_rate;
mod calls;
pub mod collect;
mod effects;
pub mod engine_client;
mod generate;
pub mod messages;
pub mod open_work;
mod operators;
mod owners;
pub mod peer_client;
mod peer_server;
pub mod problem;
pub mod thread;
mod trainers;
pub mod transport;

use burn_meter::Meter;
use call_rate::CallRates;
use engine_client::EngineClient;
use open_work::OpenWorkCounter;
use peer_client::Peers;
use thread::{Input, Sender};

/// The maximum number of decisions of traffic threads that wait for the control
/// thread.
const DECISION_BUFFER_CAPACITY: usize = 1024;

/// The approximate size of an upstream's entry in the platform's list.
const LIST_ENTRY_BYTES: usize = 100;

/// The rate at which a host reads the platform's list.
const LIST_RATE_BYTES_PER_S: f64 = 4_096.0;

/// The minimum time between two reads of the platform's list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// The reason why a host could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound or a thread could not be started.
    #[error("cannot bind an address or start a thread: {0}")]
    Io(#[from] io::Error),
    /// The table service's address is not valid.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The metrics client could not be started.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
}

/// The state shared by all threads of a host.
pub struct Host {
    /// The host's settings.
    pub settings: Settings,
    /// The time since the host was started.
    pub clock: Clock,
    /// The number of this run of the host, higher than those of all earlier
    /// runs.
    pub incarnation: Incarnation,
    /// The published blackboard.
    pub snapshot: Arc<Snapshot>,
    /// Sends inputs to the control thread.
    pub control: Sender,
    /// The keys of operators, rows and the fleet.
    pub keys: Keys,
    /// The client of the platform's table service.
    pub store: HttpTableService,
    /// The connections to other hosts.
    pub peers: Peers,
    /// The connections to engines.
    pub engines: EngineClient,
    /// The context for calls to plain services.
    pub calls: call::Context<TableClaims<HttpTableService>>,
    /// The counters of the service-level objectives.
    pub burn: Meter,
    /// The rows' call rate limiters.
    pub call_rates: CallRates,
    /// The client that sends metrics.
    pub metrics: Metrics,
    /// The runtime of the traffic threads.
    pub runtime: Handle,
    /// The work that a graceful shutdown waits for.
    pub open_work: OpenWorkCounter,
    /// Pauses the control thread, to simulate a paused process.
    pub pause: Pause,
    ended: watch::Sender<bool>,
    next_ticket: AtomicU64,
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host")
            .field("id", &self.settings.host.id)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// A host, shared by its threads.
pub type Shared = Arc<Host>;

impl Host {
    /// Ends the control thread and wakes all tasks that wait for the end of the
    /// host.
    fn end(&self) {
        self.ended.send_replace(true);
    }

    fn is_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Waits until the host has ended, by itself or after a planned stop.
    pub async fn wait_until_ended(&self) {
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    fn next_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }
}

/// Pauses the control thread while it is set.
#[derive(Debug)]
pub struct Pause(watch::Sender<bool>);

impl Default for Pause {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl Pause {
    /// Starts or ends the pause.
    pub fn set(&self, paused: bool) {
        self.0.send_replace(paused);
    }

    /// Waits until the pause is not set.
    pub async fn wait(&self) {
        let _ = self.0.subscribe().wait_for(|paused| !paused).await;
    }
}

/// A running host.
///
/// Dropping it ends the host at once, as a crash would.
#[derive(Debug)]
pub struct Running {
    shared: Shared,
    runtime: Option<Runtime>,
    server: api::Server,
    control: Option<JoinHandle<()>>,
}

impl Running {
    /// Starts a host with `settings`.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(TRAFFIC_THREAD_COUNT)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let (control, inputs) = Sender::channel();
        let (decisions, records) = mpsc::channel(DECISION_BUFFER_CAPACITY);
        let shared = Arc::new(build_host(
            settings,
            control,
            decisions,
            runtime.handle().clone(),
        )?);
        let http = TcpListener::bind(shared.settings.host.http_address)?;
        let (transport, receiver) = runtime.block_on(bind_datagrams(&shared))?;
        runtime.block_on(serve_peers(&shared))?;
        runtime.spawn(receive_heartbeats(shared.clone(), receiver));
        runtime.spawn(forward_decisions(shared.clone(), records));
        runtime.spawn(poll_upstream_list(shared.clone()));
        let control = thread::start(shared.clone(), inputs, transport)?;
        let server = api::Server::start(shared.clone(), http, HTTP_WORKER_COUNT)?;
        tracing::info!(host = %shared.settings.host.id, http = %shared.settings.host.http_address, "started");
        Ok(Self {
            shared,
            runtime: Some(runtime),
            server,
            control: Some(control),
        })
    }

    /// Returns the state shared by the host's threads.
    pub const fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Ends the host at once, as a crash would.
    pub fn kill(&mut self) {
        self.shared.end();
        self.shared.pause.set(false);
        self.server.stop(false);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }

    /// Waits until the host ends, by itself or after the planned stop that
    /// completion of `requested` starts.
    pub fn wait(mut self, requested: impl Future<Output = drain::Requester>) {
        if let Some(runtime) = &self.runtime {
            runtime.block_on(wait_for_stop(&self.shared, requested));
        }
        // Only idle connections are still open.
        self.kill();
    }
}

async fn wait_for_stop(shared: &Shared, requested: impl Future<Output = drain::Requester>) {
    tokio::select! {
        requester = requested => {
            shared.control.send_or_drop(Input::Control(control::Input::Drain(requester))).await;
            shared.wait_until_ended().await;
        }
        () = shared.wait_until_ended() => {}
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The number of threads that carry streams between hosts and engines.
const TRAFFIC_THREAD_COUNT: usize = 2;

/// The number of threads that serve callers and trainers.
const HTTP_WORKER_COUNT: usize = 1;

fn build_host(
    settings: Settings,
    control: Sender,
    decisions: mpsc::Sender<Decision>,
    runtime: Handle,
) -> Result<Host, StartError> {
    let incarnation = new_incarnation();
    let clock = Clock::start();
    let snapshot = Arc::new(ArcSwap::from_pointee(Blackboard::default()));
    let silence_timeout = Duration::from_millis(settings.limits.silence_timeout_ms);
    let store = HttpTableService::new(
        settings.platform.table_service_url.clone(),
        Duration::from_millis(settings.platform.timeout_ms),
        Budget::from(&settings.platform),
        incarnation,
    )?;
    let limits = gate::Limits {
        max_queued_calls: settings.limits.max_queued_calls,
        retry_budget_ratio: settings.limits.retry_budget_ratio,
    };
    let rng = Rng::seed_from_u64(incarnation);
    let gate = Gate::new(snapshot.clone(), clock, limits, decisions, rng);
    let calls = call::Context {
        settings: Arc::new(settings.clone()),
        gate,
        connections: connection::Pool::new(connection::Limits {
            silence_timeout,
            ..connection::Limits::default()
        }),
        claims: TableClaims::new(store.clone()),
    };
    let metrics = Metrics::start(&settings.telemetry, &settings.host.id)?;
    let split = control::quota_split(&settings);
    Ok(Host {
        call_rates: CallRates::new(split),
        metrics,
        burn: Meter::new(
            settings.host.id.clone(),
            clock,
            settings.objectives.window_scale_ratio,
        ),
        clock,
        incarnation,
        snapshot,
        control,
        keys: Keys::new(&settings.keys),
        store,
        peers: Peers::new(&settings.keys.fleet),
        engines: EngineClient::new(silence_timeout),
        calls,
        open_work: OpenWorkCounter::new(runtime.clone()),
        runtime,
        pause: Pause::default(),
        ended: watch::Sender::new(false),
        next_ticket: AtomicU64::new(1),
        settings,
    })
}

/// Returns the wall-clock time in milliseconds as the incarnation, so that it
/// is higher than all earlier ones.
fn new_incarnation() -> Incarnation {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
        .unwrap_or_default()
}

async fn bind_datagrams(shared: &Shared) -> io::Result<(Transport, Receiver)> {
    let key = Key::derive(&shared.settings.keys.fleet);
    Transport::bind(shared.settings.host.peer_address, key).await
}

/// Starts the gRPC server for peers.
async fn serve_peers(shared: &Shared) -> io::Result<()> {
    let address = shared.settings.host.peer_address;
    let listener = tokio::net::TcpListener::bind(address).await?;
    let check = peer_server::CheckFleetToken::new(&shared.settings.keys.fleet);
    let service = PeerServer::new(peer_server::PeerService::new(shared.clone()))
        .max_decoding_message_size(peer_client::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(peer_client::MAX_MESSAGE_BYTES);
    let checked = tonic::service::interceptor::InterceptedService::new(service, check);
    let serving = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(checked)
        .serve_with_incoming(TcpListenerStream::new(listener));
    shared.runtime.spawn(async move {
        if let Err(error) = serving.await {
            tracing::error!(%error, "the peer server failed");
        }
    });
    Ok(())
}

async fn receive_heartbeats(shared: Shared, mut receiver: Receiver) {
    loop {
        let event = match receiver.receive().await {
            Ok((Ok(heartbeat), source)) => membership::Event::Received { heartbeat, source },
            Ok((Err(refusal), source)) => {
                shared.metrics.count(telemetry::DATAGRAMS_REFUSED, 1);
                membership::Event::Refused { refusal, source }
            }
            Err(error) => {
                tracing::debug!(%error, "failed to receive a datagram");
                continue;
            }
        };
        shared
            .control
            .send_or_drop(Input::Control(control::Input::Member(event)))
            .await;
    }
}

async fn forward_decisions(shared: Shared, mut records: mpsc::Receiver<Decision>) {
    while let Some(record) = records.recv().await {
        shared
            .control
            .send_or_drop(Input::Control(control::Input::Decided(record)))
            .await;
    }
}

/// Returns the interval between two reads of a list of that length, which keeps
/// the read rate of a host constant. In between, the state that the upstreams
/// report themselves applies.
fn list_read_interval(entry_count: usize) -> Duration {
    let list_bytes = (entry_count * LIST_ENTRY_BYTES) as f64;
    Duration::from_secs_f64(list_bytes / LIST_RATE_BYTES_PER_S)
}

/// Polls the platform's list of upstreams, which lags behind their state.
async fn poll_upstream_list(shared: Shared) {
    let url = shared.settings.platform.host_list_url.clone();
    if url.is_empty() {
        return;
    }
    loop {
        let mut interval = MIN_LIST_INTERVAL;
        match shared.engines.get::<Vec<ListedUpstream>>(&url).await {
            Ok(listed) => {
                interval = interval.max(list_read_interval(listed.len()));
                shared.control.send_or_drop(Input::Listed(listed)).await;
            }
            Err(error) => tracing::debug!(%error, "failed to read the list of upstreams"),
        }
        tokio::time::sleep(interval).await;
    }
}
