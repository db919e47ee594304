//! A flood of log lines neither blocks the host nor grows its memory.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{
    io::Write,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use mimosavane::ingress::log;

/// More lines than the writer's queue and the rate limit per kind admit
/// together.
const LINE_COUNT: u64 = 20_000;

/// How many lines of one kind are kept per second, as docs/LOGS.md states.
const MAX_LINES_PER_KIND_PER_S: u64 = 500;

/// An output that blocks until it is opened, like a pipe with a stuck reader.
#[derive(Clone, Default)]
struct StuckPipe {
    is_open: Arc<(Mutex<bool>, Condvar)>,
    written_bytes: Arc<AtomicUsize>,
}

impl StuckPipe {
    fn open(&self) {
        *self.is_open.0.lock().unwrap() = true;
        self.is_open.1.notify_all();
    }
}

impl Write for StuckPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut is_open = self.is_open.0.lock().unwrap();
        while !*is_open {
            is_open = self.is_open.1.wait(is_open).unwrap();
        }
        self.written_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The log's reader is stuck while two kinds of lines are logged: log calls
/// must not block, the number of kept lines must stay within the limit per kind
/// and the queue, and dropped lines must be counted.
#[test]
fn stuck_reader() {
    let pipe = StuckPipe::default();
    let log = log::start("info", pipe.clone()).unwrap();
    let started_at = Instant::now();
    for number in 0..LINE_COUNT {
        tracing::info!(event = "flood.first", number);
        if number < 10 {
            tracing::info!(event = "flood.second", number);
        }
    }
    // A blocked call would never return; a line usually takes a microsecond or
    // two.
    assert!(started_at.elapsed() < Duration::from_secs(5));
    let kept_count = LINE_COUNT + 10 - log.dropped_count();
    let begun_seconds = started_at.elapsed().as_secs() + 1;
    let max_count = MAX_LINES_PER_KIND_PER_S * begun_seconds + 10;
    assert!(kept_count <= max_count, "{kept_count} lines are kept");
    // A flood of one kind must not drop lines of another kind.
    assert!(
        kept_count >= MAX_LINES_PER_KIND_PER_S + 10,
        "{kept_count} lines are kept"
    );
    pipe.open();
    drop(log);
    let written_bytes = pipe.written_bytes.load(Ordering::Relaxed);
    assert!(written_bytes > 510 * 60, "{written_bytes} bytes");
}
