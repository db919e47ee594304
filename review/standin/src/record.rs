//! What was sent, answered and run.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

/// Collects lines with the time since the start.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    lines: RefCell<Vec<String>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            lines: RefCell::default(),
        }
    }
}

impl Record {
    /// Adds a line.
    pub fn add(&self, what: &str, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let line = format!("{at:9.3} {what:<10} {}", text.as_ref());
        self.lines.borrow_mut().push(line);
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns all lines.
    pub fn text(&self) -> String {
        let mut text = self.lines.borrow().join("\n");
        text.push('\n');
        text
    }
}
