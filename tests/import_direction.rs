//! Checks that the decision code imports nothing that does I/O (see
//! docs/ARCHITECTURE.md).

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// The folders with decision code, which does no I/O.
const DECISION_FOLDERS: [&str; 10] = [
    "batch",
    "control",
    "engine",
    "host",
    "ingress/accounts",
    "ingress/memory",
    "ingress/usage",
    "ingress/capacity",
    "share",
    "step",
];

/// The folders whose code does I/O or starts code that does.
const IO_FOLDERS: [&str; 9] = [
    "command",
    "connection",
    "demo",
    "entry",
    "ingress",
    "load",
    "platform",
    "replay",
    "standin",
];

/// The libraries that do I/O.
const IO_LIBRARIES: [&str; 5] = ["hyper", "hyper_util", "tokio", "tonic", "xitca_web"];

/// The maximum number of files directly in `src/`.
const MAX_TOP_LEVEL_COUNT: usize = 8;

fn source_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

/// Returns the top-level modules that follow `crate::` in `text` and the
/// libraries of [`IO_LIBRARIES`] that it uses.
fn imports(text: &str) -> BTreeSet<String> {
    let code: String = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .flat_map(|line| [line, "\n"])
        .collect();
    let mut found = BTreeSet::new();
    let name = |text: &str| -> String {
        text.chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect()
    };
    for (at, start) in code.match_indices("crate::") {
        let rest = &code[at + start.len()..];
        let Some(group) = rest.strip_prefix('{') else {
            found.insert(name(rest));
            continue;
        };
        let mut depth = 0;
        let mut is_start = true;
        for (index, c) in group.char_indices() {
            match c {
                '{' => depth += 1,
                '}' if depth == 0 => break,
                '}' => depth -= 1,
                ',' if depth == 0 => is_start = true,
                c if depth == 0 && is_start && !c.is_whitespace() => {
                    found.insert(name(&group[index..]));
                    is_start = false;
                }
                _ => {}
            }
        }
    }
    for library in IO_LIBRARIES {
        let is_used = code
            .match_indices(&format!("{library}::"))
            .any(|(at, _)| !code[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_'));
        if is_used {
            found.insert(library.to_owned());
        }
    }
    found
}

#[test]
fn deciding_code() {
    let mut violations = Vec::new();
    for folder in DECISION_FOLDERS {
        for path in source_files(&source_root().join(folder)) {
            let imports = imports(&fs::read_to_string(&path).unwrap());
            for name in IO_FOLDERS.iter().chain(&IO_LIBRARIES) {
                if imports.contains(*name) {
                    violations.push(format!("{}: {name}", path.display()));
                }
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a check that misses imports.
#[test]
fn imports_found() {
    let text = "use crate::{\n    ids::{A, B},\n    ingress::host::Host,\n};\nuse tokio::time;";
    let found: Vec<String> = imports(text).into_iter().collect();
    assert_eq!(found, ["ids", "ingress", "tokio"]);
}

#[test]
fn flat_files() {
    let top_level_count = fs::read_dir(source_root())
        .unwrap()
        .filter(|entry| entry.as_ref().unwrap().path().is_file())
        .count();
    assert!(
        top_level_count <= MAX_TOP_LEVEL_COUNT,
        "{top_level_count} files are directly in src/"
    );
}
