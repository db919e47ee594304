//! Records the observations of callers and upstreams and checks the promises
//! against them.

mod accounts;
mod duties;
mod limited;
mod texts;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

pub use self::duties::ArrivedReport;
use self::{
    accounts::SentRequests, duties::DutyBook, limited::LimitedUpstream, texts::find_text_error,
};

/// The minimum interval between orders of two different hosts to one engine.
const MIN_HOLDER_CHANGE_INTERVAL: Duration = Duration::from_millis(3_000);

/// How long after a host passed on that an upstream leaves it may still send requests to it
/// that it has got in the meantime.
const LEAVING_SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// How long after the acknowledgement of a job's end its items may still reach an upstream:
/// `cancel_ms` of the deployment specification.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);

/// How long after the last fault that holds: `stable_ms`.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

/// How long after a call crashed the third upstream all hosts must know it.
const CRASH_SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// The number of upstreams that a call may crash before it counts as the cause.
const KNOWN_CRASH_COUNT: usize = 3;

/// How often a call that is known to crash upstreams may be sent again.
const MAX_CRASH_RETRY_COUNT: usize = 3;

/// A violation of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The name of the promise.
    pub promise: &'static str,
    /// The observation that violates the promise.
    pub seen: String,
}

/// The result at one position of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenResult {
    /// The id of the item.
    pub item: String,
    /// Whether the item completed.
    pub is_completed: bool,
    /// The text that was generated.
    pub text: String,
    /// The weight versions that the result names.
    pub versions: Vec<u64>,
    /// The score.
    pub score: Option<String>,
}

/// The observations about an accepted job.
#[derive(Clone, Debug, Default)]
struct SeenJob {
    event_counts: BTreeMap<String, u64>,
    min_version: u64,
    is_scored: bool,
    positions: BTreeMap<usize, SeenResult>,
    items: BTreeMap<String, usize>,
}

/// What upstreams answered to one reward call.
#[derive(Clone, Debug, Default)]
struct SeenReward {
    scores: BTreeSet<String>,
    error_count: u32,
}

#[derive(Clone, Debug)]
struct Order {
    at: Instant,
    holder: String,
    fence: u64,
}

/// The observations of one soak.
#[derive(Debug, Default)]
pub struct Record {
    violations: Vec<Violation>,
    jobs: BTreeMap<String, SeenJob>,
    refused_items: BTreeSet<String>,
    /// When the end of the job of each of these items was acknowledged.
    ended_items: BTreeMap<String, Instant>,
    run_items: BTreeSet<String>,
    orders: BTreeMap<String, Order>,
    last_holder: Option<String>,
    executions: BTreeMap<String, u32>,
    /// The software version that began each stream.
    stream_versions: BTreeMap<String, String>,
    /// The items of which an engine has made the last event.
    whole_items: BTreeSet<String>,
    /// What upstreams answered to each reward call.
    rewards: BTreeMap<String, SeenReward>,
    refused_calls: BTreeSet<String>,
    once_calls: BTreeSet<String>,
    counts: BTreeMap<&'static str, u64>,
    /// When each call that crashes upstreams reached one, by its path.
    crashes: BTreeMap<String, Vec<Instant>>,
    /// When an unplanned fault last disturbed the fleet.
    disturbed_at: Option<Instant>,
    /// When upstreams ended under each of these calls.
    ends: BTreeMap<String, Vec<Instant>>,
    /// When each host first passed on that a start of an upstream is leaving.
    leaving: BTreeMap<(String, String), Instant>,
    /// The upstreams that name a limit.
    limited: BTreeMap<String, LimitedUpstream>,
    /// Who sent which request.
    sent: SentRequests,
    /// The calls that one host made for all.
    duties: DutyBook,
}

impl Record {
    /// Records a violation of `promise`.
    pub fn add_violation(&mut self, promise: &'static str, seen: impl Into<String>) {
        self.violations.push(Violation {
            promise,
            seen: seen.into(),
        });
    }

    /// Increments the counter `what` of the summary.
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Returns the counters of the summary.
    pub const fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Records that an engine runs an item.
    pub fn add_item_run(&mut self, item: &str) {
        self.count("runs");
        self.run_items.insert(item.to_owned());
        let is_late = |at: Instant, bound| at.elapsed() >= bound;
        let is_disturbed = self
            .disturbed_at
            .is_some_and(|at| !is_late(at, STABLE_TIME));
        if let Some(ended_at) = self.ended_items.get(item)
            && is_late(*ended_at, CANCEL_TIME)
            && !is_disturbed
        {
            let seen = format!("{item}, {} ms later", ended_at.elapsed().as_millis());
            self.add_violation("ended-never-runs", seen);
        }
    }

    /// Records that the end of the job of `items` was acknowledged.
    pub fn add_ended_job(&mut self, items: impl Iterator<Item = String>) {
        self.count("jobs ended early");
        let now = Instant::now();
        self.ended_items.extend(items.map(|item| (item, now)));
    }

    /// Records that an upstream of `software_version` begins the stream of the client's
    /// attempt `stream`, or goes on with it after `last_event`.
    ///
    /// Items are judged by their texts: an item may have been begun anew, and its first
    /// text be found again.
    pub fn add_stream_run(&mut self, stream: &str, software_version: &str, last_event: u64) {
        if last_event == 0 {
            self.stream_versions
                .insert(stream.to_owned(), software_version.to_owned());
            return;
        }
        self.count("streams resumed");
        let begun = self.stream_versions.get(stream);
        if begun.is_some_and(|begun| begun != software_version) {
            let seen = format!("{stream}: begun by {begun:?}, resumed by {software_version}");
            self.add_violation("texts-never-joined", seen);
        }
    }

    /// Records that an engine makes the last event of an item.
    pub fn add_whole_item(&mut self, item: &str) {
        self.whole_items.insert(item.to_owned());
    }

    /// Records that a service runs a reward call and answers with a score or an
    /// error.
    ///
    /// # Errors
    ///
    /// `answer` is an error if the service fails the call.
    pub fn add_reward_run(&mut self, reward: &str, answer: Result<&str, ()>) {
        self.count("reward calls");
        let item = super::rewarded_item(reward);
        if !self.whole_items.contains(item) {
            self.add_violation("score-after-text", reward);
        }
        if self.refused_items.contains(item) {
            self.add_violation("refused-never-runs", reward);
        }
        let seen = self.rewards.entry(reward.to_owned()).or_default();
        match answer {
            Ok(score) => {
                seen.scores.insert(score.to_owned());
            }
            Err(()) => seen.error_count += 1,
        }
    }

    /// Records an order that reached `engine`, the id of one start of an engine.
    pub fn add_order(&mut self, engine: &str, holder: &str, fence: u64) {
        self.count("orders");
        self.last_holder = Some(holder.to_owned());
        let order = Order {
            at: Instant::now(),
            holder: holder.to_owned(),
            fence,
        };
        if let Some(last) = self.orders.insert(engine.to_owned(), order) {
            if fence < last.fence {
                let seen = format!("{engine}: fence {fence} of {holder} after {}", last.fence);
                self.add_violation("one-holder", seen);
            }
            if last.holder != holder && last.at.elapsed() < MIN_HOLDER_CHANGE_INTERVAL {
                let seen = format!(
                    "{engine}: {holder} {} ms after {}",
                    last.at.elapsed().as_millis(),
                    last.holder
                );
                self.add_violation("one-holder", seen);
            }
        }
    }

    /// Returns the host that sent the last order.
    pub fn last_holder(&self) -> Option<&str> {
        self.last_holder.as_deref()
    }

    /// Records that an upstream names a limit in requests per second from now on, or
    /// none.
    pub fn set_limit(&mut self, upstream: &str, limit_per_s: Option<f64>) {
        let Some(limit_per_s) = limit_per_s else {
            self.limited.remove(upstream);
            return;
        };
        self.limited
            .entry(upstream.to_owned())
            .or_default()
            .name_limit(limit_per_s);
    }

    /// Records that a request of any kind reached an upstream.
    ///
    /// Requests of hosts that do not know the limit yet are counted too, which is
    /// stricter than the platform's rule.
    pub fn add_arrival(&mut self, upstream: &str) {
        let Some(limited) = self.limited.get_mut(upstream) else {
            return;
        };
        let excess = limited.add_arrival();
        self.count("requests under a limit");
        if let Some(excess) = excess {
            self.add_violation("limit-kept", format!("{upstream}: {excess}"));
        }
    }

    /// Records that an unplanned fault disturbs the fleet, whose hosts may forget what
    /// they learned.
    pub fn mark_disturbance(&mut self) {
        self.disturbed_at = Some(Instant::now());
    }

    /// Records that an upstream ended under a call to `path`.
    pub fn add_end(&mut self, path: &str) {
        self.count("crashes");
        self.ends
            .entry(path.to_owned())
            .or_default()
            .push(Instant::now());
    }

    /// Records that a call to `path`, which crashes upstreams, reached one.
    pub fn add_crash(&mut self, path: &str) {
        let is_disturbed = self
            .disturbed_at
            .is_some_and(|at| at.elapsed() < CRASH_SETTLE_TIME);
        if is_disturbed {
            return;
        }
        let times = self.crashes.entry(path.to_owned()).or_default();
        times.push(Instant::now());
        let ends = self.ends.get(path);
        let Some(third) = ends.and_then(|ends| ends.get(KNOWN_CRASH_COUNT - 1)) else {
            return;
        };
        let known_at = *third + CRASH_SETTLE_TIME;
        let retry_count = times.iter().filter(|at| **at > known_at).count();
        if retry_count > MAX_CRASH_RETRY_COUNT {
            let seen = format!("{path}: {retry_count} retries");
            self.add_violation("crashes-end", seen);
        }
    }

    /// Records that `host` passed on an answer of one start of an upstream to a call that
    /// was sent at `sent_at`.
    ///
    /// A host that was restarted or frozen in between counts as another one.
    pub fn add_passed_answer(
        &mut self,
        host: &str,
        upstream_start: &str,
        sent_at: Instant,
        is_leaving: bool,
    ) {
        if !is_leaving {
            return;
        }
        self.count("answers of leaving upstreams");
        let key = (host.to_owned(), upstream_start.to_owned());
        let heard_at = *self.leaving.entry(key).or_insert_with(Instant::now);
        if sent_at > heard_at + LEAVING_SETTLE_TIME {
            let late_ms = (sent_at - heard_at).as_millis();
            let seen = format!("{host}: {upstream_start} {late_ms} ms after its statement");
            self.add_violation("leaving-kept", seen);
        }
    }

    /// Records that a service runs a call.
    pub fn add_call_run(&mut self, attempt: &str) {
        *self.executions.entry(attempt.to_owned()).or_default() += 1;
    }

    /// Returns how many times a call was run.
    pub fn run_count(&self, attempt: &str) -> u32 {
        self.executions.get(attempt).copied().unwrap_or(0)
    }

    /// Records that a call was sent that may run at most once.
    pub fn add_once_call(&mut self, attempt: &str) {
        self.once_calls.insert(attempt.to_owned());
    }

    /// Records an answer to a client that its call has not run and never will.
    pub fn add_refused_call(&mut self, attempt: &str) {
        self.count("calls refused");
        self.refused_calls.insert(attempt.to_owned());
    }

    /// Records the items of a job whose submission was refused in every attempt.
    pub fn add_refused_job(&mut self, items: impl Iterator<Item = String>) {
        self.count("jobs refused");
        self.refused_items.extend(items);
    }

    /// Records that a job was accepted, with the number of events of each item.
    pub fn add_accepted_job(
        &mut self,
        job: &str,
        min_version: u64,
        event_counts: BTreeMap<String, u64>,
        is_scored: bool,
    ) {
        self.count("jobs accepted");
        let seen = SeenJob {
            event_counts,
            min_version,
            is_scored,
            ..SeenJob::default()
        };
        self.jobs.entry(job.to_owned()).or_insert(seen);
    }

    /// Returns the ids of the accepted jobs.
    pub fn accepted_jobs(&self) -> Vec<String> {
        self.jobs.keys().cloned().collect()
    }

    /// Returns the number of consecutive positions of `job`, from the first, that
    /// were read.
    pub fn read_count(&self, job: &str) -> usize {
        let positions = self.jobs.get(job).map(|job| &job.positions);
        positions.map_or(0, |read| {
            (0..).take_while(|at| read.contains_key(at)).count()
        })
    }

    /// Returns the number of results of `job` that were read as completed.
    pub fn completed_count(&self, job: &str) -> usize {
        let positions = self.jobs.get(job).map(|job| &job.positions);
        positions.map_or(0, |read| read.values().filter(|r| r.is_completed).count())
    }

    /// Records the result that was read at `position` of `job_id`.
    pub fn add_result(&mut self, job_id: &str, position: usize, result: SeenResult) {
        let is_scored = self.jobs.get(job_id).is_some_and(|job| job.is_scored);
        let score_error = self.find_score_error(&result, is_scored);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let mut broken: Vec<(&'static str, String)> = Vec::new();
        match job.positions.get(&position) {
            Some(before) if *before != result => {
                broken.push(("positions-never-change", format!("{job_id}[{position}]")));
            }
            Some(_) => return,
            None => {}
        }
        if let Some(before) = job.items.insert(result.item.clone(), position)
            && before != position
        {
            let seen = format!("{job_id}: {} at {before} and {position}", result.item);
            broken.push(("listed-once", seen));
        }
        match job.event_counts.get(&result.item) {
            None => broken.push(("own-items", format!("{job_id}: {}", result.item))),
            Some(count) if result.is_completed => {
                if let Some(fault) = find_text_error(&result, *count, job.min_version) {
                    broken.push(("true-text", format!("{job_id}: {}: {fault}", result.item)));
                }
            }
            // `score_error` says whether its reward call failed often enough.
            Some(_) if is_scored => {}
            // In a soak no engine fails an item, and no item exceeds its TTL.
            Some(_) => broken.push(("never-errored", format!("{job_id}: {}", result.item))),
        }
        if let Some(error) = score_error {
            broken.push(("true-score", format!("{job_id}: {}: {error}", result.item)));
        }
        job.positions.insert(position, result);
        for (promise, seen) in broken {
            self.add_violation(promise, seen);
        }
        self.count("results");
    }

    /// Returns all violations, including those that can only be determined at the
    /// end of the soak.
    pub fn close(mut self) -> Vec<Violation> {
        let ran: Vec<String> = self
            .refused_items
            .intersection(&self.run_items)
            .cloned()
            .collect();
        for item in ran {
            self.add_violation("refused-never-runs", item);
        }
        let ran: Vec<String> = self
            .refused_calls
            .iter()
            .filter(|attempt| self.run_count(attempt) > 0)
            .cloned()
            .collect();
        for attempt in ran {
            self.add_violation("refused-never-runs", attempt);
        }
        let repeated: Vec<String> = self
            .once_calls
            .iter()
            .filter(|attempt| self.run_count(attempt) > 1)
            .cloned()
            .collect();
        for attempt in repeated {
            self.add_violation("once-at-most", attempt);
        }
        self.violations
    }
}
