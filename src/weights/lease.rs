//! Leases with fencing numbers, stored in the table service.
//!
//! A [`Machine`] decides when its host may give orders. The clocks of hosts are
//! never compared: a challenger waits until it has found the record unchanged,
//! by its own clock, for the lease period plus one order timeout (see
//! docs/design/weights.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Timestamp,
    ids::{FenceNumber, HostId},
    store::RecordVersion,
};

/// The fraction of the lease period after which the holder renews the lease.
const RENEW_RATIO: f64 = 0.3;

/// The durations that govern a lease, the same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a lease is valid, counted from when the write that claimed or
    /// renewed it was sent.
    pub lease: Duration,
    /// How long an order may be in flight.
    pub order_timeout: Duration,
    /// How often a host that does not hold the lease reads its record.
    pub watch_interval: Duration,
    /// The upper bound of the jitter before a host claims a free lease.
    pub max_claim_jitter: Duration,
}

/// The record of a lease in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The host that holds the lease.
    pub holder: HostId,
    /// Identifies the holder's process, so that a restarted process counts as
    /// another holder.
    pub life: u64,
    /// The fencing number, which each new holder increments.
    pub fence: FenceNumber,
    /// Numbers the holder's writes, so that a write whose answer was lost can
    /// be recognised in a later read.
    pub sequence: u64,
    /// Whether the holder released the lease with no order in flight.
    pub released: bool,
    /// The time on the store's clock from which the holder may give orders,
    /// since an order of the previous holder may be in flight until then; zero
    /// for leases that do not record it.
    #[serde(default)]
    pub quiet_until: Duration,
}

/// A record with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The version that a conditional write must name.
    pub version: RecordVersion,
    /// The record itself.
    pub record: Record,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the record.
    Read,
    /// Writes the record if it still has this version; 0 requires that it does
    /// not exist.
    Write {
        /// The version that the stored record must have.
        version: RecordVersion,
        /// The record to write.
        record: Record,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect, in a store that increments a record's version with each
    /// write.
    Done,
    /// It took effect, and the record now has this version.
    DoneAt(RecordVersion),
    /// The record had another version.
    Refused,
    /// It is certain that it did not take effect.
    NotApplied,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// The result of a request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A read ended; `None` if the store did not answer.
    Read(Option<Option<Versioned>>),
    /// A write ended.
    Wrote(WriteOutcome),
}

#[derive(Clone, Debug)]
struct Observed {
    found: Option<Versioned>,
    unchanged_since: Timestamp,
    read_at: Timestamp,
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

/// The state machine by which one host claims, renews and releases one lease.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mimosavane::weights::lease::{Action, Event, Machine, Terms, WriteOutcome};
///
/// let terms = Terms {
///     lease: Duration::from_secs(10),
///     order_timeout: Duration::from_secs(2),
///     watch_interval: Duration::from_secs(1),
///     max_claim_jitter: Duration::ZERO,
/// };
/// let mut machine = Machine::new("entry-1", 7, terms);
/// assert_eq!(machine.poll(Duration::ZERO), Some(Action::Read));
/// machine.apply(Event::Read(Some(None)), Duration::ZERO);
/// assert!(matches!(machine.poll(Duration::ZERO), Some(Action::Write { .. })));
/// machine.apply(Event::Wrote(WriteOutcome::Done), Duration::from_millis(5));
/// assert_eq!(machine.fence(Duration::from_secs(7)), Some(1));
/// assert_eq!(machine.fence(Duration::from_secs(9)), None);
/// ```
#[derive(Clone, Debug)]
pub struct Machine {
    host: HostId,
    life: u64,
    terms: Terms,
    observed: Option<Observed>,
    held: Option<Held>,
    pending: Option<Pending>,
    has_request_in_flight: bool,
    sequence: u64,
    /// Whether this host may reclaim the lease of its earlier process, which
    /// has certainly ended once this one runs.
    reclaims_own_lease: bool,
    /// How much longer than others this host waits before it claims a free
    /// lease.
    extra_claim_delay: Duration,
    /// The time on the store's clock from which orders would be safe if the
    /// lease were taken over from another host now.
    takeover_quiet_until: Duration,
    /// The time on the store's clock from which orders are safe.
    quiet_until: Duration,
}

impl Machine {
    /// Creates a machine that does not hold the lease and has not read its
    /// record.
    pub fn new(host: impl Into<HostId>, life: u64, terms: Terms) -> Self {
        Self {
            host: host.into(),
            life,
            terms,
            observed: None,
            held: None,
            pending: None,
            has_request_in_flight: false,
            sequence: 0,
            reclaims_own_lease: false,
            extra_claim_delay: Duration::ZERO,
            takeover_quiet_until: Duration::ZERO,
            quiet_until: Duration::ZERO,
        }
    }

    /// Lets this host reclaim the lease of its own earlier process without
    /// waiting.
    ///
    /// Only for hosts that never run two processes at once.
    #[must_use]
    pub fn reclaiming_own_lease(self) -> Self {
        Self {
            reclaims_own_lease: true,
            ..self
        }
    }

    /// Makes this host wait longer than others before it claims a free lease,
    /// for hosts that are less suited to hold it.
    #[must_use]
    pub fn with_extra_claim_delay(self, delay: Duration) -> Self {
        Self {
            extra_claim_delay: delay,
            ..self
        }
    }

    /// Sets the time on the store's clock from which orders would be safe if
    /// the lease were taken over from another host now.
    pub const fn set_takeover_quiet_until(&mut self, until: Duration) {
        self.takeover_quiet_until = until;
    }

    /// Returns the time on the store's clock from which orders are safe.
    pub const fn quiet_until(&self) -> Duration {
        self.quiet_until
    }

    /// Returns the fencing number under which an order may be sent at `now`.
    ///
    /// The remaining validity must cover the order timeout, so that the order
    /// has ended before another host may give one. Call this just before each
    /// send.
    pub fn fence(&self, now: Timestamp) -> Option<FenceNumber> {
        self.held
            .filter(|held| now + self.terms.order_timeout <= held.valid_until)
            .map(|held| held.fence)
    }

    /// Returns whether the lease is held at `now`, even if only long enough for
    /// orders in flight to end.
    pub fn is_held(&self, now: Timestamp) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Drops the lease, because an engine has seen a higher fencing number.
    pub fn step_down(&mut self) {
        self.held = None;
        self.observed = None;
        self.pending = None;
    }

    /// Returns the next request to the store at `now`; at most one is in
    /// flight.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if self.has_request_in_flight {
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
                self.prepare_write(fence, false, now)
            }
            (_, None) => self.try_claim(now),
        };
        self.has_request_in_flight = action.is_some();
        action
    }

    /// Returns the write that releases the lease, if it is held and no request
    /// to the store is in flight.
    ///
    /// Call this only when no order is in flight.
    pub fn release(&mut self, now: Timestamp) -> Option<Action> {
        let fence = self.held.filter(|_| !self.has_request_in_flight)?.fence;
        self.held = None;
        self.pending = None;
        let action = self.prepare_write(fence, true, now);
        self.has_request_in_flight = action.is_some();
        action
    }

    /// Applies the result of a request to the store.
    pub fn apply(&mut self, event: Event, now: Timestamp) {
        self.has_request_in_flight = false;
        match event {
            Event::Read(Some(found)) => self.apply_read(found, now),
            Event::Read(None) => {}
            Event::Wrote(WriteOutcome::Done) => {
                let version = self
                    .pending
                    .as_ref()
                    .map_or(0, |pending| pending.version + 1);
                self.confirm(version, now);
            }
            Event::Wrote(WriteOutcome::DoneAt(version)) => self.confirm(version, now),
            Event::Wrote(WriteOutcome::Refused) => {
                self.pending = None;
                self.held = None;
                self.observed = None;
            }
            // Nothing changed in the store, so the write is made again.
            Event::Wrote(WriteOutcome::NotApplied) => self.pending = None,
            Event::Wrote(WriteOutcome::Unknown) => {
                if let Some(pending) = &mut self.pending {
                    pending.answer_lost = true;
                }
            }
        }
    }

    fn apply_read(&mut self, found: Option<Versioned>, now: Timestamp) {
        let pending = self.pending.take();
        if let (Some(pending), Some(found)) = (&pending, &found)
            && pending.record == found.record
        {
            self.pending = Some(pending.clone());
            self.confirm(found.version, now);
            return;
        }
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.found == found);
        if is_unchanged {
            let gap = self.terms.watch_interval + self.terms.order_timeout;
            if let Some(observed) = &mut self.observed {
                // A host that could not read the store does not know whether
                // the holder renewed, so after an outage the holder gets its
                // full time again.
                if now > observed.read_at + gap {
                    observed.unchanged_since = now;
                }
                observed.read_at = now;
            }
            return;
        }
        // Another host wrote the record, so this host no longer holds the
        // lease.
        self.held = None;
        self.observed = Some(Observed {
            found,
            unchanged_since: now,
            read_at: now,
        });
    }

    /// Records that the pending write took effect.
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
        self.observed = Some(Observed {
            found: Some(Versioned {
                version,
                record: pending.record,
            }),
            unchanged_since: now,
            read_at: now,
        });
    }

    /// Watches the record of another holder, and claims the lease once it has
    /// expired.
    fn try_claim(&mut self, now: Timestamp) -> Option<Action> {
        let Some(observed) = &self.observed else {
            return Some(Action::Read);
        };
        let is_own = |record: &Record| self.reclaims_own_lease && record.holder == self.host;
        let quiet_until = match &observed.found {
            None => Duration::ZERO,
            // The quiet period of the earlier process still applies.
            Some(found) if is_own(&found.record) => found.record.quiet_until,
            Some(_) => self.takeover_quiet_until,
        };
        let (fence, wait) = match &observed.found {
            None => (1, Duration::ZERO),
            Some(found) if found.record.released || is_own(&found.record) => {
                (found.record.fence + 1, Duration::ZERO)
            }
            Some(found) => (
                found.record.fence + 1,
                self.terms.lease + self.terms.order_timeout,
            ),
        };
        // No other host competes for this host's own lease.
        let is_uncontested = observed
            .found
            .as_ref()
            .is_some_and(|found| is_own(&found.record));
        let delay = if is_uncontested {
            Duration::ZERO
        } else {
            self.claim_delay(fence)
        };
        let due = observed.unchanged_since + wait + delay;
        // A read just before the claim shows whether another host has claimed
        // the lease meanwhile.
        if now < due || observed.read_at < due {
            let next_read_at = (observed.read_at + self.terms.watch_interval).min(due);
            return (now >= next_read_at).then_some(Action::Read);
        }
        self.quiet_until = quiet_until;
        self.prepare_write(fence, false, now)
    }

    /// Returns this host's delay before it claims the lease under `fence`: a
    /// jitter that is fixed for each fencing number, and the extra delay.
    fn claim_delay(&self, fence: FenceNumber) -> Duration {
        let text = format!("{}/{}/{fence}", self.host, self.life);
        let jitter_ratio = xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64;
        self.terms.max_claim_jitter.mul_f64(jitter_ratio) + self.extra_claim_delay
    }

    fn prepare_write(
        &mut self,
        fence: FenceNumber,
        released: bool,
        now: Timestamp,
    ) -> Option<Action> {
        let version = self
            .observed
            .as_ref()?
            .found
            .as_ref()
            .map_or(0, |found| found.version);
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
