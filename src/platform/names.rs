//! The names of headers and paths.

/// Names one attempt of a client; in batch jobs, the job or the item.
pub const ATTEMPT_ID: &str = "attempt-id";
/// How many milliseconds the sender will wait.
pub const DEADLINE_MS: &str = "deadline-ms";
/// How many milliseconds a read may be kept waiting.
pub const WAIT_MS: &str = "wait-ms";
/// The event behind which a stream goes on.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The upstream that must be the one to answer.
pub const EXPECT_INSTANCE: &str = "expect-instance";
/// Set where the upstream did not run the request.
pub const NOT_EXECUTED: &str = "not-executed";
/// The upstream's signature.
pub const SERVER_STAMP: &str = "server-stamp";
/// The version of the weights that generates.
pub const WEIGHT_VERSIONS: &str = "weight-versions";
/// The client's estimate of the number of output tokens.
pub const LENGTH_HINT: &str = "length-hint";
/// The number of prompt tokens and the most output tokens.
pub const TOKEN_USAGE: &str = "token-usage";

/// The path of an engine's report.
pub const REPORT_PATH: &str = "/-/report";
/// The path of orders to an engine.
pub const ORDER_PATH: &str = "/-/order";
/// The path by which the platform asks whether a host is ready.
pub const READY_PATH: &str = "/-/readiness";
/// The start of the paths of batch jobs.
pub const JOBS_PATH: &str = "/-/lots/";
/// The start of the paths of items' bodies.
pub const ITEMS_PATH: &str = "/-/items/";

/// The table in which the operator writes.
pub const OPERATOR_TABLE: &str = "op";
/// The row of the newest configuration.
pub const CONFIGURATION_KEY: &str = "config";
/// The start of the rows in which trainers name versions.
pub const VERSION_PREFIX: &str = "version/";
/// The table in which upstreams register.
pub const UPSTREAM_TABLE: &str = "servers";
