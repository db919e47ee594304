//! An upstream states in its answers that it is leaving: the host that got such an
//! answer sends it nothing more, whatever the store says or cannot say.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use mimosavane::{
    ingress::{
        calls::{self, Call},
        directory::{Directory, Upstream},
        routes::{Route, RouteKind},
        wire::Wire as _,
    },
    platform::PlatformWire,
};
use rows_support::{
    Rows,
    host::{TestHost, host},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    runtime,
    task::{LocalSet, spawn_local},
};

const SERVICE: &str = "pages";

fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

fn upstream(id: &str, started_at_ms: u64, address: SocketAddr) -> Upstream {
    Upstream {
        id: id.into(),
        started_at_ms,
        service: SERVICE.into(),
        address,
        failure_domain: "mx-a".into(),
        slot_count: 6,
        is_draining: false,
        versions: BTreeMap::new(),
    }
}

/// Serves `answer` for each request, and counts the requests.
async fn serve(answer: &'static str) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Rc::new(Cell::new(0));
    let counter = request_count.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let counter = counter.clone();
            spawn_local(async move {
                let mut head = Vec::new();
                let mut byte = [0];
                while stream.read(&mut byte).await.unwrap_or(0) == 1 {
                    head.push(byte[0]);
                    if head.ends_with(b"\r\n\r\n") {
                        head.clear();
                        counter.set(counter.get() + 1);
                        stream.write_all(answer.as_bytes()).await.unwrap();
                    }
                }
            });
        }
    });
    (address, request_count)
}

fn page_call(host: &TestHost) -> Call {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/pages/1")
        .header("attempt-id", "a1")
        .body(())
        .unwrap();
    let (parts, ()) = request.into_parts();
    let route = Route {
        name: "pages".into(),
        authority: "pages.example".into(),
        path_prefix: "/pages/".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        priority: 0,
        splits: vec![(SERVICE.into(), 1.0)],
        max_attempts: 3,
        item_ttl: Duration::from_secs(60),
        result_due: Duration::from_secs(30),
        single_version: false,
        is_resumable: false,
    };
    Call {
        head: PlatformWire::client_head(&parts),
        parts,
        body: Bytes::new(),
        route: Arc::new(route),
        arrived_at: host.now(),
    }
}

const LEAVING_PAGE: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s\r\n\
    server-leaving: 1\r\ncontent-length: 2\r\n\r\nok";

const PAGE: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s\r\n\
    content-length: 2\r\n\r\nok";

/// Each kind of answer counts: of calls, refusals, failures, orders, and the head of a
/// stream that goes on.
#[test]
fn each_answer_kind() {
    let answers = [
        LEAVING_PAGE,
        "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nserver-leaving: 1\r\n\
         content-length: 0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 202 Accepted\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nserver-leaving: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    ];
    run(async {
        for answer in answers {
            let (address, _) = serve(answer).await;
            let host = host(&Rows::default());
            let listed = upstream("i-1", 1, address);
            host.view.borrow_mut().directory.put(listed.clone());
            let request = Request::builder()
                .uri("/")
                .header(header::HOST, "pages.example")
                .body(Full::default())
                .unwrap();
            let sent = calls::send(&host, &listed, request).await;
            assert!(sent.is_ok(), "{answer}");
            let directory = &mut host.view.borrow_mut().directory;
            assert!(
                directory.choose(SERVICE, "mx-a", &[], host.now()).is_none(),
                "{answer}"
            );
            assert!(directory.get(&"i-1".into()).unwrap().is_draining);
        }
    });
}

/// Another upstream answers at the address that was meant: its statement concerns
/// itself.
#[test]
fn answer_of_another() {
    run(async {
        let answer = "HTTP/1.1 421 Misdirected Request\r\nserver-leaving: 1\r\n\
            content-length: 0\r\n\r\n";
        let (address, _) = serve(answer).await;
        let host = host(&Rows::default());
        let listed = upstream("i-1", 1, address);
        host.view.borrow_mut().directory.put(listed.clone());
        let request = Request::builder().uri("/").body(Full::default()).unwrap();
        assert!(calls::send(&host, &listed, request).await.is_ok());
        assert!(
            !host
                .view
                .borrow()
                .directory
                .get(&"i-1".into())
                .unwrap()
                .is_draining
        );
    });
}

/// Calls go to the upstreams that stay, over pooled connections too. Once all are
/// leaving, calls are refused at once with a time to come back.
#[test]
fn calls_go_elsewhere() {
    run(async {
        let (leaving_address, leaving_count) = serve(LEAVING_PAGE).await;
        let (staying_address, staying_count) = serve(PAGE).await;
        let host = host(&Rows::default());
        let put = |listed| host.view.borrow_mut().directory.put(listed);
        put(upstream("i-leaving", 1, leaving_address));
        let answer = calls::forward(&host, &page_call(&host)).await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.headers()["server-leaving"], "1");
        answer.into_body().collect().await.unwrap();
        put(upstream("i-staying", 1, staying_address));
        for _ in 0..20 {
            let answer = calls::forward(&host, &page_call(&host)).await;
            assert_eq!(answer.status(), StatusCode::OK);
        }
        assert_eq!(leaving_count.get(), 1);
        assert_eq!(staying_count.get(), 20);
        host.view
            .borrow_mut()
            .directory
            .record_leaving(&upstream("i-staying", 1, staying_address));
        let started_at = Instant::now();
        let answer = calls::forward(&host, &page_call(&host)).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key(header::RETRY_AFTER));
        assert!(started_at.elapsed() < Duration::from_millis(100));
        assert_eq!(leaving_count.get() + staying_count.get(), 21);
    });
}

/// An older or newer listing of the same start does not undo the statement, even if
/// the entry was gone in between. A new start of the same id does.
#[test]
fn listing_after_statement() {
    let address = "127.0.0.1:80".parse().unwrap();
    let mut directory = Directory::default();
    let first = upstream("i-1", 7, address);
    let may_choose = |directory: &mut Directory| {
        let chosen = directory.choose(SERVICE, "mx-a", &[], Duration::ZERO);
        chosen.is_some()
    };
    directory.put(first.clone());
    assert!(directory.record_leaving(&first));
    assert!(!directory.record_leaving(&first));
    directory.put(first.clone());
    assert!(!may_choose(&mut directory));
    directory.remove(&"i-1".into(), Duration::from_secs(60));
    directory.put(first);
    assert!(!may_choose(&mut directory));
    directory.put(upstream("i-1", 8, address));
    assert!(may_choose(&mut directory));
    // A late answer of the first start says nothing of the second.
    directory.record_leaving(&upstream("i-1", 7, address));
    assert!(may_choose(&mut directory));
    // Nor does it undo what the second one states.
    directory.record_leaving(&upstream("i-1", 8, address));
    assert!(!directory.record_leaving(&upstream("i-1", 7, address)));
    directory.put(upstream("i-1", 8, address));
    assert!(!may_choose(&mut directory));
}
