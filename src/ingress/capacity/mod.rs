//! Decides how many upstreams of a service are ordered in each failure domain, without I/O
//! (see docs/design/capacity-orders.md).

mod cell;
mod changes;
mod demand;
mod placement;
mod planner;

use std::{collections::BTreeMap, time::Duration};

pub use self::{
    demand::{Backlog, Demand},
    planner::{CHANGE_INTERVAL, LIFE_BEFORE_LOWERING, Plan, Planner, settle_time},
};
use crate::ids::FailureDomain;

/// The bounds and prices of the upstreams of a service that is scaled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// The fewest upstreams in one failure domain, of both kinds together.
    pub min_count: usize,
    /// The most upstreams in one failure domain, of both kinds together.
    pub max_count: usize,
    /// How long after its order an upstream serves.
    pub boot_time: Duration,
    /// The price of an upstream that may be reclaimed, relative to that of the others.
    pub spot_price_ratio: f64,
    /// The price of an upstream per second, by failure domain.
    pub domain_prices: BTreeMap<FailureDomain, f64>,
}

/// A failure domain and a kind of upstreams, which the platform counts together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether the platform may reclaim the upstreams.
    pub is_spot: bool,
}

/// The upstreams that are listed at one place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Presence {
    /// The number of upstreams that take work.
    pub serving_count: usize,
    /// The number of upstreams that are leaving.
    pub draining_count: usize,
}

/// What is known of a service at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceState {
    /// The bounds and prices.
    pub bounds: Scaling,
    /// How many requests one upstream runs concurrently.
    pub slot_count: usize,
    /// The listed upstreams.
    pub present: BTreeMap<Place, Presence>,
    /// Whether the list of upstreams has been read; that of one service may be empty.
    pub is_listed: bool,
    /// The work that runs and waits.
    pub demand: Demand,
}

/// An order of upstreams at one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The place.
    pub place: Place,
    /// How many upstreams are wanted there; the platform takes away those above it.
    pub wanted_count: usize,
    /// How many were wanted there before.
    pub previous_count: usize,
    /// Whether the same order was sent before and not answered.
    pub is_repeat: bool,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The platform took it.
    Done,
    /// No upstreams are available at the place now.
    Refused,
    /// The platform takes no such order.
    Rejected,
    /// It certainly had no effect.
    NotSent,
    /// It may have been taken.
    Unclear,
}

/// Why upstreams count as missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LossReason {
    /// They are leaving.
    Draining,
    /// They are not listed any more.
    Vanished,
    /// They were ordered and did not come.
    NotDelivered,
}

/// Upstreams that are missing at one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The place.
    pub place: Place,
    /// Their number.
    pub lost_count: usize,
    /// Why they count as missing.
    pub reason: LossReason,
}
