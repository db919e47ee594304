//! Jobs that clients end soon after their acknowledgement, while the store is slow for some
//! seconds. Items of an ended job must not reach servers later than 3 s after its end was
//! acknowledged.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, ops::Range, process::ExitCode, rc::Rc,
    time::Duration,
};

use anyhow::{Result, ensure};
use mimosavane::platform::standin::StoreFault;
use review_standin::{
    Network, has_trouble,
    hosts::Hosts,
    jobs::{self, Job},
    record::Record,
    run_case,
    upstream::{Arrivals, Server, Setup},
};
use serde_json::json;
use tokio::{task::spawn_local, time::sleep};

const HOST_COUNT: u8 = 3;
const ENGINE_COUNT: u8 = 3;
const SLOT_COUNT: usize = 4;
const ITEM_COUNT: usize = 72;
const SMALL_ITEM_COUNT: usize = 4;

/// How often the store turns slow.
const ROUND_COUNT: usize = 8;

/// How often several trainers submit their jobs at about the same time while it is slow.
const BURST_COUNT: usize = 3;

/// How many jobs they submit each time.
const JOB_COUNT: usize = 5;

/// How many of them clients end soon after the acknowledgement: two fifths. The others have few
/// items and are ended once their results are due.
const CANCELLED_COUNT: usize = 2;

/// How long the store is slow.
const SLOW_TIME: Duration = Duration::from_millis(4_400);

/// When the first burst begins, and the time between two of them.
const FIRST_BURST_MS: usize = 300;
const BURST_INTERVAL_MS: usize = 1_300;

/// The time within which the jobs of a burst are submitted.
const SUBMIT_TIME_MS: usize = 300;

/// When the results of a job are due.
const DUE_TIME: Duration = Duration::from_millis(7_500);

/// How long after the acknowledgement clients end their jobs.
const CANCEL_TIMES_MS: Range<u64> = 300..700;

/// `cancel_ms`.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);

/// `stable_ms`: how long after the store was slow hosts count as in touch.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

/// How long each round is watched after that.
const WATCH_TIME: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    run_case(run)
}

async fn run(record: Rc<Record>) -> Result<bool> {
    let network = Network::choose();
    let (store, store_address) = network.store().await?;
    let configuration = jobs::configuration(&[jobs::route()], &[jobs::service(SLOT_COUNT)]);
    store.write("op", "config", &configuration);
    let arrivals = Arrivals::default();
    let mut engines = Vec::new();
    for number in 0..ENGINE_COUNT {
        let setup = Setup {
            id: format!("i-{number}"),
            number,
            service: jobs::SERVICE,
            slot_count: SLOT_COUNT,
            software: "v1".to_owned(),
            models: BTreeMap::from([(jobs::MODEL.to_owned(), 1)]),
        };
        engines.push(Server::start(network, setup, &store, &record, &arrivals).await?);
    }
    let hosts = Hosts::start(network, HOST_COUNT, store_address, &record).await?;
    let addresses: Vec<SocketAddr> = hosts.all.iter().map(|host| host.clients).collect();
    sleep(Duration::from_secs(2)).await;
    // When the end of each job was acknowledged.
    let ended: Rc<RefCell<BTreeMap<String, Duration>>> = Rc::default();
    let mut is_kept = true;
    let mut job_count = 0;
    for round in 0..ROUND_COUNT {
        if has_trouble() {
            record.add("trouble", "the store is slow");
            store.set_fault(StoreFault::Slow);
        }
        for number in 0..BURST_COUNT * JOB_COUNT {
            let is_cancelled = number % JOB_COUNT < CANCELLED_COUNT;
            let job = Job {
                id: format!("job{round}x{number}"),
                min_version: 1,
                item_count: match is_cancelled {
                    true => ITEM_COUNT,
                    false => SMALL_ITEM_COUNT,
                },
                work: json!({"events": 40, "event_ms": 50, "first_ms": 50}),
            };
            let (record, addresses) = (record.clone(), addresses.clone());
            let ended = ended.clone();
            spawn_local(async move {
                let burst_ms = FIRST_BURST_MS + number / JOB_COUNT * BURST_INTERVAL_MS;
                let submit_ms = burst_ms + rand::random_range(0..SUBMIT_TIME_MS);
                sleep(Duration::from_millis(submit_ms as u64)).await;
                if job.submit(&record, &addresses, number).await {
                    sleep(match is_cancelled {
                        true => Duration::from_millis(rand::random_range(CANCEL_TIMES_MS)),
                        false => DUE_TIME,
                    })
                    .await;
                    if job.end(&record, &addresses, number + 1).await {
                        ended.borrow_mut().insert(job.id.clone(), record.now());
                    }
                }
            });
        }
        sleep(SLOW_TIME).await;
        store.set_fault(StoreFault::None);
        record.add("trouble", "the store is as usual");
        let in_touch_at = record.now() + STABLE_TIME;
        sleep(STABLE_TIME + WATCH_TIME).await;
        job_count += BURST_COUNT * JOB_COUNT;
        for arrival in arrivals.borrow().iter() {
            let Some(job) = arrival.id.split('-').next() else {
                continue;
            };
            let Some(ended_at) = ended.borrow().get(job).copied() else {
                continue;
            };
            let is_late = arrival.at > ended_at + CANCEL_BOUND && arrival.at > in_touch_at;
            if is_late && arrival.has_run.get() {
                is_kept = false;
                record.add(
                    "broken",
                    format!(
                        "{} ran at {} at {:.3}, {:.3} s after the end of {job} was acknowledged",
                        arrival.id,
                        arrival.server,
                        arrival.at.as_secs_f64(),
                        (arrival.at - ended_at).as_secs_f64()
                    ),
                );
            }
        }
        if !is_kept {
            break;
        }
    }
    let ended_count = ended.borrow().len();
    record.add("result", format!("{job_count} jobs, {ended_count} ended"));
    ensure!(ended_count > 0, "no job was accepted and ended");
    Ok(is_kept)
}
