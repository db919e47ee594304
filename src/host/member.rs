//! The member list, and the precedence between updates about a member.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::Timestamp,
    control::blackboard::{Blackboard, Host, HostState},
    host::{
        flap::{Damper, REFUTE_PENALTY, RETURN_PENALTY},
        gossip::{Location, Update},
    },
    ids::{HostId, Incarnation, Region},
};

mod selection;

/// The time for which a dead or leaving member is kept, so that old updates
/// about it do not bring it back.
const TOMBSTONE_TTL: Duration = Duration::from_secs(600);
/// The time for which an unreachable member is kept.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2 * 3600);
/// The maximum number of members that are kept.
const MAX_MEMBER_COUNT: usize = 4096;

/// A member in this host's view.
#[derive(Clone, Debug)]
pub struct Member {
    /// The entry that is published on the blackboard.
    pub host: Host,
    /// The penalty for flapping.
    pub damper: Damper,
    /// The time of the last direct message from the member.
    pub last_heard_at: Timestamp,
    /// The time at which the member entered its state.
    pub state_since: Timestamp,
    /// The number of times that this host checked the member since the suspicion
    /// began.
    check_count: u32,
    /// The time at which the state expires, if it does.
    deadline: Option<Timestamp>,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The member.
    pub host: HostId,
    /// The previous state; `None` for a new member.
    pub from: Option<HostState>,
    /// The new state.
    pub to: HostState,
    /// The incarnation that the state applies to.
    pub incarnation: Incarnation,
    /// The time since the last direct message from the member.
    pub silence: Duration,
}

/// The members by id.
#[derive(Debug)]
pub struct MemberList {
    own: HostId,
    members: BTreeMap<HostId, Member>,
    /// The time of the last direct message from each region.
    regions: BTreeMap<Region, Timestamp>,
    /// The deadlines of states that expire, earliest first.
    deadlines: BTreeSet<(Timestamp, HostId)>,
    /// The members in the order in which they are probed.
    probe_order: Vec<HostId>,
    next_probe_index: usize,
    /// The members whose entry on the blackboard is outdated.
    unpublished: BTreeSet<HostId>,
}

impl MemberList {
    /// Creates a list that contains only this host.
    pub fn new(own: Host) -> Self {
        let mut list = Self {
            own: own.id.clone(),
            members: BTreeMap::new(),
            regions: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            probe_order: Vec::new(),
            next_probe_index: 0,
            unpublished: BTreeSet::from([own.id.clone()]),
        };
        list.members
            .insert(own.id.clone(), Member::new(own, Timestamp::ZERO));
        list
    }

    /// Returns the member with the id `host`.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members whose ids follow `after`.
    pub fn after(&self, after: &str) -> impl Iterator<Item = &Member> {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        self.members
            .range::<str, _>(range)
            .map(|(_, member)| member)
    }

    /// Returns the number of members in the list, in any state.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of probed members plus this host.
    pub fn live_count(&self) -> usize {
        self.probe_order.len() + 1
    }

    /// Returns the time of the last direct message from any host of `region`.
    pub fn region_last_heard_at(&self, region: &str) -> Option<Timestamp> {
        self.regions.get(region).copied()
    }

    /// Updates this host's own entry.
    pub fn set_own(&mut self, incarnation: Incarnation, state: HostState) {
        if let Some(member) = self.members.get_mut(&self.own) {
            member.host.incarnation = incarnation;
            member.host.state = state;
            self.unpublished.insert(self.own.clone());
        }
    }

    /// Records a direct message from `host`, which shows that the host runs.
    pub fn record_contact(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Transition> {
        let member = self.members.get_mut(host)?;
        if incarnation < member.host.incarnation || *host == self.own {
            return None;
        }
        self.regions.insert(member.host.region.clone(), now);
        let state = member.host.state;
        let is_restarted = incarnation > member.host.incarnation;
        let is_revived = match state {
            HostState::Suspect | HostState::Unreachable => true,
            HostState::Dead => is_restarted,
            HostState::Alive | HostState::Damped | HostState::Leaving => false,
        };
        let transition = if is_revived {
            self.mark_alive(host, incarnation, now)
        } else {
            None
        };
        if let Some(member) = self.members.get_mut(host) {
            member.last_heard_at = now;
        }
        transition
    }

    /// Applies an update about another member if it overrides the known state.
    ///
    /// A higher incarnation wins. At the same incarnation `Suspect` overrides
    /// `Alive`, and `Dead` and `Leaving` override both.
    pub fn apply(&mut self, update: &Update, now: Timestamp) -> Option<Transition> {
        if update.host == self.own {
            return None;
        }
        let Some(member) = self.members.get_mut(&update.host) else {
            return self.insert(update, now);
        };
        let is_newer = update.incarnation > member.host.incarnation;
        if !is_newer
            && (update.incarnation < member.host.incarnation
                || !overrides(update.state, member.host.state))
        {
            return None;
        }
        if let Some(location) = &update.location {
            member.host.set_location(location);
        }
        match update.state {
            HostState::Alive => self.mark_alive(&update.host, update.incarnation, now),
            state => self.change(&update.host, update.incarnation, state, now),
        }
    }

    /// Sets the state of a member.
    pub fn change(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        state: HostState,
        now: Timestamp,
    ) -> Option<Transition> {
        let member = self.members.get_mut(host)?;
        let from = member.host.state;
        let is_unchanged = from == state && member.host.incarnation == incarnation;
        if is_unchanged {
            return None;
        }
        member.host.state = state;
        member.host.incarnation = incarnation;
        member.state_since = now;
        member.check_count = 0;
        let transition = Transition {
            host: host.clone(),
            from: Some(from),
            to: state,
            incarnation,
            silence: now.saturating_sub(member.last_heard_at),
        };
        let deadline = match state {
            HostState::Dead | HostState::Leaving => Some(now + TOMBSTONE_TTL),
            HostState::Unreachable => Some(now + UNREACHABLE_TTL),
            HostState::Damped => Some(member.damper.release_at()),
            HostState::Alive | HostState::Suspect => None,
        };
        self.set_deadline(host, deadline);
        self.unpublished.insert(host.clone());
        Some(transition)
    }

    /// Sets the time at which the state of a member expires.
    pub fn set_deadline(&mut self, host: &HostId, deadline: Option<Timestamp>) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if let Some(old) = member.deadline.take() {
            self.deadlines.remove(&(old, host.clone()));
        }
        member.deadline = deadline;
        if let Some(at) = deadline {
            self.deadlines.insert((at, host.clone()));
        }
    }

    /// Extends all suspicions by `gap`, after a pause of this process.
    pub fn postpone_suspicions(&mut self, gap: Duration) {
        let suspects: Vec<(HostId, Timestamp)> = self
            .members
            .values()
            .filter(|member| member.host.state == HostState::Suspect)
            .filter_map(|member| Some((member.host.id.clone(), member.deadline?)))
            .collect();
        for (host, deadline) in suspects {
            self.set_deadline(&host, Some(deadline + gap));
        }
    }

    /// Removes the earliest deadline that has passed, and returns its member.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<HostId> {
        let (at, host) = self.deadlines.first()?.clone();
        if at > now {
            return None;
        }
        self.set_deadline(&host, None);
        Some(host)
    }

    /// Increments the number of checks of a suspect, and returns the new number.
    pub fn increment_check_count(&mut self, host: &HostId) -> u32 {
        let Some(member) = self.members.get_mut(host) else {
            return 0;
        };
        member.check_count += 1;
        member.check_count
    }

    /// Ends the damping of a member whose penalty has decayed, or extends its
    /// deadline.
    pub fn release(&mut self, host: &HostId, now: Timestamp) -> Option<Transition> {
        let member = self.members.get_mut(host)?;
        let incarnation = member.host.incarnation;
        if member.damper.release(now) {
            return self.change(host, incarnation, HostState::Alive, now);
        }
        let at = member.damper.release_at();
        self.set_deadline(host, Some(at));
        None
    }

    /// Removes a member from the list.
    pub fn remove(&mut self, host: &HostId) {
        self.set_deadline(host, None);
        self.members.remove(host);
        self.unpublished.insert(host.clone());
    }

    /// Publishes changed members on the blackboard.
    pub fn publish(&mut self, board: &mut Blackboard) {
        if self.unpublished.is_empty() {
            return;
        }
        let hosts = Arc::make_mut(&mut board.hosts);
        for id in std::mem::take(&mut self.unpublished) {
            match self.members.get(&id) {
                Some(member) => {
                    hosts.members.insert(id, member.host.clone());
                }
                None => {
                    hosts.members.remove(&id);
                }
            }
        }
    }

    /// Marks a member alive, or damped if it flaps.
    fn mark_alive(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Transition> {
        let member = self.members.get_mut(host)?;
        match member.host.state {
            HostState::Dead => member.damper.add(RETURN_PENALTY, now),
            HostState::Unreachable | HostState::Leaving => {}
            _ if incarnation > member.host.incarnation => member.damper.add(REFUTE_PENALTY, now),
            _ => {}
        }
        let state = if member.damper.is_suppressed() {
            HostState::Damped
        } else {
            HostState::Alive
        };
        self.change(host, incarnation, state, now)
    }

    /// Adds an unknown member. Needs its location, and ignores dead hosts.
    fn insert(&mut self, update: &Update, now: Timestamp) -> Option<Transition> {
        let location = update.location.as_ref()?;
        if update.state == HostState::Dead || !self.make_room() {
            return None;
        }
        let host = Host {
            id: update.host.clone(),
            incarnation: update.incarnation,
            state: update.state,
            failure_domain: location.failure_domain.clone(),
            region: location.region.clone(),
            peer_address: location.peer_address,
            http_address: location.http_address,
        };
        self.members
            .insert(update.host.clone(), Member::new(host, now));
        self.probe_order.push(update.host.clone());
        if update.state == HostState::Leaving {
            self.set_deadline(&update.host, Some(now + TOMBSTONE_TTL));
        }
        self.unpublished.insert(update.host.clone());
        Some(Transition {
            host: update.host.clone(),
            from: None,
            to: update.state,
            incarnation: update.incarnation,
            silence: Duration::ZERO,
        })
    }

    /// Evicts the member that has been dead for longest if the list is full.
    /// Returns whether there is room for one more member.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MAX_MEMBER_COUNT {
            return true;
        }
        let oldest = self
            .members
            .values()
            .filter(|member| member.host.state == HostState::Dead)
            .min_by_key(|member| member.state_since)
            .map(|member| member.host.id.clone());
        let Some(host) = oldest else {
            return false;
        };
        self.remove(&host);
        true
    }
}

impl Member {
    /// Creates a member that was last heard at `now`.
    fn new(host: Host, now: Timestamp) -> Self {
        Self {
            host,
            damper: Damper::default(),
            last_heard_at: now,
            state_since: now,
            check_count: 0,
            deadline: None,
        }
    }
}

impl Host {
    /// Replaces the location of the host.
    fn set_location(&mut self, location: &Location) {
        self.failure_domain = location.failure_domain.clone();
        self.region = location.region.clone();
        self.peer_address = location.peer_address;
        self.http_address = location.http_address;
    }
}

/// Returns whether a claimed state overrides the known one at the same
/// incarnation.
fn overrides(claimed: HostState, known: HostState) -> bool {
    use HostState::{Alive, Damped, Dead, Leaving, Suspect, Unreachable};
    match claimed {
        Suspect => matches!(known, Alive | Damped),
        Leaving => !matches!(known, Leaving | Dead),
        Dead => known != Dead,
        Alive | Damped | Unreachable => false,
    }
}
