//! Servers: they register in the store, run requests in slots, generate events, and load
//! weights on order.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Result;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt as _, Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosavane::platform::standin::Store;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    task::{AbortHandle, JoinSet, spawn_local},
    time::sleep,
};
use tokio_stream::wrappers::ReceiverStream;

use crate::{Network, record::Record};

/// The port of all servers.
const PORT: u16 = 8101;

/// The number of the first server's machine.
const FIRST_MACHINE: u8 = 101;

/// The interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The time of a change of weights.
const LOAD_TIME: Duration = Duration::from_millis(900);

type Body = Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, Infallible>>>>;

/// What a server was asked to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the request arrived.
    pub at: Duration,
    /// The server.
    pub server: String,
    /// The software version of the server.
    pub software: String,
    /// The id of the request.
    pub id: String,
    /// The number of the event after which it goes on.
    pub last_event: u64,
    /// Whether the server ran it.
    pub has_run: Rc<Cell<bool>>,
}

/// The requests that all servers got.
pub type Arrivals = Rc<RefCell<Vec<Arrival>>>;

/// How a server is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The id.
    pub id: String,
    /// The number of the server, which selects its machine.
    pub number: u8,
    /// The service.
    pub service: &'static str,
    /// How many requests it runs at once.
    pub slot_count: usize,
    /// The version of the software.
    pub software: String,
    /// The models with the versions of their weights.
    pub models: BTreeMap<String, u64>,
}

/// A server.
pub struct Server {
    /// How it is set up.
    pub setup: Setup,
    address: SocketAddr,
    started_at_ms: u64,
    store: Store,
    record: Rc<Record>,
    arrivals: Arrivals,
    slots: Arc<Semaphore>,
    models: RefCell<BTreeMap<String, u64>>,
    loading: RefCell<Option<String>>,
    order_count: Cell<u64>,
    sequence: Cell<u64>,
    /// When the last run ended.
    idle_since: Cell<Duration>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Server {
    /// Starts a server and registers it.
    pub async fn start(
        network: Network,
        setup: Setup,
        store: &Store,
        record: &Rc<Record>,
        arrivals: &Arrivals,
    ) -> Result<Rc<Self>> {
        let listener = network.listen(FIRST_MACHINE + setup.number, PORT).await?;
        let address = listener.local_addr()?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?;
        record.add(
            "server",
            format!("{} starts, software {}", setup.id, setup.software),
        );
        let server = Rc::new(Self {
            address,
            started_at_ms: u64::try_from(born.as_millis())?,
            store: store.clone(),
            record: record.clone(),
            arrivals: arrivals.clone(),
            slots: Arc::new(Semaphore::new(setup.slot_count)),
            models: RefCell::new(setup.models.clone()),
            loading: RefCell::default(),
            order_count: Cell::new(0),
            sequence: Cell::new(0),
            idle_since: Cell::default(),
            tasks: RefCell::default(),
            setup,
        });
        server.register();
        let served = server.clone();
        let serving = spawn_local(async move { served.serve(listener).await }).abort_handle();
        let beating = server.clone();
        let heartbeats = spawn_local(async move {
            loop {
                sleep(HEARTBEAT).await;
                beating.register();
            }
        });
        server
            .tasks
            .borrow_mut()
            .extend([serving, heartbeats.abort_handle()]);
        Ok(server)
    }

    /// Ends the server as a crash does: its connections close, and its entry stays until the
    /// platform removes it.
    pub fn crash(&self) {
        self.record.add("server", format!("{} ends", self.setup.id));
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Returns whether the server loads weights.
    pub fn is_loading(&self) -> bool {
        self.loading.borrow().is_some()
    }

    /// Returns since when the server runs nothing, or the present time while it does.
    pub fn idle_since(&self) -> Duration {
        match self.slots.available_permits() < self.setup.slot_count {
            true => self.record.now(),
            false => self.idle_since.get(),
        }
    }

    fn register(&self) {
        self.sequence.set(self.sequence.get() + 1);
        let models: Vec<Value> = self
            .models
            .borrow()
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect();
        let entry = json!({
            "service": self.setup.service, "address": self.address.to_string(),
            "zone": "zone-a", "version": self.setup.software, "slots": self.setup.slot_count,
            "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence.get(),
            "born": self.started_at_ms, "stage": "hybrid", "models": models,
        });
        self.store.write("servers", &self.setup.id, &entry);
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        // Dropped with this task, which closes all connections.
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Answers may be delayed without it.
            let _ = stream.set_nodelay(true);
            let this = self.clone();
            connections.spawn_local(async move {
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.answer(request).await) }
                });
                // Hosts may disconnect at any time.
                let _ = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return plain(400, &[], "");
        };
        let body = body.to_bytes();
        let expected = text(&parts.headers, "expect-instance");
        if !expected.is_empty() && expected != self.setup.id {
            return plain(421, &[("not-executed", "1")], "");
        }
        match parts.uri.path() {
            "/-/report" => plain(200, &[], &self.report().to_string()),
            "/-/order" => self.order(&body),
            _ => self.run(&parts.headers, parts.uri.path(), &body).await,
        }
    }

    fn report(&self) -> Value {
        let models: Vec<Value> = self
            .models
            .borrow()
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect();
        let running_count = self.setup.slot_count - self.slots.available_permits();
        json!({
            "stage": "hybrid", "models": models, "busy": self.loading.borrow().is_some(),
            "sequence": self.order_count.get(), "num_waiting": 0, "num_running": running_count,
            "kv_used": 0, "kv_total": 40_000, "handles": 0,
        })
    }

    /// Carries out an order to load weights, with `retain`: runs pause and go on.
    fn order(self: &Rc<Self>, body: &Bytes) -> Response<Body> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (Some(model), Some(version)) = (order["model"].as_str(), order["version"].as_u64())
        else {
            return plain(400, &[], "");
        };
        let expected = order["expected"].as_u64();
        let status = if self.models.borrow().get(model) == Some(&version) {
            200
        } else if self.loading.borrow().is_some()
            || expected.is_some_and(|count| count != self.order_count.get())
        {
            409
        } else {
            202
        };
        self.record.add(
            "order",
            format!(
                "{} load {model} {version} from {} fence {}: {status}",
                self.setup.id, order["holder"], order["fence"]
            ),
        );
        if status == 202 {
            self.order_count.set(self.order_count.get() + 1);
            *self.loading.borrow_mut() = Some(model.to_owned());
            let (this, model) = (self.clone(), model.to_owned());
            spawn_local(async move {
                sleep(LOAD_TIME).await;
                this.models.borrow_mut().insert(model, version);
                *this.loading.borrow_mut() = None;
                this.register();
            });
        }
        plain(status, &[], "")
    }

    /// Runs a request. Its body says how: `events` of a stream, one each `event_ms`, the first
    /// after `first_ms`; or `work_ms` of a plain request.
    async fn run(self: Rc<Self>, headers: &HeaderMap, path: &str, body: &Bytes) -> Response<Body> {
        let id = text(headers, "attempt-id").to_owned();
        let last_event = text(headers, "last-event-id").parse().unwrap_or(0);
        let arrival = Arrival {
            at: self.record.now(),
            server: self.setup.id.clone(),
            software: self.setup.software.clone(),
            id: id.clone(),
            last_event,
            has_run: Rc::default(),
        };
        let has_run = arrival.has_run.clone();
        self.arrivals.borrow_mut().push(arrival);
        let what: Value = serde_json::from_slice(body).unwrap_or_default();
        let millis = |field: &str| Duration::from_millis(what[field].as_u64().unwrap_or(0));
        let model = text(headers, "model").to_owned();
        let is_loading = self.loading.borrow().as_deref() == Some(&*model);
        let permit = match self.slots.clone().try_acquire_owned() {
            Ok(permit) if !is_loading => permit,
            _ => {
                self.record
                    .add("refused", format!("{} {id}", self.setup.id));
                return plain(503, &[("not-executed", "1")], "");
            }
        };
        has_run.set(true);
        self.record.add(
            "run",
            format!("{} {path} {id} after event {last_event}", self.setup.id),
        );
        let stamp = format!("{}.{}.{id}", self.setup.id, self.started_at_ms);
        let signed = [("attempt-id", &*id), ("server-stamp", &*stamp)];
        let running = Running(self.clone(), permit);
        let Some(event_count) = what["events"].as_u64() else {
            sleep(millis("work_ms")).await;
            return plain(200, &signed, &format!("answer to {id}"));
        };
        sleep(millis("first_ms")).await;
        let version = self.models.borrow().get(&model).copied().unwrap_or(0);
        let (sender, receiver) = mpsc::channel(4);
        let software = self.setup.software.clone();
        let interval = millis("event_ms");
        let this = self.clone();
        let stream_id = id.clone();
        // Ends by itself once its connection has closed.
        spawn_local(async move {
            let _running = running;
            let mut last_version = version;
            for number in last_event + 1..=event_count {
                while this.loading.borrow().as_deref() == Some(&*model) {
                    sleep(interval).await;
                }
                let version = this.models.borrow().get(&model).copied().unwrap_or(0);
                let mut event = String::new();
                if version != last_version {
                    event = format!("weight-versions: {version}\n");
                    last_version = version;
                }
                event.push_str(&format!(
                    "id: {number}\ndata: {stream_id} {number} {software}\n\n"
                ));
                if sender.send(Ok(Frame::data(event.into()))).await.is_err() {
                    return;
                }
                if number < event_count {
                    tokio::select! {
                        () = sleep(interval) => {}
                        () = sender.closed() => return,
                    }
                }
            }
        });
        let mut reply = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(
            receiver,
        ))));
        set_headers(&mut reply, &signed);
        set_headers(
            &mut reply,
            &[
                ("weight-versions", &version.to_string()),
                ("content-type", "text/event-stream"),
            ],
        );
        reply
    }
}

/// Holds a slot, and notes when it is given back.
struct Running(Rc<Server>, OwnedSemaphorePermit);

impl Drop for Running {
    fn drop(&mut self) {
        // Field 1 gives the slot back right after this.
        let _ = &self.1;
        self.0.idle_since.set(self.0.record.now());
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn set_headers(reply: &mut Response<Body>, headers: &[(&'static str, &str)]) {
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            reply.headers_mut().insert(*name, value);
        }
    }
}

fn plain(status: u16, headers: &[(&'static str, &str)], body: &str) -> Response<Body> {
    let mut reply = Response::new(Either::Left(Full::new(body.to_owned().into())));
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    set_headers(&mut reply, headers);
    reply
}
