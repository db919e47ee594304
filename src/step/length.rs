//! Prediction of sample lengths from a row's earlier samples.
//!
//! docs/design/stragglers.md describes the alternatives that were considered.

use std::time::Duration;

/// Number of histogram buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of buckets; covers lengths up to 2^20 tokens.
const BUCKET_COUNT: usize = 81;

/// Total weight at which all weights are halved, so that old samples lose
/// influence.
const HALVING_WEIGHT: f64 = 2_048.0;

/// Number of a group's own samples at which the group's mean and the row's
/// prediction weigh the same.
const GROUP_PRIOR_COUNT: f64 = 2.0;

/// The length assumed before the first sample.
const DEFAULT_LENGTH_TOKENS: f64 = 512.0;

/// Smoothing factor of the moving average: the weight of a new observation.
const SMOOTHING_RATIO: f64 = 0.1;

/// Total length of the completed samples of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLengths {
    /// Number of completed samples.
    pub sample_count: u32,
    /// Sum of their tokens.
    pub total_tokens: u64,
}

impl GroupLengths {
    /// Records the length of one complete sample.
    pub fn observe(&mut self, tokens: u32) {
        self.sample_count += 1;
        self.total_tokens += u64::from(tokens);
    }
}

/// The distribution of a row's sample lengths, weighted towards recent samples.
///
/// A histogram with logarithmic buckets: its size is constant and its error is
/// below a tenth of the length.
///
/// # Examples
///
/// ```
/// use mimosavane::step::length::Estimator;
///
/// let mut estimator = Estimator::default();
/// for tokens in [100, 110, 120, 900] {
///     estimator.observe(tokens);
/// }
/// // A sample of more than 200 tokens is one of the long ones.
/// assert!(estimator.remaining_tokens(200, 4096) > 500);
/// ```
#[derive(Clone, Debug)]
pub struct Estimator {
    weights: [f32; BUCKET_COUNT],
    total_weight: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKET_COUNT],
            total_weight: 0.0,
        }
    }
}

impl Estimator {
    /// Records the length of one complete sample.
    pub fn observe(&mut self, tokens: u32) {
        self.weights[bucket_index(f64::from(tokens))] += 1.0;
        self.total_weight += 1.0;
        if self.total_weight >= HALVING_WEIGHT {
            self.halve();
        }
    }

    /// Returns the mean length, or a default before the first sample.
    pub fn mean_tokens(&self) -> f64 {
        self.mean_above(0.0).unwrap_or(DEFAULT_LENGTH_TOKENS)
    }

    /// Returns the length that the fraction `ratio` of samples does not exceed,
    /// or `None` before the first sample.
    pub fn quantile_tokens(&self, ratio: f64) -> Option<u32> {
        let target_weight = ratio.clamp(0.0, 1.0) * self.total_weight;
        let mut cumulative_weight = 0.0;
        for (index, &weight) in self.weights.iter().enumerate() {
            cumulative_weight += f64::from(weight);
            if cumulative_weight >= target_weight && weight > 0.0 {
                return Some(round(bucket_tokens(index)));
            }
        }
        None
    }

    /// Returns how many more tokens a sample with `generated_tokens` is
    /// expected to generate: at least one, and no more than `max_tokens`
    /// allows.
    pub fn remaining_tokens(&self, generated_tokens: u32, max_tokens: u32) -> u32 {
        let generated = f64::from(generated_tokens);
        let expected_total = self
            .mean_above(generated)
            .unwrap_or_else(|| generated + DEFAULT_LENGTH_TOKENS.max(generated));
        let room = max_tokens.saturating_sub(generated_tokens).max(1);
        round(expected_total - generated).clamp(1, room)
    }

    /// Returns the fraction of samples longer than `generated_tokens` that also
    /// exceed `tokens`, or 0 if no such sample was observed.
    pub fn exceeding_ratio(&self, generated_tokens: u32, tokens: u32) -> f64 {
        let weight_past = self.weight_above(f64::from(generated_tokens));
        if weight_past == 0.0 {
            return 0.0;
        }
        self.weight_above(f64::from(tokens.max(generated_tokens))) / weight_past
    }

    /// Returns [`Estimator::remaining_tokens`] blended with the mean length of
    /// the group's completed samples.
    pub fn remaining_in_group(
        &self,
        group: GroupLengths,
        generated_tokens: u32,
        max_tokens: u32,
    ) -> u32 {
        let row = f64::from(self.remaining_tokens(generated_tokens, max_tokens));
        let count = f64::from(group.sample_count);
        if count == 0.0 {
            return round(row).max(1);
        }
        let mean = group.total_tokens as f64 / count;
        let generated = f64::from(generated_tokens);
        if mean <= generated {
            return round(row).max(1);
        }
        let ratio = count / (count + GROUP_PRIOR_COUNT);
        let room = max_tokens.saturating_sub(generated_tokens).max(1);
        round(ratio * (mean - generated) + (1.0 - ratio) * row).clamp(1, room)
    }

    /// Returns the mean of the lengths above `tokens`, or `None` if there are
    /// none.
    fn mean_above(&self, tokens: f64) -> Option<f64> {
        let mut weight_sum = 0.0;
        let mut length_sum = 0.0;
        for (index, &weight) in self.weights.iter().enumerate() {
            let length = bucket_tokens(index);
            if weight > 0.0 && length > tokens {
                weight_sum += f64::from(weight);
                length_sum += f64::from(weight) * length;
            }
        }
        (weight_sum > 0.0).then(|| length_sum / weight_sum)
    }

    fn weight_above(&self, tokens: f64) -> f64 {
        let buckets = self.weights.iter().enumerate();
        buckets
            .filter(|(index, _)| bucket_tokens(*index) > tokens)
            .map(|(_, &weight)| f64::from(weight))
            .sum()
    }

    fn halve(&mut self) {
        for weight in &mut self.weights {
            *weight /= 2.0;
        }
        self.total_weight /= 2.0;
    }
}

/// An exponential moving average of a duration, such as the time per token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MovingAverage {
    mean: Option<Duration>,
}

impl MovingAverage {
    /// Records one observation.
    pub fn observe(&mut self, duration: Duration) {
        let mean = match self.mean {
            Some(mean) => mean.mul_f64(1.0 - SMOOTHING_RATIO) + duration.mul_f64(SMOOTHING_RATIO),
            None => duration,
        };
        self.mean = Some(mean);
    }

    /// Returns the average, or `default` before the first observation.
    pub fn mean_or(&self, default: Duration) -> Duration {
        self.mean.unwrap_or(default)
    }
}

/// Returns the index of the bucket for a length.
fn bucket_index(tokens: f64) -> usize {
    let index = tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (index.round() as usize).min(BUCKET_COUNT - 1)
}

/// Returns the length at the middle of a bucket.
fn bucket_tokens(index: usize) -> f64 {
    (index as f64 / BUCKETS_PER_OCTAVE).exp2()
}

fn round(tokens: f64) -> u32 {
    tokens.round() as u32
}
