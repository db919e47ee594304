//! A row of the operators' table.
//!
//! See docs/TABLE.md for the meaning of each column and for when a change takes
//! effect.

use serde::{Deserialize, Serialize};

use crate::ids::{RowId, RowVersion, WeightVersion};

/// The weight, engine share and limits of one trainer or member.
///
/// # Examples
///
/// ```
/// let row = mimosavane::Row::new("guides");
/// assert_eq!(row.weight_ratio, 1.0);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The name of the trainer or member.
    pub id: RowId,
    /// The version of this row, which increases with each accepted change to it.
    #[serde(default)]
    pub version: RowVersion,
    /// The row's weight in the allocation of engines, relative to the other rows
    /// with demand.
    #[serde(default = "defaults::weight_ratio")]
    pub weight_ratio: f64,
    /// The fraction of the engines reserved for the row before lending, from 0 to
    /// 1; at 0 only the weight counts.
    #[serde(default)]
    pub engine_share_ratio: f64,
    /// The maximum number of the row's samples that run concurrently across the
    /// fleet; 0 means no limit.
    #[serde(default)]
    pub max_running_samples: u32,
    /// The maximum rate of tokens served to the row across the fleet, per second; 0
    /// means no limit.
    #[serde(default)]
    pub max_rate_tokens_per_s: u64,
    /// The maximum rate of the row's calls to plain services across the fleet, per
    /// second; 0 means no limit.
    #[serde(default)]
    pub max_rate_calls_per_s: u32,
    /// The maximum age of the weights in a sample, in versions behind the trainer's
    /// current version.
    #[serde(default = "defaults::staleness_bound_versions")]
    pub staleness_bound_versions: WeightVersion,
    /// Whether one sample may contain tokens from several weight versions.
    #[serde(default = "defaults::mixed_versions")]
    pub mixed_versions: bool,
    /// The weight of idle time against staleness, from 0 (only staleness counts) to
    /// 1 (only idle time counts).
    #[serde(default = "defaults::idle_preference_ratio")]
    pub idle_preference_ratio: f64,
    /// Whether requests for the row are served.
    #[serde(default = "defaults::enabled")]
    pub enabled: bool,
}

/// Default values of the columns, as functions for serde.
mod defaults {
    pub(crate) const fn weight_ratio() -> f64 {
        1.0
    }

    pub(crate) const fn staleness_bound_versions() -> u64 {
        2
    }

    pub(crate) const fn mixed_versions() -> bool {
        true
    }

    pub(crate) const fn idle_preference_ratio() -> f64 {
        0.5
    }

    pub(crate) const fn enabled() -> bool {
        true
    }
}

impl Row {
    /// Creates a row with default values in all columns.
    pub fn new(id: impl Into<RowId>) -> Self {
        Self {
            id: id.into(),
            version: 0,
            weight_ratio: defaults::weight_ratio(),
            engine_share_ratio: 0.0,
            max_running_samples: 0,
            max_rate_tokens_per_s: 0,
            max_rate_calls_per_s: 0,
            staleness_bound_versions: defaults::staleness_bound_versions(),
            mixed_versions: defaults::mixed_versions(),
            idle_preference_ratio: defaults::idle_preference_ratio(),
            enabled: defaults::enabled(),
        }
    }
}
