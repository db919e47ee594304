//! Hands the requests of trainers to the host that owns the step.
//!
//! Ownership is soft: where the owner does not answer, the next host in the
//! order of the hash takes over, at the price of work done twice
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

/// Hosts that are tried for one request.
const MAX_TRIED_HOSTS: usize = 3;

/// How long an owner may take to answer, beside the time that it was asked to
/// wait.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no owner took a request.
#[derive(Debug, thiserror::Error)]
pub enum OwnerError {
    /// No host is live.
    #[error("no host is live")]
    NoHost,
    /// This host's control thread took no input.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// All hosts that were tried failed; the last said this.
    #[error("no host took the request: {0}")]
    Peer(#[from] Box<tonic::Status>),
    /// A peer's address makes no endpoint.
    #[error(transparent)]
    Address(#[from] super::peer_client::PeerError),
}

/// Submits a step to its owner.
///
/// # Errors
///
/// Fails where neither the owner nor the next hosts answer.
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
            return submit_here(host, forward).await;
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
/// Fails where neither the owner nor the next hosts answer.
pub async fn pull(host: &Host, request: peer::PullRequest) -> Result<peer::PullReply, OwnerError> {
    let forward = peer::PullRequest {
        forwarded: true,
        ..request
    };
    let mut failure = OwnerError::NoHost;
    for owner in candidates(host, &forward.trainer, forward.step) {
        if is_self(host, &owner) {
            return pull_here(host, forward).await;
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

/// Gives a step to the next host in its order.
///
/// # Errors
///
/// Fails where none of the next hosts takes it.
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
/// Fails where the control thread does not answer.
pub async fn submit_here(
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
/// Fails where the control thread does not answer.
pub async fn pull_here(
    host: &Host,
    request: peer::PullRequest,
) -> Result<peer::PullReply, OwnerError> {
    let (reply, answered) = oneshot::channel();
    host.control.send(Input::Pull { request, reply }).await?;
    answered.await.map_err(|_| ControlError::Ended.into())
}

/// Returns the hosts to try for a step, the owner first.
fn candidates(host: &Host, trainer: &str, step: StepNumber) -> Vec<HostId> {
    let trainer = RowId::from(trainer);
    let board = host.snapshot.load();
    let mut left = board
        .hosts
        .live()
        .map(|host| host.id.clone())
        .collect::<Vec<_>>();
    let mut ranked = Vec::new();
    while ranked.len() < MAX_TRIED_HOSTS {
        let Some(owner) = rendezvous::step_owner(&trainer, step, &left).cloned() else {
            break;
        };
        left.retain(|host| *host != owner);
        ranked.push(owner);
    }
    ranked
}

/// Bounds a request, so that a paused owner does not hold up the trainer.
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
/// Fails where the host is not known or its address makes no endpoint.
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
