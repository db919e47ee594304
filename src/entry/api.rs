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

/// The time that a sender may take over the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The context of one request.
pub type Context<'a> = WebContext<'a, Shared>;

/// A refusal, boxed since it is far larger than what is returned otherwise.
pub type Refusal = Box<WebResponse>;

/// An answer, or the refusal to send in its place.
pub type Answer = Result<WebResponse, Refusal>;

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
    /// Serves the interface on `listener` with `worker_count` threads.
    ///
    /// # Errors
    ///
    /// Fails where the listener cannot be used or a thread cannot be started.
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
            .at("/v1/drain", post(handler_service(super::operators::stop)))
            .at("/{*path}", handler_service(unknown))
            .enclosed_fn(watch_request)
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

    /// Stops accepting and ends the server, after open requests have finished
    /// where the stop is `graceful`.
    pub fn stop(&self, graceful: bool) {
        self.handle.stop(graceful);
    }
}

/// Counts each request as open work, and has clients leave a host that is
/// stopping, so that none reuses a connection in the moment that it is closed.
async fn watch_request<S, E>(service: &S, ctx: Context<'_>) -> Result<WebResponse, E>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = E>,
{
    let snapshot = ctx.state().snapshot.clone();
    let _open = ctx.state().open_work.hold();
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
            Some(NOT_READY_DELAY),
        );
    }
    text("ready\n")
}

/// When to ask a host again that has not learned the table.
pub const NOT_READY_DELAY: Duration = Duration::from_secs(1);

async fn unknown(_ctx: &Context<'_>) -> WebResponse {
    Problem::NotFound.respond("nothing stands under this path", None)
}

/// Returns the parts of the request's path.
pub fn parts<'a>(ctx: &'a Context<'_>) -> Vec<&'a str> {
    ctx.req().uri().path().split('/').skip(1).collect()
}

/// Returns who sent the request.
pub fn role(ctx: &Context<'_>) -> Role {
    ctx.state().keys.role(ctx.req().headers())
}

/// Lets only operators pass, and returns the operator's name.
///
/// # Errors
///
/// Fails with the refusal to send.
pub fn admit_operator(ctx: &Context<'_>) -> Result<Arc<str>, Refusal> {
    match role(ctx) {
        Role::Operator(name) => Ok(name),
        Role::Row(_) => Err(Problem::Forbidden.refuse("this needs an operator's key", None)),
        Role::None => Err(Problem::Unauthorized.refuse("this needs an operator's key", None)),
    }
}

/// Lets only the owner of `row` pass.
///
/// # Errors
///
/// Fails with the refusal to send.
pub fn admit_row(ctx: &Context<'_>, row: &str) -> Result<(), Refusal> {
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
/// Fails with the refusal to send.
pub async fn read_json<T: DeserializeOwned>(ctx: &Context<'_>) -> Result<T, Refusal> {
    let bytes = read(ctx).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Problem::Malformed.refuse(error.to_string(), None))
}

/// Reads the body of a request.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn read(ctx: &Context<'_>) -> Result<Bytes, Refusal> {
    body::read(ctx)
        .await
        .map_err(|problem| problem.refuse("the body was not taken", None))
}

/// Answers with a JSON document.
pub fn json(value: &impl Serialize) -> WebResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_type(bytes, "application/json"),
        Err(error) => Problem::OutcomeUnknown.respond(error.to_string(), None),
    }
}

/// Answers with plain text.
pub fn text(text: &'static str) -> WebResponse {
    with_type(text, "text/plain; charset=utf-8")
}

fn with_type(body: impl Into<Bytes>, content_type: &'static str) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body.into()));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Merges the two sides of an answer.
pub fn settle(answer: Answer) -> WebResponse {
    match answer {
        Ok(response) => response,
        Err(refusal) => *refusal,
    }
}
