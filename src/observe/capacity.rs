//! Slopes of measured costs, and what they come to at the size that the service
//! is meant for (see docs/CAPACITY.md).

use std::fmt::Write as _;

use serde::Serialize;

/// Entry hosts of the fleet that the service is meant for.
pub const HOST_COUNT: f64 = 1_000.0;

/// Engines of that fleet.
pub const ENGINE_COUNT: f64 = 6_000.0;

/// The most of a core that a host may spend on control.
pub const MAX_PROCESSOR_RATIO: f64 = 0.018;

/// The most memory that a host may spend on control.
pub const MAX_MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;

/// The most that a host may send for control.
pub const MAX_TRAFFIC_BYTES_PER_S: f64 = 28_000.0;

/// The reads that the table service takes from the whole fleet.
pub const MAX_READS_PER_S: f64 = 2_000.0;

/// The writes that the table service takes from the whole fleet.
pub const MAX_WRITES_PER_S: f64 = 300.0;

/// The parts of the service whose cost is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// All controllers of a host without traffic.
    EntryControl,
    /// Heartbeats between hosts.
    Membership,
    /// Counts of served tokens and loans of limits.
    LedgerQuota,
    /// Reads of the table.
    Follower,
    /// The owner of a step.
    StepOwner,
    /// The queues of a host's engines.
    Dispatcher,
    /// The choice of engines.
    Router,
    /// The planning of weight rollouts.
    Steward,
    /// The operators' table.
    TableServer,
    /// Claims of keyed calls.
    Claims,
}

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0.
    pub base: f64,
    /// What one more of the size adds.
    pub slope: f64,
}

impl Line {
    /// Fits the line of least squares through points of size and value; one
    /// size alone gives a constant.
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
        let spread: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size).powi(2))
            .sum();
        let product: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_value))
            .sum();
        let slope = if spread > 0.0 { product / spread } else { 0.0 };
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

/// Whether a figure keeps to its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It does.
    Holds,
    /// It does not.
    Missed,
    /// No bound is stated.
    Unbounded,
    /// It was not measured.
    NotMeasured,
}

/// One kind of cost of one role.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// The role.
    pub role: Role,
    /// What was measured.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// Points of size and value.
    pub points: Vec<(f64, f64)>,
    /// The size that the value is worked out for.
    pub size: f64,
    /// The most that the value may be at that size.
    pub max: Option<f64>,
    /// Whether a mechanism keeps the value from growing with the size, so that
    /// the largest measured one stands for all sizes.
    pub is_flat: bool,
}

impl Figure {
    /// Returns the value at the size that it is worked out for.
    ///
    /// A line that falls below zero says nothing about that size.
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

    /// Compares the value with the bound.
    pub fn verdict(&self) -> Verdict {
        match (self.value(), self.max) {
            (None, _) => Verdict::NotMeasured,
            (_, None) => Verdict::Unbounded,
            (Some(value), Some(max)) if value <= max => Verdict::Holds,
            _ => Verdict::Missed,
        }
    }
}

/// Prints figures as a table in Markdown.
pub fn text(figures: &[Figure]) -> String {
    let mut text = String::from(
        "| role | figure | unit | measured (size: value) | at size | value | bound | verdict |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for figure in figures {
        let points: Vec<String> = figure
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {}", number(*value)))
            .collect();
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} |",
            figure.role,
            figure.name,
            figure.unit,
            points.join(", "),
            figure.size,
            figure.value().map_or_else(|| "-".to_owned(), number),
            figure.max.map_or_else(|| "-".to_owned(), number),
            figure.verdict(),
        );
    }
    text
}

/// Returns figures as JSON with their values and verdicts.
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

fn number(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.4}")
    }
}
