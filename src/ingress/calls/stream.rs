//! Forwards the answers that are event streams.

use std::rc::Rc;

use http::{Response, response};
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::{sync::mpsc, task::spawn_local, time::sleep};
use tokio_stream::wrappers::ReceiverStream;

use super::Fingerprint;
use crate::{
    call::terms,
    clock::Timestamp,
    connection::Connection,
    ingress::{
        crashes,
        directory::Upstream,
        handover::TakenCall,
        host::Host,
        replies::{Reply, StreamCut},
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
    /// When the stream is cut off, although it is not whole.
    pub(super) deadline: Timestamp,
    /// Counts the call of another host as open until the stream ends.
    pub(super) _taken: Option<Rc<TakenCall>>,
}

/// Forwards a stream to the client as it arrives, until its deadline.
pub(super) fn stream_reply<S: RowStore, W: Wire>(
    stream: Stream<S, W>,
    parts: response::Parts,
    body: Incoming,
    connection: Connection,
) -> Reply {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_FRAME_COUNT);
    spawn_local(async move {
        let mut body = body;
        let remaining = stream.deadline.saturating_sub(stream.host.now());
        let deadline = sleep(remaining);
        tokio::pin!(deadline);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = &mut deadline => {
                    // A client that disconnects does not need the error.
                    let _ = sender.send(Err(StreamCut)).await;
                    return;
                }
                // The client disconnected: dropping the connection stops the
                // upstream's work.
                () = sender.closed() => return,
            };
            let chunk = match frame {
                None => break,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Ok(Frame::data(data)),
                    Err(_) => continue,
                },
                Some(Err(_)) => Err(StreamCut),
            };
            let is_cut = chunk.is_err();
            if sender.send(chunk).await.is_err() {
                return;
            }
            if is_cut {
                crashes::record_loss(&stream.host, stream.fingerprint, &stream.upstream).await;
                return;
            }
        }
        crashes::record_answer(&stream.host, stream.fingerprint);
        connection.release();
    });
    let mut response = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(
        receiver,
    ))));
    *response.status_mut() = parts.status;
    *response.headers_mut() = terms::end_to_end(&parts.headers);
    response
}
