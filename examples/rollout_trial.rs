//! Compares the policies of the step controller in virtual time.
//!
//! `cargo run --release --example rollout_trial` prints the figures of
//! docs/design/stragglers.md and docs/design/staleness.md.

use std::time::Duration;

use mimosavane::{
    experiment::{Outcome, Scenario, run},
    step::{Policy, staleness::Gate},
};

/// The seeds that each comparison runs with.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn main() {
    println!("stragglers: a trainer that waits for each step");
    for (steps_ahead_count, engine_slots_count) in [(0, 32), (0, 8), (1, 32), (1, 8)] {
        let scenario = Scenario {
            steps_ahead_count,
            engine_slots_count,
            ..Scenario::default()
        };
        let faultless = Scenario {
            slow_engine_ratio: 0.0,
            stuck_request_ratio: 0.0,
            ..scenario.clone()
        };
        let name = format!("{steps_ahead_count} ahead, {engine_slots_count} slots");
        print(&format!("{name}, no faults"), &faultless, Policy::default());
        let baseline = Policy {
            mitigates_slow_attempts: false,
            raises_last_slots: false,
            ..Policy::default()
        };
        print(&format!("{name}, off"), &scenario, baseline);
        let routed_by_load = Scenario {
            routes_by_speed: false,
            ..scenario.clone()
        };
        print(&format!("{name}, off, load"), &routed_by_load, baseline);
        print(
            &format!("{name}, on, load"),
            &routed_by_load,
            Policy::default(),
        );
        print(&format!("{name}, on"), &scenario, Policy::default());
    }
    println!("gates: a trainer that changes its version within a step");
    for (seconds, bound) in [(60, 1), (45, 1), (30, 2)] {
        let mut scenario = Scenario {
            version_interval: Some(Duration::from_secs(seconds)),
            max_tokens: 1600,
            ..Scenario::default()
        };
        scenario.row.staleness_bound_versions = bound;
        let name = format!("{seconds} s, bound {bound}");
        for gate in [Gate::Open, Gate::FixedMargin { margin_versions: 1 }] {
            let policy = Policy {
                gate,
                ..Policy::default()
            };
            print(&format!("{name}, {gate}"), &scenario, policy);
        }
        for preference in [0.0, 0.5, 1.0] {
            scenario.row.idle_preference_ratio = preference;
            let name = format!("{name}, predicted, idle {preference}");
            print(&name, &scenario, Policy::default());
        }
    }
}

/// Runs a scenario with all seeds and prints one line of figures.
fn print(name: &str, scenario: &Scenario, policy: Policy) {
    let outcomes: Vec<Outcome> = SEEDS
        .map(|seed| {
            let scenario = Scenario {
                seed,
                ..scenario.clone()
            };
            run(&scenario, policy)
        })
        .collect();
    let sum = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>();
    let mean = |of: fn(&Outcome) -> f64| sum(of) / outcomes.len() as f64;
    let oldest = outcomes
        .iter()
        .filter_map(|outcome| outcome.ages.keys().max())
        .max();
    println!(
        "{name:36} idle {:5.1}%  step p50 {:6.1} s  p99 {:6.1} s  waste {:5.2}%  \
         stale {:4.0}  refused {:6.0}  hedged {:4.0}  moved {:4.0}  oldest {}",
        100.0 * mean(|outcome| outcome.idle.as_secs_f64() / outcome.duration.as_secs_f64()),
        mean(|outcome| outcome.step_wait(0.5).as_secs_f64()),
        mean(|outcome| outcome.step_wait(0.99).as_secs_f64()),
        100.0 * mean(Outcome::waste_ratio),
        sum(|outcome| outcome.counters.stale_count as f64),
        sum(|outcome| outcome.counters.refused_count as f64),
        sum(|outcome| outcome.counters.hedged_count as f64),
        sum(|outcome| outcome.counters.moved_count as f64),
        oldest.copied().unwrap_or_default(),
    );
}
