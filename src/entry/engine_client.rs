//! The HTTP client for engines and their completion streams.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

use crate::engine::api::{CompletionChunk, CompletionRequest, Report};

/// The maximum size of one event in a stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The response header in which an upstream announces that it is leaving.
const LEAVING_HEADER: &str = "x-leaving";

/// The time after which an idle connection to an engine is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The data of the event that ends a complete stream.
const END_OF_STREAM: &[u8] = b"[DONE]";

/// The reason why an engine's response is missing or incomplete.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The request could not be built.
    #[error("the request to the engine is not valid: {0}")]
    Request(#[from] http::Error),
    /// The request could not be encoded.
    #[error("the request to the engine cannot be encoded: {0}")]
    Encode(serde_json::Error),
    /// No connection was established, so nothing ran.
    #[error("the engine cannot be reached: {0}")]
    Connect(hyper_util::client::legacy::Error),
    /// The connection failed when the request may already have been sent.
    #[error("the connection to the engine failed: {0}")]
    Broken(hyper_util::client::legacy::Error),
    /// The connection failed within the response body.
    #[error("the engine's answer broke off: {0}")]
    Body(#[from] hyper::Error),
    /// The engine responded with an error status.
    #[error("the engine refused with status {0}")]
    Status(http::StatusCode),
    /// The response could not be parsed.
    #[error("the engine's answer is malformed: {0}")]
    Malformed(serde_json::Error),
    /// An event of the stream exceeds the size limit.
    #[error("an event of the engine is over {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The engine sent nothing within the silence timeout.
    #[error("the engine sent nothing for {0:?}")]
    Silent(Duration),
    /// The stream ended before its final event.
    #[error("the engine's stream ended early")]
    Truncated,
}

impl EngineError {
    /// Returns whether the engine certainly did not run the request.
    pub const fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Request(_) | Self::Encode(_) | Self::Connect(_) | Self::Status(_)
        )
    }
}

/// A client for all engines.
///
/// Completions are idempotent: an engine keeps no state of them except its
/// cache. Automatic retries of the HTTP library are still disabled, so that
/// each try is an attempt that the dispatcher counts and that has its own
/// evidence.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// use mimosavane::{entry::engine_client::EngineClient, standin::engine};
/// use std::time::Duration;
///
/// let engine = engine::Engine::start(engine::Config::default()).await?;
/// let client = EngineClient::new(Duration::from_secs(1));
/// let report = client.report(engine.address()).await?;
/// assert_eq!(report.weight_version, 1);
/// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: Client<HttpConnector, Full<Bytes>>,
    silence_timeout: Duration,
}

impl EngineClient {
    /// Creates a client that fails a request or stream after `silence_timeout`
    /// without any data.
    pub fn new(silence_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(silence_timeout));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            client,
            silence_timeout,
        }
    }

    /// Starts a completion and returns its event stream.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, responds with an error status, or
    /// stays silent.
    pub async fn complete(
        &self,
        engine: SocketAddr,
        request: &CompletionRequest,
    ) -> Result<CompletionStream, EngineError> {
        let body = serde_json::to_vec(request).map_err(EngineError::Encode)?;
        let request = Request::post(format!("http://{engine}/v1/completions"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let body = self.fetch_body(request).await?;
        Ok(CompletionStream {
            body,
            buffer: BytesMut::new(),
            silence_timeout: self.silence_timeout,
        })
    }

    /// Requests the report of an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, responds with an error status, or
    /// stays silent.
    pub async fn report(&self, engine: SocketAddr) -> Result<Report, EngineError> {
        self.get(&format!("http://{engine}/v1/report")).await
    }

    /// Returns whether a plain service is leaving, from the `x-leaving` header
    /// of its response; any status will do.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached or stays silent.
    pub async fn is_leaving(&self, service: SocketAddr) -> Result<bool, EngineError> {
        let request = Request::head(format!("http://{service}/")).body(Full::new(Bytes::new()))?;
        let response = self.fetch_response(request).await?;
        let leaving = response.headers().get(LEAVING_HEADER);
        Ok(leaving.is_some_and(|value| value == "true"))
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached, responds with an error status,
    /// stays silent, or sends a document of another form.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, EngineError> {
        let request = Request::get(url).body(Full::new(Bytes::new()))?;
        let body = self.fetch_body(request).await?;
        let read = tokio::time::timeout(self.silence_timeout, body.collect()).await;
        let bytes = read
            .map_err(|_| EngineError::Silent(self.silence_timeout))??
            .to_bytes();
        serde_json::from_slice(&bytes).map_err(EngineError::Malformed)
    }

    async fn fetch_response(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, EngineError> {
        let sent = self.client.request(request);
        tokio::time::timeout(self.silence_timeout, sent)
            .await
            .map_err(|_| EngineError::Silent(self.silence_timeout))?
            .map_err(classify_error)
    }

    async fn fetch_body(&self, request: Request<Full<Bytes>>) -> Result<Incoming, EngineError> {
        let response = self.fetch_response(request).await?;
        if !response.status().is_success() {
            return Err(EngineError::Status(response.status()));
        }
        Ok(response.into_body())
    }
}

fn classify_error(error: hyper_util::client::legacy::Error) -> EngineError {
    if error.is_connect() {
        EngineError::Connect(error)
    } else {
        EngineError::Broken(error)
    }
}

/// A streamed completion; dropping it cancels the request at the engine.
#[derive(Debug)]
pub struct CompletionStream {
    body: Incoming,
    buffer: BytesMut,
    silence_timeout: Duration,
}

impl CompletionStream {
    /// Returns the next chunk, or `None` after the final event.
    ///
    /// # Errors
    ///
    /// Fails if the stream is cut short, stays silent, or is malformed.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, EngineError> {
        loop {
            if let Some(event) = self.take_event() {
                if event.as_ref() == END_OF_STREAM {
                    return Ok(None);
                }
                let chunk = serde_json::from_slice(&event).map_err(EngineError::Malformed)?;
                return Ok(Some(chunk));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EngineError::TooLong);
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), EngineError> {
        let frame = tokio::time::timeout(self.silence_timeout, self.body.frame())
            .await
            .map_err(|_| EngineError::Silent(self.silence_timeout))?
            .ok_or(EngineError::Truncated)??;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(())
    }

    /// Removes the first complete event from the buffer and returns its data.
    fn take_event(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buffer.split_to(end + 2).freeze();
        let line = event.slice(..end);
        let data = line.strip_prefix(b"data: ").unwrap_or(&line);
        Some(line.slice_ref(data))
    }
}
