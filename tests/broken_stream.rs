//! A stream breaks off, and what comes next is an error: clients and items get nothing of it
//! as events, and nothing that is not whole looks whole.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use http::StatusCode;
use http_body_util::BodyExt as _;
use mimosavane::{
    batch::scheduler::{Action, Rights, RunEnd, Scheduler},
    ingress::{
        calls::{self, Call},
        origins::book::Origin,
        routes::{Route, RouteKind},
        runs,
    },
};
use rows_support::{
    Rows, engine,
    host::{TestHost, host},
    job,
    page::{SERVICE, item_run, page_call, page_route, run, serve, upstream},
};

/// The head of an answer that begins a stream, without what says where it ends.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
                           content-type: text/event-stream\r\n";

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nattempt-id: a1\r\n\
                     server-stamp: s2\r\ncontent-length: 5\r\n\r\noops\n";

/// Returns `text` for ever, as the stand-in upstream wants its answers.
fn leak(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

/// Returns a host with upstreams that give each of `answers`, and close the connection then.
async fn host_before(answers: &[&'static str]) -> TestHost {
    let host = host(&Rows::default());
    let versions = BTreeSet::from(["v1".into()]);
    let registered = BTreeMap::from([(SERVICE.into(), versions)]);
    let listed = BTreeSet::from([(SERVICE.into(), "v1".into())]);
    host.origins
        .borrow_mut()
        .set_registered(registered, 0, &listed);
    for (number, answer) in answers.iter().copied().enumerate() {
        let (address, _) = serve(move |_, _| (answer, true)).await;
        let upstream = upstream(&format!("i-{number}"), 1, address);
        host.view.borrow_mut().directory.put(upstream);
    }
    host
}

/// Returns a call that begins a stream which may be resumed, or resumes it after `last_event`.
fn stream_call(host: &TestHost, last_event: Option<u64>) -> Call {
    let mut call = page_call(host, "a1", RouteKind::Streaming);
    call.route = Arc::new(Route {
        is_resumable: true,
        ..page_route(RouteKind::Streaming)
    });
    call.head.last_event = last_event;
    call.head.resumed_attempt = last_event.map(|_| "a0".into());
    call
}

/// Forwards `call`, and returns the status, the text that came, and whether it looks whole.
async fn forward(host: &TestHost, call: &Call) -> (StatusCode, String, bool) {
    let reply = calls::forward(host, call).await;
    let status = reply.status();
    let mut body = reply.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (status, text, false);
        };
        text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
    }
    (status, text, true)
}

/// Guards against streams that end as if they were whole where the upstream broke off, with
/// each framing, inside an event and between two.
#[test]
fn cut_streams() {
    run(async {
        let event = "id: 1\ndata: a\n\n";
        let part = "id: 2\nda";
        for (framing, body, is_whole) in [
            ("content-length: 99\r\n", format!("{event}{part}"), false),
            ("content-length: 99\r\n", event.to_owned(), false),
            (
                "transfer-encoding: chunked\r\n",
                format!("f\r\n{event}\r\n"),
                false,
            ),
            (
                "transfer-encoding: chunked\r\n",
                format!("17\r\n{event}{part}"),
                false,
            ),
            // The end of the connection is the end of the answer.
            ("", event.to_owned(), true),
            ("", event.replace('\n', "\r\n"), true),
            ("", format!("{event}{part}"), false),
            ("", event.trim_end().to_owned(), false),
            ("", format!("{event}{part}ta: b\n"), false),
        ] {
            let answer = leak(format!("{STREAM_HEAD}{framing}\r\n{body}"));
            let host = host_before(&[answer]).await;
            let (status, text, looks_whole) = forward(&host, &stream_call(&host, None)).await;
            assert_eq!(status, StatusCode::OK, "{answer:?}");
            assert!(body.contains(&text) || text.starts_with(event), "{text:?}");
            assert_eq!(looks_whole, is_whole, "{answer:?}");
        }
    });
}

/// Guards against the text of an error inside a stream: the first upstream breaks off, the
/// others answer with errors. The error is an answer of its own, to the next attempt.
#[test]
fn error_after_break() {
    run(async {
        let begun = leak(format!(
            "{STREAM_HEAD}transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
        ));
        let host = host_before(&[begun]).await;
        let (status, text, is_whole) = forward(&host, &stream_call(&host, None)).await;
        assert_eq!((status, is_whole), (StatusCode::OK, false));
        assert_eq!(text, "id: 1\ndata: a\n\n");
        let host = host_before(&[ERROR, ERROR]).await;
        let origin = Origin {
            service: SERVICE.into(),
            version: "v1".into(),
        };
        let now = host.now();
        host.origins.borrow_mut().remember("a0".into(), origin, now);
        let (status, text, _) = forward(&host, &stream_call(&host, Some(1))).await;
        assert_eq!((status, &*text), (StatusCode::BAD_GATEWAY, ""));
    });
}

/// Plays a run that goes on after five events at an engine with `answer`, and returns how
/// it ends.
async fn resume_item(answer: &'static str) -> RunEnd {
    let host = host_before(&[answer]).await;
    let rights = Rights {
        may_start: true,
        may_order: false,
    };
    let mut scheduler = Scheduler::default();
    let spec = engine("i-0", 1);
    scheduler.set_engines(vec![spec]);
    let mut now = host.now();
    scheduler.open(job("job", 1, 10), &BTreeSet::new(), Duration::ZERO, now);
    let started = scheduler.poll(now, rights);
    let [Action::Start { run, .. }] = &*started else {
        panic!("{started:?}");
    };
    assert!(scheduler.record_answer(*run, 1, now));
    for number in 1..=5 {
        assert!(scheduler.record_event(*run, number, "x", 1, now));
    }
    scheduler.record_run_end(*run, RunEnd::Broken, now);
    now += Duration::from_secs(1);
    let started = scheduler.poll(now, rights);
    let [
        Action::Start {
            run, last_event: 5, ..
        },
    ] = &*started
    else {
        panic!("{started:?}");
    };
    let mut item = scheduler.job(&"job".into()).unwrap().items[0].clone();
    item.id = "a1".into();
    let run = item_run(&host, "i-0", item, *run, 5);
    runs::run(&host, &RefCell::new(scheduler), &run).await.end
}

/// Guards against items that count as complete where the engine at which they go on sends the
/// text of an error, or its whole head, in place of events.
#[test]
fn error_in_place_of_events() {
    run(async {
        let answer = |body: &str| {
            leak(format!(
                "{STREAM_HEAD}weight-versions: 1\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ))
        };
        for text in [
            "oops\n\n",
            "oops\r\n\r\n",
            "error: oops\n\n",
            "{\"error\":\"oops\"}\n\n",
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\noops\n\n",
            ERROR,
        ] {
            assert_eq!(resume_item(answer(text)).await, RunEnd::Broken, "{text:?}");
        }
        for text in [
            "",
            ": nothing is left\n\n",
            "retry: 100\n\n",
            "event: end\n\n",
        ] {
            let end = resume_item(answer(text)).await;
            assert_eq!(end, RunEnd::Completed, "{text:?}");
        }
        assert_eq!(resume_item(ERROR).await, RunEnd::Failed);
    });
}
