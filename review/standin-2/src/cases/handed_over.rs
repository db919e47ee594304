//! A machine is partitioned from all servers, and others take its requests over, while one
//! server is slow.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{Case, DESK, HOST, Verdict};
use crate::{
    fleet::Machine,
    http,
    proxy::Proxy,
    server::{Server, ServerSettings, Work},
    store::Rewrite,
};

/// `max_attempts` of the route.
const MAX_ATTEMPTS: u32 = 1;

/// How long a sound server works on a request.
const WORK: Duration = Duration::from_millis(110);

/// How many times as long the slow server works, as the largest `x` of `srv_slow` in the site
/// file. It is one server of five, its largest `share`.
const SLOWNESS: f64 = 3.8;

/// How long the machine is partitioned.
const CUT: Duration = Duration::from_millis(5_500);

const REQUEST_COUNT: u32 = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// More requests than this must run at too many servers for the rule to be broken.
const ALLOWED_COUNT: usize = 3;

pub fn play(case: &Case) -> Verdict {
    case.configure(&[], 40.0, MAX_ATTEMPTS);
    let zones = ["z-a", "z-b", "z-c"];
    let servers: Vec<Arc<Server>> = (0..5)
        .map(|number| {
            let settings = ServerSettings {
                id: format!("i-{number}"),
                service: DESK.to_owned(),
                zone: zones[number % 3].to_owned(),
                slot_count: 6,
                models: Vec::new(),
                work: Work::Answers { after: WORK },
                slowness: if number == 0 { SLOWNESS } else { 1.0 },
            };
            Server::start(settings, &case.store, &case.record, &case.seen)
        })
        .collect();
    let proxies: Arc<Mutex<Vec<(String, Proxy)>>> = Arc::default();
    let rewrite: Rewrite = {
        let proxies = proxies.clone();
        Arc::new(move |address: &str| {
            let mut proxies = proxies.lock().expect("not poisoned");
            if let Some((_, proxy)) = proxies.iter().find(|(known, _)| known == address) {
                return proxy.address.to_string();
            }
            let Ok(target) = address.parse() else {
                return address.to_owned();
            };
            let proxy = Proxy::start(target);
            let own = proxy.address.to_string();
            proxies.push((address.to_owned(), proxy));
            own
        })
    };
    let mut machines: Vec<Machine> = vec![case.machine("edge-z-a-1", "z-a", Some(rewrite))];
    machines.extend((0..4).map(|number| {
        let zone = zones[number % 3];
        case.machine(&format!("edge-{zone}-{}", number + 2), zone, None)
    }));
    for machine in &mut machines {
        machine.start();
    }
    if !machines
        .iter()
        .all(|machine| machine.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::NotRun("a machine is not ready".to_owned());
    }
    // Machines read the list of the others every ten seconds.
    thread::sleep(Duration::from_secs(15));
    let set_cut = |is_cut| {
        for (_, proxy) in proxies.lock().expect("not poisoned").iter() {
            proxy.set_cut(is_cut);
        }
    };
    if case.is_troubled {
        case.record
            .line("edge-z-a-1 is partitioned from all servers");
        set_cut(true);
    }
    let target = machines[0].clients();
    thread::scope(|scope| {
        for number in 0..REQUEST_COUNT {
            scope.spawn(move || send(case, number, target));
            thread::sleep(REQUEST_INTERVAL);
        }
    });
    let sent_for = REQUEST_INTERVAL * REQUEST_COUNT;
    thread::sleep(CUT.saturating_sub(sent_for));
    if case.is_troubled {
        set_cut(false);
        case.record.line("edge-z-a-1 reaches the servers again");
    }
    thread::sleep(Duration::from_secs(3));
    for line in machines[0].log_lines(&["call.handed_over", "reach."]) {
        case.record
            .line(&format!("log of {}: {line}", machines[0].name));
    }
    drop(servers);
    judge(case)
}

fn send(case: &Case, number: u32, target: std::net::SocketAddr) {
    let id = format!("{number:04x}d07be2a35f68");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", &*id),
        ("Deadline-Ms", "2000"),
    ];
    case.record.line(&format!("{id} is sent"));
    let limit = Duration::from_millis(2_000);
    let answer = http::send(target, "POST", "/lohu930/2f", &headers, b"order", limit);
    let status = answer.map(|answer| answer.status);
    case.record.line(&format!("{id} is answered: {status:?}"));
}

/// Counts the requests that ran on more servers than `max_attempts`.
fn judge(case: &Case) -> Verdict {
    let seen = case.seen.lock().expect("not poisoned");
    let mut broken_count = 0;
    for (id, runs) in &seen.runs {
        let servers: BTreeSet<&str> = runs.iter().map(|(_, server)| &**server).collect();
        if servers.len() > MAX_ATTEMPTS as usize {
            broken_count += 1;
            case.record.line(&format!("{id} ran on {servers:?}"));
        }
    }
    let text = format!(
        "{broken_count} of {} requests ran on more servers than max_attempts = {MAX_ATTEMPTS}",
        seen.runs.len()
    );
    match (seen.runs.len(), broken_count) {
        (0, _) => Verdict::NotRun("no request ran".to_owned()),
        (_, count) if count > ALLOWED_COUNT => Verdict::Broken(text),
        _ => Verdict::Held(text),
    }
}
