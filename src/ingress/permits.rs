//! Asks the coordinator for permits to send requests to upstreams that name a limit,
//! and answers other hosts that ask (see docs/design/server-limits.md).

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::task::spawn_local;

use crate::{
    batch::layout,
    clock::Timestamp,
    ingress::{
        directory::Upstream,
        host::Host,
        limits::{
            Permission,
            ledger::{Ask, Grant, Statement},
        },
        peers,
        wire::Wire,
    },
    observe::telemetry::{PERMITS_DENIED, PERMITS_GRANTED},
    store::rows::RowStore,
};

/// The path at which the coordinator answers other hosts.
pub const PERMIT_PATH: &str = "/permits";

/// How long after it was asked for a permit may be used. A host that was paused since
/// then asks again.
const PERMIT_TTL: Duration = Duration::from_millis(250);

/// The permission to send one request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// When it ends; `None` if the upstream names no limit.
    expires_at: Option<Timestamp>,
}

impl Permit {
    const FREE: Self = Self { expires_at: None };

    fn asked_at(asked_at: Timestamp) -> Self {
        Self {
            expires_at: Some(asked_at + PERMIT_TTL),
        }
    }

    /// Returns whether the request may still be sent.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// Why a request may not be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// The reason, for the log.
    pub reason: &'static str,
    /// When a permit may be there.
    pub until: Timestamp,
}

/// Takes a permit to send one request to `upstream`, if it names a limit.
///
/// # Errors
///
/// Fails where no permit is left.
pub async fn acquire<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
) -> Result<Permit, Denied> {
    let asked_at = host.now();
    let name = &host.settings.host;
    let permission = match host.is_issuing.get() {
        true => return take_as_issuer(host, upstream, 1),
        false => host
            .view
            .borrow()
            .limits
            .permission(name, upstream, asked_at),
    };
    let grant = match permission {
        Permission::Free => return Ok(Permit::FREE),
        Permission::Closed(until) => {
            return Err(Denied {
                reason: "limit-closed",
                until,
            });
        }
        Permission::Ask(ask) => peers::tell_coordinator(host, PERMIT_PATH, &ask).await,
        Permission::OwnPart => None,
    };
    let now = host.now();
    let limits = &mut host.view.borrow_mut().limits;
    let (is_allowed, permit, reason) = match grant {
        Some(grant) => {
            let permit = Permit::asked_at(asked_at);
            let is_granted = limits.record_grant(upstream, grant, now);
            (is_granted && permit.is_valid(now), permit, "limit-reached")
        }
        None => {
            limits.record_silence(now);
            let first_count = rand::random::<f64>();
            let is_allowed = limits.take_own(upstream, first_count, now);
            (is_allowed, Permit::asked_at(now), "limit-own-part-used")
        }
    };
    if is_allowed {
        return Ok(permit);
    }
    Err(Denied {
        reason,
        until: limits.closed_until(upstream).unwrap_or(now),
    })
}

/// Takes `permit_count` permits on the host that issues them.
///
/// # Errors
///
/// Fails where fewer are left.
pub fn take_as_issuer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    permit_count: u32,
) -> Result<Permit, Denied> {
    let now = host.now();
    let ask = host
        .view
        .borrow()
        .limits
        .ask(&host.settings.host, upstream, permit_count, now);
    let grant = host.permits.borrow_mut().answer(&ask, now);
    if grant.is_granted {
        return Ok(match grant.rate_per_s {
            Some(_) => Permit::asked_at(now),
            None => Permit::FREE,
        });
    }
    Err(Denied {
        reason: "limit-reached",
        until: now + grant.retry_after,
    })
}

/// Begins to issue permits for the limits that this host knows.
pub fn start_issuing<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>) {
    let now = host.now();
    let view = host.view.borrow();
    let mut permits = host.permits.borrow_mut();
    permits.clear();
    for upstream in view.directory.upstreams() {
        if view.limits.get(upstream).is_some() {
            let ask = view.limits.ask(&host.settings.host, upstream, 0, now);
            permits.answer(&ask, now);
        }
    }
    host.is_issuing.set(!host.is_stopping());
}

/// Returns whether this host issues permits by the limit of an earlier start of `upstream`, of
/// which it may have heard from other hosts only.
pub fn issues_by_earlier_start<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
) -> bool {
    let permits = host.permits.borrow();
    host.is_issuing.get() && permits.has_earlier_limit(&upstream.id, upstream.started_at_ms)
}

/// Tells the coordinator that `upstream` now names the limit `rate_per_s`, or none.
pub fn report<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
    rate_per_s: Option<f64>,
) {
    let now = host.now();
    let limits = &host.view.borrow().limits;
    let statement = Statement {
        rate_per_s,
        age: Duration::ZERO,
    };
    let ask = Ask {
        statement: Some(statement),
        ..limits.ask(&host.settings.host, upstream, 0, now)
    };
    if host.is_issuing.get() {
        host.permits.borrow_mut().answer(&ask, now);
        return;
    }
    let host = host.clone();
    spawn_local(async move {
        // Where the report is lost, the next ask repeats it.
        let _: Option<Grant> = peers::tell_coordinator(&host, PERMIT_PATH, &ask).await;
    });
}

/// Answers another host, as the coordinator.
///
/// # Errors
///
/// Fails where the message cannot be decoded.
pub fn answer_peer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    body: &[u8],
) -> Result<Bytes, layout::LayoutError> {
    let ask: Ask = layout::decode(PERMIT_PATH, body)?;
    let grant = host.permits.borrow_mut().answer(&ask, host.now());
    let metric = match grant.is_granted {
        true => PERMITS_GRANTED,
        false => PERMITS_DENIED,
    };
    host.metrics.count(metric, u64::from(ask.permit_count));
    layout::encode(&grant)
}
