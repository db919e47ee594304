//! Servers as PROTOCOL.md describes them: model servers, which generate and take orders, and
//! plain ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Handled, Handler, Reply, Request, Served},
    record::Record,
    store::Store,
};

/// How often a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a change of version takes.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// How often work looks whether its client is still there.
const STEP: Duration = Duration::from_millis(10);

/// How a server treats a request that it runs.
#[derive(Clone, Debug)]
pub enum Work {
    /// It streams so many events, one each interval.
    Events { count: u64, interval: Duration },
    /// It fails with a 500 after the time.
    Fails { after: Duration },
}

/// An order that arrived at a server.
#[derive(Clone, Debug)]
pub struct ArrivedOrder {
    pub at: Duration,
    pub server: String,
    pub holder: String,
    pub fence: u64,
}

/// What all servers have seen.
#[derive(Default)]
pub struct Seen {
    pub orders: Vec<ArrivedOrder>,
    /// The servers that began to run a request, by its id.
    pub runs: BTreeMap<String, Vec<(Duration, String)>>,
    /// The requests that servers work on, by server.
    pub running: BTreeSet<(String, String)>,
    /// The requests whose streams are complete.
    pub finished: BTreeSet<String>,
    /// The times of answers with 500, by the id of the request.
    pub failures: BTreeMap<String, Vec<Duration>>,
}

pub struct ServerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slot_count: usize,
    pub models: Vec<String>,
    pub work: Work,
    /// How many times as long the server works.
    pub slowness: f64,
}

/// One start of a server.
struct Start {
    /// The time of the start, in Unix milliseconds.
    born: u64,
    software_version: String,
    sequence: u64,
    next_beat: Instant,
    served: Option<Served>,
}

pub struct Server {
    settings: ServerSettings,
    address: SocketAddr,
    /// The present start.
    start: Mutex<Start>,
    versions: Mutex<BTreeMap<String, u64>>,
    loading: Mutex<Option<(String, u64, Instant)>>,
    order_count: Mutex<u64>,
    running_count: AtomicUsize,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
}

impl Server {
    pub fn start(
        settings: ServerSettings,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Seen>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let versions = settings
            .models
            .iter()
            .map(|model| (model.clone(), 1))
            .collect();
        let server = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            settings,
            start: Mutex::new(Start {
                born: 0,
                software_version: String::new(),
                sequence: 0,
                next_beat: Instant::now(),
                served: None,
            }),
            versions: Mutex::new(versions),
            loading: Mutex::default(),
            order_count: Mutex::default(),
            running_count: AtomicUsize::new(0),
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
        });
        server.begin(listener, "s1");
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                beating.register_if_due();
            }
        });
        server
    }

    /// Returns how many requests run.
    pub fn running_count(&self) -> usize {
        self.running_count.load(Ordering::SeqCst)
    }

    /// Registers a new start and then takes connections.
    fn begin(self: &Arc<Self>, listener: TcpListener, software_version: &str) {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut start = self.start.lock().expect("not poisoned");
        start.born = unix_time.map_or(0, |time| time.as_millis() as u64);
        software_version.clone_into(&mut start.software_version);
        start.sequence = 0;
        start.next_beat = Instant::now() + HEARTBEAT;
        drop(start);
        *self.order_count.lock().expect("not poisoned") = 0;
        let handled = self.clone();
        let handler: Handler = Arc::new(move |request, stream| handled.handle(request, stream));
        // The listener exists, but nothing is accepted before the entry is written.
        self.write_entry();
        let served = http::serve(listener, handler);
        self.start.lock().expect("not poisoned").served = Some(served);
        self.record.line(&format!(
            "{} starts with software version {software_version}",
            self.settings.id
        ));
    }

    /// Ends as a process that crashes does.
    pub fn crash(&self) {
        let served = self.start.lock().expect("not poisoned").served.take();
        self.record.line(&format!("{} crashes", self.settings.id));
        if let Some(mut served) = served {
            served.stop();
        }
    }

    /// Starts again under the same id, at the same address.
    pub fn restart(self: &Arc<Self>, software_version: &str) {
        let listener = TcpListener::bind(self.address).expect("the port of the crashed server");
        self.begin(listener, software_version);
    }

    /// Returns the version of the software.
    fn software_version(&self) -> String {
        self.start
            .lock()
            .expect("not poisoned")
            .software_version
            .clone()
    }

    /// Renews the entry once per heartbeat, unless the server is down.
    fn register_if_due(&self) {
        let mut start = self.start.lock().expect("not poisoned");
        if start.served.is_none() || start.next_beat > Instant::now() {
            return;
        }
        start.next_beat += HEARTBEAT;
        drop(start);
        self.write_entry();
    }

    /// Renews the entry by a write whose answer is lost, and that the store performs `delay`
    /// later.
    pub fn register_late(self: &Arc<Self>, delay: Duration) {
        let entry = self.next_entry();
        let this = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            this.store.write("servers", &this.settings.id, &entry);
            this.record
                .line(&format!("the store performs a late write: {entry}"));
        });
    }

    fn write_entry(&self) {
        let entry = self.next_entry();
        self.store.write("servers", &self.settings.id, &entry);
    }

    fn next_entry(&self) -> Value {
        let models = self.models();
        let settings = &self.settings;
        let mut start = self.start.lock().expect("not poisoned");
        start.sequence += 1;
        json!({"service": settings.service, "address": self.address.to_string(),
            "zone": settings.zone, "version": start.software_version,
            "slots": settings.slot_count, "state": "ready", "cold_remaining_ms": 0,
            "sequence": start.sequence, "born": start.born, "models": models})
    }

    fn models(&self) -> Vec<Value> {
        self.finish_load();
        let versions = self.versions.lock().expect("not poisoned");
        let models = versions.iter();
        models
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect()
    }

    fn finish_load(&self) {
        let mut loading = self.loading.lock().expect("not poisoned");
        if let Some((model, version, _)) = loading.take_if(|(.., end)| *end <= Instant::now()) {
            self.versions
                .lock()
                .expect("not poisoned")
                .insert(model, version);
        }
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> Handled {
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.settings.id {
            return Handled::Reply(Reply::json(421, &json!({})));
        }
        match request.path.as_str() {
            "/-/report" => Handled::Reply(self.report()),
            "/-/order" => Handled::Reply(self.order(request)),
            "/health" => {
                Handled::Reply(Reply::json(200, &json!({})).with("Instance-Id", &self.settings.id))
            }
            _ => self.run(request, stream),
        }
    }

    fn report(&self) -> Reply {
        let models = self.models();
        let is_busy = self.loading.lock().expect("not poisoned").is_some();
        let running = self.running_count.load(Ordering::SeqCst);
        Reply::json(
            200,
            &json!({"stage": "hybrid", "models": models, "busy": is_busy,
            "sequence": *self.order_count.lock().expect("not poisoned"), "num_waiting": 0,
            "num_running": running, "kv_used": 0, "kv_total": 90_000, "handles": 0}),
        )
    }

    fn order(&self, request: &Request) -> Reply {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = |field: &str| order[field].as_str().unwrap_or("").to_owned();
        let arrived = ArrivedOrder {
            at: self.record.now(),
            server: self.settings.id.clone(),
            holder: text("holder"),
            fence: order["fence"].as_u64().unwrap_or(0),
        };
        let (model, version) = (text("model"), order["version"].as_u64().unwrap_or(0));
        let status = self.accept(&model, version, order["expected"].as_u64());
        self.record.line(&format!(
            "order arrives at {}: holder {} fence {} loads {model} version {version}: {status}",
            arrived.server, arrived.holder, arrived.fence
        ));
        self.seen.lock().expect("not poisoned").orders.push(arrived);
        Reply::json(status, &json!({}))
    }

    fn accept(&self, model: &str, version: u64, expected: Option<u64>) -> u16 {
        self.finish_load();
        let mut loading = self.loading.lock().expect("not poisoned");
        let mut order_count = self.order_count.lock().expect("not poisoned");
        let held = self
            .versions
            .lock()
            .expect("not poisoned")
            .get(model)
            .copied();
        if held.is_none() || version == 0 {
            return 400;
        }
        if loading.is_none() && held == Some(version) {
            return 200;
        }
        if loading.is_some() || expected.is_some_and(|expected| expected != *order_count) {
            return 409;
        }
        *order_count += 1;
        *loading = Some((model.to_owned(), version, Instant::now() + LOAD_TIME));
        202
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> Handled {
        self.finish_load();
        let id = request.header("attempt-id").to_owned();
        let refused = |reason: &str| {
            let reply = Reply::json(503, &json!({"reason": reason}));
            Handled::Reply(reply.with("Not-Executed", 1).with("Attempt-Id", &id))
        };
        let model = request.header("model");
        let is_loading = {
            let loading = self.loading.lock().expect("not poisoned");
            loading.as_ref().is_some_and(|(loaded, ..)| loaded == model)
        };
        if is_loading {
            return refused("loading");
        }
        if self.running_count.fetch_add(1, Ordering::SeqCst) >= self.settings.slot_count {
            self.running_count.fetch_sub(1, Ordering::SeqCst);
            return refused("full");
        }
        let at_server = (self.settings.id.clone(), id.clone());
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.running.insert(at_server.clone());
        drop(seen);
        let handled = self.run_in_slot(request, &id, model, stream);
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.running.remove(&at_server);
        drop(seen);
        self.running_count.fetch_sub(1, Ordering::SeqCst);
        handled
    }

    fn run_in_slot(
        &self,
        request: &Request,
        id: &str,
        model: &str,
        stream: &mut TcpStream,
    ) -> Handled {
        let server = &self.settings.id;
        self.record.line(&format!("{server} begins to run {id}"));
        let begun = (self.record.now(), server.clone());
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.runs.entry(id.to_owned()).or_default().push(begun);
        drop(seen);
        let stamp = format!("{server}.{id}");
        match self.settings.work {
            Work::Events { count, interval } => {
                let interval = interval.mul_f64(self.settings.slowness);
                match self.stream_events(request, id, model, stream, (count, interval)) {
                    Ok(()) => Handled::Written,
                    Err(_) => {
                        self.record
                            .line(&format!("{server} drops {id}: connection closed"));
                        Handled::Close
                    }
                }
            }
            Work::Fails { after } => {
                if !work(after.mul_f64(self.settings.slowness), stream) {
                    self.record
                        .line(&format!("{server} drops {id}: connection closed"));
                    return Handled::Close;
                }
                let at = self.record.now();
                let mut seen = self.seen.lock().expect("not poisoned");
                let failures = seen.failures.entry(id.to_owned()).or_default();
                failures.push(at);
                let count = failures.len();
                self.record
                    .line(&format!("{server} answers {id} with 500 (number {count})"));
                let reply = Reply::json(500, &json!({}));
                Handled::Reply(reply.with("Attempt-Id", id).with("Server-Stamp", stamp))
            }
        }
    }

    fn stream_events(
        &self,
        request: &Request,
        id: &str,
        model: &str,
        stream: &mut TcpStream,
        (count, interval): (u64, Duration),
    ) -> std::io::Result<()> {
        use std::io::Write as _;
        let version_of = || {
            self.finish_load();
            let versions = self.versions.lock().expect("not poisoned");
            versions.get(model).copied().unwrap_or(1)
        };
        let mut version = version_of();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\n\
             Server-Stamp: {}.{id}\r\nWeight-Versions: {version}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.settings.id
        );
        stream.write_all(head.as_bytes())?;
        let software_version = self.software_version();
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for number in last + 1..=count {
            if !work(interval, stream) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let mut event = String::new();
            let present = version_of();
            if present != version {
                version = present;
                event = format!("weight-versions: {version}\n");
            }
            event.push_str(&format!(
                "id: {number}\ndata: {software_version} {id}-{number}\n\n"
            ));
            http::write_chunk(stream, event.as_bytes())?;
        }
        http::write_chunk(stream, b"")?;
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.finished.insert(id.to_owned());
        drop(seen);
        self.record
            .line(&format!("{} completes {id}", self.settings.id));
        Ok(())
    }
}

/// Works for `time`, and returns whether the client is still there.
fn work(time: Duration, stream: &TcpStream) -> bool {
    let end = Instant::now() + time;
    loop {
        if http::is_closed(stream) {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(STEP));
    }
}
