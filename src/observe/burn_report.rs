//! The report on service-level burn over all hosts.

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

/// The burn rate that uses up 2% of a 30-day budget within an hour.
pub const FAST_BURN_RATIO: f64 = 14.4;
/// The burn rate that uses up 5% of a 30-day budget within six hours.
pub const SLOW_BURN_RATIO: f64 = 6.0;

/// What a line is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// One row over all hosts.
    Row(RowId),
    /// One host over all rows.
    Host(HostId),
}

/// How urgent a burn is.
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
    /// Nothing happened that could be judged.
    NoData,
    /// The budget lasts.
    #[default]
    None,
    /// The middle and the long window burn.
    Slow,
    /// The short and the middle window burn.
    Fast,
}

/// The burn of one objective in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// The window.
    pub window: Window,
    /// What happened in it.
    pub tally: Tally,
    /// The bad part over the part that may be bad; absent without events.
    pub burn_ratio: Option<f64>,
}

/// One objective of one row or host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// What is promised.
    pub objective: Objective,
    /// To whom, or by which host.
    pub scope: Scope,
    /// The burn by window, the shortest first.
    pub rates: Vec<Rate>,
    /// How urgent it is.
    pub alert: Alert,
    /// The events by age in buckets, for the charts.
    #[serde(skip)]
    pub buckets: Vec<Tally>,
}

/// The report.
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
    /// The hosts whose counts are in it.
    pub hosts: Vec<HostId>,
    /// The hosts whose counts are not, so that nothing is known of them.
    pub missing: Vec<Missing>,
    /// The time of one bucket.
    pub bucket_ms: u64,
    /// The lines by objective, rows before hosts.
    pub lines: Vec<Line>,
}

/// The part of a recording's line that tells counts.
#[derive(Deserialize)]
struct RecordedLine {
    burn: Option<HostWindows>,
}

impl Report {
    /// Merges the counts of hosts.
    ///
    /// Hosts whose buckets differ in length cannot be merged; the report names
    /// them as missing.
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
                add(
                    sums.entry((series.objective, row)).or_default(),
                    &series.buckets,
                );
                add(
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

    /// Reads the last counts of each host from a recording.
    ///
    /// # Errors
    ///
    /// Fails on a line that is no JSON object, or whose counts are malformed.
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

    /// Says whether every host answered and no budget burns.
    pub fn is_held(&self) -> bool {
        self.missing.is_empty() && self.lines.iter().all(|line| line.alert < Alert::Slow)
    }

    /// Writes the report for people.
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

    /// Names a window by its length after scaling.
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

/// Returns how many times faster than allowed the budget is used up.
pub fn burn_ratio(bad_ratio: f64, budget_ratio: f64) -> f64 {
    if bad_ratio == 0.0 {
        0.0
    } else {
        bad_ratio / budget_ratio.max(f64::EPSILON)
    }
}

/// Judges the windows in pairs, so that a burn both lasts and goes on.
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

/// Adds buckets age by age.
fn add(sum: &mut Vec<Tally>, buckets: &[Tally]) {
    if sum.len() < buckets.len() {
        sum.resize(buckets.len(), Tally::default());
    }
    for (sum, bucket) in sum.iter_mut().zip(buckets) {
        sum.add(*bucket);
    }
}
