//! Callers: each keeps one connection to a host open until the host closes it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use mimosavane::platform::standin::{
    CRASH_PATH, Client, ONCE_PATH, REPEATABLE_PATH, ReceivedAnswer, RequestError,
};
use tokio::time::sleep;

use crate::{accounts, fleet::Host, scene::Harness};

/// The delay between two calls of one caller.
const CALL_DELAY: Duration = Duration::from_millis(40);

/// One call in this many crashes the upstream that runs it; all of them are repeats.
const CRASH_PERIOD: u64 = 51;

/// How long after an unplanned fault a host may still cut requests.
const DISTURBED_TIME: Duration = Duration::from_secs(3);

/// How long after the request for a planned stop the host must not cut requests.
const PLANNED_STOP_TIME: Duration = Duration::from_secs(4);

/// The delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Sends calls to `host` until the run ends.
pub async fn call(harness: Rc<Harness>, host: Rc<Host>, number: usize) {
    let mut sent_count = 0_u64;
    while !harness.is_stopping.get() {
        let Ok(mut client) = Client::connect(host.addresses.clients).await else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        while !client.is_closed() && !harness.is_stopping.get() {
            sent_count += 1;
            let attempt = format!("call-{number}-{sent_count}");
            let is_once = sent_count.is_multiple_of(2);
            let is_crashing = sent_count.is_multiple_of(CRASH_PERIOD);
            let path = match (is_crashing, is_once) {
                (true, _) => CRASH_PATH,
                (_, true) => ONCE_PATH,
                _ => REPEATABLE_PATH,
            };
            if is_once && !is_crashing {
                harness.record.borrow_mut().add_once_call(&attempt);
            }
            let account = accounts::account(number);
            let key = harness.identify(&mut client, account, [attempt.clone()]);
            let memory_name = host.memory_name();
            let sent_at = Instant::now();
            match client.call(path, &attempt).await {
                Ok(answer) if harness.is_denial_of_removed(key.as_deref(), &answer) => {
                    let mut record = harness.record.borrow_mut();
                    record.count("removed keys replaced");
                }
                Ok(answer) => {
                    check_answer(&harness, &attempt, &answer);
                    if let Some(start) = answer.upstream_start()
                        && host.memory_name() == memory_name
                    {
                        harness.record.borrow_mut().add_passed_answer(
                            &memory_name,
                            start,
                            sent_at,
                            answer.is_leaving,
                        );
                    }
                }
                Err(error) => {
                    record_lost_call(&harness, &host, &attempt, error);
                    break;
                }
            }
            sleep(CALL_DELAY).await;
        }
    }
}

fn check_answer(harness: &Harness, attempt: &str, answer: &ReceivedAnswer) {
    let mut record = harness.record.borrow_mut();
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
    if answer.stamp.is_none() || !is_own {
        record.add_violation("own-answer", format!("{attempt}: {:?}", answer.body));
    }
}

/// Records a call without an answer, and a violation if only a planned stop can have
/// cut it while it ran.
fn record_lost_call(harness: &Harness, host: &Host, attempt: &str, error: RequestError) {
    let mut record = harness.record.borrow_mut();
    record.count("calls cut");
    let is_planned = host.was_stop_requested_within(PLANNED_STOP_TIME);
    let is_undisturbed =
        host.is_undisturbed_for(DISTURBED_TIME) && harness.is_undisturbed_for(DISTURBED_TIME);
    if error == RequestError::Cut && is_planned && is_undisturbed && record.run_count(attempt) > 0 {
        record.add_violation(
            "planned-stop-cuts-nothing",
            format!("{}: {attempt}", host.name),
        );
    }
}
