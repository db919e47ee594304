//! One run of an item on an engine.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use http::StatusCode;
use http_body_util::{BodyExt as _, Limited};

use crate::{
    batch::{
        job::{EventNumber, Item},
        reading::Reading,
        scheduler::{RunEnd, RunNumber, Scheduler},
    },
    connection::{EXPIRED, SendFailure},
    ids::AccountId,
    ingress::{
        calls::{self, Answer},
        directory::Upstream,
        host::Host,
        permits::Permit,
        starts::OTHER_START,
        wire::{Addressee, EventParser as _, Wire},
    },
    store::rows::RowStore,
};

/// The inputs of a run.
#[derive(Debug)]
pub struct Run {
    /// The number of the run.
    pub number: RunNumber,
    /// The value of the `Host` header.
    pub authority: String,
    /// The account of the job, if it has one.
    pub account: Option<AccountId>,
    /// The item to run.
    pub item: Item,
    /// The engine that runs it.
    pub upstream: Arc<Upstream>,
    /// The permission to send the request.
    pub permit: Permit,
    /// The number of the last event that is already recorded; the run resumes
    /// after it.
    pub last_event: EventNumber,
}

/// How and why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOutcome {
    /// How the run ended.
    pub end: RunEnd,
    /// The reason, for the log.
    pub reason: &'static str,
}

const fn outcome(end: RunEnd, reason: &'static str) -> RunOutcome {
    RunOutcome { end, reason }
}

/// Runs the item and records its events in `scheduler`.
///
/// Dropping the future closes the connection, which makes the engine stop.
pub async fn run<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    scheduler: &RefCell<Scheduler>,
    run: &Run,
) -> RunOutcome {
    let to = Addressee {
        id: &run.upstream.id,
        address: run.upstream.address,
    };
    let is_allowed = || run.permit.is_valid(host.now());
    let request = W::item_request(
        &run.authority,
        run.account.as_ref(),
        &run.item,
        to,
        run.last_event,
    );
    // A text goes on at the software version that began it.
    let sent = match run.last_event > 0 {
        true => calls::send_to_start(host, &run.upstream, request, is_allowed).await,
        false => calls::send_while(host, &run.upstream, request, is_allowed).await,
    };
    let Answer {
        connection,
        parts,
        head,
        mut body,
    } = match sent {
        Ok(answer) => answer,
        Err(SendFailure::NotRun(EXPIRED)) => return outcome(RunEnd::NotRun, EXPIRED),
        Err(SendFailure::NotRun(OTHER_START)) => {
            return outcome(RunEnd::WrongEngine, OTHER_START);
        }
        Err(SendFailure::NotRun(reason) | SendFailure::Unknown(reason)) => {
            return outcome(RunEnd::Broken, reason);
        }
    };
    if !head.may_answer(&run.item.id) {
        return outcome(RunEnd::Broken, "answer-mismatched");
    }
    let refused = match parts.status {
        _ if head.is_misdirected => Some(RunEnd::WrongEngine),
        _ if head.is_not_run => Some(RunEnd::NotRun),
        StatusCode::OK if head.signature.is_some() => None,
        StatusCode::UNPROCESSABLE_ENTITY => Some(RunEnd::Impossible),
        StatusCode::INTERNAL_SERVER_ERROR => Some(RunEnd::Failed),
        _ => Some(RunEnd::Broken),
    };
    let is_delimited = calls::is_delimited(&parts.headers, &body);
    if let Some(refused) = refused {
        let body = Limited::new(body, calls::MAX_DRAINED_BYTES);
        if is_delimited && body.collect().await.is_ok() {
            connection.release();
        }
        return outcome(refused, "refused");
    }
    if let Some(version) = head.version
        && !scheduler
            .borrow_mut()
            .record_answer(run.number, version, host.now())
    {
        return outcome(RunEnd::WrongVersion, "version");
    }
    let mut reading = Reading::new(run.last_event, head.version);
    let mut events = W::Events::default();
    while let Some(frame) = body.frame().await {
        let now = host.now();
        host.reach
            .borrow_mut()
            .record_answer(&run.upstream.service, now);
        let Ok(frame) = frame else {
            return outcome(RunEnd::Broken, "stream-cut");
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let Ok(complete) = events.push(&data) else {
            return outcome(RunEnd::Broken, "event-unreadable");
        };
        for event in complete {
            let Some(version) = reading.record_event(event.number, event.version) else {
                return outcome(RunEnd::Broken, "event-without-version");
            };
            let is_next = scheduler.borrow_mut().record_event(
                run.number,
                event.number,
                &event.data,
                version,
                host.now(),
            );
            if !is_next {
                return outcome(RunEnd::Broken, "event-out-of-order");
            }
        }
    }
    let end = reading.run_end(is_delimited && !events.is_inside_event());
    if end == RunEnd::Completed {
        connection.release();
    }
    outcome(end, "stream-ended")
}
