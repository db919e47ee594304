//! Clients that would end a host by its memory or its descriptors: a process of the real
//! program survives crowds of them within the limits of its settings, and then still
//! answers an ordinary request.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mimosavane::platform::standin::{
    AUTHORITY, CALLS, HostAddresses, ReservedAddress, Store, boot_file, boot_variable,
    configuration,
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::{JoinSet, LocalSet, spawn_local},
    time::{sleep, timeout},
};

/// Only one host at a time, so that the figures of one are not those of a busy machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The memory limit of the host under a crowd.
const MEMORY_MB: u64 = 64;

/// The largest body under a crowd: a few of them exceed the limit of the host.
const BODY_BYTES: usize = 4 << 20;

/// The number of clients of a crowd.
const CROWD_COUNT: usize = 24;

/// The descriptors that the host may have open under a crowd of connections; 200 of them are
/// reserved for files.
const MAX_FD_COUNT: usize = 320;

/// The number of connections of a crowd that wants descriptors.
const CONNECTION_COUNT: usize = 500;

/// How long one client may take to send; one that is not read from stays open.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How often the processor time of the host is read until it has read what was sent, the
/// ticks that an idle one uses meanwhile, and the largest number of readings.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);
const IDLE_TICKS: u64 = 5;
const MAX_SETTLE_COUNT: usize = 60;

/// How long the host may take until it serves, or answers an ordinary request.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The limits of one host.
#[derive(Clone, Copy)]
struct Limits {
    memory_mb: u64,
    body_bytes: usize,
    max_fd_count: usize,
}

const CROWDED: Limits = Limits {
    memory_mb: MEMORY_MB,
    body_bytes: BODY_BYTES,
    max_fd_count: 4_096,
};

/// A host, a process of the real program, with the stand-ins that it needs.
struct Host {
    child: Child,
    clients: SocketAddr,
    limits: Limits,
    _folder: TempDir,
    _reserved: [ReservedAddress; 3],
}

impl Host {
    async fn start(limits: Limits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store_address = listener.local_addr().unwrap();
        let store = Store::start(listener);
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = json!({
            "service": CALLS, "address": upstream.local_addr().unwrap().to_string(),
            "zone": "zone-a", "version": "v1", "slots": 64, "cold_remaining_ms": 0,
            "state": "ready", "sequence": 1, "born": 1, "models": [],
        });
        store.write("servers", "i-1", &entry);
        spawn_local(serve_upstream(upstream));
        let mut document = configuration(1);
        document["limits"]["max_body_bytes"] = json!(limits.body_bytes);
        // A large call may take longer than the other routes wait for one upstream.
        let route = json!({"name": "calm", "host": AUTHORITY, "path_prefix": "/calm/",
            "kind": "idempotent", "service": CALLS, "max_attempts": 3,
            "timeout_ms": 20_000, "target_latency_ms": 20_000});
        document["routes"].as_array_mut().unwrap().push(route);
        store.write("op", "config", &document);

        let reserved = [(); 3].map(|()| ReservedAddress::new().unwrap());
        let [clients, ready, relay] = &reserved;
        let addresses = HostAddresses {
            clients: clients.address,
            ready: ready.address,
            relay: relay.address,
            store: store_address,
        };
        let text = boot_file("entry-1", "zone-a", addresses, Duration::from_secs(3), None);
        let mut boot: Value = serde_json::from_str(&text).unwrap();
        boot["limits"]["memory_mb"] = json!(limits.memory_mb);
        boot["limits"]["max_fds"] = json!(limits.max_fd_count);
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("boot.json");
        fs::write(&path, boot.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_mimosavane-entry"))
            .env_clear()
            .env(boot_variable(), &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let host = Self {
            child,
            clients: addresses.clients,
            limits,
            _folder: folder,
            _reserved: reserved,
        };
        host.wait_for_answer().await;
        host
    }

    /// Waits until the host answers an ordinary request with 200.
    async fn wait_for_answer(&self) {
        let answered = async {
            while self.call("/look/small", b"hello").await != Some(200) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(SERVE_TIMEOUT, answered)
            .await
            .expect("the host answers no ordinary request");
    }

    /// Sends one whole request and returns the status of the answer, if there is one.
    async fn call(&self, path: &str, body: &[u8]) -> Option<u16> {
        let mut stream = TcpStream::connect(self.clients).await.ok()?;
        let head = head(path, &format!("content-length: {}", body.len()));
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut answer = [0; 12];
        timeout(SERVE_TIMEOUT, stream.read_exact(&mut answer))
            .await
            .ok()?
            .ok()?;
        std::str::from_utf8(&answer).ok()?.get(9..)?.parse().ok()
    }

    /// Returns a field of the process's status, in bytes.
    fn status_bytes(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap();
        let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kib << 10
    }

    /// Waits until the process has read what clients sent: until it uses next to no processor
    /// time.
    async fn settle(&self) {
        let mut last = self.cpu_ticks();
        for _ in 0..MAX_SETTLE_COUNT {
            sleep(SETTLE_INTERVAL).await;
            let now = self.cpu_ticks();
            if now <= last + IDLE_TICKS {
                break;
            }
            last = now;
        }
    }

    /// Returns the processor time that the process has used, in ticks of 10 ms.
    fn cpu_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks.map(|field| field.parse::<u64>().unwrap()).sum()
    }

    /// Checks that the process lives within its limits and answers an ordinary request.
    async fn check(&mut self) {
        let fd_count = match fs::read_dir(format!("/proc/{}/fd", self.child.id())) {
            Ok(entries) => entries.count(),
            Err(error) => panic!("the process ended: {error}"),
        };
        self.wait_for_answer().await;
        assert!(
            self.child.try_wait().unwrap().is_none(),
            "the process ended"
        );
        let peak_bytes = self.status_bytes("VmHWM:").max(self.status_bytes("VmRSS:"));
        eprintln!("peak {} KiB, {fd_count} descriptors", peak_bytes >> 10);
        assert!(
            peak_bytes <= self.limits.memory_mb * 1_000_000,
            "{peak_bytes} bytes"
        );
        // The descriptors that are reserved for files are not for connections.
        let max_count = self.limits.max_fd_count - 200;
        assert!(fd_count <= max_count, "{fd_count} descriptors");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended on its own.
        let _ = (self.child.kill(), self.child.wait());
    }
}

/// The head of a request to `path` whose length is given by `framing`.
fn head(path: &str, framing: &str) -> String {
    let id = path.rsplit('/').next().unwrap_or_default();
    format!(
        "POST {path} HTTP/1.1\r\nhost: {AUTHORITY}\r\nattempt-id: {id}\r\n\
         deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

/// Answers calls: those for `/look/large…` with a large body, others with a small one.
async fn serve_upstream(listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| async move {
                let (parts, mut body) = request.into_parts();
                while let Some(frame) = body.frame().await {
                    frame?;
                }
                let size_bytes = match parts.uri.path().starts_with("/look/large") {
                    true => BODY_BYTES,
                    false => 2,
                };
                let answer = Response::builder()
                    .header("attempt-id", &parts.headers["attempt-id"])
                    .header("server-stamp", "s1")
                    .body(Full::new(Bytes::from(vec![b'x'; size_bytes])));
                Ok::<_, hyper::Error>(answer.unwrap())
            });
            // The host may close its connection at any time.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Opens the connections of a crowd, each of which sends what `message` returns. A client
/// that the host does not read from stays open with the rest unsent.
async fn crowd(
    host: &Host,
    client_count: usize,
    message: impl Fn(usize) -> Vec<Bytes>,
) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for index in 0..client_count {
        let (address, parts) = (host.clients, message(index));
        clients.spawn_local(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            let sent = async {
                for part in parts {
                    // The host may refuse and close while the client sends.
                    if stream.write_all(&part).await.is_err() {
                        break;
                    }
                }
            };
            // Times out where the host reads no more.
            let _ = timeout(SEND_TIMEOUT, sent).await;
            Some(stream)
        });
    }
    let open = clients.join_all().await.into_iter().flatten().collect();
    host.settle().await;
    open
}

/// Plays a crowd against a host with `limits`, and checks the host while it stays open.
fn check_crowd(limits: Limits, client_count: usize, message: impl Fn(usize) -> Vec<Bytes>) {
    run(async move {
        let mut host = Host::start(limits).await;
        let open = crowd(&host, client_count, message).await;
        host.check().await;
        drop(open);
    });
}

fn run(test: impl Future<Output = ()>) {
    let _one = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(LocalSet::new().run_until(test));
}

/// Returns `size_bytes` of a body in chunks of `chunk_bytes`, without the last chunk.
fn chunks(size_bytes: usize, chunk_bytes: usize) -> Bytes {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend(b"\r\n");
    chunk.repeat(size_bytes / chunk_bytes).into()
}

const CHUNKED: &str = "transfer-encoding: chunked";

fn announced(path: &str, size_bytes: usize) -> Bytes {
    head(path, &format!("content-length: {size_bytes}")).into()
}

/// Bodies with a length that stop ten bytes before their end.
#[test]
fn stopped_bodies() {
    let body = Bytes::from(vec![b'x'; BODY_BYTES - 10]);
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        let path = format!("/look/stopped-{index}");
        vec![announced(&path, BODY_BYTES), body.clone()]
    });
}

/// Bodies in large chunks that stop.
#[test]
fn large_chunks() {
    let body = chunks(BODY_BYTES, 64 << 10);
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        let path = format!("/look/large-chunks-{index}");
        vec![head(&path, CHUNKED).into(), body.clone()]
    });
}

/// Bodies in tiny chunks that stop, each of which costs more than its bytes.
#[test]
fn tiny_chunks() {
    let body = chunks(512 << 10, 8);
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        let path = format!("/look/tiny-chunks-{index}");
        vec![head(&path, CHUNKED).into(), body.clone()]
    });
}

/// Bodies that announce a length far over the limit.
#[test]
fn announced_over_limit() {
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        let path = format!("/look/over-{index}");
        vec![announced(&path, 16 * BODY_BYTES), body.clone()]
    });
}

/// Bodies far over the limit that announce no length.
#[test]
fn chunks_over_limit() {
    let body = chunks(2 * BODY_BYTES, 64 << 10);
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        let path = format!("/look/over-{index}");
        vec![head(&path, CHUNKED).into(), body.clone()]
    });
}

/// Jobs that stop, and jobs that are whole, both of which cost more than their bytes.
#[test]
fn batch_jobs() {
    let job = job_body(BODY_BYTES);
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        let path = format!("/writer/job-{index}");
        let sent_bytes = job.len() - if index % 2 == 0 { 10 } else { 0 };
        vec![announced(&path, job.len()), job.slice(..sent_bytes)]
    });
}

/// Connections that send nothing or half a head.
#[test]
fn silent_connections() {
    let limits = Limits {
        max_fd_count: MAX_FD_COUNT,
        ..CROWDED
    };
    check_crowd(limits, CONNECTION_COUNT, |index| match index % 2 {
        0 => vec![],
        _ => vec![Bytes::from_static(b"POST /look/half HTTP/1.1\r\nhost: ")],
    });
}

/// Clients that ask for large answers and never read them.
#[test]
fn unread_answers() {
    check_crowd(CROWDED, CROWD_COUNT, |index| {
        vec![announced(&format!("/look/large-{index}"), 0)]
    });
}

/// A client must get the refusal, which promises that nothing has run, although it still
/// sends; and its connection must not be used for what follows the unread body.
#[test]
fn refused_bodies() {
    run(async {
        let host = Host::start(CROWDED).await;
        let framing = format!("content-length: {}", 2 * BODY_BYTES);
        let over = head("/look/over", &framing).into_bytes();
        let over_chunks = head("/look/over-chunks", CHUNKED).into_bytes();
        let late = head("/look/late", "content-length: 100\r\ndeadline-ms: 300").replacen(
            "deadline-ms: 20000\r\n",
            "",
            1,
        );
        let cases = [
            ([over, vec![b'x'; 1 << 20]].concat(), "413"),
            (
                [
                    over_chunks,
                    chunks(BODY_BYTES + (1 << 20), 64 << 10).to_vec(),
                ]
                .concat(),
                "413",
            ),
            (late.into_bytes(), "408"),
        ];
        for (message, status) in cases {
            let mut stream = TcpStream::connect(host.clients).await.unwrap();
            stream.write_all(&message).await.unwrap();
            let mut answer = Vec::new();
            let read = stream.read_to_end(&mut answer);
            timeout(SERVE_TIMEOUT, read).await.unwrap().unwrap();
            let answer = String::from_utf8(answer).unwrap().to_lowercase();
            assert!(
                answer.starts_with(&format!("http/1.1 {status} ")),
                "{answer}"
            );
            assert!(answer.contains("connection: close"), "{answer}");
        }
    });
}

/// Returns a job whose body has about `size_bytes`, at most.
fn job_body(size_bytes: usize) -> Bytes {
    let item_count = 64;
    let body = STANDARD.encode(vec![b'x'; (size_bytes / item_count - 200) / 4 * 3]);
    let items: Vec<Value> = (0..item_count)
        .map(|index| {
            json!({"id": format!("item-{index}"), "path": "/generate", "body": body,
                "headers": {"token-usage": "16,16"}, "tokens": 32, "group": "g"})
        })
        .collect();
    let job = json!({"model": "writer", "step": 1, "min_version": 1, "items": items});
    let text = job.to_string();
    assert!(text.len() <= size_bytes);
    text.into()
}

/// A single request of the largest size passes on the smallest host of the deployments.
#[test]
fn largest_in_calm() {
    run(async {
        let limits = Limits {
            memory_mb: 120,
            body_bytes: 32 << 20,
            max_fd_count: 3_075,
        };
        let mut host = Host::start(limits).await;
        let body = vec![b'x'; limits.body_bytes];
        assert_eq!(host.call("/calm/largest", &body).await, Some(200));
        host.check().await;
        drop(host);
        let mut host = Host::start(limits).await;
        let job = job_body(limits.body_bytes);
        assert_eq!(host.call("/writer/largest", &job).await, Some(202));
        host.check().await;
    });
}
