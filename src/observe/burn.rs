//! How fast each service-level objective is being used up.
//!
//! Hosts count good and bad events in buckets of time; the report merges the
//! buckets of all hosts into burn rates over several windows, after the Google
//! SRE workbook's chapter on alerting; see docs/design/burn.md.

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

/// The time of one bucket before scaling.
const BUCKET: Duration = Duration::from_secs(60);
/// How many buckets are kept, which is the longest window.
const BUCKET_COUNT: usize = 360;
/// The part of changes that may come in force late.
const LATE_CHANGE_RATIO: f64 = 0.01;
/// The row of events that belong to no row.
pub const ALL_ROWS: &str = "*";

/// What is promised.
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
    /// Milliseconds of trainers; bad are those spent waiting.
    Idle,
    /// Samples delivered; bad are those at the staleness bound or refused.
    Staleness,
    /// Tokens served; bad are those by which a row missed its share.
    ShareError,
    /// Calls; bad are those without a whole answer.
    CallSuccess,
    /// Changes of the table; bad are those in force too late.
    ChangeInForce,
}

impl Objective {
    /// Returns the part of events that may be bad.
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

/// The windows that burn rates are taken over.
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
    /// Returns how many of the newest buckets the window takes.
    pub const fn bucket_count(self) -> usize {
        match self {
            Self::Short => 5,
            Self::Middle => 60,
            Self::Long => BUCKET_COUNT,
        }
    }
}

/// Good and bad events together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Events that broke the objective.
    pub bad_count: u64,
    /// All events.
    pub total_count: u64,
}

impl Tally {
    /// Adds the events of another tally.
    pub fn add(&mut self, other: Self) {
        self.bad_count = self.bad_count.saturating_add(other.bad_count);
        self.total_count = self.total_count.saturating_add(other.total_count);
    }

    /// Returns the part that is bad, or nothing where nothing happened.
    pub fn bad_ratio(self) -> Option<f64> {
        (self.total_count > 0).then(|| self.bad_count as f64 / self.total_count as f64)
    }
}

/// The buckets of one objective and row, the newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// What is promised.
    pub objective: Objective,
    /// To whom.
    pub row: RowId,
    /// The events by age in buckets, from 0 for the newest bucket.
    pub buckets: Vec<Tally>,
}

/// All that one host counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostWindows {
    /// The host.
    pub host: HostId,
    /// The time of one bucket.
    pub bucket_ms: u64,
    /// The counts.
    pub series: Vec<Series>,
}

/// Counts events on one host.
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
    /// The number of the newest bucket.
    newest: u64,
    series: BTreeMap<(Objective, RowId), VecDeque<Tally>>,
}

impl Recorder {
    /// Makes a recorder whose windows are shortened by `window_scale_ratio`.
    pub fn new(window_scale_ratio: f64) -> Self {
        Self {
            bucket: BUCKET
                .mul_f64(window_scale_ratio)
                .max(Duration::from_millis(1)),
            newest: 0,
            series: BTreeMap::new(),
        }
    }

    /// Counts events of a row.
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

    /// Opens the buckets up to `now`, and drops the series that have aged out.
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
