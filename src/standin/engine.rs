//! A model engine that streams tokens and tells which weights made them.
//!
//! Each token carries the version that truly made it (see [`true_version`]), so
//! that a test can hold a sample's segments against the truth.

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

use super::listener::{Body, Broken, Listener, json, read};
use crate::{
    control::controller::Rng,
    engine::api::{CompletionChunk, CompletionRequest, Order, Report},
    ids::{BootId, FenceNumber, WeightVersion},
};

/// Tokens below this are free for the payload; above it stands the version.
pub(crate) const VERSION_FACTOR: u32 = 1 << 16;

/// How many chunks may wait for a slow reader.
const CHUNK_BUFFER_COUNT: usize = 16;

/// Returns the weight version that truly made `token`.
pub fn true_version(token: u32) -> WeightVersion {
    WeightVersion::from(token / VERSION_FACTOR)
}

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it listens; port 0 takes any free one.
    pub address: SocketAddr,
    /// Requests that it batches.
    pub slots: u32,
    /// How long one token of a request takes.
    pub token_time: Duration,
    /// Tokens a chunk.
    pub chunk_tokens: u32,
    /// The weights that it starts with.
    pub weight_version: WeightVersion,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
    /// How long a load of weights takes.
    pub load_time: Duration,
    /// One in this many samples is far longer than the others; 0 is none.
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

/// What an engine keeps while it runs.
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
    /// Fails where the address cannot be bound.
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

    /// Returns where it answers.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Returns how it behaves.
    pub fn config(&self) -> &Config {
        &self.shared.config
    }

    /// Returns the weights that it runs.
    pub fn weight_version(&self) -> WeightVersion {
        self.shared.state().version
    }

    /// Returns the tokens that it generated since it was started.
    pub fn served_tokens(&self) -> u64 {
        self.shared.state().served_tokens
    }

    /// Returns the orders that it refused for an old fencing number.
    pub fn orders_refused(&self) -> u64 {
        self.shared.state().orders_refused
    }

    /// Ends all streams and comes back at once under the same name.
    pub fn crash(&self) {
        {
            let mut state = self.shared.state();
            state.boot += 1;
            state.swap_state = "idle";
        }
        self.listener.reset_connections();
    }

    /// Refuses everything while `down`.
    pub fn set_down(&self, down: bool) {
        self.shared.state().down = down;
        if down {
            self.crash();
        }
    }

    /// Lets all open connections go silent for good, while new ones work.
    pub fn silence_connections(&self) {
        self.listener.silence_connections();
    }

    /// Keeps connections open and sends nothing while `silent`.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state().silent = silent;
    }

    /// Says in reports and answers that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Lets the next load of weights fail halfway.
    pub fn fail_next_load(&self) {
        self.shared.state().fail_next_load = true;
    }

    /// Swaps the weights at once, in the middle of running generations.
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
        "/v1/completions" => complete(shared, request).await,
        "/v1/report" => json(200, &report(&shared)),
        "/v1/orders" => take_order(shared, request).await,
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

async fn take_order(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let body = read(request.into_body()).await;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return json(400, &serde_json::json!({"error": "not an order"}));
    };
    if !admit_fence(&shared, order.fence) {
        return json(409, &serde_json::json!({"error": "stale fence"}));
    }
    match order.kind.as_str() {
        "load-weights" => load(shared, order.version).await,
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

async fn load(shared: Arc<Shared>, version: WeightVersion) -> Response<Body> {
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

async fn complete(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let body = read(request.into_body()).await;
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

/// Counts a request in one of the load figures while it is held.
struct Gauge {
    shared: Arc<Shared>,
    pick: fn(&mut State) -> &mut u32,
}

impl Gauge {
    fn hold(shared: &Arc<Shared>, pick: fn(&mut State) -> &mut u32) -> Self {
        *pick(&mut shared.state()) += 1;
        Self {
            shared: shared.clone(),
            pick,
        }
    }
}

impl Drop for Gauge {
    fn drop(&mut self) {
        *(self.pick)(&mut self.shared.state()) -= 1;
    }
}

type ChunkSender = mpsc::Sender<Result<Frame<Bytes>, Broken>>;

async fn generate(shared: Arc<Shared>, request: CompletionRequest, sender: ChunkSender) {
    let waiting = Gauge::hold(&shared, |state| &mut state.waiting);
    let Ok(_slot) = shared.slots.acquire().await else {
        return;
    };
    drop(waiting);
    let _running = Gauge::hold(&shared, |state| &mut state.running);
    let boot = shared.state().boot;
    let target = length(&shared.config, &request);
    let mut done = u32::try_from(request.resume_token_ids.len()).unwrap_or(u32::MAX);
    let mut index = 0;
    while done < target {
        let count = shared.config.chunk_tokens.min(target - done);
        tokio::time::sleep(shared.config.token_time * count).await;
        if shared.state().boot != boot {
            let _ = sender.send(Err(Broken)).await;
            return;
        }
        while shared.state().silent {
            tokio::time::sleep(shared.config.token_time).await;
        }
        let chunk = make_chunk(&shared, index, done, count, target);
        if sender.send(Ok(frame(&chunk))).await.is_err() {
            return;
        }
        done += count;
        index += 1;
    }
    let _ = sender
        .send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
        .await;
}

/// Draws the length of a sample from its seed alone, so that reruns agree.
fn length(config: &Config, request: &CompletionRequest) -> u32 {
    let mut rng = Rng::seed_from_u64(request.seed);
    let most = request.max_tokens.max(1);
    let is_straggler =
        config.straggler_every > 0 && rng.random_range(0..config.straggler_every) == 0;
    if is_straggler {
        return most;
    }
    rng.random_range(most.div_ceil(8)..=most.div_ceil(3))
}

fn make_chunk(shared: &Shared, index: u32, done: u32, count: u32, target: u32) -> CompletionChunk {
    let mut state = shared.state();
    state.served_tokens += u64::from(count);
    let version = u32::try_from(state.version).unwrap_or(u32::MAX / VERSION_FACTOR);
    let token_ids = (done..done + count)
        .map(|place| version * VERSION_FACTOR + place % VERSION_FACTOR)
        .collect();
    CompletionChunk {
        index,
        token_ids,
        weight_version: Some(state.version),
        boot_id: state.boot,
        adapter: String::new(),
        adapter_version: 0,
        finish_reason: (done + count == target).then(|| "stop".to_owned()),
    }
}

fn frame(chunk: &CompletionChunk) -> Frame<Bytes> {
    let mut text = b"data: ".to_vec();
    text.extend(serde_json::to_vec(chunk).unwrap_or_default());
    text.extend_from_slice(b"\n\n");
    Frame::data(Bytes::from(text))
}
