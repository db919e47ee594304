//! Lists the results of batch jobs in the store, each item once.
//!
//! A listing is written only if nobody else listed results of the job in
//! between, so that a coordinator that does not know yet that it was replaced
//! does no harm.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    batch::{
        job::JobId,
        layout::{self, Listing, Tally},
        scheduler::{Action, Scheduler},
    },
    ingress::stored,
    store::rows::{RowError, RowStamp, RowStore},
};

/// How long results are batched before they are listed in one transaction: less
/// than the 49 ms between two events in the deployment specification, since a
/// step waits for its last result.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// The delay before a store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The outcome of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListOutcome {
    /// Cancellations of runs whose items are already listed.
    pub cancelled: Vec<Action>,
    /// Whether the job was ended or no longer exists.
    pub is_job_closed: bool,
    /// How many results were listed.
    pub listed_count: usize,
}

/// Lists the items that a scheduler has finished.
#[derive(Debug)]
pub struct Lister<S> {
    store: S,
    scheduler: Rc<RefCell<Scheduler>>,
    tallies: RefCell<BTreeMap<JobId, (Tally, RowStamp)>>,
    in_progress: RefCell<BTreeSet<JobId>>,
    /// Increments whenever the scheduler is reset, so that a listing that began
    /// earlier does not change state that belongs to the scheduler's new jobs.
    epoch: Cell<u64>,
}

impl<S: RowStore> Lister<S> {
    /// Creates a lister for the items that `scheduler` finishes.
    pub fn new(store: S, scheduler: Rc<RefCell<Scheduler>>) -> Self {
        Self {
            store,
            scheduler,
            tallies: RefCell::default(),
            in_progress: RefCell::default(),
            epoch: Cell::new(0),
        }
    }

    /// Records the tally of `job` and the version of its row.
    pub fn record_tally(&self, job: &JobId, tally: Tally, stamp: RowStamp) {
        self.tallies
            .borrow_mut()
            .insert(job.clone(), (tally, stamp));
    }

    /// Drops the tally of `job`.
    pub fn forget(&self, job: &JobId) {
        self.tallies.borrow_mut().remove(job);
    }

    /// Drops all state, since the scheduler was reset.
    pub fn forget_all(&self) {
        self.tallies.borrow_mut().clear();
        self.in_progress.borrow_mut().clear();
        self.epoch.set(self.epoch.get() + 1);
    }

    /// Returns the jobs that have unlisted results and no listing in progress,
    /// and marks them as being listed.
    pub fn claim(&self) -> Vec<JobId> {
        let mut in_progress = self.in_progress.borrow_mut();
        let mut jobs = self.scheduler.borrow().unlisted_jobs();
        jobs.retain(|job| in_progress.insert(job.clone()));
        jobs
    }

    /// Lists the finished items of `job` until none is left.
    pub async fn list(&self, job: &JobId) -> ListOutcome {
        let epoch = self.epoch.get();
        sleep(BATCH_DELAY).await;
        let mut outcome = ListOutcome::default();
        let mut pending: Option<Listing> = None;
        while self.epoch.get() == epoch && !outcome.is_job_closed {
            let Some(listing) = pending.take().or_else(|| self.next_listing(job)) else {
                break;
            };
            let result = self.store.commit(&listing.transaction).await;
            if self.epoch.get() != epoch {
                return outcome;
            }
            match result {
                Ok(applied) => {
                    outcome.listed_count += listing.result_count;
                    self.record_applied(job, &listing, applied.stamp);
                }
                Err(RowError::Conflict { current }) => {
                    let own = stored::tally(&current)
                        .ok()
                        .flatten()
                        .filter(|(tally, _)| tally.nonce == listing.tally.nonce);
                    match own {
                        // An earlier attempt was applied and its answer was
                        // lost.
                        Some((_, stamp)) => {
                            outcome.listed_count += listing.result_count;
                            self.record_applied(job, &listing, stamp);
                        }
                        None if current.iter().any(|row| row.key == layout::END_KEY) => {
                            tracing::info!(event = "job.found_ended", job = &**job);
                            outcome.is_job_closed = true;
                        }
                        None => self.reload_tally(job, epoch, &mut outcome).await,
                    }
                }
                Err(error) => {
                    tracing::info!(event = "job.not_listed", job = &**job, %error);
                    // The repeated write is applied only if the first one was
                    // not.
                    pending = Some(listing);
                    sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
        if self.epoch.get() == epoch {
            self.in_progress.borrow_mut().remove(job);
        }
        outcome
    }

    fn next_listing(&self, job: &JobId) -> Option<Listing> {
        let (tally, stamp) = self.tallies.borrow().get(job).cloned()?;
        let scheduler = self.scheduler.borrow();
        let finished = scheduler.finished(job);
        if finished.is_empty() {
            return None;
        }
        match layout::listing(job, &tally, stamp, finished, rand::random()) {
            Ok(listing) => Some(listing),
            Err(error) => {
                tracing::error!(event = "job.not_encoded", job = &**job, %error);
                None
            }
        }
    }

    fn record_applied(&self, job: &JobId, listing: &Listing, stamp: RowStamp) {
        self.record_tally(job, listing.tally.clone(), stamp);
        let is_whole = self
            .scheduler
            .borrow_mut()
            .record_listed(job, listing.result_count);
        tracing::info!(
            event = "job.listed",
            job = &**job,
            listed_count = listing.tally.listed_count,
            taken_count = listing.result_count,
            is_whole,
            stamp,
        );
    }

    /// Reloads a job's listing, since another coordinator wrote to it.
    async fn reload_tally(&self, job: &JobId, epoch: u64, outcome: &mut ListOutcome) {
        let loaded = stored::load(&self.store, job).await;
        if self.epoch.get() != epoch {
            return;
        }
        match loaded {
            Ok(Some(loaded)) if !loaded.is_ended => {
                tracing::info!(
                    event = "job.relearned",
                    job = &**job,
                    listed_count = loaded.tally.listed_count,
                );
                self.record_tally(job, loaded.tally, loaded.stamp);
                let cancelled = self.scheduler.borrow_mut().drop_listed(job, &loaded.listed);
                outcome.cancelled.extend(cancelled);
            }
            // There is nothing left to list.
            Ok(_) => outcome.is_job_closed = true,
            Err(error) => {
                tracing::info!(event = "job.not_read", job = &**job, %error);
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}
