//! A host freezes while clients read streams there, and a server with the next version of the
//! software joins the service. Clients must be able to go on with their streams at the other
//! hosts, since servers of the version that began them still serve.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use anyhow::{Result, ensure};
use nix::sys::signal::Signal;
use review_standin::{
    AUTHORITY, Network,
    client::{self, Connection, Failure},
    has_trouble,
    hosts::Hosts,
    jobs,
    record::Record,
    run_case,
    upstream::{Arrivals, Server, Setup},
};
use serde_json::json;
use tokio::{task::spawn_local, time::sleep};

const HOST_COUNT: u8 = 3;
const SERVER_COUNT: u8 = 3;
const SLOT_COUNT: usize = 16;

/// How many streams are open at the host that freezes; the rule counts 12 and more.
const STREAM_COUNT: usize = 16;

/// The number of events of a stream, and the time between two of them.
const EVENT_COUNT: u64 = 160;
const EVENT_MS: u64 = 50;

/// How long the host stands still.
const FREEZE_TIME: Duration = Duration::from_millis(4_000);

/// When the new server joins, after the host froze.
const JOIN_DELAY: Duration = Duration::from_millis(700);

/// After which gap clients abandon a stream.
const MAX_GAP: Duration = Duration::from_secs(2);

/// How often a client tries to take its stream up.
const MAX_RESUME_COUNT: usize = 4;

/// How many new streams are opened at the other hosts, and the time between two of them.
const NEW_COUNT: usize = 15;
const NEW_INTERVAL: Duration = Duration::from_millis(150);

/// The fewest streams that the rule counts.
const MIN_COUNT: usize = 12;

/// How many streams were tried, and how many of them brought events.
#[derive(Debug, Default)]
struct Share {
    tried: Cell<usize>,
    served: Cell<usize>,
}

impl Share {
    fn add(&self, is_served: bool) {
        self.tried.set(self.tried.get() + 1);
        self.served.set(self.served.get() + usize::from(is_served));
    }

    fn ratio(&self) -> f64 {
        self.served.get() as f64 / self.tried.get().max(1) as f64
    }
}

fn main() -> ExitCode {
    run_case(run)
}

async fn run(record: Rc<Record>) -> Result<bool> {
    let network = Network::choose();
    let (store, store_address) = network.store().await?;
    let route = json!({"name": "r-talk", "host": AUTHORITY, "path_prefix": "/talk/",
        "kind": "streaming", "resumable": true, "timeout_ms": 10_000, "target_latency_ms": 400,
        "priority": 1, "service": "talk", "max_attempts": 3});
    let service = json!({"name": "talk", "health_path": "/health", "max_connections": 96,
        "protocol": "h1", "tls": false});
    store.write("op", "config", &jobs::configuration(&[route], &[service]));
    let arrivals = Arrivals::default();
    let setup = |number: u8, software: &str| Setup {
        id: format!("i-{number}"),
        number,
        service: "talk",
        slot_count: SLOT_COUNT,
        software: software.to_owned(),
        models: BTreeMap::new(),
    };
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        servers
            .push(Server::start(network, setup(number, "v1"), &store, &record, &arrivals).await?);
    }
    let hosts = Hosts::start(network, HOST_COUNT, store_address, &record).await?;
    let frozen = hosts.all[0].clone();
    let others: Vec<SocketAddr> = hosts.all[1..].iter().map(|host| host.clients).collect();
    sleep(Duration::from_secs(4)).await;
    let resumed: Rc<Share> = Rc::default();
    let begun: Rc<Share> = Rc::default();
    let open_count: Rc<RefCell<usize>> = Rc::new(RefCell::new(STREAM_COUNT));
    for number in 0..STREAM_COUNT {
        let (record, others, resumed) = (record.clone(), others.clone(), resumed.clone());
        let (address, open_count) = (frozen.clients, open_count.clone());
        spawn_local(async move {
            follow(&record, address, &others, number, &resumed).await;
            *open_count.borrow_mut() -= 1;
        });
    }
    sleep(Duration::from_secs(1)).await;
    if has_trouble() {
        record.add("trouble", format!("{} freezes", frozen.name));
        frozen.signal(Signal::SIGSTOP)?;
    }
    sleep(JOIN_DELAY).await;
    servers.push(
        Server::start(
            network,
            setup(SERVER_COUNT, "v2"),
            &store,
            &record,
            &arrivals,
        )
        .await?,
    );
    sleep(Duration::from_millis(1_000)).await;
    for number in 0..NEW_COUNT {
        let (record, begun) = (record.clone(), begun.clone());
        let address = others[number % others.len()];
        spawn_local(async move {
            let id = format!("new-{number}");
            let read = open(&record, address, &id, None, 10).await;
            begun.add(read > 0);
        });
        sleep(NEW_INTERVAL).await;
    }
    let frozen_time = JOIN_DELAY + Duration::from_millis(1_000) + NEW_INTERVAL * NEW_COUNT as u32;
    ensure!(
        frozen_time <= FREEZE_TIME,
        "the host would be frozen too long"
    );
    if has_trouble() {
        record.add("trouble", format!("{} wakes up", frozen.name));
        frozen.signal(Signal::SIGCONT)?;
    }
    sleep(Duration::from_secs(8)).await;
    ensure!(*open_count.borrow() == 0, "a client has not ended");
    record.add(
        "result",
        format!(
            "{} of {} streams that were taken up go on; {} of {} new ones begin",
            resumed.served.get(),
            resumed.tried.get(),
            begun.served.get(),
            begun.tried.get()
        ),
    );
    let is_counted = resumed.tried.get() >= MIN_COUNT;
    Ok(!is_counted || resumed.ratio() >= begun.ratio() / 2.0)
}

/// Opens a stream at `first`, and takes it up at another host if it breaks off.
async fn follow(
    record: &Record,
    first: SocketAddr,
    others: &[SocketAddr],
    number: usize,
    resumed: &Share,
) {
    let begun = format!("s{number}");
    let mut last_event = open(record, first, &begun, None, EVENT_COUNT).await;
    if last_event >= EVENT_COUNT || last_event == 0 {
        return;
    }
    let mut goes_on = false;
    for attempt in 0..MAX_RESUME_COUNT {
        let id = format!("{begun}r{attempt}");
        let address = others[(number + attempt) % others.len()];
        let resume = Some((&*begun, last_event));
        let read = open(record, address, &id, resume, EVENT_COUNT).await;
        if read > last_event {
            goes_on = true;
            last_event = read;
            break;
        }
    }
    resumed.add(goes_on);
    record.add("stream", format!("{begun} ends after event {last_event}"));
}

/// Opens a stream, or takes one up, and returns the number of its last event; waits after a
/// refusal for as long as the host says.
async fn open(
    record: &Record,
    address: SocketAddr,
    id: &str,
    resume: Option<(&str, u64)>,
    event_count: u64,
) -> u64 {
    let last = resume.map_or(0, |(_, last)| last);
    let last_text = last.to_string();
    let mut headers = vec![("attempt-id", id), ("deadline-ms", "12000")];
    if let Some((begun, _)) = resume {
        headers.push(("last-event-id", &*last_text));
        headers.push(("resumes", begun));
    }
    let body = json!({"events": event_count, "event_ms": EVENT_MS, "first_ms": 20});
    let result = match Connection::open(address).await {
        Ok(mut connection) => {
            connection
                .stream("/talk/a", &headers, body.to_string(), MAX_GAP)
                .await
        }
        Err(failure) => Err(failure),
    };
    record.add(
        "answer",
        format!(
            "{id} at {address} after {last}: {}",
            client::describe(&result)
        ),
    );
    let body = match &result {
        Ok(answer) if answer.status == 200 => answer.body.clone(),
        Err(Failure::Cut(200, body)) => body.clone(),
        _ => Default::default(),
    };
    if let Ok(answer) = &result
        && let Ok(retry_after) = answer.header("retry-after").parse()
    {
        sleep(Duration::from_secs_f64(retry_after)).await;
    }
    client::events(&body)
        .last()
        .map_or(last, |(number, _)| *number)
}
