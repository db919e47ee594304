//! The faults that a demo can inject.

use std::time::{Duration, Instant};

use strum::IntoEnumIterator as _;

use super::cluster::{Cluster, HOST_COUNT};
use crate::standin::table_service::LoseAnswers;

/// The time after which a killed host is restarted.
const HOST_DOWN_DURATION: Duration = Duration::from_millis(1_500);

/// The duration of a host's pause.
const HOST_PAUSE_DURATION: Duration = Duration::from_millis(3_000);

/// The timeout for a restarted host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between checks whether a restarted host is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time within which the balancer notices that a host is ready.
const BALANCER_DELAY: Duration = Duration::from_millis(200);

/// The time for which a steward is frozen, longer than its lease.
const STEWARD_FREEZE_DURATION: Duration = Duration::from_millis(3_000);

/// The duration of the table service's outage.
const STORE_DOWN_DURATION: Duration = Duration::from_millis(2_500);

/// The interval between the crashes of two engines.
const CRASH_INTERVAL: Duration = Duration::from_millis(400);

/// The time for which an engine runs the new weights during a failed swap.
const PARTIAL_SWAP_DURATION: Duration = Duration::from_millis(120);

/// The number of commits whose answer is lost.
const LOST_ANSWER_COUNT: u32 = 40;

/// A fault, named as in the `--fault` option.
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
    /// A host crashes mid-step and restarts without its state.
    HostKill,
    /// A host's control thread is paused and resumes later.
    HostPause,
    /// Engines crash and restart under the same names.
    EngineCrash,
    /// A swap of weights fails midway and is rolled back.
    SwapPartial,
    /// The table service is down.
    StoreDown,
    /// The table service applies writes, but their answers are lost.
    StoreLostAnswer,
    /// Open connections to upstreams stall, while new ones work.
    SilentConnections,
    /// All hosts are replaced one after the other, twice.
    RollingReplace,
    /// Lease holders are paused past the end of their leases.
    LeaseLapse,
    /// Two operators edit the same row concurrently, in rapid succession.
    TwoEditors,
}

impl Fault {
    /// Returns all faults.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }

    /// Returns a one-line description of the fault.
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

    /// Injects the fault and, if it has a fixed duration, ends it.
    pub async fn inject(self, cluster: &Cluster) {
        tracing::info!(fault = %self, "injecting a fault");
        match self {
            Self::HostKill => kill_host(cluster).await,
            Self::HostPause => pause_host(cluster).await,
            Self::EngineCrash => crash_engines(cluster).await,
            Self::SwapPartial => swap_partially(cluster).await,
            Self::StoreDown => {
                cluster.table.table().set_down(true);
                tokio::time::sleep(STORE_DOWN_DURATION).await;
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
                    steward.freeze(STEWARD_FREEZE_DURATION);
                    tokio::time::sleep(STEWARD_FREEZE_DURATION).await;
                }
            }
            Self::TwoEditors => cluster.enable_rapid_edits(),
            Self::RollingReplace => {
                for index in (0..HOST_COUNT).chain(0..HOST_COUNT) {
                    cluster.stop(index).await;
                    restart(cluster, index).await;
                    wait_ready(cluster, index).await;
                }
            }
        }
    }
}

async fn restart(cluster: &Cluster, index: usize) {
    if let Err(error) = cluster.restart(index).await {
        tracing::error!(%error, "restarting a host failed");
    }
}

/// Waits until the host is ready, as a rolling replacement does before it
/// replaces the next host.
async fn wait_ready(cluster: &Cluster, index: usize) {
    let started_at = Instant::now();
    while started_at.elapsed() < READY_TIMEOUT {
        let host = cluster.host(index);
        if host.is_some_and(|host| host.snapshot.load().ready) {
            break;
        }
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    tracing::info!(place = index, elapsed = ?started_at.elapsed(), "a host is ready");
    tokio::time::sleep(BALANCER_DELAY).await;
}

async fn kill_host(cluster: &Cluster) {
    cluster.kill(0).await;
    tokio::time::sleep(HOST_DOWN_DURATION).await;
    restart(cluster, 0).await;
}

async fn pause_host(cluster: &Cluster) {
    let Some(host) = cluster.host(1) else {
        return;
    };
    host.pause.set(true);
    tokio::time::sleep(HOST_PAUSE_DURATION).await;
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
        tokio::time::sleep(PARTIAL_SWAP_DURATION).await;
        engine.swap(before);
    }
}
