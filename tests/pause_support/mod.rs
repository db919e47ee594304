//! A hook that pauses a process at any of its awaits, and servers that go on meanwhile.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]
#![allow(dead_code, reason = "each test uses a part")]

use std::{
    cell::Cell,
    collections::BTreeMap,
    future::poll_fn,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    pin::pin,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The longest time between two looks at a [`PlayDeadline`] that counts.
const MAX_STEP: Duration = Duration::from_secs(1);

/// A deadline in the time for which the test itself ran. A machine that stands still for
/// seconds stops the test with all of its hosts, and makes none of them late.
#[derive(Debug)]
pub struct PlayDeadline {
    left: Cell<Duration>,
    seen_at: Cell<Instant>,
}

impl PlayDeadline {
    pub fn after(time: Duration) -> Self {
        Self {
            left: Cell::new(time),
            seen_at: Cell::new(Instant::now()),
        }
    }

    /// Returns whether the time is over. It must be asked more often than once a second.
    pub fn has_passed(&self) -> bool {
        let now = Instant::now();
        let step = now.duration_since(self.seen_at.replace(now));
        self.left
            .set(self.left.get().saturating_sub(step.min(MAX_STEP)));
        self.left.get().is_zero()
    }
}

/// Pauses the thread of a process once, as SIGSTOP would.
#[derive(Debug)]
pub struct Pause {
    /// Before which poll of the process, from 0.
    at: usize,
    time: Duration,
    started_at: Cell<Option<Instant>>,
}

impl Pause {
    pub fn new(at: usize, time: Duration) -> Self {
        Self {
            at,
            time,
            started_at: Cell::default(),
        }
    }

    /// Runs `process`, and pauses the thread once.
    ///
    /// A future is polled again after each of its awaits that had to wait, so that `at`
    /// names the await at which the process is paused. Whatever it waited for may have
    /// come in the meantime.
    pub async fn run<T>(&self, process: impl Future<Output = T>) -> T {
        before_polls(process, |number| {
            if number == self.at {
                self.started_at.set(Some(Instant::now()));
                thread::sleep(self.time);
            }
        })
        .await
    }

    /// Returns since when the process runs, if it was paused before it did anything.
    pub fn late_start(&self) -> Option<Instant> {
        (self.at == 0).then_some(self.started_at.get()? + self.time)
    }

    /// Returns whether the process was paused.
    pub fn has_happened(&self) -> bool {
        self.started_at.get().is_some()
    }
}

/// Runs `process`, and pauses the thread for the given times before the polls with these
/// numbers.
pub async fn run_paused<T>(
    process: impl Future<Output = T>,
    pauses: BTreeMap<usize, Duration>,
) -> T {
    before_polls(process, |number| {
        if let Some(time) = pauses.get(&number) {
            thread::sleep(*time);
        }
    })
    .await
}

/// Runs `process`, and `act` with the number of each of its polls, from 0, before it.
async fn before_polls<T>(process: impl Future<Output = T>, act: impl Fn(usize)) -> T {
    let mut process = pin!(process);
    let mut numbers = 0..;
    poll_fn(|context| {
        act(numbers.next().unwrap_or(usize::MAX));
        process.as_mut().poll(context)
    })
    .await
}

/// Plays `play` with a pause at each await, one after another, until a play ends before
/// its pause. Returns how many awaits there were.
pub async fn at_each_await(time: Duration, play: impl AsyncFn(&Pause)) -> usize {
    for at in 0.. {
        let pause = Pause::new(at, time);
        play(&pause).await;
        if !pause.has_happened() {
            return at;
        }
    }
    unreachable!("a play ends");
}

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The method and the path.
    pub line: String,
}

/// A server on threads of its own, which a pause of the test's thread does not stop.
#[derive(Clone, Debug)]
pub struct ThreadServer {
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl ThreadServer {
    /// Starts a server that answers each request with the bytes that `answer` returns for
    /// its line.
    pub fn start(answer: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            arrivals: Arc::default(),
        };
        let (answer, served) = (Arc::new(answer), server.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (answer, server) = (answer.clone(), served.clone());
                thread::spawn(move || server.serve(&stream.unwrap(), &*answer));
            }
        });
        server
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: &TcpStream, answer: &impl Fn(&str) -> Vec<u8>) {
        let mut reader = BufReader::new(stream);
        while let Some(line) = read_request(&mut reader) {
            let at = Instant::now();
            let bytes = answer(&line);
            self.arrivals.lock().unwrap().push(Arrival { at, line });
            let mut writer = stream;
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

/// Reads a request, and returns its first line, or `None` at the end of the connection.
fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut first = None;
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            let mut body = vec![0; body_bytes];
            reader.read_exact(&mut body).ok()?;
            return first;
        }
        if let Some(length) = line.to_lowercase().strip_prefix("content-length:") {
            body_bytes = length.trim().parse().ok()?;
        }
        first.get_or_insert_with(|| line.to_owned());
    }
}

/// Returns the bytes of a whole answer.
pub fn answer(head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
