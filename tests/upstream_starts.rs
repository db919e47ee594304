//! Streams and texts go on at the start of an upstream that is listed: another start under the
//! same id may have another software version (docs/design/software-versions.md).

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use http::StatusCode;
use http_body_util::BodyExt as _;
use mimosavane::{
    batch::scheduler::{RunEnd, Scheduler},
    ingress::{
        calls::{self, Call},
        origins::book::Origin,
        routes::{Route, RouteKind},
        runs,
        wire::Wire as _,
    },
    platform::PlatformWire,
    store::rows::{RowName, RowStore as _, RowTransaction},
};
use rows_support::{
    Rows,
    host::{TestHost, host},
    job,
    page::{SERVICE, item_run, page_call, page_route, run, serve, upstream},
};
use serde_json::json;

/// The answer to a stream that goes on with one event.
const STREAM: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
                      content-type: text/event-stream\r\ncontent-length: 15\r\n\r\n\
                      id: 4\ndata: d\n\n";

/// The upstream that starts again.
const UPSTREAM: &str = "i-1";

/// A host that lists the first start of an upstream, and what runs at its address.
struct Scene {
    rows: Rows,
    host: TestHost,
    address: SocketAddr,
    request_count: Rc<Cell<usize>>,
}

impl Scene {
    async fn start() -> Self {
        let (address, request_count) = serve(|_, _| (STREAM, false)).await;
        let rows = Rows::default();
        let host = host(&rows);
        let registered = BTreeMap::from([(SERVICE.into(), BTreeSet::from(["v1".into()]))]);
        let listed = BTreeSet::from([(SERVICE.into(), "v1".into())]);
        host.origins
            .borrow_mut()
            .set_registered(registered, 0, &listed);
        let scene = Self {
            rows,
            host,
            address,
            request_count,
        };
        scene.list(1);
        scene
    }

    /// Lists the start that began at `started_at_ms`, as the host hears of it.
    fn list(&self, started_at_ms: u64) {
        let listed = upstream(UPSTREAM, started_at_ms, self.address);
        self.host.view.borrow_mut().directory.put(listed);
    }

    /// Registers a start in the store.
    async fn register(&self, started_at_ms: u64, software_version: &str) {
        let entry = json!({
            "service": SERVICE, "address": self.address.to_string(), "zone": "mx-a",
            "version": software_version, "slots": 6, "state": "ready", "cold_remaining_ms": 0,
            "sequence": 1, "born": started_at_ms,
        });
        let name = RowName::new(PlatformWire::UPSTREAM_TABLE, "", UPSTREAM);
        let written = RowTransaction::default().put(name, entry.to_string());
        self.rows.commit(&written).await.unwrap();
    }

    /// Takes a stream up after its third event, and returns the status.
    async fn take_up(&self) -> StatusCode {
        let mut call: Call = page_call(&self.host, "a1", RouteKind::Streaming);
        call.route = Arc::new(Route {
            is_resumable: true,
            ..page_route(RouteKind::Streaming)
        });
        call.head.last_event = Some(3);
        call.head.resumed_attempt = Some("a0".into());
        let origin = Origin {
            service: SERVICE.into(),
            version: "v1".into(),
        };
        let now = self.host.now();
        self.host
            .origins
            .borrow_mut()
            .remember("a0".into(), origin, now);
        let reply = calls::forward(&self.host, &call).await;
        let status = reply.status();
        // The connection is kept once the answer is read.
        drop(reply.into_body().collect().await);
        status
    }

    /// Runs an item after its third event, and returns how the run ended.
    async fn run_item(&self) -> RunEnd {
        let item = job("job", 4, 10).items[0].clone();
        let run = item_run(&self.host, UPSTREAM, item, 1, 3);
        let scheduler = RefCell::new(Scheduler::default());
        runs::run(&self.host, &scheduler, &run).await.end
    }
}

/// Guards against streams of two software versions: an upstream is upgraded in place, and a
/// host that still lists the start before sends it a stream of that start's version.
#[test]
fn taken_up_stream() {
    run(async {
        let scene = Scene::start().await;
        scene.register(2, "v2").await;
        assert_eq!(scene.take_up().await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(scene.request_count.get(), 0, "the stream was sent");
    });
}

/// The new start has the version that began the stream, and gets it once it is listed.
#[test]
fn same_version_again() {
    run(async {
        let scene = Scene::start().await;
        scene.register(2, "v1").await;
        assert_eq!(scene.take_up().await, StatusCode::SERVICE_UNAVAILABLE);
        scene.list(2);
        assert_eq!(scene.take_up().await, StatusCode::OK);
        assert_eq!(
            scene.take_up().await,
            StatusCode::OK,
            "on a kept connection"
        );
        assert_eq!(scene.request_count.get(), 2);
    });
}

/// Guards against texts of items of two software versions, in the same way.
#[test]
fn resumed_item() {
    run(async {
        let scene = Scene::start().await;
        scene.register(2, "v2").await;
        assert_eq!(scene.run_item().await, RunEnd::WrongEngine);
        assert_eq!(scene.request_count.get(), 0, "the item was sent");
    });
}

/// Guards against a kept connection deciding for itself: it may lead to a start that is not
/// listed yet.
#[test]
fn kept_connection() {
    run(async {
        let scene = Scene::start().await;
        scene.register(1, "v1").await;
        assert_eq!(scene.take_up().await, StatusCode::OK);
        scene.register(2, "v2").await;
        assert_eq!(scene.take_up().await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(scene.request_count.get(), 1);
    });
}

/// Streams go on as listed where the store gives no entry.
#[test]
fn unreadable_store() {
    run(async {
        let scene = Scene::start().await;
        assert_eq!(scene.take_up().await, StatusCode::OK, "no entry");
        scene.register(1, "v1").await;
        scene.rows.fail_reads(Some(""));
        assert_eq!(scene.take_up().await, StatusCode::OK, "no answer");
        assert_eq!(scene.request_count.get(), 2);
    });
}
