//! A model server crashes, comes back under its id with new software, and crashes once more.
//! Streams begin there before all machines list its new start.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{
    Case, Verdict,
    joined_versions::{Received, follow, judge},
    models,
};
use crate::{
    fleet::Machine,
    server::{Server, Work},
};

/// How long the server is down each time, and how long it runs in between.
const DOWN: Duration = Duration::from_millis(600);
const UP: Duration = Duration::from_millis(1_500);

/// How many streams clients open at first, and just after the server is back.
const FIRST_COUNT: u32 = 24;
const SECOND_COUNT: u32 = 24;

/// The pauses between them.
const FIRST_INTERVAL: Duration = Duration::from_millis(25);
const SECOND_INTERVAL: Duration = Duration::from_millis(5);

/// How long clients wait before they take a stream up that broke off.
const RESUME_DELAY: Duration = Duration::from_millis(1_000);

const EVENT_COUNT: u64 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

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
        for number in 0..FIRST_COUNT {
            scope.spawn(move || follow(case, number, targets, received, RESUME_DELAY));
            thread::sleep(FIRST_INTERVAL);
        }
        if case.is_troubled {
            engines[0].crash();
            thread::sleep(DOWN);
            engines[0].restart("s2");
        }
        for number in FIRST_COUNT..FIRST_COUNT + SECOND_COUNT {
            scope.spawn(move || follow(case, number, targets, received, RESUME_DELAY));
            thread::sleep(SECOND_INTERVAL);
        }
        thread::sleep(UP);
        if case.is_troubled {
            engines[0].crash();
            thread::sleep(DOWN);
            engines[0].restart("s2");
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
