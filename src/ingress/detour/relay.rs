//! Relays the store calls of other hosts, which the store refuses or which cannot
//! reach it.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, task::spawn_local};

use super::FallbackStore;
use crate::{
    ingress::{
        replies::{Reply, reply},
        server,
    },
    store::rows::{NotAppliedReason, PeerCalls, RelayedStore, RowError},
};

/// The idle timeout of a connection from another host.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The largest body of a relayed call; the platform accepts 1 MB.
const MAX_BODY_BYTES: usize = 2 << 20;

impl<S: RelayedStore> FallbackStore<S> {
    /// Serves calls that other hosts relay through this one.
    pub(super) async fn serve(&self, listener: TcpListener, peers: impl PeerCalls) {
        loop {
            let Some(stream) = server::accept(&listener).await else {
                continue;
            };
            let (this, peers) = (self.clone(), peers.clone());
            spawn_local(async move {
                let service =
                    service_fn(|request: Request<Incoming>| this.handle_peer_call(request, &peers));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                // The other host notices that its connection ended.
                let _ = connection.await;
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
    ) -> Result<Reply, RowError> {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|_| RowError::Unknown)?
            .to_bytes();
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
        Ok(reply(status, body))
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
