//! Counts the tokens served for each row over the whole fleet.
//!
//! Hosts differ in which rows ask them, so equal treatment on each host is not
//! equal over the fleet. Counts flow up a shallow tree of hosts and the totals
//! flow down; each host corrects its local shares by them (see
//! docs/design/shares.md). All of it is soft: without news the corrections fade.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

pub use crate::share::ledger_message::{Action, Count, Counts, Event, Level, Message};
use crate::{
    clock::Timestamp,
    control::{
        blackboard::{Blackboard, ServedCount},
        controller::{self, Round},
        decision::{Decision, Kind},
    },
    engine::rendezvous,
    ids::{HostId, Incarnation, RowId},
    share::{correction::Corrector, dispatch::RowLoad, shares},
};

/// The most hosts or groups that one group gathers, about.
pub const FAN_OUT: u64 = 12;

/// The time between two reports of a host in a fleet of one level.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two reports of a host in a larger fleet.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a silent child or root is still counted on.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The time between two records of how the rows stand.
const RECORD_INTERVAL: Duration = Duration::from_secs(60);

/// What one child last reported at one level.
#[derive(Debug)]
struct Child {
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Timestamp,
    counts: Counts,
}

/// The sums of what children reported at one level.
#[derive(Debug, Default)]
struct Group {
    children: BTreeMap<HostId, Child>,
    served_tokens: BTreeMap<RowId, u64>,
}

impl Group {
    /// Adds what a child served since it was last heard.
    ///
    /// A child that is new here, or started again, adds nothing yet: another
    /// host may have counted what it served before.
    fn absorb(&mut self, from: &HostId, report: Child) {
        if let Some(last) = self.children.get(from) {
            let is_old = (report.incarnation, report.sequence) <= (last.incarnation, last.sequence);
            if is_old {
                return;
            }
            if report.incarnation == last.incarnation {
                for (row, count) in &report.counts {
                    let before = last.counts.get(row).copied().unwrap_or_default();
                    let gained = count.served_tokens.saturating_sub(before.served_tokens);
                    *self.served_tokens.entry(row.clone()).or_default() += gained;
                }
            }
        }
        self.children.insert(from.clone(), report);
    }

    fn forget_silent(&mut self, now: Timestamp) {
        self.children
            .retain(|_, child| now.saturating_sub(child.heard_at) < SILENCE_TIMEOUT);
    }

    fn counts(&self) -> Counts {
        let mut counts: Counts = self
            .served_tokens
            .iter()
            .map(|(row, &served_tokens)| {
                let count = Count {
                    served_tokens,
                    backlog_tokens: 0,
                };
                (row.clone(), count)
            })
            .collect();
        for child in self.children.values() {
            for (row, count) in &child.counts {
                counts.entry(row.clone()).or_default().backlog_tokens += count.backlog_tokens;
            }
        }
        counts
    }
}

/// The totals that this host goes by.
#[derive(Debug)]
struct Adopted {
    root: HostId,
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Timestamp,
    counts: Counts,
}

/// The ledger of one host.
///
/// # Examples
///
/// ```
/// use mimosavane::share::ledger::Controller;
///
/// let ledger = Controller::new("entry-1", 1);
/// assert!(ledger.corrections().is_empty());
/// ```
#[derive(Debug)]
pub struct Controller {
    host: HostId,
    incarnation: Incarnation,
    sequence: u64,
    own: Counts,
    groups: BTreeMap<Level, Group>,
    adopted: Option<Adopted>,
    corrector: Corrector,
    reported_at: Option<Timestamp>,
    recorded_at: Timestamp,
}

impl Controller {
    /// Makes the ledger of one life of `host`.
    pub fn new(host: impl Into<HostId>, incarnation: Incarnation) -> Self {
        Self {
            host: host.into(),
            incarnation,
            sequence: 0,
            own: Counts::new(),
            groups: BTreeMap::new(),
            adopted: None,
            corrector: Corrector::default(),
            reported_at: None,
            recorded_at: Timestamp::ZERO,
        }
    }

    /// Returns the factors by which local shares are multiplied.
    pub fn corrections(&self) -> BTreeMap<RowId, f64> {
        self.corrector.factors()
    }

    /// Takes what the dispatcher charged; refunds do not lower a counter.
    fn count_own(&mut self, loads: BTreeMap<RowId, RowLoad>) {
        for (row, load) in loads {
            let count = self.own.entry(row).or_default();
            count.served_tokens = count.served_tokens.max(load.counted_tokens as u64);
            count.backlog_tokens = load.backlog_tokens as u64;
        }
    }

    fn receive(&mut self, from: HostId, message: Message, round: &mut Round<'_>) -> Vec<Action> {
        match message {
            Message::Report {
                level,
                incarnation,
                sequence,
                counts,
            } => {
                let report = Child {
                    incarnation,
                    sequence,
                    heard_at: round.now,
                    counts,
                };
                self.groups
                    .entry(level + 1)
                    .or_default()
                    .absorb(&from, report);
                Vec::new()
            }
            Message::Totals {
                root,
                incarnation,
                sequence,
                counts,
            } => {
                let totals = Adopted {
                    root,
                    incarnation,
                    sequence,
                    heard_at: round.now,
                    counts,
                };
                self.adopt(totals, round)
            }
        }
    }

    /// Goes by new totals and hands them on to all children.
    ///
    /// The first totals of another root only set where counting starts. A root
    /// is kept while it is heard, as two may be at work for a while.
    fn adopt(&mut self, totals: Adopted, round: &mut Round<'_>) -> Vec<Action> {
        if let Some(last) = &self.adopted {
            let is_same = last.root == totals.root && last.incarnation == totals.incarnation;
            let is_silent = round.now.saturating_sub(last.heard_at) >= SILENCE_TIMEOUT;
            let is_old = is_same && totals.sequence <= last.sequence;
            let is_older_life = last.root == totals.root && totals.incarnation < last.incarnation;
            let is_rival = last.root != totals.root && !is_silent;
            if is_old || is_older_life || is_rival {
                return Vec::new();
            }
            if is_same {
                let elapsed = round.now.saturating_sub(last.heard_at);
                let served = gained(&last.counts, &totals.counts);
                let shares = shares(&round.board.rows);
                self.corrector
                    .update(&shares, &served, &totals.counts, elapsed);
            }
        }
        publish(round.board, &totals);
        let message = Arc::new(Message::Totals {
            root: totals.root.clone(),
            incarnation: totals.incarnation,
            sequence: totals.sequence,
            counts: totals.counts.clone(),
        });
        self.adopted = Some(totals);
        self.children()
            .map(|to| Action::Send {
                to,
                message: message.clone(),
            })
            .collect()
    }

    fn children(&self) -> impl Iterator<Item = HostId> {
        let mut children: Vec<HostId> = self
            .groups
            .values()
            .flat_map(|group| group.children.keys())
            .filter(|child| **child != self.host)
            .cloned()
            .collect();
        children.sort_unstable();
        children.dedup();
        children.into_iter()
    }

    /// Sends counts up, level by level; this host may stand on several.
    fn report(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let hosts: Vec<HostId> = round
            .board
            .hosts
            .live()
            .map(|host| host.id.clone())
            .collect();
        let depth = depth(hosts.len());
        let interval = if depth > 1 {
            REPORT_INTERVAL
        } else {
            SMALL_FLEET_INTERVAL
        };
        let is_due = self
            .reported_at
            .is_none_or(|at| round.now.saturating_sub(at) >= interval);
        if !is_due {
            return Vec::new();
        }
        self.reported_at = Some(round.now);
        self.sequence += 1;
        let mut actions = Vec::new();
        for level in 0..depth {
            let Some(counts) = self.counts_at(level, round.now) else {
                continue;
            };
            let Some(to) = coordinator(&self.host, level + 1, depth, &hosts) else {
                continue;
            };
            let message = Message::Report {
                level,
                incarnation: self.incarnation,
                sequence: self.sequence,
                counts,
            };
            if *to == self.host {
                self.receive(self.host.clone(), message, round);
            } else {
                actions.push(Action::Send {
                    to: to.clone(),
                    message: message.into(),
                });
            }
        }
        actions.extend(self.total(depth, round));
        actions
    }

    /// Returns what this host reports at `level`, if it gathers anything there.
    fn counts_at(&mut self, level: Level, now: Timestamp) -> Option<Counts> {
        if level == 0 {
            return Some(self.own.clone());
        }
        let group = self.groups.get_mut(&level)?;
        group.forget_silent(now);
        if group.children.is_empty() {
            return None;
        }
        Some(group.counts())
    }

    /// Publishes the totals if this host gathers the highest level.
    fn total(&mut self, depth: Level, round: &mut Round<'_>) -> Vec<Action> {
        let Some(counts) = self.counts_at(depth, round.now) else {
            return Vec::new();
        };
        let totals = Adopted {
            root: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            heard_at: round.now,
            counts,
        };
        self.adopt(totals, round)
    }

    /// Records now and then how the rows stand, for disputes about shares.
    fn record(&mut self, round: &mut Round<'_>) {
        let Some(totals) = &self.adopted else {
            return;
        };
        if round.now.saturating_sub(self.recorded_at) < RECORD_INTERVAL {
            return;
        }
        self.recorded_at = round.now;
        let factors = self.corrector.factors();
        for (row, count) in &totals.counts {
            let factor = factors.get(row).copied().unwrap_or(1.0);
            round.decisions.push(
                Decision::new(Kind::Share, round.now, "share corrected")
                    .about(row.clone())
                    .figure("served_tokens", count.served_tokens as f64)
                    .figure("backlog_tokens", count.backlog_tokens as f64)
                    .figure("correction_ratio", factor),
            );
        }
    }

    /// Lets corrections fade when no totals arrive.
    fn fade(&mut self, now: Timestamp) {
        let is_silent = self
            .adopted
            .as_ref()
            .is_some_and(|last| now.saturating_sub(last.heard_at) >= SILENCE_TIMEOUT);
        if is_silent {
            self.corrector.reset();
        }
    }
}

impl controller::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "ledger";

    fn run(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        mut round: Round<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            match event {
                Event::Received { from, message } => {
                    actions.extend(self.receive(from, message, &mut round));
                }
                Event::Loads(loads) => self.count_own(loads),
            }
        }
        actions.extend(self.report(&mut round));
        self.fade(round.now);
        self.record(&mut round);
        actions
    }
}

/// Returns how many levels gather a fleet of `host_count`.
pub fn depth(host_count: usize) -> Level {
    let mut depth = 1;
    let mut reach = FAN_OUT;
    while reach < host_count as u64 {
        reach *= FAN_OUT;
        depth += 1;
    }
    depth
}

/// Returns the host that gathers the group of `host` at `level`.
///
/// Groups are fixed by the hash of the name, so that a host that joins or
/// leaves moves nobody else to another group.
fn coordinator<'a>(
    host: &HostId,
    level: Level,
    depth: Level,
    hosts: &'a [HostId],
) -> Option<&'a HostId> {
    let group_count = FAN_OUT.pow(depth.saturating_sub(level));
    let group = |host: &HostId| rendezvous::key([host.as_bytes()]) % group_count;
    let own = group(host);
    let key = rendezvous::key([
        b"ledger".as_slice(),
        &level.to_le_bytes(),
        &own.to_le_bytes(),
    ]);
    rendezvous::owner(key, hosts.iter().filter(|other| group(other) == own))
}

fn gained(before: &Counts, after: &Counts) -> BTreeMap<RowId, f64> {
    after
        .iter()
        .map(|(row, count)| {
            let last = before.get(row).copied().unwrap_or_default();
            let gained = count.served_tokens.saturating_sub(last.served_tokens);
            (row.clone(), gained as f64)
        })
        .collect()
}

fn publish(board: &mut Blackboard, totals: &Adopted) {
    let fleet = totals
        .counts
        .iter()
        .map(|(row, count)| {
            let served = ServedCount {
                incarnation: totals.incarnation,
                served_tokens: count.served_tokens,
                backlog_tokens: count.backlog_tokens,
            };
            (row.clone(), served)
        })
        .collect();
    Arc::make_mut(&mut board.served).fleet = fleet;
}
