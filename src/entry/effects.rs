//! The I/O that the control thread asks for, on the traffic threads.

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

/// Events of one attempt that may wait for the control thread.
const EVENT_BUFFER_COUNT: usize = 8;

/// When to try again after a dispatcher failed.
const DISPATCHER_RETRY: Duration = Duration::from_millis(100);

/// Starts an attempt at the dispatcher of `engine`; aborting it ends it.
pub fn start_attempt(
    shared: &Shared,
    dispatch: &Dispatch,
    engine: UpstreamId,
    dispatcher: Option<HostId>,
) -> AbortHandle {
    let request = messages::generate_request(dispatch, &engine);
    let attempt = dispatch.attempt;
    let host = shared.clone();
    shared.open_work.spawn(async move {
        let failure = drive(&host, request, dispatcher, engine).await;
        if let Some(failure) = failure {
            let failed = step::Event::Failed { attempt, failure };
            host.control.tell(Input::step(failed)).await;
        }
    })
}

/// Sends a message to a peer's controller; one that is lost is sent anew by it.
pub fn tell(shared: &Shared, to: HostId, message: Exchange) {
    let host = shared.clone();
    shared.runtime.spawn(async move {
        let Ok(mut client) = owners::peer_client(&host, &to) else {
            return;
        };
        let request = messages::write_exchange(&host.settings.host.id, message);
        if let Err(status) = client.exchange(request).await {
            tracing::debug!(%to, %status, "a message to a peer was lost");
        }
    });
}

/// Follows an attempt to its end; returns the failure where there was no end.
async fn drive(
    host: &Shared,
    request: peer::GenerateRequest,
    dispatcher: Option<HostId>,
    engine: UpstreamId,
) -> Option<Failure> {
    let attempt = request.attempt;
    match dispatcher {
        Some(dispatcher) if dispatcher != host.settings.host.id => {
            drive_remote(host, request, &dispatcher, engine).await
        }
        _ => {
            let (events, mut received) = mpsc::channel(EVENT_BUFFER_COUNT);
            let running = generate::run(host, request, events);
            let following = async {
                while let Some(event) = received.recv().await {
                    if let Some(end) = follow(host, attempt, &engine, event).await {
                        return end;
                    }
                }
                Some(lost(false))
            };
            tokio::join!(running, following).1
        }
    }
}

async fn drive_remote(
    host: &Host,
    request: peer::GenerateRequest,
    dispatcher: &HostId,
    engine: UpstreamId,
) -> Option<Failure> {
    let attempt = request.attempt;
    let Ok(mut client) = owners::peer_client(host, dispatcher) else {
        return Some(lost(true));
    };
    let mut stream = match client.generate(request).await {
        Ok(response) => response.into_inner(),
        Err(status) => {
            tracing::debug!(%status, %dispatcher, "a dispatcher took no generation");
            return Some(lost(false));
        }
    };
    while let Some(Ok(event)) = stream.next().await {
        if let Some(end) = follow(host, attempt, &engine, event).await {
            return end;
        }
    }
    Some(lost(false))
}

/// Tells the control thread of one event; returns what ends the attempt.
async fn follow(
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
            host.control.tell(Input::step(progressed)).await;
            None
        }
        Event::Sample(sample) => {
            let finished = step::Event::Finished {
                attempt,
                sample: messages::read_sample(sample, attempt),
            };
            host.control.tell(Input::step(finished)).await;
            Some(None)
        }
        Event::Failure(failure) => Some(Some(messages::read_failure(&failure))),
    }
}

const fn lost(not_run: bool) -> Failure {
    Failure {
        not_run,
        retry_after: DISPATCHER_RETRY,
        proved: None,
    }
}

/// Gives a step to its next owner; without an answer the trainer's next pull
/// makes that owner ask for the step.
pub fn hand_over(shared: &Shared, handover: &Handover) {
    let request = messages::write_handover(handover);
    let host = shared.clone();
    shared.open_work.spawn(async move {
        if let Err(error) = owners::hand_over(&host, request).await {
            tracing::warn!(%error, "a step was not handed over");
        }
    });
}

/// Asks an upstream whether it is leaving.
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
            .tell(Input::Control(control::Input::Upstreams(event)))
            .await;
    });
}

/// Asks an engine for its report.
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
                    tracing::debug!(%engine, %error, "an engine did not report");
                    watch::Event::Failed { engine }
                }
            },
            None => watch::Event::Failed { engine },
        };
        host.control
            .tell(Input::Control(control::Input::Engine(event)))
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

/// Reads the table from the store or from a peer.
pub fn follow_table(shared: &Shared, action: follower::Action) {
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
            .tell(Input::Control(control::Input::Table(event)))
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
