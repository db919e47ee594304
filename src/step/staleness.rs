//! The two gates that keep samples within a row's staleness bound.
//!
//! The gate at dispatch works on a prediction; a wrong one wastes work. The
//! gate at delivery is exact. See docs/design/staleness.md.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    ids::{StepNumber, WeightVersion},
    table::row::Row,
};

/// Smoothing factor of the mean interval between versions and of the mean
/// number of versions per step.
const INTERVAL_SMOOTHING_RATIO: f64 = 0.25;

/// Smoothing factor of the mean deviation.
const DEVIATION_SMOOTHING_RATIO: f64 = 0.25;

/// Versions per step that are assumed before the first observation.
const DEFAULT_VERSIONS_PER_STEP: f64 = 1.0;

/// Maximum fraction of samples expected to be late, for a row that prefers
/// freshness only (idle preference 0).
const MAX_LATE_RATIO_STALENESS_ONLY: f64 = 0.5;

/// The same maximum for a row that prefers low idle time only (idle preference
/// 1). Only samples that are almost certain to be rejected are held back.
const MAX_LATE_RATIO_IDLE_ONLY: f64 = 0.99;

/// Maximum number of samples of a step that may be expected to be late while
/// newer weights spread. A short wait then gains a whole version interval.
const MAX_LATE_COUNT: f64 = 0.5;

/// How long after a version change of the trainer its weights are assumed to be
/// still spreading to the engines.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns how many versions a sample is older than the trainer.
pub fn age_versions(stated: WeightVersion, oldest: WeightVersion) -> WeightVersion {
    stated.saturating_sub(oldest)
}

/// Returns whether a sample may be delivered to a trainer at version `stated`.
///
/// # Examples
///
/// ```
/// use mimosavane::step::staleness::is_deliverable;
///
/// assert!(is_deliverable(7, 5, 2));
/// assert!(!is_deliverable(8, 5, 2));
/// ```
pub fn is_deliverable(
    stated: WeightVersion,
    oldest: WeightVersion,
    bound_versions: WeightVersion,
) -> bool {
    age_versions(stated, oldest) <= bound_versions
}

/// Tracks when a trainer changes its weight version, from the versions that its
/// pulls state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cadence {
    version: WeightVersion,
    step: StepNumber,
    step_version: WeightVersion,
    changed_at: Timestamp,
    interval: Option<Duration>,
    deviation: Duration,
    versions_per_step: Option<f64>,
    changes_within_step: bool,
    has_observation: bool,
}

impl Cadence {
    /// Records that the trainer stated `version` when it pulled `step`.
    pub fn observe(&mut self, step: StepNumber, version: WeightVersion, now: Timestamp) {
        if !self.has_observation {
            self.restart(step, version, now);
            return;
        }
        if version < self.version {
            // The trainer restarted from an older checkpoint.
            self.restart(step, version, now);
            return;
        }
        if step == self.step && version > self.version {
            self.changes_within_step = true;
        }
        if step > self.step {
            self.observe_step(step, version);
        }
        if version > self.version {
            self.observe_change(version, now);
        }
    }

    /// Returns the version that the trainer last stated.
    pub fn version(&self) -> WeightVersion {
        self.version
    }

    /// Returns when the trainer is expected to have gained `versions`, or
    /// `None` if no such change can be predicted.
    ///
    /// No change is predicted for a trainer that is overdue, because it is
    /// waiting for samples. Otherwise a step could be held back for a change
    /// that depends on the step's own samples.
    pub fn change_at(&self, versions: WeightVersion, now: Timestamp) -> Option<Timestamp> {
        let interval = self.interval.filter(|interval| !interval.is_zero())?;
        let due = self.changed_at.saturating_add(interval);
        let is_overdue = now >= due.saturating_add(self.deviation);
        if is_overdue || !self.changes_within_step {
            return None;
        }
        let extra_intervals = u32::try_from(versions.saturating_sub(1)).unwrap_or(u32::MAX);
        Some(due.saturating_add(interval.saturating_mul(extra_intervals)))
    }

    /// Returns the expected time from one change to the end of the next `versions`.
    pub fn span_of(&self, versions: WeightVersion) -> Option<Duration> {
        let count = u32::try_from(versions).unwrap_or(u32::MAX);
        Some(self.interval?.saturating_mul(count))
    }

    /// Returns whether the weights of the trainer's last change may still be
    /// spreading to the engines.
    pub fn is_spreading(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.changed_at) < SPREAD_TIMEOUT
    }

    /// Returns how many versions the trainer is expected to gain by `at`.
    pub fn versions_gained_by(&self, at: Timestamp, now: Timestamp) -> WeightVersion {
        let (Some(first), Some(interval)) = (self.change_at(1, now), self.interval) else {
            return 0;
        };
        match at.checked_sub(first) {
            Some(span) => 1 + whole_intervals(span, interval),
            None => 0,
        }
    }

    /// Returns the version that the trainer is expected to have when it first
    /// pulls `step`, which it submitted at version `submitted_version`.
    pub fn version_at(&self, step: StepNumber, submitted_version: WeightVersion) -> WeightVersion {
        let rate = self.versions_per_step.unwrap_or(DEFAULT_VERSIONS_PER_STEP);
        let next = submitted_version.saturating_add(whole_versions(rate));
        if !self.has_observation || step <= self.step {
            return next.max(self.version);
        }
        let steps = (step - self.step) as f64;
        let reached = self.step_version + whole_versions(rate * steps);
        reached.max(self.version).max(submitted_version)
    }

    fn restart(&mut self, step: StepNumber, version: WeightVersion, now: Timestamp) {
        self.version = version;
        self.step = step;
        self.step_version = version;
        self.changed_at = now;
        self.has_observation = true;
    }

    fn observe_step(&mut self, step: StepNumber, version: WeightVersion) {
        let steps = (step - self.step) as f64;
        let observed = version.saturating_sub(self.step_version) as f64 / steps;
        let mean = self.versions_per_step.unwrap_or(observed);
        self.versions_per_step = Some(mean + INTERVAL_SMOOTHING_RATIO * (observed - mean));
        self.step = step;
        self.step_version = version;
    }

    fn observe_change(&mut self, version: WeightVersion, now: Timestamp) {
        let versions = (version - self.version) as f64;
        let observed = now.saturating_sub(self.changed_at).div_f64(versions);
        let mean = self.interval.unwrap_or(observed);
        let error = observed.abs_diff(mean);
        self.deviation = smooth(self.deviation, error, DEVIATION_SMOOTHING_RATIO);
        self.interval = Some(smooth(mean, observed, INTERVAL_SMOOTHING_RATIO));
        self.version = version;
        self.changed_at = now;
    }
}

/// The inputs of the dispatch gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The version that the trainer stated last.
    pub stated_version: WeightVersion,
    /// The version that the trainer is expected to have when the sample is
    /// complete.
    pub expected_version: WeightVersion,
    /// The newest version that enough engines run; `None` if no engine
    /// reported.
    pub newest_version: Option<WeightVersion>,
    /// The oldest version whose samples are expected to be deliverable.
    pub min_version: WeightVersion,
    /// The staleness bound of the row.
    pub bound_versions: WeightVersion,
    /// The fraction of samples expected to be late if they start on the newest
    /// version.
    pub late_ratio: f64,
    /// The same for samples that start when the trainer has just changed its version.
    pub late_ratio_after_change: f64,
    /// The fraction of late samples above which the slot is held back.
    pub max_late_ratio: f64,
}

/// Returns the fraction of late samples above which a row holds work back.
pub fn max_late_ratio(row: &Row) -> f64 {
    let preference = row.idle_preference_ratio.clamp(0.0, 1.0);
    MAX_LATE_RATIO_STALENESS_ONLY
        + (MAX_LATE_RATIO_IDLE_ONLY - MAX_LATE_RATIO_STALENESS_ONLY) * preference
}

/// Returns the fraction of late samples above which a step with
/// `unfinished_count` unfinished samples waits for weights that are still
/// spreading.
pub fn max_late_ratio_while_spreading(row: &Row, unfinished_count: u32) -> f64 {
    let step_ratio = MAX_LATE_COUNT / f64::from(unfinished_count.max(1));
    max_late_ratio(row).min(step_ratio)
}

/// The decision of the dispatch gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The attempt may start on an engine that runs at least this version.
    Dispatch {
        /// The oldest version whose sample is expected to be deliverable.
        min_version: WeightVersion,
    },
    /// No engine runs weights fresh enough for the trainer; wait for newer
    /// weights.
    AwaitWeights,
    /// The sample is expected to be stale when it completes; wait until the
    /// trainer changes its version or is overdue.
    AwaitChange,
}

/// Decides whether to dispatch a sample.
///
/// # Examples
///
/// ```
/// use mimosavane::step::staleness::{Forecast, Verdict, decide_dispatch};
///
/// let forecast = Forecast {
///     stated_version: 7,
///     expected_version: 8,
///     newest_version: Some(7),
///     min_version: 7,
///     bound_versions: 1,
///     late_ratio: 0.1,
///     late_ratio_after_change: 0.0,
///     max_late_ratio: 0.75,
/// };
/// assert_eq!(decide_dispatch(forecast), Verdict::Dispatch { min_version: 7 });
/// ```
pub fn decide_dispatch(forecast: Forecast) -> Verdict {
    let min_accepted_version = forecast
        .stated_version
        .saturating_sub(forecast.bound_versions);
    let newest = forecast.newest_version.unwrap_or(WeightVersion::MAX);
    if newest < min_accepted_version {
        return Verdict::AwaitWeights;
    }
    // Where a sample is late even from just after a change, none is worth the wait.
    let can_change_help = forecast.late_ratio_after_change <= forecast.max_late_ratio;
    if forecast.late_ratio > forecast.max_late_ratio && can_change_help {
        return Verdict::AwaitChange;
    }
    Verdict::Dispatch {
        min_version: forecast.min_version.min(newest).max(min_accepted_version),
    }
}

/// How the gate before dispatch predicts the trainer's version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Gate {
    /// Predicts the version at the time when the sample completes.
    #[default]
    Predicted,
    /// Assumes that the trainer gains a fixed number of versions; a baseline.
    FixedMargin {
        /// The number of versions that the trainer is assumed to gain.
        margin_versions: WeightVersion,
    },
    /// Allows everything that is fresh enough now; a baseline.
    Open,
}

impl Gate {
    /// Returns the forecast that this gate uses in place of `predicted`.
    pub fn adjust(self, predicted: Forecast) -> Forecast {
        let margin = match self {
            Self::Predicted => return predicted,
            Self::FixedMargin { margin_versions } => margin_versions,
            Self::Open => 0,
        };
        let expected_version = predicted.stated_version + margin;
        let is_late = predicted
            .newest_version
            .is_some_and(|newest| newest + predicted.bound_versions < expected_version);
        Forecast {
            expected_version,
            min_version: expected_version.saturating_sub(predicted.bound_versions),
            late_ratio: f64::from(u8::from(is_late)),
            late_ratio_after_change: 0.0,
            ..predicted
        }
    }
}

fn whole_versions(versions: f64) -> WeightVersion {
    versions.round() as WeightVersion
}

fn whole_intervals(span: Duration, interval: Duration) -> WeightVersion {
    (span.as_secs_f64() / interval.as_secs_f64()) as WeightVersion
}

fn smooth(mean: Duration, observed: Duration, ratio: f64) -> Duration {
    mean.mul_f64(1.0 - ratio) + observed.mul_f64(ratio)
}
