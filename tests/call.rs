//! The call path over real sockets with failing upstreams.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod doubles;

use std::{
    sync::{Arc, atomic::Ordering},
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use doubles::{
    TestHost,
    claims::{FakeClaimStore, Fault},
    get, host, host_with_protocol, keyed_post, post,
    upstream::{self, Behaviour, Http2Fault},
};
use futures_util::poll;
use http::Request;
use http_body_util::BodyExt;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mimosavane::{
    call::gate::CallSpec, connection::Protocol, control::decision::Kind, retry::Deadline,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

async fn host_with_upstream(behaviour: Behaviour) -> (TestHost, upstream::FakeUpstream) {
    let fake = upstream::spawn(behaviour).await;
    (host(&[fake.address], &FakeClaimStore::default()), fake)
}

#[tokio::test]
async fn whole_answer() {
    let (host, fake) = host_with_upstream(Behaviour::Answer).await;
    for _ in 0..3 {
        let answer = host.outcome(post("one lunch")).await;
        assert_eq!(answer, (200, "answered".into(), Some("one lunch".into())));
    }
    assert_eq!(fake.run_count(), 3);
    assert_eq!(fake.connections.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn error_answer() {
    let (host, _fake) = host_with_upstream(Behaviour::AnswerError).await;
    let answer = host.outcome(post("one lunch")).await;
    assert_eq!(answer, (500, "answered".into(), Some("no".into())));
}

/// Each failure has its own outcome, and a POST without a key runs at most once.
#[tokio::test]
async fn failed_post() {
    let cases = [
        (Behaviour::Refuse, "not-run", 503, 0),
        (Behaviour::CloseAtOnce, "unknown", 502, 0),
        (Behaviour::CloseHalfRead, "unknown", 502, 0),
        (Behaviour::RunAndClose, "unknown", 502, 1),
        (Behaviour::CutLength, "unknown", 502, 1),
        (Behaviour::Undelimited, "unknown", 502, 1),
        (Behaviour::OtherAttempt, "unknown", 502, 1),
        (Behaviour::SilentFirst, "unknown", 504, 1),
    ];
    for (behaviour, outcome, status, runs) in cases {
        let (host, fake) = host_with_upstream(behaviour).await;
        let got = host.outcome(post("one lunch")).await;
        let is_early_close = behaviour == Behaviour::CloseAtOnce && got.1 == "not-run";
        assert!(
            is_early_close || (got.0, got.1.as_str()) == (status, outcome),
            "{behaviour:?}: {got:?}"
        );
        assert_eq!(fake.run_count(), runs, "{behaviour:?}");
    }
}

#[tokio::test]
async fn closed_port() {
    let address = upstream::closed_address().await;
    let host = host(&[address], &FakeClaimStore::default());
    let (status, outcome, _) = host.outcome(post("one lunch")).await;
    assert_eq!((status, outcome.as_str()), (503, "not-run"));
}

#[tokio::test]
async fn refused_port_moves() {
    let fake = upstream::spawn(Behaviour::Answer).await;
    let dead = upstream::closed_address().await;
    let host = host(&[dead, fake.address], &FakeClaimStore::default());
    for _ in 0..20 {
        // Nothing was sent on a connection that never opened, so even a POST may
        // be sent to another upstream.
        assert_eq!(host.outcome(post("one lunch")).await.1, "answered");
    }
    assert_eq!(fake.run_count(), 20);
}

#[tokio::test]
async fn idempotent_moves() {
    let broken = upstream::spawn(Behaviour::RunAndClose).await;
    let fake = upstream::spawn(Behaviour::Answer).await;
    let host = host(&[broken.address, fake.address], &FakeClaimStore::default());
    for _ in 0..20 {
        assert_eq!(host.outcome(get("/titles")).await.1, "answered");
    }
    assert!(broken.run_count() > 0);
}

/// A POST that may have run must not be retried, even if a healthy upstream is
/// available.
#[tokio::test]
async fn post_never_repeated() {
    for behaviour in [
        Behaviour::RunAndClose,
        Behaviour::CutLength,
        Behaviour::SilentFirst,
    ] {
        let broken = upstream::spawn(behaviour).await;
        let fake = upstream::spawn(Behaviour::Answer).await;
        let host = host(&[broken.address, fake.address], &FakeClaimStore::default());
        let mut unknown = 0;
        for _ in 0..10 {
            let (_, outcome, _) = host.outcome(post("one lunch")).await;
            unknown += u32::from(outcome == "unknown");
        }
        assert!(unknown > 0, "{behaviour:?}");
        assert_eq!(broken.run_count() + fake.run_count(), 10, "{behaviour:?}");
    }
}

#[tokio::test]
async fn stale_connection() {
    let (host, fake) = host_with_upstream(Behaviour::AnswerAndClose).await;
    for round in 1..=5 {
        let answer = host.outcome(post("one lunch")).await;
        assert_eq!(answer.1, "answered", "round {round}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fake.run_count(), 5);
}

/// A duplicate response must not be taken for the response to the next call.
#[tokio::test]
async fn duplicate_answer() {
    let (host, _fake) = host_with_upstream(Behaviour::AnswerTwice).await;
    for body in ["first", "second", "third"] {
        let (_, outcome, answer) = host.outcome(post(body)).await;
        if outcome == "answered" {
            assert_eq!(answer, Some(Bytes::from(body)));
        }
    }
}

#[tokio::test]
async fn late_answer() {
    let late = Duration::from_millis(150);
    let (host, _fake) = host_with_upstream(Behaviour::Late(late)).await;
    let mut first = post("first");
    let headers = first.headers_mut();
    headers.insert("x-deadline-ms", "50".parse().unwrap());
    let (status, outcome, _) = host.outcome(first).await;
    assert_eq!((status, outcome.as_str()), (504, "unknown"));
    let answer = host.outcome(post("second")).await;
    assert_eq!(answer.2, Some(Bytes::from("second")));
}

#[tokio::test]
async fn silent_connection() {
    let (mut host, fake) = host_with_upstream(Behaviour::SilentFirst).await;
    let started = Instant::now();
    let (_, outcome, _) = host.outcome(post("one lunch")).await;
    assert_eq!(outcome, "unknown");
    assert!(started.elapsed() < Duration::from_secs(2));
    let mut kinds = Vec::new();
    while let Ok(decision) = host.decisions.try_recv() {
        kinds.push(decision.kind);
    }
    assert!(kinds.contains(&Kind::Connection), "{kinds:?}");
    // The upstream is healthy, so the next call is sent to it immediately.
    assert_eq!(host.context.gate.ejected_count("roll"), 0);
    assert_eq!(host.outcome(post("another")).await.1, "answered");
    assert_eq!(fake.run_count(), 2);
}

#[tokio::test]
async fn silent_moves() {
    let silent = upstream::spawn(Behaviour::SilentFirst).await;
    let fake = upstream::spawn(Behaviour::Answer).await;
    let host = host(&[silent.address, fake.address], &FakeClaimStore::default());
    for _ in 0..10 {
        assert_eq!(host.outcome(get("/titles")).await.1, "answered");
    }
    assert!(silent.run_count() > 0);
}

/// Serves one connection through the call path and returns the raw response.
async fn raw_answer(behaviour: Behaviour) -> String {
    let (host, _fake) = host_with_upstream(behaviour).await;
    let host = Arc::new(host);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|request: Request<hyper::body::Incoming>| {
            let host = host.clone();
            async move {
                let (parts, body) = request.into_parts();
                let body = body.collect().await?.to_bytes();
                let response = host.call(Request::from_parts(parts, body)).await;
                Ok::<_, hyper::Error>(response)
            }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let _ = served.await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /titles HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

#[tokio::test]
async fn cut_stream() {
    for behaviour in [Behaviour::CutChunked, Behaviour::SilentStream] {
        let answer = raw_answer(behaviour).await;
        assert!(answer.contains("half"), "{behaviour:?}: {answer}");
        let is_terminated = answer.ends_with("0\r\n\r\n");
        assert!(!is_terminated, "{behaviour:?}: {answer}");
    }
}

#[tokio::test]
async fn protocol_refusals() {
    let cases = [
        (Http2Fault::RefuseStream, "not-run"),
        (Http2Fault::GoAwayExcluding, "not-run"),
        (Http2Fault::CancelStream, "unknown"),
        (Http2Fault::GoAwayIncluding, "unknown"),
    ];
    for (fault, expected) in cases {
        let address = upstream::spawn_http2(fault).await;
        let host = host_with_protocol(&[address], &FakeClaimStore::default(), Protocol::Http2);
        let (_, outcome, _) = host.outcome(post("one lunch")).await;
        assert_eq!(outcome, expected, "{fault:?}");
    }
}

#[tokio::test]
async fn repeated_key() {
    let fake = upstream::spawn(Behaviour::Answer).await;
    let claims = FakeClaimStore::default();
    let hosts = [
        host(&[fake.address], &claims),
        host(&[fake.address], &claims),
    ];
    for host in &hosts {
        let answer = host.outcome(keyed_post("k1", "one lunch")).await;
        assert_eq!(answer, (200, "answered".into(), Some("one lunch".into())));
    }
    assert_eq!(fake.run_count(), 1);
    let reused = hosts[0].outcome(keyed_post("k1", "two lunches")).await;
    assert_eq!((reused.0, reused.1.as_str()), (422, "not-run"));
}

#[tokio::test]
async fn simultaneous_key() {
    let fake = upstream::spawn(Behaviour::Late(Duration::from_millis(100))).await;
    let claims = FakeClaimStore::default();
    let first = host(&[fake.address], &claims);
    let second = host(&[fake.address], &claims);
    let (one, two) = tokio::join!(
        first.outcome(keyed_post("k1", "one lunch")),
        second.outcome(keyed_post("k1", "one lunch")),
    );
    let mut statuses = [one.0, two.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    assert_eq!(fake.run_count(), 1);
}

/// A keyed call whose caller disconnects is still completed and recorded.
#[tokio::test]
async fn caller_gone() {
    let fake = upstream::spawn(Behaviour::Late(Duration::from_millis(100))).await;
    let claims = FakeClaimStore::default();
    let first = host(&[fake.address], &claims);
    let second = host(&[fake.address], &claims);
    let patience = Duration::from_millis(50);
    let call = first.outcome(keyed_post("k1", "one lunch"));
    assert!(tokio::time::timeout(patience, call).await.is_err());
    let mut answer = second.outcome(keyed_post("k1", "one lunch")).await;
    for _ in 0..500 {
        if answer.0 != 409 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        answer = second.outcome(keyed_post("k1", "one lunch")).await;
    }
    assert_eq!(answer, (200, "answered".into(), Some("one lunch".into())));
    assert_eq!(fake.run_count(), 1);
}

#[tokio::test]
async fn lost_claim_answer() {
    for fault in [Fault::AnswerLost, Fault::RequestLost] {
        let fake = upstream::spawn(Behaviour::Answer).await;
        let claims = FakeClaimStore::default();
        claims.fail_next([fault]);
        let host = host(&[fake.address], &claims);
        assert_eq!(
            host.outcome(keyed_post("k1", "one lunch")).await.1,
            "answered"
        );
        assert_eq!(
            host.outcome(keyed_post("k1", "one lunch")).await.1,
            "answered"
        );
        assert_eq!(fake.run_count(), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn claim_store_down() {
    let fake = upstream::spawn(Behaviour::Answer).await;
    let claims = FakeClaimStore::default();
    claims.set_down(true);
    let host = host(&[fake.address], &claims);
    let response = host.call(keyed_post("k1", "one lunch")).await;
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["x-mimosavane-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(fake.run_count(), 0);
    // Calls without a key and idempotent calls do not need the store.
    assert_eq!(host.outcome(post("one lunch")).await.1, "answered");
    assert_eq!(host.outcome(get("/titles")).await.1, "answered");
    claims.set_down(false);
    assert_eq!(
        host.outcome(keyed_post("k1", "one lunch")).await.1,
        "answered"
    );
}

#[tokio::test]
async fn unknown_stays_unknown() {
    let broken = upstream::spawn(Behaviour::RunAndClose).await;
    let fake = upstream::spawn(Behaviour::Answer).await;
    let claims = FakeClaimStore::default();
    let first = host(&[broken.address], &claims);
    let second = host(&[fake.address], &claims);
    assert_eq!(
        first.outcome(keyed_post("k1", "one lunch")).await.1,
        "unknown"
    );
    assert_eq!(
        second.outcome(keyed_post("k1", "one lunch")).await.1,
        "unknown"
    );
    assert_eq!((broken.run_count(), fake.run_count()), (1, 0));
}

#[tokio::test]
async fn released_claim() {
    let fake = upstream::spawn(Behaviour::Answer).await;
    let claims = FakeClaimStore::default();
    let first = host(&[upstream::closed_address().await], &claims);
    let second = host(&[fake.address], &claims);
    assert_eq!(
        first.outcome(keyed_post("k1", "one lunch")).await.1,
        "not-run"
    );
    assert_eq!(
        second.outcome(keyed_post("k1", "one lunch")).await.1,
        "answered"
    );
    assert_eq!(fake.run_count(), 1);
}

/// A grant that arrives while its call leaves the queue is released, so it does
/// not use up the limit.
#[tokio::test]
async fn caller_leaves_queue() {
    let (host, _fake) = host_with_upstream(Behaviour::Answer).await;
    let gate = &host.context.gate;
    let pool = "roll".into();
    let spec = CallSpec {
        pool: &pool,
        deadline: Deadline::after(gate.now(), Duration::from_secs(60)),
        idempotent: true,
        tried: &[],
    };
    for _ in 0..10 {
        let mut permits = Vec::new();
        let mut waiting = Box::pin(gate.enter(spec));
        while let Poll::Ready(permit) = poll!(&mut waiting) {
            permits.push(permit.unwrap());
            waiting = Box::pin(gate.enter(spec));
        }
        assert_eq!(permits.len(), 4);
        permits.pop();
        drop(waiting);
    }
}

#[tokio::test]
async fn bad_headers() {
    let (host, fake) = host_with_upstream(Behaviour::Answer).await;
    for (name, value) in [("x-deadline-ms", "soon"), ("idempotency-key", "")] {
        let mut request = post("one lunch");
        request.headers_mut().insert(name, value.parse().unwrap());
        let (status, outcome, _) = host.outcome(request).await;
        assert_eq!((status, outcome.as_str()), (400, "not-run"), "{name}");
    }
    assert_eq!(fake.run_count(), 0);
}
