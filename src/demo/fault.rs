//! The faults that a demo can cause.

use std::time::{Duration, Instant};

use strum::IntoEnumIterator as _;

use super::cluster::{Cluster, HOST_COUNT};
use crate::standin::table_service::LoseAnswers;

/// How long a killed host stays away.
const KILLED_TIME: Duration = Duration::from_millis(1_500);

/// How long a paused host stands still.
const PAUSED_TIME: Duration = Duration::from_millis(3_000);

/// The longest that a fresh host is waited for.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The time between two looks at a fresh host.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// How long the balancer takes to see that a host is ready.
const BALANCER_TIME: Duration = Duration::from_millis(200);

/// How long a steward stands still, past the end of its lease.
const FROZEN_TIME: Duration = Duration::from_millis(3_000);

/// How long the table service is down.
const DOWN_TIME: Duration = Duration::from_millis(2_500);

/// The time between two crashes of engines.
const CRASH_INTERVAL: Duration = Duration::from_millis(400);

/// How long a failed swap shows the new weights.
const PARTIAL_SWAP_TIME: Duration = Duration::from_millis(120);

/// Commits whose answer is lost.
const LOST_ANSWER_COUNT: u32 = 40;

/// A fault, by the name that `--fault` takes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::EnumMessage,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// A host dies in the middle of its steps and comes back with nothing.
    HostKill,
    /// A host's control thread stands still and wakes up later.
    HostPause,
    /// Engines crash and come back under their names.
    EngineCrash,
    /// A swap of weights fails partway and falls back.
    SwapPartial,
    /// The table service is down.
    StoreDown,
    /// The table service applies writes, and their answers are lost.
    StoreLostAnswer,
    /// Open connections to upstreams go silent, while new ones work.
    SilentConnections,
    /// All hosts are replaced one after the other, twice.
    RollingReplace,
    /// Lease holders are paused past the end of their leases.
    LeaseLapse,
    /// More operators edit the same row at the same time.
    TwoEditors,
}

impl Fault {
    /// Lists all faults.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }

    /// Says in one line what the fault does.
    pub const fn describe(self) -> &'static str {
        match self {
            Self::HostKill => "a host dies mid-step and comes back with nothing",
            Self::HostPause => "a host's control thread stands still and wakes up later",
            Self::EngineCrash => "engines crash and come back under their names",
            Self::SwapPartial => "a swap of weights fails partway and falls back",
            Self::StoreDown => "the table service is down for a while",
            Self::StoreLostAnswer => "the table service applies writes and their answers are lost",
            Self::SilentConnections => "open connections to upstreams go silent, new ones work",
            Self::LeaseLapse => "the holder of the engines' lease stops renewing and comes back",
            Self::TwoEditors => "two operators edit one row at the same moment, again and again",
            Self::RollingReplace => "all hosts are replaced one after the other, twice",
        }
    }

    /// Causes the fault, and ends it.
    pub async fn cause(self, cluster: &Cluster) {
        tracing::info!(fault = %self, "causing a fault");
        match self {
            Self::HostKill => kill_host(cluster).await,
            Self::HostPause => pause_host(cluster).await,
            Self::EngineCrash => crash_engines(cluster).await,
            Self::SwapPartial => swap_partially(cluster).await,
            Self::StoreDown => {
                cluster.table.table().set_down(true);
                tokio::time::sleep(DOWN_TIME).await;
                cluster.table.table().set_down(false);
            }
            Self::StoreLostAnswer => {
                let lost = LoseAnswers::Next(LOST_ANSWER_COUNT);
                cluster.table.table().lose_answers(lost);
            }
            Self::SilentConnections => {
                for engine in &cluster.engines {
                    engine.silence_connections();
                }
                for service in &cluster.services {
                    service.silence_connections();
                }
            }
            Self::LeaseLapse => {
                for steward in &cluster.stewards {
                    steward.freeze(FROZEN_TIME);
                    tokio::time::sleep(FROZEN_TIME).await;
                }
            }
            Self::TwoEditors => cluster.hasten_edits(),
            Self::RollingReplace => {
                for place in (0..HOST_COUNT).chain(0..HOST_COUNT) {
                    cluster.stop(place).await;
                    restart(cluster, place).await;
                    wait_ready(cluster, place).await;
                }
            }
        }
    }
}

async fn restart(cluster: &Cluster, place: usize) {
    if let Err(error) = cluster.restart(place).await {
        tracing::error!(%error, "a host did not come back");
    }
}

/// Waits until the host takes requests, as whoever replaces hosts does before
/// the next one.
async fn wait_ready(cluster: &Cluster, place: usize) {
    let started_at = Instant::now();
    while started_at.elapsed() < READY_TIMEOUT {
        let host = cluster.host(place);
        if host.is_some_and(|host| host.snapshot.load().ready) {
            break;
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
    tracing::info!(place, elapsed = ?started_at.elapsed(), "a host is ready");
    tokio::time::sleep(BALANCER_TIME).await;
}

async fn kill_host(cluster: &Cluster) {
    cluster.kill(0).await;
    tokio::time::sleep(KILLED_TIME).await;
    restart(cluster, 0).await;
}

async fn pause_host(cluster: &Cluster) {
    let Some(host) = cluster.host(1) else {
        return;
    };
    host.pause.set(true);
    tokio::time::sleep(PAUSED_TIME).await;
    host.pause.set(false);
}

async fn crash_engines(cluster: &Cluster) {
    for engine in &cluster.engines {
        engine.crash();
        tokio::time::sleep(CRASH_INTERVAL).await;
    }
}

async fn swap_partially(cluster: &Cluster) {
    for engine in &cluster.engines {
        let before = engine.weight_version();
        engine.swap(before + 1);
        tokio::time::sleep(PARTIAL_SWAP_TIME).await;
        engine.swap(before);
    }
}
