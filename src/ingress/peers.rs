//! Calls between hosts, over the port at which they relay calls to the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, header, request};
use http_body_util::{BodyExt as _, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{error::Elapsed, timeout};

use crate::{
    batch::layout::{self, LayoutError},
    connection::{Protocol, SendFailure, Target},
    ingress::{
        crashes, handover, host::Host, memory::Memory, origins, permits, replies::Reply, wire::Wire,
    },
    observe::telemetry::PEERS_UNANSWERED,
    store::rows::{PeerCalls, RowStore},
};

/// How long a request is held for the coordinator's answer, which takes one round
/// trip between two failure domains.
const CALL_TIMEOUT: Duration = Duration::from_millis(80);

/// The largest message between hosts.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Why the coordinator gave no answer.
#[derive(Debug, thiserror::Error)]
enum PeerError {
    #[error("no answer in time")]
    Silent(#[from] Elapsed),
    #[error("the message was not answered: {}", .0.reason())]
    Send(SendFailure),
    #[error("the host does not coordinate")]
    NotCoordinating,
    #[error("the answer broke off")]
    AnswerTorn,
    #[error("the message cannot be built")]
    Request(#[from] http::Error),
    #[error("the message cannot be encoded or decoded")]
    Message(#[from] LayoutError),
}

/// Sends `message` to the coordinator and returns its answer, or `None` if it is not
/// known, does not answer in time or does not coordinate any more.
pub async fn tell_coordinator<T: DeserializeOwned, S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    path: &'static str,
    message: &impl Serialize,
) -> Option<T> {
    let address = host.view.borrow().limits.coordinator_address()?;
    let answer = match timeout(CALL_TIMEOUT, exchange(host, path, message, address)).await {
        Ok(answer) => answer,
        Err(elapsed) => Err(elapsed.into()),
    };
    match answer {
        Ok(answer) => Some(answer),
        Err(error) => {
            host.metrics.count(PEERS_UNANSWERED, 1);
            tracing::info!(event = "peer.unanswered", path, %address, %error);
            None
        }
    }
}

async fn exchange<T: DeserializeOwned, S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    path: &'static str,
    message: &impl Serialize,
    address: SocketAddr,
) -> Result<T, PeerError> {
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(layout::encode(message)?))?;
    let target = Target {
        address,
        protocol: Protocol::Http1,
    };
    let (connection, answer) = host
        .pool
        .send(target, request)
        .await
        .map_err(PeerError::Send)?;
    let is_coordinating = answer.status().is_success();
    let body = Limited::new(answer.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await
        .map_err(|_| PeerError::AnswerTorn)?
        .to_bytes();
    connection.release();
    if !is_coordinating {
        return Err(PeerError::NotCoordinating);
    }
    Ok(layout::decode(path, &body)?)
}

impl<S: RowStore, W: Wire> PeerCalls for Rc<Host<S, W>> {
    fn memory(&self) -> &Memory {
        &self.memory
    }

    async fn answer_later(&self, parts: &request::Parts, body: &Bytes) -> Option<Reply> {
        handover::answer(self, parts, body).await
    }

    fn answer(&self, path: &str, body: &[u8]) -> Option<Bytes> {
        if !self.is_issuing.get() {
            return None;
        }
        let answer = match path {
            permits::PERMIT_PATH => permits::answer_peer(self, body),
            crashes::CRASH_PATH => crashes::answer_peer(self, body),
            origins::ORIGIN_PATH => origins::answer_peer(self, body),
            _ => return None,
        };
        match answer {
            Ok(answer) => Some(answer),
            Err(error) => {
                tracing::warn!(event = "peer.unreadable", path, %error);
                None
            }
        }
    }
}
