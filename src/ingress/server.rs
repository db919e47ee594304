//! The listeners of a host.
//!
//! They use hyper's HTTP/1.1 connection directly instead of `xitca-web`, since
//! a request must end when its client disconnects, and only hyper drops the
//! handler then (see docs/design/platform.md, "Libraries").

use std::{
    convert::Infallible, io::ErrorKind::WouldBlock, net::SocketAddr, rc::Rc, time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header, request};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
    time::sleep,
};

use crate::{
    ingress::{
        authentication, calls, clients,
        host::Host,
        intake::{self, BodyError, BodyTerms},
        jobs,
        memory::{self, Holder},
        replies::{Reply, refusal, reply},
        routes::{Configuration, RouteKind},
        wire::{ClientHead, PresentedKey, Wire},
    },
    observe::telemetry::{BODIES_LATE, BODIES_TOO_LARGE},
    store::rows::RowStore,
};

/// The length of the queue of connections to accept.
const BACKLOG_COUNT: u32 = 1_024;

/// The delay after accepting a connection failed, for example because all file
/// descriptors are in use.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The idle timeout of a connection of the platform.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// The `Retry-After` of a host that has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Listens on `address`.
///
/// # Errors
///
/// Fails where the operating system does not allow it.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_COUNT)
}

/// Serves the platform's readiness probes, and the metrics.
pub async fn serve_ready<S: RowStore, W: Wire>(host: Rc<Host<S, W>>, listener: TcpListener) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let host = host.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = ready_reply(&host, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .max_buf_size(MIN_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // The platform repeats a probe that breaks off.
            let _ = connection.await;
        });
    }
}

fn ready_reply<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, path: &str) -> Reply {
    match path {
        path if path == W::READY_PATH && host.is_ready() => reply(StatusCode::OK, Bytes::new()),
        path if path == W::READY_PATH => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        METRICS_PATH => reply(StatusCode::OK, host.exposition.page()),
        _ => reply(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Serves client connections, until the host closes.
pub async fn serve_clients<S: RowStore, W: Wire>(host: Rc<Host<S, W>>, listener: TcpListener) {
    let mut closing = host.closing.subscribe();
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                if let Some(stream) = stream
                    && let Some((stream, connection)) = clients::admit(&host, stream).await
                {
                    spawn_local(clients::serve_connection(host.clone(), stream, connection));
                }
            }
            // The sender lives as long as the host.
            _ = closing.wait_for(|is_closing| *is_closing) => break,
        }
    }
    // To their clients, connections that wait in the queue are open already.
    let mut queued_count = 0;
    match listener.into_std() {
        Ok(listener) => {
            for stream in queued(&listener) {
                queued_count += 1;
                if let Some((stream, connection)) = clients::admit(&host, stream).await {
                    spawn_local(clients::serve_connection(host.clone(), stream, connection));
                }
            }
        }
        Err(error) => tracing::warn!(event = "client.not_accepted", %error),
    }
    tracing::info!(event = "client.queue_taken", queued_count);
}

/// Returns the connections that wait to be accepted.
///
/// The runtime's listener may report none until it has polled the operating system.
fn queued(listener: &std::net::TcpListener) -> impl Iterator<Item = TcpStream> {
    let accepted = (0..BACKLOG_COUNT).map(|_| -> std::io::Result<TcpStream> {
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        disable_delay(&stream);
        Ok(stream)
    });
    accepted
        .take_while(|accepted| {
            !accepted
                .as_ref()
                .is_err_and(|error| error.kind() == WouldBlock)
        })
        .filter_map(|accepted| {
            accepted
                .inspect_err(|error| tracing::warn!(event = "client.not_accepted", %error))
                .ok()
        })
}

/// Makes `stream` send small answers at once.
fn disable_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(event = "client.nodelay", %error);
    }
}

/// Waits for a connection. Returns `None` if accepting failed, after a delay.
pub async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            disable_delay(&stream);
            Some(stream)
        }
        Err(error) => {
            tracing::warn!(event = "client.not_accepted", %error);
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Answers a request of the client for which `holder` holds.
pub async fn serve<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    request: Request<Incoming>,
    holder: &Holder,
) -> Reply {
    let (parts, body) = request.into_parts();
    let head = W::client_head(&parts);
    let handled = handle_request(host, parts, body, &head, holder);
    let mut response = match host.answer_in_time(handled).await {
        Some(response) => response,
        None => {
            tracing::info!(
                event = "request.cut",
                id = head.attempt_id.as_deref(),
                reason = "stopping",
            );
            reply(StatusCode::GATEWAY_TIMEOUT, Bytes::new())
        }
    };
    if host.is_stopping() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    mut parts: request::Parts,
    body: Incoming,
    head: &ClientHead,
    holder: &Holder,
) -> Reply {
    let arrived_at = host.now();
    let Some(configuration) = host.configuration() else {
        tracing::info!(
            event = "request.refused",
            id = head.attempt_id.as_deref(),
            reason = "no-configuration",
        );
        return refusal(STARTING_RETRY_AFTER);
    };
    let id = head.attempt_id.as_deref();
    let refused = |configuration: &Configuration, cause| {
        authentication::unauthenticated_reply(host, configuration, id, cause)
    };
    if let Some(call) = W::job_call(&parts) {
        // Jobs without an account may be read without a key.
        let is_public = W::presented_key(&parts.headers) == PresentedKey::Missing;
        let found = authentication::authenticate(host, &configuration, &parts.headers, is_public);
        return match found {
            Ok(caller) => {
                let reply = jobs::handle_call(host, call, &caller, head).await;
                intake::hold_reply(holder, reply).await
            }
            Err(cause) => refused(&configuration, cause),
        };
    }
    let authority = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let Some(route) = configuration.route(authority, parts.uri.path()).cloned() else {
        tracing::info!(
            event = "request.refused",
            id = head.attempt_id.as_deref(),
            reason = "no-route",
            version = configuration.version,
            authority,
            path = parts.uri.path(),
        );
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    let found = authentication::authenticate(host, &configuration, &parts.headers, route.is_public);
    if let Err(cause) = found {
        return refused(&configuration, cause);
    }
    let is_job = route.kind == RouteKind::Batch;
    let terms = BodyTerms {
        max_bytes: configuration.limits.max_body_bytes,
        idle_timeout: configuration.limits.idle_timeout,
        time_left: head
            .client_timeout
            .unwrap_or(route.timeout)
            .min(route.timeout),
    };
    let extra_bytes = |body_bytes| match is_job {
        true => memory::job_bytes(body_bytes, 0),
        false => 0,
    };
    let mut received = intake::collect_request(holder, body, terms, extra_bytes).await;
    if is_job && let Ok(body) = &mut received {
        let overhead_bytes = W::job_overhead_bytes(body.data());
        let job_bytes = memory::job_bytes(body.data().len(), overhead_bytes);
        if let Err(denial) = body.charge_extra(holder, job_bytes).await {
            received = Err(denial.into());
        }
    }
    let body = match received {
        Ok(body) => body,
        Err(error) => {
            tracing::info!(
                event = "request.refused",
                id = head.attempt_id.as_deref(),
                reason = error.reason(),
                %error,
                route = &*route.name,
                held_bytes = host.memory.held_bytes(),
            );
            match error {
                BodyError::TooLarge => host.metrics.count(BODIES_TOO_LARGE, 1),
                BodyError::TooSlow => host.metrics.count(BODIES_LATE, 1),
                BodyError::Denied(_) | BodyError::Broken(_) => {}
            }
            return error.into_reply();
        }
    };
    // A key may have been removed while the body was on its way.
    let configuration = host.configuration().unwrap_or(configuration);
    let found = authentication::authenticate(host, &configuration, &parts.headers, route.is_public);
    let caller = match found {
        Ok(caller) => caller,
        Err(cause) => return refused(&configuration, cause),
    };
    match route.kind {
        RouteKind::Batch => {
            let (data, _charges) = body.into_parts();
            jobs::submit(host, &parts, data, &route, &caller, head).await
        }
        _ => {
            // The answer is counted for the same holder.
            parts.extensions.insert(holder.clone());
            let body = body.into_bytes();
            let call = calls::Call::new(parts, body, route, head.clone(), arrived_at).of(caller);
            if !host.admits(call.deadline()) {
                return calls::stopping_reply(host, &call);
            }
            calls::forward(host, &call).await
        }
    }
}
