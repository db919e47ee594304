//! Which engine loads which version, by the load that it answers.

use std::collections::BTreeMap;

use mimosavane::batch::weights::{Division, EngineWeights, Load, ModelNeed};

const MODELS: [&str; 3] = ["short", "plain", "questions"];

fn engines(count: usize) -> Vec<EngineWeights> {
    (0..count)
        .map(|index| EngineWeights {
            id: format!("engine-{index:02}").into(),
            versions: MODELS.map(|model| (model.into(), 1)).into(),
            is_loading: false,
            is_orderable: true,
            run_count: 0,
        })
        .collect()
}

fn needs(
    demand_tokens: [f64; 3],
    named: u64,
    min_version: u64,
) -> BTreeMap<std::sync::Arc<str>, ModelNeed> {
    MODELS
        .iter()
        .zip(demand_tokens)
        .map(|(model, demand_tokens)| {
            let need = ModelNeed {
                named,
                min_version,
                waiting_count: 0,
                demand_tokens,
            };
            ((*model).into(), need)
        })
        .collect()
}

fn counts(division: &Division, engines: &[EngineWeights]) -> [usize; 3] {
    MODELS.map(|model| {
        engines
            .iter()
            .filter(|engine| division.model(&engine.id).is_some_and(|m| **m == *model))
            .count()
    })
}

/// Carries loads out, as many at once as are given.
fn carry_out(engines: &mut [EngineWeights], loads: &[Load]) {
    for load in loads {
        for engine in engines.iter_mut().filter(|engine| engine.id == load.engine) {
            engine.versions.insert(load.model.clone(), load.version);
        }
    }
}

/// Trainers of unlike size: engines follow their tokens.
#[test]
fn unlike_trainers() {
    let engines = engines(11);
    let mut division = Division::default();
    let needs = needs([800.0, 1_900.0, 1_800.0], 0, 0);
    division.balance(&engines, &needs);
    assert_eq!(counts(&division, &engines), [2, 5, 4]);
}

/// The demand of single jobs varies by a tenth: no engine changes models.
#[test]
fn varying_jobs() {
    let engines = engines(11);
    let mut division = Division::default();
    division.balance(&engines, &needs([1_000.0; 3], 0, 0));
    let before = counts(&division, &engines);
    for step in 0..20 {
        let wave = if step % 2 == 0 { 1.1 } else { 0.9 };
        division.balance(
            &engines,
            &needs([1_000.0 * wave, 1_000.0, 1_000.0 / wave], 0, 0),
        );
        assert_eq!(counts(&division, &engines), before);
    }
}

/// A version each step: each engine loads every second one, and half of them
/// serve the next job without a load.
#[test]
fn version_each_step() {
    let mut engines = engines(12);
    let mut division = Division::default();
    let mut load_count = 0;
    for named in 2..=9_u64 {
        let needs = needs([1_000.0; 3], named, named - 1);
        division.balance(&engines, &needs);
        for model in MODELS {
            let usable = engines
                .iter()
                .filter(|engine| division.model(&engine.id).is_some_and(|m| **m == *model))
                .filter(|engine| engine.versions[model] >= named - 1);
            assert!(usable.count() >= 2, "version {named} of {model}");
        }
        loop {
            let loads = division.loads(&engines, &needs);
            if loads.is_empty() {
                break;
            }
            assert!(loads.len() <= 2, "more engines load at once than may");
            load_count += loads.len();
            carry_out(&mut engines, &loads);
        }
    }
    assert_eq!(load_count, 8 * 6);
}

/// Engines too old for the open job load before those that only get fresher.
#[test]
fn too_old_first() {
    let mut engines = engines(3);
    let mut division = Division::default();
    let mut needs = needs([1_000.0; 3], 2, 1);
    division.balance(&engines, &needs);
    if let Some(need) = needs.get_mut("questions") {
        (need.named, need.min_version) = (5, 4);
    }
    let loads = division.loads(&engines, &needs);
    assert_eq!(loads.len(), 1);
    assert_eq!(&*loads[0].model, "questions");
    engines[0].is_loading = true;
    assert!(division.loads(&engines, &needs).is_empty());
}
