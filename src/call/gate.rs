//! The gate where calls wait for an upstream.
//!
//! The [`Gate`] keeps one [`admission::Pool`] for each pool of upstreams behind
//! a lock, which is held for one decision at a time, and wakes queued calls.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    call::{
        admission::{self, AdmissionRequest, CallEnd, Grant, Ticket, Verdict},
        attempt::Reason,
    },
    clock::{Clock, Timestamp},
    control::{
        blackboard::{Snapshot, UpstreamKind, UpstreamState, Upstreams},
        controller::Rng,
        decision::{Decision, Kind},
    },
    ids::UpstreamId,
    retry::Deadline,
};

/// The interval at which a queued call polls its pool.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The rejection of a call, of which nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason for the rejection.
    pub reason: Reason,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

/// The properties of a call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec<'a> {
    /// The pool of upstreams.
    pub pool: &'a Arc<str>,
    /// The caller's deadline.
    pub deadline: Deadline,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// The upstreams already tried for this call.
    pub tried: &'a [UpstreamId],
}

/// The limits of the gate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of calls queued for one pool.
    pub max_queued_calls: usize,
    /// The maximum ratio of retries to first attempts.
    pub retry_budget_ratio: f64,
}

/// Admits calls to upstreams; soft state of this host.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    snapshot: Arc<Snapshot>,
    clock: Clock,
    limits: Limits,
    decisions: mpsc::Sender<Decision>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    known_upstreams: Arc<Upstreams>,
    pools: BTreeMap<Arc<str>, admission::Pool>,
    waiters: BTreeMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: Ticket,
    rng: Rng,
}

impl Gate {
    /// Creates a gate to the upstreams of `snapshot`.
    ///
    /// Decision records are sent to `decisions` and dropped while it is full.
    pub fn new(
        snapshot: Arc<Snapshot>,
        clock: Clock,
        limits: Limits,
        decisions: mpsc::Sender<Decision>,
        rng: Rng,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                snapshot,
                clock,
                limits,
                decisions,
                state: Mutex::new(State {
                    known_upstreams: Arc::default(),
                    pools: BTreeMap::new(),
                    waiters: BTreeMap::new(),
                    next_ticket: 0,
                    rng,
                }),
            }),
        }
    }

    /// Returns the time on the gate's clock.
    pub fn now(&self) -> Timestamp {
        self.shared.clock.now()
    }

    /// Returns whether this host is draining and accepts no new calls.
    pub fn is_draining(&self) -> bool {
        self.shared.snapshot.load().refusing
    }

    /// Sends a decision record.
    pub fn record(&self, decision: Decision) {
        // The record is dropped if the channel is full, as calls must not block.
        let _ = self.shared.decisions.try_send(decision);
    }

    /// Checks whether a call would be rejected now, without admitting it.
    ///
    /// # Errors
    ///
    /// Fails as [`Gate::enter`] would.
    pub fn check(&self, spec: CallSpec<'_>) -> Result<(), Rejection> {
        let mut state = self.state();
        let pool = state.pool(spec.pool, &self.shared);
        match pool.rejection(spec.deadline, self.now()) {
            Some(Verdict::Shed {
                reason,
                retry_after,
            }) => Err(Rejection {
                reason,
                retry_after,
            }),
            _ => Ok(()),
        }
    }

    /// Waits until the call may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// Fails as soon as the call is not expected to finish in time.
    pub async fn enter(&self, spec: CallSpec<'_>) -> Result<Permit, Rejection> {
        let (verdict, ticket, receiver) = self.request_admission(spec);
        match verdict {
            Verdict::Granted(grant) => self.issue_permit(spec, grant),
            Verdict::Shed {
                reason,
                retry_after,
            } => Err(Rejection {
                reason,
                retry_after,
            }),
            Verdict::Queued => {
                let queued = QueueGuard {
                    gate: self,
                    pool: spec.pool,
                    ticket,
                    receiver,
                };
                self.wait(spec, queued).await
            }
        }
    }

    /// Admits a retry of a call if the retry budget allows it.
    pub fn retry(&self, spec: CallSpec<'_>) -> Option<Permit> {
        let grant = {
            let mut state = self.state();
            let now = self.now();
            state.pool(spec.pool, &self.shared);
            let State { pools, rng, .. } = &mut *state;
            let request = admission_request(spec, 0);
            pools.get_mut(spec.pool)?.admit_retry(request, now, rng)?
        };
        self.issue_permit(spec, grant).ok()
    }

    /// Returns the number of upstreams of `pool` that this host has ejected.
    pub fn ejected_count(&self, pool: &str) -> usize {
        self.state()
            .pools
            .get(pool)
            .map_or(0, admission::Pool::ejected_count)
    }

    /// Returns the number of calls queued for `pool`.
    pub fn queued_calls(&self, pool: &str) -> usize {
        self.state()
            .pools
            .get(pool)
            .map_or(0, admission::Pool::queued_calls)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn request_admission(
        &self,
        spec: CallSpec<'_>,
    ) -> (Verdict, Ticket, oneshot::Receiver<Verdict>) {
        let mut state = self.state();
        let now = self.now();
        state.pool(spec.pool, &self.shared);
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let State { pools, rng, .. } = &mut *state;
        let verdict = pools.get_mut(spec.pool).map_or(Verdict::Queued, |pool| {
            pool.admit(admission_request(spec, ticket), now, rng)
        });
        let (sender, receiver) = oneshot::channel();
        if verdict == Verdict::Queued {
            state.waiters.insert(ticket, sender);
        }
        (verdict, ticket, receiver)
    }

    async fn wait(
        &self,
        spec: CallSpec<'_>,
        mut queued: QueueGuard<'_>,
    ) -> Result<Permit, Rejection> {
        loop {
            if let Ok(verdict) = timeout(POLL_INTERVAL, &mut queued.receiver).await {
                return match verdict {
                    Ok(Verdict::Granted(grant)) => self.issue_permit(spec, grant),
                    Ok(Verdict::Shed {
                        reason,
                        retry_after,
                    }) => Err(Rejection {
                        reason,
                        retry_after,
                    }),
                    Ok(Verdict::Queued) | Err(_) => Err(Rejection {
                        reason: Reason::Overloaded,
                        retry_after: Duration::from_secs(1),
                    }),
                };
            }
            self.poll(spec.pool);
        }
    }

    fn poll(&self, pool: &Arc<str>) {
        let mut state = self.state();
        state.pool(pool, &self.shared);
        let now = self.now();
        let State { pools, rng, .. } = &mut *state;
        let verdicts = pools
            .get_mut(pool)
            .map_or_else(Vec::new, |pool| pool.poll(now, rng));
        self.deliver(&mut state, pool, verdicts);
    }

    fn finish(&self, pool: &Arc<str>, grant: &Grant, end: CallEnd) {
        let now = self.now();
        let mut state = self.state();
        let State { pools, rng, .. } = &mut *state;
        let Some(admission) = pools.get_mut(pool) else {
            return;
        };
        let (change, verdicts) = admission.finish(grant, end, now, rng);
        self.deliver(&mut state, pool, verdicts);
        drop(state);
        if let Some(change) = change {
            let what: &'static str = change.into();
            self.record(Decision::new(Kind::Upstream, now, what).about(grant.upstream.clone()));
        }
    }

    /// Delivers the verdicts to their calls. A grant whose call has left is
    /// released, which may admit further calls.
    fn deliver(&self, state: &mut State, pool: &Arc<str>, verdicts: Vec<(Ticket, Verdict)>) {
        let mut verdicts = verdicts;
        while let Some((ticket, verdict)) = verdicts.pop() {
            let undelivered = match state.waiters.remove(&ticket) {
                Some(sender) => sender.send(verdict).err(),
                None => Some(verdict),
            };
            let Some(Verdict::Granted(grant)) = undelivered else {
                continue;
            };
            let now = self.now();
            let State { pools, rng, .. } = &mut *state;
            if let Some(admission) = pools.get_mut(pool) {
                verdicts.extend(admission.finish(&grant, CallEnd::Neutral, now, rng).1);
            }
        }
    }

    fn issue_permit(&self, spec: CallSpec<'_>, grant: Grant) -> Result<Permit, Rejection> {
        let blackboard = self.shared.snapshot.load();
        let address = blackboard
            .upstreams
            .members
            .get(&grant.upstream)
            .map(|upstream| upstream.address);
        let Some(address) = address else {
            self.finish(spec.pool, &grant, CallEnd::Neutral);
            return Err(Rejection {
                reason: Reason::NoUpstream,
                retry_after: Duration::from_secs(1),
            });
        };
        Ok(Permit {
            gate: self.clone(),
            pool: spec.pool.clone(),
            grant: Some(grant),
            address,
        })
    }
}

/// A queued call, which leaves the queue when this is dropped.
struct QueueGuard<'a> {
    gate: &'a Gate,
    pool: &'a Arc<str>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Verdict>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        // Release a grant that arrived while the call was leaving; it would
        // otherwise occupy the upstream forever.
        if let Ok(Verdict::Granted(grant)) = self.receiver.try_recv() {
            self.gate.finish(self.pool, &grant, CallEnd::Neutral);
        }
        let mut state = self.gate.state();
        state.waiters.remove(&self.ticket);
        if let Some(pool) = state.pools.get_mut(self.pool) {
            pool.cancel(self.ticket);
        }
    }
}

impl State {
    /// Returns the pool after updating its members from the current snapshot.
    fn pool(&mut self, name: &Arc<str>, shared: &Shared) -> &mut admission::Pool {
        let upstreams = &shared.snapshot.load().upstreams;
        if !Arc::ptr_eq(upstreams, &self.known_upstreams) {
            self.known_upstreams = upstreams.clone();
            for (name, pool) in &mut self.pools {
                pool.set_members(members(upstreams, name));
            }
        }
        self.pools.entry(name.clone()).or_insert_with(|| {
            let limits = shared.limits;
            let mut pool = admission::Pool::new(limits.max_queued_calls, limits.retry_budget_ratio);
            pool.set_members(members(upstreams, name));
            pool
        })
    }
}

/// Returns the plain services of a pool that may receive new calls.
fn members(upstreams: &Upstreams, pool: &str) -> impl Iterator<Item = UpstreamId> {
    upstreams
        .members
        .values()
        .filter(move |upstream| &*upstream.pool == pool)
        .filter(|upstream| upstream.kind == UpstreamKind::Service)
        .filter(|upstream| upstream.state == UpstreamState::Live)
        .map(|upstream| upstream.id.clone())
}

fn admission_request(spec: CallSpec<'_>, ticket: Ticket) -> AdmissionRequest<'_> {
    AdmissionRequest {
        ticket,
        deadline: spec.deadline,
        idempotent: spec.idempotent,
        tried: spec.tried,
    }
}

/// Permission to send one call, released on drop.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    pool: Arc<str>,
    grant: Option<Grant>,
    address: SocketAddr,
}

impl Permit {
    /// Returns the upstream that the call may be sent to.
    pub fn upstream(&self) -> Option<&UpstreamId> {
        self.grant.as_ref().map(|grant| &grant.upstream)
    }

    /// Returns the address of that upstream.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the gate that issued the permit.
    pub const fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Releases the permit and reports the end of the call.
    pub fn finish(mut self, end: CallEnd) {
        self.release(end);
    }

    fn release(&mut self, end: CallEnd) {
        if let Some(grant) = self.grant.take() {
            self.gate.finish(&self.pool, &grant, end);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(CallEnd::Neutral);
    }
}

/// Sleeps for `delay`, but not beyond `deadline`.
pub async fn sleep_before_retry(gate: &Gate, delay: Duration, deadline: Deadline) {
    sleep(delay.min(deadline.remaining(gate.now()))).await;
}
