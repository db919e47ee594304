//! Partial outputs of unfinished items: saved for the next coordinator, and
//! retained for later jobs that submit the same items again.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::{
    batch::{
        job::{EventNumber, ItemId, JobId},
        output::{Output, OutputPart},
    },
    clock::Timestamp,
};

/// The maximum number of retained outputs of unfinished items of ended jobs.
const MAX_RETAINED_COUNT: usize = 512;

impl Scheduler {
    /// Adopts the outputs of `job` that another coordinator saved, where they
    /// are longer than the known ones.
    pub fn restore(&mut self, job: &JobId, outputs: BTreeMap<usize, Output>, now: Timestamp) {
        let Some(open_job) = self.jobs.get_mut(job) else {
            return;
        };
        for (index, output) in outputs {
            let Some(item) = open_job.items.get_mut(index) else {
                continue;
            };
            let is_open = item.run.is_none() && !item.is_done;
            if !is_open
                || !output.is_longer_than(&item.output)
                || !output.is_valid_for(&open_job.job.head)
            {
                continue;
            }
            let is_whole = output.is_whole();
            item.output = output;
            if is_whole {
                open_job.complete(index, now);
                if let Some(scoring) = open_job.scorings.get_mut(&index) {
                    scoring.record_saved();
                }
            }
        }
    }

    /// Returns the unsaved part of the output, of at most `max_bytes` each, of
    /// every unfinished item of `job` with at least `min_count` unsaved events. Only the
    /// first output of an item is saved (see docs/design/store-reads.md).
    pub fn unsaved(
        &self,
        job: &JobId,
        min_count: EventNumber,
        max_bytes: usize,
    ) -> Vec<(usize, OutputPart)> {
        let Some(open_job) = self.jobs.get(job) else {
            return Vec::new();
        };
        open_job
            .items
            .iter()
            .enumerate()
            .filter(|(_, item)| !item.is_done && !item.output.is_whole() && !item.is_begun_anew)
            .filter(|(_, item)| item.output.last_event() >= item.saved_event + min_count)
            .filter_map(|(index, item)| {
                let part = item.output.part(item.saved_event, max_bytes)?;
                Some((index, part))
            })
            .collect()
    }

    /// Records that the output of an item is saved up to `last_event`.
    pub fn record_saved(&mut self, job: &JobId, item_index: usize, last_event: EventNumber) {
        if let Some(open_job) = self.jobs.get_mut(job)
            && let Some(item) = open_job.items.get_mut(item_index)
        {
            item.saved_event = last_event;
        }
    }

    /// Retains the output of an unfinished item, and evicts the oldest one
    /// above the limit.
    pub(super) fn retain_output(&mut self, item: ItemId, output: Output) {
        if self.retained_outputs.insert(item.clone(), output).is_none() {
            self.retained_order.push_back(item);
        }
        if self.retained_order.len() > MAX_RETAINED_COUNT
            && let Some(oldest) = self.retained_order.pop_front()
        {
            self.retained_outputs.remove(&oldest);
        }
    }
}
