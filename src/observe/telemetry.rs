//! Logs and metrics of a process.
//!
//! Metrics are declared in one table, from which docs/METRICS.md is generated, and
//! sent to StatsD.

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
    observe::build,
    settings::{LogFormat, TelemetrySettings},
};

/// The prefix of all metric names.
const PREFIX: &str = "mimosavane";
/// The maximum number of metrics that are queued for sending; further ones are
/// dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MetricKind {
    /// A number of events.
    Counter,
    /// A level that is valid until the next value.
    Gauge,
    /// A duration in milliseconds.
    Timer,
}

/// One metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The name without the prefix.
    pub name: &'static str,
    /// The kind.
    pub kind: MetricKind,
    /// What the metric counts or measures.
    pub doc: &'static str,
}

/// Declares a constant for each metric, and the list of all metrics.
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
        /// All metrics, in the order of the metrics page.
        pub const METRICS: &[Metric] = &[$($constant),*];
    };
}

metrics! {
    CALLS_ANSWERED, "calls.answered_count", Counter, "Calls that got a complete answer.";
    CALLS_NOT_RUN, "calls.not_run_count", Counter, "Calls that were refused before they ran.";
    CALLS_UNKNOWN, "calls.unknown_count", Counter, "Calls for which it is unknown whether they ran.";
    CALL_TIME, "calls.time_ms", Timer, "Time from a call's arrival to the head of its answer.";
    CALLS_BLOCKED, "calls.blocked_count", Counter, "Calls that were refused because upstreams crash under them.";
    MEMORY_HELD, "memory.held_bytes", Gauge, "Bytes that are held for clients and other hosts.";
    BODIES_NO_ROOM, "bodies.no_room_count", Counter, "Requests that were refused since there was no memory for them.";
    BODIES_TOO_LARGE, "bodies.too_large_count", Counter, "Requests that were refused since they exceed the limit on a body, or what this host can hold.";
    BODIES_LATE, "bodies.late_count", Counter, "Requests that were refused since their body did not arrive in time.";
    BODIES_EVICTED, "bodies.evicted_count", Counter, "Incomplete heads and bodies that were given up for others.";
    ANSWERS_EVICTED, "answers.evicted_count", Counter, "Connections that were closed since their answer was not read.";
    CONNECTIONS_OPEN, "connections.open_count", Gauge, "Open connections of clients.";
    CONNECTIONS_EVICTED, "connections.evicted_count", Counter, "Idle connections that were closed for others.";
    CONNECTIONS_REFUSED, "connections.refused_count", Counter, "Connections that were refused since there were too many.";
    KEYS_REFUSED, "keys.refused_count", Counter, "Requests that were refused since their key belongs to no account.";
    KEYS_UNCHECKED, "keys.unchecked_count", Counter, "Requests that were refused since their key may have been removed.";
    CONFIGURATION_AGE, "configuration.age_ms", Timer, "Time since the configuration was last confirmed, as it is confirmed again.";
    STREAMS_RESUMED, "streams.resumed_count", Counter, "Streams that were taken up and may go on.";
    STREAMS_NOT_RESUMED, "streams.not_resumed_count", Counter, "Streams that were taken up and may not go on, since the version that began them is not known.";
    CALLS_HANDED_OVER, "calls.handed_over_count", Counter, "Calls that another host answered for this one.";
    CALLS_TAKEN, "calls.taken_count", Counter, "Calls of other hosts that this one took.";
    REACH_LOST, "reach.lost_count", Counter, "Number of times that no upstream of a service could be connected to.";
    SERVICES_UNREACHED, "reach.unreached_count", Gauge, "Services of which no upstream can be connected to.";
    UPSTREAMS_LIMITED, "upstreams.limited_count", Gauge, "Upstreams that name a limit on the requests of all hosts.";
    PERMITS_GRANTED, "permits.granted_count", Counter, "Permits for upstreams with a limit that this host gave to others.";
    PERMITS_DENIED, "permits.denied_count", Counter, "Permits for upstreams with a limit that this host denied to others.";
    PEERS_UNANSWERED, "peers.unanswered_count", Counter, "Messages that the coordinator did not answer.";
    SAMPLES_DELIVERED, "samples.delivered_count", Counter, "Samples that were delivered to a trainer.";
    TOKENS_SERVED, "tokens.served_count", Counter, "Tokens that engines generated for samples.";
    QUEUED_SAMPLES, "queue.samples_count", Gauge, "Samples on this host that wait for an engine.";
    OPEN_REQUESTS, "requests.open_count", Gauge, "Requests that are not answered completely yet.";
    HOSTS_LIVE, "hosts.live_count", Gauge, "Hosts that may receive work.";
    HOSTS_GONE, "hosts.gone_count", Gauge, "Hosts that are dead, unreachable or damped.";
    DATAGRAMS_REFUSED, "datagrams.refused_count", Counter, "Datagrams that were refused as forged, replayed or malformed.";
    TABLE_REVISION, "table.revision_count", Gauge, "The revision of the table in force on this host.";
    JOBS_ACCEPTED, "jobs.accepted_count", Counter, "Batch jobs that this host accepted.";
    JOBS_REFUSED, "jobs.refused_count", Counter, "Batch jobs that this host refused, or whose acceptance is unknown.";
    JOB_ACCEPT_TIME, "jobs.accept_time_ms", Timer, "Time that the store took to save a batch job.";
    JOBS_LED, "jobs.open_count", Gauge, "Batch jobs that this host coordinates.";
    RESULTS_LISTED, "results.listed_count", Counter, "Results that this host listed.";
    RESULT_AGE, "results.age_ms", Timer, "Age of a batch job when some of its results were listed.";
    RUNS_STARTED, "runs.started_count", Counter, "Runs of items that this host started.";
    RUNS_BROKEN, "runs.broken_count", Counter, "Runs that did not end with a complete output.";
    RUNS_OPEN, "runs.open_count", Gauge, "Runs that are in progress.";
    ITEMS_WAITING, "items.waiting_count", Gauge, "Items that wait for an engine.";
    PROMPTS_WAITING, "prompts.waiting_tokens", Gauge, "Tokens of prompts of runs without an event, less the parts that engines hold.";
    PROMPTS_PUT_OFF, "prompts.put_off_count", Counter, "Items that were put off, since engines read other prompts.";
    SHARES_PUT_OFF, "shares.put_off_count", Counter, "Starts that went to another item than the most urgent one, since accounts and priorities have their parts.";
    REWARD_CALLS, "rewards.called_count", Counter, "Reward calls that this host sent.";
    REWARDS_FAILED, "rewards.failed_count", Counter, "Reward calls that ended without a score.";
    REWARDS_WAITING, "rewards.waiting_count", Gauge, "Items with a whole output that wait for their score.";
    REWARD_TIME, "rewards.time_ms", Timer, "Time from the start of a reward call to its score.";
    ORDERS_SENT, "orders.sent_count", Counter, "Orders that this host sent to engines.";
    DUTIES_SENT, "duties.sent_count", Counter, "Calls to the platform that this host made for all hosts.";
    USAGE_COUNTED, "usage.counted_count", Counter, "Requests of accounts that this host counted.";
    USAGE_REPORTED, "usage.reported_count", Counter, "Windows of usage that this host reported first.";
    USAGE_REPEATED, "usage.repeated_count", Counter, "Windows of usage that this host reported again for an earlier coordinator.";
    USAGE_UNSENT, "usage.unsent_count", Gauge, "Windows of usage whose report has not arrived for certain.";
    USAGE_LATE, "usage.late_count", Counter, "Requests whose counts were saved after the report of their window.";
    USAGE_LOST, "usage.lost_count", Counter, "Requests whose counts this host could not save.";
    CAPACITY_ORDERED, "capacity.ordered_count", Counter, "Orders of upstreams that the platform took from this host.";
    CAPACITY_REFUSED, "capacity.refused_count", Counter, "Orders of upstreams for which the platform had none.";
    CAPACITY_LOST, "capacity.lost_count", Counter, "Upstreams of scaled services that left or did not come, though they were wanted.";
    CAPACITY_WANTED, "capacity.wanted_count", Gauge, "Upstreams that this host wants of all scaled services.";
    CAPACITY_PRESENT, "capacity.present_count", Gauge, "Upstreams of scaled services that are listed and not leaving.";
    LEASES_TAKEN, "lease.taken_count", Counter, "Number of times that this host became the coordinator.";
    STORE_LOST, "store.lost_count", Counter, "Number of times that a feed from the store began to fail.";
    BUILD, "build.info", Gauge, "Always 1; the tags `version` and `sources` name the build of the program.";
    CONTROL_ROUND_TIME, "control.round_time_ms", Timer, "Duration of one round of all controllers.";
}

/// An error while setting up logs or metrics.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// The log filter is invalid.
    #[error("telemetry.log_filter: {0}")]
    Filter(#[from] ParseError),
    /// A global log subscriber is already installed.
    #[error("logging is already set up: {0}")]
    Subscriber(#[from] TryInitError),
    /// The StatsD address is invalid.
    #[error("telemetry.statsd_address {address:?} is not an IP address with a port")]
    Address {
        /// The configured text.
        address: String,
    },
    /// The UDP socket could not be opened.
    #[error("failed to open a socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The metrics library returned an error.
    #[error("metrics: {0}")]
    Metric(#[from] MetricError),
}

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if the filter is invalid or logging was started before.
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

/// Sends metrics to StatsD, or to another sink.
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
    /// Creates a sender to the address in `settings`, which tags each metric with
    /// the host; without an address, metrics are discarded.
    ///
    /// # Errors
    ///
    /// Fails if the address is invalid or the socket cannot be opened.
    pub fn start(settings: &TelemetrySettings, host: &HostId) -> Result<Self, TelemetryError> {
        let builder = match settings.statsd_address.as_str() {
            "" => StatsdClient::builder(PREFIX, NopMetricSink),
            address => StatsdClient::builder(PREFIX, sink(address)?),
        };
        let client = builder
            .with_tag("host", &**host)
            .with_error_handler(|error| tracing::debug!(%error, "failed to send a metric"))
            .build();
        Ok(Self {
            client: client.into(),
        })
    }

    /// Creates a sender to `sink`, for a process whose metrics are scraped.
    pub fn with_sink(
        sink: impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        let client = StatsdClient::builder(PREFIX, sink)
            .with_error_handler(|error| tracing::debug!(%error, "failed to record a metric"))
            .build();
        Self {
            client: client.into(),
        }
    }

    /// Adds `event_count` to a counter.
    pub fn count(&self, metric: Metric, event_count: u64) {
        self.client.count_with_tags(metric.name, event_count).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, level: u64) {
        self.client.gauge_with_tags(metric.name, level).send();
    }

    /// Sets a gauge to 1 whose tags name the build of the program.
    pub fn mark_build(&self, metric: Metric) {
        self.client
            .gauge_with_tags(metric.name, 1)
            .with_tag("version", build::VERSION)
            .with_tag("sources", build::SOURCES)
            .send();
    }

    /// Records a duration.
    pub fn time(&self, metric: Metric, time: Duration) {
        self.client.time_with_tags(metric.name, time).send();
    }
}

/// Creates a sink that never blocks the caller.
fn sink(address: &str) -> Result<QueuingMetricSink, TelemetryError> {
    let remote: SocketAddr = address.parse().map_err(|_| TelemetryError::Address {
        address: address.to_owned(),
    })?;
    let local_address = if remote.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local_address)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(remote, socket)?;
    Ok(QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS))
}

/// Renders the metrics page, which is stored as docs/METRICS.md.
pub fn page() -> String {
    let mut page = String::from(
        "# Metrics\n\n\
         Metrics are sent as StatsD datagrams to `telemetry.statsd_address`, each with the tag `host`.\n\
         Names end in their unit. This page is generated by `cargo run --example pages` from\n\
         `src/observe/telemetry.rs`.\n\n\
         | Name | Kind | Meaning |\n|---|---|---|\n",
    );
    for metric in METRICS {
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| `{PREFIX}.{}` | {} | {} |",
            metric.name, metric.kind, metric.doc
        );
    }
    page
}
