//! Checks that names of the platform's protocol occur only in `src/platform/`.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    fs,
    path::{Path, PathBuf},
};

const PROTOCOL_NAMES: [&str; 22] = [
    "attempt-id",
    "\"deadline-ms",
    "not-executed",
    "server-stamp",
    "expect-instance",
    "weight-versions",
    "length-hint",
    "token-usage",
    "prompt-prefix",
    "x-api-key",
    "duty-holder",
    "fence-token",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "rows-parts",
    "/-/lots",
    "/-/items",
    "/-/order",
    "/-/report",
    "op/config",
    "mimosavane_boot",
];

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("src/platform") {
            found.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

#[test]
fn names_outside() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    for path in source_files(&root) {
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        found.extend(
            PROTOCOL_NAMES
                .iter()
                .filter(|name| text.contains(**name))
                .map(|name| format!("{}: {name}", path.display())),
        );
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// Checks that only the program that starts a host on the platform imports
/// `src/platform/`.
#[test]
fn imports() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for path in source_files(&root) {
        let text = fs::read_to_string(&path).unwrap();
        let imports = text.contains("platform::{") || text.contains("platform::store");
        let is_program = path.ends_with("bin/mimosavane-entry.rs");
        assert!(!imports || is_program, "{}", path.display());
    }
}
