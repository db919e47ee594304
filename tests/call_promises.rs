//! What a call may cost the upstreams: how many get it, for how long, and which.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::StatusCode;
use http_body_util::BodyExt as _;
use mimosavane::ingress::{calls, routes::RouteKind};
use rows_support::{
    Rows,
    host::host,
    page::{page_call, run, serve, upstream},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    task::spawn_local,
    time::{sleep, timeout},
};

const PAGE: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: s\r\n\
    content-length: 2\r\n\r\nok";

/// The time within which an upstream must learn that the client is gone.
const GONE_TIME: Duration = Duration::from_millis(500);

/// Starts an upstream that answers its first request with `answer` after `delay`. Returns its
/// address, the heads that reached it and when its connections ended.
async fn start_slow(
    delay: Duration,
    answer: &'static str,
) -> (
    SocketAddr,
    Rc<RefCell<Vec<String>>>,
    Rc<RefCell<Vec<Instant>>>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let heads: Rc<RefCell<Vec<String>>> = Rc::default();
    let ends: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let (seen_heads, seen_ends) = (heads.clone(), ends.clone());
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (heads, ends) = (seen_heads.clone(), seen_ends.clone());
            spawn_local(async move {
                let mut bytes = [0; 4_096];
                let count = stream.read(&mut bytes).await.unwrap_or(0);
                if count == 0 {
                    // A probe opens a connection and sends nothing.
                    return;
                }
                let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
                heads.borrow_mut().push(head);
                if timeout(delay, stream.read(&mut bytes)).await.is_ok() {
                    ends.borrow_mut().push(Instant::now());
                    return;
                }
                // The host may have given the answer up.
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.read(&mut bytes).await;
            });
        }
    });
    (address, heads, ends)
}

/// A call that no upstream answers reaches no more of them than its route allows.
#[test]
fn attempts_within_route() {
    run(async {
        let host = host(&Rows::default());
        let mut counts = Vec::new();
        for number in 0..6 {
            let (address, count) =
                serve(|_, _| ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", true)).await;
            let listed = upstream(&format!("i-{number}"), 1, address);
            host.view.borrow_mut().directory.put(listed);
            counts.push(count);
        }
        let call = page_call(&host, "a1", RouteKind::Idempotent);
        let answer = calls::forward(&host, &call).await;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
        let sent_count: usize = counts.iter().map(|count| count.get()).sum();
        assert_eq!(sent_count, call.route.max_attempts as usize);
        let once = page_call(&host, "a2", RouteKind::NonIdempotent);
        calls::forward(&host, &once).await;
        let sent_again_count: usize = counts.iter().map(|count| count.get()).sum();
        assert_eq!(sent_again_count, sent_count + 1);
    });
}

/// The second upstream is told how much time the first one has left.
#[test]
fn time_that_is_left() {
    run(async {
        let host = host(&Rows::default());
        let (silent, silent_heads, _) = start_slow(Duration::from_secs(9), PAGE).await;
        let (second, second_heads, _) = start_slow(Duration::ZERO, PAGE).await;
        let put = |listed| host.view.borrow_mut().directory.put(listed);
        put(upstream("i-1", 1, silent));
        let call = page_call(&host, "a1", RouteKind::Idempotent);
        let forwarded = {
            let host = host.clone();
            spawn_local(async move { calls::forward(&host, &call).await.status() })
        };
        while silent_heads.borrow().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        put(upstream("i-2", 1, second));
        assert_eq!(forwarded.await.unwrap(), StatusCode::OK);
        let deadline_ms = |heads: &RefCell<Vec<String>>| -> u64 {
            let heads = heads.borrow();
            let line = heads[0]
                .lines()
                .find_map(|l| l.strip_prefix("deadline-ms: "));
            line.unwrap().parse().unwrap()
        };
        let (first_ms, second_ms) = (deadline_ms(&silent_heads), deadline_ms(&second_heads));
        assert!((1_900..=2_000).contains(&first_ms), "{first_ms}");
        // An upstream that is silent for twice the target latency is given up.
        assert!(second_ms + 250 <= first_ms, "{second_ms}");
    });
}

/// The client leaves while an upstream runs its call: the upstream learns of it, and no other
/// one gets the call.
#[test]
fn client_gone() {
    run(async {
        let host = host(&Rows::default());
        let (address, heads, ends) = start_slow(Duration::from_secs(9), PAGE).await;
        host.view
            .borrow_mut()
            .directory
            .put(upstream("i-1", 1, address));
        let call = page_call(&host, "a1", RouteKind::NonIdempotent);
        // The server drops the handler of a client that is gone.
        let forwarded = timeout(Duration::from_millis(100), calls::forward(&host, &call)).await;
        assert!(forwarded.is_err());
        let gone_at = Instant::now();
        let (other, other_heads, _) = start_slow(Duration::ZERO, PAGE).await;
        host.view
            .borrow_mut()
            .directory
            .put(upstream("i-2", 1, other));
        while ends.borrow().is_empty() && gone_at.elapsed() < 2 * GONE_TIME {
            sleep(Duration::from_millis(5)).await;
        }
        assert!(gone_at.elapsed() < GONE_TIME, "{:?}", gone_at.elapsed());
        assert_eq!(heads.borrow().len(), 1);
        assert_eq!(other_heads.borrow().len(), 0);
    });
}

/// Another upstream answers at an address that was used again: it does not run the call, which
/// goes on to the right one.
#[test]
fn address_used_again() {
    const OTHER: &str = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    run(async {
        let host = host(&Rows::default());
        let (used_again, _) = serve(|_, _| (OTHER, false)).await;
        let (address, count) = serve(|_, _| (PAGE, false)).await;
        let put = |listed| host.view.borrow_mut().directory.put(listed);
        put(upstream("i-1", 1, used_again));
        put(upstream("i-2", 1, address));
        for number in 0..4 {
            let call = page_call(&host, "a1", RouteKind::NonIdempotent);
            let answer = calls::forward(&host, &call).await;
            assert_eq!(answer.status(), StatusCode::OK, "{number}");
            answer.into_body().collect().await.unwrap();
        }
        assert_eq!(count.get(), 4);
    });
}

/// All upstreams of a service are gone, and the store does not say so: others answer at their
/// addresses, which get one call of each host and not every one.
#[test]
fn calls_to_old_addresses() {
    const OTHER: &str = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    run(async {
        let host = host(&Rows::default());
        let mut counts = Vec::new();
        for number in 0..2 {
            let (address, count) = serve(|_, _| (OTHER, false)).await;
            let listed = upstream(&format!("i-{number}"), 1, address);
            host.view.borrow_mut().directory.put(listed);
            counts.push(count);
        }
        for _ in 0..20 {
            let call = page_call(&host, "a1", RouteKind::Idempotent);
            let answer = calls::forward(&host, &call).await;
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            sleep(Duration::from_millis(20)).await;
        }
        let sent_count: usize = counts.iter().map(|count| count.get()).sum();
        assert_eq!(sent_count, 2);
        // The next start is listed at the same address.
        let (address, count) = serve(|_, _| (PAGE, false)).await;
        host.view
            .borrow_mut()
            .directory
            .put(upstream("i-0", 2, address));
        let call = page_call(&host, "a1", RouteKind::Idempotent);
        let answer = calls::forward(&host, &call).await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(count.get(), 1);
    });
}
