//! Forwards trainers' requests to the host that owns the step.
//!
//! Ownership is not exclusive: if the owner does not respond, the next host in
//! the rendezvous order takes over, at the cost of duplicate work
//! (docs/design/steps.md).

use std::time::Duration;

use tokio::sync::oneshot;
use tonic::Request;

use super::{
    Host,
    thread::{ControlError, Input},
};
use crate::{
    engine::rendezvous,
    ids::{HostId, RowId, StepNumber},
    proto::peer,
};

/// The maximum number of hosts tried for one request.
const MAX_TRIED_HOSTS: usize = 3;

/// The time in which an owner must respond, in addition to the wait that the
/// request allows.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why no owner accepted a request.
#[derive(Debug, thiserror::Error)]
pub enum OwnerError {
    /// No host is live.
    #[error("no host is live")]
    NoHost,
    /// This host's control thread accepted no input.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// All hosts that were tried failed; this is the status of the last one.
    #[error("no host took the request: {0}")]
    Peer(#[from] Box<tonic::Status>),
    /// A peer's address is not a valid endpoint.
    #[error(transparent)]
    Address(#[from] super::peer_client::PeerError),
}

/// Submits a step to its owner.
///
/// # Errors
///
/// Fails if neither the owner nor the next hosts respond.
pub async fn submit(
    host: &Host,
    request: peer::SubmitRequest,
) -> Result<peer::SubmitReply, OwnerError> {
    let (trainer, step) = request
        .spec
        .as_ref()
        .map(|spec| (spec.trainer.clone(), spec.step))
        .unwrap_or_default();
    let forward = peer::SubmitRequest {
        forwarded: true,
        ..request
    };
    let mut failure = OwnerError::NoHost;
    for owner in candidates(host, &trainer, step) {
        if is_self(host, &owner) {
            return submit_locally(host, forward).await;
        }
        let sent = async {
            let mut client = peer_client(host, &owner)?;
            let request = with_timeout(forward.clone(), FORWARD_TIMEOUT);
            let reply = client.submit(request).await.map_err(Box::new)?;
            Ok::<_, OwnerError>(reply.into_inner())
        };
        match sent.await {
            Ok(reply) => return Ok(reply),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Pulls from the owner of a step.
///
/// # Errors
///
/// Fails if neither the owner nor the next hosts respond.
pub async fn pull(host: &Host, request: peer::PullRequest) -> Result<peer::PullReply, OwnerError> {
    let forward = peer::PullRequest {
        forwarded: true,
        ..request
    };
    let mut failure = OwnerError::NoHost;
    for owner in candidates(host, &forward.trainer, forward.step) {
        if is_self(host, &owner) {
            return pull_locally(host, forward).await;
        }
        let sent = async {
            let mut client = peer_client(host, &owner)?;
            let wait = Duration::from_millis(forward.wait_ms);
            let request = with_timeout(forward.clone(), wait + FORWARD_TIMEOUT);
            let reply = client.pull(request).await.map_err(Box::new)?;
            Ok::<_, OwnerError>(reply.into_inner())
        };
        match sent.await {
            Ok(reply) => return Ok(reply),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Hands a step over to the next host in its rendezvous order.
///
/// # Errors
///
/// Fails if none of the next hosts accepts the step.
pub async fn hand_over(host: &Host, request: peer::HandoverRequest) -> Result<(), OwnerError> {
    let (trainer, step) = request
        .spec
        .as_ref()
        .map(|spec| (spec.trainer.clone(), spec.step))
        .unwrap_or_default();
    let mut failure = OwnerError::NoHost;
    for owner in candidates(host, &trainer, step) {
        if is_self(host, &owner) {
            continue;
        }
        let sent = async {
            let mut client = peer_client(host, &owner)?;
            let request = with_timeout(request.clone(), FORWARD_TIMEOUT);
            client.hand_over(request).await.map_err(Box::new)?;
            Ok::<_, OwnerError>(())
        };
        match sent.await {
            Ok(()) => return Ok(()),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Submits a step to this host.
///
/// # Errors
///
/// Fails if the control thread has ended.
pub async fn submit_locally(
    host: &Host,
    request: peer::SubmitRequest,
) -> Result<peer::SubmitReply, OwnerError> {
    let (reply, answered) = oneshot::channel();
    let spec = request.spec.unwrap_or_default();
    host.control.send(Input::Submit { spec, reply }).await?;
    answered.await.map_err(|_| ControlError::Ended.into())
}

/// Pulls from this host.
///
/// # Errors
///
/// Fails if the control thread has ended.
pub async fn pull_locally(
    host: &Host,
    request: peer::PullRequest,
) -> Result<peer::PullReply, OwnerError> {
    let (reply, answered) = oneshot::channel();
    host.control.send(Input::Pull { request, reply }).await?;
    answered.await.map_err(|_| ControlError::Ended.into())
}

/// Returns the hosts to try for a step, starting with the owner.
fn candidates(host: &Host, trainer: &str, step: StepNumber) -> Vec<HostId> {
    let trainer = RowId::from(trainer);
    let board = host.snapshot.load();
    let mut remaining = board
        .hosts
        .live()
        .map(|host| host.id.clone())
        .collect::<Vec<_>>();
    let mut ranked = Vec::new();
    while ranked.len() < MAX_TRIED_HOSTS {
        let Some(owner) = rendezvous::step_owner(&trainer, step, &remaining).cloned() else {
            break;
        };
        remaining.retain(|host| *host != owner);
        ranked.push(owner);
    }
    ranked
}

/// Returns a request with a timeout, so that a paused owner does not block the
/// trainer.
fn with_timeout<T>(message: T, timeout: Duration) -> Request<T> {
    let mut request = Request::new(message);
    request.set_timeout(timeout);
    request
}

fn is_self(host: &Host, owner: &HostId) -> bool {
    *owner == host.settings.host.id
}

/// Returns a client for the host named `id`.
///
/// # Errors
///
/// Fails if the host is unknown or its address is not a valid endpoint.
pub fn peer_client(host: &Host, id: &HostId) -> Result<super::peer_client::Client, OwnerError> {
    let board = host.snapshot.load();
    let address = board
        .hosts
        .members
        .get(id)
        .map(|member| member.peer_address)
        .ok_or(OwnerError::NoHost)?;
    Ok(host.peers.client(address)?)
}
