//! A host stops as planned under load: each request that it reads is answered, however far
//! the request had come.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    io::{self, Write as _},
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use mimosavane::{
    ids::SoftwareVersion,
    ingress::{
        handover,
        host::HostSettings,
        origins::{
            book::Origin,
            rows::{SavedVersions, registration, saving},
        },
        routes::{Configuration, Route, RouteKind},
        stop::StopSchedule,
    },
    platform::standin::ReservedAddress,
    store::rows::RowStore as _,
};
use rows_support::{
    Rows,
    host::{TestHost, host_with, settings},
    page::{SERVICE, configuration, page_route, run, serve, upstream},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

const STOP_GRACE: Duration = Duration::from_secs(4);

/// How long after it was asked to stop a host accepts connections with this grace: as long as
/// the balancer may send some.
const ACCEPTING_TIME: Duration = Duration::from_millis(2_400);

/// Within which a host that has nothing left to answer ends after that.
const END_TIME: Duration = Duration::from_millis(600);

/// The timeout of calls, longer than a stop may take.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(10);

const REQUEST: &str = "GET /pages/1 HTTP/1.1\r\nhost: pages.example\r\nattempt-id: a1\r\n\r\n";
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\ncontent-length: 2\r\n\r\nok";

/// The end of an answer that has a length.
const ANSWER_END: &str = "\r\n\r\nok";

/// Returns a route of `kind` whose calls may last longer than a stop.
fn long_route(kind: RouteKind) -> Route {
    Route {
        timeout: ROUTE_TIMEOUT,
        ..page_route(kind)
    }
}

/// Creates a host that sends calls on `route` to `address`.
fn listing_host(
    settings: HostSettings,
    rows: &Rows,
    route: Route,
    address: SocketAddr,
) -> TestHost {
    let host = host_with(settings, rows);
    let mut view = host.view.borrow_mut();
    let configuration = Configuration {
        routes: vec![route.into()],
        ..configuration(RouteKind::Idempotent)
    };
    view.configuration = Some(configuration.into());
    view.directory.put(upstream("i-1", 1, address));
    drop(view);
    host
}

/// A host that serves clients until it is asked to stop.
struct Running {
    host: TestHost,
    clients: SocketAddr,
    stop: oneshot::Sender<()>,
    end: JoinHandle<io::Result<()>>,
    _reserved: [ReservedAddress; 2],
}

impl Running {
    /// Starts a host that sends calls on a route of `kind` to `address`.
    async fn start(kind: RouteKind, address: SocketAddr) -> Self {
        Self::start_on(&Rows::default(), long_route(kind), address).await
    }

    /// Starts such a host on the store `rows`, for calls on `route`.
    async fn start_on(rows: &Rows, route: Route, address: SocketAddr) -> Self {
        Self::start_with(STOP_GRACE, rows, route, address).await
    }

    /// Starts such a host, which may take `stop_grace` to stop.
    async fn start_with(
        stop_grace: Duration,
        rows: &Rows,
        route: Route,
        address: SocketAddr,
    ) -> Self {
        let reserved = std::array::from_fn(|_| ReservedAddress::new().unwrap());
        let [clients, ready] = reserved.each_ref().map(|reserved| reserved.address);
        let settings = HostSettings {
            client_address: clients,
            ready_address: ready,
            stop_grace,
            ..settings()
        };
        rows.fail_reads(Some(""));
        let host = listing_host(settings, rows, route, address);
        let (stop, stopped) = oneshot::channel();
        let end = spawn_local(host.clone().run(async { drop(stopped.await) }));
        while TcpStream::connect(clients).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        Self {
            host,
            clients,
            stop,
            end,
            _reserved: reserved,
        }
    }

    /// Asks the host to stop, and returns when it was asked.
    fn stop(self) -> Stopping {
        self.stop.send(()).unwrap();
        Stopping {
            at: Instant::now(),
            end: self.end,
        }
    }
}

/// A host that was asked to stop.
struct Stopping {
    at: Instant,
    end: JoinHandle<io::Result<()>>,
}

impl Stopping {
    /// Asserts that the host ends within `time` from now.
    async fn assert_ended(self, time: Duration) {
        timeout(time, self.end).await.unwrap().unwrap().unwrap();
    }
}

/// Reads until the host closes the connection, or for 5 s.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    // An error is a connection that was cut; the text shows what came before it.
    drop(timeout(Duration::from_secs(5), stream.read_to_end(&mut text)).await);
    String::from_utf8(text).unwrap()
}

/// Asserts that `text` is one whole answer, after which its connection closes.
fn assert_whole(what: &str, text: &str) {
    assert_ended(what, text, ANSWER_END);
}

/// Asserts that `text` is one answer that ends with `end`, after which its connection closes.
fn assert_ended(what: &str, text: &str, end: &str) {
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{what}: {text:?}");
    assert!(text.ends_with(end), "{what}: {text:?}");
    assert!(text.contains("connection: close"), "{what}: {text:?}");
}

async fn upstream_of_pages() -> (SocketAddr, Rc<std::cell::Cell<usize>>) {
    serve(|_, _| (ANSWER, false)).await
}

/// Returns `request` with a deadline `deadline_ms` after its head is read.
fn with_deadline(request: &str, deadline_ms: u64) -> String {
    let end = format!("\r\ndeadline-ms: {deadline_ms}\r\n\r\n");
    request.replacen("\r\n\r\n", &end, 1)
}

/// Sends `request` in two parts, the second after the host has stopped accepting. It ends
/// before the host does.
fn play_halves(request: &str) {
    run(async {
        let (address, _) = upstream_of_pages().await;
        let host = Running::start(RouteKind::Idempotent, address).await;
        let mut halves = Vec::new();
        for length in [1, 20, request.len() - 2] {
            let mut stream = TcpStream::connect(host.clients).await.unwrap();
            let has_head = request[..length].contains("\r\n\r\n");
            let request = with_deadline(request, if has_head { 3_400 } else { 400 });
            let length = if length > 20 {
                request.len() - 2
            } else {
                length
            };
            let (first, rest) = request.as_bytes().split_at(length);
            stream.write_all(first).await.unwrap();
            halves.push((stream, length, rest.to_vec()));
        }
        sleep(Duration::from_millis(50)).await;
        let stopping = host.stop();
        sleep(ACCEPTING_TIME + Duration::from_millis(300)).await;
        for (stream, length, rest) in &mut halves {
            let what = format!("{length} bytes before the stop");
            stream.write_all(rest).await.expect(&what);
            assert_whole(&what, &read_all(stream).await);
        }
        stopping.assert_ended(END_TIME).await;
    });
}

#[test]
fn half_read_heads() {
    play_halves(REQUEST);
}

#[test]
fn half_read_bodies() {
    let head = REQUEST
        .replace("GET", "POST")
        .replace("\r\n\r\n", "\r\ncontent-length: 400\r\n\r\n");
    play_halves(&format!("{head}{}", "b".repeat(400)));
}

/// Connections that wait to be accepted when the host stops accepting, with and without
/// their requests.
#[test]
fn accept_queue() {
    let request = with_deadline(REQUEST, 400);
    run(async move {
        let (address, _) = upstream_of_pages().await;
        let host = Running::start(RouteKind::Idempotent, address).await;
        let clients = host.clients;
        let stopping = host.stop();
        sleep(ACCEPTING_TIME - Duration::from_millis(60)).await;
        // The host runs on this thread: it accepts nothing before the time is over.
        let queued: Vec<_> = (0..40)
            .map(|number| {
                let mut stream = std::net::TcpStream::connect(clients).unwrap();
                if number % 2 == 0 {
                    stream.write_all(request.as_bytes()).unwrap();
                }
                stream.set_nonblocking(true).unwrap();
                (number, TcpStream::from_std(stream).unwrap())
            })
            .collect();
        thread::sleep(Duration::from_millis(100));
        sleep(Duration::from_millis(50)).await;
        for (number, mut stream) in queued {
            if number % 2 == 1 {
                stream.write_all(request.as_bytes()).await.unwrap();
            }
            assert_whole(&number.to_string(), &read_all(&mut stream).await);
        }
        stopping.assert_ended(END_TIME).await;
    });
}

/// Two requests in one write. After an answer that closes its connection nothing of the
/// second has run.
#[test]
fn pipelined_requests() {
    run(async {
        let (address, request_count) = upstream_of_pages().await;
        let host = Running::start(RouteKind::NonIdempotent, address).await;
        let clients = host.clients;
        let mut early = TcpStream::connect(clients).await.unwrap();
        early.write_all(REQUEST.repeat(2).as_bytes()).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        assert_eq!(request_count.get(), 2, "both run before the stop");
        let stopping = host.stop();
        sleep(Duration::from_millis(50)).await;
        let mut late = TcpStream::connect(clients).await.unwrap();
        late.write_all(REQUEST.repeat(2).as_bytes()).await.unwrap();
        assert_whole("late", &read_all(&mut late).await);
        assert_eq!(request_count.get(), 3, "the second has not run");
        let text = read_all(&mut early).await;
        assert_eq!(text.matches("\r\n\r\nok").count(), 2, "{text:?}");
        stopping.assert_ended(ACCEPTING_TIME + END_TIME).await;
    });
}

/// The number of pieces, each 0.1 s, of an answer that ends after the host stops accepting.
const PIECE_COUNT: usize = 29;

/// Answers that come in pieces until after the host stops accepting.
#[test]
fn running_streams() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                spawn_local(async move {
                    let mut head = [0; 4_096];
                    let _ = stream.read(&mut head).await.unwrap();
                    let start = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
                                 transfer-encoding: chunked\r\n\r\n";
                    stream.write_all(start.as_bytes()).await.unwrap();
                    for _ in 0..PIECE_COUNT {
                        stream.write_all(b"5\r\npiece\r\n").await.unwrap();
                        sleep(Duration::from_millis(100)).await;
                    }
                    stream.write_all(b"0\r\n\r\n").await.unwrap();
                });
            }
        });
        let host = Running::start(RouteKind::Streaming, address).await;
        let mut stream = TcpStream::connect(host.clients).await.unwrap();
        stream.write_all(REQUEST.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        let stopping = host.stop();
        let text = read_all(&mut stream).await;
        assert_eq!(text.matches("piece").count(), PIECE_COUNT, "{text:?}");
        assert!(text.ends_with("0\r\n\r\n"), "{text:?}");
        stopping.assert_ended(END_TIME).await;
    });
}

/// Open connections without a request do not keep the host from ending.
#[test]
fn idle_connections() {
    run(async {
        let (address, _) = upstream_of_pages().await;
        let host = Running::start(RouteKind::Idempotent, address).await;
        let unused = TcpStream::connect(host.clients).await.unwrap();
        let mut used = TcpStream::connect(host.clients).await.unwrap();
        used.write_all(REQUEST.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        let stopping = host.stop();
        let stopped_at = stopping.at;
        stopping.assert_ended(ACCEPTING_TIME + END_TIME).await;
        assert!(stopped_at.elapsed() >= ACCEPTING_TIME);
        drop(unused);
        assert!(read_all(&mut used).await.ends_with("ok"));
    });
}

/// How long after it was asked to stop a host gets new connections at most: the balancer asks
/// once a second, takes it out after two misses, and a connection is on its way 0.4 s at most.
const BALANCER_TIME: Duration = Duration::from_millis(2_400);

/// Plays calls on kept connections of a host with `stop_grace` that come before and after the
/// balancer has taken the host out.
fn play_late_calls(stop_grace: Duration, kind: RouteKind, end: &str) {
    run(async {
        let (address, request_count) = upstream_of_pages().await;
        let host =
            Running::start_with(stop_grace, &Rows::default(), long_route(kind), address).await;
        let mut kept = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(host.clients).await.unwrap();
            stream.write_all(REQUEST.as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            while !answer.ends_with(end.as_bytes()) {
                answer.push(stream.read_u8().await.unwrap());
            }
            kept.push(stream);
        }
        let stopping = host.stop();
        let stopped_at = stopping.at;
        let wait_until =
            async |time: Duration| sleep(time.saturating_sub(stopped_at.elapsed())).await;
        let [early, last, late, short] = kept.as_mut_slice() else {
            unreachable!("four connections")
        };
        for (stream, time) in [
            (early, Duration::from_millis(300)),
            (last, BALANCER_TIME - Duration::from_millis(300)),
        ] {
            wait_until(time).await;
            stream.write_all(REQUEST.as_bytes()).await.unwrap();
            let text = read_all(stream).await;
            assert_ended("taken while new connections come", &text, end);
        }
        wait_until(BALANCER_TIME + Duration::from_millis(150)).await;
        let run_count = request_count.get();
        late.write_all(REQUEST.as_bytes()).await.unwrap();
        short
            .write_all(with_deadline(REQUEST, 400).as_bytes())
            .await
            .unwrap();
        let text = read_all(late).await;
        assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
        assert!(text.contains("retry-after: "), "{text:?}");
        assert!(text.contains("connection: close"), "{text:?}");
        assert_ended("ends before the host", &read_all(short).await, end);
        assert_eq!(
            request_count.get(),
            run_count + 1,
            "a refused call has not run"
        );
        stopping.assert_ended(stop_grace).await;
    });
}

/// A grace with which the connections of a host stay open longer than the balancer may send
/// some.
const LONGER_GRACE: Duration = Duration::from_secs(6);

/// The end of a stream.
const STREAM_END: &str = "2\r\nok\r\n0\r\n\r\n";

/// Guards against calls that are cut as the process ends, since they were taken late in the
/// stop and need longer than the host has left.
#[test]
fn late_long_calls() {
    play_late_calls(LONGER_GRACE, RouteKind::NonIdempotent, ANSWER_END);
}

/// The same, with streams.
#[test]
fn late_long_streams() {
    play_late_calls(LONGER_GRACE, RouteKind::Streaming, STREAM_END);
}

/// Guards against the same where the grace is long: the balancer takes a host out as soon as
/// with a short one, and a stream that comes later may outlast the host.
#[test]
fn late_streams_of_long_grace() {
    let stop_grace = Duration::from_secs(12);
    play_late_calls(stop_grace, RouteKind::Streaming, STREAM_END);
}

/// Guards against refusals while the balancer still sends new connections, where the grace is
/// short.
#[test]
fn new_connections_of_short_grace() {
    run(async {
        let (address, _) = upstream_of_pages().await;
        let host = Running::start(RouteKind::NonIdempotent, address).await;
        let clients = host.clients;
        let stopping = host.stop();
        sleep(BALANCER_TIME - Duration::from_millis(100)).await;
        let mut stream = TcpStream::connect(clients).await.unwrap();
        stream.write_all(REQUEST.as_bytes()).await.unwrap();
        assert_whole("a new connection", &read_all(&mut stream).await);
        stopping.assert_ended(STOP_GRACE).await;
    });
}

/// Returns the address of an upstream that accepts connections and never answers.
async fn silent_upstream() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Guards against calls without an answer that came before the signal: their upstream is still
/// silent as the process ends.
#[test]
fn calls_before_the_signal() {
    run(async {
        let (address, _listener) = silent_upstream().await;
        let host = Running::start(RouteKind::NonIdempotent, address).await;
        let mut stream = TcpStream::connect(host.clients).await.unwrap();
        stream.write_all(REQUEST.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        let stopping = host.stop();
        let text = read_all(&mut stream).await;
        assert!(text.starts_with("HTTP/1.1 504 "), "{text:?}");
        stopping.assert_ended(STOP_GRACE).await;
    });
}

/// The same, with a call that another host handed over.
#[test]
fn taken_calls() {
    run(async {
        let (address, _listener) = silent_upstream().await;
        let route = long_route(RouteKind::NonIdempotent);
        let host = listing_host(settings(), &Rows::default(), route, address);
        let request = Request::get("/calls/pages/1")
            .header("host", "pages.example")
            .header("attempt-id", "a1")
            .header("handover-attempts-left", "3")
            .header("handover-time-left-ms", "10000")
            .header("handover-configuration", "1")
            .body(())
            .unwrap();
        let (parts, ()) = request.into_parts();
        let taken = {
            let host = host.clone();
            spawn_local(async move { handover::answer(&host, &parts, &Bytes::new()).await })
        };
        sleep(Duration::from_millis(50)).await;
        let schedule = StopSchedule::new(host.now(), STOP_GRACE);
        host.stop.send_replace(Some(schedule));
        let reply = timeout(STOP_GRACE, taken).await.unwrap().unwrap().unwrap();
        assert_eq!(reply.status(), StatusCode::GATEWAY_TIMEOUT);
        assert!(reply.headers().contains_key("handover-taken"));
    });
}

/// Guards against calls that are passed on late because they waited: the store does not say at
/// once which version began the stream that this call takes up.
#[test]
fn calls_that_wait() {
    run(async {
        let (address, request_count) = upstream_of_pages().await;
        let rows = Rows::default();
        let versions = ["v1", "v2"].map(SoftwareVersion::from).into();
        let known = SavedVersions::default();
        rows.commit(&registration(SERVICE, &known, &versions).unwrap())
            .await
            .unwrap();
        let origin = Origin {
            service: SERVICE.into(),
            version: "v1".into(),
        };
        let begun = [("a0".into(), origin)];
        rows.commit(&saving(&begun, &[], Duration::ZERO).unwrap())
            .await
            .unwrap();
        let route = Route {
            is_resumable: true,
            ..long_route(RouteKind::Streaming)
        };
        let host = Running::start_on(&rows, route, address).await;
        while !host.host.origins.borrow().is_mixed(SERVICE) {
            sleep(Duration::from_millis(5)).await;
        }
        let mut stream = TcpStream::connect(host.clients).await.unwrap();
        rows.hold_reads_of(Some("origins"));
        let stopping = host.stop();
        let stopped_at = stopping.at;
        sleep(BALANCER_TIME - Duration::from_millis(300)).await;
        let resume = "\r\nlast-event-id: 5\r\nresumes: a0\r\n\r\n";
        let request = REQUEST.replacen("\r\n\r\n", resume, 1);
        stream.write_all(request.as_bytes()).await.unwrap();
        while rows.held_read_count() < 2 {
            assert!(
                stopped_at.elapsed() < STOP_GRACE,
                "the origin is not read twice"
            );
            sleep(Duration::from_millis(5)).await;
        }
        rows.hold_reads_of(None);
        rows.release_read(1);
        let text = read_all(&mut stream).await;
        assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
        assert_eq!(request_count.get(), 0, "a refused call has not run");
        stopping.assert_ended(STOP_GRACE).await;
    });
}

/// Guards against a stop that outlasts its grace, so that the platform kills the process: the
/// store does not answer as the host releases the lease.
#[test]
fn silent_store() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let rows = Rows::default();
        let host = Running::start_on(&rows, long_route(RouteKind::NonIdempotent), address).await;
        let is_leading = async {
            while rows.keys("leases", "fleet").is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(10), is_leading).await.unwrap();
        // The upstream accepts the call and never answers.
        let mut stream = TcpStream::connect(host.clients).await.unwrap();
        stream.write_all(REQUEST.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        rows.hold_answers();
        host.stop().assert_ended(STOP_GRACE).await;
    });
}
