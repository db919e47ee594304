//! Upstreams on real sockets that answer with given bytes, and calls to them.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]
#![allow(dead_code, reason = "each test uses a part")]

use std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use mimosavane::{
    batch::{
        job::{EventNumber, Item},
        scheduler::RunNumber,
    },
    ingress::{
        calls::Call,
        directory::Upstream,
        permits,
        routes::{ClientLimits, Configuration, Route, RouteKind},
        runs::Run,
        wire::Wire as _,
    },
    platform::PlatformWire,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    runtime,
    task::{LocalSet, spawn_local},
};

use super::host::TestHost;

/// The service of all upstreams.
pub const SERVICE: &str = "pages";

/// Runs `test` on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Returns an upstream of [`SERVICE`].
pub fn upstream(id: &str, started_at_ms: u64, address: SocketAddr) -> Upstream {
    Upstream {
        id: id.into(),
        started_at_ms,
        service: SERVICE.into(),
        address,
        failure_domain: "mx-a".into(),
        slot_count: 6,
        is_draining: false,
        software_version: "v1".into(),
        versions: BTreeMap::new(),
        is_spot: false,
        leaves_in: None,
    }
}

/// Serves `answers`, which gets the numbers of the connection and of the request on
/// it, both from 0, and returns the bytes to write and whether the connection ends
/// after them. Counts the requests.
pub async fn serve(
    answers: impl Fn(usize, usize) -> (&'static str, bool) + 'static,
) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Rc::new(Cell::new(0));
    let counter = request_count.clone();
    let answers = Rc::new(answers);
    spawn_local(async move {
        for connection in 0.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (counter, answers) = (counter.clone(), answers.clone());
            spawn_local(async move {
                let mut head = Vec::new();
                let mut byte = [0];
                let mut number = 0;
                while stream.read(&mut byte).await.unwrap_or(0) == 1 {
                    head.push(byte[0]);
                    if head.ends_with(b"\r\n\r\n") {
                        head.clear();
                        counter.set(counter.get() + 1);
                        let (answer, is_last) = answers(connection, number);
                        number += 1;
                        // The host may have closed the connection.
                        let written = stream.write_all(answer.as_bytes()).await;
                        if is_last || written.is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    (address, request_count)
}

/// Returns a client's call with the id `id` on a route of `kind`.
pub fn page_call(host: &TestHost, id: &str, kind: RouteKind) -> Call {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/pages/1")
        .header("attempt-id", id)
        .body(())
        .unwrap();
    let (parts, ()) = request.into_parts();
    let route = page_route(kind);
    let head = PlatformWire::client_head(&parts);
    Call::new(parts, Bytes::new(), Arc::new(route), head, host.now())
}

/// Returns a run of `item` at the listed upstream with the id `upstream`, after the event
/// `last_event`.
pub fn item_run(
    host: &TestHost,
    upstream: &str,
    item: Item,
    number: RunNumber,
    last_event: EventNumber,
) -> Run {
    let listed = host.view.borrow().directory.get(&upstream.into()).cloned();
    let upstream = listed.unwrap();
    Run {
        number,
        authority: "jobs.example".to_owned(),
        account: None,
        item,
        permit: permits::take_as_issuer(host, &upstream, 1).unwrap(),
        upstream,
        last_event,
    }
}

/// Returns a route of `kind` to [`SERVICE`].
pub fn page_route(kind: RouteKind) -> Route {
    Route {
        name: "pages".into(),
        authority: "pages.example".into(),
        path_prefix: "/pages/".into(),
        kind,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        priority: 0,
        splits: vec![(SERVICE.into(), 1.0)],
        max_attempts: 3,
        item_ttl: Duration::from_secs(60),
        result_due: Duration::from_secs(30),
        single_version: false,
        is_resumable: false,
        is_public: false,
    }
}

/// Returns a configuration with the route of [`page_route`].
pub fn configuration(kind: RouteKind) -> Configuration {
    Configuration {
        version: 1,
        routes: vec![Arc::new(page_route(kind))],
        services: BTreeMap::new(),
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(10),
        },
        accounts: None,
    }
}
