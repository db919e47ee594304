//! Which numbers are raised and lowered to reach the wanted total.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Order, Place, Scaling, ServiceState,
    placement::{self, Draft, Needs},
    planner::{LIFE_BEFORE_LOWERING, Planner},
};
use crate::{clock::Timestamp, ids::FailureDomain};

/// How long more upstreams than wanted must serve before some are given up.
const SURPLUS_TIME: Duration = Duration::from_secs(5);

impl Planner {
    /// Returns the wanted numbers with those of orders whose outcome is not known.
    fn draft(&self) -> Draft {
        let mut counts: BTreeMap<Place, usize> = self
            .cells
            .iter()
            .map(|(place, cell)| (place.clone(), cell.wanted_count))
            .collect();
        for order in self
            .subjects
            .values()
            .filter_map(|s| s.outstanding.as_ref())
        {
            counts.insert(order.place.clone(), order.wanted_count);
        }
        Draft { counts }
    }

    fn needs(&self, state: &ServiceState, now: Timestamp) -> Needs {
        let needed_count = match state.demand.is_complete {
            true => self.history.needed_count(now),
            false => None,
        };
        Needs {
            base_count: self.base_count,
            needed_count: needed_count.unwrap_or(self.base_count),
        }
    }

    fn is_open(&self, place: &Place, now: Timestamp) -> bool {
        let may_change = self
            .subjects
            .get(&place.domain)
            .is_some_and(|subject| subject.may_change(now));
        let is_free = self
            .cells
            .get(place)
            .is_some_and(|cell| cell.blocked_until <= now);
        may_change && is_free
    }

    /// Returns the orders that raise a number.
    pub(super) fn raises(&self, state: &ServiceState, now: Timestamp) -> Vec<Order> {
        let bounds = &state.bounds;
        let before = self.draft();
        let mut draft = before.clone();
        let needs = self.needs(state, now);
        let is_open = |place: &Place| self.is_open(place, now);
        for domain in self.subjects.keys() {
            while draft.domain_total(domain) < self.floor_count(domain, bounds) {
                match placement::choose(&draft, bounds, needs, Some(domain), is_open) {
                    Some(place) => draft.add(&place),
                    None => break,
                }
            }
        }
        while draft.total() < self.target_count {
            match placement::choose(&draft, bounds, needs, None, is_open) {
                Some(place) => draft.add(&place),
                None => break,
            }
        }
        self.add_moves(&mut draft, bounds, now);
        let mut orders: BTreeMap<&FailureDomain, Order> = BTreeMap::new();
        for (place, count) in &draft.counts {
            let previous_count = before.count(place);
            if *count > previous_count {
                // The other kind of the same failure domain follows later.
                orders.entry(&place.domain).or_insert_with(|| Order {
                    place: place.clone(),
                    wanted_count: *count,
                    previous_count,
                    is_repeat: false,
                });
            }
        }
        orders.into_values().collect()
    }

    /// Adds upstreams where some were lost, if others replace them at a higher price.
    fn add_moves(&self, draft: &mut Draft, bounds: &Scaling, now: Timestamp) {
        let mut replacing: Vec<(&Place, usize)> = self
            .cells
            .iter()
            .map(|(place, cell)| (place, cell.wanted_count.saturating_sub(cell.home_count)))
            .filter(|(_, count)| *count > 0)
            .collect();
        let replacing_count: usize = replacing.iter().map(|(_, count)| count).sum();
        // Some have moved already, and what they replace is not given up yet.
        let surplus_count = draft.total().saturating_sub(self.target_count);
        let mut movable_count = replacing_count.saturating_sub(surplus_count);
        for (place, cell) in &self.cells {
            if !self.is_open(place, now) {
                continue;
            }
            let mut missing_count = cell
                .home_count
                .saturating_sub(draft.count(place))
                .min(movable_count);
            for (from, count) in &mut replacing {
                if !placement::is_worth_moving(bounds, from, place) {
                    continue;
                }
                while missing_count > 0
                    && *count > 0
                    && draft.domain_total(&place.domain) < bounds.max_count
                {
                    draft.add(place);
                    missing_count -= 1;
                    movable_count -= 1;
                    *count -= 1;
                }
            }
        }
    }

    /// Returns the order that gives up upstreams, if more serve than are wanted.
    pub(super) fn lowering(&mut self, state: &ServiceState, now: Timestamp) -> Option<Order> {
        let draft = self.draft();
        let serving: usize = self.cells.values().map(|cell| cell.serving_count).sum();
        let is_calm = self.subjects.values().all(|s| s.outstanding.is_none())
            && !self.cells.values().any(|cell| cell.is_booting(now))
            && serving == draft.total();
        if serving <= self.target_count || !is_calm {
            self.surplus_since = None;
            return None;
        }
        let since = *self.surplus_since.get_or_insert(now);
        let is_old = now.saturating_sub(self.began_at) >= LIFE_BEFORE_LOWERING;
        if now.saturating_sub(since) < SURPLUS_TIME || !is_old {
            return None;
        }
        let bounds = &state.bounds;
        let surplus_count = serving - self.target_count;
        let excess = |place: &Place| {
            let cell = &self.cells[place];
            cell.wanted_count.saturating_sub(cell.home_count)
        };
        let needed_count = self.history.busy_count(now);
        let may_lower = |place: &Place| {
            let mut lowered = draft.clone();
            lowered.take(place);
            let is_safe = excess(place) > 0 || lowered.total_after_reclaim() >= needed_count;
            draft.count(place) > 0
                && lowered.domain_total(&place.domain) >= self.floor_count(&place.domain, bounds)
                && self.subjects[&place.domain].may_change(now)
                && is_safe
        };
        let place = draft
            .counts
            .keys()
            .filter(|place| may_lower(place))
            .max_by(|a, b| {
                let prices = placement::price(bounds, a).total_cmp(&placement::price(bounds, b));
                (excess(a) > 0).cmp(&(excess(b) > 0)).then(prices)
            })?;
        let previous_count = draft.count(place);
        let spare_count =
            draft.domain_total(&place.domain) - self.floor_count(&place.domain, bounds);
        let given_count = excess(place).min(surplus_count).min(spare_count).max(1);
        Some(Order {
            place: place.clone(),
            wanted_count: previous_count - given_count,
            previous_count,
            is_repeat: false,
        })
    }
}
