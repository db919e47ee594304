//! One function a path.

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

/// The page, which loads nothing from elsewhere.
const PAGE: &str = include_str!("../../assets/table.html");

/// What the page may do: run its own script and style, and ask this server.
const PAGE_POLICY: &str = "default-src 'none'; script-src 'unsafe-inline'; style-src \
                           'unsafe-inline'; connect-src 'self'; base-uri 'none'; \
                           form-action 'none'; frame-ancestors 'none'";

/// How many changes the history shows where the request does not say.
const HISTORY_CHANGES_COUNT: usize = 100;
/// The most changes that the history shows.
const MAX_HISTORY_CHANGES_COUNT: usize = 1_000;
/// The most characters in the name of a change.
const MAX_CHANGE_ID_CHARS: usize = 64;

type Context<'a> = WebContext<'a, State>;
type Answer = Result<WebResponse, Refusal>;

/// Serves the page to anybody; it asks for a key before it shows the table.
pub async fn page(ctx: &Context<'_>) -> WebResponse {
    let mut response = with_type(PAGE, "text/html; charset=utf-8");
    let policy = HeaderValue::from_static(PAGE_POLICY);
    response
        .headers_mut()
        .insert(CONTENT_SECURITY_POLICY, policy);
    settle(only(ctx, &Method::GET).map(|()| response))
}

/// Says that the program runs.
pub async fn live(_ctx: &Context<'_>) -> WebResponse {
    with_type("live\n", "text/plain; charset=utf-8")
}

/// Refuses all other paths.
pub async fn unknown(_ctx: &Context<'_>) -> WebResponse {
    Refusal::NotFound.into_response()
}

/// Returns the whole table.
pub async fn table(ctx: &Context<'_>) -> WebResponse {
    settle(get_table(ctx).await)
}

async fn get_table(ctx: &Context<'_>) -> Answer {
    only(ctx, &Method::GET)?;
    admit(ctx)?;
    let table = read_table(&shared(ctx).store).await?;
    let body = TableBody {
        revision: table.revision,
        rows: table.rows.into_values().collect(),
    };
    Ok(tagged(json(&body), body.revision))
}

/// Returns what the columns are.
pub async fn columns(ctx: &Context<'_>) -> WebResponse {
    settle(only(ctx, &Method::GET).and_then(|()| {
        admit(ctx)?;
        Ok(json(&COLUMNS))
    }))
}

/// Returns, sets or removes one row.
pub async fn row(ctx: &Context<'_>) -> WebResponse {
    let answer = match *ctx.req().method() {
        Method::GET => get_row(ctx).await,
        Method::PATCH => edit_row(ctx, Replace::Named).await,
        Method::PUT => edit_row(ctx, Replace::All).await,
        Method::DELETE => remove_row(ctx).await,
        _ => Err(Refusal::MethodNotAllowed),
    };
    settle(answer)
}

async fn get_row(ctx: &Context<'_>) -> Answer {
    admit(ctx)?;
    let table = read_table(&shared(ctx).store).await?;
    let row = table.rows.get(last_part(ctx)).ok_or(Refusal::NotFound)?;
    Ok(tagged(json(row), row.version))
}

/// Which cells of a row a request sets.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Replace {
    /// Those that it names.
    Named,
    /// All, where those that it does not name get their defaults.
    All,
}

async fn edit_row(ctx: &Context<'_>, replace: Replace) -> Answer {
    let who = admit(ctx)?;
    let base_version = base_version(ctx.req().headers())?;
    let row: RowId = last_part(ctx).into();
    let mut cells: Cells = read_json(ctx).await?;
    if replace == Replace::All {
        for (column, value) in column::cells_of(&Row::new(row.clone())) {
            cells.entry(column).or_insert(value);
        }
    }
    accept(ctx, who, vec![RowEdit::set(row, base_version, cells)]).await
}

async fn remove_row(ctx: &Context<'_>) -> Answer {
    let who = admit(ctx)?;
    let base_version = base_version(ctx.req().headers())?;
    let edit = RowEdit::remove(last_part(ctx), base_version);
    accept(ctx, who, vec![edit]).await
}

/// Has several edits accepted together.
pub async fn changes(ctx: &Context<'_>) -> WebResponse {
    settle(post_change(ctx).await)
}

async fn post_change(ctx: &Context<'_>) -> Answer {
    only(ctx, &Method::POST)?;
    let who = admit(ctx)?;
    let change: ChangeBody = read_json(ctx).await?;
    accept(ctx, who, change.edits).await
}

/// Returns one accepted change.
pub async fn one_change(ctx: &Context<'_>) -> WebResponse {
    settle(get_change(ctx).await)
}

async fn get_change(ctx: &Context<'_>) -> Answer {
    only(ctx, &Method::GET)?;
    admit(ctx)?;
    let change = read_change(&shared(ctx).store, &last_part(ctx).into()).await?;
    Ok(json(&change.ok_or(Refusal::NotFound)?))
}

/// Says what a change would do.
pub async fn dry_run(ctx: &Context<'_>) -> WebResponse {
    settle(post_dry_run(ctx).await)
}

async fn post_dry_run(ctx: &Context<'_>) -> Answer {
    only(ctx, &Method::POST)?;
    let who = admit(ctx)?;
    let body = read_bytes(ctx).await?;
    let is_csv = ctx.req().headers().get(CONTENT_TYPE);
    let is_csv = is_csv.is_some_and(|media_type| media_type.as_bytes().starts_with(b"text/csv"));
    let edits = if is_csv {
        csv::read(std::str::from_utf8(&body)?)?
    } else {
        serde_json::from_slice::<ChangeBody>(&body)?.edits
    };
    let change = change(ctx, who, edits)?;
    Ok(json(&edit::dry_run(&shared(ctx).store, &change).await?))
}

/// Returns the accepted changes, newest first.
pub async fn history(ctx: &Context<'_>) -> WebResponse {
    settle(get_history(ctx).await)
}

async fn get_history(ctx: &Context<'_>) -> Answer {
    only(ctx, &Method::GET)?;
    admit(ctx)?;
    let query = ctx.req().uri().query().unwrap_or_default();
    let limit = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("limit="));
    let limit = limit.and_then(|limit| limit.parse().ok());
    let limit = limit.unwrap_or(HISTORY_CHANGES_COUNT);
    let limit = limit.min(MAX_HISTORY_CHANGES_COUNT);
    let changes = read_history(&shared(ctx).store, limit).await?;
    Ok(json(&HistoryBody { changes }))
}

/// Returns the table as CSV, or takes it from CSV.
pub async fn csv(ctx: &Context<'_>) -> WebResponse {
    let answer = match *ctx.req().method() {
        Method::GET => get_csv(ctx).await,
        Method::PUT => put_csv(ctx).await,
        _ => Err(Refusal::MethodNotAllowed),
    };
    settle(answer)
}

async fn get_csv(ctx: &Context<'_>) -> Answer {
    admit(ctx)?;
    let table = read_table(&shared(ctx).store).await?;
    let rows: Vec<_> = table.rows.into_values().collect();
    let response = with_type(csv::write(&rows)?, "text/csv; charset=utf-8");
    Ok(tagged(response, table.revision))
}

async fn put_csv(ctx: &Context<'_>) -> Answer {
    let who = admit(ctx)?;
    let body = read_bytes(ctx).await?;
    let edits = csv::read(std::str::from_utf8(&body)?)?;
    accept(ctx, who, edits).await
}

/// Says which hosts have which revision in force.
pub async fn status(ctx: &Context<'_>) -> WebResponse {
    settle(get_status(ctx).await)
}

async fn get_status(ctx: &Context<'_>) -> Answer {
    only(ctx, &Method::GET)?;
    admit(ctx)?;
    let shared = shared(ctx);
    let key = ctx.req().headers().get(AUTHORIZATION);
    let asked = read_revision(&shared.store);
    let (accepted, hosts) = tokio::join!(asked, shared.hosts.ask_all(key));
    let accepted_revision = accepted.ok();
    let highest = hosts.iter().filter_map(|host| host.revision).max();
    let revision = accepted_revision.or(highest).unwrap_or(0);
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

async fn accept(ctx: &Context<'_>, who: String, edits: Vec<RowEdit>) -> Answer {
    let adds_row = |edit: &RowEdit| edit.base_version == 0 && edit.action != RowAction::Remove;
    let is_added = edits.iter().all(adds_row);
    let change = change(ctx, who, edits)?;
    let accepted = edit::apply(&shared(ctx).store, &change, &mut Rng::from_os_rng()).await;
    let accepted = accepted.inspect_err(|error| {
        tracing::info!(change = %change.id, who = change.who, %error, "change not accepted");
    })?;
    let revision = accepted.revision;
    tracing::info!(change = %change.id, who = change.who, revision, "change accepted");
    let mut response = tagged(json::<Accepted>(&accepted), revision);
    if is_added && !accepted.cells.is_empty() {
        *response.status_mut() = StatusCode::CREATED;
    }
    Ok(response)
}

fn change(ctx: &Context<'_>, who: String, edits: Vec<RowEdit>) -> Result<Change, Refusal> {
    let id = change_id(ctx.req().headers(), &who)?;
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_unix_ms = since_1970.map_or(0, |time| time.as_millis());
    let mut change = Change::new(id, who, u64::try_from(at_unix_ms).unwrap_or(u64::MAX));
    change.edits = edits;
    Ok(change)
}

/// Takes the client's name for the change, so that asking again finds the first
/// one; the operator's name keeps those of two operators apart.
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

/// Lets only operators pass, and returns who it is.
fn admit(ctx: &Context<'_>) -> Result<String, Refusal> {
    match shared(ctx).keys.role(ctx.req().headers()) {
        Role::Operator(name) => Ok(name.to_string()),
        Role::Row(_) => Err(Refusal::Forbidden),
        Role::None => Err(Refusal::Unauthorized),
    }
}

fn only(ctx: &Context<'_>, method: &Method) -> Result<(), Refusal> {
    if ctx.req().method() == method {
        Ok(())
    } else {
        Err(Refusal::MethodNotAllowed)
    }
}

fn shared<'a>(ctx: &'a Context<'_>) -> &'a Shared {
    &ctx.state().shared
}

fn last_part<'a>(ctx: &'a Context<'_>) -> &'a str {
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

fn settle(answer: Answer) -> WebResponse {
    answer.unwrap_or_else(Refusal::into_response)
}

fn json<T: Serialize>(value: &T) -> WebResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_type(bytes, "application/json")
}

fn tagged(mut response: WebResponse, version: Revision) -> WebResponse {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn with_type(body: impl Into<Bytes>, media_type: &'static str) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes::<Bytes>(body.into()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
