//! Tests which engine loads which weight version, under several load patterns.

use std::collections::{BTreeMap, BTreeSet};

use mimosavane::batch::weights::{EngineWeights, Load, ModelNeed, plan_loads};

const MODELS: [&str; 3] = ["short", "plain", "questions"];

fn engines(count: usize) -> Vec<EngineWeights> {
    (0..count)
        .map(|index| EngineWeights {
            id: format!("engine-{index:02}").into(),
            versions: MODELS.map(|model| (model.into(), 1)).into(),
            loading: None,
            is_orderable: true,
            run_counts: BTreeMap::new(),
        })
        .collect()
}

fn needs(named: u64) -> BTreeMap<std::sync::Arc<str>, ModelNeed> {
    let need = ModelNeed {
        named,
        min_version: named.saturating_sub(1),
        waiting_count: 0,
    };
    MODELS.map(|model| (model.into(), need)).into()
}

/// Completes `loads` on their engines.
fn carry_out(engines: &mut [EngineWeights], loads: &[Load]) {
    for load in loads {
        for engine in engines.iter_mut().filter(|engine| engine.id == load.engine) {
            engine.versions.insert(load.model.clone(), load.version);
        }
    }
}

fn usable_count(engines: &[EngineWeights], model: &str, version: u64) -> usize {
    engines
        .iter()
        .filter(|engine| engine.versions[model] >= version)
        .count()
}

/// Every step names a new version of each model. At most a third of the engines
/// load it, as many as can load in time and at no cost, and all of these can
/// serve the next job at once.
#[test]
fn version_each_step() {
    for (engine_count, third) in [(11, 3), (45, 12)] {
        let mut engines = engines(engine_count);
        let mut load_count = 0;
        for named in 2..=9_u64 {
            let needs = needs(named);
            for model in MODELS {
                assert!(usable_count(&engines, model, named - 1) >= third);
            }
            loop {
                let loads = plan_loads(&engines, &needs, 0);
                if loads.is_empty() {
                    break;
                }
                let loading: BTreeSet<_> = loads.iter().map(|load| &load.engine).collect();
                assert_eq!(loading.len(), loads.len(), "an engine loads twice at once");
                assert!(loads.len() <= (engine_count as f64 * 0.2).round() as usize);
                load_count += loads.len();
                carry_out(&mut engines, &loads);
            }
            // The engines that served the previous job still can.
            for model in MODELS {
                assert!(usable_count(&engines, model, named - 1) >= 2 * third);
            }
        }
        assert_eq!(load_count, 8 * 3 * third);
    }
}

/// The model with the most waiting items is loaded first.
#[test]
fn most_waiting_first() {
    let engines = engines(3);
    let mut needs = needs(5);
    if let Some(need) = needs.get_mut("questions") {
        need.waiting_count = 40;
    }
    let loads = plan_loads(&engines, &needs, 0);
    assert_eq!(loads.len(), 1);
    assert_eq!(&*loads[0].model, "questions");
}

/// The maximum number of engines are loading already: no more loads are
/// ordered.
#[test]
fn loads_under_way() {
    let mut engines = engines(11);
    engines[0].loading = Some("short".into());
    engines[1].loading = Some("plain".into());
    assert!(plan_loads(&engines, &needs(2), 0).is_empty());
}

/// An idle engine loads rather than one with runs.
#[test]
fn idle_engine_first() {
    let mut engines = engines(3);
    engines[0].run_counts.insert("short".into(), 8);
    engines[1].run_counts.insert("short".into(), 5);
    let loads = plan_loads(&engines, &needs(2), 0);
    assert_eq!(&*loads[0].engine, "engine-02");
}

/// Trainers catch up and name versions of all models at once: each model gets
/// its first loads before any model gets its full share.
#[test]
fn versions_at_once() {
    let engines = engines(45);
    let loads = plan_loads(&engines, &needs(2), 0);
    for model in MODELS {
        let count = loads.iter().filter(|load| *load.model == *model).count();
        assert_eq!(count, 3, "{model}");
    }
}

/// With 3,000 engines, planning examines each engine a few times rather than
/// once per load.
#[test]
fn large_fleet() {
    let engines = engines(3_000);
    let needs = needs(2);
    let loads = plan_loads(&engines, &needs, 0);
    assert_eq!(loads.len(), 600);
    let ordered: BTreeSet<_> = loads.iter().map(|load| &load.engine).collect();
    assert_eq!(ordered.len(), 600);
    for model in MODELS {
        let count = loads.iter().filter(|load| *load.model == *model).count();
        assert_eq!(count, 200, "{model}");
    }
}
