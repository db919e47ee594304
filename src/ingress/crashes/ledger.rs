//! Which calls upstreams crash under.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    ids::UpstreamId,
    ingress::{bounded, calls::Fingerprint},
};

/// The number of upstreams that must be lost under a call, without a success in
/// between, for it to count as the cause.
const CAUSE_COUNT: usize = 3;

/// How long a lost upstream is held against a call that is not blocked yet.
const LOSS_TTL: Duration = Duration::from_secs(60);

/// How long a call is blocked before each of its trials. A sound call that only ran
/// beside the crashes passes the first one. After the last one, the call is blocked until
/// it is forgotten.
const BLOCK_TIMES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_secs(40),
];

/// How long a blocked call is remembered after it came last.
const BLOCKED_TTL: Duration = Duration::from_secs(3_600);

/// How long the result of a trial is awaited before there is another one.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// How long trials avoid the start of an upstream that was lost, unless its successor
/// is listed before.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// How many lost starts are remembered for that.
const MAX_AVOIDED_COUNT: usize = 64;

/// The number of calls that are remembered; beyond that, the one that came least
/// recently is forgotten.
const MAX_SUSPECT_COUNT: usize = 1_024;

/// One start of an upstream: its id, and the Unix time in milliseconds.
pub type UpstreamStart = (UpstreamId, u64);

/// The result of a call that another host must know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvent {
    /// The connection was lost while an upstream ran the call.
    Lost {
        /// The upstream.
        upstream: UpstreamId,
        /// The Unix time in milliseconds at which the upstream started.
        started_at_ms: u64,
    },
    /// An upstream answered the call.
    Answered,
    /// The call came again, and may be blocked.
    Asked,
}

/// Whether a call may be sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It may be sent to one upstream, to find out whether it still crashes them, but to
    /// none that was lost lately: that would tell nothing.
    Trial(Vec<UpstreamStart>),
    /// It may not be sent before this time has passed.
    Blocked(Duration),
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The starts of upstreams that were lost, at most [`CAUSE_COUNT`].
    lost: Vec<UpstreamStart>,
    seen_at: Timestamp,
    blocked_until: Option<Timestamp>,
    /// The number of trials that failed.
    trial_count: usize,
    /// Until when the result of a trial is awaited.
    trial_until: Timestamp,
}

impl Suspect {
    fn is_outdated(&self, now: Timestamp) -> bool {
        let ttl = match self.blocked_until {
            Some(_) => BLOCKED_TTL,
            None => LOSS_TTL,
        };
        now.saturating_sub(self.seen_at) >= ttl
    }

    /// Returns whether one of the two calls may have crashed the upstreams of the other.
    /// Nobody knows which ones an earlier coordinator counted.
    fn shares_losses(&self, other: &Self) -> bool {
        let are_known = |suspect: &Self| suspect.lost.len() >= CAUSE_COUNT;
        !are_known(self)
            || !are_known(other)
            || self.lost.iter().any(|start| other.lost.contains(start))
    }

    /// Returns how long the call is blocked before its next trial, or `None` if it has
    /// none left.
    fn block_time(&self) -> Option<Duration> {
        BLOCK_TIMES.get(self.trial_count).copied()
    }

    fn block(&mut self, now: Timestamp) {
        self.blocked_until = Some(now + self.block_time().unwrap_or(BLOCKED_TTL));
    }

    fn record_loss(&mut self, start: UpstreamStart, now: Timestamp) {
        if !self.lost.contains(&start) && self.lost.len() < CAUSE_COUNT {
            self.lost.push(start);
        }
        match self.blocked_until {
            // The call was under way when it was blocked.
            Some(until) if now < until => {}
            // A trial failed, however long it took.
            Some(_) => {
                self.trial_until = Duration::ZERO;
                self.trial_count += 1;
                self.block(now);
            }
            None if self.lost.len() >= CAUSE_COUNT => self.block(now),
            None => {}
        }
    }

    /// Returns until when the call may not be sent, or `None` if it is not blocked. From
    /// that time on, it may be tried.
    fn blocked_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.blocked_until?;
        Some(match self.block_time() {
            Some(_) => until.max(self.trial_until),
            None => now + BLOCKED_TTL,
        })
    }
}

/// The calls under which upstreams were lost.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The starts of upstreams that were lost lately under any call, and when.
    lost: VecDeque<(UpstreamStart, Timestamp)>,
}

impl CrashLedger {
    /// Records `event` of a call, and returns whether the call may be sent.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        event: &CrashEvent,
        now: Timestamp,
    ) -> Verdict {
        if self
            .suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.is_outdated(now))
        {
            self.suspects.remove(&fingerprint);
        }
        match event {
            CrashEvent::Answered => {
                self.suspects.remove(&fingerprint);
                Verdict::Free
            }
            CrashEvent::Asked => self.ask(fingerprint, now),
            CrashEvent::Lost {
                upstream,
                started_at_ms,
            } => {
                let start = (upstream.clone(), *started_at_ms);
                self.remember_lost(start.clone(), now);
                self.make_room(now);
                let suspect = self.suspects.entry(fingerprint).or_default();
                suspect.seen_at = now;
                suspect.record_loss(start, now);
                match suspect.blocked_until {
                    None => Verdict::Free,
                    Some(until) => Verdict::Blocked(until.saturating_sub(now)),
                }
            }
        }
    }

    fn remember_lost(&mut self, start: UpstreamStart, now: Timestamp) {
        self.lost
            .retain(|(other, at)| *other != start && now.saturating_sub(*at) < AVOID_TIME);
        self.lost.push_back((start, now));
        if self.lost.len() > MAX_AVOIDED_COUNT {
            self.lost.pop_front();
        }
    }

    /// Returns whether the call may be sent. Its trial waits for those of calls that lost
    /// the same upstreams: beside the cause, a sound call would be lost again.
    fn ask(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Verdict {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Verdict::Free;
        };
        suspect.seen_at = now;
        let Some(own_until) = suspect.blocked_until(now) else {
            return Verdict::Free;
        };
        let suspect = suspect.clone();
        let other_until = self
            .suspects
            .values()
            .filter(|other| other.trial_until > now && other.shares_losses(&suspect))
            .map(|other| other.trial_until)
            .max();
        let until = own_until.max(other_until.unwrap_or_default());
        if until > now {
            return Verdict::Blocked(until.saturating_sub(now));
        }
        self.suspects.entry(fingerprint).or_default().trial_until = now + TRIAL_TIME;
        let avoided = self
            .lost
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < AVOID_TIME);
        Verdict::Trial(avoided.map(|(start, _)| start.clone()).collect())
    }

    /// Drops what is outdated if there are too many suspects, and then the one that
    /// came least recently.
    fn make_room(&mut self, now: Timestamp) {
        bounded::make_room(
            &mut self.suspects,
            MAX_SUSPECT_COUNT,
            |suspect| suspect.is_outdated(now),
            |suspect| (suspect.blocked_until.is_some(), suspect.seen_at),
        );
    }

    /// Returns whether the call is remembered.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns whether the call is blocked, or may only be tried.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.blocked_until.is_some() && !suspect.is_outdated(now))
    }

    /// Returns the blocked calls with the number of their trials.
    pub fn blocked(&self, now: Timestamp) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.suspects
            .iter()
            .filter(move |(_, suspect)| {
                suspect.blocked_until.is_some() && !suspect.is_outdated(now)
            })
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.trial_count as u32))
    }

    /// Returns the calls under which fewer upstreams were lost than it takes to block
    /// them, and how many, the most first.
    pub fn suspected(&self, now: Timestamp) -> Vec<(Fingerprint, u32)> {
        let mut suspected: Vec<(Fingerprint, u32)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.blocked_until.is_none() && !suspect.is_outdated(now))
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.lost.len() as u32))
            .collect();
        suspected.sort_by_key(|(fingerprint, lost_count)| (Reverse(*lost_count), *fingerprint));
        suspected
    }

    /// Takes over the losses that another coordinator has counted.
    pub fn adopt_suspected(&mut self, fingerprint: Fingerprint, lost_count: u32, now: Timestamp) {
        self.make_room(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.seen_at = now;
        // The upstreams themselves are not published.
        while suspect.lost.len() < (lost_count as usize).min(CAUSE_COUNT - 1) {
            let number = suspect.lost.len() as u64;
            suspect.lost.push((UpstreamId::default(), number));
        }
    }

    /// Blocks a call that another coordinator blocked before.
    pub fn adopt(&mut self, fingerprint: Fingerprint, trial_count: u32, now: Timestamp) {
        self.make_room(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.seen_at = now;
        suspect.trial_count = suspect.trial_count.max(trial_count as usize);
        if suspect.blocked_until.is_none() {
            suspect.block(now);
        }
    }

    /// Returns how many calls are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
