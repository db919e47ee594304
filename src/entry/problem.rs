//! Refusals as RFC 9457 problem details.
//!
//! Each refusal says whether the work ran, so that a client knows whether it may
//! ask again (see docs/API.md).

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use xitca_web::body::ResponseBody;

use crate::clock::millis;

/// The header that carries the outcome beside the body.
pub const OUTCOME_HEADER: &str = "x-mimosavane-outcome";

/// Why a request was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// No valid key came with the request.
    Unauthorized,
    /// The key is valid but not for this row or action.
    Forbidden,
    /// Nothing stands under this path or id.
    NotFound,
    /// The path takes other methods.
    MethodNotAllowed,
    /// The body is not what the path takes.
    Malformed,
    /// The body is over the bound.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The table has no such row, or it is switched off.
    RowUnknown,
    /// The step is not known here; submit it again.
    StepUnknown,
    /// A pull with a higher attach number took over.
    Superseded,
    /// Another step stands under the same number.
    StepConflict,
    /// This host is stopping.
    Draining,
    /// This host has not learned the table yet.
    NotReady,
    /// Work was shed; nothing ran.
    Overloaded,
    /// No upstream can take the work; nothing ran.
    NoUpstream,
    /// Whether the work ran is not known.
    OutcomeUnknown,
}

/// Whether the work of a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Ran {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// Names the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong with this request.
    pub detail: String,
    /// `not-run` or `unknown`.
    pub outcome: String,
    /// When to come back; absent where asking again does not help.
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

    /// Says whether the work may have run.
    pub const fn ran(self) -> Ran {
        match self {
            Self::OutcomeUnknown => Ran::Unknown,
            _ => Ran::NotRun,
        }
    }

    /// Builds the answer as [`Problem::respond`] does, for the error side of a
    /// result.
    pub fn refuse(
        self,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Box<Response<ResponseBody>> {
        Box::new(self.respond(detail, retry_after))
    }

    /// Builds the answer, with the time to come back where there is one.
    pub fn respond(
        self,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        let status = self.status();
        let outcome: &'static str = self.ran().into();
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
