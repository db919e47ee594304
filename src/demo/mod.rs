//! The whole path in one process, on stand-ins, held to its promises.
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

pub use crate::standin::trainer::Stop;

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

/// Groups a step.
const GROUP_COUNT: u32 = 8;

/// Samples a group.
const SAMPLES_PER_GROUP: u32 = 4;

/// The most tokens of one sample.
const MAX_TOKENS: u32 = 256;

/// How long a trainer trains on a whole step.
const TRAIN_TIME: Duration = Duration::from_millis(300);

/// Callers of plain services.
const CALLER_COUNT: u64 = 4;

/// How long the hosts may take until they know each other and the table.
const WARM_UP: Duration = Duration::from_secs(2);

/// How long the last changes of the table may take to be in force.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The time between two versions of the weights.
const WEIGHT_INTERVAL: Duration = Duration::from_millis(2_500);

/// The table of what engines shall run.
const WANTED_TABLE: &str = "weights";

/// The time between the swaps of two engines, as a recording states it.
const SWAP_INTERVAL: Duration = Duration::from_millis(30);

/// What a demo shall do.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds every choice.
    pub seed: u64,
    /// How long the load runs, beside the time that faults take.
    pub duration: Duration,
    /// What shall go wrong.
    pub faults: Vec<Fault>,
}

/// Runs a demo, and returns what it saw with a trace that replay accepts.
///
/// # Errors
///
/// Fails where a part cannot be started.
pub async fn run(options: &Options) -> Result<(Report, Trace), ClusterError> {
    let cluster = Cluster::start(options.seed).await?;
    tokio::time::sleep(WARM_UP).await;
    let stop = Stop::default();
    let version = Arc::new(AtomicU64::new(1));
    let trainers = start_trainers(&cluster, options, &version, &stop);
    let callers = start_callers(&cluster, options, &stop);
    let editors = Editors::new(&cluster, options.seed)?;
    let (edits, ..) = tokio::join!(
        editors.run(&cluster, &stop, SETTLE_TIME),
        publish_weights(&cluster, &version, &stop),
        show_progress(&cluster, &stop),
        cause_faults(&cluster, options, &stop),
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
    let recording = recording::write(&cluster, options, &report).await;
    Ok((report, recording))
}

/// Causes the faults in the middle of the load, then ends the load.
async fn cause_faults(cluster: &Cluster, options: &Options, stop: &Stop) {
    let part = options.duration / 4;
    tokio::time::sleep(part).await;
    join_all(options.faults.iter().map(|fault| fault.cause(cluster))).await;
    tokio::time::sleep(options.duration - part).await;
    stop.set();
}

fn start_trainers(
    cluster: &Cluster,
    options: &Options,
    version: &Arc<AtomicU64>,
    stop: &Stop,
) -> Vec<(String, JoinHandle<trainer::Tally>)> {
    ROWS.iter()
        .enumerate()
        .map(|(place, (row, _))| {
            let config = trainer::Config {
                row: (*row).into(),
                token: row_token(row),
                balancer: cluster.balancer.clone(),
                group_count: GROUP_COUNT,
                samples_per_group: SAMPLES_PER_GROUP,
                max_tokens: MAX_TOKENS,
                train_time: TRAIN_TIME,
                staleness_bound_versions: 2,
                seed: options.seed + place as u64,
            };
            let trainer = Trainer::new(config, version.clone());
            ((*row).to_owned(), tokio::spawn(trainer.run(stop.clone())))
        })
        .collect()
}

fn start_callers(
    cluster: &Cluster,
    options: &Options,
    stop: &Stop,
) -> Vec<JoinHandle<caller::Tally>> {
    (0..CALLER_COUNT)
        .map(|number| {
            let caller = Caller::new(cluster.balancer.clone(), number, options.seed);
            tokio::spawn(caller.run(stop.clone()))
        })
        .collect()
}

/// Brings out new weights, which the stewards have the engines load.
async fn publish_weights(cluster: &Cluster, version: &AtomicU64, stop: &Stop) {
    while !stop.is_set() {
        tokio::time::sleep(WEIGHT_INTERVAL).await;
        let next = version.load(Ordering::Relaxed) + 1;
        let wanted = serde_json::json!({ "version": next });
        let record = RecordKey::new(WANTED_TABLE, MODEL_POOL);
        let transaction = Transaction::default().put(record, wanted);
        match cluster.table.table().commit(transaction).await {
            Ok(_) => version.store(next, Ordering::Relaxed),
            Err(error) => tracing::debug!(%error, "new weights are not out yet"),
        }
    }
}

async fn show_progress(cluster: &Cluster, stop: &Stop) {
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
