//! The two gates that keep samples within a row's staleness bound.
//!
//! The gate at dispatch predicts and may err, which costs work. The gate at
//! delivery is exact. See docs/design/staleness.md.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    ids::{StepNumber, WeightVersion},
    table::row::Row,
};

/// The part that a new observation has in the mean interval.
const INTERVAL_SMOOTHING_RATIO: f64 = 0.25;

/// The part that a new observation has in the mean deviation.
const DEVIATION_SMOOTHING_RATIO: f64 = 0.25;

/// How many versions a step is assumed to add before any was seen.
const DEFAULT_VERSIONS_PER_STEP: f64 = 1.0;

/// The part of samples that may be expected to come too late, for a row that
/// weighs only staleness.
const MIN_LATE_RATIO: f64 = 0.5;

/// The same part for a row that weighs only idle time. It holds back only what
/// would be refused for certain.
const MAX_LATE_RATIO: f64 = 0.99;

/// How many samples of a step may be expected to come too late while newer
/// weights spread. A short wait then buys a whole interval.
const MAX_LATE_COUNT: f64 = 0.5;

/// How long after a change of the trainer its weights are waited for.
const SPREAD_PATIENCE: Duration = Duration::from_secs(30);

/// Returns by how many versions a sample is older than the trainer.
pub fn age_versions(stated: WeightVersion, oldest: WeightVersion) -> WeightVersion {
    stated.saturating_sub(oldest)
}

/// Says whether a sample may be delivered to a trainer that states its version.
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

/// When a trainer changes its version, learned from what its pulls state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cadence {
    version: WeightVersion,
    step: StepNumber,
    step_version: WeightVersion,
    changed_at: Timestamp,
    interval: Option<Duration>,
    deviation: Duration,
    versions_per_step: Option<f64>,
    moves_within_step: bool,
    is_known: bool,
}

impl Cadence {
    /// Takes in that the trainer stated `version` when it pulled `step`.
    pub fn observe(&mut self, step: StepNumber, version: WeightVersion, now: Timestamp) {
        if !self.is_known {
            self.restart(step, version, now);
            return;
        }
        if version < self.version {
            // The trainer fell back to an older checkpoint.
            self.restart(step, version, now);
            return;
        }
        if step == self.step && version > self.version {
            self.moves_within_step = true;
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

    /// Returns when the trainer is expected to have gained `versions`, or `None`
    /// where no such change is in sight.
    ///
    /// A trainer that is overdue waits for samples, so that no change is counted
    /// on before they are there. Without this rule a step could be held back for
    /// a change that only its own samples bring about.
    pub fn change_at(&self, versions: WeightVersion, now: Timestamp) -> Option<Timestamp> {
        let interval = self.interval.filter(|interval| !interval.is_zero())?;
        let due = self.changed_at.saturating_add(interval);
        let is_overdue = now >= due.saturating_add(self.deviation);
        if is_overdue || !self.moves_within_step {
            return None;
        }
        let further = u32::try_from(versions.saturating_sub(1)).unwrap_or(u32::MAX);
        Some(due.saturating_add(interval.saturating_mul(further)))
    }

    /// Says whether the weights of the trainer's last change may still spread.
    pub fn is_spreading(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.changed_at) < SPREAD_PATIENCE
    }

    /// Returns how many versions the trainer is expected to gain by `at`.
    pub fn gain_by(&self, at: Timestamp, now: Timestamp) -> WeightVersion {
        let (Some(first), Some(interval)) = (self.change_at(1, now), self.interval) else {
            return 0;
        };
        match at.checked_sub(first) {
            Some(span) => 1 + whole_intervals(span, interval),
            None => 0,
        }
    }

    /// Returns the version that the trainer is expected to have when it first
    /// pulls `step`, which it asked for with version `asked`.
    pub fn version_at(&self, step: StepNumber, asked: WeightVersion) -> WeightVersion {
        let rate = self.versions_per_step.unwrap_or(DEFAULT_VERSIONS_PER_STEP);
        let next = asked.saturating_add(whole_versions(rate));
        if !self.is_known || step <= self.step {
            return next.max(self.version);
        }
        let steps = (step - self.step) as f64;
        let reached = self.step_version + whole_versions(rate * steps);
        reached.max(self.version).max(asked)
    }

    fn restart(&mut self, step: StepNumber, version: WeightVersion, now: Timestamp) {
        self.version = version;
        self.step = step;
        self.step_version = version;
        self.changed_at = now;
        self.is_known = true;
    }

    fn observe_step(&mut self, step: StepNumber, version: WeightVersion) {
        let steps = (step - self.step) as f64;
        let found = version.saturating_sub(self.step_version) as f64 / steps;
        let mean = self.versions_per_step.unwrap_or(found);
        self.versions_per_step = Some(mean + INTERVAL_SMOOTHING_RATIO * (found - mean));
        self.step = step;
        self.step_version = version;
    }

    fn observe_change(&mut self, version: WeightVersion, now: Timestamp) {
        let versions = (version - self.version) as f64;
        let found = now.saturating_sub(self.changed_at).div_f64(versions);
        let mean = self.interval.unwrap_or(found);
        let error = found.abs_diff(mean);
        self.deviation = blend(self.deviation, error, DEVIATION_SMOOTHING_RATIO);
        self.interval = Some(blend(mean, found, INTERVAL_SMOOTHING_RATIO));
        self.version = version;
        self.changed_at = now;
    }
}

/// What the gate at dispatch judges by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The version that the trainer has now.
    pub stated: WeightVersion,
    /// The version that it is expected to have when the sample is whole.
    pub expected: WeightVersion,
    /// The newest version that enough engines run; `None` where none reported.
    pub newest: Option<WeightVersion>,
    /// The oldest version whose samples are expected to be taken.
    pub min_version: WeightVersion,
    /// The bound of the row.
    pub bound_versions: WeightVersion,
    /// The part of such samples that are expected to come too late, where they
    /// start on the newest version.
    pub late_ratio: f64,
    /// The part from which on they are held back.
    pub max_late_ratio: f64,
}

/// Returns the part of late samples from which on a row holds work back.
pub fn max_late_ratio(row: &Row) -> f64 {
    let preference = row.idle_preference_ratio.clamp(0.0, 1.0);
    MIN_LATE_RATIO + (MAX_LATE_RATIO - MIN_LATE_RATIO) * preference
}

/// Returns the part of late samples from which on a step with
/// `unfinished_count` of them waits for weights that spread at the moment.
pub fn max_late_ratio_in_spread(row: &Row, unfinished_count: u32) -> f64 {
    let part = MAX_LATE_COUNT / f64::from(unfinished_count.max(1));
    max_late_ratio(row).min(part)
}

/// What the gate at dispatch decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// An engine of at least this version may start.
    Dispatch {
        /// The oldest version whose sample is expected to be taken.
        min_version: WeightVersion,
    },
    /// No engine has weights that the trainer could take a sample of, now or
    /// later.
    AwaitWeights,
    /// The sample is expected to be too old when it is whole, unless the trainer
    /// turns out to be overdue.
    AwaitChange,
}

/// Decides whether a sample is worth starting.
///
/// # Examples
///
/// ```
/// use mimosavane::step::staleness::{Forecast, Verdict, judge};
///
/// let forecast = Forecast {
///     stated: 7,
///     expected: 8,
///     newest: Some(7),
///     min_version: 7,
///     bound_versions: 1,
///     late_ratio: 0.1,
///     max_late_ratio: 0.75,
/// };
/// assert_eq!(judge(forecast), Verdict::Dispatch { min_version: 7 });
/// ```
pub fn judge(forecast: Forecast) -> Verdict {
    let least = forecast.stated.saturating_sub(forecast.bound_versions);
    let newest = forecast.newest.unwrap_or(WeightVersion::MAX);
    if newest < least {
        return Verdict::AwaitWeights;
    }
    if forecast.late_ratio > forecast.max_late_ratio {
        return Verdict::AwaitChange;
    }
    Verdict::Dispatch {
        min_version: forecast.min_version.min(newest).max(least),
    }
}

/// Which gate stands before dispatch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Gate {
    /// It predicts the trainer's version at the time that the sample is whole.
    #[default]
    Predicted,
    /// It takes the trainer to gain a fixed number of versions; a baseline.
    FixedMargin {
        /// The versions that it takes the trainer to gain.
        margin_versions: WeightVersion,
    },
    /// Everything may start that is fresh enough now; a baseline.
    Open,
}

impl Gate {
    /// Returns the forecast that this gate judges by, given the prediction.
    pub fn adjust(self, predicted: Forecast) -> Forecast {
        let margin = match self {
            Self::Predicted => return predicted,
            Self::FixedMargin { margin_versions } => margin_versions,
            Self::Open => 0,
        };
        let expected = predicted.stated + margin;
        let is_late = predicted
            .newest
            .is_some_and(|newest| newest + predicted.bound_versions < expected);
        Forecast {
            expected,
            min_version: expected.saturating_sub(predicted.bound_versions),
            late_ratio: f64::from(u8::from(is_late)),
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

fn blend(mean: Duration, found: Duration, ratio: f64) -> Duration {
    mean.mul_f64(1.0 - ratio) + found.mul_f64(ratio)
}
