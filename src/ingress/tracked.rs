//! Records what moves over a connection, so that the host knows which ones stall.
//!
//! hyper does not tell whether a request is answered whole, or whether the other side reads
//! the answer. Both show where hyper reads, writes, and drops the body of the answer.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::ingress::{
    intake::BodyUnread,
    memory::{Activity, Holder},
    replies::{Reply, ReplyBody, StreamCut},
};

/// How long, and how much of it, the rest of a refused body is read.
const LINGER_TIME: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 4 << 20;

/// What a connection's parts know of each other.
#[derive(Debug)]
pub struct Progress {
    holder: Holder,
    /// Whether a request is handled or its answer is not handed over whole.
    has_request: Cell<bool>,
    /// Whether the client takes nothing more of what is sent to it.
    is_blocked: Cell<bool>,
    /// Whether the connection is to be read on when it closes.
    lingers: Cell<bool>,
}

impl Progress {
    /// Returns the progress of a connection of `holder` without a request.
    pub fn new(holder: Holder) -> Rc<Self> {
        Rc::new(Self {
            holder,
            has_request: Cell::new(false),
            is_blocked: Cell::new(false),
            lingers: Cell::new(false),
        })
    }

    /// Returns whether the answer to the request whose body is read, or was given up, is that
    /// it has not run.
    pub fn is_refusing(&self) -> bool {
        let is_receiving = self.holder.activity() == Some(Activity::Receiving);
        self.lingers.get() || (is_receiving && self.has_request.get())
    }

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
pub struct OpenRequest(Rc<Progress>);

impl OpenRequest {
    /// Marks the connection of `progress`.
    pub fn new(progress: &Rc<Progress>) -> Self {
        progress.has_request.set(true);
        progress.update();
        Self(progress.clone())
    }

    /// Returns `response` such that the request ends once it is handed over whole.
    pub fn answer(self, response: Reply) -> http::Response<TrackedBody> {
        if response.extensions().get::<BodyUnread>().is_some() {
            self.0.lingers.set(true);
        }
        response.map(|body| TrackedBody {
            body,
            _request: self,
        })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.has_request.set(false);
        self.0.update();
    }
}

/// The body of a reply, which ends its request when it is dropped.
pub struct TrackedBody {
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
pub struct TrackedStream {
    stream: TcpStream,
    progress: Rc<Progress>,
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl TrackedStream {
    /// Records what moves over `stream` in `progress`.
    pub const fn new(stream: TcpStream, progress: Rc<Progress>) -> Self {
        Self {
            stream,
            progress,
            linger: None,
        }
    }

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

impl AsyncRead for TrackedStream {
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

impl AsyncWrite for TrackedStream {
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
