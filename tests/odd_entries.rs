//! Entries of other writers among those of the upstreams: they name no upstream, and the
//! host follows the others.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use mimosavane::{
    ingress::{
        directory::Upstream,
        feeds::{self, UnreadableUpstream},
        host::Host,
        metrics::Exposition,
    },
    observe::telemetry::Metrics,
    platform::{PlatformWire, standin::Store, store::PlatformStore},
    store::rows::StoredRow,
};
use rows_support::{host::settings, page::run};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{sleep, timeout},
};

const TABLE: &str = "servers";

/// The most rows that the store returns in one answer.
const PAGE_ROW_COUNT: usize = 500;

/// The time within which a host must have read an entry.
const LEARNING_TIME: Duration = Duration::from_secs(3);

type FollowingHost = Rc<Host<PlatformStore, PlatformWire>>;

fn entry(port: u16) -> Value {
    json!({"service": "pages", "address": format!("127.0.0.1:{port}"), "zone": "mx-a",
        "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "born": 17})
}

/// Returns the text of an entry in which the value of `field` is `value`.
fn with(field: &str, value: &str) -> String {
    let mut entry = entry(80);
    entry[field] = "VALUE".into();
    entry.to_string().replace("\"VALUE\"", value)
}

/// Returns the text of an entry without `field`.
fn without(field: &str) -> String {
    let mut entry = entry(80);
    entry.as_object_mut().unwrap().remove(field);
    entry.to_string()
}

/// Returns entries that name no upstream.
fn odd_entries() -> Vec<String> {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let missing = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_remaining_ms",
        "sequence",
    ];
    let unusable = [
        ("service", "7"),
        ("service", "{}"),
        ("address", "\"127.0.0.1:99999\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"0.0.0.0:80\""),
        ("address", "\"255.255.255.255:80\""),
        ("address", "\"224.0.0.1:80\""),
        ("address", "\"127.0.0.1\""),
        ("address", "\"there:80\""),
        ("zone", "null"),
        ("version", "1"),
        ("version", "\"\""),
        ("slots", "-1"),
        ("slots", "6.5"),
        ("slots", "\"6\""),
        ("slots", "1e400"),
        ("slots", "184467440737095516160"),
        ("state", "\"resting\""),
        ("sequence", "99999999999999999999999999"),
        ("born", "-1"),
        ("born", "1e300"),
        ("models", "[{\"name\":\"m\",\"version\":1e30}]"),
        ("models", "7"),
    ];
    let mut entries: Vec<String> = missing.into_iter().map(without).collect();
    entries.extend(
        unusable
            .into_iter()
            .map(|(field, value)| with(field, value)),
    );
    for depth in [100, 100_000] {
        entries.push(nested(depth));
        entries.push(with("models", &nested(depth)));
        entries.push(with("slots", &nested(depth)));
    }
    entries.push(with("version", &format!("\"{}\"", "v".repeat(30_000))));
    entries.extend(["", "null", "{", "[]", "\u{feff}{}"].map(str::to_owned));
    entries
}

fn row(key: &str, text: impl Into<Bytes>) -> StoredRow {
    StoredRow {
        partition: String::new(),
        key: key.to_owned(),
        value: text.into(),
        stamp: 1,
        is_removed: false,
    }
}

fn read_upstream(row: &StoredRow) -> Result<Upstream, UnreadableUpstream> {
    feeds::read_upstream::<PlatformWire>(row)
}

/// Starts a host that follows the upstreams of `store`.
async fn follow() -> (Store, FollowingHost) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let store = Store::start(listener);
    let exposition = Exposition::default();
    let metrics = Metrics::with_sink(exposition.clone());
    let host = Host::with_store(settings(), metrics, exposition, |pool| {
        PlatformStore::new(pool, address)
    });
    (store, host)
}

/// Waits until the host knows the upstream `id`.
async fn learn(host: &FollowingHost, id: &str) {
    let is_known = || host.view.borrow().directory.get(&id.into()).is_some();
    let learned = timeout(LEARNING_TIME, async {
        while !is_known() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(learned.await.is_ok(), "{id} is not known");
}

/// Guards against entries that are taken for upstreams although fields are missing, of another
/// type, too large, or name an address that nobody can have.
#[test]
fn name_no_upstream() {
    assert!(read_upstream(&row("i-1", entry(80).to_string())).is_ok());
    for text in odd_entries() {
        let start: String = text.chars().take(200).collect();
        let decoded = read_upstream(&row("i-1", text));
        assert!(decoded.is_err(), "{start}");
    }
    for key in ["", "i\n1", "i-\u{e9}"] {
        let decoded = read_upstream(&row(key, entry(80).to_string()));
        assert!(decoded.is_err(), "{key:?}");
    }
}

/// Guards against ends of the process while an entry is read.
#[test]
fn any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        drop(read_upstream(&row("i-1", bytes.to_vec())));
    });
}

/// Guards against hosts that stop following the list once it holds odd entries, before they
/// start or after.
#[test]
fn others_are_followed() {
    run(async {
        let (store, host) = follow().await;
        let write_odd = |prefix: &str| {
            for (number, text) in odd_entries().into_iter().enumerate() {
                store.write_text(TABLE, &format!("{prefix}-{number}"), &text);
            }
        };
        write_odd("early");
        store.write(TABLE, "i-1", &entry(81));
        spawn_local(feeds::follow_upstreams(host.clone()));
        learn(&host, "i-1").await;
        write_odd("late");
        store.write(TABLE, "i-2", &entry(82));
        learn(&host, "i-2").await;
        assert_eq!(host.view.borrow().directory.upstreams().count(), 2);
    });
}

/// Guards against a list that cannot be read to its end, since a page ends with an entry whose
/// name does not fit into a request.
#[test]
fn odd_name_at_page_end() {
    run(async {
        let (store, host) = follow().await;
        for number in 1..PAGE_ROW_COUNT {
            store.write(TABLE, &format!("i-{number:04}"), &entry(83));
        }
        store.write(TABLE, "i-9 &limit=0&from=\u{e9}%", &entry(84));
        store.write(TABLE, "j-1", &entry(85));
        spawn_local(feeds::follow_upstreams(host.clone()));
        learn(&host, "j-1").await;
    });
}
