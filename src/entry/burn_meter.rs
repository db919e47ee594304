//! Counts the good and bad events of the service-level objectives.

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

/// The most time between two pulls that counts as a trainer's time; a longer
/// gap is cut to this.
const MAX_PULL_GAP: Duration = Duration::from_secs(60);

/// The service-level counters of one host, shared by the traffic threads.
#[derive(Debug)]
pub struct Meter {
    host: HostId,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    recorder: Recorder,
    /// The time at which each trainer's last pull on this host ended.
    pulled_at: BTreeMap<RowId, Timestamp>,
}

impl Meter {
    /// Creates the counters of `host`, with windows scaled by
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

    /// Counts a call, which is bad unless it received a complete response.
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

    /// Counts the samples of one response, of which `at_bound_count` are as
    /// stale as the row allows.
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

    /// Counts the time since the trainer's last pull on this host ended, of
    /// which the trainer spent `waited` on this pull.
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

    /// Returns the current state of the windows.
    pub fn export(&self) -> HostWindows {
        let now = self.clock.now();
        self.lock().recorder.export(self.host.clone(), now)
    }
}
