//! A small HTTP client for the stand-ins that call the service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};

/// The reason that a call received no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be built.
    #[error("the request is not valid: {0}")]
    Request(#[from] http::Error),
    /// The body could not be encoded.
    #[error("the body cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The answer ended prematurely.
    #[error("the answer ended prematurely: {0}")]
    Body(#[from] hyper::Error),
    /// No complete answer arrived before the timeout.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// An HTTP client that never retries a request.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool, timeout }
    }

    /// Sends `body` to `path` at `address` and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives before the timeout.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        tokio::time::timeout(self.timeout, self.send_and_collect(request))
            .await
            .map_err(|_| CallError::Timeout(self.timeout))?
    }

    /// Posts `body` as JSON, with `token` as the bearer token.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::send`] does, and if the body cannot be encoded.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        token: &str,
        body: &impl serde::Serialize,
    ) -> Result<Answer, CallError> {
        let body = serde_json::to_vec(body)?;
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        self.send(Method::POST, address, path, &headers, body).await
    }

    async fn send_and_collect(&self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let response = self.pool.request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}
