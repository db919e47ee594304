//! Runs the whole service against stand-ins in one process, and checks its
//! promises.
//!
//! `mimosavane demo` runs it (see README.md).

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use tokio::task::JoinHandle;

use crate::{
    control::MODEL_POOL,
    observe::trace::Trace,
    standin::trainer::{self, Trainer},
    store::{RecordKey, TableService as _, Transaction},
};

pub use crate::standin::trainer::StopFlag;

pub mod caller;
pub mod cluster;
pub mod editor;
pub mod fault;
mod recording;
pub mod report;
pub mod steward;

use caller::Caller;
use cluster::{Cluster, ClusterError, ROWS, row_token};
use editor::Editors;
use fault::Fault;
use report::Report;

/// The number of groups per step.
const GROUP_COUNT: u32 = 8;

/// The number of samples per group.
const SAMPLES_PER_GROUP: u32 = 4;

/// The maximum number of tokens per sample.
const MAX_TOKENS: u32 = 256;

/// The time for which a trainer trains on a complete step.
const TRAIN_TIME: Duration = Duration::from_millis(300);

/// The number of callers of plain services.
const CALLER_COUNT: u64 = 4;

/// The time for the hosts to discover each other and to read the table, before
/// the load starts.
const WARM_UP: Duration = Duration::from_secs(2);

/// The maximum time for the last changes of the table to be in force.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The interval between new weight versions.
const WEIGHT_INTERVAL: Duration = Duration::from_millis(2_500);

/// The table of the weight versions that engines should run.
const DESIRED_TABLE: &str = "weights";

/// The delay between the swaps of two engines in a recorded trace.
const SWAP_INTERVAL: Duration = Duration::from_millis(30);

/// The options of a demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of all random choices.
    pub seed: u64,
    /// The duration of the load, not counting the time that faults take.
    pub duration: Duration,
    /// The faults to inject.
    pub faults: Vec<Fault>,
}

/// Runs a demo, and returns its report and a trace that can be replayed.
///
/// # Errors
///
/// Fails if a host, steward or stand-in cannot be started.
pub async fn run(options: &Options) -> Result<(Report, Trace), ClusterError> {
    let cluster = Cluster::start(options.seed).await?;
    tokio::time::sleep(WARM_UP).await;
    let stop = StopFlag::default();
    let version = Arc::new(AtomicU64::new(1));
    let trainers = start_trainers(&cluster, options, &version, &stop);
    let callers = start_callers(&cluster, options, &stop);
    let editors = Editors::new(&cluster, options.seed)?;
    let (edits, ..) = tokio::join!(
        editors.run(&cluster, &stop, SETTLE_TIME),
        publish_weights(&cluster, &version, &stop),
        print_progress(&cluster, &stop),
        inject_faults(&cluster, options, &stop),
    );
    let mut report = Report::new(options, edits);
    for (row, trainer) in trainers {
        if let Ok(tally) = trainer.await {
            report.trainers.insert(row, tally);
        }
    }
    for caller in callers {
        if let Ok(tally) = caller.await {
            report.add_caller(tally);
        }
    }
    for service in &cluster.services {
        report.add_runs(service.runs());
    }
    let trace = recording::build_trace(&cluster, options, &report).await;
    Ok((report, trace))
}

/// Injects the faults after a quarter of the load's duration, and ends the load
/// when the faults are over and the rest of its duration has passed.
async fn inject_faults(cluster: &Cluster, options: &Options, stop: &StopFlag) {
    let until_faults = options.duration / 4;
    tokio::time::sleep(until_faults).await;
    join_all(options.faults.iter().map(|fault| fault.inject(cluster))).await;
    tokio::time::sleep(options.duration - until_faults).await;
    stop.set();
}

fn start_trainers(
    cluster: &Cluster,
    options: &Options,
    version: &Arc<AtomicU64>,
    stop: &StopFlag,
) -> Vec<(String, JoinHandle<trainer::Tally>)> {
    ROWS.iter()
        .enumerate()
        .map(|(index, (row, _))| {
            let config = trainer::Config {
                row: (*row).into(),
                token: row_token(row),
                balancer: cluster.balancer.clone(),
                group_count: GROUP_COUNT,
                samples_per_group: SAMPLES_PER_GROUP,
                max_tokens: MAX_TOKENS,
                train_time: TRAIN_TIME,
                staleness_bound_versions: 2,
                seed: options.seed + index as u64,
            };
            let trainer = Trainer::new(config, version.clone());
            ((*row).to_owned(), tokio::spawn(trainer.run(stop.clone())))
        })
        .collect()
}

fn start_callers(
    cluster: &Cluster,
    options: &Options,
    stop: &StopFlag,
) -> Vec<JoinHandle<caller::Tally>> {
    (0..CALLER_COUNT)
        .map(|number| {
            let caller = Caller::new(cluster.balancer.clone(), number, options.seed);
            tokio::spawn(caller.run(stop.clone()))
        })
        .collect()
}

/// Publishes new weight versions, which the stewards order the engines to load.
async fn publish_weights(cluster: &Cluster, version: &AtomicU64, stop: &StopFlag) {
    while !stop.is_set() {
        tokio::time::sleep(WEIGHT_INTERVAL).await;
        let next = version.load(Ordering::Relaxed) + 1;
        let desired = serde_json::json!({ "version": next });
        let record = RecordKey::new(DESIRED_TABLE, MODEL_POOL);
        let transaction = Transaction::default().put(record, desired);
        match cluster.table.table().commit(transaction).await {
            Ok(_) => version.store(next, Ordering::Relaxed),
            Err(error) => tracing::debug!(%error, "new weights could not be published; retrying"),
        }
    }
}

async fn print_progress(cluster: &Cluster, stop: &StopFlag) {
    while !stop.is_set() {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let tokens = cluster
            .engines
            .iter()
            .map(|engine| engine.served_tokens())
            .sum::<u64>();
        eprintln!("{tokens} tokens generated");
    }
}
