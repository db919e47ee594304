//! Checks the calls that one host makes for all.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant, SystemTime},
};

use super::{
    super::{USAGE_DUE, USAGE_WINDOW},
    Record,
};

/// The time within which calls of holders A, B, A must not arrive: `lease_ms`.
const LEASE_TIME: Duration = Duration::from_millis(3_000);

/// How far the counts of a window may be from the true ones: `usage_off`.
const COUNT_TOLERANCE_RATIO: f64 = 0.05;

/// How many requests may be counted in the neighbouring window, since they were under way
/// between host and upstream at its end.
const BORDER_COUNT: u64 = 2;

/// A usage report as it arrived.
#[derive(Clone, Debug)]
pub struct ArrivedReport {
    /// The window.
    pub window: u64,
    /// The counts of the accounts.
    pub counts: BTreeMap<String, u64>,
    /// The host that sent it.
    pub holder: String,
    /// The fencing number.
    pub fence: u64,
    /// The status of the answer.
    pub status: u16,
    /// When it arrived.
    pub arrived_at: SystemTime,
}

impl ArrivedReport {
    /// Returns a report that arrives now.
    pub fn new(
        window: u64,
        counts: BTreeMap<String, u64>,
        holder: &str,
        fence: u64,
        status: u16,
    ) -> Self {
        Self {
            window,
            counts,
            holder: holder.to_owned(),
            fence,
            status,
            arrived_at: SystemTime::now(),
        }
    }
}

#[derive(Clone, Debug)]
struct DutyCall {
    at: Instant,
    holder: String,
}

/// The calls about one subject.
#[derive(Clone, Debug, Default)]
struct Subject {
    highest_fence: u64,
    recent: VecDeque<DutyCall>,
}

/// What arrived at the platform's address.
#[derive(Clone, Debug, Default)]
pub struct DutyBook {
    subjects: BTreeMap<String, Subject>,
    fence_holders: BTreeMap<u64, String>,
    reports: Vec<ArrivedReport>,
    /// How many requests of each account began in each window.
    begun: BTreeMap<(u64, String), u64>,
    calm_since: Option<SystemTime>,
}

fn window_start(window: u64) -> SystemTime {
    let start_ms = window.saturating_mul(USAGE_WINDOW.as_millis() as u64);
    SystemTime::UNIX_EPOCH + Duration::from_millis(start_ms)
}

fn current_window() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    (since.unwrap_or_default().as_millis() / USAGE_WINDOW.as_millis()) as u64
}

impl Record {
    /// Records a call about `subject` that arrived now.
    pub fn add_duty_call(&mut self, subject: &str, holder: &str, fence: u64) {
        self.count("duty calls");
        let now = Instant::now();
        let mut broken = Vec::new();
        let owner = self
            .duties
            .fence_holders
            .entry(fence)
            .or_insert_with(|| holder.to_owned());
        if owner != holder {
            broken.push(format!("{subject}: fence {fence} of {owner} and {holder}"));
        }
        let known = self.duties.subjects.entry(subject.to_owned()).or_default();
        if fence < known.highest_fence {
            let highest = known.highest_fence;
            broken.push(format!(
                "{subject}: fence {fence} of {holder} after {highest}"
            ));
        }
        known.highest_fence = known.highest_fence.max(fence);
        while let Some(first) = known.recent.front()
            && now.duration_since(first.at) >= LEASE_TIME
        {
            known.recent.pop_front();
        }
        let mut own_before = known.recent.iter().skip_while(|call| call.holder != holder);
        if let Some(other) = own_before.find(|call| call.holder != holder) {
            let other = &other.holder;
            broken.push(format!("{subject}: {holder}, {other}, {holder}"));
        }
        known.recent.push_back(DutyCall {
            at: now,
            holder: holder.to_owned(),
        });
        for seen in broken {
            self.add_violation("one-duty-holder", seen);
        }
    }

    /// Records a usage report.
    pub fn add_usage_report(&mut self, report: ArrivedReport) {
        let mut before = self.duties.reports.iter();
        let other = before
            .find(|before| before.window == report.window && before.counts != report.counts)
            .map(|before| format!("{report:?} after {before:?}"));
        if let Some(seen) = other {
            self.add_violation("one-report", seen);
        }
        self.duties.reports.push(report);
    }

    /// Returns the usage reports in the order of their arrival.
    pub fn usage_reports(&self) -> &[ArrivedReport] {
        &self.duties.reports
    }

    /// Records that a request of `account` begins to run at an upstream.
    pub fn add_begun(&mut self, account: &str) {
        let key = (current_window(), account.to_owned());
        *self.duties.begun.entry(key).or_default() += 1;
    }

    /// Records that nothing disturbs the fleet from now on.
    pub fn begin_calm(&mut self) {
        self.duties.calm_since = Some(SystemTime::now());
    }

    /// Checks the reports of all windows that began and were due in the calm time, which
    /// ends now.
    pub fn end_calm(&mut self) {
        let Some(since) = self.duties.calm_since.take() else {
            return;
        };
        let until = SystemTime::now();
        let last = current_window();
        let windows = last.saturating_sub(100)..last;
        for window in windows.filter(|window| window_start(*window) >= since) {
            let due_at = window_start(window + 1) + USAGE_DUE;
            if due_at <= until {
                self.check_window(window, due_at);
            }
        }
    }

    fn check_window(&mut self, window: u64, due_at: SystemTime) {
        let begun: BTreeMap<String, u64> = self
            .duties
            .begun
            .iter()
            .filter(|((begun, _), _)| *begun == window)
            .map(|((_, account), count)| (account.clone(), *count))
            .collect();
        self.count("calm windows");
        let is_in_time =
            |report: &&ArrivedReport| report.status == 200 && report.arrived_at <= due_at;
        let mut reports = self.duties.reports.iter();
        let Some(report) = reports.find(|report| report.window == window && is_in_time(report))
        else {
            self.add_violation("usage-in-time", format!("{window}: {begun:?}"));
            return;
        };
        let reported = report.counts.clone();
        let accounts = begun.keys().chain(reported.keys());
        let is_true = accounts.into_iter().all(|account| {
            let count = |counts: &BTreeMap<String, u64>| counts.get(account).copied().unwrap_or(0);
            let (true_count, reported_count) = (count(&begun), count(&reported));
            let difference = true_count.abs_diff(reported_count);
            difference <= BORDER_COUNT
                || difference as f64 <= COUNT_TOLERANCE_RATIO * true_count as f64
        });
        if !is_true {
            let seen = format!("{window}: reported {reported:?}, begun {begun:?}");
            self.add_violation("usage-true", seen);
        }
    }
}
