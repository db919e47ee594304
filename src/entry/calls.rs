//! The HTTP handler for calls to plain services.

use std::{
    pin::Pin,
    task::{Context as TaskContext, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request};
use xitca_web::{
    body::{Body, Frame, ResponseBody, SizeHint},
    http::WebResponse,
};

use super::{
    api::{self, Context, HandlerResult, Refusal},
    open_work::OpenWorkGuard,
    problem::{OUTCOME_HEADER, Problem},
};
use crate::{
    call::{self, Payload, relay::IncompleteResponse},
    ids::RowId,
    observe::telemetry::{self, Metric},
    table::auth::Role,
};

/// The index of the first path segment that is passed to the upstream, after
/// `/v1/pools/{pool}`.
const UPSTREAM_PATH_START: usize = 3;

/// The retry delay given to a row that exceeds its call rate limit.
const RATE_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The outcome of a call that received a complete response.
const ANSWERED: &str = "answered";

/// Forwards a call to an upstream of its pool.
pub async fn forward(ctx: &Context<'_>) -> WebResponse {
    api::into_response(try_forward(ctx).await)
}

async fn try_forward(ctx: &Context<'_>) -> HandlerResult {
    let Role::Row(row) = api::role(ctx) else {
        return Err(Problem::Unauthorized.refuse("this needs a row's key", None));
    };
    let shared = ctx.state();
    let open = shared.open_work.track();
    let segments = api::path_segments(ctx);
    let caller = call::Caller {
        row,
        pool: segments.get(2).copied().unwrap_or_default().into(),
    };
    admit_rate(ctx, &caller.row)?;
    let body = api::read(ctx).await?;
    let path = segments
        .get(UPSTREAM_PATH_START..)
        .unwrap_or_default()
        .join("/");
    let target = match ctx.req().uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let mut request = Request::builder()
        .method(ctx.req().method())
        .uri(target)
        .body(body)
        .map_err(|error| Problem::Malformed.refuse(error.to_string(), None))?;
    *request.headers_mut() = ctx.req().headers().clone();
    let arrived_at = shared.clock.now();
    let response = call::serve(&shared.calls, request, &caller).await;
    let outcome = response.headers().get(OUTCOME_HEADER);
    let is_answered = outcome.is_none_or(|outcome| outcome == ANSWERED);
    shared.burn.count_call(&caller.row, is_answered);
    shared.metrics.count(outcome_metric(outcome), 1);
    let took = shared.clock.now().saturating_sub(arrived_at);
    shared.metrics.time(telemetry::CALL_TIME, took);
    Ok(response.map(|payload| ResponseBody::boxed(PayloadBody(payload, open))))
}

/// Refuses calls of a row that is unknown, disabled or over its call rate
/// limit.
fn admit_rate(ctx: &Context<'_>, row: &RowId) -> Result<(), Refusal> {
    let shared = ctx.state();
    let board = shared.snapshot.load();
    let found = board.rows.rows.get(row).filter(|found| found.enabled);
    let found = found.ok_or_else(|| {
        Problem::RowUnknown.refuse("the table has no such row, or it is off", None)
    })?;
    if shared.call_rates.admits(found) {
        return Ok(());
    }
    shared.metrics.count(telemetry::CALLS_NOT_RUN, 1);
    Err(Problem::Overloaded.refuse(
        "the row is over its limit on calls",
        Some(RATE_LIMIT_RETRY_AFTER),
    ))
}

/// Returns the metric that counts an outcome.
fn outcome_metric(outcome: Option<&HeaderValue>) -> Metric {
    match outcome.and_then(|outcome| outcome.to_str().ok()) {
        Some("not-run") => telemetry::CALLS_NOT_RUN,
        Some("unknown") => telemetry::CALLS_UNKNOWN,
        _ => telemetry::CALLS_ANSWERED,
    }
}

/// Adapts a [`Payload`] to the HTTP server's body trait, and counts as open
/// work until the body has been sent.
struct PayloadBody(
    Payload,
    #[expect(dead_code, reason = "held for its drop")] OpenWorkGuard,
);

impl Body for PayloadBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let payload = Pin::new(&mut self.get_mut().0);
        hyper::body::Body::poll_frame(payload, cx).map_ok(|frame| match frame.into_data() {
            Ok(data) => Frame::Data(data),
            Err(frame) => Frame::Trailers(frame.into_trailers().unwrap_or_default()),
        })
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.0)
    }

    fn size_hint(&self) -> SizeHint {
        hyper::body::Body::size_hint(&self.0)
            .exact()
            .map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
