//! Tests which HTTP requests and peer calls a running entry host refuses.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::OnceLock,
    time::{Duration, Instant},
};

use hyper::Method;
use mimosavane::{
    control::controller::Rng,
    entry::{Running, problem::Details},
    settings::Settings,
    standin::{
        client::{Answer, Client},
        table_service::{MemoryTable, TableServiceStandin},
    },
    table::{
        change::{Change, RowEdit},
        edit,
    },
};
use rand::SeedableRng as _;
use tokio::runtime::Runtime;

const SUBMISSION: &str = r#"{"weight_version":1,"groups":[{"group":0,"prompt_token_ids":[1],"sample_count":1,"max_tokens":8}]}"#;
const PULL: &str = r#"{"attach":1,"weight_version":1}"#;

struct Host {
    address: SocketAddr,
    runtime: Runtime,
    _running: Running,
    _standin: TableServiceStandin,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    listener.local_addr().expect("the listener has an address")
}

fn start() -> Host {
    let runtime = Runtime::new().expect("the runtime starts");
    let table = MemoryTable::default();
    let change = ["guides", "menus"]
        .into_iter()
        .fold(Change::new("c-1", "ana", 0), |change, row| {
            change.edit(RowEdit::set(row, 0, serde_json::Map::new()))
        });
    let mut rng = Rng::seed_from_u64(1);
    let applied = runtime.block_on(edit::apply(&table, &change, &mut rng));
    applied.expect("the change is accepted");
    let standin = runtime
        .block_on(TableServiceStandin::start(table))
        .expect("the stand-in of the table service starts");
    let address = free_address();
    let text = format!(
        "host: {{id: entry-1, region: r, failure_domain: f, http_address: '{address}', \
         peer_address: '{}'}}\nplatform: {{table_service_url: '{}'}}\n\
         keys: {{fleet: a-fleet-secret-of-tests, operators: {{ana: operator-key-of-tests}}, \
         rows: {{guides: guides-key-of-tests, menus: menus-key-of-tests}}}}\n\
         limits: {{max_body_bytes: 4096, request_read_timeout_ms: 300}}\n",
        free_address(),
        standin.url()
    );
    let settings = Settings::parse(&text).expect("the settings are valid");
    let running = Running::start(settings).expect("the host starts");
    let deadline = Instant::now() + Duration::from_secs(20);
    while !running.shared().snapshot.load().ready && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    Host {
        address,
        runtime,
        _running: running,
        _standin: standin,
    }
}

/// Returns the host that all tests share.
fn host() -> &'static Host {
    static HOST: OnceLock<Host> = OnceLock::new();
    HOST.get_or_init(start)
}

fn send_request(method: Method, path: &str, key: &str, body: impl Into<bytes::Bytes>) -> Answer {
    let host = host();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let client = Client::new(Duration::from_secs(10));
    let sent = client.send(method, host.address, path, &headers, body.into());
    host.runtime.block_on(sent).expect("the host responds")
}

/// Sends a request that the host must refuse, and returns the status and the
/// problem details of the response.
fn post(path: &str, key: &str, body: impl Into<bytes::Bytes>) -> (u16, Details) {
    let answer = send_request(Method::POST, path, key, body);
    let details =
        serde_json::from_slice(&answer.body).expect("the body is a problem details document");
    (answer.status.as_u16(), details)
}

#[test]
fn no_key() {
    let (status, details) = post("/v1/trainers/guides/steps/1", "", SUBMISSION);
    assert_eq!((status, details.outcome.as_str()), (401, "not-run"));
}

#[test]
fn rival_key() {
    for path in [
        "/v1/trainers/guides/steps/1",
        "/v1/trainers/guides/steps/1/pull",
    ] {
        assert_eq!(post(path, "menus-key-of-tests", SUBMISSION).0, 403);
    }
}

#[test]
fn operator_reads_no_samples() {
    let (status, _) = post(
        "/v1/trainers/guides/steps/1/pull",
        "operator-key-of-tests",
        PULL,
    );
    assert_eq!(status, 403);
}

#[test]
fn unknown_step() {
    let (status, details) = post(
        "/v1/trainers/guides/steps/77/pull",
        "guides-key-of-tests",
        PULL,
    );
    assert_eq!(status, 428);
    assert_eq!(details.kind, "urn:mimosavane:problem:step-unknown");
}

#[test]
fn same_step_twice() {
    let path = "/v1/trainers/menus/steps/5";
    for _ in 0..2 {
        let answer = send_request(Method::POST, path, "menus-key-of-tests", SUBMISSION);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let other = SUBMISSION.replace("\"max_tokens\":8", "\"max_tokens\":9");
    assert_eq!(post(path, "menus-key-of-tests", other).0, 409);
}

#[test]
fn malformed_body() {
    let path = "/v1/trainers/guides/steps/1";
    for body in ["", "{", "[]", "{\"weight_version\":\"one\",\"groups\":[]}"] {
        assert_eq!(post(path, "guides-key-of-tests", body).0, 400, "{body}");
    }
}

#[test]
fn oversized_body() {
    let path = "/v1/trainers/guides/steps/1";
    let (status, _) = post(path, "guides-key-of-tests", vec![b' '; 8192]);
    assert_eq!(status, 413);
}

#[test]
fn slow_sender() {
    let mut stream = TcpStream::connect(host().address).expect("the host accepts a connection");
    let head = "POST /v1/trainers/guides/steps/1 HTTP/1.1\r\nhost: h\r\n\
                authorization: Bearer guides-key-of-tests\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let mut answer = [0; 64];
    let count = stream.read(&mut answer).expect("the host responds");
    assert!(answer[..count].starts_with(b"HTTP/1.1 408"));
}

#[test]
fn unknown_path() {
    assert_eq!(post("/v1/nothing", "guides-key-of-tests", "").0, 404);
}

#[test]
fn status_needs_operator() {
    let answer = send_request(Method::GET, "/v1/status", "guides-key-of-tests", "");
    assert_eq!(answer.status, 403);
    let answer = send_request(Method::GET, "/v1/status", "operator-key-of-tests", "");
    assert_eq!(answer.status, 200);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(
        !text.contains("of-tests"),
        "the response contains a key: {text}"
    );
}

#[test]
fn unknown_id() {
    let answer = send_request(
        Method::GET,
        "/v1/explain/nobody/7",
        "operator-key-of-tests",
        "",
    );
    let account: serde_json::Value =
        serde_json::from_slice(&answer.body).expect("the body is an account");
    assert_eq!(account["id"], "nobody/7");
    assert_eq!(account["decisions"], serde_json::json!([]));
}

#[test]
fn strange_peer() {
    let host = host();
    let peer_address = host._running.shared().settings.host.peer_address;
    let status = host.runtime.block_on(async {
        let peers = mimosavane::entry::peer_client::Peers::new("another secret");
        let mut client = peers
            .client(peer_address)
            .expect("the peer's address is valid");
        let request = mimosavane::proto::peer::FetchRowsRequest { above_revision: 0 };
        client
            .fetch_rows(request)
            .await
            .expect_err("the call is refused")
    });
    assert_eq!(status.code(), tonic::Code::Unauthenticated);
}
