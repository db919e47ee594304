//! Tests of the check of an operator's configuration before it is sent.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    collections::BTreeSet,
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use bolero::check as fuzz;
use mimosavane::{
    ingress::configuration_check::{Context, Format as _, InForce, Kind, Report, Severity, check},
    platform::{
        PlatformWire,
        standin::{self, Store},
    },
};
use serde_json::{Value, json};
use strum::VariantArray as _;
use tempfile::TempDir;
use tokio::{net::TcpListener, task::LocalSet};

/// A document without findings.
fn valid() -> Value {
    json!({
        "version": 8,
        "routes": [
            {"name": "r-1", "host": "a.example", "path_prefix": "/", "kind": "idempotent",
             "timeout_ms": 2000, "target_latency_ms": 150, "priority": 1, "max_attempts": 2,
             "traffic_split": [{"service": "calls", "weight": 90}, {"service": "new", "weight": 10}]},
            {"name": "r-2", "host": "a.example", "path_prefix": "/jobs/", "kind": "rollout",
             "timeout_ms": 10000, "target_latency_ms": 400, "service": "engines",
             "item_ttl_s": 40.0, "result_due_ms": 7500},
            {"name": "r-3", "host": "a.example", "path_prefix": "/open/", "kind": "streaming",
             "service": "calls", "public": true},
        ],
        "services": [
            {"name": "calls"},
            {"name": "new"},
            {"name": "engines", "engine": {"slots": 6},
             "scaling": {"min": 1, "max": 8, "boot_s": 4, "spot_price": 0.18,
                         "zone_prices": {"a": 1.0, "b": 0.8}}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "t-1", "api_keys": ["secret-1", "secret-2"], "priority": 0},
            {"name": "t-2", "api_keys": ["secret-3"]},
        ],
    })
}

/// Sets the value at `pointer`, or appends it to a list if the pointer ends in `-`. A `null`
/// removes a field.
fn set(document: &mut Value, pointer: &str, value: Value) {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Array(list) if name == "-" => list.push(value),
        Value::Array(list) => list[name.parse::<usize>().unwrap()] = value,
        Value::Object(fields) if value.is_null() => drop(fields.remove(name)),
        other => other[name] = value,
    }
}

fn changed(changes: &[(&str, Value)]) -> Value {
    let mut document = valid();
    for (pointer, value) in changes {
        set(&mut document, pointer, value.clone());
    }
    document
}

fn review(document: &Value, context: &Context) -> Report {
    check::<PlatformWire>(document.to_string().as_bytes(), context)
}

fn known(document: &Value) -> Context {
    let draft = PlatformWire::draft(document.to_string().as_bytes());
    Context {
        in_force: InForce::Known(draft.ok().unwrap().into()),
        memory_mb: Some(120),
    }
}

/// Returns the pointer to the field at `path`.
fn pointer(path: &str) -> String {
    format!("/{}", path.replace(['[', '.'], "/").replace(']', ""))
}

/// The findings that a value causes at its own place.
fn own_cases() -> Vec<(Kind, &'static str, Value)> {
    let heavy = json!([{"service": "calls", "weight": 1e308}, {"service": "new", "weight": 1e308}]);
    vec![
        (Kind::DuplicateRoute, "routes[1].name", json!("r-1")),
        (Kind::UnknownService, "routes[1].service", json!("none")),
        (
            Kind::UnknownService,
            "routes[0].traffic_split[1].service",
            json!("none"),
        ),
        (
            Kind::BadWeight,
            "routes[0].traffic_split[0].weight",
            json!(-1),
        ),
        (
            Kind::ZeroWeight,
            "routes[0].traffic_split[0].weight",
            json!(0),
        ),
        (Kind::NoWeight, "routes[0].traffic_split", json!([])),
        (Kind::NoWeight, "routes[0].traffic_split", heavy),
        (Kind::ReplacedTime, "routes[0].timeout_ms", json!(-1)),
        (Kind::ReplacedTime, "routes[1].item_ttl_s", json!(1e300)),
        (Kind::ZeroLimit, "routes[0].timeout_ms", json!(0)),
        (Kind::NoAttempts, "routes[0].max_attempts", json!(0)),
        (Kind::PriorityRange, "routes[0].priority", json!(10)),
        (
            Kind::TargetAboveTimeout,
            "routes[0].target_latency_ms",
            json!(2001),
        ),
        (Kind::TtlBelowDue, "routes[1].item_ttl_s", json!(7)),
        (Kind::Undecodable, "routes[1].kind", json!("other")),
        (Kind::Undecodable, "limits.idle_timeout_ms", json!(-1)),
        (Kind::OldVersion, "version", json!(7)),
        (Kind::DuplicateService, "services[1].name", json!("calls")),
        (Kind::NoSlots, "services[2].engine.slots", json!(0)),
        (Kind::ScalingRange, "services[2].scaling.min", json!(9)),
        (Kind::ReplacedTime, "services[2].scaling.boot_s", json!(-4)),
        (Kind::BadPrice, "services[2].scaling.spot_price", json!(0)),
        (
            Kind::BadPrice,
            "services[2].scaling.zone_prices.b",
            json!(-1),
        ),
        (Kind::NoPrices, "services[2].scaling.zone_prices", json!({})),
        (Kind::DuplicateAccount, "tenants[1].name", json!("t-1")),
        (Kind::BadAccountName, "tenants[1].name", json!("t\n2")),
        (Kind::BadAccountName, "tenants[1].name", json!("")),
        (Kind::SharedKey, "tenants[1].api_keys[0]", json!("secret-2")),
        (
            Kind::RepeatedKey,
            "tenants[0].api_keys[1]",
            json!("secret-1"),
        ),
        (Kind::EmptyKey, "tenants[0].api_keys[1]", json!("")),
        (
            Kind::UnsendableKey,
            "tenants[0].api_keys[1]",
            json!("secret-ü"),
        ),
        (
            Kind::UnsendableKey,
            "tenants[0].api_keys[1]",
            json!("secret-1 "),
        ),
        (Kind::NoAccountKeys, "tenants[1].api_keys", json!([])),
        (Kind::PriorityRange, "tenants[1].priority", json!(10)),
        (Kind::NoKeys, "tenants", json!([])),
        (Kind::ZeroLimit, "limits.max_body_bytes", json!(0)),
        (
            Kind::BodyAboveMemory,
            "limits.max_body_bytes",
            json!(120_000_001),
        ),
        (
            Kind::HeadAboveIdle,
            "limits.header_timeout_ms",
            json!(15_001),
        ),
    ]
}

/// The findings that a value causes at another place.
fn other_cases() -> Vec<(Kind, &'static str, &'static str, Value)> {
    let route = |prefix: &str| {
        json!({"name": "r-4", "host": "A.example", "path_prefix": prefix, "kind": "batch",
               "service": "engines"})
    };
    let public = json!([{"name": "r-1", "host": "", "path_prefix": "/", "kind": "streaming",
                         "service": "calls", "public": true}]);
    let (prefix, added) = ("routes[3].path_prefix", "/routes/-");
    let key = "tenants[0].api_keys[1]";
    vec![
        (Kind::DuplicateMatch, prefix, added, route("/jobs/")),
        (
            Kind::HiddenRoute,
            "routes[1].path_prefix",
            added,
            route("/jobs/"),
        ),
        (Kind::BadPrefix, prefix, added, route("/jobs")),
        (Kind::BadPrefix, prefix, added, route("jobs/")),
        (Kind::BadPrefix, prefix, added, route("")),
        (Kind::ReservedPrefix, prefix, added, route("/-/lots/x/")),
        (
            Kind::UnusedSplits,
            "routes[0].traffic_split",
            "/routes/0/service",
            json!("calls"),
        ),
        (
            Kind::UnneededPublic,
            "routes[2].public",
            "/tenants",
            Value::Null,
        ),
        (Kind::UnneededAccounts, "tenants", "/routes", public),
        (Kind::TooLarge, ".", "/comment", json!("x".repeat(49_152))),
        (
            Kind::UnusedService,
            "services[3].name",
            "/services/-",
            json!({"name": "idle"}),
        ),
        (
            Kind::UnsendableKey,
            key,
            "/limits/max_header_bytes",
            json!(7),
        ),
    ]
}

#[test]
fn nothing_found() {
    let in_force = changed(&[("/version", json!(7))]);
    for context in [Context::default(), known(&in_force)] {
        let report = review(&valid(), &context);
        assert!(report.findings.is_empty(), "{report}");
        assert!(report.differences.is_none_or(|found| found.is_empty()));
    }
    let report = review(&standin::configuration(3), &Context::default());
    assert!(report.findings.is_empty(), "{report}");
}

/// Guards against kinds of faults that are not found, or at another place.
#[test]
fn every_kind() {
    let context = known(&changed(&[("/version", json!(7))]));
    let mut found = BTreeSet::from([Kind::NothingInForce]);
    let own = own_cases().into_iter();
    let own = own.map(|(kind, path, value)| (kind, path, pointer(path), value));
    let other = other_cases().into_iter();
    let other = other.map(|(kind, path, pointer, value)| (kind, path, pointer.to_owned(), value));
    for (kind, path, pointer, value) in own.chain(other) {
        let report = review(&changed(&[(&pointer, value)]), &context);
        let is_found = |kind: Kind, path: &str| {
            let mut lines = report.findings.iter();
            lines.any(|line| line.kind == kind && line.path == path)
        };
        assert!(is_found(kind, path), "{kind} at {path}: {report}");
        assert!(!report.to_string().contains("secret"), "{report}");
        assert!(report.findings.is_sorted_by_key(|line| line.severity));
        found.insert(kind);
    }
    assert_eq!(found, Kind::VARIANTS.iter().copied().collect());
    let page = fs::read_to_string("docs/operators/check-config.md").unwrap();
    for kind in found {
        let mut rows = page.lines().filter(|line| line.starts_with("| `"));
        let severity = format!("| {} |", kind.severity());
        let is_listed = |row: &str| row.contains(&format!("`{kind}`")) && row.contains(&severity);
        assert!(rows.any(is_listed), "{kind}");
    }
    let nothing = Context {
        in_force: InForce::Nothing,
        memory_mb: None,
    };
    let report = review(&valid(), &nothing);
    assert_eq!(report.findings[0].kind, Kind::NothingInForce);
    assert_eq!(report.severity(), Some(Severity::Note));
}

/// Guards against keys in the messages of the decoder, which quote values of a wrong type.
#[test]
fn keys_unquoted() {
    for (pointer, value) in [
        ("/tenants", json!("secret-9")),
        ("/tenants/0", json!("secret, expected 9")),
        ("/tenants/0/api_keys", json!("secret-9")),
        ("/tenants/0/priority", json!("secret-9")),
    ] {
        let report = review(&changed(&[(pointer, value)]), &Context::default());
        assert_eq!(report.findings[0].kind, Kind::Undecodable);
        let text = report.to_string();
        assert!(
            !text.contains("secret") && text.contains("expected"),
            "{text}"
        );
    }
}

/// Guards against changes that the comparison leaves out, and against keys in it.
#[test]
fn differences() {
    let new = changed(&[
        ("/version", json!(9)),
        ("/routes/0/timeout_ms", json!(2500)),
        ("/routes/1/name", json!("r-9")),
        ("/services/2/engine/slots", json!(8)),
        ("/services/-", json!({"name": "late"})),
        (
            "/tenants/0/api_keys",
            json!(["secret-2", "secret-4", "secret-5"]),
        ),
        ("/tenants/1/name", json!("t-9")),
        ("/limits/max_body_bytes", json!(1000)),
    ]);
    let report = review(&new, &known(&valid()));
    let found = report.differences.clone().unwrap();
    assert_eq!(found.routes.added, ["r-9"]);
    assert_eq!(found.routes.removed, ["r-2"]);
    assert_eq!(found.routes.changed.len(), 1);
    let timeout = &found.routes.changed[0].fields[0];
    assert_eq!(timeout.path, "routes[0].timeout_ms");
    assert_eq!((&*timeout.from, &*timeout.to), ("2s", "2.5s"));
    assert_eq!(found.services.added, ["late"]);
    let slots = &found.services.changed[0].fields[0];
    assert_eq!(slots.path, "services[2].engine.slots");
    assert_eq!(found.accounts.added, ["t-9"]);
    assert_eq!(found.accounts.removed, ["t-2"]);
    let account = &found.accounts.changed[0];
    let key_counts = (account.added_key_count, account.removed_key_count);
    assert_eq!((&*account.name, key_counts), ("t-1", (2, 1)));
    assert_eq!(found.limits[0].path, "limits.max_body_bytes");
    assert_eq!(found.accounts_required, None);
    assert!(!report.to_string().contains("secret"), "{report}");
    let open = changed(&[("/tenants", Value::Null)]);
    let found = review(&open, &known(&valid())).differences.unwrap();
    assert_eq!(found.accounts_required, Some(false));
}

/// Guards against input that ends the program.
#[test]
fn any_bytes() {
    fuzz!().for_each(|bytes: &[u8]| {
        drop(check::<PlatformWire>(bytes, &Context::default()).to_string());
    });
}

/// Guards against documents close to valid ones that end the program. A mutation replaces a
/// byte of the text, or a value by another one.
#[test]
fn mutated_documents() {
    let context = known(&valid());
    let pointers: Vec<&str> = "/version /routes/0/timeout_ms /routes/1/item_ttl_s \
        /routes/0/traffic_split/0/weight /routes/0/path_prefix /routes/1/result_due_ms \
        /services/2/scaling/boot_s /services/2/scaling/max /services/2/scaling/zone_prices/a \
        /services/2/engine/slots /limits/max_body_bytes /limits/idle_timeout_ms \
        /tenants/0/api_keys /tenants/0/name"
        .split_whitespace()
        .collect();
    let values = [
        json!(1e300),
        json!(u64::MAX),
        json!(-1.5),
        json!(0),
        json!(""),
        json!(["", "\u{1b}[2J", "é"]),
    ];
    fuzz!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u16, u8)>)>()
        .for_each(|(replaced, bytes)| {
            let mut document = valid();
            for (pointer, value) in replaced {
                let pointer = pointers[usize::from(*pointer) % pointers.len()];
                let value = &values[usize::from(*value) % values.len()];
                set(&mut document, pointer, value.clone());
            }
            let mut text = document.to_string().into_bytes();
            for (position, byte) in bytes {
                let position = usize::from(*position) % text.len();
                text[position] = *byte;
            }
            let report = check::<PlatformWire>(&text, &context);
            let shown = report.to_string();
            assert!(!shown.contains('\u{1b}'), "{shown}");
            serde_json::to_string(&report).unwrap();
        });
}

/// Writes `text` to a file of `folder`.
fn write(folder: &TempDir, name: &str, text: impl ToString) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text.to_string()).unwrap();
    path
}

fn program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mimosavane-entry"))
        .arg("check-config")
        .args(arguments)
        .output()
        .unwrap()
}

/// Guards against scripts that send a configuration with errors, or one that was not checked.
#[test]
fn exit_codes() {
    let folder = TempDir::new().unwrap();
    let file = |name, document: &Value| write(&folder, name, document).display().to_string();
    let passed = file("passed", &valid());
    let warned = file("warned", &changed(&[("/routes/0/priority", json!(10))]));
    let noted = file("noted", &changed(&[("/tenants", Value::Null)]));
    let failed = file("failed", &changed(&[("/routes/0/max_attempts", json!(0))]));
    let broken = write(&folder, "broken", "{\"version\":")
        .display()
        .to_string();
    let missing = folder.path().join("missing").display().to_string();
    let directory = folder.path().display().to_string();
    for (code, arguments) in [
        (0, vec![&*passed]),
        (0, vec![&*noted]),
        (0, vec!["--help"]),
        (1, vec![&*failed]),
        (1, vec![&*broken]),
        (1, vec![&*passed, "--in-force", &passed]),
        (1, vec![&*passed, "--memory-mb", "33"]),
        (2, vec![&*warned]),
        (3, vec![&*missing]),
        (3, vec![&*directory]),
        (3, vec!["/dev/zero"]),
        (3, vec![&*passed, "--in-force", &missing]),
        (3, vec![&*passed, "--in-force", &broken]),
        (3, vec![&*passed, "--store", "127.0.0.1:1"]),
        (3, vec![&*passed, "--store", "here"]),
        (3, vec![&*passed, "--memory-mb", "0"]),
        (3, vec![]),
    ] {
        let output = program(&arguments);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {output:?}"
        );
        assert_eq!(
            output.stderr.is_empty(),
            code != 3,
            "{arguments:?}: {output:?}"
        );
    }
}

/// Guards against output that machines cannot read.
#[test]
fn json_output() {
    let folder = TempDir::new().unwrap();
    let failed = write(
        &folder,
        "failed",
        changed(&[("/routes/0/max_attempts", json!(0))]),
    );
    let path = failed.to_str().unwrap();
    let output = program(&[path, "--format", "json"]);
    let page: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(page["verdict"], "errors");
    let line = &page["report"]["findings"][0];
    assert_eq!(line["severity"], "error");
    assert_eq!(line["kind"], "no-attempts");
    assert_eq!(line["path"], "routes[0].max_attempts");
    let output = program(&[path, "--in-force", "missing", "--format", "json"]);
    let page: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(page["verdict"], "unchecked");
    assert!(page["failure"].as_str().unwrap().starts_with("missing: "));
}

/// Guards against a comparison with another row of the store than the hosts read.
#[test]
fn from_store() {
    let folder = TempDir::new().unwrap();
    let passed = write(&folder, "passed", valid()).display().to_string();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let store = Store::start(listener);
        let compare = async || {
            let (passed, address) = (passed.clone(), address.clone());
            let run = move || program(&[&passed, "--store", &address]);
            tokio::task::spawn_blocking(run).await.unwrap()
        };
        let output = compare().await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("[nothing-in-force]"), "{text}");
        store.write("op", "config-2", &json!({"version": 99}));
        store.write("op", "version/m", &json!({"model": "m", "version": 99}));
        let in_force = changed(&[("/version", json!(7)), ("/routes/1/name", json!("r-old"))]);
        store.write("op", "config", &in_force);
        let output = compare().await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("route \"r-old\" removed"), "{text}");
        store.write_text("op", "config", "{}");
        assert_eq!(compare().await.status.code(), Some(3));
    });
}

/// Guards against I/O in the check, and against imports of code that does it.
#[test]
fn imports() {
    let folder = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/src/ingress/configuration_check"
    );
    let names = |text: &str| -> BTreeSet<String> {
        let is_end = |c: char| !c.is_alphanumeric() && c != '_';
        text.split(is_end).map(str::to_owned).collect()
    };
    let allowed = names(
        "ingress accounts Account routes ClientLimits Configuration Route RouteKind Scaling Service",
    );
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        for (start, _) in text.match_indices("use crate::") {
            let (import, _) = text[start + "use crate::".len()..].split_once(';').unwrap();
            let mut imported = names(import);
            imported.remove("");
            assert!(imported.is_subset(&allowed), "{}: {import}", path.display());
        }
        for library in [
            "tokio", "hyper", "std::fs", "std::io", "std::net", "std::env", "nix",
        ] {
            assert!(
                !text.contains(&format!("{library}::")),
                "{}: {library}",
                path.display()
            );
        }
    }
}
