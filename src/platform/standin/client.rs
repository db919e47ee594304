//! Clients and trainers, as the platform's own behave.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use super::{AUTHORITY, record::SeenResult};
use crate::platform::names;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// How much longer it waits than it says.
const MARGIN: Duration = Duration::from_millis(1_500);

/// Why a client got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AskError {
    /// No connection opened; nothing was sent.
    NotConnected,
    /// The connection ended without a whole answer.
    Cut,
    /// Its patience was over.
    TimedOut,
}

/// An answer, as far as clients look at it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The status.
    pub status: StatusCode,
    /// Whether an upstream signed it.
    pub is_signed: bool,
    /// The body.
    pub body: Bytes,
}

impl Exchange {
    /// Says whether the answer promises that the request has not run and never
    /// will.
    pub const fn is_refusal(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// A connection to one host, kept for as long as the host keeps it.
#[derive(Debug)]
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails where none opens in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, AskError> {
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = opened else {
            return Err(AskError::NotConnected);
        };
        let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|_| AskError::NotConnected)?;
        spawn_local(async move {
            // Its end shows in the request that it had.
            let _ = connection.await;
        });
        Ok(Self { sender })
    }

    /// Lets `ask` use a new connection for one request.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer.
    pub async fn once(
        address: SocketAddr,
        ask: impl AsyncFnOnce(&mut Self) -> Result<Exchange, AskError>,
    ) -> Result<Exchange, AskError> {
        let mut client = Self::connect(address).await?;
        ask(&mut client).await
    }

    /// Says whether the host closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    async fn ask(&mut self, request: Request<Full<Bytes>>) -> Result<Exchange, AskError> {
        let answered = async {
            self.sender
                .ready()
                .await
                .map_err(|_| AskError::NotConnected)?;
            let answer = self
                .sender
                .send_request(request)
                .await
                .map_err(|_| AskError::Cut)?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await.map_err(|_| AskError::Cut)?;
            Ok(Exchange {
                status: parts.status,
                is_signed: parts.headers.contains_key(names::SERVER_STAMP),
                body: body.to_bytes(),
            })
        };
        timeout(PATIENCE + MARGIN, answered)
            .await
            .unwrap_or(Err(AskError::TimedOut))
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer.
    pub async fn call(&mut self, path: &str, attempt: &str) -> Result<Exchange, AskError> {
        let request = Request::post(path)
            .header(http::header::HOST, AUTHORITY)
            .header(names::ATTEMPT_ID, attempt)
            .header(names::DEADLINE_MS, PATIENCE.as_millis().to_string())
            .body(Full::new(Bytes::from_static(b"call")));
        self.ask(request.map_err(|_| AskError::NotConnected)?).await
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer.
    pub async fn submit(&mut self, path: &str, job: &TrainerJob) -> Result<Exchange, AskError> {
        let items: Vec<Value> = job
            .event_counts
            .iter()
            .enumerate()
            .map(|(index, (item, events))| {
                let body = json!({"model": job.model, "events": events});
                json!({
                    "id": item, "path": format!("{path}{index}"), "tokens": 20 + events,
                    "group": format!("{}-g{}", job.id, index / 4),
                    "headers": {names::TOKEN_USAGE: format!("20,{events}")},
                    "body": STANDARD.encode(body.to_string()),
                })
            })
            .collect();
        let body = json!({
            "step": job.step, "model": job.model, "min_version": job.min_version,
            "desired_count": items.len() / 4, "items": items,
        });
        let request = Request::post(format!("{path}{}", job.id))
            .header(http::header::HOST, AUTHORITY)
            .header(names::ATTEMPT_ID, &job.id)
            .header(names::DEADLINE_MS, PATIENCE.as_millis().to_string())
            .body(Full::new(body.to_string().into()));
        self.ask(request.map_err(|_| AskError::NotConnected)?).await
    }

    /// Reads results of a job behind position `from`.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer.
    pub async fn read(
        &mut self,
        job: &str,
        from: usize,
        wait: Duration,
    ) -> Result<Exchange, AskError> {
        let request = Request::get(format!("{}{job}?after={from}", names::JOBS_PATH))
            .header(http::header::HOST, AUTHORITY)
            .header(names::WAIT_MS, wait.as_millis().to_string())
            .body(Full::default());
        self.ask(request.map_err(|_| AskError::NotConnected)?).await
    }

    /// Ends a job.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer.
    pub async fn end(&mut self, job: &str) -> Result<Exchange, AskError> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("{}{job}", names::JOBS_PATH))
            .header(http::header::HOST, AUTHORITY)
            .body(Full::default());
        self.ask(request.map_err(|_| AskError::NotConnected)?).await
    }

    /// Asks whether the host is ready; the connection is to its ready address.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer.
    pub async fn ready(&mut self) -> Result<Exchange, AskError> {
        let request = Request::get(names::READY_PATH)
            .header(http::header::HOST, AUTHORITY)
            .body(Full::default());
        self.ask(request.map_err(|_| AskError::NotConnected)?).await
    }
}

/// A job of a trainer.
#[derive(Clone, Debug)]
pub struct TrainerJob {
    /// Its name.
    pub id: String,
    /// The model.
    pub model: String,
    /// The step.
    pub step: u64,
    /// The oldest version that may generate.
    pub min_version: u64,
    /// How many events each item makes.
    pub event_counts: BTreeMap<String, u64>,
}

/// Results that were read.
#[derive(Clone, Debug)]
pub struct ResultPage {
    /// How many items the job has.
    pub total_count: usize,
    /// The position behind the last result.
    pub next: usize,
    /// The results.
    pub results: Vec<SeenResult>,
}

impl ResultPage {
    /// Reads an answer; none where it is not what it should be.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let number = |field: &str| usize::try_from(body[field].as_u64()?).ok();
        let results = body["results"].as_array()?.iter().map(|result| {
            Some(SeenResult {
                item: result["id"].as_str()?.to_owned(),
                is_completed: result["state"].as_str()? == "completed",
                text: result["text"].as_str()?.to_owned(),
                versions: result["versions"]
                    .as_array()?
                    .iter()
                    .map(Value::as_u64)
                    .collect::<Option<_>>()?,
            })
        });
        Some(Self {
            total_count: number("total")?,
            next: number("next")?,
            results: results.collect::<Option<_>>()?,
        })
    }
}
