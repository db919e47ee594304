//! What one owner of a step passes to the next.
//!
//! It saves work only: a new owner without it asks the trainer for the step
//! and generates what the trainer lacks (see docs/design/steps.md).

use std::sync::Arc;

use crate::{
    control::blackboard::Hosts,
    engine::{evidence::Proved, rendezvous},
    ids::{AttachNumber, GroupNumber, HostId, SampleIndex, WeightVersion},
    step::{key::StepKey, sample::Sample, spec::StepSpec},
};

/// Tokens that an unfinished slot may resume from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partial {
    /// The group of the slot.
    pub group: GroupNumber,
    /// Its place in the group.
    pub index: SampleIndex,
    /// What is proved.
    pub proved: Proved,
}

/// A step on its way to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// What the trainer asked for.
    pub spec: Arc<StepSpec>,
    /// The highest attachment that the old owner saw.
    pub attach: AttachNumber,
    /// The version that the trainer stated with it.
    pub weight_version: WeightVersion,
    /// Whole samples that the trainer did not show to hold.
    pub samples: Vec<Arc<Sample>>,
    /// Tokens of unfinished slots.
    pub partials: Vec<Partial>,
}

/// Watches which steps go to another owner when the fleet changes.
///
/// A step that this host took on in place of an owner out of its reach stays
/// here until the owner changes again.
#[derive(Debug, Default)]
pub struct Ownership {
    host: Option<HostId>,
    hosts: Arc<Hosts>,
}

impl Ownership {
    /// Watches for the host named `host`.
    pub fn new(host: impl Into<HostId>) -> Self {
        Self {
            host: Some(host.into()),
            hosts: Arc::default(),
        }
    }

    /// Returns those of `keys` that this host owned before `hosts` and does not
    /// own now.
    pub fn lost<'a>(
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
