//! The ledger of what is held, and the choice of what is given up.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use super::{Budget, SMALL_BYTES, Side};
use crate::clock::Timestamp;

/// The number of a holder.
pub type ClaimId = u64;

/// How long a holder must be without progress to be given up for one that wants as much.
const STALL_TIME: Duration = Duration::from_secs(1);

/// How long an incomplete head or a body must be without progress for its connection to be
/// given up for a new one. A head of an ordinary client comes in one piece.
const CONNECTION_STALL_TIME: Duration = Duration::from_millis(250);

/// The connections that may be open beyond the bound while others close, as a part of it.
const LEAVING_PART: usize = 8;

/// How many bytes count as progress, so that a client which sends single bytes stalls.
const PROGRESS_BYTES: usize = 4 << 10;

/// What a holder is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Activity {
    /// It has no request.
    Idle,
    /// Its head or body is incomplete.
    Receiving,
    /// Its request is handled, which must not be given up: it may run at an upstream.
    Working,
    /// Its answer is not read.
    Sending,
}

/// Why something is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denial {
    /// It exceeds what this host holds for one request, even when it holds nothing else.
    #[error("the request exceeds the memory that this host has for one")]
    TooLarge,
    /// There is no room, and nothing may be given up for it.
    #[error("there is no room in the memory of this host")]
    NoRoom,
    /// The holder was given up.
    #[error("the request was given up for others")]
    Evicted,
    /// There are too many connections, and none may be given up.
    #[error("there are too many connections")]
    TooManyConnections,
}

/// A holder that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The holder.
    pub id: ClaimId,
    /// For whom it holds.
    pub side: Side,
    /// What it holds.
    pub bytes: usize,
    /// What it was doing.
    pub activity: Activity,
    /// How long it was without progress.
    pub stalled_for: Duration,
}

/// The answer of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is granted and counted.
    Granted,
    /// It may be asked for again once something is released. These holders are given up for
    /// it, if they are not already.
    Wait(Vec<Eviction>),
    /// It is not granted.
    Denied(Denial),
}

#[derive(Debug)]
struct Claim {
    side: Side,
    bytes: usize,
    activity: Activity,
    /// When it last made progress.
    progress_at: Timestamp,
    /// When its last byte moved.
    byte_at: Timestamp,
    /// The bytes that moved since its last progress.
    moved_bytes: usize,
    is_evicted: bool,
    /// Whether its connection is open; bytes may outlive it.
    is_open: bool,
}

impl Claim {
    fn stalled_for(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.progress_at)
    }

    fn may_be_evicted(&self) -> bool {
        self.is_open && !self.is_evicted && self.activity != Activity::Working
    }

    /// Returns how much it is to be given up before others: what it holds, times how long it
    /// is without progress.
    fn weight(&self, now: Timestamp) -> u128 {
        self.bytes as u128 * (self.stalled_for(now).as_micros() + 1)
    }
}

/// The bytes and connections that are held, each for a holder, which is one connection with
/// its request and answer.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::ingress::memory::{Budget, Decision, Ledger, Side};
///
/// let mut ledger = Ledger::new(Budget::of(120, 3_075));
/// let id = ledger.register(Side::Client, Duration::ZERO);
/// assert_eq!(ledger.claim(id, 1_000, Duration::ZERO), Decision::Granted);
/// assert_eq!(ledger.held_bytes(), 1_000);
/// ```
#[derive(Debug)]
pub struct Ledger {
    budget: Budget,
    claims: BTreeMap<ClaimId, Claim>,
    next_id: ClaimId,
    client_bytes: usize,
    peer_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger.
    pub const fn new(budget: Budget) -> Self {
        Self {
            budget,
            claims: BTreeMap::new(),
            next_id: 0,
            client_bytes: 0,
            peer_bytes: 0,
        }
    }

    /// Returns the bytes that are held.
    pub const fn held_bytes(&self) -> usize {
        self.client_bytes + self.peer_bytes
    }

    /// Returns the number of open connections of `side`.
    pub fn connection_count(&self, side: Side) -> usize {
        self.claims
            .values()
            .filter(|claim| claim.is_open && claim.side == side)
            .count()
    }

    /// Adds a holder without any bytes, whatever the bounds.
    pub fn register(&mut self, side: Side, now: Timestamp) -> ClaimId {
        let id = self.next_id;
        self.next_id += 1;
        let claim = Claim {
            side,
            bytes: 0,
            activity: Activity::Idle,
            progress_at: now,
            byte_at: now,
            moved_bytes: 0,
            is_evicted: false,
            is_open: true,
        };
        self.claims.insert(id, claim);
        id
    }

    /// Adds a holder without a connection, which is removed once it holds nothing. It is not
    /// given up for others.
    pub fn register_apart(&mut self, side: Side, now: Timestamp) -> ClaimId {
        let id = self.register(side, now);
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.is_open = false;
        }
        id
    }

    /// Returns whether a connection of `side` may be opened. Gives up idle connections first,
    /// then those that stall, each time the one that did so for the longest.
    pub fn check_connection(&mut self, side: Side, now: Timestamp) -> Decision {
        let max_count = match side {
            Side::Client | Side::Job => self.budget.max_client_count,
            Side::Peer => self.budget.max_peer_count,
        };
        let open = || {
            self.claims
                .iter()
                .filter(|(_, claim)| claim.is_open && claim.side == side)
        };
        let open_count = open().count();
        let leaving_count = open().filter(|(_, claim)| claim.is_evicted).count();
        // Connections that are given up close at once, or once their refusal is sent.
        let staying_count = open_count - leaving_count;
        if staying_count < max_count && open_count >= max_count + max_count.div_ceil(LEAVING_PART) {
            return Decision::Wait(Vec::new());
        }
        if staying_count >= max_count {
            let found = open()
                .filter(|(_, claim)| claim.may_be_evicted())
                .filter(|(_, claim)| {
                    claim.activity == Activity::Idle
                        || claim.stalled_for(now) >= CONNECTION_STALL_TIME
                })
                .min_by_key(|(id, claim)| {
                    (claim.activity != Activity::Idle, claim.progress_at, **id)
                })
                .map(|(id, _)| *id);
            return match found {
                Some(id) => Decision::Wait(self.evict(&[id], now)),
                None => Decision::Denied(Denial::TooManyConnections),
            };
        }
        let bytes = side.connection_bytes();
        self.make_room(None, side, bytes, bytes, now)
    }

    /// Counts `bytes` more for `id` if there is room.
    pub fn claim(&mut self, id: ClaimId, bytes: usize, now: Timestamp) -> Decision {
        let Some(claim) = self.claims.get(&id).filter(|claim| !claim.is_evicted) else {
            return Decision::Denied(Denial::Evicted);
        };
        if bytes == 0 {
            return Decision::Granted;
        }
        let (side, own_bytes) = (claim.side, claim.bytes + bytes);
        let decision = self.make_room(Some(id), side, bytes, own_bytes, now);
        if decision == Decision::Granted {
            self.add(id, bytes);
        } else {
            self.remove_ended(id);
        }
        decision
    }

    /// Counts `bytes` more for `id` whatever the bounds, for what exists already.
    pub fn add(&mut self, id: ClaimId, bytes: usize) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.bytes += bytes;
            match claim.side {
                Side::Client | Side::Job => self.client_bytes += bytes,
                Side::Peer => self.peer_bytes += bytes,
            }
        }
    }

    /// Counts `bytes` less for `id`.
    pub fn release(&mut self, id: ClaimId, bytes: usize) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.bytes -= bytes;
            match claim.side {
                Side::Client | Side::Job => self.client_bytes -= bytes,
                Side::Peer => self.peer_bytes -= bytes,
            }
        }
        self.remove_ended(id);
    }

    /// Records that the connection of `id` closed.
    pub fn close(&mut self, id: ClaimId) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.is_open = false;
        }
        self.remove_ended(id);
    }

    /// Records that `bytes` of `id` moved to or from its client.
    pub fn record_moved(&mut self, id: ClaimId, bytes: usize, now: Timestamp) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.byte_at = now;
            claim.moved_bytes += bytes;
            if claim.moved_bytes >= PROGRESS_BYTES {
                claim.moved_bytes = 0;
                claim.progress_at = now;
            }
        }
    }

    /// Records what `id` is doing. A change is progress.
    pub fn set_activity(&mut self, id: ClaimId, activity: Activity, now: Timestamp) {
        if let Some(claim) = self.claims.get_mut(&id)
            && claim.activity != activity
        {
            claim.activity = activity;
            claim.progress_at = now;
            claim.byte_at = now;
            claim.moved_bytes = 0;
        }
    }

    /// Returns what `id` is doing.
    pub fn activity(&self, id: ClaimId) -> Option<Activity> {
        self.claims.get(&id).map(|claim| claim.activity)
    }

    /// Returns whether `id` is given up.
    pub fn is_evicted(&self, id: ClaimId) -> bool {
        self.claims.get(&id).is_none_or(|claim| claim.is_evicted)
    }

    /// Gives up the holders whose answers nobody has read any of for `timeout`.
    pub fn evict_unread(&mut self, timeout: Duration, now: Timestamp) -> Vec<Eviction> {
        let unread: Vec<ClaimId> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.may_be_evicted() && claim.activity == Activity::Sending)
            .filter(|(_, claim)| now.saturating_sub(claim.byte_at) >= timeout)
            .map(|(id, _)| *id)
            .collect();
        self.evict(&unread, now)
    }

    /// Decides whether there is room for `bytes` of a holder that then has `own_bytes`.
    fn make_room(
        &mut self,
        id: Option<ClaimId>,
        side: Side,
        bytes: usize,
        own_bytes: usize,
        now: Timestamp,
    ) -> Decision {
        let budget = self.budget;
        let small_reserve = match own_bytes > SMALL_BYTES {
            true => budget.small_reserve_bytes,
            false => 0,
        };
        let max_client_bytes = budget
            .total_bytes
            .saturating_sub(budget.peer_reserve_bytes.max(self.peer_bytes) + small_reserve);
        let (most_bytes, shortage) = match side {
            Side::Client | Side::Job => (
                budget
                    .total_bytes
                    .saturating_sub(budget.peer_reserve_bytes + small_reserve),
                (self.client_bytes + bytes).saturating_sub(max_client_bytes),
            ),
            Side::Peer => (
                budget.max_peer_bytes,
                (self.held_bytes() + bytes).saturating_sub(budget.total_bytes),
            ),
        };
        if own_bytes > most_bytes {
            return Decision::Denied(Denial::TooLarge);
        }
        if side == Side::Peer && self.peer_bytes + bytes > budget.max_peer_bytes {
            let excess = self.peer_bytes + bytes - budget.max_peer_bytes;
            return self.free(id, own_bytes, excess, now, |victim| victim == Side::Peer);
        }
        if shortage == 0 {
            return Decision::Granted;
        }
        // Jobs were accepted, which no body is yet.
        let own_bytes = match side {
            Side::Job => 0,
            Side::Client | Side::Peer => own_bytes,
        };
        // A client never displaces another host, which stands for many clients.
        self.free(id, own_bytes, shortage, now, |victim| {
            victim == Side::Client || side == Side::Peer
        })
    }

    /// Gives up holders until `shortage` bytes will be free. Those go that stall, or hold more
    /// than the `own_bytes` of the one that asks.
    fn free(
        &mut self,
        id: Option<ClaimId>,
        own_bytes: usize,
        shortage: usize,
        now: Timestamp,
        is_victim: impl Fn(Side) -> bool,
    ) -> Decision {
        let mut freed: usize = self
            .claims
            .values()
            .filter(|claim| claim.is_evicted && is_victim(claim.side))
            .map(|claim| claim.bytes)
            .sum();
        if freed >= shortage {
            return Decision::Wait(Vec::new());
        }
        let mut candidates: Vec<(u128, ClaimId, usize)> = self
            .claims
            .iter()
            .filter(|(other, claim)| Some(**other) != id && claim.may_be_evicted())
            .filter(|(_, claim)| is_victim(claim.side))
            .filter(|(_, claim)| claim.stalled_for(now) >= STALL_TIME || claim.bytes > own_bytes)
            .map(|(other, claim)| (claim.weight(now), *other, claim.bytes))
            .collect();
        candidates.sort_by_key(|(weight, other, _)| (Reverse(*weight), *other));
        let mut chosen = Vec::new();
        for (_, other, bytes) in candidates {
            if freed >= shortage {
                break;
            }
            freed += bytes;
            chosen.push(other);
        }
        match freed >= shortage {
            true => Decision::Wait(self.evict(&chosen, now)),
            false => Decision::Denied(Denial::NoRoom),
        }
    }

    fn evict(&mut self, ids: &[ClaimId], now: Timestamp) -> Vec<Eviction> {
        let mut evicted = Vec::new();
        for id in ids {
            if let Some(claim) = self.claims.get_mut(id) {
                claim.is_evicted = true;
                evicted.push(Eviction {
                    id: *id,
                    side: claim.side,
                    bytes: claim.bytes,
                    activity: claim.activity,
                    stalled_for: claim.stalled_for(now),
                });
            }
        }
        evicted
    }

    fn remove_ended(&mut self, id: ClaimId) {
        let has_ended = |claim: &Claim| !claim.is_open && claim.bytes == 0;
        if self.claims.get(&id).is_some_and(has_ended) {
            self.claims.remove(&id);
        }
    }
}
