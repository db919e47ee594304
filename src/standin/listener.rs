//! A small HTTP server that all stand-ins answer through.

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

/// The error that aborts an answer halfway, as a crash would.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in broke off its answer")]
pub struct Broken;

/// A streamed body whose sender may break it off.
pub type Stream = StreamBody<ReceiverStream<Result<Frame<Bytes>, Broken>>>;

/// A whole or a streamed answer.
pub type Body = Either<Full<Bytes>, Stream>;

/// Builds a JSON answer with `status`.
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

/// Reads a whole request body; a broken one reads as empty.
pub async fn read(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}

/// A running stand-in; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Listener {
    /// Where it answers.
    pub address: SocketAddr,
    connections: watch::Sender<u64>,
    silenced: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Answers HTTP on `address` with `handler`.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn start<F, R>(address: SocketAddr, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (connections, generation) = watch::channel(0);
        let (silenced, silence) = watch::channel(0);
        let task = tokio::spawn(accept(socket, generation, silence, handler));
        Ok(Self {
            address,
            connections,
            silenced,
            task,
        })
    }

    /// Lets all open connections go silent for good, while new ones work, as a
    /// middlebox does that lost track of them.
    pub fn silence_connections(&self) {
        self.silenced.send_modify(|generation| *generation += 1);
    }

    /// Resets all open connections, as a crashed process would.
    pub fn reset_connections(&self) {
        self.connections.send_modify(|generation| *generation += 1);
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
    generation: watch::Receiver<u64>,
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
        let mut generation = generation.clone();
        generation.mark_unchanged();
        let mut silence = silence.clone();
        silence.mark_unchanged();
        let handler = handler.clone();
        tokio::spawn(async move {
            let answer = service_fn(move |request| {
                let answered = handler(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let server = hyper_util::server::conn::auto::Builder::new(TokioExecutor::new());
            let connection = server.serve_connection(TokioIo::new(stream), answer);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => return,
                _ = generation.changed() => return,
                _ = silence.changed() => {}
            }
            // The socket stays open and nothing moves until it is reset.
            let _ = generation.changed().await;
        });
    }
}
