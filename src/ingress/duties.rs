//! Calls to the platform that one host makes for all hosts, under the fencing number of the
//! coordinator's lease (see docs/design/duties.md).

use std::{net::SocketAddr, rc::Rc};

use http_body_util::{BodyExt as _, Limited};
use tokio::time::timeout;

use crate::{
    connection::{Protocol, SendFailure, Target, UpstreamRequest},
    ingress::{
        host::{DutySettings, Host},
        orders::{FenceSource, ORDER_TIMEOUT},
        wire::{DutyAnswer, DutyHolder, Wire},
    },
    observe::telemetry::DUTIES_SENT,
    store::rows::RowStore,
};

/// The largest body of an answer that is read, so that its connection can be reused.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Sends the call that `encode` returns for the holder and the platform's address, and
/// returns the answer. Returns `None` if nothing was sent: this host may not make such calls
/// now, or does not reach the platform.
///
/// The fencing number is checked again once the connection is open. The call ends within the
/// time for which the lease outlasts it.
pub async fn send<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    duties: &DutySettings,
    fence_source: &impl FenceSource,
    encode: impl FnOnce(&DutyHolder, SocketAddr) -> UpstreamRequest,
) -> Option<DutyAnswer> {
    let holder = DutyHolder {
        host: host.settings.host.clone(),
        fence: fence_source.fence()?,
    };
    let target = Target {
        address: duties.address,
        protocol: Protocol::Http1,
    };
    let request = encode(&holder, duties.address);
    let is_allowed = || fence_source.fence() == Some(holder.fence);
    let exchange = async {
        let (connection, answer) = host.pool.send_while(target, request, is_allowed).await?;
        let (parts, body) = answer.into_parts();
        // The head says what became of the call.
        if Limited::new(body, MAX_ANSWER_BYTES).collect().await.is_ok() {
            connection.release();
        }
        Ok(W::duty_answer(&parts))
    };
    let answer = match timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendFailure::NotRun(reason))) => {
            tracing::debug!(event = "duty.not_sent", fence = holder.fence, reason);
            return None;
        }
        Ok(Err(SendFailure::Unknown(_))) | Err(_) => DutyAnswer::Unclear,
    };
    host.metrics.count(DUTIES_SENT, 1);
    Some(answer)
}
