//! An item that fails at each run, while the machines are restarted in turn, each time the one
//! that coordinates.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use super::{Case, HOST, Verdict, job_body, models, seconds};
use crate::{fleet::Machine, http, server::Work};

/// `max_attempts` of the route.
const MAX_ATTEMPTS: usize = 3;

/// How long a server works on the item before it fails.
const FAILS_AFTER: Duration = Duration::from_millis(550);

/// The pause between two restarts, as `gap_s` of `roll_term` in the site file.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_000);

/// How many machines there are, as in the site file.
const MACHINE_COUNT: usize = 12;

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

const JOB: &str = "7c41e09b52d6a3f8";
const ITEM: &str = "e5b2907c14da6f38";

pub fn play(case: &Case) -> Verdict {
    let models = models(1);
    case.configure(&models, 40.0, 2);
    let work = Work::Fails { after: FAILS_AFTER };
    let engines: Vec<_> = (0..6)
        .map(|number| {
            let zone = ["z-a", "z-b", "z-c"][number % 3];
            case.engine(&format!("i-{number}"), zone, &models, work.clone())
        })
        .collect();
    let mut machines: Vec<Machine> = (0..MACHINE_COUNT)
        .map(|number| {
            let zone = ["z-a", "z-b", "z-c"][number % 3];
            case.machine(&format!("edge-{zone}-{number}"), zone)
        })
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
    let body = job_body(&models[0], ITEM, 500);
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", JOB),
        ("Content-Type", "application/json"),
        ("Deadline-Ms", "12000"),
    ];
    let limit = Duration::from_secs(12);
    let target = machines[0].clients();
    let answer = http::send(target, "POST", "/pufi791/7c41e0", &headers, &body, limit);
    let status = answer.map(|answer| answer.status);
    case.record.line(&format!(
        "job {JOB} with item {ITEM} is answered: {status:?}"
    ));
    if status != Some(202) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let accepted_at = case.record.now();
    if case.is_troubled {
        for round in 1_u32..=MACHINE_COUNT as u32 {
            wait_until(case, accepted_at + RESTART_INTERVAL * round);
            let present = holders(case, &machines).pop();
            let is_due = |index: &usize| machines[*index].terminated_at.is_empty();
            // First the one that acts, as far as its turn has not come yet.
            let next = present
                .map(|(_, index)| index)
                .filter(is_due)
                .or_else(|| (0..MACHINE_COUNT).find(is_due));
            if let Some(index) = next {
                machines[index].terminate();
            }
            restart_ended(&mut machines);
        }
    }
    let result = wait_for_result(case, &mut machines, accepted_at);
    for machine in &machines {
        for line in machine.log_lines(&["lease.", "run.ended", "job.taken_up", "job.listed"]) {
            case.record
                .line(&format!("log of {}: {line}", machine.name));
        }
    }
    drop(engines);
    judge(case, &machines, &result)
}

fn wait_until(case: &Case, at: Duration) {
    thread::sleep(at.saturating_sub(case.record.now()));
}

/// Starts machines again whose processes have ended.
fn restart_ended(machines: &mut [Machine]) {
    for machine in machines.iter_mut() {
        if machine.has_ended() {
            machine.end();
            machine.start();
        }
    }
}

/// Returns the machines that renewed the lease at the store, in the order of these writes, as
/// the platform sees them.
fn holders(case: &Case, machines: &[Machine]) -> Vec<(Duration, usize)> {
    let now = case.record.now();
    let writes = case.store.conditional_writes("leases").into_iter();
    let known = writes.filter_map(|(age, name)| {
        let index = machines.iter().position(|machine| machine.name == name)?;
        Some((now.saturating_sub(age), index))
    });
    known.collect()
}

fn wait_for_result(case: &Case, machines: &mut [Machine], accepted_at: Duration) -> Option<String> {
    let end = Instant::now() + Duration::from_secs(25);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(500));
        restart_ended(machines);
        for machine in machines.iter() {
            let headers = [("Host", HOST)];
            let target = format!("/-/lots/{JOB}?after=0");
            let limit = Duration::from_secs(1);
            let answer = http::send(machine.clients(), "GET", &target, &headers, b"", limit);
            let Some(answer) = answer.filter(|answer| answer.status == 200) else {
                continue;
            };
            let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let Some(state) = page["results"][0]["state"].as_str() else {
                break;
            };
            let age = case.record.now().saturating_sub(accepted_at);
            case.record.line(&format!(
                "{ITEM} is listed as {state}, read {} after the job was accepted",
                seconds(age)
            ));
            return Some(state.to_owned());
        }
    }
    None
}

/// Looks for a run that a machine in touch began after the item had failed three times
/// `max_attempts` times.
fn judge(case: &Case, machines: &[Machine], result: &Option<String>) -> Verdict {
    let seen = case.seen.lock().expect("not poisoned");
    let failures = seen.failures.get(ITEM).cloned().unwrap_or_default();
    let runs = seen.runs.get(ITEM).cloned().unwrap_or_default();
    let bound = 3 * MAX_ATTEMPTS;
    let text = format!(
        "{} runs, {} answers of 500, listed as {result:?}",
        runs.len(),
        failures.len()
    );
    let Some(last_allowed) = failures.get(bound - 1) else {
        return match result.as_deref() {
            Some("errored") => Verdict::Held(text),
            _ => Verdict::NotRun(text),
        };
    };
    let taken = holders(case, machines);
    let mut broken: Option<String> = None;
    for (at, server) in runs.iter().filter(|(at, _)| at > last_allowed) {
        // Only the machine that holds the lease begins to run items.
        let sender = taken.iter().rev().find(|(taken_at, _)| taken_at <= at);
        let Some(sender) = sender.map(|(_, index)| &machines[*index]) else {
            continue;
        };
        let is_in_touch = sender.is_in_touch(*at, STABLE);
        let line = format!(
            "{server} began to run {ITEM} for {} at {} (in touch: {is_in_touch}), after {bound} \
             answers of 500 until {}",
            sender.name,
            seconds(*at),
            seconds(*last_allowed)
        );
        case.record.line(&line);
        if is_in_touch && broken.is_none() {
            broken = Some(line);
        }
    }
    match broken {
        Some(line) => Verdict::Broken(format!("{line}: {text}")),
        None => Verdict::Held(text),
    }
}
