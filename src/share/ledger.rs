//! Counts the tokens served for each row over the whole fleet.
//!
//! Hosts receive requests of different rows, so dividing by share on each host
//! does not divide by share over the fleet. Counts flow up a shallow tree of
//! hosts and the totals flow down; each host corrects its local shares by them
//! (see docs/design/shares.md). All of this is soft state: without new totals the
//! corrections are dropped.

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

/// The approximate maximum number of hosts or groups that a group aggregates.
pub const FAN_OUT: u64 = 12;

/// The time between two reports of a host in a fleet of one level.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two reports of a host in a larger fleet.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long after its last message a child or root counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The time between two decision records of the rows' shares.
const RECORD_INTERVAL: Duration = Duration::from_secs(60);

/// The last report of one child at one level.
#[derive(Debug)]
struct Child {
    incarnation: Incarnation,
    sequence: u64,
    received_at: Timestamp,
    counts: Counts,
}

/// The reports of all children at one level, and their sums.
#[derive(Debug, Default)]
struct Group {
    children: BTreeMap<HostId, Child>,
    served_tokens: BTreeMap<RowId, u64>,
}

impl Group {
    /// Adds the tokens that a child served since its last report.
    ///
    /// The first report of a new or restarted child adds nothing: another host
    /// may have counted what the child served before.
    fn add_report(&mut self, from: &HostId, report: Child) {
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

    fn evict_silent(&mut self, now: Timestamp) {
        self.children
            .retain(|_, child| now.saturating_sub(child.received_at) < SILENCE_TIMEOUT);
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

/// The fleet's totals that this host currently uses.
#[derive(Debug)]
struct AdoptedTotals {
    root: HostId,
    incarnation: Incarnation,
    sequence: u64,
    received_at: Timestamp,
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
    own_counts: Counts,
    groups: BTreeMap<Level, Group>,
    adopted: Option<AdoptedTotals>,
    corrector: Corrector,
    reported_at: Option<Timestamp>,
    recorded_at: Timestamp,
}

impl Controller {
    /// Creates the ledger of one incarnation of `host`.
    pub fn new(host: impl Into<HostId>, incarnation: Incarnation) -> Self {
        Self {
            host: host.into(),
            incarnation,
            sequence: 0,
            own_counts: Counts::new(),
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

    /// Updates this host's counters from the dispatcher's loads; refunds do not
    /// lower a counter.
    fn update_own_counts(&mut self, loads: BTreeMap<RowId, RowLoad>) {
        for (row, load) in loads {
            let count = self.own_counts.entry(row).or_default();
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
                    received_at: round.now,
                    counts,
                };
                self.groups
                    .entry(level + 1)
                    .or_default()
                    .add_report(&from, report);
                Vec::new()
            }
            Message::Totals {
                root,
                incarnation,
                sequence,
                counts,
            } => {
                let totals = AdoptedTotals {
                    root,
                    incarnation,
                    sequence,
                    received_at: round.now,
                    counts,
                };
                self.adopt(totals, round)
            }
        }
    }

    /// Adopts new totals and forwards them to all children.
    ///
    /// The first totals of another root only set the baseline for later ones. The
    /// present root is kept until it is silent, as two roots may be active for a
    /// while.
    fn adopt(&mut self, totals: AdoptedTotals, round: &mut Round<'_>) -> Vec<Action> {
        if let Some(last) = &self.adopted {
            let is_same_incarnation =
                last.root == totals.root && last.incarnation == totals.incarnation;
            let is_silent = round.now.saturating_sub(last.received_at) >= SILENCE_TIMEOUT;
            let is_old = is_same_incarnation && totals.sequence <= last.sequence;
            let is_old_incarnation =
                last.root == totals.root && totals.incarnation < last.incarnation;
            let is_rival_root = last.root != totals.root && !is_silent;
            if is_old || is_old_incarnation || is_rival_root {
                return Vec::new();
            }
            if is_same_incarnation {
                let elapsed = round.now.saturating_sub(last.received_at);
                let served = served_between(&last.counts, &totals.counts);
                let shares = shares(&round.board.rows);
                self.corrector
                    .update(&shares, &served, &totals.counts, elapsed);
            }
        }
        write_totals(round.board, &totals);
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

    /// Sends counts up the tree; this host may coordinate groups on several levels.
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
        actions.extend(self.publish_totals(depth, round));
        actions
    }

    /// Returns the counts that this host reports at `level`, or `None` if it
    /// aggregates no group there.
    fn counts_at(&mut self, level: Level, now: Timestamp) -> Option<Counts> {
        if level == 0 {
            return Some(self.own_counts.clone());
        }
        let group = self.groups.get_mut(&level)?;
        group.evict_silent(now);
        if group.children.is_empty() {
            return None;
        }
        Some(group.counts())
    }

    /// Adopts and forwards the totals if this host aggregates the top level.
    fn publish_totals(&mut self, depth: Level, round: &mut Round<'_>) -> Vec<Action> {
        let Some(counts) = self.counts_at(depth, round.now) else {
            return Vec::new();
        };
        let totals = AdoptedTotals {
            root: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            received_at: round.now,
            counts,
        };
        self.adopt(totals, round)
    }

    /// Records the rows' shares once per [`RECORD_INTERVAL`], as evidence in
    /// disputes about shares.
    fn record_shares(&mut self, round: &mut Round<'_>) {
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

    /// Drops all corrections if no totals arrived for [`SILENCE_TIMEOUT`].
    fn reset_if_silent(&mut self, now: Timestamp) {
        let is_silent = self
            .adopted
            .as_ref()
            .is_some_and(|last| now.saturating_sub(last.received_at) >= SILENCE_TIMEOUT);
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
                Event::Loads(loads) => self.update_own_counts(loads),
            }
        }
        actions.extend(self.report(&mut round));
        self.reset_if_silent(round.now);
        self.record_shares(&mut round);
        actions
    }
}

/// Returns how many levels of the tree aggregate a fleet of `host_count` hosts.
pub fn depth(host_count: usize) -> Level {
    let mut depth = 1;
    let mut reach = FAN_OUT;
    while reach < host_count as u64 {
        reach *= FAN_OUT;
        depth += 1;
    }
    depth
}

/// Returns the host that aggregates the group of `host` at `level`.
///
/// Groups are determined by the hash of the host's name, so that a host that
/// joins or leaves moves no other host to another group.
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

/// Returns the tokens that each row was served between two totals.
fn served_between(before: &Counts, after: &Counts) -> BTreeMap<RowId, f64> {
    after
        .iter()
        .map(|(row, count)| {
            let last = before.get(row).copied().unwrap_or_default();
            let gained = count.served_tokens.saturating_sub(last.served_tokens);
            (row.clone(), gained as f64)
        })
        .collect()
}

/// Writes the totals to the blackboard.
fn write_totals(board: &mut Blackboard, totals: &AdoptedTotals) {
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
