//! One reward call to an upstream (see docs/design/rewards.md).

use std::{rc::Rc, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, header, response};
use http_body_util::{BodyExt as _, Limited};
use tokio::time::timeout;

use crate::{
    batch::{job::RewardRequest, reward::RewardEnd},
    connection::{EXPIRED, SendFailure},
    ids::AccountId,
    ingress::{
        calls::{self, OpenCall},
        directory::Upstream,
        host::Host,
        permits::Permit,
        wire::{Addressee, AnswerHead, FULL, Wire},
    },
    store::rows::RowStore,
};

/// The largest answer body that is read. Only the answer's signature is used.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// How and why a reward call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RewardOutcome {
    /// How the call ended.
    pub end: RewardEnd,
    /// The reason, for the log.
    pub reason: &'static str,
    /// How long the upstream asked to be left alone; zero if it did not.
    pub retry_after: Duration,
}

const fn outcome(end: RewardEnd, reason: &'static str) -> RewardOutcome {
    RewardOutcome {
        end,
        reason,
        retry_after: Duration::ZERO,
    }
}

/// The inputs of a reward call.
#[derive(Clone, Debug)]
pub struct RewardCall {
    /// The request.
    pub request: Arc<RewardRequest>,
    /// The account of the job, if it has one.
    pub account: Option<AccountId>,
    /// The upstream to which it is sent.
    pub upstream: Arc<Upstream>,
    /// The permission to send it.
    pub permit: Permit,
    /// How long the upstream may work on it.
    pub deadline: Duration,
    /// The time without an answer after which the call ends, so that another
    /// upstream gets it.
    pub stall_timeout: Duration,
}

/// Sends the call and returns how it ended.
///
/// Dropping the future closes the connection, which makes the upstream stop.
pub async fn call<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, call: &RewardCall) -> RewardOutcome {
    let mut open = OpenCall::start(host, &call.upstream.id);
    let limit = call.stall_timeout.min(call.deadline);
    let result = timeout(limit, exchange(host, call))
        .await
        .unwrap_or_else(|_| outcome(RewardEnd::Unknown, "silent"));
    let was_full = result.reason == FULL;
    open.failed = match &result.end {
        RewardEnd::Scored(_) => Some(false),
        // An error of the upstream concerns this call, not the next one.
        RewardEnd::Error => None,
        RewardEnd::NotRun if matches!(result.reason, FULL | EXPIRED) => None,
        RewardEnd::NotRun | RewardEnd::Unknown => Some(true),
    };
    let directory = &mut host.view.borrow_mut().directory;
    if was_full {
        directory.record_reward_refusal(&call.upstream.id, result.retry_after, host.now());
    } else if matches!(result.end, RewardEnd::Scored(_)) {
        directory.record_reward_answer(&call.upstream.id);
    }
    result
}

async fn exchange<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, call: &RewardCall) -> RewardOutcome {
    let to = Addressee {
        id: &call.upstream.id,
        address: call.upstream.address,
    };
    let request = W::reward_request(&call.request, call.account.as_ref(), to, call.deadline);
    let is_allowed = || call.permit.is_valid(host.now());
    let answer = match calls::send_while(host, &call.upstream, request, is_allowed).await {
        Ok(answer) => answer,
        Err(SendFailure::NotRun(reason)) => return outcome(RewardEnd::NotRun, reason),
        Err(SendFailure::Unknown(reason)) => return outcome(RewardEnd::Unknown, reason),
    };
    let result = judge_answer(&call.request, &answer.parts, answer.head);
    match Limited::new(answer.body, MAX_ANSWER_BYTES).collect().await {
        Ok(_) => {
            answer.connection.release();
            result
        }
        Err(_) => outcome(RewardEnd::Unknown, "answer-torn"),
    }
}

/// Returns the time in the `Retry-After` header, in seconds and fractions of them.
fn retry_after(headers: &HeaderMap) -> Duration {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .unwrap_or_default()
}

/// Returns what the head of an answer says of the call.
///
/// The answer must name the call: a late answer to another one would give the
/// item a score that is not its own.
pub fn judge_answer(
    request: &RewardRequest,
    parts: &response::Parts,
    head: AnswerHead,
) -> RewardOutcome {
    if let Some(reason) = head.not_run_reason() {
        return RewardOutcome {
            retry_after: retry_after(&parts.headers),
            ..outcome(RewardEnd::NotRun, reason)
        };
    }
    if head.attempt_id.as_deref() != Some(&*request.id) {
        return outcome(RewardEnd::Unknown, "answer-mismatched");
    }
    if parts.headers.contains_key(header::CONTENT_ENCODING) {
        return outcome(RewardEnd::Unknown, "answer-encoded");
    }
    match (parts.status, head.signature) {
        (status, Some(score)) if status.is_success() => {
            outcome(RewardEnd::Scored(score), "answered")
        }
        (status, None) if status.is_success() => outcome(RewardEnd::Unknown, "answer-unsigned"),
        (StatusCode::INTERNAL_SERVER_ERROR, _) => outcome(RewardEnd::Error, "upstream-failed"),
        _ => outcome(RewardEnd::Unknown, "refused"),
    }
}
