//! The burn report: burn rates and alerts over all hosts.

use std::{collections::BTreeMap, io::BufRead, sync::Arc};

use comfy_table::{Table, presets};
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator as _;

use crate::{
    ids::{HostId, RowId},
    observe::{
        burn::{HostWindows, Objective, Tally, Window},
        explain::{Missing, RecordingError},
    },
    settings::ObjectiveSettings,
};

/// The burn rate that consumes 2% of a 30-day budget within one hour.
pub const FAST_BURN_RATIO: f64 = 14.4;
/// The burn rate that consumes 5% of a 30-day budget within six hours.
pub const SLOW_BURN_RATIO: f64 = 6.0;

/// The row or host that a line reports on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// One row over all hosts.
    Row(RowId),
    /// One host over all rows.
    Host(HostId),
}

/// The urgency of a burn rate.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Alert {
    /// There were no events to evaluate.
    NoData,
    /// No pair of windows reaches its threshold.
    #[default]
    None,
    /// The middle and the long window reach [`SLOW_BURN_RATIO`].
    Slow,
    /// The short and the middle window reach [`FAST_BURN_RATIO`].
    Fast,
}

/// The burn rate of one objective over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// The window.
    pub window: Window,
    /// The events in the window.
    pub tally: Tally,
    /// The fraction of bad events divided by the allowed fraction; absent without
    /// events.
    pub burn_ratio: Option<f64>,
}

/// The burn rates of one objective for one row or host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The objective.
    pub objective: Objective,
    /// The row or host.
    pub scope: Scope,
    /// The burn rates by window, shortest first.
    pub rates: Vec<Rate>,
    /// The resulting alert.
    pub alert: Alert,
    /// The event counts by age in buckets, for the charts.
    #[serde(skip)]
    pub buckets: Vec<Tally>,
}

/// The burn report.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     observe::{burn::{Objective, Recorder, Tally}, burn_report::{Alert, Report}},
///     settings::ObjectiveSettings,
/// };
/// use std::time::Duration;
///
/// let mut recorder = Recorder::new(1.0);
/// let calls = Tally {
///     bad_count: 50,
///     total_count: 100,
/// };
/// recorder.count(Objective::CallSuccess, "roll", calls, Duration::ZERO);
/// let windows = recorder.export("entry-1", Duration::ZERO);
/// let report = Report::merge(&ObjectiveSettings::default(), [windows], []);
/// assert_eq!(report.lines[0].alert, Alert::Fast);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The hosts whose counts are included.
    pub hosts: Vec<HostId>,
    /// The hosts whose counts are missing.
    pub missing: Vec<Missing>,
    /// The duration of one bucket.
    pub bucket_ms: u64,
    /// The lines ordered by objective, with rows before hosts.
    pub lines: Vec<Line>,
}

/// The part of a recorded line that contains counts.
#[derive(Deserialize)]
struct RecordedLine {
    burn: Option<HostWindows>,
}

impl Report {
    /// Merges the counts of hosts.
    ///
    /// A host whose bucket length differs from the first host's cannot be merged;
    /// it is listed as missing.
    pub fn merge(
        settings: &ObjectiveSettings,
        windows: impl IntoIterator<Item = HostWindows>,
        missing: impl IntoIterator<Item = Missing>,
    ) -> Self {
        let mut missing: Vec<Missing> = missing.into_iter().collect();
        let mut hosts = Vec::new();
        let mut bucket_ms = None;
        let mut sums: BTreeMap<(Objective, Scope), Vec<Tally>> = BTreeMap::new();
        for host in windows {
            if *bucket_ms.get_or_insert(host.bucket_ms) != host.bucket_ms {
                missing.push(Missing {
                    host: host.host,
                    reason: "its windows differ in length".into(),
                });
                continue;
            }
            for series in &host.series {
                let row = Scope::Row(series.row.clone());
                let by_host = Scope::Host(host.host.clone());
                add_buckets(
                    sums.entry((series.objective, row)).or_default(),
                    &series.buckets,
                );
                add_buckets(
                    sums.entry((series.objective, by_host)).or_default(),
                    &series.buckets,
                );
            }
            hosts.push(host.host);
        }
        hosts.sort();
        let lines = sums
            .into_iter()
            .map(|((objective, scope), buckets)| Line::new(objective, scope, buckets, settings))
            .collect();
        Self {
            hosts,
            missing,
            bucket_ms: bucket_ms.unwrap_or_default(),
            lines,
        }
    }

    /// Reads the latest counts of each host from a recording.
    ///
    /// # Errors
    ///
    /// Fails if a line is not a JSON object or its counts are malformed.
    pub fn read(
        settings: &ObjectiveSettings,
        recording: impl BufRead,
    ) -> Result<Self, RecordingError> {
        let mut windows = BTreeMap::new();
        for (index, text) in recording.lines().enumerate() {
            let line = index + 1;
            let text = text.map_err(|source| RecordingError::Read { line, source })?;
            if text.trim().is_empty() {
                continue;
            }
            let read: RecordedLine = serde_json::from_str(&text)
                .map_err(|source| RecordingError::Parse { line, source })?;
            if let Some(burn) = read.burn {
                windows.insert(burn.host.clone(), burn);
            }
        }
        Ok(Self::merge(settings, windows.into_values(), []))
    }

    /// Returns whether every host answered and there is no slow or fast alert.
    pub fn is_met(&self) -> bool {
        self.missing.is_empty() && self.lines.iter().all(|line| line.alert < Alert::Slow)
    }

    /// Formats the report as text.
    pub fn to_text(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        let mut header = vec!["objective".to_owned(), "row or host".to_owned()];
        header.extend(Window::iter().map(|window| format!("burn {}", self.window_name(window))));
        header.push("alert".to_owned());
        table.set_header(header);
        for line in &self.lines {
            let mut cells = vec![line.objective.to_string(), line.scope.to_string()];
            cells.extend(line.rates.iter().map(|rate| rate.to_text()));
            cells.push(line.alert.to_string());
            table.add_row(cells);
        }
        let mut text = format!("{table}\n{} hosts counted\n", self.hosts.len());
        for missing in &self.missing {
            text.push_str(&format!(
                "nothing known of {}: {}\n",
                missing.host, missing.reason
            ));
        }
        text
    }

    /// Returns the name of a window, which is its length after scaling.
    pub fn window_name(&self, window: Window) -> Arc<str> {
        let unscaled_ms = 60_000;
        if self.bucket_ms == unscaled_ms || self.bucket_ms == 0 {
            return window.to_string().into();
        }
        let length_ms = self.bucket_ms * window.bucket_count() as u64;
        format!("{} s", length_ms as f64 / 1e3).into()
    }
}

impl Line {
    fn new(
        objective: Objective,
        scope: Scope,
        buckets: Vec<Tally>,
        settings: &ObjectiveSettings,
    ) -> Self {
        let budget_ratio = objective.budget_ratio(settings);
        let rates: Vec<Rate> = Window::iter()
            .map(|window| Rate::new(window, &buckets, budget_ratio))
            .collect();
        let alert = alert(&rates);
        Self {
            objective,
            scope,
            rates,
            alert,
            buckets,
        }
    }
}

impl Rate {
    fn new(window: Window, buckets: &[Tally], budget_ratio: f64) -> Self {
        let mut tally = Tally::default();
        for bucket in buckets.iter().take(window.bucket_count()) {
            tally.add(*bucket);
        }
        Self {
            window,
            tally,
            burn_ratio: tally
                .bad_ratio()
                .map(|bad_ratio| burn_ratio(bad_ratio, budget_ratio)),
        }
    }

    fn to_text(self) -> String {
        self.burn_ratio
            .map_or_else(|| "no data".to_owned(), |ratio| format!("{ratio:.2}"))
    }
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Row(row) => write!(f, "row {row}"),
            Self::Host(host) => write!(f, "host {host}"),
        }
    }
}

/// Returns how many times faster than allowed the budget is consumed.
pub fn burn_ratio(bad_ratio: f64, budget_ratio: f64) -> f64 {
    if bad_ratio == 0.0 {
        0.0
    } else {
        bad_ratio / budget_ratio.max(f64::EPSILON)
    }
}

/// Returns the alert level.
///
/// Windows are evaluated in pairs: the longer one shows that the burn has lasted,
/// the shorter one that it is still going on.
fn alert(rates: &[Rate]) -> Alert {
    let burns = |window: Window, limit: f64| {
        rates
            .iter()
            .find(|rate| rate.window == window)
            .and_then(|rate| rate.burn_ratio)
            .is_some_and(|ratio| ratio >= limit)
    };
    if rates.iter().all(|rate| rate.burn_ratio.is_none()) {
        Alert::NoData
    } else if burns(Window::Short, FAST_BURN_RATIO) && burns(Window::Middle, FAST_BURN_RATIO) {
        Alert::Fast
    } else if burns(Window::Middle, SLOW_BURN_RATIO) && burns(Window::Long, SLOW_BURN_RATIO) {
        Alert::Slow
    } else {
        Alert::None
    }
}

/// Adds buckets of the same age.
fn add_buckets(sum: &mut Vec<Tally>, buckets: &[Tally]) {
    if sum.len() < buckets.len() {
        sum.resize(buckets.len(), Tally::default());
    }
    for (sum, bucket) in sum.iter_mut().zip(buckets) {
        sum.add(*bucket);
    }
}
