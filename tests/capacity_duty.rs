//! Tests that the orders of upstreams reach the platform, over loopback.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use mimosavane::{
    batch::scheduler::ServiceLoad,
    clock::Timestamp,
    ids::FenceNumber,
    ingress::{
        capacity_orders::{self, LoadSource},
        directory::Upstream,
        host::{DutySettings, HostSettings},
        orders::FenceSource,
        routes::{Scaling, ServiceName},
    },
};
use rows_support::{
    Rows,
    host::{TestHost, host_with, settings},
    leader::{host_with_engine, wait_until},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// A coordinator without jobs.
struct Idle {
    fence: Cell<Option<FenceNumber>>,
}

impl FenceSource for Idle {
    fn fence(&self) -> Option<FenceNumber> {
        self.fence.get()
    }
}

impl LoadSource for Idle {
    fn service_loads(&self, _now: Timestamp) -> BTreeMap<ServiceName, ServiceLoad> {
        BTreeMap::new()
    }
}

/// Answers requests with the statuses in turn, the last one for ever, and keeps the requests.
async fn serve(listener: TcpListener, statuses: Vec<u16>, requests: Rc<RefCell<Vec<String>>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            let mut bytes = [0; 4_096];
            match stream.read(&mut bytes).await.unwrap() {
                0 => break,
                count => request.extend(&bytes[..count]),
            }
        }
        let answered_count = requests.borrow().len();
        let status = statuses[answered_count.min(statuses.len() - 1)];
        requests
            .borrow_mut()
            .push(String::from_utf8(request).unwrap());
        let answer =
            format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

fn engine(domain: &str) -> Upstream {
    Upstream {
        id: domain.into(),
        started_at_ms: 1,
        service: "engines".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: domain.into(),
        slot_count: 4,
        is_draining: false,
        software_version: "v1".into(),
        versions: BTreeMap::new(),
        is_spot: domain == "mx-c",
        leaves_in: None,
    }
}

fn scaled_host(duties: Option<DutySettings>) -> TestHost {
    let rows = Rows::default();
    let host = host_with(
        HostSettings {
            duties,
            ..settings()
        },
        &rows,
    );
    let template = host_with_engine(&rows);
    let mut configuration = (*template.configuration().unwrap()).clone();
    let service = configuration.services.values_mut().next().unwrap();
    service.scaling = Some(Scaling {
        min_count: 0,
        max_count: 4,
        boot_time: Duration::from_millis(100),
        spot_price_ratio: 0.18,
        domain_prices: [("mx-a", 1.0), ("mx-b", 0.8), ("mx-c", 1.0)]
            .map(|(domain, price)| (domain.into(), price))
            .into(),
    });
    let mut view = host.view.borrow_mut();
    view.configuration = Some(Arc::new(configuration));
    for domain in ["mx-a", "mx-b", "mx-c"] {
        view.directory.put(engine(domain));
    }
    drop(view);
    host
}

/// An upstream that leaves is ordered elsewhere, under the holder's name and fence, and a
/// refused order goes to the next domain. Guards against orders before the lease allows them.
#[tokio::test(flavor = "current_thread")]
async fn reclaimed_upstream() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let duties = DutySettings {
        address: listener.local_addr().unwrap(),
        max_rate_per_s: 50.0,
        reports_usage: false,
        orders_upstreams: true,
        usage_window: Duration::from_secs(5),
        usage_due: Duration::from_secs(10),
    };
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let host = scaled_host(Some(duties));
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            spawn_local(serve(listener, vec![409, 200], requests.clone()));
            let coordinator = Rc::new(Idle {
                fence: Cell::new(None),
            });
            let (runner, run_host) = (coordinator.clone(), host.clone());
            spawn_local(async move { capacity_orders::run(run_host, &*runner).await });
            sleep(Duration::from_millis(3_500)).await;
            let leaving = Upstream {
                is_draining: true,
                leaves_in: Some(Duration::from_secs(2)),
                ..engine("mx-c")
            };
            host.view.borrow_mut().directory.put(leaving);
            sleep(Duration::from_millis(700)).await;
            assert!(requests.borrow().is_empty());
            coordinator.fence.set(Some(12));
            wait_until("two orders", || requests.borrow().len() >= 2).await;
        })
        .await;
    let requests = requests.borrow();
    let first = requests[0].to_lowercase();
    assert!(first.starts_with("post /scale "), "{first}");
    assert!(first.contains("fence-token: 12\r\n") && first.contains("duty-holder: entry-1\r\n"));
    let body =
        |domain: &str| format!(r#"{{"service":"engines","zone":"{domain}","desired_count":2}}"#);
    assert!(requests[0].ends_with(&body("mx-b")), "{}", requests[0]);
    assert!(requests[1].ends_with(&body("mx-a")), "{}", requests[1]);
}

/// A host whose platform takes no orders has no task that waits.
#[tokio::test(flavor = "current_thread")]
async fn no_duties() {
    let coordinator = Idle {
        fence: Cell::new(Some(1)),
    };
    capacity_orders::run(scaled_host(None), &coordinator).await;
}
