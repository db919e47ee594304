//! Forwards the answers that are event streams.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, header, response};
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use tokio::{sync::mpsc, task::spawn_local, time::sleep};
use tokio_stream::wrappers::ReceiverStream;

use super::Fingerprint;
use crate::{
    call::terms,
    clock::Timestamp,
    connection::Connection,
    ids::AccountId,
    ingress::{
        crashes,
        directory::Upstream,
        handover::TakenCall,
        host::Host,
        intake,
        memory::Holder,
        replies::{Reply, ReplyBody, StreamCut},
        usage_reports,
        wire::Wire,
    },
    store::rows::RowStore,
};

/// How many frames of a stream are buffered for a slow client.
const STREAM_BUFFER_FRAME_COUNT: usize = 16;

/// The call whose answer is a stream.
pub(super) struct Stream<S, W> {
    pub(super) host: Rc<Host<S, W>>,
    pub(super) fingerprint: Fingerprint,
    pub(super) upstream: Upstream,
    /// Whether the stream goes on after events that came before.
    pub(super) is_resuming: bool,
    /// When the stream is cut off, although it is not whole.
    pub(super) deadline: Timestamp,
    /// The account of the call, if it has one.
    pub(super) account: Option<AccountId>,
    /// For whom the frames are held that the client has not read.
    pub(super) holder: Option<Holder>,
    /// Counts the call of another host as open until the stream ends.
    pub(super) _taken: Option<Rc<TakenCall>>,
}

/// How the forwarding of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The client got all of it.
    Whole,
    /// It broke off on its way to this host.
    Torn,
    /// It was cut off at its deadline.
    Late,
    /// The client disconnected.
    ClientGone,
}

/// Returns whether the framing of an answer with `headers` shows where its body ends.
///
/// Otherwise it ends with its connection, so that an answer which is cut looks whole.
pub fn is_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || headers.contains_key(header::TRANSFER_ENCODING)
}

/// What shows that a stream has ended and is whole (see docs/design/calls.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMark {
    /// Its framing.
    Framing,
    /// The end of its connection after an event.
    AfterEvent,
    /// The end of its connection, also where no event is left of a stream that goes on.
    AfterAnyEvents,
}

impl EndMark {
    /// Returns what shows the end of the answer with `headers` and `body`.
    pub fn of(headers: &HeaderMap, body: &Incoming, is_resuming: bool) -> Self {
        match (is_delimited(headers, body), is_resuming) {
            (true, _) => Self::Framing,
            (false, false) => Self::AfterEvent,
            (false, true) => Self::AfterAnyEvents,
        }
    }
}

/// The end of what was read of a stream of events, by which a cut inside an event shows.
#[derive(Clone, Copy, Debug, Default)]
struct Tail {
    bytes: [u8; 4],
}

impl Tail {
    fn push(&mut self, data: &[u8]) {
        let kept = data.len().min(self.bytes.len());
        self.bytes.rotate_left(kept);
        let start = self.bytes.len() - kept;
        self.bytes[start..].copy_from_slice(&data[data.len() - kept..]);
    }

    /// Returns whether a stream that ends here is whole. An empty line ends an event.
    fn is_whole(self, end_mark: EndMark) -> bool {
        let is_empty = self.bytes == [0; 4];
        match end_mark {
            EndMark::Framing => true,
            EndMark::AfterAnyEvents if is_empty => true,
            EndMark::AfterEvent | EndMark::AfterAnyEvents => {
                self.bytes.ends_with(b"\n\n") || self.bytes.ends_with(b"\r\n\r\n")
            }
        }
    }
}

/// Returns the body of a reply to which `body` is forwarded as it arrives, for `time_left`
/// at most. Calls `begin` at its first data, and `end` once it has ended. A body that ends without its `end_mark` is torn.
///
/// Dropping `body` when the client disconnects closes its connection, which stops the work
/// at the other side.
pub fn forward_body<F: Future<Output = ()>>(
    body: Incoming,
    end_mark: EndMark,
    time_left: Duration,
    holder: Option<Holder>,
    begin: impl FnOnce() + 'static,
    end: impl FnOnce(StreamEnd) -> F + 'static,
) -> ReplyBody {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_FRAME_COUNT);
    spawn_local(async move {
        let ended = forward_frames(body, end_mark, &sender, time_left, holder, begin).await;
        drop(sender);
        end(ended).await;
    });
    Either::Right(StreamBody::new(ReceiverStream::new(receiver)))
}

async fn forward_frames(
    mut body: Incoming,
    end_mark: EndMark,
    sender: &mpsc::Sender<Result<Frame<Bytes>, StreamCut>>,
    time_left: Duration,
    holder: Option<Holder>,
    begin: impl FnOnce(),
) -> StreamEnd {
    let mut begin = Some(begin);
    let deadline = sleep(time_left);
    tokio::pin!(deadline);
    let mut tail = Tail::default();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = &mut deadline => {
                // A client that disconnects does not need the error.
                let _ = sender.send(Err(StreamCut)).await;
                return StreamEnd::Late;
            }
            () = sender.closed() => return StreamEnd::ClientGone,
        };
        let chunk = match frame {
            None if tail.is_whole(end_mark) => return StreamEnd::Whole,
            None => Err(StreamCut),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    if let Some(begin) = begin.take() {
                        begin();
                    }
                    tail.push(&data);
                    let held = tokio::select! {
                        held = intake::hold_frame(holder.as_ref(), data) => held,
                        () = &mut deadline => None,
                        () = sender.closed() => return StreamEnd::ClientGone,
                    };
                    match held {
                        Some(data) => Ok(Frame::data(data)),
                        None => {
                            // A client that disconnects does not need the error.
                            let _ = sender.send(Err(StreamCut)).await;
                            return StreamEnd::Late;
                        }
                    }
                }
                Err(_) => continue,
            },
            Some(Err(_)) => Err(StreamCut),
        };
        let is_cut = chunk.is_err();
        if sender.send(chunk).await.is_err() {
            return StreamEnd::ClientGone;
        }
        if is_cut {
            return StreamEnd::Torn;
        }
    }
}

/// Forwards a stream to the client as it arrives, until its deadline.
pub(super) fn stream_reply<S: RowStore, W: Wire>(
    stream: Stream<S, W>,
    parts: response::Parts,
    body: Incoming,
    connection: Connection,
) -> Reply {
    let time_left = stream.deadline.saturating_sub(stream.host.now());
    let end_mark = EndMark::of(&parts.headers, &body, stream.is_resuming);
    let begin = {
        let (host, account) = (stream.host.clone(), stream.account.clone());
        move || usage_reports::record(&host, account.as_ref(), host.now())
    };
    let holder = stream.holder.clone();
    let body = forward_body(body, end_mark, time_left, holder, begin, async move |end| {
        // All of it lives until here, with the count of open calls.
        let stream = stream;
        match end {
            StreamEnd::Whole => {
                crashes::record_answer(&stream.host, stream.fingerprint);
                connection.release();
            }
            StreamEnd::Torn => {
                crashes::record_loss(&stream.host, stream.fingerprint, &stream.upstream).await;
            }
            StreamEnd::Late | StreamEnd::ClientGone => {}
        }
    });
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = terms::end_to_end(&parts.headers);
    response
}
