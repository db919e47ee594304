//! Encodes and decodes the messages between clients, this host and upstreams.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header, request, response};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    batch::job::{
        EventNumber, Item, ItemId, ItemResult, ItemState, Job, JobHead, JobId, PromptPart,
        RewardRequest,
    },
    call::terms,
    clock::millis,
    connection::UpstreamRequest,
    ids::AccountId,
    ingress::{
        accounts::{Account, Accounts},
        configuration_check::Format as _,
        directory::Upstream,
        routes::{ClientLimits, Configuration, Route, Scaling, Service},
        wire::{
            Addressee, AnswerHead, Caller, ClientHead, DecodeError, DutyAnswer, DutyHolder,
            EngineReport, JobCall, LoadOrder, OperatorChange, OrderAnswer, PresentedKey,
            ScaleOrder, StatedLimit, UsageReport, Wire,
        },
    },
    platform::{
        documents::{
            ConfigurationDocument, JobDocument, ModelDocument, OrderDocument, ReportDocument,
            ResultDocument, ResultsDocument, RouteDocument, ScaleDocument, ScalingDocument,
            ScorerDocument, ServiceDocument, TenantDocument, UpstreamDocument, UsageDocument,
            VersionDocument,
        },
        events::PlatformEvents,
        names, prompts,
    },
    store::rows::StoredRow,
};

/// The default of the timeout and the result deadline of a route.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The default of the latency objective of a route.
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_secs(1);
/// The default of the TTL of a route's items.
const DEFAULT_ITEM_TTL: Duration = Duration::from_secs(60);
/// The maximum length of an id, which is that of a partition name in the store.
const MAX_ID_BYTES: usize = 200;

/// What one string of a job needs beside its characters: an item has ten strings at least,
/// whose fields take 800 bytes before and after they are decoded.
const STRING_BYTES: usize = 96;

/// The headers by which requests name accounts, which clients do not set for upstreams.
const ACCOUNT_HEADERS: [&str; 2] = [names::API_KEY, names::TENANT];

/// The platform's message formats.
#[derive(Debug)]
pub struct PlatformWire;

impl Wire for PlatformWire {
    const OPERATOR_TABLE: &'static str = names::OPERATOR_TABLE;
    const VERSION_KEYS: (&'static str, &'static str) = (names::VERSION_PREFIX, names::VERSION_END);
    const CONFIGURATION_KEY: &'static str = names::CONFIGURATION_KEY;
    const UPSTREAM_TABLE: &'static str = names::UPSTREAM_TABLE;
    const READY_PATH: &'static str = names::READY_PATH;
    type Events = PlatformEvents;

    fn client_head(parts: &request::Parts) -> ClientHead {
        let headers = &parts.headers;
        ClientHead {
            attempt_id: header_text(headers, names::ATTEMPT_ID).map(Into::into),
            client_timeout: header_number(headers, names::DEADLINE_MS).map(Duration::from_millis),
            wait: header_number(headers, names::WAIT_MS).map(Duration::from_millis),
            last_event: header_number(headers, names::LAST_EVENT_ID),
            resumed_attempt: header_text(headers, names::RESUMES).map(Into::into),
        }
    }

    fn presented_key(headers: &HeaderMap) -> PresentedKey<'_> {
        let mut keys = headers.get_all(names::API_KEY).iter();
        match (keys.next(), keys.next()) {
            (None, _) => PresentedKey::Missing,
            (Some(key), None) => PresentedKey::One(key.as_bytes()),
            (Some(_), Some(_)) => PresentedKey::Several,
        }
    }

    fn job_call(parts: &request::Parts) -> Option<JobCall> {
        let path = parts.uri.path();
        let query = parts.uri.query().unwrap_or("");
        if let Some(job) = path.strip_prefix(names::JOBS_PATH) {
            let Some(job) = parse_id(job) else {
                return Some(JobCall::Malformed);
            };
            return Some(match parts.method {
                Method::GET => match query_value(query, "after").map_or(Ok(0), str::parse) {
                    Ok(from) => JobCall::Results { job, from },
                    Err(_) => JobCall::Malformed,
                },
                Method::DELETE => JobCall::End { job },
                _ => JobCall::Malformed,
            });
        }
        let job = parse_id(path.strip_prefix(names::ITEMS_PATH)?);
        let item = query_value(query, "id").and_then(parse_id);
        Some(match (job, item) {
            (Some(job), Some(item)) if parts.method == Method::GET => JobCall::Body { job, item },
            _ => JobCall::Malformed,
        })
    }

    fn job(
        id: &JobId,
        parts: &request::Parts,
        body: &[u8],
        route: &Route,
        caller: &Caller,
    ) -> Result<Job, DecodeError> {
        let document: JobDocument = parse_json(body)?;
        let service = route
            .service(0.0)
            .ok_or(DecodeError::Field { field: "service" })?;
        let mut items = Vec::with_capacity(document.items.len());
        for item in document.items {
            let body = item
                .body
                .decoded
                .ok_or(DecodeError::Field { field: "body" })?;
            let header = |name: &str| {
                item.headers
                    .iter()
                    .find(|(key, _)| key.eq_ignore_ascii_case(name))
                    .map(|(_, value)| value.as_str())
            };
            let usage = header(names::TOKEN_USAGE).and_then(|value| value.split_once(','));
            let (prompt_tokens, max_tokens) = match usage {
                Some((prompt, max)) => (
                    prompt.trim().parse().unwrap_or(0),
                    max.trim().parse().unwrap_or(item.tokens),
                ),
                None => (0, item.tokens),
            };
            let hint: Option<u64> =
                header(names::LENGTH_HINT).and_then(|value| value.trim().parse().ok());
            items.push(Item {
                id: item.id.into(),
                group: item.group.into(),
                path: item.path,
                headers: item_headers(item.headers, caller),
                body: body.into(),
                prompt_tokens,
                length_hint_tokens: hint.unwrap_or(max_tokens).min(max_tokens),
                reward: item.scorer.map(decode_reward).transpose()?.map(Arc::new),
            });
        }
        let authority = parts
            .headers
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
            .unwrap_or(&route.authority);
        Ok(Job {
            id: id.clone(),
            head: JobHead {
                service: service.clone(),
                route: route.name.clone(),
                authority: authority.to_owned(),
                model: document.model.into(),
                step: document.step,
                min_version: document.min_version,
                single_version: route.single_version,
                max_attempts: route.max_attempts,
                item_ttl: route.item_ttl,
                due: route.result_due,
                accepted_at: Duration::ZERO,
                item_count: items.len(),
                account: caller.account().cloned(),
                priority: match caller {
                    Caller::Account(holder) => holder.priority.unwrap_or(route.priority),
                    Caller::Public => route.priority,
                    Caller::Unknown => 0,
                },
            },
            items,
        })
    }

    fn job_overhead_bytes(body: &[u8]) -> usize {
        let quote_count = body.iter().filter(|byte| **byte == b'"').count();
        let longest_escaped = match body.contains(&b'\\') {
            true => body
                .split(|byte| *byte == b'"')
                .map(<[u8]>::len)
                .max()
                .unwrap_or_default(),
            false => 0,
        };
        quote_count / 2 * STRING_BYTES + longest_escaped
    }

    fn prompt_parts(item: &Item) -> Vec<PromptPart> {
        prompts::decode_parts(item)
    }

    fn results(total_count: usize, next: usize, results: &[ItemResult]) -> Bytes {
        let document = ResultsDocument {
            total: total_count,
            next,
            results: results
                .iter()
                .map(|result| ResultDocument {
                    id: &result.id,
                    state: match result.state {
                        ItemState::Completed => "completed",
                        ItemState::Failed => "errored",
                    },
                    text: &result.text,
                    versions: result.versions.iter().copied().collect(),
                    score: result.score.as_deref(),
                })
                .collect(),
        };
        // Strings and numbers can always be encoded as JSON.
        serde_json::to_vec(&document).unwrap_or_default().into()
    }

    fn call_request(
        parts: &request::Parts,
        body: Bytes,
        caller: &Caller,
        to: Addressee<'_>,
        remaining: Duration,
    ) -> UpstreamRequest {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = base_request(parts.method.clone(), path, body);
        let headers = request.headers_mut();
        *headers = terms::end_to_end(&parts.headers);
        if *caller != Caller::Unknown {
            for name in ACCOUNT_HEADERS {
                headers.remove(name);
            }
        }
        insert_account(headers, caller.account());
        if let Some(host) = parts.headers.get(header::HOST) {
            headers.insert(header::HOST, host.clone());
        }
        headers.insert(names::DEADLINE_MS, HeaderValue::from(millis(remaining)));
        insert_header(headers, names::EXPECT_INSTANCE, to.id);
        request
    }

    fn item_request(
        authority: &str,
        account: Option<&AccountId>,
        item: &Item,
        to: Addressee<'_>,
        last_event: EventNumber,
    ) -> UpstreamRequest {
        let mut request = base_request(Method::POST, &item.path, item.body.clone());
        let headers = request.headers_mut();
        for (name, value) in &item.headers {
            insert_header(headers, name, value);
        }
        insert_account(headers, account);
        insert_header(headers, names::ATTEMPT_ID, &item.id);
        insert_header(headers, header::HOST.as_str(), authority);
        insert_header(headers, names::EXPECT_INSTANCE, to.id);
        if last_event > 0 {
            headers.insert(names::LAST_EVENT_ID, HeaderValue::from(last_event));
        }
        request
    }

    fn reward_request(
        reward: &RewardRequest,
        account: Option<&AccountId>,
        to: Addressee<'_>,
        remaining: Duration,
    ) -> UpstreamRequest {
        let mut request = base_request(Method::POST, &reward.path, reward.body.clone());
        let headers = request.headers_mut();
        insert_account(headers, account);
        insert_header(headers, names::ATTEMPT_ID, &reward.id);
        insert_header(headers, header::HOST.as_str(), &reward.authority);
        insert_header(headers, names::EXPECT_INSTANCE, to.id);
        headers.insert(names::DEADLINE_MS, HeaderValue::from(millis(remaining)));
        request
    }

    fn order_request(order: &LoadOrder, to: Addressee<'_>) -> UpstreamRequest {
        let document = OrderDocument {
            operation: "version",
            model: &order.model,
            version: order.version,
            mode: "retain",
            holder: &order.holder,
            fence: order.fence,
            expected: order.expected_order_count,
        };
        // Strings and numbers can always be encoded as JSON.
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let mut request = base_request(Method::POST, names::ORDER_PATH, body.into());
        let headers = request.headers_mut();
        insert_header(headers, header::CONTENT_TYPE.as_str(), "application/json");
        insert_header(headers, header::HOST.as_str(), &to.address.to_string());
        insert_header(headers, names::EXPECT_INSTANCE, to.id);
        request
    }

    fn report_request(to: Addressee<'_>) -> UpstreamRequest {
        let mut request = base_request(Method::GET, names::REPORT_PATH, Bytes::new());
        let headers = request.headers_mut();
        insert_header(headers, header::HOST.as_str(), &to.address.to_string());
        insert_header(headers, names::EXPECT_INSTANCE, to.id);
        request
    }

    fn usage_request(
        report: &UsageReport,
        holder: &DutyHolder,
        address: SocketAddr,
    ) -> UpstreamRequest {
        let document = UsageDocument {
            window: report.window,
            counts: report
                .counts
                .iter()
                .map(|(id, count)| (&**id, *count))
                .collect(),
        };
        duty_request(names::USAGE_PATH, &document, holder, address)
    }

    fn scale_request(
        order: &ScaleOrder,
        holder: &DutyHolder,
        address: SocketAddr,
    ) -> UpstreamRequest {
        let document = ScaleDocument {
            service: &order.service,
            zone: &order.failure_domain,
            desired_count: order.wanted_count,
            spot: order.is_spot,
        };
        duty_request(names::SCALE_PATH, &document, holder, address)
    }

    fn duty_answer(parts: &response::Parts) -> DutyAnswer {
        match parts.status.as_u16() {
            200..=299 => DutyAnswer::Done,
            409 => DutyAnswer::NoCapacity,
            429 => DutyAnswer::RateLimited,
            400..=499 => DutyAnswer::Rejected,
            _ => DutyAnswer::Unclear,
        }
    }

    fn answer_head(parts: &response::Parts) -> AnswerHead {
        let headers = &parts.headers;
        AnswerHead {
            attempt_id: header_text(headers, names::ATTEMPT_ID).map(str::to_owned),
            is_not_run: headers.contains_key(names::NOT_EXECUTED)
                || parts.status == http::StatusCode::MISDIRECTED_REQUEST,
            is_misdirected: parts.status == http::StatusCode::MISDIRECTED_REQUEST,
            is_leaving: header_text(headers, names::SERVER_LEAVING) == Some("1"),
            stated_limit: decode_limit(header_text(headers, names::SERVER_LIMIT)),
            signature: header_text(headers, names::SERVER_STAMP).map(Into::into),
            version: header_number(headers, names::WEIGHT_VERSIONS),
        }
    }

    fn order_answer(parts: &response::Parts) -> OrderAnswer {
        match parts.status.as_u16() {
            200 => OrderAnswer::Holds,
            202 => OrderAnswer::Accepted,
            400 => OrderAnswer::Rejected,
            409 => OrderAnswer::Conflict,
            412 => OrderAnswer::Fenced,
            421 => OrderAnswer::Misdirected,
            _ => OrderAnswer::Unclear,
        }
    }

    fn report(body: &[u8]) -> Result<EngineReport, DecodeError> {
        let document: ReportDocument = parse_json(body)?;
        Ok(EngineReport {
            order_count: document.sequence,
            is_busy: document.busy,
            versions: model_versions(document.models),
        })
    }

    fn operator_change(row: &StoredRow) -> Result<Option<OperatorChange>, DecodeError> {
        if row.is_removed {
            return Ok(None);
        }
        if row.key == names::CONFIGURATION_KEY {
            let document: ConfigurationDocument = parse_json(&row.value)?;
            return Ok(Some(OperatorChange::Configuration(decode_configuration(
                document,
            ))));
        }
        if row.key.starts_with(names::VERSION_PREFIX) {
            let document: VersionDocument = parse_json(&row.value)?;
            return Ok(Some(OperatorChange::Version(
                document.model.into(),
                document.version,
            )));
        }
        Ok(None)
    }

    fn upstream(row: &StoredRow) -> Result<Upstream, DecodeError> {
        let document: UpstreamDocument = parse_json(&row.value)?;
        let address: SocketAddr = document
            .address
            .parse()
            .map_err(|_| DecodeError::Field { field: "address" })?;
        let is_draining = match document.state.as_str() {
            "ready" => false,
            "draining" => true,
            _ => return Err(DecodeError::Field { field: "state" }),
        };
        Ok(Upstream {
            id: row.key.as_str().into(),
            started_at_ms: document.born,
            service: document.service.into(),
            address,
            failure_domain: document.zone.into(),
            slot_count: document.slots,
            is_draining,
            software_version: document.version.into(),
            versions: model_versions(document.models),
            is_spot: document.spot,
            leaves_in: document
                .leaves_ms
                .map(|ms| duration_or(Some(ms), Duration::ZERO)),
        })
    }
}

pub(super) fn decode_configuration(document: ConfigurationDocument) -> Configuration {
    let routes = document
        .routes
        .into_iter()
        .map(|route| Arc::new(decode_route(route)))
        .collect();
    let services = document
        .services
        .into_iter()
        .map(|service| {
            let service = decode_service(service);
            (service.name.clone(), service)
        })
        .collect();
    Configuration {
        version: document.version,
        routes,
        services,
        limits: ClientLimits {
            max_header_bytes: document.limits.max_header_bytes,
            max_body_bytes: document.limits.max_body_bytes,
            header_timeout: Duration::from_millis(document.limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(document.limits.idle_timeout_ms),
        },
        accounts: document
            .tenants
            .map(|tenants| Accounts::new(tenants.into_iter().map(decode_account))),
    }
}

pub(super) fn decode_account(document: TenantDocument) -> Account {
    Account {
        id: document.name.into(),
        priority: document.priority,
        keys: document.api_keys,
    }
}

pub(super) fn decode_service(document: ServiceDocument) -> Service {
    let engine = document.engine.as_ref();
    Service {
        name: document.name.into(),
        engine_slot_count: engine.map(|engine| engine.slots),
        tokens_per_event: engine.map_or(1, |engine| engine.stride.max(1)),
        engine_memory_tokens: engine.map_or(0, |engine| engine.kv_capacity_tokens),
        scaling: document.scaling.map(decode_scaling),
    }
}

fn decode_scaling(document: ScalingDocument) -> Scaling {
    Scaling {
        min_count: document.min,
        max_count: document.max,
        boot_time: duration_or(Some(document.boot_s * 1_000.0), Duration::ZERO),
        spot_price_ratio: document.spot_price.unwrap_or(1.0),
        domain_prices: document
            .zone_prices
            .into_iter()
            .map(|(zone, price)| (zone.into(), price))
            .collect(),
    }
}

/// Returns the headers of a submitted item. A client names no account for its items.
fn item_headers(headers: BTreeMap<String, String>, caller: &Caller) -> Vec<(String, String)> {
    let is_kept = |name: &str| {
        *caller == Caller::Unknown
            || !ACCOUNT_HEADERS
                .iter()
                .any(|header| name.eq_ignore_ascii_case(header))
    };
    headers
        .into_iter()
        .filter(|(name, _)| is_kept(name))
        .collect()
}

fn insert_account(headers: &mut HeaderMap, account: Option<&AccountId>) {
    if let Some(account) = account {
        insert_header(headers, names::TENANT, account);
    }
}

/// Builds a call to the platform that one host makes for all.
fn duty_request(
    path: &str,
    document: &impl Serialize,
    holder: &DutyHolder,
    address: SocketAddr,
) -> UpstreamRequest {
    // Strings and numbers can always be encoded as JSON.
    let body = serde_json::to_vec(document).unwrap_or_default();
    let mut request = base_request(Method::POST, path, body.into());
    let headers = request.headers_mut();
    insert_header(headers, header::CONTENT_TYPE.as_str(), "application/json");
    insert_header(headers, header::HOST.as_str(), &address.to_string());
    insert_header(headers, names::DUTY_HOLDER, &holder.host);
    headers.insert(names::FENCE_TOKEN, HeaderValue::from(holder.fence));
    request
}

fn decode_reward(document: ScorerDocument) -> Result<RewardRequest, DecodeError> {
    let body = document.body.decoded.ok_or(DecodeError::Field {
        field: "scorer.body",
    })?;
    let is_sendable = |text: &str| HeaderValue::from_str(text).is_ok() && !text.is_empty();
    for (field, is_valid) in [
        ("scorer.id", is_sendable(&document.id)),
        ("scorer.host", is_sendable(&document.host)),
        (
            "scorer.path",
            document.path.starts_with('/') && document.path.parse::<Uri>().is_ok(),
        ),
    ] {
        if !is_valid {
            return Err(DecodeError::Field { field });
        }
    }
    Ok(RewardRequest {
        id: document.id.into(),
        authority: document.host,
        path: document.path,
        body: body.into(),
    })
}

fn decode_route(document: RouteDocument) -> Route {
    let splits = match document.service {
        Some(service) => vec![(service.into(), 1.0)],
        None => document
            .traffic_split
            .into_iter()
            .map(|split| (split.service.into(), split.weight))
            .collect(),
    };
    Route {
        name: document.name.into(),
        authority: document.host,
        path_prefix: document.path_prefix,
        kind: document.kind,
        timeout: duration_or(document.timeout_ms, DEFAULT_TIMEOUT),
        target_latency: duration_or(document.target_latency_ms, DEFAULT_TARGET_LATENCY),
        priority: document.priority,
        splits,
        max_attempts: document.max_attempts.unwrap_or(1).max(1),
        item_ttl: duration_or(document.item_ttl_s.map(|s| s * 1_000.0), DEFAULT_ITEM_TTL),
        result_due: duration_or(document.result_due_ms, DEFAULT_TIMEOUT),
        single_version: document.single_version,
        is_resumable: document.resumable,
        is_public: document.public,
    }
}

fn duration_or(value_ms: Option<f64>, default: Duration) -> Duration {
    // Fails for negative times, and for those beyond the range of durations.
    value_ms
        .and_then(|ms| Duration::try_from_secs_f64(ms / 1_000.0).ok())
        .unwrap_or(default)
}

fn model_versions(models: Vec<ModelDocument>) -> BTreeMap<Arc<str>, u64> {
    models
        .into_iter()
        .map(|model| (model.name.into(), model.version))
        .collect()
}

fn base_request(method: Method, path: &str, body: Bytes) -> UpstreamRequest {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    request
}

fn insert_header(headers: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (
        HeaderName::from_bytes(name.as_bytes()),
        HeaderValue::from_str(value),
    ) {
        headers.insert(name, value);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Decodes the requests per second that an upstream takes from all hosts together.
fn decode_limit(text: Option<&str>) -> StatedLimit {
    let Some(text) = text else {
        return StatedLimit::None;
    };
    match text.trim().parse::<f64>() {
        Ok(rate_per_s) if rate_per_s.is_finite() && rate_per_s >= 0.0 => {
            StatedLimit::PerSecond(rate_per_s)
        }
        _ => StatedLimit::Unreadable,
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns `text` as an id if it can be part of a row's name without escaping.
fn parse_id(text: &str) -> Option<ItemId> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let is_id = !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(is_plain);
    is_id.then(|| text.into())
}

pub(super) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut parser = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut parser).map_err(|error| {
        let path = error.path().to_string();
        let is_secret = path.starts_with(PlatformWire::SPELLING.accounts);
        DecodeError::format(path, error.into_inner(), is_secret)
    })
}
