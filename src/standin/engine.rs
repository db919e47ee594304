//! A stand-in for a model engine, which streams tokens and reports the weight
//! version that generated them.
//!
//! Each token also encodes the version that generated it (see
//! [`true_version`]), so that a test can check the segments of a sample.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{Either, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
};
use rand::{Rng as _, SeedableRng};
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use super::listener::{Body, Listener, StreamAborted, json, read_body};
use crate::{
    control::controller::Rng,
    engine::api::{CompletionChunk, CompletionRequest, Order, Report},
    ids::{BootId, FenceNumber, WeightVersion},
};

/// The multiplier of the weight version in a token id; the remainder is the
/// position of the token.
pub(crate) const VERSION_FACTOR: u32 = 1 << 16;

/// The maximum number of chunks buffered for a slow reader.
const CHUNK_BUFFER_COUNT: usize = 16;

/// Returns the weight version that generated `token`.
pub fn true_version(token: u32) -> WeightVersion {
    WeightVersion::from(token / VERSION_FACTOR)
}

/// The configuration of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on; port 0 picks any free port.
    pub address: SocketAddr,
    /// The maximum number of requests that run concurrently.
    pub slots: u32,
    /// The time to generate one token of a request.
    pub token_time: Duration,
    /// The maximum number of tokens per chunk.
    pub chunk_tokens: u32,
    /// The weight version that it starts with.
    pub weight_version: WeightVersion,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fences: bool,
    /// The duration of a load of weights.
    pub load_time: Duration,
    /// One in this many samples, on average, is far longer than the others; 0
    /// means none.
    pub straggler_every: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            token_time: Duration::from_millis(1),
            chunk_tokens: 8,
            weight_version: 1,
            checks_fences: true,
            load_time: Duration::from_millis(100),
            straggler_every: 16,
        }
    }
}

/// The mutable state of a running engine.
#[derive(Debug)]
struct State {
    boot: BootId,
    version: WeightVersion,
    fence: FenceNumber,
    running: u32,
    waiting: u32,
    swap_state: &'static str,
    fail_next_load: bool,
    down: bool,
    silent: bool,
    leaving: bool,
    adapters: BTreeMap<String, u64>,
    served_tokens: u64,
    orders_refused: u64,
}

#[derive(Debug)]
struct Shared {
    config: Config,
    slots: Semaphore,
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in engine.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// use mimosavane::standin::engine::{Config, Engine};
///
/// let engine = Engine::start(Config::default()).await?;
/// assert_eq!(engine.weight_version(), 1);
/// # std::io::Result::Ok(()) })?;
/// # std::io::Result::Ok(())
/// ```
#[derive(Debug)]
pub struct Engine {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(config: Config) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            slots: Semaphore::new(config.slots as usize),
            state: Mutex::new(State {
                boot: 1,
                version: config.weight_version,
                fence: 0,
                running: 0,
                waiting: 0,
                swap_state: "idle",
                fail_next_load: false,
                down: false,
                silent: false,
                leaving: false,
                adapters: BTreeMap::new(),
                served_tokens: 0,
                orders_refused: 0,
            }),
            config,
        });
        let handler = {
            let shared = shared.clone();
            move |request| answer(shared.clone(), request)
        };
        let listener = Listener::start(shared.config.address, handler).await?;
        Ok(Self { listener, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Returns its configuration.
    pub fn config(&self) -> &Config {
        &self.shared.config
    }

    /// Returns the weight version that it runs.
    pub fn weight_version(&self) -> WeightVersion {
        self.shared.state().version
    }

    /// Returns the number of tokens generated since it was started.
    pub fn served_tokens(&self) -> u64 {
        self.shared.state().served_tokens
    }

    /// Returns the number of orders refused for an outdated fencing number.
    pub fn orders_refused(&self) -> u64 {
        self.shared.state().orders_refused
    }

    /// Breaks off all streams and restarts immediately at the same address.
    pub fn crash(&self) {
        {
            let mut state = self.shared.state();
            state.boot += 1;
            state.swap_state = "idle";
        }
        self.listener.reset_connections();
    }

    /// Sets whether the engine is down; while it is, it refuses all requests.
    pub fn set_down(&self, down: bool) {
        self.shared.state().down = down;
        if down {
            self.crash();
        }
    }

    /// Stalls all open connections permanently, while new ones work.
    pub fn silence_connections(&self) {
        self.listener.silence_connections();
    }

    /// Sets whether the engine is silent; while it is, connections stay open and
    /// running generations send nothing.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state().silent = silent;
    }

    /// Sets whether its reports state that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Makes the next load of weights fail when it should complete.
    pub fn fail_next_load(&self) {
        self.shared.state().fail_next_load = true;
    }

    /// Swaps the weights immediately, also for running generations.
    pub fn swap(&self, version: WeightVersion) {
        self.shared.state().version = version;
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    if shared.state().down {
        return json(503, &serde_json::json!({"error": "down"}));
    }
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/v1/completions" => handle_completion(shared, request).await,
        "/v1/report" => json(200, &report(&shared)),
        "/v1/orders" => handle_order(shared, request).await,
        _ => json(404, &serde_json::json!({"error": "no such path"})),
    }
}

fn report(shared: &Shared) -> Report {
    let state = shared.state();
    Report {
        boot_id: state.boot,
        weight_version: state.version,
        running: state.running,
        waiting: state.waiting,
        slots: shared.config.slots,
        token_time_us: u64::try_from(shared.config.token_time.as_micros()).unwrap_or(u64::MAX),
        swap_state: state.swap_state.to_owned(),
        leaving: state.leaving,
    }
}

async fn handle_order(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let body = read_body(request.into_body()).await;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return json(400, &serde_json::json!({"error": "not an order"}));
    };
    if !admit_fence(&shared, order.fence) {
        return json(409, &serde_json::json!({"error": "stale fence"}));
    }
    match order.kind.as_str() {
        "load-weights" => load_weights(shared, order.version).await,
        "load-adapter" => {
            let mut state = shared.state();
            state.adapters.insert(order.adapter, order.version);
            json(200, &serde_json::json!({}))
        }
        "set-role" => json(200, &serde_json::json!({})),
        _ => json(400, &serde_json::json!({"error": "unknown kind"})),
    }
}

fn admit_fence(shared: &Shared, fence: FenceNumber) -> bool {
    let mut state = shared.state();
    if shared.config.checks_fences && fence < state.fence {
        state.orders_refused += 1;
        return false;
    }
    state.fence = state.fence.max(fence);
    true
}

async fn load_weights(shared: Arc<Shared>, version: WeightVersion) -> Response<Body> {
    shared.state().swap_state = "loading";
    tokio::time::sleep(shared.config.load_time).await;
    let mut state = shared.state();
    if std::mem::take(&mut state.fail_next_load) {
        state.swap_state = "failed";
        return json(503, &serde_json::json!({"error": "load failed"}));
    }
    state.version = version;
    state.swap_state = "idle";
    json(200, &serde_json::json!({"weight_version": version}))
}

async fn handle_completion(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let body = read_body(request.into_body()).await;
    let Ok(request) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return json(400, &serde_json::json!({"error": "not a completion"}));
    };
    let (sender, receiver) = mpsc::channel(CHUNK_BUFFER_COUNT);
    tokio::spawn(generate(shared, request, sender));
    let stream = StreamBody::new(ReceiverStream::new(receiver));
    let mut response = Response::new(Either::Right(stream));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// Counts a request in one of the load counters until it is dropped.
struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&mut State) -> &mut u32,
}

impl CountGuard {
    fn increment(shared: &Arc<Shared>, counter: fn(&mut State) -> &mut u32) -> Self {
        *counter(&mut shared.state()) += 1;
        Self {
            shared: shared.clone(),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        *(self.counter)(&mut self.shared.state()) -= 1;
    }
}

type ChunkSender = mpsc::Sender<Result<Frame<Bytes>, StreamAborted>>;

async fn generate(shared: Arc<Shared>, request: CompletionRequest, sender: ChunkSender) {
    let waiting = CountGuard::increment(&shared, |state| &mut state.waiting);
    let Ok(_slot) = shared.slots.acquire().await else {
        return;
    };
    drop(waiting);
    let _running = CountGuard::increment(&shared, |state| &mut state.running);
    let boot = shared.state().boot;
    let target = draw_length(&shared.config, &request);
    let mut generated = u32::try_from(request.resume_token_ids.len()).unwrap_or(u32::MAX);
    let mut index = 0;
    while generated < target {
        let count = shared.config.chunk_tokens.min(target - generated);
        tokio::time::sleep(shared.config.token_time * count).await;
        if shared.state().boot != boot {
            let _ = sender.send(Err(StreamAborted)).await;
            return;
        }
        while shared.state().silent {
            tokio::time::sleep(shared.config.token_time).await;
        }
        let chunk = make_chunk(&shared, index, generated, count, target);
        if sender.send(Ok(event_frame(&chunk))).await.is_err() {
            return;
        }
        generated += count;
        index += 1;
    }
    let _ = sender
        .send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
        .await;
}

/// Draws the length of a sample in tokens from its seed alone, so that a rerun
/// has the same length.
fn draw_length(config: &Config, request: &CompletionRequest) -> u32 {
    let mut rng = Rng::seed_from_u64(request.seed);
    let max_tokens = request.max_tokens.max(1);
    let is_straggler =
        config.straggler_every > 0 && rng.random_range(0..config.straggler_every) == 0;
    if is_straggler {
        return max_tokens;
    }
    rng.random_range(max_tokens.div_ceil(8)..=max_tokens.div_ceil(3))
}

fn make_chunk(
    shared: &Shared,
    index: u32,
    generated: u32,
    count: u32,
    target: u32,
) -> CompletionChunk {
    let mut state = shared.state();
    state.served_tokens += u64::from(count);
    let version = u32::try_from(state.version).unwrap_or(u32::MAX / VERSION_FACTOR);
    let token_ids = (generated..generated + count)
        .map(|position| version * VERSION_FACTOR + position % VERSION_FACTOR)
        .collect();
    CompletionChunk {
        index,
        token_ids,
        weight_version: Some(state.version),
        boot_id: state.boot,
        adapter: String::new(),
        adapter_version: 0,
        finish_reason: (generated + count == target).then(|| "stop".to_owned()),
    }
}

fn event_frame(chunk: &CompletionChunk) -> Frame<Bytes> {
    let mut text = b"data: ".to_vec();
    text.extend(serde_json::to_vec(chunk).unwrap_or_default());
    text.extend_from_slice(b"\n\n");
    Frame::data(Bytes::from(text))
}
