//! Tests of merging the decision records of several hosts.

use std::time::Duration;

use mimosavane::{
    control::decision::{Decision, Kind},
    observe::explain::{Answer, Explanation, Missing},
};

fn record(at_ms: u64, what: &str, id: &str) -> Decision {
    Decision::new(Kind::Sample, Duration::from_millis(at_ms), what)
        .about(id)
        .figure("queue_wait_ms", 12.3456)
}

fn answer(host: &str, origin_unix_ms: u64, records: Vec<Decision>) -> Answer {
    Answer {
        host: host.into(),
        origin_unix_ms,
        records,
    }
}

fn whats(explanation: &Explanation) -> Vec<&str> {
    explanation
        .decisions
        .iter()
        .map(|entry| &*entry.what)
        .collect()
}

#[test]
fn order_over_hosts() {
    let id = "guides/3/0/7";
    let owner = vec![record(500, "dispatched", id), record(900, "delivered", id)];
    let dispatcher = vec![record(20, "started", id), record(200, "finished", id)];
    let answers = [
        answer("entry-2", 1_600, dispatcher),
        answer("entry-1", 1_000, owner),
    ];
    let explanation = Explanation::merge(id, answers, []);
    assert_eq!(
        whats(&explanation),
        ["dispatched", "started", "finished", "delivered"]
    );
    assert_eq!(explanation.decisions[3].after_ms, 400);
    assert_eq!(&*explanation.decisions[1].host, "entry-2");
    let text = explanation.to_text();
    assert!(text.contains("queue_wait_ms=12.346"), "{text}");
}

#[test]
fn order_on_host() {
    let records = vec![record(5, "first", "a"), record(4, "second", "a")];
    let explanation = Explanation::merge("a", [answer("entry-1", 0, records)], []);
    assert_eq!(whats(&explanation), ["first", "second"]);
}

#[test]
fn unknown_id() {
    let explanation = Explanation::merge("no-such-id", [answer("entry-1", 0, Vec::new())], []);
    assert!(!explanation.is_known());
    assert!(explanation.to_text().contains("unknown to the 1 hosts"));
}

#[test]
fn missing_host() {
    let missing = Missing {
        host: "entry-2".into(),
        reason: "timed out".into(),
    };
    let records = vec![record(5, "first", "a")];
    let explanation = Explanation::merge("a", [answer("entry-1", 0, records)], [missing]);
    assert!(!explanation.is_complete());
    assert!(
        explanation
            .to_text()
            .contains("no answer from entry-2: timed out")
    );
    let json = serde_json::to_value(&explanation).unwrap();
    assert_eq!(json["missing"][0]["host"], "entry-2");
}

#[test]
fn read_recording() {
    let mut decision = record(7, "delivered", "guides/3/0/7");
    decision.host = "entry-1".into();
    let decision = serde_json::to_string(&decision).unwrap();
    let recording = format!("{{\"seed\":7}}\n\n{{\"at_ms\":9,\"decision\":{decision}}}\n");
    let explanation = Explanation::read("guides/3", recording.as_bytes()).unwrap();
    assert_eq!(whats(&explanation), ["delivered"]);
    assert_eq!(explanation.hosts, ["entry-1".into()]);
    let explanation = Explanation::read("guides/4", recording.as_bytes()).unwrap();
    assert!(!explanation.is_known());
    let error = Explanation::read("a", "{}\nnot json\n".as_bytes()).unwrap_err();
    assert!(error.to_string().starts_with("line 2:"), "{error}");
}
