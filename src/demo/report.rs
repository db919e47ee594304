//! The report of a demo, and the promises that it is checked against.

use std::collections::BTreeMap;

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use serde::Serialize;

use super::{
    Options,
    caller::{self, OrderOutcome},
    cluster::ROWS,
    editor,
    fault::Fault,
};
use crate::standin::trainer;

/// The results of a demo.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The seed of all random choices.
    pub seed: u64,
    /// The names of the injected faults.
    pub faults: Vec<String>,
    /// The tally of each trainer, by row.
    pub trainers: BTreeMap<String, trainer::Tally>,
    /// The combined tally of the callers.
    pub callers: caller::Tally,
    /// The tally of the operators.
    pub edits: editor::Tally,
    /// The number of runs of each order, by the order's name.
    pub runs: BTreeMap<String, u32>,
}

/// The machine-readable form of a report.
#[derive(Clone, Debug, Serialize)]
pub struct Document<'a> {
    /// Whether all promises were kept.
    pub held: bool,
    /// The promises with their results.
    pub promises: Vec<Promise>,
    /// The report itself.
    #[serde(flatten)]
    pub report: &'a Report,
}

/// One promise with its result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Promise {
    /// The text of the promise.
    pub promise: &'static str,
    /// Whether it was kept.
    pub held: bool,
    /// The checked figure, with a label.
    pub figure: String,
}

impl Report {
    /// Creates the report of a demo, without trainers, callers and runs.
    pub fn new(options: &Options, edits: editor::Tally) -> Self {
        Self {
            seed: options.seed,
            faults: options.faults.iter().map(ToString::to_string).collect(),
            edits,
            ..Self::default()
        }
    }

    /// Adds the tally of one caller.
    pub fn add_caller(&mut self, tally: caller::Tally) {
        self.callers.lookups_answered += tally.lookups_answered;
        self.callers.lookups_refused += tally.lookups_refused;
        self.callers.wrong_answers += tally.wrong_answers;
        for (problem, count) in tally.refusals {
            *self.callers.refusals.entry(problem).or_default() += count;
        }
        self.callers.orders.extend(tally.orders);
    }

    /// Adds the runs that one service counted.
    pub fn add_runs(&mut self, runs: BTreeMap<String, u32>) {
        for (order, count) in runs {
            *self.runs.entry(order).or_default() += count;
        }
    }

    /// Checks the results against the promises.
    pub fn promises(&self) -> Vec<Promise> {
        let expect_zero = |promise, count: u64, what: &str| Promise {
            promise,
            held: count == 0,
            figure: format!("{count} {what}"),
        };
        let sum = |pick: fn(&trainer::Tally) -> u64| self.trainers.values().map(pick).sum::<u64>();
        let samples = sum(|tally| tally.samples);
        vec![
            Promise {
                promise: "every trainer gets whole steps",
                held: self.trainers.values().all(|tally| tally.whole_steps > 0),
                figure: format!("{samples} samples"),
            },
            expect_zero(
                "each sample names the weights that made it",
                sum(|tally| tally.misreported_samples),
                "misreported",
            ),
            expect_zero(
                "no sample is older than the staleness bound",
                sum(|tally| tally.stale_samples),
                "too old",
            ),
            expect_zero(
                "each sample is delivered once",
                sum(|tally| tally.duplicate_samples),
                "delivered again",
            ),
            Promise {
                promise: "orders and lookups are answered",
                held: self.order_count(OrderOutcome::Answered) > 0
                    && self.callers.lookups_answered > 0,
                figure: format!("{} orders", self.order_count(OrderOutcome::Answered)),
            },
            expect_zero(
                "an order runs at most once",
                self.repeated_order_count(),
                "ran twice",
            ),
            expect_zero("an answered order ran", self.lost_order_count(), "lost"),
            expect_zero(
                "a refusal that says not run is true",
                self.false_refusal_count(),
                "untrue",
            ),
            expect_zero(
                "each caller gets its own answer",
                self.callers.wrong_answers,
                "wrong",
            ),
            Promise {
                promise: "a planned stop refuses no call",
                held: !self.has_only_planned_stops() || self.refused_call_count() == 0,
                figure: format!("{} refused", self.refused_call_count()),
            },
            Promise {
                promise: "an accepted change is in force on all hosts",
                held: self.edits.not_in_force == 0 && self.edits.accepted > 0,
                figure: format!(
                    "{} accepted, the slowest in {} ms",
                    self.edits.accepted, self.edits.in_force_ms
                ),
            },
            expect_zero(
                "an accepted change never reverts",
                self.edits.reverted + self.edits.lost,
                "reverted or lost",
            ),
        ]
    }

    /// Returns whether no faults other than planned stops were injected.
    fn has_only_planned_stops(&self) -> bool {
        let rolling = Fault::RollingReplace.to_string();
        self.faults.iter().all(|fault| *fault == rolling)
    }

    fn refused_call_count(&self) -> u64 {
        self.callers.refusals.values().sum()
    }

    fn order_count(&self, outcome: OrderOutcome) -> usize {
        self.callers
            .orders
            .values()
            .filter(|other| **other == outcome)
            .count()
    }

    fn calls_text(&self) -> String {
        let calls = &self.callers;
        format!(
            "orders: {} answered, {} not run, {} unknown; lookups: {} answered, {} refused",
            self.order_count(OrderOutcome::Answered),
            self.order_count(OrderOutcome::NotRun),
            self.order_count(OrderOutcome::Unknown),
            calls.lookups_answered,
            calls.lookups_refused,
        ) + &format!(
            "\nrefusals: {:?}\nedits: {} accepted, {} conflicts, {} failed",
            calls.refusals, self.edits.accepted, self.edits.conflicts, self.edits.failed
        )
    }

    fn repeated_order_count(&self) -> u64 {
        self.runs.values().filter(|runs| **runs > 1).count() as u64
    }

    fn lost_order_count(&self) -> u64 {
        self.wrong_order_count(OrderOutcome::Answered, |runs| runs == 0)
    }

    fn false_refusal_count(&self) -> u64 {
        self.wrong_order_count(OrderOutcome::NotRun, |runs| runs > 0)
    }

    fn wrong_order_count(&self, outcome: OrderOutcome, is_wrong: fn(u32) -> bool) -> u64 {
        let orders = self
            .callers
            .orders
            .iter()
            .filter(|(_, other)| **other == outcome);
        orders
            .filter(|(order, _)| is_wrong(self.runs.get(*order).copied().unwrap_or(0)))
            .count() as u64
    }

    /// Returns the machine-readable form of the report.
    pub fn document(&self) -> Document<'_> {
        Document {
            held: self.is_held(),
            promises: self.promises(),
            report: self,
        }
    }

    /// Returns whether all promises were kept.
    pub fn is_held(&self) -> bool {
        self.promises().iter().all(|promise| promise.held)
    }

    /// Renders the report as human-readable tables.
    pub fn to_text(&self) -> String {
        let mut promises = Table::new();
        promises
            .load_preset(UTF8_FULL_CONDENSED)
            .set_header(["promise", "held", "seen"]);
        for promise in self.promises() {
            let held = if promise.held { "yes" } else { "NO" };
            promises.add_row([promise.promise, held, &promise.figure]);
        }
        let mut rows = Table::new();
        rows.load_preset(UTF8_FULL_CONDENSED).set_header([
            "row",
            "steps",
            "samples",
            "tokens",
            "of tokens",
            "of weight",
            "age",
            "idle",
            "retries",
        ]);
        let tokens = self
            .trainers
            .values()
            .map(|tally| tally.tokens)
            .sum::<u64>();
        let weights = ROWS.iter().map(|(_, weight)| weight).sum::<f64>();
        for (row, tally) in &self.trainers {
            rows.add_row([
                row.clone(),
                tally.whole_steps.to_string(),
                tally.samples.to_string(),
                tally.tokens.to_string(),
                percent(tally.tokens as f64, tokens as f64),
                percent(weight_of(row), weights),
                format!("{:.2}", mean_age(tally)),
                format!("{} %", 100 * tally.idle_ms / tally.elapsed_ms.max(1)),
                tally.retries.to_string(),
            ]);
        }
        format!("{rows}\n{}\n{promises}\n", self.calls_text())
    }
}

/// Returns the weight of a trainer's row, or 0 if the row is unknown.
fn weight_of(row: &str) -> f64 {
    let known = ROWS.iter().find(|(name, _)| *name == row);
    known.map_or(0.0, |(_, weight)| *weight)
}

fn percent(part: f64, whole: f64) -> String {
    format!("{:.0} %", 100.0 * part / whole.max(f64::MIN_POSITIVE))
}

/// Returns the mean age of a trainer's samples, in versions.
fn mean_age(tally: &trainer::Tally) -> f64 {
    let ages = tally.samples_by_age_versions.iter();
    let sum = ages.map(|(age, count)| age * count).sum::<u64>();
    sum as f64 / tally.samples.max(1) as f64
}
