//! A client of hosts.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use crate::AUTHORITY;

/// How long a client waits for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// How long a client waits for a whole answer.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or none any more, so that nothing was sent.
    NotSent,
    /// The connection ended before the head of the answer.
    NoAnswer,
    /// The connection ended inside the answer, of which these bytes arrived.
    Cut(u16, Bytes),
    /// The client's time is up.
    TimedOut,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => formatter.write_str("not sent"),
            Self::NoAnswer => formatter.write_str("connection ended without an answer"),
            Self::Cut(status, body) => write!(
                formatter,
                "connection ended inside the answer: status {status}, {} bytes",
                body.len()
            ),
            Self::TimedOut => formatter.write_str("no whole answer in time"),
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the text of a header.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that is kept open.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(Failure::NotSent);
        };
        // Without it, requests may be delayed but are sent.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Failure::NotSent)?;
        spawn_local(connection);
        Ok(Self { sender })
    }

    /// Returns whether the host has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, Failure> {
        let request = build(method, path, headers, body)?;
        timeout(ANSWER_TIME, self.exchange(request, ANSWER_TIME))
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Opens a stream, reads it to its end, and abandons it after `max_gap` without a byte.
    pub async fn stream(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
        max_gap: Duration,
    ) -> Result<Answer, Failure> {
        let request = build("POST", path, headers, body)?;
        self.exchange(request, max_gap).await
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_gap: Duration,
    ) -> Result<Answer, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::NotSent);
        }
        let answer = timeout(max_gap, self.sender.send_request(request))
            .await
            .map_err(|_| Failure::TimedOut)?
            .map_err(|_| Failure::NoAnswer)?;
        let (parts, mut rest) = answer.into_parts();
        let status = parts.status.as_u16();
        let mut body: Vec<u8> = Vec::new();
        loop {
            let cut = || Failure::Cut(status, body.clone().into());
            let Some(frame) = timeout(max_gap, rest.frame()).await.map_err(|_| cut())? else {
                break;
            };
            let frame = frame.map_err(|_| cut())?;
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
        Ok(Answer {
            status,
            headers: parts.headers,
            body: body.into(),
        })
    }
}

fn build(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", AUTHORITY);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
        .body(Full::new(body.into()))
        .map_err(|_| Failure::NotSent)
}

/// Returns the data of the events that arrived whole, with their numbers.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    // The last part is an event that broke off, or empty.
    let (whole, _) = text.rsplit_once("\n\n").unwrap_or_default();
    let decode = |event: &str| {
        let line = |name| event.lines().find_map(move |line| line.strip_prefix(name));
        Some((line("id: ")?.parse().ok()?, line("data: ")?.to_owned()))
    };
    whole.split("\n\n").filter_map(decode).collect()
}

/// Sends a request on a new connection.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Answer, Failure> {
    Connection::open(address)
        .await?
        .send(method, path, headers, body)
        .await
}

/// Returns a result as text for the record.
pub fn describe(result: &Result<Answer, Failure>) -> String {
    match result {
        Ok(answer) => format!("{} ({} bytes)", answer.status, answer.body.len()),
        Err(failure) => failure.to_string(),
    }
}
