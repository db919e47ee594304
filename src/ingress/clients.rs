//! The connections of clients: how many there are, what each does, and when it is closed for
//! others (see docs/design/client-memory.md).

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpStream,
    pin,
    time::{sleep, timeout},
};

use crate::{
    ingress::{
        host::{Host, OpenConnection},
        memory::{Connection, Side},
        server,
        tracked::{OpenRequest, Progress, TrackedStream},
        wire::Wire,
    },
    observe::telemetry::{
        ANSWERS_EVICTED, BODIES_EVICTED, BODIES_NO_ROOM, BODIES_TOO_LARGE, CONNECTIONS_EVICTED,
        CONNECTIONS_OPEN, CONNECTIONS_REFUSED, MEMORY_HELD,
    },
    store::rows::RowStore,
};

/// The idle timeout of a connection before a configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The largest request head before a configuration is in force.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// How long after it was accepted a connection without a request is kept by a host that
/// closes; its first request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// How long a connection is kept whose body is given up, so that its client gets the refusal.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// How often unread answers are looked for, and the metrics of memory are set.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Counts `stream` as a connection, after closing others for it if there are too many. Closes
/// it and returns `None` if none may be closed.
pub async fn admit<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    stream: TcpStream,
) -> Option<(TcpStream, Connection)> {
    match host.memory.open(Side::Client).await {
        Ok(connection) => Some((stream, connection)),
        Err(denial) => {
            let reason: &str = denial.into();
            tracing::info!(event = "client.not_admitted", reason);
            None
        }
    }
}

/// Serves the requests of one connection.
pub async fn serve_connection<S: RowStore, W: Wire>(
    host: Rc<Host<S, W>>,
    stream: TcpStream,
    connection: Connection,
) {
    let _open = OpenConnection::new(host.clone());
    let holder = connection.holder.clone();
    let first_request_until = host.now() + FIRST_REQUEST_TIME;
    let is_used = Rc::new(Cell::new(false));
    let limits = host
        .configuration()
        .map(|configuration| configuration.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_header_bytes);
    let progress = Progress::new(holder.clone());
    let service = {
        let (host, is_used) = (host.clone(), is_used.clone());
        let (holder, progress) = (holder.clone(), progress.clone());
        service_fn(move |request: Request<Incoming>| {
            is_used.set(true);
            let (host, holder, progress) = (host.clone(), holder.clone(), progress.clone());
            async move {
                let open = OpenRequest::new(&progress);
                let response = server::serve(&host, request, &holder).await;
                Ok::<_, Infallible>(open.answer(response))
            }
        })
    };
    let io = TokioIo::new(TrackedStream::new(stream, progress.clone()));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also applies to the time between two requests.
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(io, service);
    pin!(served);
    let mut closing = host.closing.subscribe();
    let may_close = async {
        // The sender lives as long as the host.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
        if !is_used.get() {
            sleep(first_request_until.saturating_sub(host.now())).await;
        }
    };
    pin!(may_close);
    let mut is_closing = false;
    let result = loop {
        tokio::select! {
            biased;
            result = served.as_mut() => break result,
            () = holder.evicted() => {
                if !progress.is_refusing() {
                    return;
                }
                // The request answers by itself that it has not run.
                match timeout(REFUSAL_TIME, served.as_mut()).await {
                    Ok(result) => break result,
                    Err(_) => return,
                }
            }
            () = &mut may_close, if !is_closing => {
                is_closing = true;
                served.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        // Clients may disconnect at any time.
        tracing::debug!(event = "client.gone", %error);
    }
}

/// Closes connections whose answers nobody reads, and sets the metrics of memory.
pub async fn watch<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    let mut seen = host.memory.counts();
    loop {
        sleep(SWEEP_INTERVAL).await;
        let idle_timeout = host
            .configuration()
            .map_or(DEFAULT_IDLE_TIMEOUT, |configuration| {
                configuration.limits.idle_timeout
            });
        host.memory.evict_unread(idle_timeout);
        let (counts, metrics) = (host.memory.counts(), &host.metrics);
        for (metric, now, before) in [
            (BODIES_NO_ROOM, counts.no_room_count, seen.no_room_count),
            (
                BODIES_TOO_LARGE,
                counts.too_large_count,
                seen.too_large_count,
            ),
            (
                CONNECTIONS_REFUSED,
                counts.connections_refused_count,
                seen.connections_refused_count,
            ),
            (
                CONNECTIONS_EVICTED,
                counts.idle_evicted_count,
                seen.idle_evicted_count,
            ),
            (
                BODIES_EVICTED,
                counts.receiving_evicted_count,
                seen.receiving_evicted_count,
            ),
            (
                ANSWERS_EVICTED,
                counts.sending_evicted_count,
                seen.sending_evicted_count,
            ),
        ] {
            if now > before {
                metrics.count(metric, now - before);
            }
        }
        seen = counts;
        metrics.gauge(MEMORY_HELD, host.memory.held_bytes() as u64);
        let open_count = host.memory.connection_count(Side::Client);
        metrics.gauge(CONNECTIONS_OPEN, open_count as u64);
    }
}
