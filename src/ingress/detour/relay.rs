//! Relays the store calls of other hosts, which the store refuses or which cannot
//! reach it.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, task::spawn_local};

use super::FallbackStore;
use crate::{
    ingress::{
        intake::{self, BodyError, BodyTerms},
        memory::{Holder, Side},
        replies::{Reply, reply},
        server,
        tracked::{OpenRequest, Progress, TrackedStream},
    },
    store::rows::{NotAppliedReason, PeerCalls, RelayedStore, RowError},
};

/// The idle timeout of a connection from another host.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What the body of a relayed call must keep to; the platform accepts 1 MB, and a host sends
/// a body in one piece.
const BODY_TERMS: BodyTerms = BodyTerms {
    max_bytes: 2 << 20,
    idle_timeout: Duration::from_secs(5),
    time_left: Duration::from_secs(10),
};

/// The largest buffer of a connection from another host, whose heads are as large as those of
/// clients.
const MAX_BUFFER_BYTES: usize = 32 << 10;

impl<S: RelayedStore> FallbackStore<S> {
    /// Serves calls that other hosts relay through this one.
    pub(super) async fn serve(&self, listener: TcpListener, peers: impl PeerCalls) {
        loop {
            let Some(stream) = server::accept(&listener).await else {
                continue;
            };
            let Ok(connection) = peers.memory().open(Side::Peer).await else {
                tracing::info!(event = "peer.not_admitted");
                continue;
            };
            let (this, peers) = (self.clone(), peers.clone());
            spawn_local(async move {
                let holder = connection.holder.clone();
                let progress = Progress::new(holder.clone());
                let service = service_fn(|request: Request<Incoming>| {
                    let open = OpenRequest::new(&progress);
                    let (this, peers, holder) = (&this, &peers, &holder);
                    async move {
                        let answer = this.handle_peer_call(request, peers, holder).await;
                        answer.map(|answer| open.answer(answer))
                    }
                });
                let stream = TrackedStream::new(stream, progress.clone());
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .max_buf_size(MAX_BUFFER_BYTES)
                    .serve_connection(TokioIo::new(stream), service);
                // The other host notices that its connection ended.
                tokio::select! {
                    biased;
                    _ = served => {}
                    () = holder.evicted() => {}
                }
            });
        }
    }

    /// Handles a call of another host: one that is relayed to the store, or one that
    /// `peers` answers. The error closes the connection if the outcome of the call is
    /// unknown.
    async fn handle_peer_call(
        &self,
        request: Request<Incoming>,
        peers: &impl PeerCalls,
        holder: &Holder,
    ) -> Result<Reply, RowError> {
        let (mut parts, body) = request.into_parts();
        let body = match intake::collect_request(holder, body, BODY_TERMS, |_| 0).await {
            Ok(body) => body.into_bytes(),
            Err(BodyError::Broken(_)) => return Err(RowError::Unknown),
            Err(error) => {
                let reason = error.reason();
                tracing::info!(event = "peer.refused", reason, path = parts.uri.path());
                return Ok(error.into_reply());
            }
        };
        // The answer is counted for the same holder.
        parts.extensions.insert(holder.clone());
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        if let Some(answer) = peers.answer(path, &body) {
            return Ok(reply(StatusCode::OK, answer));
        }
        if let Some(answer) = peers.answer_later(&parts, &body).await {
            return Ok(answer);
        }
        let forwarded = self.forward(parts.method, path, body).await;
        let (status, body) = match forwarded {
            Ok(Some(answer)) => answer,
            Ok(None) => (StatusCode::NOT_FOUND, Bytes::new()),
            Err(RowError::NotApplied { .. }) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            Err(error) => return Err(error),
        };
        // A change may have been applied, so that there is no refusal from here on.
        let charge = holder.charge(body.len()).await;
        let charge = charge.map_err(|_| RowError::Unknown)?;
        Ok(reply(status, charge.hold(body)))
    }

    /// Forwards a call of another host to the store, if the store is available
    /// to this one.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer.
    pub async fn forward(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Option<(StatusCode, Bytes)>, RowError> {
        if self.is_store_unavailable() {
            return Err(RowError::NotApplied {
                reason: NotAppliedReason::Unavailable,
            });
        }
        self.shared.direct.forward(method, path, body).await
    }
}
