//! A model server crashes and comes back under its id with new software. Its last entry before
//! the crash was written late, over that of its new start.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{Case, HOST, Verdict, models};
use crate::{
    fleet::Machine,
    http::{self, StreamEnd},
    server::{Server, Work},
};

/// How long the server is down before it is back with its new software.
const DOWN: Duration = Duration::from_millis(600);

/// How long before the crash the server renews its entry for the last time, by a write whose
/// answer is lost, and how much later the store performs it: 1 to 6 s, as `platform_lost` says.
const LAST_BEAT_BEFORE: Duration = Duration::from_millis(300);
const LATE_BY: Duration = Duration::from_millis(1_200);

/// How long clients wait before they take a stream up that broke off.
const RESUME_DELAY: Duration = Duration::from_millis(1_400);

/// How often clients open streams, and how many.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);
const STREAM_COUNT: u32 = 60;

/// When the server crashes, after the first stream.
const CRASH_AFTER: Duration = Duration::from_millis(3_000);

/// How long clients wait before they try again after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(150);

const EVENT_COUNT: u64 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// How long clients wait for a stream.
const DEADLINE: Duration = Duration::from_secs(10);

/// More streams than this must hold events of two software versions for the rule to be broken.
const ALLOWED_COUNT: usize = 2;

/// What a client received: the software version of each event, by stream and number.
pub(super) type Received = Mutex<BTreeMap<String, BTreeMap<u64, String>>>;

pub fn play(case: &Case) -> Verdict {
    let models = models(1);
    case.configure(&models, 40.0, 2);
    let work = Work::Events {
        count: EVENT_COUNT,
        interval: EVENT_INTERVAL,
    };
    let engines: Vec<Arc<Server>> = (0..6)
        .map(|number| {
            // Their heartbeats are spread.
            thread::sleep(Duration::from_millis(200));
            case.engine(&format!("i-{number}"), "z-a", &models, work.clone())
        })
        .collect();
    let mut machines: Vec<Machine> = (0..6)
        .map(|number| case.machine(&format!("edge-z-a-{number}"), "z-a"))
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    if !machines
        .iter()
        .all(|machine| machine.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::NotRun("a machine is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let targets: Vec<SocketAddr> = machines.iter().map(Machine::clients).collect();
    let received: Received = Mutex::default();
    thread::scope(|scope| {
        let (targets, received) = (&targets, &received);
        scope.spawn(|| {
            thread::sleep(CRASH_AFTER.saturating_sub(LAST_BEAT_BEFORE));
            if !case.is_troubled {
                return;
            }
            engines[0].register_late(LATE_BY);
            thread::sleep(LAST_BEAT_BEFORE);
            engines[0].crash();
            thread::sleep(DOWN);
            engines[0].restart("s2");
        });
        for number in 0..STREAM_COUNT {
            scope.spawn(move || follow(case, number, targets, received, RESUME_DELAY));
            thread::sleep(STREAM_INTERVAL);
        }
    });
    for machine in &machines {
        for line in machine.log_lines(&["upstream.listed", "stream.origin", "versions."]) {
            case.record
                .line(&format!("log of {}: {line}", machine.name));
        }
    }
    judge(case, &received)
}

/// Follows one stream as a client does: it takes the stream up at another machine where it broke
/// off, until its deadline.
pub(super) fn follow(
    case: &Case,
    number: u32,
    targets: &[SocketAddr],
    received: &Received,
    resume_delay: Duration,
) {
    let begun_at = case.record.now();
    let stream = format!("{number:04x}e1");
    // The attempt that brought the first event.
    let mut first_attempt: Option<String> = None;
    for attempt in 0..20_u32 {
        let left = DEADLINE.saturating_sub(case.record.now().saturating_sub(begun_at));
        if left < Duration::from_millis(100) {
            return;
        }
        let id = format!("{stream}{attempt:02x}5d07be2a");
        let known = received
            .lock()
            .expect("not poisoned")
            .get(&stream)
            .map_or(0, |events| events.keys().last().copied().unwrap_or(0));
        let (last, deadline) = (known.to_string(), left.as_millis().to_string());
        let mut headers = vec![
            ("Host", HOST),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Model", "daka50"),
            ("Token-Usage", "271,3540"),
        ];
        if let Some(first) = first_attempt.as_deref().filter(|_| known > 0) {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", first)]);
        }
        let target = targets[(number + attempt) as usize % targets.len()];
        let end = http::stream(target, "/talk52/2f", &headers, left, |event, data| {
            let version = data.split(' ').next().unwrap_or("").to_owned();
            let mut received = received.lock().expect("not poisoned");
            received
                .entry(stream.clone())
                .or_default()
                .insert(event, version);
        });
        let now_known = received
            .lock()
            .expect("not poisoned")
            .get(&stream)
            .map_or(0, |events| events.keys().last().copied().unwrap_or(0));
        if first_attempt.is_none() && now_known > 0 {
            first_attempt = Some(id.clone());
        }
        if end != StreamEnd::Whole || known > 0 {
            case.record.line(&format!(
                "stream {stream}: attempt {id} after event {known} ends at event {now_known}: \
                 {end:?}"
            ));
        }
        if end == StreamEnd::Whole {
            return;
        }
        thread::sleep(if now_known > known {
            resume_delay
        } else {
            RETRY_DELAY
        });
    }
}

pub(super) fn judge(case: &Case, received: &Received) -> Verdict {
    let received = received.lock().expect("not poisoned");
    let mut joined_count = 0;
    for (stream, events) in received.iter() {
        let versions: BTreeSet<&str> = events.values().map(|version| &**version).collect();
        if versions.len() > 1 {
            joined_count += 1;
            let runs = case.seen.lock().expect("not poisoned");
            let servers: Vec<String> = runs
                .runs
                .iter()
                .filter(|(id, _)| id.starts_with(stream.as_str()))
                .flat_map(|(id, runs)| runs.iter().map(move |(_, server)| format!("{id}@{server}")))
                .collect();
            let first = events.values().next().cloned().unwrap_or_default();
            let count = events
                .values()
                .take_while(|version| **version == first)
                .count();
            case.record.line(&format!(
                "stream {stream} holds {count} events of {first} and then others, of {versions:?}; \
                 it ran as {servers:?}"
            ));
        }
    }
    let text = format!(
        "{joined_count} of {} streams hold events of two software versions",
        received.len()
    );
    match (received.len(), joined_count) {
        (0, _) => Verdict::NotRun("no stream had an event".to_owned()),
        (_, count) if count > ALLOWED_COUNT => Verdict::Broken(text),
        _ => Verdict::Held(text),
    }
}
