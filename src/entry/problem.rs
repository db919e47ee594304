//! Problem details (RFC 9457) for refused requests.
//!
//! Each response states whether the work ran, so that a client knows whether it
//! can retry (see docs/API.md).

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use xitca_web::body::ResponseBody;

use crate::clock::millis;

/// The header that carries the outcome in addition to the body.
pub const OUTCOME_HEADER: &str = "x-mimosavane-outcome";

/// The reason why a request was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// The request carries no valid key.
    Unauthorized,
    /// The key is valid, but not for this row or action.
    Forbidden,
    /// Nothing exists at this path or id.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body is not valid for the path.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The table has no such row, or the row is disabled.
    RowUnknown,
    /// The step's owner does not know the step; the trainer must submit it
    /// again.
    StepUnknown,
    /// A pull with a higher attach number has superseded this one.
    Superseded,
    /// A different step was submitted under the same number.
    StepConflict,
    /// The host is stopping.
    Draining,
    /// The host has not read the table yet.
    NotReady,
    /// The host sheds load; nothing ran.
    Overloaded,
    /// No upstream can accept the work; nothing ran.
    NoUpstream,
    /// It is unknown whether the work ran.
    OutcomeUnknown,
}

/// Whether the work of a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalOutcome {
    /// The work did not run and will not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

/// The response body of a refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// A URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// A sentence about the problem with this request.
    pub detail: String,
    /// `not-run` or `unknown`.
    pub outcome: String,
    /// How long the client should wait before it retries; absent if a retry
    /// does not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the HTTP status of the problem.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound | Self::RowUnknown => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::StepUnknown => StatusCode::PRECONDITION_REQUIRED,
            Self::Superseded | Self::StepConflict => StatusCode::CONFLICT,
            Self::Draining | Self::NotReady | Self::NoUpstream => StatusCode::SERVICE_UNAVAILABLE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the work may have run.
    pub const fn outcome(self) -> RefusalOutcome {
        match self {
            Self::OutcomeUnknown => RefusalOutcome::Unknown,
            _ => RefusalOutcome::NotRun,
        }
    }

    /// Builds the response like [`Problem::respond`], boxed for the error
    /// variant of a result.
    pub fn refuse(
        self,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Box<Response<ResponseBody>> {
        Box::new(self.respond(detail, retry_after))
    }

    /// Builds the response, with a `retry-after` header if `retry_after` is
    /// set.
    pub fn respond(
        self,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        let status = self.status();
        let outcome: &'static str = self.outcome().into();
        let details = Details {
            kind: format!("urn:mimosavane:problem:{self}"),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: outcome.to_owned(),
            retry_after_ms: retry_after.map(millis),
        };
        let bytes = serde_json::to_vec(&details).unwrap_or_default();
        let mut response = Response::new(ResponseBody::from(bytes));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
        if let Some(after) = retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
