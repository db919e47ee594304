//! A fake upstream on a real socket that fails in specified ways.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How the upstream handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Answer,
    /// Responds with status 500, which counts as a response like any other.
    AnswerError,
    /// Responds that it did not run the request.
    Refuse,
    /// Closes the connection without reading.
    CloseAtOnce,
    /// Reads part of the request and closes the connection.
    CloseHalfRead,
    /// Runs the request and closes the connection without a response.
    RunAndClose,
    /// Sends fewer bytes than its `content-length`.
    CutLength,
    /// Closes the connection within a chunked response.
    CutChunked,
    /// Sends a response that is delimited only by the end of the connection.
    Undelimited,
    /// Echoes the id of a different attempt.
    OtherAttempt,
    /// Sends the response twice on the same connection.
    AnswerTwice,
    /// Responds, then closes the connection, which the caller keeps.
    AnswerAndClose,
    /// Runs the first request and sends nothing on that connection; later
    /// connections are answered.
    SilentFirst,
    /// Sends the head of a stream and one chunk, then nothing more.
    SilentStream,
    /// Responds after this delay.
    Late(Duration),
}

pub struct FakeUpstream {
    pub address: SocketAddr,
    /// The number of requests that ran.
    pub runs: Arc<AtomicU32>,
    pub connections: Arc<AtomicU32>,
}

impl FakeUpstream {
    pub fn run_count(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

pub async fn spawn(behaviour: Behaviour) -> FakeUpstream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fake = FakeUpstream {
        address: listener.local_addr().unwrap(),
        runs: Arc::default(),
        connections: Arc::default(),
    };
    let (runs, connections) = (fake.runs.clone(), fake.connections.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let number = connections.fetch_add(1, Ordering::SeqCst);
            let behaviour = match behaviour {
                Behaviour::SilentFirst if number > 0 => Behaviour::Answer,
                behaviour => behaviour,
            };
            tokio::spawn(serve_connection(stream, behaviour, runs.clone()));
        }
    });
    fake
}

/// Returns an address without a listener.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn serve_connection(mut stream: TcpStream, behaviour: Behaviour, runs: Arc<AtomicU32>) {
    if behaviour == Behaviour::CloseAtOnce {
        return;
    }
    if behaviour == Behaviour::CloseHalfRead {
        let _ = stream.read(&mut [0; 16]).await;
        return;
    }
    while let Some(body) = read_request(&mut stream).await {
        if behaviour != Behaviour::Refuse {
            runs.fetch_add(1, Ordering::SeqCst);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let text = match behaviour {
            Behaviour::RunAndClose => return,
            Behaviour::Refuse => "HTTP/1.1 503 Busy\r\nx-mimosavane-outcome: not-run\r\n\
                 content-length: 0\r\n\r\n"
                .to_owned(),
            Behaviour::AnswerError => {
                "HTTP/1.1 500 Broken\r\ncontent-length: 2\r\n\r\nno".to_owned()
            }
            Behaviour::CutLength => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_owned(),
            Behaviour::CutChunked | Behaviour::SilentStream => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n".to_owned()
            }
            Behaviour::Undelimited => "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned(),
            Behaviour::OtherAttempt => {
                "HTTP/1.1 200 OK\r\nx-mimosavane-attempt: 00\r\ncontent-length: 2\r\n\r\nno"
                    .to_owned()
            }
            Behaviour::AnswerTwice => format!("{answer}{answer}"),
            Behaviour::SilentFirst => String::new(),
            Behaviour::Late(delay) => {
                sleep(delay).await;
                answer
            }
            _ => answer,
        };
        stream.write_all(text.as_bytes()).await.unwrap_or_default();
        match behaviour {
            Behaviour::CutLength
            | Behaviour::CutChunked
            | Behaviour::Undelimited
            | Behaviour::AnswerAndClose => return,
            _ => {}
        }
    }
}

/// Reads one request and returns its body.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse().unwrap());
            if body.len() >= length {
                return Some(body.to_owned());
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// How an HTTP/2 upstream fails the first request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Http2Fault {
    /// Resets the stream with REFUSED_STREAM.
    RefuseStream,
    /// Resets the stream with CANCEL, which leaves the outcome unknown.
    CancelStream,
    /// Sends a GOAWAY frame that excludes the stream.
    GoAwayExcluding,
    /// Sends a GOAWAY frame that includes the stream and closes the connection.
    GoAwayIncluding,
}

/// Starts an upstream with just enough HTTP/2 to fail a request.
pub async fn spawn_http2(fault: Http2Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(fail_first_request(stream, fault));
        }
    });
    address
}

const PREFACE_BYTES: usize = 24;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const REFUSED_STREAM: u32 = 7;
const CANCEL: u32 = 8;

async fn fail_first_request(mut stream: TcpStream, fault: Http2Fault) -> Option<()> {
    stream.read_exact(&mut [0; PREFACE_BYTES]).await.ok()?;
    send_frame(&mut stream, SETTINGS, 0, &[]).await?;
    let id = loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        stream.read_exact(&mut vec![0; length]).await.ok()?;
        if head[3] == HEADERS {
            break u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        }
    };
    match fault {
        Http2Fault::RefuseStream => {
            send_frame(&mut stream, RST_STREAM, id, &REFUSED_STREAM.to_be_bytes()).await?;
        }
        Http2Fault::CancelStream => {
            send_frame(&mut stream, RST_STREAM, id, &CANCEL.to_be_bytes()).await?;
        }
        Http2Fault::GoAwayExcluding => send_frame(&mut stream, GOAWAY, 0, &[0; 8]).await?,
        Http2Fault::GoAwayIncluding => {
            let payload = [id.to_be_bytes(), [0; 4]].concat();
            send_frame(&mut stream, GOAWAY, 0, &payload).await?;
            sleep(Duration::from_millis(20)).await;
            return None;
        }
    }
    // The caller closes the connection.
    while stream.read(&mut [0; 256]).await.ok()? > 0 {}
    None
}

async fn send_frame(stream: &mut TcpStream, kind: u8, id: u32, payload: &[u8]) -> Option<()> {
    let length = u32::try_from(payload.len()).ok()?.to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend([kind, 0]);
    bytes.extend(id.to_be_bytes());
    bytes.extend(payload);
    stream.write_all(&bytes).await.ok()
}
