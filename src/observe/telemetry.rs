//! Logs and metrics of a process.
//!
//! Metrics go to StatsD; their names stand in one table, from which
//! docs/METRICS.md is written.

use std::{
    fmt::Write as _,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{
    Counted as _, Gauged as _, MetricError, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed as _, UdpMetricSink,
};
use tracing_subscriber::{EnvFilter, filter::ParseError, util::TryInitError};

use crate::{
    ids::HostId,
    settings::{LogFormat, TelemetrySettings},
};

/// What all metric names start with.
const PREFIX: &str = "mimosavane";
/// The most metrics that wait to be sent; more are dropped.
const QUEUE_COUNT: usize = 4_096;

/// How a metric adds up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MetricKind {
    /// A number of events.
    Counter,
    /// A level that is true until the next one.
    Gauge,
    /// A time in milliseconds.
    Timer,
}

/// One metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The name behind the prefix.
    pub name: &'static str,
    /// How it adds up.
    pub kind: MetricKind,
    /// What it counts or measures.
    pub doc: &'static str,
}

/// Declares the metrics, and the list of them all.
macro_rules! metrics {
    ($($constant:ident, $name:literal, $kind:ident, $doc:literal;)*) => {
        $(
            #[doc = $doc]
            pub const $constant: Metric = Metric {
                name: $name,
                kind: MetricKind::$kind,
                doc: $doc,
            };
        )*
        /// All metrics, in the order of the page.
        pub const METRICS: &[Metric] = &[$($constant),*];
    };
}

metrics! {
    CALLS_ANSWERED, "calls.answered_count", Counter, "Calls that got a whole answer.";
    CALLS_NOT_RUN, "calls.not_run_count", Counter, "Calls that were refused before they ran.";
    CALLS_UNKNOWN, "calls.unknown_count", Counter, "Calls of which nobody knows whether they ran.";
    CALL_TIME, "calls.time_ms", Timer, "Time from a call's arrival to the head of its answer.";
    SAMPLES_DELIVERED, "samples.delivered_count", Counter, "Samples that a trainer was given.";
    TOKENS_SERVED, "tokens.served_count", Counter, "Tokens that engines generated for samples.";
    QUEUED_SAMPLES, "queue.samples_count", Gauge, "Samples that wait for an engine here.";
    OPEN_REQUESTS, "requests.open_count", Gauge, "Requests that have no whole answer yet.";
    HOSTS_LIVE, "hosts.live_count", Gauge, "Hosts that may be given work.";
    HOSTS_GONE, "hosts.gone_count", Gauge, "Hosts that are dead, out of reach or damped.";
    DATAGRAMS_REFUSED, "datagrams.refused_count", Counter, "Datagrams that were forged, repeated or malformed.";
    TABLE_REVISION, "table.revision_count", Gauge, "The revision of the table in force here.";
    JOBS_ACCEPTED, "jobs.accepted_count", Counter, "Batch jobs that were accepted here.";
    JOBS_REFUSED, "jobs.refused_count", Counter, "Batch jobs that were not known to be accepted here.";
    JOB_ACCEPT_TIME, "jobs.accept_time_ms", Timer, "Time that the store took to keep a batch job.";
    JOBS_LED, "jobs.open_count", Gauge, "Batch jobs that this host coordinates.";
    RESULTS_LISTED, "results.listed_count", Counter, "Results that this host listed.";
    RESULT_AGE, "results.age_ms", Timer, "Age of a batch job when results of it were listed.";
    RUNS_STARTED, "runs.started_count", Counter, "Runs of items that this host started.";
    RUNS_BROKEN, "runs.broken_count", Counter, "Runs that ended otherwise than whole.";
    RUNS_OPEN, "runs.open_count", Gauge, "Runs that are under way.";
    ITEMS_WAITING, "items.waiting_count", Gauge, "Items that wait for an engine.";
    ORDERS_SENT, "orders.sent_count", Counter, "Orders that this host gave to engines.";
    LEASES_TAKEN, "lease.taken_count", Counter, "Times that this host became coordinator.";
    STORE_LOST, "store.lost_count", Counter, "Times that a feed from the store began to fail.";
    CONTROL_ROUND_TIME, "control.round_time_ms", Timer, "Time that one round of all controllers took.";
}

/// Why telemetry could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// The filter does not parse.
    #[error("telemetry.log_filter: {0}")]
    Filter(#[from] ParseError),
    /// Another subscriber is there.
    #[error("logs are already set up: {0}")]
    Subscriber(#[from] TryInitError),
    /// The address does not parse.
    #[error("telemetry.statsd_address {address:?} does not parse")]
    Address {
        /// The text found.
        address: String,
    },
    /// The system gave no socket.
    #[error("a socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The metrics library refused.
    #[error("metrics: {0}")]
    Metric(#[from] MetricError),
}

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails where the filter does not parse, and where logging was started before.
pub fn start_logs(settings: &TelemetrySettings) -> Result<(), TelemetryError> {
    use tracing_subscriber::util::SubscriberInitExt as _;
    let filter = EnvFilter::try_new(&settings.log_filter)?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Text => builder.finish().try_init()?,
        LogFormat::Json => builder.json().flatten_event(true).finish().try_init()?,
    }
    Ok(())
}

/// Sends metrics, each with the host as a tag.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     observe::telemetry::{CALLS_ANSWERED, Metrics},
///     settings::TelemetrySettings,
/// };
///
/// let metrics = Metrics::start(&TelemetrySettings::default(), &"entry-1".into())?;
/// metrics.count(CALLS_ANSWERED, 1);
/// # Ok::<(), mimosavane::observe::telemetry::TelemetryError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Metrics {
    client: std::sync::Arc<StatsdClient>,
}

impl Metrics {
    /// Makes a sender to the address in `settings`; without one it sends none.
    ///
    /// # Errors
    ///
    /// Fails where the address does not parse or the system gives no socket.
    pub fn start(settings: &TelemetrySettings, host: &HostId) -> Result<Self, TelemetryError> {
        let builder = match settings.statsd_address.as_str() {
            "" => StatsdClient::builder(PREFIX, NopMetricSink),
            address => StatsdClient::builder(PREFIX, sink(address)?),
        };
        let client = builder
            .with_tag("host", &**host)
            .with_error_handler(|error| tracing::debug!(%error, "a metric was not sent"))
            .build();
        Ok(Self {
            client: client.into(),
        })
    }

    /// Makes a sender to `sink`, for a process whose metrics are fetched.
    pub fn to_sink(
        sink: impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        let client = StatsdClient::builder(PREFIX, sink)
            .with_error_handler(|error| tracing::debug!(%error, "a metric was not counted"))
            .build();
        Self {
            client: client.into(),
        }
    }

    /// Counts events.
    pub fn count(&self, metric: Metric, event_count: u64) {
        self.client.count_with_tags(metric.name, event_count).send();
    }

    /// Sets a level.
    pub fn gauge(&self, metric: Metric, level: u64) {
        self.client.gauge_with_tags(metric.name, level).send();
    }

    /// Reports a time.
    pub fn time(&self, metric: Metric, time: Duration) {
        self.client.time_with_tags(metric.name, time).send();
    }
}

/// Makes a sink that never blocks the caller.
fn sink(address: &str) -> Result<QueuingMetricSink, TelemetryError> {
    let to: SocketAddr = address.parse().map_err(|_| TelemetryError::Address {
        address: address.to_owned(),
    })?;
    let own = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(own)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(to, socket)?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE_COUNT))
}

/// Writes the page of all metrics, which docs/METRICS.md holds.
pub fn page() -> String {
    let mut page = String::from(
        "# Metrics\n\n\
         Metrics go as StatsD datagrams to `telemetry.statsd_address`, each with the tag `host`.\n\
         Names end in their unit. This page is written by `cargo run --example pages` from\n\
         `src/observe/telemetry.rs`.\n\n\
         | Name | Kind | Meaning |\n|---|---|---|\n",
    );
    for metric in METRICS {
        // Writing to a string does not fail.
        let _ = writeln!(
            page,
            "| `{PREFIX}.{}` | {} | {} |",
            metric.name, metric.kind, metric.doc
        );
    }
    page
}
