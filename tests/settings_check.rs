//! Tests that all mistakes of a settings file are reported at once, each with its
//! position.

use std::{collections::BTreeSet, path::Path};

use mimosavane::settings::{
    PoolSettings, Settings, SettingsError, check,
    field::{self, FIELDS, Presence},
};
use serde_json::Value;

const MINIMAL: &str = include_str!("data/settings/minimal.yaml");
const MISTAKES: &str = include_str!("data/settings/mistakes.yaml");
const EXPECTED: &str = include_str!("data/settings/mistakes.expected");

#[test]
fn all_at_once() {
    let mistakes = check::check("host.yaml", MISTAKES);
    let reported: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    for line in EXPECTED.lines() {
        let start = format!("host.yaml:{line}");
        let found = reported.iter().any(|line| line.starts_with(&start));
        assert!(found, "{start} is missing in {reported:#?}");
    }
    assert_eq!(reported.len(), EXPECTED.lines().count(), "{reported:#?}");
    assert!(mistakes.is_sorted_by_key(|mistake| mistake.line));
}

#[test]
fn secrets_untold() {
    let reported = format!("{:?}", check::check("host.yaml", MISTAKES));
    assert!(!reported.contains("0123456789abcdef"));
    assert!(!reported.contains("short\""));
}

#[test]
fn broken_yaml() {
    let mistakes = check::check("host.yaml", "host:\n  id: [a\nplatform: {}\n");
    assert_eq!(mistakes.len(), 1, "{mistakes:?}");
    assert!(mistakes[0].line >= 2);
    assert!(!check::check("host.yaml", "").is_empty());
    assert!(!check::check("host.yaml", "- 1\n- 2\n").is_empty());
}

#[test]
fn repeated_section() {
    let text = format!("{MINIMAL}platform:\n  timeout_ms: 1\n");
    assert!(!check::check("host.yaml", &text).is_empty());
}

#[test]
fn missing_file() {
    let error = Settings::load(Path::new("tests/data/settings/none.yaml"));
    assert!(matches!(error, Err(SettingsError::Read { .. })));
    let error = Settings::load(Path::new("tests/data/settings/mistakes.yaml"));
    let Err(SettingsError::Invalid(mistakes)) = error else {
        panic!("{error:?}");
    };
    assert_eq!(&*mistakes[0].file, "tests/data/settings/mistakes.yaml");
}

/// Collects the dotted paths of all leaf values in `value`.
fn paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    let is_leaf = FIELDS.iter().any(|field| field.path == path);
    match value {
        Value::Object(fields) if !is_leaf => {
            for (name, value) in fields {
                let name = if path == "pools" { "*" } else { name };
                let path = format!("{path}.{name}");
                paths(value, path.trim_start_matches('.'), found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

#[test]
fn table_is_complete() {
    let mut settings = Settings::parse(MINIMAL).unwrap();
    settings
        .pools
        .insert("orders".to_owned(), PoolSettings::default());
    let value = serde_json::to_value(&settings).unwrap();
    let mut found = BTreeSet::new();
    paths(&value, "", &mut found);
    let listed: BTreeSet<String> = FIELDS.iter().map(|field| field.path.to_owned()).collect();
    assert_eq!(found, listed);
}

#[test]
fn defaults_agree() {
    let mut settings = Settings::parse(MINIMAL).unwrap();
    settings
        .pools
        .insert("*".to_owned(), PoolSettings::default());
    let value = serde_json::to_value(&settings).unwrap();
    for field in FIELDS {
        let Presence::Default(text) = field.presence else {
            continue;
        };
        let pointer = format!("/{}", field.path.replace('.', "/"));
        let default: Value = serde_norway::from_str(text).unwrap();
        assert_eq!(value.pointer(&pointer), Some(&default), "{}", field.path);
    }
}

#[test]
fn page_is_current() {
    let page = std::fs::read_to_string("docs/SETTINGS.md").unwrap();
    assert_eq!(page, field::page(), "run cargo run --example pages");
}
