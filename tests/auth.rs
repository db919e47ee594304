//! Tests the role that a request's key gives its sender.

use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
use mimosavane::{
    settings::KeySettings,
    table::auth::{Keys, Role},
};

fn keys() -> Keys {
    let mut settings = KeySettings {
        fleet: "fleet-secret".to_owned(),
        ..KeySettings::default()
    };
    settings
        .operators
        .insert("ana".to_owned(), "ana-secret".to_owned());
    settings
        .operators
        .insert("nobody".to_owned(), String::new());
    settings
        .rows
        .insert("guides".into(), "guides-secret".to_owned());
    Keys::new(&settings)
}

fn role(header: &'static str) -> Role {
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, HeaderValue::from_static(header));
    keys().role(&headers)
}

#[test]
fn each_role() {
    assert_eq!(role("Bearer ana-secret"), Role::Operator("ana".into()));
    assert_eq!(role("bearer guides-secret"), Role::Row("guides".into()));
    assert_eq!(keys().role(&HeaderMap::new()), Role::None);
}

#[test]
fn wrong_token() {
    for header in [
        "Bearer ana-secre",
        "Bearer ana-secret2",
        "Bearer ",
        "Bearer",
        "Basic ana-secret",
        "ana-secret",
        "Bearer fleet-secret",
    ] {
        assert_eq!(role(header), Role::None, "{header}");
    }
}

#[test]
fn rival_row() {
    let guides = role("Bearer guides-secret");
    assert!(guides.owns("guides"));
    assert!(!guides.owns("menus"));
    assert!(!role("Bearer ana-secret").owns("guides"));
}

#[test]
fn fleet_secret() {
    assert!(keys().is_fleet_secret("fleet-secret"));
    assert!(!keys().is_fleet_secret("ana-secret"));
    assert!(!Keys::new(&KeySettings::default()).is_fleet_secret(""));
}

#[test]
fn never_printed() {
    let shown = format!("{:?}", keys());
    assert!(!shown.contains("secret"));
}
