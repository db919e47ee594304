//! Stand-ins for upstreams: engines that generate, and services that answer calls.

mod calls;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body_util::StreamBody;
use hyper::body::Frame;
use rand::Rng as _;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::{AbortHandle, spawn_local},
    time::sleep,
};
use tokio_stream::wrappers::ReceiverStream;

use super::{
    CALLS, ENGINES, MODELS, NoAnswer, Record, STREAM_PATH, Store, header_text, json_reply, serve,
};
use crate::{
    ingress::replies::{Reply, ReplyBody, StreamCut},
    platform::names,
};

/// The interval between two events of a run.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// The factor by which a slow upstream is slower.
const SLOW_FACTOR: u32 = 6;

/// The duration of a load of weights.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// The delay after which an engine executes an order that it does not answer.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(1_500);

/// The interval at which an upstream renews its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// The maximum number of concurrent requests of an upstream.
const SLOT_COUNT: usize = 8;

/// The ratio of requests that an upstream with a grey failure fails.
const GREY_FAILURE_RATIO: f64 = 0.4;

/// The software version of upstreams that are given no other one.
const FIRST_SOFTWARE_VERSION: &str = "v1";

/// The role of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineRole {
    /// The upstream generates.
    Generates,
    /// The upstream answers calls.
    Answers,
}

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineFault {
    /// The upstream works correctly.
    #[default]
    None,
    /// The upstream is slow.
    Slow,
    /// A grey failure: the upstream runs all requests but closes the connections
    /// of some of them instead of completing the answer.
    Grey,
    /// The upstream does not answer orders and executes them late.
    LateOrders,
    /// The upstream answers calls with the answer to an earlier one.
    Mismatched,
}

/// An upstream. Each start has a new id.
#[derive(Debug)]
pub struct Engine {
    /// The id of the upstream.
    pub id: String,
    /// The role of the upstream.
    pub role: EngineRole,
    /// The address at which hosts reach the upstream.
    address: SocketAddr,
    store: Store,
    record: Rc<RefCell<Record>>,
    fault: Cell<EngineFault>,
    is_draining: Cell<bool>,
    is_listed_draining: Cell<bool>,
    /// How often the upstream has started, which it lists as the time of its start.
    start_count: Cell<u64>,
    /// Whether the upstream has crashed and not started again.
    is_down: Cell<bool>,
    /// The limit that the upstream names, in requests per second.
    limit_per_s: Cell<Option<f64>>,
    /// The version of the software, of which the next start may have another one.
    software_version: RefCell<String>,
    versions: RefCell<BTreeMap<String, u64>>,
    loading: RefCell<Option<String>>,
    order_count: Cell<u64>,
    running_count: Cell<usize>,
    sequence: Cell<u64>,
    /// The number of calls that the upstream ran.
    call_count: Cell<u64>,
    /// The id of the last call that the upstream answered.
    /// The attempt id and the stamp of the last call.
    last_call: RefCell<(String, String)>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// A guard that counts a request as running until it is dropped.
struct RunningGuard(Rc<Engine>);

impl RunningGuard {
    fn new(engine: &Rc<Engine>) -> Self {
        engine.running_count.set(engine.running_count.get() + 1);
        Self(engine.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running_count.set(self.0.running_count.get() - 1);
    }
}

impl Engine {
    /// Starts an upstream on `listener` with the weights `versions`. Hosts reach it
    /// at `address`.
    pub fn start(
        id: String,
        role: EngineRole,
        listener: TcpListener,
        address: SocketAddr,
        versions: BTreeMap<String, u64>,
        store: Store,
        record: Rc<RefCell<Record>>,
    ) -> Rc<Self> {
        let engine = Rc::new(Self {
            id,
            role,
            address,
            store,
            record,
            fault: Cell::default(),
            is_draining: Cell::new(false),
            is_listed_draining: Cell::new(false),
            start_count: Cell::new(1),
            is_down: Cell::new(false),
            limit_per_s: Cell::new(None),
            software_version: RefCell::new(FIRST_SOFTWARE_VERSION.to_owned()),
            versions: RefCell::new(versions),
            loading: RefCell::default(),
            order_count: Cell::new(0),
            running_count: Cell::new(0),
            sequence: Cell::new(0),
            call_count: Cell::new(0),
            last_call: RefCell::default(),
            tasks: RefCell::default(),
        });
        let served = engine.clone();
        let server = serve(listener, move |request| served.clone().answer(request));
        let heartbeats = spawn_local(engine.clone().send_heartbeats()).abort_handle();
        engine.tasks.borrow_mut().extend([server, heartbeats]);
        engine
    }

    /// Returns the weight versions with which each engine starts.
    pub fn first_versions() -> BTreeMap<String, u64> {
        MODELS.map(|(model, _)| (model.to_owned(), 1)).into()
    }

    /// Returns the weight versions that the engine holds.
    pub fn versions(&self) -> BTreeMap<String, u64> {
        self.versions.borrow().clone()
    }

    /// Lists the upstream with another version of its software.
    pub fn set_software_version(&self, version: &str) {
        version.clone_into(&mut self.software_version.borrow_mut());
        self.register();
    }

    /// Returns the version of the upstream's software.
    pub fn software_version(&self) -> String {
        self.software_version.borrow().clone()
    }

    /// Sets or clears the fault of the upstream.
    pub fn set_fault(&self, fault: EngineFault) {
        self.fault.set(fault);
    }

    /// Names a limit on the requests of all hosts in each answer, or none.
    pub fn set_limit(&self, limit_per_s: Option<f64>) {
        self.limit_per_s.set(limit_per_s);
        self.record.borrow_mut().set_limit(&self.id, limit_per_s);
    }

    /// Announces that the upstream will leave, in its answers and, if `is_listed`, in the
    /// platform's list.
    pub fn drain(&self, is_listed: bool) {
        self.is_draining.set(true);
        self.is_listed_draining.set(is_listed);
        self.register();
    }

    /// Stops the upstream and closes all its connections.
    pub fn stop(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.store.remove(names::UPSTREAM_TABLE, &self.id);
    }

    async fn send_heartbeats(self: Rc<Self>) {
        loop {
            self.register();
            sleep(HEARTBEAT).await;
        }
    }

    fn register(&self) {
        self.sequence.set(self.sequence.get() + 1);
        let service = match self.role {
            EngineRole::Generates => ENGINES,
            EngineRole::Answers => CALLS,
        };
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "zone-a",
            "version": &*self.software_version.borrow(), "slots": SLOT_COUNT, "cold_remaining_ms": 0,
            "state": if self.is_listed_draining.get() { "draining" } else { "ready" },
            "sequence": self.sequence.get(), "born": self.start_count.get(), "models": self.models(),
        });
        self.store.write(names::UPSTREAM_TABLE, &self.id, &entry);
    }

    fn models(&self) -> Vec<Value> {
        let versions = self.versions.borrow();
        versions
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect()
    }

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> Result<Reply, NoAnswer> {
        if self.is_down.get() {
            return Err(NoAnswer);
        }
        self.record.borrow_mut().add_arrival(&self.id);
        let mut reply = self.clone().answer_as_present(request).await?;
        if let Some(limit_per_s) = self.limit_per_s.get()
            && let Ok(value) = HeaderValue::from_str(&format!("{limit_per_s:.3}"))
        {
            reply
                .headers_mut()
                .insert(HeaderName::from_static(names::SERVER_LIMIT), value);
        }
        if self.is_draining.get() {
            reply.headers_mut().insert(
                HeaderName::from_static(names::SERVER_LEAVING),
                HeaderValue::from_static("1"),
            );
        }
        Ok(reply)
    }

    async fn answer_as_present(self: Rc<Self>, request: Request<Bytes>) -> Result<Reply, NoAnswer> {
        let expected = header_text(request.headers(), names::EXPECT_INSTANCE);
        if expected.is_some_and(|id| id != self.id) {
            return Ok(json_reply(421, &json!({})));
        }
        match (request.uri().path(), self.role) {
            (names::REPORT_PATH, _) => Ok(json_reply(
                200,
                &json!({
                    "models": self.models(), "busy": self.loading.borrow().is_some(),
                    "sequence": self.order_count.get(),
                }),
            )),
            (names::ORDER_PATH, EngineRole::Generates) => self.handle_order(request.body()).await,
            (_, EngineRole::Generates) => self.generate(&request),
            (_, EngineRole::Answers) => self.call(&request).await,
        }
    }

    async fn handle_order(self: Rc<Self>, body: &Bytes) -> Result<Reply, NoAnswer> {
        let order: Value = serde_json::from_slice(body).map_err(|_| NoAnswer)?;
        let text = |field: &str| order[field].as_str().unwrap_or_default().to_owned();
        let fence = order["fence"].as_u64().unwrap_or(0);
        self.record
            .borrow_mut()
            .add_order(&self.id, &text("holder"), fence);
        let version = order["version"].as_u64().unwrap_or(0);
        let expected = order["expected"].as_u64();
        if self.fault.get() == EngineFault::LateOrders {
            sleep(LATE_ORDER_DELAY).await;
            self.accept_order(&text("model"), version, expected);
            return Err(NoAnswer);
        }
        let status = self.accept_order(&text("model"), version, expected);
        Ok(json_reply(status, &json!({})))
    }

    fn accept_order(self: &Rc<Self>, model: &str, version: u64, expected: Option<u64>) -> u16 {
        let is_held = self.versions.borrow().get(model) == Some(&version);
        if is_held && self.loading.borrow().is_none() {
            return 200;
        }
        let is_expected = expected.is_none_or(|count| count == self.order_count.get());
        if self.loading.borrow().is_some() || !is_expected {
            return 409;
        }
        self.order_count.set(self.order_count.get() + 1);
        *self.loading.borrow_mut() = Some(model.to_owned());
        let this = self.clone();
        let model = model.to_owned();
        let task = spawn_local(async move {
            sleep(LOAD_TIME).await;
            this.versions.borrow_mut().insert(model, version);
            *this.loading.borrow_mut() = None;
        });
        self.track_task(task.abort_handle());
        202
    }

    fn refuse(&self) -> Reply {
        let mut reply = json_reply(503, &json!({}));
        let name = HeaderName::from_static(names::NOT_EXECUTED);
        reply
            .headers_mut()
            .insert(name, HeaderValue::from_static("1"));
        reply
    }

    fn sign(reply: &mut Reply, attempt: &str, stamp: &str) {
        let headers = reply.headers_mut();
        for (name, value) in [(names::ATTEMPT_ID, attempt), (names::SERVER_STAMP, stamp)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
    }

    /// Records on whose behalf a request runs, and returns the account.
    fn record_account(&self, request: &str, headers: &HeaderMap) -> Option<String> {
        let account = header_text(headers, names::TENANT);
        let has_key = headers.contains_key(names::API_KEY);
        let mut record = self.record.borrow_mut();
        record.add_account_run(request, account, has_key);
        account.map(str::to_owned)
    }

    fn generate(self: Rc<Self>, request: &Request<Bytes>) -> Result<Reply, NoAnswer> {
        let headers = request.headers();
        let Some(item) = header_text(headers, names::ATTEMPT_ID).map(str::to_owned) else {
            return Ok(json_reply(400, &json!({})));
        };
        let body: Value = serde_json::from_slice(request.body()).map_err(|_| NoAnswer)?;
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let event_count = body["events"].as_u64().unwrap_or(0);
        let is_loading = self.loading.borrow().as_deref() == Some(&*model);
        if is_loading || self.running_count.get() >= SLOT_COUNT {
            return Ok(self.refuse());
        }
        let last_event = header_text(headers, names::LAST_EVENT_ID)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let software_version = self.software_version.borrow().clone();
        let resumed = header_text(headers, names::RESUMES).unwrap_or(&item);
        let account = self.record_account(&item, headers);
        let is_stream = request.uri().path().starts_with(STREAM_PATH);
        // Items are not part of the usage.
        let mut begun_account = account.filter(|_| is_stream);
        if is_stream {
            self.record
                .borrow_mut()
                .add_stream_run(resumed, &software_version, last_event);
        } else {
            self.record.borrow_mut().add_item_run(&item);
        }
        let is_cut =
            self.fault.get() == EngineFault::Grey && rand::rng().random_bool(GREY_FAILURE_RATIO);
        let (sender, receiver) = mpsc::channel(1);
        let version = self.versions.borrow().get(&model).copied().unwrap_or(0);
        let mut reply = Response::new(ReplyBody::Right(StreamBody::new(ReceiverStream::new(
            receiver,
        ))));
        Self::sign(&mut reply, &item, &self.id);
        reply.headers_mut().insert(
            HeaderName::from_static(names::WEIGHT_VERSIONS),
            HeaderValue::from(version),
        );
        let running = RunningGuard::new(&self);
        let run = async move {
            let engine = &running.0;
            let mut last_version = version;
            for number in last_event + 1..=event_count {
                let is_slow = engine.fault.get() == EngineFault::Slow;
                sleep(EVENT_INTERVAL * if is_slow { SLOW_FACTOR } else { 1 }).await;
                while engine.loading.borrow().as_deref() == Some(&*model) {
                    sleep(EVENT_INTERVAL).await;
                }
                let current_version = engine.versions.borrow().get(&model).copied().unwrap_or(0);
                let mut event = String::new();
                if current_version != last_version {
                    last_version = current_version;
                    event = format!("{}: {current_version}\n", names::WEIGHT_VERSIONS);
                }
                event.push_str(&format!(
                    "id: {number}\ndata: {item}:{number}:{current_version}:{software_version}\n\n"
                ));
                if let Some(account) = begun_account.take() {
                    engine.record.borrow_mut().add_begun(&account);
                }
                if number == event_count {
                    engine.record.borrow_mut().add_whole_item(&item);
                }
                if is_cut && number == event_count {
                    // The last event is cut in the middle.
                    event.truncate(event.len() / 2);
                    let _ = sender.send(Ok(Frame::data(event.into()))).await;
                    let _ = sender.send(Err(StreamCut)).await;
                    return;
                }
                if sender.send(Ok(Frame::data(event.into()))).await.is_err() {
                    return;
                }
            }
        };
        self.track_task(spawn_local(run).abort_handle());
        Ok(reply)
    }

    /// Tracks `task`, so that it is aborted when the upstream stops.
    fn track_task(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}
