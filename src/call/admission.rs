//! Admission control for the upstreams of one pool.
//!
//! A [`Pool`] combines the adaptive concurrency limits, the health of the
//! upstreams, the retry budget and a bounded queue. A call that is not expected
//! to finish in time is rejected immediately (see docs/design/overload.md).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::Rng as _;

use crate::{
    call::{
        attempt::Reason,
        concurrency::{Limiter, Sample},
        ejection::{self, Availability, Change},
    },
    clock::Timestamp,
    control::controller::Rng,
    ids::UpstreamId,
    retry::{Budget, Deadline},
};

/// The smoothing factor of the latency averages.
const LATENCY_SMOOTHING_RATIO: f64 = 0.05;

/// The number of mean deviations above the mean latency within which nearly
/// every call is expected to finish.
const DEVIATION_COUNT: f64 = 3.0;

/// The maximum expected wait as a fraction of the time to the call's deadline.
const MAX_WAIT_RATIO: f64 = 0.5;

/// How long a due probe is reserved for an idempotent call before any call may
/// serve as the probe.
const PROBE_GRACE: Duration = Duration::from_secs(1);

/// The minimum retry delay reported to a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies a queued call.
pub type Ticket = u64;

/// A call's request for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Identifies the call while it is queued.
    pub ticket: Ticket,
    /// The caller's deadline.
    pub deadline: Deadline,
    /// Whether the call may be repeated, and thus may probe an ejected upstream.
    pub idempotent: bool,
    /// The upstreams already tried for this call.
    pub tried: &'a [UpstreamId],
}

/// Permission to send one call to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the call probes an ejected upstream.
    pub is_probe: bool,
}

/// The decision on an [`AdmissionRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may be sent.
    Granted(Grant),
    /// The call is queued; a later [`Verdict`] refers to its ticket.
    Queued,
    /// The call is rejected and was not sent.
    Shed {
        /// The reason for the rejection.
        reason: Reason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// The end of a granted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered after this latency.
    Answered(Duration),
    /// The upstream refused the call or did not answer it in time.
    PushedBack,
    /// The call failed because of the upstream.
    Failed,
    /// The end does not reflect on the upstream.
    Neutral,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    ticket: Ticket,
    deadline: Deadline,
    idempotent: bool,
}

/// The admission state of one pool; soft state of this host.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::{
///     call::admission::{AdmissionRequest, Pool, Verdict},
///     control::controller::Rng,
///     retry::Deadline,
/// };
/// use rand::SeedableRng;
///
/// let mut pool = Pool::new(16, 0.1);
/// pool.set_members(["roll-1".into()]);
/// let request = AdmissionRequest {
///     ticket: 1,
///     deadline: Deadline::after(Duration::ZERO, Duration::from_secs(1)),
///     idempotent: true,
///     tried: &[],
/// };
/// let verdict = pool.admit(request, Duration::ZERO, &mut Rng::seed_from_u64(7));
/// assert!(matches!(verdict, Verdict::Granted(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Pool {
    limiters: BTreeMap<UpstreamId, Limiter>,
    health: ejection::Pool,
    queue: VecDeque<QueuedCall>,
    max_queued_calls: usize,
    budget: Budget,
    mean_latency: Duration,
    latency_deviation: Duration,
}

impl Pool {
    /// Creates a pool without members.
    pub fn new(max_queued_calls: usize, retry_budget_ratio: f64) -> Self {
        Self {
            limiters: BTreeMap::new(),
            health: ejection::Pool::default(),
            queue: VecDeque::new(),
            max_queued_calls,
            budget: Budget::new(retry_budget_ratio),
            mean_latency: Duration::ZERO,
            latency_deviation: Duration::ZERO,
        }
    }

    /// Replaces the upstreams that may receive new calls; those that remain keep
    /// their state.
    pub fn set_members(&mut self, ids: impl IntoIterator<Item = UpstreamId>) {
        let mut limiters = BTreeMap::new();
        for id in ids {
            let limiter = self.limiters.remove(&id).unwrap_or_default();
            limiters.insert(id, limiter);
        }
        self.health.set_members(limiters.keys().cloned());
        self.limiters = limiters;
    }

    /// Returns the upstreams that may receive new calls.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamId> {
        self.limiters.keys()
    }

    /// Returns the number of queued calls.
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected_count(&self) -> usize {
        self.health.ejected_count()
    }

    /// Returns the sum of the upstreams' concurrency limits.
    pub fn limit_calls(&self) -> f64 {
        self.limiters.values().map(Limiter::limit_calls).sum()
    }

    /// Decides on the first attempt at a call.
    pub fn admit(
        &mut self,
        request: AdmissionRequest<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Verdict {
        if let Some(rejection) = self.rejection(request.deadline, now) {
            return rejection;
        }
        self.budget.deposit();
        // Queued calls take precedence.
        if self.queue.is_empty()
            && let Some(grant) = self.start(request, now, rng)
        {
            return Verdict::Granted(grant);
        }
        self.queue.push_back(QueuedCall {
            ticket: request.ticket,
            deadline: request.deadline,
            idempotent: request.idempotent,
        });
        Verdict::Queued
    }

    /// Decides on a retry, which is never queued.
    ///
    /// A retry without budget or without a free upstream is dropped, because load
    /// must not grow while upstreams fail.
    pub fn admit_retry(
        &mut self,
        request: AdmissionRequest<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<Grant> {
        if request.deadline.is_past(now) || self.pick(request, now, rng).is_none() {
            return None;
        }
        if !self.budget.try_withdraw() {
            return None;
        }
        self.start(request, now, rng)
    }

    /// Returns the rejection of a call with `deadline` at `now`, or `None` if it
    /// would not be rejected.
    pub fn rejection(&self, deadline: Deadline, now: Timestamp) -> Option<Verdict> {
        let wait = self.expected_wait();
        let reason = if deadline.is_past(now) {
            Reason::DeadlinePassed
        } else if self.limiters.is_empty() {
            Reason::NoUpstream
        } else if self.queue.len() >= self.max_queued_calls
            || self.is_infeasible(deadline, now)
            || deadline.remaining(now).mul_f64(MAX_WAIT_RATIO) < wait
        {
            Reason::Overloaded
        } else {
            return None;
        };
        Some(self.shed(reason))
    }

    /// Finishes a granted call.
    ///
    /// Returns the health change of the upstream, if any, and the verdicts on
    /// queued calls.
    pub fn finish(
        &mut self,
        grant: &Grant,
        end: CallEnd,
        now: Timestamp,
        rng: &mut Rng,
    ) -> (Option<Change>, Vec<(Ticket, Verdict)>) {
        let sample = match end {
            CallEnd::Answered(latency) => {
                self.record_latency(latency);
                Sample::Answered(latency)
            }
            CallEnd::PushedBack => Sample::PushedBack,
            CallEnd::Failed | CallEnd::Neutral => Sample::Ignored,
        };
        if let Some(limiter) = self.limiters.get_mut(&grant.upstream) {
            limiter.finish(sample);
        }
        let change = match end {
            CallEnd::Answered(_) => self.health.record_success(&grant.upstream, now),
            CallEnd::Failed => self.health.record_failure(&grant.upstream, now, rng),
            CallEnd::PushedBack | CallEnd::Neutral => {
                if grant.is_probe {
                    self.health.abandon_probe(&grant.upstream, now);
                }
                None
            }
        };
        if change == Some(Change::Restored)
            && let Some(limiter) = self.limiters.get_mut(&grant.upstream)
        {
            limiter.reset();
        }
        (change, self.poll(now, rng))
    }

    /// Starts the queued calls that can start now and rejects those that can no
    /// longer meet their deadline.
    pub fn poll(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        while let Some(next) = self.queue.front().copied() {
            if next.deadline.is_past(now) || self.is_infeasible(next.deadline, now) {
                self.queue.pop_front();
                verdicts.push((next.ticket, self.shed(Reason::Overloaded)));
                continue;
            }
            let request = AdmissionRequest {
                ticket: next.ticket,
                deadline: next.deadline,
                idempotent: next.idempotent,
                tried: &[],
            };
            let Some(grant) = self.start(request, now, rng) else {
                break;
            };
            self.queue.pop_front();
            verdicts.push((next.ticket, Verdict::Granted(grant)));
        }
        verdicts
    }

    /// Removes a call whose caller has left from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.retain(|call| call.ticket != ticket);
    }

    fn start(
        &mut self,
        request: AdmissionRequest<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<Grant> {
        let grant = self.pick(request, now, rng)?;
        let limiter = self.limiters.get_mut(&grant.upstream)?;
        if !limiter.try_start() {
            return None;
        }
        if grant.is_probe {
            self.health.start_probe(&grant.upstream);
        }
        Some(grant)
    }

    /// Picks an upstream with a due probe, or else the less loaded of two random
    /// available upstreams.
    fn pick(&self, request: AdmissionRequest<'_>, now: Timestamp, rng: &mut Rng) -> Option<Grant> {
        let mut open = Vec::new();
        for (id, limiter) in &self.limiters {
            if limiter.free_calls() < 1.0 || request.tried.contains(id) {
                continue;
            }
            match self.health.availability(id, now) {
                Availability::Probe(overdue) if request.idempotent || overdue >= PROBE_GRACE => {
                    return Some(Grant {
                        upstream: id.clone(),
                        is_probe: true,
                    });
                }
                Availability::Open(ratio) => {
                    open.extend(load(limiter, ratio).map(|load| (id, load)));
                }
                Availability::Probe(_) | Availability::Ejected => {}
            }
        }
        let upstream = pick_less_loaded(&open, rng)?.clone();
        Some(Grant {
            upstream,
            is_probe: false,
        })
    }

    fn record_latency(&mut self, latency: Duration) {
        if self.mean_latency.is_zero() {
            self.mean_latency = latency;
            self.latency_deviation = latency / 2;
            return;
        }
        let deviation = latency.abs_diff(self.mean_latency);
        self.latency_deviation = smooth(self.latency_deviation, deviation);
        self.mean_latency = smooth(self.mean_latency, latency);
    }

    /// Returns the latency within which nearly every call is expected to finish.
    fn latency_bound(&self) -> Duration {
        self.mean_latency + self.latency_deviation.mul_f64(DEVIATION_COUNT)
    }

    /// Returns whether a call would probably miss `deadline` even if it started
    /// immediately.
    ///
    /// While no call is in flight, every call is feasible. Otherwise the latency
    /// averages from an outage would reject all calls and never be updated.
    fn is_infeasible(&self, deadline: Deadline, now: Timestamp) -> bool {
        let is_idle = self
            .limiters
            .values()
            .all(|limiter| limiter.running_calls() == 0);
        !is_idle && deadline.remaining(now) < self.latency_bound()
    }

    fn expected_wait(&self) -> Duration {
        let limit_calls = self.limit_calls().max(1.0);
        self.mean_latency
            .mul_f64(self.queue.len() as f64 / limit_calls)
    }

    fn shed(&self, reason: Reason) -> Verdict {
        Verdict::Shed {
            reason,
            retry_after: self.expected_wait().max(MIN_RETRY_AFTER),
        }
    }
}

fn smooth(old: Duration, new: Duration) -> Duration {
    old.mul_f64(1.0 - LATENCY_SMOOTHING_RATIO) + new.mul_f64(LATENCY_SMOOTHING_RATIO)
}

/// Returns the load of an upstream including one more call, or `None` if that
/// would exceed `ratio` of its limit.
fn load(limiter: &Limiter, ratio: f64) -> Option<f64> {
    let allowed = (limiter.limit_calls() * ratio).max(1.0);
    let load = (f64::from(limiter.running_calls()) + 1.0) / allowed;
    (load <= 1.0).then_some(load)
}

/// Returns the less loaded of two randomly drawn upstreams, so that hosts do not
/// all choose the same one.
fn pick_less_loaded<'a>(open: &[(&'a UpstreamId, f64)], rng: &mut Rng) -> Option<&'a UpstreamId> {
    if open.is_empty() {
        return None;
    }
    let first = open[rng.random_range(0..open.len())];
    let second = open[rng.random_range(0..open.len())];
    let chosen = if second.1 < first.1 { second } else { first };
    Some(chosen.0)
}
