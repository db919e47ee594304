//! The names of headers, paths, tables and rows in the platform's protocol.

/// The header with the id of a client's attempt; in batch jobs, the id of the
/// job or the item.
pub const ATTEMPT_ID: &str = "attempt-id";
/// The header with the time that the sender will wait, in milliseconds.
pub const DEADLINE_MS: &str = "deadline-ms";
/// The header with the maximum duration of a long poll, in milliseconds.
pub const WAIT_MS: &str = "wait-ms";
/// The header with the number of the event after which a stream continues.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The header with the id of the client's attempt that brought the first event of the
/// stream that continues.
pub const RESUMES: &str = "resumes";
/// The header with the id of the upstream that the request is meant for.
pub const EXPECT_INSTANCE: &str = "expect-instance";
/// The header that is present if the upstream did not run the request.
pub const NOT_EXECUTED: &str = "not-executed";
/// The header that is present if the upstream is leaving.
pub const SERVER_LEAVING: &str = "server-leaving";
/// The header with the requests per second that the upstream takes from all hosts
/// together, a decimal number. Absent if it names no limit.
pub const SERVER_LIMIT: &str = "server-limit";
/// The header with the upstream's signature.
pub const SERVER_STAMP: &str = "server-stamp";
/// The header or event field with the version of the weights that generate.
pub const WEIGHT_VERSIONS: &str = "weight-versions";
/// The header with the client's estimate of the number of output tokens.
pub const LENGTH_HINT: &str = "length-hint";
/// The header with the number of prompt tokens and the maximum number of output
/// tokens.
pub const TOKEN_USAGE: &str = "token-usage";
/// The header with the shared parts of an item's prompt, in their order: `ID:TOKENS`,
/// separated by commas.
pub const PROMPT_PREFIX: &str = "prompt-prefix";
/// The header with the key by which a client shows its account.
pub const API_KEY: &str = "x-api-key";
/// The header with the name of the account on whose behalf an upstream runs a request.
pub const TENANT: &str = "tenant";
/// The header with the name of the host that makes a call for all.
pub const DUTY_HOLDER: &str = "duty-holder";
/// The header with the fencing number under which a host makes such a call.
pub const FENCE_TOKEN: &str = "fence-token";

/// The path of an engine's report.
pub const REPORT_PATH: &str = "/-/report";
/// The path of orders to an engine.
pub const ORDER_PATH: &str = "/-/order";
/// The path of the platform's readiness probe of a host.
pub const READY_PATH: &str = "/-/readiness";
/// The prefix of the paths of batch jobs.
pub const JOBS_PATH: &str = "/-/lots/";
/// The prefix of the paths of items' bodies.
pub const ITEMS_PATH: &str = "/-/items/";
/// The path of usage reports.
pub const USAGE_PATH: &str = "/usage";
/// The path of orders of upstreams.
pub const SCALE_PATH: &str = "/scale";

/// The table with the operator's configuration and the trainers' versions.
pub const OPERATOR_TABLE: &str = "op";
/// The key of the row with the newest configuration.
pub const CONFIGURATION_KEY: &str = "config";
/// The prefix of the keys of rows in which trainers name weight versions.
pub const VERSION_PREFIX: &str = "version/";
/// The key after all keys with that prefix.
pub const VERSION_END: &str = "version0";
/// The table in which upstreams register.
pub const UPSTREAM_TABLE: &str = "servers";
