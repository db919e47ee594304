//! The client interface of batch jobs: submitting, reading and ending them at
//! any host.
//!
//! A host caches only how many items a job has and whose it is. Every answer is read from the
//! store, so that all hosts give the same one (see docs/design/platform.md,
//! "Batch jobs").

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{StatusCode, request};
use tokio::time::sleep;

use crate::{
    batch::{
        job::{ItemId, ItemResult, JobId},
        layout,
    },
    clock::millis,
    ingress::{
        host::{Host, KnownJob},
        intake,
        memory::Side,
        metered::MeteredStore,
        replies::{Reply, as_json, refusal, reply},
        routes::Route,
        stored,
        wire::{Caller, ClientHead, JobCall, Wire},
    },
    observe::telemetry::{JOB_ACCEPT_TIME, JOBS_ACCEPTED, JOBS_REFUSED},
    store::rows::{NotAppliedReason, RowError, RowPage, RowRange, RowStore, RowTransaction},
};

/// How many times a commit whose repetition is safe is attempted.
const MAX_ATTEMPTS: u32 = 4;

/// The delay before a call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// The `Retry-After` of a submission while the store is unavailable; outages in
/// the deployment specification last for seconds.
const SUBMIT_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// The `Retry-After` of a read while the store is unavailable.
const READ_RETRY_AFTER: Duration = Duration::from_millis(400);

/// How often a read that waits for results polls the store: at least as often
/// as engines emit events, every 49 ms in the deployment specification.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// The upper bound of the time that a read waits for results.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// The largest total of result texts in one answer; the platform limits the
/// whole answer, with names and escapes, to 1 MB.
const MAX_RESULT_BYTES: usize = 800_000;

/// The number of jobs for which a host caches what never changes.
const MAX_CACHED_JOB_COUNT: usize = 4_096;

/// Why a change to a job cannot be reported as applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum CommitFailure {
    /// The change was not applied and never will be.
    NotApplied,
    /// The change may have been applied, or may still be.
    Unknown,
}

/// Accepts a batch job. An accepted job is in the store, so that it survives
/// any failure of hosts.
pub async fn submit<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    parts: &request::Parts,
    body: impl AsRef<[u8]>,
    route: &Route,
    caller: &Caller,
    head: &ClientHead,
) -> Reply {
    let Some(id) = head.attempt_id.clone() else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let mut job = match W::job(&id, parts, body.as_ref(), route, caller) {
        Ok(job) => job,
        Err(error) => {
            tracing::info!(event = "job.malformed", job = &*id, %error);
            return reply(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    // Its rows are encoded in the place of the raw body.
    drop(body);
    let Some(store_time) = host.store_time() else {
        return refusal(SUBMIT_RETRY_AFTER);
    };
    job.head.accepted_at = store_time;
    let transactions = match layout::acceptance(&job) {
        Ok(transactions) => transactions,
        Err(error) => {
            tracing::error!(event = "job.not_encoded", job = &*id, %error);
            return refusal(SUBMIT_RETRY_AFTER);
        }
    };
    let started_at = host.now();
    let mut outcome = Ok(false);
    for transaction in &transactions {
        outcome = commit_once(host, transaction).await;
        if outcome.is_err() {
            break;
        }
    }
    let took = host.now().saturating_sub(started_at);
    let took_ms = millis(took);
    if matches!(outcome, Ok(true))
        && let Some(denied) = deny_existing(host, &id, caller).await
    {
        return denied;
    }
    match outcome {
        Ok(existed) => {
            host.metrics.count(JOBS_ACCEPTED, 1);
            host.metrics.time(JOB_ACCEPT_TIME, took);
            let known = KnownJob {
                item_count: job.head.item_count,
                account: job.head.account.clone(),
            };
            remember_job(host, &id, known);
            tracing::info!(
                event = "job.accepted",
                job = &*id,
                route = &*job.head.route,
                model = &*job.head.model,
                step = job.head.step,
                min_version = job.head.min_version,
                account = job.head.account.as_deref(),
                item_count = job.head.item_count,
                existed,
                took_ms,
            );
            reply(StatusCode::ACCEPTED, Bytes::new())
        }
        Err(failure) => {
            host.metrics.count(JOBS_REFUSED, 1);
            tracing::warn!(event = "job.refused", job = &*id, %failure, took_ms);
            match failure {
                CommitFailure::NotApplied => refusal(SUBMIT_RETRY_AFTER),
                CommitFailure::Unknown => reply(StatusCode::BAD_GATEWAY, Bytes::new()),
            }
        }
    }
}

/// Returns the reply to a submission of a job that exists, if it belongs to another account.
async fn deny_existing<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    job: &JobId,
    caller: &Caller,
) -> Option<Reply> {
    if *caller == Caller::Unknown {
        return None;
    }
    match known_job(host, job).await {
        Ok(Some(known)) if known.account.as_ref() == caller.account() => None,
        Ok(_) => {
            tracing::info!(
                event = "job.denied",
                call = "submit",
                job = &**job,
                account = caller.account().map(|id| &**id)
            );
            Some(reply(StatusCode::CONFLICT, Bytes::new()))
        }
        Err(error) => {
            tracing::warn!(event = "job.unsure", call = "submit", job = &**job, %error);
            Some(reply(StatusCode::BAD_GATEWAY, Bytes::new()))
        }
    }
}

/// Commits a transaction whose conditions can hold only once, and returns
/// whether it had been applied before.
async fn commit_once<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    transaction: &RowTransaction,
) -> Result<bool, CommitFailure> {
    let mut failure = CommitFailure::NotApplied;
    for attempt_index in 0..MAX_ATTEMPTS {
        if attempt_index > 0 {
            sleep(RETRY_DELAY).await;
        }
        match host.store.commit(transaction).await {
            Ok(applied) => {
                host.observe_store_time(applied.store_time);
                return Ok(false);
            }
            Err(RowError::Conflict { .. }) => return Ok(true),
            Err(RowError::NotApplied { reason }) => {
                tracing::debug!(event = "store.refused", %reason);
            }
            // A retry determines the outcome, since the conditions hold only
            // once.
            Err(_) => failure = CommitFailure::Unknown,
        }
    }
    Err(failure)
}

/// Answers a call to the batch job interface.
pub async fn handle_call<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: JobCall,
    caller: &Caller,
    head: &ClientHead,
) -> Reply {
    let wait = head.wait.unwrap_or_default().min(MAX_WAIT);
    if let Some(job) = call.job()
        && let Some(denied) = deny_call(host, job, caller).await
    {
        return denied;
    }
    let (name, job, result) = match &call {
        JobCall::Malformed => return reply(StatusCode::BAD_REQUEST, Bytes::new()),
        JobCall::Results { job, from } => ("read", job, read_results(host, job, *from, wait).await),
        JobCall::Body { job, item } => ("body", job, read_body(host, job, item).await),
        JobCall::End { job } => ("end", job, end_job(host, job).await),
    };
    match result {
        Ok(reply) => {
            if name == "end" || !reply.status().is_success() {
                tracing::info!(
                    event = "job.call",
                    call = name,
                    job = &**job,
                    status = reply.status().as_u16(),
                );
            }
            reply
        }
        Err(error) => {
            tracing::warn!(event = "job.unsure", call = name, job = &**job, %error);
            refusal(READ_RETRY_AFTER)
        }
    }
}

/// Returns the reply to a call to a job that `caller` may not see.
async fn deny_call<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    job: &JobId,
    caller: &Caller,
) -> Option<Reply> {
    if *caller == Caller::Unknown {
        return None;
    }
    let status = match known_job(host, job).await {
        Ok(Some(known)) if caller.may_see(known.account.as_ref()) => return None,
        Ok(_) if caller.account().is_none() => StatusCode::UNAUTHORIZED,
        // Other accounts do not learn that the job exists.
        Ok(_) => StatusCode::NOT_FOUND,
        Err(error) => {
            tracing::warn!(event = "job.unsure", call = "account", job = &**job, %error);
            return Some(refusal(READ_RETRY_AFTER));
        }
    };
    tracing::info!(
        event = "job.denied",
        job = &**job,
        account = caller.account().map(|id| &**id),
        status = status.as_u16(),
    );
    Some(reply(status, Bytes::new()))
}

/// Reads rows, with one retry if the store gives no answer.
async fn read_rows<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    range: &RowRange,
) -> Result<RowPage, RowError> {
    let room = intake::room_for_read(&host.memory, range.limit_count).await;
    let _room = room.map_err(|_| RowError::NotApplied {
        reason: NotAppliedReason::Unavailable,
    })?;
    retry_once(async || host.store.read(range).await).await
}

/// Reads, once more if the store gives no answer.
async fn retry_once<T>(read: impl AsyncFn() -> Result<T, RowError>) -> Result<T, RowError> {
    match read().await {
        Ok(found) => Ok(found),
        Err(_) => {
            sleep(RETRY_DELAY).await;
            read().await
        }
    }
}

fn remember_job<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, job: &JobId, known: KnownJob) {
    let jobs = &mut host.view.borrow_mut().jobs;
    if jobs.len() >= MAX_CACHED_JOB_COUNT {
        jobs.clear();
    }
    jobs.insert(job.clone(), known);
}

/// Returns what never changes of the job, or `None` if it does not exist.
async fn known_job<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    job: &JobId,
) -> Result<Option<KnownJob>, RowError> {
    if let Some(known) = host.view.borrow().jobs.get(job) {
        return Ok(Some(known.clone()));
    }
    let range = RowRange {
        table: layout::JOBS,
        partition: job.to_string(),
        from: layout::HEAD_KEY.to_owned(),
        to: format!("{}.", layout::HEAD_KEY),
        limit_count: 1,
    };
    let page = read_rows(host, &range).await?;
    let Some(row) = page.rows.first() else {
        return Ok(None);
    };
    let head = layout::decode_head(&row.value).map_err(stored::unreadable)?;
    let known = KnownJob {
        item_count: head.item_count,
        account: head.account,
    };
    remember_job(host, job, known.clone());
    Ok(Some(known))
}

async fn read_results<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    job: &JobId,
    from: usize,
    wait: Duration,
) -> Result<Reply, RowError> {
    let Some(KnownJob {
        item_count: total, ..
    }) = known_job(host, job).await?
    else {
        return Ok(reply(StatusCode::NOT_FOUND, Bytes::new()));
    };
    let wait_until = host.now() + wait;
    let range = layout::result_range(job, from);
    loop {
        let page = if from < total {
            read_rows(host, &range).await?
        } else {
            RowPage::default()
        };
        let mut results = layout::decode_results(&page.rows, from).map_err(stored::unreadable)?;
        results.truncate(fitting_count(&results));
        let is_due = host.now() + WAIT_POLL_INTERVAL > wait_until;
        if !results.is_empty() || is_due || from >= total || host.is_stopping() {
            let body = W::results(total, from + results.len(), &results);
            return Ok(as_json(reply(StatusCode::OK, body)));
        }
        sleep(WAIT_POLL_INTERVAL).await;
    }
}

/// Returns how many of `results` fit into one answer, at least one.
fn fitting_count(results: &[ItemResult]) -> usize {
    let mut size_bytes = 0;
    let fitting = results.iter().take_while(|result| {
        size_bytes += result.text.len();
        size_bytes <= MAX_RESULT_BYTES
    });
    fitting.count().max(1)
}

async fn read_body<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    job: &JobId,
    item: &ItemId,
) -> Result<Reply, RowError> {
    let store = MeteredStore::new(host.store.clone(), host.memory.clone(), Side::Client);
    let range = layout::item_range(job, item);
    let rows = retry_once(async || stored::read_all(&store, range.clone()).await).await?;
    let items = layout::decode_items(&rows).map_err(stored::unreadable)?;
    drop(rows);
    let found = items.into_iter().find(|found| found.id == *item);
    // Items are written before the job's head, so that they may exist without
    // it.
    if found.is_none() || known_job(host, job).await?.is_none() {
        return Ok(reply(StatusCode::NOT_FOUND, Bytes::new()));
    }
    let body = found.map(|found| found.body).unwrap_or_default();
    Ok(reply(StatusCode::OK, body))
}

async fn end_job<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    job: &JobId,
) -> Result<Reply, RowError> {
    if known_job(host, job).await?.is_none() {
        return Ok(reply(StatusCode::NOT_FOUND, Bytes::new()));
    }
    match commit_once(host, &layout::ending(job)).await {
        Ok(_) => Ok(reply(StatusCode::OK, Bytes::new())),
        Err(CommitFailure::NotApplied) => Ok(refusal(READ_RETRY_AFTER)),
        Err(CommitFailure::Unknown) => Ok(reply(StatusCode::BAD_GATEWAY, Bytes::new())),
    }
}
