//! The request handlers, one per path.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{
        AUTHORIZATION, CACHE_CONTROL, CONTENT_SECURITY_POLICY, CONTENT_TYPE, ETAG, IF_MATCH,
        IF_NONE_MATCH,
    },
};
use rand::{Rng as _, SeedableRng as _};
use serde::{Serialize, de::DeserializeOwned};
use xitca_web::{WebContext, body::ResponseBody, http::WebResponse};

use super::{Shared, State, body, refusal::Refusal};
use crate::{
    control::{blackboard::TableStanding, controller::Rng},
    ids::{ChangeId, Revision, RowId, RowVersion},
    table::{
        api::{CHANGE_HEADER, ChangeBody, HistoryBody, HostStatus, StatusBody, TableBody},
        auth::Role,
        change::{Accepted, Change, RowAction, RowEdit},
        column::{self, COLUMNS, Cells},
        csv, edit, read_change, read_history, read_revision, read_table,
        row::Row,
    },
};

/// The HTML page, which loads no external resources.
const PAGE: &str = include_str!("../../assets/table.html");

/// The content security policy of the page: it may run its own script and style
/// and send requests to this server.
const PAGE_POLICY: &str = "default-src 'none'; script-src 'unsafe-inline'; style-src \
                           'unsafe-inline'; connect-src 'self'; base-uri 'none'; \
                           form-action 'none'; frame-ancestors 'none'";

/// The number of changes that the history returns by default.
const DEFAULT_HISTORY_CHANGES_COUNT: usize = 100;
/// The maximum number of changes that the history returns.
const MAX_HISTORY_CHANGES_COUNT: usize = 1_000;
/// The maximum length of a change id from a client.
const MAX_CHANGE_ID_CHARS: usize = 64;

type Context<'a> = WebContext<'a, State>;
type HandlerResult = Result<WebResponse, Refusal>;

/// Returns the page without requiring a key. The page asks for one before it
/// shows the table.
pub async fn page(ctx: &Context<'_>) -> WebResponse {
    let mut response = with_content_type(PAGE, "text/html; charset=utf-8");
    let policy = HeaderValue::from_static(PAGE_POLICY);
    response
        .headers_mut()
        .insert(CONTENT_SECURITY_POLICY, policy);
    into_response(require_method(ctx, &Method::GET).map(|()| response))
}

/// Answers the liveness check.
pub async fn live(_ctx: &Context<'_>) -> WebResponse {
    with_content_type("live\n", "text/plain; charset=utf-8")
}

/// Returns 404 for all other paths.
pub async fn unknown(_ctx: &Context<'_>) -> WebResponse {
    Refusal::NotFound.into_response()
}

/// Returns the whole table.
pub async fn table(ctx: &Context<'_>) -> WebResponse {
    into_response(get_table(ctx).await)
}

async fn get_table(ctx: &Context<'_>) -> HandlerResult {
    require_method(ctx, &Method::GET)?;
    require_operator(ctx)?;
    let table = read_table(&shared(ctx).store).await?;
    let body = TableBody {
        revision: table.revision,
        rows: table.rows.into_values().collect(),
    };
    Ok(with_etag(json(&body), body.revision))
}

/// Returns the descriptions of the columns.
pub async fn columns(ctx: &Context<'_>) -> WebResponse {
    into_response(require_method(ctx, &Method::GET).and_then(|()| {
        require_operator(ctx)?;
        Ok(json(&COLUMNS))
    }))
}

/// Returns, sets or removes one row.
pub async fn row(ctx: &Context<'_>) -> WebResponse {
    let result = match *ctx.req().method() {
        Method::GET => get_row(ctx).await,
        Method::PATCH => edit_row(ctx, CellScope::Named).await,
        Method::PUT => edit_row(ctx, CellScope::All).await,
        Method::DELETE => remove_row(ctx).await,
        _ => Err(Refusal::MethodNotAllowed),
    };
    into_response(result)
}

async fn get_row(ctx: &Context<'_>) -> HandlerResult {
    require_operator(ctx)?;
    let table = read_table(&shared(ctx).store).await?;
    let row = table
        .rows
        .get(last_path_segment(ctx))
        .ok_or(Refusal::NotFound)?;
    Ok(with_etag(json(row), row.version))
}

/// The cells of a row that a request sets.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CellScope {
    /// The cells in the request.
    Named,
    /// All cells; those that are not in the request get their defaults.
    All,
}

async fn edit_row(ctx: &Context<'_>, scope: CellScope) -> HandlerResult {
    let who = require_operator(ctx)?;
    let base_version = base_version(ctx.req().headers())?;
    let row: RowId = last_path_segment(ctx).into();
    let mut cells: Cells = read_json(ctx).await?;
    if scope == CellScope::All {
        for (column, value) in column::cells_of(&Row::new(row.clone())) {
            cells.entry(column).or_insert(value);
        }
    }
    apply_edits(ctx, who, vec![RowEdit::set(row, base_version, cells)]).await
}

async fn remove_row(ctx: &Context<'_>) -> HandlerResult {
    let who = require_operator(ctx)?;
    let base_version = base_version(ctx.req().headers())?;
    let edit = RowEdit::remove(last_path_segment(ctx), base_version);
    apply_edits(ctx, who, vec![edit]).await
}

/// Applies several edits atomically.
pub async fn changes(ctx: &Context<'_>) -> WebResponse {
    into_response(post_change(ctx).await)
}

async fn post_change(ctx: &Context<'_>) -> HandlerResult {
    require_method(ctx, &Method::POST)?;
    let who = require_operator(ctx)?;
    let change: ChangeBody = read_json(ctx).await?;
    apply_edits(ctx, who, change.edits).await
}

/// Returns one accepted change.
pub async fn one_change(ctx: &Context<'_>) -> WebResponse {
    into_response(get_change(ctx).await)
}

async fn get_change(ctx: &Context<'_>) -> HandlerResult {
    require_method(ctx, &Method::GET)?;
    require_operator(ctx)?;
    let change = read_change(&shared(ctx).store, &last_path_segment(ctx).into()).await?;
    Ok(json(&change.ok_or(Refusal::NotFound)?))
}

/// Returns the effect that a change would have.
pub async fn dry_run(ctx: &Context<'_>) -> WebResponse {
    into_response(post_dry_run(ctx).await)
}

async fn post_dry_run(ctx: &Context<'_>) -> HandlerResult {
    require_method(ctx, &Method::POST)?;
    let who = require_operator(ctx)?;
    let body = read_bytes(ctx).await?;
    let media_type = ctx.req().headers().get(CONTENT_TYPE);
    let is_csv =
        media_type.is_some_and(|media_type| media_type.as_bytes().starts_with(b"text/csv"));
    let edits = if is_csv {
        csv::read(std::str::from_utf8(&body)?)?
    } else {
        serde_json::from_slice::<ChangeBody>(&body)?.edits
    };
    let change = build_change(ctx, who, edits)?;
    Ok(json(&edit::dry_run(&shared(ctx).store, &change).await?))
}

/// Returns the accepted changes, newest first.
pub async fn history(ctx: &Context<'_>) -> WebResponse {
    into_response(get_history(ctx).await)
}

async fn get_history(ctx: &Context<'_>) -> HandlerResult {
    require_method(ctx, &Method::GET)?;
    require_operator(ctx)?;
    let query = ctx.req().uri().query().unwrap_or_default();
    let limit = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("limit="));
    let limit = limit.and_then(|limit| limit.parse().ok());
    let limit = limit.unwrap_or(DEFAULT_HISTORY_CHANGES_COUNT);
    let limit = limit.min(MAX_HISTORY_CHANGES_COUNT);
    let changes = read_history(&shared(ctx).store, limit).await?;
    Ok(json(&HistoryBody { changes }))
}

/// Exports the table as CSV, or imports it from CSV.
pub async fn csv(ctx: &Context<'_>) -> WebResponse {
    let result = match *ctx.req().method() {
        Method::GET => get_csv(ctx).await,
        Method::PUT => put_csv(ctx).await,
        _ => Err(Refusal::MethodNotAllowed),
    };
    into_response(result)
}

async fn get_csv(ctx: &Context<'_>) -> HandlerResult {
    require_operator(ctx)?;
    let table = read_table(&shared(ctx).store).await?;
    let rows: Vec<_> = table.rows.into_values().collect();
    let response = with_content_type(csv::write(&rows)?, "text/csv; charset=utf-8");
    Ok(with_etag(response, table.revision))
}

async fn put_csv(ctx: &Context<'_>) -> HandlerResult {
    let who = require_operator(ctx)?;
    let body = read_bytes(ctx).await?;
    let edits = csv::read(std::str::from_utf8(&body)?)?;
    apply_edits(ctx, who, edits).await
}

/// Returns the revision in force on each host.
pub async fn status(ctx: &Context<'_>) -> WebResponse {
    into_response(get_status(ctx).await)
}

async fn get_status(ctx: &Context<'_>) -> HandlerResult {
    require_method(ctx, &Method::GET)?;
    require_operator(ctx)?;
    let shared = shared(ctx);
    let key = ctx.req().headers().get(AUTHORIZATION);
    let accepted = read_revision(&shared.store);
    let (accepted, hosts) = tokio::join!(accepted, shared.hosts.fetch_statuses(key));
    let accepted_revision = accepted.ok();
    let highest_revision = hosts.iter().filter_map(|host| host.revision).max();
    let revision = accepted_revision.or(highest_revision).unwrap_or(0);
    let is_in_force = |host: &&HostStatus| {
        host.standing == Some(TableStanding::Current)
            && host.revision.is_some_and(|present| present >= revision)
    };
    Ok(json(&StatusBody {
        accepted_revision,
        store: shared.store.condition(),
        revision,
        in_force_hosts_count: hosts.iter().filter(is_in_force).count(),
        hosts,
    }))
}

async fn apply_edits(ctx: &Context<'_>, who: String, edits: Vec<RowEdit>) -> HandlerResult {
    let adds_row = |edit: &RowEdit| edit.base_version == 0 && edit.action != RowAction::Remove;
    let adds_rows = edits.iter().all(adds_row);
    let change = build_change(ctx, who, edits)?;
    let accepted = edit::apply(&shared(ctx).store, &change, &mut Rng::from_os_rng()).await;
    let accepted = accepted.inspect_err(|error| {
        tracing::info!(change = %change.id, who = change.who, %error, "change not accepted");
    })?;
    let revision = accepted.revision;
    tracing::info!(change = %change.id, who = change.who, revision, "change accepted");
    let mut response = with_etag(json::<Accepted>(&accepted), revision);
    if adds_rows && !accepted.cells.is_empty() {
        *response.status_mut() = StatusCode::CREATED;
    }
    Ok(response)
}

fn build_change(ctx: &Context<'_>, who: String, edits: Vec<RowEdit>) -> Result<Change, Refusal> {
    let id = change_id(ctx.req().headers(), &who)?;
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_unix_ms = since_1970.map_or(0, |time| time.as_millis());
    let mut change = Change::new(id, who, u64::try_from(at_unix_ms).unwrap_or(u64::MAX));
    change.edits = edits;
    Ok(change)
}

/// Returns the client's id for the change, so that a retry finds the first
/// attempt, or a random id. The operator's name as prefix keeps the ids of two
/// operators apart.
fn change_id(headers: &HeaderMap, who: &str) -> Result<ChangeId, Refusal> {
    let Some(name) = headers.get(CHANGE_HEADER) else {
        return Ok(format!("{:032x}", rand::rng().random::<u128>()).into());
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.to_str() {
        Ok(name)
            if (1..=MAX_CHANGE_ID_CHARS).contains(&name.len()) && name.chars().all(is_allowed) =>
        {
            Ok(format!("{who}:{name}").into())
        }
        _ => Err(Refusal::BadChangeId),
    }
}

fn base_version(headers: &HeaderMap) -> Result<RowVersion, Refusal> {
    if headers.get(IF_NONE_MATCH).is_some_and(|tag| tag == "*") {
        return Ok(0);
    }
    let tag = headers.get(IF_MATCH).ok_or(Refusal::VersionRequired)?;
    let tag = tag.to_str().map_err(|_| Refusal::BadVersion)?.trim();
    let quoted = tag.strip_prefix('"').and_then(|tag| tag.strip_suffix('"'));
    let version = quoted.and_then(|version| version.parse().ok());
    version.ok_or(Refusal::BadVersion)
}

/// Returns the name of the operator who sent the request; refuses all other
/// senders.
fn require_operator(ctx: &Context<'_>) -> Result<String, Refusal> {
    match shared(ctx).keys.role(ctx.req().headers()) {
        Role::Operator(name) => Ok(name.to_string()),
        Role::Row(_) => Err(Refusal::Forbidden),
        Role::None => Err(Refusal::Unauthorized),
    }
}

fn require_method(ctx: &Context<'_>, method: &Method) -> Result<(), Refusal> {
    if ctx.req().method() == method {
        Ok(())
    } else {
        Err(Refusal::MethodNotAllowed)
    }
}

fn shared<'a>(ctx: &'a Context<'_>) -> &'a Shared {
    &ctx.state().shared
}

fn last_path_segment<'a>(ctx: &'a Context<'_>) -> &'a str {
    let path = ctx.req().uri().path();
    path.rsplit('/').next().unwrap_or_default()
}

async fn read_bytes(ctx: &Context<'_>) -> Result<Bytes, Refusal> {
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    body::read(body, shared(ctx).body_timeout).await
}

async fn read_json<T: DeserializeOwned>(ctx: &Context<'_>) -> Result<T, Refusal> {
    let bytes = read_bytes(ctx).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

fn into_response(result: HandlerResult) -> WebResponse {
    result.unwrap_or_else(Refusal::into_response)
}

fn json<T: Serialize>(value: &T) -> WebResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(bytes, "application/json")
}

fn with_etag(mut response: WebResponse, version: Revision) -> WebResponse {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn with_content_type(body: impl Into<Bytes>, media_type: &'static str) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes::<Bytes>(body.into()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
