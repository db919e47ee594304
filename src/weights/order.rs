//! What each engine is to be ordered next, from its own reports.
//!
//! An [`Engine`] converges: what is wanted is ordered until the engine reports
//! it, and never a version below what it reports (see docs/design/weights.md).

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    engine::api,
    ids::{BootId, FenceNumber, WeightVersion},
};

/// How long a report is believed.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// How long a load may take before it is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// How long an accepted load may take to show in a report.
const ACCEPT_GRACE: Duration = Duration::from_secs(1);

/// The first pause after an order failed.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause after orders failed.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Doublings after which the pause grows no more.
const MAX_DOUBLING_COUNT: u32 = 6;

/// What an engine says of its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Swap {
    /// It runs one version.
    Idle,
    /// It loads another.
    Loading,
    /// It failed halfway, and what it runs is uncertain.
    Failed,
}

/// What an engine reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The start of its process.
    pub boot: BootId,
    /// The weights that it runs.
    pub version: WeightVersion,
    /// How its last load went.
    pub swap: Swap,
}

impl From<&api::Report> for Report {
    fn from(report: &api::Report) -> Self {
        Self {
            boot: report.boot_id,
            version: report.weight_version,
            // A state that is not known is not trusted.
            swap: report.swap_state.parse().unwrap_or(Swap::Failed),
        }
    }
}

/// What the engines of one pool shall run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Wanted {
    /// The base weights.
    pub version: WeightVersion,
    /// The adapters by name, with their versions.
    pub adapters: BTreeMap<String, u64>,
    /// The role, empty where it is left as it is.
    pub role: String,
}

/// One order.
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

/// What an order changes, of which the last one accepted counts.
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

    /// Writes the order as engines read it, under a fencing number.
    pub fn message(&self, fence: FenceNumber) -> api::Order {
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
pub enum End {
    /// The engine accepted it.
    Accepted,
    /// The engine saw a higher fencing number.
    Stale,
    /// It was not sent, because the lease had too little time left.
    NotSent,
    /// The engine refused it or did not answer; it may take effect all the same.
    Failed,
}

/// What an engine needs, the more urgent first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// It serves nothing as it is, so that a load costs no capacity.
    Repair(Order),
    /// It serves, and a load takes it out for a while.
    Load(Order),
    /// It serves on while the order takes effect.
    Light(Order),
}

#[derive(Clone, Copy, Debug)]
struct Loading {
    version: WeightVersion,
    since: Timestamp,
}

/// One engine as the holder of its lease sees it; soft state.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::weights::order::{Engine, Need, Order, Report, Swap, Wanted};
///
/// let mut engine = Engine::default();
/// let report = Report { boot: 1, version: 3, swap: Swap::Idle };
/// engine.reported(report, Duration::ZERO);
/// let wanted = Wanted { version: 4, ..Wanted::default() };
/// let order = Order::LoadWeights { version: 4 };
/// assert_eq!(engine.need(&wanted, Duration::ZERO), Some(Need::Load(order)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Engine {
    report: Option<(Report, Timestamp)>,
    loading: Option<Loading>,
    accepted: BTreeMap<Subject, Order>,
    is_sending: bool,
    /// Whether a load took so long that it is ordered again.
    is_stuck: bool,
    failure_count: u32,
    pause_until: Timestamp,
}

impl Engine {
    /// Takes in a report that arrived at `now`.
    pub fn reported(&mut self, report: Report, now: Timestamp) {
        let has_restarted = self
            .report
            .is_some_and(|(before, _)| before.boot != report.boot);
        if has_restarted {
            // A new process knows of no earlier order.
            self.accepted.clear();
            self.loading = None;
            self.is_stuck = false;
        }
        match self.loading {
            Some(loading) if is_over(loading, report, now) => self.settle(loading, report, now),
            // An earlier holder of the lease ordered it.
            None if report.swap == Swap::Loading && !self.is_stuck => {
                self.loading = Some(Loading {
                    version: report.version,
                    since: now,
                });
            }
            _ => {}
        }
        self.report = Some((report, now));
    }

    /// Takes in the report that ends a load, well or not.
    fn settle(&mut self, loading: Loading, report: Report, now: Timestamp) {
        self.loading = None;
        if report.swap == Swap::Idle && report.version >= loading.version {
            self.failure_count = 0;
            return;
        }
        self.is_stuck = report.swap == Swap::Loading;
        self.pause(now);
    }

    /// Notes that `order` is about to be sent.
    pub fn sending(&mut self, order: &Order, now: Timestamp) {
        self.is_sending = true;
        // Until the answer is there, either order may be in force.
        self.accepted.remove(&order.subject());
        if let Order::LoadWeights { version } = order {
            self.is_stuck = false;
            self.loading = Some(Loading {
                version: *version,
                since: now,
            });
        }
    }

    /// Notes how `order` ended.
    pub fn ended(&mut self, order: Order, end: End, now: Timestamp) {
        self.is_sending = false;
        match end {
            End::Accepted => {
                self.accepted.insert(order.subject(), order);
            }
            End::Stale | End::NotSent => self.loading = None,
            // A load that may take effect stays noted until a report settles it.
            End::Failed => self.pause(now),
        }
    }

    /// Says whether the engine serves fully as far as is known.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        self.loading.is_none()
            && self
                .fresh_report(now)
                .is_some_and(|report| report.swap == Swap::Idle)
    }

    /// Returns the version that the engine last reported.
    pub fn version(&self) -> Option<WeightVersion> {
        self.report.map(|(report, _)| report.version)
    }

    /// Returns what the engine needs at `now` to run what is wanted.
    pub fn need(&self, wanted: &Wanted, now: Timestamp) -> Option<Need> {
        if self.is_sending || self.loading.is_some() || now < self.pause_until {
            return None;
        }
        let report = self.fresh_report(now)?;
        let version = wanted.version.max(report.version);
        let load = Order::LoadWeights { version };
        match report.swap {
            Swap::Loading if !self.is_stuck => None,
            Swap::Loading | Swap::Failed => Some(Need::Repair(load)),
            Swap::Idle if version > report.version => Some(Need::Load(load)),
            Swap::Idle => self.light(wanted),
        }
    }

    fn light(&self, wanted: &Wanted) -> Option<Need> {
        let adapters = wanted
            .adapters
            .iter()
            .map(|(adapter, version)| Order::LoadAdapter {
                adapter: adapter.clone(),
                version: *version,
            });
        let role = (!wanted.role.is_empty()).then(|| Order::SetRole {
            role: wanted.role.clone(),
        });
        adapters
            .chain(role)
            .find(|order| self.accepted.get(&order.subject()) != Some(order))
            .map(Need::Light)
    }

    fn fresh_report(&self, now: Timestamp) -> Option<Report> {
        self.report
            .filter(|(_, at)| now.saturating_sub(*at) < REPORT_LIFETIME)
            .map(|(report, _)| report)
    }

    fn pause(&mut self, now: Timestamp) {
        let doubling_count = self.failure_count.min(MAX_DOUBLING_COUNT);
        self.failure_count += 1;
        let pause = MIN_PAUSE * 2_u32.pow(doubling_count);
        self.pause_until = now + pause.min(MAX_PAUSE);
    }
}

/// Says whether `report` settles what became of a load.
fn is_over(loading: Loading, report: Report, now: Timestamp) -> bool {
    let age = now.saturating_sub(loading.since);
    match report.swap {
        Swap::Idle if report.version >= loading.version => true,
        // The engine may not have begun yet.
        Swap::Idle | Swap::Failed => age >= ACCEPT_GRACE,
        Swap::Loading => age >= LOAD_TIMEOUT,
    }
}
