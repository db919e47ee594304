//! Structured logs on standard output, one JSON object per line.
//!
//! Each line records one decision that affects a request or changes the host's
//! state; docs/LOGS.md lists them. Logging never blocks: a separate thread
//! writes the lines, and lines that do not fit into its bounded queue are
//! dropped. So are lines of one kind beyond the limit per second. The number of
//! dropped lines is logged.

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::time::{MissedTickBehavior, interval};
use tracing::callsite::Identifier;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer as _,
    filter::{DynFilterFn, ParseError},
    layer::SubscriberExt as _,
    util::{SubscriberInitExt as _, TryInitError},
};

/// The length of the writer's queue; further lines are dropped and counted. At
/// about 250 bytes per line this bounds the queue to half a megabyte.
const MAX_QUEUED_LINE_COUNT: usize = 2_048;

/// How many lines of one kind are written per second; further ones are dropped
/// and counted. A host in the deployment specification serves up to 20 requests
/// per second, each with a few lines; a coordinator starts and lists up to 400
/// items per second.
const MAX_LINES_PER_KIND_PER_S: u32 = 500;

/// The window over which lines of one kind are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How often dropped lines are reported.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why logging cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The filter does not parse.
    #[error("invalid log filter: {0}")]
    Filter(#[from] ParseError),
    /// Another subscriber is already set.
    #[error("logging is already set up: {0}")]
    Subscriber(#[from] TryInitError),
}

/// Keeps the writer thread alive, and counts dropped lines.
#[derive(Debug)]
pub struct Log {
    _guard: WorkerGuard,
    queue_drops: ErrorCounter,
    rate_limiter: Arc<RateLimiter>,
}

/// Limits the lines per second of each kind; a kind is a call site in the code.
#[derive(Debug, Default)]
struct RateLimiter {
    kinds: Mutex<HashMap<Identifier, (Instant, u32)>>,
    dropped_count: AtomicU64,
}

impl RateLimiter {
    fn admit(&self, kind: Identifier) -> bool {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let (window_start, count) = kinds.entry(kind).or_insert((now, 0));
        if now.saturating_duration_since(*window_start) >= RATE_WINDOW {
            (*window_start, *count) = (now, 0);
        }
        *count += 1;
        let is_admitted = *count <= MAX_LINES_PER_KIND_PER_S;
        if !is_admitted {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}

/// Starts logging to `output` with `filter`, which has the syntax of `tracing`.
///
/// # Errors
///
/// Fails where the filter does not parse, and where logging was started before.
pub fn start(filter: &str, output: impl Write + Send + 'static) -> Result<Log, LogError> {
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINE_COUNT)
        .thread_name("log")
        .finish(output);
    let queue_drops = writer.error_counter();
    let rate_limiter = Arc::new(RateLimiter::default());
    let limiter = rate_limiter.clone();
    let rate_filter = DynFilterFn::new(move |metadata, _| {
        !metadata.is_event() || limiter.admit(metadata.callsite())
    });
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(rate_filter);
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()?;
    Ok(Log {
        _guard: guard,
        queue_drops,
        rate_limiter,
    })
}

impl Log {
    /// Returns how many lines were dropped.
    pub fn dropped_count(&self) -> u64 {
        let rate_limited_count = self.rate_limiter.dropped_count.load(Ordering::Relaxed);
        self.queue_drops.dropped_lines() as u64 + rate_limited_count
    }

    /// Logs the number of dropped lines periodically.
    pub async fn report_drops(&self) {
        let mut ticks = interval(DROP_REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reported_count = 0;
        loop {
            ticks.tick().await;
            let dropped_count = self.dropped_count();
            if dropped_count > reported_count {
                let new_count = dropped_count - reported_count;
                tracing::warn!(event = "log.dropped", new_count, dropped_count);
                reported_count = dropped_count;
            }
        }
    }
}
