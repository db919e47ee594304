//! Event counts for the burn rates of service-level objectives.
//!
//! Hosts count good and bad events in time buckets; the report merges the buckets
//! of all hosts into burn rates over several windows, as in the chapter on
//! alerting of the Google SRE workbook (see docs/design/burn.md).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    ids::{HostId, RowId},
    settings::ObjectiveSettings,
};

/// The duration of one bucket before scaling.
const BUCKET: Duration = Duration::from_secs(60);
/// The number of buckets that are kept, which is the length of the longest window.
const BUCKET_COUNT: usize = 360;
/// The fraction of changes that may come into force late.
const LATE_CHANGE_RATIO: f64 = 0.01;
/// The row name for events that belong to no row.
pub const ALL_ROWS: &str = "*";

/// A service-level objective.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Objective {
    /// Trainer time in milliseconds; time spent waiting is bad.
    Idle,
    /// Delivered samples; those at the staleness bound or refused are bad.
    Staleness,
    /// Served tokens; those by which a row deviates from its share are bad.
    ShareError,
    /// Calls; those without a complete answer are bad.
    CallSuccess,
    /// Changes of the table; those that come into force too late are bad.
    ChangeInForce,
}

impl Objective {
    /// Returns the fraction of events that may be bad.
    pub fn budget_ratio(self, settings: &ObjectiveSettings) -> f64 {
        match self {
            Self::Idle => settings.max_idle_ratio,
            Self::Staleness => settings.max_stale_ratio,
            Self::ShareError => settings.max_share_error_ratio,
            Self::CallSuccess => 1.0 - settings.min_call_success_ratio,
            Self::ChangeInForce => LATE_CHANGE_RATIO,
        }
    }
}

/// A window over which burn rates are computed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
pub enum Window {
    /// Five minutes before scaling.
    #[strum(serialize = "5 min")]
    Short,
    /// One hour before scaling.
    #[strum(serialize = "1 h")]
    Middle,
    /// Six hours before scaling.
    #[strum(serialize = "6 h")]
    Long,
}

impl Window {
    /// Returns the number of newest buckets that the window covers.
    pub const fn bucket_count(self) -> usize {
        match self {
            Self::Short => 5,
            Self::Middle => 60,
            Self::Long => BUCKET_COUNT,
        }
    }
}

/// The number of events, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The number of events that violated the objective.
    pub bad_count: u64,
    /// The number of all events.
    pub total_count: u64,
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: Self) {
        self.bad_count = self.bad_count.saturating_add(other.bad_count);
        self.total_count = self.total_count.saturating_add(other.total_count);
    }

    /// Returns the fraction of bad events, or `None` if there were no events.
    pub fn bad_ratio(self) -> Option<f64> {
        (self.total_count > 0).then(|| self.bad_count as f64 / self.total_count as f64)
    }
}

/// The buckets of one objective and row, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// The objective.
    pub objective: Objective,
    /// The row whose events are counted.
    pub row: RowId,
    /// The event counts by age in buckets; index 0 is the newest bucket.
    pub buckets: Vec<Tally>,
}

/// All counts of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostWindows {
    /// The host.
    pub host: HostId,
    /// The duration of one bucket.
    pub bucket_ms: u64,
    /// The counts by objective and row.
    pub series: Vec<Series>,
}

/// Counts the events of one host.
///
/// # Examples
///
/// ```
/// use mimosavane::observe::burn::{Objective, Recorder, Tally};
/// use std::time::Duration;
///
/// let mut recorder = Recorder::new(1.0);
/// let call = Tally {
///     bad_count: 0,
///     total_count: 1,
/// };
/// recorder.count(Objective::CallSuccess, "roll", call, Duration::ZERO);
/// let windows = recorder.export("entry-1", Duration::from_secs(60));
/// assert_eq!(windows.series[0].buckets[1], call);
/// ```
#[derive(Clone, Debug)]
pub struct Recorder {
    bucket: Duration,
    /// The number of the newest bucket, counted from time zero.
    newest: u64,
    series: BTreeMap<(Objective, RowId), VecDeque<Tally>>,
}

impl Recorder {
    /// Creates a recorder whose windows are scaled by `window_scale_ratio`.
    pub fn new(window_scale_ratio: f64) -> Self {
        Self {
            bucket: BUCKET
                .mul_f64(window_scale_ratio)
                .max(Duration::from_millis(1)),
            newest: 0,
            series: BTreeMap::new(),
        }
    }

    /// Adds events of a row to the newest bucket.
    pub fn count(
        &mut self,
        objective: Objective,
        row: impl Into<RowId>,
        tally: Tally,
        now: Timestamp,
    ) {
        self.advance(now);
        let buckets = self.series.entry((objective, row.into())).or_default();
        if buckets.is_empty() {
            buckets.push_front(Tally::default());
        }
        if let Some(newest) = buckets.front_mut() {
            newest.add(tally);
        }
    }

    /// Returns the counts as of `now`.
    pub fn export(&mut self, host: impl Into<HostId>, now: Timestamp) -> HostWindows {
        self.advance(now);
        let series = self
            .series
            .iter()
            .map(|((objective, row), buckets)| Series {
                objective: *objective,
                row: row.clone(),
                buckets: buckets.iter().copied().collect(),
            })
            .collect();
        HostWindows {
            host: host.into(),
            bucket_ms: u64::try_from(self.bucket.as_millis()).unwrap_or(u64::MAX),
            series,
        }
    }

    /// Opens buckets up to `now`, and removes series whose buckets are all empty.
    fn advance(&mut self, now: Timestamp) {
        let bucket_nanos = self.bucket.as_nanos().max(1);
        let number = u64::try_from(now.as_nanos() / bucket_nanos).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.newest);
        if passed == 0 {
            return;
        }
        self.newest = number;
        let opened = usize::try_from(passed).map_or(BUCKET_COUNT, |count| count.min(BUCKET_COUNT));
        self.series.retain(|_, buckets| {
            for _ in 0..opened {
                buckets.push_front(Tally::default());
            }
            buckets.truncate(BUCKET_COUNT);
            buckets.iter().any(|tally| tally.total_count > 0)
        });
    }
}
