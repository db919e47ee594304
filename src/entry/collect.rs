//! Collects what all hosts know: decisions about an id, service-level windows.

use std::{future::Future, time::Duration};

use futures_util::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use tokio::{sync::oneshot, time::timeout};

use super::{Host, owners, thread::Input};
use crate::{
    control::{blackboard::HostState, decision::Decision},
    ids::HostId,
    observe::{
        burn::HostWindows,
        explain::{Account, Answer, Missing},
    },
    proto::peer,
};

/// How long a host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Hosts that are asked at once.
const MAX_ASKED_COUNT: usize = 32;

/// The windows of the hosts that answered, and who did not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Windows {
    /// The windows by host.
    pub hosts: Vec<HostWindows>,
    /// The hosts that gave no answer.
    pub missing: Vec<Missing>,
}

/// Why a host's answer is missing.
#[derive(Debug, thiserror::Error)]
enum CollectError {
    /// No answer came in time.
    #[error("no answer within {ANSWER_TIMEOUT:?}")]
    Timeout,
    /// The host could not be asked.
    #[error(transparent)]
    Peer(#[from] owners::OwnerError),
    /// The host refused.
    #[error("{0}")]
    Refused(#[from] Box<tonic::Status>),
    /// The host's answer could not be read.
    #[error("its answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Collects the decisions about `id` from all hosts.
pub async fn account(host: &Host, id: String) -> Account {
    let asked = peers(host).into_iter().map(|peer| {
        let id = id.clone();
        answer(peer.clone(), async move {
            let mut client = owners::peer_client(host, &peer)?;
            let asked = client.explain(peer::ExplainRequest { id }).await;
            let reply = asked.map_err(Box::new)?.into_inner();
            let records = reply
                .records
                .iter()
                .map(|record| serde_json::from_str(record));
            Ok(Answer {
                host: peer,
                origin_unix_ms: reply.origin_unix_ms,
                records: records.collect::<Result<Vec<Decision>, _>>()?,
            })
        })
    });
    let asked = stream::iter(asked).buffer_unordered(MAX_ASKED_COUNT);
    let (mut answers, missing) = split(host, asked.collect().await);
    answers.push(Answer {
        host: host.settings.host.id.clone(),
        origin_unix_ms: host.incarnation,
        records: own_records(host, id.clone()).await,
    });
    Account::merge(id, answers, missing)
}

/// Returns this host's own records about `id`.
pub async fn own_records(host: &Host, id: String) -> Vec<Decision> {
    let (reply, answer) = oneshot::channel();
    host.control.tell(Input::Explain { id, reply }).await;
    answer.await.unwrap_or_default()
}

/// Collects the service-level windows of all hosts.
pub async fn windows(host: &Host) -> Windows {
    let asked = peers(host).into_iter().map(|peer| {
        answer(peer.clone(), async move {
            let mut client = owners::peer_client(host, &peer)?;
            let asked = client.fetch_burn(peer::FetchBurnRequest {}).await;
            let reply = asked.map_err(Box::new)?.into_inner();
            Ok(serde_json::from_str::<HostWindows>(&reply.windows)?)
        })
    });
    let asked = stream::iter(asked).buffer_unordered(MAX_ASKED_COUNT);
    let (mut hosts, missing) = split(host, asked.collect().await);
    hosts.push(host.burn.export());
    Windows { hosts, missing }
}

/// Returns the other hosts that are not held for dead.
fn peers(host: &Host) -> Vec<HostId> {
    let board = host.snapshot.load();
    let members = board.hosts.members.values();
    members
        .filter(|member| member.state != HostState::Dead)
        .map(|member| member.id.clone())
        .filter(|id| *id != host.settings.host.id)
        .collect()
}

async fn answer<T>(
    host: HostId,
    asked: impl Future<Output = Result<T, CollectError>>,
) -> Result<T, Missing> {
    let answered = timeout(ANSWER_TIMEOUT, asked).await;
    answered
        .unwrap_or(Err(CollectError::Timeout))
        .map_err(|error| Missing {
            host,
            reason: error.to_string().into(),
        })
}

/// Parts the answers from what is missing, hosts that are held for dead among
/// it, since what they knew is in no answer.
fn split<T>(host: &Host, answers: Vec<Result<T, Missing>>) -> (Vec<T>, Vec<Missing>) {
    let mut found = Vec::new();
    let board = host.snapshot.load();
    let members = board.hosts.members.values();
    let dead = members.filter(|member| member.state == HostState::Dead);
    let mut missing = dead
        .map(|member| Missing {
            host: member.id.clone(),
            reason: "held for dead".into(),
        })
        .collect::<Vec<_>>();
    for answer in answers {
        match answer {
            Ok(answer) => found.push(answer),
            Err(gone) => missing.push(gone),
        }
    }
    (found, missing)
}
