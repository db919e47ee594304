//! Replays a recorded trace against the production controllers in virtual time.
//!
//! This is the engine of `mimosavane replay` (see docs/TRACES.md). A replay is
//! deterministic: the same trace gives the same report, byte for byte. The trace
//! can also be replayed with baseline policies, for comparison.

use std::{collections::BTreeMap, time::Duration};

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use serde::Serialize;

use crate::{
    engine::{
        baseline::{Baseline, FirstCome, LeastRequests, PowerOfTwo, Random, RoundRobin},
        routing::{Policy, Router},
    },
    ids::{HostId, RowId},
    observe::trace::{Figure, Outcome, Trace},
    share::{charge::Weighted, fairness::Ranking},
};

mod effect;
mod engine;
mod fault;
mod generation;
mod route;
mod table;
mod tally;
mod trainer;
mod world;

use trainer::Trainer;
use world::World;

/// The name of the production queue ranking in comparisons.
const FAIR_QUEUE: &str = "weighted-fair";

/// The name of the queue ranking that ignores shares.
const FIRST_COME: &str = "first-come";

/// A figure of one row, or of all rows together if the row is `None`.
type FigureKey = (Figure, Option<RowId>);

/// The figures of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures(BTreeMap<FigureKey, f64>);

impl Figures {
    /// Returns a figure of `row`, or of all rows together if `row` is `None`. A
    /// figure that was never recorded is 0.
    pub fn get(&self, figure: Figure, row: Option<&RowId>) -> f64 {
        self.0
            .get(&(figure, row.cloned()))
            .copied()
            .unwrap_or_default()
    }
}

/// An expected outcome and the measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The outcome that the trace expects.
    #[serde(flatten)]
    pub outcome: Outcome,
    /// The measured figure.
    pub seen: f64,
    /// Whether the figure is within the expected bounds.
    pub held: bool,
}

/// The figures of one pair of policies in the comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyFigures {
    /// The policy that chooses engines.
    pub policy: &'static str,
    /// The ranking of the engine queues.
    pub queue: &'static str,
    /// The fraction of their time that trainers spent waiting for samples.
    pub idle_ratio: f64,
    /// The median duration of a step.
    pub step_p50_ms: f64,
    /// The 99th percentile of the duration of a step.
    pub step_p99_ms: f64,
    /// The mean age of delivered samples.
    pub mean_age_versions: f64,
    /// The number of samples that exceeded the staleness bound.
    pub stale_sample_count: f64,
    /// The fraction of generated tokens that reached no trainer.
    pub waste_ratio: f64,
    /// Jain's fairness index over the tokens of each row divided by its weight.
    pub jain_ratio: f64,
}

/// The result of replaying a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The title of the trace.
    pub title: String,
    /// The promise that the trace checks.
    pub promise: String,
    /// The expected outcomes and the measured figures.
    pub outcomes: Vec<Verdict>,
    /// The production policies, then the baselines. Empty if no trainer received
    /// samples or no baselines were requested.
    pub comparison: Vec<PolicyFigures>,
}

impl Report {
    /// Returns whether all figures are within their expected bounds.
    pub fn is_held(&self) -> bool {
        self.outcomes.iter().all(|verdict| verdict.held)
    }

    /// Returns the report as human-readable text.
    pub fn to_text(&self) -> String {
        let mut outcomes = Table::new();
        outcomes
            .load_preset(UTF8_FULL_CONDENSED)
            .set_header(["figure", "row", "seen", "least", "most", "held"]);
        for verdict in &self.outcomes {
            let bound = |bound: Option<f64>| bound.map(format_value).unwrap_or_default();
            outcomes.add_row([
                verdict.outcome.figure.to_string(),
                verdict
                    .outcome
                    .row
                    .as_deref()
                    .unwrap_or_default()
                    .to_owned(),
                format_value(verdict.seen),
                bound(verdict.outcome.min),
                bound(verdict.outcome.max),
                if verdict.held { "yes" } else { "NO" }.to_owned(),
            ]);
        }
        let mut text = format!("{}: {}\n{outcomes}\n", self.title, self.promise);
        if !self.comparison.is_empty() {
            text.push_str(&self.comparison_text());
        }
        text
    }

    fn comparison_text(&self) -> String {
        let mut table = Table::new();
        table.load_preset(UTF8_FULL_CONDENSED).set_header([
            "engines",
            "queue",
            "idle",
            "step p50 ms",
            "step p99 ms",
            "age",
            "stale",
            "waste",
            "Jain",
        ]);
        for policy_figures in &self.comparison {
            table.add_row([
                policy_figures.policy.to_owned(),
                policy_figures.queue.to_owned(),
                format_value(policy_figures.idle_ratio),
                format_value(policy_figures.step_p50_ms),
                format_value(policy_figures.step_p99_ms),
                format_value(policy_figures.mean_age_versions),
                format_value(policy_figures.stale_sample_count),
                format_value(policy_figures.waste_ratio),
                format_value(policy_figures.jain_ratio),
            ]);
        }
        format!("{table}\n")
    }
}

/// Formats `value` with at most three decimals and no trailing zeros.
fn format_value(value: f64) -> String {
    let text = format!("{value:.3}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Replays `trace` with the production policies and, if `with_baselines` is set,
/// with the baseline policies.
///
/// # Examples
///
/// ```
/// use mimosavane::{observe::trace::Trace, replay};
///
/// let text = r#"{"format":"mimosavane-trace/1","title":"calm","promise":"none","seed":1,"duration_ms":100,"settings":{},"outcomes":[{"figure":"revert_count","max":0}]}"#;
/// let report = replay::play(&Trace::parse(text)?, true);
/// assert!(report.is_held());
/// # Ok::<(), mimosavane::observe::trace::TraceError>(())
/// ```
pub fn play(trace: &Trace, with_baselines: bool) -> Report {
    let (figures, real) =
        run::<Router, Weighted>(trace, FAIR_QUEUE, |host| Router::new(host.clone()));
    let mut comparison = Vec::new();
    if figures.get(Figure::SampleCount, None) > 0.0 && with_baselines {
        comparison.push(real);
        comparison.push(run::<Baseline<Random>, Weighted>(trace, FAIR_QUEUE, new_baseline).1);
        comparison.push(run::<Baseline<RoundRobin>, Weighted>(trace, FAIR_QUEUE, new_baseline).1);
        comparison
            .push(run::<Baseline<LeastRequests>, Weighted>(trace, FAIR_QUEUE, new_baseline).1);
        comparison.push(run::<Baseline<PowerOfTwo>, Weighted>(trace, FAIR_QUEUE, new_baseline).1);
        comparison
            .push(run::<Router, FirstCome>(trace, FIRST_COME, |host| Router::new(host.clone())).1);
    }
    let outcomes = trace.header.outcomes.iter();
    Report {
        title: trace.header.title.clone(),
        promise: trace.header.promise.clone(),
        outcomes: outcomes
            .map(|outcome| evaluate(outcome, &figures))
            .collect(),
        comparison,
    }
}

fn new_baseline<P: Default>(_host: &HostId) -> P {
    P::default()
}

fn evaluate(outcome: &Outcome, figures: &Figures) -> Verdict {
    let seen = figures.get(outcome.figure, outcome.row.as_ref());
    let is_above_min = outcome.min.is_none_or(|min| seen >= min);
    let is_below_max = outcome.max.is_none_or(|max| seen <= max);
    Verdict {
        outcome: outcome.clone(),
        seen,
        held: is_above_min && is_below_max,
    }
}

fn run<P: Policy, R: Ranking>(
    trace: &Trace,
    queue: &'static str,
    make_policy: world::MakePolicy<P>,
) -> (Figures, PolicyFigures) {
    let mut world = World::<P, R>::new(trace, make_policy);
    world.run();
    let figures = collect_figures(trace, &world);
    let get = |figure| figures.get(figure, None);
    let policy_figures = PolicyFigures {
        policy: P::NAME,
        queue,
        idle_ratio: get(Figure::IdleRatio),
        step_p50_ms: get(Figure::StepP50Ms),
        step_p99_ms: get(Figure::StepP99Ms),
        mean_age_versions: get(Figure::MeanAgeVersions),
        stale_sample_count: get(Figure::StaleSampleCount),
        waste_ratio: get(Figure::WasteRatio),
        jain_ratio: get(Figure::JainRatio),
    };
    (figures, policy_figures)
}

fn collect_figures<P: Policy, R: Ranking>(trace: &Trace, world: &World<'_, P, R>) -> Figures {
    let mut figures = Figures::default();
    let duration = Duration::from_millis(trace.header.duration_ms);
    let all = world.trainers().values().collect::<Vec<_>>();
    collect_trainer_figures(&mut figures, None, &all, duration);
    for (row, trainer) in world.trainers() {
        collect_trainer_figures(&mut figures, Some(row), &[trainer], duration);
    }
    collect_share_figures(&mut figures, trace, world);
    collect_tally_figures(&mut figures, world);
    figures
}

fn collect_trainer_figures(
    figures: &mut Figures,
    row: Option<&RowId>,
    trainers: &[&Trainer],
    duration: Duration,
) {
    let mut set = |figure, value| figures.0.insert((figure, row.cloned()), value);
    let sum = |pick: fn(&Trainer) -> u64| {
        trainers.iter().map(|trainer| pick(trainer)).sum::<u64>() as f64
    };
    let samples = sum(|trainer| trainer.counts.sample_count);
    set(
        Figure::WholeStepCount,
        sum(|trainer| trainer.counts.whole_step_count),
    );
    set(Figure::SampleCount, samples);
    set(
        Figure::DuplicateSampleCount,
        sum(|trainer| trainer.counts.duplicate_count),
    );
    set(
        Figure::MisreportedSampleCount,
        sum(|trainer| trainer.counts.misreported_count),
    );
    set(
        Figure::StaleSampleCount,
        sum(|trainer| trainer.counts.stale_count),
    );
    let age = sum(|trainer| trainer.counts.total_age_versions) / samples.max(1.0);
    set(Figure::MeanAgeVersions, age);
    let idle = trainers
        .iter()
        .map(|trainer| trainer.counts.idle_time)
        .sum::<Duration>();
    let total_s = duration.as_secs_f64() * trainers.len().max(1) as f64;
    set(Figure::IdleRatio, idle.as_secs_f64() / total_s);
    let mut times = trainers
        .iter()
        .flat_map(|trainer| trainer.counts.step_times.iter().copied())
        .collect::<Vec<_>>();
    times.sort_unstable();
    set(Figure::StepP50Ms, quantile_ms(&times, 0.5));
    set(Figure::StepP99Ms, quantile_ms(&times, 0.99));
}

fn quantile_ms(times: &[Duration], ratio: f64) -> f64 {
    let index = ((times.len() as f64 * ratio).ceil() as usize).max(1) - 1;
    times
        .get(index)
        .map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn collect_share_figures<P: Policy, R: Ranking>(
    figures: &mut Figures,
    trace: &Trace,
    world: &World<'_, P, R>,
) {
    let weighted_tokens = world.trainers().iter().map(|(row, trainer)| {
        let tokens = trainer.counts.token_count as f64;
        tokens / world::weight_of(trace, row)
    });
    let weighted_tokens = weighted_tokens.collect::<Vec<_>>();
    let sum = weighted_tokens.iter().sum::<f64>();
    let squares = weighted_tokens
        .iter()
        .map(|tokens| tokens * tokens)
        .sum::<f64>();
    let mean = sum / weighted_tokens.len().max(1) as f64;
    if mean > 0.0 {
        let jain = sum * sum / (weighted_tokens.len() as f64 * squares);
        let errors = weighted_tokens
            .iter()
            .map(|tokens| (tokens / mean - 1.0).abs());
        let worst = errors.fold(0.0, f64::max);
        figures.0.insert((Figure::JainRatio, None), jain);
        figures.0.insert((Figure::ShareErrorRatio, None), worst);
    }
    let delivered = world
        .trainers()
        .values()
        .map(|trainer| trainer.counts.token_count);
    let generated = world.generated_tokens() as f64;
    let waste = 1.0 - delivered.sum::<u64>() as f64 / generated.max(1.0);
    figures.0.insert((Figure::WasteRatio, None), waste.max(0.0));
}

fn collect_tally_figures<P: Policy, R: Ranking>(figures: &mut Figures, world: &World<'_, P, R>) {
    let tally = world.tally();
    let millis = |time: Duration| time.as_secs_f64() * 1e3;
    let mut set = |figure, value| figures.0.insert((figure, None), value);
    let counters = world.counters();
    let dispatched = counters.dispatched_count.max(1) as f64;
    set(
        Figure::HedgeRatio,
        counters.hedged_count as f64 / dispatched,
    );
    set(Figure::AcceptedChangeCount, tally.accepted_count as f64);
    set(Figure::ConflictCount, tally.conflict_count as f64);
    set(Figure::RevertCount, tally.revert_count as f64);
    set(Figure::InForceMs, millis(tally.max_in_force_delay));
    set(Figure::NotInForceCount, tally.not_in_force_count() as f64);
    set(Figure::AnsweredCallCount, tally.calls.answered_count as f64);
    set(Figure::NotRunCallCount, tally.calls.not_run_count as f64);
    set(Figure::UnknownCallCount, tally.calls.unknown_count as f64);
    set(
        Figure::UntrueRefusalCount,
        tally.calls.false_refusal_count as f64,
    );
    let most_runs = tally.calls.run_counts.values().copied().max().unwrap_or(0);
    set(Figure::MaxRunsPerKeyCount, most_runs as f64);
    set(Figure::WrongDeathCount, tally.wrong_deaths.len() as f64);
    set(Figure::DetectMs, millis(tally.max_detection_delay));
    set(
        Figure::WorkAfterLeavingMs,
        millis(tally.max_work_after_leaving),
    );
}
