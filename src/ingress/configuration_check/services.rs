//! Checks the services of a configuration.

use std::collections::{HashMap, HashSet};

use super::{
    draft::{Draft, ServiceDraft},
    finding::{Finding, Kind},
    place::{Place, ServiceField},
    replaced_time,
};
use crate::ingress::routes::Scaling;

/// Appends what is wrong with the services.
pub fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let used: HashSet<_> = draft
        .routes
        .iter()
        .flat_map(|route| &route.route.splits)
        .map(|(service, _)| service)
        .collect();
    let mut names = HashMap::new();
    for (index, entry) in draft.services.iter().enumerate() {
        let service = &entry.service;
        let mut report = |kind, field, message: String| {
            findings.push(Finding::new(kind, Place::Service(index, field), message));
        };
        if let Some(first) = names.insert(&*service.name, index) {
            let message = format!("service {first} has the name {:?} as well", service.name);
            report(Kind::DuplicateService, ServiceField::Name, message);
        }
        if !used.contains(&service.name) {
            let message = format!("no route leads to service {:?}", service.name);
            report(Kind::UnusedService, ServiceField::Name, message);
        }
        if service.engine_slot_count == Some(0) {
            let message = "an engine without slots runs nothing".to_owned();
            report(Kind::NoSlots, ServiceField::EngineSlots, message);
        }
        if let Some(scaling) = &service.scaling {
            check_scaling(entry, scaling, &mut report);
            check_domains(index, scaling, findings);
        }
    }
}

fn check_scaling(
    entry: &ServiceDraft,
    scaling: &Scaling,
    report: &mut impl FnMut(Kind, ServiceField, String),
) {
    if let Some(message) = replaced_time(entry.boot_time_ms, scaling.boot_time) {
        report(Kind::ReplacedTime, ServiceField::BootTime, message);
    }
    if scaling.min_count > scaling.max_count {
        let message = format!(
            "the minimum {} is above the maximum {}",
            scaling.min_count, scaling.max_count
        );
        report(Kind::ScalingRange, ServiceField::MinCount, message);
    }
    if !is_price(scaling.spot_price_ratio) {
        let message = format!(
            "the price {} is not a finite number above 0",
            scaling.spot_price_ratio
        );
        report(Kind::BadPrice, ServiceField::SpotPrice, message);
    }
    if scaling.domain_prices.is_empty() {
        let message = "no zone has a price".to_owned();
        report(Kind::NoPrices, ServiceField::DomainPrices, message);
    }
}

fn check_domains(index: usize, scaling: &Scaling, findings: &mut Vec<Finding>) {
    for (domain, price) in &scaling.domain_prices {
        if domain.is_empty() || !is_price(*price) {
            let message = if domain.is_empty() {
                "the zone of this price has no name".to_owned()
            } else {
                format!("the price {price} is not a finite number above 0")
            };
            let place = Place::DomainPrice(index, domain.to_string());
            findings.push(Finding::new(Kind::BadPrice, place, message));
        }
    }
}

fn is_price(price: f64) -> bool {
    price.is_finite() && price > 0.0
}
