//! A host that reaches no upstream hands a call over, and the other host gives no whole
//! answer: what the client is told is true.

mod rows_support;

use http::{StatusCode, header};
use mimosavane::ingress::{calls, routes::RouteKind};
use rows_support::{
    Rows,
    host::host,
    page::{SERVICE, configuration, page_call, run, serve, upstream},
};
use tokio::net::TcpListener;

const KINDS: [RouteKind; 2] = [RouteKind::Idempotent, RouteKind::NonIdempotent];

const NOT_TAKEN: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

const TAKEN_REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nhandover-taken: 1\r\n\
    retry-after: 0.1\r\ncontent-length: 0\r\n\r\n";

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

/// Guards against a refusal of a call that runs: the first host gives no answer, and the
/// second one, which is asked since the call may be repeated, refuses it.
#[test]
fn refused_after_lost_answer() {
    run(async {
        for answers in [["", TAKEN_REFUSAL], [TAKEN_REFUSAL, ""]] {
            let (status, counts) = hand_over(RouteKind::Idempotent, answers).await;
            let lost_count = counts[usize::from(!answers[0].is_empty())];
            let expected = match lost_count {
                0 => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::BAD_GATEWAY,
            };
            assert_eq!(status, expected, "{counts:?}");
        }
    });
}

/// Guards against the same where this host itself has sent the call to an upstream, which broke
/// off, before it reached none any more.
#[test]
fn refused_after_broken_attempt() {
    run(async {
        let rows = Rows::default();
        let (peer, _) = serve(|_, _| (TAKEN_REFUSAL, true)).await;
        rows.set_peers([peer]);
        let host = host(&rows);
        let (broken, broken_count) = serve(|_, _| ("", true)).await;
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gone_address = gone.local_addr().unwrap();
        drop(gone);
        for (id, address) in [("i-1", broken), ("i-2", gone_address)] {
            host.view
                .borrow_mut()
                .directory
                .put(upstream(id, 1, address));
        }
        host.view.borrow_mut().configuration = Some(configuration(RouteKind::Idempotent).into());
        let call = page_call(&host, "a1", RouteKind::Idempotent);
        let answer = calls::forward(&host, &call).await;
        assert_eq!(broken_count.get(), 1);
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
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
