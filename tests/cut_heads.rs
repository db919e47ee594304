//! An upstream, another host or the store stops in the middle of its answer, at any byte of
//! the head or behind it: what is not whole never looks whole, and nothing that may have run
//! is refused as not run.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http::StatusCode;
use http_body_util::BodyExt as _;
use mimosavane::{
    batch::{
        job::RewardRequest,
        reward::RewardEnd,
        scheduler::{Action, OrderState, Rights, RunEnd, Scheduler},
        weights::Load,
    },
    connection::{Limits, Pool},
    ids::FenceNumber,
    ingress::{
        calls,
        orders::{self, FenceSource},
        permits,
        replies::Reply,
        rewards::{self, RewardCall},
        routes::RouteKind,
        runs,
    },
    platform::store::PlatformStore,
    store::rows::{RowError, RowName, RowRange, RowStore as _, RowTransaction},
};
use rows_support::{
    Rows, engine,
    host::{TestHost, host},
    job,
    page::{SERVICE, configuration, item_run, page_call, run, upstream},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

const KINDS: [RouteKind; 3] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Streaming,
];

/// How an answer stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// The connection is closed.
    Close,
    /// The connection is closed some time after the last byte.
    LateClose,
    /// The connection is reset.
    Reset,
    /// The connection stays open.
    Never,
}

/// What an upstream writes on each connection.
#[derive(Clone, Debug)]
struct Script {
    /// The answer to the first of two requests, if there is one.
    first: Vec<u8>,
    /// The bytes of the answer that is cut.
    cut: Vec<u8>,
    stop: Stop,
}

/// Reads a request with its body. Returns false if there is none.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.unwrap_or(0) == 0 {
            return false;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.trim().parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.is_ok()
}

async fn play(mut stream: TcpStream, script: Script) {
    if !read_request(&mut stream).await {
        return;
    }
    if !script.first.is_empty() {
        stream.write_all(&script.first).await.unwrap();
        if !read_request(&mut stream).await {
            return;
        }
    }
    stream.write_all(&script.cut).await.unwrap();
    match script.stop {
        Stop::Close => {}
        Stop::LateClose => sleep(Duration::from_millis(20)).await,
        Stop::Reset => {
            // What was written must be read before the reset discards it.
            sleep(Duration::from_millis(5)).await;
            stream.set_zero_linger().unwrap();
        }
        Stop::Never => pending().await,
    }
}

/// Starts an upstream that follows `script`.
async fn upstream_of(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(play(stream, script.clone()));
        }
    });
    address
}

/// How many cases run at a time: few, since some calls wait 0.3 s for one upstream.
const CONCURRENT_COUNT: usize = 8;

/// Plays `case` with `answer` cut after each number of bytes and stopped in each way, and with
/// the whole answer; `case` gets what is whole of it.
async fn at_each_byte(first: &str, answer: &str, case: impl AsyncFn(SocketAddr, bool, &str)) {
    let play = async |length: usize, stop: Stop| {
        let script = Script {
            first: first.as_bytes().to_vec(),
            cut: answer.as_bytes()[..length].to_vec(),
            stop,
        };
        let what = format!("{stop:?} after {:?}", &answer[..length]);
        case(upstream_of(script).await, length == answer.len(), &what).await;
    };
    for stop in [Stop::Close, Stop::Reset, Stop::LateClose] {
        let lengths: Vec<usize> = (0..answer.len())
            // A pause matters between lines, and between the head and the body.
            .filter(|length| stop != Stop::LateClose || answer[..*length].ends_with('\n'))
            .collect();
        for lengths in lengths.chunks(CONCURRENT_COUNT) {
            join_all(lengths.iter().map(|length| play(*length, stop))).await;
        }
        play(answer.len(), stop).await;
    }
}

/// Returns answers to attempt `id`, with each framing and with each end of lines.
fn answers(id: &str, more: &str, body: &str) -> Vec<String> {
    let head = format!("attempt-id: {id}\r\nserver-stamp: s1\r\n{more}");
    let length = format!("content-length: {}\r\n", body.len());
    let chunked = "transfer-encoding: chunked\r\n";
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let status = "HTTP/1.1 200 OK\r\n";
    let mut answers = vec![
        format!("{status}{head}{length}\r\n{body}"),
        format!("{status}{length}{head}\r\n{body}"),
        format!("{status}{head}{chunked}\r\n{chunks}"),
        format!("{status}{chunked}{head}\r\n{chunks}"),
    ];
    let line_feeds = answers[0].replace("\r\n", "\n");
    answers.push(line_feeds);
    answers
}

/// Returns whether a reply is a success that looks whole.
async fn looks_whole(reply: Reply) -> bool {
    let is_success = reply.status().is_success();
    let mut body = reply.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    is_success
}

fn host_before(address: SocketAddr) -> TestHost {
    let host = host(&Rows::default());
    host.view
        .borrow_mut()
        .directory
        .put(upstream("i-1", 1, address));
    host
}

/// Asserts that the reply to a call that may have run says so, and looks whole only if it is.
async fn assert_true(reply: Reply, is_whole: bool, what: &str) {
    assert_ne!(reply.status(), StatusCode::SERVICE_UNAVAILABLE, "{what}");
    assert_eq!(looks_whole(reply).await, is_whole, "{what}");
}

async fn assert_call(address: SocketAddr, kind: RouteKind, is_whole: bool, what: &str) {
    let host = host_before(address);
    let reply = calls::forward(&host, &page_call(&host, "a1", kind)).await;
    assert_true(reply, is_whole, what).await;
}

const EVENT: &str = "id: 1\ndata: a\n\n";

/// Guards against answers that are cut and forwarded as whole, with an empty or short body.
#[test]
fn calls_and_streams() {
    run(async {
        for kind in KINDS {
            for answer in answers("a1", "", EVENT) {
                at_each_byte("", &answer, async |address, is_whole, what| {
                    assert_call(address, kind, is_whole, what).await;
                })
                .await;
            }
        }
    });
}

/// The same, behind interim answers, whose heads are whole.
#[test]
fn behind_interim_answers() {
    run(async {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
        for answer in answers("a1", "", EVENT).drain(..3) {
            let answer = format!("{interim}{answer}");
            at_each_byte("", &answer, async |address, is_whole, what| {
                assert_call(address, RouteKind::NonIdempotent, is_whole, what).await;
            })
            .await;
        }
    });
}

/// The same, with the second answer on a connection.
#[test]
fn on_kept_connections() {
    run(async {
        for kind in KINDS {
            let first = answers("a0", "", EVENT).remove(0);
            let second = answers("a1", "", EVENT).remove(0);
            at_each_byte(&first, &second, async |address, is_whole, what| {
                let host = host_before(address);
                let reply = calls::forward(&host, &page_call(&host, "a0", kind)).await;
                assert!(looks_whole(reply).await, "{what}");
                let reply = calls::forward(&host, &page_call(&host, "a1", kind)).await;
                assert_true(reply, is_whole, what).await;
            })
            .await;
        }
    });
}

/// The same, with calls that another host took, and whose answer stops there.
#[test]
fn handed_over_calls() {
    run(async {
        for kind in KINDS {
            let more = "handover-taken: 1\r\nhandover-answered-by: i-1\r\n";
            for answer in answers("a1", more, EVENT) {
                at_each_byte("", &answer, async |address, is_whole, what| {
                    let rows = Rows::default();
                    rows.set_peers([address]);
                    let host = host(&rows);
                    let now = host.now();
                    host.reach
                        .borrow_mut()
                        .record_probe(&SERVICE.into(), false, now);
                    host.view.borrow_mut().configuration = Some(configuration(kind).into());
                    let reply = calls::forward(&host, &page_call(&host, "a1", kind)).await;
                    assert_true(reply, is_whole, what).await;
                })
                .await;
            }
        }
    });
}

/// Guards against items that count as complete by an answer that is cut.
#[test]
fn item_runs() {
    run(async {
        let rights = Rights {
            may_start: true,
            may_order: false,
        };
        for answer in answers("a1", "weight-versions: 1\r\n", EVENT) {
            at_each_byte("", &answer, async |address, is_whole, what| {
                let host = host_before(address);
                let mut scheduler = Scheduler::default();
                scheduler.set_engines(vec![engine("i-1", 1)]);
                let now = host.now();
                scheduler.open(job("job", 1, 10), &BTreeSet::new(), Duration::ZERO, now);
                let started = scheduler.poll(now, rights);
                let [Action::Start { run, .. }] = &*started else {
                    panic!("{started:?}");
                };
                let mut item = scheduler.job(&"job".into()).unwrap().items[0].clone();
                item.id = "a1".into();
                let run = item_run(&host, "i-1", item, *run, 0);
                let end = runs::run(&host, &RefCell::new(scheduler), &run).await.end;
                assert_eq!(end == RunEnd::Completed, is_whole, "{what}: {end:?}");
                // The item is run again, and not given up.
                let is_broken = end == RunEnd::Broken;
                assert!(is_whole || is_broken, "{what}: {end:?}");
            })
            .await;
        }
    });
}

/// Guards against scores that are taken from an answer that is cut.
#[test]
fn reward_calls() {
    run(async {
        for answer in answers("a1", "", "0.5") {
            at_each_byte("", &answer, async |address, is_whole, what| {
                let host = host_before(address);
                let upstream = Arc::new(upstream("i-1", 1, address));
                let request = RewardRequest {
                    id: "a1".into(),
                    authority: "scores.example".to_owned(),
                    path: "/score/1".to_owned(),
                    body: Bytes::from_static(b"text"),
                };
                let call = RewardCall {
                    request: request.into(),
                    account: None,
                    permit: permits::take_as_issuer(&host, &upstream, 1).unwrap(),
                    upstream,
                    deadline: Duration::from_secs(2),
                    stall_timeout: Duration::from_secs(2),
                };
                let end = rewards::call(&host, &call).await.end;
                let is_scored = matches!(end, RewardEnd::Scored(_));
                assert_eq!(is_scored, is_whole, "{what}: {end:?}");
                let is_unknown = end == RewardEnd::Unknown;
                assert!(is_whole || is_unknown, "{what}: {end:?}");
            })
            .await;
        }
    });
}

/// A lease that is held.
struct Held;

impl FenceSource for Held {
    fn fence(&self) -> Option<FenceNumber> {
        Some(7)
    }
}

/// Sends an order, the number of those before known or not, and returns what it came to.
async fn order(address: SocketAddr, known_count: Option<u64>) -> Option<OrderState> {
    let host = host_before(address);
    let load = Load {
        engine: "i-1".into(),
        model: "m".into(),
        version: 2,
    };
    let counts: BTreeMap<_, _> = known_count
        .map(|count| (("i-1".into(), 1), count))
        .into_iter()
        .collect();
    let upstream = upstream("i-1", 1, address);
    orders::order_load(&host, &Held, &upstream, &load, &RefCell::new(counts)).await
}

/// Guards against orders that count as accepted by a head that is cut. Only the head says
/// what became of an order.
#[test]
fn orders_to_engines() {
    run(async {
        let answer = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
        at_each_byte("", answer, async |address, is_whole, what| {
            let state = order(address, Some(0)).await;
            assert_eq!(state.is_some(), is_whole, "{what}");
        })
        .await;
    });
}

/// Guards against an order that keeps its engine from others for ever: the body of its answer
/// never ends.
#[test]
fn endless_answer_to_an_order() {
    run(async {
        let script = Script {
            first: Vec::new(),
            cut: b"HTTP/1.1 202 Accepted\r\ncontent-length: 9\r\n\r\n".to_vec(),
            stop: Stop::Never,
        };
        let address = upstream_of(script).await;
        let state = timeout(Duration::from_secs(3), order(address, Some(0))).await;
        assert_eq!(state, Ok(Some(OrderState::Loading)));
    });
}

/// Guards against reports of engines that are cut and taken as whole.
#[test]
fn reports_of_engines() {
    run(async {
        let report = r#"{"stage":"hybrid","models":[{"name":"m","version":2,"adapters":[]}],"busy":false,"sequence":2}"#;
        for answer in answers("a1", "", report) {
            at_each_byte("", &answer, async |address, is_whole, what| {
                let state = order(address, None).await;
                assert_eq!(state.is_some(), is_whole, "{what}");
            })
            .await;
        }
    });
}

/// Guards against answers of the store that are cut: a read fails, and the outcome of a write
/// is not known.
#[test]
fn answers_of_the_store() {
    run(async {
        let page = r#"{"rows":[{"part":"p","key":"k","value":"YQ==","ver":3}],"ver":4,"now_ms":5,"has_more":false}"#;
        let range = RowRange {
            table: "t",
            partition: "p".to_owned(),
            from: String::new(),
            to: String::new(),
            limit_count: 5,
        };
        for answer in answers("a1", "", page) {
            at_each_byte("", &answer, async |address, is_whole, what| {
                let store = PlatformStore::new(Pool::new(Limits::default()), address);
                let read = store.read(&range).await;
                assert_eq!(read.is_ok(), is_whole, "{what}: {read:?}");
            })
            .await;
        }
        let applied = r#"{"ver":4,"now_ms":5}"#;
        let name = RowName::new("t", "p", "k");
        let transaction = RowTransaction::default().put(name, Bytes::from_static(b"a"));
        for answer in answers("a1", "", applied) {
            at_each_byte("", &answer, async |address, is_whole, what| {
                let store = PlatformStore::new(Pool::new(Limits::default()), address);
                match store.commit(&transaction).await {
                    Ok(_) => assert!(is_whole, "{what}"),
                    Err(error) => {
                        assert!(!is_whole, "{what}: {error:?}");
                        assert!(matches!(error, RowError::Unknown), "{what}: {error:?}");
                    }
                }
            })
            .await;
        }
    });
}

/// Guards against streams without an event that look whole. An answer without a length ends
/// with its connection, unless that is reset.
#[test]
fn answers_without_length() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\r\n";
        let answer = format!("{head}{EVENT}");
        for kind in KINDS {
            for length in 0..=answer.len() {
                for stop in [Stop::Close, Stop::Reset] {
                    let script = Script {
                        first: Vec::new(),
                        cut: answer.as_bytes()[..length].to_vec(),
                        stop,
                    };
                    let what = format!("{kind:?}, {stop:?} after {:?}", &answer[..length]);
                    let is_stream = kind == RouteKind::Streaming;
                    let may_be_whole = length >= head.len() && stop == Stop::Close;
                    let is_whole = may_be_whole && (!is_stream || length == answer.len());
                    let address = upstream_of(script).await;
                    assert_call(address, kind, is_whole, &what).await;
                }
            }
        }
    });
}
