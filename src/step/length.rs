//! Predictions of how long samples get, from what a row's past samples did.
//!
//! The ways that were weighed stand in docs/design/stragglers.md.

use std::time::Duration;

/// Buckets for each doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Buckets up to a length of 2^20 tokens.
const BUCKET_COUNT: usize = 81;

/// The weight of all samples at which older ones lose half of theirs.
const HALVING_WEIGHT: f64 = 2_048.0;

/// How many samples of its own a group needs to count as much as its row.
const GROUP_PRIOR_COUNT: f64 = 2.0;

/// The length that is assumed before any sample was seen.
const DEFAULT_LENGTH_TOKENS: f64 = 512.0;

/// The part that a new observation has in a moving average.
const SMOOTHING_RATIO: f64 = 0.1;

/// The lengths that the samples of one group had so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLengths {
    /// Samples that ended.
    pub sample_count: u32,
    /// Their tokens.
    pub total_tokens: u64,
}

impl GroupLengths {
    /// Takes in one whole sample.
    pub fn observe(&mut self, tokens: u32) {
        self.sample_count += 1;
        self.total_tokens += u64::from(tokens);
    }
}

/// The distribution of a row's sample lengths, recent ones weighing more.
///
/// It is a histogram with buckets of equal ratio, so that its size is constant
/// and its error is below a tenth of the length.
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
/// // A sample that passed 200 tokens is one of the long ones.
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
    /// Takes in the length of one whole sample.
    pub fn observe(&mut self, tokens: u32) {
        self.weights[bucket(f64::from(tokens))] += 1.0;
        self.total_weight += 1.0;
        if self.total_weight >= HALVING_WEIGHT {
            self.halve();
        }
    }

    /// Returns the mean length, or a default before any sample.
    pub fn mean_tokens(&self) -> f64 {
        self.mean_above(0.0).unwrap_or(DEFAULT_LENGTH_TOKENS)
    }

    /// Returns the length below which the part `ratio` of samples lies, or
    /// `None` before any sample.
    pub fn quantile_tokens(&self, ratio: f64) -> Option<u32> {
        let goal = ratio.clamp(0.0, 1.0) * self.total_weight;
        let mut passed = 0.0;
        for (place, &weight) in self.weights.iter().enumerate() {
            passed += f64::from(weight);
            if passed >= goal && weight > 0.0 {
                return Some(round(middle(place)));
            }
        }
        None
    }

    /// Returns how many tokens a sample that has `generated_tokens` is expected
    /// to grow by, at least one and never past `max_tokens`.
    pub fn remaining_tokens(&self, generated_tokens: u32, max_tokens: u32) -> u32 {
        let generated = f64::from(generated_tokens);
        let whole = self
            .mean_above(generated)
            .unwrap_or_else(|| generated + DEFAULT_LENGTH_TOKENS.max(generated));
        let room = max_tokens.saturating_sub(generated_tokens).max(1);
        round(whole - generated).clamp(1, room)
    }

    /// Returns the part of samples past `generated_tokens` that grow beyond
    /// `tokens`, or 0 where none is known.
    pub fn exceeding_ratio(&self, generated_tokens: u32, tokens: u32) -> f64 {
        let past = self.weight_above(f64::from(generated_tokens));
        if past == 0.0 {
            return 0.0;
        }
        self.weight_above(f64::from(tokens.max(generated_tokens))) / past
    }

    /// Returns [`Estimator::remaining_tokens`], drawn towards what the other
    /// samples of its group did.
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

    /// Returns the mean of the lengths above `tokens`.
    fn mean_above(&self, tokens: f64) -> Option<f64> {
        let mut weight_sum = 0.0;
        let mut length_sum = 0.0;
        for (place, &weight) in self.weights.iter().enumerate() {
            let length = middle(place);
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
            .filter(|(place, _)| middle(*place) > tokens)
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

/// A moving average of a duration, such as the time that one token takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    mean: Option<Duration>,
}

impl Average {
    /// Takes in one observation.
    pub fn observe(&mut self, duration: Duration) {
        let mean = match self.mean {
            Some(mean) => mean.mul_f64(1.0 - SMOOTHING_RATIO) + duration.mul_f64(SMOOTHING_RATIO),
            None => duration,
        };
        self.mean = Some(mean);
    }

    /// Returns the average, or `default` before any observation.
    pub fn mean_or(&self, default: Duration) -> Duration {
        self.mean.unwrap_or(default)
    }
}

/// Returns the bucket of a length.
fn bucket(tokens: f64) -> usize {
    let place = tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (place.round() as usize).min(BUCKET_COUNT - 1)
}

/// Returns the length in the middle of a bucket.
fn middle(place: usize) -> f64 {
    (place as f64 / BUCKETS_PER_OCTAVE).exp2()
}

fn round(tokens: f64) -> u32 {
    tokens.round() as u32
}
