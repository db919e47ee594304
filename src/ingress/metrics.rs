//! Counters and latency histograms, served as text.
//!
//! Metrics are emitted through `cadence` like those of the other programs; here
//! they are aggregated in memory instead of sent as datagrams. docs/METRICS.md
//! lists them.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// The largest time that a histogram records; longer ones are recorded as this.
const MAX_TIME_MS: u64 = 600_000;

/// The number of significant digits in a histogram.
const HISTOGRAM_DIGITS: u8 = 2;

/// The quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Aggregates the metrics that `cadence` emits.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    totals: Arc<Mutex<Totals>>,
}

#[derive(Debug, Default)]
struct Totals {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, f64>,
    times: BTreeMap<String, Histogram<u64>>,
    unreadable_count: u64,
}

impl MetricSink for Exposition {
    /// Records one metric in StatsD format: `name:value|kind|#tags`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        if totals.record(metric).is_none() {
            totals.unreadable_count += 1;
        }
        Ok(metric.len())
    }
}

impl Totals {
    fn record(&mut self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut fields = rest.split('|');
        let value = fields.next()?;
        match fields.next()? {
            "c" => {
                *self.counters.entry(name.to_owned()).or_default() += value.parse::<u64>().ok()?;
            }
            "g" => {
                let tags = fields.next().and_then(|tags| tags.strip_prefix('#'));
                let labels = tags.map(labels).unwrap_or_default();
                self.gauges
                    .insert(format!("{name}{labels}"), value.parse().ok()?);
            }
            "ms" => {
                let time_ms = value.parse::<f64>().ok()? as u64;
                if !self.times.contains_key(name) {
                    let histogram =
                        Histogram::new_with_bounds(1, MAX_TIME_MS, HISTOGRAM_DIGITS).ok()?;
                    self.times.insert(name.to_owned(), histogram);
                }
                self.times.get_mut(name)?.saturating_record(time_ms.max(1));
            }
            _ => return None,
        }
        Some(())
    }
}

impl Exposition {
    /// Returns all metrics as text, one per line.
    pub fn page(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        // Writing to a string does not fail.
        for (name, total) in &totals.counters {
            let _ = writeln!(page, "{} {total}", exposed_name(name));
        }
        for (name, level) in &totals.gauges {
            let _ = writeln!(page, "{} {level}", exposed_name(name));
        }
        for (name, times) in &totals.times {
            let name = exposed_name(name);
            for quantile in QUANTILES {
                let time_ms = times.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}{{quantile=\"{quantile}\"}} {time_ms}");
            }
            let _ = writeln!(page, "{name}_count {}", times.len());
        }
        let _ = writeln!(page, "metrics_unreadable_count {}", totals.unreadable_count);
        page
    }
}

/// Returns the name of a metric as it is served; its labels stay as they are.
fn exposed_name(name: &str) -> String {
    let (name, labels) = name.split_at(name.find('{').unwrap_or(name.len()));
    name.replace('.', "_") + labels
}

/// Returns the labels for tags in StatsD format: `key:value`, separated by commas.
fn labels(tags: &str) -> String {
    let labels: Vec<String> = tags
        .split(',')
        .filter_map(|tag| tag.split_once(':'))
        .map(|(key, value)| format!("{key}=\"{value}\""))
        .collect();
    format!("{{{}}}", labels.join(","))
}
