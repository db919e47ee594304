//! Chooses the places at which upstreams are ordered or given up.

use std::collections::BTreeMap;

use super::{Place, Scaling};
use crate::ids::FailureDomain;

/// The price of a failure domain that the configuration does not name.
const DEFAULT_PRICE: f64 = 1.0;

/// How much cheaper a place must be for upstreams to move back to it: while they do, both are
/// paid for.
const MIN_SAVING_RATIO: f64 = 0.1;

/// The wanted numbers of all places of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Draft {
    pub(super) counts: BTreeMap<Place, usize>,
}

impl Draft {
    pub(super) fn total(&self) -> usize {
        self.counts.values().sum()
    }

    pub(super) fn domain_total(&self, domain: &str) -> usize {
        self.counts
            .iter()
            .filter(|(place, _)| *place.domain == *domain)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns how many upstreams are left if the platform reclaims all of the failure domain
    /// that has the most it may reclaim.
    pub(super) fn total_after_reclaim(&self) -> usize {
        let spot_count = self
            .counts
            .iter()
            .filter(|(place, _)| place.is_spot)
            .map(|(_, count)| *count)
            .max();
        self.total() - spot_count.unwrap_or(0)
    }

    pub(super) fn add(&mut self, place: &Place) {
        *self.counts.entry(place.clone()).or_default() += 1;
    }

    pub(super) fn take(&mut self, place: &Place) {
        if let Some(count) = self.counts.get_mut(place) {
            *count = count.saturating_sub(1);
        }
    }

    pub(super) fn count(&self, place: &Place) -> usize {
        self.counts.get(place).copied().unwrap_or(0)
    }
}

/// How upstreams are placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Needs {
    /// The number above which all may be reclaimed.
    pub(super) base_count: usize,
    /// The number that must be left if one failure domain is reclaimed.
    pub(super) needed_count: usize,
}

/// Returns the price per second of an upstream at `place`.
pub(super) fn price(bounds: &Scaling, place: &Place) -> f64 {
    let price = bounds.domain_prices.get(&place.domain).copied();
    let ratio = match place.is_spot {
        true => bounds.spot_price_ratio,
        false => 1.0,
    };
    price.unwrap_or(DEFAULT_PRICE) * ratio
}

/// Returns whether it pays to move an upstream from `from` to `to`.
pub(super) fn is_worth_moving(bounds: &Scaling, from: &Place, to: &Place) -> bool {
    price(bounds, to) < price(bounds, from) * (1.0 - MIN_SAVING_RATIO)
}

/// Returns the place for one more upstream of the service, or of `domain` if that is given.
///
/// It is the cheapest with room. Places whose upstreams may be reclaimed are taken only where
/// that cannot hurt, or if there is no other.
pub(super) fn choose(
    draft: &Draft,
    bounds: &Scaling,
    needs: Needs,
    domain: Option<&FailureDomain>,
    is_open: impl Fn(&Place) -> bool,
) -> Option<Place> {
    let may_be_spot = |place: &Place| {
        if draft.total() >= needs.base_count {
            return true;
        }
        let mut grown = draft.clone();
        grown.add(place);
        grown.total_after_reclaim() >= needs.needed_count
    };
    draft
        .counts
        .keys()
        .filter(|place| domain.is_none_or(|domain| place.domain == *domain))
        .filter(|place| draft.domain_total(&place.domain) < bounds.max_count && is_open(place))
        .min_by(|a, b| {
            let rank = |place: &Place| place.is_spot && !may_be_spot(place);
            rank(a)
                .cmp(&rank(b))
                .then(price(bounds, a).total_cmp(&price(bounds, b)))
        })
        .cloned()
}
