//! What one host knows of the software versions that began streams.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Timestamp,
    ids::{RequestId, SoftwareVersion},
    ingress::routes::ServiceName,
    store::rows::RowStamp,
};

/// The largest number of origins that a host remembers, and of those that wait to be
/// saved.
const MAX_ORIGIN_COUNT: usize = 16_384;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: ServiceName,
    /// The software version of the upstream whose answer brought the first event.
    pub version: SoftwareVersion,
}

/// The attempt of a client that brought the first event of a stream, and what began it.
pub type BegunStream = (RequestId, Origin);

#[derive(Clone, Debug)]
struct Remembered {
    origin: Origin,
    at: Timestamp,
}

/// The versions and the origins of streams that one host knows.
#[derive(Clone, Debug, Default)]
pub struct OriginBook {
    /// The versions of each service that may have begun streams, as last read from the
    /// store.
    registered: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    /// The store's stamp as of that reading.
    registered_stamp: RowStamp,
    /// Those of them that have been listed ever since they were read.
    ///
    /// A version that is not listed may be dropped from the store, so that it must be read
    /// again once it returns.
    usable: BTreeSet<(ServiceName, SoftwareVersion)>,
    remembered: HashMap<RequestId, Remembered>,
    /// The remembered attempts, the oldest first.
    order: VecDeque<RequestId>,
    unsaved: VecDeque<BegunStream>,
}

impl OriginBook {
    /// Records the versions that the store had for all services as of `stamp`, of which
    /// `listed` have been listed since they were asked for. The streams of a service that has
    /// several versions now must be saved.
    ///
    /// Answers may overtake each other. An older one would hide a version at which streams
    /// have begun elsewhere, and is dropped.
    pub fn set_registered(
        &mut self,
        registered: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
        stamp: RowStamp,
        listed: &BTreeSet<(ServiceName, SoftwareVersion)>,
    ) {
        if stamp < self.registered_stamp {
            tracing::info!(
                event = "versions.outdated",
                stamp,
                known_stamp = self.registered_stamp,
            );
            return;
        }
        self.registered_stamp = stamp;
        let known = std::mem::replace(&mut self.registered, registered);
        self.usable = listed
            .iter()
            .filter(|(service, version)| self.is_registered(service, version))
            .cloned()
            .collect();
        let is_newly_mixed = |service: &ServiceName| {
            let count = |all: &BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>| {
                all.get(service).map_or(0, BTreeSet::len)
            };
            count(&self.registered) > 1 && count(&known) <= 1
        };
        let begun: Vec<BegunStream> = self
            .order
            .iter()
            .filter_map(|attempt| Some((attempt, self.remembered.get(attempt)?)))
            .filter(|(_, remembered)| is_newly_mixed(&remembered.origin.service))
            .map(|(attempt, remembered)| (attempt.clone(), remembered.origin.clone()))
            .collect();
        self.queue(begun);
    }

    /// Drops the right to begin streams at versions that are not `listed` any more.
    pub fn retain_listed(&mut self, listed: &BTreeSet<(ServiceName, SoftwareVersion)>) {
        self.usable.retain(|version| listed.contains(version));
    }

    /// Returns whether the store has `version` as one that may have begun streams.
    pub fn is_registered(&self, service: &str, version: &SoftwareVersion) -> bool {
        self.versions(service)
            .is_some_and(|versions| versions.contains(version))
    }

    /// Returns whether streams may begin at `version`.
    pub fn may_begin(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.usable.contains(&(service.clone(), version.clone()))
    }

    /// Returns the versions of `service` that may have begun streams.
    pub fn versions(&self, service: &str) -> Option<&BTreeSet<SoftwareVersion>> {
        self.registered.get(service)
    }

    /// Returns whether streams of `service` may have begun at several versions.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.versions(service)
            .is_some_and(|versions| versions.len() > 1)
    }

    /// Returns whether any service has several versions.
    pub fn is_any_mixed(&self) -> bool {
        self.registered.values().any(|versions| versions.len() > 1)
    }

    /// Records that the stream of `attempt` begins. Returns whether it must be saved.
    pub fn record_begin(&mut self, attempt: RequestId, origin: Origin, now: Timestamp) -> bool {
        let is_mixed = self.is_mixed(&origin.service);
        self.remember(attempt.clone(), origin.clone(), now);
        if is_mixed {
            self.queue([(attempt, origin)]);
        }
        is_mixed
    }

    /// Remembers an origin that is saved or need not be.
    pub fn remember(&mut self, attempt: RequestId, origin: Origin, now: Timestamp) {
        let remembered = Remembered { origin, at: now };
        if self
            .remembered
            .insert(attempt.clone(), remembered)
            .is_none()
        {
            self.order.push_back(attempt);
        }
        if self.order.len() > MAX_ORIGIN_COUNT
            && let Some(oldest) = self.order.pop_front()
        {
            self.remembered.remove(&oldest);
        }
    }

    /// Returns the version that began the stream of `attempt`, if this host knows it.
    pub fn version(&self, service: &str, attempt: &str) -> Option<&SoftwareVersion> {
        let origin = &self.remembered.get(attempt)?.origin;
        (*origin.service == *service).then_some(&origin.version)
    }

    /// Forgets origins that are older than `ttl`.
    pub fn expire(&mut self, now: Timestamp, ttl: Duration) {
        while let Some(oldest) = self.order.front()
            && self
                .remembered
                .get(oldest)
                .is_none_or(|remembered| now.saturating_sub(remembered.at) >= ttl)
        {
            self.remembered.remove(oldest);
            self.order.pop_front();
        }
    }

    /// Adds streams that must be saved, and drops the oldest ones above the limit. A
    /// stream that is not saved is not resumed at another host.
    pub fn queue(&mut self, begun: impl IntoIterator<Item = BegunStream>) {
        self.unsaved.extend(begun);
        let excess_count = self.unsaved.len().saturating_sub(MAX_ORIGIN_COUNT);
        if excess_count > 0 {
            tracing::warn!(event = "origins.dropped", excess_count);
            self.unsaved.drain(..excess_count);
        }
    }

    /// Removes and returns the next streams to save, at most `max_count`.
    pub fn take_unsaved(&mut self, max_count: usize) -> Vec<BegunStream> {
        let count = self.unsaved.len().min(max_count);
        self.unsaved.drain(..count).collect()
    }
}
