//! The table of settings fields, used to validate and document the file.
//!
//! A new field needs one line in [`FIELDS`] and a field in
//! [`crate::settings::Settings`]; a test compares the two.

use std::fmt::Write as _;

/// The values that a field accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// An integer within bounds.
    Integer {
        /// The minimum.
        min: i64,
        /// The maximum.
        max: i64,
    },
    /// A number within bounds.
    Number {
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// A name of up to 64 letters, digits, `.`, `_` and `-`.
    Name,
    /// Free text.
    Text,
    /// A secret of at least 16 bytes, or an empty string for none.
    Secret,
    /// An IP address and a port.
    Address,
    /// An IP address and a port, or an empty string for none.
    OptionalAddress,
    /// An `http://` or `https://` URL.
    Url,
    /// A URL, or an empty string for none.
    OptionalUrl,
    /// One of a set of words.
    Choice(&'static [&'static str]),
    /// A list of addresses.
    Addresses,
    /// A list of names.
    Names,
    /// A mapping from names to secrets, all of which differ.
    Secrets,
}

/// Whether a field may be omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The field is required.
    Required,
    /// The field is optional; its default is given as YAML.
    Default(&'static str),
}

/// One field of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The dotted path; `*` stands for a name that the operator chooses.
    pub path: &'static str,
    /// The values that the field accepts.
    pub shape: Shape,
    /// Whether the field may be omitted.
    pub presence: Presence,
    /// The description on the settings page.
    pub doc: &'static str,
}

use Presence::{Default as Or, Required};
use Shape::{
    Address, Addresses, Boolean, Choice, Integer, Name, Names, Number, OptionalAddress,
    OptionalUrl, Secret, Secrets, Text, Url,
};

const fn field(path: &'static str, shape: Shape, presence: Presence, doc: &'static str) -> Field {
    Field {
        path,
        shape,
        presence,
        doc,
    }
}

/// A duration in milliseconds of at most one day.
const fn millis(min: i64) -> Shape {
    Integer {
        min,
        max: 86_400_000,
    }
}

/// An integer from `min` to `max`.
const fn count(min: i64, max: i64) -> Shape {
    Integer { min, max }
}

/// A number from 0 to 1.
const FRACTION: Shape = Number { min: 0.0, max: 1.0 };

/// All fields, in the order of the settings page.
#[rustfmt::skip]
pub const FIELDS: &[Field] = &[
    field("host.id", Name, Required, "The name of this host, unique in the fleet."),
    field("host.region", Name, Required, "The region of this host."),
    field("host.failure_domain", Name, Required, "The failure domain of this host."),
    field("host.ordinal", count(0, 65_535), Or("0"), "The number of this host, unique among running hosts and less than limits.max_hosts_count."),
    field("host.http_address", Address, Required, "The address on which callers and trainers reach this host."),
    field("host.peer_address", Address, Required, "The address on which peers reach this host, over TCP and UDP."),
    field("platform.table_service_url", Url, Required, "The URL of the transactional table service."),
    field("platform.host_list_url", OptionalUrl, Or("''"), "The URL of the list of live and leaving hosts; empty if there is none."),
    field("platform.weight_store_url", OptionalUrl, Or("''"), "The URL of the weight store; empty if there is none."),
    field("platform.timeout_ms", millis(1), Or("1000"), "The timeout of one request to the platform."),
    field("platform.table_service_max_reads_per_s", count(1, 1_000_000), Or("2000"), "The maximum rate of table service reads over the whole fleet."),
    field("platform.table_service_max_writes_per_s", count(1, 1_000_000), Or("300"), "The maximum rate of table service writes over the whole fleet."),
    field("platform.fence_checking_engines", Names, Or("[]"), "Engines that refuse an order with an outdated fencing number."),
    field("seed_peers", Addresses, Or("[]"), "Addresses of some peers, through which a new host discovers the others."),
    field("keys.fleet", Secret, Or("''"), "The secret that hosts of the fleet share."),
    field("keys.operators", Secrets, Or("{}"), "Bearer tokens of operators, by the name shown in the history."),
    field("keys.rows", Secrets, Or("{}"), "Bearer tokens of trainers and members, by row."),
    field("table.http_address", Address, Or("127.0.0.1:8090"), "The address on which this host's table server answers operators."),
    field("limits.max_body_bytes", count(1_024, 1 << 30), Or("8388608"), "The maximum size of a request body."),
    field("limits.request_read_timeout_ms", millis(1), Or("10000"), "How long a caller may take to send a request."),
    field("limits.default_deadline_ms", millis(1), Or("30000"), "The deadline of a call that sets none."),
    field("limits.max_queued_calls", count(1, 1_000_000), Or("1024"), "The maximum number of calls queued for one pool."),
    field("limits.silence_timeout_ms", millis(1), Or("5000"), "How long a connection may make no progress before it is closed."),
    field("limits.retry_budget_ratio", FRACTION, Or("0.1"), "The fraction of calls that may be retries."),
    field("limits.max_hosts_count", count(1, 65_536), Or("1"), "The maximum number of hosts running at once; each may use its part of a row's limits."),
    field("limits.max_sample_ms", millis(1), Or("600000"), "The maximum time that one sample may run on an engine."),
    field("pools.*.protocol", Choice(&["http1", "http2"]), Or("http1"), "The HTTP version of the pool's upstreams."),
    field("pools.*.idempotent_methods", Names, Or("[]"), "Methods that may be repeated in addition to GET, HEAD, OPTIONS, PUT and DELETE."),
    field("pools.*.unrepeatable_methods", Names, Or("[]"), "Methods that must not be repeated although HTTP defines them as idempotent."),
    field("pools.*.deduplicates_keys", Boolean, Or("false"), "Whether the upstreams together run a request with a given key only once."),
    field("membership.probe_interval_ms", millis(50), Or("500"), "The interval between probes that a host sends."),
    field("membership.probe_timeout_ms", millis(10), Or("200"), "How long a probe may stay unanswered before other hosts are asked to probe."),
    field("membership.suspicion_timeout_ms", millis(100), Or("2000"), "How long a suspected host may refute the suspicion before it is declared dead, in a fleet of ten hosts."),
    field("drain.grace_ms", millis(0), Or("3000"), "How long callers may still arrive after the host reports itself as not ready."),
    field("drain.bound_ms", millis(1), Or("120000"), "The maximum total time of a planned stop."),
    field("steward.shard_count", count(1, 4_096), Or("1"), "The number of groups into which the engines are divided, each under one lease; must be the same on all hosts."),
    field("steward.lease_ms", millis(1_000), Or("10000"), "How long a lease is valid without renewal."),
    field("steward.order_timeout_ms", millis(100), Or("2000"), "The timeout of an order to an engine."),
    field("steward.capacity_floor_ratio", FRACTION, Or("0.75"), "The fraction of each pool that keeps serving while weights are loaded."),
    field("steward.max_rate_loads_per_s", Number { min: 0.001, max: 1_000_000.0 }, Or("10.0"), "The maximum rate of loads from the weight store over the whole fleet."),
    field("telemetry.log_format", Choice(&["text", "json"]), Or("text"), "The format of a log line."),
    field("telemetry.log_filter", Text, Or("info"), "The log filter, in the syntax of the tracing library."),
    field("telemetry.statsd_address", OptionalAddress, Or("''"), "The destination of StatsD datagrams; empty sends none."),
    field("objectives.max_idle_ratio", FRACTION, Or("0.05"), "The fraction of time that a trainer may wait for promised samples."),
    field("objectives.max_stale_ratio", FRACTION, Or("0.05"), "The fraction of samples that may come near the staleness bound."),
    field("objectives.max_share_error_ratio", FRACTION, Or("0.05"), "The fraction by which a row's served tokens may deviate from its share."),
    field("objectives.min_call_success_ratio", FRACTION, Or("0.999"), "The fraction of calls that must get a complete answer."),
    field("objectives.change_in_force_ms", millis(1), Or("2000"), "The time within which an accepted change must be in force on all hosts."),
    field("objectives.window_scale_ratio", Number { min: 0.0001, max: 1.0 }, Or("1.0"), "The scale of the 5 min, 1 h and 6 h windows; must be the same on all hosts."),
];

/// Pairs of fields of which the first must be less than the second.
pub const ORDERED_FIELDS: &[(&str, &str)] = &[
    (
        "membership.probe_timeout_ms",
        "membership.probe_interval_ms",
    ),
    ("drain.grace_ms", "drain.bound_ms"),
    ("host.ordinal", "limits.max_hosts_count"),
    ("steward.order_timeout_ms", "steward.lease_ms"),
];

/// The units, by the suffix of a field name.
const UNITS: &[(&str, &str)] = &[
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_ratio", "ratio"),
    ("_calls", "calls"),
    ("_tokens", "tokens"),
    ("_count", "count"),
    ("_versions", "versions"),
    ("_per_s", "a second"),
];

impl Field {
    /// Returns the unit that the suffix of the name indicates.
    pub fn unit(&self) -> &'static str {
        UNITS
            .iter()
            .find(|(suffix, _)| self.path.ends_with(suffix))
            .map_or("", |(_, unit)| unit)
    }

    /// Returns the components of the path.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.path.split('.')
    }
}

impl std::fmt::Display for Shape {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Integer { min, max } => write!(f, "a whole number from {min} to {max}"),
            Number { min, max } => write!(f, "a number from {min} to {max}"),
            Boolean => f.write_str("true or false"),
            Name => f.write_str("a name of up to 64 letters, digits, '.', '_' and '-'"),
            Text => f.write_str("text"),
            Secret => f.write_str("a secret of at least 16 bytes, or empty"),
            Address => f.write_str("an IP number with a port"),
            OptionalAddress => f.write_str("an IP number with a port, or empty"),
            Url => f.write_str("an http or https URL"),
            OptionalUrl => f.write_str("an http or https URL, or empty"),
            Choice(words) => write!(f, "one of {}", words.join(", ")),
            Addresses => f.write_str("a list of IP numbers with ports"),
            Names => f.write_str("a list of names"),
            Secrets => f.write_str("different secrets of at least 16 bytes by name"),
        }
    }
}

/// Renders the settings page, which is stored as docs/SETTINGS.md.
pub fn page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Every program reads one YAML file. All mistakes in it are reported at once, each with\n\
         file, line and field; `mimosavane check-config FILE...` does only that. Unknown fields\n\
         are rejected. This page is generated by `cargo run --example pages` from\n\
         `src/settings/field.rs`.\n\n\
         | Field | Accepts | Unit | Default | Meaning |\n|---|---|---|---|---|\n",
    );
    for field in FIELDS {
        let default = match field.presence {
            Required => "required".to_owned(),
            Or(text) => format!("`{text}`"),
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {default} | {} |",
            field.path,
            field.shape,
            field.unit(),
            field.doc,
        );
    }
    page.push_str("\nThe first field of each pair must be less than the second:\n\n");
    for (lower, upper) in ORDERED_FIELDS {
        let _ = writeln!(page, "- `{lower}` < `{upper}`");
    }
    page
}
