//! What a replay counts over all parts.

use std::collections::{BTreeMap, BTreeSet};

use super::{table::Calls, world::World};
use crate::{
    clock::Timestamp,
    control::blackboard::HostState,
    engine::routing::Policy,
    ids::{HostId, Revision},
    share::fairness::Ranking,
};

/// How long after a disturbance a host may still be held for dead.
const RECOVERY: std::time::Duration = std::time::Duration::from_secs(10);

/// What was counted.
#[derive(Debug, Default)]
pub struct Tally {
    /// Changes that were accepted.
    pub accepted_count: u64,
    /// Changes that were refused.
    pub conflict_count: u64,
    /// Changes whose outcome stayed open.
    pub unresolved_edit_count: u64,
    /// Times that a host went back.
    pub revert_count: u64,
    /// The longest time until a change was in force.
    pub in_force: Timestamp,
    /// The calls.
    pub calls: Calls,
    /// Pairs of hosts of which one wrongly held the other for dead.
    pub wrong_deaths: BTreeSet<(HostId, HostId)>,
    /// The longest time until a death was known to all.
    pub detect: Timestamp,
    /// The longest time until a leaving engine got work.
    pub after_leaving: Timestamp,
    waiting: Vec<(Revision, Timestamp)>,
    revisions: BTreeMap<(HostId, u64), Revision>,
    killed: BTreeMap<HostId, Timestamp>,
    disturbed: BTreeMap<HostId, Timestamp>,
}

impl Tally {
    /// Counts an accepted change.
    pub fn accepted(&mut self, revision: Revision, now: Timestamp) {
        self.accepted_count += 1;
        self.waiting.push((revision, now));
    }

    /// Returns the changes that are not in force everywhere.
    pub fn not_in_force_count(&self) -> usize {
        self.waiting.len()
    }

    /// Notes the death of a host.
    pub fn host_killed(&mut self, host: &HostId, now: Timestamp) {
        self.killed.insert(host.clone(), now);
        self.disturbed.insert(host.clone(), Timestamp::MAX);
    }

    /// Notes that a host may be held for dead until some time after `until`.
    pub fn host_disturbed(&mut self, host: &HostId, until: Timestamp) {
        let known = self.disturbed.entry(host.clone()).or_default();
        *known = until.max(*known);
    }

    /// Notes that a host is back.
    pub fn host_started(&mut self, host: &HostId) {
        self.killed.remove(host);
        self.disturbed.remove(host);
    }

    /// Counts work that an engine got after it said that it leaves.
    pub fn work_after_leaving(&mut self, after: Timestamp) {
        self.after_leaving = self.after_leaving.max(after);
    }

    fn may_seem_dead(&self, host: &HostId, now: Timestamp) -> bool {
        self.disturbed
            .get(host)
            .is_some_and(|until| now < until.saturating_add(RECOVERY))
    }
}

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Looks at what all hosts believe.
    pub(super) fn observe(&mut self) {
        self.observe_table();
        self.observe_members();
    }

    fn observe_table(&mut self) {
        let mut lowest = Revision::MAX;
        for (id, node) in &self.nodes {
            let Some(control) = &node.control else {
                continue;
            };
            let revision = control.board().rows.revision;
            let known = self
                .tally
                .revisions
                .entry((id.clone(), node.life))
                .or_default();
            self.tally.revert_count += u64::from(revision < *known);
            *known = revision;
            let is_reached = !self.cut_off.contains(id) && node.is_running(self.now);
            if is_reached {
                lowest = lowest.min(revision);
            }
        }
        let (now, tally) = (self.now, &mut self.tally);
        tally.waiting.retain(|(revision, accepted_at)| {
            let is_waiting = *revision > lowest;
            if !is_waiting {
                tally.in_force = tally.in_force.max(now.saturating_sub(*accepted_at));
            }
            is_waiting
        });
    }

    fn observe_members(&mut self) {
        let now = self.now;
        let mut believed: BTreeMap<HostId, usize> = BTreeMap::new();
        let mut live_count = 0;
        for (id, node) in &self.nodes {
            let Some(control) = node.control.as_ref().filter(|_| node.is_running(now)) else {
                continue;
            };
            live_count += 1;
            for member in control.board().hosts.members.values() {
                if member.state != HostState::Dead {
                    continue;
                }
                *believed.entry(member.id.clone()).or_default() += 1;
                let is_live = self
                    .nodes
                    .get(&member.id)
                    .is_some_and(|other| other.is_running(now));
                if is_live && !self.tally.may_seem_dead(&member.id, now) && member.id != *id {
                    let pair = (id.clone(), member.id.clone());
                    self.tally.wrong_deaths.insert(pair);
                }
            }
        }
        let tally = &mut self.tally;
        tally.killed.retain(|host, killed_at| {
            let is_known = believed.get(host).copied().unwrap_or(0) == live_count;
            if is_known {
                tally.detect = tally.detect.max(now.saturating_sub(*killed_at));
            }
            !is_known
        });
    }
}
