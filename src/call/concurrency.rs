//! The adaptive concurrency limit of one upstream.
//!
//! A [`Limiter`] derives the limit from latency: it rises while latency stays
//! near the best recent window and falls once calls queue inside the upstream
//! (see docs/design/overload.md).

use std::time::Duration;

/// The initial limit of an upstream.
const INITIAL_LIMIT_CALLS: f64 = 4.0;

/// The smallest limit, which still lets a recovered upstream prove itself
/// healthy.
const MIN_LIMIT_CALLS: f64 = 1.0;

/// The largest limit.
const MAX_LIMIT_CALLS: f64 = 512.0;

/// The ratio of a window's latency to the baseline above which the limit falls.
const TOLERANCE_RATIO: f64 = 1.5;

/// The smallest factor by which one window can reduce the limit.
const MIN_GRADIENT_RATIO: f64 = 0.5;

/// The fraction of the limit that a window of only pushed-back calls removes.
const PUSHBACK_RATIO: f64 = 0.5;

/// The smoothing factor for the limit after each window.
const SMOOTHING_RATIO: f64 = 0.2;

/// The number of calls in a window.
const WINDOW_CALL_COUNT: u32 = 10;

/// The smoothing factor for raising the baseline while less than half of the
/// limit is used.
const BASELINE_SMOOTHING_RATIO: f64 = 0.1;

/// The end of a call, as input to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The call was answered after this latency.
    Answered(Duration),
    /// The upstream refused the call, or it timed out.
    PushedBack,
    /// The end does not depend on load.
    Ignored,
}

/// The adaptive concurrency limit of one upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::call::concurrency::{Limiter, Sample};
///
/// let mut limiter = Limiter::default();
/// assert!(limiter.try_start());
/// limiter.finish(Sample::Answered(Duration::from_millis(3)));
/// assert_eq!(limiter.running_calls(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Limiter {
    limit_calls: f64,
    running_calls: u32,
    window_calls: u32,
    window_pushed_back_calls: u32,
    window_total: Duration,
    window_peak_calls: u32,
    /// The mean latency of the best window, which approximates an idle upstream.
    baseline: Option<Duration>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            limit_calls: INITIAL_LIMIT_CALLS,
            running_calls: 0,
            window_calls: 0,
            window_pushed_back_calls: 0,
            window_total: Duration::ZERO,
            window_peak_calls: 0,
            baseline: None,
        }
    }
}

impl Limiter {
    /// Returns the concurrency limit.
    pub const fn limit_calls(&self) -> f64 {
        self.limit_calls
    }

    /// Returns the number of in-flight calls.
    pub const fn running_calls(&self) -> u32 {
        self.running_calls
    }

    /// Returns the number of calls that can still start.
    pub fn free_calls(&self) -> f64 {
        self.limit_calls.floor() - f64::from(self.running_calls)
    }

    /// Starts a call unless the limit is reached; returns whether it started.
    pub fn try_start(&mut self) -> bool {
        if self.free_calls() < 1.0 {
            return false;
        }
        self.running_calls += 1;
        self.window_peak_calls = self.window_peak_calls.max(self.running_calls);
        true
    }

    /// Finishes a started call and updates the limit from `sample`.
    pub fn finish(&mut self, sample: Sample) {
        self.running_calls = self.running_calls.saturating_sub(1);
        if sample != Sample::Ignored {
            self.record_sample(sample);
        }
    }

    /// Resets the limit and the baseline, as for an upstream that recovered.
    pub fn reset(&mut self) {
        *self = Self {
            running_calls: self.running_calls,
            ..Self::default()
        };
    }

    fn record_sample(&mut self, sample: Sample) {
        self.window_calls += 1;
        match sample {
            Sample::Answered(latency) => self.window_total += latency,
            Sample::PushedBack | Sample::Ignored => self.window_pushed_back_calls += 1,
        }
        if self.window_calls < WINDOW_CALL_COUNT {
            return;
        }
        let answered_calls = self.window_calls - self.window_pushed_back_calls;
        let latency_gradient = self
            .window_total
            .checked_div(answered_calls)
            .map_or(1.0, |mean| self.latency_gradient(mean));
        let pushed_back_ratio =
            f64::from(self.window_pushed_back_calls) / f64::from(self.window_calls);
        let pushback_gradient = 1.0 - pushed_back_ratio * PUSHBACK_RATIO;
        self.adjust(latency_gradient.min(pushback_gradient));
        self.window_calls = 0;
        self.window_pushed_back_calls = 0;
        self.window_total = Duration::ZERO;
        self.window_peak_calls = self.running_calls;
    }

    /// Returns the factor for the limit from a window's mean latency and the
    /// baseline.
    ///
    /// The baseline rises only while less than half of the limit is used:
    /// latency that this host's own calls may cause must not become the baseline.
    fn latency_gradient(&mut self, mean: Duration) -> f64 {
        let baseline = match self.baseline {
            Some(baseline) if baseline <= mean && self.is_used() => baseline,
            Some(baseline) if baseline <= mean => {
                baseline + (mean - baseline).mul_f64(BASELINE_SMOOTHING_RATIO)
            }
            _ => mean,
        };
        self.baseline = Some(baseline);
        let ratio = baseline.as_secs_f64() * TOLERANCE_RATIO / mean.as_secs_f64().max(f64::EPSILON);
        ratio.clamp(MIN_GRADIENT_RATIO, 1.0)
    }

    /// Returns whether the window used at least half of the limit.
    fn is_used(&self) -> bool {
        f64::from(self.window_peak_calls) * 2.0 >= self.limit_calls
    }

    fn adjust(&mut self, gradient: f64) {
        let headroom = self.limit_calls.sqrt();
        let target = self.limit_calls * gradient + headroom;
        // A window that does not exercise the limit is no reason to raise it.
        if target > self.limit_calls && !self.is_used() {
            return;
        }
        self.set_limit(self.limit_calls + (target - self.limit_calls) * SMOOTHING_RATIO);
    }

    fn set_limit(&mut self, limit_calls: f64) {
        self.limit_calls = limit_calls.clamp(MIN_LIMIT_CALLS, MAX_LIMIT_CALLS);
    }
}
