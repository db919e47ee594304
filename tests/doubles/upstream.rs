//! A small upstream on a real socket that fails in stated ways.

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

/// What the upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Answer,
    /// Answers 500, which is an answer like any other.
    AnswerError,
    /// Says that it did not run the request.
    Refuse,
    /// Closes the connection without reading.
    CloseAtOnce,
    /// Reads a part of the request, and closes.
    CloseHalfRead,
    /// Runs the request, and closes without an answer.
    RunAndClose,
    /// Sends fewer bytes than it announced.
    CutLength,
    /// Breaks off within a chunked answer.
    CutChunked,
    /// Sends an answer whose end is the end of the connection.
    Undelimited,
    /// Gives the name of another attempt back.
    OtherAttempt,
    /// Sends the answer twice on the same connection.
    AnswerTwice,
    /// Answers, then closes the connection that the caller keeps.
    AnswerAndClose,
    /// Runs the first request and says nothing more on that connection.
    SilentFirst,
    /// Sends the head of a stream and a chunk, then nothing more.
    SilentStream,
    /// Answers late.
    Late(Duration),
}

pub struct Fake {
    pub address: SocketAddr,
    /// Requests that ran.
    pub runs: Arc<AtomicU32>,
    pub connections: Arc<AtomicU32>,
}

impl Fake {
    pub fn run_count(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

pub async fn spawn(manner: Manner) -> Fake {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fake = Fake {
        address: listener.local_addr().unwrap(),
        runs: Arc::default(),
        connections: Arc::default(),
    };
    let (runs, connections) = (fake.runs.clone(), fake.connections.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let number = connections.fetch_add(1, Ordering::SeqCst);
            let manner = match manner {
                Manner::SilentFirst if number > 0 => Manner::Answer,
                manner => manner,
            };
            tokio::spawn(converse(stream, manner, runs.clone()));
        }
    });
    fake
}

/// An address where nothing listens.
pub async fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn converse(mut stream: TcpStream, manner: Manner, runs: Arc<AtomicU32>) {
    if manner == Manner::CloseAtOnce {
        return;
    }
    if manner == Manner::CloseHalfRead {
        let _ = stream.read(&mut [0; 16]).await;
        return;
    }
    while let Some(body) = read_request(&mut stream).await {
        if manner != Manner::Refuse {
            runs.fetch_add(1, Ordering::SeqCst);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let text = match manner {
            Manner::RunAndClose => return,
            Manner::Refuse => "HTTP/1.1 503 Busy\r\nx-mimosavane-outcome: not-run\r\n\
                 content-length: 0\r\n\r\n"
                .to_owned(),
            Manner::AnswerError => "HTTP/1.1 500 Broken\r\ncontent-length: 2\r\n\r\nno".to_owned(),
            Manner::CutLength => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_owned(),
            Manner::CutChunked | Manner::SilentStream => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n".to_owned()
            }
            Manner::Undelimited => "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned(),
            Manner::OtherAttempt => {
                "HTTP/1.1 200 OK\r\nx-mimosavane-attempt: 00\r\ncontent-length: 2\r\n\r\nno"
                    .to_owned()
            }
            Manner::AnswerTwice => format!("{answer}{answer}"),
            Manner::SilentFirst => String::new(),
            Manner::Late(pause) => {
                sleep(pause).await;
                answer
            }
            _ => answer,
        };
        stream.write_all(text.as_bytes()).await.unwrap_or_default();
        match manner {
            Manner::CutLength
            | Manner::CutChunked
            | Manner::Undelimited
            | Manner::AnswerAndClose => return,
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

/// What an HTTP/2 upstream does with the first request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Resets the stream with REFUSED_STREAM.
    RefuseStream,
    /// Resets the stream with CANCEL, which says nothing.
    CancelStream,
    /// Sends GOAWAY that excludes the stream.
    GoAwayBelow,
    /// Sends GOAWAY that includes the stream, and closes.
    GoAwayIncluding,
}

/// Starts an upstream that speaks just enough HTTP/2 to refuse.
pub async fn spawn_http2(frame: Frame) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(refuse(stream, frame));
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

async fn refuse(mut stream: TcpStream, frame: Frame) -> Option<()> {
    stream.read_exact(&mut [0; PREFACE_BYTES]).await.ok()?;
    send(&mut stream, SETTINGS, 0, &[]).await?;
    let id = loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        stream.read_exact(&mut vec![0; length]).await.ok()?;
        if head[3] == HEADERS {
            break u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        }
    };
    match frame {
        Frame::RefuseStream => {
            send(&mut stream, RST_STREAM, id, &REFUSED_STREAM.to_be_bytes()).await?;
        }
        Frame::CancelStream => {
            send(&mut stream, RST_STREAM, id, &CANCEL.to_be_bytes()).await?;
        }
        Frame::GoAwayBelow => send(&mut stream, GOAWAY, 0, &[0; 8]).await?,
        Frame::GoAwayIncluding => {
            let payload = [id.to_be_bytes(), [0; 4]].concat();
            send(&mut stream, GOAWAY, 0, &payload).await?;
            sleep(Duration::from_millis(20)).await;
            return None;
        }
    }
    // The caller closes the connection.
    while stream.read(&mut [0; 256]).await.ok()? > 0 {}
    None
}

async fn send(stream: &mut TcpStream, kind: u8, id: u32, payload: &[u8]) -> Option<()> {
    let length = u32::try_from(payload.len()).ok()?.to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend([kind, 0]);
    bytes.extend(id.to_be_bytes());
    bytes.extend(payload);
    stream.write_all(&bytes).await.ok()
}
