//! Streams and texts go on at the start of an upstream that is listed: another start under the
//! same id may have another software version (docs/design/software-versions.md).

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::Cell,
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
        permits,
        routes::{Route, RouteKind},
        runs::{self, Run},
    },
};
use rows_support::{
    Rows,
    host::{TestHost, host},
    job,
    page::{SERVICE, page_call, page_route, run, serve_reporting, upstream},
};

/// The answer to a stream that goes on with one event.
const STREAM: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
                      content-type: text/event-stream\r\ncontent-length: 15\r\n\r\n\
                      id: 4\ndata: d\n\n";

/// The reports of the first and the second start of an upstream.
const REPORTS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"born\":1}",
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"born\":2}",
];

/// An upstream of which the second start runs at its address.
struct Restarted {
    address: SocketAddr,
    request_count: Rc<Cell<usize>>,
    report_count: Rc<Cell<usize>>,
}

impl Restarted {
    async fn start() -> Self {
        let report_count = Rc::new(Cell::new(0));
        let counter = report_count.clone();
        let report = move || {
            counter.set(counter.get() + 1);
            REPORTS[1]
        };
        let (address, request_count) = serve_reporting(report, |_, _| (STREAM, false)).await;
        Self {
            address,
            request_count,
            report_count,
        }
    }

    /// Lists the start that began at `started_at_ms`.
    fn list(&self, host: &TestHost, started_at_ms: u64) {
        let listed = upstream("i-1", started_at_ms, self.address);
        host.view.borrow_mut().directory.put(listed);
    }
}

/// Returns a host whose streams can only have begun at the version of all upstreams.
fn host_of_one_version() -> TestHost {
    let host = host(&Rows::default());
    let registered = BTreeMap::from([(SERVICE.into(), BTreeSet::from(["v1".into()]))]);
    let listed = BTreeSet::from([(SERVICE.into(), "v1".into())]);
    host.origins
        .borrow_mut()
        .set_registered(registered, 0, &listed);
    host
}

/// Takes a stream up after its third event, and returns the status.
async fn take_up(host: &TestHost) -> StatusCode {
    let mut call: Call = page_call(host, "a1", RouteKind::Streaming);
    call.route = Arc::new(Route {
        is_resumable: true,
        ..page_route(RouteKind::Streaming)
    });
    call.head.last_event = Some(3);
    call.head.resumed_attempt = Some("a0".into());
    let origin = mimosavane::ingress::origins::book::Origin {
        service: SERVICE.into(),
        version: "v1".into(),
    };
    host.origins
        .borrow_mut()
        .remember("a0".into(), origin, host.now());
    let reply = calls::forward(host, &call).await;
    let status = reply.status();
    // The connection is kept once the answer is read.
    let _ = reply.into_body().collect().await;
    status
}

/// Guards against streams of two software versions: an upstream is upgraded in place, and a
/// host that still lists the start before sends it a stream of that start's version.
#[test]
fn taken_up_stream() {
    run(async {
        let upstream = Restarted::start().await;
        let host = host_of_one_version();
        upstream.list(&host, 1);
        assert_eq!(take_up(&host).await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(upstream.request_count.get(), 0, "the stream was sent");
        upstream.list(&host, 2);
        assert_eq!(take_up(&host).await, StatusCode::OK);
        assert_eq!(take_up(&host).await, StatusCode::OK);
        assert_eq!(upstream.request_count.get(), 2);
        // One on each connection.
        assert_eq!(upstream.report_count.get(), 2);
    });
}

/// Guards against texts of items of two software versions, in the same way.
#[test]
fn resumed_item() {
    run(async {
        let upstream = Restarted::start().await;
        let host = host_of_one_version();
        upstream.list(&host, 1);
        let listed = host.view.borrow().directory.get(&"i-1".into()).cloned();
        let listed = listed.unwrap();
        let run = Run {
            number: 1,
            authority: "jobs.example".to_owned(),
            item: job("job", 4, 10).items[0].clone(),
            permit: permits::acquire(&host, &listed).await.unwrap(),
            upstream: listed,
            last_event: 3,
        };
        let scheduler = std::cell::RefCell::new(Scheduler::default());
        let outcome = runs::run(&host, &scheduler, &run).await;
        assert_eq!(outcome.end, RunEnd::WrongEngine);
        assert_eq!(upstream.request_count.get(), 0, "the item was sent");
    });
}

/// An upstream that does not say when it started gets streams as before.
#[test]
fn unknown_start() {
    run(async {
        let report = || "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        let (address, request_count) = serve_reporting(report, |_, _| (STREAM, false)).await;
        let host = host_of_one_version();
        let listed = upstream("i-1", 1, address);
        host.view.borrow_mut().directory.put(listed);
        assert_eq!(take_up(&host).await, StatusCode::OK);
        assert_eq!(request_count.get(), 1);
    });
}
