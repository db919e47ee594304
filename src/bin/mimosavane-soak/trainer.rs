//! Trainers: each submits a job a step, reads its groups at any host, and names
//! the next version.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use mimosavane::platform::standin::{
    Client, ReceivedAnswer, RequestError, ResultPage, TrainerJob, name_version,
};
use rand::Rng as _;
use tokio::time::sleep;

use crate::scene::{RECOVERY, Scene};

/// How many items a job has.
const ITEM_COUNT: usize = 24;

/// The longest item; engines make an event each 20 ms.
const MAX_EVENT_COUNT: u64 = 60;

/// The part of jobs that a trainer submits once only, so that a refusal is the last
/// word.
const SINGLE_TRY_RATIO: f64 = 0.2;

/// How long a trainer tries to submit the others.
const SUBMIT_TIME: Duration = Duration::from_secs(6);

/// How long it reads before it ends the job.
const READ_TIME: Duration = Duration::from_secs(9);

/// How long it asks that a read waits.
const READ_WAIT: Duration = Duration::from_millis(500);

/// The pause between two reads, and before another host is tried.
const PAUSE: Duration = Duration::from_millis(150);

/// How long a job of a quiet scene may take.
const QUIET_JOB_TIME: Duration = Duration::from_secs(8);

/// Trains `model` until the scene ends; its jobs go to `path`.
pub async fn train(scene: Rc<Scene>, model: &'static str, path: &'static str) {
    let mut step = 0;
    let mut version = 1;
    while !scene.is_over.get() {
        let job = job(model, step, version);
        let started = Instant::now();
        let was_quiet = scene.is_quiet_for(RECOVERY);
        if submit(&scene, path, &job).await {
            read(&scene, &job).await;
            let completed_count = scene.record.borrow().completed_count(&job.id);
            let is_quiet = was_quiet && scene.is_quiet_for(started.elapsed());
            if is_quiet && completed_count < ITEM_COUNT && started.elapsed() >= QUIET_JOB_TIME {
                let seen = format!("{}: {completed_count} of {ITEM_COUNT}", job.id);
                scene.record.borrow_mut().add_violation("recovers", seen);
            }
            end(&scene, &job).await;
        }
        step += 1;
        version += 1;
        name_version(&scene.store, model, version);
        sleep(PAUSE).await;
    }
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

/// Submits a job at one host after the other, and says whether one accepted it.
async fn submit(scene: &Scene, path: &str, job: &TrainerJob) -> bool {
    let is_single = rand::rng().random_bool(SINGLE_TRY_RATIO);
    let end = Instant::now() + SUBMIT_TIME;
    let mut was_only_refused = true;
    while Instant::now() < end {
        let host = scene.any_host();
        let answer = Client::send_once(host.addresses.clients, async |client| {
            client.submit(path, job).await
        })
        .await;
        match answer {
            Ok(answer) if answer.status.as_u16() == 202 => {
                scene.record.borrow_mut().add_accepted_job(
                    &job.id,
                    job.min_version,
                    job.event_counts.clone(),
                );
                return true;
            }
            Ok(answer) if answer.status.is_client_error() && !answer.is_refusal() => {
                let seen = format!("{}: {}", job.id, answer.status);
                scene
                    .record
                    .borrow_mut()
                    .add_violation("proper-jobs-allowed", seen);
                return false;
            }
            Ok(answer) => was_only_refused &= answer.is_refusal(),
            Err(error) => was_only_refused &= error == RequestError::NotConnected,
        }
        if is_single {
            break;
        }
        sleep(PAUSE).await;
    }
    if was_only_refused {
        let items = job.event_counts.keys().cloned();
        scene.record.borrow_mut().add_refused_job(items);
    }
    false
}

async fn read(scene: &Scene, job: &TrainerJob) {
    let end = Instant::now() + READ_TIME;
    while Instant::now() < end {
        // Now and then from an earlier position.
        let read_count = scene.record.borrow().read_count(&job.id);
        let from = if rand::rng().random_bool(0.1) {
            rand::rng().random_range(0..=read_count)
        } else {
            read_count
        };
        read_from(scene, &job.id, from, READ_WAIT).await;
        if scene.record.borrow().read_count(&job.id) >= ITEM_COUNT {
            return;
        }
        sleep(PAUSE).await;
    }
}

/// Reads one page at any host, and says whether there was one.
pub async fn read_from(scene: &Scene, job: &str, from: usize, wait: Duration) -> bool {
    let host = scene.any_host();
    let answer = Client::send_once(host.addresses.clients, async |client| {
        client.read(job, from, wait).await
    })
    .await;
    let Ok(answer) = answer else {
        return false;
    };
    let mut record = scene.record.borrow_mut();
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

async fn end(scene: &Scene, job: &TrainerJob) {
    let tries = Instant::now() + SUBMIT_TIME;
    while Instant::now() < tries {
        let host = scene.any_host();
        let ended = Client::send_once(host.addresses.clients, async |client| {
            client.end(&job.id).await
        })
        .await;
        match ended {
            Ok(ReceivedAnswer { status, .. }) if status.is_success() => return,
            Ok(ReceivedAnswer { status, .. }) if matches!(status.as_u16(), 404 | 410) => {
                let seen = format!("{} at its end, at {}", job.id, host.name);
                scene
                    .record
                    .borrow_mut()
                    .add_violation("accepted-never-lost", seen);
                return;
            }
            _ => sleep(PAUSE).await,
        }
    }
}
