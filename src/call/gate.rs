//! The place where calls wait for an upstream.
//!
//! The [`Gate`] holds one [`admission::Pool`] a pool of upstreams behind a lock
//! that is held for the length of one decision, and wakes the calls that wait.

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
        admission::{self, Ask, End, Grant, Ticket, Verdict},
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

/// How often a call that waits lets time pass for its pool.
const TICK: Duration = Duration::from_millis(100);

/// Why a call was not let through; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When the caller may try again.
    pub retry_after: Duration,
}

/// What a call asks of the gate.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The pool of upstreams.
    pub pool: &'a Arc<str>,
    /// When the caller stops waiting.
    pub deadline: Deadline,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Upstreams that failed the call before.
    pub tried: &'a [UpstreamId],
}

/// The bounds of the gate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most calls that wait for one pool.
    pub max_queued_calls: usize,
    /// The part of calls that may be retries.
    pub retry_budget_ratio: f64,
}

/// Lets calls through to upstreams; soft state of this host.
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
    seen: Arc<Upstreams>,
    pools: BTreeMap<Arc<str>, admission::Pool>,
    waiting: BTreeMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: Ticket,
    rng: Rng,
}

impl Gate {
    /// Makes a gate to the upstreams of `snapshot`.
    ///
    /// Records of what was decided go to `decisions`, and are dropped while it
    /// is full.
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
                    seen: Arc::default(),
                    pools: BTreeMap::new(),
                    waiting: BTreeMap::new(),
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

    /// Says whether this host is stopping and takes no new calls any more.
    pub fn is_draining(&self) -> bool {
        self.shared.snapshot.load().refusing
    }

    /// Hands on a record of what was decided.
    pub fn record(&self, decision: Decision) {
        // A full channel drops the record, since calls must not wait for it.
        let _ = self.shared.decisions.try_send(decision);
    }

    /// Says whether a call would be refused now, without letting it through.
    ///
    /// # Errors
    ///
    /// Fails as [`Gate::enter`] would.
    pub fn check(&self, entry: Entry<'_>) -> Result<(), Refused> {
        let mut state = self.state();
        let pool = state.pool(entry.pool, &self.shared);
        match pool.refusal(entry.deadline, self.now()) {
            Some(Verdict::Shed {
                reason,
                retry_after,
            }) => Err(Refused {
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
    /// Fails as soon as it is plain that the call would not finish in time.
    pub async fn enter(&self, entry: Entry<'_>) -> Result<Pass, Refused> {
        let (verdict, ticket, woken) = self.ask(entry);
        match verdict {
            Verdict::Granted(grant) => self.pass(entry, grant),
            Verdict::Shed {
                reason,
                retry_after,
            } => Err(Refused {
                reason,
                retry_after,
            }),
            Verdict::Queued => {
                let place = Place {
                    gate: self,
                    pool: entry.pool,
                    ticket,
                    woken,
                };
                self.wait(entry, place).await
            }
        }
    }

    /// Lets a call through once more if the retry budget allows it.
    pub fn retry(&self, entry: Entry<'_>) -> Option<Pass> {
        let grant = {
            let mut state = self.state();
            let now = self.now();
            state.pool(entry.pool, &self.shared);
            let State { pools, rng, .. } = &mut *state;
            let ask = ask(entry, 0);
            pools.get_mut(entry.pool)?.admit_retry(ask, now, rng)?
        };
        self.pass(entry, grant).ok()
    }

    /// Returns how many upstreams of `pool` are ejected by this host.
    pub fn ejected_count(&self, pool: &str) -> usize {
        self.state()
            .pools
            .get(pool)
            .map_or(0, admission::Pool::ejected_count)
    }

    /// Returns how many calls wait for `pool`.
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

    fn ask(&self, entry: Entry<'_>) -> (Verdict, Ticket, oneshot::Receiver<Verdict>) {
        let mut state = self.state();
        let now = self.now();
        state.pool(entry.pool, &self.shared);
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let State { pools, rng, .. } = &mut *state;
        let verdict = pools.get_mut(entry.pool).map_or(Verdict::Queued, |pool| {
            pool.admit(ask(entry, ticket), now, rng)
        });
        let (wake, woken) = oneshot::channel();
        if verdict == Verdict::Queued {
            state.waiting.insert(ticket, wake);
        }
        (verdict, ticket, woken)
    }

    async fn wait(&self, entry: Entry<'_>, mut place: Place<'_>) -> Result<Pass, Refused> {
        loop {
            if let Ok(verdict) = timeout(TICK, &mut place.woken).await {
                return match verdict {
                    Ok(Verdict::Granted(grant)) => self.pass(entry, grant),
                    Ok(Verdict::Shed {
                        reason,
                        retry_after,
                    }) => Err(Refused {
                        reason,
                        retry_after,
                    }),
                    Ok(Verdict::Queued) | Err(_) => Err(Refused {
                        reason: Reason::Overloaded,
                        retry_after: Duration::from_secs(1),
                    }),
                };
            }
            self.poll(entry.pool);
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
        self.wake(&mut state, pool, verdicts);
    }

    fn finish(&self, pool: &Arc<str>, grant: &Grant, end: End) {
        let now = self.now();
        let mut state = self.state();
        let State { pools, rng, .. } = &mut *state;
        let Some(admission) = pools.get_mut(pool) else {
            return;
        };
        let (change, verdicts) = admission.finish(grant, end, now, rng);
        self.wake(&mut state, pool, verdicts);
        drop(state);
        if let Some(change) = change {
            let what: &'static str = change.into();
            self.record(Decision::new(Kind::Upstream, now, what).about(grant.upstream.clone()));
        }
    }

    /// Tells the calls their verdicts; a grant whose call left is given on.
    fn wake(&self, state: &mut State, pool: &Arc<str>, verdicts: Vec<(Ticket, Verdict)>) {
        let mut verdicts = verdicts;
        while let Some((ticket, verdict)) = verdicts.pop() {
            let unheard = match state.waiting.remove(&ticket) {
                Some(wake) => wake.send(verdict).err(),
                None => Some(verdict),
            };
            let Some(Verdict::Granted(grant)) = unheard else {
                continue;
            };
            let now = self.now();
            let State { pools, rng, .. } = &mut *state;
            if let Some(admission) = pools.get_mut(pool) {
                verdicts.extend(admission.finish(&grant, End::Neutral, now, rng).1);
            }
        }
    }

    fn pass(&self, entry: Entry<'_>, grant: Grant) -> Result<Pass, Refused> {
        let board = self.shared.snapshot.load();
        let address = board
            .upstreams
            .members
            .get(&grant.upstream)
            .map(|upstream| upstream.address);
        let Some(address) = address else {
            self.finish(entry.pool, &grant, End::Neutral);
            return Err(Refused {
                reason: Reason::NoUpstream,
                retry_after: Duration::from_secs(1),
            });
        };
        Ok(Pass {
            gate: self.clone(),
            pool: entry.pool.clone(),
            grant: Some(grant),
            address,
        })
    }
}

/// A place in the queue, given up when the call leaves.
struct Place<'a> {
    gate: &'a Gate,
    pool: &'a Arc<str>,
    ticket: Ticket,
    woken: oneshot::Receiver<Verdict>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.woken.close();
        // A grant that came while the call left must not be lost.
        if let Ok(Verdict::Granted(grant)) = self.woken.try_recv() {
            self.gate.finish(self.pool, &grant, End::Neutral);
        }
        let mut state = self.gate.state();
        state.waiting.remove(&self.ticket);
        if let Some(pool) = state.pools.get_mut(self.pool) {
            pool.cancel(self.ticket);
        }
    }
}

impl State {
    /// Returns the pool, with the members that the snapshot names now.
    fn pool(&mut self, name: &Arc<str>, shared: &Shared) -> &mut admission::Pool {
        let upstreams = &shared.snapshot.load().upstreams;
        if !Arc::ptr_eq(upstreams, &self.seen) {
            self.seen = upstreams.clone();
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

/// Returns the plain services of a pool that may be given new work.
fn members(upstreams: &Upstreams, pool: &str) -> impl Iterator<Item = UpstreamId> {
    upstreams
        .members
        .values()
        .filter(move |upstream| &*upstream.pool == pool)
        .filter(|upstream| upstream.kind == UpstreamKind::Service)
        .filter(|upstream| upstream.state == UpstreamState::Live)
        .map(|upstream| upstream.id.clone())
}

fn ask(entry: Entry<'_>, ticket: Ticket) -> Ask<'_> {
    Ask {
        ticket,
        deadline: entry.deadline,
        idempotent: entry.idempotent,
        tried: entry.tried,
    }
}

/// The right to send one call, given back when it is dropped.
#[derive(Debug)]
pub struct Pass {
    gate: Gate,
    pool: Arc<str>,
    grant: Option<Grant>,
    address: SocketAddr,
}

impl Pass {
    /// Returns the upstream that the call may be sent to.
    pub fn upstream(&self) -> Option<&UpstreamId> {
        self.grant.as_ref().map(|grant| &grant.upstream)
    }

    /// Returns where that upstream answers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the gate that gave it.
    pub const fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Gives the right back and says how the call ended.
    pub fn finish(mut self, end: End) {
        self.give_back(end);
    }

    fn give_back(&mut self, end: End) {
        if let Some(grant) = self.grant.take() {
            self.gate.finish(&self.pool, &grant, end);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.give_back(End::Neutral);
    }
}

/// Sleeps for `pause`, but not beyond `deadline`.
pub async fn pause(gate: &Gate, pause: Duration, deadline: Deadline) {
    sleep(pause.min(deadline.remaining(gate.now()))).await;
}
