//! Collects data from all hosts: decisions about an id and service-level
//! windows.

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
        burn_report::Report,
        explain::{Answer, Explanation, Missing},
    },
    proto::peer,
    settings::ObjectiveSettings,
};

/// The maximum time for the response of a host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of hosts queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// The windows of the hosts that responded, and the hosts that did not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Windows {
    /// The windows of each host.
    pub hosts: Vec<HostWindows>,
    /// The hosts without a response.
    pub missing: Vec<Missing>,
    /// The objectives in the settings of the host that collected the windows; the
    /// default ones if it is of a version that does not tell.
    #[serde(default)]
    pub objectives: ObjectiveSettings,
}

impl Windows {
    /// Returns the report of the windows against the hosts' own objectives.
    pub fn report(self) -> Report {
        Report::merge(&self.objectives, self.hosts, self.missing)
    }
}

/// The reason why a host's response is missing.
#[derive(Debug, thiserror::Error)]
enum CollectError {
    /// The host did not respond in time.
    #[error("no answer within {ANSWER_TIMEOUT:?}")]
    Timeout,
    /// The host could not be reached.
    #[error(transparent)]
    Peer(#[from] owners::OwnerError),
    /// The host refused the request.
    #[error("{0}")]
    Refused(#[from] Box<tonic::Status>),
    /// The host's response could not be parsed.
    #[error("its answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Collects the decisions about `id` from all hosts.
pub async fn explanation(host: &Host, id: String) -> Explanation {
    let requests = peers(host).into_iter().map(|peer| {
        let id = id.clone();
        request_with_timeout(peer.clone(), async move {
            let mut client = owners::peer_client(host, &peer)?;
            let response = client.explain(peer::ExplainRequest { id }).await;
            let reply = response.map_err(Box::new)?.into_inner();
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
    let requests = stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS);
    let (mut answers, missing) = separate_missing(host, requests.collect().await);
    answers.push(Answer {
        host: host.settings.host.id.clone(),
        origin_unix_ms: host.incarnation,
        records: own_records(host, id.clone()).await,
    });
    Explanation::merge(id, answers, missing)
}

/// Returns this host's own decisions about `id`.
pub async fn own_records(host: &Host, id: String) -> Vec<Decision> {
    let (reply, answer) = oneshot::channel();
    host.control
        .send_or_drop(Input::Explain { id, reply })
        .await;
    answer.await.unwrap_or_default()
}

/// Collects the service-level windows of all hosts.
pub async fn windows(host: &Host) -> Windows {
    let requests = peers(host).into_iter().map(|peer| {
        request_with_timeout(peer.clone(), async move {
            let mut client = owners::peer_client(host, &peer)?;
            let response = client.fetch_burn(peer::FetchBurnRequest {}).await;
            let reply = response.map_err(Box::new)?.into_inner();
            Ok(serde_json::from_str::<HostWindows>(&reply.windows)?)
        })
    });
    let requests = stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS);
    let (mut hosts, missing) = separate_missing(host, requests.collect().await);
    hosts.push(host.burn.export());
    Windows {
        hosts,
        missing,
        objectives: host.settings.objectives.clone(),
    }
}

/// Returns the other hosts that are not considered dead.
fn peers(host: &Host) -> Vec<HostId> {
    let board = host.snapshot.load();
    let members = board.hosts.members.values();
    members
        .filter(|member| member.state != HostState::Dead)
        .map(|member| member.id.clone())
        .filter(|id| *id != host.settings.host.id)
        .collect()
}

async fn request_with_timeout<T>(
    host: HostId,
    request: impl Future<Output = Result<T, CollectError>>,
) -> Result<T, Missing> {
    let answered = timeout(ANSWER_TIMEOUT, request).await;
    answered
        .unwrap_or(Err(CollectError::Timeout))
        .map_err(|error| Missing {
            host,
            reason: error.to_string().into(),
        })
}

/// Separates the answers from the missing hosts. Dead hosts count as missing,
/// because no answer contains their data.
fn separate_missing<T>(host: &Host, answers: Vec<Result<T, Missing>>) -> (Vec<T>, Vec<Missing>) {
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
            Err(absent) => missing.push(absent),
        }
    }
    (found, missing)
}
