//! The decisions for one service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Answer, Loss, LossReason, Order, Place, Presence, Scaling, ServiceState, cell::Cell,
    demand::History,
};
use crate::{clock::Timestamp, ids::FailureDomain};

/// The shortest time between two changes of one failure domain.
pub const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a coordinator lowers no number: it has not seen the demand of the last minute.
pub const LIFE_BEFORE_LOWERING: Duration = Duration::from_secs(60);

/// The time between two steps by which the base is given up.
const SHRINK_INTERVAL: Duration = Duration::from_secs(15);

/// How long work must need more upstreams before they are ordered: a job that has just been
/// opened counts in full before its items start.
const RISE_TIME: Duration = Duration::from_millis(500);

/// The wait before an order that was not answered is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The least time for which a coordinator only watches.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(3);

/// How much longer than the boot time it watches, so that the orders of its predecessor are
/// listed. An order states an absolute number and would otherwise cancel them.
const SETTLE_MARGIN: Duration = Duration::from_secs(1);

/// Returns how long a new coordinator orders nothing.
pub fn settle_time(boot_time: Duration) -> Duration {
    (boot_time + SETTLE_MARGIN).max(MIN_SETTLE_TIME)
}

/// What is decided at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The upstreams that were found missing.
    pub losses: Vec<Loss>,
    /// The orders to send now, at most one for each failure domain.
    pub orders: Vec<Order>,
}

/// The orders of one failure domain, which are one subject for the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Subject {
    /// The order whose outcome is not known.
    pub(super) outstanding: Option<Order>,
    /// The time from which it is sent again; `None` while it is being sent.
    repeat_at: Option<Timestamp>,
    changed_at: Option<Timestamp>,
    /// The value of `changed_at` if the order has no effect.
    restored_at: Option<Timestamp>,
    /// The time until which nothing is sent, since an order did not arrive.
    paused_until: Timestamp,
}

impl Subject {
    pub(super) fn may_change(&self, now: Timestamp) -> bool {
        let is_due = |at: Timestamp| now.saturating_sub(at) >= CHANGE_INTERVAL;
        self.outstanding.is_none() && self.paused_until <= now && self.changed_at.is_none_or(is_due)
    }
}

/// Decides the number of upstreams of one service, for as long as one host coordinates.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(super) began_at: Timestamp,
    /// The first time at which upstreams were listed.
    listed_at: Option<Timestamp>,
    is_settled: bool,
    pub(super) cells: BTreeMap<Place, Cell>,
    pub(super) subjects: BTreeMap<FailureDomain, Subject>,
    pub(super) history: History,
    /// The number that the service has while nothing calls for another one.
    pub(super) base_count: usize,
    /// The number that is wanted now.
    pub(super) target_count: usize,
    target_changed_at: Timestamp,
    rise_since: Option<Timestamp>,
    pub(super) surplus_since: Option<Timestamp>,
}

impl Planner {
    /// Creates a planner that has seen nothing.
    pub fn new(now: Timestamp) -> Self {
        Self {
            began_at: now,
            listed_at: None,
            is_settled: false,
            cells: BTreeMap::new(),
            subjects: BTreeMap::new(),
            history: History::default(),
            base_count: 0,
            target_count: 0,
            target_changed_at: now,
            rise_since: None,
            surplus_since: None,
        }
    }

    /// Returns the number of upstreams that is wanted now.
    pub const fn target_count(&self) -> usize {
        self.target_count
    }

    /// Records the state of the service and returns what is to be done. Without `may_order`
    /// it only watches.
    pub fn plan(&mut self, state: &ServiceState, may_order: bool, now: Timestamp) -> Plan {
        self.record_demand(state, now);
        self.add_cells(state);
        if !self.is_settled {
            return self.settle(state, may_order, now);
        }
        let losses = self.observe(state, now);
        self.update_target(state, now);
        let mut orders = Vec::new();
        if may_order {
            orders.extend(self.repeats(now));
            orders.extend(self.raises(state, now));
            if orders.is_empty() {
                orders.extend(self.lowering(state, now));
            }
            self.record_sent(&orders, now);
        }
        Plan { losses, orders }
    }

    /// Records the answer to an order, and returns whether a refusal is the first one there.
    pub fn record_answer(
        &mut self,
        order: &Order,
        answer: Answer,
        bounds: &Scaling,
        now: Timestamp,
    ) -> bool {
        let Some(subject) = self.subjects.get_mut(&order.place.domain) else {
            return false;
        };
        if answer == Answer::Unclear {
            subject.repeat_at = Some(now + REPEAT_INTERVAL);
            return false;
        }
        // A repeat that was not sent says nothing of the order before it.
        if answer == Answer::NotSent && order.is_repeat {
            subject.repeat_at = Some(now + REPEAT_INTERVAL);
            return false;
        }
        subject.outstanding = None;
        if order.is_repeat || answer == Answer::Done {
            // The order before a repeat may have been taken, also if the repeat is refused.
            subject.changed_at = Some(now);
        } else {
            subject.changed_at = subject.restored_at;
        }
        if answer == Answer::NotSent {
            subject.paused_until = now + REPEAT_INTERVAL;
        }
        let Some(cell) = self.cells.get_mut(&order.place) else {
            return false;
        };
        match answer {
            Answer::Done => {
                cell.record_done(order.wanted_count, bounds.boot_time, now);
                false
            }
            Answer::Refused => cell.record_refused(false, now),
            Answer::Rejected => cell.record_refused(true, now),
            Answer::NotSent | Answer::Unclear => false,
        }
    }

    fn record_demand(&mut self, state: &ServiceState, now: Timestamp) {
        let demand = &state.demand;
        let slot_count = state.slot_count.max(1);
        let serving: usize = state.present.values().map(|p| p.serving_count).sum();
        let busy_count = (demand.running_count + demand.waiting_count).div_ceil(slot_count);
        let due_slot_count = demand.due_slot_count(serving * slot_count, state.bounds.boot_time);
        self.history
            .record(busy_count, due_slot_count.div_ceil(slot_count), now);
    }

    fn add_cells(&mut self, state: &ServiceState) {
        let listed = state.present.keys().map(|place| &place.domain);
        let domains: BTreeSet<_> = state.bounds.domain_prices.keys().chain(listed).collect();
        for domain in domains {
            for is_spot in [false, true] {
                let domain = domain.clone();
                self.cells.entry(Place { domain, is_spot }).or_default();
            }
            self.subjects.entry(domain.clone()).or_default();
        }
    }

    fn settle(&mut self, state: &ServiceState, may_order: bool, now: Timestamp) -> Plan {
        for (place, cell) in &mut self.cells {
            cell.settle(presence(state, place));
        }
        if state.is_listed {
            self.listed_at.get_or_insert(now);
        }
        let settle_time = settle_time(state.bounds.boot_time);
        let is_over = self
            .listed_at
            .is_some_and(|at| now.saturating_sub(at) >= settle_time);
        let mut losses = Vec::new();
        if is_over && may_order {
            self.is_settled = true;
            for (place, cell) in &mut self.cells {
                let lost_count = cell.end_settling(now);
                if lost_count > 0 {
                    losses.push(Loss {
                        place: place.clone(),
                        lost_count,
                        reason: LossReason::Vanished,
                    });
                }
            }
            self.block_lost(&losses, now);
            self.base_count = self.cells.values().map(|cell| cell.home_count).sum();
            self.target_count = self.base_count;
            self.target_changed_at = now;
        }
        Plan {
            losses,
            orders: Vec::new(),
        }
    }

    fn observe(&mut self, state: &ServiceState, now: Timestamp) -> Vec<Loss> {
        let mut losses = Vec::new();
        for (place, cell) in &mut self.cells {
            let subject = self.subjects.get(&place.domain);
            let outstanding = subject.and_then(|subject| subject.outstanding.as_ref());
            let outstanding = outstanding.filter(|order| order.place == *place);
            let outstanding_count = outstanding.map(|order| order.wanted_count);
            if let Some((lost_count, reason)) =
                cell.observe(presence(state, place), outstanding_count, now)
            {
                losses.push(Loss {
                    place: place.clone(),
                    lost_count,
                    reason,
                });
            }
            if outstanding.is_none() {
                let new_count = cell.adopt(now);
                self.base_count += new_count;
                self.target_count += new_count;
            }
        }
        self.block_lost(&losses, now);
        losses
    }

    /// Orders nothing for a while in failure domains that lost upstreams.
    fn block_lost(&mut self, losses: &[Loss], now: Timestamp) {
        for loss in losses {
            for (place, cell) in &mut self.cells {
                if place.domain == loss.place.domain {
                    cell.record_loss(now);
                }
            }
        }
    }

    /// Returns the fewest upstreams that a failure domain keeps: one where there were some,
    /// since hosts prefer upstreams of their own failure domain.
    pub(super) fn floor_count(&self, domain: &str, bounds: &Scaling) -> usize {
        let is_used = self
            .cells
            .iter()
            .any(|(place, cell)| *place.domain == *domain && cell.home_count > 0);
        bounds
            .min_count
            .max(usize::from(is_used))
            .min(bounds.max_count)
    }

    fn floor_total(&self, bounds: &Scaling) -> usize {
        self.subjects
            .keys()
            .map(|domain| self.floor_count(domain, bounds))
            .sum()
    }

    /// Returns the number below which the target must not fall.
    fn kept_count(&self, state: &ServiceState, now: Timestamp) -> usize {
        let due_count = self.history.due_count(now);
        let needed_count = match state.demand.is_complete {
            true => self.history.needed_count(now).unwrap_or(self.base_count),
            false => self.base_count,
        };
        needed_count
            .min(self.base_count)
            .max(due_count)
            .max(self.floor_total(&state.bounds))
    }

    fn update_target(&mut self, state: &ServiceState, now: Timestamp) {
        let bounds = &state.bounds;
        let slot_count = state.slot_count.max(1);
        let max_total = bounds.max_count * self.subjects.len();
        let serving: usize = self.cells.values().map(|cell| cell.serving_count).sum();
        let due_count = state
            .demand
            .due_slot_count(serving * slot_count, bounds.boot_time)
            .div_ceil(slot_count)
            .min(max_total);
        // Below the base, callers must not wait for what the base would have carried.
        let is_short_of_base = self.target_count < self.base_count
            && state.demand.waiting_count > 0
            && state.demand.running_count + state.demand.waiting_count > serving * slot_count;
        let wanted_count = match is_short_of_base {
            true => due_count.max(self.base_count),
            false => due_count,
        };
        if wanted_count > self.target_count {
            let since = *self.rise_since.get_or_insert(now);
            if now.saturating_sub(since) >= RISE_TIME {
                self.target_count = wanted_count;
                self.target_changed_at = now;
                self.rise_since = None;
            }
            return;
        }
        self.rise_since = None;
        let kept_count = self.kept_count(state, now);
        let is_late = now.saturating_sub(self.target_changed_at) >= SHRINK_INTERVAL;
        let is_old = now.saturating_sub(self.began_at) >= LIFE_BEFORE_LOWERING;
        if self.target_count > kept_count && is_late && is_old {
            self.target_count = match self.target_count > self.base_count {
                true => kept_count.max(self.base_count),
                false => self.target_count - 1,
            };
            self.target_changed_at = now;
        }
    }

    /// Returns the orders that were not answered and are due again.
    fn repeats(&self, now: Timestamp) -> Vec<Order> {
        self.subjects
            .values()
            .filter(|subject| subject.repeat_at.is_some_and(|at| at <= now))
            .filter_map(|subject| subject.outstanding.clone())
            .map(|order| Order {
                is_repeat: true,
                ..order
            })
            .collect()
    }

    fn record_sent(&mut self, orders: &[Order], now: Timestamp) {
        for order in orders {
            if let Some(subject) = self.subjects.get_mut(&order.place.domain) {
                if !order.is_repeat {
                    subject.restored_at = subject.changed_at;
                    subject.changed_at = Some(now);
                }
                subject.outstanding = Some(order.clone());
                subject.repeat_at = None;
            }
        }
    }
}

fn presence(state: &ServiceState, place: &Place) -> Presence {
    state.present.get(place).copied().unwrap_or_default()
}
