//! Admission of calls to the upstreams of one pool.
//!
//! A [`Pool`] joins the adaptive limits, the health of the upstreams, the retry
//! budget and a bounded queue. A call that would not finish in time is refused
//! at once (see docs/design/overload.md).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::Rng as _;

use crate::{
    call::{
        attempt::Reason,
        concurrency::{Limiter, Sample},
        ejection::{self, Change, Standing},
    },
    clock::Timestamp,
    control::controller::Rng,
    ids::UpstreamId,
    retry::{Budget, Deadline},
};

/// The part of a new latency that the mean takes on.
const LATENCY_SMOOTHING_RATIO: f64 = 0.05;

/// How many mean deviations above the mean a call is expected to take at most.
const DEVIATION_COUNT: f64 = 3.0;

/// The part of the time to its deadline that a call may be expected to wait.
const MAX_WAIT_RATIO: f64 = 0.5;

/// How long a probe waits for an idempotent call before any call may be it.
const PROBE_GRACE: Duration = Duration::from_secs(1);

/// The shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names a call that waits.
pub type Ticket = u64;

/// A call that asks for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Names the call while it waits.
    pub ticket: Ticket,
    /// When its caller stops waiting.
    pub deadline: Deadline,
    /// Whether it may be repeated, so that it may probe a doubtful upstream.
    pub idempotent: bool,
    /// Upstreams that failed it before.
    pub tried: &'a [UpstreamId],
}

/// The right to send one call to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the call probes an ejected upstream.
    pub is_probe: bool,
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may be sent.
    Granted(Grant),
    /// The call waits in the queue; a later [`Verdict`] names its ticket.
    Queued,
    /// The call is refused and was not sent.
    Shed {
        /// Why.
        reason: Reason,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// How a granted call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The upstream answered after this time.
    Answered(Duration),
    /// The upstream refused the call or did not answer it in time.
    PushedBack,
    /// The call failed by the fault of the upstream.
    Failed,
    /// The end says nothing about the upstream.
    Neutral,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Deadline,
    idempotent: bool,
}

/// The admission state of one pool, which is soft state of this host.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::{
///     call::admission::{Ask, Pool, Verdict},
///     control::controller::Rng,
///     retry::Deadline,
/// };
/// use rand::SeedableRng;
///
/// let mut pool = Pool::new(16, 0.1);
/// pool.set_members(["roll-1".into()]);
/// let ask = Ask {
///     ticket: 1,
///     deadline: Deadline::after(Duration::ZERO, Duration::from_secs(1)),
///     idempotent: true,
///     tried: &[],
/// };
/// let verdict = pool.admit(ask, Duration::ZERO, &mut Rng::seed_from_u64(7));
/// assert!(matches!(verdict, Verdict::Granted(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Pool {
    limiters: BTreeMap<UpstreamId, Limiter>,
    health: ejection::Pool,
    queue: VecDeque<Waiting>,
    max_queued_calls: usize,
    budget: Budget,
    mean_latency: Duration,
    latency_deviation: Duration,
}

impl Pool {
    /// Makes a pool without members.
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

    /// Sets which upstreams may be given new work.
    pub fn set_members(&mut self, ids: impl IntoIterator<Item = UpstreamId>) {
        let mut limiters = BTreeMap::new();
        for id in ids {
            let limiter = self.limiters.remove(&id).unwrap_or_default();
            limiters.insert(id, limiter);
        }
        self.health.set_members(limiters.keys().cloned());
        self.limiters = limiters;
    }

    /// Returns the upstreams that may be given new work.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamId> {
        self.limiters.keys()
    }

    /// Returns how many calls wait.
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many upstreams are ejected.
    pub fn ejected_count(&self) -> usize {
        self.health.ejected_count()
    }

    /// Returns the sum of the upstreams' limits.
    pub fn limit_calls(&self) -> f64 {
        self.limiters.values().map(Limiter::limit_calls).sum()
    }

    /// Decides on a call that is asked for the first time.
    pub fn admit(&mut self, ask: Ask<'_>, now: Timestamp, rng: &mut Rng) -> Verdict {
        if let Some(refusal) = self.refusal(ask.deadline, now) {
            return refusal;
        }
        self.budget.earn();
        // Calls that wait go first.
        if self.queue.is_empty()
            && let Some(grant) = self.start(ask, now, rng)
        {
            return Verdict::Granted(grant);
        }
        self.queue.push_back(Waiting {
            ticket: ask.ticket,
            deadline: ask.deadline,
            idempotent: ask.idempotent,
        });
        Verdict::Queued
    }

    /// Decides on a call that is to be tried again; it never waits.
    ///
    /// A retry that finds no budget or no free upstream is dropped, since load
    /// must not grow while upstreams fail.
    pub fn admit_retry(&mut self, ask: Ask<'_>, now: Timestamp, rng: &mut Rng) -> Option<Grant> {
        if ask.deadline.is_past(now) || self.pick(ask, now, rng).is_none() {
            return None;
        }
        if !self.budget.try_spend() {
            return None;
        }
        self.start(ask, now, rng)
    }

    /// Says why a call with `deadline` would be refused at `now`, if it would.
    pub fn refusal(&self, deadline: Deadline, now: Timestamp) -> Option<Verdict> {
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

    /// Ends a granted call; the calls that it lets through come with verdicts.
    pub fn finish(
        &mut self,
        grant: &Grant,
        end: End,
        now: Timestamp,
        rng: &mut Rng,
    ) -> (Option<Change>, Vec<(Ticket, Verdict)>) {
        let sample = match end {
            End::Answered(latency) => {
                self.note_latency(latency);
                Sample::Answered(latency)
            }
            End::PushedBack => Sample::PushedBack,
            End::Failed | End::Neutral => Sample::Ignored,
        };
        if let Some(limiter) = self.limiters.get_mut(&grant.upstream) {
            limiter.finish(sample);
        }
        let change = match end {
            End::Answered(_) => self.health.succeeded(&grant.upstream, now),
            End::Failed => self.health.failed(&grant.upstream, now, rng),
            End::PushedBack | End::Neutral => {
                if grant.is_probe {
                    self.health.probe_abandoned(&grant.upstream, now);
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

    /// Lets time pass: starts what may start, and refuses what is too late.
    pub fn poll(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        while let Some(next) = self.queue.front().copied() {
            if next.deadline.is_past(now) || self.is_infeasible(next.deadline, now) {
                self.queue.pop_front();
                verdicts.push((next.ticket, self.shed(Reason::Overloaded)));
                continue;
            }
            let ask = Ask {
                ticket: next.ticket,
                deadline: next.deadline,
                idempotent: next.idempotent,
                tried: &[],
            };
            let Some(grant) = self.start(ask, now, rng) else {
                break;
            };
            self.queue.pop_front();
            verdicts.push((next.ticket, Verdict::Granted(grant)));
        }
        verdicts
    }

    /// Takes a call whose caller left out of the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.retain(|waiting| waiting.ticket != ticket);
    }

    fn start(&mut self, ask: Ask<'_>, now: Timestamp, rng: &mut Rng) -> Option<Grant> {
        let grant = self.pick(ask, now, rng)?;
        let limiter = self.limiters.get_mut(&grant.upstream)?;
        if !limiter.try_start() {
            return None;
        }
        if grant.is_probe {
            self.health.probe_started(&grant.upstream);
        }
        Some(grant)
    }

    /// Picks a probe that is due, or the less loaded of two open upstreams.
    fn pick(&self, ask: Ask<'_>, now: Timestamp, rng: &mut Rng) -> Option<Grant> {
        let mut open = Vec::new();
        for (id, limiter) in &self.limiters {
            if limiter.free_calls() < 1.0 || ask.tried.contains(id) {
                continue;
            }
            match self.health.standing(id, now) {
                Standing::Probe(overdue) if ask.idempotent || overdue >= PROBE_GRACE => {
                    return Some(Grant {
                        upstream: id.clone(),
                        is_probe: true,
                    });
                }
                Standing::Open(ratio) => open.extend(load(limiter, ratio).map(|load| (id, load))),
                Standing::Probe(_) | Standing::Resting => {}
            }
        }
        let upstream = less_loaded(&open, rng)?.clone();
        Some(Grant {
            upstream,
            is_probe: false,
        })
    }

    fn note_latency(&mut self, latency: Duration) {
        if self.mean_latency.is_zero() {
            self.mean_latency = latency;
            self.latency_deviation = latency / 2;
            return;
        }
        let deviation = latency.abs_diff(self.mean_latency);
        self.latency_deviation = smooth(self.latency_deviation, deviation);
        self.mean_latency = smooth(self.mean_latency, latency);
    }

    /// Returns the time within which nearly every call is answered.
    fn likely_latency(&self) -> Duration {
        self.mean_latency + self.latency_deviation.mul_f64(DEVIATION_COUNT)
    }

    /// Says whether a call would miss `deadline` even if it started at once.
    ///
    /// While nothing runs, a call goes through in any case, since otherwise
    /// latencies learned in a bad spell would be believed for good.
    fn is_infeasible(&self, deadline: Deadline, now: Timestamp) -> bool {
        let is_idle = self
            .limiters
            .values()
            .all(|limiter| limiter.running_calls() == 0);
        !is_idle && deadline.remaining(now) < self.likely_latency()
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

/// Returns how full an upstream is, unless its part of full work is used up.
fn load(limiter: &Limiter, ratio: f64) -> Option<f64> {
    let allowed = (limiter.limit_calls() * ratio).max(1.0);
    let load = (f64::from(limiter.running_calls()) + 1.0) / allowed;
    (load <= 1.0).then_some(load)
}

/// Returns the less loaded of two that are drawn, so that hosts do not all
/// choose the same upstream.
fn less_loaded<'a>(open: &[(&'a UpstreamId, f64)], rng: &mut Rng) -> Option<&'a UpstreamId> {
    if open.is_empty() {
        return None;
    }
    let first = open[rng.random_range(0..open.len())];
    let second = open[rng.random_range(0..open.len())];
    let chosen = if second.1 < first.1 { second } else { first };
    Some(chosen.0)
}
