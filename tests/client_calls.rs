//! Answers of upstreams that are late, doubled, lost or broken off, on real sockets: a
//! client gets its own whole answer or none.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use http::StatusCode;
use http_body_util::BodyExt as _;
use mimosavane::ingress::{calls, routes::RouteKind};
use rows_support::{
    Rows,
    host::host,
    page::{page_call, run, serve, upstream},
};

const KINDS: [RouteKind; 2] = [RouteKind::Idempotent, RouteKind::NonIdempotent];

const FIRST: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
    content-length: 5\r\n\r\nfirst";

const SECOND: &str = "HTTP/1.1 200 OK\r\nattempt-id: a2\r\nserver-stamp: s2\r\n\
    content-length: 6\r\n\r\nsecond";

const FIRST_TWICE: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
    content-length: 5\r\n\r\nfirst\
    HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
    content-length: 5\r\n\r\nfirst";

/// The same copy without the id by which it could be told.
const NAMELESS: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s1\r\ncontent-length: 5\r\n\r\nfirst";

/// Makes two calls, the second one over a pooled connection if there is one, and
/// returns the status and the body of the second answer.
async fn second_call(
    kind: RouteKind,
    answers: impl Fn(usize, usize) -> (&'static str, bool) + 'static,
) -> (StatusCode, Vec<u8>) {
    let (address, _) = serve(answers).await;
    let host = host(&Rows::default());
    host.view
        .borrow_mut()
        .directory
        .put(upstream("i-1", 1, address));
    let first = calls::forward(&host, &page_call(&host, "a1", kind)).await;
    assert_eq!(
        first.into_body().collect().await.unwrap().to_bytes(),
        "first"
    );
    let second = calls::forward(&host, &page_call(&host, "a2", kind)).await;
    let status = second.status();
    let body = second.into_body().collect().await.unwrap().to_bytes();
    (status, body.to_vec())
}

/// A second copy of an answer lies in the connection before the next request is sent.
#[test]
fn copy_before_next_request() {
    run(async {
        for kind in KINDS {
            let (status, body) = second_call(kind, |connection, _| match connection {
                0 => (FIRST_TWICE, false),
                _ => (SECOND, false),
            })
            .await;
            assert_ne!(body, b"first", "{kind}");
            assert!(status.is_server_error() || body == b"second", "{kind}");
        }
    });
}

/// The copy arrives in place of the answer to the next request, with its id or
/// without.
#[test]
fn copy_in_place_of_answer() {
    run(async {
        for kind in KINDS {
            for copy in [FIRST, NAMELESS] {
                let (status, body) = second_call(kind, move |connection, request| {
                    match (connection, request) {
                        (0, 0) => (FIRST, false),
                        (0, _) => (copy, false),
                        _ => (SECOND, false),
                    }
                })
                .await;
                assert_ne!(body, b"first", "{kind}");
                assert_eq!(status, StatusCode::BAD_GATEWAY, "{kind}");
            }
        }
    });
}

/// The upstream ran the call and its answer is lost or broken off, in the head, a chunk's
/// size, a chunk, after a chunk, in the trailer, or in a body with a length: the client
/// gets no success, and no promise that the call did not run.
#[test]
fn answer_broken_off() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s1\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let rests = [
        "",
        "1",
        "5\r\n",
        "5\r\nfir",
        "5\r\nfirst",
        "5\r\nfirst\r\n",
        "5\r\nfirst\r\n0\r\n",
    ];
    let mut answers: Vec<&'static str> = rests
        .iter()
        .map(|rest| &*format!("{CHUNKED}{rest}").leak())
        .collect();
    answers.extend([
        "",
        "HTTP/1.1 200 OK\r\nattempt-id: a1",
        &FIRST[..FIRST.len() - 2],
    ]);
    run(async move {
        for kind in KINDS {
            for answer in &answers {
                let answer: &'static str = answer;
                let (address, request_count) = serve(move |_, _| (answer, true)).await;
                let host = host(&Rows::default());
                host.view
                    .borrow_mut()
                    .directory
                    .put(upstream("i-1", 1, address));
                let reply = calls::forward(&host, &page_call(&host, "a1", kind)).await;
                assert_eq!(reply.status(), StatusCode::BAD_GATEWAY, "{kind} {answer:?}");
                assert_eq!(request_count.get(), 1, "{kind} {answer:?}");
            }
        }
    });
}
