//! What the outside does in a trace.

use std::time::Duration;

use super::{
    table::Editor,
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
    /// Does what the outside did.
    pub(super) fn cause(&mut self, event: Event) {
        match event {
            Event::Train { .. } => self.start_trainer(event),
            Event::TrainerRestart { trainer } => {
                self.with_trainer(&trainer, |known, _, _| known.restart());
            }
            Event::LosePullAnswers { trainer, count } => {
                self.with_trainer(&trainer, |known, _, _| known.lost_answers += count);
            }
            Event::Pull { .. } => self.pull_beside(event),
            Event::NewWeights { version } => self.version = version,
            Event::HostList { states } => {
                for entry in states {
                    self.listed.insert(entry.id, entry.state);
                }
            }
            Event::Edit {
                editor,
                change,
                row,
                base_version,
                cells,
            } => self.run_edit(Editor::new(editor, change, row, base_version, cells)),
            Event::Call { .. } => self.call(event),
            Event::HostKill { .. }
            | Event::HostPause { .. }
            | Event::HostDrain { .. }
            | Event::Partition { .. }
            | Event::Loss { .. } => self.disturb_hosts(event),
            Event::StoreDown { .. }
            | Event::StoreSlow { .. }
            | Event::StoreLoseAnswers { .. }
            | Event::StoreOldReads { .. } => self.disturb_store(&event),
            _ => self.disturb_engine(event),
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
            ahead,
            until,
        };
        let rows = &self.trace.header.settings.rows;
        let row = rows.iter().find(|row| row.id == trainer);
        let bound = row.map_or(0, |row| row.staleness_bound_versions);
        let seed = self.trace.header.seed ^ self.number();
        let started = Trainer::new(trainer.clone(), config, seed, bound, self.now);
        self.trainers.insert(trainer, started);
    }

    fn pull_beside(&mut self, event: Event) {
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

    fn disturb_hosts(&mut self, event: Event) {
        match event {
            Event::HostKill { host, for_ms } => {
                self.tally.host_killed(&host, self.now);
                self.kill(&host);
                if for_ms > 0 {
                    self.after(Duration::from_millis(for_ms), Task::Start(host));
                }
            }
            Event::HostPause { host, for_ms } => {
                let until = self.now + Duration::from_millis(for_ms);
                self.tally.host_disturbed(&host, until);
                if let Some(node) = self.nodes.get_mut(&host) {
                    node.paused_until = until;
                }
            }
            Event::HostDrain {
                host,
                replace_after_ms,
            } => {
                self.tally.host_disturbed(&host, Timestamp::MAX);
                if let Some(node) = self.nodes.get_mut(&host) {
                    node.replace_after =
                        (replace_after_ms > 0).then(|| Duration::from_millis(replace_after_ms));
                }
                let asked = Input::Drain(drain::Requester::Signal);
                self.send(&host, Duration::ZERO, asked);
            }
            Event::Partition {
                hosts,
                from_store,
                for_ms,
            } => {
                let until = self.now + Duration::from_millis(for_ms);
                for host in self.nodes.keys() {
                    self.tally.host_disturbed(host, until);
                }
                self.cut_off = hosts.into_iter().collect();
                self.cut_from_store = from_store;
                self.end_after(for_ms, Fault::Partition);
            }
            Event::Loss { ratio, for_ms } => {
                let before = std::mem::replace(&mut self.loss_ratio, ratio);
                self.end_after(for_ms, Fault::Loss(before));
            }
            _ => {}
        }
    }

    fn disturb_store(&mut self, event: &Event) {
        match event {
            Event::StoreDown { for_ms } => {
                self.store.set_down(true);
                self.end_after(*for_ms, Fault::StoreDown);
            }
            Event::StoreSlow { delay_ms, for_ms } => {
                self.store_delay = Duration::from_millis(*delay_ms);
                self.end_after(*for_ms, Fault::StoreSlow);
            }
            Event::StoreLoseAnswers { count } => {
                self.store.lose_answers(LoseAnswers::Next(*count));
            }
            Event::StoreOldReads { for_ms } => {
                self.store.set_old_reads(true);
                self.end_after(*for_ms, Fault::StoreOldReads);
            }
            _ => {}
        }
    }

    fn disturb_engine(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Swap { engine, version } => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.swap(version);
                }
            }
            Event::SwapPartial {
                engine,
                version,
                for_ms,
            } => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    let before = known.version();
                    known.swap(version);
                    self.end_after(for_ms, Fault::Swap(engine, before));
                }
            }
            Event::EngineCrash { engine, for_ms } => {
                let until = now + Duration::from_millis(for_ms);
                if let Some(known) = self.engines.get_mut(&engine) {
                    let broken = known.crash(until);
                    self.break_streams(broken);
                }
            }
            Event::EngineSilent { engine, for_ms } => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.silent_until = now + Duration::from_millis(for_ms);
                }
            }
            Event::EngineSlow {
                engine,
                factor,
                for_ms,
            } => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.slow_down(factor);
                    self.end_after(for_ms, Fault::Slow(engine));
                }
            }
            Event::EngineDisorder {
                engine,
                duplicate,
                reorder,
                for_ms,
            } => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.duplicate = duplicate;
                    known.reorder = reorder;
                    self.end_after(for_ms, Fault::Disorder(engine));
                }
            }
            Event::EngineLeaving { engine } => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.leaving_since = Some(now);
                }
            }
            _ => {}
        }
    }

    fn end_after(&mut self, for_ms: u64, fault: Fault) {
        self.after(Duration::from_millis(for_ms), Task::End(fault));
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Swap(engine, version) => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.swap(version);
                }
            }
            Fault::Slow(engine) => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.slow_down(1.0);
                }
            }
            Fault::Disorder(engine) => {
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.duplicate = false;
                    known.reorder = false;
                }
            }
            Fault::Partition => {
                self.cut_off.clear();
                self.cut_from_store = false;
            }
            Fault::Loss(ratio) => self.loss_ratio = ratio,
            Fault::StoreDown => self.store.set_down(false),
            Fault::StoreSlow => self.store_delay = Duration::ZERO,
            Fault::StoreOldReads => self.store.set_old_reads(false),
        }
    }
}
