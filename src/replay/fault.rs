//! Applies the events of a trace, such as faults, to the simulated fleet.

use std::time::Duration;

use super::{
    table::PendingEdit,
    trainer::{Config, Request, Trainer},
    world::{Fault, Task, World},
};
use crate::{
    clock::Timestamp,
    control::Input,
    engine::routing::Policy,
    host::drain,
    observe::trace::Event,
    share::fairness::Ranking,
    standin::table_service::LoseAnswers,
    step::attach::{HeldGroup, Pull},
};

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Applies an event of the trace.
    pub(super) fn apply_event(&mut self, event: Event) {
        match event {
            Event::Train { .. } => self.start_trainer(event),
            Event::TrainerRestart { trainer } => {
                self.with_trainer(&trainer, |trainer, _, _| trainer.restart());
            }
            Event::LosePullAnswers { trainer, count } => {
                self.with_trainer(&trainer, |trainer, _, _| trainer.answers_to_lose += count);
            }
            Event::Pull { .. } => self.send_extra_pull(event),
            Event::NewWeights { version } => self.newest_version = version,
            Event::HostList { states } => {
                for entry in states {
                    self.upstream_states.insert(entry.id, entry.state);
                }
            }
            Event::Edit {
                editor,
                change,
                row,
                base_version,
                cells,
            } => self.run_edit(PendingEdit::new(editor, change, row, base_version, cells)),
            Event::Call { .. } => self.run_call(event),
            Event::HostKill { .. }
            | Event::HostPause { .. }
            | Event::HostDrain { .. }
            | Event::Partition { .. }
            | Event::Loss { .. } => self.apply_host_fault(event),
            Event::StoreDown { .. }
            | Event::StoreSlow { .. }
            | Event::StoreLoseAnswers { .. }
            | Event::StoreOldReads { .. } => self.apply_store_fault(&event),
            _ => self.apply_engine_fault(event),
        }
    }

    fn start_trainer(&mut self, event: Event) {
        let Event::Train {
            trainer,
            group_count,
            samples_per_group,
            max_tokens,
            prompt_tokens,
            train_ms,
            ahead,
            until_ms,
        } = event
        else {
            return;
        };
        let until = match until_ms {
            0 => Timestamp::MAX,
            until_ms => Duration::from_millis(until_ms),
        };
        let config = Config {
            group_count,
            samples_per_group,
            max_tokens,
            prompt_tokens,
            train_time: Duration::from_millis(train_ms),
            submits_ahead: ahead,
            submit_until: until,
        };
        let rows = &self.trace.header.settings.rows;
        let row = rows.iter().find(|row| row.id == trainer);
        let max_age_versions = row.map_or(0, |row| row.staleness_bound_versions);
        let seed = self.trace.header.seed ^ self.next_number();
        let started = Trainer::new(trainer.clone(), config, seed, max_age_versions, self.now);
        self.trainers.insert(trainer, started);
    }

    fn send_extra_pull(&mut self, event: Event) {
        let Event::Pull {
            trainer,
            step,
            attach,
            weight_version,
            held,
            max_samples,
            wait_ms,
        } = event
        else {
            return;
        };
        let held = held.into_iter().map(|held| HeldGroup {
            group: held.group,
            indexes: held.indexes,
        });
        let pull = Pull {
            trainer,
            step,
            attach,
            weight_version,
            held: held.collect(),
            max_samples,
            wait: Duration::from_millis(wait_ms),
        };
        self.route(None, Request::Pull(pull));
    }

    fn apply_host_fault(&mut self, event: Event) {
        match event {
            Event::HostKill { host, for_ms } => {
                self.tally.record_kill(&host, self.now);
                self.kill(&host);
                if for_ms > 0 {
                    self.schedule_after(Duration::from_millis(for_ms), Task::StartHost(host));
                }
            }
            Event::HostPause { host, for_ms } => {
                let until = self.now + Duration::from_millis(for_ms);
                self.tally.record_disturbance(&host, until);
                if let Some(node) = self.nodes.get_mut(&host) {
                    node.paused_until = until;
                }
            }
            Event::HostDrain {
                host,
                replace_after_ms,
            } => {
                self.tally.record_disturbance(&host, Timestamp::MAX);
                if let Some(node) = self.nodes.get_mut(&host) {
                    node.replace_after =
                        (replace_after_ms > 0).then(|| Duration::from_millis(replace_after_ms));
                }
                let drain = Input::Drain(drain::Requester::Signal);
                self.send_input(&host, Duration::ZERO, drain);
            }
            Event::Partition {
                hosts,
                from_store,
                for_ms,
            } => {
                let until = self.now + Duration::from_millis(for_ms);
                for host in self.nodes.keys() {
                    self.tally.record_disturbance(host, until);
                }
                self.partitioned_hosts = hosts.into_iter().collect();
                self.is_store_partitioned = from_store;
                self.schedule_fault_end(for_ms, Fault::Partition);
            }
            Event::Loss { ratio, for_ms } => {
                let previous_ratio = std::mem::replace(&mut self.loss_ratio, ratio);
                self.schedule_fault_end(for_ms, Fault::Loss(previous_ratio));
            }
            _ => {}
        }
    }

    fn apply_store_fault(&mut self, event: &Event) {
        match event {
            Event::StoreDown { for_ms } => {
                self.store.set_down(true);
                self.schedule_fault_end(*for_ms, Fault::StoreDown);
            }
            Event::StoreSlow { delay_ms, for_ms } => {
                self.store_delay = Duration::from_millis(*delay_ms);
                self.schedule_fault_end(*for_ms, Fault::StoreSlow);
            }
            Event::StoreLoseAnswers { count } => {
                self.store.lose_answers(LoseAnswers::Next(*count));
            }
            Event::StoreOldReads { for_ms } => {
                self.store.set_old_reads(true);
                self.schedule_fault_end(*for_ms, Fault::StoreOldReads);
            }
            _ => {}
        }
    }

    fn apply_engine_fault(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Swap { engine, version } => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.set_version(version);
                }
            }
            Event::SwapPartial {
                engine,
                version,
                for_ms,
            } => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    let previous_version = target.version();
                    target.set_version(version);
                    self.schedule_fault_end(for_ms, Fault::Swap(engine, previous_version));
                }
            }
            Event::EngineCrash { engine, for_ms } => {
                let until = now + Duration::from_millis(for_ms);
                if let Some(target) = self.engines.get_mut(&engine) {
                    let cut_tickets = target.crash(until);
                    self.break_streams(cut_tickets);
                }
            }
            Event::EngineSilent { engine, for_ms } => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.silent_until = now + Duration::from_millis(for_ms);
                }
            }
            Event::EngineSlow {
                engine,
                factor,
                for_ms,
            } => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.set_slow_factor(factor);
                    self.schedule_fault_end(for_ms, Fault::Slow(engine));
                }
            }
            Event::EngineDisorder {
                engine,
                duplicate,
                reorder,
                for_ms,
            } => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.duplicate = duplicate;
                    target.reorder = reorder;
                    self.schedule_fault_end(for_ms, Fault::Disorder(engine));
                }
            }
            Event::EngineLeaving { engine } => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.leaving_since = Some(now);
                }
            }
            _ => {}
        }
    }

    fn schedule_fault_end(&mut self, for_ms: u64, fault: Fault) {
        self.schedule_after(Duration::from_millis(for_ms), Task::EndFault(fault));
    }

    /// Ends a temporary fault.
    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Swap(engine, version) => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.set_version(version);
                }
            }
            Fault::Slow(engine) => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.set_slow_factor(1.0);
                }
            }
            Fault::Disorder(engine) => {
                if let Some(target) = self.engines.get_mut(&engine) {
                    target.duplicate = false;
                    target.reorder = false;
                }
            }
            Fault::Partition => {
                self.partitioned_hosts.clear();
                self.is_store_partitioned = false;
            }
            Fault::Loss(ratio) => self.loss_ratio = ratio,
            Fault::StoreDown => self.store.set_down(false),
            Fault::StoreSlow => self.store_delay = Duration::ZERO,
            Fault::StoreOldReads => self.store.set_old_reads(false),
        }
    }
}
