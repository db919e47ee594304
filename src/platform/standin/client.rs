//! Stand-ins for the platform's clients and trainers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use super::{
    AUTHORITY, MODELS, SCORE_PATH, SCORED_MODEL, header_text, record::SeenResult, reward_id,
};
use crate::{
    ingress::wire::EventParser as _,
    platform::{events::PlatformEvents, names},
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The deadline that a client sends with its requests.
const REQUEST_DEADLINE: Duration = Duration::from_millis(3_000);

/// How much longer a client waits than the deadline that it sends.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_500);

/// The number of events of a whole stream, of which each takes some 20 ms.
const STREAM_EVENT_COUNT: u64 = 100;

/// Why a client received no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestError {
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection was closed before the answer was complete.
    Cut,
    /// The client's timeout elapsed.
    TimedOut,
}

/// The parts of an answer that clients check.
#[derive(Clone, Debug)]
pub struct ReceivedAnswer {
    /// The status.
    pub status: StatusCode,
    /// The signature of the upstream.
    pub stamp: Option<String>,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// The body.
    pub body: Bytes,
}

impl ReceivedAnswer {
    /// Returns whether the answer guarantees that the request has not run and
    /// never will.
    pub const fn is_refusal(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }

    /// Returns which start of an upstream answered a call.
    pub fn upstream_start(&self) -> Option<&str> {
        Some(self.stamp.as_deref()?.rsplit_once('.')?.0)
    }
}

/// What a client has read of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamStart {
    /// The status.
    pub status: StatusCode,
    /// The number of the last event.
    pub last_event: u64,
}

/// A connection to one host, used until the host closes it.
#[derive(Debug)]
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
    /// The headers of all requests that show or claim an account.
    account_headers: HeaderMap,
}

impl Client {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not opened in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, RequestError> {
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = opened else {
            return Err(RequestError::NotConnected);
        };
        let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|_| RequestError::NotConnected)?;
        spawn_local(async move {
            // The request in flight reports a failure of the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            account_headers: HeaderMap::new(),
        })
    }

    /// Sends one request with `send` on a new connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn send_once(
        address: SocketAddr,
        send: impl AsyncFnOnce(&mut Self) -> Result<ReceivedAnswer, RequestError>,
    ) -> Result<ReceivedAnswer, RequestError> {
        let mut client = Self::connect(address).await?;
        send(&mut client).await
    }

    /// Sends `keys` with all further requests; more than one is an error of the client.
    pub fn present_keys(&mut self, keys: &[&str]) {
        let name = HeaderName::from_static(names::API_KEY);
        self.account_headers.remove(&name);
        for key in keys {
            if let Ok(key) = HeaderValue::from_str(key) {
                self.account_headers.append(name.clone(), key);
            }
        }
    }

    /// Names `account` in all further requests and their items, which only hosts may do.
    pub fn claim_account(&mut self, account: &str) {
        if let Ok(account) = HeaderValue::from_str(account) {
            let name = HeaderName::from_static(names::TENANT);
            self.account_headers.insert(name, account);
        }
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<ReceivedAnswer, RequestError> {
        request.headers_mut().extend(self.account_headers.clone());
        let answered = async {
            self.sender
                .ready()
                .await
                .map_err(|_| RequestError::NotConnected)?;
            let answer = self
                .sender
                .send_request(request)
                .await
                .map_err(|_| RequestError::Cut)?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await.map_err(|_| RequestError::Cut)?;
            Ok(ReceivedAnswer {
                status: parts.status,
                stamp: header_text(&parts.headers, names::SERVER_STAMP).map(str::to_owned),
                is_leaving: parts.headers.contains_key(names::SERVER_LEAVING),
                body: body.to_bytes(),
            })
        };
        timeout(REQUEST_DEADLINE + DEADLINE_MARGIN, answered)
            .await
            .unwrap_or(Err(RequestError::TimedOut))
    }

    /// Sends a call of `attempt` to `path`.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn call(
        &mut self,
        path: &str,
        attempt: &str,
    ) -> Result<ReceivedAnswer, RequestError> {
        let request = Request::post(path)
            .header(http::header::HOST, AUTHORITY)
            .header(names::ATTEMPT_ID, attempt)
            .header(names::DEADLINE_MS, REQUEST_DEADLINE.as_millis().to_string())
            .body(Full::new(Bytes::from_static(b"call")));
        self.send(request.map_err(|_| RequestError::NotConnected)?)
            .await
    }

    /// Opens a stream at `path`, or takes up that of `resumed` after its last event, and
    /// reads it until the answer ends or has brought `event_count` events.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn stream(
        &mut self,
        path: &str,
        attempt: &str,
        resumed: Option<(&str, u64)>,
        event_count: usize,
    ) -> Result<StreamStart, RequestError> {
        let body = json!({"model": MODELS[0].0, "events": STREAM_EVENT_COUNT});
        let mut request = Request::post(path)
            .header(http::header::HOST, AUTHORITY)
            .header(names::ATTEMPT_ID, attempt)
            .header(names::DEADLINE_MS, REQUEST_DEADLINE.as_millis().to_string());
        if let Some((begun, last_event)) = resumed {
            request = request
                .header(names::RESUMES, begun)
                .header(names::LAST_EVENT_ID, last_event.to_string());
        }
        let mut request = request
            .body(Full::new(body.to_string().into()))
            .map_err(|_| RequestError::NotConnected)?;
        request.headers_mut().extend(self.account_headers.clone());
        let answered = async {
            let answer = self
                .sender
                .send_request(request)
                .await
                .map_err(|_| RequestError::Cut)?;
            let status = answer.status();
            let mut body = answer.into_body();
            let mut events = PlatformEvents::default();
            let mut last_event = resumed.map_or(0, |(_, last_event)| last_event);
            let mut read_count = 0;
            while read_count < event_count
                && let Some(Ok(frame)) = body.frame().await
            {
                let read = frame.data_ref().map(|data| events.push(data));
                let Some(Ok(read)) = read else { break };
                read_count += read.len();
                last_event = read.last().map_or(last_event, |event| event.number);
            }
            Ok(StreamStart { status, last_event })
        };
        timeout(REQUEST_DEADLINE + DEADLINE_MARGIN, answered)
            .await
            .unwrap_or(Err(RequestError::TimedOut))
    }

    /// Submits a batch job to `path`.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn submit(
        &mut self,
        path: &str,
        job: &TrainerJob,
    ) -> Result<ReceivedAnswer, RequestError> {
        let items: Vec<Value> = job
            .event_counts
            .iter()
            .enumerate()
            .map(|(index, (item, events))| {
                let body = json!({"model": job.model, "events": events});
                let mut item_document = json!({
                    "id": item, "path": format!("{path}{index}"), "tokens": 20 + events,
                    "group": format!("{}-g{}", job.id, index / 4),
                    "headers": {names::TOKEN_USAGE: format!("20,{events}")},
                    "body": STANDARD.encode(body.to_string()),
                });
                if let Some(account) = header_text(&self.account_headers, names::TENANT) {
                    let headers = &mut item_document["headers"];
                    headers[names::TENANT] = json!(account);
                    headers[names::API_KEY] = json!("key-of-an-item");
                }
                if job.model == SCORED_MODEL {
                    item_document["scorer"] = json!({
                        "id": reward_id(item), "host": AUTHORITY,
                        "path": format!("{SCORE_PATH}{index}"), "body": STANDARD.encode("score"),
                    });
                }
                item_document
            })
            .collect();
        let body = json!({
            "step": job.step, "model": job.model, "min_version": job.min_version,
            "desired_count": items.len() / 4, "items": items,
        });
        let request = Request::post(format!("{path}{}", job.id))
            .header(http::header::HOST, AUTHORITY)
            .header(names::ATTEMPT_ID, &job.id)
            .header(names::DEADLINE_MS, REQUEST_DEADLINE.as_millis().to_string())
            .body(Full::new(body.to_string().into()));
        self.send(request.map_err(|_| RequestError::NotConnected)?)
            .await
    }

    /// Reads the results of a job from position `from`, waiting for up to `wait`.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn read(
        &mut self,
        job: &str,
        from: usize,
        wait: Duration,
    ) -> Result<ReceivedAnswer, RequestError> {
        let request = Request::get(format!("{}{job}?after={from}", names::JOBS_PATH))
            .header(http::header::HOST, AUTHORITY)
            .header(names::WAIT_MS, wait.as_millis().to_string())
            .body(Full::default());
        self.send(request.map_err(|_| RequestError::NotConnected)?)
            .await
    }

    /// Ends a batch job.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn end(&mut self, job: &str) -> Result<ReceivedAnswer, RequestError> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("{}{job}", names::JOBS_PATH))
            .header(http::header::HOST, AUTHORITY)
            .body(Full::default());
        self.send(request.map_err(|_| RequestError::NotConnected)?)
            .await
    }

    /// Sends the readiness probe. The connection must be to the host's readiness
    /// address.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn ready(&mut self) -> Result<ReceivedAnswer, RequestError> {
        let request = Request::get(names::READY_PATH)
            .header(http::header::HOST, AUTHORITY)
            .body(Full::default());
        self.send(request.map_err(|_| RequestError::NotConnected)?)
            .await
    }
}

/// A batch job of a trainer.
#[derive(Clone, Debug)]
pub struct TrainerJob {
    /// The id of the job.
    pub id: String,
    /// The model.
    pub model: String,
    /// The step.
    pub step: u64,
    /// The oldest weight version that may generate.
    pub min_version: u64,
    /// The number of events that each item generates.
    pub event_counts: BTreeMap<String, u64>,
}

/// A page of results of a job.
#[derive(Clone, Debug)]
pub struct ResultPage {
    /// The number of items in the job.
    pub total_count: usize,
    /// The position after the last result.
    pub next: usize,
    /// The results.
    pub results: Vec<SeenResult>,
}

impl ResultPage {
    /// Parses the body of an answer, or returns `None` if it is malformed.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let number = |field: &str| usize::try_from(body[field].as_u64()?).ok();
        let results = body["results"].as_array()?.iter().map(|result| {
            Some(SeenResult {
                item: result["id"].as_str()?.to_owned(),
                is_completed: result["state"].as_str()? == "completed",
                text: result["text"].as_str()?.to_owned(),
                score: result["score"].as_str().map(str::to_owned),
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
