//! The HTTP handlers for operators.

use serde::Serialize;
use xitca_web::http::WebResponse;

use super::{
    api::{self, Context, HandlerResult},
    collect,
    problem::Problem,
    thread::Input,
};
use crate::{
    control::{
        self,
        blackboard::{HostState, StoreCondition, UpstreamState},
    },
    host::drain,
    ids::{HostId, Revision, UpstreamId},
    store::follower,
};

/// A host's view of the fleet.
#[derive(Clone, Debug, Serialize)]
struct Status {
    host: HostId,
    draining: bool,
    store: StoreCondition,
    table_revision: Revision,
    open_work: usize,
    hosts: Vec<(HostId, HostState)>,
    upstreams: Vec<(UpstreamId, UpstreamState)>,
}

/// Returns this host's view of the fleet.
pub async fn status(ctx: &Context<'_>) -> WebResponse {
    api::into_response(try_status(ctx))
}

/// Returns the decisions of all hosts about an id.
pub async fn explain(ctx: &Context<'_>) -> WebResponse {
    api::into_response(try_explain(ctx).await)
}

/// Starts a graceful shutdown of this host.
pub async fn start_drain(ctx: &Context<'_>) -> WebResponse {
    api::into_response(try_start_drain(ctx).await)
}

fn try_status(ctx: &Context<'_>) -> HandlerResult {
    api::require_operator(ctx)?;
    let shared = ctx.state();
    let board = shared.snapshot.load();
    let hosts = board.hosts.members.values();
    let upstreams = board.upstreams.members.values();
    Ok(api::json(&Status {
        host: shared.settings.host.id.clone(),
        draining: board.draining,
        store: shared.store.condition(),
        table_revision: board.rows.revision,
        open_work: shared.open_work.count(),
        hosts: hosts.map(|host| (host.id.clone(), host.state)).collect(),
        upstreams: upstreams
            .map(|upstream| (upstream.id.clone(), upstream.state))
            .collect(),
    }))
}

async fn try_explain(ctx: &Context<'_>) -> HandlerResult {
    api::require_operator(ctx)?;
    let id = api::path_segments(ctx)
        .get(2..)
        .unwrap_or_default()
        .join("/");
    Ok(api::json(&collect::explanation(ctx.state(), id).await))
}

/// Returns the service-level windows of all hosts.
pub async fn burn(ctx: &Context<'_>) -> WebResponse {
    let answer = match api::require_operator(ctx) {
        Ok(_) => Ok(api::json(&collect::windows(ctx.state()).await)),
        Err(refusal) => Err(refusal),
    };
    api::into_response(answer)
}

/// Returns the table revision that is in force on this host, to operators and
/// table servers.
pub async fn in_force(ctx: &Context<'_>) -> WebResponse {
    let shared = ctx.state();
    let token = crate::table::auth::bearer_token(ctx.req().headers());
    let is_table_server = token.is_some_and(|token| shared.keys.is_fleet_secret(token));
    if !is_table_server && api::require_operator(ctx).is_err() {
        return Problem::Unauthorized.respond("this needs an operator's key", None);
    }
    let board = shared.snapshot.load();
    api::json(&follower::Report::of(&shared.settings.host.id, &board))
}

async fn try_start_drain(ctx: &Context<'_>) -> HandlerResult {
    let operator = api::require_operator(ctx)?;
    let requester = drain::Requester::Operator(operator);
    let asked = ctx
        .state()
        .control
        .send(Input::Control(control::Input::Drain(requester)))
        .await;
    asked.map_err(|error| Problem::Overloaded.refuse(error.to_string(), None))?;
    Ok(api::text("draining\n"))
}
