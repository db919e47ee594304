//! Tests the client interface of batch jobs at several hosts and under store
//! faults.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, request};
use http_body_util::BodyExt as _;
use mimosavane::{
    batch::{
        job::{ItemResult, ItemState},
        layout,
    },
    ingress::{
        host::KnownJob,
        jobs,
        replies::Reply,
        routes::{Route, RouteKind},
        wire::{Caller, ClientHead, JobCall},
    },
    store::rows::RowStore as _,
};
use rows_support::{
    Fault, Rows,
    host::{TestHost, host},
};

fn route() -> Route {
    Route {
        name: "r-1".into(),
        authority: "jobs.example".to_owned(),
        path_prefix: "/jobs/".to_owned(),
        kind: RouteKind::Batch,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(400),
        priority: 1,
        splits: vec![("engines".into(), 1.0)],
        max_attempts: 3,
        item_ttl: Duration::from_secs(40),
        result_due: Duration::from_millis(7_500),
        single_version: false,
        is_resumable: true,
        is_public: false,
    }
}

fn parts() -> request::Parts {
    let request = Request::post("/jobs/7c41")
        .header("Host", "jobs.example")
        .body(())
        .unwrap();
    request.into_parts().0
}

const BODY: &str = r#"{"step":1,"model":"writer","min_version":1,"items":[
    {"id":"a","path":"/jobs/1","headers":{},"body":"q83v","tokens":940,"group":"g"},
    {"id":"b","path":"/jobs/2","headers":{},"body":"AAAA","tokens":940,"group":"g"}]}"#;

async fn submit(host: &TestHost) -> Reply {
    let head = ClientHead {
        attempt_id: Some("7c41".into()),
        ..ClientHead::default()
    };
    jobs::submit(
        host,
        &parts(),
        BODY.as_bytes(),
        &route(),
        &Caller::Unknown,
        &head,
    )
    .await
}

async fn call(host: &TestHost, call: JobCall) -> (StatusCode, Bytes) {
    let reply = jobs::handle_call(host, call, &Caller::Unknown, &ClientHead::default()).await;
    let status = reply.status();
    (
        status,
        reply.into_body().collect().await.unwrap().to_bytes(),
    )
}

fn results(from: usize) -> JobCall {
    JobCall::Results {
        job: "7c41".into(),
        from,
    }
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(test);
}

/// The same job is submitted at two hosts concurrently: it is stored once, and
/// both hosts accept it.
#[test]
fn submitted_twice() {
    run(async {
        let rows = Rows::default();
        let (one, two) = (host(&rows), host(&rows));
        let (a, b) = tokio::join!(submit(&one), submit(&two));
        assert_eq!(
            (a.status(), b.status()),
            (StatusCode::ACCEPTED, StatusCode::ACCEPTED)
        );
        assert_eq!(rows.keys(layout::JOBS, "7c41"), ["head"]);
        assert_eq!(rows.keys(layout::OPEN, "7c41"), ["job"]);
    });
}

/// A job is submitted again after it was ended and removed from the list of
/// open jobs: the answer is the same as before, and the job must not run again.
#[test]
fn submitted_after_end() {
    run(async {
        let rows = Rows::default();
        let host = host(&rows);
        submit(&host).await;
        let id = "7c41".into();
        for transaction in [layout::ending(&id), layout::closing(&id)] {
            rows.commit(&transaction).await.unwrap();
        }
        assert_eq!(submit(&host).await.status(), StatusCode::ACCEPTED);
        assert!(rows.keys(layout::OPEN, "7c41").is_empty());
    });
}

/// The store's answer to the acceptance is lost: the host must retry to
/// determine the outcome instead of assuming one.
#[test]
fn lost_acceptance() {
    run(async {
        let rows = Rows::default();
        rows.fail_next(Fault::AnswerLost);
        assert_eq!(submit(&host(&rows)).await.status(), StatusCode::ACCEPTED);
        rows.fail_next(Fault::Late(2));
        assert_eq!(submit(&host(&rows)).await.status(), StatusCode::ACCEPTED);
    });
}

/// The store refuses all attempts: the host answers 503, and nothing is stored.
#[test]
fn store_away() {
    run(async {
        let rows = Rows::default();
        for _ in 0..16 {
            rows.fail_next(Fault::Refused);
        }
        let reply = submit(&host(&rows)).await;
        assert_eq!(reply.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(reply.headers().contains_key("retry-after"));
        assert!(rows.keys(layout::JOBS, "7c41").is_empty());
    });
}

/// The write of the acceptance may still be applied later: the answer must not
/// state that the job never runs.
#[test]
fn late_acceptance() {
    run(async {
        let rows = Rows::default();
        rows.fail_next(Fault::Late(20));
        for _ in 0..16 {
            rows.fail_next(Fault::Refused);
        }
        let reply = submit(&host(&rows)).await;
        assert_eq!(reply.status(), StatusCode::BAD_GATEWAY);
    });
}

/// Reading results and bodies and ending the job work at a host that has not
/// seen the job before.
#[test]
fn read_elsewhere() {
    run(async {
        let rows = Rows::default();
        submit(&host(&rows)).await;
        let other = host(&rows);
        let (status, body) = call(&other, results(0)).await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(body, r#"{"total":2,"next":0,"results":[]}"#);
        let result = ItemResult {
            id: "b".into(),
            state: ItemState::Completed,
            text: "x".to_owned(),
            versions: [1].into(),
            score: None,
        };
        let id = "7c41".into();
        let listing = layout::listing(&id, &Default::default(), 0, &[result], 9).unwrap();
        rows.commit(&listing.transaction).await.unwrap();
        let (_, body) = call(&other, results(0)).await;
        assert!(body.starts_with(br#"{"total":2,"next":1,"results":[{"id":"b""#));
        let (_, body) = call(&other, results(1)).await;
        assert_eq!(body, r#"{"total":2,"next":1,"results":[]}"#);
        let item = JobCall::Body {
            job: "7c41".into(),
            item: "a".into(),
        };
        let (status, body) = call(&other, item).await;
        assert_eq!((status, &*body), (StatusCode::OK, &[0xab, 0xcd, 0xef][..]));
        for _ in 0..2 {
            let end = JobCall::End { job: "7c41".into() };
            assert_eq!(call(&other, end).await.0, StatusCode::OK);
        }
        assert_eq!(rows.keys(layout::OPEN, "7c41"), ["end", "job"]);
    });
}

#[test]
fn unknown_job() {
    run(async {
        let rows = Rows::default();
        let host = host(&rows);
        assert_eq!(call(&host, results(0)).await.0, StatusCode::NOT_FOUND);
        let end = JobCall::End { job: "7c41".into() };
        assert_eq!(call(&host, end).await.0, StatusCode::NOT_FOUND);
        assert_eq!(
            call(&host, JobCall::Malformed).await.0,
            StatusCode::BAD_REQUEST
        );
    });
}

/// Many items end at once: one read returns as many results as fit into an
/// answer, and the next read continues after them.
#[test]
fn burst_of_results() {
    run(async {
        let rows = Rows::default();
        let host = host(&rows);
        submit(&host).await;
        let id = "7c41".into();
        let mut tally = Default::default();
        let mut stamp = 0;
        for part in 0..6 {
            let results: Vec<ItemResult> = (0..50)
                .map(|index| ItemResult {
                    id: format!("{part}-{index}").into(),
                    state: ItemState::Completed,
                    text: "x".repeat(9_000),
                    versions: [1].into(),
                    score: None,
                })
                .collect();
            let listing = layout::listing(&id, &tally, stamp, &results, part).unwrap();
            assert_eq!(listing.result_count, 50);
            stamp = rows.commit(&listing.transaction).await.unwrap().stamp;
            tally = listing.tally;
        }
        let known = KnownJob {
            item_count: 300,
            account: None,
        };
        host.view.borrow_mut().jobs.insert(id, known);
        let (_, body) = call(&host, results(0)).await;
        assert!(body.len() <= 1_000_000);
        assert!(body.starts_with(br#"{"total":300,"next":88,"#));
        let (_, body) = call(&host, results(264)).await;
        assert!(body.starts_with(br#"{"total":300,"next":300,"#));
    });
}
