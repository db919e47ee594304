//! Structured logs on standard output, one JSON object a line.
//!
//! A line tells of one decision that touches a request or changes what this host
//! believes; docs/LOGS.md lists them. Writing never blocks: a thread of its own
//! writes, and what its bounded queue does not take is counted and said.

use std::{io::stdout, time::Duration};

use tokio::time::{MissedTickBehavior, interval};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, filter::ParseError, util::TryInitError};

/// How many lines wait for the writer; more are dropped and counted. At about
/// 250 bytes a line this bounds the queue to half a megabyte.
const QUEUED_LINE_COUNT: usize = 2_048;

/// How often dropped lines are reported.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why logging could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The filter does not parse.
    #[error("the log filter: {0}")]
    Filter(#[from] ParseError),
    /// Another subscriber is there.
    #[error("logs are already set up: {0}")]
    Subscriber(#[from] TryInitError),
}

/// Keeps the writer alive, and knows how many lines it dropped.
#[derive(Debug)]
pub struct Log {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

/// Starts logging with `filter`, in the syntax of `tracing`.
///
/// # Errors
///
/// Fails where the filter does not parse, and where logging was started before.
pub fn start(filter: &str) -> Result<Log, LogError> {
    use tracing_subscriber::util::SubscriberInitExt as _;
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINE_COUNT)
        .thread_name("log")
        .finish(stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .finish()
        .try_init()?;
    Ok(Log {
        _guard: guard,
        dropped,
    })
}

impl Log {
    /// Reports dropped lines for as long as it runs.
    pub async fn report_drops(&self) {
        let mut ticks = interval(DROP_REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reported_count = 0;
        loop {
            ticks.tick().await;
            let dropped_count = self.dropped.dropped_lines();
            if dropped_count > reported_count {
                let new_count = dropped_count - reported_count;
                tracing::warn!(event = "log.dropped", new_count, dropped_count);
                reported_count = dropped_count;
            }
        }
    }
}
