//! The log lines of a call's attempts.

use std::rc::Rc;

use http::StatusCode;

use super::Call;
use crate::{
    clock::millis,
    ingress::{directory::Upstream, host::Host, permits::Denied, wire::Wire},
    store::rows::RowStore,
};

/// Logs how an attempt of a call ended.
pub(super) fn attempt<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    upstream: &Upstream,
    outcome: &str,
    status: StatusCode,
    attempt_count: usize,
) {
    let limit = host.view.borrow().limits.get(upstream).copied();
    let now = host.now();
    tracing::info!(
        event = "call.attempt",
        id = call.id(),
        route = &*call.route.name,
        fingerprint = format_args!("{:016x}", call.fingerprint),
        upstream = &*upstream.id,
        software_version = &*upstream.software_version,
        resumed_attempt = call.head.resumed_attempt.as_deref(),
        last_event = call.head.last_event,
        limit_per_s = limit.map(|limit| limit.rate_per_s),
        limit_age_ms = limit.map(|limit| millis(now.saturating_sub(limit.stated_at))),
        outcome,
        status = status.as_u16(),
        attempt_count,
        held_ms = millis(host.now().saturating_sub(call.arrived_at)),
    );
}

/// Logs that an upstream may not get a call, since no permit is left.
pub(super) fn denied<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    call: &Call,
    upstream: &Upstream,
    denied: Denied,
) {
    let now = host.now();
    let limit = host.view.borrow().limits.get(upstream).copied();
    tracing::info!(
        event = "call.limited",
        id = call.id(),
        route = &*call.route.name,
        upstream = &*upstream.id,
        reason = denied.reason,
        limit_per_s = limit.map(|limit| limit.rate_per_s),
        wait_ms = millis(denied.until.saturating_sub(now)),
        held_ms = millis(now.saturating_sub(call.arrived_at)),
    );
}
