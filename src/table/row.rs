//! A row of the operators' table.
//!
//! See docs/TABLE.md for what each column means and when a change is in force.

use serde::{Deserialize, Serialize};

use crate::ids::{RowId, RowVersion, WeightVersion};

/// One trainer or member with its weight, its share of engines and its limits.
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
    /// The version of this row, raised by each accepted change.
    #[serde(default)]
    pub version: RowVersion,
    /// Its claim on engines, relative to the other rows with demand.
    #[serde(default = "defaults::weight_ratio")]
    pub weight_ratio: f64,
    /// The part of the engines that it is given before lending, from 0 to 1; 0
    /// leaves it to the weight.
    #[serde(default)]
    pub engine_share_ratio: f64,
    /// The most samples that run for it at once over the fleet; 0 is no limit.
    #[serde(default)]
    pub max_running_samples: u32,
    /// The most tokens a second that it is served over the fleet; 0 is no limit.
    #[serde(default)]
    pub max_rate_tokens_per_s: u64,
    /// The most calls a second to plain services over the fleet; 0 is no limit.
    #[serde(default)]
    pub max_rate_calls_per_s: u32,
    /// The oldest weights that a sample may show, in versions before the
    /// trainer's own.
    #[serde(default = "defaults::staleness_bound_versions")]
    pub staleness_bound_versions: WeightVersion,
    /// Whether one sample may hold tokens of several weight versions.
    #[serde(default = "defaults::mixed_versions")]
    pub mixed_versions: bool,
    /// How much idle time counts against staleness, from 0 (only staleness) to
    /// 1 (only idle time).
    #[serde(default = "defaults::idle_preference_ratio")]
    pub idle_preference_ratio: f64,
    /// Whether the row is served at all.
    #[serde(default = "defaults::enabled")]
    pub enabled: bool,
}

/// Defaults of the columns, which serde takes as functions.
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
    /// Makes a row with the defaults of all columns.
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
