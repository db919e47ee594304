//! The HTTP interface of an entry host; see docs/API.md.

use std::{io, net::TcpListener, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, header};
use serde::{Serialize, de::DeserializeOwned};
use xitca_server::ServerHandle;
use xitca_web::{
    App, WebContext,
    body::ResponseBody,
    handler::handler_service,
    http::WebResponse,
    route::{get, post},
    service::Service,
};

use super::{Shared, body, problem::Problem};
use crate::{store::follower::REPORT_PATH, table::auth::Role};

/// The maximum time for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The context of one request.
pub type Context<'a> = WebContext<'a, Shared>;

/// An error response, boxed because it is much larger than the success values.
pub type Refusal = Box<WebResponse>;

/// A response, or the error response to send instead.
pub type HandlerResult = Result<WebResponse, Refusal>;

/// A running HTTP server.
pub struct Server {
    handle: ServerHandle,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    /// Starts serving the interface on `listener` with `worker_count` threads.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used or a thread cannot be started.
    pub fn start(shared: Shared, listener: TcpListener, worker_count: usize) -> io::Result<Self> {
        let mut running = App::new()
            .with_state(shared)
            .at("/healthz", get(handler_service(live)))
            .at("/readyz", get(handler_service(ready)))
            .at(
                "/v1/trainers/{trainer}/steps/{step}",
                post(handler_service(super::trainers::submit)),
            )
            .at(
                "/v1/trainers/{trainer}/steps/{step}/pull",
                post(handler_service(super::trainers::pull)),
            )
            .at(
                "/v1/pools/{pool}/{*path}",
                handler_service(super::calls::forward),
            )
            .at("/v1/status", get(handler_service(super::operators::status)))
            .at(
                "/v1/explain/{*id}",
                get(handler_service(super::operators::explain)),
            )
            .at("/v1/burn", get(handler_service(super::operators::burn)))
            .at(
                REPORT_PATH,
                get(handler_service(super::operators::in_force)),
            )
            .at(
                "/v1/drain",
                post(handler_service(super::operators::start_drain)),
            )
            .at("/{*path}", handler_service(not_found))
            .enclosed_fn(track_request)
            .serve()
            .disable_signal()
            .worker_threads(worker_count)
            .request_head_timeout(HEAD_TIMEOUT)
            .h2c_prior_knowledge()
            .listen(listener)?
            .run();
        let handle = running.handle()?;
        std::thread::Builder::new()
            .name("http-server".to_owned())
            .spawn(move || running.wait())?;
        Ok(Self { handle })
    }

    /// Stops accepting connections and ends the server. A `graceful` stop waits
    /// for open requests to finish.
    pub fn stop(&self, graceful: bool) {
        self.handle.stop(graceful);
    }
}

/// Counts each request as open work and, while the host drains, sets
/// `connection: close` so that no client reuses a connection that is about to
/// be closed.
async fn track_request<S, E>(service: &S, ctx: Context<'_>) -> Result<WebResponse, E>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = E>,
{
    let snapshot = ctx.state().snapshot.clone();
    let _open = ctx.state().open_work.track();
    let mut response = service.call(ctx).await?;
    if snapshot.load().draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn live() -> &'static str {
    "live\n"
}

async fn ready(ctx: &Context<'_>) -> WebResponse {
    let board = ctx.state().snapshot.load();
    if board.draining {
        return Problem::Draining.respond("this host is stopping", None);
    }
    if !board.ready {
        return Problem::NotReady.respond(
            "this host does not know the fleet yet",
            Some(NOT_READY_RETRY_AFTER),
        );
    }
    text("ready\n")
}

/// The retry delay given to clients while the host has not yet read the table.
pub const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

async fn not_found(_ctx: &Context<'_>) -> WebResponse {
    Problem::NotFound.respond("nothing stands under this path", None)
}

/// Returns the segments of the request's path.
pub fn path_segments<'a>(ctx: &'a Context<'_>) -> Vec<&'a str> {
    ctx.req().uri().path().split('/').skip(1).collect()
}

/// Returns the role of the request's sender.
pub fn role(ctx: &Context<'_>) -> Role {
    ctx.state().keys.role(ctx.req().headers())
}

/// Returns the name of the operator who sent the request.
///
/// # Errors
///
/// Fails with the error response to send.
pub fn require_operator(ctx: &Context<'_>) -> Result<Arc<str>, Refusal> {
    match role(ctx) {
        Role::Operator(name) => Ok(name),
        Role::Row(_) => Err(Problem::Forbidden.refuse("this needs an operator's key", None)),
        Role::None => Err(Problem::Unauthorized.refuse("this needs an operator's key", None)),
    }
}

/// Checks that the request carries the key of `row`.
///
/// # Errors
///
/// Fails with the error response to send.
pub fn require_row_owner(ctx: &Context<'_>, row: &str) -> Result<(), Refusal> {
    let role = role(ctx);
    if role.owns(row) {
        return Ok(());
    }
    match role {
        Role::None => Err(Problem::Unauthorized.refuse("this needs the row's key", None)),
        _ => Err(Problem::Forbidden.refuse("the key is not for this row", None)),
    }
}

/// Reads the body of a request as JSON.
///
/// # Errors
///
/// Fails with the error response to send.
pub async fn read_json<T: DeserializeOwned>(ctx: &Context<'_>) -> Result<T, Refusal> {
    let bytes = read(ctx).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Problem::Malformed.refuse(error.to_string(), None))
}

/// Reads the body of a request.
///
/// # Errors
///
/// Fails with the error response to send.
pub async fn read(ctx: &Context<'_>) -> Result<Bytes, Refusal> {
    body::read(ctx)
        .await
        .map_err(|problem| problem.refuse("the body was not taken", None))
}

/// Returns a response with `value` as a JSON document.
pub fn json(value: &impl Serialize) -> WebResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_content_type(bytes, "application/json"),
        Err(error) => Problem::OutcomeUnknown.respond(error.to_string(), None),
    }
}

/// Returns a response with plain text.
pub fn text(text: &'static str) -> WebResponse {
    with_content_type(text, "text/plain; charset=utf-8")
}

fn with_content_type(body: impl Into<Bytes>, content_type: &'static str) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body.into()));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns the response of either variant.
pub fn into_response(answer: HandlerResult) -> WebResponse {
    match answer {
        Ok(response) => response,
        Err(refusal) => *refusal,
    }
}
