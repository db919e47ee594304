//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const SECONDS_PER_DAY: f64 = 86_400.0;

pub struct Record {
    started: Instant,
    /// The second of the day, in UTC, at the start.
    start_of_day_s: f64,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            start_of_day_s: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |time| time.as_secs_f64() % SECONDS_PER_DAY),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the time since the start of the case at the timestamp of a log line, such as
    /// `2026-12-06T20:57:01.176002Z`.
    pub fn time_of(&self, timestamp: &str) -> Option<Duration> {
        let mut fields = timestamp
            .split_once('T')?
            .1
            .trim_end_matches('Z')
            .split(':');
        let mut number = || fields.next()?.parse::<f64>().ok();
        let second = number()? * 3_600.0 + number()? * 60.0 + number()?;
        let since = (second - self.start_of_day_s).rem_euclid(SECONDS_PER_DAY);
        Some(Duration::from_secs_f64(since))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().expect("not poisoned");
        // The exit code says what was found where the record cannot be written.
        let _ = file.write_all(line.as_bytes());
    }
}
