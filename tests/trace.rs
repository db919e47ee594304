//! Tests that invalid lines of a trace are rejected with their number and field.

use mimosavane::observe::trace::{Trace, TraceError};

const HEADER: &str = r#"{"format":"mimosavane-trace/1","title":"t","promise":"p","seed":1,"duration_ms":10,"settings":{},"outcomes":[]}"#;

/// Parses a trace with one event, and returns the invalid line and field.
fn fault(header: &str, event: &str) -> (usize, String) {
    match Trace::parse(&format!("{header}\n{event}\n")) {
        Err(TraceError::Line { line, field, .. }) => (line, field),
        other => panic!("{other:?}"),
    }
}

#[test]
fn unknown_event() {
    let (line, _) = fault(HEADER, r#"{"at_ms":1,"event":"host-melts","host":"a"}"#);
    assert_eq!(line, 2);
}

#[test]
fn unknown_field() {
    let event = r#"{"at_ms":1,"event":"host-kill","host":"a","colour":3}"#;
    let (line, field) = fault(HEADER, event);
    assert_eq!((line, field.as_str()), (2, "host-kill.colour"));
}

#[test]
fn wrong_type() {
    let event = r#"{"at_ms":1,"event":"host-kill","host":"a","for_ms":"long"}"#;
    let (line, field) = fault(HEADER, event);
    assert_eq!((line, field.as_str()), (2, "host-kill.for_ms"));
}

#[test]
fn missing_time() {
    let fault = fault(HEADER, r#"{"event":"host-kill","host":"a"}"#);
    assert_eq!(fault, (2, "at_ms".to_owned()));
}

#[test]
fn broken_json() {
    let (line, field) = fault(HEADER, r#"{"at_ms":1,"event""#);
    assert_eq!(line, 2);
    assert!(field.starts_with("column"), "{field}");
}

#[test]
fn wrong_header() {
    let header = HEADER.replace("\"seed\":1", "\"seed\":\"one\"");
    assert_eq!(fault(&header, ""), (1, "seed".to_owned()));
    let header = HEADER.replace("trace/1", "trace/9");
    assert_eq!(fault(&header, ""), (1, "format".to_owned()));
}

#[test]
fn unknown_figure() {
    let header = HEADER.replace("[]", r#"[{"figure":"joy","min":1}]"#);
    assert_eq!(fault(&header, "").0, 1);
}

#[test]
fn round_trip() {
    let events = r#"{"at_ms":3,"event":"host-kill","host":"a","for_ms":5}
{"at_ms":4,"decision":{"kind":"step","at_ms":4,"subjects":["guides/1"],"what":"taken on","figures":[],"host":"a"}}"#;
    let trace = Trace::parse(&format!("{HEADER}\n{events}\n")).unwrap();
    assert_eq!((trace.events.len(), trace.records.len()), (1, 1));
    let again = Trace::parse(&trace.to_text().unwrap()).unwrap();
    assert_eq!(again, trace);
}
