//! The list of members, and which claim about a member outweighs which.

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
        gossip::{Place, Update},
    },
    ids::{HostId, Incarnation, Region},
};

mod selection;

/// How long a dead or leaving member is remembered, so that old news about it
/// does not bring it back.
const TOMBSTONE_TIME: Duration = Duration::from_secs(600);
/// How long a member of a region out of reach is kept.
const UNREACHABLE_TIME: Duration = Duration::from_secs(2 * 3600);
/// The most members that are remembered.
const MAX_MEMBER_COUNT: usize = 4096;

/// One member as this host sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the blackboard shows.
    pub host: Host,
    /// How often it came and went.
    pub damper: Damper,
    /// When it was last heard directly.
    pub heard_at: Timestamp,
    /// Since when it is in its state.
    pub since: Timestamp,
    /// How often it was checked since it is suspected.
    check_count: u32,
    /// When its state ends by itself.
    deadline: Option<Timestamp>,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The member.
    pub host: HostId,
    /// What was believed before; absent for a new member.
    pub from: Option<HostState>,
    /// What is believed now.
    pub to: HostState,
    /// The life that it is about.
    pub incarnation: Incarnation,
    /// How long the member was not heard directly.
    pub silence: Duration,
}

/// The members by name.
#[derive(Debug)]
pub struct List {
    own: HostId,
    members: BTreeMap<HostId, Member>,
    /// When each region was last heard directly.
    regions: BTreeMap<Region, Timestamp>,
    /// The states that end by themselves, soonest first.
    deadlines: BTreeSet<(Timestamp, HostId)>,
    /// The members in the order they are probed.
    order: Vec<HostId>,
    next: usize,
    /// The members whose entry on the blackboard is out of date.
    stale: BTreeSet<HostId>,
}

impl List {
    /// Makes a list that holds only this host.
    pub fn new(own: Host) -> Self {
        let mut list = Self {
            own: own.id.clone(),
            members: BTreeMap::new(),
            regions: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            order: Vec::new(),
            next: 0,
            stale: BTreeSet::from([own.id.clone()]),
        };
        list.members
            .insert(own.id.clone(), Member::new(own, Timestamp::ZERO));
        list
    }

    /// Returns the member named `host`.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all members by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members whose names follow `after`.
    pub fn after(&self, after: &str) -> impl Iterator<Item = &Member> {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        self.members
            .range::<str, _>(range)
            .map(|(_, member)| member)
    }

    /// Returns how many members are remembered.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns how many members are probed, and this host.
    pub fn live_count(&self) -> usize {
        self.order.len() + 1
    }

    /// Returns when any host of `region` was last heard directly.
    pub fn region_heard_at(&self, region: &str) -> Option<Timestamp> {
        self.regions.get(region).copied()
    }

    /// Changes this host's own entry.
    pub fn set_own(&mut self, incarnation: Incarnation, state: HostState) {
        if let Some(member) = self.members.get_mut(&self.own) {
            member.host.incarnation = incarnation;
            member.host.state = state;
            self.stale.insert(self.own.clone());
        }
    }

    /// Notes that a datagram of `host` arrived, which proves that it runs.
    pub fn hear(
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
        let outdated = incarnation > member.host.incarnation;
        let proved = match state {
            HostState::Suspect | HostState::Unreachable => true,
            HostState::Dead => outdated,
            HostState::Alive | HostState::Damped | HostState::Leaving => false,
        };
        let transition = if proved {
            self.revive(host, incarnation, now)
        } else {
            None
        };
        if let Some(member) = self.members.get_mut(host) {
            member.heard_at = now;
        }
        transition
    }

    /// Weighs a claim about another member against what is believed.
    ///
    /// A higher incarnation wins; at the same one, suspicion outweighs life, and
    /// death or leaving outweighs both.
    pub fn apply(&mut self, update: &Update, now: Timestamp) -> Option<Transition> {
        if update.host == self.own {
            return None;
        }
        let Some(member) = self.members.get_mut(&update.host) else {
            return self.insert(update, now);
        };
        let newer = update.incarnation > member.host.incarnation;
        if !newer
            && (update.incarnation < member.host.incarnation
                || !outweighs(update.state, member.host.state))
        {
            return None;
        }
        if let Some(place) = &update.place {
            member.host.settle(place);
        }
        match update.state {
            HostState::Alive => self.revive(&update.host, update.incarnation, now),
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
        let same = from == state && member.host.incarnation == incarnation;
        if same {
            return None;
        }
        member.host.state = state;
        member.host.incarnation = incarnation;
        member.since = now;
        member.check_count = 0;
        let transition = Transition {
            host: host.clone(),
            from: Some(from),
            to: state,
            incarnation,
            silence: now.saturating_sub(member.heard_at),
        };
        let deadline = match state {
            HostState::Dead | HostState::Leaving => Some(now + TOMBSTONE_TIME),
            HostState::Unreachable => Some(now + UNREACHABLE_TIME),
            HostState::Damped => Some(member.damper.release_at()),
            HostState::Alive | HostState::Suspect => None,
        };
        self.set_deadline(host, deadline);
        self.stale.insert(host.clone());
        Some(transition)
    }

    /// Sets when the state of a member ends by itself.
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

    /// Puts off the end of all suspicions, after this host itself stood still.
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

    /// Takes the next member whose state has ended by itself.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<HostId> {
        let (at, host) = self.deadlines.first()?.clone();
        if at > now {
            return None;
        }
        self.set_deadline(&host, None);
        Some(host)
    }

    /// Counts one more check of a suspect, and returns how many there were.
    pub fn count_check(&mut self, host: &HostId) -> u32 {
        let Some(member) = self.members.get_mut(host) else {
            return 0;
        };
        member.check_count += 1;
        member.check_count
    }

    /// Ends the damping of a steady member, or sets when to look again.
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

    /// Forgets a member.
    pub fn remove(&mut self, host: &HostId) {
        self.set_deadline(host, None);
        self.members.remove(host);
        self.stale.insert(host.clone());
    }

    /// Brings the members that changed onto the blackboard.
    pub fn publish(&mut self, board: &mut Blackboard) {
        if self.stale.is_empty() {
            return;
        }
        let hosts = Arc::make_mut(&mut board.hosts);
        for id in std::mem::take(&mut self.stale) {
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

    /// Takes a member for alive, or damps it where it flaps.
    fn revive(
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

    /// Adds a member that was not known.
    fn insert(&mut self, update: &Update, now: Timestamp) -> Option<Transition> {
        let place = update.place.as_ref()?;
        if update.state == HostState::Dead || !self.make_room() {
            return None;
        }
        let host = Host {
            id: update.host.clone(),
            incarnation: update.incarnation,
            state: update.state,
            failure_domain: place.failure_domain.clone(),
            region: place.region.clone(),
            peer_address: place.peer_address,
            http_address: place.http_address,
        };
        self.members
            .insert(update.host.clone(), Member::new(host, now));
        self.order.push(update.host.clone());
        if update.state == HostState::Leaving {
            self.set_deadline(&update.host, Some(now + TOMBSTONE_TIME));
        }
        self.stale.insert(update.host.clone());
        Some(Transition {
            host: update.host.clone(),
            from: None,
            to: update.state,
            incarnation: update.incarnation,
            silence: Duration::ZERO,
        })
    }

    /// Makes room for one more member by forgetting a dead one.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MAX_MEMBER_COUNT {
            return true;
        }
        let oldest = self
            .members
            .values()
            .filter(|member| member.host.state == HostState::Dead)
            .min_by_key(|member| member.since)
            .map(|member| member.host.id.clone());
        let Some(host) = oldest else {
            return false;
        };
        self.remove(&host);
        true
    }
}

impl Member {
    /// Makes a member that was heard at `now`.
    fn new(host: Host, now: Timestamp) -> Self {
        Self {
            host,
            damper: Damper::default(),
            heard_at: now,
            since: now,
            check_count: 0,
            deadline: None,
        }
    }
}

impl Host {
    /// Takes over where the host stands.
    fn settle(&mut self, place: &Place) {
        self.failure_domain = place.failure_domain.clone();
        self.region = place.region.clone();
        self.peer_address = place.peer_address;
        self.http_address = place.http_address;
    }
}

/// Says whether a claim outweighs a belief about the same incarnation.
fn outweighs(claim: HostState, belief: HostState) -> bool {
    use HostState::{Alive, Damped, Dead, Leaving, Suspect, Unreachable};
    match claim {
        Suspect => matches!(belief, Alive | Damped),
        Leaving => !matches!(belief, Leaving | Dead),
        Dead => belief != Dead,
        Alive | Damped | Unreachable => false,
    }
}
