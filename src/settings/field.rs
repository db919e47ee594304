//! The fields of the settings file, from which it is checked and documented.
//!
//! A new field takes one line in [`FIELDS`] beside its place in
//! [`crate::settings::Settings`]; a test compares the two.

use std::fmt::Write as _;

/// What values a field takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// A whole number within bounds.
    Whole {
        /// The least value.
        min: i64,
        /// The greatest value.
        max: i64,
    },
    /// A number within bounds.
    Ratio {
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
    },
    /// `true` or `false`.
    Switch,
    /// A name of up to 64 letters, digits, `.`, `_` and `-`.
    Name,
    /// Free text.
    Text,
    /// A secret of at least 16 bytes, or empty for none.
    Secret,
    /// An IP number and a port.
    Address,
    /// An IP number and a port, or empty for none.
    OptionalAddress,
    /// An `http://` or `https://` URL.
    Url,
    /// A URL, or empty for none.
    OptionalUrl,
    /// One of some words.
    Choice(&'static [&'static str]),
    /// A list of addresses.
    Addresses,
    /// A list of names.
    Names,
    /// Secrets by name, each different from the others.
    Secrets,
}

/// Whether a field may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It must be there.
    Required,
    /// It has a default, which is written here as YAML.
    Default(&'static str),
}

/// One field of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The path with dots; `*` stands for a name that the operator chooses.
    pub path: &'static str,
    /// What values it takes.
    pub shape: Shape,
    /// Whether it may be left out.
    pub presence: Presence,
    /// What it means.
    pub doc: &'static str,
}

use Presence::{Default as Or, Required};
use Shape::{
    Address, Addresses, Choice, Name, Names, OptionalAddress, OptionalUrl, Ratio, Secret, Secrets,
    Switch, Text, Url, Whole,
};

const fn field(path: &'static str, shape: Shape, presence: Presence, doc: &'static str) -> Field {
    Field {
        path,
        shape,
        presence,
        doc,
    }
}

/// A time in milliseconds of up to a day.
const fn millis(min: i64) -> Shape {
    Whole {
        min,
        max: 86_400_000,
    }
}

/// A count.
const fn count(min: i64, max: i64) -> Shape {
    Whole { min, max }
}

/// A part of a whole.
const PART: Shape = Ratio { min: 0.0, max: 1.0 };

/// All fields, in the order of the page.
#[rustfmt::skip]
pub const FIELDS: &[Field] = &[
    field("host.id", Name, Required, "The name of this host, unique in the fleet."),
    field("host.region", Name, Required, "The region that it stands in."),
    field("host.failure_domain", Name, Required, "The failure domain that it stands in."),
    field("host.ordinal", count(0, 65_535), Or("0"), "The number of this host, below limits.max_hosts_count, which no other running host has."),
    field("host.http_address", Address, Required, "Where callers and trainers reach it."),
    field("host.peer_address", Address, Required, "Where peers reach it, over TCP and UDP."),
    field("platform.table_service_url", Url, Required, "The transactional table service."),
    field("platform.host_list_url", OptionalUrl, Or("''"), "The list of live and leaving hosts; empty where there is none."),
    field("platform.weight_store_url", OptionalUrl, Or("''"), "The weight store; empty where there is none."),
    field("platform.timeout_ms", millis(1), Or("1000"), "How long one request to the platform may take."),
    field("platform.table_service_max_reads_per_s", count(1, 1_000_000), Or("2000"), "Reads of the table service a second that the whole fleet may use."),
    field("platform.table_service_max_writes_per_s", count(1, 1_000_000), Or("300"), "Writes to the table service a second that the whole fleet may use."),
    field("platform.fence_checking_engines", Names, Or("[]"), "Engines that refuse an order with an old fencing number."),
    field("seed_peers", Addresses, Or("[]"), "Addresses of some peers, over which a fresh host finds the others."),
    field("keys.fleet", Secret, Or("''"), "The secret that hosts of the fleet share."),
    field("keys.operators", Secrets, Or("{}"), "Bearer tokens of operators, by the name that history shows."),
    field("keys.rows", Secrets, Or("{}"), "Bearer tokens of trainers and members, by row."),
    field("table.http_address", Address, Or("127.0.0.1:8090"), "Where the table server of this host answers operators."),
    field("limits.max_body_bytes", count(1_024, 1 << 30), Or("8388608"), "The largest request body."),
    field("limits.request_read_timeout_ms", millis(1), Or("10000"), "How long a caller may take to send a request."),
    field("limits.default_deadline_ms", millis(1), Or("30000"), "The deadline of a call that names none."),
    field("limits.max_queued_calls", count(1, 1_000_000), Or("1024"), "The most calls that wait for one pool."),
    field("limits.silence_timeout_ms", millis(1), Or("5000"), "How long a connection may make no progress before it is retired."),
    field("limits.retry_budget_ratio", PART, Or("0.1"), "The part of calls that may be retries."),
    field("limits.max_hosts_count", count(1, 65_536), Or("1"), "The most hosts that ever run at once; each may use its part of a row's limits."),
    field("limits.max_sample_ms", millis(1), Or("600000"), "The longest that one sample runs on an engine."),
    field("pools.*.protocol", Choice(&["http1", "http2"]), Or("http1"), "The version of HTTP that the upstreams of the pool speak."),
    field("pools.*.idempotent_methods", Names, Or("[]"), "Methods that may be repeated besides GET, HEAD, OPTIONS, PUT and DELETE."),
    field("pools.*.unrepeatable_methods", Names, Or("[]"), "Methods that may not be repeated although HTTP says that they may."),
    field("pools.*.deduplicates_keys", Switch, Or("false"), "Whether the upstreams run a request with a known key only once over all of them."),
    field("membership.probe_interval_ms", millis(50), Or("500"), "The time between two probes that a host sends."),
    field("membership.probe_timeout_ms", millis(10), Or("200"), "How long a probe may stay unanswered before others are asked."),
    field("membership.suspicion_timeout_ms", millis(100), Or("2000"), "How long a suspect may refute before it is held for dead, in a fleet of ten hosts."),
    field("drain.grace_ms", millis(0), Or("3000"), "How long callers may still arrive after readiness is off."),
    field("drain.bound_ms", millis(1), Or("120000"), "How long a planned stop may take in all."),
    field("steward.shard_count", count(1, 4_096), Or("1"), "Into how many groups the engines are divided, each under one lease; the same on all hosts."),
    field("steward.lease_ms", millis(1_000), Or("10000"), "How long a lease holds without being renewed."),
    field("steward.order_timeout_ms", millis(100), Or("2000"), "How long an order to an engine may be under way."),
    field("steward.capacity_floor_ratio", PART, Or("0.75"), "The part of each pool that keeps serving while weights are loaded."),
    field("steward.max_rate_loads_per_s", Ratio { min: 0.001, max: 1_000_000.0 }, Or("10.0"), "The loads that the weight store bears over the whole fleet."),
    field("telemetry.log_format", Choice(&["text", "json"]), Or("text"), "The shape of a log line."),
    field("telemetry.log_filter", Text, Or("info"), "The filter of log lines, as the tracing library reads it."),
    field("telemetry.statsd_address", OptionalAddress, Or("''"), "Where StatsD datagrams go; empty sends none."),
    field("objectives.max_idle_ratio", PART, Or("0.05"), "The part of time that a trainer may wait on promised samples."),
    field("objectives.max_stale_ratio", PART, Or("0.05"), "The part of samples that may come near the staleness bound."),
    field("objectives.max_share_error_ratio", PART, Or("0.05"), "The part by which a row's served tokens may miss its share."),
    field("objectives.min_call_success_ratio", PART, Or("0.999"), "The part of calls that must get a whole answer."),
    field("objectives.change_in_force_ms", millis(1), Or("2000"), "How soon an accepted change must be in force on all hosts."),
    field("objectives.window_scale_ratio", Ratio { min: 0.0001, max: 1.0 }, Or("1.0"), "The length of the windows against 5 min, 1 h and 6 h; all hosts need the same."),
];

/// Two fields of which the first must stay below the second.
pub const BELOW: &[(&str, &str)] = &[
    (
        "membership.probe_timeout_ms",
        "membership.probe_interval_ms",
    ),
    ("drain.grace_ms", "drain.bound_ms"),
    ("host.ordinal", "limits.max_hosts_count"),
    ("steward.order_timeout_ms", "steward.lease_ms"),
];

/// Units by the suffix that names them.
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
    /// Returns the unit that the suffix of the name tells.
    pub fn unit(&self) -> &'static str {
        UNITS
            .iter()
            .find(|(suffix, _)| self.path.ends_with(suffix))
            .map_or("", |(_, unit)| unit)
    }

    /// Returns the field's path as a list of names.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.path.split('.')
    }
}

impl std::fmt::Display for Shape {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Whole { min, max } => write!(f, "a whole number from {min} to {max}"),
            Ratio { min, max } => write!(f, "a number from {min} to {max}"),
            Switch => f.write_str("true or false"),
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

/// Writes the page of all fields, which docs/SETTINGS.md holds.
pub fn page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Every program reads one YAML file. All mistakes in it are reported at once, each with\n\
         file, line and field; `mimosavane check-config FILE...` does only that. Unknown fields\n\
         are refused. This page is written by `cargo run --example pages` from\n\
         `src/settings/field.rs`.\n\n\
         | Field | Takes | Unit | Default | Meaning |\n|---|---|---|---|---|\n",
    );
    for field in FIELDS {
        let default = match field.presence {
            Required => "required".to_owned(),
            Or(text) => format!("`{text}`"),
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {default} | {} |",
            field.path,
            field.shape,
            field.unit(),
            field.doc,
        );
    }
    page.push_str("\nThese must stay below each other:\n\n");
    for (lower, upper) in BELOW {
        let _ = writeln!(page, "- `{lower}` below `{upper}`");
    }
    page
}
