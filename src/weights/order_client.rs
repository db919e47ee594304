//! Sends orders to engines and fetches their reports.
//!
//! Each order is sent once. Its fencing number is requested only when the
//! connection is open, so that the lease is checked just before the send.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as PlainClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    connection::{ConnectError, Connection, Pool, Protocol, SendError, Target, UpstreamRequest},
    engine::api,
    ids::FenceNumber,
    weights::order::{Order, OrderOutcome},
};

/// The error of a failed fetch of a report or a list.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The request could not be sent, or got no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The URL of the list is malformed.
    #[error("malformed URL")]
    Address(#[from] http::uri::InvalidUri),
    /// The request for the list failed.
    #[error("request for the list failed")]
    List(#[from] hyper_util::client::legacy::Error),
    /// The connection failed before the whole answer arrived.
    #[error("connection failed before the whole answer arrived")]
    Cut(#[from] hyper::Error),
    /// The status of the answer is not a success.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The answer is not JSON of the expected shape.
    #[error("malformed JSON in the answer")]
    Malformed(#[from] serde_json::Error),
    /// No whole answer arrived in time.
    #[error("timed out")]
    TimedOut,
}

/// A client of engines; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    connections: Pool,
    plain: PlainClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits at most `timeout` for each answer.
    pub fn new(connections: Pool, timeout: Duration) -> Self {
        Self {
            connections,
            plain: PlainClient::builder(TokioExecutor::new()).build_http(),
            timeout,
        }
    }

    /// Fetches the report of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole report arrives in time.
    pub async fn report(&self, engine: SocketAddr) -> Result<api::Report, FetchError> {
        timeout(self.timeout, self.fetch_report(engine))
            .await
            .map_err(|_| FetchError::TimedOut)?
    }

    /// Fetches the JSON document at `url`.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole document arrives in time.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, FetchError> {
        let fetched = async {
            let answer = self.plain.get(url.parse()?).await?;
            read_json(answer).await
        };
        timeout(self.timeout, fetched)
            .await
            .map_err(|_| FetchError::TimedOut)?
    }

    /// Sends an order once, unless `fence` returns no number just before the
    /// send.
    pub async fn send(
        &self,
        engine: SocketAddr,
        order: &Order,
        fence: impl Fn() -> Option<FenceNumber>,
    ) -> OrderOutcome {
        let Ok(Ok(connection)) = timeout(self.timeout, self.connections.open(http1(engine))).await
        else {
            return OrderOutcome::NotSent;
        };
        let Some(fence) = fence() else {
            return OrderOutcome::NotSent;
        };
        let Ok(body) = serde_json::to_vec(&order.to_message(fence)) else {
            return OrderOutcome::NotSent;
        };
        let request = request(engine, Method::POST, "/v1/orders", body);
        timeout(self.timeout, exchange(connection, request))
            .await
            .unwrap_or(OrderOutcome::Failed)
    }

    async fn fetch_report(&self, engine: SocketAddr) -> Result<api::Report, FetchError> {
        let mut connection = self.connections.checkout(http1(engine)).await?;
        let request = request(engine, Method::GET, "/v1/report", Vec::new());
        let answer = connection.send(request).await?;
        let report = read_json(answer).await?;
        connection.release();
        Ok(report)
    }
}

fn http1(address: SocketAddr) -> Target {
    Target {
        address,
        protocol: Protocol::Http1,
    }
}

fn request(
    engine: SocketAddr,
    method: Method,
    path: &'static str,
    body: Vec<u8>,
) -> UpstreamRequest {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = HeaderValue::from_str(&engine.to_string()) {
        headers.insert(header::HOST, host);
    }
    request
}

async fn exchange(mut connection: Connection, request: UpstreamRequest) -> OrderOutcome {
    match connection.send(request).await {
        Ok(answer) if answer.status() == StatusCode::CONFLICT => OrderOutcome::Stale,
        Ok(answer) if answer.status().is_success() => OrderOutcome::Accepted,
        Ok(_) | Err(SendError::Lost(_) | SendError::Flooded) => OrderOutcome::Failed,
        Err(SendError::HandedBack(_) | SendError::Refused(_)) => OrderOutcome::NotSent,
    }
}

async fn read_json<T: DeserializeOwned>(answer: Response<Incoming>) -> Result<T, FetchError> {
    if !answer.status().is_success() {
        return Err(FetchError::Status(answer.status()));
    }
    let body = answer.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
