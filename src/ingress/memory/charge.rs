//! Shares a ledger between the tasks of a host, and gives back what is dropped.

use std::{
    collections::HashMap,
    future::poll_fn,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;

use super::{
    Budget, Side,
    ledger::{Activity, ClaimId, Decision, Denial, Eviction, Ledger},
};
use crate::clock::{Clock, millis};

/// What was refused and given up since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were refused since there was no room.
    pub no_room_count: u64,
    /// Requests that were refused since this host cannot hold one of their size.
    pub too_large_count: u64,
    /// Connections that were refused.
    pub connections_refused_count: u64,
    /// Idle connections that were given up.
    pub idle_evicted_count: u64,
    /// Incomplete heads and bodies that were given up.
    pub receiving_evicted_count: u64,
    /// Unread answers that were given up.
    pub sending_evicted_count: u64,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    counts: Counts,
    /// Wakes the tasks of holders that may be given up.
    holders: HashMap<ClaimId, Waker>,
    /// Wakes the tasks that wait for room.
    waiting: Vec<Waker>,
}

impl State {
    /// Records and logs what is given up, and wakes those who hold it.
    fn evicted(&mut self, evictions: &[Eviction], reason: &str) {
        for eviction in evictions {
            let count = match eviction.activity {
                Activity::Idle | Activity::Working => &mut self.counts.idle_evicted_count,
                Activity::Receiving => &mut self.counts.receiving_evicted_count,
                Activity::Sending => &mut self.counts.sending_evicted_count,
            };
            *count += 1;
            let (side, activity): (&str, &str) = (eviction.side.into(), eviction.activity.into());
            tracing::info!(
                event = "client.evicted",
                reason,
                side,
                activity,
                held_bytes = eviction.bytes,
                stalled_ms = millis(eviction.stalled_for),
            );
            if let Some(waker) = self.holders.remove(&eviction.id) {
                waker.wake();
            }
        }
    }

    fn wake_waiting(&mut self) {
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }

    fn wait(&mut self, context: &Context<'_>) {
        if !self
            .waiting
            .iter()
            .any(|waker| waker.will_wake(context.waker()))
        {
            self.waiting.push(context.waker().clone());
        }
    }
}

/// The memory and the connections that one host holds for others. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

impl Memory {
    /// Creates the memory of a host with `budget`, of which nothing is used.
    pub fn new(budget: Budget, clock: Clock) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                ledger: Ledger::new(budget),
                counts: Counts::default(),
                holders: HashMap::new(),
                waiting: Vec::new(),
            })),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.state().ledger.held_bytes()
    }

    /// Returns the number of open connections of `side`.
    pub fn connection_count(&self, side: Side) -> usize {
        self.state().ledger.connection_count(side)
    }

    /// Returns what was refused and given up so far.
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Counts a connection of `side`, once those that are given up for it have closed.
    ///
    /// # Errors
    ///
    /// Fails where there is no room for it.
    pub async fn open(&self, side: Side) -> Result<Connection, Denial> {
        poll_fn(|context| self.poll_open(side, context)).await
    }

    fn poll_open(&self, side: Side, context: &Context<'_>) -> Poll<Result<Connection, Denial>> {
        let mut state = self.state();
        let now = self.clock.now();
        match state.ledger.check_connection(side, now) {
            Decision::Granted => {
                let id = state.ledger.register(side, now);
                let bytes = side.connection_bytes();
                state.ledger.add(id, bytes);
                let holder = Holder {
                    memory: self.clone(),
                    id,
                };
                Poll::Ready(Ok(Connection {
                    _charge: holder.charge_for(bytes),
                    holder,
                }))
            }
            Decision::Wait(evictions) => {
                state.evicted(&evictions, "connection");
                if !evictions.is_empty() {
                    // It may be opened while those close.
                    drop(state);
                    return self.poll_open(side, context);
                }
                state.wait(context);
                Poll::Pending
            }
            Decision::Denied(denial) => {
                state.counts.connections_refused_count += 1;
                Poll::Ready(Err(denial))
            }
        }
    }

    /// Counts `bytes` for something without a connection of its own, like [`Holder::charge`].
    ///
    /// # Errors
    ///
    /// Fails where there is no room.
    pub async fn charge_apart(&self, side: Side, bytes: usize) -> Result<Charge, Denial> {
        poll_fn(|context| {
            // A refused holder is removed at once, so that each poll adds one.
            let id = self.state().ledger.register_apart(side, self.clock.now());
            let holder = Holder {
                memory: self.clone(),
                id,
            };
            holder.poll_charge(bytes, context)
        })
        .await
    }

    /// Counts a request that was refused for `denial`.
    pub fn record_denial(&self, denial: Denial) {
        let counts = &mut self.state().counts;
        match denial {
            Denial::TooLarge => counts.too_large_count += 1,
            Denial::NoRoom => counts.no_room_count += 1,
            // Were counted as they were given up or refused.
            Denial::Evicted | Denial::TooManyConnections => {}
        }
    }

    /// Gives up the answers of which nothing was read for `timeout`.
    pub fn evict_unread(&self, timeout: Duration) {
        let mut state = self.state();
        let evictions = state.ledger.evict_unread(timeout, self.clock.now());
        state.evicted(&evictions, "unread");
    }
}

/// An open connection, which is counted until dropped.
#[derive(Debug)]
pub struct Connection {
    /// The holder of all that its requests need.
    pub holder: Holder,
    _charge: Charge,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.holder.memory.state();
        state.ledger.close(self.holder.id);
        state.holders.remove(&self.holder.id);
        state.wake_waiting();
    }
}

/// The holder of what one connection needs. Clones share it.
#[derive(Clone, Debug)]
pub struct Holder {
    memory: Memory,
    id: ClaimId,
}

impl Holder {
    /// Counts `bytes`, once those that are given up for them are free.
    ///
    /// # Errors
    ///
    /// Fails where there is no room, or this holder is given up.
    pub async fn charge(&self, bytes: usize) -> Result<Charge, Denial> {
        poll_fn(|context| self.poll_charge(bytes, context)).await
    }

    fn poll_charge(&self, bytes: usize, context: &Context<'_>) -> Poll<Result<Charge, Denial>> {
        let mut state = self.memory.state();
        let now = self.memory.clock.now();
        match state.ledger.claim(self.id, bytes, now) {
            Decision::Granted => Poll::Ready(Ok(self.charge_for(bytes))),
            Decision::Wait(evictions) => {
                state.evicted(&evictions, "memory");
                state.wait(context);
                Poll::Pending
            }
            Decision::Denied(denial) => Poll::Ready(Err(denial)),
        }
    }

    fn charge_for(&self, bytes: usize) -> Charge {
        Charge {
            memory: self.memory.clone(),
            id: self.id,
            bytes,
        }
    }

    /// Returns the memory of which this is a holder.
    pub const fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Waits until this holder is given up.
    pub async fn evicted(&self) {
        poll_fn(|context| self.poll_evicted(context)).await;
    }

    fn poll_evicted(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.memory.state();
        if state.ledger.is_evicted(self.id) {
            return Poll::Ready(());
        }
        state.holders.insert(self.id, context.waker().clone());
        Poll::Pending
    }

    /// Records what this holder is doing.
    pub fn set_activity(&self, activity: Activity) {
        let now = self.memory.clock.now();
        self.memory
            .state()
            .ledger
            .set_activity(self.id, activity, now);
    }

    /// Returns what this holder is doing.
    pub fn activity(&self) -> Option<Activity> {
        self.memory.state().ledger.activity(self.id)
    }

    /// Records that `bytes` came from the client or were taken by it.
    pub fn record_moved(&self, bytes: usize) {
        let now = self.memory.clock.now();
        self.memory.state().ledger.record_moved(self.id, bytes, now);
    }
}

/// Bytes that are counted for a holder until this is dropped.
#[derive(Debug)]
pub struct Charge {
    memory: Memory,
    id: ClaimId,
    bytes: usize,
}

impl Charge {
    /// Returns the bytes that are counted.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts no more than `bytes` from now on.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        let mut state = self.memory.state();
        state.ledger.release(self.id, freed);
        state.wake_waiting();
    }

    /// Counts the bytes of `other`, which has the same holder, as its own.
    pub fn absorb(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns `data` as bytes that are counted until their last clone is dropped.
    pub fn hold(self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(ChargedData {
            data,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.ledger.release(self.id, self.bytes);
        state.wake_waiting();
    }
}

/// Data with the charge for it. The data is dropped first.
struct ChargedData<T> {
    data: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ChargedData<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
