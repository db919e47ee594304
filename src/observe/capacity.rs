//! Linear fits of measured costs, extrapolated to the target fleet size (see
//! docs/CAPACITY.md).

use std::fmt::Write as _;

use serde::Serialize;

/// The number of entry hosts in the target fleet.
pub const HOST_COUNT: f64 = 1_000.0;

/// The number of engines in the target fleet.
pub const ENGINE_COUNT: f64 = 6_000.0;

/// The maximum fraction of a core that a host may spend on control.
pub const MAX_PROCESSOR_RATIO: f64 = 0.018;

/// The maximum memory that a host may spend on control.
pub const MAX_MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;

/// The maximum control traffic that a host may send.
pub const MAX_TRAFFIC_BYTES_PER_S: f64 = 28_000.0;

/// The maximum rate of table service reads over the whole fleet.
pub const MAX_READS_PER_S: f64 = 2_000.0;

/// The maximum rate of table service writes over the whole fleet.
pub const MAX_WRITES_PER_S: f64 = 300.0;

/// A part of the service whose cost is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// All controllers of an idle host.
    EntryControl,
    /// Heartbeats between hosts.
    Membership,
    /// Counts of served tokens, and loans of limits between hosts.
    LedgerQuota,
    /// Reads of the table.
    Follower,
    /// The owner of a step.
    StepOwner,
    /// The queues of a host's engines.
    Dispatcher,
    /// The selection of engines.
    Router,
    /// The planning of weight rollouts.
    Steward,
    /// The server of the operators' table.
    TableServer,
    /// Claims of keyed calls.
    Claims,
}

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0.
    pub base: f64,
    /// The increase of the value per unit of size.
    pub slope: f64,
}

impl Line {
    /// Fits a line through points of size and value by least squares; if all
    /// points have the same size, the line is constant.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::observe::capacity::Line;
    ///
    /// let line = Line::fit(&[(0.0, 1.0), (1.0, 3.0)]);
    /// assert_eq!(line.at(10.0), 21.0);
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let size_variation: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size).powi(2))
            .sum();
        let covariation: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_value))
            .sum();
        let slope = if size_variation > 0.0 {
            covariation / size_variation
        } else {
            0.0
        };
        Self {
            base: mean_value - slope * mean_size,
            slope,
        }
    }

    /// Returns the value at `size`.
    pub const fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// The result of comparing a figure with its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The value is within the bound.
    Holds,
    /// The value exceeds the bound.
    Missed,
    /// The figure has no bound.
    Unbounded,
    /// There is no usable measurement.
    NotMeasured,
}

/// One measured cost of a role.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// The role.
    pub role: Role,
    /// The name of the cost.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The measured points of size and value.
    pub points: Vec<(f64, f64)>,
    /// The size to which the value is extrapolated.
    pub size: f64,
    /// The bound on the value at that size.
    pub max: Option<f64>,
    /// Whether a mechanism prevents the value from growing with the size, so that
    /// the largest measured value applies to all sizes.
    pub is_flat: bool,
}

impl Figure {
    /// Returns the value extrapolated to `size`.
    ///
    /// Returns `None` without points, or if the line falls below zero, since it
    /// is then not valid at that size.
    pub fn value(&self) -> Option<f64> {
        if self.is_flat {
            return self.points.iter().map(|point| point.1).reduce(f64::max);
        }
        let line = Line::fit(&self.points);
        let value = line.at(self.size);
        (!self.points.is_empty() && value >= 0.0).then_some(value)
    }

    /// Returns the largest measured size.
    pub fn largest_size(&self) -> f64 {
        self.points.iter().map(|point| point.0).fold(0.0, f64::max)
    }

    /// Compares the extrapolated value with the bound.
    pub fn verdict(&self) -> Verdict {
        match (self.value(), self.max) {
            (None, _) => Verdict::NotMeasured,
            (_, None) => Verdict::Unbounded,
            (Some(value), Some(max)) if value <= max => Verdict::Holds,
            _ => Verdict::Missed,
        }
    }
}

/// Formats figures as a Markdown table.
pub fn text(figures: &[Figure]) -> String {
    let mut text = String::from(
        "| role | figure | unit | measured (size: value) | at size | value | bound | verdict |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for figure in figures {
        let points: Vec<String> = figure
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {}", format_number(*value)))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} |",
            figure.role,
            figure.name,
            figure.unit,
            points.join(", "),
            figure.size,
            figure.value().map_or_else(|| "-".to_owned(), format_number),
            figure.max.map_or_else(|| "-".to_owned(), format_number),
            figure.verdict(),
        );
    }
    text
}

/// Returns figures as JSON, with their fitted lines, values and verdicts.
pub fn json(figures: &[Figure]) -> serde_json::Value {
    let lines = figures.iter().map(|figure| {
        serde_json::json!({
            "figure": figure,
            "line": Line::fit(&figure.points),
            "largest_size": figure.largest_size(),
            "value": figure.value(),
            "verdict": figure.verdict(),
        })
    });
    serde_json::json!({ "figures": lines.collect::<Vec<_>>() })
}

fn format_number(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.4}")
    }
}
