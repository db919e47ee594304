//! Builds the replies of a host to its clients.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use tokio_stream::wrappers::ReceiverStream;

/// A stream broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub struct StreamCut;

/// The body of a reply: complete, or streamed as it arrives.
pub type ReplyBody =
    Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, StreamCut>>>>;

/// A reply to a client.
pub type Reply = Response<ReplyBody>;

/// Builds a reply with `status` and `body`.
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

/// Builds a 503 reply with a `Retry-After` header.
pub fn refusal(retry_after: Duration) -> Reply {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Sets the content type of a reply to JSON.
pub fn as_json(mut response: Reply) -> Reply {
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
