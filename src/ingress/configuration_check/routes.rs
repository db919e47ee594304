//! Checks the routes of a configuration.

use std::{collections::HashMap, sync::Arc};

use super::{
    MAX_PRIORITY,
    draft::{Draft, Format, RouteDraft},
    finding::{Finding, Kind},
    place::{Place, RouteField, SplitField},
    replaced_time,
};
use crate::ingress::routes::RouteKind;

/// Appends what is wrong with the routes.
pub fn check<F: Format>(draft: &Draft, findings: &mut Vec<Finding>) {
    check_names(draft, findings);
    for (index, route) in draft.routes.iter().enumerate() {
        let mut report = |kind, field, message: String| {
            findings.push(Finding::new(kind, Place::Route(index, field), message));
        };
        check_match::<F>(draft, route, &mut report);
        check_limits(route, &mut report);
        if route.route.is_public && draft.accounts.is_none() {
            let message = "no route needs a key, since there are no accounts".to_owned();
            report(Kind::UnneededPublic, RouteField::Public, message);
        }
        check_splits(draft, index, route, findings);
    }
}

fn check_names(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut names = HashMap::new();
    let mut pairs = HashMap::new();
    for (index, RouteDraft { route, .. }) in draft.routes.iter().enumerate() {
        let mut report = |kind, field, message| {
            findings.push(Finding::new(kind, Place::Route(index, field), message));
        };
        if let Some(first) = names.insert(&*route.name, index) {
            let message = format!("route {first} has the name {:?} as well", route.name);
            report(Kind::DuplicateRoute, RouteField::Name, message);
        }
        // Hosts compare authorities without regard to case.
        let pair = (route.authority.to_ascii_lowercase(), &*route.path_prefix);
        if let Some(first) = pairs.insert(pair, index) {
            let message = format!("route {first} has the same host and prefix");
            report(Kind::DuplicateMatch, RouteField::PathPrefix, message);
        }
    }
}

fn check_match<F: Format>(
    draft: &Draft,
    RouteDraft { route, .. }: &RouteDraft,
    report: &mut impl FnMut(Kind, RouteField, String),
) {
    let prefix = &route.path_prefix;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        let message = format!("the prefix {prefix:?} does not begin and end with a slash");
        report(Kind::BadPrefix, RouteField::PathPrefix, message);
    }
    if let Some(reserved) = F::RESERVED_PREFIXES
        .iter()
        .find(|reserved| prefix.starts_with(**reserved))
    {
        let message = format!("hosts answer requests below {reserved:?} themselves");
        report(Kind::ReservedPrefix, RouteField::PathPrefix, message);
    }
    // The hosts' own rule: a route that does not get requests for its prefix gets none.
    let matched = draft.configuration.route(&route.authority, prefix);
    if let Some(other) = matched.filter(|matched| !Arc::ptr_eq(matched, route)) {
        let message = format!("route {:?} gets all its requests", other.name);
        report(Kind::HiddenRoute, RouteField::PathPrefix, message);
    }
}

fn check_limits(draft: &RouteDraft, report: &mut impl FnMut(Kind, RouteField, String)) {
    let route = &draft.route;
    for (field, document_ms, used) in [
        (RouteField::Timeout, draft.timeout_ms, route.timeout),
        (
            RouteField::TargetLatency,
            draft.target_latency_ms,
            route.target_latency,
        ),
        (RouteField::ItemTtl, draft.item_ttl_ms, route.item_ttl),
        (RouteField::ResultDue, draft.result_due_ms, route.result_due),
    ] {
        if let Some(message) = replaced_time(document_ms, used) {
            report(Kind::ReplacedTime, field, message);
        }
    }
    if route.timeout.is_zero() {
        let message = "no request is answered within a timeout of 0".to_owned();
        report(Kind::ZeroLimit, RouteField::Timeout, message);
    }
    if draft.max_attempts == Some(0) {
        let message = "no attempt is allowed; hosts make one".to_owned();
        report(Kind::NoAttempts, RouteField::MaxAttempts, message);
    }
    if route.priority > MAX_PRIORITY {
        let message = format!("the priority {} is above {MAX_PRIORITY}", route.priority);
        report(Kind::PriorityRange, RouteField::Priority, message);
    }
    if route.target_latency > route.timeout {
        let message = format!(
            "the target latency of {} ms is above the timeout of {} ms",
            route.target_latency.as_millis(),
            route.timeout.as_millis(),
        );
        report(Kind::TargetAboveTimeout, RouteField::TargetLatency, message);
    }
    if route.kind == RouteKind::Batch && route.item_ttl < route.result_due {
        let message = format!(
            "items may be failed after {} ms, and results are due after {} ms",
            route.item_ttl.as_millis(),
            route.result_due.as_millis(),
        );
        report(Kind::TtlBelowDue, RouteField::ItemTtl, message);
    }
}

fn check_splits(draft: &Draft, index: usize, route: &RouteDraft, findings: &mut Vec<Finding>) {
    let place = |field| Place::Route(index, field);
    if route.has_own_service && route.split_count > 0 {
        let message = "the splits have no effect, since the route names one service";
        findings.push(Finding::new(
            Kind::UnusedSplits,
            place(RouteField::Splits),
            message,
        ));
    }
    let mut is_valid = true;
    let mut total = 0.0;
    for (split, (service, weight)) in route.route.splits.iter().enumerate() {
        if !draft.configuration.services.contains_key(service) {
            let place = if route.has_own_service {
                place(RouteField::Service)
            } else {
                Place::Split(index, split, SplitField::Service)
            };
            let message = format!("there is no service {service:?}");
            findings.push(Finding::new(Kind::UnknownService, place, message));
        }
        let place = Place::Split(index, split, SplitField::Weight);
        if !weight.is_finite() || *weight < 0.0 {
            is_valid = false;
            let message = format!("the weight {weight} is not a finite number of at least 0");
            findings.push(Finding::new(Kind::BadWeight, place, message));
        } else if *weight == 0.0 {
            let message = format!("service {service:?} gets no requests of this route");
            findings.push(Finding::new(Kind::ZeroWeight, place, message));
        }
        total += weight;
    }
    if is_valid && !(total > 0.0 && f64::is_finite(total)) {
        let message = "the weights add up to nothing, or to no finite number";
        findings.push(Finding::new(
            Kind::NoWeight,
            place(RouteField::Splits),
            message,
        ));
    }
}
