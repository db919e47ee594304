//! A configuration as the operator wrote it, before it is sent.

use std::sync::Arc;

use super::place::Spelling;
use crate::ingress::{
    accounts::Account,
    routes::{Configuration, Route, Service},
};

/// A configuration with what its decoded form no longer shows.
///
/// [`Configuration`] keeps only hashes of keys and one of two services with the same name,
/// and it has defaults in the place of unusable values. The type has no `Debug`, since it
/// holds keys.
pub struct Draft {
    /// The configuration as hosts put it into force.
    pub configuration: Configuration,
    /// The routes, in the order of the document.
    pub routes: Vec<RouteDraft>,
    /// The services, in the order of the document.
    pub services: Vec<ServiceDraft>,
    /// The accounts, in the order of the document.
    pub accounts: Option<Vec<Account>>,
}

/// A route and what its decoded form no longer shows.
pub struct RouteDraft {
    /// The route as hosts put it into force.
    pub route: Arc<Route>,
    /// Whether the route names one service and is not split.
    pub has_own_service: bool,
    /// The number of splits, which have no effect if the route names one service.
    pub split_count: usize,
    /// The number of attempts, if the document has it.
    pub max_attempts: Option<u32>,
    /// The timeout in the document, in milliseconds.
    pub timeout_ms: Option<f64>,
    /// The latency objective in the document, in milliseconds.
    pub target_latency_ms: Option<f64>,
    /// The TTL of items in the document, in milliseconds.
    pub item_ttl_ms: Option<f64>,
    /// The time after which results are due in the document, in milliseconds.
    pub result_due_ms: Option<f64>,
}

/// A service and what its decoded form no longer shows.
pub struct ServiceDraft {
    /// The service as hosts put it into force.
    pub service: Service,
    /// The boot time in the document, in milliseconds.
    pub boot_time_ms: Option<f64>,
}

/// A document that hosts cannot decode.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct Undecodable {
    /// The path of the field.
    pub path: String,
    /// The error of the decoder. It contains no key.
    pub reason: String,
}

/// The platform's format of configurations.
pub trait Format {
    /// The largest document that fits into a row of the store.
    const MAX_DOCUMENT_BYTES: usize;
    /// The path prefixes that hosts answer themselves, before they look for a route.
    const RESERVED_PREFIXES: &'static [&'static str];

    /// The names of the fields.
    const SPELLING: Spelling;

    /// Decodes a document as hosts do.
    ///
    /// # Errors
    ///
    /// Fails where a host could not decode the document.
    fn draft(text: &[u8]) -> Result<Draft, Undecodable>;
}
