//! Finds out on whose behalf a request is sent (see docs/design/accounts.md).

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::{
    clock::millis,
    ingress::{
        accounts::StaleConfiguration,
        host::Host,
        replies::{Reply, refusal, reply},
        routes::Configuration,
        wire::{Caller, PresentedKey, Wire},
    },
    observe::telemetry::{KEYS_REFUSED, KEYS_UNCHECKED},
    store::rows::RowStore,
};

/// The `Retry-After` of a host that does not know whether keys are still in force. Other
/// hosts may know; where none does, the store is out for seconds.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why the account of a request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unauthenticated {
    /// The request needs a key and has none.
    #[error("the request has no key")]
    NoKey,
    /// The key belongs to no account, or the request has several.
    #[error("the key belongs to no account")]
    UnknownKey,
    /// The key may have been removed.
    #[error(transparent)]
    Stale(#[from] StaleConfiguration),
}

/// Returns on whose behalf a request with `headers` is sent, under the configuration in
/// force. Requests without a key are allowed if `is_public`.
///
/// # Errors
///
/// Fails where the request needs a key, and has none that is certainly in force.
pub fn authenticate<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    configuration: &Configuration,
    headers: &HeaderMap,
    is_public: bool,
) -> Result<Caller, Unauthenticated> {
    let Some(accounts) = &configuration.accounts else {
        return Ok(Caller::Unknown);
    };
    let holder = match W::presented_key(headers) {
        PresentedKey::One(key) => accounts.holder(key),
        PresentedKey::Missing if is_public => return Ok(Caller::Public),
        PresentedKey::Missing => {
            host.check_freshness()?;
            return Err(Unauthenticated::NoKey);
        }
        PresentedKey::Several => None,
    };
    match (holder, host.check_freshness()) {
        (Some(holder), Ok(())) => Ok(Caller::Account(holder.clone())),
        _ if is_public => Ok(Caller::Public),
        (None, Ok(())) => Err(Unauthenticated::UnknownKey),
        // The key may have been added, too.
        (_, Err(stale)) => Err(stale.into()),
    }
}

/// Logs and returns the reply to a request whose account is not known.
pub fn unauthenticated_reply<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    configuration: &Configuration,
    id: Option<&str>,
    cause: Unauthenticated,
) -> Reply {
    let age = host.view.borrow().freshness.age(host.now());
    let denied = || reply(StatusCode::UNAUTHORIZED, Bytes::new());
    let (reason, counter, answer) = match cause {
        Unauthenticated::NoKey => ("no-key", KEYS_REFUSED, denied()),
        Unauthenticated::UnknownKey => ("unknown-key", KEYS_REFUSED, denied()),
        Unauthenticated::Stale(_) => (
            "stale-configuration",
            KEYS_UNCHECKED,
            refusal(STALE_RETRY_AFTER),
        ),
    };
    host.metrics.count(counter, 1);
    tracing::info!(
        event = "request.refused",
        id,
        reason,
        version = configuration.version,
        configuration_age_ms = millis(age),
    );
    answer
}
