//! Requests carry keys of accounts: upstreams run them for the holder of the key and never
//! see the key, and jobs belong to the account that submitted them
//! (docs/design/shared-fleet.md, "Accounts").

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod fleet_support;
mod pause_support;
mod rows_support;

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use fleet_support::{Deployment, Fleet, run};
use http::{Request, StatusCode};
use mimosavane::{
    batch::{job::JobHead, layout},
    ingress::{
        accounts::{Account, Accounts, Holder},
        handover,
        host::KnownJob,
        jobs,
        routes::RouteKind,
        wire::{Caller, ClientHead, JobCall},
    },
    platform::standin::{
        ACCOUNTS, Client, Keyring, MODELS, PUBLIC_PATH, REPEATABLE_PATH, RequestError,
        ReservedAddress, ResultPage, STREAM_PATH, Sender, TrainerJob, reward_id,
    },
    store::rows::RowStore as _,
};
use rows_support::{
    Rows,
    host::{TestHost, host},
    job,
    page::{SERVICE, configuration, upstream},
};
use tokio::time::sleep;

const OWNER: &str = ACCOUNTS[1];
const OTHER: &str = ACCOUNTS[2];

/// How long hosts take to learn of upstreams, of each other and of a configuration.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);

/// A fleet with accounts, whose first keys all hosts know.
async fn fleet(host_count: usize) -> (Fleet, Keyring) {
    let keyring = Keyring::new(Duration::ZERO);
    let deployment = Deployment {
        keyring: Some(keyring.clone()),
        ..Deployment::default()
    };
    let pauses = vec![BTreeMap::new(); host_count];
    let fleet = Fleet::start_as(pauses, 2, 2, deployment).await;
    sleep(LEARNING_TIME).await;
    (fleet, keyring)
}

/// Connects to a host with `keys`, under the claim to be another account.
async fn client(fleet: &Fleet, host: usize, keys: &[&str]) -> Client {
    let mut client = Client::connect(fleet.hosts[host].clients).await.unwrap();
    client.present_keys(keys);
    client.claim_account(ACCOUNTS[3]);
    client
}

fn add_sent(fleet: &Fleet, requests: impl IntoIterator<Item = String>, sender: &Sender) {
    for request in requests {
        fleet.record.borrow_mut().add_sent(request, sender.clone());
    }
}

fn account(name: &str) -> Sender {
    Sender::Account(name.to_owned())
}

/// Checks that all requests ran for their own account, without a key.
fn assert_kept(fleet: &Fleet) {
    let violations = std::mem::take(&mut *fleet.record.borrow_mut()).close();
    assert_eq!(violations, []);
}

fn trainer_job(id: &str, item_count: usize) -> TrainerJob {
    TrainerJob {
        id: id.to_owned(),
        model: MODELS[0].0.to_owned(),
        step: 0,
        min_version: 1,
        event_counts: (0..item_count)
            .map(|index| (format!("{id}-{index:02}"), 3))
            .collect(),
    }
}

/// Submits `job` for `name` with `key` at the first host.
async fn submit(fleet: &Fleet, name: &str, key: &str, job: &TrainerJob) -> StatusCode {
    let items = job.event_counts.keys();
    let requests = items.flat_map(|item| [item.clone(), reward_id(item)]);
    add_sent(fleet, requests, &account(name));
    let mut client = client(fleet, 0, &[key]).await;
    client.submit(MODELS[0].1, job).await.unwrap().status
}

/// Reads `job` at the last host until it is whole.
async fn read_whole(fleet: &Fleet, key: &str, job: &TrainerJob) -> ResultPage {
    let last = fleet.hosts.len() - 1;
    for _ in 0..200 {
        let mut client = client(fleet, last, &[key]).await;
        let answer = client.read(&job.id, 0, Duration::ZERO).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        let page = ResultPage::parse(&answer.body).unwrap();
        if page.next == job.event_counts.len() {
            return page;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("the job is not whole in time");
}

/// Guards against requests that run for nobody: those without a key, with one that no
/// account holds, and with two, of which it is not clear whose they are.
#[test]
fn unknown_keys() {
    run(async {
        let (fleet, keyring) = fleet(1).await;
        let keys = keyring.settled_keys(OWNER);
        let job = trainer_job("denied", 1);
        for wrong in [
            &[][..],
            &["no-such-key"],
            &keys[..2],
            &[keys[0], keys[0]],
            &[""],
        ] {
            add_sent(&fleet, ["denied".to_owned()], &Sender::Unknown);
            let mut client = client(&fleet, 0, wrong).await;
            let answer = client.call(REPEATABLE_PATH, "denied").await.unwrap();
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{wrong:?}");
            let answer = client.submit(MODELS[0].1, &job).await.unwrap();
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{wrong:?}");
            let answer = client.end(&job.id).await.unwrap();
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{wrong:?}");
        }
        assert_eq!(fleet.record.borrow().run_count("denied"), 0);
        assert_kept(&fleet);
    });
}

/// Guards against public routes that ask for a key, and against clients that name an account
/// there: upstreams take what the header says.
#[test]
fn public_route() {
    run(async {
        let (fleet, keyring) = fleet(1).await;
        let key = keyring.settled_keys(OWNER)[0].to_owned();
        let cases = [
            (vec![], Sender::Public),
            (vec!["no-such-key"], Sender::Public),
            (vec![&*key], account(OWNER)),
        ];
        for (number, (keys, sender)) in cases.into_iter().enumerate() {
            let attempt = format!("public-{number}");
            add_sent(&fleet, [attempt.clone()], &sender);
            let mut client = client(&fleet, 0, &keys).await;
            let answer = client.call(PUBLIC_PATH, &attempt).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_kept(&fleet);
    });
}

/// Guards against calls, items and reward calls that run for the account that a client names
/// instead of the one that holds its key, and against keys that reach upstreams.
#[test]
fn named_account() {
    run(async {
        let (fleet, keyring) = fleet(2).await;
        for name in [OWNER, OTHER] {
            let attempt = format!("named-{name}");
            add_sent(&fleet, [attempt.clone()], &account(name));
            let key = keyring.settled_keys(name)[1].to_owned();
            let mut client = client(&fleet, 0, &[&key]).await;
            let answer = client.call(REPEATABLE_PATH, &attempt).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK);
            let job = trainer_job(&format!("job-{name}"), 4);
            let status = submit(&fleet, name, &key, &job).await;
            assert_eq!(status, StatusCode::ACCEPTED);
            read_whole(&fleet, &key, &job).await;
        }
        assert_eq!(fleet.count("runs"), 8);
        assert!(fleet.count("reward calls") >= 8);
        assert_kept(&fleet);
    });
}

/// Guards against a stream that loses its account where another host takes it up.
#[test]
fn resumed_stream() {
    run(async {
        let (fleet, keyring) = fleet(2).await;
        let key = keyring.settled_keys(OWNER)[0].to_owned();
        add_sent(
            &fleet,
            ["begin".to_owned(), "again".to_owned()],
            &account(OWNER),
        );
        let mut first = client(&fleet, 0, &[&key]).await;
        let begun = first.stream(STREAM_PATH, "begin", None, 5).await.unwrap();
        drop(first);
        let mut second = client(&fleet, 1, &[&key]).await;
        let resumed = Some(("begin", begun.last_event));
        let again = second
            .stream(STREAM_PATH, "again", resumed, 5)
            .await
            .unwrap();
        assert_eq!(again.status, StatusCode::OK);
        assert!(again.last_event > begun.last_event);
        assert_eq!(fleet.count("streams resumed"), 1);
        assert_kept(&fleet);
    });
}

/// Guards against a removal of a key that ends what was accepted under it: the job is run
/// and can be read with another key of its account.
#[test]
fn key_of_job_removed() {
    run(async {
        let (fleet, mut keyring) = fleet(2).await;
        let keys: Vec<String> = keyring
            .settled_keys(OWNER)
            .into_iter()
            .map(str::to_owned)
            .collect();
        let job = TrainerJob {
            event_counts: (0..24)
                .map(|index| (format!("kept-{index:02}"), 40))
                .collect(),
            ..trainer_job("kept", 0)
        };
        let status = submit(&fleet, OWNER, &keys[0], &job).await;
        assert_eq!(status, StatusCode::ACCEPTED);
        keyring.remove(&keys[0]);
        keyring.configure(&fleet.store, 2);
        read_whole(&fleet, &keys[1], &job).await;
        let mut removed = client(&fleet, 1, &[&keys[0]]).await;
        let answer = removed.read(&job.id, 0, Duration::ZERO).await.unwrap();
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_kept(&fleet);
    });
}

/// Guards against calls that lose their account on the way over another host.
#[test]
fn handed_over() {
    run(async {
        let (fleet, keyring) = fleet(2).await;
        let reserved = ReservedAddress::new().unwrap();
        fleet.host_stores[0].cut_upstreams(Some(reserved.address));
        sleep(LEARNING_TIME).await;
        let key = keyring.settled_keys(OWNER)[0].to_owned();
        let mut served_count = 0;
        for number in 0..20 {
            let attempt = format!("over-{number}");
            add_sent(&fleet, [attempt.clone()], &account(OWNER));
            let mut client = client(&fleet, 0, &[&key]).await;
            let answer: Result<_, RequestError> = client.call(REPEATABLE_PATH, &attempt).await;
            served_count += usize::from(answer.unwrap().status == StatusCode::OK);
        }
        assert!(served_count > 10, "{served_count} of 20 are served");
        assert_kept(&fleet);
    });
}

fn holder(name: &str) -> Caller {
    Caller::Account(Holder {
        id: name.into(),
        priority: None,
    })
}

/// Guards against a host that runs what another host authenticated: the taker knows a newer
/// configuration, in which the key is gone.
#[test]
fn taken_without_account() {
    run(async {
        for (key, is_taken) in [("k-1", true), ("k-2", false)] {
            let host = host(&Rows::default());
            let accounts = Accounts::new([Account {
                id: OWNER.into(),
                priority: None,
                keys: vec!["k-1".to_owned()],
            }]);
            let mut known = configuration(RouteKind::Idempotent);
            known.accounts = Some(accounts);
            host.view.borrow_mut().configuration = Some(known.into());
            let gone = ReservedAddress::new().unwrap();
            let upstream = upstream("i-1", 1, gone.address);
            host.view.borrow_mut().directory.put(upstream);
            let request = Request::get(format!("{}/pages/1", handover::CALL_PATH))
                .header("Host", "pages.example")
                .header("X-Api-Key", key)
                .header("attempt-id", "a1")
                .header("handover-attempts-left", "3")
                .header("handover-time-left-ms", "1000")
                .header("handover-configuration", "1")
                .body(())
                .unwrap();
            let (parts, ()) = request.into_parts();
            handover::answer(&host, &parts, &Bytes::new())
                .await
                .unwrap();
            // A call that is taken is tried at the upstream, which cannot be connected to.
            let was_tried = host.reach.borrow().is_suspected(SERVICE);
            assert_eq!(was_tried, is_taken, "{key}");
        }
    });
}

async fn status_of(host: &TestHost, call: JobCall, caller: &Caller) -> StatusCode {
    let head = ClientHead::default();
    jobs::handle_call(host, call, caller, &head).await.status()
}

/// Guards against accounts that read, or end, what belongs to another one, or learn by the
/// answer that it exists; also at hosts that have not seen the job before.
#[test]
fn jobs_of_others() {
    run(async {
        let rows = Rows::default();
        let mut stored = job("7c41", 2, 10);
        stored.head.account = Some(OWNER.into());
        for transaction in layout::acceptance(&stored).unwrap() {
            rows.commit(&transaction).await.unwrap();
        }
        let first = host(&rows);
        let calls = |id: &str| {
            [
                JobCall::Results {
                    job: id.into(),
                    from: 0,
                },
                JobCall::Body {
                    job: id.into(),
                    item: "item-0".into(),
                },
                JobCall::End { job: id.into() },
            ]
        };
        for host in [&first, &host(&rows)] {
            for (call, unknown) in calls("7c41").into_iter().zip(calls("7c42")) {
                let denied = status_of(host, call, &holder(OTHER)).await;
                let absent = status_of(host, unknown, &holder(OTHER)).await;
                assert_eq!([denied, absent], [StatusCode::NOT_FOUND; 2]);
            }
            assert_eq!(rows.keys(layout::OPEN, "7c41"), ["job"]);
        }
        for call in calls("7c41") {
            let status = status_of(&first, call, &holder(OWNER)).await;
            assert_eq!(status, StatusCode::OK);
        }
    });
}

/// Guards against an account that takes another's job for its own, since it submits one with
/// the same name.
#[test]
fn name_of_other_job() {
    run(async {
        let (fleet, keyring) = fleet(2).await;
        let job = trainer_job("shared-name", 2);
        let [owner_key, other_key] =
            [OWNER, OTHER].map(|name| keyring.settled_keys(name)[0].to_owned());
        let status = submit(&fleet, OWNER, &owner_key, &job).await;
        assert_eq!(status, StatusCode::ACCEPTED);
        let mut other = client(&fleet, 1, &[&other_key]).await;
        let answer = other.submit(MODELS[0].1, &job).await.unwrap();
        assert!(answer.status.is_client_error(), "{}", answer.status);
        let answer = other.read(&job.id, 0, Duration::ZERO).await.unwrap();
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
        read_whole(&fleet, &owner_key, &job).await;
        assert_kept(&fleet);
    });
}

/// Guards against heads that a host of the other build cannot read, while hosts of both
/// serve.
#[test]
fn stored_heads() {
    run(async {
        for owner in [None, Some(OWNER)] {
            let rows = Rows::default();
            let mut stored = job("7c41", 2, 10);
            stored.head.account = owner.map(Into::into);
            stored.head.priority = 0;
            for transaction in layout::acceptance(&stored).unwrap() {
                rows.commit(&transaction).await.unwrap();
            }
            let range = mimosavane::store::rows::RowRange {
                table: layout::JOBS,
                partition: "7c41".to_owned(),
                from: layout::HEAD_KEY.to_owned(),
                to: String::new(),
                limit_count: 1,
            };
            let page = rows.read(&range).await.unwrap();
            let value = &page.rows[0].value;
            assert_eq!(layout::decode_head(value).unwrap(), stored.head);
            // As hosts of an earlier build read it.
            let earlier: JobHead = layout::decode(layout::HEAD_KEY, value).unwrap();
            assert_eq!(earlier.item_count, stored.head.item_count);
            let reader = host(&rows);
            let results = JobCall::Results {
                job: "7c41".into(),
                from: 0,
            };
            let status = status_of(&reader, results, &holder(OWNER)).await;
            assert_eq!(status, StatusCode::OK);
            let known = KnownJob {
                item_count: 2,
                account: owner.map(Into::into),
            };
            assert_eq!(reader.view.borrow().jobs["7c41"], known);
        }
    });
}
