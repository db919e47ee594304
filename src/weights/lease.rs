//! Leases with fencing numbers, kept by the table service.
//!
//! A [`Machine`] decides when a host may give orders. Clocks of hosts are never
//! compared: a challenger waits until the record has stayed the same on its own
//! clock for the lease and one order timeout (see docs/design/weights.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Timestamp,
    ids::{FenceNumber, HostId},
    store::RecordVersion,
};

/// The part of the lease after which it is renewed.
const RENEW_RATIO: f64 = 0.3;

/// The times of a lease, the same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a lease holds after the write that took or renewed it was sent.
    pub lease: Duration,
    /// How long an order may be under way.
    pub order_timeout: Duration,
    /// How often a host that does not hold the lease looks at it.
    pub watch_interval: Duration,
    /// The time over which hosts that find a lease free spread their claims.
    pub spread: Duration,
}

/// A lease as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The host that holds it.
    pub holder: HostId,
    /// The life of the holder's process, so that a restart is another holder.
    pub life: u64,
    /// The fencing number; each new holder raises it.
    pub fence: FenceNumber,
    /// Numbers the holder's writes, so that a lost answer can be read back.
    pub sequence: u64,
    /// Whether the holder gave it up with no order under way.
    pub released: bool,
    /// The store's clock from which the holder may give orders, since one of the
    /// holder before may be on its way until then; zero where that is not kept.
    #[serde(default)]
    pub quiet_until: Duration,
}

/// A record with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The version that a conditional write names.
    pub version: RecordVersion,
    /// What it holds.
    pub record: Record,
}

/// What to ask of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record if it still has this version; 0 asks that it be absent.
    Write {
        /// The version that it must have.
        version: RecordVersion,
        /// What to write.
        record: Record,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrote {
    /// It took effect, in a store that numbers the writes of each record.
    Done,
    /// It took effect, and the record has this version.
    DoneAt(RecordVersion),
    /// The record had another version.
    Refused,
    /// It certainly did not take effect.
    NotApplied,
    /// It may have taken effect, or may yet do so.
    Unknown,
}

/// What came back from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A read ended; none where the store gave no answer.
    Read(Option<Option<Versioned>>),
    /// A write ended.
    Wrote(Wrote),
}

#[derive(Clone, Debug)]
struct Seen {
    at: Option<Versioned>,
    since: Timestamp,
    checked: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: FenceNumber,
    valid_until: Timestamp,
    renew_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Pending {
    version: RecordVersion,
    record: Record,
    sent_at: Timestamp,
    answer_lost: bool,
}

/// One host's view of one lease.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::weights::lease::{Action, Event, Machine, Terms, Wrote};
///
/// let terms = Terms {
///     lease: Duration::from_secs(10),
///     order_timeout: Duration::from_secs(2),
///     watch_interval: Duration::from_secs(1),
///     spread: Duration::ZERO,
/// };
/// let mut machine = Machine::new("entry-1", 7, terms);
/// assert_eq!(machine.poll(Duration::ZERO), Some(Action::Read));
/// machine.apply(Event::Read(Some(None)), Duration::ZERO);
/// assert!(matches!(machine.poll(Duration::ZERO), Some(Action::Write { .. })));
/// machine.apply(Event::Wrote(Wrote::Done), Duration::from_millis(5));
/// assert_eq!(machine.fence(Duration::from_secs(7)), Some(1));
/// assert_eq!(machine.fence(Duration::from_secs(9)), None);
/// ```
#[derive(Clone, Debug)]
pub struct Machine {
    host: HostId,
    life: u64,
    terms: Terms,
    seen: Option<Seen>,
    held: Option<Held>,
    pending: Option<Pending>,
    is_waiting: bool,
    sequence: u64,
    /// Whether an earlier life of this host is over once this one runs.
    succeeds_itself: bool,
    /// How much longer than others this host waits for a free lease.
    handicap: Duration,
    /// From when on orders would be safe if the lease were taken from another
    /// host now, and from when on they are, both by the store's clock.
    quiet_if_taken: Duration,
    quiet_until: Duration,
}

impl Machine {
    /// Starts without the lease and without knowledge of it.
    pub fn new(host: impl Into<HostId>, life: u64, terms: Terms) -> Self {
        Self {
            host: host.into(),
            life,
            terms,
            seen: None,
            held: None,
            pending: None,
            is_waiting: false,
            sequence: 0,
            succeeds_itself: false,
            handicap: Duration::ZERO,
            quiet_if_taken: Duration::ZERO,
            quiet_until: Duration::ZERO,
        }
    }

    /// Lets this host take the lease of its own earlier life without waiting.
    ///
    /// Only for hosts that never run two processes at once.
    #[must_use]
    pub fn succeeding_itself(self) -> Self {
        Self {
            succeeds_itself: true,
            ..self
        }
    }

    /// Lets this host wait longer than others for a free lease, as one that is less
    /// fit to hold it.
    #[must_use]
    pub fn with_handicap(self, handicap: Duration) -> Self {
        Self { handicap, ..self }
    }

    /// Says from when on, by the store's clock, orders would be safe if the lease
    /// were taken from another host now.
    pub const fn foresee_quiet(&mut self, until: Duration) {
        self.quiet_if_taken = until;
    }

    /// Returns the store's clock from which orders are safe.
    pub const fn quiet_until(&self) -> Duration {
        self.quiet_until
    }

    /// Returns the fencing number under which an order may be sent at `now`.
    ///
    /// The time left must cover the order timeout, so that the order is over
    /// before anybody else may give one. Ask just before each send.
    pub fn fence(&self, now: Timestamp) -> Option<FenceNumber> {
        self.held
            .filter(|held| now + self.terms.order_timeout <= held.valid_until)
            .map(|held| held.fence)
    }

    /// Says whether the lease is held at `now`, if only to let orders end.
    pub fn is_held(&self, now: Timestamp) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Gives the lease up because an engine saw a higher fencing number.
    pub fn lost(&mut self) {
        self.held = None;
        self.seen = None;
        self.pending = None;
    }

    /// Returns what to ask of the store at `now`, one request at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if self.is_waiting {
            return None;
        }
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
        }
        let action = match (&self.pending, &self.held) {
            (Some(pending), _) if pending.answer_lost => Some(Action::Read),
            (_, Some(held)) if now < held.renew_at => None,
            (_, Some(held)) => {
                let fence = held.fence;
                self.write(fence, false, now)
            }
            (_, None) => self.challenge(now),
        };
        self.is_waiting = action.is_some();
        action
    }

    /// Returns the write that gives the lease up, if it is held.
    ///
    /// Call it only when no order is under way.
    pub fn release(&mut self, now: Timestamp) -> Option<Action> {
        let fence = self.held.filter(|_| !self.is_waiting)?.fence;
        self.held = None;
        self.pending = None;
        let action = self.write(fence, true, now);
        self.is_waiting = action.is_some();
        action
    }

    /// Takes in what the store answered, or that it did not.
    pub fn apply(&mut self, event: Event, now: Timestamp) {
        self.is_waiting = false;
        match event {
            Event::Read(Some(found)) => self.found(found, now),
            Event::Read(None) => {}
            Event::Wrote(Wrote::Done) => {
                let version = self
                    .pending
                    .as_ref()
                    .map_or(0, |pending| pending.version + 1);
                self.confirm(version, now);
            }
            Event::Wrote(Wrote::DoneAt(version)) => self.confirm(version, now),
            Event::Wrote(Wrote::Refused) => {
                self.pending = None;
                self.held = None;
                self.seen = None;
            }
            // Nothing took effect, so that the same write is due again.
            Event::Wrote(Wrote::NotApplied) => self.pending = None,
            Event::Wrote(Wrote::Unknown) => {
                if let Some(pending) = &mut self.pending {
                    pending.answer_lost = true;
                }
            }
        }
    }

    fn found(&mut self, found: Option<Versioned>, now: Timestamp) {
        let pending = self.pending.take();
        if let (Some(pending), Some(found)) = (&pending, &found)
            && pending.record == found.record
        {
            self.pending = Some(pending.clone());
            self.confirm(found.version, now);
            return;
        }
        let is_same = self.seen.as_ref().is_some_and(|seen| seen.at == found);
        if is_same {
            let gap = self.terms.watch_interval + self.terms.order_timeout;
            if let Some(seen) = &mut self.seen {
                // Whoever cannot read the store cannot tell that the holder did
                // not renew; after an outage the holder gets its time again.
                if now > seen.checked + gap {
                    seen.since = now;
                }
                seen.checked = now;
            }
            return;
        }
        // Somebody else wrote, so that a lease that was held is gone.
        self.held = None;
        self.seen = Some(Seen {
            at: found,
            since: now,
            checked: now,
        });
    }

    /// Notes that the pending write is in force.
    fn confirm(&mut self, version: RecordVersion, now: Timestamp) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if !pending.record.released {
            self.held = Some(Held {
                fence: pending.record.fence,
                valid_until: pending.sent_at + self.terms.lease,
                renew_at: pending.sent_at + self.terms.lease.mul_f64(RENEW_RATIO),
            });
        }
        self.seen = Some(Seen {
            at: Some(Versioned {
                version,
                record: pending.record,
            }),
            since: now,
            checked: now,
        });
    }

    /// Looks at the record of another holder, and takes it over when it lapsed.
    fn challenge(&mut self, now: Timestamp) -> Option<Action> {
        let Some(seen) = &self.seen else {
            return Some(Action::Read);
        };
        let is_own = |record: &Record| self.succeeds_itself && record.holder == self.host;
        let quiet_until = match &seen.at {
            None => Duration::ZERO,
            // The waiting of the earlier life goes on.
            Some(found) if is_own(&found.record) => found.record.quiet_until,
            Some(_) => self.quiet_if_taken,
        };
        let (fence, wait) = match &seen.at {
            None => (1, Duration::ZERO),
            Some(found) if found.record.released || is_own(&found.record) => {
                (found.record.fence + 1, Duration::ZERO)
            }
            Some(found) => (
                found.record.fence + 1,
                self.terms.lease + self.terms.order_timeout,
            ),
        };
        // Nobody competes with a host for its own lease.
        let is_free = seen.at.as_ref().is_some_and(|found| is_own(&found.record));
        let spread = if is_free {
            Duration::ZERO
        } else {
            self.delay(fence)
        };
        let due = seen.since + wait + spread;
        // A last look finds the lease that another host took meanwhile.
        if now < due || seen.checked < due {
            let look_at = (seen.checked + self.terms.watch_interval).min(due);
            return (now >= look_at).then_some(Action::Read);
        }
        self.quiet_until = quiet_until;
        self.write(fence, false, now)
    }

    /// Returns this host's own part of the spread for one fencing number.
    fn delay(&self, fence: FenceNumber) -> Duration {
        let text = format!("{}/{}/{fence}", self.host, self.life);
        let part = xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64;
        self.terms.spread.mul_f64(part) + self.handicap
    }

    fn write(&mut self, fence: FenceNumber, released: bool, now: Timestamp) -> Option<Action> {
        let version = self.seen.as_ref()?.at.as_ref().map_or(0, |at| at.version);
        self.sequence += 1;
        let record = Record {
            holder: self.host.clone(),
            life: self.life,
            fence,
            sequence: self.sequence,
            released,
            quiet_until: self.quiet_until,
        };
        self.pending = Some(Pending {
            version,
            record: record.clone(),
            sent_at: now,
            answer_lost: false,
        });
        Some(Action::Write { version, record })
    }
}
