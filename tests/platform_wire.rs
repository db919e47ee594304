//! Tests of decoding and encoding the platform's messages.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{path::Path, time::Duration};

use bytes::Bytes;
use http::{Request, Response, request};
use mimosavane::{
    batch::{
        job::{ItemResult, ItemState, RewardRequest},
        reward::RewardEnd,
    },
    ingress::{
        rewards,
        routes::RouteKind,
        wire::{
            Addressee, Caller, EventParser as _, JobCall, LoadOrder, OperatorChange, OrderAnswer,
            StatedLimit, Wire,
        },
    },
    platform::{PlatformWire, boot},
    store::rows::StoredRow,
};

const CONFIGURATION: &str = r#"{"version":7,"routes":[
  {"name":"r-1","host":"ficu95.example","path_prefix":"/pufi791/","kind":"rollout","timeout_ms":10000,
   "target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":3,"item_ttl_s":40.0,
   "result_due_ms":7500,"single_version":false,"sticky":true,"resumable":true},
  {"name":"r-2","host":"ficu95.example","path_prefix":"/","kind":"idempotent","timeout_ms":2000,
   "target_latency_ms":150,"priority":2,
   "traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max_attempts":2}],
 "services":[{"name":"huvo11a","health_path":"/health","max_connections":150,
   "engine":{"slots":12,"kv_capacity_tokens":44572,"models":[{"name":"daka510000"}]}},
  {"name":"wuno96b","health_path":"/health","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const BOOT: &str = r#"{"node":"edge-cdmx-a-1","zone":"cdmx-a","unknown":[1],
  "listen":{"front":"10.1.0.35:8144","ready":"10.1.0.35:8140","control":"10.1.0.35:8146"},
  "limits":{"cpu_share":0.5,"memory_mb":340},"heartbeat_ms":1200,
  "bounds":{"grace_s":8,"lease_ms":3000,"status_ttl_s":120,"more":1},
  "provider":{"address":"10.200.1.7:8142"}}"#;

fn row(key: &str, value: &str) -> StoredRow {
    StoredRow {
        partition: String::new(),
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        stamp: 1,
        is_removed: false,
    }
}

fn parts(method: &str, uri: &str) -> request::Parts {
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .header("Host", "ficu95.example")
        .header("Attempt-Id", "7c41e09b52d6a3f8")
        .header("Deadline-Ms", "800")
        .header("Connection", "x-hop")
        .header("X-Hop", "1")
        .header("X-Kept", "2")
        .body(())
        .unwrap();
    request.into_parts().0
}

fn configuration() -> mimosavane::ingress::routes::Configuration {
    match PlatformWire::operator_change(&row("config", CONFIGURATION)) {
        Ok(Some(OperatorChange::Configuration(configuration))) => configuration,
        other => panic!("{other:?}"),
    }
}

#[test]
fn routes() {
    let configuration = configuration();
    let job = configuration
        .route("ficu95.example", "/pufi791/3/91c4")
        .unwrap();
    assert_eq!((&*job.name, job.kind), ("r-1", RouteKind::Batch));
    assert_eq!(job.item_ttl, Duration::from_secs(40));
    let call = configuration.route("FICU95.example", "/pufi79").unwrap();
    assert_eq!((&*call.name, call.kind), ("r-2", RouteKind::Idempotent));
    assert_eq!(&**call.service(0.5).unwrap(), "huvo11a");
    assert_eq!(&**call.service(0.95).unwrap(), "wuno96b");
    assert!(configuration.route("other.example", "/pufi791/").is_none());
    assert_eq!(
        configuration.services["huvo11a"].engine_slot_count,
        Some(12)
    );
    assert_eq!(configuration.services["wuno96b"].engine_slot_count, None);
}

/// Guards against accepting malformed rows of other writers, with missing fields,
/// wrong types or invalid values.
#[test]
fn unreadable_rows() {
    let valid = r#"{"service":"s","address":"10.1.0.2:80","zone":"a","slots":12,"state":"ready",
        "version":"v1","models":[{"name":"m","version":4,"adapters":[]}],"cold_remaining_ms":0,"sequence":4,
        "born":17}"#;
    let upstream = PlatformWire::upstream(&row("i-1", valid)).unwrap();
    assert_eq!(upstream.versions["m"], 4);
    assert_eq!(upstream.started_at_ms, 17);
    assert_eq!(&*upstream.software_version, "v1");
    for malformed in [
        "",
        "[]",
        r#"{"service":"s","address":"10.1.0.2:80","state":"resting","version":"v1"}"#,
        r#"{"service":"s","address":"there","state":"ready","version":"v1"}"#,
        r#"{"address":"10.1.0.2:80","state":"ready","version":"v1"}"#,
        r#"{"service":7,"address":"10.1.0.2:80","state":"ready","version":"v1"}"#,
        r#"{"service":"s","address":"10.1.0.2:80","state":"ready"}"#,
        r#"{"service":"s","address":"10.1.0.2:80","state":"ready","version":1}"#,
    ] {
        assert!(
            PlatformWire::upstream(&row("i-1", malformed)).is_err(),
            "{malformed}"
        );
    }
    assert!(PlatformWire::operator_change(&row("config", "{}")).is_err());
    assert!(matches!(
        PlatformWire::operator_change(&row("other", "{}")),
        Ok(None)
    ));
}

#[test]
fn named_version() {
    let change =
        PlatformWire::operator_change(&row("version/m", r#"{"model":"m","version":5}"#)).unwrap();
    assert_eq!(change, Some(OperatorChange::Version("m".into(), 5)));
}

#[test]
fn job_calls() {
    let call = |method, uri| PlatformWire::job_call(&parts(method, uri));
    let job = || "7c41e0".into();
    assert_eq!(
        call("GET", "/-/lots/7c41e0?after=12"),
        Some(JobCall::Results {
            job: job(),
            from: 12
        })
    );
    assert_eq!(
        call("DELETE", "/-/lots/7c41e0"),
        Some(JobCall::End { job: job() })
    );
    assert_eq!(
        call("GET", "/-/items/7c41e0?id=e5b2"),
        Some(JobCall::Body {
            job: job(),
            item: "e5b2".into()
        })
    );
    assert_eq!(
        call("GET", "/-/lots/7c41e0?after=x"),
        Some(JobCall::Malformed)
    );
    assert_eq!(call("GET", "/-/lots/a/b"), Some(JobCall::Malformed));
    assert_eq!(call("GET", "/-/lots/a%2fb"), Some(JobCall::Malformed));
    assert_eq!(call("GET", "/lots/7c41e0"), None);
}

#[test]
fn submitted_job() {
    let body = r#"{"step":7,"model":"daka510000","min_version":6,"desired_count":12,"items":[
        {"id":"e5b2","path":"/pufi791/3/91c4","headers":{"Model":"daka510000","Token-Usage":"540,400",
         "Length-Hint":"900"},"body":"q83vEjRWeJA=","tokens":940,"group":"g1"}]}"#;
    let configuration = configuration();
    let route = configuration.route("ficu95.example", "/pufi791/x").unwrap();
    let parts = parts("POST", "/pufi791/7c41e0");
    let id = "7c41e09b52d6a3f8".into();
    let job = PlatformWire::job(&id, &parts, body.as_bytes(), route, &Caller::Unknown).unwrap();
    assert_eq!(
        (job.head.step, job.head.min_version, job.head.item_count),
        (7, 6, 1)
    );
    assert_eq!(job.items[0].prompt_tokens, 540);
    // A hint above the maximum output tokens of the request is limited to them.
    assert_eq!(job.items[0].length_hint_tokens, 400);
    let to = Addressee {
        id: &"i-7".into(),
        address: "10.1.0.2:80".parse().unwrap(),
    };
    let request = PlatformWire::item_request(&job.head.authority, None, &job.items[0], to, 3);
    assert_eq!(request.uri().path(), "/pufi791/3/91c4");
    let header = |name: &str| request.headers()[name].to_str().unwrap();
    assert_eq!(header("attempt-id"), "e5b2");
    assert_eq!(header("expect-instance"), "i-7");
    assert_eq!(header("last-event-id"), "3");
    assert_eq!(header("host"), "ficu95.example");
    for malformed in ["", "{", r#"{"items":[{"id":"a","path":"/","body":"%"}]}"#] {
        assert!(
            PlatformWire::job(&id, &parts, malformed.as_bytes(), route, &Caller::Unknown).is_err()
        );
    }
}

fn job_with_scorer(scorer: &str) -> String {
    format!(
        r#"{{"step":7,"model":"m","min_version":6,"items":[{{"id":"e5b2","path":"/p/1","headers":{{}},
        "body":"","tokens":940,"group":"g1","scorer":{scorer}}}]}}"#
    )
}

/// The shared parts of a prompt are read up to the first that cannot be decoded, and the
/// engine gets the header as the client sent it.
#[test]
fn prompt_parts() {
    let configuration = configuration();
    let route = configuration.route("ficu95.example", "/pufi791/x").unwrap();
    let parts = parts("POST", "/pufi791/7c41e0");
    for (value, expected) in [
        ("s1:260", vec![("s1", 260)]),
        ("s1:260, g:7:1000", vec![("s1", 260), ("g:7", 1_000)]),
        ("s1:260,broken,s2:4", vec![("s1", 260)]),
        ("s1:-1", vec![]),
        ("", vec![]),
    ] {
        let body = format!(
            r#"{{"step":7,"model":"m","min_version":6,"items":[{{"id":"e5b2","path":"/p/1",
            "headers":{{"Prompt-Prefix":"{value}"}},"body":"","tokens":940,"group":"g1"}}]}}"#
        );
        let job = PlatformWire::job(
            &"7c41".into(),
            &parts,
            body.as_bytes(),
            route,
            &Caller::Unknown,
        )
        .unwrap();
        let found = PlatformWire::prompt_parts(&job.items[0]);
        let found: Vec<(&str, u64)> = found.iter().map(|p| (&*p.id, p.tokens)).collect();
        assert_eq!(found, expected, "{value}");
        let header = ("Prompt-Prefix".to_owned(), value.to_owned());
        assert!(job.items[0].headers.contains(&header));
    }
}

/// An item names the request for its score, which is sent as it is.
#[test]
fn reward_request() {
    let body = job_with_scorer(
        r#"{"id":"40c8","host":"scores.example","path":"/pufi791/5e07?a=1","body":"3q2+7w=="}"#,
    );
    let configuration = configuration();
    let route = configuration.route("ficu95.example", "/pufi791/x").unwrap();
    let parts = parts("POST", "/pufi791/7c41e0");
    let job = PlatformWire::job(
        &"7c41".into(),
        &parts,
        body.as_bytes(),
        route,
        &Caller::Unknown,
    )
    .unwrap();
    let reward = job.items[0].reward.as_ref().unwrap();
    let to = Addressee {
        id: &"i-7".into(),
        address: "10.1.0.2:80".parse().unwrap(),
    };
    let request = PlatformWire::reward_request(reward, None, to, Duration::from_millis(2_900));
    assert_eq!(request.method(), "POST");
    assert_eq!(request.uri(), "/pufi791/5e07?a=1");
    for (name, value) in [
        ("attempt-id", "40c8"),
        ("host", "scores.example"),
        ("deadline-ms", "2900"),
        ("expect-instance", "i-7"),
    ] {
        assert_eq!(request.headers()[name], value, "{name}");
    }
    assert_eq!(&reward.body[..], [0xde, 0xad, 0xbe, 0xef]);
}

/// A job with a malformed reward call is refused as a whole, and the error names
/// the field.
#[test]
fn malformed_reward_request() {
    let configuration = configuration();
    let route = configuration.route("ficu95.example", "/pufi791/x").unwrap();
    let parts = parts("POST", "/pufi791/7c41e0");
    for (scorer, field) in [
        (r#"{"id":"","host":"h","path":"/p","body":""}"#, "scorer.id"),
        (
            r#"{"id":"a\nb","host":"h","path":"/p","body":""}"#,
            "scorer.id",
        ),
        (
            r#"{"id":"a","host":"","path":"/p","body":""}"#,
            "scorer.host",
        ),
        (
            r#"{"id":"a","host":"h","path":"p","body":""}"#,
            "scorer.path",
        ),
        (
            r#"{"id":"a","host":"h","path":"/p q","body":""}"#,
            "scorer.path",
        ),
        (
            r#"{"id":"a","host":"h","path":"/p","body":"%"}"#,
            "scorer.body",
        ),
        (r#"{"id":"a","host":"h"}"#, "scorer"),
        ("7", "scorer"),
    ] {
        let body = job_with_scorer(scorer);
        let error = PlatformWire::job(
            &"7c41".into(),
            &parts,
            body.as_bytes(),
            route,
            &Caller::Unknown,
        )
        .unwrap_err();
        assert!(error.to_string().contains(field), "{scorer}: {error}");
    }
}

/// Only a signed success that names the call is a score.
#[test]
fn reward_answers() {
    let request = RewardRequest {
        id: "40c8".into(),
        authority: "scores.example".to_owned(),
        path: "/p".to_owned(),
        body: Bytes::new(),
    };
    let judge = |status: u16, headers: &[(&str, &str)]| {
        let mut answer = Response::builder().status(status);
        for (name, value) in headers {
            answer = answer.header(*name, *value);
        }
        let (parts, ()) = answer.body(()).unwrap().into_parts();
        rewards::judge_answer(&request, &parts, PlatformWire::answer_head(&parts)).end
    };
    let own = ("Attempt-Id", "40c8");
    let stamp = ("Server-Stamp", "3e1b.07");
    assert_eq!(
        judge(200, &[own, stamp]),
        RewardEnd::Scored("3e1b.07".into())
    );
    let full = [own, ("Not-Executed", "1"), ("Retry-After", "0.25")];
    let mut answer = Response::builder().status(503);
    for (name, value) in full {
        answer = answer.header(name, value);
    }
    let (parts, ()) = answer.body(()).unwrap().into_parts();
    let refused = rewards::judge_answer(&request, &parts, PlatformWire::answer_head(&parts));
    assert_eq!(refused.retry_after, Duration::from_millis(250));
    for (status, headers, end) in [
        (
            200,
            vec![("Attempt-Id", "other"), stamp],
            RewardEnd::Unknown,
        ),
        (200, vec![stamp], RewardEnd::Unknown),
        (200, vec![own], RewardEnd::Unknown),
        (
            200,
            vec![own, stamp, ("Content-Encoding", "gzip")],
            RewardEnd::Unknown,
        ),
        (500, vec![own, stamp], RewardEnd::Error),
        (
            500,
            vec![("Attempt-Id", "other"), stamp],
            RewardEnd::Unknown,
        ),
        (502, vec![own], RewardEnd::Unknown),
        (503, vec![own], RewardEnd::Unknown),
        (503, vec![own, ("Not-Executed", "1")], RewardEnd::NotRun),
        (421, vec![own], RewardEnd::NotRun),
    ] {
        assert_eq!(judge(status, &headers), end, "{status} {headers:?}");
    }
}

#[test]
fn passed_call() {
    let to = Addressee {
        id: &"i-7".into(),
        address: "10.1.0.2:80".parse().unwrap(),
    };
    let request = PlatformWire::call_request(
        &parts("POST", "/lohu930/2f?a=1"),
        Bytes::new(),
        &Caller::Unknown,
        to,
        Duration::from_millis(640),
    );
    assert_eq!(request.uri(), "/lohu930/2f?a=1");
    assert_eq!(request.headers()["deadline-ms"], "640");
    assert_eq!(request.headers()["attempt-id"], "7c41e09b52d6a3f8");
    assert_eq!(request.headers()["x-kept"], "2");
    assert!(!request.headers().contains_key("x-hop"));
}

#[test]
fn results() {
    let result = ItemResult {
        id: "e5b2".into(),
        state: ItemState::Failed,
        text: "a\nb".to_owned(),
        versions: [6, 7].into(),
        score: None,
    };
    let body = PlatformWire::results(40, 13, &[result]);
    let expected = r#"{"total":40,"next":13,"results":[{"id":"e5b2","state":"errored","text":"a\nb","versions":[6,7]}]}"#;
    assert_eq!(body, expected);
    let scored = ItemResult {
        id: "e5b2".into(),
        state: ItemState::Completed,
        text: "a".to_owned(),
        versions: [6].into(),
        score: Some("3e1b.07".into()),
    };
    let body = PlatformWire::results(1, 1, &[scored]);
    let expected = r#"{"total":1,"next":1,"results":[{"id":"e5b2","state":"completed","text":"a","versions":[6],"score":"3e1b.07"}]}"#;
    assert_eq!(body, expected);
}

#[test]
fn order() {
    let order = LoadOrder {
        model: "m".into(),
        version: 2,
        holder: "node-7".into(),
        fence: 41,
        expected_order_count: Some(0),
    };
    let to = Addressee {
        id: &"i-7".into(),
        address: "10.1.0.2:80".parse().unwrap(),
    };
    let request = PlatformWire::order_request(&order, to);
    assert_eq!(request.uri(), "/-/order");
    assert_eq!(request.headers()["expect-instance"], "i-7");
    for (status, answer) in [
        (200, OrderAnswer::Holds),
        (202, OrderAnswer::Accepted),
        (409, OrderAnswer::Conflict),
        (412, OrderAnswer::Fenced),
        (421, OrderAnswer::Misdirected),
        (503, OrderAnswer::Unclear),
    ] {
        let response = Response::builder().status(status).body(()).unwrap();
        assert_eq!(PlatformWire::order_answer(&response.into_parts().0), answer);
    }
}

/// Guards against events that are lost or split when a stream arrives in chunks
/// of any size. The stream ends in the middle of an event.
#[test]
fn events_in_pieces() {
    let stream = "id: 1\ndata: first\n\nweight-versions: 7\nid: 2\ndata: a\ndata: b\n\nid: 3\nda";
    for size in 1..stream.len() {
        let mut parser = <PlatformWire as Wire>::Events::default();
        let mut events = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            events.extend(parser.push(chunk).unwrap());
        }
        assert_eq!(events.len(), 2);
        assert_eq!(
            (events[0].number, &*events[0].data, events[0].version),
            (1, "first", None)
        );
        assert_eq!(
            (events[1].number, &*events[1].data, events[1].version),
            (2, "a\nb", Some(7))
        );
        assert!(parser.is_inside_event());
    }
    let mut parser = <PlatformWire as Wire>::Events::default();
    assert!(parser.push(b"id: x\n").is_err());
}

#[test]
fn settings() {
    let path = Path::new("local.json");
    let settings = boot::parse(path, BOOT.as_bytes()).unwrap();
    assert_eq!(&*settings.host, "edge-cdmx-a-1");
    assert_eq!(settings.order_quiet, Duration::from_secs(3));
    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    let invalid = BOOT
        .replace("edge-cdmx-a-1", "")
        .replace("\"grace_s\":8", "\"grace_s\":0");
    let error = boot::parse(path, invalid.as_bytes())
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("node") && error.contains("grace_s"),
        "{error}"
    );
    let missing = BOOT.replace("\"zone\"", "\"zoned\"");
    assert!(boot::parse(path, missing.as_bytes()).is_err());
}

/// The limit on the requests of all hosts is a decimal number; what cannot be decoded is
/// told apart from no limit.
#[test]
fn stated_limits() {
    let cases = [
        (None, StatedLimit::None),
        (Some("1.5"), StatedLimit::PerSecond(1.5)),
        (Some(" 20 "), StatedLimit::PerSecond(20.0)),
        (Some("0"), StatedLimit::PerSecond(0.0)),
        (Some("-1"), StatedLimit::Unreadable),
        (Some("NaN"), StatedLimit::Unreadable),
        (Some("inf"), StatedLimit::Unreadable),
        (Some("many"), StatedLimit::Unreadable),
        (Some(""), StatedLimit::Unreadable),
    ];
    for (text, expected) in cases {
        let mut answer = http::Response::builder();
        if let Some(text) = text {
            answer = answer.header("server-limit", text);
        }
        let (parts, ()) = answer.body(()).unwrap().into_parts();
        let head = PlatformWire::answer_head(&parts);
        assert_eq!(head.stated_limit, expected, "{text:?}");
    }
}
