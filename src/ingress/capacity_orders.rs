//! Sends the orders of upstreams of scaled services while this host coordinates (see
//! docs/design/capacity-orders.md).

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{
    batch::scheduler::ServiceLoad,
    clock::Timestamp,
    ids::FenceNumber,
    ingress::{
        capacity::{Answer, Backlog, Demand, Loss, Order, Place, Planner, Presence, ServiceState},
        directory::Directory,
        duties,
        host::{DutySettings, Host},
        orders::FenceSource,
        routes::{Configuration, RouteKind, Service, ServiceName},
        wire::{DutyAnswer, ScaleOrder, Wire},
    },
    observe::telemetry::{
        CAPACITY_LOST, CAPACITY_ORDERED, CAPACITY_PRESENT, CAPACITY_REFUSED, CAPACITY_WANTED,
    },
    store::rows::RowStore,
};

/// How often the numbers are decided. A notice of upstreams that leave comes 2 s before.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The share of the platform's limit on calls that orders may use: usage reports are due at
/// fixed times.
const RATE_RATIO: f64 = 0.5;

/// Provides the load of the services whose items this host runs.
pub trait LoadSource {
    /// Returns the load of each service that has open jobs.
    fn service_loads(&self, now: Timestamp) -> BTreeMap<ServiceName, ServiceLoad>;
}

/// Orders upstreams for as long as this host coordinates, if the platform takes such orders.
pub async fn run<S: RowStore, W: Wire>(
    host: Rc<Host<S, W>>,
    coordinator: &(impl FenceSource + LoadSource),
) {
    let duties = host.settings.duties.as_ref();
    let Some(duties) = duties.filter(|duties| duties.orders_upstreams) else {
        return;
    };
    let max_order_count = (duties.max_rate_per_s * RATE_RATIO * ROUND_INTERVAL.as_secs_f64())
        .ceil()
        .max(1.0) as usize;
    let mut planners: BTreeMap<ServiceName, Planner> = BTreeMap::new();
    let mut known_fence: Option<FenceNumber> = None;
    let mut listing = Listing::default();
    loop {
        sleep(ROUND_INTERVAL).await;
        let fence = coordinator.fence();
        if let Some(fence) = fence
            && known_fence
                .replace(fence)
                .is_some_and(|known| known != fence)
        {
            // Another host may have ordered in between.
            planners.clear();
        }
        let Some(configuration) = host.configuration() else {
            continue;
        };
        let now = host.now();
        listing.update(&host.view.borrow().directory);
        let states = service_states(&listing, &configuration, coordinator.service_loads(now));
        planners.retain(|service, _| states.contains_key(service));
        let mut orders: Vec<(ServiceName, Order)> = Vec::new();
        for (service, state) in &states {
            let planner = planners
                .entry(service.clone())
                .or_insert_with(|| Planner::new(now));
            let may_order = fence.is_some() && orders.len() < max_order_count;
            let plan = planner.plan(state, may_order, now);
            log_losses(&host, service, &plan.losses);
            orders.extend(
                plan.orders
                    .into_iter()
                    .map(|order| (service.clone(), order)),
            );
        }
        report_totals(&host, &planners, &states);
        let sent = orders.into_iter().map(|(service, order)| {
            let host = &host;
            async move {
                let answer = send(host, duties, coordinator, &service, &order).await;
                (service, order, answer)
            }
        });
        for (service, order, answer) in join_all(sent).await {
            if let (Some(planner), Some(state)) = (planners.get_mut(&service), states.get(&service))
            {
                let decoded = decoded_answer(answer);
                let is_new = planner.record_answer(&order, decoded, &state.bounds, host.now());
                log_answer(&host, &service, &order, answer, is_new);
            }
        }
    }
}

/// The listed upstreams of one service.
#[derive(Clone, Debug, Default)]
struct ServiceListing {
    slot_count: usize,
    present: BTreeMap<Place, Presence>,
}

/// The listed upstreams, counted anew only when the directory changes: a fleet has 6,000.
#[derive(Debug, Default)]
struct Listing {
    revision: Option<u64>,
    services: BTreeMap<ServiceName, ServiceListing>,
}

impl Listing {
    fn update(&mut self, directory: &Directory) {
        if self.revision.replace(directory.revision()) == Some(directory.revision()) {
            return;
        }
        self.services.clear();
        for upstream in directory.upstreams() {
            let service = self.services.entry(upstream.service.clone()).or_default();
            service.slot_count = upstream.slot_count.max(service.slot_count);
            let place = Place {
                domain: upstream.failure_domain.clone(),
                is_spot: upstream.is_spot,
            };
            let presence = service.present.entry(place).or_default();
            match upstream.is_draining || upstream.leaves_in.is_some() {
                true => presence.draining_count += 1,
                false => presence.serving_count += 1,
            }
        }
    }
}

/// Returns the states of the services whose upstreams are ordered.
fn service_states(
    listing: &Listing,
    configuration: &Configuration,
    mut loads: BTreeMap<ServiceName, ServiceLoad>,
) -> BTreeMap<ServiceName, ServiceState> {
    let scaled = configuration
        .services
        .iter()
        .filter_map(|(name, service)| Some((name, service, service.scaling.as_ref()?)));
    scaled
        .map(|(name, service, scaling)| {
            let listed = listing.services.get(name).cloned().unwrap_or_default();
            let load = loads.remove(name).unwrap_or_default();
            let state = ServiceState {
                bounds: scaling.clone(),
                slot_count: service.engine_slot_count.unwrap_or(listed.slot_count),
                present: listed.present,
                is_listed: !listing.services.is_empty(),
                demand: demand(configuration, service, load),
            };
            (name.clone(), state)
        })
        .collect()
}

/// Returns the demand for a service, which is known in full if only jobs lead to it.
fn demand(configuration: &Configuration, service: &Service, load: ServiceLoad) -> Demand {
    let leads_to = |route_splits: &[(ServiceName, f64)]| {
        route_splits.iter().any(|(name, _)| *name == service.name)
    };
    let mut kinds = configuration
        .routes
        .iter()
        .filter(|route| leads_to(&route.splits))
        .map(|route| route.kind)
        .peekable();
    Demand {
        running_count: load.running_count,
        waiting_count: load.waiting_count,
        is_complete: kinds.peek().is_some() && kinds.all(|kind| kind == RouteKind::Batch),
        jobs: load
            .jobs
            .into_iter()
            .map(|job| Backlog {
                due_in: job.due_in,
                work: job.work,
            })
            .collect(),
    }
}

async fn send<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    duties: &DutySettings,
    fence_source: &impl FenceSource,
    service: &ServiceName,
    order: &Order,
) -> Option<DutyAnswer> {
    let scale_order = ScaleOrder {
        service: service.clone(),
        failure_domain: order.place.domain.clone(),
        wanted_count: order.wanted_count,
        is_spot: order.place.is_spot,
    };
    duties::send(host, duties, fence_source, |holder, address| {
        W::scale_request(&scale_order, holder, address)
    })
    .await
}

const fn decoded_answer(answer: Option<DutyAnswer>) -> Answer {
    match answer {
        Some(DutyAnswer::Done) => Answer::Done,
        Some(DutyAnswer::NoCapacity) => Answer::Refused,
        Some(DutyAnswer::Rejected) => Answer::Rejected,
        Some(DutyAnswer::RateLimited) | None => Answer::NotSent,
        Some(DutyAnswer::Unclear) => Answer::Unclear,
    }
}

fn log_losses<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, service: &str, losses: &[Loss]) {
    for loss in losses {
        host.metrics.count(CAPACITY_LOST, loss.lost_count as u64);
        tracing::info!(
            event = "capacity.reclaimed",
            service,
            failure_domain = &*loss.place.domain,
            is_spot = loss.place.is_spot,
            lost_count = loss.lost_count,
            reason = %loss.reason,
        );
    }
}

fn log_answer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    service: &str,
    order: &Order,
    answer: Option<DutyAnswer>,
    is_new: bool,
) {
    let counter = match answer {
        Some(DutyAnswer::Done) => CAPACITY_ORDERED,
        Some(DutyAnswer::NoCapacity | DutyAnswer::Rejected) => CAPACITY_REFUSED,
        _ => {
            tracing::debug!(
                event = "capacity.unanswered",
                service,
                failure_domain = &*order.place.domain,
                answer = answer.map(|answer| answer.to_string()),
            );
            return;
        }
    };
    host.metrics.count(counter, 1);
    if answer == Some(DutyAnswer::Done) {
        tracing::info!(
            event = "capacity.ordered",
            service,
            failure_domain = &*order.place.domain,
            is_spot = order.place.is_spot,
            wanted_count = order.wanted_count,
            previous_count = order.previous_count,
            is_repeat = order.is_repeat,
        );
    } else if is_new {
        tracing::warn!(
            event = "capacity.refused",
            service,
            failure_domain = &*order.place.domain,
            is_spot = order.place.is_spot,
            wanted_count = order.wanted_count,
            answer = answer.map(|answer| answer.to_string()),
        );
    }
}

fn report_totals<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    planners: &BTreeMap<ServiceName, Planner>,
    states: &BTreeMap<ServiceName, ServiceState>,
) {
    let wanted_count: usize = planners.values().map(Planner::target_count).sum();
    let present_count: usize = states
        .values()
        .flat_map(|state| state.present.values())
        .map(|presence| presence.serving_count)
        .sum();
    host.metrics.gauge(CAPACITY_WANTED, wanted_count as u64);
    host.metrics.gauge(CAPACITY_PRESENT, present_count as u64);
}
