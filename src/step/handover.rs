//! State that one owner of a step passes to the next.
//!
//! A handover only saves work: without it the new owner asks the trainer to
//! submit the step again and regenerates the samples that the trainer lacks
//! (see docs/design/steps.md).

use std::sync::Arc;

use crate::{
    control::blackboard::Hosts,
    engine::{evidence::ProvedTokens, rendezvous},
    ids::{AttachNumber, GroupNumber, HostId, SampleIndex, WeightVersion},
    step::{key::StepKey, sample::Sample, spec::StepSpec},
};

/// Tokens that an attempt at an unfinished slot can resume from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partial {
    /// The group of the slot.
    pub group: GroupNumber,
    /// The index of the slot within its group.
    pub index: SampleIndex,
    /// The proved tokens.
    pub proved: ProvedTokens,
}

/// The state of a step that moves to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// What the trainer asked for.
    pub spec: Arc<StepSpec>,
    /// The highest attach number that the old owner saw.
    pub attach: AttachNumber,
    /// The last weight version that the trainer stated to it.
    pub weight_version: WeightVersion,
    /// Complete samples that the trainer has not listed as held.
    pub samples: Vec<Arc<Sample>>,
    /// Proved tokens of unfinished slots.
    pub partials: Vec<Partial>,
}

/// Detects which steps move to another owner when the fleet changes.
///
/// A step that this host accepted because its owner was unreachable stays here
/// until its owner changes again.
#[derive(Debug, Default)]
pub struct Ownership {
    host: Option<HostId>,
    hosts: Arc<Hosts>,
}

impl Ownership {
    /// Creates the tracker for the host with id `host`.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: Some(host.into()),
            hosts: Arc::default(),
        }
    }

    /// Returns those of `keys` that this host owned under the previous fleet
    /// and that another host owns under `hosts`, which is stored for the next
    /// call.
    pub fn lost_keys<'a>(
        &mut self,
        keys: impl Iterator<Item = &'a StepKey>,
        hosts: &Arc<Hosts>,
    ) -> Vec<StepKey> {
        let Some(own) = &self.host else {
            return Vec::new();
        };
        if Arc::ptr_eq(&self.hosts, hosts) {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.hosts, Arc::clone(hosts));
        let was_own = |key: &StepKey| owner(&before, key) == Some(own);
        let is_lost = |key: &StepKey| owner(hosts, key).is_some_and(|owner| owner != own);
        keys.filter(|key| was_own(key) && is_lost(key))
            .cloned()
            .collect()
    }
}

fn owner<'a>(hosts: &'a Hosts, key: &StepKey) -> Option<&'a HostId> {
    rendezvous::step_owner(&key.trainer, key.step, hosts.live().map(|host| &host.id))
}
