//! What a demo promises, and what it saw.

use std::collections::BTreeMap;

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use serde::Serialize;

use super::{
    Options,
    caller::{self, Told},
    cluster::ROWS,
    editor,
    fault::Fault,
};
use crate::standin::trainer;

/// What a demo saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// What the choices were seeded with.
    pub seed: u64,
    /// What went wrong on purpose.
    pub faults: Vec<String>,
    /// What each trainer saw, by row.
    pub trainers: BTreeMap<String, trainer::Tally>,
    /// What the callers saw.
    pub callers: caller::Tally,
    /// What the operators saw.
    pub edits: editor::Tally,
    /// How often each order ran.
    pub runs: BTreeMap<String, u32>,
}

/// The report as a document for programs.
#[derive(Clone, Debug, Serialize)]
pub struct Document<'a> {
    /// Whether all promises held.
    pub held: bool,
    /// The promises with what was counted.
    pub promises: Vec<Promise>,
    /// What was seen.
    #[serde(flatten)]
    pub report: &'a Report,
}

/// One promise with what was counted against it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Promise {
    /// What is promised.
    pub promise: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was counted.
    pub figure: String,
}

impl Report {
    /// Starts the report of a demo.
    pub fn new(options: &Options, edits: editor::Tally) -> Self {
        Self {
            seed: options.seed,
            faults: options.faults.iter().map(ToString::to_string).collect(),
            edits,
            ..Self::default()
        }
    }

    /// Adds what one caller saw.
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

    /// Holds what was seen against what is promised.
    pub fn promises(&self) -> Vec<Promise> {
        let none = |promise, count: u64, what: &str| Promise {
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
            none(
                "each sample names the weights that made it",
                sum(|tally| tally.misreported_samples),
                "misreported",
            ),
            none(
                "no sample is older than the staleness bound",
                sum(|tally| tally.stale_samples),
                "too old",
            ),
            none(
                "each sample is delivered once",
                sum(|tally| tally.duplicate_samples),
                "delivered again",
            ),
            Promise {
                promise: "orders and lookups are answered",
                held: self.told(Told::Answered) > 0 && self.callers.lookups_answered > 0,
                figure: format!("{} orders", self.told(Told::Answered)),
            },
            none("an order runs at most once", self.doubled(), "ran twice"),
            none("an answered order ran", self.lost(), "lost"),
            none(
                "a refusal that says not run is true",
                self.untrue(),
                "untrue",
            ),
            none(
                "each caller gets its own answer",
                self.callers.wrong_answers,
                "wrong",
            ),
            Promise {
                promise: "a planned stop refuses no call",
                held: !self.is_only_rolling() || self.refused_calls() == 0,
                figure: format!("{} refused", self.refused_calls()),
            },
            Promise {
                promise: "an accepted change is in force on all hosts",
                held: self.edits.not_in_force == 0 && self.edits.accepted > 0,
                figure: format!(
                    "{} accepted, the slowest in {} ms",
                    self.edits.accepted, self.edits.in_force_ms
                ),
            },
            none(
                "an accepted change never reverts",
                self.edits.reverted + self.edits.lost,
                "reverted or lost",
            ),
        ]
    }

    /// Says whether planned stops were all that happened.
    fn is_only_rolling(&self) -> bool {
        let rolling = Fault::RollingReplace.to_string();
        self.faults.iter().all(|fault| *fault == rolling)
    }

    fn refused_calls(&self) -> u64 {
        self.callers.refusals.values().sum()
    }

    fn told(&self, told: Told) -> usize {
        self.callers
            .orders
            .values()
            .filter(|seen| **seen == told)
            .count()
    }

    fn calls_text(&self) -> String {
        let calls = &self.callers;
        format!(
            "orders: {} answered, {} not run, {} unknown; lookups: {} answered, {} refused",
            self.told(Told::Answered),
            self.told(Told::NotRun),
            self.told(Told::Unknown),
            calls.lookups_answered,
            calls.lookups_refused,
        ) + &format!(
            "\nrefusals: {:?}\nedits: {} accepted, {} conflicts, {} failed",
            calls.refusals, self.edits.accepted, self.edits.conflicts, self.edits.failed
        )
    }

    fn doubled(&self) -> u64 {
        self.runs.values().filter(|runs| **runs > 1).count() as u64
    }

    fn lost(&self) -> u64 {
        self.count_orders(Told::Answered, |runs| runs == 0)
    }

    fn untrue(&self) -> u64 {
        self.count_orders(Told::NotRun, |runs| runs > 0)
    }

    fn count_orders(&self, told: Told, is_wrong: fn(u32) -> bool) -> u64 {
        let orders = self
            .callers
            .orders
            .iter()
            .filter(|(_, seen)| **seen == told);
        orders
            .filter(|(order, _)| is_wrong(self.runs.get(*order).copied().unwrap_or(0)))
            .count() as u64
    }

    /// Returns the report as a document for programs.
    pub fn document(&self) -> Document<'_> {
        Document {
            held: self.is_held(),
            promises: self.promises(),
            report: self,
        }
    }

    /// Says whether all promises held.
    pub fn is_held(&self) -> bool {
        self.promises().iter().all(|promise| promise.held)
    }

    /// Renders the report for people.
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

/// Returns the weight of a row of the demo.
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
