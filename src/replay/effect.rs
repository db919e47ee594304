//! What hosts ask for, done in virtual time.

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
    /// Does what a host asks for.
    pub(super) fn act(&mut self, host: &HostId, effect: Effect) {
        match effect {
            Effect::SendHeartbeat { to, heartbeat } => self.pass_datagram(host, to, heartbeat),
            Effect::SendMessage { to, message } => {
                if self.reaches(host, &to) {
                    let from = host.clone();
                    self.send(&to, self.delay(), Input::Exchange { from, message });
                }
            }
            Effect::ReadTable(action) => self.follow(host, action),
            Effect::PollEngine { engine, .. } => self.poll_engine(host, engine),
            Effect::AskUpstream { upstream, .. } => self.ask_upstream(host, upstream),
            Effect::Accept { call, result } => self.accept(call, &result),
            Effect::Reply { call, reply } => self.reply(call, reply),
            Effect::StartAttempt {
                dispatch,
                engine,
                dispatcher,
            } => self.start_attempt(host, *dispatch, engine, dispatcher),
            Effect::CancelAttempt { attempt } => self.cancel_attempt(host, attempt),
            Effect::HandOver(handover) => self.hand_over(host, *handover),
            Effect::Dispatch(action) => self.act_on_dispatch(host, action),
            Effect::Exit { .. } => self.end_host(host),
        }
    }

    /// Ends a host after its planned stop.
    fn end_host(&mut self, host: &HostId) {
        self.kill(host);
        let replace_after = self
            .nodes
            .get_mut(host)
            .and_then(|node| node.replace_after.take());
        if let Some(delay) = replace_after {
            self.after(delay, Task::Start(host.clone()));
        }
    }

    /// Ends the present life of a host.
    pub(super) fn kill(&mut self, host: &HostId) {
        if let Some(node) = self.nodes.get_mut(host) {
            node.control = None;
            node.inbox.clear();
        }
        self.calls.retain(|_, call| call.host != *host);
    }

    fn follow(&mut self, host: &HostId, action: follower::Action) {
        match action {
            follower::Action::PollStore { above_revision } => {
                let event = match self.reaches_store(host) {
                    true => follower::poll(&self.store, above_revision).now_or_never(),
                    false => None,
                };
                let event = event.unwrap_or(follower::Event::StoreFailed);
                let delay = self.delay() * 2 + self.store_delay;
                self.send(host, delay, Input::Table(event));
            }
            follower::Action::FetchFromPeer {
                host: peer,
                above_revision,
            } => {
                let event = self.fetch(host, &peer, above_revision);
                self.send(host, self.delay() * 2, Input::Table(event));
            }
        }
    }

    fn fetch(&self, host: &HostId, peer: &HostId, above_revision: Revision) -> follower::Event {
        let node = self
            .nodes
            .get(peer)
            .filter(|node| node.is_running(self.now));
        let control = node.and_then(|node| node.control.as_ref());
        match control {
            Some(control) if self.reaches(host, peer) => {
                let rows = &control.board().rows;
                let is_newer = rows.revision > above_revision;
                let rows_sent = rows.rows.values().filter(|_| is_newer);
                follower::Event::PeerAnswered {
                    host: peer.clone(),
                    revision: rows.revision,
                    rows: rows_sent.map(|row| (**row).clone()).collect(),
                }
            }
            _ => follower::Event::PeerFailed { host: peer.clone() },
        }
    }

    fn poll_engine(&mut self, host: &HostId, engine: UpstreamId) {
        let now = self.now;
        let known = self.engines.get(&engine).filter(|known| known.is_up(now));
        let (event, lag) = match known {
            Some(known) => {
                let said = known.report();
                let report = EngineReport {
                    boot: said.boot_id,
                    weight_version: said.weight_version,
                    running: said.running,
                    waiting: said.waiting,
                    slots: said.slots,
                    token_time: Duration::from_micros(said.token_time_us),
                    ..EngineReport::default()
                };
                let lag = Duration::from_millis(known.part().report_lag_ms);
                (watch::Event::Reported { engine, report }, lag)
            }
            None => (watch::Event::Failed { engine }, Duration::ZERO),
        };
        self.send(host, self.delay() * 2 + lag, Input::Engine(event));
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
        self.send(host, self.delay() * 2, Input::Upstreams(event));
    }

    fn accept(&mut self, call: CallNumber, result: &Result<(), step::SubmitError>) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Some(trainer) = open.trainer {
            let task = Task::Accepted(trainer, open.step, result.is_ok());
            self.after(self.delay(), task);
        }
    }

    fn reply(&mut self, call: CallNumber, reply: Reply) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Some(trainer) = open.trainer {
            self.after(self.delay(), Task::Reply(trainer, open.step, reply));
        }
    }

    /// Gives the answer of a pull to its trainer, or loses it.
    pub(super) fn take_reply(&mut self, trainer: &crate::ids::RowId, step: u64, reply: Reply) {
        self.with_trainer(trainer, |known, version, now| {
            if known.lost_answers > 0 {
                known.lost_answers -= 1;
                return known.refused(step, false);
            }
            match reply {
                Reply::Samples { samples, .. } => known.take(step, &samples, version, now),
                Reply::StepUnknown => known.refused(step, true),
                Reply::Superseded { .. } | Reply::Draining => known.refused(step, false),
            }
        });
    }

    /// Gives a step to the next owner that is reached.
    fn hand_over(&mut self, host: &HostId, handover: Handover) {
        let (row, step) = (handover.spec.trainer.clone(), handover.spec.step);
        let next = self
            .owners(host, &row, step)
            .into_iter()
            .find(|owner| owner != host && self.reaches(host, owner));
        if let Some(owner) = next {
            let handed = step::Event::HandedOver(Box::new(handover));
            self.send(&owner, self.delay(), Input::Step(handed));
        }
    }
}
