//! Whole hosts are paused at any of their awaits, for up to ten seconds, while one of them
//! leads, jobs run and weights are ordered: every promise holds.

mod fleet_support;
mod pause_support;

use std::{cell::Cell, collections::BTreeMap, thread, time::Duration};

use bolero::check;
use fleet_support::{Fleet, run};
use mimosavane::platform::standin::{Client, MODELS, ResultPage, TrainerJob, name_version};
use pause_support::PlayDeadline;
use tokio::time::{Instant, sleep};

const HOST_COUNT: usize = 3;

/// The model of all jobs, whose items ask for no score, and its path.
const MODEL: (&str, &str) = MODELS[1];

const ENGINE_COUNT: usize = 2;

const ITEM_COUNT: usize = 6;

/// How long jobs are submitted. A host is polled some hundred times a second.
const LOAD_TIME: Duration = Duration::from_secs(7);

/// How long after that, and after the longest pause, all jobs must be whole.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

const JOB_INTERVAL: Duration = Duration::from_millis(700);

/// How long a trainer waits for a host before it asks the next.
const PATIENCE: Duration = Duration::from_millis(900);

/// A host, the poll before which it is paused, and the time in units of 40 ms.
type HostPause = (u8, u16, u8);

/// The pauses of one fleet.
type Schedule = [HostPause; 4];

const MAX_POLL: usize = 2_000;

const PAUSE_UNIT: Duration = Duration::from_millis(40);

fn pauses_of_hosts(schedule: Schedule) -> Vec<BTreeMap<usize, Duration>> {
    let mut pauses = vec![BTreeMap::new(); HOST_COUNT];
    for (host, poll, time) in schedule {
        let pause = PAUSE_UNIT * u32::from(time);
        pauses[usize::from(host) % HOST_COUNT].insert(usize::from(poll) % MAX_POLL, pause);
    }
    pauses
}

/// Each job needs a version of its own, so that engines are ordered to load all the time.
fn version_of(number: u64) -> u64 {
    number + 1
}

fn job(number: u64) -> TrainerJob {
    let (model, _) = MODEL;
    let id = format!("job-{number}");
    TrainerJob {
        model: model.to_owned(),
        step: number,
        min_version: version_of(number),
        event_counts: (0..ITEM_COUNT)
            .map(|index| (format!("{id}-{index}"), 1 + 10 * index as u64))
            .collect(),
        id,
    }
}

/// Submits `job` at the hosts in turn until one accepts it.
async fn submit(fleet: &Fleet, job: &TrainerJob) {
    let (_, path) = MODEL;
    let deadline = PlayDeadline::after(RECOVERY_TIME);
    for host in fleet.hosts.iter().cycle() {
        let sent = Client::send_once(host.clients, async |client| client.submit(path, job).await);
        let answer = tokio::time::timeout(PATIENCE, sent).await;
        if answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status.is_success())) {
            break;
        }
        assert!(!deadline.has_passed(), "{} is not accepted", job.id);
        sleep(Duration::from_millis(50)).await;
    }
    fleet.record.borrow_mut().add_accepted_job(
        &job.id,
        job.min_version,
        job.event_counts.clone(),
        false,
    );
}

/// Reads the results of `job` at the hosts in turn until it is whole.
async fn read(fleet: &Fleet, job: &TrainerJob, deadline: &PlayDeadline) {
    for host in fleet.hosts.iter().cycle() {
        let from = fleet.record.borrow().read_count(&job.id);
        if from == ITEM_COUNT {
            return;
        }
        assert!(!deadline.has_passed(), "{}: {from} of {ITEM_COUNT}", job.id);
        let read = Client::send_once(host.clients, async |client| {
            client.read(&job.id, from, Duration::from_millis(300)).await
        });
        let answer = tokio::time::timeout(PATIENCE, read).await;
        if let Ok(Ok(answer)) = answer
            && answer.status.is_success()
            && let Some(page) = ResultPage::parse(&answer.body)
        {
            for (index, result) in page.results.into_iter().enumerate() {
                let mut record = fleet.record.borrow_mut();
                record.add_result(&job.id, from + index, result);
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Plays a fleet with these pauses, and returns how many orders engines got.
fn play(schedule: Schedule) -> u64 {
    let order_count = Cell::new(0);
    run(async {
        let pauses = pauses_of_hosts(schedule);
        let max_pause: Duration = pauses.iter().flat_map(BTreeMap::values).sum();
        let fleet = Fleet::start_paused(pauses, 0, ENGINE_COUNT).await;
        let load_ends_at = Instant::now() + LOAD_TIME;
        let (model, _) = MODEL;
        let mut jobs = Vec::new();
        while Instant::now() < load_ends_at {
            let number = jobs.len() as u64;
            name_version(&fleet.store, model, version_of(number));
            let job = job(number);
            submit(&fleet, &job).await;
            jobs.push(job);
            sleep(JOB_INTERVAL).await;
        }
        let deadline = PlayDeadline::after(max_pause + RECOVERY_TIME);
        for job in &jobs {
            read(&fleet, job, &deadline).await;
        }
        order_count.set(fleet.count("orders"));
        let violations = std::mem::take(&mut *fleet.record.borrow_mut()).close();
        assert!(violations.is_empty(), "{schedule:?}: {violations:?}");
    });
    order_count.get()
}

/// Guards against a fleet whose host is paused before it is ready counting as failed.
#[test]
fn paused_before_ready() {
    let longest = u8::MAX;
    play([(0, 0, longest), (1, 0, 0), (2, 0, 0), (2, 0, 0)]);
}

/// Eight fleets at a time, each with pauses of its own.
#[test]
fn paused_at_any_await() {
    check!()
        .with_type::<[Schedule; 8]>()
        .with_iterations(1)
        // One play takes half a minute.
        .with_shrink_time(Duration::ZERO)
        .for_each(|schedules| {
            let order_count: u64 = thread::scope(|scope| {
                let plays = schedules.map(|schedule| scope.spawn(move || play(schedule)));
                plays.map(|play| play.join().unwrap()).iter().sum()
            });
            // A fleet whose leader is paused for long may get by without one.
            assert!(order_count > 0, "no order was sent");
        });
}
