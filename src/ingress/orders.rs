//! Sends orders to engines under the coordinator's lease.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use tokio::time::{sleep, timeout};

use crate::{
    batch::{scheduler::OrderState, weights::Load},
    connection::SendFailure,
    ids::{FenceNumber, UpstreamId},
    ingress::{
        calls,
        directory::Upstream,
        host::Host,
        wire::{Addressee, EngineReport, LoadOrder, OrderAnswer, Wire},
    },
    store::rows::RowStore,
};

/// The timeout of an order, of the rest of its answer and of a report request.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// How old the content of a report may be when it arrives; the platform's
/// documentation states some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(350);

/// The largest report that is accepted.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// How many orders each engine has accepted, by its id and start time.
pub type OrderCounts = BTreeMap<(UpstreamId, u64), u64>;

/// Provides the fencing number for orders, and is queried again right before each
/// send, once the connection is open.
pub trait FenceSource {
    /// Returns the fencing number for an order that is sent now, or `None` if
    /// no order may be sent.
    fn fence(&self) -> Option<FenceNumber>;
}

/// Sends the order to load `load` and returns the resulting state, or `None` if
/// it is unknown.
///
/// The order states how many orders the engine must have accepted before, so
/// that an order that arrives late, after another one, is rejected.
pub async fn order_load<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fence_source: &impl FenceSource,
    upstream: &Upstream,
    load: &Load,
    counts: &std::cell::RefCell<OrderCounts>,
) -> Option<OrderState> {
    let key = (upstream.id.clone(), upstream.started_at_ms);
    let known_count = counts.borrow().get(&key).copied();
    let order_count = match known_count {
        Some(count) => count,
        None => {
            let report = fetch_report(host, upstream).await?;
            if report.versions.get(&load.model) == Some(&load.version) {
                counts.borrow_mut().insert(key, report.order_count);
                return Some(OrderState::Holds);
            }
            if report.is_busy {
                return None;
            }
            report.order_count
        }
    };
    counts.borrow_mut().remove(&key);
    let answer = send_order(host, fence_source, upstream, load, order_count).await;
    tracing::info!(
        event = "order.sent",
        upstream = &*upstream.id,
        model = &*load.model,
        version = load.version,
        order_count,
        answer = answer.map(|answer| answer.to_string()),
    );
    match answer? {
        OrderAnswer::Accepted => {
            counts.borrow_mut().insert(key, order_count + 1);
            Some(OrderState::Loading)
        }
        OrderAnswer::Holds => {
            counts.borrow_mut().insert(key, order_count);
            Some(OrderState::Holds)
        }
        OrderAnswer::Unclear => {
            // The next report must not predate the order.
            sleep(REPORT_LAG).await;
            None
        }
        OrderAnswer::Conflict
        | OrderAnswer::Fenced
        | OrderAnswer::Rejected
        | OrderAnswer::Misdirected => None,
    }
}

async fn send_order<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fence_source: &impl FenceSource,
    upstream: &Upstream,
    load: &Load,
    order_count: u64,
) -> Option<OrderAnswer> {
    let to = Addressee {
        id: &upstream.id,
        address: upstream.address,
    };
    let fence = fence_source.fence()?;
    let order = LoadOrder {
        model: load.model.clone(),
        version: load.version,
        holder: host.settings.host.clone(),
        fence,
        expected_order_count: Some(order_count),
    };
    let request = W::order_request(&order, to);
    let holds_lease = || fence_source.fence() == Some(fence);
    let sent = calls::send_while(host, upstream, request, holds_lease);
    match timeout(ORDER_TIMEOUT, sent).await {
        Ok(Ok(answer)) => {
            // The head says what became of the order.
            let body = Limited::new(answer.body, MAX_REPORT_BYTES).collect();
            if matches!(timeout(ORDER_TIMEOUT, body).await, Ok(Ok(_))) {
                answer.connection.release();
            }
            Some(W::order_answer(&answer.parts))
        }
        Ok(Err(SendFailure::NotRun(_))) => None,
        Ok(Err(SendFailure::Unknown(_))) | Err(_) => Some(OrderAnswer::Unclear),
    }
}

/// Requests an engine's report.
async fn fetch_report<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
) -> Option<EngineReport> {
    let to = Addressee {
        id: &upstream.id,
        address: upstream.address,
    };
    let request_report = async {
        let answer = calls::send(host, upstream, W::report_request(to))
            .await
            .ok()?;
        let is_ok = answer.parts.status.is_success();
        let body = Limited::new(answer.body, MAX_REPORT_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        answer.connection.release();
        if !is_ok {
            return None;
        }
        match W::report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                tracing::warn!(event = "engine.unreadable", upstream = &*upstream.id, %error);
                None
            }
        }
    };
    timeout(ORDER_TIMEOUT, request_report).await.ok().flatten()
}
