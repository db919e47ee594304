//! Tests of the linear fits of measured costs and their report.

use std::process::Command;

use mimosavane::observe::capacity::{Figure, Line, Role, Verdict};
use strum::IntoEnumIterator as _;

#[test]
fn known_line() {
    let points = [(12.0, 29.0), (100.0, 205.0), (300.0, 605.0)];
    let line = Line::fit(&points);
    assert!((line.base - 5.0).abs() < 1e-9, "{line:?}");
    assert!((line.slope - 2.0).abs() < 1e-9, "{line:?}");
    let mut figure = Figure {
        role: Role::Follower,
        name: "reads",
        unit: "1/s",
        points: points.to_vec(),
        size: 1_000.0,
        max: Some(2_004.0),
        is_flat: false,
    };
    assert_eq!(figure.verdict(), Verdict::Missed);
    figure.max = Some(2_006.0);
    assert_eq!(figure.verdict(), Verdict::Holds);
    figure.points = vec![(50.0, 99.0), (100.0, 77.0)];
    assert_eq!(
        figure.verdict(),
        Verdict::NotMeasured,
        "an extrapolation below zero must be rejected"
    );
    figure.is_flat = true;
    assert_eq!(figure.value(), Some(99.0));
    figure.points.clear();
    assert_eq!(figure.verdict(), Verdict::NotMeasured);
}

#[test]
fn each_role() {
    let output = Command::new(env!("CARGO_BIN_EXE_mimosavane-capacity"))
        .args(["--sizes", "2,3,4"])
        .output()
        .expect("mimosavane-capacity must start");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("the output must be UTF-8");
    for role in Role::iter() {
        let start = format!("| {role} |");
        assert!(text.lines().any(|line| line.starts_with(&start)), "{role}");
    }
}
