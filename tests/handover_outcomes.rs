//! A host that reaches no upstream hands a call over, and the other host gives no whole
//! answer: what the client is told is true.

mod rows_support;

use http::{StatusCode, header};
use mimosavane::ingress::{calls, routes::RouteKind};
use rows_support::{
    Rows,
    host::host,
    page::{SERVICE, configuration, page_call, run, serve},
};

const KINDS: [RouteKind; 2] = [RouteKind::Idempotent, RouteKind::NonIdempotent];

const NOT_TAKEN: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

const TAKEN_PAGE: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s\r\n\
    handover-taken: 1\r\nhandover-answered-by: i-1\r\ncontent-length: 2\r\n\r\nok";

/// Hands a call of `kind` over to hosts that answer with `answers`, and returns the status
/// and how often each was asked.
async fn hand_over(kind: RouteKind, answers: [&'static str; 2]) -> (StatusCode, [usize; 2]) {
    let rows = Rows::default();
    let (first, first_count) = serve(move |_, _| (answers[0], true)).await;
    let (second, second_count) = serve(move |_, _| (answers[1], true)).await;
    rows.set_peers([first, second]);
    let host = host(&rows);
    let now = host.now();
    host.reach
        .borrow_mut()
        .record_probe(&SERVICE.into(), false, now);
    host.view.borrow_mut().configuration = Some(configuration(kind).into());
    let answer = calls::forward(&host, &page_call(&host, "a1", kind)).await;
    assert!(!answer.headers().contains_key("handover-taken"));
    let status = answer.status();
    let is_refused = status == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(
        answer.headers().contains_key(header::RETRY_AFTER),
        is_refused
    );
    (status, [first_count.get(), second_count.get()])
}

/// No host takes the call: it is refused, and nothing has run.
#[test]
fn not_taken() {
    run(async {
        for kind in KINDS {
            let (status, counts) = hand_over(kind, [NOT_TAKEN, NOT_TAKEN]).await;
            assert_eq!((status, counts), (StatusCode::SERVICE_UNAVAILABLE, [1, 1]));
        }
    });
}

/// The hosts close the connection without an answer: the call may have run, which a refusal
/// would deny. Only an idempotent call is handed to the second one.
#[test]
fn answer_lost() {
    run(async {
        let (status, counts) = hand_over(RouteKind::Idempotent, ["", ""]).await;
        assert_eq!((status, counts), (StatusCode::BAD_GATEWAY, [1, 1]));
        let (status, counts) = hand_over(RouteKind::NonIdempotent, ["", ""]).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY);
        assert_eq!(counts.iter().sum::<usize>(), 1);
    });
}

/// One host answers for the other.
#[test]
fn answered() {
    run(async {
        for kind in KINDS {
            let (status, _) = hand_over(kind, [TAKEN_PAGE, TAKEN_PAGE]).await;
            assert_eq!(status, StatusCode::OK);
        }
    });
}
