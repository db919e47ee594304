//! Counts what the outcomes of a trace are checked against, across all parts.

use std::collections::{BTreeMap, BTreeSet};

use super::{table::Calls, world::World};
use crate::{
    clock::Timestamp,
    control::blackboard::HostState,
    engine::routing::Policy,
    ids::{HostId, Revision},
    share::fairness::Ranking,
};

/// How long after the end of a fault a host may still be considered dead.
const RECOVERY_TIME: std::time::Duration = std::time::Duration::from_secs(10);

/// The counts and delays of one replay.
#[derive(Debug, Default)]
pub struct Tally {
    /// The number of table changes that were accepted.
    pub accepted_count: u64,
    /// The number of table changes that were refused.
    pub conflict_count: u64,
    /// The number of table changes whose outcome stayed unknown.
    pub unresolved_edit_count: u64,
    /// The number of times that a host went back to an older table revision.
    pub revert_count: u64,
    /// The longest time from the acceptance of a change until it was in force.
    pub max_in_force_delay: Timestamp,
    /// The counts of the calls.
    pub calls: Calls,
    /// Pairs of hosts of which the first wrongly considered the second dead.
    pub wrong_deaths: BTreeSet<(HostId, HostId)>,
    /// The longest time until all live hosts detected the death of a host.
    pub max_detection_delay: Timestamp,
    /// The longest time after an engine started to leave at which it was still
    /// given work.
    pub max_work_after_leaving: Timestamp,
    /// Accepted changes that are not in force yet, with their acceptance times.
    pending_changes: Vec<(Revision, Timestamp)>,
    /// The last table revision of each host, by the host's start count.
    revisions: BTreeMap<(HostId, u64), Revision>,
    /// When each host died, until its death is detected everywhere.
    killed_at: BTreeMap<HostId, Timestamp>,
    /// The end of the last fault of each host.
    disturbed_until: BTreeMap<HostId, Timestamp>,
}

impl Tally {
    /// Records an accepted change.
    pub fn record_accepted(&mut self, revision: Revision, now: Timestamp) {
        self.accepted_count += 1;
        self.pending_changes.push((revision, now));
    }

    /// Returns the number of changes that are not in force everywhere.
    pub fn not_in_force_count(&self) -> usize {
        self.pending_changes.len()
    }

    /// Records the death of a host.
    pub fn record_kill(&mut self, host: &HostId, now: Timestamp) {
        self.killed_at.insert(host.clone(), now);
        self.disturbed_until.insert(host.clone(), Timestamp::MAX);
    }

    /// Records that a host is affected by a fault until `until`. It may be
    /// considered dead until [`RECOVERY_TIME`] later.
    pub fn record_disturbance(&mut self, host: &HostId, until: Timestamp) {
        let latest = self.disturbed_until.entry(host.clone()).or_default();
        *latest = until.max(*latest);
    }

    /// Records that a host has started.
    pub fn record_start(&mut self, host: &HostId) {
        self.killed_at.remove(host);
        self.disturbed_until.remove(host);
    }

    /// Records that an engine was given work `after` it reported to be leaving.
    pub fn record_work_after_leaving(&mut self, after: Timestamp) {
        self.max_work_after_leaving = self.max_work_after_leaving.max(after);
    }

    fn may_be_considered_dead(&self, host: &HostId, now: Timestamp) -> bool {
        self.disturbed_until
            .get(host)
            .is_some_and(|until| now < until.saturating_add(RECOVERY_TIME))
    }
}

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Checks the table revision and the membership view of every host.
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
            let last_revision = self
                .tally
                .revisions
                .entry((id.clone(), node.start_count))
                .or_default();
            self.tally.revert_count += u64::from(revision < *last_revision);
            *last_revision = revision;
            let is_reachable = !self.partitioned_hosts.contains(id) && node.is_running(self.now);
            if is_reachable {
                lowest = lowest.min(revision);
            }
        }
        let (now, tally) = (self.now, &mut self.tally);
        tally.pending_changes.retain(|(revision, accepted_at)| {
            let is_pending = *revision > lowest;
            if !is_pending {
                tally.max_in_force_delay = tally
                    .max_in_force_delay
                    .max(now.saturating_sub(*accepted_at));
            }
            is_pending
        });
    }

    fn observe_members(&mut self) {
        let now = self.now;
        let mut dead_view_counts: BTreeMap<HostId, usize> = BTreeMap::new();
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
                *dead_view_counts.entry(member.id.clone()).or_default() += 1;
                let is_live = self
                    .nodes
                    .get(&member.id)
                    .is_some_and(|other| other.is_running(now));
                if is_live
                    && !self.tally.may_be_considered_dead(&member.id, now)
                    && member.id != *id
                {
                    let pair = (id.clone(), member.id.clone());
                    self.tally.wrong_deaths.insert(pair);
                }
            }
        }
        let tally = &mut self.tally;
        tally.killed_at.retain(|host, killed_at| {
            let is_detected = dead_view_counts.get(host).copied().unwrap_or(0) == live_count;
            if is_detected {
                tally.max_detection_delay = tally
                    .max_detection_delay
                    .max(now.saturating_sub(*killed_at));
            }
            !is_detected
        });
    }
}
