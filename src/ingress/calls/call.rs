//! One request of a client.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{header, request};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    clock::Timestamp,
    ingress::{
        handover::TakenCall,
        memory::Holder,
        routes::{Route, RouteKind},
        wire::{Caller, ClientHead},
    },
};

/// A hash of what a call asks for: method, authority, path and body.
pub type Fingerprint = u64;

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// The head of the request.
    pub parts: request::Parts,
    /// The body of the request.
    pub body: Bytes,
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// On whose behalf the request is sent.
    pub caller: Caller,
    /// The fields of the head that the platform defines.
    pub head: ClientHead,
    /// When the request arrived.
    pub arrived_at: Timestamp,
    /// The number by which repeats of the call under other ids are recognised.
    pub fingerprint: Fingerprint,
    /// Whether another host handed the call over, which then is not handed on.
    pub taken: Option<Rc<TakenCall>>,
}

impl Call {
    /// Returns the call of a request that arrived at `arrived_at`.
    pub fn new(
        parts: request::Parts,
        body: Bytes,
        route: Arc<Route>,
        head: ClientHead,
        arrived_at: Timestamp,
    ) -> Self {
        let fingerprint = fingerprint(&parts, &body);
        Self {
            parts,
            body,
            route,
            caller: Caller::Unknown,
            head,
            arrived_at,
            fingerprint,
            taken: None,
        }
    }

    /// Returns the call as one of `caller`.
    #[must_use]
    pub fn of(self, caller: Caller) -> Self {
        Self { caller, ..self }
    }

    /// Returns the deadline of the call: the shorter of the client's and the
    /// route's timeout after its arrival.
    pub fn deadline(&self) -> Timestamp {
        let client_timeout = self.head.client_timeout.unwrap_or(self.route.timeout);
        self.arrived_at + client_timeout.min(self.route.timeout)
    }

    /// Returns for whom the body and the answer are held, if they are counted.
    pub fn holder(&self) -> Option<Holder> {
        self.parts.extensions.get().cloned()
    }

    /// Returns the id of the client's attempt.
    pub fn id(&self) -> Option<&str> {
        self.head.attempt_id.as_deref()
    }

    /// Returns whether the call may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.route.is_resumable,
            RouteKind::NonIdempotent | RouteKind::Batch => false,
        }
    }

    /// Returns the hash of the attempt id as a number from 0 to below 1, which
    /// selects the service on a split route.
    pub fn split_point(&self) -> f64 {
        split_point(self.id().unwrap_or_default())
    }
}

/// Returns the hash of what a request asks for.
fn fingerprint(parts: &request::Parts, body: &[u8]) -> Fingerprint {
    let authority = parts.headers.get(header::HOST);
    let path = parts.uri.path_and_query();
    let mut hasher = Xxh3::new();
    for part in [
        parts.method.as_str().as_bytes(),
        authority.map_or(&[], |authority| authority.as_bytes()),
        path.map_or("", |path| path.as_str()).as_bytes(),
        body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the hash of an id as a number from 0 to below 1, which selects the
/// service on a split route.
pub fn split_point(id: &str) -> f64 {
    let hash = xxh3_64(id.as_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
