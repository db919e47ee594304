//! The counts of one host that are not in the store yet.

use std::collections::BTreeMap;

use super::{Counts, KEPT_WINDOW_COUNT, WindowNumber, total};
use crate::ids::AccountId;

/// Counts that are saved in one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The window.
    pub window: WindowNumber,
    /// The number of the batch, unique in this process.
    pub sequence: u64,
    /// The counts.
    pub counts: Counts,
}

/// Counts the requests of accounts until they are saved.
///
/// A batch that may have been saved is repeated unchanged, under its own number, so that
/// nothing is counted twice.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: BTreeMap<WindowNumber, Counts>,
    /// Batches of which it is not known whether they were saved.
    unconfirmed: Vec<Batch>,
    last_sequence: u64,
}

impl Tally {
    /// Counts a request of `account` that began in `window`.
    pub fn record(&mut self, window: WindowNumber, account: &AccountId) {
        let counts = self.counts.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => {
                counts.insert(account.clone(), 1);
            }
        }
    }

    /// Returns the batches to save. Until unconfirmed ones are saved there are no new
    /// ones, so that an outage of the store leaves one batch a window.
    pub fn batches(&mut self) -> Vec<Batch> {
        if self.unconfirmed.is_empty() {
            for (window, counts) in std::mem::take(&mut self.counts) {
                self.last_sequence += 1;
                self.unconfirmed.push(Batch {
                    window,
                    sequence: self.last_sequence,
                    counts,
                });
            }
        }
        self.unconfirmed.clone()
    }

    /// Records that the batch `sequence` is saved.
    pub fn record_saved(&mut self, sequence: u64) {
        self.unconfirmed.retain(|batch| batch.sequence != sequence);
    }

    /// Drops the counts of windows that are no longer reported at `current`, and returns
    /// their number.
    pub fn drop_outdated(&mut self, current: WindowNumber) -> u64 {
        let oldest = current.saturating_sub(KEPT_WINDOW_COUNT);
        let kept = self.counts.split_off(&oldest);
        let outdated = std::mem::replace(&mut self.counts, kept);
        let mut dropped_count: u64 = outdated.values().map(total).sum();
        self.unconfirmed.retain(|batch| {
            let is_kept = batch.window >= oldest;
            if !is_kept {
                dropped_count += total(&batch.counts);
            }
            is_kept
        });
        dropped_count
    }

    /// Returns how many requests are not known to be saved.
    pub fn unsaved_count(&self) -> u64 {
        let unconfirmed = self.unconfirmed.iter().map(|batch| &batch.counts);
        self.counts.values().chain(unconfirmed).map(total).sum()
    }
}
