//! The platform's spelling of configurations, for the check before they are sent.

use std::sync::Arc;

use crate::{
    ingress::{
        configuration_check::{Draft, Format, RouteDraft, ServiceDraft, Spelling, Undecodable},
        routes::Route,
    },
    platform::{
        PlatformWire,
        documents::{ConfigurationDocument, RouteDocument, ServiceDocument},
        names,
        wire::{decode_account, decode_configuration, decode_service, parse_json},
    },
};

impl Format for PlatformWire {
    /// A row has at most 65,536 bytes in base64.
    const MAX_DOCUMENT_BYTES: usize = 65_536 / 4 * 3;
    const RESERVED_PREFIXES: &'static [&'static str] = &[names::JOBS_PATH, names::ITEMS_PATH];
    const SPELLING: Spelling = Spelling {
        version: "version",
        limits: "limits",
        limit_fields: [
            "max_header_bytes",
            "max_body_bytes",
            "header_timeout_ms",
            "idle_timeout_ms",
        ],
        routes: "routes",
        route_fields: [
            "name",
            "host",
            "path_prefix",
            "kind",
            "timeout_ms",
            "target_latency_ms",
            "priority",
            "service",
            "traffic_split",
            "max_attempts",
            "item_ttl_s",
            "result_due_ms",
            "single_version",
            "resumable",
            "public",
        ],
        split_fields: ["service", "weight"],
        services: "services",
        service_fields: [
            "name",
            "engine.slots",
            "engine.kv_capacity_tokens",
            "engine.stride",
            "scaling.min",
            "scaling.max",
            "scaling.boot_s",
            "scaling.spot_price",
            "scaling.zone_prices",
        ],
        accounts: "tenants",
        account_fields: ["name", "api_keys", "priority"],
    };

    fn draft(text: &[u8]) -> Result<Draft, Undecodable> {
        let configuration = decode_configuration(parse_json(text)?);
        // Read again for what the configuration of hosts no longer shows.
        let document: ConfigurationDocument = parse_json(text)?;
        let routes = document.routes.iter().zip(&configuration.routes);
        let accounts = document.tenants;
        Ok(Draft {
            routes: routes.map(route_draft).collect(),
            services: document.services.into_iter().map(service_draft).collect(),
            accounts: accounts.map(|list| list.into_iter().map(decode_account).collect()),
            configuration,
        })
    }
}

fn route_draft((document, route): (&RouteDocument, &Arc<Route>)) -> RouteDraft {
    RouteDraft {
        route: route.clone(),
        has_own_service: document.service.is_some(),
        split_count: document.traffic_split.len(),
        max_attempts: document.max_attempts,
        timeout_ms: document.timeout_ms,
        target_latency_ms: document.target_latency_ms,
        item_ttl_ms: document.item_ttl_s.map(|s| s * 1_000.0),
        result_due_ms: document.result_due_ms,
    }
}

fn service_draft(document: ServiceDocument) -> ServiceDraft {
    let scaling = document.scaling.as_ref();
    ServiceDraft {
        boot_time_ms: scaling.map(|scaling| scaling.boot_s * 1_000.0),
        service: decode_service(document),
    }
}
