//! Plays a recorded trace through the real controllers in virtual time.
//!
//! `mimosavane replay` runs it (see docs/TRACES.md). The same trace gives the
//! same report, byte for byte. Baselines run beside the real policies.

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

/// The name of the real ranking in comparisons.
const FAIR_QUEUE: &str = "weighted-fair";

/// The name of the ranking without shares.
const FIRST_COME: &str = "first-come";

/// One figure, over all rows or of one.
type Key = (Figure, Option<RowId>);

/// The figures of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures(BTreeMap<Key, f64>);

impl Figures {
    /// Returns a figure over all rows, or of one; what was never counted is 0.
    pub fn get(&self, figure: Figure, row: Option<&RowId>) -> f64 {
        self.0
            .get(&(figure, row.cloned()))
            .copied()
            .unwrap_or_default()
    }
}

/// A stated outcome with what was counted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// What the trace states.
    #[serde(flatten)]
    pub outcome: Outcome,
    /// What was counted.
    pub seen: f64,
    /// Whether it is within the bounds.
    pub held: bool,
}

/// One policy in the comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// The policy of engines.
    pub policy: &'static str,
    /// The ranking of the queues.
    pub queue: &'static str,
    /// The part of their time that trainers waited.
    pub idle_ratio: f64,
    /// The median time of a step.
    pub step_p50_ms: f64,
    /// The 99th percentile of that time.
    pub step_p99_ms: f64,
    /// The mean age of samples.
    pub mean_age_versions: f64,
    /// Samples over the bound.
    pub stale_sample_count: f64,
    /// The part of tokens that reached no trainer.
    pub waste_ratio: f64,
    /// Jain's index over weighted tokens.
    pub jain_ratio: f64,
}

/// What came of a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The trace's title.
    pub title: String,
    /// The promise that it is about.
    pub promise: String,
    /// The stated outcomes with what was counted.
    pub outcomes: Vec<Verdict>,
    /// The real policies first, then the baselines; empty where no trainer ran.
    pub comparison: Vec<Compared>,
}

impl Report {
    /// Says whether all outcomes are within their bounds.
    pub fn is_held(&self) -> bool {
        self.outcomes.iter().all(|verdict| verdict.held)
    }

    /// Renders the report for people.
    pub fn to_text(&self) -> String {
        let mut outcomes = Table::new();
        outcomes
            .load_preset(UTF8_FULL_CONDENSED)
            .set_header(["figure", "row", "seen", "least", "most", "held"]);
        for verdict in &self.outcomes {
            let bound = |bound: Option<f64>| bound.map(show).unwrap_or_default();
            outcomes.add_row([
                verdict.outcome.figure.to_string(),
                verdict
                    .outcome
                    .row
                    .as_deref()
                    .unwrap_or_default()
                    .to_owned(),
                show(verdict.seen),
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
        for compared in &self.comparison {
            table.add_row([
                compared.policy.to_owned(),
                compared.queue.to_owned(),
                show(compared.idle_ratio),
                show(compared.step_p50_ms),
                show(compared.step_p99_ms),
                show(compared.mean_age_versions),
                show(compared.stale_sample_count),
                show(compared.waste_ratio),
                show(compared.jain_ratio),
            ]);
        }
        format!("{table}\n")
    }
}

/// Shows at most three decimals, and none where they are zero.
fn show(value: f64) -> String {
    let text = format!("{value:.3}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Plays `trace` with the real policies, and beside them with the baselines.
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
        comparison.push(run::<Baseline<Random>, Weighted>(trace, FAIR_QUEUE, baseline).1);
        comparison.push(run::<Baseline<RoundRobin>, Weighted>(trace, FAIR_QUEUE, baseline).1);
        comparison.push(run::<Baseline<LeastRequests>, Weighted>(trace, FAIR_QUEUE, baseline).1);
        comparison.push(run::<Baseline<PowerOfTwo>, Weighted>(trace, FAIR_QUEUE, baseline).1);
        comparison
            .push(run::<Router, FirstCome>(trace, FIRST_COME, |host| Router::new(host.clone())).1);
    }
    let outcomes = trace.header.outcomes.iter();
    Report {
        title: trace.header.title.clone(),
        promise: trace.header.promise.clone(),
        outcomes: outcomes.map(|outcome| judge(outcome, &figures)).collect(),
        comparison,
    }
}

fn baseline<P: Default>(_host: &HostId) -> P {
    P::default()
}

fn judge(outcome: &Outcome, figures: &Figures) -> Verdict {
    let seen = figures.get(outcome.figure, outcome.row.as_ref());
    let is_least = outcome.min.is_none_or(|min| seen >= min);
    let is_most = outcome.max.is_none_or(|max| seen <= max);
    Verdict {
        outcome: outcome.clone(),
        seen,
        held: is_least && is_most,
    }
}

fn run<P: Policy, R: Ranking>(
    trace: &Trace,
    queue: &'static str,
    make: world::MakePolicy<P>,
) -> (Figures, Compared) {
    let mut world = World::<P, R>::new(trace, make);
    world.run();
    let figures = count(trace, &world);
    let get = |figure| figures.get(figure, None);
    let compared = Compared {
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
    (figures, compared)
}

fn count<P: Policy, R: Ranking>(trace: &Trace, world: &World<'_, P, R>) -> Figures {
    let mut figures = Figures::default();
    let duration = Duration::from_millis(trace.header.duration_ms);
    let all = world.trainers().values().collect::<Vec<_>>();
    count_trainers(&mut figures, None, &all, duration);
    for (row, trainer) in world.trainers() {
        count_trainers(&mut figures, Some(row), &[trainer], duration);
    }
    count_shares(&mut figures, trace, world);
    count_tally(&mut figures, world);
    figures
}

fn count_trainers(
    figures: &mut Figures,
    row: Option<&RowId>,
    trainers: &[&Trainer],
    duration: Duration,
) {
    let mut set = |figure, value| figures.0.insert((figure, row.cloned()), value);
    let sum = |pick: fn(&Trainer) -> u64| {
        trainers.iter().map(|trainer| pick(trainer)).sum::<u64>() as f64
    };
    let samples = sum(|trainer| trainer.tally.samples);
    set(
        Figure::WholeStepCount,
        sum(|trainer| trainer.tally.whole_steps),
    );
    set(Figure::SampleCount, samples);
    set(
        Figure::DuplicateSampleCount,
        sum(|trainer| trainer.tally.duplicates),
    );
    set(
        Figure::MisreportedSampleCount,
        sum(|trainer| trainer.tally.misreported),
    );
    set(Figure::StaleSampleCount, sum(|trainer| trainer.tally.stale));
    let age = sum(|trainer| trainer.tally.age_versions) / samples.max(1.0);
    set(Figure::MeanAgeVersions, age);
    let idle = trainers
        .iter()
        .map(|trainer| trainer.tally.idle)
        .sum::<Duration>();
    let whole = duration.as_secs_f64() * trainers.len().max(1) as f64;
    set(Figure::IdleRatio, idle.as_secs_f64() / whole);
    let mut times = trainers
        .iter()
        .flat_map(|trainer| trainer.tally.step_times.iter().copied())
        .collect::<Vec<_>>();
    times.sort_unstable();
    set(Figure::StepP50Ms, quantile_ms(&times, 0.5));
    set(Figure::StepP99Ms, quantile_ms(&times, 0.99));
}

fn quantile_ms(times: &[Duration], ratio: f64) -> f64 {
    let place = ((times.len() as f64 * ratio).ceil() as usize).max(1) - 1;
    times
        .get(place)
        .map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn count_shares<P: Policy, R: Ranking>(
    figures: &mut Figures,
    trace: &Trace,
    world: &World<'_, P, R>,
) {
    let served = world.trainers().iter().map(|(row, trainer)| {
        let tokens = trainer.tally.tokens as f64;
        tokens / world::weight_of(trace, row)
    });
    let served = served.collect::<Vec<_>>();
    let sum = served.iter().sum::<f64>();
    let squares = served.iter().map(|tokens| tokens * tokens).sum::<f64>();
    let mean = sum / served.len().max(1) as f64;
    if mean > 0.0 {
        let jain = sum * sum / (served.len() as f64 * squares);
        let errors = served.iter().map(|tokens| (tokens / mean - 1.0).abs());
        let worst = errors.fold(0.0, f64::max);
        figures.0.insert((Figure::JainRatio, None), jain);
        figures.0.insert((Figure::ShareErrorRatio, None), worst);
    }
    let taken = world
        .trainers()
        .values()
        .map(|trainer| trainer.tally.tokens);
    let generated = world.generated_tokens() as f64;
    let waste = 1.0 - taken.sum::<u64>() as f64 / generated.max(1.0);
    figures.0.insert((Figure::WasteRatio, None), waste.max(0.0));
}

fn count_tally<P: Policy, R: Ranking>(figures: &mut Figures, world: &World<'_, P, R>) {
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
    set(Figure::InForceMs, millis(tally.in_force));
    set(Figure::NotInForceCount, tally.not_in_force_count() as f64);
    set(Figure::AnsweredCallCount, tally.calls.answered as f64);
    set(Figure::NotRunCallCount, tally.calls.not_run as f64);
    set(Figure::UnknownCallCount, tally.calls.unknown as f64);
    set(Figure::UntrueRefusalCount, tally.calls.untrue as f64);
    let most_runs = tally.calls.runs.values().copied().max().unwrap_or(0);
    set(Figure::MaxRunsPerKeyCount, most_runs as f64);
    set(Figure::WrongDeathCount, tally.wrong_deaths.len() as f64);
    set(Figure::DetectMs, millis(tally.detect));
    set(Figure::WorkAfterLeavingMs, millis(tally.after_leaving));
}
