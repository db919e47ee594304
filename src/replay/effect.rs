//! Carries out the effects of the simulated hosts in virtual time.

use std::time::Duration;

use futures_util::FutureExt as _;

use super::world::{Task, World};
use crate::{
    control::{Effect, Input, blackboard::EngineReport},
    engine::{routing::Policy, upstream_list, watch},
    ids::{CallNumber, HostId, Revision, UpstreamId},
    share::fairness::Ranking,
    step::{self, attach::Reply, handover::Handover},
    store::follower,
};

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Carries out an effect of a host.
    pub(super) fn apply_effect(&mut self, host: &HostId, effect: Effect) {
        match effect {
            Effect::SendHeartbeat { to, heartbeat } => self.send_datagram(host, to, heartbeat),
            Effect::SendMessage { to, message } => {
                if self.can_reach(host, &to) {
                    let from = host.clone();
                    self.send_input(&to, self.message_delay(), Input::Exchange { from, message });
                }
            }
            Effect::ReadTable(action) => self.read_table(host, action),
            Effect::PollEngine { engine, .. } => self.poll_engine(host, engine),
            Effect::AskUpstream { upstream, .. } => self.ask_upstream(host, upstream),
            Effect::Accept { call, result } => self.forward_submit_result(call, &result),
            Effect::Reply { call, reply } => self.forward_reply(call, reply),
            Effect::StartAttempt {
                dispatch,
                engine,
                dispatcher,
            } => self.start_attempt(host, *dispatch, engine, dispatcher),
            Effect::CancelAttempt { attempt } => self.cancel_attempt(host, attempt),
            Effect::HandOver(handover) => self.hand_over(host, *handover),
            Effect::Dispatch(action) => self.apply_dispatch_action(host, action),
            Effect::Exit { .. } => self.end_host(host),
        }
    }

    /// Stops a host that has finished draining, and schedules its replacement.
    fn end_host(&mut self, host: &HostId) {
        self.kill(host);
        let replace_after = self
            .nodes
            .get_mut(host)
            .and_then(|node| node.replace_after.take());
        if let Some(delay) = replace_after {
            self.schedule_after(delay, Task::StartHost(host.clone()));
        }
    }

    /// Stops a host at once; its pending inputs and open calls are lost.
    pub(super) fn kill(&mut self, host: &HostId) {
        if let Some(node) = self.nodes.get_mut(host) {
            node.control = None;
            node.inbox.clear();
        }
        self.calls.retain(|_, call| call.host != *host);
    }

    fn read_table(&mut self, host: &HostId, action: follower::Action) {
        match action {
            follower::Action::PollStore { above_revision } => {
                let event = match self.can_reach_store(host) {
                    true => follower::poll(&self.store, above_revision).now_or_never(),
                    false => None,
                };
                let event = event.unwrap_or(follower::Event::StoreFailed);
                let delay = self.message_delay() * 2 + self.store_delay;
                self.send_input(host, delay, Input::Table(event));
            }
            follower::Action::FetchFromPeer {
                host: peer,
                above_revision,
            } => {
                let event = self.fetch_rows(host, &peer, above_revision);
                self.send_input(host, self.message_delay() * 2, Input::Table(event));
            }
        }
    }

    fn fetch_rows(
        &self,
        host: &HostId,
        peer: &HostId,
        above_revision: Revision,
    ) -> follower::Event {
        let node = self
            .nodes
            .get(peer)
            .filter(|node| node.is_running(self.now));
        let control = node.and_then(|node| node.control.as_ref());
        match control {
            Some(control) if self.can_reach(host, peer) => {
                let rows = &control.board().rows;
                let is_newer = rows.revision > above_revision;
                let sent_rows = rows.rows.values().filter(|_| is_newer);
                follower::Event::PeerAnswered {
                    host: peer.clone(),
                    revision: rows.revision,
                    rows: sent_rows.map(|row| (**row).clone()).collect(),
                }
            }
            _ => follower::Event::PeerFailed { host: peer.clone() },
        }
    }

    fn poll_engine(&mut self, host: &HostId, engine: UpstreamId) {
        let now = self.now;
        let target = self.engines.get(&engine).filter(|target| target.is_up(now));
        let (event, lag) = match target {
            Some(target) => {
                let status = target.report();
                let report = EngineReport {
                    boot: status.boot_id,
                    weight_version: status.weight_version,
                    running: status.running,
                    waiting: status.waiting,
                    slots: status.slots,
                    token_time: Duration::from_micros(status.token_time_us),
                    ..EngineReport::default()
                };
                let lag = Duration::from_millis(target.part().report_lag_ms);
                (watch::Event::Reported { engine, report }, lag)
            }
            None => (watch::Event::Failed { engine }, Duration::ZERO),
        };
        self.send_input(host, self.message_delay() * 2 + lag, Input::Engine(event));
    }

    fn ask_upstream(&mut self, host: &HostId, upstream: UpstreamId) {
        let now = self.now;
        let Some(engine) = self.engines.get(&upstream) else {
            return;
        };
        let started_at = self.nodes.get(host).map_or(now, |node| node.started_at);
        let event = if engine.is_up(now) {
            upstream_list::Event::LeavingReported {
                leaving: engine.leaving_since.is_some(),
                sent_at: now.saturating_sub(started_at),
                upstream,
            }
        } else {
            upstream_list::Event::ConnectionRefused { upstream }
        };
        self.send_input(host, self.message_delay() * 2, Input::Upstreams(event));
    }

    fn forward_submit_result(&mut self, call: CallNumber, result: &Result<(), step::SubmitError>) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Some(trainer) = open.trainer {
            let task = Task::SubmitResult(trainer, open.step, result.is_ok());
            self.schedule_after(self.message_delay(), task);
        }
    }

    fn forward_reply(&mut self, call: CallNumber, reply: Reply) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Some(trainer) = open.trainer {
            self.schedule_after(self.message_delay(), Task::Reply(trainer, open.step, reply));
        }
    }

    /// Delivers the answer of a pull to its trainer, unless the trace loses it.
    pub(super) fn deliver_reply(&mut self, trainer: &crate::ids::RowId, step: u64, reply: Reply) {
        self.with_trainer(trainer, |trainer, version, now| {
            if trainer.answers_to_lose > 0 {
                trainer.answers_to_lose -= 1;
                return trainer.record_failure(step, false);
            }
            match reply {
                Reply::Samples { samples, .. } => trainer.add_samples(step, &samples, version, now),
                Reply::StepUnknown => trainer.record_failure(step, true),
                Reply::Superseded { .. } | Reply::Draining => trainer.record_failure(step, false),
            }
        });
    }

    /// Hands a step over to the next owner that is reachable.
    fn hand_over(&mut self, host: &HostId, handover: Handover) {
        let (row, step) = (handover.spec.trainer.clone(), handover.spec.step);
        let next = self
            .owners(host, &row, step)
            .into_iter()
            .find(|owner| owner != host && self.can_reach(host, owner));
        if let Some(owner) = next {
            let handed = step::Event::HandedOver(Box::new(handover));
            self.send_input(&owner, self.message_delay(), Input::Step(handed));
        }
    }
}
