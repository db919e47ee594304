//! What decides imports nothing that does I/O (see docs/ARCHITECTURE.md).

#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// The folders whose code decides and does no I/O.
const DECIDING: [&str; 6] = ["batch", "control", "engine", "host", "share", "step"];

/// What does I/O, or starts what does.
const DOING: [&str; 9] = [
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
const LIBRARIES: [&str; 5] = ["hyper", "hyper_util", "tokio", "tonic", "xitca_web"];

/// The most files that lie flat in `src/`.
const MAX_FLAT_COUNT: usize = 8;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

/// Returns the first names behind `crate::` and of the libraries that a file uses.
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
        for (place, c) in group.char_indices() {
            match c {
                '{' => depth += 1,
                '}' if depth == 0 => break,
                '}' => depth -= 1,
                ',' if depth == 0 => is_start = true,
                c if depth == 0 && is_start && !c.is_whitespace() => {
                    found.insert(name(&group[place..]));
                    is_start = false;
                }
                _ => {}
            }
        }
    }
    for library in LIBRARIES {
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
    let mut wrong = Vec::new();
    for folder in DECIDING {
        for path in sources(&root().join(folder)) {
            let imports = imports(&fs::read_to_string(&path).unwrap());
            for name in DOING.iter().chain(&LIBRARIES) {
                if imports.contains(*name) {
                    wrong.push(format!("{}: {name}", path.display()));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// The check finds what it looks for.
#[test]
fn imports_found() {
    let text = "use crate::{\n    ids::{A, B},\n    ingress::host::Host,\n};\nuse tokio::time;";
    let found: Vec<String> = imports(text).into_iter().collect();
    assert_eq!(found, ["ids", "ingress", "tokio"]);
}

#[test]
fn flat_files() {
    let flat_count = fs::read_dir(root())
        .unwrap()
        .filter(|entry| entry.as_ref().unwrap().path().is_file())
        .count();
    assert!(flat_count <= MAX_FLAT_COUNT, "{flat_count} files lie flat");
}
