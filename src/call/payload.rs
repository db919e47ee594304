//! The body of a response to a caller.

use std::{
    pin::Pin,
    task::{Context as TaskContext, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::call::relay::{IncompleteResponse, Relay};

/// The body of a response, either buffered or forwarded as it arrives.
#[derive(Debug)]
pub enum Payload {
    /// The whole body.
    Whole(Full<Bytes>),
    /// A body that is still arriving; an error means that it is incomplete.
    Streamed(Box<Relay>),
}

impl Body for Payload {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            // An in-memory body cannot fail.
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|error| match error {}),
            Self::Streamed(relay) => Pin::new(relay.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(relay) => relay.size_hint(),
        }
    }
}
