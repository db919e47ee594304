//! Counts what the service-level objectives are held against.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    clock::{Clock, Timestamp, millis},
    ids::{HostId, RowId},
    observe::burn::{HostWindows, Objective, Recorder, Tally},
};

/// The longest time between two pulls that counts as one trainer's time.
const MAX_PULL_GAP: Duration = Duration::from_secs(60);

/// The counters of one host, which traffic threads share.
#[derive(Debug)]
pub struct Meter {
    host: HostId,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    recorder: Recorder,
    /// When each trainer's last pull ended here.
    pulled_at: BTreeMap<RowId, Timestamp>,
}

impl Meter {
    /// Makes the counters of `host`, whose windows are shortened by
    /// `window_scale_ratio`.
    pub fn new(host: HostId, clock: Clock, window_scale_ratio: f64) -> Self {
        let state = State {
            recorder: Recorder::new(window_scale_ratio),
            pulled_at: BTreeMap::new(),
        };
        Self {
            host,
            clock,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, which is bad without a whole answer.
    pub fn count_call(&self, row: &RowId, is_answered: bool) {
        let tally = Tally {
            bad_count: u64::from(!is_answered),
            total_count: 1,
        };
        let now = self.clock.now();
        self.lock()
            .recorder
            .count(Objective::CallSuccess, row.clone(), tally, now);
    }

    /// Counts the samples of one answer; `at_bound_count` of them are as old as
    /// the row allows.
    pub fn count_samples(&self, row: &RowId, at_bound_count: u64, sample_count: u64) {
        let tally = Tally {
            bad_count: at_bound_count,
            total_count: sample_count,
        };
        let now = self.clock.now();
        self.lock()
            .recorder
            .count(Objective::Staleness, row.clone(), tally, now);
    }

    /// Counts a trainer's time since its last pull here, of which `waited` was
    /// spent on this one.
    pub fn count_pull(&self, row: &RowId, waited: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        let last = state.pulled_at.insert(row.clone(), now);
        let elapsed = now.saturating_sub(last.unwrap_or(now)).min(MAX_PULL_GAP);
        let tally = Tally {
            bad_count: millis(waited),
            total_count: millis(elapsed.max(waited)),
        };
        state
            .recorder
            .count(Objective::Idle, row.clone(), tally, now);
    }

    /// Returns the windows as of now.
    pub fn export(&self) -> HostWindows {
        let now = self.clock.now();
        self.lock().recorder.export(self.host.clone(), now)
    }
}
