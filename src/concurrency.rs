//! The number of calls that one upstream is given at once.
//!
//! A [`Limiter`] learns the limit from latency: it rises while calls are as fast
//! as the fastest of late, and falls once they queue inside the upstream (see
//! docs/design/overload.md).

use std::time::Duration;

use crate::clock::Timestamp;

/// The limit of an upstream of which nothing is known.
const INITIAL_LIMIT_CALLS: f64 = 8.0;

/// The smallest limit, so that an upstream can show that it is well again.
const MIN_LIMIT_CALLS: f64 = 1.0;

/// The largest limit.
const MAX_LIMIT_CALLS: f64 = 512.0;

/// How much slower than the fastest call a call may be before the limit falls.
const TOLERANCE_RATIO: f64 = 1.5;

/// The part by which one window lowers the limit at most.
const MIN_GRADIENT_RATIO: f64 = 0.5;

/// The part by which a call that the upstream pushed back lowers the limit.
const PUSHBACK_RATIO: f64 = 0.9;

/// The part of a new limit that is taken on after one window.
const SMOOTHING_RATIO: f64 = 0.2;

/// How many calls make a window.
const WINDOW_CALL_COUNT: u32 = 10;

/// How long the fastest latency counts before it is learned anew.
const BASELINE_LIFETIME: Duration = Duration::from_secs(30);

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
/// use mimosavane::concurrency::{Limiter, Sample};
///
/// let mut limiter = Limiter::default();
/// assert!(limiter.try_start());
/// limiter.finish(Sample::Answered(Duration::from_millis(3)), Duration::ZERO);
/// assert_eq!(limiter.running_calls(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Limiter {
    limit_calls: f64,
    running_calls: u32,
    window_calls: u32,
    window_total: Duration,
    window_peak_calls: u32,
    baseline: Option<Baseline>,
}

/// The fastest latency of late.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    latency: Duration,
    since: Timestamp,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            limit_calls: INITIAL_LIMIT_CALLS,
            running_calls: 0,
            window_calls: 0,
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
    pub fn finish(&mut self, sample: Sample, now: Timestamp) {
        self.running_calls = self.running_calls.saturating_sub(1);
        match sample {
            Sample::Answered(latency) => self.learn(latency, now),
            Sample::PushedBack => self.set_limit(self.limit_calls * PUSHBACK_RATIO),
            Sample::Ignored => {}
        }
    }

    /// Forgets what was learned, as for an upstream that came back.
    pub fn reset(&mut self) {
        *self = Self {
            running_calls: self.running_calls,
            ..Self::default()
        };
    }

    fn learn(&mut self, latency: Duration, now: Timestamp) {
        let baseline = self.renew_baseline(latency, now);
        self.window_calls += 1;
        self.window_total += latency;
        if self.window_calls < WINDOW_CALL_COUNT {
            return;
        }
        let mean = self.window_total / self.window_calls;
        self.adjust(baseline, mean);
        self.window_calls = 0;
        self.window_total = Duration::ZERO;
        self.window_peak_calls = self.running_calls;
    }

    fn renew_baseline(&mut self, latency: Duration, now: Timestamp) -> Duration {
        let fresh = self
            .baseline
            .filter(|baseline| now.saturating_sub(baseline.since) < BASELINE_LIFETIME);
        match fresh {
            Some(baseline) if baseline.latency <= latency => baseline.latency,
            _ => {
                self.baseline = Some(Baseline {
                    latency,
                    since: now,
                });
                latency
            }
        }
    }

    fn adjust(&mut self, baseline: Duration, mean: Duration) {
        let ratio = baseline.as_secs_f64() * TOLERANCE_RATIO / mean.as_secs_f64().max(1e-9);
        let gradient = ratio.clamp(MIN_GRADIENT_RATIO, 1.0);
        let headroom = self.limit_calls.sqrt();
        let target = self.limit_calls * gradient + headroom;
        // A limit that is not used tells nothing, and must not grow.
        let used = f64::from(self.window_peak_calls) * 2.0 >= self.limit_calls;
        if target > self.limit_calls && !used {
            return;
        }
        self.set_limit(self.limit_calls + (target - self.limit_calls) * SMOOTHING_RATIO);
    }

    fn set_limit(&mut self, limit_calls: f64) {
        self.limit_calls = limit_calls.clamp(MIN_LIMIT_CALLS, MAX_LIMIT_CALLS);
    }
}
