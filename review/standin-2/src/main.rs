//! Stand-ins of the platform, of servers and of clients for the cases of the second review, and
//! the cases that are scripts.
//!
//! `review-standin-2 CASE FOLDER` plays CASE and writes `record.txt` in FOLDER. With `TROUBLE=0`
//! in the environment it leaves the disruption out. It exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

#![recursion_limit = "256"]

mod cases;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{ExitCode, exit},
    sync::Arc,
    thread,
    time::Duration,
};

use cases::{Case, Verdict};
use record::Record;

/// The time after which a case is given up. All processes end then.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let Some(play) = cases::find(name) else {
        eprintln!("there is no case {name}");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{folder}: {error}");
            return ExitCode::from(2);
        }
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, with the disruption: {is_troubled}"));
    let scratch = scratch_folder();
    let watched = scratch.clone();
    let guard = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        guard.line("given up: the case took too long");
        let _ = fs::remove_dir_all(&watched);
        // The processes are told to end when their parent does not end them itself.
        fleet::end_all();
        exit(2);
    });
    let case = Case::new(record.clone(), scratch.clone(), is_troubled);
    let verdict = play(&case);
    fleet::end_all();
    match env::var_os("KEEP_LOGS") {
        Some(_) => eprintln!("logs: {}", scratch.display()),
        None => drop(fs::remove_dir_all(&scratch)),
    }
    let (text, code) = match verdict {
        Verdict::Held(text) => (format!("held: {text}"), 0),
        Verdict::Broken(text) => (format!("broken: {text}"), 1),
        Verdict::NotRun(text) => (format!("not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

fn scratch_folder() -> PathBuf {
    let folder = env::temp_dir().join(format!("review-standin-2-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
