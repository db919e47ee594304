//! A small HTTP/1.1 server and client on threads, for stand-ins.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// A request that was read to its end.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// By lowercase name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn param(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// An answer with a body of known length.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Self {
            status,
            headers,
            body: body.to_string().into_bytes(),
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

/// What a handler did with a request.
pub enum Handled {
    Reply(Reply),
    /// The handler wrote the whole answer itself.
    Written,
    /// The connection is closed without an answer, or in the middle of one.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> Handled + Send + Sync>;

/// How often a listener looks for new connections.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A listener that is served, with its connections.
pub struct Served {
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    task: Option<JoinHandle<()>>,
}

impl Served {
    /// Closes the listener and all connections, as when a process ends.
    pub fn stop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(task) = self.task.take() {
            // It ends in a millisecond, and has dropped the listener then.
            let _ = task.join();
        }
        for stream in self.open.lock().expect("not poisoned").drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves `listener` with one thread a connection.
pub fn serve(listener: TcpListener, handler: Handler) -> Served {
    listener
        .set_nonblocking(true)
        .expect("a listener that can be polled");
    let is_stopped = Arc::new(AtomicBool::new(false));
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let (stopped, streams) = (is_stopped.clone(), open.clone());
    let task = thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let (Ok(()), Ok(known)) = (stream.set_nonblocking(false), stream.try_clone()) else {
                continue;
            };
            streams.lock().expect("not poisoned").push(known);
            let handler = handler.clone();
            thread::spawn(move || {
                // A peer may go away at any time.
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Served {
        is_stopped,
        open,
        task: Some(task),
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        match handler(&request, &mut writer) {
            Handled::Reply(reply) => write_reply(&mut writer, &reply)?,
            Handled::Written => {}
            Handled::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

fn headers_of(lines: &[String]) -> BTreeMap<String, String> {
    let split = lines.iter().filter_map(|line| line.split_once(':'));
    split
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &BTreeMap<String, String>,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some(lines) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = lines[0].split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = headers_of(&lines[1..]);
    let body = read_body(reader, &headers)?;
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect();
    Ok(Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        query,
        headers,
        body,
    }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn write_reply(writer: &mut impl Write, reply: &Reply) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {} X\r\n", reply.status).into_bytes();
    for (name, value) in &reply.headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", reply.body.len()).as_bytes());
    bytes.extend_from_slice(&reply.body);
    writer.write_all(&bytes)
}

/// Writes one chunk of a body of unknown length; an empty one ends it.
pub fn write_chunk(writer: &mut impl Write, data: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    writer.write_all(&bytes)
}

/// Returns whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let is_closed = match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || is_closed
}

/// The answer to a request of a client.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the answer. `None` if there is none in
/// `limit`.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let lines = read_head(&mut reader).ok()??;
    let status = lines[0].split(' ').nth(1)?.parse().ok()?;
    let headers = headers_of(&lines[1..]);
    let body = read_body(&mut reader, &headers).ok()?;
    Some(Answer { status, body })
}

/// How a stream to a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was refused with this status.
    Refused(u16),
    /// It ended as complete.
    Whole,
    /// It broke off, or never began.
    Broken,
}

/// Opens a stream on a new connection, passes its events to `receive` as they come, and returns
/// how it ended.
pub fn stream(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    limit: Duration,
    mut receive: impl FnMut(u64, &str),
) -> StreamEnd {
    let read = || -> Option<(u16, BufReader<TcpStream>)> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let mut bytes = format!("POST {target} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"Content-Length: 0\r\n\r\n");
        stream.write_all(&bytes).ok()?;
        let mut reader = BufReader::new(stream);
        let lines = read_head(&mut reader).ok()??;
        Some((lines[0].split(' ').nth(1)?.parse().ok()?, reader))
    };
    let Some((status, mut reader)) = read() else {
        return StreamEnd::Broken;
    };
    if status != 200 {
        return StreamEnd::Refused(status);
    }
    let mut text = String::new();
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
            return StreamEnd::Broken;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return StreamEnd::Broken;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return StreamEnd::Broken;
        }
        if size == 0 {
            return StreamEnd::Whole;
        }
        text.push_str(&String::from_utf8_lossy(&chunk[..size]));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            if let (Some(id), Some(data)) = (field("id: "), field("data: "))
                && let Ok(id) = id.parse()
            {
                receive(id, data);
            }
        }
    }
}
