//! Trainers: each submits one job per step, reads its results at random hosts,
//! and publishes the next weight version.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use mimosavane::platform::standin::{
    ReceivedAnswer, RequestError, ResultPage, SCORED_MODEL, TrainerJob, name_version, reward_id,
};
use rand::Rng as _;
use tokio::time::sleep;

use crate::{
    accounts,
    scene::{Harness, RECOVERY},
};

/// The number of items of a job.
const ITEM_COUNT: usize = 24;

/// The maximum number of events of an item; engines emit one every 20 ms.
const MAX_EVENT_COUNT: u64 = 60;

/// The ratio of jobs that a trainer submits only once, so that a refusal is final.
const SINGLE_ATTEMPT_RATIO: f64 = 0.2;

/// The delay between two jobs that are submitted once.
const SINGLE_JOB_INTERVAL: Duration = Duration::from_millis(500);

/// The number of items of such a job, one group.
const SINGLE_JOB_ITEM_COUNT: usize = 4;

/// The number of items of a job that is ended early: more than all engines run within the
/// time for which the fleet is watched after the last fault.
const EARLY_JOB_ITEM_COUNT: usize = 240;

/// The range of the time after which such a job is ended, in milliseconds.
const EARLY_END_MS: std::ops::Range<u64> = 100..700;

/// The delay between two such jobs.
const EARLY_JOB_INTERVAL: Duration = Duration::from_millis(1_800);

/// How long a trainer retries a submission.
const SUBMIT_TIME: Duration = Duration::from_secs(6);

/// How long a trainer reads results before it ends the job.
const READ_TIME: Duration = Duration::from_secs(9);

/// The wait time that a trainer requests for a long poll.
const READ_WAIT: Duration = Duration::from_millis(500);

/// The delay between two reads and before a retry at another host.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The time within which a job must be complete if nothing disturbed it.
const QUIET_JOB_DEADLINE: Duration = Duration::from_secs(8);

/// Runs a trainer of `model` that submits its jobs at `path`, until the run ends.
pub async fn train(harness: Rc<Harness>, model: &'static str, path: &'static str) {
    let mut step = 0;
    let mut version = 1;
    while !harness.is_stopping.get() {
        let job = job(model, step, version);
        let started = Instant::now();
        let was_quiet = harness.is_quiet_for(RECOVERY);
        if submit_job(&harness, path, &job).await {
            read_results(&harness, &job).await;
            let completed_count = harness.record.borrow().completed_count(&job.id);
            let is_quiet = was_quiet && harness.is_quiet_for(started.elapsed());
            if is_quiet && completed_count < ITEM_COUNT && started.elapsed() >= QUIET_JOB_DEADLINE {
                let seen = format!("{}: {completed_count} of {ITEM_COUNT}", job.id);
                harness.record.borrow_mut().add_violation("recovers", seen);
            }
            end_job(&harness, &job).await;
        }
        step += 1;
        version += 1;
        name_version(&harness.store, model, version);
        sleep(RETRY_DELAY).await;
    }
}

/// Submits small jobs once each, until the run ends: what was refused must never run, also
/// where the host did not learn what became of it.
pub async fn submit_singly(harness: Rc<Harness>, model: &'static str, path: &'static str) {
    let mut number = 0_u64;
    while !harness.is_stopping.get() {
        let id = format!("{model}-single-{number}");
        let job = TrainerJob {
            model: model.to_owned(),
            step: 0,
            min_version: 1,
            event_counts: (0..SINGLE_JOB_ITEM_COUNT)
                .map(|index| (format!("{id}-{index:02}"), 1))
                .collect(),
            id,
        };
        match submit_once(&harness, path, &job).await {
            Ok(answer) if answer.status.is_success() => {
                end_job(&harness, &job).await;
            }
            Ok(answer) if answer.is_refusal() => record_refusal(&harness, &job),
            Err(RequestError::NotConnected) => record_refusal(&harness, &job),
            // Whether the job was accepted is unknown.
            _ => {}
        }
        number += 1;
        sleep(SINGLE_JOB_INTERVAL).await;
    }
}

/// Submits jobs that take long and ends each soon after its acceptance, until the run ends:
/// their items must stop, whichever host takes up the end.
pub async fn end_early(harness: Rc<Harness>, model: &'static str, path: &'static str) {
    let mut number = 0_u64;
    while !harness.is_stopping.get() {
        let id = format!("{model}-early-{number}");
        let job = TrainerJob {
            model: model.to_owned(),
            step: 0,
            min_version: 1,
            event_counts: (0..EARLY_JOB_ITEM_COUNT)
                .map(|index| (format!("{id}-{index:03}"), MAX_EVENT_COUNT))
                .collect(),
            id,
        };
        number += 1;
        if submit_until_accepted(&harness, path, &job).await {
            let run_ms = rand::rng().random_range(EARLY_END_MS);
            sleep(Duration::from_millis(run_ms)).await;
            if end_job(&harness, &job).await {
                let items = job.event_counts.into_keys();
                harness.record.borrow_mut().add_ended_job(items);
            }
        }
        sleep(EARLY_JOB_INTERVAL).await;
    }
}

/// Submits a job at random hosts until one accepts it, whatever became of it at others, and
/// returns whether one did.
async fn submit_until_accepted(harness: &Harness, path: &str, job: &TrainerJob) -> bool {
    let deadline = Instant::now() + SUBMIT_TIME;
    while Instant::now() < deadline {
        let outcome = submit_once(harness, path, job).await;
        if outcome.is_ok_and(|answer| answer.status.as_u16() == 202) {
            return true;
        }
        sleep(RETRY_DELAY).await;
    }
    false
}

async fn submit_once(
    harness: &Harness,
    path: &str,
    job: &TrainerJob,
) -> Result<ReceivedAnswer, RequestError> {
    let host = harness.random_host();
    let items: Vec<String> = job.event_counts.keys().cloned().collect();
    let requests = items
        .iter()
        .cloned()
        .chain(items.iter().map(|item| reward_id(item)));
    let account = accounts::job_account(&job.id);
    harness
        .send_as(host.addresses.clients, account, requests, async |client| {
            client.submit(path, job).await
        })
        .await
}

fn record_refusal(harness: &Harness, job: &TrainerJob) {
    let items = job.event_counts.keys().cloned();
    harness.record.borrow_mut().add_refused_job(items);
}

fn job(model: &str, step: u64, version: u64) -> TrainerJob {
    let id = format!("{model}-{step}");
    let event_counts: BTreeMap<String, u64> = (0..ITEM_COUNT)
        .map(|index| {
            let events = rand::rng().random_range(1..=MAX_EVENT_COUNT);
            (format!("{id}-{index:02}"), events)
        })
        .collect();
    TrainerJob {
        id,
        model: model.to_owned(),
        step,
        min_version: version.saturating_sub(1).max(1),
        event_counts,
    }
}

/// Submits a job at random hosts until one accepts it, and returns whether one
/// did.
async fn submit_job(harness: &Harness, path: &str, job: &TrainerJob) -> bool {
    let is_single_attempt = rand::rng().random_bool(SINGLE_ATTEMPT_RATIO);
    let deadline = Instant::now() + SUBMIT_TIME;
    let mut was_only_refused = true;
    while Instant::now() < deadline {
        match submit_once(harness, path, job).await {
            Ok(answer) if answer.status.as_u16() == 202 => {
                harness.record.borrow_mut().add_accepted_job(
                    &job.id,
                    job.min_version,
                    job.event_counts.clone(),
                    job.model == SCORED_MODEL,
                );
                return true;
            }
            Ok(answer) if answer.status.is_client_error() && !answer.is_refusal() => {
                let seen = format!("{}: {}", job.id, answer.status);
                harness
                    .record
                    .borrow_mut()
                    .add_violation("proper-jobs-allowed", seen);
                return false;
            }
            Ok(answer) => was_only_refused &= answer.is_refusal(),
            Err(error) => was_only_refused &= error == RequestError::NotConnected,
        }
        if is_single_attempt {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    if was_only_refused {
        record_refusal(harness, job);
    }
    false
}

async fn read_results(harness: &Harness, job: &TrainerJob) {
    let deadline = Instant::now() + READ_TIME;
    while Instant::now() < deadline {
        // Occasionally reads again from an earlier position.
        let read_count = harness.record.borrow().read_count(&job.id);
        let from = if rand::rng().random_bool(0.1) {
            rand::rng().random_range(0..=read_count)
        } else {
            read_count
        };
        read_from(harness, &job.id, from, READ_WAIT).await;
        if harness.record.borrow().read_count(&job.id) >= ITEM_COUNT {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads one page at a random host, and returns whether the host returned one.
pub async fn read_from(harness: &Harness, job: &str, from: usize, wait: Duration) -> bool {
    let host = harness.random_host();
    let account = accounts::job_account(job);
    let answer = harness
        .send_as(host.addresses.clients, account, [], async |client| {
            client.read(job, from, wait).await
        })
        .await;
    let Ok(answer) = answer else {
        return false;
    };
    let mut record = harness.record.borrow_mut();
    match (answer.status.as_u16(), ResultPage::parse(&answer.body)) {
        (200, Some(page)) => {
            if page.total_count != ITEM_COUNT || page.next != from + page.results.len() {
                let seen = format!("{job}: total {}, next {}", page.total_count, page.next);
                record.add_violation("true-positions", seen);
            }
            for (index, result) in page.results.into_iter().enumerate() {
                record.add_result(job, from + index, result);
            }
            true
        }
        (200, None) => {
            record.add_violation("readable", format!("{job}: {:?}", answer.body));
            false
        }
        (404 | 410, _) => {
            record.add_violation("accepted-never-lost", format!("{job} at {}", host.name));
            false
        }
        _ => {
            record.count("reads refused");
            false
        }
    }
}

/// Ends a job at random hosts, and returns whether one acknowledged it.
async fn end_job(harness: &Harness, job: &TrainerJob) -> bool {
    let deadline = Instant::now() + SUBMIT_TIME;
    while Instant::now() < deadline {
        let host = harness.random_host();
        let account = accounts::job_account(&job.id);
        let ended = harness
            .send_as(host.addresses.clients, account, [], async |client| {
                client.end(&job.id).await
            })
            .await;
        match ended {
            Ok(ReceivedAnswer { status, .. }) if status.is_success() => return true,
            Ok(ReceivedAnswer { status, .. }) if matches!(status.as_u16(), 404 | 410) => {
                let seen = format!("{} at its end, at {}", job.id, host.name);
                harness
                    .record
                    .borrow_mut()
                    .add_violation("accepted-never-lost", seen);
                return false;
            }
            _ => sleep(RETRY_DELAY).await,
        }
    }
    false
}
