//! A trainer has several steps open, one of them with large bodies, as the machine that
//! coordinates is killed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use super::{Case, HOST, Verdict, models, seconds};
use crate::{
    fleet::Machine,
    http,
    server::{Server, Work},
};

/// The size of each item's body.
const BODY_BYTES: usize = 2_040_000;

/// The items of the large step, and of each of the others. The body of the large one has 32.7 MB,
/// of 33.5 MB that the configuration allows.
const LARGE_COUNT: usize = 12;
const SMALL_COUNT: usize = 9;

/// How many steps are open beside the large one.
const SMALL_STEPS: usize = 6;

/// How long the trainer waits for a step.
const DEADLINE: Duration = Duration::from_secs(12);

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

/// How long an item must have been at no server, in steady state.
const AWAY: Duration = Duration::from_secs(5);

/// How long the killed process is down: "a process that exits or is killed is restarted after a
/// short delay".
const DOWN: Duration = Duration::from_millis(300);

const EVENT_COUNT: u64 = 190;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// One step of the trainer.
struct Step {
    job: String,
    items: Vec<String>,
    sent_at: Duration,
    is_ended: bool,
}

pub fn play(case: &Case) -> Verdict {
    let models = models(1);
    case.configure(&models, 40.0, 2);
    let work = Work::Events {
        count: EVENT_COUNT,
        interval: EVENT_INTERVAL,
    };
    let engines: Vec<Arc<Server>> = (0..6)
        .map(|number| {
            let zone = ["z-a", "z-b", "z-c"][number % 3];
            case.engine(&format!("i-{number}"), zone, &models, work.clone())
        })
        .collect();
    let mut machines: Vec<Machine> = ["z-a", "z-b", "z-c"]
        .iter()
        .map(|zone| case.machine(&format!("edge-{zone}-1"), zone))
        .collect();
    for machine in &mut machines {
        machine.start();
        if !machine.wait_ready(Duration::from_secs(15)) {
            return Verdict::NotRun(format!("{} is not ready", machine.name));
        }
        // The first machine takes the lease.
        thread::sleep(Duration::from_secs(2));
    }
    let target = machines[1].clients();
    let mut steps: Vec<Step> = Vec::new();
    for number in 0..=SMALL_STEPS {
        let count = if number == 0 {
            LARGE_COUNT
        } else {
            SMALL_COUNT
        };
        match submit(case, number, count, &models[0], target) {
            Some(step) => steps.push(step),
            None => return Verdict::NotRun("a step was not accepted".to_owned()),
        }
    }
    let end = Instant::now() + Duration::from_secs(3);
    let is_begun = |item: &String| {
        let seen = case.seen.lock().expect("not poisoned");
        seen.runs.contains_key(item)
    };
    while !steps[0].items.iter().all(is_begun) {
        if Instant::now() >= end {
            return Verdict::NotRun("not all items began".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    case.record.line("all items of the large step have begun");
    if case.is_troubled {
        case.record
            .line(&format!("{} gets SIGKILL", machines[0].name));
        machines[0].end();
    }
    if case.is_troubled {
        thread::sleep(DOWN);
        machines[0].start();
    }
    // The start is the last disruption.
    let steady_from = case.record.now() + STABLE;
    let deadline = steps[0].sent_at + DEADLINE;
    let mut most_running = 0;
    // Since when each item of the large step has been at no server.
    let mut away_since: BTreeMap<String, Duration> = BTreeMap::new();
    while case.record.now() < deadline {
        thread::sleep(Duration::from_millis(100));
        let now = case.record.now();
        {
            let seen = case.seen.lock().expect("not poisoned");
            for item in &steps[0].items {
                let is_at_server = seen.running.iter().any(|(_, id)| id == item);
                if is_at_server || seen.finished.contains(item) {
                    away_since.remove(item);
                } else {
                    away_since
                        .entry(item.clone())
                        .or_insert(now.max(steady_from));
                }
            }
        }
        if now >= steady_from {
            let running = engines.iter().map(|engine| engine.running_count()).sum();
            most_running = most_running.max(running);
        }
        for step in steps.iter_mut().filter(|step| !step.is_ended) {
            read(case, step, target);
        }
    }
    for machine in &machines {
        for line in machine.log_lines(&["job.", "lease.", "host.start"]) {
            case.record
                .line(&format!("log of {}: {line}", machine.name));
        }
    }
    let slot_count = engines.len() * 12;
    judge(case, &steps[0], &away_since, (most_running, slot_count))
}

fn submit(
    case: &Case,
    number: usize,
    count: usize,
    model: &str,
    target: SocketAddr,
) -> Option<Step> {
    let job = format!("7c41e09b52d6{number:04x}");
    let items: Vec<String> = (0..count)
        .map(|item| format!("e5b2{number:04x}{item:08x}"))
        .collect();
    let documents: Vec<Value> = items
        .iter()
        .enumerate()
        .map(|(index, item)| {
            json!({"id": item, "path": "/pufi791/3/91c4", "headers": {"Model": model,
                "Token-Usage": format!("271,{}", EVENT_COUNT * 59),
                "Prompt-Prefix": format!("9c2e41:255,{item}:16")},
                "body": STANDARD.encode(vec![b'x'; BODY_BYTES]),
                "tokens": 271 + EVENT_COUNT * 59, "group": format!("g{}", index / 2)})
        })
        .collect();
    let body = json!({"step": number, "model": model, "min_version": 1,
        "desired_count": count / 2, "items": documents});
    let body = body.to_string().into_bytes();
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", &*job),
        ("Content-Type", "application/json"),
        ("Deadline-Ms", "12000"),
    ];
    let sent_at = case.record.now();
    let answer = http::send(target, "POST", "/pufi791/7c41e0", &headers, &body, DEADLINE);
    let status = answer.map(|answer| answer.status);
    case.record.line(&format!(
        "step {number}, job {job} with {count} items and {} bytes, is answered: {status:?}",
        body.len()
    ));
    (status == Some(202)).then_some(Step {
        job,
        items,
        sent_at,
        is_ended: false,
    })
}

/// Reads how many results a step has, and ends it once it has all.
fn read(case: &Case, step: &mut Step, target: SocketAddr) {
    let limit = Duration::from_millis(1_500);
    let path = format!("/-/lots/{}?after=0", step.job);
    let headers = [("Host", HOST)];
    let Some(answer) = http::send(target, "GET", &path, &headers, b"", limit) else {
        return;
    };
    let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if page["next"].as_u64() != Some(step.items.len() as u64) {
        return;
    }
    let path = format!("/-/lots/{}", step.job);
    let answer = http::send(target, "DELETE", &path, &headers, b"", limit);
    case.record.line(&format!(
        "job {} has all results and is ended: {:?}",
        step.job,
        answer.map(|answer| answer.status)
    ));
    step.is_ended = true;
}

fn judge(
    case: &Case,
    step: &Step,
    away_since: &BTreeMap<String, Duration>,
    (most_running, slot_count): (usize, usize),
) -> Verdict {
    if step.is_ended {
        return Verdict::Held("the large step has all its results in time".to_owned());
    }
    let now = case.record.now();
    let away_for = |item: &String| {
        let since = away_since.get(item).copied();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    };
    let longest = step.items.iter().map(away_for).max().unwrap_or_default();
    let away_count = step
        .items
        .iter()
        .filter(|item| away_for(item) > AWAY)
        .count();
    let text = format!(
        "{away_count} of {} items of the large step were at no server for over 5 s of steady \
         state, the longest for {}; at most {most_running} of {slot_count} slots were used then",
        step.items.len(),
        seconds(longest)
    );
    match (away_count, most_running * 2 < slot_count) {
        (0, _) => Verdict::Held(text),
        (_, true) => Verdict::Broken(text),
        (_, false) => Verdict::NotRun(text),
    }
}
