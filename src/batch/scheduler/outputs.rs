//! Outputs of unfinished items: saved for the next coordinator, and kept for jobs
//! that submit these items again.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::batch::{
    job::{EventNumber, ItemId, JobId},
    output::{Output, OutputPart},
};

/// How many outputs of unfinished items of ended jobs are kept for jobs that
/// submit these items again.
const MAX_CARRIED_COUNT: usize = 512;

impl Scheduler {
    /// Takes in what another coordinator saved of the outputs of `job`.
    pub fn restore(&mut self, job: &JobId, outputs: BTreeMap<usize, Output>) {
        let Some(run) = self.jobs.get_mut(job) else {
            return;
        };
        for (index, output) in outputs {
            let Some(item) = run.items.get_mut(index) else {
                continue;
            };
            let is_better = output.last_event() > item.output.last_event();
            if item.run.is_none() && is_better && output.serves(&run.job.head) {
                item.output = output;
            }
        }
    }

    /// Returns parts of the outputs of `job` that are not saved, of items that
    /// have made at least `min_count` events since they were.
    pub fn unsaved(
        &self,
        job: &JobId,
        min_count: EventNumber,
        max_bytes: usize,
    ) -> Vec<(usize, OutputPart)> {
        let Some(run) = self.jobs.get(job) else {
            return Vec::new();
        };
        run.items
            .iter()
            .enumerate()
            .filter(|(_, item)| !item.is_done)
            .filter(|(_, item)| item.output.last_event() >= item.saved_event + min_count)
            .filter_map(|(index, item)| {
                let part = item.output.part(item.saved_event, max_bytes)?;
                Some((index, part))
            })
            .collect()
    }

    /// Takes in that the output of an item is saved up to `last_event`.
    pub fn saved(&mut self, job: &JobId, item_index: usize, last_event: EventNumber) {
        if let Some(run) = self.jobs.get_mut(job)
            && let Some(item) = run.items.get_mut(item_index)
        {
            item.saved_event = last_event;
        }
    }

    pub(super) fn carry(&mut self, item: ItemId, output: Output) {
        if self.carried.insert(item.clone(), output).is_none() {
            self.carried_order.push_back(item);
        }
        if self.carried_order.len() > MAX_CARRIED_COUNT
            && let Some(oldest) = self.carried_order.pop_front()
        {
            self.carried.remove(&oldest);
        }
    }
}
