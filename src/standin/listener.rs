//! A small HTTP server that the HTTP stand-ins share.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tokio_stream::wrappers::ReceiverStream;

/// The error that aborts a streamed response midway, as a crash would.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in aborted its response")]
pub struct StreamAborted;

/// A streamed response body, which its sender can abort.
pub type Stream = StreamBody<ReceiverStream<Result<Frame<Bytes>, StreamAborted>>>;

/// A complete or a streamed response body.
pub type Body = Either<Full<Bytes>, Stream>;

/// Builds a JSON response with `status`.
pub fn json(status: u16, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(bytes))));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Reads a complete request body, or returns an empty one if reading fails.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}

/// A running stand-in; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Listener {
    /// The address that it listens on.
    pub address: SocketAddr,
    reset_count: watch::Sender<u64>,
    silence_count: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Starts an HTTP server on `address` that answers with `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start<F, R>(address: SocketAddr, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (reset_count, reset) = watch::channel(0);
        let (silence_count, silence) = watch::channel(0);
        let task = tokio::spawn(accept(socket, reset, silence, handler));
        Ok(Self {
            address,
            reset_count,
            silence_count,
            task,
        })
    }

    /// Stalls all open connections permanently, while new ones work, as a
    /// middlebox that lost their state would.
    pub fn silence_connections(&self) {
        self.silence_count.send_modify(|count| *count += 1);
    }

    /// Resets all open connections, as a crashed process would.
    pub fn reset_connections(&self) {
        self.reset_count.send_modify(|count| *count += 1);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.reset_connections();
        self.task.abort();
    }
}

async fn accept<F, R>(
    socket: TcpListener,
    reset: watch::Receiver<u64>,
    silence: watch::Receiver<u64>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut reset = reset.clone();
        reset.mark_unchanged();
        let mut silence = silence.clone();
        silence.mark_unchanged();
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let server = hyper_util::server::conn::auto::Builder::new(TokioExecutor::new());
            let connection = server.serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => return,
                _ = reset.changed() => return,
                _ = silence.changed() => {}
            }
            // Keeps the socket open without progress until it is reset.
            let _ = reset.changed().await;
        });
    }
}
