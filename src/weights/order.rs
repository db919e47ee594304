//! Decides the next order for each engine from the engine's own reports.
//!
//! An [`Engine`] is reconciled with its desired state: orders are repeated
//! until the engine reports that state, and a version below the reported one is
//! never ordered (see docs/design/weights.md).

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    engine::api,
    ids::{BootId, FenceNumber, WeightVersion},
};

/// How long a report counts as fresh.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// How long a load may take before it counts as stuck and is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// How long an accepted load may take to appear in a report.
const ACCEPT_GRACE: Duration = Duration::from_secs(1);

/// The backoff after the first failed order.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The upper bound of the backoff after failed orders.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The number of doublings after which the backoff no longer grows.
const MAX_DOUBLING_COUNT: u32 = 6;

/// The state of an engine's weights, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SwapState {
    /// The engine runs one version.
    Idle,
    /// The engine is loading another version.
    Loading,
    /// A load failed halfway, and what the engine runs is uncertain.
    Failed,
}

/// A report of an engine on its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Identifies the start of its process.
    pub boot: BootId,
    /// The version of the weights that it runs.
    pub version: WeightVersion,
    /// The state of its last load.
    pub swap: SwapState,
}

impl From<&api::Report> for Report {
    fn from(report: &api::Report) -> Self {
        Self {
            boot: report.boot_id,
            version: report.weight_version,
            // An unknown state is treated as a failed load.
            swap: report.swap_state.parse().unwrap_or(SwapState::Failed),
        }
    }
}

/// The state that the engines of one pool should reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DesiredState {
    /// The version of the base weights.
    pub version: WeightVersion,
    /// The adapters by name, with their versions.
    pub adapters: BTreeMap<String, u64>,
    /// The role; empty if it is to stay as it is.
    pub role: String,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Order {
    /// Load base weights.
    LoadWeights {
        /// Their version.
        version: WeightVersion,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Its name.
        adapter: String,
        /// Its version.
        version: u64,
    },
    /// Change the role.
    SetRole {
        /// The new role.
        role: String,
    },
}

/// What an order changes; of the orders on one subject, the last accepted one
/// is in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Weights,
    Adapter(String),
    Role,
}

impl Order {
    fn subject(&self) -> Subject {
        match self {
            Self::LoadWeights { .. } => Subject::Weights,
            Self::LoadAdapter { adapter, .. } => Subject::Adapter(adapter.clone()),
            Self::SetRole { .. } => Subject::Role,
        }
    }

    /// Returns the message that carries the order to an engine, under a fencing
    /// number.
    pub fn to_message(&self, fence: FenceNumber) -> api::Order {
        let kind: &'static str = self.into();
        let mut message = api::Order {
            fence,
            kind: kind.to_owned(),
            ..api::Order::default()
        };
        match self {
            Self::LoadWeights { version } => message.version = *version,
            Self::LoadAdapter { adapter, version } => {
                message.adapter.clone_from(adapter);
                message.version = *version;
            }
            Self::SetRole { role } => message.role.clone_from(role),
        }
        message
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted it.
    Accepted,
    /// The engine has seen a higher fencing number.
    Stale,
    /// It was not sent, for instance because too little time was left on the
    /// lease.
    NotSent,
    /// The engine refused it or did not answer; it may still take effect.
    Failed,
}

/// What an engine needs next, the most urgent first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// The engine cannot serve as it is, so a load costs no capacity.
    Repair(Order),
    /// The engine serves, and cannot serve while it loads.
    Load(Order),
    /// The engine keeps serving while the order takes effect.
    InPlace(Order),
}

#[derive(Clone, Copy, Debug)]
struct Loading {
    version: WeightVersion,
    started_at: Timestamp,
}

/// The view that the lease holder has of one engine; soft state, rebuilt from
/// reports.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::weights::order::{DesiredState, Engine, Need, Order, Report, SwapState};
///
/// let mut engine = Engine::default();
/// let report = Report { boot: 1, version: 3, swap: SwapState::Idle };
/// engine.record_report(report, Duration::ZERO);
/// let desired = DesiredState { version: 4, ..DesiredState::default() };
/// let order = Order::LoadWeights { version: 4 };
/// assert_eq!(engine.need(&desired, Duration::ZERO), Some(Need::Load(order)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Engine {
    report: Option<(Report, Timestamp)>,
    loading: Option<Loading>,
    accepted: BTreeMap<Subject, Order>,
    is_sending: bool,
    /// Whether a load took so long that it is to be ordered again.
    is_stuck: bool,
    failure_count: u32,
    backoff_until: Timestamp,
}

impl Engine {
    /// Records a report that arrived at `now`.
    pub fn record_report(&mut self, report: Report, now: Timestamp) {
        let has_restarted = self
            .report
            .is_some_and(|(before, _)| before.boot != report.boot);
        if has_restarted {
            // Orders to an earlier process have no effect on a new one.
            self.accepted.clear();
            self.loading = None;
            self.is_stuck = false;
            // Nor do the failures of an earlier process say anything of a new one.
            self.failure_count = 0;
            self.backoff_until = Duration::ZERO;
        }
        match self.loading {
            Some(loading) if has_load_ended(loading, report, now) => {
                self.finish_load(loading, report, now);
            }
            // The load was ordered by an earlier holder of the lease.
            None if report.swap == SwapState::Loading && !self.is_stuck => {
                self.loading = Some(Loading {
                    version: report.version,
                    started_at: now,
                });
            }
            _ => {}
        }
        self.report = Some((report, now));
    }

    /// Ends a load that `report` shows to have succeeded or failed.
    fn finish_load(&mut self, loading: Loading, report: Report, now: Timestamp) {
        self.loading = None;
        if report.swap == SwapState::Idle && report.version >= loading.version {
            self.failure_count = 0;
            return;
        }
        self.is_stuck = report.swap == SwapState::Loading;
        self.back_off(now);
    }

    /// Records that `order` is about to be sent.
    pub fn begin_order(&mut self, order: &Order, now: Timestamp) {
        self.is_sending = true;
        // Until the engine answers, either the last accepted order or this one
        // may be in force.
        self.accepted.remove(&order.subject());
        if let Order::LoadWeights { version } = order {
            self.is_stuck = false;
            self.loading = Some(Loading {
                version: *version,
                started_at: now,
            });
        }
    }

    /// Records how `order` ended.
    pub fn finish_order(&mut self, order: Order, outcome: OrderOutcome, now: Timestamp) {
        self.is_sending = false;
        match outcome {
            OrderOutcome::Accepted => {
                // Whether a load succeeds is seen in a later report; other orders
                // take effect when they are accepted.
                if order.subject() != Subject::Weights {
                    self.failure_count = 0;
                }
                self.accepted.insert(order.subject(), order);
            }
            OrderOutcome::Stale | OrderOutcome::NotSent => self.loading = None,
            // A load that may still take effect stays recorded until a report
            // shows its result.
            OrderOutcome::Failed => self.back_off(now),
        }
    }

    /// Returns whether the engine is known to serve: its last report is fresh
    /// and no load is under way.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        self.loading.is_none()
            && self
                .fresh_report(now)
                .is_some_and(|report| report.swap == SwapState::Idle)
    }

    /// Returns the version that the engine last reported.
    pub fn version(&self) -> Option<WeightVersion> {
        self.report.map(|(report, _)| report.version)
    }

    /// Returns what the engine needs at `now` to reach the desired state.
    pub fn need(&self, desired: &DesiredState, now: Timestamp) -> Option<Need> {
        if self.is_sending || self.loading.is_some() || now < self.backoff_until {
            return None;
        }
        let report = self.fresh_report(now)?;
        let version = desired.version.max(report.version);
        let load = Order::LoadWeights { version };
        match report.swap {
            SwapState::Loading if !self.is_stuck => None,
            SwapState::Loading | SwapState::Failed => Some(Need::Repair(load)),
            SwapState::Idle if version > report.version => Some(Need::Load(load)),
            SwapState::Idle => self.in_place_need(desired),
        }
    }

    fn in_place_need(&self, desired: &DesiredState) -> Option<Need> {
        let adapters = desired
            .adapters
            .iter()
            .map(|(adapter, version)| Order::LoadAdapter {
                adapter: adapter.clone(),
                version: *version,
            });
        let role = (!desired.role.is_empty()).then(|| Order::SetRole {
            role: desired.role.clone(),
        });
        adapters
            .chain(role)
            .find(|order| self.accepted.get(&order.subject()) != Some(order))
            .map(Need::InPlace)
    }

    fn fresh_report(&self, now: Timestamp) -> Option<Report> {
        self.report
            .filter(|(_, at)| now.saturating_sub(*at) < MAX_REPORT_AGE)
            .map(|(report, _)| report)
    }

    fn back_off(&mut self, now: Timestamp) {
        let doubling_count = self.failure_count.min(MAX_DOUBLING_COUNT);
        self.failure_count += 1;
        let backoff = MIN_BACKOFF * 2_u32.pow(doubling_count);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }
}

/// Returns whether `report` shows that a load has succeeded, failed or timed
/// out.
fn has_load_ended(loading: Loading, report: Report, now: Timestamp) -> bool {
    let age = now.saturating_sub(loading.started_at);
    match report.swap {
        SwapState::Idle if report.version >= loading.version => true,
        // The engine may not have started the load yet.
        SwapState::Idle | SwapState::Failed => age >= ACCEPT_GRACE,
        SwapState::Loading => age >= LOAD_TIMEOUT,
    }
}
