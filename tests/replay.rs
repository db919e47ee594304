//! Replays the recorded traces and checks their expected outcomes.

use std::{fs, path::PathBuf, thread};

use mimosavane::{observe::trace::Trace, replay};

fn traces() -> Vec<PathBuf> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/traces");
    let entries = fs::read_dir(folder).expect("the folder of traces exists");
    let mut paths = entries
        .flatten()
        .map(|entry| entry.path())
        .collect::<Vec<_>>();
    assert!(paths.len() >= 20, "only {} traces", paths.len());
    paths.sort();
    paths
}

#[test]
fn stated_outcomes() {
    let missed = thread::scope(|scope| {
        let runs = traces().into_iter().map(|path| {
            scope.spawn(move || {
                let report = replay::play(&Trace::load(&path).unwrap(), false);
                (!report.is_held()).then(|| format!("{}\n{}", path.display(), report.to_text()))
            })
        });
        let runs = runs.collect::<Vec<_>>();
        let missed = runs.into_iter().filter_map(|run| run.join().unwrap());
        missed.collect::<String>()
    });
    assert!(missed.is_empty(), "{missed}");
}

#[test]
fn same_bytes() {
    let path = traces()
        .into_iter()
        .find(|path| path.ends_with("owner-killed.jsonl"));
    let trace = Trace::load(&path.unwrap()).unwrap();
    let play = || serde_json::to_string(&replay::play(&trace, false)).unwrap();
    assert_eq!(play(), play());
}

#[test]
fn missed_outcome() {
    let path = traces()
        .into_iter()
        .find(|path| path.ends_with("two-editors.jsonl"));
    let text = fs::read_to_string(path.unwrap()).unwrap();
    let wrong = text.replace(
        r#""figure": "conflict_count", "min": 1, "max": 1"#,
        r#""figure": "conflict_count", "min": 2"#,
    );
    assert_ne!(text, wrong);
    assert!(!replay::play(&Trace::parse(&wrong).unwrap(), false).is_held());
}
