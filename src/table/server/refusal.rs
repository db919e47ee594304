//! The reasons for refusing a request and their HTTP responses.

use http::{HeaderValue, header};
use xitca_web::{body::ResponseBody, http::WebResponse};

use crate::table::{
    ReadError,
    api::{Problem, ProblemKind},
    change::PlanError,
    csv::CsvError,
    edit::EditError,
};

/// Why a request is refused.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The request has no valid key.
    #[error("this needs an operator's key")]
    Unauthorized,
    /// The key belongs to a row, which may not read or edit the table.
    #[error("this needs an operator's key, not the key of a row")]
    Forbidden,
    /// Nothing exists at this path or under this name.
    #[error("nothing stands under this path or name")]
    NotFound,
    /// The path does not support the method.
    #[error("the path takes other methods")]
    MethodNotAllowed,
    /// The request does not state the version of the row.
    #[error("If-Match must give the row's version, or If-None-Match: * for a new row")]
    VersionRequired,
    /// The version of the row is not a number in quotes.
    #[error("If-Match must hold one version in quotes, such as \"12\"")]
    BadVersion,
    /// The id of the change is invalid.
    #[error("Idempotency-Key has 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'")]
    BadChangeId,
    /// The body is not the JSON document that the path expects.
    #[error("the body cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is not UTF-8 text.
    #[error("the body is not text: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// The connection broke before the body was complete.
    #[error("the body broke off")]
    BodyBroken,
    /// The body exceeds the size limit.
    #[error("the body is over {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The CSV text is invalid.
    #[error(transparent)]
    Csv(#[from] CsvError),
    /// The table could not be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The change was not accepted.
    #[error(transparent)]
    Edit(#[from] EditError),
}

impl Refusal {
    fn kind(&self) -> ProblemKind {
        match self {
            Self::Unauthorized => ProblemKind::Unauthorized,
            Self::Forbidden => ProblemKind::Forbidden,
            Self::NotFound => ProblemKind::NotFound,
            Self::MethodNotAllowed => ProblemKind::MethodNotAllowed,
            Self::VersionRequired => ProblemKind::VersionRequired,
            Self::TooLarge { .. } => ProblemKind::TooLarge,
            Self::TooSlow => ProblemKind::TooSlow,
            _ => ProblemKind::Malformed,
        }
    }

    fn into_problem(self) -> Problem {
        match self {
            Self::Read(error) => Problem::from(&error),
            Self::Edit(error) => Problem::from(&error),
            Self::Csv(CsvError::Cells(errors)) => {
                Problem::from(&EditError::Plan(PlanError::Invalid(errors)))
            }
            other => Problem::new(other.kind(), other.to_string()),
        }
    }

    /// Converts the refusal into an HTTP response.
    pub fn into_response(self) -> WebResponse {
        let problem = self.into_problem();
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = WebResponse::new(ResponseBody::bytes(body));
        *response.status_mut() = problem.kind.status();
        let headers = response.headers_mut();
        let media_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, media_type);
        if problem.kind == ProblemKind::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(retry_after_ms) = problem.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
