//! Routes the requests of trainers to the owners of their steps.

use std::time::Duration;

use rand::Rng as _;

use super::{
    trainer::Request,
    world::{OpenCall, PEER_TIMEOUT, Task, World},
};
use crate::{
    control::Input,
    engine::{rendezvous, routing::Policy},
    ids::{HostId, RowId, StepNumber},
    share::fairness::Ranking,
    step,
};

/// The maximum number of hosts that are tried for one request of a trainer.
const MAX_TRIED_HOSTS: usize = 3;

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Sends a trainer's request through the load balancer and an entry host to the
    /// owner of the step.
    pub(super) fn route(&mut self, trainer: Option<RowId>, request: Request) {
        let (row, step) = match &request {
            Request::Submit(spec) => (spec.trainer.clone(), spec.step),
            Request::Pull(pull) => (pull.trainer.clone(), pull.step),
        };
        let failed = Task::RequestFailed(row.clone(), step);
        let Some(entry) = self.pick_entry() else {
            return self.schedule_after(PEER_TIMEOUT, failed);
        };
        let mut elapsed = self.message_delay();
        for owner in self.owners(&entry, &row, step) {
            let is_local = owner == entry;
            let is_running = self
                .nodes
                .get(&owner)
                .is_some_and(|node| node.is_running(self.now));
            if is_local || is_running && self.can_reach(&entry, &owner) {
                let hop = if is_local {
                    Duration::ZERO
                } else {
                    self.message_delay()
                };
                return self.schedule_after(elapsed + hop, Task::Request(owner, trainer, request));
            }
            elapsed += PEER_TIMEOUT;
        }
        self.schedule_after(elapsed, failed);
    }

    /// Draws one of the hosts that the load balancer considers ready.
    fn pick_entry(&mut self) -> Option<HostId> {
        let ready = self
            .nodes
            .iter()
            .filter(|(_, node)| node.is_running(self.now))
            .filter(|(_, node)| {
                node.control.as_ref().is_some_and(|control| {
                    let board = control.board();
                    board.ready && !board.draining
                })
            })
            .map(|(id, _)| id.clone())
            .collect::<Vec<_>>();
        if ready.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..ready.len());
        ready.get(index).cloned()
    }

    /// Returns the hosts that `entry` tries for a step in order, the owner first.
    pub(super) fn owners(&self, entry: &HostId, row: &RowId, step: StepNumber) -> Vec<HostId> {
        let Some(control) = self.nodes.get(entry).and_then(|node| node.control.as_ref()) else {
            return Vec::new();
        };
        let live = control.board().hosts.live().map(|host| host.id.clone());
        let mut candidates = live.collect::<Vec<_>>();
        let mut ranked = Vec::new();
        while ranked.len() < MAX_TRIED_HOSTS {
            let Some(owner) = rendezvous::step_owner(row, step, &candidates).cloned() else {
                break;
            };
            candidates.retain(|host| *host != owner);
            ranked.push(owner);
        }
        ranked
    }

    /// Adds a trainer's request to the next round of `host`, if the host is running.
    pub(super) fn deliver_request(
        &mut self,
        host: &HostId,
        trainer: Option<RowId>,
        request: Request,
    ) {
        let call = self.next_number();
        let Some(node) = self.nodes.get_mut(host) else {
            return;
        };
        let (step, event) = match request {
            Request::Submit(spec) => (spec.step, step::Event::Submitted { call, spec }),
            Request::Pull(pull) => (pull.step, step::Event::Pulled { call, pull }),
        };
        let open = OpenCall {
            host: host.clone(),
            trainer,
            step,
        };
        if node.control.is_some() {
            node.inbox.push(Input::Step(event));
            self.calls.insert(call, open);
        }
    }
}
