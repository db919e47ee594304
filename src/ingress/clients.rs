//! The connections of clients: how many there are, what each does, and when it is closed for
//! others (see docs/design/client-memory.md).

use std::{
    cell::Cell,
    convert::Infallible,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    pin,
    time::{Sleep, sleep, timeout},
};

use crate::{
    ingress::{
        host::{Host, OpenConnection},
        intake::BodyUnread,
        memory::{Activity, Connection, Holder, Side},
        replies::{Reply, ReplyBody, StreamCut},
        server,
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

/// How long, and how much of it, the rest of a refused body is read.
const LINGER_TIME: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 4 << 20;

/// How often unread answers are looked for, and the metrics of memory are set.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// What a connection's parts know of each other.
#[derive(Debug)]
struct Progress {
    holder: Holder,
    /// Whether a request is handled or its answer is not handed over whole.
    has_request: Cell<bool>,
    /// Whether the client takes nothing more of what is sent to it.
    is_blocked: Cell<bool>,
    /// Whether the connection is to be read on when it closes.
    lingers: Cell<bool>,
}

impl Progress {
    fn update(&self) {
        self.holder
            .set_activity(match (self.is_blocked.get(), self.has_request.get()) {
                (true, _) => Activity::Sending,
                (false, true) => Activity::Working,
                (false, false) => Activity::Idle,
            });
    }

    fn record_read(&self, size_bytes: usize) {
        self.holder.record_moved(size_bytes);
        if !self.has_request.get() && !self.is_blocked.get() {
            self.holder.set_activity(Activity::Receiving);
        }
    }

    fn record_written(&self, size_bytes: usize) {
        self.holder.record_moved(size_bytes);
        if self.is_blocked.replace(false) {
            self.update();
        }
    }

    fn record_blocked(&self) {
        // A body that arrives decides by itself how long it may take.
        if self.holder.activity() != Some(Activity::Receiving) && !self.is_blocked.replace(true) {
            self.update();
        }
    }
}

/// Marks a connection as having a request, until dropped.
struct OpenRequest(Rc<Progress>);

impl OpenRequest {
    fn new(progress: &Rc<Progress>) -> Self {
        progress.has_request.set(true);
        progress.update();
        Self(progress.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.has_request.set(false);
        self.0.update();
    }
}

/// The body of a reply, which ends its request when it is dropped.
struct TrackedBody {
    body: ReplyBody,
    _request: OpenRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        Pin::new(&mut self.body)
            .poll_frame(context)
            .map_err(|error| {
                // Only streams break off; whole bodies cannot.
                error.downcast().map_or(StreamCut, |cut| *cut)
            })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection that records what moves over it.
struct ClientStream {
    stream: TcpStream,
    progress: Rc<Progress>,
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl ClientStream {
    fn written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(size_bytes)) => self.progress.record_written(*size_bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.progress.record_blocked(),
        }
        result
    }

    /// Reads and drops what the client still sends, until it closes or for a while.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let (timer, left_bytes) = self
            .linger
            .get_or_insert_with(|| (Box::pin(sleep(LINGER_TIME)), MAX_LINGER_BYTES));
        let mut scratch = [0; 4 << 10];
        while *left_bytes > 0 && timer.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut scratch);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    *left_bytes = left_bytes.saturating_sub(buffer.filled().len());
                }
                _ => break,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - before;
        if read_bytes > 0 {
            self.progress.record_read(read_bytes);
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, data);
        self.written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.progress.lingers.get() {
            self.progress.holder.set_activity(Activity::Idle);
            ready!(self.poll_linger(context));
        }
        Poll::Ready(Ok(()))
    }
}

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
    let progress = Rc::new(Progress {
        holder: holder.clone(),
        has_request: Cell::new(false),
        is_blocked: Cell::new(false),
        lingers: Cell::new(false),
    });
    let service = {
        let (host, is_used) = (host.clone(), is_used.clone());
        let (holder, progress) = (holder.clone(), progress.clone());
        service_fn(move |request: Request<Incoming>| {
            is_used.set(true);
            let (host, holder, progress) = (host.clone(), holder.clone(), progress.clone());
            async move {
                let open = OpenRequest::new(&progress);
                let response: Reply = server::serve(&host, request, &holder).await;
                if response.extensions().get::<BodyUnread>().is_some() {
                    progress.lingers.set(true);
                }
                Ok::<_, Infallible>(response.map(|body| TrackedBody {
                    body,
                    _request: open,
                }))
            }
        })
    };
    let io = TokioIo::new(ClientStream {
        stream,
        progress: progress.clone(),
        linger: None,
    });
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
                let is_refusing =
                    progress.has_request.get() && holder.activity() == Some(Activity::Receiving);
                if !is_refusing && !progress.lingers.get() {
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
