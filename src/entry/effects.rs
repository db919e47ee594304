//! Performs the I/O that the control thread requests, on the traffic threads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{sync::mpsc, task::AbortHandle};
use tokio_stream::StreamExt as _;

use super::{Host, Shared, engine_client::EngineError, generate, messages, owners, thread::Input};
use crate::{
    control::{
        self, Exchange,
        blackboard::{EngineReport, UpstreamKind},
    },
    engine::{api::Report, upstream_list, watch},
    ids::{AttemptNumber, HostId, Revision, UpstreamId},
    proto::peer::{self, generate_event::Event},
    step::{self, Dispatch, Failure, handover::Handover},
    store::follower,
    table::row::Row,
};

/// The maximum number of events of one attempt that wait for the control
/// thread.
const EVENT_BUFFER_CAPACITY: usize = 8;

/// The retry delay after a dispatcher failed.
const DISPATCHER_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Starts an attempt at the dispatcher of `engine`. Aborting the returned
/// handle cancels the attempt.
pub fn start_attempt(
    shared: &Shared,
    dispatch: &Dispatch,
    engine: UpstreamId,
    dispatcher: Option<HostId>,
) -> AbortHandle {
    let request = messages::write_generate_request(dispatch, &engine);
    let attempt = dispatch.attempt;
    let host = shared.clone();
    shared.open_work.spawn(async move {
        let failure = run_attempt(&host, request, dispatcher, engine).await;
        if let Some(failure) = failure {
            let failed = step::Event::Failed { attempt, failure };
            host.control.send_or_drop(Input::step(failed)).await;
        }
    })
}

/// Sends a message to a peer's controller. Lost messages are not retried here:
/// the sending controller repeats them.
pub fn send_message(shared: &Shared, to: HostId, message: Exchange) {
    let host = shared.clone();
    shared.runtime.spawn(async move {
        let Ok(mut client) = owners::peer_client(&host, &to) else {
            return;
        };
        let request = messages::write_exchange(&host.settings.host.id, message);
        if let Err(status) = client.exchange(request).await {
            tracing::debug!(%to, %status, "failed to send a message to a peer");
        }
    });
}

/// Runs an attempt to its end, and returns the failure if it gave no sample.
async fn run_attempt(
    host: &Shared,
    request: peer::GenerateRequest,
    dispatcher: Option<HostId>,
    engine: UpstreamId,
) -> Option<Failure> {
    let attempt = request.attempt;
    match dispatcher {
        Some(dispatcher) if dispatcher != host.settings.host.id => {
            run_remote_attempt(host, request, &dispatcher, engine).await
        }
        _ => {
            let (events, mut received) = mpsc::channel(EVENT_BUFFER_CAPACITY);
            let running = generate::run(host, request, events);
            let following = async {
                while let Some(event) = received.recv().await {
                    if let Some(end) = handle_event(host, attempt, &engine, event).await {
                        return end;
                    }
                }
                Some(dispatcher_failure(false))
            };
            tokio::join!(running, following).1
        }
    }
}

async fn run_remote_attempt(
    host: &Host,
    request: peer::GenerateRequest,
    dispatcher: &HostId,
    engine: UpstreamId,
) -> Option<Failure> {
    let attempt = request.attempt;
    let Ok(mut client) = owners::peer_client(host, dispatcher) else {
        return Some(dispatcher_failure(true));
    };
    let mut stream = match client.generate(request).await {
        Ok(response) => response.into_inner(),
        Err(status) => {
            tracing::debug!(%status, %dispatcher, "failed to start a generation at a dispatcher");
            return Some(dispatcher_failure(false));
        }
    };
    while let Some(Ok(event)) = stream.next().await {
        if let Some(end) = handle_event(host, attempt, &engine, event).await {
            return end;
        }
    }
    Some(dispatcher_failure(false))
}

/// Passes one event to the control thread.
///
/// Returns `None` while the attempt goes on, `Some(None)` after its sample, and
/// `Some(Some(_))` with the failure that ended it.
async fn handle_event(
    host: &Host,
    attempt: AttemptNumber,
    engine: &UpstreamId,
    event: peer::GenerateEvent,
) -> Option<Option<Failure>> {
    match event.event? {
        Event::Progress(progress) => {
            let progressed = step::Event::Progressed {
                attempt,
                engine: engine.clone(),
                proved: messages::read_progress(progress),
            };
            host.control.send_or_drop(Input::step(progressed)).await;
            None
        }
        Event::Sample(sample) => {
            let finished = step::Event::Finished {
                attempt,
                sample: messages::read_sample(sample, attempt),
            };
            host.control.send_or_drop(Input::step(finished)).await;
            Some(None)
        }
        Event::Failure(failure) => Some(Some(messages::read_failure(&failure))),
    }
}

const fn dispatcher_failure(not_run: bool) -> Failure {
    Failure {
        not_run,
        retry_after: DISPATCHER_RETRY_AFTER,
        proved: None,
    }
}

/// Hands a step over to its next owner. If that fails, the trainer's next pull
/// makes the new owner request that the step be submitted again.
pub fn hand_over(shared: &Shared, handover: &Handover) {
    let request = messages::write_handover(handover);
    let host = shared.clone();
    shared.open_work.spawn(async move {
        if let Err(error) = owners::hand_over(&host, request).await {
            tracing::warn!(%error, "failed to hand over a step");
        }
    });
}

/// Queries whether an upstream is leaving.
pub fn ask_upstream(
    shared: &Shared,
    upstream: UpstreamId,
    address: SocketAddr,
    kind: UpstreamKind,
) {
    let host = shared.clone();
    shared.runtime.spawn(async move {
        let sent_at = host.clock.now();
        let answer = match kind {
            UpstreamKind::Engine => host
                .engines
                .report(address)
                .await
                .map(|report| report.leaving),
            UpstreamKind::Service => host.engines.is_leaving(address).await,
        };
        let event = match answer {
            Ok(leaving) => upstream_list::Event::LeavingReported {
                upstream,
                leaving,
                sent_at,
            },
            Err(EngineError::Connect(_)) => upstream_list::Event::ConnectionRefused { upstream },
            Err(_) => return,
        };
        host.control
            .send_or_drop(Input::Control(control::Input::Upstreams(event)))
            .await;
    });
}

/// Requests the report of an engine.
pub fn poll_engine(shared: &Shared, engine: UpstreamId, address: Option<SocketAddr>) {
    let host = shared.clone();
    shared.runtime.spawn(async move {
        let event = match address {
            Some(address) => match host.engines.report(address).await {
                Ok(report) => watch::Event::Reported {
                    engine,
                    report: read_report(&report),
                },
                Err(error) => {
                    tracing::debug!(%engine, %error, "failed to read the report of an engine");
                    watch::Event::Failed { engine }
                }
            },
            None => watch::Event::Failed { engine },
        };
        host.control
            .send_or_drop(Input::Control(control::Input::Engine(event)))
            .await;
    });
}

fn read_report(report: &Report) -> EngineReport {
    EngineReport {
        boot: report.boot_id,
        weight_version: report.weight_version,
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        token_time: Duration::from_micros(report.token_time_us),
        ..EngineReport::default()
    }
}

/// Reads the rows of the table from the store or from a peer.
pub fn read_table(shared: &Shared, action: follower::Action) {
    let host = shared.clone();
    shared.runtime.spawn(async move {
        let event = match action {
            follower::Action::PollStore { above_revision } => {
                follower::poll(&host.store, above_revision).await
            }
            follower::Action::FetchFromPeer {
                host: peer,
                above_revision,
            } => fetch_rows(&host, peer, above_revision).await,
        };
        host.control
            .send_or_drop(Input::Control(control::Input::Table(event)))
            .await;
    });
}

async fn fetch_rows(host: &Arc<Host>, peer: HostId, above_revision: Revision) -> follower::Event {
    let Ok(mut client) = owners::peer_client(host, &peer) else {
        return follower::Event::PeerFailed { host: peer };
    };
    let request = peer::FetchRowsRequest { above_revision };
    let Ok(reply) = client.fetch_rows(request).await else {
        return follower::Event::PeerFailed { host: peer };
    };
    let reply = reply.into_inner();
    let rows = reply
        .rows
        .iter()
        .map(|row| serde_json::from_str::<Row>(row))
        .collect::<Result<Vec<_>, _>>();
    match rows {
        Ok(rows) => follower::Event::PeerAnswered {
            host: peer,
            revision: reply.revision,
            rows,
        },
        Err(_) => follower::Event::PeerFailed { host: peer },
    }
}
