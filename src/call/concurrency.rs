//! The number of calls that one upstream is given at once.
//!
//! A [`Limiter`] learns the limit from latency: it rises while calls are as fast
//! as the best of late, and falls once they queue inside the upstream (see
//! docs/design/overload.md).

use std::time::Duration;

/// The limit of an upstream of which nothing is known.
const INITIAL_LIMIT_CALLS: f64 = 4.0;

/// The smallest limit, so that an upstream can show that it is well again.
const MIN_LIMIT_CALLS: f64 = 1.0;

/// The largest limit.
const MAX_LIMIT_CALLS: f64 = 512.0;

/// How much slower than the best window a window may be before the limit falls.
const TOLERANCE_RATIO: f64 = 1.5;

/// The part by which one window lowers the limit at most.
const MIN_GRADIENT_RATIO: f64 = 0.5;

/// The part by which a window of calls that were all pushed back lowers the limit.
const PUSHBACK_RATIO: f64 = 0.5;

/// The part of a new limit that is taken on after one window.
const SMOOTHING_RATIO: f64 = 0.2;

/// How many calls make a window.
const WINDOW_CALL_COUNT: u32 = 10;

/// The part of a slower window that the baseline takes on while there is room.
const BASELINE_SMOOTHING_RATIO: f64 = 0.1;

/// How a call ended, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It was answered after this time.
    Answered(Duration),
    /// The upstream pushed it back or it timed out.
    PushedBack,
    /// It says nothing about load.
    Ignored,
}

/// The adaptive limit of one upstream.
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
    /// The mean latency of the best window, which stands for an idle upstream.
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
    /// Returns how many calls may run at once.
    pub const fn limit_calls(&self) -> f64 {
        self.limit_calls
    }

    /// Returns how many calls run.
    pub const fn running_calls(&self) -> u32 {
        self.running_calls
    }

    /// Returns how many more calls may start.
    pub fn free_calls(&self) -> f64 {
        self.limit_calls.floor() - f64::from(self.running_calls)
    }

    /// Starts a call, unless the limit is reached.
    pub fn try_start(&mut self) -> bool {
        if self.free_calls() < 1.0 {
            return false;
        }
        self.running_calls += 1;
        self.window_peak_calls = self.window_peak_calls.max(self.running_calls);
        true
    }

    /// Ends a call that was started, and learns from `sample`.
    pub fn finish(&mut self, sample: Sample) {
        self.running_calls = self.running_calls.saturating_sub(1);
        if sample != Sample::Ignored {
            self.learn(sample);
        }
    }

    /// Forgets what was learned, as for an upstream that came back.
    pub fn reset(&mut self) {
        *self = Self {
            running_calls: self.running_calls,
            ..Self::default()
        };
    }

    fn learn(&mut self, sample: Sample) {
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

    /// Compares the mean latency of a window with the baseline.
    ///
    /// The baseline rises only while the limit is far from used: a latency that
    /// this host's own calls may have caused must not pass for the normal one.
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

    /// Says whether the window used half of the limit or more.
    fn is_used(&self) -> bool {
        f64::from(self.window_peak_calls) * 2.0 >= self.limit_calls
    }

    fn adjust(&mut self, gradient: f64) {
        let headroom = self.limit_calls.sqrt();
        let target = self.limit_calls * gradient + headroom;
        // A limit that is not used tells nothing, and must not grow.
        if target > self.limit_calls && !self.is_used() {
            return;
        }
        self.set_limit(self.limit_calls + (target - self.limit_calls) * SMOOTHING_RATIO);
    }

    fn set_limit(&mut self, limit_calls: f64) {
        self.limit_calls = limit_calls.clamp(MIN_LIMIT_CALLS, MAX_LIMIT_CALLS);
    }
}
