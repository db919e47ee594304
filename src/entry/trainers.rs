//! The HTTP handlers for trainers.

use std::time::Duration;

use xitca_web::http::WebResponse;

use super::{
    api::{self, Context, HandlerResult, NOT_READY_RETRY_AFTER, Refusal},
    owners,
    problem::Problem,
};
use crate::{
    api::trainer::{Pull, PullResponse, Sample, Submission, SubmitResponse},
    ids::{RowId, StepNumber, WeightVersion},
    observe::telemetry,
    proto::peer,
};

/// The retry delay given to trainers after a refusal that another host may not
/// give.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest wait that a pull can request.
const MAX_PULL_WAIT_MS: u64 = 30_000;

/// Accepts a step.
pub async fn submit(ctx: &Context<'_>) -> WebResponse {
    api::into_response(try_submit(ctx).await)
}

/// Returns samples to the trainer.
pub async fn pull(ctx: &Context<'_>) -> WebResponse {
    api::into_response(try_pull(ctx).await)
}

async fn try_submit(ctx: &Context<'_>) -> HandlerResult {
    let (trainer, step) = admit_step(ctx)?;
    let submission = api::read_json::<Submission>(ctx).await?;
    let request = peer::SubmitRequest {
        spec: Some(submission.into_spec(&trainer, step)),
        forwarded: false,
    };
    let reply = owners::submit(ctx.state(), request).await;
    let reply =
        reply.map_err(|error| Problem::NoUpstream.refuse(error.to_string(), Some(RETRY_AFTER)))?;
    if !reply.accepted {
        return Err(Problem::StepConflict.refuse(reply.refusal, None));
    }
    Ok(api::json(&SubmitResponse { owner: reply.owner }))
}

async fn try_pull(ctx: &Context<'_>) -> HandlerResult {
    let (trainer, step) = admit_step(ctx)?;
    let mut pull = api::read_json::<Pull>(ctx).await?;
    pull.wait_ms = pull.wait_ms.min(MAX_PULL_WAIT_MS);
    let version = pull.weight_version;
    let request = pull.into_message(&trainer, step);
    let asked_at = ctx.state().clock.now();
    let reply = owners::pull(ctx.state(), request).await;
    let reply =
        reply.map_err(|error| Problem::NoUpstream.refuse(error.to_string(), Some(RETRY_AFTER)))?;
    let waited = ctx.state().clock.now().saturating_sub(asked_at);
    ctx.state().burn.count_pull(&trainer, waited);
    count_delivered(ctx, &trainer, version, &reply.samples);
    match reply.status() {
        peer::PullStatus::Ok => Ok(api::json(&PullResponse {
            samples: reply.samples.into_iter().map(Sample::from).collect(),
            open_slots: reply.open_slots,
        })),
        peer::PullStatus::Superseded => {
            Err(Problem::Superseded.refuse("a pull with a higher attach number took over", None))
        }
        peer::PullStatus::Draining => {
            Err(Problem::Draining.refuse("the step's host is stopping", Some(RETRY_AFTER)))
        }
        peer::PullStatus::StepUnknown | peer::PullStatus::Unspecified => {
            Err(Problem::StepUnknown.refuse("submit the step again", None))
        }
    }
}

/// Counts the delivered samples, and those of them that are as stale as the row
/// allows.
fn count_delivered(
    ctx: &Context<'_>,
    trainer: &RowId,
    version: WeightVersion,
    samples: &[peer::Sample],
) {
    let board = ctx.state().snapshot.load();
    let bound = board
        .rows
        .rows
        .get(trainer)
        .map(|row| row.staleness_bound_versions);
    let is_at_bound = |sample: &&peer::Sample| {
        let oldest = sample
            .segments
            .iter()
            .map(|segment| segment.weight_version)
            .min();
        let age = version.saturating_sub(oldest.unwrap_or_default());
        bound.is_some_and(|bound| bound > 0 && age >= bound)
    };
    let at_bound_count = samples.iter().filter(is_at_bound).count() as u64;
    let metrics = &ctx.state().metrics;
    metrics.count(telemetry::SAMPLES_DELIVERED, samples.len() as u64);
    let burn = &ctx.state().burn;
    burn.count_samples(trainer, at_bound_count, samples.len() as u64);
}

/// Checks the key and the row of a request, and returns the row and the step in
/// its path.
fn admit_step(ctx: &Context<'_>) -> Result<(RowId, StepNumber), Refusal> {
    let trainer = admit_trainer(ctx)?;
    let step = api::path_segments(ctx)
        .get(4)
        .and_then(|segment| segment.parse().ok())
        .ok_or_else(|| Problem::Malformed.refuse("the step is not a number", None))?;
    Ok((trainer, step))
}

fn admit_trainer(ctx: &Context<'_>) -> Result<RowId, Refusal> {
    let segments = api::path_segments(ctx);
    let trainer = segments.get(2).copied().unwrap_or_default();
    api::require_row_owner(ctx, trainer)?;
    let board = ctx.state().snapshot.load();
    if board.refusing {
        return Err(Problem::Draining.refuse("this host is stopping", Some(RETRY_AFTER)));
    }
    if !board.ready {
        return Err(Problem::NotReady.refuse(
            "this host does not know the fleet yet",
            Some(NOT_READY_RETRY_AFTER),
        ));
    }
    match board.rows.rows.get(trainer) {
        Some(row) if row.enabled => Ok(row.id.clone()),
        _ => Err(Problem::RowUnknown.refuse("the table has no such row, or it is off", None)),
    }
}
