//! Measures what the call path adds to a call, on one core.
//!
//! `cargo run --release --example call_path` prints the latency of short calls
//! with and without the call path, and the chunks of streams that it forwards a
//! second. The upstream, the call path and the callers have a thread each.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, mpsc as channel},
    thread,
    time::Duration,
};

use anyhow::{Context as _, Result};
use arc_swap::ArcSwap;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Full};
use hyper::{
    body::Incoming, client::conn::http1 as client, server::conn::http1 as server,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use mimosavane::{
    blackboard::{Blackboard, Upstream, UpstreamKind, UpstreamState, Upstreams},
    call::{Caller, Context, serve},
    claim::{Claim, ClaimStore, Expected, Key, Record, StoreError, Written},
    clock::Clock,
    connection::{Limits, Pool},
    controller::Rng,
    gate::{self, Gate},
    ids::AttemptId,
    settings::Settings,
};
use rand::SeedableRng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep_until},
};

const CALLS_PER_S: u32 = 2_000;
const CALL_COUNT: u32 = 20_000;
const CONNECTION_COUNT: u32 = 32;
const STREAM_COUNT: u32 = 16;
const CHUNKS_PER_STREAM: u32 = 100_000;
const CHUNKS_PER_WRITE: u32 = 8;
const CHUNK: &str = "data: {\"token_ids\":[12345],\"v\":123}\n\n";

/// A claim store that is never asked, since no call here has a key.
#[derive(Clone)]
struct NoClaims;

impl ClaimStore for NoClaims {
    async fn put(&self, _: &Claim, _: Expected) -> Result<Written, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn read(&self, _: &Key) -> Result<Option<Claim>, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn complete(&self, _: &Key, _: AttemptId, _: &Record) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn remove_expired(&self, _: u64, _: usize) -> Result<usize, StoreError> {
        Err(StoreError::Unavailable)
    }
}

fn main() -> Result<()> {
    let upstream = start(run_upstream)?;
    let streams = start(run_streams)?;
    let entry = start(move |listener| run_entry(listener, upstream))?;
    let stream_entry = start(move |listener| run_entry(listener, streams))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let direct = measure_calls(upstream).await?;
        let through = measure_calls(entry).await?;
        for (name, latencies) in [("direct", &direct), ("through", &through)] {
            println!(
                "{name}: p50_us={} p99_us={} p999_us={}",
                latencies.value_at_quantile(0.5),
                latencies.value_at_quantile(0.99),
                latencies.value_at_quantile(0.999),
            );
        }
        println!(
            "direct: chunks_per_s={:.0}",
            measure_streams(streams).await?
        );
        println!(
            "through: chunks_per_s={:.0}",
            measure_streams(stream_entry).await?
        );
        Ok(())
    })
}

/// Starts `work` with a listener on a thread of its own, and returns its address.
fn start<F: Future<Output = Result<()>>>(
    work: impl FnOnce(TcpListener) -> F + Send + 'static,
) -> Result<SocketAddr> {
    let (sender, receiver) = channel::channel();
    thread::spawn(move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            sender.send(listener.local_addr()?)?;
            work(listener).await
        })
    });
    receiver.recv().context("the thread did not start")
}

async fn run_upstream(listener: TcpListener) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let service = service_fn(|_: Request<Incoming>| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"due: 3 May"))))
        });
        tokio::spawn(server::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn run_streams(listener: TcpListener) -> Result<()> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        tokio::spawn(async move {
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                stream.read_buf(&mut request).await?;
            }
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                .await?;
            let chunk = format!("{:x}\r\n{CHUNK}\r\n", CHUNK.len());
            let burst = chunk.repeat(CHUNKS_PER_WRITE as usize);
            for _ in 0..CHUNKS_PER_STREAM / CHUNKS_PER_WRITE {
                stream.write_all(burst.as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        });
    }
}

async fn run_entry(listener: TcpListener, upstream: SocketAddr) -> Result<()> {
    let context = Arc::new(context(upstream)?);
    let caller = Arc::new(Caller {
        row: "circle-7".into(),
        pool: "roll".into(),
    });
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let (context, caller) = (context.clone(), caller.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (context, caller) = (context.clone(), caller.clone());
            async move {
                let (parts, body) = request.into_parts();
                let body = body.collect().await?.to_bytes();
                let request = Request::from_parts(parts, body);
                Ok::<_, hyper::Error>(serve(&*context, request, &caller).await)
            }
        });
        tokio::spawn(server::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn context(address: SocketAddr) -> Result<Context<NoClaims>> {
    let settings = Settings::parse(
        "
host: {id: entry-1, region: mx, failure_domain: mx-a,
       http_address: 127.0.0.1:1, peer_address: 127.0.0.1:2}
platform: {table_service_url: 'http://127.0.0.1:3'}
",
    )?;
    let upstream = Upstream {
        id: "roll-1".into(),
        kind: UpstreamKind::Service,
        pool: "roll".into(),
        address,
        failure_domain: "mx-a".into(),
        state: UpstreamState::Live,
        checks_fences: false,
    };
    let board = Blackboard {
        upstreams: Arc::new(Upstreams {
            members: [(upstream.id.clone(), upstream)].into(),
        }),
        ..Blackboard::default()
    };
    let (decisions, _) = mpsc::channel(1);
    let gate = Gate::new(
        Arc::new(ArcSwap::from_pointee(board)),
        Clock::start(),
        gate::Limits {
            max_queued_calls: 1024,
            retry_budget_ratio: 0.1,
        },
        decisions,
        Rng::seed_from_u64(1),
    );
    Ok(Context {
        settings: Arc::new(settings),
        gate,
        connections: Pool::new(Limits::default()),
        claims: NoClaims,
    })
}

/// Makes calls at a steady rate, and returns the latencies in microseconds.
async fn measure_calls(address: SocketAddr) -> Result<Histogram<u64>> {
    let begin = Instant::now() + Duration::from_millis(100);
    let mut connections = JoinSet::new();
    for number in 0..CONNECTION_COUNT {
        connections.spawn(call_steadily(address, number, begin));
    }
    let mut latencies = Histogram::new(3)?;
    while let Some(done) = connections.join_next().await {
        latencies.add(done??)?;
    }
    Ok(latencies)
}

async fn call_steadily(address: SocketAddr, number: u32, begin: Instant) -> Result<Histogram<u64>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut latencies = Histogram::new(3)?;
    let gap = Duration::from_secs(1) / CALLS_PER_S;
    sleep_until(begin + gap * number).await;
    let mut ticks = interval(gap * CONNECTION_COUNT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for _ in 0..CALL_COUNT / CONNECTION_COUNT {
        ticks.tick().await;
        let sent = Instant::now();
        let request = Request::get("/titles")
            .header("host", "entry")
            .body(Empty::<Bytes>::new())?;
        sender.ready().await?;
        let answer = sender.send_request(request).await?;
        anyhow::ensure!(answer.status() == 200, "status {}", answer.status());
        answer.into_body().collect().await?;
        latencies.record(u64::try_from(sent.elapsed().as_micros())?)?;
    }
    Ok(latencies)
}

/// Reads streams to their end, and returns the chunks a second.
async fn measure_streams(address: SocketAddr) -> Result<f64> {
    let begin = Instant::now();
    let mut streams = JoinSet::new();
    for _ in 0..STREAM_COUNT {
        streams.spawn(read_stream(address));
    }
    let mut chunk_count = 0;
    while let Some(done) = streams.join_next().await {
        chunk_count += done??;
    }
    Ok(chunk_count as f64 / begin.elapsed().as_secs_f64())
}

async fn read_stream(address: SocketAddr) -> Result<usize> {
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"GET /stream HTTP/1.1\r\nhost: entry\r\n\r\n")
        .await?;
    let mut chunk_count = 0;
    let mut buffer = vec![0; 64 * 1024];
    let mut tail = Vec::new();
    while !tail.ends_with(b"0\r\n\r\n") {
        let read_bytes = stream.read(&mut buffer).await?;
        anyhow::ensure!(read_bytes > 0, "the stream was cut");
        let read = &buffer[..read_bytes];
        chunk_count += read.iter().filter(|byte| **byte == b'{').count();
        tail.extend_from_slice(read);
        let excess = tail.len().saturating_sub(8);
        tail.drain(..excess);
    }
    Ok(chunk_count)
}
