//! Problem details (RFC 9457) for calls without a response.
//!
//! The three outcomes differ in status, outcome header and problem type (see
//! docs/operators/refused-calls.md).

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

use crate::call::attempt::{Outcome, Reason};

/// The header that names the outcome: `answered`, `not-run` or `unknown`.
///
/// By responding with status 503 and the value `not-run`, an upstream states
/// that it did not and will not run the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-mimosavane-outcome");

/// The media type of problem details.
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The response body for a call without a response from the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URN that contains the outcome and the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The outcome in words.
    pub title: String,
    /// The status of the response.
    pub status: u16,
    /// `not-run` or `unknown`.
    pub outcome: String,
    /// The reason for the outcome.
    pub reason: Reason,
    /// How long the caller should wait before it retries; absent if it should
    /// not retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Returns the HTTP status for a call that ended in `outcome`.
pub const fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(Reason::Invalid) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(Reason::KeyReused) => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(Reason::Claimed) => StatusCode::CONFLICT,
        Outcome::Unknown(
            Reason::DeadlinePassed | Reason::ConnectionSilent | Reason::UpstreamSilent,
        ) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the response for a call that ended in `outcome` without a response
/// from the upstream.
pub fn response(outcome: Outcome, retry_after: Option<Duration>) -> Response<Bytes> {
    let status = status(outcome);
    let reason = outcome.reason().unwrap_or(Reason::Invalid);
    let problem = Problem {
        kind: format!("urn:mimosavane:{}:{reason}", outcome.name()),
        title: title(outcome).to_owned(),
        status: status.as_u16(),
        outcome: outcome.name().to_owned(),
        reason,
        retry_after_ms: retry_after.map(as_millis),
    };
    // Serialising plain strings and numbers cannot fail.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, PROBLEM_JSON);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
    if let Some(retry_after) = retry_after {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(as_whole_seconds(retry_after)),
        );
    }
    response
}

const fn title(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "This request was answered.",
        // The title says "this request", as an earlier one with the same key may
        // have run.
        Outcome::NotRun(_) => "This request was not run.",
        Outcome::Unknown(_) => "It is not known whether this request ran.",
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn as_whole_seconds(duration: Duration) -> u64 {
    as_millis(duration).div_ceil(1000).max(1)
}
