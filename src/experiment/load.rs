//! Measures the overhead of an entry host against direct connections.
//!
//! [`run`] starts a real host in front of stand-ins of plain services, and
//! measures each figure twice: on connections to the stand-in and on connections
//! to the host (see docs/PERFORMANCE.md). The stand-ins and the callers run on
//! their own threads, so that they share none with the host.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener as StdListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc as channel,
    thread,
    time::Duration,
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1 as client;
use hyper_util::rt::TokioIo;
use rand::SeedableRng as _;
use serde::Serialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime,
    task::{JoinError, JoinSet},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    api::platform::ListedUpstream,
    control::{
        blackboard::{UpstreamKind, UpstreamState},
        controller::Rng,
    },
    entry::{Running, StartError},
    settings::{Settings, SettingsError},
    standin::{
        host_list::HostList,
        service::Service,
        table_service::{MemoryTable, TableServiceStandin},
    },
    table::{
        change::{Change, RowEdit},
        column::Cells,
        edit::{self, EditError},
    },
};

/// The maximum latency that a host may add at the 99th percentile.
pub const MAX_ADDED_P99_US: i64 = 1_000;

/// The minimum rate at which a host forwards chunks.
pub const MIN_CHUNKS_PER_S: f64 = 200_000.0;

/// The rate of short calls over all connections.
const CALLS_PER_S: u32 = 2_000;

/// The number of connections, over which short calls rotate.
const CONNECTION_COUNT: u32 = 32;

/// The number of streams that are read concurrently.
const STREAM_COUNT: u32 = 16;

/// The number of chunks per write of the stand-in on a stream.
const CHUNKS_PER_WRITE: u32 = 8;

/// One chunk of a stream, which carries one token.
const CHUNK: &str = "data: {\"token_ids\":[12345],\"v\":123}\n\n";

/// The bytes that end a response with chunked encoding.
const END_OF_STREAM: &[u8] = b"0\r\n\r\n";

/// The size of the buffer that streams are read into.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The pool of the service that answers short calls.
const CALL_POOL: &str = "calls";

/// The pool of the service that answers with streams.
const STREAM_POOL: &str = "streams";

/// The row of the callers.
const ROW: &str = "load";

/// The key of the callers' row.
const ROW_KEY: &str = "row-key-of-the-load";

/// The time within which a host must start to forward calls.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The interval between checks whether a host has started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time limit of one measurement.
const MEASURE_TIMEOUT: Duration = Duration::from_secs(120);

/// The size of the measurements and where the host runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of short calls per measurement.
    pub call_count: u32,
    /// The number of chunks per stream.
    pub chunk_count: u32,
    /// The core that the host is pinned to, as a separate process. If `None`, the
    /// host runs unpinned in this process.
    pub core: Option<u32>,
}

/// The reason why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// An operation on a socket, a file or a process failed.
    #[error("an I/O operation failed: {0}")]
    Io(#[from] io::Error),
    /// The settings of the host are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The host could not be started.
    #[error(transparent)]
    Host(#[from] StartError),
    /// A call could not be built.
    #[error("cannot build a call: {0}")]
    Request(#[from] http::Error),
    /// A connection failed.
    #[error("a connection failed: {0}")]
    Broken(#[from] hyper::Error),
    /// A call was answered with an error status.
    #[error("a call was answered with status {0}")]
    Status(http::StatusCode),
    /// A stream ended early.
    #[error("a stream ended early after {0} chunks")]
    Cut(u32),
    /// The table could not be filled.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The host did not start or a measurement did not end in time.
    #[error("timed out after {0:?}")]
    TimedOut(Duration),
    /// The task of a caller panicked or was cancelled.
    #[error("the task of a caller failed: {0}")]
    Caller(#[from] JoinError),
    /// The thread of a stand-in ended before it reported its address.
    #[error("a stand-in did not start")]
    Standin(#[from] channel::RecvError),
    /// A latency histogram could not be created.
    #[error("cannot create a latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The latency histograms of two callers could not be merged.
    #[error("cannot merge latency histograms: {0}")]
    Joined(#[from] hdrhistogram::AdditionError),
    /// A latency is out of the histogram's range.
    #[error("cannot record a latency: {0}")]
    Latency(#[from] hdrhistogram::RecordError),
}

/// The latencies of short calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latencies {
    /// The median latency.
    pub p50_us: u64,
    /// The 99th percentile of the latencies.
    pub p99_us: u64,
}

impl From<Histogram<u64>> for Latencies {
    fn from(histogram: Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
        }
    }
}

/// The results of the measurements.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Report {
    /// The core that the host was pinned to, if any.
    pub core: Option<u32>,
    /// The latencies of short calls on direct connections.
    pub direct: Latencies,
    /// The latencies of short calls through the host.
    pub through: Latencies,
    /// The latency that the host adds at the 99th percentile.
    pub added_p99_us: i64,
    /// The rate of chunks on direct connections.
    pub direct_chunks_per_s: f64,
    /// The rate of chunks through the host.
    pub through_chunks_per_s: f64,
}

impl Report {
    /// Returns whether both bounds hold.
    pub fn holds(&self) -> bool {
        self.are_calls_fast() && self.are_streams_fast()
    }

    const fn are_calls_fast(&self) -> bool {
        self.added_p99_us <= MAX_ADDED_P99_US
    }

    fn are_streams_fast(&self) -> bool {
        self.through_chunks_per_s >= MIN_CHUNKS_PER_S
    }

    /// Returns the report as text, one line per figure.
    pub fn text(&self) -> String {
        let core = self
            .core
            .map_or_else(|| "not pinned".to_owned(), |core| format!("core {core}"));
        format!(
            "host: {core}\n\
             calls: direct p50={}us p99={}us, through p50={}us p99={}us, \
             added p99={}us, bound {MAX_ADDED_P99_US}us: {}\n\
             streams: direct {:.0} chunks/s, through {:.0} chunks/s, \
             bound {MIN_CHUNKS_PER_S:.0}: {}\n",
            self.direct.p50_us,
            self.direct.p99_us,
            self.through.p50_us,
            self.through.p99_us,
            self.added_p99_us,
            verdict(self.are_calls_fast()),
            self.direct_chunks_per_s,
            self.through_chunks_per_s,
            verdict(self.are_streams_fast()),
        )
    }
}

const fn verdict(holds: bool) -> &'static str {
    if holds { "held" } else { "missed" }
}

/// A host under load, which is stopped when this is dropped.
enum Host {
    Thread(#[expect(dead_code, reason = "held for its drop")] Box<Running>),
    Process(Child, PathBuf),
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Self::Process(child, settings) = self {
            let _ = child.kill();
            let _ = child.wait();
            let _ = fs::remove_file(settings);
        }
    }
}

/// Measures the added latency of short calls and the throughput of streams.
///
/// # Errors
///
/// Returns an error if the host or a stand-in cannot be started, or if a call or
/// a stream fails or times out.
pub async fn run(options: &Options) -> Result<Report, LoadError> {
    let chunk_count = options.chunk_count;
    let calls = start_standin(serve_calls)?;
    let streams = start_standin(move |sender| serve_streams(sender, chunk_count))?;
    let table = TableServiceStandin::start(MemoryTable::default()).await?;
    let change = Change::new("load-row", "load", 0).edit(RowEdit::set(ROW, 0, Cells::new()));
    edit::apply(table.table(), &change, &mut Rng::seed_from_u64(1)).await?;
    let listing = vec![listed(CALL_POOL, calls), listed(STREAM_POOL, streams)];
    let list = HostList::start(loopback(), listing).await?;
    let address = free_address()?;
    let settings = settings_text(address, free_address()?, &table.url(), list.address());
    let host = start_host(settings, options.core).await?;
    wait_ready(address).await?;
    let through_path = |pool| format!("/v1/pools/{pool}/titles");
    let direct = measure_calls(calls, "/titles", options.call_count).await?;
    let through = measure_calls(address, &through_path(CALL_POOL), options.call_count).await?;
    let direct_chunks_per_s = measure_streams(streams, "/titles", chunk_count).await?;
    let through_chunks_per_s =
        measure_streams(address, &through_path(STREAM_POOL), chunk_count).await?;
    drop(host);
    let (direct, through) = (Latencies::from(direct), Latencies::from(through));
    Ok(Report {
        core: options.core,
        direct,
        through,
        added_p99_us: through.p99_us.cast_signed() - direct.p99_us.cast_signed(),
        direct_chunks_per_s,
        through_chunks_per_s,
    })
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn free_address() -> io::Result<SocketAddr> {
    StdListener::bind(loopback())?.local_addr()
}

fn listed(pool: &str, address: SocketAddr) -> ListedUpstream {
    ListedUpstream {
        id: format!("{pool}-1").into(),
        kind: UpstreamKind::Service,
        pool: pool.into(),
        address,
        failure_domain: "domain-1".into(),
        state: UpstreamState::Live,
    }
}

fn settings_text(http: SocketAddr, peer: SocketAddr, table: &str, list: SocketAddr) -> String {
    format!(
        "host: {{id: entry-1, region: load, failure_domain: domain-1, \
         http_address: '{http}', peer_address: '{peer}'}}\n\
         platform: {{table_service_url: '{table}', host_list_url: 'http://{list}/v1/hosts'}}\n\
         keys: {{fleet: fleet-secret-of-the-load, rows: {{{ROW}: {ROW_KEY}}}}}\n"
    )
}

async fn start_host(settings: String, core: Option<u32>) -> Result<Host, LoadError> {
    let Some(core) = core else {
        let settings = Settings::parse(&settings)?;
        let starting = tokio::task::spawn_blocking(move || Running::start(settings));
        return Ok(Host::Thread(Box::new(starting.await??)));
    };
    let name = format!("mimosavane-load-{}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, settings)?;
    let program = std::env::current_exe()?.with_file_name("mimosavane-entry");
    let child = Command::new("taskset")
        .args(["-c", &core.to_string()])
        .arg(program)
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(Host::Process(child, path))
}

async fn wait_ready(address: SocketAddr) -> Result<(), LoadError> {
    let begin = Instant::now();
    for pool in [CALL_POOL, STREAM_POOL] {
        let path = format!("/v1/pools/{pool}/titles");
        while !matches!(call_once(address, &path).await, Ok(status) if status.is_success()) {
            if begin.elapsed() > START_TIMEOUT {
                return Err(LoadError::TimedOut(START_TIMEOUT));
            }
            sleep(START_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn call_once(address: SocketAddr, path: &str) -> Result<http::StatusCode, LoadError> {
    let mut sender = connect(address).await?;
    Ok(sender.send_request(request(path)?).await?.status())
}

/// Starts a stand-in on its own thread, and returns its address.
fn start_standin<F: Future<Output = Result<(), LoadError>>>(
    work: impl FnOnce(channel::Sender<SocketAddr>) -> F + Send + 'static,
) -> Result<SocketAddr, LoadError> {
    let (sender, receiver) = channel::channel();
    thread::spawn(move || -> Result<(), LoadError> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(work(sender))
    });
    Ok(receiver.recv()?)
}

async fn serve_calls(addresses: channel::Sender<SocketAddr>) -> Result<(), LoadError> {
    let service = Service::start(loopback()).await?;
    let _ = addresses.send(service.address());
    std::future::pending().await
}

async fn serve_streams(
    addresses: channel::Sender<SocketAddr>,
    chunk_count: u32,
) -> Result<(), LoadError> {
    let listener = TcpListener::bind(loopback()).await?;
    let _ = addresses.send(listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(answer_stream(stream, chunk_count));
    }
}

async fn answer_stream(mut stream: TcpStream, chunk_count: u32) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n")
        .await?;
    let chunk = format!("{:x}\r\n{CHUNK}\r\n", CHUNK.len());
    let burst = chunk.repeat(CHUNKS_PER_WRITE as usize);
    for _ in 0..chunk_count / CHUNKS_PER_WRITE {
        stream.write_all(burst.as_bytes()).await?;
    }
    stream.write_all(END_OF_STREAM).await
}

async fn connect(address: SocketAddr) -> Result<client::SendRequest<Empty<Bytes>>, LoadError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(path: &str) -> Result<Request<Empty<Bytes>>, http::Error> {
    Request::get(path)
        .header("host", "entry")
        .header("authorization", format!("Bearer {ROW_KEY}"))
        .body(Empty::new())
}

/// Makes calls at a constant rate, and returns the latencies in microseconds.
async fn measure_calls(
    address: SocketAddr,
    path: &str,
    call_count: u32,
) -> Result<Histogram<u64>, LoadError> {
    let begin = Instant::now() + Duration::from_millis(100);
    let mut callers = JoinSet::new();
    for number in 0..CONNECTION_COUNT {
        let path = path.to_owned();
        let call_count = call_count / CONNECTION_COUNT;
        callers.spawn(call_steadily(address, path, call_count, number, begin));
    }
    let mut latencies = Histogram::new(3)?;
    let measuring = async {
        while let Some(done) = callers.join_next().await {
            latencies.add(done??)?;
        }
        Ok(latencies)
    };
    timeout(MEASURE_TIMEOUT, measuring)
        .await
        .unwrap_or(Err(LoadError::TimedOut(MEASURE_TIMEOUT)))
}

/// Makes calls on one connection at their scheduled times, however long earlier
/// calls took.
///
/// The latency of a call that was delayed by an earlier one counts from its
/// scheduled time. The latency of a call that is on time counts from its sending,
/// because the 1 ms resolution of the timer is not a latency of the path.
async fn call_steadily(
    address: SocketAddr,
    path: String,
    call_count: u32,
    number: u32,
    begin: Instant,
) -> Result<Histogram<u64>, LoadError> {
    let mut sender = connect(address).await?;
    let mut latencies = Histogram::new(3)?;
    let call_interval = Duration::from_secs(1) / CALLS_PER_S;
    let mut due = begin + call_interval * number;
    for _ in 0..call_count {
        let mut sent = due;
        if Instant::now() < due {
            sleep_until(due).await;
            sent = Instant::now();
        }
        sender.ready().await?;
        let answer = sender.send_request(request(&path)?).await?;
        if !answer.status().is_success() {
            return Err(LoadError::Status(answer.status()));
        }
        answer.into_body().collect().await?;
        let latency_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
        latencies.record(latency_us)?;
        due += call_interval * CONNECTION_COUNT;
    }
    Ok(latencies)
}

/// Reads streams to their end, and returns the chunks per second.
async fn measure_streams(
    address: SocketAddr,
    path: &str,
    chunk_count: u32,
) -> Result<f64, LoadError> {
    let begin = Instant::now();
    let mut streams = JoinSet::new();
    for _ in 0..STREAM_COUNT {
        streams.spawn(read_stream(address, path.to_owned(), chunk_count));
    }
    let measuring = async {
        while let Some(done) = streams.join_next().await {
            done??;
        }
        Ok(f64::from(STREAM_COUNT * chunk_count) / begin.elapsed().as_secs_f64())
    };
    timeout(MEASURE_TIMEOUT, measuring)
        .await
        .unwrap_or(Err(LoadError::TimedOut(MEASURE_TIMEOUT)))
}

async fn read_stream(address: SocketAddr, path: String, chunk_count: u32) -> Result<(), LoadError> {
    let mut stream = TcpStream::connect(address).await?;
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {ROW_KEY}\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut received_count = 0;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut tail = Vec::new();
    while !tail.ends_with(END_OF_STREAM) {
        let read_bytes = stream.read(&mut buffer).await?;
        if read_bytes == 0 {
            return Err(LoadError::Cut(received_count));
        }
        let read = &buffer[..read_bytes];
        received_count += read
            .iter()
            .map(|byte| u32::from(*byte == b'{'))
            .sum::<u32>();
        tail.extend_from_slice(read);
        let excess = tail.len().saturating_sub(END_OF_STREAM.len());
        tail.drain(..excess);
    }
    if received_count < chunk_count {
        return Err(LoadError::Cut(received_count));
    }
    Ok(())
}
