//! How many upstreams the work of a service needs.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Timestamp;

/// The period whose peak limits how far the number may fall below the base. Trainers submit a
/// job every 4 s, and their pauses between epochs take up to a minute.
pub(super) const LOW_PERIOD: Duration = Duration::from_secs(120);

/// The period whose peak limits how far the number may fall towards the base. It is shorter,
/// since callers without orders would have the base.
pub(super) const EXCESS_PERIOD: Duration = Duration::from_secs(30);

/// The headroom over the peak when the number falls below the base. Of three failure domains
/// one may be lost, and two thirds of 1.5 still carry the peak.
const HEADROOM_RATIO: f64 = 1.5;

/// The least time that new upstreams must have before the work is due, or their number
/// would grow without bound as the time left approaches the boot time.
const MIN_USEFUL_TIME: Duration = Duration::from_secs(2);

/// The work of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// The time until the job is due.
    pub due_in: Duration,
    /// The time for which its items will occupy slots.
    pub work: Duration,
}

/// The work of one service that runs and waits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The number of items that run.
    pub running_count: usize,
    /// The number of items that wait for a slot.
    pub waiting_count: usize,
    /// The open jobs.
    pub jobs: Vec<Backlog>,
    /// Whether the service gets no other requests than these items. If it does, their number is
    /// unknown, and the base is kept.
    pub is_complete: bool,
}

impl Demand {
    /// Returns how many slots the jobs need to end in time, if `present_count` slots work now
    /// and others after `boot_time`.
    pub(super) fn due_slot_count(&self, present_count: usize, boot_time: Duration) -> usize {
        let mut jobs = self.jobs.clone();
        jobs.sort_by_key(|job| job.due_in);
        let boot_s = boot_time.as_secs_f64();
        let present = present_count as f64;
        let mut work_s = 0.0;
        let mut needed: f64 = 0.0;
        for job in jobs {
            work_s += job.work.as_secs_f64();
            let left_s = job.due_in.max(boot_time + MIN_USEFUL_TIME).as_secs_f64();
            needed = needed.max(match work_s > present * left_s {
                true => (work_s - present * boot_s) / (left_s - boot_s),
                false => work_s / left_s,
            });
        }
        // An item uses one slot.
        (needed.ceil() as usize).min(self.running_count + self.waiting_count)
    }
}

/// The peaks of a number, by seconds.
#[derive(Clone, Debug, Default)]
struct Peaks {
    seconds: VecDeque<(u64, usize)>,
}

impl Peaks {
    fn record(&mut self, count: usize, now: Timestamp) {
        let second = now.as_secs();
        match self.seconds.back_mut() {
            Some((last, peak)) if *last == second => *peak = count.max(*peak),
            _ => self.seconds.push_back((second, count)),
        }
        while let Some((first, _)) = self.seconds.front()
            && first + LOW_PERIOD.as_secs() < second
        {
            self.seconds.pop_front();
        }
    }

    fn peak(&self, period: Duration, now: Timestamp) -> usize {
        let from = now.saturating_sub(period).as_secs();
        self.seconds
            .iter()
            .filter(|(second, _)| *second >= from)
            .map(|(_, count)| *count)
            .max()
            .unwrap_or(0)
    }
}

/// The demand of the last minutes, in upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    busy: Peaks,
    due: Peaks,
    first_at: Option<Timestamp>,
}

impl History {
    /// Records the upstreams that all items would occupy at once, and those that jobs need to
    /// end in time.
    pub(super) fn record(&mut self, busy_count: usize, due_count: usize, now: Timestamp) {
        self.first_at.get_or_insert(now);
        self.busy.record(busy_count, now);
        self.due.record(due_count, now);
    }

    /// Returns the upstreams that must be kept though the base may be left, or `None` if the
    /// demand has not been seen for long enough.
    pub(super) fn needed_count(&self, now: Timestamp) -> Option<usize> {
        self.first_at
            .filter(|first_at| now.saturating_sub(*first_at) >= LOW_PERIOD)
            .map(|_| {
                let busy_count = self.busy.peak(LOW_PERIOD, now);
                (busy_count as f64 * HEADROOM_RATIO).ceil() as usize
            })
    }

    /// Returns the upstreams that ran or waited items occupied at the peak.
    pub(super) fn busy_count(&self, now: Timestamp) -> usize {
        self.busy.peak(LOW_PERIOD, now)
    }

    /// Returns the upstreams that jobs needed lately.
    pub(super) fn due_count(&self, now: Timestamp) -> usize {
        self.due.peak(EXCESS_PERIOD, now)
    }
}
