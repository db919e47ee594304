//! Callers: each keeps its connection to a host for as long as the host does.

use std::{rc::Rc, time::Duration};

use mimosavane::platform::standin::{
    Client, ONCE_PATH, REPEATABLE_PATH, ReceivedAnswer, RequestError,
};
use tokio::time::sleep;

use crate::{fleet::Host, scene::Scene};

/// The pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(40);

/// How long after unplanned trouble a host may cut requests.
const CALM_TIME: Duration = Duration::from_secs(3);

/// How long after a planned stop began requests must not be cut.
const PLANNED_TIME: Duration = Duration::from_secs(4);

/// The pause before a new connection where none opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Calls `host` until the scene ends.
pub async fn call(scene: Rc<Scene>, host: Rc<Host>, number: usize) {
    let mut sent_count = 0_u64;
    while !scene.is_over.get() {
        let Ok(mut client) = Client::connect(host.addresses.clients).await else {
            sleep(RECONNECT_PAUSE).await;
            continue;
        };
        while !client.is_closed() && !scene.is_over.get() {
            sent_count += 1;
            let attempt = format!("call-{number}-{sent_count}");
            let is_once = sent_count.is_multiple_of(2);
            let path = if is_once { ONCE_PATH } else { REPEATABLE_PATH };
            if is_once {
                scene.record.borrow_mut().add_once_call(&attempt);
            }
            match client.call(path, &attempt).await {
                Ok(answer) => take(&scene, &attempt, &answer),
                Err(error) => {
                    lose(&scene, &host, &attempt, error);
                    break;
                }
            }
            sleep(PAUSE).await;
        }
    }
}

fn take(scene: &Scene, attempt: &str, answer: &ReceivedAnswer) {
    let mut record = scene.record.borrow_mut();
    if answer.is_refusal() {
        record.add_refused_call(attempt);
        return;
    }
    if !answer.status.is_success() {
        record.count(if answer.status.is_client_error() {
            "calls denied"
        } else {
            "calls failed"
        });
        if answer.status.is_client_error() {
            record.add_violation(
                "proper-calls-allowed",
                format!("{attempt}: {}", answer.status),
            );
        }
        return;
    }
    record.count("calls served");
    let is_own = serde_json::from_slice::<serde_json::Value>(&answer.body)
        .is_ok_and(|body| body["attempt"] == *attempt);
    if !answer.is_signed || !is_own {
        record.add_violation("own-answer", format!("{attempt}: {:?}", answer.body));
    }
}

/// Notes a call without an answer: a planned stop alone must not cut one that runs.
fn lose(scene: &Scene, host: &Host, attempt: &str, error: RequestError) {
    let mut record = scene.record.borrow_mut();
    record.count("calls cut");
    let is_planned = host.was_asked_within(PLANNED_TIME);
    let is_calm = host.is_calm_for(CALM_TIME) && scene.is_calm_for(CALM_TIME);
    if error == RequestError::Cut && is_planned && is_calm && record.run_count(attempt) > 0 {
        record.add_violation(
            "planned-stop-cuts-nothing",
            format!("{}: {attempt}", host.name),
        );
    }
}
