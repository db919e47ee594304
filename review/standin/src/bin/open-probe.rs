//! A trainer ends one of its open jobs while an item of that job is the first to run
//! after a change of weights. The items of the other job must still run.

use std::{
    cell::Cell, collections::BTreeMap, net::SocketAddr, process::ExitCode, rc::Rc, time::Duration,
};

use anyhow::{Result, ensure};
use review_standin::{
    Network, has_trouble,
    hosts::Hosts,
    jobs::{self, Job},
    record::Record,
    run_case,
    upstream::{Arrivals, Server, Setup},
};
use serde_json::{Value, json};
use tokio::time::sleep;

const HOST_COUNT: u8 = 3;
const SLOT_COUNT: usize = 4;

/// How long after the item has reached the server the trainer ends its job. The first event
/// comes after 350 ms, within the objective of 400 ms.
const CANCEL_DELAY: Duration = Duration::from_millis(150);

/// How long after the change of weights has begun the job is submitted that will be ended, so
/// that its end comes soon after its acknowledgement.
const SUBMIT_DELAY: Duration = Duration::from_millis(650);

/// The longest time from the acknowledgement of a job to its end.
const MAX_CANCEL_TIME: Duration = Duration::from_millis(900);

/// The time that the clients give a job.
const STEP_TIME: Duration = Duration::from_millis(12_000);

/// How long an item must have been at no server.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// How long the result is watched further.
const WATCH_TIME: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    run_case(run)
}

async fn run(record: Rc<Record>) -> Result<bool> {
    let network = Network::choose();
    let (store, store_address) = network.store().await?;
    let configuration = jobs::configuration(&[jobs::route()], &[jobs::service(SLOT_COUNT)]);
    store.write("op", "config", &configuration);
    let arrivals = Arrivals::default();
    let setup = Setup {
        id: "i-0".to_owned(),
        number: 0,
        service: jobs::SERVICE,
        slot_count: SLOT_COUNT,
        software: "v1".to_owned(),
        models: BTreeMap::from([(jobs::MODEL.to_owned(), 1)]),
    };
    let engine = Server::start(network, setup, &store, &record, &arrivals).await?;
    let hosts = Hosts::start(network, HOST_COUNT, store_address, &record).await?;
    let addresses: Vec<SocketAddr> = hosts.all.iter().map(|host| host.clients).collect();
    sleep(Duration::from_secs(2)).await;
    let first = Job {
        id: "first".to_owned(),
        min_version: 1,
        item_count: 4,
        work: json!({"events": 8, "event_ms": 50, "first_ms": 350}),
    };
    ensure!(first.submit(&record, &addresses, 2).await, "not accepted");
    sleep(Duration::from_secs(3)).await;
    let first_count = count_results(&record, &first, &addresses).await?;
    ensure!(first_count == first.item_count, "the first job has failed");
    ensure!(first.end(&record, &addresses, 0).await, "not ended");
    let kept = Job {
        id: "kept".to_owned(),
        min_version: 1,
        item_count: 24,
        work: json!({"events": 8, "event_ms": 50, "first_ms": 350}),
    };
    // Its items are longer, so that they start first.
    let ended = Job {
        id: "ended".to_owned(),
        min_version: 1,
        item_count: 4,
        work: json!({"events": 60, "event_ms": 50, "first_ms": 350}),
    };
    ensure!(kept.submit(&record, &addresses, 0).await, "not accepted");
    let submitted_at = record.now();
    sleep(Duration::from_millis(100)).await;
    record.add("version", "version 2 is named");
    let body = json!({"model": jobs::MODEL, "version": 2});
    store.write("op", &format!("version/{}", jobs::MODEL), &body);
    while !engine.is_loading() {
        ensure!(record.now() < submitted_at + STEP_TIME, "no order comes");
        sleep(Duration::from_millis(10)).await;
    }
    sleep(SUBMIT_DELAY).await;
    ensure!(ended.submit(&record, &addresses, 1).await, "not accepted");
    let acknowledged_at = record.now();
    let is_ended = Rc::new(Cell::new(false));
    while record.now() < submitted_at + STEP_TIME {
        let has_arrived = arrivals
            .borrow()
            .iter()
            .any(|arrival| arrival.id.starts_with("ended-") && arrival.has_run.get());
        if has_trouble() && has_arrived && !is_ended.get() {
            is_ended.set(true);
            sleep(CANCEL_DELAY).await;
            record.add("trouble", "the trainer ends a job");
            let cancel_time = record.now() - acknowledged_at;
            ensure!(cancel_time <= MAX_CANCEL_TIME, "the job is ended too late");
            ensure!(ended.end(&record, &addresses, 2).await, "not ended");
        }
        sleep(Duration::from_millis(10)).await;
    }
    let listed_count = count_results(&record, &kept, &addresses).await?;
    let last_at = arrivals
        .borrow()
        .iter()
        .filter(|arrival| arrival.id.starts_with("kept-"))
        .map(|arrival| arrival.at)
        .max()
        .unwrap_or_default();
    let idle = record
        .now()
        .saturating_sub(last_at.max(engine.idle_since()));
    record.add(
        "result",
        format!(
            "{listed_count} of {} results; {:.1} s since an item of the job was at a server",
            kept.item_count,
            idle.as_secs_f64()
        ),
    );
    let is_kept = listed_count == kept.item_count || idle < IDLE_TIME;
    if !is_kept {
        record.add("broken", "the step has run out of time, and no item runs");
        sleep(WATCH_TIME).await;
        count_results(&record, &kept, &addresses).await?;
    }
    Ok(is_kept)
}

async fn count_results(record: &Record, job: &Job, addresses: &[SocketAddr]) -> Result<usize> {
    let answer = job
        .read(addresses[0], 0)
        .await
        .map_err(|failure| anyhow::anyhow!("reading: {failure}"))?;
    let page: Value = serde_json::from_str(&answer.text())?;
    let count = page["results"].as_array().map_or(0, Vec::len);
    record.add(
        "read",
        format!("{}: {} with {count} results", job.id, answer.status),
    );
    Ok(count)
}
